//! Tests of the placement of tasks on workers.

use {
    arbtest::{arbitrary, arbtest},
    dogwoodreach::{
        decide::place::PlacementIndex,
        ids::{RackId, WorkerId},
        units::Size,
    },
    std::{
        cell::RefCell,
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        fmt::Debug,
    },
};

const WHOLE: Size = Size::new(16, 65536, 0);

fn worker(n: usize) -> WorkerId {
    WorkerId::from(&*format!("w{n:02}"))
}

fn rack(n: usize) -> RackId {
    RackId::from(&*format!("r{n}"))
}

fn index(workers: usize, by_rack: usize, size: Size) -> PlacementIndex {
    let mut index = PlacementIndex::new();
    for n in 0..workers {
        index.add(&worker(n), &rack(n / by_rack), size);
    }
    index
}

fn occupy(index: &mut PlacementIndex, worker: &WorkerId, size: &Size) {
    let left = index.free(worker).and_then(|f| f.checked_sub(size));
    index.update(worker, left.expect("the index proposed a worker without room"), true);
}

struct WorkerState {
    rack: usize,
    size: Size,
    free: Size,
    open: bool,
}

impl WorkerState {
    fn accel(&self) -> bool {
        self.size.accels.0 > 0
    }
}

/// All workers in a plain map, which is scanned for every query.
#[derive(Default)]
struct Scan(BTreeMap<WorkerId, WorkerState>);

fn amounts(s: &Size) -> [u64; 3] {
    [s.cores.0, s.memory.0, s.accels.0]
}

impl Scan {
    fn fit(&self, need: &Size, avoid: &WorkerId) -> impl Iterator<Item = &WorkerId> {
        let fits = move |(w, s): &(&WorkerId, &WorkerState)| {
            let suitable = need.accels.0 == 0 || s.accel();
            s.open && suitable && need.fits(&s.free) && *w != avoid
        };
        self.0.iter().filter(fits).map(|(w, _)| w)
    }

    fn emptiness(&self, worker: &WorkerId) -> u64 {
        let state = &self.0[worker];
        let pairs = amounts(&state.free).into_iter().zip(amounts(&state.size));
        let share = |(free, size): (u64, u64)| (free << 32) / size.max(1);
        pairs.map(share).sum()
    }

    fn pack_key(&self, worker: &WorkerId, need: &Size) -> (bool, u64) {
        let state = &self.0[worker];
        if state.accel() && need.accels.0 == 0 {
            return (true, state.free.accels.0);
        }
        (false, self.emptiness(worker))
    }

    fn spread_key(
        &self,
        worker: &WorkerId,
        need: &Size,
        replicas: &[WorkerId],
    ) -> impl Ord + Debug + use<> {
        let state = &self.0[worker];
        let known = replicas.iter().filter_map(|r| self.0.get(r));
        let in_rack = known.filter(|r| r.rack == state.rack).count();
        let own = replicas.iter().filter(|r| *r == worker).count();
        (state.accel() && need.accels.0 == 0, in_rack, own, Reverse(self.emptiness(worker)))
    }
}

fn random_change(
    u: &mut arbitrary::Unstructured<'_>,
    index: &mut PlacementIndex,
    scan: &mut Scan,
) -> arbitrary::Result<()> {
    let n = u.int_in_range(0..=29usize)?;
    let w = worker(n);
    let whole = Size::new(16, 64, if n % 4 == 0 { 8 } else { 0 });
    let (cores, memory) = (u.int_in_range(0..=16)?, u.int_in_range(0..=64)?);
    let part = Size::new(cores, memory, u.int_in_range(0..=whole.accels.0)?);
    match u.int_in_range(0..=9)? {
        0 => {
            index.remove(&w);
            scan.0.remove(&w);
        }
        1..=3 => {
            index.add(&w, &rack(n / 3), whole);
            scan.0.insert(w, WorkerState { rack: n / 3, size: whole, free: whole, open: true });
        }
        _ => {
            let open = u.ratio(9, 10)?;
            index.update(&w, part, open);
            if let Some(state) = scan.0.get_mut(&w) {
                (state.free, state.open) = (part, open);
            }
        }
    }
    Ok(())
}

#[test]
fn the_index_finds_what_a_scan_of_all_workers_finds() {
    for seed in 0..150u64 {
        arbtest(|u| {
            let (mut index, mut scan) = (PlacementIndex::new(), Scan::default());
            while !u.is_empty() {
                random_change(u, &mut index, &mut scan)?;
                let accels = u.int_in_range(0..=6u64)?.saturating_sub(4);
                let need = Size::new(u.int_in_range(0..=8)?, u.int_in_range(0..=32)?, accels);
                let avoid = worker(u.int_in_range(0..=29)?);
                let mut replicas = Vec::new();
                for _ in 0..u.int_in_range(0..=6)? {
                    replicas.push(worker(u.int_in_range(0..=29)?));
                }
                let key = |w: &WorkerId| scan.pack_key(w, &need);
                let found = index.pack(&need, std::slice::from_ref(&avoid));
                assert_eq!(found.map(key), scan.fit(&need, &avoid).map(key).min());
                let key = |w: &WorkerId| scan.spread_key(w, &need, &replicas);
                let found = index.spread(&need, &replicas, std::slice::from_ref(&avoid));
                assert_eq!(found.map(key), scan.fit(&need, &avoid).map(key).min());
                assert!(found.is_none_or(|w| *w != avoid));
            }
            Ok(())
        })
        .seed(seed << 32 | 4096);
    }
}

/// A branch's batch: many small assessments, some that need much memory, and a few large ones.
fn branch(rng: &mut fastrand::Rng) -> Vec<Size> {
    let one = |_| match rng.u32(0..10) {
        0..=4 => Size::new(rng.u64(1..=3), 1024 * rng.u64(2..=6), 0),
        5..=7 => Size::new(rng.u64(1..=4), 1024 * rng.u64(16..=40), 0),
        _ => Size::new(rng.u64(6..=11), 1024 * rng.u64(8..=24), 0),
    };
    (0..80).map(one).collect()
}

/// A function that chooses a worker by the free room of each, and returns its index.
type Choose<'a> = &'a dyn Fn(&[Size], &Size) -> Option<usize>;

fn first_fit(free: &[Size], need: &Size) -> Option<usize> {
    free.iter().position(|f| need.fits(f))
}

/// Best fit in the dimension of which the task takes the largest share; workers in use before idle
/// ones.
fn scarcest_fit(free: &[Size], need: &Size) -> Option<usize> {
    let total: Size = free.iter().copied().sum();
    let share = |d: &usize| (amounts(need)[*d] << 32) / amounts(&total)[*d].max(1);
    let dimension = (0..3).rev().max_by_key(share).unwrap_or_default();
    let fit = (0..free.len()).filter(|n| need.fits(&free[*n]));
    fit.min_by_key(|n| (free[*n] == WHOLE, amounts(&free[*n])[dimension]))
}

fn pack_with_index(free: &[Size], need: &Size, index: &mut PlacementIndex) -> Option<usize> {
    for (n, f) in free.iter().enumerate() {
        if index.free(&worker(n)) != Some(*f) {
            index.update(&worker(n), *f, true);
        }
    }
    let found = index.pack(need, &[])?;
    (0..free.len()).find(|n| worker(*n) == *found)
}

/// Mean number of VMs in use during a run in which tasks of branches' batches come and go.
fn in_use(choose: Choose<'_>, seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut free, mut ends, mut waiting) =
        (vec![WHOLE; 100], BTreeMap::<(u32, u32), (usize, Size)>::new(), Vec::new());
    let mut sum = 0;
    for now in 0..3000u32 {
        while let Some(e) = ends.first_entry().filter(|e| e.key().0 <= now) {
            let (n, size) = e.remove();
            free[n] += size;
        }
        if waiting.is_empty() {
            waiting = branch(&mut rng);
        }
        let Some(need) = waiting.pop() else { continue };
        let n = choose(&free, &need).expect("100 workers are enough for this load");
        free[n] = free[n].saturating_sub(&need);
        let mean_time = if rng.u32(0..10) == 0 { 800 } else { 110 };
        ends.insert((now + rng.u32(1..2 * mean_time), now), (n, need));
        if now >= 1000 {
            sum += free.iter().filter(|f| **f != WHOLE).count();
        }
    }
    sum / 2000
}

// Guards against VMs that stay in use although they are not needed: tasks of mixed sizes come and
// go, and new ones are placed on VMs that would otherwise become idle.
#[test]
fn tasks_that_come_and_go_keep_fewer_workers_in_use_than_first_fit() {
    let (mut pack, mut first, mut scarcest) = (0, 0, 0);
    for seed in 0..5 {
        let cell = RefCell::new(index(100, 5, WHOLE));
        pack += in_use(&|free, need| pack_with_index(free, need, &mut cell.borrow_mut()), seed);
        first += in_use(&first_fit, seed);
        scarcest += in_use(&scarcest_fit, seed);
    }
    println!("VMs in use: packed {pack}, first-fit {first}, scarcest dimension {scarcest}");
    assert!(pack < first && pack < scarcest);
}

// Guards against a batch that occupies more VMs than it needs: with first-fit in the order of
// submission, large tasks that come late find room only on further VMs.
#[test]
fn a_branch_batch_takes_fewer_workers_packed_than_first_fit() {
    let (mut pack, mut first, mut bound) = (0, 0, 0);
    for seed in 0..100 {
        let batch = branch(&mut fastrand::Rng::with_seed(seed));
        let total: Size = batch.iter().copied().sum();
        let ratio = |d: usize| amounts(&total)[d].div_ceil(amounts(&WHOLE)[d]);
        bound += ratio(0).max(ratio(1));
        let mut index = index(100, 5, WHOLE);
        let mut used = BTreeSet::new();
        for n in index.packing_order(&batch) {
            let w = index.pack(&batch[n], &[]).unwrap().clone();
            occupy(&mut index, &w, &batch[n]);
            used.insert(w);
        }
        pack += used.len() as u64;
        let mut free = vec![WHOLE; 100];
        for need in &batch {
            let n = first_fit(&free, need).unwrap();
            free[n] = free[n].saturating_sub(need);
        }
        first += free.iter().filter(|f| **f != WHOLE).count() as u64;
    }
    println!("VMs used: packed {pack}, first-fit {first}, lower bound {bound}");
    assert!(pack < first);
    assert!(pack * 100 <= bound * 108);
}

// Guards against a service that loses half of its replicas when a rack's switch fails, because
// random placement had put them into the same rack.
#[test]
fn a_rack_failure_takes_no_more_replicas_than_must_be() {
    let need = Size::new(2, 4096, 0);
    let mut worst = 0;
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut index = index(35, 5, Size::new(16, 65536, 0));
        let mut replicas: Vec<WorkerId> = Vec::new();
        for n in 0..14 {
            let w = index.spread(&need, &replicas, &[]).unwrap().clone();
            occupy(&mut index, &w, &need);
            replicas.push(w);
            for r in 0..7 {
                let members: Vec<WorkerId> = (r * 5..r * 5 + 5).map(worker).collect();
                let lost = replicas.iter().filter(|w| members.contains(w)).count();
                assert!(lost <= 1 + n / 7);
            }
        }
        assert_eq!(replicas.iter().collect::<BTreeSet<_>>().len(), 14);
        let mut lost = [0; 7];
        (0..14).for_each(|_| lost[rng.usize(0..35) / 5] += 1);
        worst += lost.into_iter().max().unwrap();
    }
    assert!(worst > 2 * 20, "random spread loses {worst} in the sum of 20 runs, spread 40");
}

#[test]
fn plain_work_shuns_accelerators_while_others_have_room() {
    let need = Size::new(8, 1024, 0);
    let mut index = index(1, 5, Size::new(16, 65536, 0));
    index.add(&worker(1), &rack(1), Size::new(128, 524_288, 8));
    index.add(&worker(2), &rack(1), Size::new(128, 524_288, 8));
    index.update(&worker(2), Size::new(128, 524_288, 2), true);
    for want in [0, 0, 2] {
        let w = index.pack(&need, &[]).unwrap().clone();
        assert_eq!(w, worker(want));
        occupy(&mut index, &w, &need);
    }
    assert_eq!(index.pack(&Size::new(1, 1024, 4), &[]), Some(&worker(1)));
}

#[test]
fn leaving_quarantined_and_avoided_workers_get_nothing() {
    let need = Size::new(1, 1024, 0);
    let mut index = index(3, 1, Size::new(16, 65536, 0));
    index.update(&worker(0), Size::new(16, 65536, 0), false);
    assert_eq!(index.pack(&need, &[worker(1)]), Some(&worker(2)));
    assert_eq!(index.spread(&need, &[], &[worker(1)]), Some(&worker(2)));
    index.remove(&worker(2));
    assert_eq!(index.pack(&need, &[worker(1)]), None);
    assert_eq!(index.spread(&need, &[worker(1)], &[worker(1)]), None);
}
