//! Tests what callers are told about a job, in every order of the steps of its owners and the store.

mod hand;
mod reports;

use {
    dogwoodreach::{
        shard::report::JobReport,
        work::{JobNo, JobState},
    },
    hand::Harness,
    reports::{Move, Site},
    std::collections::HashSet,
};

type Start = fn() -> Site;

/// What happened in the orders that were played.
#[derive(Default)]
struct Seen {
    states: HashSet<u64>,
    moves: HashSet<Move>,
    told: Vec<JobState>,
    /// Owners that vouched for a state that isn't final.
    vouched: HashSet<usize>,
    /// Number of longer orders.
    unplayed: usize,
}

/// Plays the steps; callers ask after each one. Returns the site, or the step after which callers
/// were told what contradicts itself.
fn play(start: Start, steps: &[Move]) -> Result<Site, String> {
    let mut site = start();
    site.ask()?;
    for (at, step) in steps.iter().enumerate() {
        assert!(site.moves().contains(step), "{step:?} is not possible in {steps:?}");
        site.play(*step);
        site.ask().map_err(|e| format!("{e}, after {:?}", &steps[..=at]))?;
    }
    Ok(site)
}

/// Plays every order of at most `depth` of these moves; continues only one of the orders that lead
/// to the same state. The first fault found is one with the fewest steps.
fn explore(start: Start, depth: usize, moves: fn(&Move) -> bool) -> Seen {
    let mut seen = Seen::default();
    let mut orders: Vec<Vec<Move>> = vec![vec![]];
    for _ in 0..=depth {
        let mut longer = vec![];
        for steps in orders {
            let site = play(start, &steps).unwrap_or_else(|fault| panic!("{fault}"));
            if !seen.states.insert(site.digest()) {
                continue;
            }
            seen.note(&site, &steps);
            for step in site.moves().into_iter().filter(moves) {
                longer.push(steps.iter().copied().chain([step]).collect());
            }
        }
        orders = longer;
    }
    seen.unplayed = orders.len();
    seen
}

impl Seen {
    fn note(&mut self, site: &Site, steps: &[Move]) {
        self.moves.extend(steps.last());
        self.told.extend(site.told.filter(|s| !self.told.contains(s)));
        for heard in site.heard() {
            if let Some(JobReport::Current(state)) = heard.report
                && !state.is_final()
            {
                self.vouched.insert(heard.owner);
            }
        }
    }
}

/// The moves of one owner and its store.
fn of_one_owner(step: &Move) -> bool {
    use Move::*;
    !matches!(step, Pause | Renew | Confirm(_) | TakeOver)
}

/// The moves of an owner and its successor whose calls end in three ways.
fn of_two_owners(step: &Move) -> bool {
    !matches!(step, Move::Refuse(_) | Move::Garble(_) | Move::Tick(_))
}

#[test]
fn no_order_of_a_write_and_its_answers_lets_a_caller_see_an_end_undone() {
    // An owner told a job as going on whose end the store had already: the answer to the write was
    // on its way, lost, unreadable, or the write took effect after the owner had given it up.
    let seen = explore(Site::queued, 20, of_one_owner);
    assert_eq!(seen.unplayed, 0);
    assert_eq!(seen.told, [JobState::Cancelled]);
    assert!(seen.vouched.contains(&0) && seen.moves.contains(&Move::Late));
}

#[test]
fn no_order_of_a_takeover_lets_a_caller_see_an_end_undone() {
    // A former owner told a job as going on that its successor had ended, to a member whose table
    // still named the former owner.
    let seen = explore(Site::queued, 8, of_two_owners);
    assert_eq!(seen.told, [JobState::Cancelled]);
    assert_eq!(seen.vouched.len(), 2);
    let moves = [Move::Late, Move::Confirm(0), Move::Confirm(1), Move::Answer(1), Move::Lose(1)];
    assert!(moves.iter().all(|m| seen.moves.contains(m)), "{:?}", seen.moves);
}

#[test]
fn no_order_of_an_end_and_a_cancel_lets_a_caller_see_another_end() {
    // As above; besides, the former owner decides on one end of the job and its successor stores
    // another.
    let seen = explore(Site::running, 5, of_two_owners);
    assert!(seen.told.contains(&JobState::Done) && seen.told.contains(&JobState::Cancelled));
    assert!(seen.vouched.contains(&0) && seen.moves.contains(&Move::Store(1)));
}

#[test]
fn an_owner_that_a_worker_refuses_for_its_successor_vouches_for_nothing() {
    // A member that is taken for ended, as another process has its address, is succeeded before its
    // lease has ended.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", hand::job(hand::step(1, 1)));
    hand.run(200);
    assert_eq!(hand.state(1), Some(JobState::Running));
    hand.workers[0].token = hand.token + 1;
    hand.run_until("the refusal", 5_000, |h| h.deposed);
    let report = hand.shard.report(JobNo(1), hand.now);
    assert_eq!(report, Some(JobReport::AtLeast(JobState::Running)));
}
