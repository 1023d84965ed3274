//! The reasons why a step waits, and the data from which they are derived; [`super::sight`]
//! collects the data.

use {
    crate::work::StepKey,
    derive_more::Display,
    std::{collections::BTreeMap, time::Duration},
};

/// The reason why a worker is excluded from starts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// The list of workers does not contain it.
    #[display("unlisted")]
    Unlisted,
    /// It has not replied to this owner's token.
    #[display("unfenced")]
    Unfenced,
    /// The store does not record yet that something of this shard may run there.
    #[display("unrostered")]
    Unrostered,
    /// It is leaving.
    #[display("leaving")]
    Leaving,
    /// It is being emptied for upkeep.
    #[display("closing")]
    Closing,
    /// It does not answer.
    #[display("silent")]
    Silent,
    /// It has runs whose resource usage is unknown.
    #[display("blind")]
    Blind,
    /// It recently reported that it is unwell.
    #[display("unwell")]
    Unwell,
    /// It is in quarantine.
    #[display("quarantined")]
    Quarantined,
    /// Its quarantine has ended or exceeds the share of the pool that may be in quarantine, and no
    /// trial task may start there now.
    #[display("unproven")]
    Unproven,
}

/// The reason why a step waits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The owner is cut off and may start nothing.
    #[display("the owner's lease")]
    Lease,
    /// Its queue is unknown.
    #[display("its queue")]
    Queue,
    /// Its pool has no workers in this shard.
    #[display("its pool")]
    Pool,
    /// Former owners may have started something at workers that have not replied.
    #[display("workers of a former owner")]
    Unsettled,
    /// A start order has not been answered.
    #[display("the answer to a start")]
    Start,
    /// A run of it is being stopped.
    #[display("the end of a stop")]
    Stop,
    /// Its task is at a worker that does not answer.
    #[display("a silent worker")]
    Silent,
    /// An extra run of its tasks is being stopped.
    #[display("the end of another run")]
    Stray,
    /// So many steps precede it that a round does not reach it.
    #[display("its place in the order")]
    Order,
    /// Room is reserved for it until there is enough.
    #[display("room that is kept for it")]
    Gathers,
    /// Its first call for advice is in progress.
    #[display("its first advice")]
    First,
    /// Calls for its tickets are in progress.
    #[display("new tickets")]
    Tickets,
    /// A call has failed, and the next one has to wait.
    #[display("advice that has failed")]
    Failed,
    /// No member is available to make its call.
    #[display("a member for its call")]
    Member,
    /// Its tickets have expired, and no call is in progress.
    #[display("a call for old tickets")]
    Old,
    /// Some workers were never named in its calls.
    #[display("workers never asked about")]
    Unasked,
    /// No worker may run it.
    #[display("a worker that may run it")]
    Nobody,
    /// Too few workers may run it, or they are too small.
    #[display("more workers that may run it")]
    Few,
    /// The room is reserved for gangs.
    #[display("room kept for gangs")]
    Gangs,
    /// The room is reserved for, or goes to, steps that precede it.
    #[display("steps before it")]
    Before,
    /// The workers with room are excluded from starts.
    #[display("{_0} workers")]
    Bar(Exclusion),
    /// The workers with room already have as many of its tasks as the step allows per worker.
    #[display("workers at its bound")]
    Bound,
    /// The workers are full.
    #[display("room")]
    Room,
    /// There is room, and the next round has not run yet.
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
    /// The reason that blocks it regardless of any worker.
    pub gate: Option<Cause>,
    /// How many tasks have to start together: one, or all members of a gang.
    pub wanted: u64,
    /// Workers of its pool that may receive starts.
    pub usable: usize,
    /// All workers of its pool.
    pub all: usize,
    /// The other workers of the pool, by the reason for their exclusion.
    pub out: Exclusions,
    /// Workers that calls of this step have named.
    pub asked: usize,
    /// Workers that may run it.
    pub good: usize,
    /// Permitted workers with room and a valid ticket.
    pub valid: usize,
    /// Permitted workers with room and an expired ticket.
    pub old: usize,
    /// Workers with room that is reserved for gangs.
    pub gangs: usize,
    /// Workers with room that is reserved for, or goes to, preceding steps.
    pub before: usize,
    /// Workers that have as many of its tasks as they may have.
    pub bound: usize,
    /// Workers without room.
    pub full: usize,
    /// Workers that lack the required label or are too small.
    pub unfit: usize,
    /// Workers that are excluded from starts.
    pub barred: usize,
    /// Excluded workers that would have room, by the reason for their exclusion.
    pub bars: Exclusions,
    /// Usable workers that no call has named.
    pub unasked: usize,
    /// Those of the `unasked` workers that appear to have room.
    pub roomy: usize,
    /// How many of its tasks would fit on workers with valid tickets, and on all workers that may
    /// run it.
    pub slots: (u64, u64),
    /// How many of its tasks would fit if all workers that may run it were empty.
    pub empty: u64,
    /// Calls in progress.
    pub calls: usize,
    /// The age of the oldest call in progress.
    pub oldest: Option<Duration>,
    /// The time since the last reply to a call.
    pub heard: Option<Duration>,
    /// Whether a failed call prevents the next call for now.
    pub failed: bool,
    /// Members without a call, and all members.
    pub lanes: (usize, usize),
    /// Whether a member would accept the call that the step needs.
    pub member: bool,
    /// Whether a round is pending.
    pub round: bool,
    /// The age of the list of workers.
    pub listed: Duration,
    /// Workers of former owners that have not replied.
    pub unsettled: usize,
}

/// A long-running step with tasks that are not running.
#[derive(Clone, Debug, PartialEq)]
pub struct AbsentStep {
    /// The step.
    pub key: StepKey,
    /// How many of its tasks wait.
    pub waiting: usize,
    /// How many are assigned to a worker but were not seen running there.
    pub unseen: usize,
    /// The index of the task that has been away the longest.
    pub oldest: u32,
    /// How long that task has been away: since it last ran or could first run, as far as this owner
    /// knows.
    pub away: Duration,
    /// The class of its rank.
    pub class: usize,
    /// How many steps precede it.
    pub behind: usize,
    /// The reason why it waits.
    pub cause: Cause,
    /// The data from which the reason is derived.
    pub sight: Sight,
}

impl Sight {
    /// The reason why the step waits.
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
