//! One round over the steps that wait: what it has found out, and what it keeps for whom.

use {
    crate::{
        decide::ahead::Line,
        ids::PoolId,
        shard::{reserve::Reserve, workers::WorkerNo},
        time::Time,
        units::Size,
        work::{AdviceCost, Step, StepKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::rc::Rc,
};

/// How many steps of a round may look beyond the room that is free now: at what runs, at what could be
/// stopped, and for other workers.
pub(super) const MORE: usize = 24;

/// What a round has found out about the pools.
#[derive(Default)]
pub(super) struct Round {
    pub(super) usable: FxHashMap<PoolId, Rc<[WorkerNo]>>,
    /// The same for steps that last.
    pub(super) lasting: FxHashMap<PoolId, Rc<[WorkerNo]>>,
    /// The same, in pools with room to spare, for steps that have waited for it.
    pub(super) spare: FxHashMap<PoolId, Rc<[WorkerNo]>>,
    /// Pools with room to spare.
    pub(super) quiet: FxHashSet<PoolId>,
    /// Steps that come first because they have waited too long.
    pub(super) starving: Vec<StepKey>,
    /// What is kept at each worker for steps that come first.
    kept: Vec<Size>,
    /// What is kept there for gangs until they start.
    claims: Vec<Vec<Claim>>,
    /// What waits for each worker, in hundredths of a task.
    pub(super) demand: Vec<u32>,
    /// The steps that will have room at a worker soon.
    pub(super) line: Line<WorkerNo>,
    /// How many steps have looked beyond the room that is free now, and of these those that last.
    more: (usize, usize),
    /// The queues for whose calls for advice no member is free.
    pub(super) busy: FxHashSet<Box<str>>,
}

/// What is kept at one worker for a gang.
struct Claim {
    gang: StepKey,
    size: Size,
    /// The priority of its queue.
    priority: u8,
    /// When the gang is expected to start.
    at: Time,
    /// Whether its turn in this round is over.
    passed: bool,
}

/// Who asks for room that may be kept for others.
pub(super) struct Asker<'a> {
    pub(super) key: &'a StepKey,
    pub(super) priority: u8,
    /// When its tasks end that start now.
    pub(super) ends: Time,
    /// Whether it takes room that is kept for less urgent steps behind it.
    pub(super) first: bool,
    /// Whether a task of it that lasts has been away too long: it takes room that is kept for any gang
    /// behind it.
    pub(super) absent: bool,
}

/// One step's turn in a round.
pub(super) struct Turn<'a> {
    pub(super) key: &'a StepKey,
    pub(super) step: Step,
    /// The name and the priority of its queue.
    pub(super) queue: Box<str>,
    pub(super) priority: u8,
    pub(super) pool: PoolId,
    /// Its tasks that wait.
    pub(super) waiting: Vec<u32>,
    /// The workers of its pool that may get starts.
    pub(super) usable: Rc<[WorkerNo]>,
    /// What advice on it costs, if it needs any.
    pub(super) advice: Option<AdviceCost>,
}

impl Round {
    /// A round in which nothing is kept yet, over so many workers.
    pub(super) fn new(workers: usize) -> Self {
        Round {
            kept: vec![Size::default(); workers],
            claims: (0..workers).map(|_| vec![]).collect(),
            demand: vec![0; workers],
            ..Round::default()
        }
    }

    /// What is kept at a worker for steps that come first in this round.
    pub(super) fn before(&self, no: WorkerNo, key: &StepKey) -> Size {
        let passed = self.claims[no.0].iter().filter(|c| c.passed && c.gang != *key);
        passed.fold(self.kept[no.0], |sum, c| sum + c.size)
    }

    /// What is kept at a worker from this step.
    ///
    /// Room that is kept for a gang is open to what ends before the gang can start: the last of its
    /// workers may be seconds away, and the others would stand idle until then.
    pub(super) fn claimed(&self, no: WorkerNo, asker: &Asker) -> Size {
        let holds = |c: &&Claim| {
            let mine = c.gang == *asker.key;
            let behind = asker.absent || (asker.first && c.priority > asker.priority);
            let later = behind && !c.passed;
            !mine && !later && asker.ends > c.at
        };
        self.claims[no.0].iter().filter(holds).fold(self.kept[no.0], |sum, c| sum + c.size)
    }

    /// What is kept there for steps that come first, but for gangs.
    pub(super) fn kept(&self, no: WorkerNo) -> Size {
        self.kept[no.0]
    }

    /// What is kept at a worker for any step.
    pub(super) fn all_claims(&self, no: WorkerNo) -> Size {
        self.claims[no.0].iter().fold(self.kept[no.0], |sum, c| sum + c.size)
    }

    /// Whether one more step may look beyond the room that is free now; those that last have half of
    /// the looks at the most.
    pub(super) fn try_more(&mut self, lasts: bool) -> bool {
        if lasts && self.more.1 >= MORE / 2 {
            return false;
        }
        self.more.0 += 1;
        self.more.1 += usize::from(lasts);
        self.more.0 <= MORE
    }

    /// Keeps room at a worker from the steps behind.
    pub(super) fn keep(&mut self, no: WorkerNo, size: Size) {
        self.kept[no.0] += size;
    }

    /// Counts what is kept for a gang.
    pub(super) fn claim(&mut self, gang: &StepKey, reserve: &Reserve, passed: bool) {
        let Reserve { size, priority, at, .. } = *reserve;
        for (no, n) in &reserve.each {
            let claims = &mut self.claims[no.0];
            claims.retain(|c| c.gang != *gang);
            let size = size.times((*n).into());
            claims.push(Claim { gang: *gang, size, priority, at, passed });
        }
    }

    /// A gang's turn is over, with the room that is kept for it before and now.
    pub(super) fn pass(&mut self, gang: &StepKey, old: Option<Reserve>, new: Option<&Reserve>) {
        for (no, _) in old.iter().flat_map(|r| &r.each) {
            self.claims[no.0].retain(|c| c.gang != *gang);
        }
        if let Some(new) = new {
            self.claim(gang, new, true);
        }
    }
}
