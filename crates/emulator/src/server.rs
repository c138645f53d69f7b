//! HTTP server of the stand-ins. Unlike the product's, it can drop a connection without an answer.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use ponddrift_http::{Body, body};
use ponddrift_runtime::{BoxedListener, BoxedStream, HyperExecutor, Runtime};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

/// Largest request body read, in bytes.
const BODY_SIZE_LIMIT: usize = 64 * 1024 * 1024;
/// Time a request body may take.
const BODY_TIME_LIMIT: Duration = Duration::from_secs(60);
/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The connection is closed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stand-in drops this connection")]
pub struct DropConnection;

/// What a handler gives: an answer, or a dropped connection.
pub type Answer = Result<Response<Body>, DropConnection>;

/// A finished answer that refuses a request; boxed, as errors are better small.
#[derive(Debug)]
pub struct Refused(Box<Response<Body>>);

impl Refused {
    /// A plain text refusal.
    #[must_use]
    pub fn new(status: StatusCode, text: &str) -> Self {
        text_response(status, text).into()
    }

    /// The answer.
    #[must_use]
    pub fn into_response(self) -> Response<Body> {
        *self.0
    }
}

impl From<Response<Body>> for Refused {
    fn from(response: Response<Body>) -> Self {
        Self(Box::new(response))
    }
}

/// Answers the requests of one stand-in.
pub trait StandIn: Send + Sync + 'static {
    /// Answers one request. Dropped when the caller goes away.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer>;
}

/// A listening stand-in; dropping it stops it.
pub struct StandInServer {
    address: SocketAddr,
    stop: CancellationToken,
}

impl StandInServer {
    /// Binds `address` and answers until dropped or stopped.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(
        runtime: &Runtime,
        address: SocketAddr,
        stand_in: Arc<impl StandIn>,
    ) -> io::Result<Self> {
        let listener = runtime.network.listen(address).await?;
        let address = listener.local_address()?;
        let stop = CancellationToken::new();
        let accepting = accept(runtime.clone(), listener, stand_in, stop.clone());
        runtime.spawner.spawn(Box::pin(accepting));
        Ok(Self { address, stop })
    }

    /// The address that was bound.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and drops every connection at once.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept(
    runtime: Runtime,
    listener: BoxedListener,
    stand_in: Arc<impl StandIn>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _peer)) => serve(&runtime, stream, Arc::clone(&stand_in), stop.clone()),
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

fn serve(
    runtime: &Runtime,
    stream: BoxedStream,
    stand_in: Arc<impl StandIn>,
    stop: CancellationToken,
) {
    let service = service_fn(move |request| Arc::clone(&stand_in).handle(request));
    let mut builder = Builder::new(HyperExecutor(Arc::clone(&runtime.spawner)));
    builder.http1().timer(TokioTimer::new());
    builder.http2().timer(TokioTimer::new());
    let connection = builder
        .serve_connection(TokioIo::new(stream), service)
        .into_owned();
    runtime.spawner.spawn(Box::pin(async move {
        tokio::select! {
            biased;
            () = stop.cancelled() => {}
            _ended = connection => {}
        }
    }));
}

/// Reads a whole request body.
///
/// # Errors
/// A finished 400 answer that says what is wrong.
pub async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, Refused> {
    body::read_all(request.into_body(), BODY_SIZE_LIMIT, BODY_TIME_LIMIT)
        .await
        .map_err(|error| Refused::new(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Reads a request body as JSON.
///
/// # Errors
/// A finished 400 answer that says what is wrong.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Refused> {
    let bytes = read_bytes(request).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Refused::new(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// A plain text answer.
#[must_use]
pub fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    let mut response = Response::new(body::full(text.to_owned()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// A JSON answer with status 200.
#[must_use]
pub fn json_ok<T: Serialize>(value: &T) -> Response<Body> {
    body::json_response(StatusCode::OK, value)
}

/// The answer for a path that a stand-in does not have.
#[must_use]
pub fn not_found(path: &str) -> Response<Body> {
    let text = format!("this stand-in has nothing at {path}: see `ponddrift-emulator --help`");
    text_response(StatusCode::NOT_FOUND, &text)
}
