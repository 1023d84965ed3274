//! When a gang fits, and which room is kept for it until then.

use {
    crate::{Time, ids::WorkerId, units::Size},
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// How much longer a task is taken to run that has outrun its declared time.
///
/// Nothing better is known of it. A minute is short against the run times of gangs, so that a plan
/// around such a task isn't far too late, and long enough that backfill is let in meanwhile.
const OVERDUE: Duration = Duration::from_secs(60);

/// A worker's room, now and as its tasks end.
#[derive(Clone, Debug)]
pub struct Room {
    /// The worker.
    pub worker: WorkerId,
    /// What is free now.
    pub free: Size,
    /// The tasks that run there: their ends by declared run times, [`Time::NEVER`] for services,
    /// and what becomes free with each.
    pub ends: Vec<(Time, Size)>,
}

impl Room {
    /// What is free at a later time, by the declared run times.
    fn free_at(&self, at: Time, now: Time) -> Size {
        let ended = self.ends.iter().filter(|(end, _)| expected(*end, now) <= at);
        self.free + ended.map(|(_, size)| *size).sum()
    }
}

fn expected(end: Time, now: Time) -> Time {
    if end > now { end } else { now + OVERDUE }
}

/// The workers for all tasks, in the tasks' order, or none if one doesn't fit.
///
/// The largest tasks go first, each to the first room in order that has enough left.
pub fn fit(rooms: &[Room], needs: &[Size]) -> Option<Vec<WorkerId>> {
    let free = rooms.iter().map(|r| r.free).collect();
    let found = fit_into(free, needs)?;
    Some(found.into_iter().map(|n| rooms[n].worker.clone()).collect())
}

fn fit_into(mut free: Vec<Size>, needs: &[Size]) -> Option<Vec<usize>> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by_key(|n| Reverse((needs[*n].accels, needs[*n].memory, needs[*n].cores)));
    let mut out = vec![0; needs.len()];
    let (mut last, mut from) = (None, 0);
    for n in order {
        let need = &needs[n];
        // A room that was passed over for a task has not enough for the next of the same size.
        if last != Some(need) {
            (last, from) = (Some(need), 0);
        }
        from += free[from..].iter().position(|f| need.fits(f))?;
        free[from] = free[from].saturating_sub(need);
        out[n] = from;
    }
    Some(out)
}

/// The planned start of a gang, and the room that is kept for it.
#[derive(Clone, Debug)]
pub struct Plan {
    start: Time,
    workers: Vec<WorkerId>,
    kept: BTreeMap<WorkerId, Kept>,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    /// What the gang will take.
    size: Size,
    /// What else will be free at the start.
    spare: Size,
}

impl Plan {
    /// The earliest plan by the declared run times; none if the gang doesn't fit in any time.
    pub fn new(rooms: &[Room], needs: &[Size], now: Time) -> Option<Plan> {
        let ends = rooms.iter().flat_map(|r| &r.ends).map(|(end, _)| expected(*end, now));
        let mut times: Vec<Time> = ends.filter(|t| *t != Time::NEVER).collect();
        times.push(now);
        times.sort_unstable();
        times.dedup();
        let at = |t: Time| fit_into(rooms.iter().map(|r| r.free_at(t, now)).collect(), needs);
        let mut best = (*times.last()?, at(*times.last()?)?);
        let (mut low, mut high) = (0, times.len() - 1);
        while low < high {
            let middle = (low + high) / 2;
            match at(times[middle]) {
                Some(found) => (best, high) = ((times[middle], found), middle),
                None => low = middle + 1,
            }
        }
        let (start, found) = best;
        let mut kept = BTreeMap::new();
        for (n, need) in found.iter().zip(needs) {
            let spare = rooms[*n].free_at(start, now);
            let entry = kept.entry(rooms[*n].worker.clone());
            let k = entry.or_insert(Kept { size: Size::default(), spare });
            k.size += *need;
            k.spare = k.spare.saturating_sub(need);
        }
        let workers = found.into_iter().map(|n| rooms[n].worker.clone()).collect();
        Some(Plan { start, workers, kept })
    }

    /// The planned start.
    pub fn start(&self) -> Time {
        self.start
    }

    /// The planned workers in the tasks' order, if all have the room now.
    pub fn ready(&self, rooms: &[Room]) -> Option<Vec<WorkerId>> {
        let free = |r: &&Room| self.kept.get(&r.worker).is_some_and(|k| k.size.fits(&r.free));
        (rooms.iter().filter(free).count() == self.kept.len()).then(|| self.workers.clone())
    }

    /// Whether the planned rooms are still there and can become free.
    pub fn holds(&self, rooms: &[Room]) -> bool {
        let ok = |r: &&Room| {
            let ends = r.ends.iter().filter(|(end, _)| *end != Time::NEVER);
            let most = r.free + ends.map(|(_, size)| *size).sum();
            self.kept.get(&r.worker).is_some_and(|k| k.size.fits(&most))
        };
        rooms.iter().filter(ok).count() == self.kept.len()
    }

    /// Whether work that ends at `ends` may go to a worker; if so, it is counted there.
    pub fn admit(&mut self, worker: &WorkerId, size: &Size, ends: Time) -> bool {
        let Some(kept) = self.kept.get_mut(worker).filter(|_| ends > self.start) else {
            return true;
        };
        let Some(spare) = kept.spare.checked_sub(size) else { return false };
        kept.spare = spare;
        true
    }

    /// The rooms as work that ends at `ends` may use them.
    pub fn open(&self, rooms: &[Room], ends: Time) -> Vec<Room> {
        let open = |r: &Room| {
            let kept = self.kept.get(&r.worker).filter(|_| ends > self.start);
            let free = kept.map_or(r.free, |k| least(&r.free, &k.spare));
            Room { worker: r.worker.clone(), free, ends: Vec::new() }
        };
        rooms.iter().map(open).collect()
    }
}

/// The lesser of two sizes in each dimension.
fn least(a: &Size, b: &Size) -> Size {
    a.saturating_sub(&a.saturating_sub(b))
}
