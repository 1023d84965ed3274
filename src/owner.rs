//! What the owner of shards does outside of the decisions: loads them, watches their inboxes, reads
//! the list of workers, and carries out orders.

use {
    crate::{
        common::Common,
        control::{Peers, advise_here},
        decisions::{Out, Told},
        ids::Incarnation,
        keeper::{HOLDER, Keeper},
        ports::{Advice, AdviceCall, Fault, Item, Rev, StoreCall},
        shard::{
            event::{Event, Load, Order},
            record::{self, CommitRow, ShardNo},
        },
        store::{CALL, Outside, fault_name},
        watch::{Follow, Pause, Seen},
        work::{JobNo, Listed},
    },
    async_channel::{Receiver, Sender},
    rustc_hash::FxHashMap,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::Notify, task::AbortHandle, time::timeout},
};

/// How long a watch of an inbox waits.
const WAIT: Duration = Duration::from_secs(3);
/// How long a page of the list of machines may take.
const LIVES: Duration = Duration::from_millis(800);
/// How often the list of workers is read.
const LIST: Duration = Duration::from_millis(600);

/// The shards that this member owns, as the outside sees them.
#[derive(Clone)]
pub(crate) struct Owner {
    common: Arc<Common>,
    outside: Outside,
    peers: Peers,
    told: Sender<Told>,
    notes: Sender<Out>,
    owned: Arc<Mutex<BTreeMap<ShardNo, Owned>>>,
    begun: Arc<Notify>,
}

struct Owned {
    token: u64,
    task: AbortHandle,
}

impl Owner {
    /// Owns nothing yet.
    pub fn new(
        common: Arc<Common>,
        outside: Outside,
        peers: Peers,
        told: Sender<Told>,
        notes: Sender<Out>,
    ) -> Self {
        let (owned, begun) = Default::default();
        Owner { common, outside, peers, told, notes, owned, begun }
    }

    /// Begins to own a shard whose commit row was written with this revision; `lapsed` says whether the
    /// former owner's lease had ended, or it gave the shard back.
    pub fn begin(&self, shard: ShardNo, token: u64, commit: Rev, lapsed: bool) {
        let this = self.clone();
        let task = tokio::spawn(async move { this.own(shard, token, commit, lapsed).await });
        let owned = Owned { token, task: task.abort_handle() };
        let before = self.owned.lock().expect("no holder panics").insert(shard, owned);
        if let Some(before) = before {
            before.task.abort();
        }
    }

    /// Ends to own a shard.
    pub async fn end(&self, shard: ShardNo) {
        let before = self.owned.lock().expect("no holder panics").remove(&shard);
        if let Some(before) = before {
            before.task.abort();
        }
        let _ = self.told.send(Told::Forget(shard)).await;
    }

    async fn own(self, shard: ShardNo, token: u64, commit: Rev, lapsed: bool) {
        let mut pause = Pause::default();
        let (mut load, rev) = loop {
            match self.load(shard, commit).await {
                Ok(loaded) => break loaded,
                Err(fault) => {
                    let name = fault_name(&fault);
                    log::warn!(target: "owner", shard:% = shard, token, fault = name; "Shard can't be read yet.");
                    pause.wait().await;
                }
            }
        };
        load.lapsed = lapsed;
        log::info!(target: "owner", did = "owned", shard:% = shard, token, jobs = load.jobs.len(), roster = load.roster.workers.len(), rev; "Shard is owned.");
        let _ = self.told.send(Told::Own(shard, token, Box::new(load))).await;
        self.begun.notify_one();
        if shard != HOLDER {
            return self.follow(shard, token, rev).await;
        }
        let keeper = Keeper {
            common: self.common.clone(),
            outside: self.outside.clone(),
            peers: self.peers.clone(),
            told: self.told.clone(),
        };
        // Both end when the shard is no longer owned here.
        tokio::join!(self.follow(shard, token, rev), keeper.keep(token));
    }

    /// Follows a shard's inbox.
    async fn follow(&self, shard: ShardNo, token: u64, rev: Rev) {
        let inbox = shard.inbox();
        let mut follow = Follow::from(self.outside.clone(), &inbox, WAIT, rev);
        loop {
            let (Seen::All(items, _) | Seen::Changes(items, _)) = follow.next().await;
            for event in items.iter().filter_map(|i| arrival(&inbox, i)) {
                let _ = self.told.send(Told::Event(shard, token, event)).await;
            }
        }
    }

    /// Reads what the store holds of a shard; the revision is that from which its inbox goes on.
    ///
    /// All at once: nobody but its owner changes what has been begun, and a shard stands still for as
    /// long as a slow store takes.
    async fn load(&self, shard: ShardNo, commit: Rev) -> Result<(Load, Rev), Fault> {
        let (inbox, begun, roster) = (shard.inbox(), shard.all_progress(), shard.roster());
        let (arrived, begun, roster) = tokio::try_join!(
            self.outside.all(&inbox, false),
            self.outside.all(&begun, false),
            self.outside.get(&roster, CALL),
        )?;
        let mut load = Load { commit, ..Load::default() };
        for event in arrived.0.iter().filter_map(|i| arrival(&inbox, i)) {
            match event {
                Event::Job(job, record) => load.jobs.push((job, *record)),
                Event::Cancel(job) => load.cancels.push(job),
                _ => {}
            }
        }
        let progress = |i: &Item| Some((job(&i.key)?, record::read(i.value.as_ref()?)?));
        load.progress = begun.0.iter().filter_map(progress).collect();
        if let Some(item) = roster {
            let value = item.value.unwrap_or_default();
            load.roster = record::read(&value).ok_or(Fault::Bad("not a roster".into()))?;
        }
        // Whatever was stored after the owner's own row is heard of by the watch, whatever before is
        // in the range: no change can fall between the two.
        Ok((load, commit))
    }

    /// Reads the list of workers, again and again, while this member owns a shard.
    pub async fn list(self) {
        let mut known: FxHashMap<Box<str>, (Rev, Listed)> = FxHashMap::default();
        loop {
            let owned: Vec<(ShardNo, u64)> = {
                let owned = self.owned.lock().expect("no holder panics");
                owned.iter().map(|(s, o)| (*s, o.token)).collect()
            };
            if owned.is_empty() {
                known.clear();
                self.begun.notified().await;
                continue;
            }
            if let Ok((items, _)) = self.outside.all(self.common.forms.workers, false).await {
                known = self.read(items, known);
                self.tell(&owned, &known).await;
            }
            // A shard that begins is told at once.
            let _ = timeout(LIST, self.begun.notified()).await;
        }
    }

    /// Reads the entries that have changed; the others stay as they were read.
    fn read(
        &self,
        items: Vec<Item>,
        mut known: FxHashMap<Box<str>, (Rev, Listed)>,
    ) -> FxHashMap<Box<str>, (Rev, Listed)> {
        let mut all = FxHashMap::default();
        for item in items {
            let same = known.remove(&item.key).filter(|(rev, _)| *rev == item.rev);
            let read = || {
                let id = item.key.strip_prefix(self.common.forms.workers)?;
                let listed = (self.common.forms.listed)(id, item.value.as_ref()?);
                if listed.is_err() {
                    self.common.metrics.called("worker_entry", "bad");
                }
                Some((item.rev, listed.ok()?))
            };
            if let Some(entry) = same.or_else(read) {
                all.insert(item.key, entry);
            }
        }
        all
    }

    async fn tell(&self, owned: &[(ShardNo, u64)], known: &FxHashMap<Box<str>, (Rev, Listed)>) {
        let Some(layout) = self.common.view.borrow().layout.clone() else { return };
        let mut of: BTreeMap<ShardNo, Vec<Listed>> = BTreeMap::new();
        for (_, worker) in known.values() {
            of.entry(layout.shard(worker)).or_default().push(worker.clone());
        }
        for (shard, token) in owned {
            let mut workers = of.remove(shard).unwrap_or_default();
            workers.sort_by(|a, b| a.id.cmp(&b.id));
            let event = Event::Listed(workers);
            let _ = self.told.send(Told::Event(*shard, *token, event)).await;
        }
    }

    /// Carries out orders until their ring is closed.
    pub async fn work(self, orders: Receiver<Out>) {
        while let Ok(out) = orders.recv().await {
            let Out::Order(shard, token, order) = out else { continue };
            let this = self.clone();
            tokio::spawn(async move {
                let Some(event) = this.carry(shard, token, order).await else { return };
                let _ = this.told.send(Told::Event(shard, token, event)).await;
            });
        }
    }

    async fn carry(&self, shard: ShardNo, token: u64, order: Order) -> Option<Event> {
        let sent = self.common.now();
        match order {
            Order::Worker { worker, addr, call, limit } => {
                let reply = self.outside.worker(addr, &worker, &call, limit).await;
                Some(Event::Worker { worker, sent, call, reply })
            }
            Order::Advise { via, call, sent, takes, limit } => {
                let reply = if via == self.common.me {
                    advise_here(&self.common, &self.outside, &call, takes, limit).await
                } else {
                    self.advise(via, &call, takes, limit).await
                };
                Some(Event::Advised { call, via, sent, reply })
            }
            Order::Lives => {
                let reply = self.outside.lives(LIVES).await;
                Some(Event::Lives { sent, reply })
            }
            Order::Store(number, txn) => {
                let reply = self.outside.store(&StoreCall::Txn(txn), CALL).await;
                Some(Event::Stored(number, reply))
            }
            Order::Reread => match self.reread(shard).await {
                Ok((_, row)) if row.token != token => {
                    let _ = self.notes.send(Out::Deposed(shard)).await;
                    None
                }
                read => Some(Event::Reread(read)),
            },
            Order::Deposed => None,
        }
    }

    async fn advise(
        &self,
        via: Incarnation,
        call: &AdviceCall,
        takes: Duration,
        limit: Duration,
    ) -> Result<Advice, Fault> {
        let addr = self.common.view.borrow().members.get(&via).map(|m| m.control);
        self.peers.advise(addr.ok_or(Fault::Unsent)?, call, takes, limit).await
    }

    async fn reread(&self, shard: ShardNo) -> Result<(Rev, CommitRow), Fault> {
        let bad = || Fault::Bad("not a commit row".into());
        let item = self.outside.get(&shard.commit(), CALL).await?.ok_or_else(bad)?;
        let row: CommitRow = record::read(item.value.as_ref().ok_or_else(bad)?).ok_or_else(bad)?;
        Ok((item.rev, row))
    }
}

/// The job of a key that ends with it.
fn job(key: &str) -> Option<JobNo> {
    key.rsplit('/').next()?.parse().ok()
}

/// What came with an item of an inbox; nothing where it was removed.
fn arrival(inbox: &str, item: &Item) -> Option<Event> {
    let value = item.value.as_ref()?;
    let (kind, _) = item.key.strip_prefix(inbox)?.split_once('/')?;
    let job = job(&item.key)?;
    match kind {
        "j" => {
            let record = record::read(value);
            if record.is_none() {
                log::error!(target: "owner", job:% = job, rev = item.rev; "The record of a job can't be read.");
            }
            Some(Event::Job(job, Box::new(record?)))
        }
        "c" => Some(Event::Cancel(job)),
        _ => None,
    }
}
