//! Carries out the writes of the shards that this member owns, on a thread of its own.
//!
//! A saturated owner has hundreds of calls to workers in progress. On their thread each step of a
//! write would wait for all of them, while callers wait for the ends of their jobs to be stored.

use {
    crate::{
        member_rpc::{PeerClients, relaying_clients},
        ports::{Fault, Rev, StoreCall},
        service_clients::{CALL_TIMEOUT, ServiceClients},
        shard::{
            event::{Event, Order},
            record::{self, CommitRow, ShardNo},
        },
        shard_runner::{ShardInput, ShardOutput},
        shared_state::SharedState,
    },
    async_channel::{Receiver, Sender},
    std::{io, sync::Arc},
};

/// The clients that the writes need; they belong to one thread.
#[derive(Clone)]
struct ShardWrites {
    services: ServiceClients,
    /// Sends the results of writes to the shards.
    results: Sender<ShardInput>,
    /// Sends notices of lost shards to the task that applies the table.
    notices: Sender<ShardOutput>,
}

/// Carries out writes until their channel is closed.
pub(crate) async fn run(
    common: Arc<SharedState>,
    orders: Receiver<ShardOutput>,
    results: Sender<ShardInput>,
    notices: Sender<ShardOutput>,
) -> io::Result<()> {
    let services = relaying_clients(&common, &PeerClients::new(common.clone()));
    let writes = ShardWrites { services, results, notices };
    while let Ok(out) = orders.recv().await {
        let ShardOutput::Order(shard, token, order) = out else { continue };
        let writes = writes.clone();
        tokio::spawn(async move {
            let Some(event) = writes.execute(shard, token, order).await else { return };
            let _ = writes.results.send(ShardInput::Event(shard, token, event)).await;
        });
    }
    Ok(())
}

impl ShardWrites {
    async fn execute(&self, shard: ShardNo, token: u64, order: Order) -> Option<Event> {
        match order {
            Order::Store(number, txn) => {
                let reply = self.services.call_store(&StoreCall::Txn(txn), CALL_TIMEOUT).await;
                Some(Event::Stored(number, reply))
            }
            Order::ReadCommit => match self.reread_commit_row(shard).await {
                Ok((_, row)) if row.token != token => {
                    let _ = self.notices.send(ShardOutput::Deposed(shard)).await;
                    None
                }
                read => Some(Event::CommitRead(read)),
            },
            _ => None,
        }
    }

    async fn reread_commit_row(&self, shard: ShardNo) -> Result<(Rev, CommitRow), Fault> {
        let bad = || Fault::Bad("not a commit row".into());
        let item = self.services.get(&shard.commit_key(), CALL_TIMEOUT).await?.ok_or_else(bad)?;
        let row: CommitRow =
            record::decode(item.value.as_ref().ok_or_else(bad)?).ok_or_else(bad)?;
        Ok((item.rev, row))
    }
}
