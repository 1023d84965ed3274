//! The customers of a soak, how their keys, caps and weights change, and the overload that they
//! cause. All of this is drawn from generators of its own, so that the faults and jobs of a saved
//! seed stay as they are.

use {
    crate::site::setup::{job, step},
    derive_more::Display,
    dogwoodreach::{
        ids::CustomerId,
        units::{Cores, Size},
        work::{Job, Step},
    },
    std::time::Duration,
};

/// Number of customers.
pub const CUSTOMERS: usize = 6;
/// Range of the caps in percent of all cores. Even the lowest admits a gang of five.
const CAP_PERCENT: std::ops::Range<u64> = 25..80;
/// Range of the time between two changes, in milliseconds.
const CHANGE_GAP_MS: std::ops::Range<u64> = 800..4_000;
/// Part of the demand of an overload that a single customer causes, in percent.
const HEAVY_PERCENT: u64 = 60;
/// Longest overload after the last fault.
const MAX_TAIL: Duration = Duration::from_secs(20);

/// Number of tasks of a job of an overload, and the range of their estimates in milliseconds.
const TASKS: u32 = 6;
const MIN_MS: u64 = 600;
const MAX_MS: u64 = 1_600;

/// Seeds of the generators: for the customers and their changes, for overloads, for what is derived
/// from a job's number.
const SALTS: [u64; 3] = [0x6375_7374, 0x6f76_6572, 0x6a6f_6273];

/// A customer and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the customer.
    pub name: CustomerId,
    /// Keys that are valid now; the last one is the newest.
    pub keys: Vec<Box<str>>,
    /// Keys that were revoked.
    pub revoked: Vec<Box<str>>,
    /// Weight of the customer.
    pub weight: f64,
    /// The most that the customer may have running; 0 stands for no limit.
    pub cap: Size,
}

/// All customers of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenants {
    /// The customers, by index.
    pub all: Vec<Tenant>,
    /// Cores of all workers.
    total: Cores,
    next_key: u64,
}

/// A change of one customer, given by index.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Change {
    /// The cap is this percentage of all cores.
    #[display("customer c{_0} has a cap of {_1}% of all cores")]
    Cap(usize, u64),
    /// The customer has this weight.
    #[display("customer c{_0} has weight {_1}")]
    Weight(usize, f64),
    /// The customer has a new key, and the older ones are revoked.
    #[display("customer c{_0} has a new key, its older ones are revoked")]
    NewKey(usize),
    /// The customer has a further key.
    #[display("customer c{_0} has a further key")]
    FurtherKey(usize),
}

/// A change at its time, as an offset from the start of the soak.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:.1} s: {change}", at.as_secs_f64())]
pub struct PlannedChange {
    /// Time of the change.
    pub at: Duration,
    /// The change.
    pub change: Change,
}

/// A time in which more work is submitted than the workers can do.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{:.1} s: a demand of {factor:.2} times the capacity until {:.1} s, most of it of customer c{heavy}", from.as_secs_f64(), until.as_secs_f64())]
pub struct Overload {
    /// Start, as an offset from the start of the soak.
    pub from: Duration,
    /// End, as an offset from the start of the soak.
    pub until: Duration,
    /// Demand as a multiple of the capacity, in addition to the usual jobs.
    pub factor: f64,
    /// Customer that causes most of it.
    pub heavy: usize,
}

/// How the caller of a job uses its customer's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyUse {
    /// With a key that is valid now.
    Valid,
    /// With a key that no customer ever had.
    Unknown,
    /// With a key that was revoked, if the customer has one.
    Revoked,
}

impl Tenants {
    /// Draws the customers of a seed for workers with this many cores.
    pub fn draw(seed: u64, total: Cores) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ SALTS[0]);
        let mut tenants = Tenants { all: vec![], total, next_key: 0 };
        for no in 0..CUSTOMERS {
            let (key, cap) = (tenants.new_key(), tenants.share_of(rng.u64(CAP_PERCENT)));
            tenants.all.push(Tenant {
                name: CustomerId::from(&*format!("c{no}")),
                keys: vec![key],
                revoked: vec![],
                weight: draw_weight(&mut rng),
                cap,
            });
        }
        tenants
    }

    fn new_key(&mut self) -> Box<str> {
        self.next_key += 1;
        format!("key-{}", self.next_key).into()
    }

    fn share_of(&self, percent: u64) -> Size {
        Size { cores: Cores(self.total.0 * percent / 100), ..Size::default() }
    }

    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        let key = self.new_key();
        match change {
            Change::Cap(no, percent) => self.all[no].cap = self.share_of(percent),
            Change::Weight(no, weight) => self.all[no].weight = weight,
            Change::NewKey(no) => {
                let tenant = &mut self.all[no];
                tenant.revoked.append(&mut tenant.keys);
                tenant.keys.push(key);
            }
            Change::FurtherKey(no) => self.all[no].keys.push(key),
        }
    }

    /// Removes all caps, so that every accepted job can end.
    pub fn lift_caps(&mut self) {
        self.all.iter_mut().for_each(|t| t.cap = Size::default());
    }

    /// Returns the customer with this name.
    pub fn get(&self, name: &CustomerId) -> Option<&Tenant> {
        self.all.iter().find(|t| t.name == *name)
    }

    /// Returns the customer that submits a job, by the job's number.
    pub fn of_job(&self, no: u64) -> &CustomerId {
        &self.all[job_rng(no).usize(0..self.all.len())].name
    }
}

fn draw_weight(rng: &mut fastrand::Rng) -> f64 {
    [0.5, 1.0, 1.0, 2.0, 4.0][rng.usize(0..5)]
}

/// Draws the changes of the customers of a soak of this length, with its tail.
pub fn changes(seed: u64, length: Duration) -> Vec<PlannedChange> {
    // Another sequence than that of `Tenants::draw`, which begins with the same salt.
    let mut rng = fastrand::Rng::with_seed(!seed ^ SALTS[0]);
    let (mut all, mut at) = (vec![], Duration::ZERO);
    let end = length + tail(length);
    loop {
        at += Duration::from_millis(rng.u64(CHANGE_GAP_MS));
        if at >= end {
            return all;
        }
        let no = rng.usize(0..CUSTOMERS);
        let change = match rng.u32(0..10) {
            0..4 => Change::Cap(no, rng.u64(CAP_PERCENT)),
            4..6 => Change::Weight(no, draw_weight(&mut rng)),
            6..9 => Change::NewKey(no),
            _ => Change::FurtherKey(no),
        };
        all.push(PlannedChange { at, change });
    }
}

/// Returns for how long the load goes on after the last fault of a soak of this length. Faults come
/// so often that the rules with a time bound would hardly ever apply under overload otherwise.
pub fn tail(length: Duration) -> Duration {
    MAX_TAIL.min(length / 3)
}

/// Draws the overloads of a soak of this length: one among the faults, one after the last fault.
pub fn overloads(seed: u64, length: Duration) -> Vec<Overload> {
    let mut rng = fastrand::Rng::with_seed(seed ^ SALTS[1]);
    let mut one = |from: Duration, lasts: Duration| {
        let (factor, heavy) = (0.9 + 0.9 * rng.f64(), rng.usize(0..CUSTOMERS));
        Overload { from, until: from + lasts, factor, heavy }
    };
    let among = one(length.mul_f64(0.3), tail(length) / 2);
    vec![among, one(length, tail(length))]
}

impl Overload {
    /// Returns the jobs per second that cause it at workers with this many cores, from the mean
    /// size of [`Overload::draw_job`].
    pub fn rate(&self, total: Cores) -> f64 {
        let core_seconds = f64::from(TASKS) * (MIN_MS + MAX_MS) as f64 / 2.0 / 1e3;
        self.factor * total.0 as f64 / 1e3 / core_seconds
    }

    /// Draws one of its jobs: the number, the queue, the customer, and the job.
    pub fn draw_job(&self, rng: &mut fastrand::Rng) -> (u64, &'static str, usize, Job) {
        let heavy = rng.u64(0..100) < HEAVY_PERCENT;
        let customer = if heavy { self.heavy } else { rng.usize(0..CUSTOMERS) };
        let queue = ["plain", "open", "open", "urgent"][rng.usize(0..4)];
        let mut first = step(TASKS, rng.u64(MIN_MS..MAX_MS));
        // Most quick steps request the same rack.
        first.near = (queue == "urgent" && rng.u32(0..100) < 60).then(|| "r1".into());
        (rng.u64(..), queue, customer, job([first]))
    }
}

/// Generator for what is derived from a job's number.
fn job_rng(no: u64) -> fastrand::Rng {
    fastrand::Rng::with_seed(no ^ SALTS[2])
}

/// Returns how the caller of a job uses its customer's keys, by the job's number.
pub fn key_use(no: u64) -> KeyUse {
    match job_rng(!no).u32(0..100) {
        0..4 => KeyUse::Unknown,
        4..10 => KeyUse::Revoked,
        _ => KeyUse::Valid,
    }
}

/// Places the data of some jobs on a rack, by the job's number.
pub fn place_data(no: u64, job: &mut Job) {
    let mut rng = job_rng(no.rotate_left(32));
    if rng.u32(0..100) >= 25 {
        return;
    }
    let rack = ["r1", "r2"][rng.usize(0..2)];
    let plain = |s: &&mut Step| s.near.is_none() && !s.lasts && !s.fills;
    if let Some(step) = job.steps.iter_mut().find(plain) {
        step.near = Some(rack.into());
    }
}

/// Speed of a worker relative to the nominal one: in each pool, one in four is slow.
pub fn worker_speed(worker: usize) -> f64 {
    if worker % 8 < 2 { 0.55 } else { 1.2 }
}
