//! The load through faults: an outage of the key-value service, a member killed, a slow worker.

use {
    super::{
        Args, TODAY,
        cell::{Cell, LOOK},
        path::{quotes, workers},
        today,
        usage::spread,
    },
    crate::{
        Result,
        load::{self, Outcome},
    },
    serde_json::json,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// When a fault begins, counted from the load's begin.
const BEGIN: Duration = Duration::from_secs(4);
/// How long the key-value service is down.
const OUTAGE: Duration = Duration::from_secs(30);
/// How long the load goes on after a fault has ended, or after one that stays has begun.
const AFTER: Duration = Duration::from_secs(14);
/// How much longer requests run at the slow worker: ten times as long as elsewhere.
const SLOW_MS: u64 = 900;
/// How long racks may take to be placed again.
const PLACED: Duration = Duration::from_secs(30);
/// A second is whole when at least this share of its requests was answered well.
const WHOLE: f64 = 0.99;

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
            let (outcome, placed, bad) = one(fault, members).await?;
            wrong += outcome.wrong;
            if bad > 0 {
                reasons.push(format!("{name}: {bad} violations witnessed"));
            }
            if !outcome.reasons.is_empty() {
                reasons.push(format!("{name}: {}", outcome.why()));
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

async fn one(fault: Fault, members: usize) -> Result<(Outcome, Option<f64>, u64)> {
    let mut cell = Cell::start(members, &today(), TODAY).await?;
    let time = BEGIN + AFTER + if fault == Fault::Outage { OUTAGE } else { Duration::ZERO };
    let load = tokio::spawn(load::run(quotes(cell.callers()?, false, 0.5, time)));
    sleep(BEGIN).await;
    let mut placed = None;
    match fault {
        Fault::None => {}
        Fault::Outage => {
            cell.kv_fault(json!({"outage": true})).await?;
            sleep(OUTAGE).await;
            cell.kv_fault(json!({})).await?;
            placed = again(&cell, members).await;
        }
        Fault::Killed => {
            // Not the first: the cell submits through it.
            let mut victim = cell.members.remove(1);
            victim.kill();
            placed = again(&cell, members).await;
        }
        Fault::Slow => {
            let all = workers(&cell).await?;
            let slow = all.first().ok_or("no workers")?;
            cell.worker_fault(*slow, json!({"slow": SLOW_MS})).await?;
        }
    }
    let outcome = load.await?;
    Ok((outcome, placed, cell.violations().await?))
}

/// How long it takes until the members left own all workers and have them ready.
async fn again(cell: &Cell, members: usize) -> Option<f64> {
    let begun = Instant::now();
    // What the dead member owned is still counted as owned by nobody: wait for all 48.
    let count = cell.vms().await.ok()?.vms.len();
    while begun.elapsed() < PLACED {
        if cell.placed(count, LOOK).await.is_ok() {
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
    let broken = |o: &Outcome| {
        let whole = |(good, bad): &&(u64, u64)| *good as f64 >= WHOLE * (good + bad) as f64;
        o.seconds.iter().filter(|s| !whole(s)).count() as f64
    };
    let ratio = rows.iter().zip(base).map(|((o, _), b)| good(o) / b);
    println!(
        "| {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        spread(each(&|o| o.due as f64), 0),
        spread(each(&good), 2),
        spread(ratio, 4),
        spread(each(&broken), 0),
        spread(each(&|o| o.latency[0]), 1),
        spread(each(&|o| o.latency[2]), 1),
        spread(each(&|o| o.latency[4]), 1),
        spread(rows.iter().filter_map(|(_, p)| *p), 2),
        spread(each(&|o| o.not_run as f64), 0),
        spread(each(&|o| o.unknown as f64), 0),
    );
}
