//! Listens: callers, and whoever asks whether this daemon is ready or what its figures are.

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

/// A caller's connection is not closed for resting: a request on its way at that moment would be lost.
const REST_LIMIT: Duration = Duration::from_secs(120);
/// Time callers of a stopping daemon have to close their connections.
const CLOSE_NOTICE: Duration = Duration::from_millis(800);
/// Path of the figures.
const METRICS_PATH: &str = "/metrics";

/// Serves callers at `address`.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve_callers(
    runtime: &Runtime,
    address: SocketAddr,
    pipeline: &Arc<Pipeline>,
) -> io::Result<Server> {
    let settings = ServerSettings {
        header_time_limit: REST_LIMIT,
        close_notice: CLOSE_NOTICE,
        ..ServerSettings::default()
    };
    let handler = Arc::new(CallerHandler(Arc::clone(pipeline)));
    Server::start(runtime, address, settings, handler).await
}

/// Answers at `address` whether the daemon is ready, and its figures.
///
/// # Errors
/// When the address cannot be bound.
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
        header_time_limit: REST_LIMIT,
        close_notice: Duration::ZERO,
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
