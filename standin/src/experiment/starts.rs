//! Task starts a second, and the time from an accepted text to its urgent job running.

use {
    super::{
        Args, TODAY,
        cell::Cell,
        today,
        usage::{self, spread},
    },
    crate::Result,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// How many tasks a text adds.
const TASKS: u32 = 2000;
/// How long a full pool has run when urgent work comes.
const RUNNING: Duration = Duration::from_secs(3);
/// The tasks of an urgent gang.
const URGENT: u32 = 8;
/// How long starts are waited for.
const LIMIT: Duration = Duration::from_secs(20);
/// The pause between two looks at the witness.
const LOOK: Duration = Duration::from_millis(4);

/// How long each task of a steady stream runs.
const SHORT: f64 = 1.0;
/// Teams among which work is spread: a team's tasks stand in one bucket's record.
pub const SPREAD: u32 = 40;
/// The jobs of a steady stream, and the tasks of each: over all buckets, within their records.
const STREAM: (u32, u32) = (100, 120);

/// Prints the tables, or one of them.
pub async fn run(args: &Args) -> Result<()> {
    let members = args.members.first().copied().unwrap_or(3);
    println!("\n{members} members, 48 workers, {} runs.", args.runs);
    let part = |name| &*args.part == "all" || &*args.part == name;
    if part("burst") {
        burst(members, args.runs).await?;
    }
    if part("stream") {
        stream(members, args.runs).await?;
    }
    if part("urgent") {
        urgent(members, args.runs).await?;
    }
    Ok(())
}

async fn burst(members: usize, runs: usize) -> Result<()> {
    println!("\n| {TASKS} tasks in | first start after ms | last after s | starts/s | started |");
    println!("|---|---|---|---|---|");
    for (name, jobs, teams) in
        [("1 job", 1, 1), ("200 jobs of 1 team", 200, 1), ("200 jobs of 40 teams", 200, SPREAD)]
    {
        let mut rows = vec![];
        for _ in 0..runs {
            let mut cell = Cell::start(members, &today(), TODAY).await?;
            cell.submit(&format!("{TODAY}{}", batch(jobs, TASKS / jobs, teams, "100m", "1m")))
                .await?;
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
    Ok(())
}

/// Tasks that end and make room for the next: starts bounded by the places, or by the scheduler.
async fn stream(members: usize, runs: usize) -> Result<()> {
    println!(
        "\n| places for tasks of 1 s | the most starts/s with no gap | starts/s | of the most | \
         KV writes/s | members' cpu % of a core | started |"
    );
    println!("|---|---|---|---|---|---|---|");
    let all = STREAM.0 * STREAM.1;
    for (cores, places) in [("500m", 35.0 * 32.0), ("250m", 35.0 * 64.0)] {
        let mut rows = vec![];
        for _ in 0..runs {
            let mut cell = Cell::start(members, &today(), TODAY).await?;
            let ids: Vec<u32> = cell.members.iter().map(|m| m.id()).collect();
            let used = || ids.iter().filter_map(|id| usage::cpu(*id)).sum::<f64>();
            let text = format!("{TODAY}{}", batch(STREAM.0, STREAM.1, SPREAD, cores, "1s"));
            let (writes, cpu) = (cell.writes().await?, used());
            cell.submit(&text).await?;
            let s = started(&cell, 0, all).await?;
            let done = cell.writes().await?;
            let seconds = s.last.max(f64::MIN_POSITIVE);
            let rate = f64::from(s.count) / seconds;
            rows.push([
                rate,
                (done - writes) / seconds,
                100.0 * (used() - cpu) / seconds,
                f64::from(s.count),
            ]);
        }
        let each = |n: usize| rows.iter().map(move |r| r[n]);
        let most = places / SHORT;
        println!(
            "| {places} | {most} | {} | {} | {} | {} | {} of {all} |",
            spread(each(0), 0),
            spread(each(0).map(|r| r / most), 2),
            spread(each(1), 0),
            spread(each(2), 0),
            spread(each(3), 0)
        );
    }
    Ok(())
}

async fn urgent(members: usize, runs: usize) -> Result<()> {
    println!(
        "\n| an urgent gang of {URGENT} | first start after ms | all started after ms | runs in \
         which all started |"
    );
    println!("|---|---|---|---|");
    // 35 workers of 16 cores: tasks of 4 cores leave nothing free from the 140th on.
    for (name, tasks) in [("on an empty pool", 0), ("on a full pool", 200)] {
        let mut rows = vec![];
        for _ in 0..runs {
            let mut cell = Cell::start(members, &today(), TODAY).await?;
            let mut text = TODAY.to_owned();
            let full = tasks.min(140);
            if tasks > 0 {
                text += &batch(1, tasks, 1, "4", "1h");
                cell.submit(&text).await?;
                started(&cell, 0, full).await?;
                // A pool that has just been filled is rarer than one that has run for a while.
                sleep(RUNNING).await;
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
            "| {name} | {} | {} | {} of {runs} |",
            spread(whole.iter().map(|s| s.first * 1000.0), 0),
            spread(whole.iter().map(|s| s.last * 1000.0), 0),
            whole.len(),
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

/// Batch jobs for a text, of so many teams.
fn batch(jobs: u32, tasks: u32, teams: u32, cores: &str, run: &str) -> String {
    let each = (0..jobs).map(|n| {
        let team = n % teams;
        format!(
            "\n[batch work-{n}]\nteam = t{team}\npool = quoting\ntasks = {tasks}\n\
             cores = {cores}\nmemory = 64MB\nrun = {run}\n"
        )
    });
    teams_of(teams) + &each.collect::<String>()
}

/// Teams for a text, without quotas.
pub fn teams_of(count: u32) -> String {
    (0..count).map(|n| format!("\n[team t{n}]\nweight = 2\n")).collect()
}
