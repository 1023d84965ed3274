//! How the layout is created: when the list of workers counts as complete, and which shard each
//! worker belongs to.

use {
    dogwoodreach::{
        Time,
        ids::{PoolId, WorkerId, Zone},
        layout::{ListMonitor, MAX_LIST_WAIT, STABLE_PERIOD, create_layout},
        shard::record::ShardNo,
        work::{JobNo, ListedWorker},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

/// Workers of two pools over three zones: 756 in racks of 20, 98 in racks of 12.
fn large_deployment() -> Vec<ListedWorker> {
    two_pools(252)
}

/// This number of workers of one pool in each zone, and 98 workers of another pool.
fn two_pools(each: usize) -> Vec<ListedWorker> {
    let mut all = vec![];
    for (pool, each, rack) in [("quoting", [each; 3], 20), ("engineering", [33, 33, 32], 12)] {
        for (zone, count) in each.into_iter().enumerate() {
            for n in 0..count {
                all.push(worker(all.len(), pool, zone, &format!("{pool}-r{zone}-{}", n / rack)));
            }
        }
    }
    all
}

fn worker(no: usize, pool: &str, zone: usize, rack: &str) -> ListedWorker {
    ListedWorker {
        id: WorkerId::from(&*format!("w{no}")),
        pool: PoolId::from(pool),
        addr: format!("10.0.{}.{}:7", no / 200, no % 200).parse().expect("an address"),
        zone: Zone::from(&*format!("z{zone}")),
        draining: false,
        born_ms: None,
        min_stay: None,
        capacity: Default::default(),
        labels: ["kind", rack].map(Box::from).into(),
    }
}

#[test]
fn the_list_is_whole_once_it_is_still() {
    // All machines start within a third of a second, and the first member reads the list when one
    // worker of 350 has registered. A layout created then would have one shard for good.
    let mut monitor = ListMonitor::new(ms(0));
    assert!(!monitor.record_count(1, ms(0)));
    assert!(!monitor.record_count(19, ms(500)));
    assert!(!monitor.record_count(350, ms(1000)));
    assert!(!monitor.record_count(350, ms(1000) + STABLE_PERIOD - Duration::from_millis(1)));
    assert!(monitor.record_count(350, ms(1000) + STABLE_PERIOD));
}

#[test]
fn a_list_that_is_never_still_or_stays_empty_is_not_waited_for_for_ever() {
    // Workers register one by one without end, or none registers at all. Jobs of callers wait for
    // the layout, so it has to be created in the end.
    for step in [0, 1] {
        let mut monitor = ListMonitor::new(ms(0));
        let times = (0..).map(|n| (n, ms(n * 500)));
        let whole =
            times.map(|(n, t)| (monitor.record_count(n as usize * step, t), t)).find(|(w, _)| *w);
        assert_eq!(whole.expect("complete at last").1, Time::ZERO + MAX_LIST_WAIT);
    }
}

#[test]
fn small_deployments_have_one_shard() {
    for count in [0, 1, 48, 100] {
        let workers: Vec<_> = large_deployment().into_iter().rev().take(count).collect();
        let layout = create_layout(&workers, "s".into());
        assert_eq!(layout.shards, 1);
        assert!(workers.iter().all(|w| layout.worker_shard(w) == ShardNo(0)));
        assert_eq!(layout.job_shard(JobNo(7), &PoolId::from("quoting")), ShardNo(0));
    }
}

#[test]
fn a_pool_that_one_owner_bears_is_not_divided() {
    // Gangs have up to 20 tasks that take a whole worker each, and 3 of 10 workers can run a step:
    // 29 of 98 workers. Divided over six shards these were 5 per shard, and such a gang never ran.
    let workers = large_deployment();
    let layout = create_layout(&workers, "s".into());
    assert_eq!(layout.shards, 3);
    let shards = |pool: &str| -> BTreeSet<ShardNo> {
        workers.iter().filter(|w| w.pool.as_str() == pool).map(|w| layout.worker_shard(w)).collect()
    };
    assert_eq!(shards("engineering").len(), 1);
    assert_eq!(shards("quoting").len(), 2);
    assert!(shards("engineering").is_disjoint(&shards("quoting")));
}

#[test]
fn a_pool_is_divided_only_where_each_part_holds_its_widest_steps() {
    // A long-running step has 24 tasks, at most one per worker, and 3 of 10 workers can run it. In
    // a shard of 84 workers 18 tasks ran; 6 never started while most of the pool's 252 workers had
    // room.
    let layout = create_layout(&two_pools(84), "s".into());
    assert_eq!(layout.shards, 2, "one for each pool");
    // A gang of 87 tasks that take half a worker each, and 350 workers of which three in ten can
    // run it.
    let wide: Vec<_> =
        two_pools(300).into_iter().filter(|w| w.pool.as_str() == "quoting").take(350).collect();
    assert_eq!(crate::create_layout(&wide, "s".into()).shards, 1);
    let large = crate::create_layout(&two_pools(1_000), "s".into());
    let mut parts: BTreeMap<ShardNo, usize> = BTreeMap::new();
    large.worker_shards.iter().for_each(|(_, shard)| *parts.entry(*shard).or_default() += 1);
    let quoting = |s: &ShardNo| large.pools[&PoolId::from("quoting")].contains(*s);
    assert!(parts.iter().filter(|(s, _)| quoting(s)).all(|(_, n)| *n >= 250), "{parts:?}");
}

#[test]
fn a_job_is_where_workers_of_its_pool_are() {
    // A shard without workers of a pool would keep that pool's jobs waiting for ever.
    let workers = large_deployment();
    let layout = create_layout(&workers, "s".into());
    for pool in ["engineering", "quoting", "later"].map(PoolId::from) {
        let jobs: BTreeSet<_> = (0..500).map(|n| layout.job_shard(JobNo(n), &pool)).collect();
        let there: BTreeSet<_> =
            workers.iter().filter(|w| w.pool == pool).map(|w| layout.worker_shard(w)).collect();
        let later = (0..3).map(ShardNo).collect();
        assert_eq!(jobs, if there.is_empty() { later } else { there });
        for n in 0..20 {
            let new = worker(1000 + n, pool.as_str(), 0, &format!("new{n}"));
            assert!(jobs.contains(&layout.worker_shard(&new)));
        }
    }
}

#[test]
fn each_shard_has_its_part_of_a_pool_over_several_zones() {
    // Jobs are spread evenly over the shards. When a hash of the rack chose the shard, one shard
    // had a third of a pool and another none of it, so that its jobs never ran.
    let workers = large_deployment();
    let layout = create_layout(&workers, "s".into());
    let mut of: BTreeMap<ShardNo, Vec<&ListedWorker>> = BTreeMap::new();
    for w in workers.iter().filter(|w| w.pool.as_str() == "quoting") {
        of.entry(layout.worker_shard(w)).or_default().push(w);
    }
    for (shard, all) in of {
        assert_eq!(all.len(), 378, "{shard}");
        let zones: BTreeSet<_> = all.iter().map(|w| &w.zone).collect();
        assert!(zones.len() > 1, "{shard} is in one zone alone");
    }
}

#[test]
fn a_worker_s_next_life_is_in_the_same_shard() {
    // A worker crashes and restarts with another id. If its shard changed, the new owner's token
    // might be lower than the one that the worker has seen.
    let workers = large_deployment();
    let layout = create_layout(&workers, "s".into());
    for w in &workers {
        let next = ListedWorker { id: WorkerId::from("next"), ..w.clone() };
        assert_eq!(layout.worker_shard(&next), layout.worker_shard(w));
    }
}

#[test]
fn an_address_that_passes_to_another_pool_changes_the_shard() {
    // A worker crashes for good, and its address is reused by a worker of another pool. The shard
    // of the old worker has no jobs for the new one.
    let workers = large_deployment();
    let layout = create_layout(&workers, "s".into());
    let there = |pool: &str| -> BTreeSet<ShardNo> {
        workers.iter().filter(|w| w.pool.as_str() == pool).map(|w| layout.worker_shard(w)).collect()
    };
    for w in &workers {
        for pool in ["quoting", "engineering"] {
            let next = ListedWorker { id: WorkerId::from("next"), pool: pool.into(), ..w.clone() };
            assert!(there(pool).contains(&layout.worker_shard(&next)));
        }
    }
}

#[test]
fn workers_of_a_rack_that_came_later_are_in_one_shard() {
    let layout = create_layout(&large_deployment(), "s".into());
    let pool = "quoting";
    let shards: BTreeSet<_> =
        (0..20).map(|n| layout.worker_shard(&worker(1000 + n, pool, 1, "r1-3"))).collect();
    assert_eq!(shards.len(), 1);
    let alone: BTreeSet<_> = (0..20)
        .map(|n| ListedWorker { labels: [].into(), ..worker(1000 + n, pool, 1, "") })
        .map(|w| layout.worker_shard(&w))
        .collect();
    assert!(alone.len() > 1);
}

#[test]
fn the_order_of_the_list_does_not_matter() {
    let mut workers = large_deployment();
    let before = create_layout(&workers, "s".into());
    workers.reverse();
    assert_eq!(create_layout(&workers, "s".into()), before);
}

#[test]
fn a_job_is_looked_for_wherever_its_queue_may_have_been() {
    // Guards against a job that nobody finds after its queue has moved: its shard is that of the pool
    // by which it was accepted, which may even be missing from the layout.
    let layout = create_layout(&large_deployment(), "s".into());
    let pools = ["quoting", "engineering", "unknown"].map(PoolId::from);
    for job in (0..200).map(JobNo) {
        for now in &pools {
            let shards = layout.possible_job_shards(job, now);
            assert_eq!(shards[0], layout.job_shard(job, now));
            assert!(pools.iter().all(|before| shards.contains(&layout.job_shard(job, before))));
            assert_eq!(shards.iter().collect::<BTreeSet<_>>().len(), shards.len());
        }
    }
}

#[test]
fn jobs_of_a_pool_that_the_layout_lacks_lie_where_its_workers_are() {
    // Guards against jobs that never start, as their shard has none of the pool's workers.
    let layout = create_layout(&large_deployment(), "s".into());
    let pool = PoolId::from("added");
    let shard = |no: usize| layout.worker_shard(&worker(2_000 + no, "added", 0, "added-r1"));
    let of_workers: BTreeSet<ShardNo> = (0..10).map(shard).collect();
    let of_jobs: BTreeSet<ShardNo> =
        (0..200).map(|no| layout.job_shard(JobNo(no), &pool)).collect();
    assert!(of_jobs.is_subset(&of_workers), "{of_jobs:?} {of_workers:?}");
}
