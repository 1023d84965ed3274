//! A snapshot of the [`member_table`](crate::member_table), and what other parts of a member read
//! from it: owners, members to call, members to relay through.

use {
    crate::{
        decide::lanes::Peers,
        ids::Incarnation,
        ports::Rev,
        shard::record::{Closing, Layout, MemberRow, ShardNo},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::Xxh3Default,
};

/// A snapshot of the table for the other threads and tasks of this member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TableView {
    /// The table's revision.
    pub rev: Rev,
    /// The layout, once it has been written.
    pub layout: Option<Arc<Layout>>,
    /// The workers that maintenance waves empty.
    pub closing: Arc<Closing>,
    /// The live members.
    pub members: BTreeMap<Incarnation, MemberRow>,
    /// The owner of each shard that has one.
    pub owners: BTreeMap<ShardNo, Incarnation>,
}

impl TableView {
    /// Returns the owner of a shard and the address of its control port, if the owner is alive.
    pub fn owner(&self, shard: ShardNo) -> Option<(Incarnation, SocketAddr)> {
        let owner = self.owners.get(&shard)?;
        Some((*owner, self.members.get(owner)?.control))
    }

    /// Returns the members through which a shard may make advice calls.
    ///
    /// Guards against several shards calling through the same member: each shard knows only its own
    /// calls, so that a short call queued behind another shard's long call waits for up to two
    /// seconds while other members are idle. Each shard is assigned a part of the members, and no
    /// other shard uses the first half of that part.
    pub fn advice_members(&self, shard: ShardNo) -> Peers {
        let available = self.available_members();
        let shards = usize::from(self.shard_count().max(1));
        let no = usize::from(shard.0) % shards;
        let mut peers = Peers::default();
        for part in (no..shards).chain(0..no) {
            let part =
                &available[available.len() * part / shards..available.len() * (part + 1) / shards];
            let half = if shards > 1 { part.len().div_ceil(2) } else { part.len() };
            if peers.unshared.is_empty() {
                peers.unshared.extend(&part[..half]);
            }
            peers.shared.extend(&part[half..]);
        }
        if peers.unshared.is_empty() {
            peers.unshared = available;
        }
        peers
    }

    /// Returns a hash of the ids of all live members.
    pub fn members_hash(&self) -> u64 {
        let mut hasher = Xxh3Default::new();
        self.members.keys().for_each(|m| hasher.update(&m.0.to_le_bytes()));
        hasher.digest()
    }

    /// Returns the number of live members with a lower id than this one.
    pub fn id_rank(&self, me: Incarnation) -> usize {
        self.members.keys().take_while(|m| **m < me).count()
    }

    /// Returns the number of shards; 0 if the layout is not known yet.
    pub fn shard_count(&self) -> u16 {
        self.layout.as_ref().map_or(0, |l| l.shards)
    }

    /// Returns the members that accept calls from other members: all that are not draining.
    pub fn available_members(&self) -> Vec<Incarnation> {
        self.members.iter().filter(|(_, m)| !m.draining).map(|(i, _)| *i).collect()
    }

    /// Returns the members that a member may ask to relay a call to the store.
    ///
    /// Members that the store serves directly are preferred. If the table lists none, all are
    /// candidates: a member that was cut off just as the others were served again has not seen
    /// their new rows.
    pub fn relay_candidates(&self, me: Incarnation) -> Vec<Incarnation> {
        let available: Vec<Incarnation> =
            self.available_members().into_iter().filter(|m| *m != me).collect();
        let served: Vec<Incarnation> =
            available.iter().copied().filter(|m| !self.members[m].relayed).collect();
        if served.is_empty() { available } else { served }
    }

    /// Returns whether a member that registered at this revision has lost its row and must register
    /// again.
    pub fn must_register(&self, me: Incarnation, registered: Rev) -> bool {
        self.rev > registered && !self.members.contains_key(&me)
    }
}
