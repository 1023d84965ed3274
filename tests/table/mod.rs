//! The member table in a store, and the members that follow it, in virtual time.

use {
    dogwoodreach::{
        Time,
        ids::{Incarnation, Zone},
        member_table::{MemberTable, Takeover, TakeoverOutcome, member_key},
        ports::{Item, Rev},
        shard::record::{self, LAYOUT_KEY, Layout, MemberRow, OwnerRow, ShardNo},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

pub fn id(n: u64) -> Incarnation {
    Incarnation(n)
}

pub fn address(member: Incarnation) -> SocketAddr {
    format!("127.0.0.1:{}", member.0).parse().expect("an address")
}

/// The table in the store, and the members that follow it.
pub struct Cell {
    pub now: Time,
    pub rev: Rev,
    pub items: BTreeMap<Box<str>, Item>,
    pub tables: BTreeMap<Incarnation, MemberTable>,
}

impl Cell {
    /// A cell with this number of shards, whose members 1 to `members` are registered and have read
    /// the table.
    pub fn new(shards: u16, members: u64) -> Self {
        let (items, tables) = Default::default();
        let mut cell = Cell { now: ms(5000), rev: 0, items, tables };
        cell.write(
            LAYOUT_KEY.into(),
            record::encode(&Layout {
                shards,
                secret: "s".into(),
                worker_shards: vec![],
                pools: BTreeMap::new(),
            }),
        );
        for n in 1..=members {
            cell.join(id(n), false);
        }
        for n in 1..=members {
            cell.start(id(n));
        }
        cell
    }

    pub fn write(&mut self, key: Box<str>, value: bytes::Bytes) -> Rev {
        self.put(key, Some(value))
    }

    /// Changes an item in the store and notifies all members.
    pub fn put(&mut self, key: Box<str>, value: Option<bytes::Bytes>) -> Rev {
        self.rev += 1;
        let item = Item { key: key.clone(), value, rev: self.rev };
        for table in self.tables.values_mut() {
            table.apply_changes(vec![item.clone()], self.rev, self.now);
        }
        if item.value.is_some() {
            self.items.insert(key, item)
        } else {
            self.items.remove(&key)
        };
        self.rev
    }

    pub fn join(&mut self, member: Incarnation, draining: bool) {
        self.join_at(member, address(member), draining, 1.0);
    }

    pub fn join_at(
        &mut self,
        member: Incarnation,
        control: SocketAddr,
        draining: bool,
        cores: f64,
    ) {
        let row = MemberRow {
            control,
            zone: Zone::from("z"),
            draining,
            cores,
            relayed: false,
            slow: false,
        };
        self.write(member_key(member), record::encode(&row));
    }

    /// Starts a member that reads the whole table.
    pub fn start(&mut self, member: Incarnation) {
        let mut table = MemberTable::new(member);
        table.record_answer(self.now);
        table.load_snapshot(self.items.values().cloned().collect(), self.rev, self.now);
        self.tables.insert(member, table);
    }

    /// Ends a member and removes its row.
    pub fn leave(&mut self, member: Incarnation) {
        self.tables.remove(&member);
        self.put(member_key(member), None);
    }

    pub fn owner(&self, shard: ShardNo) -> Option<OwnerRow> {
        record::decode(self.items.get(&shard.owner_key())?.value.as_ref()?)
    }

    /// Applies a takeover as the store does.
    pub fn apply(&mut self, member: Incarnation, takeover: &Takeover) -> TakeoverOutcome {
        let rev = self.items.get(&takeover.shard.owner_key()).map_or(0, |i| i.rev);
        if rev != takeover.owner_rev {
            return TakeoverOutcome::Conflict(
                self.items.get(&takeover.shard.owner_key()).cloned().into_iter().collect(),
            );
        }
        let row =
            OwnerRow { owner: Some(member), token: takeover.token, control: Some(address(member)) };
        let rev = self.write(takeover.shard.owner_key(), record::encode(&row));
        TakeoverOutcome::Done(rev, takeover.token)
    }

    /// Advances the time in steps of 20 ms, with the store answering all members, and applies their
    /// takeovers.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(20);
            for member in self.tables.keys().copied().collect::<Vec<_>>() {
                let now = self.now;
                self.table(member).record_answer(now);
                self.step(member);
            }
        }
    }

    pub fn step(&mut self, member: Incarnation) {
        let now = self.now;
        for takeover in self.table(member).due_takeovers(now) {
            let outcome = self.apply(member, &takeover);
            self.table(member).finish_takeover(&takeover, outcome, now);
        }
    }

    pub fn table(&mut self, member: Incarnation) -> &mut MemberTable {
        self.tables.get_mut(&member).expect("a member")
    }
}
