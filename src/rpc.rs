//! JSON-RPC for peers and operators: a client, and a server that admits only calls with the secret.

use {
    crate::{
        gate::Gate,
        http::{CONNECT_TIMEOUT, PROBE_INTERVAL, PROBE_RETRIES, SECRET},
    },
    jsonrpsee::{
        RpcModule,
        http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder},
        server::{HttpBody, HttpRequest, HttpResponse, Server, ServerHandle},
    },
    std::{
        error,
        future::Future,
        net::{SocketAddr, TcpListener},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tower::{Layer, Service},
};

/// The largest message in bytes: a text of one megabyte with JSON escapes.
const MESSAGE_MAX: u32 = 8 << 20;

type Failure = Box<dyn error::Error + Send + Sync>;

/// Starts a server for a module.
pub async fn serve(
    listener: TcpListener,
    gate: Gate,
    module: RpcModule<impl Send + Sync + 'static>,
) -> Result<ServerHandle, std::io::Error> {
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MESSAGE_MAX)
        .max_response_body_size(MESSAGE_MAX)
        .max_connections(2048)
        .build();
    let builder = Server::builder()
        .set_config(config)
        .set_http_middleware(tower::ServiceBuilder::new().layer(Guard { gate }));
    Ok(builder.build_from_tcp(listener)?.start(module))
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
        .max_request_size(MESSAGE_MAX)
        .max_response_size(MESSAGE_MAX);
    Ok(builder.build(format!("http://{addr}"))?)
}

#[derive(Clone)]
struct Guard {
    gate: Gate,
}

#[derive(Clone)]
struct Guarded<S> {
    gate: Gate,
    inner: S,
}

impl<S> Layer<S> for Guard {
    type Service = Guarded<S>;

    fn layer(&self, inner: S) -> Guarded<S> {
        Guarded { gate: self.gate.clone(), inner }
    }
}

impl<S, B> Service<HttpRequest<B>> for Guarded<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse, Error = Failure>,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = Failure;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, Failure>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Failure>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: HttpRequest<B>) -> Self::Future {
        if self.gate.admits(request.headers()) {
            return Box::pin(self.inner.call(request));
        }
        self.gate.refused();
        let mut response = HttpResponse::new(HttpBody::from("the key does not match\n"));
        *response.status_mut() = hyper::StatusCode::UNAUTHORIZED;
        Box::pin(std::future::ready(Ok(response)))
    }
}
