//! Measures a load during faults: an outage of the store, a killed member and a slow worker.

use {
    super::{
        Args, PRESENT_SCENARIO,
        cell::{Cell, POLL_INTERVAL},
        path::{quoting_load, workers},
        present_fleets,
        usage::min_median_max,
    },
    crate::{
        Result,
        load::{self, Outcome},
    },
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// The time from the start of the load to the start of the fault.
const FAULT_DELAY: Duration = Duration::from_secs(4);
/// The duration of the store's outage.
const OUTAGE: Duration = Duration::from_secs(30);
/// The duration of the load after the end of a fault, or after the start of a permanent fault.
const TIME_AFTER_FAULT: Duration = Duration::from_secs(14);
/// The extra run time of a request at the slow worker, which makes it ten times as long as at the
/// others.
const SLOWDOWN_MS: u64 = 900;
/// The time-out until all racks have an owner again.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(30);
/// The smallest share of good answers at which a second counts as good.
const GOOD_SHARE: f64 = 0.99;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Outage,
    Killed,
    Slow,
}

const FAULTS: [(Fault, &str); 4] = [
    (Fault::None, "none"),
    (Fault::Outage, "KV down for 30 s"),
    (Fault::Killed, "a member killed"),
    (Fault::Slow, "a worker ten times slower"),
];

/// Prints the table.
pub async fn run(args: &Args) -> Result<()> {
    let members = args.members.first().copied().unwrap_or(3);
    println!("\n{members} members, 50% of the slots' capacity, {} runs each.\n", args.runs);
    println!(
        "| fault | due | good % | of no fault | seconds not whole | p50 ms | p99 ms | greatest ms | \
         racks placed after s | not run | unknown |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let (mut base, mut reasons, mut wrong) = (vec![], vec![], 0);
    for (fault, name) in FAULTS {
        if &*args.part != "all" && !name.contains(&*args.part) && fault != Fault::None {
            continue;
        }
        let mut rows = vec![];
        for _ in 0..args.runs {
            let (outcome, placed, bad) = measure(fault, members).await?;
            wrong += outcome.wrong;
            if bad > 0 {
                reasons.push(format!("{name}: {bad} violations witnessed"));
            }
            if !outcome.reasons.is_empty() {
                reasons.push(format!("{name}: {}", outcome.reasons_line()));
            }
            rows.push((outcome, placed));
        }
        if fault == Fault::None {
            base = rows.iter().map(|(o, _)| good(o)).collect();
        }
        print(name, &rows, &base);
    }
    println!("\nAnswers not whole or not to their own request: {wrong}");
    println!("Reasons by run: {}", reasons.join("; "));
    Ok(())
}

async fn measure(fault: Fault, members: usize) -> Result<(Outcome, Option<f64>, u64)> {
    let mut cell = Cell::start(members, &present_fleets(), PRESENT_SCENARIO).await?;
    let time = FAULT_DELAY
        + TIME_AFTER_FAULT
        + if fault == Fault::Outage { OUTAGE } else { Duration::ZERO };
    let load = tokio::spawn(load::run(quoting_load(cell.callers()?, false, 0.5, time)));
    sleep(FAULT_DELAY).await;
    let mut placed = None;
    match fault {
        Fault::None => {}
        Fault::Outage => {
            cell.kv_fault(json!({"outage": true})).await?;
            sleep(OUTAGE).await;
            cell.kv_fault(json!({})).await?;
            placed = takeover_time(&cell, members).await;
        }
        Fault::Killed => {
            // The first member stays because the cell submits through it.
            let mut victim = cell.members.remove(1);
            victim.kill();
            placed = takeover_time(&cell, members).await;
        }
        Fault::Slow => {
            let all = workers(&cell).await?;
            let slow = all.first().ok_or("no workers")?;
            cell.worker_fault(*slow, json!({"slow": SLOWDOWN_MS})).await?;
        }
    }
    let outcome = load.await?;
    Ok((outcome, placed, cell.violations().await?))
}

/// The time in seconds until the remaining members own all workers and have them ready.
async fn takeover_time(cell: &Cell, members: usize) -> Option<f64> {
    let begun = Instant::now();
    // Workers of the dead member count as not owned until a takeover, so this waits for all 48.
    let count = cell.vms().await.ok()?.vms.len();
    while begun.elapsed() < PLACEMENT_TIMEOUT {
        if cell.wait_ready(count, POLL_INTERVAL).await.is_ok() {
            return Some(begun.elapsed().as_secs_f64());
        }
    }
    log::warn!("Racks were not placed again on {} of {members} members.", cell.members.len());
    None
}

fn good(o: &Outcome) -> f64 {
    100.0 * o.good as f64 / o.due as f64
}

fn print(name: &str, rows: &[(Outcome, Option<f64>)], base: &[f64]) {
    let each = |f: &dyn Fn(&Outcome) -> f64| rows.iter().map(|(o, _)| f(o)).collect::<Vec<_>>();
    let bad_seconds = |o: &Outcome| {
        let is_good = |(good, bad): &&(u64, u64)| *good as f64 >= GOOD_SHARE * (good + bad) as f64;
        o.seconds.iter().filter(|s| !is_good(s)).count() as f64
    };
    let ratio = rows.iter().zip(base).map(|((o, _), b)| good(o) / b);
    println!(
        "| {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        min_median_max(each(&|o| o.due as f64), 0),
        min_median_max(each(&good), 2),
        min_median_max(ratio, 4),
        min_median_max(each(&bad_seconds), 0),
        min_median_max(each(&|o| o.latency[0]), 1),
        min_median_max(each(&|o| o.latency[2]), 1),
        min_median_max(each(&|o| o.latency[4]), 1),
        min_median_max(rows.iter().filter_map(|(_, p)| *p), 2),
        min_median_max(each(&|o| o.not_run as f64), 0),
        min_median_max(each(&|o| o.unknown as f64), 0),
    );
}
