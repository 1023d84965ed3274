//! One wave of upkeep: its VMs, and how far each of them is.

use {
    crate::{
        decide::upkeep::{Allowed, Facts, LAG, Plan, Stage, plan},
        ids::{VmId, WorkerId},
        ports::{Fault, Fleet, Rev, Vm, VmReply, VmState, Wave},
        shard::{Held, record::Turn},
        time::Time,
        upkeep::ledger::Entry,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The pause before an order is given again.
const AGAIN: Duration = Duration::from_millis(500);
/// How often the platform says that a VM is not of the wave before that is believed: its own
/// view may be behind the operators' order.
const BELIEVED: u32 = 3;
/// The age up to which word of a worker counts.
const FRESH: Duration = Duration::from_millis(600);

/// The VMs as their list last had them, and when it was asked for.
#[derive(Debug, Default)]
pub(super) struct List {
    /// When it was asked for.
    pub sent: Time,
    /// The VMs.
    pub all: BTreeMap<VmId, Vm>,
}

/// What owners have last said of workers, and when they were asked.
pub(super) type Words = BTreeMap<WorkerId, (Time, Held)>;

/// A wave.
#[derive(Debug)]
pub(super) struct Course {
    /// What was ordered, and the revision of that.
    pub wave: Wave,
    /// The revision of the operators' item.
    pub rev: Rev,
    /// When it was begun, in milliseconds of the Unix clock.
    pub since: u64,
    /// Whether it is completed.
    pub over: bool,
    due: Time,
    parts: BTreeMap<VmId, Part>,
}

/// A VM of a wave.
#[derive(Debug, Default)]
struct Part {
    phase: Phase,
    /// How many orders were decided on, and how many of these went out.
    tries: (u32, u32),
    /// Whether an order that had no answer may yet be carried out.
    open: bool,
    /// Whether its upkeep has begun.
    begun: bool,
    /// The life of its worker that the list had last.
    worker: Option<WorkerId>,
    /// No order before.
    next: Time,
    /// Since when the list lacks it.
    missed: Option<Time>,
    /// How often it was called no part of the wave.
    other: u32,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Due,
    /// It is emptied since then; whether tasks that end by themselves are waited for no longer.
    Closing(Time, bool),
    /// It is to go down; which life of its worker, and whether an order is out.
    Ordered(Option<WorkerId>, bool),
    /// It is down since then; which life of its worker was there before.
    Down(Time, Option<WorkerId>),
    Over,
}

impl Course {
    /// A wave as its holder begins it, with what the store has of it.
    pub fn new(wave: Wave, rev: Rev, entry: Option<&Entry>, unix: u64, now: Time) -> Self {
        // A wave that the operators have changed is begun anew; what is done stays done.
        let since = entry.filter(|e| e.rev == rev).map_or(unix, |e| e.since.min(unix));
        let passed = Duration::from_millis(unix - since);
        let due = now + wave.within.saturating_sub(passed);
        let part = |m: &VmId| {
            let mut part = Part::default();
            if let Some(entry) = entry {
                if entry.done.contains(m) {
                    (part.phase, part.begun) = (Phase::Over, true);
                } else if let Some(tries) = entry.out.get(m) {
                    part.tries = (*tries, *tries);
                    // Whether the order was carried out is not known; given again, it tells.
                    (part.phase, part.open) = (Phase::Closing(now, false), true);
                }
            }
            (m.clone(), part)
        };
        let parts = wave.vms.iter().map(part).collect();
        let over = entry.is_some_and(|e| e.over && e.rev == rev);
        Course { wave, rev, since, over, due, parts }
    }

    /// What the store has to have of it.
    pub fn entry(&self) -> Entry {
        let out = |p: &Part| !p.begun && (p.open || matches!(p.phase, Phase::Ordered(..)));
        let out = self.parts.iter().filter(|(_, p)| out(p)).map(|(m, p)| (m.clone(), p.tries.0));
        let done = self.parts.iter().filter(|(_, p)| p.begun).map(|(m, _)| m.clone());
        Entry {
            rev: self.rev,
            since: self.since,
            out: out.collect(),
            done: done.collect(),
            over: self.over,
        }
    }

    /// The VMs that are in this wave's hands.
    pub fn taken(&self) -> impl Iterator<Item = &VmId> {
        let taken = |p: &Part| !matches!(p.phase, Phase::Due | Phase::Over);
        self.parts.iter().filter(move |(_, p)| taken(p)).map(|(m, _)| m)
    }

    /// The workers of its VMs, and their turns.
    pub fn turns(&self) -> impl Iterator<Item = (WorkerId, Turn)> {
        self.parts.values().flat_map(|p| {
            let now = p.worker.clone();
            match &p.phase {
                Phase::Due => vec![(now, Turn::Due)],
                Phase::Closing(_, false) => vec![(now, Turn::Closing)],
                Phase::Closing(_, true) => vec![(now, Turn::Forced)],
                Phase::Ordered(worker, ..) => {
                    vec![(now, Turn::Forced), (worker.clone(), Turn::Forced)]
                }
                Phase::Down(..) | Phase::Over => vec![],
            }
            .into_iter()
            .filter_map(|(w, t)| Some((w?, t)))
        })
    }

    /// Takes in what the list of VMs shows.
    pub fn listed(&mut self, list: &List, fleet: &Fleet) {
        for (m, part) in &mut self.parts {
            let Some(vm) = list.all.get(m) else {
                // A VM that the list lacks twice is gone: it needs no upkeep any more.
                if list.sent - *part.missed.get_or_insert(list.sent) >= LAG {
                    part.phase = Phase::Over;
                    part.open = false;
                }
                continue;
            };
            if part.missed.take().is_some() && matches!(part.phase, Phase::Over) && !part.begun {
                part.phase = Phase::Due;
            }
            part.seen(vm, list.sent, fleet);
        }
    }

    /// How many VMs are down for this wave, or may go down at any moment.
    fn down(&self, list: &List) -> u32 {
        let upkeep = |m: &VmId| list.all.get(m).is_some_and(|m| m.state == VmState::Upkeep);
        let down = |(m, p): &(&VmId, &Part)| {
            p.open || upkeep(m) || matches!(p.phase, Phase::Ordered(..) | Phase::Down(..))
        };
        u32::try_from(self.parts.iter().filter(down).count()).unwrap_or(u32::MAX)
    }

    /// Goes on with what time and the workers allow; `taken` are the VMs in any wave's hands.
    pub fn step(
        &mut self,
        list: &List,
        words: &Words,
        taken: &BTreeSet<VmId>,
        fleet: &Fleet,
        now: Time,
    ) {
        let facts: Vec<Facts> =
            self.parts.iter().map(|(m, p)| p.facts(m, list, words, taken, now)).collect();
        let left = if self.due > now { self.due - now } else { Duration::ZERO };
        let allowed = Allowed { left, cap: self.wave.cap, down: fleet.upkeep };
        let Plan { close, force } = plan(&facts, allowed);
        for (i, (m, part)) in self.parts.iter_mut().enumerate() {
            if close.contains(&i) {
                part.phase = Phase::Closing(now, false);
                log::info!(target: "upkeep", did = "closing", wave:% = self.wave.no, vm:% = m; "VM is emptied.");
            } else if let (true, Phase::Closing(_, forced)) = (force.contains(&i), &mut part.phase)
            {
                *forced = true;
            }
        }
        self.ready(list, words, now);
        for part in self.parts.values_mut() {
            let again = matches!(part.phase, Phase::Ordered(_, false)) && part.next <= now;
            part.tries.0 += u32::from(again && part.tries.0 == part.tries.1);
        }
        let over = |p: &Part| matches!(p.phase, Phase::Down(..) | Phase::Over);
        if !self.over && self.parts.values().all(over) {
            self.over = true;
            log::info!(target: "upkeep", did = "completed", wave:% = self.wave.no, late = self.due < now; "Wave is completed.");
        }
    }

    /// Orders are to be given for VMs that are empty, as many as may be down.
    fn ready(&mut self, list: &List, words: &Words, now: Time) {
        let mut room = self.wave.cap.max(1).saturating_sub(self.down(list));
        for (m, part) in &mut self.parts {
            let Phase::Closing(..) = part.phase else { continue };
            let Some(vm) = list.all.get(m).filter(|m| m.state == VmState::Up) else {
                continue;
            };
            // One that may go down at any moment is counted already.
            let room_left = room > 0 || part.open;
            if part.next > now || !room_left || !clear(vm.worker.as_ref(), words, now) {
                continue;
            }
            room -= u32::from(!part.open);
            part.phase = Phase::Ordered(vm.worker.clone(), false);
            part.tries.0 += 1;
        }
    }

    /// A VM for which an order goes out now; `stored` are the orders that the store has.
    ///
    /// Guards against a holder that stood still and doesn't know that there is another: each order,
    /// also one that is given again, is in the ledger first, which the other has changed meanwhile.
    /// Where the platform checks no tokens, nothing else would stop it.
    pub fn calls(
        &mut self,
        stored: &BTreeMap<VmId, u32>,
        words: &Words,
        now: Time,
    ) -> Option<VmId> {
        for (m, part) in &mut self.parts {
            let Phase::Ordered(worker, flying) = &mut part.phase else { continue };
            let (decided, sent) = part.tries;
            if *flying || sent == decided || stored.get(m) != Some(&decided) {
                continue;
            }
            // Whatever has happened since: what goes down must still be that life, and be empty.
            if !clear(worker.as_ref(), words, now) {
                continue;
            }
            *flying = true;
            part.tries.1 = decided;
            return Some(m.clone());
        }
        None
    }

    /// Takes in what became of an order.
    pub fn answered(&mut self, m: &VmId, reply: &Result<VmReply, Fault>, now: Time) {
        log::info!(target: "upkeep", did = "ordered", wave:% = self.wave.no, vm:% = m, reply:? = reply; "Upkeep was ordered.");
        let Some(part) = self.parts.get_mut(m) else { return };
        part.next = now + AGAIN;
        match reply {
            Ok(VmReply::Begun) => return part.begin(now),
            Ok(VmReply::None) => (part.phase, part.open) = (Phase::Over, false),
            Ok(VmReply::OtherWave) => {
                part.other += 1;
                if part.other >= BELIEVED {
                    (part.phase, part.open) = (Phase::Over, false);
                }
            }
            // It is not up: its next life has to be emptied first.
            Ok(VmReply::Busy) => {
                if let Phase::Ordered(..) = part.phase {
                    part.phase = Phase::Closing(now, true);
                }
            }
            Ok(VmReply::Fence) | Err(Fault::Refused | Fault::Unsent) => {}
            Err(_) => part.open = true,
        }
        if let Phase::Ordered(_, flying) = &mut part.phase {
            *flying = false;
        }
    }
}

impl Part {
    fn begin(&mut self, now: Time) {
        let old = match std::mem::take(&mut self.phase) {
            Phase::Ordered(worker, ..) => worker,
            Phase::Down(_, worker) => worker,
            _ => None,
        };
        (self.begun, self.open) = (true, false);
        self.phase = Phase::Down(now, old);
    }

    fn seen(&mut self, vm: &Vm, sent: Time, fleet: &Fleet) {
        self.worker = vm.worker.clone();
        use VmState::{Down, Up, Upkeep};
        match &self.phase {
            // An order without an answer: the list shows that it was carried out.
            Phase::Ordered(..) if vm.state == Upkeep => self.begin(sent),
            Phase::Closing(..) if vm.state == Upkeep && self.open => self.begin(sent),
            Phase::Ordered(worker, false) if vm.state == Up && vm.worker != *worker => {
                self.phase = Phase::Closing(sent, true);
            }
            Phase::Down(since, old) => {
                // One that had its upkeep before the order was given is up all the while.
                let new = sent >= *since && vm.worker != *old;
                let back = vm.state == Up && (new || sent >= *since + LAG);
                let crashed = vm.state == Down && sent >= *since + fleet.upkeep + LAG;
                if back || crashed {
                    self.phase = Phase::Over;
                }
            }
            _ => {}
        }
    }

    fn facts(
        &self,
        m: &VmId,
        list: &List,
        words: &Words,
        taken: &BTreeSet<VmId>,
        now: Time,
    ) -> Facts {
        let vm = list.all.get(m);
        let word = vm.and_then(|m| words.get(m.worker.as_ref()?)).map(|w| &w.1);
        let up = vm.is_some_and(|m| m.state == VmState::Up);
        let stage = match self.phase {
            Phase::Due => Stage::Due,
            Phase::Closing(since, _) => Stage::Closing(now - since),
            Phase::Ordered(..) | Phase::Down(..) => Stage::Down,
            Phase::Over => Stage::Over,
        };
        Facts {
            stage,
            able: up && !taken.contains(m) && !word.is_some_and(|w| w.leaving),
            brief: word.map_or(0, |w| w.brief),
            lasting: word.map_or(0, |w| w.lasting),
        }
    }
}

/// Whether nothing runs at a worker and nothing will, by fresh word of its owner; a VM without a
/// worker has nothing.
pub(super) fn clear(worker: Option<&WorkerId>, words: &Words, now: Time) -> bool {
    let Some(worker) = worker else { return true };
    words.get(worker).is_some_and(|(sent, held)| now - *sent <= FRESH && held.clear())
}
