//! Task starts a second, and the time from an accepted text to its urgent job running.

use {
    super::{Args, TODAY, cell::Cell, today, usage::spread},
    crate::Result,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// How many tasks a text adds.
const TASKS: u32 = 2000;
/// The tasks of an urgent gang.
const URGENT: u32 = 8;
/// How long starts are waited for.
const LIMIT: Duration = Duration::from_secs(25);
/// The pause between two looks at the witness.
const LOOK: Duration = Duration::from_millis(4);

/// Prints the tables.
pub async fn run(args: &Args) -> Result<()> {
    let members = args.members.first().copied().unwrap_or(3);
    println!("\n{members} members, 48 workers, {} runs; {TASKS} tasks in a text.\n", args.runs);
    println!("| the text adds | first start after ms | all started after s | starts/s | started |");
    println!("|---|---|---|---|---|");
    for (name, jobs) in [("1 job", 1), ("20 jobs", 20), ("200 jobs", 200)] {
        let mut rows = vec![];
        for _ in 0..args.runs {
            let mut cell = Cell::start(members, &today(), TODAY).await?;
            cell.submit(&format!("{TODAY}{}", batch(jobs, TASKS / jobs, "100m", "1m"))).await?;
            rows.push(started(&cell, 0, TASKS).await?);
        }
        let all = |f: &dyn Fn(&Started) -> f64| rows.iter().map(f).collect::<Vec<_>>();
        println!(
            "| {name} | {} | {} | {} | {} |",
            spread(all(&|s| s.first * 1000.0), 0),
            spread(all(&|s| s.last), 2),
            spread(all(&|s| f64::from(s.count) / s.last), 0),
            spread(all(&|s| f64::from(s.count)), 0)
        );
    }
    println!(
        "\n| an urgent gang of {URGENT} | first start after ms | all started after ms | runs in which all started |"
    );
    println!("|---|---|---|---|");
    // 35 workers of 16 cores: tasks of 4 cores leave nothing free from the 140th on.
    for (name, tasks) in [("on an empty pool", 0), ("on a full pool", 200)] {
        let mut rows = vec![];
        for _ in 0..args.runs {
            let mut cell = Cell::start(members, &today(), TODAY).await?;
            let mut text = TODAY.to_owned();
            let full = tasks.min(140);
            if tasks > 0 {
                text += &batch(1, tasks, "4", "1h");
                cell.submit(&text).await?;
                started(&cell, 0, full).await?;
            }
            text += &format!(
                "\n[gang incident]\nteam = underwriting\npool = quoting\ntasks = {URGENT}\n\
                 cores = 4\nmemory = 8GB\nrun = 1h\nurgent = yes\n"
            );
            cell.submit(&text).await?;
            rows.push(started(&cell, full, URGENT).await?);
        }
        let whole: Vec<&Started> = rows.iter().filter(|s| s.count >= URGENT).collect();
        println!(
            "| {name} | {} | {} | {} of {} |",
            spread(whole.iter().map(|s| s.first * 1000.0), 0),
            spread(whole.iter().map(|s| s.last * 1000.0), 0),
            whole.len(),
            args.runs
        );
    }
    Ok(())
}

/// When tasks started, in seconds from the accepted text, and how many.
struct Started {
    first: f64,
    last: f64,
    count: u32,
}

/// Waits for `count` starts beyond those `before`.
async fn started(cell: &Cell, before: u32, count: u32) -> Result<Started> {
    let begun = Instant::now();
    let mut s = Started { first: 0.0, last: 0.0, count: 0 };
    while s.count < count && begun.elapsed() < LIMIT {
        let now = u32::try_from(cell.witness("starts").await?)?.saturating_sub(before);
        if now > s.count {
            s.last = begun.elapsed().as_secs_f64();
            s.first = if s.count == 0 { s.last } else { s.first };
            s.count = now;
        }
        sleep(LOOK).await;
    }
    Ok(s)
}

/// Batch jobs for a text.
pub fn batch(jobs: u32, tasks: u32, cores: &str, run: &str) -> String {
    let each = (0..jobs).map(|n| {
        format!(
            "\n[batch work-{n}]\nteam = underwriting\npool = quoting\ntasks = {tasks}\n\
             cores = {cores}\nmemory = 64MB\nrun = {run}\n"
        )
    });
    each.collect()
}
