//! One worker's link: its fence, its reports, its leases, and the orders that wait for it.

use {
    super::LAPSE,
    crate::{
        Time,
        attempts::{DRIFT, FLIGHT},
        http::Failure,
        ids::{Attempt, Epoch, TaskId},
        messages::{TaskOrder, TaskReport, WorkerAsk},
        units::Size,
    },
    std::time::Duration,
};

/// How often a worker is asked for its report. Half of the time that urgent work may wait.
pub(super) const POLL: Duration = Duration::from_millis(500);
/// The pause before an unanswered fence is repeated.
pub(super) const REFENCE: Duration = Duration::from_millis(200);
/// How long a worker may be silent before its leases are renewed no more.
///
/// Long enough for a restarted switch to come back, short beside the lease that then still runs.
pub(super) const SILENT: Duration = Duration::from_secs(10);

/// What is known of one worker since its rack was gained.
pub(super) struct Link {
    pub(super) epoch: Epoch,
    pub(super) fenced: Option<Time>,
    pub(super) fence: Time,
    pub(super) ready: bool,
    pub(super) heard: Time,
    pub(super) report: Option<(Time, Vec<TaskReport>)>,
    pub(super) poll: Time,
    pub(super) asked: Option<Time>,
    /// Whether orders are on their way.
    pub(super) ordering: bool,
    pub(super) starts: Vec<Start>,
    pub(super) stops: Vec<TaskOrder>,
    /// When a lease there can have been renewed at the latest.
    pub(super) renewed: Time,
    pub(super) due: Time,
    /// Whether its leases are left to run out.
    pub(super) cut: bool,
    pub(super) handed: bool,
    pub(super) since: Time,
    pub(super) listed: bool,
    pub(super) wake: Time,
}

/// A start that the worker has not confirmed.
pub(super) struct Start {
    pub(super) order: TaskOrder,
    pub(super) until: Time,
    /// When it was sent last.
    pub(super) sent: Option<Time>,
    pub(super) tries: u32,
    /// Whether it must not be sent again.
    pub(super) off: bool,
}

impl Link {
    pub(super) fn new(epoch: Epoch, now: Time) -> Self {
        Link {
            epoch,
            fenced: None,
            fence: now,
            ready: false,
            heard: now,
            report: None,
            poll: now,
            asked: None,
            ordering: false,
            starts: vec![],
            stops: vec![],
            // The former owner may have renewed just before.
            renewed: now,
            due: now,
            cut: false,
            handed: false,
            since: now,
            listed: true,
            wake: Time::NEVER,
        }
    }

    /// From when on no lease can run that was renewed before the cut.
    pub(super) fn lapse(&self) -> Time {
        self.renewed + LAPSE
    }

    /// Renews no lease from now on, until all have lapsed.
    pub(super) fn cut_off(&mut self, now: Time) {
        if self.cut {
            return;
        }
        self.cut = true;
        // A former owner that has not heard of its loss renews until the worker is fenced.
        if self.fenced.is_none() {
            self.renewed = now;
        }
    }

    /// Notes whether the platform lists the worker; a VM that is gone took with it what ran there.
    pub(super) fn list(&mut self, listed: bool, now: Time) {
        self.listed = listed;
        if !listed {
            self.cut_off(now);
        }
    }

    /// Sends no start any more.
    pub(super) fn withdraw(&mut self) {
        self.starts.iter_mut().for_each(|s| s.off = true);
    }

    /// Orders a stop, once.
    pub(super) fn stop(&mut self, task: TaskId, attempt: Attempt, now: Time) {
        for start in self.starts.iter_mut().filter(|s| same(&s.order, &task, attempt)) {
            start.off = true;
        }
        if !self.stops.iter().any(|s| same(s, &task, attempt)) {
            self.stops.push(bare(task, attempt));
            self.due = now;
        }
    }

    /// The stops to send now.
    ///
    /// Guards against a stop that overtakes its start: the worker would confirm that nothing runs,
    /// and then the start would come. So a stop waits until the start is answered or too late.
    pub(super) fn stoppable(&self) -> Vec<TaskOrder> {
        let open = |o: &&TaskOrder| !self.starts.iter().any(|s| same(&s.order, &o.task, o.attempt));
        self.stops.iter().filter(open).cloned().collect()
    }

    /// Notes that orders went without an answer.
    pub(super) fn unanswered(&mut self, ask: &WorkerAsk, sent: Time, failure: Option<Failure>) {
        for order in &ask.start {
            let mut starts = self.starts.iter_mut();
            let Some(start) = starts.find(|s| same(&s.order, &order.task, order.attempt)) else {
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

    /// When something is due.
    pub(super) fn next(&self) -> Time {
        let starts = self.starts.iter().map(Start::end).min().filter(|_| !self.ordering);
        self.ask_due().min(self.order_due()).min(starts.unwrap_or(Time::NEVER))
    }

    fn ask_due(&self) -> Time {
        match (self.listed, self.fenced) {
            (false, _) => Time::NEVER,
            (true, None) => self.fence,
            (true, Some(_)) if self.asked.is_some() => Time::NEVER,
            (true, Some(_)) => self.poll,
        }
    }

    fn order_due(&self) -> Time {
        if self.cut {
            return if self.ordering { Time::NEVER } else { self.due.max(self.lapse()) };
        }
        let silent = self.heard + SILENT + Duration::from_micros(1);
        match self.ordering || self.fenced.is_none() || !self.ready {
            true => silent,
            false => self.due.min(silent),
        }
    }
}

impl Start {
    /// Whether it may be sent: past its not-after time another attempt may have been made.
    pub(super) fn fresh(&self, now: Time) -> bool {
        !self.off && now + FLIGHT / 4 < self.until
    }

    /// Whether it may yet take effect although it is not sent again.
    pub(super) fn flying(&self, now: Time) -> bool {
        self.sent.is_some_and(|sent| now < sent + FLIGHT + DRIFT)
    }

    fn end(&self) -> Time {
        let fresh = if self.off { Time::ZERO } else { self.until - FLIGHT / 4 };
        fresh.max(self.sent.map_or(Time::ZERO, |sent| sent + FLIGHT + DRIFT))
    }
}

/// Whether an order is for this attempt.
pub(super) fn same(order: &TaskOrder, task: &TaskId, attempt: Attempt) -> bool {
    order.task == *task && order.attempt == attempt
}

/// An order that only names its attempt.
pub(super) fn bare(task: TaskId, attempt: Attempt) -> TaskOrder {
    TaskOrder { task, attempt, size: Size::default(), run: 0 }
}
