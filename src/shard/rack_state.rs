//! What a shard, and each of its rounds, knows about racks and about steps that wait for one.

use {
    crate::{
        decide::locality::{RunTimes, Wait, WaitError},
        ids::PoolId,
        shard::workers::WorkerNo,
        time::Time,
        units::Size,
        work::StepKey,
    },
    rustc_hash::FxHashMap,
    std::{collections::BTreeSet, time::Duration},
};

/// The maximum number of steps per round whose wait is examined. Further steps keep to the decision
/// of the last round.
const MAX_EXAMINED_STEPS: usize = 64;
/// What the shard knows about racks and about steps that wait for one.
#[derive(Default)]
pub(super) struct Locality {
    /// The run times of each queue.
    pub(super) run_times: RunTimes<Box<str>>,
    pub(super) wait_error: WaitError,
    /// The steps for which a rack matters, from their first decision until their job ends.
    pub(super) steps: FxHashMap<StepKey, RackStep>,
    /// Those that wait now.
    pub(super) waiters: BTreeSet<StepKey>,
    /// Whether a rack has mattered for any step. Until then nothing is learned.
    pub(super) active: bool,
    pub(super) next_cleanup: Time,
}

/// The state of a step for which a rack matters.
#[derive(Default)]
pub(super) struct RackStep {
    /// The rack that the tasks should share.
    pub(super) home: Option<Box<str>>,
    /// The wait in progress.
    pub(super) wait: Option<Wait>,
    /// The number of tasks that waited by the last decision.
    pub(super) waiting: usize,
    /// Whether the step has waited as long as it may.
    pub(super) wait_over: bool,
    /// How many times as long the tasks take, as a group, as on one rack. `None` before the first
    /// start.
    pub(super) slowdown: Option<f64>,
    /// The tasks that started on the rack after a wait, with the duration of the wait.
    pub(super) waited: FxHashMap<u32, Duration>,
}

/// What a round knows about racks.
#[derive(Default)]
pub(super) struct RoundLocality {
    pub(super) racks: FxHashMap<(PoolId, Box<str>), RackForecast>,
    /// The resources that earlier steps of this round need and did not find, on whichever rack.
    pub(super) unplaced: FxHashMap<PoolId, Size>,
    examined: usize,
}

/// The expected room on one rack.
pub(super) struct RackForecast {
    /// The usable workers with the ends of the runs there.
    pub(super) releases: Vec<(WorkerNo, Vec<Release>)>,
    /// The room that earlier steps of this round wait for.
    pub(super) claimed: Size,
}

/// The expected end of a run.
pub(super) struct Release {
    pub(super) at: Time,
    pub(super) size: Size,
    /// The priority below which the run may be stopped.
    pub(super) preempt_priority: Option<u8>,
}

impl RoundLocality {
    /// Returns the usable workers of a rack; none if no step has asked about it in this round.
    pub(super) fn rack_workers(&self, pool: &PoolId, rack: &str) -> Vec<WorkerNo> {
        let forecast = self.racks.get(&(pool.clone(), rack.into()));
        forecast.into_iter().flat_map(|f| &f.releases).map(|r| r.0).collect()
    }

    /// Counts the room that tasks of a step wait for on a rack.
    pub(super) fn claim(&mut self, pool: &PoolId, rack: &str, size: Size) {
        if let Some(forecast) = self.racks.get_mut(&(pool.clone(), rack.into())) {
            forecast.claimed += size;
        }
    }

    /// Adds tasks that found no room, which take room from the steps that follow.
    pub(super) fn add_unplaced(&mut self, pool: &PoolId, size: Size) {
        *self.unplaced.entry(pool.clone()).or_default() += size;
    }

    /// Counts an examination and returns whether it is permitted.
    pub(super) fn try_examine(&mut self) -> bool {
        self.examined += 1;
        self.examined <= MAX_EXAMINED_STEPS
    }
}
