//! The HTTP gateway: completions, plain services, health probes and the metrics page.

mod attempt;
mod caller;
mod claim;
mod completions;
mod compose;
mod dispatch;
mod driver;
mod events;
mod permit;
mod placement;
mod plain;
mod plain_attempt;
mod send_guard;
mod stream;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures::future::BoxFuture;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_core::claims::{ClaimMember, ShardMap};
use ponddrift_core::configuration::Configuration;
use ponddrift_core::decision::DecisionKind;
use ponddrift_core::demand::DemandCounter;
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_core::{ModelName, RequestId, Timestamp};
use ponddrift_engine::completions::CompletionsClient;
use ponddrift_engine::wire::completions::{CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH};
use ponddrift_engine::wire::headers;
use ponddrift_http::{Body, Client, Handler, Problem, ProblemKind, body};
use ponddrift_runtime::Runtime;
use ponddrift_runtime::watch;
use rand::Rng;
use xtra::Address;

use crate::actors::admission::AdmissionActor;
use crate::actors::routing::RoutingActor;
use crate::decisions::DecisionLog;
use crate::fleet::FleetReceiver;
use crate::metrics::Metrics;
use crate::peer::client::PeerClient;
use crate::peer::view::MembersView;
use crate::requests::RequestRegister;
use crate::settings::Settings;

/// Path prefix of plain services; the full path is `/services/<name>/<path at the back end>`.
const SERVICES_PREFIX: &str = "/services/";
/// Liveness probe: always answers 200 while the process runs.
const HEALTH_PATH: &str = "/healthz";
/// Readiness probe: answers 200 while the daemon accepts requests, otherwise 503.
const READINESS_PATH: &str = "/readyz";

/// Serves the metrics in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";

/// Dependencies for claiming idempotency keys.
pub(crate) struct ClaimDependencies {
    pub(crate) own: ClaimMember,
    pub(crate) shard_map: watch::Receiver<Arc<ShardMap>>,
    pub(crate) members: watch::Receiver<Arc<MembersView>>,
    pub(crate) client: PeerClient,
}

/// State and dependencies shared by all request handlers.
pub(crate) struct GatewayContext {
    pub(crate) runtime: Runtime,
    pub(crate) settings: Settings,
    pub(crate) client: Client,
    pub(crate) completions: CompletionsClient,
    pub(crate) fleet: FleetReceiver,
    pub(crate) configuration: watch::Receiver<Arc<Configuration>>,
    pub(crate) routing: Address<RoutingActor>,
    /// Admission control for completions.
    pub(crate) completion_admission: Address<AdmissionActor>,
    /// Admission control for plain services. It is separate so that plain requests do not queue
    /// behind completions.
    pub(crate) plain_admission: Address<AdmissionActor>,
    /// Whether this daemon has caught up with its peers, so that routing may begin.
    pub(crate) caught_up: watch::Receiver<bool>,
    pub(crate) random: Mutex<SeededRandom>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) decisions: DecisionLog,
    pub(crate) claims: ClaimDependencies,
    /// Demand counted since the last report to the controllers.
    pub(crate) demand: Arc<Mutex<DemandCounter>>,
    pub(crate) requests: RequestRegister,
    /// Whether a graceful shutdown has begun.
    pub(crate) stopping: watch::Sender<bool>,
}

impl GatewayContext {
    /// Creates the random generator for request ids, seeded from the runtime.
    pub(crate) fn random(runtime: &Runtime) -> Mutex<SeededRandom> {
        Mutex::new(seeded(runtime.seed, "gateway"))
    }

    /// Marks the daemon as stopping; from now on the readiness probe fails.
    pub(crate) fn begin_stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Adds a request to the demand reported to the role planners. Requests that admission refuses
    /// count too.
    fn count_demand(
        &self,
        model: &ModelName,
        priority: u8,
        prompt_tokens: u32,
        output_tokens: u32,
    ) {
        let mut demand = self
            .demand
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        demand.count(model, priority, prompt_tokens, output_tokens);
    }

    /// Whether the daemon accepts requests: it has a configuration, has caught up with its peers
    /// and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        let has_configuration = self.configuration.borrow().revision.0 > 0;
        has_configuration && *self.caught_up.borrow() && !*self.stopping.borrow()
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.runtime.clock.now()
    }

    fn new_request_id(&self) -> RequestId {
        let mut random = self
            .random
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let high = u128::from(random.next_u64());
        RequestId(high << 64 | u128::from(random.next_u64()))
    }
}

/// HTTP handler for client requests.
pub(crate) struct Gateway {
    context: Arc<GatewayContext>,
}

impl Gateway {
    pub(crate) fn new(context: Arc<GatewayContext>) -> Self {
        Self { context }
    }
}

impl Handler for Gateway {
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        let context = Arc::clone(&self.context);
        Box::pin(async move {
            let request_id = context.new_request_id();
            let arrived = context.now();
            let method = request.method().clone();
            let path = request.uri().path().to_owned();
            if let Some(response) = probe_answer(&context, &path) {
                return response;
            }
            let answer = answer(&context, request, request_id).await;
            let mut response = answer.unwrap_or_else(|problem| {
                tracing::info!(
                    %request_id, kind = ?problem.kind, execution = ?problem.execution,
                    detail = problem.detail, "request refused"
                );
                context.metrics.request_refused(problem.kind);
                let subject = format!("{request_id} {path}");
                let outcome = problem.title.clone();
                let reason = problem.detail.clone();
                context
                    .decisions
                    .record(DecisionKind::Refusal, subject, outcome, reason);
                problem.for_request(request_id).into_response()
            });
            set_request_id_header(&mut response, request_id);
            let elapsed = context.now().since(arrived);
            context.metrics.request_answered(response.status(), elapsed);
            tracing::info!(
                %request_id, %peer, %method, path, status = response.status().as_u16(),
                "request answered"
            );
            response
        })
    }
}

/// Answers health, readiness and metrics requests, which are not logged.
fn probe_answer(context: &GatewayContext, path: &str) -> Option<Response<Body>> {
    match path {
        HEALTH_PATH => Some(plain_text(StatusCode::OK, "ok\n")),
        READINESS_PATH => Some(readiness(context)),
        METRICS_PATH => Some(metrics_page(context)),
        _ => None,
    }
}

fn set_request_id_header(response: &mut Response<Body>, request_id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&request_id.to_string()) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
}

async fn answer(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
    request_id: RequestId,
) -> Result<Response<Body>, Problem> {
    let path = request.uri().path();
    match path {
        COMPLETIONS_PATH | CHAT_COMPLETIONS_PATH if request.method() == Method::POST => {
            completions::answer(context, request, request_id).await
        }
        COMPLETIONS_PATH | CHAT_COMPLETIONS_PATH => Err(Problem::not_started(
            ProblemKind::MethodNotAllowed,
            "send completions with POST",
        )),
        _ if path.starts_with(SERVICES_PREFIX) => plain::answer(context, request, request_id).await,
        _ => Err(Problem::not_started(
            ProblemKind::NotFound,
            "use /v1/completions, /v1/chat/completions or /services/<name>/…",
        )),
    }
}

pub(crate) fn readiness(context: &GatewayContext) -> Response<Body> {
    if *context.stopping.borrow() {
        return plain_text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    if context.is_ready() {
        return plain_text(StatusCode::OK, "ready\n");
    }
    plain_text(
        StatusCode::SERVICE_UNAVAILABLE,
        "no configuration, or no reading of the back ends yet\n",
    )
}

pub(crate) fn metrics_page(context: &GatewayContext) -> Response<Body> {
    Response::new(body::full(context.metrics.page()))
}

pub(crate) fn plain_text(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(body::full(text));
    *response.status_mut() = status;
    response
}
