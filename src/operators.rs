//! The server for operators' calls, and the client that operators' commands use.

use {
    crate::{
        error::{Error, Kind},
        event::{Event, Inbox, OperatorCall, OperatorReply, Ticket},
        gate::Gate,
        messages::{Show, Submit, SubmitReply},
        rpc,
        server::Limits,
    },
    async_channel::Receiver,
    jsonrpsee::{
        RpcModule,
        core::client::{ClientT, Error as ClientError},
        rpc_params,
        types::ErrorObjectOwned,
    },
    rustc_hash::FxHashMap,
    std::{
        future::pending,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// The deadline of an operator's call; longer than the time that a submission may stay undecided.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
const ERROR_CODE: i32 = -32000;

type Waiting = Arc<Mutex<FxHashMap<Ticket, oneshot::Sender<OperatorReply>>>>;

/// The inputs of the server for operators.
pub(crate) struct Operators {
    /// The listener for operators.
    pub listener: TcpListener,
    /// The secret that operators must present.
    pub secret: Gate,
    /// The queue of events for the decision loop.
    pub inbox: Inbox,
    /// The answers of the decision loop.
    pub answers: Receiver<(Ticket, OperatorReply)>,
    /// The limits of each request.
    pub limits: Limits,
}

impl Operators {
    /// Serves operators until the decision loop's queue of answers is closed.
    pub async fn run(self) -> std::io::Result<()> {
        let waiting = Waiting::default();
        let asks =
            Asks { inbox: self.inbox, waiting: waiting.clone(), next: Arc::new(AtomicU64::new(1)) };
        let server = rpc::serve(
            self.listener,
            "operators",
            self.secret,
            module(asks),
            self.limits,
            pending(),
        );
        let answer = async {
            while let Ok((ticket, answer)) = self.answers.recv().await {
                let to = waiting.lock().expect("no holder panics").remove(&ticket);
                if let Some(to) = to {
                    let _ = to.send(answer);
                }
            }
        };
        tokio::select! {
            served = server => served,
            () = answer => Ok(()),
        }
    }
}

#[derive(Clone)]
struct Asks {
    inbox: Inbox,
    waiting: Waiting,
    next: Arc<AtomicU64>,
}

impl Asks {
    async fn ask(&self, ask: OperatorCall) -> Result<OperatorReply, ErrorObjectOwned> {
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let (to, from) = oneshot::channel();
        self.waiting.lock().expect("no holder panics").insert(ticket, to);
        if self.inbox.try_send(Event::Operator(ticket, ask)).is_err() {
            self.waiting.lock().expect("no holder panics").remove(&ticket);
            return Err(rpc_error(Kind::RingFull));
        }
        from.await.map_err(|_| rpc_error(Kind::OutcomeUnknown))
    }
}

fn rpc_error(kind: Kind) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(ERROR_CODE, kind.answer().label, None::<()>)
}

fn module(asks: Asks) -> RpcModule<Asks> {
    let mut module = RpcModule::new(asks);
    let submit = module.register_async_method("submit", |params, asks, _| async move {
        let ask: Submit = params.one()?;
        match asks.ask(OperatorCall::Submit(ask)).await? {
            OperatorReply::Submit(reply) => Ok(reply),
            _ => Err(rpc_error(Kind::Peer)),
        }
    });
    submit.expect("the names differ");
    let show = module.register_async_method("show", |_, asks, _| async move {
        match asks.ask(OperatorCall::Show).await? {
            OperatorReply::Show(show) => Ok(*show),
            _ => Err(rpc_error(Kind::Peer)),
        }
    });
    show.expect("the names differ");
    let drain = module.register_async_method("drain", |_, asks, _| async move {
        asks.ask(OperatorCall::Drain).await.map(|_| true)
    });
    drain.expect("the names differ");
    module
}

/// Submits a text; errs with [`Kind::OutcomeUnknown`] if no answer arrives.
pub async fn submit(at: SocketAddr, secret: &str, ask: &Submit) -> Result<SubmitReply, Error> {
    call(at, secret, "submit", rpc_params![ask]).await
}

/// Returns a member's state.
pub async fn show(at: SocketAddr, secret: &str) -> Result<Show, Error> {
    call(at, secret, "show", rpc_params![]).await
}

/// Tells a member to stop without interrupting requests.
pub async fn drain(at: SocketAddr, secret: &str) -> Result<bool, Error> {
    call(at, secret, "drain", rpc_params![]).await
}

async fn call<R: serde::de::DeserializeOwned>(
    at: SocketAddr,
    secret: &str,
    name: &str,
    params: jsonrpsee::core::params::ArrayParams,
) -> Result<R, Error> {
    let client =
        rpc::client(at, secret, CALL_TIMEOUT).map_err(|e| Error::new(Kind::Peer, e.to_string()))?;
    client.request(name, params).await.map_err(|e| match e {
        ClientError::Call(e) => match Kind::from_label(e.message()) {
            Some(kind) => kind.into(),
            None => Error::new(Kind::Peer, e.message()),
        },
        ClientError::Transport(e) if e.to_string().contains("401") => Kind::Unauthorized.into(),
        ClientError::Transport(e) if unsent(&*e) => {
            Error::new(Kind::Peer, format!("{at} cannot be reached"))
        }
        e => Error::new(Kind::OutcomeUnknown, e.to_string()),
    })
}

/// Whether a call failed before it was sent: no connection was made.
fn unsent(e: &(dyn std::error::Error + 'static)) -> bool {
    let mut at = Some(e);
    while let Some(e) = at {
        if e.downcast_ref::<std::io::Error>()
            .is_some_and(|e| e.kind() == std::io::ErrorKind::ConnectionRefused)
        {
            return true;
        }
        at = e.source();
    }
    false
}
