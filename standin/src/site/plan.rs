//! The faults and jobs of a soak, drawn from a seed so that a run can be repeated.

use {
    crate::site::{
        contact::Part,
        setup::{job, step},
    },
    derive_more::Display,
    dogwoodreach::{
        units::Size,
        work::{Job, Occurrences, Step},
    },
    std::{ops::Range, time::Duration},
};

/// Maximum time between the starts of two faults.
const MAX_GAP_MS: u64 = 4_000;
/// Time before the first fault.
const FIRST_FAULT_MS: u64 = 2_000;

/// Range of the gaps between two faults of [`unheard`].
const UNHEARD_GAP_MS: Range<u64> = 5_000..15_000;
/// Number of jobs that come as one of these faults delays their submissions.
const UNHEARD_BURST: u32 = 30;

/// A kind of fault. Members and workers are given by index, milliseconds and rates by number.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Fault {
    /// A member's process is killed and restarted.
    #[display("member {_0} is killed")]
    Kill(usize),
    /// All members are killed at once and restarted.
    #[display("all members are killed")]
    KillAll,
    /// The owner of the shard is killed and restarted.
    #[display("the owner is killed")]
    KillOwner,
    /// The owner of the shard is suspended (`SIGSTOP`).
    #[display("the owner stands still")]
    FreezeOwner,
    /// The owner of the shard is cut off from the store.
    #[display("the owner is cut off from the store")]
    CutOwner,
    /// The owner of the shard is cut off from the workers.
    #[display("the owner is cut off from the workers")]
    OwnerApart,
    /// All members are suspended.
    #[display("all members stand still")]
    FreezeAll,
    /// A member reloads its settings (`SIGHUP`).
    #[display("member {_0} reads its settings again")]
    Reload(usize),
    /// A member is killed right after a new configuration is written.
    #[display("a new configuration, and member {_0} is killed")]
    ConfigKill(usize),
    /// This number of configurations is written in quick succession.
    #[display("{_0} new configurations")]
    Storm(u32),
    /// A member is suspended (`SIGSTOP`).
    #[display("member {_0} stands still")]
    Freeze(usize),
    /// A member is shut down (`SIGTERM`) and restarted.
    #[display("member {_0} is told to end")]
    Stop(usize),
    /// A member is removed; a new member at other addresses replaces it.
    #[display("member {_0} is replaced")]
    Replace(usize),
    /// A member is cut off from the store.
    #[display("member {_0} is cut off from the store")]
    CutStore(usize),
    /// A member's open connections to the store stay open but carry no more data.
    #[display("member {_0}'s connections to the store are silent")]
    SilentStore(usize),
    /// A member is cut off from the workers.
    #[display("member {_0} is cut off from the workers")]
    CutWorkers(usize),
    /// A member is cut off from callers.
    #[display("member {_0} is cut off from callers")]
    CutCallers(usize),
    /// The callers' open connections to a member stay open but carry no more data.
    #[display("callers' connections to member {_0} are silent")]
    SilentCallers(usize),
    /// The store executes no calls.
    #[display("the store is down")]
    Down,
    /// One in this number of the store's answers is lost.
    #[display("one of {_0} answers of the store is lost")]
    Losing(u32),
    /// The store rejects the calls of one member and serves the others.
    #[display("the store refuses member {_0}")]
    Refusing(usize),
    /// The store rejects the calls of the shard's owner and serves the others.
    #[display("the store refuses the owner")]
    RefusingOwner,
    /// The store rejects the calls of all members, of which there are this many.
    #[display("the store refuses all {_0} members")]
    RefusingAll(usize),
    /// The owner's open connections to the store stay open but carry no more data.
    #[display("the owner's connections to the store are silent")]
    SilentOwner,
    /// The store's answers take this many milliseconds longer.
    #[display("the store takes {_0} ms more")]
    Slow(u64),
    /// The store drops its history, so watches must reload.
    #[display("the store forgets its history")]
    Forget,
    /// A worker's process ends and is restarted.
    #[display("worker {_0} crashes")]
    Crash(usize),
    /// A worker is cut off; its runs continue.
    #[display("worker {_0} is cut off")]
    CutOff(usize),
    /// The open connections to a worker stay open but carry no more data.
    #[display("connections to worker {_0} are silent")]
    Silent(usize),
    /// Every run on a worker fails.
    #[display("worker {_0} fails all that it starts")]
    Grey(usize),
    /// A worker refuses all calls.
    #[display("worker {_0} is unwell")]
    Unwell(usize),
    /// A worker is unresponsive, and its runs make no progress.
    #[display("worker {_0} stands still")]
    Hung(usize),
    /// A worker runs at a fifth of its speed.
    #[display("worker {_0} is slow")]
    Lame(usize),
    /// A worker leaves, and another one replaces it.
    #[display("worker {_0} leaves")]
    Leave(usize),
    /// One in this number of orders is executed seconds late.
    #[display("one of {_0} orders is carried out late")]
    Late(u32),
    /// The advice service answers no calls.
    #[display("no advice")]
    NoAdvice,
    /// A new version of the configuration is written.
    #[display("a new configuration")]
    Config,
    /// About half of the open jobs are cancelled.
    #[display("a wave of cancels")]
    Cancels,
    /// This number of jobs is submitted at once.
    #[display("a burst of {_0} jobs")]
    Burst(u32),
}

impl Fault {
    /// Whether this is planned work of operators or callers, which must not cost any call its answer.
    pub fn is_planned(&self) -> bool {
        use Fault::{Burst, Cancels, Config, Leave, Reload, Stop, Storm};
        matches!(self, Burst(_) | Cancels | Config | Leave(_) | Reload(_) | Stop(_) | Storm(_))
    }

    /// The parts that are not in touch during the fault, by the rules of the deployment. Work that is
    /// planned at the store and what callers do disturb none.
    pub fn disturbed(&self, members: usize) -> Vec<Part> {
        use Fault::{
            Crash, CutCallers, CutOff, CutStore, CutWorkers, Down, Forget, Freeze, FreezeAll, Hung,
            Kill, KillAll, Late, Losing, Refusing, RefusingAll, Replace, Silent, SilentCallers,
            SilentStore, Slow, Stop, Unwell,
        };
        match *self {
            Kill(m) | Freeze(m) | Stop(m) | Replace(m) | CutStore(m) | SilentStore(m)
            | CutWorkers(m) | CutCallers(m) | SilentCallers(m) | Refusing(m) => {
                vec![Part::Member(m)]
            }
            KillAll | FreezeAll => (0..members).map(Part::Member).collect(),
            Down | Losing(_) | Slow(_) | Forget | RefusingAll(_) => vec![Part::Store],
            Crash(w) | CutOff(w) | Silent(w) | Unwell(w) | Hung(w) => vec![Part::Worker(w)],
            Late(_) => vec![Part::Orders],
            _ => vec![],
        }
    }

    /// Whether a member's orders may reach workers long after it decided on them, or a member may
    /// not learn of a new configuration, because it is frozen or cut off.
    pub fn delays_orders(&self) -> bool {
        use Fault::{
            CutOwner, CutStore, CutWorkers, Freeze, FreezeAll, FreezeOwner, Late, OwnerApart,
        };
        let frozen = matches!(self, Freeze(_) | FreezeAll | FreezeOwner);
        let cut = matches!(self, CutOwner | CutStore(_) | CutWorkers(_) | OwnerApart);
        frozen || cut || matches!(self, Late(_))
    }
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:.1} s: {fault}, {:.1} s", at.as_secs_f64(), lasts.as_secs_f64())]
pub struct Planned {
    /// The fault.
    pub fault: Fault,
    /// Start, as an offset from the start of the soak.
    pub at: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
}

/// Draws the faults of a soak of this length. The kinds come in shuffled rounds of all 37, so the
/// first 74 faults include each kind twice.
pub fn faults(seed: u64, length: Duration, members: usize, workers: usize) -> Vec<Planned> {
    draw_faults(seed, length, members, workers, |_| true)
}

/// Draws the faults of a soak of this length that has planned work only.
pub fn planned_work(seed: u64, length: Duration, members: usize, workers: usize) -> Vec<Planned> {
    draw_faults(seed, length, members, workers, Fault::is_planned)
}

fn draw_faults(
    seed: u64,
    length: Duration,
    members: usize,
    workers: usize,
    keep: impl Fn(&Fault) -> bool,
) -> Vec<Planned> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut kinds: Vec<u8> = Vec::new();
    let (mut all, mut at) = (Vec::new(), FIRST_FAULT_MS);
    while u128::from(at) < length.as_millis() {
        if kinds.is_empty() {
            kinds = (0..KIND_COUNT).collect();
            rng.shuffle(&mut kinds);
        }
        let kind = kinds.pop().unwrap_or_default();
        let (fault, shortest, longest) = fault(kind, &mut rng, members, workers);
        if !keep(&fault) {
            continue;
        }
        let lasts = Duration::from_millis(rng.u64(shortest..=longest));
        all.push(Planned { fault, at: Duration::from_millis(at), lasts });
        at += rng.u64(0..MAX_GAP_MS);
    }
    all
}

/// Draws the faults of a soak of this length that keep cancels from the shard's owner, or cancels from
/// coming after their jobs. Their generator is their own, so that the other faults of a seed stay the same.
pub fn unheard(seed: u64, length: Duration, members: usize) -> Vec<Planned> {
    let mut rng = fastrand::Rng::with_seed(!seed);
    let (mut all, mut at) = (Vec::new(), FIRST_FAULT_MS);
    let ms = Duration::from_millis;
    loop {
        at += rng.u64(UNHEARD_GAP_MS);
        let (long, short) = (rng.u64(2_000..7_000), rng.u64(300..1_000));
        if u128::from(at + long + short) >= length.as_millis() {
            return all;
        }
        let mut plan = |fault, after, lasts| {
            all.push(Planned { fault, at: ms(at + after), lasts: ms(lasts) });
        };
        match rng.u32(0..3) {
            0 => {
                plan(Fault::RefusingOwner, 0, long);
                plan(Fault::Cancels, rng.u64(0..long), 100);
                if rng.bool() {
                    plan(Fault::RefusingAll(members), long, short);
                }
            }
            1 => {
                plan(Fault::SilentOwner, 0, 100);
                plan(Fault::Cancels, rng.u64(0..1_000), 100);
            }
            _ => {
                plan(Fault::Losing(2), 0, short);
                plan(Fault::Burst(UNHEARD_BURST), 0, 100);
            }
        }
    }
}

/// Number of kinds of faults that [`fault`] draws.
const KIND_COUNT: u8 = 37;

/// Draws a fault of a kind. Returns the fault and its minimum and maximum duration in
/// milliseconds.
fn fault(kind: u8, rng: &mut fastrand::Rng, members: usize, workers: usize) -> (Fault, u64, u64) {
    let (m, w) = (rng.usize(0..members), rng.usize(0..workers));
    match kind {
        0 => (Fault::Kill(m), 200, 1_500),
        1 => (Fault::KillAll, 200, 1_500),
        2 => (Fault::Freeze(m), 500, 2_000),
        3 => (Fault::Freeze(m), 3_000, 9_000),
        4 => (Fault::Stop(m), 200, 1_500),
        5 => (Fault::Replace(m), 200, 1_500),
        6 => (Fault::CutStore(m), 1_000, 9_000),
        7 => (Fault::SilentStore(m), 100, 100),
        8 => (Fault::CutCallers(m), 1_000, 5_000),
        9 => (Fault::SilentCallers(m), 100, 100),
        10 => (Fault::Down, 1_000, 8_000),
        11 => (Fault::Losing(rng.u32(3..12)), 2_000, 8_000),
        12 => (Fault::Refusing(m), 2_000, 8_000),
        13 => (Fault::Slow(rng.u64(50..800)), 2_000, 8_000),
        14 => (Fault::Forget, 100, 100),
        15 => (Fault::Crash(w), 300, 4_000),
        16 => (Fault::CutOff(w), 1_000, 12_000),
        17 => (Fault::Silent(w), 100, 100),
        18 => (Fault::Grey(w), 2_000, 8_000),
        19 => (Fault::Unwell(w), 1_000, 8_000),
        20 => (Fault::Hung(w), 1_000, 8_000),
        21 => (Fault::Lame(w), 2_000, 8_000),
        22 => (Fault::Leave(w), 30_500, 32_000),
        23 => (Fault::Late(rng.u32(4..20)), 3_000, 8_000),
        24 => (Fault::NoAdvice, 2_000, 8_000),
        25 => (Fault::Config, 100, 100),
        26 => (Fault::Cancels, 100, 100),
        27 => (Fault::Burst(rng.u32(5..20)), 100, 100),
        28 => (Fault::CutWorkers(m), 1_000, 12_000),
        29 => (Fault::KillOwner, 200, 1_500),
        30 => (Fault::FreezeOwner, 1_000, 9_000),
        31 => (Fault::CutOwner, 1_000, 9_000),
        32 => (Fault::OwnerApart, 1_000, 12_000),
        33 => (Fault::FreezeAll, 500, 5_000),
        34 => (Fault::Reload(m), 100, 100),
        35 => (Fault::ConfigKill(m), 200, 1_500),
        _ => (Fault::Storm(rng.u32(5..20)), 100, 100),
    }
}

/// A drawn job and what its caller does with it.
#[derive(Clone, Debug, PartialEq)]
pub struct DrawnJob {
    /// Number of the job.
    pub no: u64,
    /// Name of the job's queue.
    pub queue: &'static str,
    /// Specification of the job.
    pub job: Job,
    /// Whether the tasks of the last step always fail.
    pub fails: bool,
    /// Time from the job's acceptance to its cancel.
    pub cancel: Option<Duration>,
    /// Whether the caller submits the job again some seconds after its acceptance.
    pub resubmit: bool,
}

/// With at least this number of workers, advice leaves enough suitable workers for every gang.
const GANG_ADVICE_WORKERS: usize = 16;

/// Draws a job for a cluster of `workers` workers; `unix` is the Unix time in milliseconds.
pub fn draw_job(rng: &mut fastrand::Rng, workers: usize, unix: u64) -> DrawnJob {
    let queue = ["plain", "urgent", "open", "advised"][rng.usize(0..4)];
    let job = draw_spec(rng, unix);
    let large = workers < GANG_ADVICE_WORKERS && job.steps.iter().any(|s| s.gang);
    let queue = if large && queue == "advised" { "open" } else { queue };
    let lasts = job.steps.iter().any(|s| s.lasts);
    let cancel = match rng.u32(0..100) {
        _ if lasts => Some(rng.u64(4_000..20_000)),
        0..4 => Some(0),
        4..10 => Some(rng.u64(0..3_000)),
        _ => None,
    };
    DrawnJob {
        no: rng.u64(..),
        queue,
        job,
        fails: !lasts && rng.u32(0..100) < 4,
        cancel: cancel.map(Duration::from_millis),
        resubmit: rng.u32(0..100) < 6,
    }
}

/// Number of tasks of a job of [`draw_small_tasks`].
pub const SMALL_TASKS: u32 = 100;

/// Draws a job of tasks of which a worker has room for thousands, and of a last one after them.
pub fn draw_small_tasks(rng: &mut fastrand::Rng) -> DrawnJob {
    let size = Size::new(0, 1, 0);
    let small = Step { size, ..step(SMALL_TASKS, rng.u64(2_000..5_000)) };
    let last = Step { size, after: [0].into(), ..step(1, 300) };
    let (no, job) = (rng.u64(..), job([small, last]));
    DrawnJob { no, queue: "open", job, fails: false, cancel: None, resubmit: false }
}

fn draw_spec(rng: &mut fastrand::Rng, unix: u64) -> Job {
    let (few, ms) = (rng.u32(1..5), rng.u64(300..1_500));
    let saving = Step { saves: true, ..step(few, 2 * ms) };
    let gang = Step { gang: true, tight: rng.bool(), saves: rng.bool(), ..step(few + 1, 2 * ms) };
    let label = Step { needs: Some("gpu".into()), size: Size::new(1, 512, 1), ..step(1, ms) };
    let times = Some(Occurrences { count: 3, first: unix + 2_000, every: 1_500 });
    match rng.u32(0..20) {
        0..5 => job([step(1, 300), Step { after: [0].into(), ..step(few + 1, ms) }]),
        5..8 => job([step(few, ms), step(1, 300), Step { after: [0, 1].into(), ..saving }]),
        8..10 => job([saving]),
        10..13 => job([gang]),
        13 => job([step(1, 300), Step { after: [0].into(), ..gang }]),
        14 => job([label]),
        15 => job([Step { near: Some("r2".into()), apart: 1, ..step(2, ms) }]),
        16 => job([Step { copies: true, ..step(few, ms) }]),
        17 => Job { times, ..job([step(2, 300)]) },
        18 => job([Step { fills: true, image: "sift".into(), ..step(few, ms) }]),
        _ => job([long_running(few.min(2))]),
    }
}

fn long_running(count: u32) -> Step {
    Step { lasts: true, target: 100, image: "web".into(), may_miss: Some(1), ..step(count, 1) }
}
