//! A duty on a site: waves of upkeep, driven by the owner of the first shard.

use {
    crate::{
        common::Common,
        control::{Peers, held_here},
        decisions::Told,
        ids::{Incarnation, WorkerId},
        ports::StoreCall,
        shard::{Held, Need, record::ShardNo},
        store::{CALL, Outside},
        upkeep::{Event, LEDGER, Order, Setup, Upkeep},
    },
    async_channel::Sender,
    std::{collections::BTreeMap, future::pending, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The shard whose owner drives the waves.
pub(crate) const HOLDER: ShardNo = ShardNo(0);
/// How often time is let pass while a wave is under way.
const TICK: Duration = Duration::from_millis(50);
/// How long the list of VMs may take, and an order.
const VMS: Duration = Duration::from_millis(800);
/// How long an owner may take to say what is at its workers.
const ASKED: Duration = Duration::from_millis(400);
/// How many answers may wait to be taken in.
const NEWS: usize = 256;

/// The duty: what it reaches.
#[derive(Clone)]
pub(crate) struct Keeper {
    /// What the duties share.
    pub common: Arc<Common>,
    /// The store and the VMs.
    pub outside: Outside,
    /// Other owners.
    pub peers: Peers,
    /// This member's own shards.
    pub told: Sender<Told>,
}

impl Keeper {
    /// Drives the waves with a token until it is dropped.
    pub async fn keep(self, token: u64) {
        let (common, site) = (&self.common, self.common.site.borrow().clone());
        let told = common.forms.told_wave;
        let (holder, fleet, unix) = (site.node.clone(), site.fleet, common.unix);
        let mut upkeep = Upkeep::new(Setup { holder, token, fleet, unix, told });
        let (tell, news) = async_channel::bounded(NEWS);
        let mut waves = common.waves.subscribe();
        waves.mark_changed();
        let mut config = common.config.subscribe();
        config.mark_changed();
        while !upkeep.over() {
            let event = tokio::select! {
                Ok(()) = waves.changed() => {
                    let all = waves.borrow_and_update().values().cloned().collect();
                    let closed = !common.view.borrow().closing.turns.is_empty();
                    Event::Waves(all, closed)
                }
                Ok(()) = config.changed() => {
                    let config = config.borrow_and_update().clone();
                    let pools = config.iter().flat_map(|c| &c.queues.pools);
                    Event::Pools(pools.filter(|p| p.standby).map(|p| p.name.clone()).collect())
                }
                Ok(event) = news.recv() => event,
                () = sleep(TICK), if upkeep.busy() => Event::Tick,
            };
            for order in upkeep.on(event, common.now()) {
                let (this, tell) = (self.clone(), tell.clone());
                tokio::spawn(async move {
                    let event = this.carry(order).await;
                    let _ = tell.send(event).await;
                });
            }
        }
        pending().await
    }

    async fn carry(&self, order: Order) -> Event {
        let sent = self.common.now();
        match order {
            Order::Read => Event::Read(self.outside.get(LEDGER, CALL).await),
            Order::Store(number, txn) => {
                Event::Stored(number, self.outside.store(&StoreCall::Txn(txn), CALL).await)
            }
            Order::List => Event::Listed(sent, self.outside.vms(VMS).await),
            Order::Ask(workers) => {
                let (held, needs) = self.held(workers).await;
                Event::Held(sent, held, needs)
            }
            Order::Call(call) => {
                let reply = self.outside.vm(&call, VMS).await;
                Event::Answered(call, reply)
            }
        }
    }

    /// What is at these workers, and how long work waits, as far as owners say.
    async fn held(&self, workers: Vec<WorkerId>) -> (Vec<Held>, Vec<Need>) {
        let view = self.common.view.borrow().clone();
        let mut asked: BTreeMap<(Incarnation, SocketAddr), Vec<ShardNo>> = BTreeMap::new();
        for shard in (0..view.shards()).map(ShardNo) {
            if let Some(owner) = view.owner(shard) {
                asked.entry(owner).or_default().push(shard);
            }
        }
        let (mut held, mut needs) = (vec![], vec![]);
        for ((owner, addr), shards) in asked {
            let said = if owner == self.common.me {
                held_here(&self.told, workers.clone().into(), shards.into()).await
            } else {
                self.peers.held(addr, &workers, &shards, ASKED).await
            };
            let said = said.unwrap_or_default();
            held.extend(said.0);
            needs.extend(said.1);
        }
        (held, needs)
    }
}
