//! Decides which requests may wait in the queue, and when the callers of refused requests should
//! retry.
//!
//! *Load pattern:* callers send more than the workers can serve, for seconds (a burst) or for
//! hours. *Without it:* the queue grows until every request waits past its deadline. Workers then
//! run requests whose callers have given up, and goodput falls towards zero although all slots are
//! busy. If all refused callers got the same retry time, they would retry in step and form the next
//! burst.
//!
//! *Admission:* the expected wait of a request is the work that the fair order places before it,
//! divided by the measured drain rate. A request is admitted if its expected wait is at most a
//! fixed share of the time that it can spare before its deadline. Otherwise it is refused at once.
//! The rest of the spare time covers errors in both estimates.
//!
//! *Overload:* a queue that has not been empty for a while no longer absorbs a burst; it only adds
//! its length to every wait. The share is then smaller until the queue is empty again.
//!
//! *Retry time:* the time to serve the work before the request, plus one turn for each caller that
//! was refused earlier and is still due to retry, all at the measured drain rate. Callers thus
//! retry at the rate at which they can be served. A caller that is refused repeatedly delays only
//! its own retry.

use {
    crate::{
        Error, Kind, Time,
        decide::fair::{Item, Queue, WorkAhead},
        ids::CallerId,
    },
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Maximum expected wait of a request, as a fraction of its spare time. The remaining quarter
/// covers estimates that are wrong by a third.
const MAX_WAIT_SHARE: f64 = 0.75;
/// Maximum expected wait of a request under overload, as a fraction of its spare time. Longer waits
/// would serve no more requests; a quarter keeps the slots busy when arrivals vary.
const MAX_OVERLOAD_WAIT_SHARE: f64 = 0.25;
/// The queue counts as overloaded after it has not been empty for this long. This is several
/// typical runs (50 ms), so that one clump of arrivals is not overload. The waits themselves don't
/// show overload, because the fair order keeps some of them short.
const OVERLOAD_AFTER: Duration = Duration::from_millis(500);
/// Minimum number of departures in a sample of the drain rate: the mean of 16 run times has a
/// quarter of the variation of a single one.
const MIN_SAMPLE_SIZE: u32 = 16;
/// Weight of a new sample in the drain rate; about the last five samples count.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Ratio of the time since the last departure to the expected time between departures above which
/// the drain rate is lowered, because endpoints may have stalled. A gap that long occurs by chance
/// once in 3,000.
const STALL_GAP_RATIO: f64 = 8.0;
/// Maximum retry delay: a caller that is asked to wait longer uses another service instead.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Maximum random extension of a retry delay, as a fraction of the delay, so that callers refused
/// at the same moment don't retry at the same moment. Delays are never shortened, because an early
/// retry is refused again.
const MAX_JITTER: f64 = 0.5;
/// Interval at which callers whose retry time has passed are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Admission control of one service at one member.
pub struct Gate {
    rng: fastrand::Rng,
    drain: Drain,
    /// When the queue last became non-empty; `None` while it is empty.
    nonempty_since: Option<Time>,
    /// Retry times of the callers that were refused.
    retry_times: FxHashMap<CallerId, Time>,
    last_sweep: Time,
}

/// Measures the drain rate per usable slot, from departures while requests wait.
struct Drain {
    /// Expected run time served per second of one slot; 1 if runs take as long as expected.
    rate: f64,
    /// Expected run time, in seconds, of the requests in the current sample.
    served_work: f64,
    /// Slot-seconds in which `served_work` was served.
    busy_slot_seconds: f64,
    sample_start: Time,
    /// Number of departures in the current sample.
    departure_count: u32,
    /// Time of the last departure, or of the first arrival if no request has left since the queue
    /// was last empty.
    last_departure: Option<Time>,
    /// Expected run time of the request that left last or, if none has left, arrived first.
    last_run_time: Duration,
}

impl Gate {
    /// Creates a gate without measurements; `rng` draws the jitter of retry delays.
    pub fn new(rng: fastrand::Rng) -> Self {
        Gate {
            rng,
            drain: Drain::new(),
            nonempty_since: None,
            retry_times: FxHashMap::default(),
            last_sweep: Time::ZERO,
        }
    }

    /// Adds a request to the queue if its expected wait is acceptable.
    ///
    /// Errs with `NoEndpoint` if there are no slots, with `Late` if its wait would be too long, and
    /// as [`Queue::push`] does. The error contains the retry delay.
    pub fn admit(&mut self, queue: &mut Queue, item: Item, now: Time) -> Result<(), Error> {
        if queue.slots() == 0 {
            return Err(Kind::NoEndpoint.into());
        }
        let ahead = queue.work_ahead(&item, now);
        let wait = self.drain_time(ahead.work, ahead.slots, now);
        let share = if self.is_overloaded(now) { MAX_OVERLOAD_WAIT_SHARE } else { MAX_WAIT_SHARE };
        let spare = item.latest_start() - now;
        if !wait.is_zero() && wait > spare.mul_f64(share) {
            let detail = format!("would wait {} ms", wait.as_millis());
            let retry_delay = self.retry_delay(&item, ahead, now);
            return Err(Error::new(Kind::Late, detail).with_retry_after(retry_delay));
        }
        let run = item.run_time;
        // A copy for computing the retry delay; the queue takes the original.
        let request = item.clone();
        queue
            .push(item, now)
            .map_err(|e| e.with_retry_after(self.retry_delay(&request, ahead, now)))?;
        self.nonempty_since.get_or_insert(now);
        self.drain.record_arrival(run, now);
        Ok(())
    }

    /// Returns how long a request would wait if it were admitted now.
    pub fn expected_wait(&self, queue: &Queue, item: &Item, now: Time) -> Duration {
        let ahead = queue.work_ahead(item, now);
        self.drain_time(ahead.work, ahead.slots, now)
    }

    /// Removes the next request for a free slot, and updates the measured drain rate.
    pub fn pop(&mut self, queue: &mut Queue, now: Time) -> Option<Item> {
        let usable = queue.usable_slots(now);
        let item = queue.pop(now);
        if let Some(item) = &item {
            self.drain.record_departure(item, usable, now);
        }
        if queue.is_empty() {
            (self.nonempty_since, self.drain.last_departure) = (None, None);
        }
        item
    }

    /// Returns the error for a request that expired in the queue, with the retry delay.
    pub fn expiry_error(&mut self, queue: &Queue, item: &Item, now: Time) -> Error {
        let ahead = queue.work_ahead(item, now);
        Error::from(Kind::Expired).with_retry_after(self.retry_delay(item, ahead, now))
    }

    /// Returns whether the queue has not been empty for `OVERLOAD_AFTER`.
    pub fn is_overloaded(&self, now: Time) -> bool {
        self.nonempty_since.is_some_and(|t| now.since(t) >= OVERLOAD_AFTER)
    }

    /// Returns the expected run time that one slot serves per second; 1 if runs take as long as
    /// expected.
    pub fn drain_rate(&self) -> f64 {
        self.drain.rate
    }

    /// Returns how long `slots` slots take to serve `work`.
    fn drain_time(&self, work: Duration, slots: u32, now: Time) -> Duration {
        let rate = self.drain.current_rate(slots, now) * f64::from(slots);
        Duration::from_secs_f64((work.as_secs_f64() / rate).min(1e9))
    }

    fn retry_delay(&mut self, item: &Item, ahead: WorkAhead, now: Time) -> Duration {
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.retry_times.retain(|_, at| *at > now);
        }
        let others =
            self.retry_times.len() - usize::from(self.retry_times.contains_key(&item.caller));
        let turns = self.drain_time(item.run_time, ahead.slots, now).mul_f64(others as f64 + 1.0);
        let clear = now + self.drain_time(ahead.work, ahead.slots, now);
        let last = self.retry_times.get(&item.caller).copied().unwrap_or(now);
        let retry_at = (clear.max(last) + turns).min(now + MAX_RETRY_DELAY);
        self.retry_times.insert(item.caller.clone(), retry_at);
        retry_at.since(now).mul_f64(1.0 + MAX_JITTER * self.rng.f64())
    }
}

impl Drain {
    fn new() -> Self {
        Drain {
            rate: 1.0,
            served_work: 0.0,
            busy_slot_seconds: 0.0,
            sample_start: Time::ZERO,
            departure_count: 0,
            last_departure: None,
            last_run_time: Duration::ZERO,
        }
    }

    /// Starts the measurement at an arrival, if no request was waiting before.
    fn record_arrival(&mut self, run: Duration, now: Time) {
        if self.last_departure.is_none() {
            (self.last_departure, self.last_run_time) = (Some(now), run);
        }
    }

    fn record_departure(&mut self, item: &Item, usable: u32, now: Time) {
        // A request that found a free slot on arrival doesn't show how fast slots become free.
        if item.arrived_at == now {
            return;
        }
        let Some(last_departure) = self.last_departure.replace(now) else { return };
        if self.departure_count == 0 {
            self.sample_start = last_departure;
        }
        self.departure_count += 1;
        self.busy_slot_seconds += now.since(last_departure).as_secs_f64() * f64::from(usable);
        self.served_work += item.run_time.as_secs_f64();
        self.last_run_time = item.run_time;
        // Runs that began together end together, so a sample spans at least two runs; a shorter one
        // would measure a clump or a gap.
        if self.departure_count >= MIN_SAMPLE_SIZE
            && now.since(self.sample_start) >= item.run_time * 2
            && self.busy_slot_seconds > 0.0
        {
            let sample = (self.served_work / self.busy_slot_seconds).clamp(0.01, 10.0);
            self.rate += SAMPLE_WEIGHT * (sample - self.rate);
            (self.served_work, self.busy_slot_seconds, self.departure_count) = (0.0, 0.0, 0);
        }
    }

    /// Returns the drain rate, which is lowered if no request has left the queue for a long time.
    /// If all endpoints stalled, no departure would show it, and the gate would admit requests that
    /// then expire.
    fn current_rate(&self, slots: u32, now: Time) -> f64 {
        let gap = self.last_departure.map_or(Duration::ZERO, |at| now.since(at));
        let expected = self.last_run_time.as_secs_f64() / (self.rate * f64::from(slots));
        if gap <= self.last_run_time * 2 || gap.as_secs_f64() <= STALL_GAP_RATIO * expected {
            return self.rate;
        }
        self.rate * expected / gap.as_secs_f64()
    }
}
