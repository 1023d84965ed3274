//! Drives the maintenance waves (`upkeep`) of a site; runs at the owner of the first shard.
//!
//! Passes the ordered waves, the list of VMs and the tasks on the workers to the state machine
//! [`Upkeep`], and carries out its orders.

use {
    crate::{
        ids::{Incarnation, WorkerId},
        member_rpc::{PeerClients, local_held_tasks},
        ports::StoreCall,
        service_clients::{CALL_TIMEOUT, ServiceClients},
        shard::{Occupancy, PoolWait, record::ShardNo},
        shard_runner::ShardInput,
        shared_state::SharedState,
        upkeep::{LEDGER_KEY, Upkeep, UpkeepEvent, UpkeepRequest, UpkeepSetup},
    },
    async_channel::Sender,
    std::{collections::BTreeMap, future::pending, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// The shard whose owner drives the maintenance waves.
pub(crate) const WAVE_SHARD: ShardNo = ShardNo(0);
/// Interval of the state machine's ticks during a maintenance wave.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time-out of reading the list of VMs and of a call for one VM.
const VM_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit of the call that asks another owner what runs on its workers.
const OWNER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum length of the queue of answers.
const ANSWER_QUEUE_LEN: usize = 256;

/// Drives maintenance waves by means of the store, the VM service and the other owners.
#[derive(Clone)]
pub(crate) struct WaveDriver {
    /// The state that the threads of this member share.
    pub common: Arc<SharedState>,
    /// Clients of the store and the VM service.
    pub services: ServiceClients,
    /// Clients of the other owners.
    pub peers: PeerClients,
    /// Sends queries to this member's own shards.
    pub shard_inputs: Sender<ShardInput>,
}

impl WaveDriver {
    /// Drives the waves, using this token of the shard, until the future is dropped.
    pub async fn drive(self, token: u64) {
        let (common, site) = (&self.common, self.common.site.borrow().clone());
        let told = common.codec.encode_wave;
        let (holder, fleet, unix) = (site.node.clone(), site.vm_limits, common.start_unix_ms);
        let mut upkeep = Upkeep::new(UpkeepSetup {
            holder,
            token,
            limits: fleet,
            unix_ms: unix,
            encode_state: told,
        });
        let (sender, events) = async_channel::bounded(ANSWER_QUEUE_LEN);
        let mut waves = common.waves.subscribe();
        waves.mark_changed();
        let mut config = common.config.subscribe();
        config.mark_changed();
        while !upkeep.is_deposed() {
            let event = tokio::select! {
                Ok(()) = waves.changed() => {
                    let all = waves.borrow_and_update().values().cloned().collect();
                    let closed = !common.view.borrow().closing.turns.is_empty();
                    UpkeepEvent::Waves(all, closed)
                }
                Ok(()) = config.changed() => {
                    let config = config.borrow_and_update().clone();
                    let pools = config.iter().flat_map(|c| &c.queues.pools);
                    UpkeepEvent::Pools(pools.filter(|p| p.standby).map(|p| p.name.clone()).collect())
                }
                Ok(event) = events.recv() => event,
                () = sleep(TICK_INTERVAL), if upkeep.has_work() => UpkeepEvent::Tick,
            };
            for order in upkeep.handle_event(event, common.now()) {
                let (this, sender) = (self.clone(), sender.clone());
                tokio::spawn(async move {
                    let event = this.execute_order(order).await;
                    let _ = sender.send(event).await;
                });
            }
        }
        pending().await
    }

    async fn execute_order(&self, order: UpkeepRequest) -> UpkeepEvent {
        let sent = self.common.now();
        match order {
            UpkeepRequest::ReadLedger => {
                UpkeepEvent::LedgerRead(self.services.get(LEDGER_KEY, CALL_TIMEOUT).await)
            }
            UpkeepRequest::Write(number, txn) => UpkeepEvent::Written(
                number,
                self.services.call_store(&StoreCall::Txn(txn), CALL_TIMEOUT).await,
            ),
            UpkeepRequest::ListVms => {
                UpkeepEvent::VmsListed(sent, self.services.list_vms(VM_TIMEOUT).await)
            }
            UpkeepRequest::AskOwners(workers) => {
                let (held, needs) = self.collect_held(workers).await;
                UpkeepEvent::OwnersReported(sent, held, needs)
            }
            UpkeepRequest::OrderVm(call) => {
                let reply = self.services.call_vm(&call, VM_TIMEOUT).await;
                UpkeepEvent::Answered(call, reply)
            }
        }
    }

    /// Asks all owners what runs on these workers and how long tasks wait in each pool. Owners that
    /// don't answer in time are left out.
    async fn collect_held(&self, workers: Vec<WorkerId>) -> (Vec<Occupancy>, Vec<PoolWait>) {
        let view = self.common.view.borrow().clone();
        let mut shards_by_owner: BTreeMap<(Incarnation, SocketAddr), Vec<ShardNo>> =
            BTreeMap::new();
        for shard in (0..view.shard_count()).map(ShardNo) {
            if let Some(owner) = view.owner(shard) {
                shards_by_owner.entry(owner).or_default().push(shard);
            }
        }
        let (mut held, mut needs) = (vec![], vec![]);
        for ((owner, addr), shards) in shards_by_owner {
            let answer = if owner == self.common.me {
                local_held_tasks(&self.shard_inputs, workers.clone().into(), shards.into()).await
            } else {
                self.peers.held_tasks(addr, &workers, &shards, OWNER_TIMEOUT).await
            };
            let answer = answer.unwrap_or_default();
            held.extend(answer.0);
            needs.extend(answer.1);
        }
        (held, needs)
    }
}
