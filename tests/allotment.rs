//! Tests of the division of a customer's cap among shards.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    dogwoodreach::{
        decide::allotment::{Division, Need},
        units::Size,
    },
};

fn cores(n: u64) -> Size {
    Size::new(n, 0, 0)
}

fn need(in_use: u64, waiting: u64) -> Need {
    Need { in_use: cores(in_use), waiting: cores(waiting), yields: false }
}

/// Returns the division after a shard has adapted it to its need.
fn adapt(division: &Division, shard: u16, cap: u64, need: Need) -> Division {
    division.next(shard, &cores(cap), &need).unwrap_or_else(|| division.clone())
}

fn allotted(division: &Division, shard: u16) -> u64 {
    division.allotment(shard).allotted.cores.0 / 1_000
}

fn any_size(u: &mut Unstructured) -> arbtest::arbitrary::Result<Size> {
    Ok(Size::new(u.int_in_range(0..=9)?, u.int_in_range(0..=9)?, u.int_in_range(0..=9)?))
}

#[test]
fn a_shard_takes_its_need_and_a_part_of_the_rest() {
    let first = adapt(&Division::default(), 0, 100, need(0, 20));
    assert_eq!(allotted(&first, 0), 60);
    let second = adapt(&first, 1, 100, need(0, 10));
    assert_eq!(allotted(&second, 1), 25);
    // What is enough is left as it is.
    assert_eq!(second.next(1, &cores(100), &need(25, 0)), None);
}

#[test]
fn an_unused_part_goes_to_the_shard_that_lacks_it() {
    let mut division = adapt(&Division::default(), 0, 10, need(0, 10));
    division = adapt(&division, 1, 10, need(0, 4));
    assert_eq!((allotted(&division, 0), allotted(&division, 1)), (10, 0));
    division = adapt(&division, 0, 10, need(3, 2));
    assert_eq!((allotted(&division, 0), allotted(&division, 1)), (6, 4));
    // Nothing is lacking any more.
    assert_eq!(division.wanted_by_others(0), Size::default());
}

#[test]
fn a_shard_that_yields_passes_on_what_it_could_use_itself() {
    let mut division = adapt(&Division::default(), 0, 10, need(0, 10));
    division = adapt(&division, 1, 10, need(0, 4));
    division = adapt(&division, 0, 10, Need { yields: true, ..need(8, 5) });
    assert_eq!((allotted(&division, 0), allotted(&division, 1)), (8, 2));
}

#[test]
fn nothing_starts_while_the_sum_exceeds_a_lowered_cap() {
    let mut division = adapt(&Division::default(), 0, 10, need(0, 10));
    let cap = cores(4);
    assert_eq!(division.startable(0, &cores(10), &cap, &need(2, 0)), Size::default());
    division = adapt(&division, 0, 4, need(6, 0));
    assert_eq!(allotted(&division, 0), 6);
    assert_eq!(division.startable(0, &cores(6), &cap, &need(6, 0)), Size::default());
    division = adapt(&division, 0, 4, need(3, 0));
    assert_eq!(division.startable(0, &cores(allotted(&division, 0)), &cap, &need(2, 0)), cores(1));
}

#[test]
fn allotments_bound_what_runs_whatever_the_shards_need() {
    arbtest(|u| {
        let mut division = Division::default();
        let mut cap = any_size(u)?;
        let mut used = [Size::default(); 3];
        for _ in 0..u.int_in_range(1..=40)? {
            if u.ratio(1, 8)? {
                cap = any_size(u)?;
            }
            let shard = u.int_in_range(0..=2)?;
            let mine = usize::from(shard);
            let need = Need { in_use: used[mine], waiting: any_size(u)?, yields: u.arbitrary()? };
            let (before, within) = (division.clone(), division.total().fits(&cap));
            if let Some(next) = division.next(shard, &cap, &need) {
                division = next;
            }
            assert!(used[mine].fits(&division.allotment(shard).allotted));
            for other in (0..3).filter(|o| *o != shard) {
                let (old, new) = (before.allotment(other), division.allotment(other));
                assert!(old.allotted.fits(&new.allotted), "the allotment of another was lowered");
            }
            let bound = if within { cap } else { before.total() };
            assert!(division.total().fits(&bound), "{before:?} {division:?} {cap:?}");
            let mine_allotted = division.allotment(shard).allotted;
            let startable = division.startable(shard, &mine_allotted, &cap, &need);
            if u.arbitrary()? {
                used[mine] += startable;
            } else {
                used[mine] = Size::default();
            }
            let all = used.iter().fold(Size::default(), |sum, u| sum + *u);
            assert!(startable == Size::default() || all.fits(&cap), "{used:?} over {cap:?}");
        }
        Ok(())
    });
}
