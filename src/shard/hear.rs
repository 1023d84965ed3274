//! What workers answer, and what follows for the runs that are there.

use {
    crate::{
        ids::WorkerId,
        ports::{ENDS, End, Fault, Held, How, Refusal, Start, WorkerCall, WorkerReply},
        shard::{
            event::Order,
            jobs::At,
            machine::Shard,
            workers::{Phase, Run, Worker, WorkerNo},
        },
        time::Time,
        work::{State, TaskKey},
    },
    rustc_hash::FxHashSet,
    std::time::Duration,
};

/// How long a start, a stop or a change of pace is waited for: workers answer within some
/// milliseconds, and an order that has no answer by then is one of those carried out late.
pub(super) const ORDER: Duration = Duration::from_millis(500);
/// How often a start is sent before the run is given up and barred.
const TRIES: u32 = 3;
/// How soon a hold follows while ends wait to be stored.
const UNSTORED: Duration = Duration::from_millis(120);
/// The pause after a worker that is unwell, or has less room than was thought.
const UNWELL: Duration = Duration::from_millis(700);
/// The pause between two readings of the list of machines.
const CENSUS: Duration = Duration::from_millis(500);
/// How far the list of machines may be behind.
const LAG: Duration = Duration::from_millis(900);
/// The pause between calls of a silent worker, for each call it has missed, and the longest.
const SILENT: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(900));

impl Shard {
    /// Takes in a worker's answer.
    pub(super) fn hear(
        &mut self,
        id: &WorkerId,
        sent: Time,
        call: WorkerCall,
        reply: Result<WorkerReply, Fault>,
        now: Time,
    ) {
        let Some(no) = self.ids.get(id).copied() else { return };
        let worker = &mut self.workers[no.0];
        if worker.gone {
            return;
        }
        match &reply {
            Ok(WorkerReply::Other) => return self.over_with(no, now),
            Ok(WorkerReply::Refused(_, Refusal::Fence)) => return self.depose(),
            Ok(WorkerReply::Done(clock) | WorkerReply::Refused(clock, _)) => {
                worker.tick(*clock, now);
                worker.heard = Some(now);
                worker.unsure = 0;
            }
            Ok(WorkerReply::Held(held)) => {
                worker.tick(held.clock, now);
                worker.heard = Some(now);
                worker.silent = 0;
                worker.unsure = 0;
            }
            Ok(WorkerReply::Unwell) => worker.unwell = now + UNWELL,
            Err(Fault::Unsent) => worker.silent += 1,
            Err(_) => {
                worker.unsure += 1;
                let hold = matches!(call, WorkerCall::Hold { .. });
                // One order without an answer is an order that comes late; two, or a look without
                // one, are a worker that may be gone.
                worker.silent += u32::from(hold || worker.unsure > 1);
            }
        }
        match call {
            WorkerCall::Hold { .. } => self.held(no, sent, reply, now),
            WorkerCall::Start(start) => self.started(no, &start, reply, now),
            WorkerCall::Stop { task, run, .. } => self.stopped(no, &task, run, &reply, now),
            WorkerCall::Pace { task, run, percent, .. } => {
                if let (Ok(WorkerReply::Done(_)), Some(r)) =
                    (reply, self.workers[no.0].runs.get_mut(&task))
                    && r.run == run
                {
                    r.pace = percent;
                }
            }
        }
    }

    fn held(&mut self, no: WorkerNo, sent: Time, reply: Result<WorkerReply, Fault>, now: Time) {
        let worker = &mut self.workers[no.0];
        worker.holding = None;
        let Ok(WorkerReply::Held(held)) = reply else {
            let pause = (SILENT.0 * worker.silent.max(1)).min(SILENT.1);
            worker.next = now + pause;
            return;
        };
        worker.next = now;
        let whole = held.ended.len() < ENDS;
        if !worker.fenced {
            worker.inherit(held.clock, &self.setup.bounds);
        }
        let first = !worker.fenced && whole;
        worker.fenced |= whole;
        for end in &held.ended {
            if end.number > self.workers[no.0].got {
                self.workers[no.0].got = end.number;
                self.ended(no, end, now);
            }
        }
        self.rows(no, &held, now);
        self.missing(no, sent, &held, now);
        self.temper(no, now);
        let worker = &mut self.workers[no.0];
        if !worker.pending.is_empty() {
            worker.next = now + UNSTORED;
        }
        if first {
            self.stir = true;
        }
    }

    /// Takes in what runs at a worker.
    fn rows(&mut self, no: WorkerNo, held: &Held, now: Time) {
        for row in &held.running {
            let worker = &mut self.workers[no.0];
            match worker.runs.get_mut(&row.task) {
                Some(run) if run.run == row.run => {
                    let fresh = matches!(run.phase, Phase::Starting | Phase::Unsure);
                    Worker::look(run, row, now);
                    if fresh {
                        self.begun(&row.task, now);
                    }
                    self.watch(no, &row.task, now);
                }
                _ => self.adopt(no, row, now),
            }
        }
    }

    /// Takes in a run that a former owner has started, or stops one that must not be.
    fn adopt(&mut self, no: WorkerNo, row: &crate::ports::Row, now: Time) {
        let job = self.jobs.get_mut(&row.task.step.job);
        let wanted = job.filter(|j| !j.state.over()).and_then(|j| {
            let step = j.step(&row.task.step)?.clone();
            j.part(row.task.step.time, row.task.step.step);
            let task = j.task(&row.task)?;
            let fits = task.at == At::Waiting && row.run >= task.run;
            Some((step, fits))
        });
        let blind = wanted.is_none();
        let (step, keep) = wanted.unwrap_or_default();
        let yields = self.yields(&row.task.step, &step);
        let run = Run {
            run: row.run,
            size: step.counted(),
            blind,
            phase: if keep { Phase::Running } else { Phase::Stopping },
            sent: now,
            known: Some(now),
            began: now,
            tries: 1,
            percent: (row.percent, row.percent),
            saved: row.saved.clone(),
            load: row.load,
            pace: 100,
            target: step.target,
            fills: step.fills,
            yields,
            estimate: Duration::from_millis(step.estimate),
            mark: (now, row.percent),
        };
        self.workers[no.0].add(row.task, run);
        if !keep {
            self.tell_stop(no, &row.task, "unwanted");
            return self.stop(no, &row.task, now);
        }
        if let Some(job) = self.jobs.get_mut(&row.task.step.job) {
            job.put(&row.task, At::There(no));
            if let Some(task) = job.task(&row.task) {
                task.run = row.run;
            }
        }
        self.begun(&row.task, now);
        self.unready_if_placed(&row.task.step);
    }

    /// A run that was known before the answer was asked for, and is in neither list, is gone.
    fn missing(&mut self, no: WorkerNo, sent: Time, held: &Held, now: Time) {
        let there =
            |t: &TaskKey, r: u32| held.running.iter().any(|row| row.task == *t && row.run == r);
        let gone: Vec<_> = self.workers[no.0]
            .runs
            .iter()
            .filter(|(t, r)| r.known.is_some_and(|k| k < sent) && !there(t, r.run))
            .map(|(t, r)| (*t, r.run))
            .collect();
        for (task, run) in gone {
            self.lost(no, &task, run, now);
        }
    }

    /// A task's work has begun.
    fn begun(&mut self, task: &TaskKey, _now: Time) {
        if let Some(job) = self.jobs.get_mut(&task.step.job)
            && job.state == State::Queued
        {
            job.state = State::Running;
        }
    }

    fn started(
        &mut self,
        no: WorkerNo,
        start: &Start,
        reply: Result<WorkerReply, Fault>,
        now: Time,
    ) {
        let act = self.may_act(now);
        let worker = &mut self.workers[no.0];
        let Some(run) = worker.runs.get_mut(&start.task).filter(|r| r.run == start.run) else {
            return;
        };
        if run.phase == Phase::Stopping {
            return;
        }
        let first = run.tries == 1;
        let more = run.tries < TRIES && act && worker.leaving.is_none();
        match reply {
            Ok(WorkerReply::Done(_)) => {
                run.phase = Phase::Running;
                run.known = Some(now);
                self.begun(&start.task, now);
            }
            // It was there and has ended: the next hold says how.
            Ok(WorkerReply::Refused(_, Refusal::Old)) => {
                run.phase = Phase::Stopping;
                run.known = Some(now);
                run.sent = now;
                worker.next = now;
            }
            Err(Fault::Unknown | Fault::Bad(_)) if more => {
                run.tries += 1;
                run.phase = Phase::Unsure;
                run.sent = now;
                // A silent worker gets no new lease, as with its holds.
                let new = if worker.silent > 0 { None } else { Some(&self.setup.bounds) };
                let until = new.and_then(|b| worker.lease(b, now)).unwrap_or(start.until);
                let again = Start { until, ..start.clone() };
                self.out.push(Order::Worker {
                    worker: worker.id.clone(),
                    addr: worker.addr,
                    call: Box::new(WorkerCall::Start(again)),
                    limit: ORDER,
                });
            }
            Err(Fault::Unknown | Fault::Bad(_)) => {
                self.tell_stop(no, &start.task, "start unanswered");
                self.stop(no, &start.task, now);
            }
            reply => {
                self.refused(no, start, &reply, now);
                if first {
                    self.lost(no, &start.task, start.run, now);
                } else {
                    // An earlier try may still be carried out.
                    self.stop(no, &start.task, now);
                }
            }
        }
    }

    /// Draws what follows from a refused start for the next ones.
    fn refused(
        &mut self,
        no: WorkerNo,
        start: &Start,
        reply: &Result<WorkerReply, Fault>,
        now: Time,
    ) {
        let worker = &mut self.workers[no.0];
        log::info!(target: "shard", did = "refused_start", job:% = start.task.step.job, task:% = start.task, run = start.run, worker:% = worker.id, reply:? = reply; "Start is refused.");
        match reply {
            Ok(WorkerReply::Refused(_, Refusal::Ticket)) => {
                let id = worker.id.clone();
                let key = start.task.step;
                if let Some(part) =
                    self.jobs.get_mut(&key.job).and_then(|j| j.parts.get_mut(&(key.time, key.step)))
                    && let Some(ticket) = part.tickets.good.get_mut(&id)
                {
                    ticket.1 = Time::ZERO;
                }
            }
            Ok(WorkerReply::Refused(_, Refusal::Bad)) => {
                self.failed(&start.task, start.run, now);
            }
            _ => {
                worker.unwell = now + UNWELL;
                worker.next = now;
            }
        }
    }

    fn stopped(
        &mut self,
        no: WorkerNo,
        task: &TaskKey,
        run: u32,
        reply: &Result<WorkerReply, Fault>,
        now: Time,
    ) {
        let worker = &mut self.workers[no.0];
        if let Some(r) = worker.runs.get_mut(task).filter(|r| r.run == run)
            && matches!(reply, Ok(WorkerReply::Done(_) | WorkerReply::Refused(..)))
        {
            r.known = Some(now);
            worker.next = worker.next.min(now + Duration::from_millis(20));
        }
    }

    /// Orders the end of a run; it counts until it has ended.
    pub(super) fn stop(&mut self, no: WorkerNo, task: &TaskKey, now: Time) {
        let worker = &mut self.workers[no.0];
        let Some(run) = worker.runs.get_mut(task) else { return };
        run.phase = Phase::Stopping;
        run.known = None;
        run.sent = now;
        let call = WorkerCall::Stop { task: *task, run: run.run, token: self.setup.token };
        self.out.push(Order::Worker {
            worker: worker.id.clone(),
            addr: worker.addr,
            call: Box::new(call),
            limit: ORDER,
        });
    }

    /// Sends stops again that had no answer, or an answer and no effect.
    pub(super) fn repeat(&mut self, now: Time) {
        let due = |r: &Run| {
            let again = if r.known.is_none() { ORDER * 2 } else { ORDER * 4 };
            r.phase == Phase::Stopping && r.sent + again <= now
        };
        let mut all = vec![];
        for (n, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.gone) {
            all.extend(w.runs.iter().filter(|(_, r)| due(r)).map(|(t, _)| (WorkerNo(n), *t)));
        }
        for (no, task) in all {
            self.stop(no, &task, now);
        }
    }

    /// Takes in the end of a run.
    fn ended(&mut self, no: WorkerNo, end: &End, now: Time) {
        self.tell_end(no, end, now);
        let run = self.workers[no.0].take(&end.task, end.run);
        self.stir = true;
        let saved = match (&run, &*end.saved) {
            (Some(r), "") => r.saved.clone(),
            _ => end.saved.clone(),
        };
        let mine = self.at(&end.task, no, end.run);
        if let Some(run) = &run {
            self.judge(no, end, run, now);
        }
        self.close(&end.task, end.run, end.how, saved, mine, now);
        let place = self.touch(end.task.step.job);
        self.workers[no.0].pending.push_back((end.number, end.task.step.job, place));
        self.finish_if_done(end.task.step.job, now);
    }

    /// A run is gone without a word of its end.
    pub(super) fn lost(&mut self, no: WorkerNo, task: &TaskKey, run: u32, now: Time) {
        self.tell_lost(no, task, run, now);
        let Some(old) = self.workers[no.0].take(task, run) else { return };
        self.stir = true;
        let mine = self.at(task, no, run);
        if mine {
            self.close(task, run, How::Stopped, old.saved, true, now);
        }
    }

    /// What a run's end means for its task.
    fn close(
        &mut self,
        task: &TaskKey,
        run: u32,
        how: How,
        saved: Box<str>,
        mine: bool,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step(&task.step).cloned() else { return };
        job.part(task.step.time, task.step.step);
        if job.state.over() {
            return;
        }
        let Some(t) = job.task(task) else { return };
        t.run = t.run.max(run);
        // An end that its owner has given up counts while nothing else has begun.
        let counts = mine || t.at == At::Waiting;
        if counts && !saved.is_empty() {
            job.keep(task, &saved);
        }
        if mine {
            job.put(task, At::Waiting);
        }
        match how {
            How::Done if counts && !step.lasts => self.done(task, step.gang, run, now),
            How::Failed => self.failed(task, run, now),
            _ => {}
        }
        if mine && how != How::Done && step.gang {
            self.gather(task, run, now);
        }
        self.review(task.step.job, now);
    }

    /// A task's work is done; of a gang, that of all its members.
    fn done(&mut self, task: &TaskKey, gang: bool, run: u32, _now: Time) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if !gang {
            return job.put(task, At::Done);
        }
        let count = job.step(&task.step).map_or(0, |s| s.count);
        for index in 0..count {
            let key = TaskKey { step: task.step, index };
            let same = job.task(&key).is_some_and(|t| t.run <= run);
            if same {
                job.put(&key, At::Done);
            }
        }
    }

    /// A run has failed; counts once, for all members of a gang as well.
    ///
    /// Guards against an end that is told twice: a new owner hears of ends again that the store has
    /// and the worker was not told so, and a job would be called failed before its time.
    fn failed(&mut self, task: &TaskKey, run: u32, now: Time) {
        let no = task.step.job;
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let Some(step) = job.step(&task.step).cloned() else { return };
        let attempts = self.known.get(&job.queue).map_or(u32::MAX, |q| q.attempts.max(1));
        let key = if step.gang { TaskKey { step: task.step, index: 0 } } else { *task };
        let Some(t) = job.task(&key) else { return };
        if t.fails.contains(&run) {
            return;
        }
        t.fails.push(run);
        if t.fails.len() >= attempts as usize && !step.lasts && !job.state.over() {
            self.end(no, State::Failed, now);
        }
    }

    /// One member of a gang has ended: the others of its run are stopped, so that none waits alone.
    fn gather(&mut self, task: &TaskKey, run: u32, now: Time) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(part) = job.parts.get(&(task.step.time, task.step.step)) else { return };
        let mut there = vec![];
        for (index, t) in (0..).zip(&part.tasks) {
            if let At::There(at) = t.at
                && t.run == run
            {
                there.push((at, TaskKey { step: task.step, index }));
            }
        }
        for (at, key) in there {
            if self.workers[at.0].runs.get(&key).is_some_and(|r| r.phase != Phase::Stopping) {
                self.tell_stop(at, &key, "gang member ended");
                self.stop(at, &key, now);
            }
        }
    }

    /// A worker's life is over: all that ran there is free to start elsewhere.
    pub(super) fn over_with(&mut self, no: WorkerNo, now: Time) {
        log::info!(target: "shard", worker:% = self.workers[no.0].id, runs = self.workers[no.0].runs.len(); "Worker is over.");
        self.workers[no.0].gone = true;
        self.roster = true;
        self.forget_runs(no, now);
        self.workers[no.0].pending.clear();
    }

    /// Asks for the list of machines while a worker is silent on which something may run.
    pub(super) fn doubt(&mut self, now: Time) {
        let (unsettled, workers) = (&self.unsettled, &self.workers);
        let doubtful = |n: usize, w: &Worker| {
            let counts = !w.runs.is_empty() || unsettled.contains(&WorkerNo(n));
            !w.gone && counts && w.silent > 0
        };
        let due = self.census.is_some_and(|t| t <= now);
        if due && workers.iter().enumerate().any(|(n, w)| doubtful(n, w)) {
            self.census = None;
            self.out.push(Order::Lives);
        }
    }

    /// Takes in which lives are there by the list of machines.
    ///
    /// A silent worker that the list lacks twice, a lag apart, is over: its tasks need not wait for
    /// its lease. One that is cut off and works on is on the list; a new one may not be on it yet,
    /// and is heard.
    pub(super) fn lives(&mut self, sent: Time, reply: Result<Vec<WorkerId>, Fault>, now: Time) {
        self.census = Some(now + CENSUS);
        let Ok(ids) = reply else { return };
        let there: FxHashSet<&WorkerId> = ids.iter().collect();
        for no in (0..self.workers.len()).map(WorkerNo) {
            let worker = &mut self.workers[no.0];
            if worker.gone {
                continue;
            }
            if there.contains(&worker.id) || worker.silent == 0 {
                worker.missed = None;
            } else if sent - *worker.missed.get_or_insert(sent) >= LAG {
                self.over_with(no, now);
            }
        }
    }

    fn forget_runs(&mut self, no: WorkerNo, now: Time) {
        let all: Vec<_> = self.workers[no.0].runs.iter().map(|(t, r)| (*t, r.run)).collect();
        for (task, run) in all {
            self.lost(no, &task, run, now);
        }
    }

    /// Forgets what ran where the lease has ended.
    pub(super) fn expire(&mut self, now: Time) {
        for no in (0..self.workers.len()).map(WorkerNo) {
            let w = &self.workers[no.0];
            if w.gone || w.lapse(&self.setup.bounds) > now {
                continue;
            }
            if !w.runs.is_empty() {
                log::info!(target: "shard", worker:% = w.id, runs = w.runs.len(), silent = w.silent; "Worker has lapsed.");
                self.forget_runs(no, now);
            }
            let w = &mut self.workers[no.0];
            let lost = w.listed.is_none() && w.silent > 3;
            if lost && !self.unsettled.contains(&no) {
                w.gone = true;
                self.roster = true;
            }
        }
    }

    /// Takes work from leaving workers: lasting tasks at once, others when the worker is about to
    /// end, so that they go on from a checkpoint in place of waiting for its lease.
    pub(super) fn leave(&mut self, now: Time) {
        let mut all = vec![];
        for (n, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.gone) {
            let Some(end) = w.leaving else { continue };
            let last = end - (self.setup.bounds.stop + ORDER);
            for (task, run) in w.runs.iter().filter(|(_, r)| r.phase == Phase::Running) {
                let lasts = self
                    .jobs
                    .get(&task.step.job)
                    .and_then(|j| j.step(&task.step))
                    .is_some_and(|s| s.lasts);
                if lasts || last <= now {
                    all.push((WorkerNo(n), *task, run.run));
                }
            }
        }
        for (no, task, _) in all {
            self.tell_stop(no, &task, "worker leaves");
            self.stop(no, &task, now);
        }
    }
}
