//! Experiments on the whole request path: starts the processes on this machine, applies a load and
//! prints a table.
//!
//! Each experiment compares with a baseline in the same run, since ratios carry over to other
//! machines and absolute figures don't. An experiment always ends the processes that it started, by
//! process id, also on errors and signals.

mod cell;
mod config;
mod control;
mod faults;
mod leaving;
mod path;
mod starts;
mod usage;

use {
    crate::Result,
    cell::{Fleet, ZONES},
    lexopt::prelude::*,
    std::{fs, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Command-line arguments of an experiment.
struct Args {
    runs: usize,
    time: Duration,
    members: Vec<usize>,
    part: Box<str>,
}

/// Runs `standin experiment`. Errs if the experiment's name is unknown or a cell doesn't become
/// ready.
pub async fn command(mut args: lexopt::Parser) -> Result<()> {
    let mut name = String::new();
    let mut parsed =
        Args { runs: 3, time: Duration::from_secs(4), members: vec![], part: "all".into() };
    while let Some(arg) = args.next()? {
        match arg {
            Value(value) if name.is_empty() => name = value.string()?,
            Long("runs") => parsed.runs = args.value()?.parse()?,
            Long("seconds") => parsed.time = Duration::from_secs(args.value()?.parse()?),
            Long("members") => {
                let list = args.value()?.string()?;
                parsed.members =
                    list.split(',').map(str::parse).collect::<std::result::Result<_, _>>()?;
            }
            Long("part") => parsed.part = args.value()?.string()?.into(),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    println!("load average at the start: {}", load_average());
    // A signal drops the experiment's future, and the processes that it started end with it.
    tokio::select! {
        done = run(&name, &parsed) => done?,
        _ = term.recv() => return Err("ended by a signal".into()),
        _ = int.recv() => return Err("ended by a signal".into()),
    }
    println!("load average at the end: {}", load_average());
    Ok(())
}

async fn run(name: &str, args: &Args) -> Result<()> {
    match name {
        "path" => path::run(args).await,
        "faults" => faults::run(args).await,
        "config" => config::run(args).await,
        "control" => control::run(args).await,
        "leaving" => leaving::run(args).await,
        "starts" => starts::run(args).await,
        _ => Err("one of path, faults, config, control, leaving, starts".into()),
    }
}

fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}

/// Tausi's present workers: 35 for quoting in racks of five, and 13 for engineering in three racks
/// of three and one rack of four.
fn present_fleets() -> Vec<Fleet> {
    let quoting = |zone, racks| Fleet {
        pool: "quoting",
        zone,
        racks,
        each: 5,
        cores: 16,
        memory: 64,
        accels: 0,
    };
    let engineering = |zone, racks, each| Fleet {
        pool: "engineering",
        zone,
        racks,
        each,
        cores: 128,
        memory: 512,
        accels: 8,
    };
    vec![
        quoting(ZONES[0], 3),
        quoting(ZONES[1], 2),
        quoting(ZONES[2], 2),
        engineering(ZONES[0], 2, 3),
        engineering(ZONES[1], 1, 3),
        engineering(ZONES[2], 1, 4),
    ]
}

/// A scenario text of the present size, without tasks.
const PRESENT_SCENARIO: &str = "\
[pool quoting]
cores = 16
memory = 64GB
workers = 35

[pool engineering]
cores = 128
memory = 512GB
accelerators = 8
workers = 13

[team underwriting]
weight = 4

[service quoting]
team = underwriting
pool = quoting
deadline = 2s
run = 100ms
";
