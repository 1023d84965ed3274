//! Open connections between members that carry no more data, while new ones work.

use {
    dogwoodreach::rpc_clients::{CallFailure, RpcClients},
    jsonrpsee::{
        RpcModule,
        server::{Server, ServerHandle},
    },
    standin::link::{Link, Mode},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpSocket, runtime::Builder},
};

/// Limit of a call that may take as long as it needs.
const LONG: Duration = Duration::from_secs(10);
/// Limit of a call on a connection that is known to be silent.
const SHORT: Duration = Duration::from_millis(200);

/// A member that answers calls, behind a link.
struct Peer {
    link: Link,
    addr: SocketAddr,
    _server: ServerHandle,
}

impl Peer {
    async fn start() -> Self {
        let mut module = RpcModule::new(());
        module.register_method("ping", |_, (), _| true).expect("a new method");
        let server = Server::builder().build("127.0.0.1:0").await.expect("a port");
        let link = Link::new(server.local_addr().expect("an address"));
        let addr = link.listen().await.expect("a port");
        Peer { link, addr, _server: server.start(module) }
    }
}

async fn ping(
    clients: &RpcClients,
    addr: SocketAddr,
    limit: Duration,
) -> Result<bool, CallFailure> {
    clients.call(addr, "secret", "ping", &(), limit).await
}

fn run(test: impl Future<Output = ()>) {
    Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(test);
}

// Guards against a call that fails at one member after the other: the connections to all of them
// had gone silent at once, and each was found out only by a call that ran into its limit.
#[test]
fn one_silent_connection_costs_one_call_and_not_one_for_each_member() {
    run(async {
        let mut peers = vec![];
        for _ in 0..3 {
            peers.push(Peer::start().await);
        }
        let clients = RpcClients::default();
        for peer in &peers {
            assert_eq!(ping(&clients, peer.addr, LONG).await, Ok(true));
        }
        peers.iter().for_each(|p| p.link.set(Mode::Silent));
        assert_eq!(ping(&clients, peers[0].addr, SHORT).await, Err(CallFailure::Timeout));
        for peer in &peers {
            assert_eq!(ping(&clients, peer.addr, LONG).await, Ok(true));
        }
    });
}

// Guards against connections that are closed because a member of an earlier version does not know a
// method, and because a frequent call of little importance runs into its short limit.
#[test]
fn refused_and_unimportant_calls_close_no_connections_that_work() {
    run(async {
        let peers = [Peer::start().await, Peer::start().await];
        let clients = RpcClients::default();
        for peer in &peers {
            assert_eq!(ping(&clients, peer.addr, LONG).await, Ok(true));
        }
        let addr = peers[0].addr;
        let refused = clients.call::<_, ()>(addr, "secret", "unknown", &(), LONG).await;
        assert_eq!(refused, Err(CallFailure::Refused));
        // A client that is kept waits on its silent connection; a new one would get an answer.
        peers[0].link.set(Mode::Silent);
        let silent = clients.notify::<_, bool>(addr, "secret", "ping", &(), SHORT).await;
        assert_eq!(silent, Err(CallFailure::Timeout));
        peers[1].link.set(Mode::Silent);
        assert_eq!(ping(&clients, peers[1].addr, SHORT).await, Err(CallFailure::Timeout));
    });
}

// Guards against a call that waits for its whole limit at a member that lost its power, whose
// address takes no connections and refuses none.
#[test]
fn a_member_that_takes_no_connections_is_told_before_the_limit() {
    run(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(1).expect("a listener");
        let addr = listener.local_addr().expect("an address");
        // The connections that the full queue of the listener still takes.
        let mut queued = vec![];
        while let Ok(Ok(stream)) =
            tokio::time::timeout(SHORT, tokio::net::TcpStream::connect(addr)).await
        {
            queued.push(stream);
        }
        let clients = RpcClients::default();
        assert_eq!(ping(&clients, addr, LONG).await, Err(CallFailure::Failed));
    });
}
