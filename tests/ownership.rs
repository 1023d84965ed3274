//! Ownership among members with a fake key-value service, under random sequences of faults.

#[path = "ownership/kv.rs"]
mod kv;

use {
    arbtest::{arbitrary, arbtest},
    dogwoodreach::{
        Time,
        ids::{Epoch, Incarnation, RowId},
        ownership::{LEASE, Ownership},
    },
    kv::{Cell, MEMBERS, RENEW, rows, secs, zone},
    std::{collections::BTreeMap, time::Duration},
};

/// The number of random runs, one seed each, and the bytes of random data for a run.
const SEEDS: u64 = 24;
const RUN_BYTES: u64 = 4096;

/// The maximum age of the view of a member that takes over a row: a delayed watch plus a slow write.
const VIEW_AGE_MAX: Duration = Duration::from_secs(5);

/// The state observed so far, to check later states against.
#[derive(Default)]
struct Seen {
    writers: BTreeMap<(RowId, Epoch), Incarnation>,
    epochs: BTreeMap<RowId, (Option<Incarnation>, Epoch)>,
    /// The last time at which each member had no lease, by its own clock.
    lapsed: BTreeMap<Incarnation, Time>,
    /// The number of rows taken over from a member that another member found gone.
    taken: u32,
}

impl Seen {
    fn check(&mut self, cell: &Cell) {
        for m in &cell.members {
            if !m.own.leased(cell.now) {
                self.lapsed.insert(m.id, cell.now);
                continue;
            }
            for row in rows() {
                let Some((owner, epoch)) = m.own.owner(&row).filter(|(o, _)| *o == m.id) else {
                    continue;
                };
                let first = *self.writers.entry((row.clone(), epoch)).or_insert(owner);
                assert_eq!(first, owner, "OneWriter: two act on {row} at epoch {epoch}");
            }
        }
        for (row, owner, epoch) in cell.rows() {
            let was = self.epochs.insert(row.clone(), (owner, epoch));
            let Some((before, old)) = was.filter(|w| *w != (owner, epoch)) else { continue };
            assert_eq!(epoch.0, old.0 + 1, "epochs only grow: {row}");
            let writer = cell.writers[&row];
            if before.is_some_and(|b| b != writer) {
                self.taken += 1;
                let alive = cell.members.iter().any(|m| Some(m.id) == before);
                let lapsed = before.and_then(|b| self.lapsed.get(&b));
                let recently = lapsed.is_some_and(|at| cell.now - *at < VIEW_AGE_MAX);
                assert!(
                    recently || !alive,
                    "{row} was taken from an owner that could act all along"
                );
            }
        }
    }

    fn run(&mut self, cell: &mut Cell, ms: u64) {
        let end = cell.now + Duration::from_millis(ms);
        while cell.now < end {
            cell.step();
            self.check(cell);
        }
    }
}

fn fault(cell: &mut Cell, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let n = u.int_in_range(0..=MEMBERS - 1)?;
    let until = cell.now + Duration::from_millis(u.int_in_range(0..=9000)?);
    match u.int_in_range(0..=6)? {
        0 => cell.members[n].paused = until,
        1 => cell.members[n].slow = Duration::from_millis(u.int_in_range(0..=900)?),
        2 => cell.members[n].losing = until,
        3 => cell.members[n].lag = Duration::from_millis(u.int_in_range(0..=2500)?),
        4 => cell.kv.outage(until, u.arbitrary()?),
        5 => cell.drain(n),
        _ => cell.restart(n),
    }
    Ok(())
}

/// Whether each row is owned by the member that should own it, none by a draining member, and all
/// members' views agree.
fn settled(cell: &Cell) -> bool {
    if cell.members.iter().any(|m| m.draining && m.own.count() > 0) {
        return false;
    }
    let views = || cell.members.iter();
    cell.rows().all(|(row, owner, epoch)| {
        let wanted = cell.members[0].own.desired(&row, zone(&row).as_ref());
        owner == wanted && views().all(|m| m.own.owner(&row) == owner.map(|o| (o, epoch)))
    }) && cell.rows().count() == rows().len()
}

#[test]
fn one_writer() {
    for seed in 0..SEEDS {
        arbtest(|u| {
            let (mut cell, mut seen) = (Cell::new(), Seen::default());
            for _ in 0..30 {
                fault(&mut cell, u)?;
                seen.run(&mut cell, *u.choose(&[50, 300, 1000, 4000])?);
            }
            cell.heal();
            seen.run(&mut cell, 30_000);
            assert!(settled(&cell), "the rows are not with the members that should have them");
            Ok(())
        })
        .seed(seed << 32 | RUN_BYTES)
        .run();
    }
}

#[test]
fn an_outage_moves_nothing() {
    // The key-value service is out for less or more than a lease, and its leases lapse meanwhile. The
    // first member to reconnect found the others gone and took over all their rows, although they
    // were healthy and reconnected within a second.
    for out in (500..=12_000).step_by(500) {
        let (mut cell, mut seen) = (Cell::new(), Seen::default());
        seen.run(&mut cell, 10_000);
        assert!(settled(&cell));
        for (n, m) in cell.members.iter_mut().enumerate() {
            m.renew = cell.now + RENEW * n as u32 / MEMBERS as u32;
        }
        seen.run(&mut cell, 2000);
        cell.kv.outage(cell.now + Duration::from_millis(out), true);
        seen.run(&mut cell, out + 10_000);
        assert_eq!(seen.taken, 0, "after {out} ms without the service");
    }
}

#[test]
fn a_record_that_lost_rows_takes_no_epoch_back() {
    // An operator empties a table by mistake. The next owners would start at epoch 1 again, and every
    // worker, which knows a higher epoch, would refuse them permanently.
    let mut cell = Cell::new();
    Seen::default().run(&mut cell, 10_000);
    let before: BTreeMap<RowId, Epoch> = cell.rows().map(|(row, _, epoch)| (row, epoch)).collect();
    cell.kv.empty();
    Seen::default().run(&mut cell, 5000);
    assert!(settled(&cell));
    assert!(cell.rows().all(|(row, _, epoch)| epoch > before[&row]));
}

#[test]
fn a_lease_counts_from_before_its_renewal() {
    // A renewal takes three seconds to arrive. The service counts the lease from its arrival, and the
    // owner must stop before the lease ends, however long the answer took.
    let mut own = Ownership::new(Incarnation(1));
    own.renewed(secs(10));
    own.renewed(secs(9));
    assert!(own.leased(secs(13)));
    assert!(!own.leased(secs(10) + LEASE - Duration::from_millis(600)));
    assert!(!own.leased(Time::NEVER));
}
