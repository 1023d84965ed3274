//! JSON-RPC for peers and operators: a client, and a server that admits only calls with the secret.

use {
    crate::{
        connections::SharedLimits,
        error::{Error, Kind},
        gate::Gate,
        http::{CONNECT_TIMEOUT, PROBE_INTERVAL, PROBE_RETRIES, SECRET, error_response},
        server::{Limits, Server},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, http::request::Parts},
    jsonrpsee::{
        Methods, RpcModule,
        http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder},
        server::{Server as RpcServer, ServerConfig, TowerService, stop_channel},
    },
    std::{
        error,
        future::Future,
        io,
        net::{SocketAddr, TcpListener},
        time::Duration,
    },
    tower::{Service, layer::util::Identity},
};

/// The largest message in bytes: a text of one megabyte with JSON escapes.
const MAX_MESSAGE: u32 = 8 << 20;

/// How long a member may take for the head of a call, and for its body. Idle connections are closed
/// after it; clients keep them for 90 s, so that the server never closes one that they are about to use.
const READ_TIMEOUT: Duration = Duration::from_secs(120);

type Failure = Box<dyn error::Error + Send + Sync>;

/// Serves the calls of a module until `stop` completes.
///
/// Only a call whose head shows the secret has its body read: others could fill the memory.
pub(crate) async fn serve(
    listener: TcpListener,
    name: &'static str,
    gate: Gate,
    module: RpcModule<impl Send + Sync + 'static>,
    limits: Limits,
    stop: impl Future<Output = ()> + Send,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let metrics = Some(gate.metrics().clone());
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
        .max_connections(u32::MAX)
        .http_only()
        .build();
    // The handle keeps the service from stopping; `stop` ends the server.
    let (stop_handle, _handle) = stop_channel();
    let builder = RpcServer::builder().set_config(config).to_service_builder();
    let service = builder.build(Methods::from(module), stop_handle);
    let handle = move |head, body: Result<Bytes, Error>| {
        let service = service.clone();
        async move {
            match body {
                Ok(body) => call(service, Request::from_parts(head, Full::new(body))).await,
                Err(e) => error_response(&e),
            }
        }
    };
    let admit = move |head: &Parts| {
        if gate.admits(&head.headers) {
            return Ok(limits.body);
        }
        gate.refused();
        Err(Kind::Unauthorized.into())
    };
    Server { listener, name, limits, metrics }.run(stop, admit, handle).await;
    Ok(())
}

/// The limits of a server for calls between members, and of operators.
pub(crate) fn limits(connections: usize, held: usize, receive_buffer: usize) -> Limits {
    Limits {
        receive_buffer: Some(receive_buffer),
        shared: SharedLimits::new(connections, held),
        ..Limits::new(MAX_MESSAGE as usize, connections, READ_TIMEOUT)
    }
}

async fn call(
    mut service: TowerService<Identity, Identity>,
    request: Request<Full<Bytes>>,
) -> Response<Full<Bytes>> {
    let failed = || error_response(&Kind::Peer.into());
    let Ok(response) = service.call(request).await else { return failed() };
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => Response::from_parts(head, Full::new(body.to_bytes())),
        Err(_) => failed(),
    }
}

/// Creates a client of the server at `addr`. It closes an idle connection on which keepalive probes
/// are not answered.
pub fn client(addr: SocketAddr, secret: &str, limit: Duration) -> Result<HttpClient, Failure> {
    let mut headers = HeaderMap::new();
    headers.insert(SECRET, HeaderValue::from_str(secret)?);
    let builder = HttpClientBuilder::default()
        .set_headers(headers)
        .request_timeout(limit)
        .connect_timeout(CONNECT_TIMEOUT)
        .set_keep_alive(Some(PROBE_INTERVAL))
        .set_keep_alive_interval(Some(PROBE_INTERVAL))
        .set_keep_alive_retries(Some(PROBE_RETRIES))
        .max_request_size(MAX_MESSAGE)
        .max_response_size(MAX_MESSAGE);
    Ok(builder.build(format!("http://{addr}"))?)
}
