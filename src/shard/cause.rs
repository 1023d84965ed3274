//! The reasons why a step waits, and the data from which they are derived; [`super::diagnosis`]
//! collects the data.

use {
    crate::work::StepKey,
    derive_more::Display,
    std::{collections::BTreeMap, time::Duration},
};

/// The reason why a worker is excluded from starts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// The list of workers does not contain the worker.
    #[display("unlisted")]
    Unlisted,
    /// The worker has not replied to this owner's token.
    #[display("unfenced")]
    Unfenced,
    /// The store does not record yet that something of this shard may run on the worker.
    #[display("unrostered")]
    Unrostered,
    /// The worker is leaving.
    #[display("leaving")]
    Leaving,
    /// The worker is being emptied for upkeep.
    #[display("closing")]
    Closing,
    /// The worker does not answer.
    #[display("silent")]
    Silent,
    /// The worker has runs whose resource usage is unknown.
    #[display("blind")]
    Blind,
    /// The worker recently reported that it is unwell.
    #[display("unwell")]
    Unwell,
    /// The worker is in quarantine.
    #[display("quarantined")]
    Quarantined,
    /// The quarantine of the worker has ended or exceeds the share of the pool that may be in
    /// quarantine, and no trial task may start on the worker now.
    #[display("unproven")]
    Unproven,
}

/// The reason why a step waits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The owner is cut off and may start nothing.
    #[display("the owner's lease")]
    Lease,
    /// The owner may have missed a cancel and may start nothing.
    #[display("the owner's inbox")]
    Inbox,
    /// The queue of the step is unknown.
    #[display("its queue")]
    Queue,
    /// The pool of the step has no workers in this shard.
    #[display("its pool")]
    Pool,
    /// The cap of the job's customer leaves no room.
    #[display("its customer's cap")]
    Cap,
    /// Former owners may have started something at workers that have not listed all their ends.
    #[display("workers of a former owner")]
    Unsettled,
    /// A start order has not been answered.
    #[display("the answer to a start")]
    Start,
    /// A run of the step is being stopped.
    #[display("the end of a stop")]
    Stop,
    /// A task of the step is assigned to a worker that does not answer.
    #[display("a silent worker")]
    Silent,
    /// An extra run of a task of the step is being stopped.
    #[display("the end of another run")]
    Stray,
    /// More steps precede the step than one round examines.
    #[display("its place in the order")]
    Order,
    /// Room is being reserved for the step until all its tasks fit.
    #[display("room that is kept for it")]
    Gathers,
    /// The first advice call of the step is in progress.
    #[display("its first advice")]
    First,
    /// Advice calls to renew the tickets of the step are in progress.
    #[display("new tickets")]
    Tickets,
    /// An advice call has failed, and the next one is delayed.
    #[display("advice that has failed")]
    Failed,
    /// No member is available to make the advice call of the step.
    #[display("a member for its call")]
    Member,
    /// The tickets of the step have expired, and no advice call is in progress.
    #[display("a call for old tickets")]
    Old,
    /// Some workers were never named in the advice calls of the step.
    #[display("workers never asked about")]
    Unasked,
    /// No worker may run the step.
    #[display("a worker that may run it")]
    Nobody,
    /// Too few workers may run the step, or they are too small.
    #[display("more workers that may run it")]
    Few,
    /// The room is reserved for gangs.
    #[display("room kept for gangs")]
    Gangs,
    /// The room is reserved for, or goes to, steps that precede this one.
    #[display("steps before it")]
    Before,
    /// The workers with room are excluded from starts.
    #[display("{_0} workers")]
    Bar(Exclusion),
    /// The workers with room already have as many tasks of the step as it allows per worker.
    #[display("workers at its bound")]
    Bound,
    /// The workers are full.
    #[display("room")]
    Room,
    /// There is room, but the next scheduling round has not run yet.
    #[display("the next round")]
    Round,
    /// There is room, but the last round did not use it.
    #[display("its turn")]
    Turn,
}

/// Number of workers by the reason why they are excluded.
pub type Exclusions = BTreeMap<Exclusion, usize>;

/// The data that decides when a step's tasks start. The fields from `usable` to `roomy` count
/// workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sight {
    /// The reason that blocks the step regardless of the state of any worker.
    pub gate: Option<Cause>,
    /// How many tasks have to start together: one, or all members of a gang.
    pub wanted: u64,
    /// Number of workers of the step's pool that may receive starts.
    pub usable: usize,
    /// Number of all workers of the step's pool.
    pub all: usize,
    /// Number of the pool's other workers by the reason for their exclusion.
    pub out: Exclusions,
    /// Number of workers that advice calls of this step have named.
    pub asked: usize,
    /// Number of workers that may run the step.
    pub good: usize,
    /// Number of permitted workers with room and a valid ticket.
    pub valid: usize,
    /// Number of permitted workers with room and an expired ticket.
    pub old: usize,
    /// Number of workers with room that is reserved for gangs.
    pub gangs: usize,
    /// Number of workers with room that is reserved for, or goes to, preceding steps.
    pub before: usize,
    /// Number of workers that already have the maximum number of the step's tasks per worker.
    pub bound: usize,
    /// Number of workers without room.
    pub full: usize,
    /// Number of workers that lack the required label or are too small.
    pub unfit: usize,
    /// Number of permitted workers that are excluded from starts.
    pub barred: usize,
    /// Number of excluded workers that would have room, by the reason for their exclusion.
    pub bars: Exclusions,
    /// Number of usable workers that no advice call of this step has named.
    pub unasked: usize,
    /// Number of the `unasked` workers that appear to have room.
    pub roomy: usize,
    /// How many tasks of the step would fit on workers with valid tickets, and on all workers that
    /// may run it.
    pub slots: (u64, u64),
    /// How many tasks of the step would fit if all workers that may run it were empty.
    pub empty: u64,
    /// Number of the step's advice calls in progress.
    pub calls: usize,
    /// The age of the oldest advice call in progress.
    pub oldest: Option<Duration>,
    /// The time since the last reply to an advice call of this step.
    pub heard: Option<Duration>,
    /// Whether the next advice call is delayed because the last one failed.
    pub failed: bool,
    /// Number of members without an advice call in progress, and number of all members.
    pub lanes: (usize, usize),
    /// Whether a member is free to make the advice call that the step needs.
    pub member: bool,
    /// Whether the next scheduling round is delayed by the minimum interval between rounds.
    pub round: bool,
    /// The age of the list of workers.
    pub listed: Duration,
    /// Number of workers used by former owners that have not listed all their ends to this owner.
    pub unsettled: usize,
}

/// A long-running step with tasks that are not running.
#[derive(Clone, Debug, PartialEq)]
pub struct AbsentStep {
    /// The long-running step.
    pub key: StepKey,
    /// How many tasks of the step wait.
    pub waiting_count: usize,
    /// How many tasks of the step are assigned to a worker but were not seen running there.
    pub unseen_count: usize,
    /// The index of the task that has been away the longest.
    pub oldest_index: u32,
    /// How long that task has been away: since it last ran or could first run, as far as this owner
    /// knows.
    pub absence_time: Duration,
    /// The class of the step's rank.
    pub class: usize,
    /// How many steps precede the step in the ready queue.
    pub preceding_count: usize,
    /// The reason why the step waits.
    pub cause: Cause,
    /// The data from which the reason is derived.
    pub sight: Sight,
}

impl Sight {
    /// Returns the reason why the step waits.
    pub fn cause(&self) -> Cause {
        let advice = |otherwise| match () {
            () if self.calls > 0 && self.asked == 0 => Cause::First,
            () if self.calls > 0 => Cause::Tickets,
            () if self.failed => Cause::Failed,
            () if !self.member => Cause::Member,
            () => otherwise,
        };
        let most = |bars: &Exclusions| bars.iter().max_by_key(|b| *b.1).map(|b| Cause::Bar(*b.0));
        let short = self.empty < self.wanted;
        match self.gate {
            Some(gate) => gate,
            None if self.usable == 0 => most(&self.out).unwrap_or(Cause::Pool),
            None if self.good == 0 && self.unasked > 0 => advice(Cause::Unasked),
            None if self.good == 0 => Cause::Nobody,
            None if self.slots.0 >= self.wanted && self.round => Cause::Round,
            None if self.slots.0 >= self.wanted => Cause::Turn,
            None if self.slots.1 >= self.wanted => advice(Cause::Old),
            None if self.gangs > 0 && self.gangs >= self.before => Cause::Gangs,
            None if self.before > 0 => Cause::Before,
            None if self.roomy > 0 => advice(Cause::Unasked),
            None if short && self.unasked > 0 => advice(Cause::Unasked),
            None if short => Cause::Few,
            None => match most(&self.bars) {
                Some(bar) => bar,
                None if self.bound > self.full => Cause::Bound,
                None => Cause::Room,
            },
        }
    }
}
