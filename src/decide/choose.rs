//! Chooses the endpoint of a pool that serves a request.
//!
//! *Load pattern:* one worker of a pool is several times slower than its peers for a while; new and
//! recovered workers are cold. *Without it:* a random choice gives the slow worker as many requests
//! as the others, so its slots fill up and each of its requests is late. Sending always to the best
//! worker makes the decisions of all members fall on the same worker.
//!
//! *Choice:* of two random endpoints with a free slot, the one with less work relative to its
//! speed. The speed is the mean ratio of observed to expected run times, so that an endpoint isn't
//! blamed for long requests. It is taken relative to the median of the pool, so that no endpoint is
//! blamed for a load that slows all of them.
//!
//! *Slow start:* an endpoint that is at least three times as slow as the median has its usable
//! slots cut by that factor. Under high load the choice of two finds no other free slot and would
//! fill it up. A new, returned or recovered endpoint may use 1, 2, 4 and so on slots, each stage
//! after as many answers as it has slots.
//!
//! *Fading:* observed speed fades towards the median. A slow endpoint gets so few requests that its
//! recovery would not be noticed otherwise.

use {
    crate::{Time, decide::eject::Ejector, ids::WorkerId},
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Minimum weight of a new observation. If a larger fraction of the old value has faded, that
/// fraction is the weight. About the last ten observations count, so that a single run of five
/// times the expected time doesn't make an endpoint slow.
const MIN_WEIGHT: f64 = 0.1;
/// Minimum ratio of an endpoint's run time to the median at which the endpoint counts as slow. The
/// mean of ten runs that vary as much as their length reaches twice the median by chance if the
/// endpoint is 1.7 times as slow; the score handles smaller ratios.
const SLOW_RATIO: f64 = 3.0;
/// Time after which the weight of an observation has fallen to about a third; a slow endpoint is
/// tried again a few times per minute.
const FADE_TIME: Duration = Duration::from_secs(10);
/// Number of observations between updates of the median, which moves slowly and costs a sort.
const MEDIAN_INTERVAL: u32 = 32;
/// Maximum number of random draws for two endpoints with an open slot, before all endpoints are
/// examined; enough if half of them are open.
const MAX_DRAWS: usize = 8;

/// The endpoints of one pool, with their requests in flight and their speed.
pub struct Scores {
    rng: fastrand::Rng,
    endpoints: Vec<Endpoint>,
    index: FxHashMap<WorkerId, usize>,
    median: f64,
    /// Number of observations since the last update of the median.
    observations: u32,
}

struct Endpoint {
    worker: WorkerId,
    slots: u32,
    /// Number of slots that may be used, up to `slot_counts`.
    slot_limit: u32,
    /// Number of answers since `slot_limit` was last set.
    answers: u32,
    busy: u32,
    /// Mean ratio of observed to expected run time.
    ratio: f64,
    observed_at: Time,
}

impl Scores {
    /// Creates an instance without endpoints; `rng` draws the choices.
    pub fn new(rng: fastrand::Rng) -> Self {
        Scores {
            rng,
            endpoints: Vec::new(),
            index: FxHashMap::default(),
            median: 1.0,
            observations: 0,
        }
    }

    /// Adds an endpoint, which starts with one usable slot. If it exists already, sets its number
    /// of slots.
    pub fn add(&mut self, worker: WorkerId, slots: u32, now: Time) {
        if let Some(&at) = self.index.get(&worker) {
            self.endpoints[at].slots = slots;
            return;
        }
        self.index.insert(worker.clone(), self.endpoints.len());
        let (ratio, observed_at) = (self.median, now);
        self.endpoints.push(Endpoint {
            worker,
            slots,
            slot_limit: 1,
            answers: 0,
            busy: 0,
            ratio,
            observed_at,
        });
    }

    /// Removes an endpoint that is leaving or was lost.
    pub fn remove(&mut self, worker: &WorkerId) {
        let Some(at) = self.index.remove(worker) else { return };
        self.endpoints.swap_remove(at);
        if let Some(moved) = self.endpoints.get(at) {
            self.index.insert(moved.worker.clone(), at);
        }
    }

    /// Resets an endpoint to one usable slot and the median speed.
    pub fn reset(&mut self, worker: &WorkerId, now: Time) {
        let median = self.median;
        if let Some(e) = self.get(worker) {
            (e.slot_limit, e.answers, e.ratio, e.observed_at) = (1, 0, median, now);
        }
    }

    /// Chooses an endpoint and counts a request there. Returns `None` if no slot is open.
    pub fn pick(&mut self, ejector: &Ejector, now: Time) -> Option<WorkerId> {
        let (a, b) = self.draw(ejector, now)?;
        let at = if self.score(b, now) < self.score(a, now) { b } else { a };
        let endpoint = &mut self.endpoints[at];
        endpoint.busy += 1;
        Some(endpoint.worker.clone())
    }

    /// Counts a request at an endpoint that was not chosen by [`Scores::pick`].
    pub fn record_request(&mut self, worker: &WorkerId) {
        if let Some(e) = self.get(worker) {
            e.busy += 1;
        }
    }

    /// Records that a request ended without an answer that shows the endpoint's speed.
    pub fn release(&mut self, worker: &WorkerId) {
        if let Some(e) = self.get(worker) {
            e.busy = e.busy.saturating_sub(1);
        }
    }

    /// Records a complete answer after `ran` for a request with the expected run time `run`.
    /// Returns how many times as slow as the median the endpoint is now.
    pub fn record_answer(
        &mut self,
        worker: &WorkerId,
        run: Duration,
        ran: Duration,
        now: Time,
    ) -> f64 {
        self.release(worker);
        self.update_median();
        let median = self.median;
        let Some(e) = self.get(worker) else { return 1.0 };
        let sample = ran.as_secs_f64() / run.as_secs_f64().max(1e-6);
        let (known, faded) = (e.ratio(median, now), 1.0 - e.unfaded(now));
        (e.ratio, e.observed_at) = (known + MIN_WEIGHT.max(faded) * (sample - known), now);
        let slowness = e.ratio / median;
        e.update_limit(slowness);
        slowness
    }

    /// Returns the number of slots that are in use or may be used, and how many of these are free.
    pub fn slot_counts(&self, ejector: &Ejector, now: Time) -> (u32, u32) {
        let usable = self.endpoints.iter().filter(|e| ejector.allows_request(&e.worker, 0, now));
        let open = self.endpoints.iter().filter(|e| e.has_open_slot(ejector, now));
        (usable.map(Endpoint::usable_slots).sum(), open.map(|e| e.usable_slots() - e.busy).sum())
    }

    fn get(&mut self, worker: &WorkerId) -> Option<&mut Endpoint> {
        let &at = self.index.get(worker)?;
        self.endpoints.get_mut(at)
    }

    /// Returns two random open endpoints, or the same one twice if only one is open.
    fn draw(&mut self, ejector: &Ejector, now: Time) -> Option<(usize, usize)> {
        if self.endpoints.is_empty() {
            return None;
        }
        let mut first = None;
        for _ in 0..MAX_DRAWS {
            let at = self.rng.usize(..self.endpoints.len());
            if first == Some(at) || !self.endpoints[at].has_open_slot(ejector, now) {
                continue;
            }
            match first {
                Some(first) => return Some((first, at)),
                None => first = Some(at),
            }
        }
        let endpoints = self.endpoints.iter().enumerate();
        let open: Vec<_> =
            endpoints.filter(|(_, e)| e.has_open_slot(ejector, now)).map(|(at, _)| at).collect();
        let first = self.rng.choice(&open)?;
        Some((*first, *self.rng.choice(&open)?))
    }

    /// Returns the expected time per slot to finish the endpoint's requests and the new one. All
    /// slots count, also those above its limit. If only the usable ones counted, an endpoint at its
    /// first stage would look full beside idle peers, get no requests, and never reach the next
    /// stage.
    fn score(&self, at: usize, now: Time) -> f64 {
        let e = &self.endpoints[at];
        e.ratio(self.median, now) * f64::from(e.busy + 1) / f64::from(e.slots.max(1))
    }

    fn update_median(&mut self) {
        self.observations += 1;
        if self.observations < MEDIAN_INTERVAL {
            return;
        }
        self.observations = 0;
        let mut ratios: Vec<_> = self.endpoints.iter().map(|e| e.ratio).collect();
        let middle = ratios.len() / 2;
        if middle < ratios.len() {
            let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
            self.median = median.max(1e-6);
        }
    }
}

impl Endpoint {
    fn usable_slots(&self) -> u32 {
        self.slot_limit.min(self.slots)
    }

    fn has_open_slot(&self, ejector: &Ejector, now: Time) -> bool {
        self.busy < self.usable_slots() && ejector.allows_request(&self.worker, self.busy, now)
    }

    fn ratio(&self, median: f64, now: Time) -> f64 {
        median + (self.ratio - median) * self.unfaded(now)
    }

    /// Returns the fraction of the observed value that has not faded.
    fn unfaded(&self, now: Time) -> f64 {
        (-now.since(self.observed_at).as_secs_f64() / FADE_TIME.as_secs_f64()).exp()
    }

    fn update_limit(&mut self, slowness: f64) {
        if slowness >= SLOW_RATIO {
            let cut = (f64::from(self.slots) / slowness) as u32;
            (self.slot_limit, self.answers) = (self.slot_limit.min(cut.max(1)), 0);
            return;
        }
        self.answers += 1;
        if self.answers >= self.slot_limit {
            (self.slot_limit, self.answers) = ((self.slot_limit * 2).min(self.slots.max(1)), 0);
        }
    }
}
