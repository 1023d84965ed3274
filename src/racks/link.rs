//! The state of the exchange with one worker: fence, reports, leases, and pending orders.

use {
    super::LEASE_MAX,
    crate::{
        Time,
        attempts::{CLOCK_DRIFT, MAX_TRANSIT},
        http::Failure,
        ids::{Attempt, Epoch, TaskId},
        messages::{TaskOrder, TaskReport, WorkerAsk},
        units::Size,
    },
    std::time::Duration,
};

/// How often a worker is polled for its report: half of the time that urgent work may wait.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The pause before an unanswered fence or order is repeated.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a worker may be unresponsive before its leases are no longer renewed.
///
/// Long enough for a switch to restart, and short compared with the lease that then still runs.
pub(super) const SILENCE_MAX: Duration = Duration::from_secs(10);

/// The state of one worker since this member took over its rack.
pub(super) struct Link {
    pub(super) epoch: Epoch,
    pub(super) fenced: Option<Time>,
    pub(super) next_fence: Time,
    pub(super) ready: bool,
    pub(super) last_heard: Time,
    pub(super) report: Option<(Time, Vec<TaskReport>)>,
    pub(super) next_poll: Time,
    pub(super) polled_at: Option<Time>,
    /// Whether a call with orders is in flight.
    pub(super) in_flight: bool,
    pub(super) starts: Vec<Start>,
    pub(super) stops: Vec<TaskOrder>,
    /// The latest time at which a lease there can have been renewed.
    pub(super) last_renewal: Time,
    pub(super) next_order: Time,
    /// Whether its leases are no longer renewed.
    pub(super) lapsing: bool,
    pub(super) handed_over: bool,
    pub(super) created_at: Time,
    pub(super) listed: bool,
    pub(super) wake_at: Time,
}

/// A start that the worker has not confirmed.
pub(super) struct Start {
    pub(super) order: TaskOrder,
    pub(super) until: Time,
    /// When it was last sent.
    pub(super) sent: Option<Time>,
    pub(super) tries: u32,
    /// Whether it must not be sent again.
    pub(super) withdrawn: bool,
}

impl Link {
    pub(super) fn new(epoch: Epoch, now: Time) -> Self {
        Link {
            epoch,
            fenced: None,
            next_fence: now,
            ready: false,
            last_heard: now,
            report: None,
            next_poll: now,
            polled_at: None,
            in_flight: false,
            starts: vec![],
            stops: vec![],
            // The former owner may have renewed leases just before.
            last_renewal: now,
            next_order: now,
            lapsing: false,
            handed_over: false,
            created_at: now,
            listed: true,
            wake_at: Time::NEVER,
        }
    }

    /// The time from which no lease is valid that was renewed before renewals ended.
    pub(super) fn lapse(&self) -> Time {
        self.last_renewal + LEASE_MAX
    }

    /// Stops renewing leases until all have lapsed.
    pub(super) fn stop_renewals(&mut self, now: Time) {
        if self.lapsing {
            return;
        }
        self.lapsing = true;
        // A former owner that does not know of the takeover renews until the worker is fenced.
        if self.fenced.is_none() {
            self.last_renewal = now;
        }
    }

    /// Records whether the platform lists the worker; if its VM is gone, so is what ran on it.
    pub(super) fn list(&mut self, listed: bool, now: Time) {
        self.listed = listed;
        if !listed {
            self.stop_renewals(now);
        }
    }

    /// Withdraws all pending starts; none is sent again.
    pub(super) fn withdraw(&mut self) {
        self.starts.iter_mut().for_each(|s| s.withdrawn = true);
    }

    /// Adds a stop order unless one is pending, and withdraws the attempt's start.
    pub(super) fn stop(&mut self, task: TaskId, attempt: Attempt, now: Time) {
        for start in self.starts.iter_mut().filter(|s| is_for(&s.order, &task, attempt)) {
            start.withdrawn = true;
        }
        if !self.stops.iter().any(|s| is_for(s, &task, attempt)) {
            self.stops.push(attempt_order(task, attempt));
            self.next_order = now;
        }
    }

    /// The stops to send now.
    ///
    /// Guards against a stop that overtakes its start: the worker would confirm that nothing runs,
    /// and then the start would arrive. So a stop waits until the start is answered or too late.
    pub(super) fn stoppable(&self) -> Vec<TaskOrder> {
        let open =
            |o: &&TaskOrder| !self.starts.iter().any(|s| is_for(&s.order, &o.task, o.attempt));
        self.stops.iter().filter(open).cloned().collect()
    }

    /// Records that a call with orders got no usable answer.
    pub(super) fn unanswered(&mut self, ask: &WorkerAsk, sent: Time, failure: Option<Failure>) {
        for order in &ask.start {
            let mut starts = self.starts.iter_mut();
            let Some(start) = starts.find(|s| is_for(&s.order, &order.task, order.attempt)) else {
                continue;
            };
            if failure != Some(Failure::Unsent) {
                start.sent = Some(sent);
                continue;
            }
            start.tries -= 1;
            if start.tries == 0 {
                start.sent = None;
            }
        }
    }

    /// The next time at which something is due for the worker.
    pub(super) fn next_due(&self) -> Time {
        let starts = self.starts.iter().map(Start::end).min().filter(|_| !self.in_flight);
        self.ask_due().min(self.order_due()).min(starts.unwrap_or(Time::NEVER))
    }

    fn ask_due(&self) -> Time {
        match (self.listed, self.fenced) {
            (false, _) => Time::NEVER,
            (true, None) => self.next_fence,
            (true, Some(_)) if self.polled_at.is_some() => Time::NEVER,
            (true, Some(_)) => self.next_poll,
        }
    }

    fn order_due(&self) -> Time {
        if self.lapsing {
            return if self.in_flight { Time::NEVER } else { self.next_order.max(self.lapse()) };
        }
        let silent = self.last_heard + SILENCE_MAX + Duration::from_micros(1);
        match self.in_flight || self.fenced.is_none() || !self.ready {
            true => silent,
            false => self.next_order.min(silent),
        }
    }
}

impl Start {
    /// Whether it may be sent: after its not-after time another attempt may have been made.
    pub(super) fn fresh(&self, now: Time) -> bool {
        !self.withdrawn && now + MAX_TRANSIT / 4 < self.until
    }

    /// Whether it may still take effect although it is not sent again.
    pub(super) fn flying(&self, now: Time) -> bool {
        self.sent.is_some_and(|sent| now < sent + MAX_TRANSIT + CLOCK_DRIFT)
    }

    fn end(&self) -> Time {
        let fresh = if self.withdrawn { Time::ZERO } else { self.until - MAX_TRANSIT / 4 };
        fresh.max(self.sent.map_or(Time::ZERO, |sent| sent + MAX_TRANSIT + CLOCK_DRIFT))
    }
}

/// Whether an order is for this attempt.
pub(super) fn is_for(order: &TaskOrder, task: &TaskId, attempt: Attempt) -> bool {
    order.task == *task && order.attempt == attempt
}

/// An order that identifies its attempt and carries nothing else.
pub(super) fn attempt_order(task: TaskId, attempt: Attempt) -> TaskOrder {
    TaskOrder { task, attempt, size: Size::default(), run: 0 }
}
