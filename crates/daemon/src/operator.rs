//! HTTP endpoint for operators: queries, changes, status, health probes and metrics.

mod apply;
mod decisions;
mod limits;
mod query;
mod status;
mod tables;
pub mod wire;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_core::random::SeededRandom;
use ponddrift_core::{ChangeId, MachineId};
use ponddrift_http::{Body, Handler, Problem, ProblemKind, body};
use ponddrift_platform::store::KeyValueStore;
use rand::Rng;
use xtra::Address;

use crate::actors::ActorStopped;
use crate::actors::configuration::ConfigurationActor;
use crate::actors::peer::PeerActor;
use crate::gateway::{GatewayContext, metrics_page, plain_text, readiness};
use crate::peer::client::PeerClient;

/// Path for queries.
pub const QUERY_PATH: &str = "/v1/query";
/// Path for configuration changes.
pub const APPLY_PATH: &str = "/v1/apply";
/// Path for the status of this daemon.
pub const STATUS_PATH: &str = "/v1/status";
/// Header that names the operator.
pub const OPERATOR_HEADER: &str = "x-operator";

/// Liveness probe: answers 200 while the process runs.
const HEALTH_PATH: &str = "/healthz";
/// Readiness probe: answers 200 while the daemon accepts requests.
const READINESS_PATH: &str = "/readyz";
/// Metrics in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";

/// Dependencies of the statement handlers.
pub(crate) struct OperatorContext {
    pub(crate) gateway: Arc<GatewayContext>,
    pub(crate) own: MachineId,
    pub(crate) peers: Address<PeerActor>,
    pub(crate) peer_client: PeerClient,
    pub(crate) configuration: Address<ConfigurationActor>,
    pub(crate) store: Arc<dyn KeyValueStore>,
    /// Generates change ids and backoff jitter.
    pub(crate) random: Mutex<SeededRandom>,
    pub(crate) status: status::StaticStatus,
}

impl OperatorContext {
    fn new_change_id(&self) -> ChangeId {
        let high = u128::from(self.random_number());
        ChangeId(high << 64 | u128::from(self.random_number()))
    }

    fn random_number(&self) -> u64 {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.next_u64()
    }
}

pub(crate) use status::StaticStatus;

/// The operator endpoint. It accepts connections before the components it queries have started.
#[derive(Clone)]
pub(crate) struct OperatorEndpoint {
    context: Arc<OnceLock<Arc<OperatorContext>>>,
    limits: limits::Limits,
}

impl OperatorEndpoint {
    pub(crate) fn new() -> Self {
        Self {
            context: Arc::new(OnceLock::new()),
            limits: limits::Limits::new(),
        }
    }

    /// Starts answering statements. Must be called once.
    pub(crate) fn open(&self, context: OperatorContext) {
        // Fails only if `open` is called a second time.
        let _opened = self.context.set(Arc::new(context));
    }
}

impl Handler for OperatorEndpoint {
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let endpoint = self.clone();
        Box::pin(async move {
            let method = request.method().clone();
            let path = request.uri().path().to_owned();
            let Some(context) = endpoint.context.get().cloned() else {
                return starting(&path);
            };
            if let Some(response) = probe_response(&context, &path) {
                return response;
            }
            let answer = endpoint.answer(context, request).await;
            let response = answer.unwrap_or_else(Problem::into_response);
            tracing::info!(
                %peer, %method, path, status = response.status().as_u16(), "operator request answered"
            );
            response
        })
    }
}

impl OperatorEndpoint {
    async fn answer(
        &self,
        context: Arc<OperatorContext>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        match (request.uri().path(), request.method()) {
            (QUERY_PATH, &Method::POST) => {
                let _permit = self.limits.try_acquire()?;
                let statement = limits::read_statement(request.into_body()).await?;
                let answer = query::answer(&context, &statement).await?;
                Ok(body::json_response(StatusCode::OK, &answer))
            }
            (APPLY_PATH, &Method::POST) => {
                let permit = self.limits.try_acquire()?;
                apply::answer(&context, request, permit).await
            }
            (STATUS_PATH, &Method::GET) => {
                let answer = status::answer(&context).await?;
                Ok(body::json_response(StatusCode::OK, &answer))
            }
            (QUERY_PATH | APPLY_PATH, _) => Err(Problem::not_started(
                ProblemKind::MethodNotAllowed,
                "send the statement as the body of a POST",
            )),
            (STATUS_PATH, _) => Err(Problem::not_started(
                ProblemKind::MethodNotAllowed,
                "read the status with GET",
            )),
            _ => Err(Problem::not_started(
                ProblemKind::NotFound,
                "use POST /v1/query, POST /v1/apply, GET /v1/status, /healthz, /readyz or /metrics",
            )),
        }
    }
}

fn starting(path: &str) -> Response<Body> {
    if path == HEALTH_PATH {
        return plain_text(StatusCode::OK, "ok\n");
    }
    Problem::not_started(
        ProblemKind::Unavailable,
        "this daemon is starting; retry in a second",
    )
    .retry_after(limits::RETRY_AFTER)
    .into_response()
}

fn probe_response(context: &OperatorContext, path: &str) -> Option<Response<Body>> {
    match path {
        HEALTH_PATH => Some(plain_text(StatusCode::OK, "ok\n")),
        READINESS_PATH => Some(readiness(&context.gateway)),
        METRICS_PATH => Some(metrics_page(&context.gateway)),
        _ => None,
    }
}

fn actor_stopped_problem(stopped: ActorStopped) -> Problem {
    Problem::not_started(ProblemKind::Unavailable, stopped.to_string())
        .retry_after(limits::RETRY_AFTER)
}
