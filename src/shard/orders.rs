//! Handles the answers to calls to workers, repeats calls, and sends the holds that renew leases.

use {
    crate::{
        decide::resend::{MIN_RESEND_DELAY, SHORT_HOLD},
        ports::{Fault, Start, WorkerCall, WorkerRefusal, WorkerReply},
        shard::{
            event::Order,
            state_machine::Shard,
            stats::LossCause,
            workers::{Run, RunPhase, WorkerNo, millis},
        },
        time::Time,
        work::TaskKey,
    },
    std::time::Duration,
};

/// Timeout of a start, a stop or a change of pace. Workers answer within some milliseconds; an
/// order that is unanswered after this time may still be carried out late.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a hold is given up, in addition to the time for which the worker may hold it.
const HOLD_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of times that the start of a run is sent before the run is given up and stopped.
/// Another sending takes effect sooner than a stop, a hold and the start of a new run.
const MAX_START_ATTEMPTS: u32 = 5;
/// Time without starts after a worker has reported that it is unwell or has less capacity than
/// expected.
pub(super) const UNWELL_PAUSE: Duration = Duration::from_millis(700);

/// Returns whether a call that was unanswered for this time was given up before its timeout, in
/// order to be made again.
pub(super) fn was_given_up(call: &WorkerCall, unanswered: Duration) -> bool {
    let held = match call {
        WorkerCall::Start(_) => Duration::ZERO,
        WorkerCall::Hold { wait, .. } => *wait,
        _ => return false,
    };
    (held + MIN_RESEND_DELAY..held + ORDER_TIMEOUT).contains(&unanswered)
}

/// Returns whether a worker that has never reported this run rejects it from now on. No end will be
/// reported if it never began, so a hold must not wait for one.
fn is_rejected(run: &Run) -> bool {
    run.phase == RunPhase::Stopping && !run.was_seen && run.absence_from.is_some()
}

impl Shard {
    pub(super) fn on_start_reply(
        &mut self,
        no: WorkerNo,
        start: &Start,
        sent: Time,
        reply: Result<WorkerReply, Fault>,
        now: Time,
    ) {
        match reply {
            Ok(_) => self.answers.record_answer(sent, now),
            Err(Fault::Unknown) => self.answers.record_loss(now),
            Err(_) => {}
        }
        let (from, may_start) = (self.lease_start(now), self.may_start(now));
        let worker = &mut self.workers[no.0];
        let Some(run) = worker.runs.get_mut(&start.task).filter(|r| r.run == start.run) else {
            return;
        };
        run.was_seen |= matches!(reply, Ok(WorkerReply::Done(_)));
        if run.phase == RunPhase::Stopping {
            return;
        }
        let first = run.start_count == 1;
        let more = run.start_count < MAX_START_ATTEMPTS && may_start && worker.leaves_at.is_none();
        match reply {
            Ok(WorkerReply::Done(_)) => {
                run.phase = RunPhase::Running;
                run.absence_from = Some(now);
                self.mark_running(&start.task);
            }
            // The worker has had this run and it has ended; the answer to the next hold reports
            // how.
            Ok(WorkerReply::Refused(_, WorkerRefusal::Old)) => {
                run.phase = RunPhase::Stopping;
                run.absence_from = Some(now);
                run.stop_answered = true;
                run.sent_at = now;
                worker.next_hold = now;
            }
            Err(Fault::Unknown | Fault::Bad(_)) if more => {
                run.start_count += 1;
                log::info!(target: "shard", did = "resent", job:% = start.task.step.job, task:% = start.task, run = start.run, worker:% = worker.id, attempt = run.start_count, after_ms = millis(now - sent); "Start is sent again.");
                run.phase = RunPhase::Unsure;
                run.sent_at = now;
                // A worker that may be unresponsive gets no new lease; `send_holds` has the reason.
                let responsive = worker.unanswered_calls == 0 && worker.unanswered_orders == 0;
                let from = from.filter(|_| responsive);
                let new = from.and_then(|f| worker.extend_lease(&self.setup.bounds, f, now));
                let until = new.unwrap_or(start.lease_end_ms);
                let again = Start { lease_end_ms: until, ..start.clone() };
                self.orders.push(Order::Worker {
                    worker: worker.id.clone(),
                    addr: worker.addr,
                    call: Box::new(WorkerCall::Start(again)),
                    limit: ORDER_TIMEOUT,
                });
            }
            Err(Fault::Unknown | Fault::Bad(_)) => {
                self.log_stop(no, &start.task, "start unanswered");
                self.stop_run(no, &start.task, now);
            }
            reply => {
                self.on_refused_start(no, start, &reply, now);
                if first {
                    self.on_run_lost(no, &start.task, start.run, LossCause::Refused, now);
                } else {
                    // An earlier start may still be carried out.
                    self.stop_run(no, &start.task, now);
                }
            }
        }
    }

    /// Applies the consequences of a refused start for later starts.
    fn on_refused_start(
        &mut self,
        no: WorkerNo,
        start: &Start,
        reply: &Result<WorkerReply, Fault>,
        now: Time,
    ) {
        let worker = &mut self.workers[no.0];
        log::info!(target: "shard", did = "refused_start", job:% = start.task.step.job, task:% = start.task, run = start.run, worker:% = worker.id, reply:? = reply; "Start is refused.");
        match reply {
            Ok(WorkerReply::Refused(_, WorkerRefusal::Ticket)) => {
                let key = start.task.step;
                if let Some(step_state) = self
                    .jobs
                    .get_mut(&key.job)
                    .and_then(|j| j.step_states.get_mut(&(key.time, key.step)))
                    && let Some(ticket) = step_state.tickets.eligible.get_mut(&no)
                {
                    ticket.1 = Time::ZERO;
                }
            }
            Ok(WorkerReply::Refused(_, WorkerRefusal::Bad)) => {
                self.count_failure(&start.task, start.run, now);
            }
            _ => {
                worker.paused_until = now + UNWELL_PAUSE;
                worker.next_hold = now;
            }
        }
    }

    pub(super) fn on_stop_reply(
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
            r.absence_from.get_or_insert(now);
            r.stop_answered = true;
            worker.next_hold = worker.next_hold.min(now + Duration::from_millis(20));
        }
    }

    /// Orders a run to stop. Its resources count as used until it has ended.
    pub(super) fn stop_run(&mut self, no: WorkerNo, task: &TaskKey, now: Time) {
        let worker = &mut self.workers[no.0];
        let Some(run) = worker.runs.get_mut(task) else { return };
        // A worker that has answered a stop keeps rejecting the run, so a repeated stop leaves
        // `absence_from` as it is.
        if run.phase != RunPhase::Stopping {
            run.phase = RunPhase::Stopping;
            run.absence_from = None;
            run.stop_answered = false;
        }
        run.sent_at = now;
        let call = WorkerCall::Stop { task: *task, run: run.run, token: self.setup.token };
        self.orders.push(Order::Worker {
            worker: worker.id.clone(),
            addr: worker.addr,
            call: Box::new(call),
            limit: ORDER_TIMEOUT,
        });
    }

    /// Repeats the stops that were not answered, or that were answered but had no effect.
    pub(super) fn repeat_stops(&mut self, now: Time) {
        let due = |r: &Run| {
            let again = if r.stop_answered { ORDER_TIMEOUT * 4 } else { ORDER_TIMEOUT };
            r.phase == RunPhase::Stopping && r.sent_at + again <= now
        };
        let mut all = vec![];
        for (n, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.gone) {
            all.extend(w.runs.iter().filter(|(_, r)| due(r)).map(|(t, _)| (WorkerNo(n), *t)));
        }
        for (no, task) in all {
            self.stop_run(no, &task, now);
        }
    }

    /// Sends the holds that are due.
    pub(super) fn send_holds(&mut self, now: Time) {
        let (from, fresh) = (self.lease_start(now), self.is_confirmed(now));
        let losing = self.answers.is_losing(now);
        let resend_delay = self.answers.resend_delay(ORDER_TIMEOUT);
        for no in 0..self.workers.len() {
            let w = &mut self.workers[no];
            if w.gone || w.hold_sent.is_some() || w.next_hold > now {
                continue;
            }
            let wanted = w.list_entry.is_some() || w.has_outstanding_runs();
            if !wanted {
                continue;
            }
            // An unresponsive worker gets no new lease. Each lease may still arrive, so repeated
            // leases would postpone without end the time from which the worker's tasks can start
            // elsewhere.
            let from = from.filter(|_| w.fenced && w.unanswered_calls == 0);
            let until = from.and_then(|f| w.extend_lease(&self.setup.bounds, f, now));
            let wait = match () {
                () if !w.is_known || !w.unstored_ends.is_empty() || w.unanswered_calls > 0 => {
                    Duration::ZERO
                }
                () if w.runs.values().any(is_rejected) => Duration::ZERO,
                // While the store does not answer, leases count from the answers to holds, so these
                // have to arrive.
                () if w.runs.is_empty() && fresh => Duration::from_millis(1900),
                () if losing => SHORT_HOLD,
                () => Duration::from_millis(900),
            };
            // Only the first calls: a worker that needs longer has to be heard as well.
            let first = !w.fenced && w.unanswered_calls < 3;
            let limit = match first && self.unsettled_workers.contains(&WorkerNo(no)) {
                true => ORDER_TIMEOUT,
                false if losing && w.fenced && w.unanswered_calls == 0 => wait + resend_delay,
                false => wait + HOLD_MARGIN,
            };
            self.stats.unstored_polls += u64::from(!w.unstored_ends.is_empty());
            w.hold_sent = Some(now);
            w.acknowledged_end_number = w.acknowledged_end();
            let call = WorkerCall::Hold {
                until,
                token: self.setup.token,
                seen: w.acknowledged_end_number,
                wait,
            };
            self.orders.push(Order::Worker {
                worker: w.id.clone(),
                addr: w.addr,
                call: Box::new(call),
                limit,
            });
        }
    }
}
