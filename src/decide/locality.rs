//! Decides how long tasks wait for room on the rack on which they run fastest: the rack of their
//! data, or the rack of their group.
//!
//! *Load pattern:* for some seconds most short steps request the same rack, and that rack is full.
//! Elsewhere a task takes `remote_factor` times as long. *Without it:* each task that finds its
//! rack full starts elsewhere at once. With a factor of 3, a task of 0.7 s occupies its cores for
//! 2.1 s, although a task on the rack ends every few milliseconds. The job is late, and so is the
//! work behind it. A fixed wait is wrong in both directions: too short for long tasks, and spent in
//! vain by short ones when the rack is crowded.
//!
//! So a task waits while the expected wait plus its run on the rack are shorter than a run
//! elsewhere, and while its job doesn't lose value by the wait. The expected wait is that until the
//! ends of enough runs on the rack: one for the task, and those that work ahead of it takes.
//!
//! *Bounded regret:* a step waits at most as long as a start elsewhere would cost, and at most twice
//! as long as was expected when the wait began. The error of the expectation is learned, so that a
//! rack whose room others take again and again isn't waited for again at once.

use {
    crate::Time,
    rustc_hash::FxHashMap,
    std::{collections::VecDeque, hash::Hash, time::Duration},
};

/// Ratio of the longest wait to the expected one.
const MAX_OVERRUN: u32 = 2;
/// Time added to the longest wait: the pause between two scheduling rounds and the time until the
/// end of a run is received.
const ROUND_TIME: Duration = Duration::from_millis(100);
/// Number of the last run times that are kept of each kind.
const MAX_SAMPLES: usize = 31;
/// Minimum number of run times from which an estimate is corrected.
const MIN_SAMPLES: usize = 5;
/// Weight of a new error of an expected wait, as a divisor.
const ERROR_DIVISOR: f64 = 8.0;
/// Largest ratio of waits to the times until the ends of runs that is learned.
const MAX_ERROR: f64 = 4.0;
/// Time in which half of the learned error is forgotten. While waits seem not to pay there are no
/// new observations, and the rack may have become free since.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(5);

/// What decides whether a wait of a step's tasks pays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Expected duration of a run on the rack.
    pub run: Duration,
    /// How many times as long the run takes elsewhere.
    pub factor: f64,
    /// Time for which the job can wait and lose no value.
    pub slack: Duration,
}

/// The tasks of a step by where and when they should start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Number of tasks that can start on the rack now.
    pub now: usize,
    /// Number of tasks that should wait for the rack. The others should start anywhere.
    pub waiting: usize,
    /// Expected wait of the last of them.
    pub wait: Duration,
    /// Whether that is the time after less urgent runs on the rack have been stopped.
    pub by_stops: bool,
}

impl Terms {
    /// Returns how much longer a run takes elsewhere.
    pub fn gain(&self) -> Duration {
        self.run.mul_f64((self.factor - 1.0).max(0.0))
    }

    /// Returns the duration of a run elsewhere.
    pub fn elsewhere(&self) -> Duration {
        self.run + self.gain()
    }

    /// Returns whether a wait ends earlier than a start elsewhere, within the slack.
    pub fn pays(&self, wait: Duration) -> bool {
        wait < self.gain() && wait <= self.slack
    }

    /// Decides which of `count` tasks wait.
    ///
    /// `slots` has, in ascending order, the times until there is room for one more task on the
    /// rack; 0 is room that the step may use now. Work that comes before the step takes the next
    /// `ahead` of the later ones. With `whole`, either all tasks wait that can't start now or none
    /// does.
    pub fn plan(&self, slots: &[Duration], ahead: usize, count: usize, whole: bool) -> Plan {
        let now = slots.iter().take_while(|s| s.is_zero()).count().min(count);
        if now == count {
            return Plan { now, ..Plan::default() };
        }
        let longest = self.gain().min(self.slack);
        let waits = slot_times(slots, self.run, now + ahead.saturating_add(count - now), longest);
        let later = waits.iter().skip(now + ahead).take(count - now);
        let paying: Vec<&Duration> = later.take_while(|w| self.pays(**w)).collect();
        match paying.last() {
            Some(&&wait) if !whole || now + paying.len() == count => {
                Plan { now, waiting: paying.len(), wait, by_stops: false }
            }
            _ => Plan { now, ..Plan::default() },
        }
    }

    /// Returns whether room on the rack should be made by stopping less urgent work, which takes
    /// `stop`, instead of the `alternative`: the time until the task would end otherwise.
    ///
    /// The stopped run loses the time of its stop, of its restore, and the work since its last
    /// checkpoint, half an interval on average.
    pub fn stop_pays(
        &self,
        alternative: Duration,
        stop: Duration,
        restore: Duration,
        checkpoint_interval: Duration,
    ) -> bool {
        let cost = stop + restore + checkpoint_interval / 2;
        alternative.saturating_sub(stop + self.run) > cost
    }
}

/// Returns the times, in ascending order, at which up to `count` tasks of duration `run` can start
/// on a rack by `longest`: in the rooms of `slots`, and again in each of these rooms after its task.
fn slot_times(slots: &[Duration], run: Duration, count: usize, longest: Duration) -> Vec<Duration> {
    let mut times: Vec<Duration> = vec![];
    let (mut first, mut again) = (slots.iter().peekable(), 0);
    while times.len() < count {
        let repeated = times.get(again).map(|t| *t + run);
        let next = match (first.peek().copied().copied(), repeated) {
            (Some(slot), Some(repeated)) => slot.min(repeated),
            (slot, repeated) => match slot.or(repeated) {
                Some(next) => next,
                None => break,
            },
        };
        if next > longest {
            break;
        }
        if first.next_if(|slot| **slot == next).is_none() {
            again += 1;
        }
        times.push(next);
    }
    times
}

/// A wait of a step for its rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// When the wait began.
    pub since: Time,
    /// How long it was expected to take when it began.
    pub expected: Duration,
    /// When it ends at the latest.
    pub limit: Time,
}

impl Wait {
    /// Begins a wait.
    pub fn begin(terms: &Terms, expected: Duration, now: Time) -> Self {
        let longest = (expected * MAX_OVERRUN + ROUND_TIME).min(terms.gain()).min(terms.slack);
        Wait { since: now, expected, limit: now + longest }
    }
}

/// Run times of the tasks of each kind, which correct the estimates of later tasks.
#[derive(Clone, Debug)]
pub struct RunTimes<K> {
    kinds: FxHashMap<K, Samples>,
}

impl<K> Default for RunTimes<K> {
    fn default() -> Self {
        RunTimes { kinds: FxHashMap::default() }
    }
}

/// The last run times of a kind.
#[derive(Clone, Debug, Default)]
struct Samples {
    /// The observed run times, each with its ratio to the estimate, in order of observation.
    last: VecDeque<(f64, f64)>,
    /// Median of the ratios.
    ratio: f64,
    /// Smallest and largest of the observed run times that are not among the outer tenths.
    range: (f64, f64),
}

impl<K: Hash + Eq + Clone> RunTimes<K> {
    /// Records that a task ran for `run` on its rack, or would have.
    pub fn record(&mut self, kind: &K, estimate: Duration, run: Duration) {
        if estimate.is_zero() {
            return;
        }
        if !self.kinds.contains_key(kind) {
            self.kinds.insert(kind.clone(), Samples::default());
        }
        let Some(samples) = self.kinds.get_mut(kind) else { return };
        if samples.last.len() == MAX_SAMPLES {
            samples.last.pop_front();
        }
        let run = run.as_secs_f64();
        samples.last.push_back((run, run / estimate.as_secs_f64()));
        let sorted = |value: fn(&(f64, f64)) -> f64| {
            let mut all: Vec<f64> = samples.last.iter().map(value).collect();
            all.sort_by(f64::total_cmp);
            all
        };
        let (runs, ratios) = (sorted(|s| s.0), sorted(|s| s.1));
        let tenth = runs.len() / 10;
        samples.ratio = ratios[ratios.len() / 2];
        samples.range = (runs[tenth], runs[runs.len() - 1 - tenth]);
    }

    /// Returns the expected run time of a task with this estimate.
    ///
    /// It is the estimate times the median of the observed ratios, within the range of the observed
    /// run times: a single estimate may be a tenth of the true run time.
    pub fn expected(&self, kind: &K, estimate: Duration) -> Duration {
        match self.kinds.get(kind).filter(|s| s.last.len() >= MIN_SAMPLES) {
            Some(s) => Duration::from_secs_f64(
                (estimate.as_secs_f64() * s.ratio).clamp(s.range.0, s.range.1),
            ),
            None => estimate,
        }
    }
}

/// By how much waits exceeded their expectation lately.
#[derive(Clone, Copy, Debug)]
pub struct WaitError {
    ratio: f64,
    at: Time,
}

impl Default for WaitError {
    fn default() -> Self {
        WaitError { ratio: 1.0, at: Time::ZERO }
    }
}

impl WaitError {
    /// Records how long a wait took. If it ended by its limit, that is a lower bound.
    pub fn record(&mut self, wait: &Wait, now: Time) {
        let expected = wait.expected.max(ROUND_TIME).as_secs_f64();
        let known = self.ratio(now);
        let seen = known * (now - wait.since).as_secs_f64() / expected;
        self.ratio = known + (seen.clamp(1.0, MAX_ERROR) - known) / ERROR_DIVISOR;
        self.at = now;
    }

    /// Returns an expected wait, corrected by the error of earlier ones.
    pub fn corrected(&self, wait: Duration, now: Time) -> Duration {
        wait.mul_f64(self.ratio(now))
    }

    fn ratio(&self, now: Time) -> f64 {
        let age = (now - self.at).as_secs_f64() / ERROR_HALF_LIFE.as_secs_f64();
        1.0 + (self.ratio - 1.0) * 0.5_f64.powf(age)
    }
}
