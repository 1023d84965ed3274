//! The table as the store has it, and what is taken over and released.

use {
    crate::{
        common::Common,
        decisions::{Out, Told},
        ids::Incarnation,
        layout::{Census, MOST, layout},
        membership::KEEP,
        owner::Owner,
        ports::{Fault, Item, Put, Rev, StoreCall, StoreReply, Txn},
        shard::{
            event::Event,
            record::{self, CommitRow, LAYOUT, OwnerRow, ShardNo, TABLE},
        },
        store::{CALL, Outside},
        table::{Fate, Table, Take, member_key},
        time::Time,
        watch::{Follow, Pause, Seen},
        work::{Listed, Queues},
    },
    async_channel::{Receiver, Sender},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How long a watch of the table waits.
const WAIT: Duration = Duration::from_secs(10);
/// How many watches of the configuration fit into the time that it may be behind: where one has no
/// answer, the next reading still comes in time.
const CONFIG_WAITS: u32 = 2;
/// How often the table is looked at while a shard has no live owner, or the store doesn't serve this
/// member.
const STEP: Duration = Duration::from_millis(100);
/// How often a shard's release is written while its outcome is not known.
const RELEASES: u32 = 3;
/// How often a member that the store doesn't serve gives up the shards that it has; those that it has
/// again meanwhile nobody else has taken.
const YIELD: Duration = Duration::from_secs(10);

/// The pause between two watches of the table, for each member: all make 500 in a second at the most.
const EACH: Duration = Duration::from_millis(2);

/// Follows the configuration.
pub(crate) async fn config(common: Arc<Common>, outside: Outside, told: Sender<Told>) {
    let wait = common.site.borrow().bounds.config / CONFIG_WAITS;
    let mut follow = Follow::whole(outside, common.forms.operators, wait);
    let mut sent: Option<Arc<Queues>> = None;
    loop {
        match follow.turn().await {
            Some(seen) => take_operators(&common, &seen),
            // A write has found a newer configuration than the watch brings.
            None if common.is_overtaken() => follow.afresh(),
            None => {}
        }
        if let Some(at) = follow.current() {
            common.confirm(common.now() - at.elapsed());
        }
        // The callers' duty may have taken it in before: what counts is what the shards know.
        let queues = common.config.borrow().as_ref().map(|c| c.queues.clone());
        let Some(queues) = queues else { continue };
        if !sent.as_ref().is_some_and(|s| Arc::ptr_eq(s, &queues)) {
            sent = Some(queues.clone());
            let _ = told.send(Told::All(Event::Queues(queues))).await;
        }
    }
}

/// Takes in what the operators have written.
fn take_operators(common: &Common, seen: &Seen) {
    common.take_waves(seen);
    let (Seen::All(items, _) | Seen::Changes(items, _)) = seen;
    // Versions may come many a second: only the last is read.
    let last = items.iter().filter(|i| &*i.key == common.forms.config).max_by_key(|i| i.rev);
    if let Some(item) = last {
        common.take_config(item);
    }
}

/// Follows the table, no more often than the store bears from all members together.
///
/// Guards against a table that keeps its members from renewing their leases: each change answers the
/// watch of every member, which asks again at once. With 300 members that come and go one by one
/// these calls took all that the store serves, leases ended for want of renewal, and each end was one
/// more change.
async fn follow_table(common: Arc<Common>, mut follow: Follow, seen: Sender<News>) {
    loop {
        if seen.send(News::Seen(follow.next().await)).await.is_err() {
            return;
        }
        let members = u32::try_from(common.view.borrow().members.len()).unwrap_or(u32::MAX);
        sleep(EACH.saturating_mul(members)).await;
    }
}

/// The table's duty.
pub(crate) struct Registry {
    common: Arc<Common>,
    outside: Outside,
    owner: Owner,
    table: Table,
    told: Sender<Told>,
    tell: Sender<News>,
    making: bool,
    /// Since when this member is told to stop.
    stopping: Option<Time>,
    /// When it last gave up its shards as the store doesn't serve it.
    yielded: Option<Time>,
}

/// What the table's duty is told.
enum News {
    Seen(Seen),
    Taken(Take, Fate),
    Made,
    Released(ShardNo, usize),
    Out(Out),
    Stop,
}

impl Registry {
    /// Runs until this member is told to stop and owns nothing any more.
    pub async fn run(
        common: Arc<Common>,
        outside: Outside,
        owner: Owner,
        told: Sender<Told>,
        notes: Receiver<Out>,
    ) {
        let (tell, news) = async_channel::bounded(256);
        let follow = Follow::steady(outside.clone(), TABLE, WAIT);
        tokio::spawn(follow_table(common.clone(), follow, tell.clone()));
        let noted = tell.clone();
        tokio::spawn(async move {
            while let Ok(out) = notes.recv().await {
                let _ = noted.send(News::Out(out)).await;
            }
        });
        let (stop, stopping) = (tell.clone(), common.clone());
        tokio::spawn(async move {
            stopping.stopped().await;
            let _ = stop.send(News::Stop).await;
        });
        let table = Table::new(common.me);
        let (making, stopping, yielded) = (false, None, None);
        let this =
            Registry { common, outside, owner, table, told, tell, making, stopping, yielded };
        this.work(news).await;
    }

    async fn work(mut self, news: Receiver<News>) {
        loop {
            let often = self.table.waits() || self.common.ways.is_lost();
            let rest = if often { STEP } else { KEEP };
            let got = timeout(rest, news.recv()).await;
            if let Some(at) = self.common.contact() {
                self.table.answered(at);
            }
            if let Ok(Ok(got)) = got {
                self.take(got).await;
            }
            self.table.relayed(self.common.ways.is_lost());
            self.give_up().await;
            let takes = self.table.step(self.common.now());
            takes.into_iter().for_each(|t| self.fly(t));
            if self.table.bare() && !self.making && self.stopping.is_none() {
                self.making = true;
                self.make();
            }
            if self.stopping.is_some() && self.table.running().is_empty() && !self.table.flying() {
                return;
            }
        }
    }

    async fn take(&mut self, news: News) {
        let now = self.common.now();
        match news {
            News::Seen(Seen::All(items, rev)) => {
                let lost = self.table.load(items, rev, now);
                self.moved(lost).await;
            }
            News::Seen(Seen::Changes(items, rev)) => {
                let lost = self.table.changed(items, rev, now);
                self.moved(lost).await;
            }
            News::Taken(take, fate) => {
                let lost = self.table.taken(&take, fate.clone(), now);
                if let Fate::Done(rev, token) = fate
                    && self.table.running().contains_key(&take.shard)
                {
                    self.common.metrics.moved("taken_over");
                    self.owner.begin(take.shard, token, rev, take.lapsed);
                }
                self.moved(lost).await;
            }
            News::Made => self.making = false,
            News::Out(Out::Settled(shard, left)) => self.release(shard, left),
            News::Out(Out::Deposed(shard)) => {
                self.table.dropped(shard, now);
                self.moved(vec![shard]).await;
            }
            News::Out(Out::Order(..)) => {}
            News::Released(shard, left) => {
                self.table.dropped(shard, now);
                self.common.metrics.moved("released");
                let after_ms = self.stopping.map_or(0, |s| (now - s).as_millis() as u64);
                log::info!(target: "table", did = "released", shard:% = shard, after_ms, unwritten = left; "Shard is released.");
                self.owner.end(shard).await;
            }
            News::Stop => {
                self.stopping = self.stopping.or(Some(now));
                self.table.stop();
                let _ = self.told.send(Told::Release).await;
            }
        }
    }

    /// Gives up all shards while the store serves other members and not this one.
    async fn give_up(&mut self) {
        let (now, me) = (self.common.now(), self.common.me);
        let again = self.yielded.is_none_or(|at| at + YIELD <= now);
        let owns = self.stopping.is_none() && !self.table.running().is_empty();
        let others = || !self.common.view.borrow().relays(me).is_empty();
        if owns && again && self.common.ways.yields() && others() {
            self.yielded = Some(now);
            let shards = self.table.running().len();
            log::warn!(target: "table", did = "yields", shards; "The store doesn't serve this member; its shards are given up.");
            let _ = self.told.send(Told::Release).await;
        }
    }

    /// Tells what has changed to the duties that it concerns.
    async fn moved(&mut self, lost: Vec<ShardNo>) {
        for shard in lost {
            self.common.metrics.moved("passed");
            log::info!(target: "table", did = "passed", shard:% = shard, to:? = self.table.view().owners.get(&shard); "Shard has passed on.");
            self.owner.end(shard).await;
        }
        let view = self.table.view();
        self.tell_members(&view.members.keys().copied().collect());
        self.common.metrics.level("shards", self.table.running().len());
        self.common.metrics.level("members", view.members.len());
        let peers = view.able();
        let (before, old) = {
            let old = self.common.view.borrow();
            (old.able(), old.closing.clone())
        };
        let closing = view.closing.clone();
        self.common.view.send_replace(Arc::new(view));
        if closing != old {
            let _ = self.told.send(Told::All(Event::Closing(closing))).await;
        }
        if peers != before {
            let _ = self.told.send(Told::Peers).await;
        }
    }

    /// Tells of members that have come or gone.
    fn tell_members(&self, now: &BTreeSet<Incarnation>) {
        let (view, members) = (self.common.view.borrow(), now.len());
        for gone in view.members.keys().filter(|m| !now.contains(m)) {
            log::info!(target: "table", member:% = gone, members, rev = view.rev; "Member is gone.");
        }
        for come in now.iter().filter(|m| !view.members.contains_key(m)) {
            log::info!(target: "table", member:% = come, members, rev = view.rev; "Member has come.");
        }
    }

    fn fly(&self, take: Take) {
        let (outside, tell, me) = (self.outside.clone(), self.tell.clone(), self.common.me);
        let control = self.table.control();
        tokio::spawn(async move {
            let fate = take_over(&outside, me, control, &take).await;
            tell_taken(me, &take, &fate);
            let _ = tell.send(News::Taken(take, fate)).await;
        });
    }

    /// Gives a shard back; its token stays, so that its next owner's is higher.
    fn release(&self, shard: ShardNo, left: usize) {
        let (outside, tell) = (self.outside.clone(), self.tell.clone());
        let mine = self.table.mine(shard);
        let tries = if self.stopping.is_some() { 1 } else { RELEASES };
        tokio::spawn(async move {
            if let Some((rev, row)) = mine {
                give_back(&outside, shard, rev, row, tries).await;
            }
            let _ = tell.send(News::Released(shard, left)).await;
        });
    }

    /// Makes the layout, where no other member does.
    fn make(&self) {
        let (outside, tell) = (self.outside.clone(), self.tell.clone());
        let common = self.common.clone();
        tokio::spawn(async move {
            // Members that start together have to be seen first. Two of them count the workers, for
            // the case that one is lost; each reading is paid for, and one layout is enough.
            sleep(KEEP).await;
            let place = common.view.borrow().place(common.me);
            if place > 1 {
                sleep(MOST + STEP * u32::try_from(place.min(50)).unwrap_or(50)).await;
            }
            if common.view.borrow().layout.is_none() {
                make_layout(&outside, &common).await;
                sleep(KEEP).await;
            }
            let _ = tell.send(News::Made).await;
        });
    }
}

/// Tells what became of a takeover.
fn tell_taken(me: Incarnation, take: &Take, fate: &Fate) {
    let token = if let Fate::Done(_, token) = fate { *token } else { take.token };
    log::info!(target: "table", did = "taken_over", shard:% = take.shard, member:% = me, token, row = take.row, answer = fate.name(); "Takeover was tried.");
}

/// Writes that a shard has no owner; an unclear answer is settled by the next try.
async fn give_back(outside: &Outside, shard: ShardNo, rev: Rev, row: OwnerRow, tries: u32) {
    let key = shard.owner();
    let value = record::write(&OwnerRow { owner: None, token: row.token, control: None });
    let put = Put { key: key.clone(), value, lease: 0 };
    let txn = Txn { expect: vec![(key, rev)], puts: vec![put], remove: vec![] };
    let call = StoreCall::Txn(txn);
    let mut pause = Pause::default();
    for tried in 1..=tries {
        match outside.store(&call, CALL).await {
            // Where the row has changed, an earlier try was done, or another has the shard.
            Ok(StoreReply::Done(_) | StoreReply::Conflict(_)) => return,
            answer if tried == tries => {
                // It passes on when this member's row has ended.
                log::warn!(target: "table", shard:% = shard, answer:? = answer; "Shard could not be released.");
            }
            _ => pause.wait().await,
        }
    }
}

/// Writes the layout for the workers that are listed, once their list is still.
async fn make_layout(outside: &Outside, common: &Common) {
    let mut census = Census::new(common.now());
    let mut workers = vec![];
    loop {
        if let Ok((items, _)) = outside.all(common.forms.workers, false).await {
            workers = items;
        }
        if common.view.borrow().layout.is_some() || census.seen(workers.len(), common.now()) {
            break;
        }
        sleep(KEEP).await;
    }
    let read = |item: &Item| {
        let id = item.key.strip_prefix(common.forms.workers)?;
        (common.forms.listed)(id, item.value.as_ref()?).ok()
    };
    let workers: Vec<Listed> = workers.iter().filter_map(read).collect();
    let secret = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..)).into();
    let layout = layout(&workers, secret);
    let (count, shards) = (workers.len(), layout.shards);
    let value = record::write(&layout);
    let put = Put { key: LAYOUT.into(), value, lease: 0 };
    let txn = Txn { expect: vec![(LAYOUT.into(), 0)], puts: vec![put], remove: vec![] };
    // Whatever the answer, the watch brings the layout that stands.
    let _ = outside.store(&StoreCall::Txn(txn), CALL).await;
    log::info!(target: "table", shards, workers = count; "A layout was offered.");
}

/// Writes a takeover; an unclear answer is settled by reading.
async fn take_over(
    outside: &Outside,
    me: Incarnation,
    control: Option<SocketAddr>,
    take: &Take,
) -> Fate {
    let Ok(commit) = outside.get(&take.shard.commit(), CALL).await else { return Fate::Not };
    let row: Option<CommitRow> =
        commit.as_ref().and_then(|c| record::read(c.value.as_ref().map_or(&[], |v| &v[..])));
    let token = take.token.max(row.map_or(0, |r| r.token) + 1);
    let put = |key, value| Put { key, value, lease: 0 };
    // Guards against a takeover from an owner that has registered again, by a member that hasn't heard
    // so: the owner's lease is good, and it would go on without knowing better.
    let gone = take.gone.map(|former| (member_key(former), 0));
    let rows = [(take.shard.owner(), take.row), (take.shard.commit(), commit.map_or(0, |c| c.rev))];
    let txn = Txn {
        expect: rows.into_iter().chain(gone).collect(),
        puts: vec![
            put(take.shard.owner(), record::write(&OwnerRow { owner: Some(me), token, control })),
            put(take.shard.commit(), record::write(&CommitRow { token, number: 0 })),
        ],
        remove: vec![],
    };
    match outside.store(&StoreCall::Txn(txn), CALL).await {
        Ok(StoreReply::Done(rev)) => Fate::Done(rev, token),
        Ok(StoreReply::Conflict(items)) => Fate::Lost(items),
        Err(Fault::Refused | Fault::Unsent) => Fate::Not,
        _ => Fate::Unclear(outside.get(&take.shard.owner(), CALL).await.ok().flatten()),
    }
}
