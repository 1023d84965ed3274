//! Runs a soak: members as real processes, their environment simulated in this process, and faults
//! drawn from a seed. The judge checks the scheduler's guarantees during the whole run.

mod callers;
pub mod clients;
mod crowds;
mod customers;
mod member;
mod play;
mod serve;
mod stage;

use {
    crate::Result,
    callers::Callers,
    lexopt::prelude::*,
    member::Members,
    serde::Serialize,
    stage::{Counts, Held, Stage},
    standin::site::{customers as tenants, judge::Breach, plan, worker::World},
    std::{
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::signal::unix::{SignalKind, signal},
};

/// Once no more faults come, all jobs must be over within this time.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between checks of whether all jobs are over.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a soak.
pub struct Options {
    /// Seed of faults, jobs and workers.
    pub seed: u64,
    /// Time during which faults and jobs are injected.
    pub length: Duration,
    /// Number of members.
    pub members: usize,
    /// Number of workers.
    pub workers: usize,
    /// Whether the judge checks the rules with a time bound.
    pub timed: bool,
    /// Whether there is planned work only.
    pub planned: bool,
    /// Whether there are customers, overload, unequal workers and data on racks.
    pub customers: bool,
    /// Whether each version of the configuration exchanges the pools of two queues.
    pub moves: bool,
    /// Whether crowds of clients misbehave.
    pub crowds: bool,
    /// Number of small tasks that are submitted at once every [`callers::SMALL_TASKS_INTERVAL`].
    pub small_tasks: u32,
    /// Memory that a member may use, in megabytes.
    pub memory_mb: usize,
    /// Descriptors that a member may use.
    pub max_fds: usize,
    /// Directory for the members' logs and settings.
    pub dir: PathBuf,
    /// Path of the members' binary.
    pub binary: PathBuf,
}

impl Options {
    /// The defaults of a soak.
    fn new() -> Result<Self> {
        let here = std::env::current_exe()?;
        let near = here.parent().ok_or("no directory")?;
        let target = near.parent().ok_or("no directory")?;
        Ok(Options {
            seed: 1,
            length: Duration::from_secs(60),
            members: 5,
            workers: 24,
            timed: true,
            planned: false,
            customers: true,
            moves: false,
            crowds: true,
            small_tasks: 0,
            memory_mb: 260,
            max_fds: 4_100,
            dir: target.join("soak"),
            binary: near.join("dogwoodreach-platform"),
        })
    }
}

/// Result of a soak.
#[derive(Serialize)]
struct Report {
    seed: u64,
    faults: Vec<String>,
    /// Crowds of clients that misbehave.
    crowds: Vec<String>,
    /// Changes of customers, and overloads.
    customers: Vec<String>,
    skipped: u64,
    counts: Counts,
    starts: u64,
    /// Number of acknowledged cancels.
    cancels: usize,
    held: Held,
    /// Number of workers' reports that listed only the first ends.
    cut_off_lists: u64,
    /// The first breach.
    breach: Option<String>,
    /// Recorded worker events and lines of the members' logs that concern the breach.
    lines: Vec<String>,
    logs: PathBuf,
}

/// Runs `standin soak`; errs if a rule was violated.
pub async fn command(mut args: lexopt::Parser) -> Result<()> {
    let mut options = Options::new()?;
    let mut json = false;
    while let Some(arg) = args.next()? {
        match arg {
            Long("seed") => options.seed = args.value()?.parse()?,
            Long("minutes") => {
                let minutes: f64 = args.value()?.parse()?;
                options.length = Duration::try_from_secs_f64(minutes * 60.0)?;
            }
            Long("members") => options.members = args.value()?.parse::<usize>()?.max(1),
            Long("workers") => options.workers = args.value()?.parse::<usize>()?.max(4),
            Long("untimed") => options.timed = false,
            Long("planned") => options.planned = true,
            Long("no-crowds") => options.crowds = false,
            Long("no-customers") => options.customers = false,
            Long("moves") => options.moves = true,
            Long("small-tasks") => options.small_tasks = args.value()?.parse()?,
            Long("binary") => options.binary = args.value()?.into(),
            Long("json") => json = true,
            _ => return Err(arg.unexpected().into()),
        }
    }
    options.dir.push(format!("seed-{}-{}", options.seed, std::process::id()));
    // On a signal the soak must end its members too, so it drops them instead of exiting at once.
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let report = tokio::select! {
        report = run(&options) => report?,
        _ = term.recv() => return Err("terminated by a signal".into()),
        _ = int.recv() => return Err("terminated by a signal".into()),
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        show(&report);
    }
    match report.breach {
        Some(_) => Err("a promise was broken".into()),
        None => Ok(()),
    }
}

fn show(report: &Report) {
    println!("seed {}", report.seed);
    report
        .faults
        .iter()
        .chain(&report.crowds)
        .chain(&report.customers)
        .for_each(|f| println!("  {f}"));
    println!("{} faults were skipped: their member was down", report.skipped);
    println!(
        "{}; {} starts, {} lists of ends cut off",
        report.counts, report.starts, report.cut_off_lists
    );
    println!("{} cancels were acknowledged; {}", report.cancels, report.held);
    match &report.breach {
        Some(breach) => println!("BROKEN {breach}"),
        None => println!("no promise was broken"),
    }
    report.lines.iter().for_each(|l| println!("  {l}"));
    println!("logs: {}", report.logs.display());
}

async fn run(options: &Options) -> Result<Report> {
    if !options.binary.exists() {
        let name = options.binary.display();
        return Err(format!("{name} is missing: cargo build --workspace makes it").into());
    }
    std::fs::create_dir_all(&options.dir)?;
    let draw = if options.planned { plan::planned_work } else { plan::faults };
    let mut faults = draw(options.seed, options.length, options.members, options.workers);
    if !options.planned {
        faults.extend(plan::unheard(options.seed, options.length, options.members));
        faults.sort_by_key(|f| f.at);
    }
    let stage = Stage::new(options);
    let serving = serve::start(&stage, options).await?;
    let members = Members::start(options, &stage, &serving).await?;
    let callers = Callers::new(&stage, &members, options);
    let begin = Instant::now();
    let playing = play::Play::new(&stage, &members, serving, &callers);
    let mut all = playing.start(&faults, begin, begin + options.length);
    let tail = if options.customers { tenants::tail(options.length) } else { Duration::ZERO };
    let load = callers.submit_until(begin + options.length + tail);
    let (changes, overloads) = match options.customers {
        true => (
            tenants::changes(options.seed, options.length),
            tenants::overloads(options.seed, options.length),
        ),
        false => (vec![], vec![]),
    };
    let more = customers::play(&stage, &callers, begin, &changes, &overloads);
    let small = callers.submit_small_tasks(options.small_tasks, begin + options.length);
    let crowds = if options.crowds { crowds::draw(options) } else { vec![] };
    let misbehave = crowds::play(&members, begin, &crowds);
    let all_load = async {
        tokio::select! {
            _ = async { tokio::join!(load, more, small, misbehave) } => {}
            () = crowds::watch(stage.clone(), members.clone(), options) => {}
        }
    };
    stage.until_breach(all_load).await;
    let calm = async { while all.join_next().await.is_some() {} };
    stage.until_breach(calm).await;
    finish(&stage, &callers).await;
    members.end(&stage).await;
    let (breach, starts, held, cut_off_lists) =
        stage.update(|s| (s.breach.clone(), s.rules.start_count, s.held, s.world.cut_off_lists));
    let told = |b: &Breach| [stage.read(|s| s.events_of(&b.text)), members.lines(&b.text)].concat();
    let lines = breach.as_ref().map(told).unwrap_or_default();
    Ok(Report {
        seed: options.seed,
        faults: faults.iter().map(ToString::to_string).collect(),
        crowds: crowds.iter().map(ToString::to_string).collect(),
        customers: overloads
            .iter()
            .map(ToString::to_string)
            .chain(changes.iter().map(ToString::to_string))
            .collect(),
        skipped: playing.skipped(),
        counts: callers.counts(),
        starts,
        cancels: stage.read(|s| s.rules.cancel_count()),
        held,
        cut_off_lists,
        breach: breach.map(|b| b.to_string()),
        lines,
        logs: options.dir.clone(),
    })
}

/// Waits without faults until every job is over and no run is active.
async fn finish(stage: &Stage, callers: &Callers) {
    callers.calm();
    stage.update(|s| s.lift_caps());
    let end = Instant::now() + SETTLE_TIMEOUT;
    let runs = |w: &World| w.workers.iter().map(|w| w.runs.len()).sum::<usize>();
    loop {
        let (open, runs) = (callers.open(), stage.update(|s| runs(&s.world)));
        if stage.has_breach() || (open.is_empty() && runs == 0) {
            return;
        }
        if Instant::now() > end {
            stage.report_breach(format!(
                "in the end {runs} tasks run, and these jobs aren't over: {open:?}"
            ));
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
