//! Measures task starts per second, and the time from the acceptance of a text until its urgent job
//! runs.

use {
    super::{
        Args, PRESENT_SCENARIO,
        cell::Cell,
        present_fleets,
        usage::{self, min_median_max},
    },
    crate::Result,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The number of tasks that a text adds.
const BURST_TASKS: u32 = 2000;
/// How long a full pool runs before urgent work is submitted.
const FULL_POOL_TIME: Duration = Duration::from_secs(3);
/// The number of tasks of an urgent gang.
const GANG_TASKS: u32 = 8;
/// The time-out until all tasks have started.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which the workers' counters are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(4);

/// The run time of each task of a steady stream, in seconds.
const STREAM_TASK_S: f64 = 1.0;
/// The number of teams that share the work; all tasks of a team are in the record of one bucket.
pub const TEAM_COUNT: u32 = 40;
/// The number of jobs of a steady stream and the tasks of each job. They use all buckets and stay
/// within the size limit of each bucket's record.
const STREAM_JOBS: (u32, u32) = (100, 120);

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
    println!(
        "\n| {BURST_TASKS} tasks in | first start after ms | last after s | starts/s | started |"
    );
    println!("|---|---|---|---|---|");
    for (name, jobs, teams) in
        [("1 job", 1, 1), ("200 jobs of 1 team", 200, 1), ("200 jobs of 40 teams", 200, TEAM_COUNT)]
    {
        let mut rows = vec![];
        for _ in 0..runs {
            let mut cell = Cell::start(members, &present_fleets(), PRESENT_SCENARIO).await?;
            cell.submit(&format!(
                "{PRESENT_SCENARIO}{}",
                batch(jobs, BURST_TASKS / jobs, teams, "100m", "1m")
            ))
            .await?;
            rows.push(wait_started(&cell, 0, BURST_TASKS).await?);
        }
        let all = |f: &dyn Fn(&Started) -> f64| rows.iter().map(f).collect::<Vec<_>>();
        println!(
            "| {name} | {} | {} | {} | {} |",
            min_median_max(all(&|s| s.first * 1000.0), 0),
            min_median_max(all(&|s| s.last), 2),
            min_median_max(all(&|s| f64::from(s.count) / s.last), 0),
            min_median_max(all(&|s| f64::from(s.count)), 0)
        );
    }
    Ok(())
}

/// Measures a steady stream, in which each task that ends makes room for the next. The rate of
/// starts is limited by the number of places or by the scheduler.
async fn stream(members: usize, runs: usize) -> Result<()> {
    println!(
        "\n| places for tasks of 1 s | the most starts/s with no gap | starts/s | of the most | \
         KV writes/s | members' cpu % of a core | started |"
    );
    println!("|---|---|---|---|---|---|---|");
    let all = STREAM_JOBS.0 * STREAM_JOBS.1;
    for (cores, places) in [("500m", 35.0 * 32.0), ("250m", 35.0 * 64.0)] {
        let mut rows = vec![];
        for _ in 0..runs {
            let mut cell = Cell::start(members, &present_fleets(), PRESENT_SCENARIO).await?;
            let ids: Vec<u32> = cell.members.iter().map(|m| m.id()).collect();
            let used = || ids.iter().filter_map(|id| usage::cpu(*id)).sum::<f64>();
            let text = format!(
                "{PRESENT_SCENARIO}{}",
                batch(STREAM_JOBS.0, STREAM_JOBS.1, TEAM_COUNT, cores, "1s")
            );
            let (writes, cpu) = (cell.writes().await?, used());
            cell.submit(&text).await?;
            let s = wait_started(&cell, 0, all).await?;
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
        let most = places / STREAM_TASK_S;
        println!(
            "| {places} | {most} | {} | {} | {} | {} | {} of {all} |",
            min_median_max(each(0), 0),
            min_median_max(each(0).map(|r| r / most), 2),
            min_median_max(each(1), 0),
            min_median_max(each(2), 0),
            min_median_max(each(3), 0)
        );
    }
    Ok(())
}

async fn urgent(members: usize, runs: usize) -> Result<()> {
    println!(
        "\n| an urgent gang of {GANG_TASKS} | first start after ms | all started after ms | runs in \
         which all started |"
    );
    println!("|---|---|---|---|");
    // 35 workers with 16 cores each are full with 140 tasks of 4 cores.
    for (name, tasks) in [("on an empty pool", 0), ("on a full pool", 200)] {
        let mut rows = vec![];
        for _ in 0..runs {
            let mut cell = Cell::start(members, &present_fleets(), PRESENT_SCENARIO).await?;
            let mut text = PRESENT_SCENARIO.to_owned();
            let full = tasks.min(140);
            if tasks > 0 {
                text += &batch(1, tasks, 1, "4", "1h");
                cell.submit(&text).await?;
                wait_started(&cell, 0, full).await?;
                // In practice, a full pool has usually run for a while when urgent work arrives.
                sleep(FULL_POOL_TIME).await;
            }
            text += &format!(
                "\n[gang incident]\nteam = underwriting\npool = quoting\ntasks = {GANG_TASKS}\n\
                 cores = 4\nmemory = 8GB\nrun = 1h\nurgent = yes\n"
            );
            cell.submit(&text).await?;
            rows.push(wait_started(&cell, full, GANG_TASKS).await?);
        }
        let complete: Vec<&Started> = rows.iter().filter(|s| s.count >= GANG_TASKS).collect();
        println!(
            "| {name} | {} | {} | {} of {runs} |",
            min_median_max(complete.iter().map(|s| s.first * 1000.0), 0),
            min_median_max(complete.iter().map(|s| s.last * 1000.0), 0),
            complete.len(),
        );
    }
    Ok(())
}

/// The times of the first and the last start, in seconds after the text was accepted, and the
/// number of starts.
struct Started {
    first: f64,
    last: f64,
    count: u32,
}

/// Waits for `count` starts in addition to the `before` earlier ones.
async fn wait_started(cell: &Cell, before: u32, count: u32) -> Result<Started> {
    let begun = Instant::now();
    let mut s = Started { first: 0.0, last: 0.0, count: 0 };
    while s.count < count && begun.elapsed() < START_TIMEOUT {
        let now = u32::try_from(cell.witness("starts").await?)?.saturating_sub(before);
        if now > s.count {
            s.last = begun.elapsed().as_secs_f64();
            s.first = if s.count == 0 { s.last } else { s.first };
            s.count = now;
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(s)
}

/// Batch jobs for a text, divided among `teams` teams.
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
