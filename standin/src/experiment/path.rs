//! Compares a load through the members with the same load sent directly to the workers, and
//! requests with keys with the same requests without keys.

use {
    super::{
        Args, PRESENT_SCENARIO,
        cell::Cell,
        present_fleets,
        usage::{self, min_median_max},
    },
    crate::{
        Result,
        load::{self, Load, Outcome},
    },
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

/// The slots of all quoting workers: 35 workers with 8 slots each.
pub const SLOTS: f64 = 280.0;
/// The run time of a request; 280 slots then serve 2,800 requests per second.
pub const RUN_TIME: Duration = Duration::from_millis(100);
/// The offered loads, as shares of the slots' capacity.
const LOAD_SHARES: [f64; 4] = [0.5, 0.8, 0.95, 1.3];

/// A load of quoting requests at a share of the slots' capacity.
pub fn quoting_load(to: Vec<SocketAddr>, direct: bool, share: f64, time: Duration) -> Load {
    Load {
        to,
        direct,
        service: "quoting".into(),
        rate: share * SLOTS / RUN_TIME.as_secs_f64(),
        time,
        run: RUN_TIME,
        callers: 40,
        deadline: Duration::from_secs(2),
        keys: 0.0,
    }
}

/// The addresses of the quoting workers.
pub async fn workers(cell: &Cell) -> Result<Vec<SocketAddr>> {
    let vms = cell.vms().await?.vms;
    Ok(vms.into_iter().filter(|v| v.pool.as_str() == "quoting").map(|v| v.addr).collect())
}

/// The extra latency of the store with `slow-keys`; a real store takes a few milliseconds.
const KV_DELAY_MS: u64 = 5;
/// Requests per second with keys; each request is claimed in the store before it runs.
const KEYED_RATES: [f64; 3] = [100.0, 400.0, 1200.0];

/// Prints the table of the whole path, or the table of claims with `keys` or `slow-keys`.
pub async fn run(args: &Args) -> Result<()> {
    match &*args.part {
        "keys" => compare_keys(args, 0).await,
        "slow-keys" => compare_keys(args, KV_DELAY_MS).await,
        _ => whole_path(args).await,
    }
}

/// Compares requests with keys with the same requests without keys.
async fn compare_keys(args: &Args, slow: u64) -> Result<()> {
    let members = args.members.first().copied().unwrap_or(3);
    println!(
        "\n{members} members; least / median / greatest of {} runs of {} s.\n",
        args.runs,
        args.time.as_secs()
    );
    println!(
        "| offered/s | keys | good/s | p50 ms | p99 ms | p50 with over without | refused % | \
         KV writes/s | members' cpu us/request | reasons |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for rate in KEYED_RATES {
        let mut base = vec![];
        for share in [0.0, 1.0] {
            let mut rows = vec![];
            for _ in 0..args.runs {
                // Each run has its own cell because claims stay in the store for a day.
                let cell = Cell::start(members, &present_fleets(), PRESENT_SCENARIO).await?;
                cell.kv_fault(json!({"slow": slow})).await?;
                let ids: Vec<u32> = cell.members.iter().map(|m| m.id()).collect();
                let used = || ids.iter().filter_map(|id| usage::cpu(*id)).sum::<f64>();
                let (cpu, writes) = (used(), cell.writes().await?);
                let mut load = quoting_load(cell.callers()?, false, 1.0, args.time);
                (load.rate, load.keys) = (rate, share);
                let o = load::run(load).await;
                let writes = (cell.writes().await? - writes) / args.time.as_secs_f64();
                let cpu_micros = 1e6 * (used() - cpu) / o.due as f64;
                rows.push((o, writes, cpu_micros));
            }
            if share == 0.0 {
                base = rows.iter().map(|(o, ..)| o.latency[0]).collect();
            }
            let each =
                |f: &dyn Fn(&Outcome) -> f64| rows.iter().map(|(o, ..)| f(o)).collect::<Vec<_>>();
            let reasons: Vec<String> = rows.iter().map(|(o, ..)| o.reasons_line()).collect();
            println!(
                "| {rate} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
                if share == 0.0 { "none" } else { "each" },
                min_median_max(each(&|o| o.goodput), 0),
                min_median_max(each(&|o| o.latency[0]), 1),
                min_median_max(each(&|o| o.latency[2]), 1),
                min_median_max(each(&|o| o.latency[0]).iter().zip(&base).map(|(a, b)| a / b), 2),
                min_median_max(each(&|o| 100.0 * (o.due - o.good) as f64 / o.due as f64), 2),
                min_median_max(rows.iter().map(|r| r.1), 0),
                min_median_max(rows.iter().map(|r| r.2), 0),
                reasons.join("; ")
            );
        }
    }
    Ok(())
}

async fn whole_path(args: &Args) -> Result<()> {
    let sizes = if args.members.is_empty() { vec![3, 9] } else { args.members.clone() };
    let platform_cell = Cell::start(0, &present_fleets(), PRESENT_SCENARIO).await?;
    let straight = workers(&platform_cell).await?;
    let mut cells = vec![];
    for size in &sizes {
        cells.push(Cell::start(*size, &present_fleets(), PRESENT_SCENARIO).await?);
    }
    println!("\nLeast / median / greatest of {} runs of {} s.\n", args.runs, args.time.as_secs());
    println!(
        "| offered | path | good/s | of straight | p50 ms | p99 ms | p99.9 ms | greatest ms | \
         p50 beyond the run ms | refused % | members' cpu us/request |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let (mut reasons, mut wrong) = (vec![], 0);
    for share in LOAD_SHARES {
        let mut rows: Vec<Vec<(Outcome, f64)>> = vec![vec![]; cells.len() + 1];
        for _ in 0..args.runs {
            let load = quoting_load(straight.clone(), true, share, args.time);
            rows[0].push((load::run(load).await, 0.0));
            for (cell, row) in cells.iter().zip(&mut rows[1..]) {
                let ids: Vec<u32> = cell.members.iter().map(|m| m.id()).collect();
                let used = || ids.iter().filter_map(|id| usage::cpu(*id)).sum::<f64>();
                let before = used();
                let outcome =
                    load::run(quoting_load(cell.callers()?, false, share, args.time)).await;
                let cpu_micros = 1e6 * (used() - before) / outcome.due as f64;
                row.push((outcome, cpu_micros));
            }
        }
        for (n, row) in rows.iter().enumerate() {
            let name = if n == 0 { "straight".into() } else { format!("{} members", sizes[n - 1]) };
            print(share, &name, row, &rows[0]);
            wrong += row.iter().map(|(o, _)| o.wrong).sum::<u64>();
            for (o, _) in row.iter().filter(|(o, _)| !o.reasons.is_empty()) {
                reasons.push(format!("{:.0}% {name}: {}", 100.0 * share, o.reasons_line()));
            }
        }
    }
    println!("\nReasons: {}", if reasons.is_empty() { "none".into() } else { reasons.join("; ") });
    println!("Answers not whole or not to their own request: {wrong}");
    for cell in &cells {
        println!("Violations witnessed by workers: {}", cell.violations().await?);
    }
    Ok(())
}

fn print(share: f64, name: &str, row: &[(Outcome, f64)], base: &[(Outcome, f64)]) {
    let each = |f: &dyn Fn(&Outcome) -> f64| row.iter().map(|(o, _)| f(o)).collect::<Vec<_>>();
    let ratio = row.iter().zip(base).map(|((o, _), (b, _))| o.goodput / b.goodput);
    let beyond = each(&|o| o.latency[0] - RUN_TIME.as_secs_f64() * 1000.0);
    println!(
        "| {:.0}% | {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        100.0 * share,
        min_median_max(each(&|o| o.goodput), 0),
        min_median_max(ratio, 3),
        min_median_max(each(&|o| o.latency[0]), 1),
        min_median_max(each(&|o| o.latency[2]), 1),
        min_median_max(each(&|o| o.latency[3]), 1),
        min_median_max(each(&|o| o.latency[4]), 1),
        min_median_max(beyond, 2),
        min_median_max(each(&|o| 100.0 * (o.due - o.good) as f64 / o.due as f64), 2),
        if name == "straight" {
            "-".into()
        } else {
            min_median_max(row.iter().map(|(_, c)| *c), 0)
        },
    );
}
