//! Load generation: callers that send requests throughout the run and record the outcomes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ponddrift_platform_stand_ins::{
    Answer, BrokenStream, ClientRequest, ClientStandIn, PersistentConnection,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout};

use crate::platform::CRASH_MARKER;

/// Time that a caller waits after the deadline before it counts the request as unanswered.
const ANSWER_GRACE: Duration = Duration::from_millis(1_500);
/// Pause between two attempts of a request that crashes engines.
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// Route of streams that may be taken up.
const RESUMABLE_ROUTE: &str = "tag";
/// Pause between two requests of the same caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request.
    pub request: ClientRequest,
    /// Address of the daemon that the request was sent to.
    pub daemon: SocketAddr,
    /// When the request was sent.
    pub at: Instant,
    /// When the caller got the answer or stopped waiting.
    pub ended: Instant,
    /// The answer; `None` if the connection was closed or no answer arrived.
    pub answer: Option<Answer>,
    /// Whether the caller abandoned the request early, on purpose.
    pub abandoned: bool,
}

/// State shared by the callers: the daemons to use and the recorded requests.
#[derive(Default)]
pub struct CallerState {
    /// Addresses of the daemons that are ready.
    pub targets: Mutex<Vec<SocketAddr>>,
    /// Every finished request.
    pub requests: Mutex<Vec<RequestRecord>>,
}

impl CallerState {
    fn random_target(&self, random: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let targets = self.targets.lock().expect("the lock is not poisoned");
        targets.choose(random).copied()
    }

    fn record(&self, request: RequestRecord) {
        self.requests
            .lock()
            .expect("the lock is not poisoned")
            .push(request);
    }
}

/// Runs a caller until `end`.
///
/// Callers with an odd number keep a connection and reuse it as long as it is open, also while the
/// daemon is shutting down.
pub async fn run_caller(
    client: ClientStandIn,
    state: Arc<CallerState>,
    number: u64,
    seed: u64,
    end: Instant,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ (number + 1));
    let mut count = 0_u64;
    let keeps_connections = number % 2 == 1;
    let mut kept_connection: Option<PersistentConnection> = None;
    let mut broken_stream: Option<RequestRecord> = None;
    while Instant::now() < end {
        sleep(REQUEST_INTERVAL).await;
        let is_open = match &mut kept_connection {
            Some(connection) => connection.is_open().await,
            None => false,
        };
        if !is_open {
            kept_connection = None;
        }
        let next = kept_connection.as_ref().map(PersistentConnection::target);
        let Some(daemon) = next.or_else(|| state.random_target(&mut random)) else {
            continue;
        };
        if keeps_connections && kept_connection.is_none() {
            kept_connection = client.connect(daemon).await;
        }
        count += 1;
        let id = format!("c{number}-{count}");
        let request = match broken_stream.take() {
            Some(broken) => take_up(broken, id),
            None => draw_request(&mut random, &id),
        };
        let cancels_early = random.random_bool(0.05);
        let time_limit = if cancels_early {
            Duration::from_millis(random.random_range(1..120))
        } else {
            Duration::from_millis(request.deadline_ms) + ANSWER_GRACE
        };
        let at = Instant::now();
        let answer = match &mut kept_connection {
            Some(connection) => timeout(time_limit, connection.ask(&request)).await,
            None => timeout(time_limit, client.ask(daemon, &request)).await,
        };
        if answer.is_err() {
            // An abandoned request closes its connection.
            kept_connection = None;
        }
        let abandoned = cancels_early && answer.is_err();
        let record = RequestRecord {
            request,
            daemon,
            at,
            ended: Instant::now(),
            answer: answer.ok().flatten(),
            abandoned,
        };
        broken_stream = Some(record.clone()).filter(RequestRecord::is_broken_stream);
        state.record(record);
    }
}

impl RequestRecord {
    /// Whether it is a stream that broke off after its first event and may be taken up.
    fn is_broken_stream(&self) -> bool {
        let has_events = self.answer.as_ref().is_some_and(|answer| {
            !answer.is_complete && answer.status.is_success() && answer.last_event().is_some()
        });
        self.request.route == RESUMABLE_ROUTE && has_events
    }

    /// ID of the request that brought the first event of the stream.
    #[must_use]
    pub fn stream(&self) -> &str {
        let taken_up = self.request.takes_up.as_ref();
        taken_up.map_or(&self.request.id, |stream| &stream.request)
    }
}

/// Request for the rest of a stream that broke off.
fn take_up(broken: RequestRecord, id: String) -> ClientRequest {
    let last_event = broken.answer.as_ref().and_then(Answer::last_event);
    ClientRequest {
        id,
        takes_up: last_event.map(|last_event| BrokenStream {
            request: broken.stream().to_owned(),
            last_event,
        }),
        ..broken.request
    }
}

fn draw_request(random: &mut Pcg64Mcg, id: &str) -> ClientRequest {
    let request = match random.random_range(0..5) {
        0 => ClientRequest::plain(id, "post"),
        1 => ClientRequest::plain(id, "fetch"),
        2 => ClientRequest::prompt(id, "tag", 40, 200),
        3 => ClientRequest::prompt(id, "verdict", 40, 200),
        _ => ClientRequest::prompt(id, "verdict", 5_000, 900),
    };
    // Each body is unique, so that no request counts as a repetition of another.
    ClientRequest {
        body: format!("question of {id}"),
        ..request
    }
}

/// What makes engines crash.
#[derive(Debug, Clone)]
pub enum CrashCause {
    /// The body, which is the same each time.
    Body,
    /// A part of the prompt; no two requests are alike.
    Part(String),
}

/// Repeats a request that crashes engines until `end`, each time at a random daemon and without
/// waiting for the previous attempt.
pub async fn repeat_crashing_request(
    client: ClientStandIn,
    state: Arc<CallerState>,
    name: String,
    cause: CrashCause,
    seed: u64,
    end: Instant,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut count = 0_u64;
    while Instant::now() < end {
        sleep(CRASHING_REQUEST_INTERVAL).await;
        let Some(daemon) = state.random_target(&mut random) else {
            continue;
        };
        count += 1;
        let request = ClientRequest::prompt(&format!("{name}-{count}"), "tag", 40, 200);
        let request = match &cause {
            CrashCause::Body => ClientRequest {
                body: format!("{name} {CRASH_MARKER}"),
                ..request
            },
            CrashCause::Part(part) => ClientRequest {
                body: format!("{name}, number {count}"),
                further_parts: vec![part.clone()],
                ..request
            },
        };
        let client = client.clone();
        let limit = Duration::from_millis(request.deadline_ms) + ANSWER_GRACE;
        tokio::spawn(async move {
            // The outcome is checked at the engines.
            drop(timeout(limit, client.ask(daemon, &request)).await);
        });
    }
}
