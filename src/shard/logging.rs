//! Reports a shard's decisions as log records and as counts for the metrics. Takes no decisions.

use {
    crate::{
        customers::cap_text,
        decide::{health::Verdict, rank::outcome, utility::Lateness},
        ports::{EndReason, EndedRun},
        shard::{
            cause::{AbsentStep, Exclusions},
            event::CancelSource,
            record::CancelRecord,
            state_machine::Shard,
            stats::{Gauges, LossCause, Stats},
            workers::{WorkerNo, millis},
        },
        time::Time,
        work::{JobNo, JobState, StepKey, TaskKey},
    },
    std::{cmp::Reverse, collections::BTreeMap, mem, time::Duration},
};

/// The maximum delay of a start that is attributed to the scheduling round itself.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(60);
/// The minimum wait after which a step is logged as waiting.
const MIN_LOGGED_WAIT: Duration = Duration::from_secs(3);
/// The maximum number of waiting steps that are logged at once.
const MAX_LOGGED_STEPS: usize = 4;
/// The maximum number of absences that are logged at once, the longest ones. The lines of five
/// shards fit into a member's budget of lines.
const MAX_LOGGED_ABSENCES: usize = 20;
/// The maximum number of customers that are logged at once.
const MAX_LOGGED_CUSTOMERS: usize = 8;
/// The minimum number of consecutive unanswered calls after which a worker is logged as silent.
pub(super) const MIN_SILENT_CALLS: u32 = 3;

impl Shard {
    /// Returns the statistics since the last call and resets them.
    pub fn take_stats(&mut self) -> Stats {
        mem::take(&mut self.stats)
    }

    /// Returns the number of waiting tasks by priority, the age of the worker list, and the longest
    /// absence by cause.
    pub fn gauges(&self, now: Time) -> Gauges {
        let (waiting_customers, customers_above_share) = self.share_counts();
        let mut levels = Gauges {
            worker_list_age: now - self.reported.listed_at,
            inbox_age: now - self.inbox_seen,
            unwritten_jobs: self.unwritten_jobs(),
            unstored_end_age: self.oldest_end().map_or(Duration::ZERO, |at| now - at),
            longest_absence: self.reported.away.clone(),
            waiting_customers,
            customers_above_share,
            ..Gauges::default()
        };
        for key in self.ranks.keys() {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let Some(queue) = self.queue_configs.get(&job.queue) else { continue };
            let step_state = job.step_states.get(&(key.time, key.step));
            let waiting = step_state.map_or(0, |p| p.waiting_count as usize);
            *levels.waiting_tasks.entry(queue.priority).or_default() += waiting;
        }
        levels
    }

    /// Returns the time of the earliest end of a job that is not stored yet.
    fn oldest_end(&self) -> Option<Time> {
        let written = self.in_flight.jobs.iter().map(|f| &f.0);
        let unstored = written.chain(self.unwritten.ended().take(1));
        unstored.filter_map(|no| self.jobs.get(no)?.ended_at).min()
    }

    /// Logs that the number of listed workers has changed.
    pub(super) fn log_listed(&mut self, count: usize, now: Time) {
        let before_ms = millis(now - self.reported.listed_at);
        self.reported.listed_at = now;
        let was = mem::replace(&mut self.reported.listed_count, count);
        if was != count {
            log::info!(target: "shard", shard:% = self.setup.shard, count, was, before_ms; "Worker list has changed.");
        }
    }

    /// Logs a summary of the shard, the causes of its longest waiting steps, and the long-running
    /// tasks that are away.
    pub(super) fn log_summary(&mut self, now: Time) {
        let away = self.absences(now);
        self.reported.away = BTreeMap::new();
        for a in &away {
            let longest = self.reported.away.entry(a.cause).or_default();
            *longest = a.absence_time.max(*longest);
        }
        if !log::log_enabled!(target: "shard", log::Level::Info) {
            return;
        }
        let (shard, summary, count) = (self.setup.shard, self.summary(now), away.len());
        log::info!(target: "shard", "Shard {shard}: {summary}; long-running steps away {count}.");
        away.iter().take(MAX_LOGGED_ABSENCES).for_each(|a| self.log_away(a));
        self.log_customers(now);
        self.log_shares(now);
        let lasts =
            |k: &StepKey| self.jobs.get(&k.job).and_then(|j| j.step(k)).is_some_and(|s| s.lasts);
        let since = |k: &StepKey| {
            let ready = self
                .step_state(k)
                .and_then(|p| p.ready_since)
                .filter(|t| *t + MIN_LOGGED_WAIT <= now);
            ready.filter(|_| !lasts(k))
        };
        let mut all: Vec<(Time, StepKey)> =
            self.ranks.keys().filter_map(|k| Some((since(k)?, *k))).collect();
        all.sort_unstable();
        let few: Vec<_> = all.into_iter().take(MAX_LOGGED_STEPS).collect();
        if few.is_empty() {
            return;
        }
        let sights = self.diagnose_steps(&few.iter().map(|f| f.1).collect(), now);
        for (since, key) in few {
            let (Some((_, sight)), Some(step_state)) = (sights.get(&key), self.step_state(&key))
            else {
                continue;
            };
            let Some(step) = self.jobs.get(&key.job).and_then(|j| j.step(&key)) else { continue };
            let rank = &self.ranks[&key];
            let (cause, class, urgent) = (sight.cause(), rank.class(), rank.is_urgent());
            let tickets = &step_state.tickets;
            let (tasks, waits_ms) = (step_state.waiting_count, millis(now - since));
            let reserve = self.reservations.get(&key);
            let (kept_ms, at_ms) =
                reserve.map_or((0, 0), |r| (millis(now - r.since), millis(r.ready_at - now)));
            let old = reserve.map_or(0, |r| {
                let valid = |no| self.valid_until(&key, no).is_some_and(|u| u > now);
                r.members.iter().filter(|e| !valid(e.0)).count()
            });
            let (asked, good, out) = (
                tickets.asked_workers.len(),
                tickets.eligible.len(),
                tickets.pending_workers.len(),
            );
            log::info!(target: "shard", did = "waits", job:% = key.job, step:% = key, cause:% = cause, class, urgent, waits_ms, tasks, gang = step.gang, each:% = step.reserved(), asked, good, out, kept_ms, at_ms, old; "Step waits.");
        }
    }

    /// Logs the customers whose caps keep steps from starting, those that wait longest first.
    fn log_customers(&self, now: Time) {
        let mut all = self.customer_usage(now);
        all.retain(|c| c.wait_time.is_some());
        all.sort_by_key(|c| Reverse(c.wait_time));
        for c in all.into_iter().take(MAX_LOGGED_CUSTOMERS) {
            let waits_ms = millis(c.wait_time.unwrap_or_default());
            log::info!(target: "shard", did = "capped", shard:% = self.setup.shard, customer:% = c.name, in_use:% = c.in_use, allotted:% = c.allotted, waiting:% = c.waiting, cap = &*cap_text(&c.cap), version = self.queues.version, waits_ms; "Customer waits for its cap.");
        }
    }

    /// Logs a long-running step that has tasks away, with all facts that decide when they run
    /// again.
    fn log_away(&self, a: &AbsentStep) {
        let s = &a.sight;
        let list = |bars: &Exclusions| -> Box<str> {
            let each: Vec<String> = bars.iter().map(|(bar, n)| format!("{bar} {n}")).collect();
            if each.is_empty() { "none".into() } else { each.join(", ").into() }
        };
        let age = |age: Option<Duration>| {
            age.map_or_else(|| "never".into(), |age| millis(age).to_string())
        };
        let (out, bars, oldest_ms, heard_ms) =
            (list(&s.out), list(&s.bars), age(s.oldest), age(s.heard));
        log::info!(target: "shard", did = "away", job:% = a.key.job, step:% = a.key, tasks = a.waiting_count, held = a.unseen_count, first = a.oldest_index, away_ms = millis(a.absence_time), class = a.class, behind = a.preceding_count, cause:% = a.cause, usable = s.usable, pool = s.all, out = &*out, asked = s.asked, good = s.good, valid = s.valid, old = s.old, gangs = s.gangs, before = s.before, bound = s.bound, full = s.full, unfit = s.unfit, barred = s.barred, bars = &*bars, unasked = s.unasked, roomy = s.roomy, calls = s.calls, oldest_ms = &*oldest_ms, heard_ms = &*heard_ms, idle = s.lanes.0, members = s.lanes.1, member = s.member, listed_ms = millis(s.listed), unsettled = s.unsettled; "Lasting task is away.");
    }

    /// Logs a job whose record was read for the first time.
    pub(super) fn log_known(&self, no: JobNo, now: Time) {
        let Some(job) = self.jobs.get(&no) else { return };
        let (after_ms, steps) =
            (self.unix_ms(now).saturating_sub(job.submitted_ms), job.job.steps.len());
        let (shard, token) = (self.setup.shard, self.setup.token);
        log::debug!(target: "shard", did = "known", job:% = no, shard:% = shard, token, queue = &*job.queue, steps, after_ms, old = job.inherited; "Owner has read the record of a job.");
    }

    /// Logs tasks that start again, with the numbers of the last run and of the new one.
    fn log_restarts(&self, key: &StepKey, starts: &[(TaskKey, WorkerNo, u32)]) {
        let step_state =
            self.jobs.get(&key.job).and_then(|j| j.step_states.get(&(key.time, key.step)));
        let Some(step_state) = step_state else { return };
        let last = |t: &TaskKey| step_state.tasks.get(t.index as usize).map_or(0, |t| t.run);
        let mut again = starts.iter().filter(|(t, ..)| last(t) > 0);
        let Some((task, no, run)) = again.next() else { return };
        let (last, tasks, worker) = (last(task), 1 + again.count(), &self.workers[no.0].id);
        log::info!(target: "shard", did = "again", job:% = key.job, task:% = task, run, last, tasks, worker:% = worker; "Task starts again.");
    }

    /// Logs the first start of a step and the reason for its delay, and counts both.
    pub(super) fn log_start(
        &mut self,
        key: &StepKey,
        starts: &[(TaskKey, WorkerNo, u32)],
        now: Time,
    ) {
        self.log_restarts(key, starts);
        let unix = self.unix_ms(now);
        let settled = self.reported.settled_at;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let (came, old, begun) =
            (job.submitted_ms.max(job.due_ms(key.time)), job.inherited, job.start_counted);
        let Some(step_state) = job.step_states.get_mut(&(key.time, key.step)) else { return };
        let Some((_, first, run)) = starts.first() else { return };
        let step = job.job.steps.get(usize::from(key.step));
        let (each, gang) = step.map(|s| (s.reserved(), s.gang)).unwrap_or_default();
        let queue = job.queue.clone();
        if mem::replace(&mut step_state.start_logged, true) {
            return;
        }
        let ready = step_state.ready_since.unwrap_or(now);
        let near = |at: Option<Time>| at.is_some_and(|t| t > ready && now - t < MAX_ROUND_DELAY);
        let delay = now - ready;
        let reason = match () {
            () if delay < MAX_ROUND_DELAY => "none",
            () if old && near(settled) => "settle",
            () if near(step_state.advised_at) => "advice",
            () => "room",
        };
        let advice_ms =
            step_state.advised_at.filter(|a| *a > ready).map_or(0, |a| millis(a - ready));
        let (worker, listed_ms) =
            (&self.workers[first.0].id, millis(now - self.reported.listed_at));
        let (after_ms, delay_ms, tasks) = (unix.saturating_sub(came), millis(delay), starts.len());
        let inbox_ms = millis(now - self.inbox_seen);
        log::info!(target: "shard", did = "start", job:% = key.job, step:% = key, run, tasks, worker:% = worker, queue = &*queue, each:% = each, gang, delay_ms, reason, advice_ms, after_ms, listed_ms, inbox_ms; "Step starts.");
        *self.stats.step_starts.entry(reason).or_default() += 1;
        if !begun {
            job.start_counted = true;
            self.stats.first_starts.push(Duration::from_millis(after_ms));
        }
    }

    /// Logs and counts a cancel that this owner has learnt of.
    pub(super) fn log_cancel(
        &mut self,
        no: JobNo,
        record: &CancelRecord,
        source: CancelSource,
        known: bool,
        now: Time,
    ) {
        *self.stats.cancels.entry(source).or_default() += 1;
        let after_ms = self.unix_ms(now).checked_sub(record.asked_ms);
        let after_ms = after_ms.filter(|_| record.asked_ms > 0);
        self.stats.cancel_delays.extend(after_ms.map(Duration::from_millis));
        let inbox_ms = millis(now - self.inbox_seen);
        log::info!(target: "shard", did = "cancelled", job:% = no, known, source:% = source, after_ms:? = after_ms, inbox_ms; "Cancel of a job was received.");
    }

    /// Logs and counts the end of a run.
    pub(super) fn log_end(&mut self, no: WorkerNo, end: &EndedRun, now: Time) {
        let how = match end.reason {
            EndReason::Done => "done",
            EndReason::Failed => "failed",
            EndReason::Stopped => "stopped",
            EndReason::Lapsed => "lapsed",
            EndReason::Broken => "broken",
            EndReason::Alone => "alone",
        };
        *self.stats.run_ends.entry(how).or_default() += 1;
        let level =
            if end.reason == EndReason::Done { log::Level::Debug } else { log::Level::Info };
        let worker = &self.workers[no.0];
        let began = worker.find_run(&end.task, end.run);
        let took_ms = began.map_or(0, |r| millis(r.ended_by.unwrap_or(now) - r.started_at));
        let asked = began.is_some_and(|r| r.phase == super::workers::RunPhase::Stopping);
        log::log!(target: "shard", level, did = "end", job:% = end.task.step.job, task:% = end.task, run = end.run, how, worker:% = worker.id, took_ms, asked, number = end.number; "Run has ended.");
    }

    /// Logs and counts a run that is gone without a reported end.
    pub(super) fn log_lost(
        &mut self,
        no: WorkerNo,
        task: &TaskKey,
        run: u32,
        cause: LossCause,
        now: Time,
    ) {
        let worker = &self.workers[no.0];
        let Some(old) = worker.find_run(task, run) else { return };
        *self.stats.lost_runs.entry(cause).or_default() += 1;
        let heard_ms = worker.last_answer.map_or(0, |h| millis(now - h));
        let (ran_ms, percent) = (millis(now - old.started_at), old.progress_percent.1);
        log::info!(target: "shard", did = "lost", job:% = task.step.job, task:% = task, run, worker:% = worker.id, cause:% = cause, cut_off = worker.cut_off, phase:? = old.phase, ran_ms, percent, heard_ms, silent = worker.unanswered_calls; "Run is gone without an end.");
    }

    /// Records whether a worker listed only the first of its ends; logs each change.
    pub(super) fn record_cut_off(&mut self, no: WorkerNo, cut_off: bool) {
        let worker = &mut self.workers[no.0];
        self.stats.cut_off_lists += u64::from(cut_off);
        if mem::replace(&mut worker.cut_off, cut_off) != cut_off {
            let said = if cut_off { "only its first ends" } else { "all its ends again" };
            log::info!(target: "shard", did = "cut_off", worker:% = worker.id, cut_off, received = worker.last_end_number, stored = worker.stored_end_number, unstored = worker.unstored_ends.len(), runs = worker.runs.len(), fenced = worker.fenced; "Worker lists {said}.");
        }
    }

    /// Logs that a run was ordered to stop, and why.
    pub(super) fn log_stop(&self, no: WorkerNo, task: &TaskKey, cause: &str) {
        let worker = &self.workers[no.0];
        let run = worker.runs.get(task).map_or(0, |r| r.run);
        log::info!(target: "shard", did = "stop", job:% = task.step.job, task:% = task, run, worker:% = worker.id, cause; "Run is stopped.");
    }

    /// Logs that a job is over, and counts it if it is done.
    pub(super) fn log_over(&mut self, no: JobNo, state: JobState, stopped: usize, now: Time) {
        let Some(job) = self.jobs.get(&no) else { return };
        let after_ms = self.unix_ms(now).saturating_sub(job.submitted_ms);
        let failed = job.failures();
        log::info!(target: "shard", did = "over", job:% = no, state:% = state, queue = &*job.queue, after_ms, failed, stopped; "Job is over.");
        if state == JobState::Done {
            let took = Duration::from_millis(after_ms);
            self.stats.completions.push(took);
            // The occurrences of a recurring job have objectives of their own.
            let queue = self.queue_configs.get(&job.queue).filter(|_| job.job.times.is_none());
            if let Some(queue) = queue {
                let outcome = match outcome(queue, job.objective_time(0), took) {
                    Lateness::InTime => "in_time",
                    Lateness::Late => "late",
                    Lateness::TooLate => "too_late",
                };
                *self.stats.job_outcomes.entry(outcome).or_default() += 1;
            }
        }
    }

    /// Logs workers that became silent or quarantined, or recovered.
    pub(super) fn log_workers(&mut self, now: Time) {
        for w in self.workers.iter_mut().filter(|w| !w.gone) {
            let verdict = w.health.verdict(now);
            let held = matches!(verdict, Verdict::Quarantined { .. });
            if mem::replace(&mut w.logged.quarantined, held) != held {
                let said = if held { "quarantined" } else { "sound" };
                log::info!(target: "shard", worker:% = w.id, verdict:? = verdict, now:% = now, runs = w.runs.len(); "Worker is {said}.");
            }
            // A worker that was logged as silent stays so until its first answer.
            let silent = w.unanswered_calls >= MIN_SILENT_CALLS
                || (w.logged.silent && w.unanswered_calls > 0);
            if mem::replace(&mut w.logged.silent, silent) != silent {
                let heard_ms = w.last_answer.map_or(0, |h| millis(now - h));
                let said = if silent { "is silent" } else { "answers again" };
                log::info!(target: "shard", worker:% = w.id, silent = w.unanswered_calls, heard_ms, runs = w.runs.len(), listed = w.list_entry.is_some(); "Worker {said}.");
            }
        }
    }
}
