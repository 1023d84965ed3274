//! Which endpoint of a pool gets a request.
//!
//! *Load pattern:* one worker of a pool is several times slower than its peers, for a while; new
//! and recovered workers are cold. *Without it:* a random choice gives the slow worker as many
//! requests as the others, so that its slots fill up and each of its requests is late; sending to
//! the best one only makes all members' decisions fall on the same worker.
//!
//! *Choice:* two random endpoints with a free slot, and of these the one with less to do for its
//! speed. Speed is the mean of observed over expected run times, so that an endpoint isn't blamed
//! for long requests, relative to the median of its peers, so that none is blamed for a load that
//! makes all slow.
//!
//! *Slots in use:* an endpoint three times as slow as the median or more has its slots in use cut by that
//! factor: under high load the choice of two finds no other free slot and would fill it up. A new,
//! returned or no longer slow endpoint comes back by steps, 1, 2, 4 slots, each after as many
//! answers as the step has slots.
//!
//! *Fading:* what was observed fades towards the median. A slow endpoint gets so few requests that
//! its recovery would not be seen otherwise.

use {
    crate::{Time, decide::eject::Ejector, ids::WorkerId},
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// The weight of an observation, or the part that has faded if that is more; about the last ten
/// count, so that a single run of five times the expected time doesn't make an endpoint slow.
const GAIN: f64 = 0.1;
/// An endpoint is slow from this many times the median on. The mean of ten runs that vary as much
/// as their length reaches twice the median by chance where it is 1.7 times as slow; the score
/// serves those.
const SLOW: f64 = 3.0;
/// What was observed counts a third after this long; a slow endpoint is tried again a few times a
/// minute.
const FADE: Duration = Duration::from_secs(10);
/// The median is taken anew after this many observations, as it moves slowly and costs a sort.
const REFRESH: u32 = 32;
/// Random draws for two open endpoints before all are looked at: enough where half are open.
const DRAWS: usize = 8;

/// The endpoints of one pool, with what is in flight and how fast they are.
pub struct Scores {
    rng: fastrand::Rng,
    endpoints: Vec<Endpoint>,
    index: FxHashMap<WorkerId, usize>,
    median: f64,
    /// Observations since the median was taken.
    fresh: u32,
}

struct Endpoint {
    worker: WorkerId,
    slots: u32,
    /// The slots in use at most, up to `slots`.
    step: u32,
    /// Answers since the step began.
    good: u32,
    busy: u32,
    /// Observed over expected run time.
    ratio: f64,
    seen: Time,
}

impl Scores {
    /// No endpoints yet; `rng` draws the choices.
    pub fn new(rng: fastrand::Rng) -> Self {
        Scores { rng, endpoints: Vec::new(), index: FxHashMap::default(), median: 1.0, fresh: 0 }
    }

    /// Adds an endpoint, which starts with one slot; sets the slots of one that is there.
    pub fn add(&mut self, worker: WorkerId, slots: u32, now: Time) {
        if let Some(&at) = self.index.get(&worker) {
            self.endpoints[at].slots = slots;
            return;
        }
        self.index.insert(worker.clone(), self.endpoints.len());
        let (ratio, seen) = (self.median, now);
        self.endpoints.push(Endpoint { worker, slots, step: 1, good: 0, busy: 0, ratio, seen });
    }

    /// Takes out an endpoint that is leaving or was lost.
    pub fn remove(&mut self, worker: &WorkerId) {
        let Some(at) = self.index.remove(worker) else { return };
        self.endpoints.swap_remove(at);
        if let Some(moved) = self.endpoints.get(at) {
            self.index.insert(moved.worker.clone(), at);
        }
    }

    /// Starts an endpoint again with one slot and nothing known of its speed.
    pub fn restart(&mut self, worker: &WorkerId, now: Time) {
        let median = self.median;
        if let Some(e) = self.get(worker) {
            (e.step, e.good, e.ratio, e.seen) = (1, 0, median, now);
        }
    }

    /// Chooses an endpoint and counts a request there; none where no slot is open.
    pub fn pick(&mut self, ejector: &Ejector, now: Time) -> Option<WorkerId> {
        let (a, b) = self.draw(ejector, now)?;
        let at = if self.score(b, now) < self.score(a, now) { b } else { a };
        let endpoint = &mut self.endpoints[at];
        endpoint.busy += 1;
        Some(endpoint.worker.clone())
    }

    /// Counts a request at an endpoint that was chosen otherwise.
    pub fn count(&mut self, worker: &WorkerId) {
        if let Some(e) = self.get(worker) {
            e.busy += 1;
        }
    }

    /// Records that a request ended without an answer that tells the endpoint's speed.
    pub fn release(&mut self, worker: &WorkerId) {
        if let Some(e) = self.get(worker) {
            e.busy = e.busy.saturating_sub(1);
        }
    }

    /// Records a whole answer after `ran`, where `run` was expected; how many times as slow as the
    /// median the endpoint is now.
    pub fn answered(&mut self, worker: &WorkerId, run: Duration, ran: Duration, now: Time) -> f64 {
        self.release(worker);
        self.refresh();
        let median = self.median;
        let Some(e) = self.get(worker) else { return 1.0 };
        let sample = ran.as_secs_f64() / run.as_secs_f64().max(1e-6);
        let (known, faded) = (e.ratio(median, now), 1.0 - e.kept(now));
        (e.ratio, e.seen) = (known + GAIN.max(faded) * (sample - known), now);
        let slowness = e.ratio / median;
        e.adjust(slowness);
        slowness
    }

    /// The slots in use or open to use, and those of them that are free.
    pub fn slots(&self, ejector: &Ejector, now: Time) -> (u32, u32) {
        let usable = self.endpoints.iter().filter(|e| ejector.allows(&e.worker, 0, now));
        let open = self.endpoints.iter().filter(|e| e.open(ejector, now));
        (usable.map(Endpoint::limit).sum(), open.map(|e| e.limit() - e.busy).sum())
    }

    fn get(&mut self, worker: &WorkerId) -> Option<&mut Endpoint> {
        let &at = self.index.get(worker)?;
        self.endpoints.get_mut(at)
    }

    /// Two random open endpoints, the same twice where there is one.
    fn draw(&mut self, ejector: &Ejector, now: Time) -> Option<(usize, usize)> {
        if self.endpoints.is_empty() {
            return None;
        }
        let mut first = None;
        for _ in 0..DRAWS {
            let at = self.rng.usize(..self.endpoints.len());
            if first == Some(at) || !self.endpoints[at].open(ejector, now) {
                continue;
            }
            match first {
                Some(first) => return Some((first, at)),
                None => first = Some(at),
            }
        }
        let endpoints = self.endpoints.iter().enumerate();
        let open: Vec<_> =
            endpoints.filter(|(_, e)| e.open(ejector, now)).map(|(at, _)| at).collect();
        let first = self.rng.choice(&open)?;
        Some((*first, *self.rng.choice(&open)?))
    }

    /// How long the endpoint has to work on what it would have, for each of its slots. All slots
    /// count, also those above the step: by the open ones an endpoint at its first step would look
    /// full beside idle peers, be given nothing, and so never take the next step.
    fn score(&self, at: usize, now: Time) -> f64 {
        let e = &self.endpoints[at];
        e.ratio(self.median, now) * f64::from(e.busy + 1) / f64::from(e.slots.max(1))
    }

    fn refresh(&mut self) {
        self.fresh += 1;
        if self.fresh < REFRESH {
            return;
        }
        self.fresh = 0;
        let mut ratios: Vec<_> = self.endpoints.iter().map(|e| e.ratio).collect();
        let middle = ratios.len() / 2;
        if middle < ratios.len() {
            let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
            self.median = median.max(1e-6);
        }
    }
}

impl Endpoint {
    fn limit(&self) -> u32 {
        self.step.min(self.slots)
    }

    fn open(&self, ejector: &Ejector, now: Time) -> bool {
        self.busy < self.limit() && ejector.allows(&self.worker, self.busy, now)
    }

    fn ratio(&self, median: f64, now: Time) -> f64 {
        median + (self.ratio - median) * self.kept(now)
    }

    /// The part of what was observed that has not faded.
    fn kept(&self, now: Time) -> f64 {
        (-now.since(self.seen).as_secs_f64() / FADE.as_secs_f64()).exp()
    }

    fn adjust(&mut self, slowness: f64) {
        if slowness >= SLOW {
            let cut = (f64::from(self.slots) / slowness) as u32;
            (self.step, self.good) = (self.step.min(cut.max(1)), 0);
            return;
        }
        self.good += 1;
        if self.good >= self.step {
            (self.step, self.good) = ((self.step * 2).min(self.slots.max(1)), 0);
        }
    }
}
