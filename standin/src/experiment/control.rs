//! Measures the cost of control: processor time, memory, bytes and store calls of the members.

use {
    super::{
        Args, PRESENT_SCENARIO,
        cell::{Cell, Fleet, ZONES},
        config::large_text,
        path::quoting_load,
        present_fleets,
        starts::{TEAM_COUNT, teams_of},
        usage::{self, Usage, fit_line, min_median_max},
    },
    crate::{Result, load},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How long a cell settles before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The time-out until all tasks have started.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// The interval between two changes of the text, which makes 8,640 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// One condition under which a cell is measured; `x` is the value of the varied quantity.
struct Case {
    x: f64,
    name: String,
    members: usize,
    workers: u32,
    text: String,
    tasks: u32,
    load: f64,
}

type Figure = fn(&Row) -> f64;

struct Row {
    x: f64,
    members: Vec<Usage>,
    calls: BTreeMap<Box<str>, f64>,
}

/// Prints the tables, or one of them.
pub async fn run(args: &Args) -> Result<()> {
    let parts: [(&str, &str, Vec<Case>); 7] = [
        ("workers", "worker", [48, 200, 800].map(|n| case_of_size(3, n, n)).into()),
        ("members", "member", [3, 9, 18].map(|n| case_of_size(n as usize, 48, n)).into()),
        // Separates a member's cost for all workers from its cost for the workers that it owns.
        ("wide", "member", [3, 9, 18].map(|n| case_of_size(n as usize, 800, n)).into()),
        ("tasks", "task", [0, 1000, 4000].map(with_tasks).into()),
        ("teams", "team", [1, 100, 310].map(with_teams).into()),
        ("text", "KB of text", vec![case_of_size(3, 48, 0), with_large_text()]),
        ("load", "request/s", [0.0, 0.25, 0.5].map(with_load).into()),
    ];
    for (part, unit, cases) in parts {
        if &*args.part == "all" || &*args.part == part {
            table(part, unit, cases, args).await?;
        }
    }
    Ok(())
}

async fn table(part: &str, unit: &str, cases: Vec<Case>, args: &Args) -> Result<()> {
    println!(
        "\nControl by {part}; a member's least / median / greatest over {} s.\n",
        args.time.as_secs()
    );
    println!(
        "| condition | cpu % of a core | MB | KB/s sent | KB/s received | of it the VM list | KV calls/s, all members |"
    );
    println!("|---|---|---|---|---|---|---|");
    let mut rows = vec![];
    for case in cases {
        let row = measure(&case, args.time).await?;
        let each = |f: fn(&Usage) -> f64| row.members.iter().map(f).collect::<Vec<_>>();
        let calls: Vec<String> = row.calls.iter().map(|(k, n)| format!("{k} {n:.1}")).collect();
        println!(
            "| {} | {} | {} | {} | {} | {} | {} |",
            case.name,
            min_median_max(each(|u| u.cpu), 2),
            min_median_max(each(|u| u.memory), 1),
            min_median_max(each(|u| u.sent), 1),
            min_median_max(each(|u| u.received), 1),
            min_median_max(each(|u| u.list), 1),
            calls.join(", ")
        );
        rows.push(row);
    }
    let slope = |f: fn(&Row) -> f64| {
        let points: Vec<(f64, f64)> = rows.iter().map(|r| (r.x, f(r))).collect();
        fit_line(&points)
    };
    // Sums over the members, because they share the work; each also has a fixed cost of its own.
    let figures: [(&str, Figure); 6] = [
        ("cpu, ms/s", |r| r.members.iter().map(|u| u.cpu * 10.0).sum()),
        ("memory, KB", |r| r.members.iter().map(|u| u.memory * 1024.0).sum()),
        ("bytes/s sent", |r| r.members.iter().map(|u| u.sent * 1024.0).sum()),
        ("bytes/s received", |r| r.members.iter().map(|u| u.received * 1024.0).sum()),
        ("bytes/s of the VM list", |r| r.members.iter().map(|u| u.list * 1024.0).sum()),
        ("KV calls/s", |r| r.calls.values().sum()),
    ];
    println!("\nSlopes, least squares, summed over members, for each {unit} (and at none):");
    for (what, f) in figures {
        let (slope, none) = slope(f);
        println!("- {what}: {slope:.4} (and {none:.1})");
    }
    Ok(())
}

async fn measure(case: &Case, time: Duration) -> Result<Row> {
    let fleets = if case.workers == 48 { present_fleets() } else { fleets(case.workers) };
    let mut cell = Cell::start(case.members, &fleets, &case.text).await?;
    let begun = Instant::now();
    while cell.witness("starts").await? < u64::from(case.tasks) {
        if begun.elapsed() > START_TIMEOUT {
            let n = cell.witness("starts").await?;
            println!(
                "(only {n} of {} tasks started within {} s)",
                case.tasks,
                START_TIMEOUT.as_secs()
            );
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    sleep(SETTLE_TIME).await;
    let ids: Vec<u32> = cell.members.iter().map(|m| m.id()).collect();
    let load = quoting_load(cell.callers()?, false, case.load, time + CHANGE_INTERVAL);
    let load = (case.load > 0.0).then(|| tokio::spawn(load::run(load)));
    if load.is_some() {
        sleep(SETTLE_TIME).await;
    }
    let before = cell.kv_calls().await?;
    let members = usage::watch(&ids, cell.vm_list_addr()?, time).await;
    let after = cell.kv_calls().await?;
    let seconds = time.as_secs_f64();
    let mut calls = after;
    for (kind, n) in before {
        *calls.entry(kind).or_default() -= n;
    }
    let calls = calls.into_iter().map(|(kind, n)| (kind, n as f64 / seconds)).collect();
    if let Some(load) = load {
        load.abort();
    }
    cell.members.iter_mut().for_each(|m| m.kill());
    Ok(Row { x: case.x, members, calls })
}

fn case_of_size(members: usize, workers: u32, x: u32) -> Case {
    let name = format!("{members} members, {workers} workers");
    let text = PRESENT_SCENARIO.replace("workers = 35", &format!("workers = {workers}"));
    Case { x: f64::from(x), name, members, workers, text, tasks: 0, load: 0.0 }
}

fn with_tasks(n: u32) -> Case {
    let mut case = case_of_size(3, 48, n);
    case.name = format!("{n} replicas run, in jobs of 20, of {TEAM_COUNT} teams");
    case.tasks = n;
    case.text += &teams_of(TEAM_COUNT);
    case.text += &(0..n / 20)
        .map(|n| {
            let team = n % TEAM_COUNT;
            format!(
                "\n[replicas feed-{n}]\nteam = t{team}\npool = quoting\ntasks = 20\n\
                 cores = 100m\nmemory = 64MB\n"
            )
        })
        .collect::<String>();
    case
}

fn with_teams(n: u32) -> Case {
    let mut case = case_of_size(3, 48, n);
    case.name = format!("{n} teams");
    case.text += &teams_of(n - 1);
    case
}

fn with_large_text() -> Case {
    let mut case = case_of_size(3, 48, 900);
    case.name = "a text of 900 KB, its jobs ended".into();
    case.text = large_text(0);
    case.tasks = u32::try_from(case.text.matches("[batch").count()).unwrap_or(0);
    case
}

fn with_load(share: f64) -> Case {
    let mut case = case_of_size(3, 48, 0);
    case.x = 2800.0 * share;
    case.name = format!("{:.0} requests/s", 2800.0 * share);
    case.load = share;
    case
}

/// Workers of one pool, five per rack, spread evenly over the availability zones.
fn fleets(workers: u32) -> Vec<Fleet> {
    let racks = workers / 5;
    let share = |n: u32| (racks + n) / 3;
    let zones = ZONES.iter().zip(0..);
    let fleet = |(zone, n): (&&'static str, u32)| Fleet {
        pool: "quoting",
        zone,
        racks: share(n),
        each: 5,
        cores: 16,
        memory: 64,
        accels: 0,
    };
    zones.map(fleet).collect()
}
