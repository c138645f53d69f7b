//! HTTP listeners for callers and for status checks (readiness and metrics).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_http::{Body, Handler, Server, ServerSettings, body};
use ponddrift_runtime::Runtime;

use crate::metrics::Metrics;
use crate::pipeline::{CallerHandler, Pipeline};

/// Time limit of the HTTP library for a head and the idle time before it. The limits of the
/// configuration are checked apart; longer ones have no effect.
const READ_TIMEOUT: Duration = Duration::from_secs(600);
/// Connections of status checks at a time.
const MAX_STATUS_CONNECTIONS: usize = 64;
/// How long callers have to close their connections when the daemon stops.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(800);
/// Path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves callers at `address`.
///
/// # Errors
/// If the address cannot be bound.
pub async fn serve_callers(
    runtime: &Runtime,
    address: SocketAddr,
    pipeline: &Arc<Pipeline>,
) -> io::Result<Server> {
    let settings = ServerSettings {
        header_time_limit: READ_TIMEOUT,
        shutdown_grace: SHUTDOWN_GRACE,
        connections: pipeline.limits().connections,
        memory: Some(pipeline.memory().clone()),
        ..ServerSettings::default()
    };
    let handler = Arc::new(CallerHandler(Arc::clone(pipeline)));
    Server::start(runtime, address, settings, handler).await
}

/// Serves the readiness check and the metrics at `address`.
///
/// # Errors
/// If the address cannot be bound.
pub async fn serve_status(
    runtime: &Runtime,
    address: SocketAddr,
    pipeline: &Arc<Pipeline>,
    metrics: &Arc<Metrics>,
) -> io::Result<Server> {
    let handler = Arc::new(StatusHandler {
        pipeline: Arc::clone(pipeline),
        metrics: Arc::clone(metrics),
    });
    let settings = ServerSettings {
        header_time_limit: READ_TIMEOUT,
        shutdown_grace: Duration::ZERO,
        connections: MAX_STATUS_CONNECTIONS,
        memory: Some(pipeline.memory().clone()),
        ..ServerSettings::default()
    };
    Server::start(runtime, address, settings, handler).await
}

struct StatusHandler {
    pipeline: Arc<Pipeline>,
    metrics: Arc<Metrics>,
}

impl Handler for StatusHandler {
    fn handle(
        &self,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let response = if request.uri().path() == METRICS_PATH {
            Response::new(body::full(self.metrics.text()))
        } else {
            self.readiness()
        };
        Box::pin(std::future::ready(response))
    }
}

impl StatusHandler {
    fn readiness(&self) -> Response<Body> {
        let mut response = Response::new(body::empty());
        if !self.pipeline.is_ready() {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}
