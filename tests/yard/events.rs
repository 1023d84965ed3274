//! Events that a test schedules for the owners and the workers: takeovers, ends, pauses and losses.

use super::*;

impl ShardSim {
    /// Lets a new owner load the shard from the store and start. While the store is down, tries
    /// again later.
    pub fn take_over(&mut self) {
        if self.store.health == Mode::Down {
            return self.at(self.now.0 / 1_000 + 200, ShardSim::take_over);
        }
        let old = self.store.get(&SHARD.owner_key()).and_then(|i| i.value);
        let token = old.and_then(|v| decode::<OwnerRow>(&v)).map_or(1, |r| r.token + 1);
        let me = Incarnation(100 + token);
        let rows = [
            (SHARD.owner_key(), encode(&OwnerRow { owner: Some(me), token, control: None })),
            (SHARD.commit_key(), encode(&CommitRow { token, number: 0 })),
        ];
        let puts = rows.map(|(key, value)| Put { key, value, lease: 0 }).into();
        let StoreReply::Done(commit) = self.store.txn(&Txn { puts, ..Txn::default() }) else {
            panic!("a takeover without conditions is written");
        };
        let setup = Setup {
            shard: SHARD,
            member: me,
            token,
            bounds: self.world.bounds,
            unix_ms: UNIX_START_MS,
        };
        let shard = Shard::new(setup, self.load(commit), self.now);
        self.owners.push(Owner {
            shard,
            me,
            taken_over_at: self.now,
            last_confirmed: self.now,
            ended: false,
            paused: false,
            stalled: false,
            releasing: false,
            store_cut: false,
            unreached: BTreeSet::new(),
            held_events: Vec::new(),
        });
        let (owner, now) = (self.owners.len() - 1, self.now);
        let listed = self.list.values().map(|l| l.0.clone()).collect();
        self.released = false;
        // The member already has the configuration that every member has received; the latest
        // change may still be on its way.
        let known = [self.received_queues.clone(), self.sent_queues.clone()];
        for (queues, late) in
            known.into_iter().zip([self.initial_delay, self.initial_delay.max(self.config_delay)])
        {
            self.schedule(now + late, Delivery::Event(owner, Event::Queues(queues)));
        }
        let first = [Event::Listed(listed), Event::Peers(self.callers(me)), Event::Confirmed(now)];
        first.into_iter().for_each(|e| self.schedule(now, Delivery::Event(owner, e)));
        if self.closing.version.1 > 0 {
            self.schedule(now, Delivery::Event(owner, Event::Closing(self.closing.clone())));
        }
    }

    /// The members that can call for advice, starting with the owner.
    pub(super) fn callers(&self, me: Incarnation) -> Peers {
        let own = (8..8 + self.members).map(|n| if n == 8 { me } else { Incarnation(n) });
        Peers { unshared: own.collect(), shared: self.shared_members.clone() }
    }

    /// Adds members that another shard's owner uses too. From `ms` on, that owner has two calls in
    /// flight at each of them at all times, each of which takes `cost`.
    pub fn add_shared_members(&mut self, members: u64, ms: u64, cost: Duration) {
        self.shared_members = (50..50 + members).map(Incarnation).collect();
        for owner in 0..self.owners.len() {
            let peers = Event::Peers(self.callers(self.owners[owner].me));
            self.schedule(self.now, Delivery::Event(owner, peers));
        }
        for via in self.shared_members.clone() {
            for _ in 0..2 {
                self.at(ms, move |y| y.make_other_call(via, cost));
            }
        }
    }

    /// Reads from the store what a new owner of the shard needs.
    pub(super) fn load(&self, commit: u64) -> Snapshot {
        let inbox = self.store.range(&SHARD.inbox_prefix());
        let tail = |key: &str| key.rsplit('/').next().and_then(|n| n.parse().ok());
        let of = |kind: &str| {
            let all = inbox
                .iter()
                .filter(|(k, _)| k.starts_with(&format!("{}{kind}/", SHARD.inbox_prefix())));
            all.filter_map(|(k, v)| Some((tail(k)?, v.clone()))).collect::<Vec<(JobNo, _)>>()
        };
        let progress: Vec<(JobNo, Progress)> = self.progress().into_iter().collect();
        let over = |job| progress.iter().any(|(j, p)| *j == job && p.state.is_final());
        let jobs = of("j").into_iter().filter(|(j, _)| !over(*j));
        let roster = self.store.get(&SHARD.roster_key()).and_then(|i| i.value);
        Snapshot {
            jobs: jobs.filter_map(|(j, v)| Some((j, decode(&v)?))).collect(),
            cancels: of("c").into_iter().filter_map(|(j, v)| Some((j, decode(&v)?))).collect(),
            read_at: self.now,
            progress,
            roster: roster.and_then(|v| decode::<Roster>(&v)).unwrap_or_default(),
            commit_revision: commit,
            divisions: self.store.divisions(),
            lapsed: self.owners.last().is_none_or(|o| {
                o.releasing
                    || (o.ended || o.paused || o.store_cut)
                        && o.last_confirmed + MEMBER_LEASE <= self.now
            }),
        }
    }

    /// Progress of all jobs in the store.
    pub fn progress(&self) -> BTreeMap<JobNo, Progress> {
        let all = self.store.range(&SHARD.progress_prefix()).into_iter();
        let one = |(k, v): (Box<str>, bytes::Bytes)| {
            Some((k.rsplit('/').next()?.parse().ok()?, decode(&v)?))
        };
        all.filter_map(one).collect()
    }

    /// The newest owner.
    pub fn owner(&mut self) -> &mut Owner {
        self.owners.last_mut().expect("the simulation starts with an owner")
    }

    /// Ends the process of the newest owner.
    pub fn kill_owner(&mut self) {
        self.owner().ended = true;
    }

    /// Lets the newest owner write its remaining changes and release the shard. Another owner takes
    /// over `gap` later.
    pub fn release_shard(&mut self, gap: Duration) {
        let at = self.owners.len() - 1;
        if self.owners[at].ended || self.owners[at].paused {
            return;
        }
        self.owners[at].releasing = true;
        let now = self.now;
        self.write_remaining(at, now + RELEASE_TIMEOUT, gap);
    }

    /// Lets an owner that releases the shard write its remaining changes until there are none or
    /// its time is up.
    pub(super) fn write_remaining(&mut self, at: usize, over: Time, gap: Duration) {
        let owner = &mut self.owners[at];
        if owner.ended {
            return;
        }
        let orders = owner.shard.flush_rest(self.now);
        if self.owners[at].shard.is_flushed() || self.now >= over {
            self.owners[at].ended = true;
            // Another owner may already have taken the shard over.
            if at + 1 == self.owners.len() {
                self.released = true;
                self.at((self.now + gap).0 / 1_000, |y| {
                    if y.released {
                        y.take_over();
                    }
                });
            }
            return;
        }
        orders.into_iter().for_each(|o| self.execute(at, o));
        self.at((self.now.0 / 1_000) + 20, move |y| y.write_remaining(at, over, gap));
    }

    /// Sends another configuration to the owners.
    pub fn configure(&mut self, queues: Arc<QueueConfig>) {
        self.record_caps(&queues);
        self.sent_queues = queues.clone();
        let (heard, late) = (queues.clone(), self.initial_delay.max(self.config_delay));
        self.at((self.now + late).0 / 1_000, move |y| y.received_queues = heard);
        self.broadcast(self.now + late, Event::Queues(queues));
    }

    /// Tells the owners which workers are to be emptied.
    pub fn set_closing(&mut self, turns: &[(usize, UpkeepTurn)]) {
        let place = (1, self.closing.version.1 + 1);
        let turns = turns.iter().map(|(at, turn)| (self.world.id(*at), *turn)).collect();
        self.closing = Arc::new(Closing { version: place, turns });
        let closing = Event::Closing(self.closing.clone());
        self.broadcast(self.now + Duration::from_millis(50), closing);
    }

    /// Ends a worker that has left on purpose; a new incarnation starts in its place after `back`.
    pub fn replace_worker(&mut self, at: usize, back: Duration) {
        self.lose_worker(at);
        self.at((self.now + back).0 / 1_000, move |y| {
            y.removed.remove(&at);
            y.world.workers[at].up = true;
        });
    }

    /// The worker incarnations that the VM list names.
    pub(super) fn lives(&mut self) -> Vec<WorkerId> {
        let (now, behind) = (self.now, self.vm_list_lag);
        self.ended_workers.retain(|(at, _)| *at + behind > now);
        // Workers that are cut off still run, so the list names them.
        let up = (0..self.world.workers.len()).filter(|at| self.world.workers[*at].up);
        let up = up.map(|at| self.world.id(at));
        up.chain(self.ended_workers.iter().map(|d| d.1.clone())).collect()
    }

    /// Pauses an owner, or resumes it and delivers the events that arrived meanwhile.
    pub fn pause_owner(&mut self, owner: usize, paused: bool) {
        self.owners[owner].paused = paused;
        if !paused {
            for event in std::mem::take(&mut self.owners[owner].held_events) {
                self.schedule(self.now, Delivery::Event(owner, event));
            }
        }
    }

    /// Cuts an owner off from the store. It still receives everything else.
    pub fn cut_store(&mut self, owner: usize) {
        self.owners[owner].store_cut = true;
    }

    /// Separates an owner from workers: its calls don't reach them, and their answers don't reach it.
    pub fn cut_workers(&mut self, owner: usize, workers: impl IntoIterator<Item = usize>) {
        self.owners[owner].unreached.extend(workers);
    }

    /// Lets a new owner take over that starts only after `reads`, the time that it needs to load
    /// the store. Changes stored meanwhile reach it afterwards.
    pub fn take_over_after(&mut self, reads: Duration) {
        self.take_over();
        let owner = self.owners.len() - 1;
        self.owners[owner].paused = true;
        self.at((self.now + reads).0 / 1_000, move |y| y.pause_owner(owner, false));
    }

    /// Ends the process of a worker; it starts again after `back`.
    pub fn crash_worker(&mut self, at: usize, back: Duration) {
        self.ended_workers.push((self.now, self.world.id(at)));
        self.world.crash(at);
        self.at((self.now + back).0 / 1_000, move |y| y.world.workers[at].up = true);
    }

    /// Crashes each worker that runs a task listed in `world.crashing_tasks`; the worker starts again after
    /// a while.
    pub(super) fn crash_poisoned_workers(&mut self) {
        let poison = &self.world.crashing_tasks;
        let runs_poison = |w: &Worker| w.runs.iter().any(|r| poison.contains(&r.start.task));
        let all = &self.world.workers;
        let hit: Vec<usize> = (0..all.len()).filter(|at| runs_poison(&all[*at])).collect();
        for at in hit {
            let back = Duration::from_millis(self.rng.u64(500..4_000));
            self.crash_worker(at, back);
        }
    }

    /// Ends the process of a worker for good.
    pub fn lose_worker(&mut self, at: usize) {
        self.ended_workers.push((self.now, self.world.id(at)));
        self.world.crash(at);
        self.removed.insert(at);
    }
}
