//! How the layout is made: when the list of workers counts as whole, and which shard each is in.

use {
    dogwoodreach::{
        Time,
        ids::{PoolId, WorkerId, Zone},
        layout::{Census, MOST, STILL, homes, shards},
        shard::record::{Layout, ShardNo},
        work::Listed,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

/// Workers of two pools over three zones: 252 in racks of 20, 98 in racks of 12.
fn grown() -> Vec<Listed> {
    let mut all = vec![];
    for (pool, each, rack) in [("quoting", [84, 84, 84], 20), ("engineering", [33, 33, 32], 12)] {
        for (zone, count) in each.into_iter().enumerate() {
            for n in 0..count {
                all.push(worker(all.len(), pool, zone, &format!("{pool}-r{zone}-{}", n / rack)));
            }
        }
    }
    all
}

fn worker(no: usize, pool: &str, zone: usize, rack: &str) -> Listed {
    Listed {
        id: WorkerId::from(&*format!("w{no}")),
        pool: PoolId::from(pool),
        addr: format!("10.0.{}.{}:7", no / 200, no % 200).parse().expect("an address"),
        zone: Zone::from(&*format!("z{zone}")),
        draining: false,
        left: None,
        size: Default::default(),
        labels: ["kind", rack].map(Box::from).into(),
    }
}

fn layout(workers: &[Listed], shards: u16) -> Layout {
    Layout { shards, secret: "s".into(), homes: homes(workers, shards) }
}

#[test]
fn the_list_is_whole_once_it_is_still() {
    // Story: all machines start within a third of a second, and the first member reads the list
    // when one worker of 350 has registered. A layout made then has one shard for ever.
    let mut census = Census::new(ms(0));
    assert!(!census.seen(1, ms(0)));
    assert!(!census.seen(19, ms(500)));
    assert!(!census.seen(350, ms(1000)));
    assert!(!census.seen(350, ms(1000) + STILL - Duration::from_millis(1)));
    assert!(census.seen(350, ms(1000) + STILL));
}

#[test]
fn a_list_that_is_never_still_or_stays_empty_is_not_waited_for_for_ever() {
    // Story: workers come one by one without end, or none comes at all. Callers' jobs wait for the
    // layout, so it has to be made in the end.
    for step in [0, 1] {
        let mut census = Census::new(ms(0));
        let times = (0..).map(|n| (n, ms(n * 500)));
        let whole = times.map(|(n, t)| (census.seen(n as usize * step, t), t)).find(|(w, _)| *w);
        assert_eq!(whole.expect("whole at last").1, Time::ZERO + MOST);
    }
}

#[test]
fn small_deployments_have_one_shard() {
    assert_eq!([0, 1, 48, 64].map(shards), [1; 4]);
    assert_eq!([65, 350, 3900, 100_000].map(shards), [2, 6, 61, 64]);
}

#[test]
fn each_shard_has_its_part_of_each_pool_over_several_zones() {
    // Story: jobs are spread evenly over shards. By a hash of the racks one shard had a third of a
    // pool and another none of it, and its jobs never ran.
    let workers = grown();
    let layout = layout(&workers, 6);
    let mut of: BTreeMap<(ShardNo, &str), Vec<&Listed>> = BTreeMap::new();
    for w in &workers {
        of.entry((layout.shard(w), w.pool.as_str())).or_default().push(w);
    }
    assert_eq!(of.len(), 12);
    for ((shard, pool), all) in of {
        let want = if pool == "quoting" { 42..=42 } else { 16..=17 };
        assert!(want.contains(&all.len()), "{shard} has {} of {pool}", all.len());
        let zones: BTreeSet<_> = all.iter().map(|w| &w.zone).collect();
        assert!(zones.len() > 1, "{shard} has {pool} in one zone alone");
    }
}

#[test]
fn a_worker_s_next_life_is_in_the_same_shard() {
    // Story: a worker crashes and comes back with another id. Were its shard to change, its new
    // owner's token might be lower than the one that it has seen.
    let workers = grown();
    let layout = layout(&workers, 6);
    for w in &workers {
        let next = Listed { id: WorkerId::from("next"), ..w.clone() };
        assert_eq!(layout.shard(&next), layout.shard(w));
    }
}

#[test]
fn the_order_of_the_list_does_not_matter() {
    let mut workers = grown();
    let before = homes(&workers, 6);
    workers.reverse();
    assert_eq!(homes(&workers, 6), before);
}
