//! Plays the changes of the customers and their overloads, and makes calls with keys that aren't
//! valid.

use {
    crate::soak::{
        callers::Callers,
        stage::{Stage, State},
    },
    dogwoodreach::{units::Cores, work::JobNo},
    standin::site::{
        customers::{self, KeyUse, Overload, PlannedChange},
        plan::DrawnJob,
    },
    std::time::{Duration, Instant},
    tokio::time::{sleep, sleep_until},
};

/// A key that no customer ever has.
const UNKNOWN_KEY: &str = "key-of-nobody";

/// Plays all changes and overloads at their times, counted from `begin`.
pub async fn play(
    stage: &Stage,
    callers: &Callers,
    begin: Instant,
    changes: &[PlannedChange],
    overloads: &[Overload],
) {
    let change = async {
        for planned in changes {
            sleep_until((begin + planned.at).into()).await;
            log::info!("{planned}");
            stage.update(|s| {
                s.reconfigure(|_, tenants| {
                    tenants.into_iter().for_each(|t| t.apply(planned.change))
                });
            });
        }
    };
    let total = stage.read(|s| s.world.workers.iter().map(|w| w.size.cores).sum());
    let overload = async {
        for overload in overloads {
            play_overload(stage, callers, begin, overload, total).await;
        }
    };
    tokio::join!(change, overload);
}

async fn play_overload(
    stage: &Stage,
    callers: &Callers,
    begin: Instant,
    overload: &Overload,
    total: Cores,
) {
    sleep_until((begin + overload.from).into()).await;
    log::info!("{overload}");
    let seed = stage.read(|s| s.rules.seed);
    let mut rng = fastrand::Rng::with_seed(seed ^ overload.from.as_millis() as u64);
    let gap = Duration::from_secs_f64(1.0 / overload.rate(total));
    let end = begin + overload.until;
    while Instant::now() < end {
        sleep(gap.mul_f64(2.0 * rng.f64())).await;
        let (no, queue, customer, job) = overload.draw_job(&mut rng);
        let tenant = stage.read(|s| s.tenants.as_ref().map(|t| t.all[customer].name.clone()));
        let drawn = DrawnJob { no, queue, job, fails: false, cancel: None, resubmit: false };
        callers.submit_job(drawn, tenant);
    }
}

impl State {
    /// Returns the key that isn't valid with which the caller of a job calls; none if the caller uses
    /// the newest valid key.
    pub fn bad_key_of(&self, job: JobNo) -> Option<Box<str>> {
        let customer = self.world.jobs.get(&job)?.customer.as_ref()?;
        let tenant = self.tenants.as_ref()?.get(customer)?;
        match customers::key_use(job.0) {
            KeyUse::Valid => None,
            KeyUse::Unknown => Some(UNKNOWN_KEY.into()),
            KeyUse::Revoked => tenant.revoked.last().cloned(),
        }
    }
}

impl Callers {
    /// Makes calls for a job with a key that isn't valid. The job must never run: the write that
    /// accepts a job depends on the configuration in force.
    pub async fn use_bad_key(&self, drawn: &DrawnJob, key: &str) {
        let no = JobNo(drawn.no);
        self.judge(|s| s.rules.refused(s.world.now, no));
        for method in ["POST", "GET", "DELETE", "POST"] {
            let status = self.send_with_key(method, drawn, key).await;
            let accepted = status.is_some_and(|s| (200..300).contains(&s));
            if accepted && method == "POST" {
                self.judge(|s| s.rules.accepted(s.world.now, no));
            }
        }
    }
}
