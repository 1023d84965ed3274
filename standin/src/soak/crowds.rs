//! Sends crowds of clients that misbehave to the members of a soak, and checks that no process holds
//! more than its VM has.

use {
    crate::soak::{Options, member::Members, stage::Stage},
    derive_more::Display,
    standin::crowd::{Crowd, Kind},
    std::{
        ops::Range,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, sleep_until},
};

/// Range of the time between the beginnings of two crowds, in milliseconds.
const GAP_MS: Range<u64> = 3_000..15_000;
/// Range of the time for which the clients stay, in milliseconds.
const HOLD_MS: Range<u64> = 1_000..6_000;
/// Range of the number of clients.
const CLIENTS: Range<usize> = 50..400;
/// Interval between two looks at the processes.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);
/// Makes the draws independent of the other ones of the seed.
const SEED_MASK: u64 = 0xc20d_5eed;

/// A planned crowd.
#[derive(Clone, Copy, Debug, Display)]
#[display("at {:.1} s {count} clients of the kind {kind} at member {member} for {:.1} s", at.as_secs_f64(), hold.as_secs_f64())]
pub struct PlannedCrowd {
    at: Duration,
    hold: Duration,
    kind: Kind,
    count: usize,
    member: usize,
}

/// Draws the crowds of a soak.
pub fn draw(options: &Options) -> Vec<PlannedCrowd> {
    let mut rng = fastrand::Rng::with_seed(options.seed ^ SEED_MASK);
    // Without keys, a complete body would be a job that the judge doesn't know.
    let kinds: Vec<Kind> = Kind::PURE
        .into_iter()
        .filter(|k| options.customers || *k != Kind::Blanks)
        .chain(options.customers.then_some(Kind::Mixed))
        .collect();
    let mut all = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.u64(GAP_MS));
        if at >= options.length {
            return all;
        }
        all.push(PlannedCrowd {
            at,
            hold: Duration::from_millis(rng.u64(HOLD_MS)),
            kind: kinds[rng.usize(0..kinds.len())],
            count: rng.usize(CLIENTS),
            member: rng.usize(0..options.members),
        });
    }
}

/// Plays all crowds at their times, counted from `begin`. They may overlap.
pub async fn play(members: &Members, begin: Instant, crowds: &[PlannedCrowd]) {
    for planned in crowds {
        sleep_until((begin + planned.at).into()).await;
        log::info!("{planned}");
        let to = members.site(planned.member).caller_addr;
        let crowd = Crowd::start(planned.kind, to, planned.count, planned.hold);
        let hold = planned.hold;
        tokio::spawn(async move {
            sleep(hold).await;
            drop(crowd);
        });
    }
}

/// Reports a breach as soon as a process holds more than its VM has.
pub async fn watch(stage: Stage, members: Members, options: &Options) {
    let memory = (options.memory_mb as u64) << 20;
    loop {
        for no in 0..options.members {
            let Some(held) = members.held(no) else { continue };
            let used = held.resident + held.unread;
            if used > memory || held.descriptors > options.max_fds as u64 {
                let descriptors = held.descriptors;
                stage.report_breach(format!(
                    "member {no} holds {used} bytes and {descriptors} descriptors"
                ));
            }
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}
