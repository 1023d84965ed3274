//! Which request is let in to wait, and when a refused one is to come back.
//!
//! *Load pattern:* callers send more than the workers can do, for seconds (a burst) or for hours.
//! *Without it:* the queue grows until each request waits past its deadline; workers then run what
//! nobody waits for, and goodput falls towards zero although all slots are busy. Refused callers
//! that are all told the same time come back in step and make the next burst.
//!
//! *Admission:* the work that fair order puts before a request, over the measured drain rate, is
//! its expected wait. It is let in where that wait is a part of the time that it can spare, and
//! refused at once otherwise: the rest of that time covers errors of the two estimates.
//!
//! *Overload:* a queue that has not drained for a while doesn't absorb a burst; it only adds its
//! length to every wait. The part is then smaller, until the queue has drained.
//!
//! *Time to come back:* what stands before the request, and its caller's turns among the callers
//! refused before, by the measured drain rate. Returning callers come at the rate at which they
//! can be served, and a caller that is refused often moves its own return only.

use {
    crate::{
        Error, Kind, Time,
        decide::fair::{Ahead, Item, Queue},
        ids::CallerId,
    },
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// The part of its spare time that a request may be expected to wait: a burst is let in as far as
/// it can be served, with a quarter left for estimates that are wrong by a third.
const CALM: f64 = 0.75;
/// The same under overload. Waiting longer serves no more requests then; a quarter keeps the slots
/// busy through the variation of arrivals.
const OVERLOAD: f64 = 0.25;
/// How long the queue has not been empty where it is overload: several typical runs (50 ms), so
/// that one clump of arrivals is none. Waits don't tell it, as fair order keeps some of them short.
const WATCH: Duration = Duration::from_millis(500);
/// The drain rate is sampled over at least this many requests: the mean of 16 has a quarter of the
/// variation of one.
const SAMPLE: u32 = 16;
/// The weight of a sample; about the last five count.
const GAIN: f64 = 0.3;
/// No request leaves the queue for this many times the expected gap: endpoints stall. By chance a
/// gap is that long once in 3,000.
const STALL: f64 = 8.0;
/// The farthest time to come back: a caller told more than this finds another way.
const FARTHEST: Duration = Duration::from_secs(30);
/// Times to come back are stretched by up to this part, so that callers refused at one moment
/// don't come back at one moment. Never shortened: coming early is being refused again.
const JITTER: f64 = 0.5;
/// Callers whose time to come back has passed are forgotten this often.
const SWEEP: Duration = Duration::from_millis(100);

/// The admission of one service at one member.
pub struct Gate {
    rng: fastrand::Rng,
    drain: Drain,
    /// Since when the queue has not been empty.
    full: Option<Time>,
    /// When the callers that were refused may come back.
    backs: FxHashMap<CallerId, Time>,
    swept: Time,
}

/// What leaves the queue while something waits, for each slot open to it.
struct Drain {
    /// Expected run time served in a second of one slot; 1 where runs are as expected.
    pace: f64,
    work: f64,
    /// Slot-seconds in which `work` was served.
    busy: f64,
    start: Time,
    count: u32,
    /// Since when the queue has not been empty, or the last departure in that time.
    mark: Option<Time>,
    /// The run time of the last departure, or of the first arrival.
    run: Duration,
}

impl Gate {
    /// A gate that has measured nothing yet; `rng` spreads the times to come back.
    pub fn new(rng: fastrand::Rng) -> Self {
        Gate {
            rng,
            drain: Drain::new(),
            full: None,
            backs: FxHashMap::default(),
            swept: Time::ZERO,
        }
    }

    /// Lets a request into the queue.
    ///
    /// Errs with `NoEndpoint` where there are no slots, with `Late` where its wait would be too
    /// long, and as [`Queue::push`] does; the error says when to come back.
    pub fn admit(&mut self, queue: &mut Queue, item: Item, now: Time) -> Result<(), Error> {
        if queue.slots() == 0 {
            return Err(Kind::NoEndpoint.into());
        }
        let ahead = queue.ahead(&item, now);
        let wait = self.time(ahead.work, ahead.slots, now);
        let part = if self.overload(now) { OVERLOAD } else { CALM };
        let spare = item.latest() - now;
        if !wait.is_zero() && wait > spare.mul_f64(part) {
            let detail = format!("would wait {} ms", wait.as_millis());
            let back = self.back(&item, ahead, now);
            return Err(Error::new(Kind::Late, detail).after(back));
        }
        let run = item.run;
        // A copy, for the time to come back; the queue takes the other.
        let asked = item.clone();
        queue.push(item, now).map_err(|e| e.after(self.back(&asked, ahead, now)))?;
        self.full.get_or_insert(now);
        self.drain.begin(run, now);
        Ok(())
    }

    /// How long a request would wait if it were let in now.
    pub fn wait(&self, queue: &Queue, item: &Item, now: Time) -> Duration {
        let ahead = queue.ahead(item, now);
        self.time(ahead.work, ahead.slots, now)
    }

    /// Takes the request that is next for a free slot, and measures the drain rate by it.
    pub fn pop(&mut self, queue: &mut Queue, now: Time) -> Option<Item> {
        let usable = queue.usable(now);
        let item = queue.pop(now);
        if let Some(item) = &item {
            self.drain.note(item, usable, now);
        }
        if queue.is_empty() {
            (self.full, self.drain.mark) = (None, None);
        }
        item
    }

    /// When the caller of a request that expired in the queue is to come back.
    pub fn expired(&mut self, queue: &Queue, item: &Item, now: Time) -> Error {
        let ahead = queue.ahead(item, now);
        Error::from(Kind::Expired).after(self.back(item, ahead, now))
    }

    /// Whether the queue has not drained of late.
    pub fn overload(&self, now: Time) -> bool {
        self.full.is_some_and(|t| now.since(t) >= WATCH)
    }

    /// The expected run time that one slot serves in a second; 1 where runs are as expected.
    pub fn pace(&self) -> f64 {
        self.drain.pace
    }

    /// How long `slots` take for `work`.
    fn time(&self, work: Duration, slots: u32, now: Time) -> Duration {
        let rate = self.drain.pace(slots, now) * f64::from(slots);
        Duration::from_secs_f64((work.as_secs_f64() / rate).min(1e9))
    }

    fn back(&mut self, item: &Item, ahead: Ahead, now: Time) -> Duration {
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.backs.retain(|_, at| *at > now);
        }
        let others = self.backs.len() - usize::from(self.backs.contains_key(&item.caller));
        let turn = self.time(item.run, ahead.slots, now).mul_f64(others as f64 + 1.0);
        let clear = now + self.time(ahead.work, ahead.slots, now);
        let last = self.backs.get(&item.caller).copied().unwrap_or(now);
        let at = (clear.max(last) + turn).min(now + FARTHEST);
        self.backs.insert(item.caller.clone(), at);
        at.since(now).mul_f64(1.0 + JITTER * self.rng.f64())
    }
}

impl Drain {
    fn new() -> Self {
        Drain {
            pace: 1.0,
            work: 0.0,
            busy: 0.0,
            start: Time::ZERO,
            count: 0,
            mark: None,
            run: Duration::ZERO,
        }
    }

    /// A request waits from now on, if none did.
    fn begin(&mut self, run: Duration, now: Time) {
        if self.mark.is_none() {
            (self.mark, self.run) = (Some(now), run);
        }
    }

    fn note(&mut self, item: &Item, usable: u32, now: Time) {
        // What found a slot free when it came says nothing of how fast slots get free.
        if item.born == now {
            return;
        }
        let Some(mark) = self.mark.replace(now) else { return };
        if self.count == 0 {
            self.start = mark;
        }
        self.count += 1;
        self.busy += now.since(mark).as_secs_f64() * f64::from(usable);
        self.work += item.run.as_secs_f64();
        self.run = item.run;
        // Runs that began together end together: a sample spans two, or it sees a clump or a gap.
        if self.count >= SAMPLE && now.since(self.start) >= item.run * 2 && self.busy > 0.0 {
            let sample = (self.work / self.busy).clamp(0.01, 10.0);
            self.pace += GAIN * (sample - self.pace);
            (self.work, self.busy, self.count) = (0.0, 0.0, 0);
        }
    }

    /// The pace, lower where nothing has left the queue for long: with all endpoints stalled no
    /// departure would ever say so, and the gate would let requests in to expire.
    fn pace(&self, slots: u32, now: Time) -> f64 {
        let gap = self.mark.map_or(Duration::ZERO, |mark| now.since(mark));
        let expected = self.run.as_secs_f64() / (self.pace * f64::from(slots));
        if gap <= self.run * 2 || gap.as_secs_f64() <= STALL * expected {
            return self.pace;
        }
        self.pace * expected / gap.as_secs_f64()
    }
}
