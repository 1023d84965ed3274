//! Ownership of racks and buckets: the platform's lists, the shared records, and changes of owner.

use {
    super::{
        BEAT_INTERVAL, BUCKETS_TABLE, CONTACT_TIMEOUT, Core, MEMBERS_PREFIX, OWNERS_PREFIX,
        PendingHandover, bucket_row, rack_row, row_bucket, row_rack,
    },
    crate::{
        config,
        event::{Call, Order, Purpose},
        http::Failure,
        ids::{BUCKET_COUNT, Bucket, Epoch, Incarnation, RowId, Zone},
        messages::{Handover, KvList, KvPut, MemberRecord, OwnersRecord, VmList},
        ownership::{Change, Fate, Swap},
        time::Time,
    },
    std::collections::{BTreeMap, BTreeSet},
};

impl Core {
    /// Applies the platform's list of VMs.
    pub(super) fn update_vms(&mut self, list: VmList, now: Time) {
        let mut zones: BTreeMap<Zone, BTreeSet<RowId>> = BTreeMap::new();
        let vms = self.vm_cache.update(list, now);
        for vm in vms.values() {
            zones.entry(vm.zone.clone()).or_default().insert(rack_row(&vm.rack));
        }
        let known: Vec<Box<str>> = self.ownership.tables().map(Into::into).collect();
        for table in known.iter().filter(|t| ***t != *BUCKETS_TABLE) {
            let zone = Zone(table.clone());
            let rows = zones.remove(&zone).unwrap_or_default();
            self.ownership.want(table, Some(zone), rows);
        }
        for (zone, rows) in zones {
            self.ownership.want(&zone.0.clone(), Some(zone), rows);
        }
        self.jobs.workers(vms.values());
        self.racks.update_vms(vms, now);
    }

    /// Applies changes of the watched records in the key-value store.
    pub(super) fn apply_changes(&mut self, list: KvList, now: Time) {
        self.ownership.answered(now);
        let all = (0..BUCKET_COUNT).map(|b| bucket_row(Bucket(b))).collect();
        self.ownership.want(BUCKETS_TABLE, None, all);
        for key in &list.gone {
            if let Some(id) = key.strip_prefix(MEMBERS_PREFIX).and_then(|id| id.parse().ok()) {
                self.ownership.left(id);
                self.peers.remove(&id);
                self.requests.forget(id);
            }
        }
        for entry in list.entries {
            if entry.key.starts_with(MEMBERS_PREFIX) {
                if let Ok(record) = serde_json::from_str::<MemberRecord>(&entry.value) {
                    if record.draining {
                        self.requests.forget(record.incarnation);
                    }
                    self.ownership.joined(record);
                }
            } else if let Some(table) = entry.key.strip_prefix(OWNERS_PREFIX) {
                if let Ok(record) = serde_json::from_str(&entry.value) {
                    let changes = self.ownership.read(table, entry.revision, record);
                    self.changed(changes, now);
                }
            } else if &*entry.key == config::KEY
                && let Ok(record) = serde_json::from_str(&entry.value)
            {
                self.take_config(entry.revision, record);
            }
        }
    }

    pub(super) fn changed(&mut self, changes: Vec<Change>, now: Time) {
        for change in changes {
            match change {
                Change::Gained(row, epoch) => self.gained(&row, epoch, now),
                Change::Lost(row, epoch, to) => self.lost(&row, epoch, to, now),
            }
        }
    }

    pub(super) fn gained(&mut self, row: &RowId, epoch: Epoch, now: Time) {
        log::info!(target: "owner", "Gained {row} with epoch {epoch}.");
        if let Some(bucket) = row_bucket(row) {
            self.jobs.add_bucket(bucket, epoch);
        } else if let Some(rack) = row_rack(row) {
            self.racks.gained(&rack, epoch, now);
            let early: Vec<(Handover, Time)> =
                self.early_handovers.extract_if(.., |(h, _)| h.rack == rack).collect();
            for (over, _) in early {
                self.racks.handover(&over, now);
            }
        }
    }

    pub(super) fn lost(&mut self, row: &RowId, epoch: Epoch, to: Option<Incarnation>, now: Time) {
        log::info!(target: "owner", "Lost {row} with epoch {epoch}.");
        if let Some(bucket) = row_bucket(row) {
            self.jobs.remove_bucket(bucket);
        } else if let Some(rack) = row_rack(row) {
            let over = self.racks.lost(&rack, epoch);
            if let Some(to) = to {
                self.call(to, Call::Handover(over.clone()));
                self.handovers.push(PendingHandover {
                    to,
                    handover: over,
                    since: now,
                    due: now + BEAT_INTERVAL,
                });
            }
        }
    }

    pub(super) fn swap(&mut self, swap: Swap) {
        let put = KvPut {
            expect: swap.expect,
            value: serde_json::to_string(&swap.record).ok().map(Into::into),
            lease: None,
        };
        let key = format!("{OWNERS_PREFIX}{}", swap.table).into();
        self.out.push(Order::Put(Purpose::Owners(swap), key, put));
    }

    pub(super) fn record_read(
        &mut self,
        purpose: Purpose,
        entry: Result<crate::messages::KvEntry, Failure>,
        now: Time,
    ) {
        if entry.is_ok() {
            self.ownership.answered(now);
        }
        match purpose {
            Purpose::Owners(swap) => {
                let Ok(entry) = entry else { return };
                let record = serde_json::from_str(&entry.value);
                let record = record.unwrap_or(OwnersRecord { rows: Default::default() });
                let changes = self.ownership.read(&swap.table, entry.revision, record);
                self.changed(changes, now);
            }
            Purpose::Config => {
                let before = self.config.version();
                let step = self.config.read(entry.ok().filter(|e| e.revision.0 > 0), now);
                if self.config.version() != before {
                    self.planned();
                }
                if let Some(step) = step {
                    self.config_step(step);
                }
            }
            Purpose::Bucket(bucket, epoch, call) => {
                self.jobs.record_read((bucket, epoch, call), entry, now)
            }
        }
    }

    pub(super) fn record_written(
        &mut self,
        purpose: Purpose,
        reply: Result<crate::messages::KvPutReply, Failure>,
        now: Time,
    ) {
        if reply.is_ok() {
            self.ownership.answered(now);
        }
        match purpose {
            Purpose::Owners(swap) => {
                let fate = match &reply {
                    Ok(r) if r.done => Fate::Done(r.revision),
                    Ok(_) => Fate::Refused,
                    Err(_) => Fate::Unknown,
                };
                let changes = self.ownership.swapped(swap, fate, now);
                self.changed(changes, now);
            }
            Purpose::Config => {
                let before = self.config.version();
                let step = self.config.written(reply.ok(), now);
                if self.config.version() != before {
                    self.planned();
                }
                if let Some(step) = step {
                    self.config_step(step);
                }
            }
            Purpose::Bucket(bucket, epoch, call) => {
                self.jobs.record_written((bucket, epoch, call), reply, now)
            }
        }
    }

    pub(super) fn retry_handovers(&mut self, now: Time) {
        self.early_handovers.retain(|(_, at)| now - *at < CONTACT_TIMEOUT);
        let members = self.ownership.members();
        self.handovers.retain(|p| now - p.since < CONTACT_TIMEOUT && members.contains_key(&p.to));
        let due = self.handovers.iter_mut().filter(|p| p.due <= now);
        let again: Vec<(Incarnation, Handover)> = due
            .map(|p| {
                p.due = now + BEAT_INTERVAL;
                (p.to, p.handover.clone())
            })
            .collect();
        for (to, over) in again {
            self.call(to, Call::Handover(over));
        }
    }
}
