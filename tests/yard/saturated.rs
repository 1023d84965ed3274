//! Limits the processor time of an owner: inputs wait in one queue while its thread is busy. Callers
//! ask for jobs until their ends are stored.

use {super::*, std::collections::VecDeque};

/// Maximum number of inputs of a pass of the owner's loop.
const MAX_INPUTS: usize = 65;
/// Time from the last task's end, or an answer, until a job's caller asks for its state.
const QUESTION_INTERVAL: Duration = Duration::from_millis(500);
/// Length of a window of the measurements.
pub const WINDOW: Duration = Duration::from_secs(2);

/// What the owner did in a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct Activity {
    pub starts: u32,
    pub holds: u32,
    pub writes: u32,
    pub questions: u32,
    pub busy: Duration,
}

enum Input {
    Event(Event),
    Question(JobNo),
}

/// The thread of an owner, and what its callers see.
#[derive(Default)]
pub struct OwnerThread {
    pub(super) owner: usize,
    /// Processor time of a call, and of its reply; other inputs take a fifth of it.
    call_cost: Duration,
    inputs: VecDeque<Input>,
    tick_due: bool,
    busy: bool,
    pub windows: BTreeMap<u32, Activity>,
    task_ends: BTreeMap<JobNo, u32>,
    /// The time at which the last task of a job ended at its worker.
    pub ended: BTreeMap<JobNo, Time>,
    /// The time at which the end of a job was stored.
    pub stored: BTreeMap<JobNo, Time>,
}

/// The index of the window of this time.
pub fn window(at: Time) -> u32 {
    (at.0 / WINDOW.as_micros() as u64) as u32
}

impl ShardSim {
    /// Limits the processor time of the newest owner from now on.
    pub fn limit_owner(&mut self, call_cost: Duration) {
        let owner = self.owners.len() - 1;
        self.thread = Some(OwnerThread { owner, call_cost, ..OwnerThread::default() });
    }

    /// Queues an event for the owner's thread.
    pub(super) fn queue_event(&mut self, event: Event) {
        let Some(thread) = &mut self.thread else { return };
        match event {
            Event::Tick => thread.tick_due = true,
            event => thread.inputs.push_back(Input::Event(event)),
        }
        self.begin_pass();
    }

    /// Schedules an action at exactly this time.
    fn act_at(&mut self, at: Time, action: impl FnOnce(&mut ShardSim) + 'static) {
        self.sequence += 1;
        self.deliveries.insert((at, self.sequence), Delivery::Act(Box::new(action)));
    }

    /// Takes a tick that is due, or else the first inputs, if the thread is free.
    fn begin_pass(&mut self) {
        let now = self.now;
        let Some(thread) = self.thread.as_mut().filter(|t| !t.busy) else { return };
        let inputs: Vec<Input> = match std::mem::take(&mut thread.tick_due) {
            true => vec![Input::Event(Event::Tick)],
            false => thread.inputs.drain(..thread.inputs.len().min(MAX_INPUTS)).collect(),
        };
        thread.busy = !inputs.is_empty();
        if !thread.busy {
            return;
        }
        let cost = |input: &Input| match input {
            Input::Event(Event::Worker { .. } | Event::Stored(..)) => thread.call_cost,
            _ => thread.call_cost / 5,
        };
        let work = inputs.iter().map(cost).sum();
        thread.windows.entry(window(now)).or_default().busy += work;
        self.act_at(now + work, |y| y.end_pass(inputs));
    }

    /// Applies the inputs of a pass, runs its round and carries out the orders.
    fn end_pass(&mut self, inputs: Vec<Input>) {
        let (now, Some(thread)) = (self.now, &mut self.thread) else { return };
        let (at, call_cost) = (thread.owner, thread.call_cost);
        let (activity, owner) =
            (thread.windows.entry(window(now)).or_default(), &mut self.owners[at]);
        if owner.ended {
            return;
        }
        let has_events = inputs.iter().any(|i| matches!(i, Input::Event(_)));
        let mut asked = Vec::new();
        for input in inputs {
            match input {
                Input::Event(event) => owner.shard.apply(event, now),
                Input::Question(no) => asked.push(no),
            }
        }
        let orders = if has_events { owner.shard.run_round(now) } else { Vec::new() };
        for order in &orders {
            match order {
                Order::Worker { call, .. } => {
                    activity.starts += u32::from(matches!(**call, WorkerCall::Start(_)));
                    activity.holds += u32::from(matches!(**call, WorkerCall::Hold { .. }));
                }
                Order::Store(..) => activity.writes += 1,
                _ => {}
            }
        }
        activity.questions += asked.len() as u32;
        let work = call_cost * orders.len() as u32;
        activity.busy += work;
        asked.into_iter().for_each(|no| self.act_at(now + QUESTION_INTERVAL, move |y| y.ask(no)));
        self.act_at(now + work, move |y| {
            orders.into_iter().for_each(|o| y.execute(at, o));
            y.thread.iter_mut().for_each(|t| t.busy = false);
            y.begin_pass();
        });
    }

    /// Records the ends of tasks at the workers; the caller of a job without further tasks begins to
    /// ask for it.
    pub(super) fn record_task_ends(&mut self) {
        let (now, Some(thread)) = (self.now, &mut self.thread) else { return };
        let mut over = Vec::new();
        for note in &self.world.notes {
            let worker::Note::End { end, .. } = note else { continue };
            let no = end.task.step.job;
            let count = thread.task_ends.entry(no).or_default();
            *count += 1;
            if *count == self.world.jobs[&no].job.steps.iter().map(|s| s.count).sum::<u32>() {
                thread.ended.insert(no, now);
                over.push(no);
            }
        }
        over.into_iter().for_each(|no| self.act_at(now + QUESTION_INTERVAL, move |y| y.ask(no)));
    }

    /// A caller asks for the state of a job whose end isn't stored.
    fn ask(&mut self, no: JobNo) {
        if let Some(thread) = self.thread.as_mut().filter(|t| !t.stored.contains_key(&no)) {
            thread.inputs.push_back(Input::Question(no));
            self.begin_pass();
        }
    }
}
