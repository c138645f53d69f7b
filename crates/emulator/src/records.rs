//! Plain back end: deterministic records, postings that are counted, and faults.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{StreamExt as _, stream};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_engine::wire::headers;
use ponddrift_http::body::{self, BodyError};
use ponddrift_runtime::Runtime;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddr;

use crate::run_log::{DEFAULT_CAPACITY, RUNS_PATH, RunKey, RunLog};
use crate::server::{
    Answer, DropConnection, Refused, StandIn, StandInServer, json_ok, read_bytes, read_json,
    text_response,
};

/// `GET`, `POST`: [`RecordsSettings`].
pub const SETTINGS_PATH: &str = "/test/settings";
/// Query parameter that sets a record's size in bytes.
pub const SIZE_PARAMETER: &str = "size";
/// Largest record without a size parameter, in bytes.
const LARGEST_HASHED_SIZE: u64 = 16 * 1024;
/// Largest record at all, in bytes.
const LARGEST_SIZE: u64 = 64 * 1024 * 1024;
/// Size of the pieces a record is streamed in, in bytes.
const PIECE_BYTES: usize = 8 * 1024;
/// Time between the last piece of a truncated record and the cut.
const PAUSE_BEFORE_CUT: Duration = Duration::from_millis(20);

/// Latency and faults. Probabilities from 0 to 1; at most one fault meets a request.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RecordsSettings {
    /// Time before each answer, in milliseconds.
    pub latency_ms: u64,
    /// Further time, drawn evenly from 0 to this, in milliseconds.
    pub latency_jitter_ms: u64,
    /// Answers that carry another request's id and content.
    pub crossed: f64,
    /// Answers whose body ends early.
    pub truncated: f64,
    /// Connections dropped after the request ran.
    pub reset: f64,
    /// Answers 500 after the request ran.
    pub error: f64,
    /// Requests refused as not run (503).
    pub refused: f64,
    /// Answers that take `slow_ms` longer.
    pub slow: f64,
    /// Added time of slow answers, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Crossed,
    Truncated,
    Reset,
    Error,
    Refused,
    Slow,
}

/// The record that `GET` of `path` with `query` gives.
#[must_use]
pub fn expected_record(path: &str, query: Option<&str>) -> Bytes {
    use xxhash_rust::xxh3::xxh3_64_with_seed;
    let name = xxh3_64_with_seed(path.as_bytes(), 0);
    let asked = query.and_then(size_parameter);
    let size = asked
        .unwrap_or(name % LARGEST_HASHED_SIZE)
        .min(LARGEST_SIZE);
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    let mut record = Vec::with_capacity(size + 16);
    let mut index = 0_u64;
    while record.len() < size {
        let word = xxh3_64_with_seed(&index.to_le_bytes(), name);
        record.extend_from_slice(format!("{word:016x}").as_bytes());
        index += 1;
    }
    record.truncate(size);
    Bytes::from(record)
}

fn size_parameter(query: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut sizes = pairs.filter(|(name, _value)| *name == SIZE_PARAMETER);
    sizes.next()?.1.parse().ok()
}

/// Answer to a posting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PostingReceipt {
    /// The posting's idempotency key, or without one its request id. So the first answer to a key is
    /// the answer to each repetition.
    pub name: String,
    /// xxh3 of the body, as 16 hex digits.
    pub digest: String,
    /// Bytes of the body.
    pub bytes: usize,
}

/// The receipt that a posting of `bytes` gets.
#[must_use]
pub fn expected_receipt(
    request_id: &str,
    idempotency_key: Option<&str>,
    bytes: &[u8],
) -> PostingReceipt {
    PostingReceipt {
        name: idempotency_key.unwrap_or(request_id).to_owned(),
        digest: format!("{:016x}", xxhash_rust::xxh3::xxh3_64(bytes)),
        bytes: bytes.len(),
    }
}

/// The plain back end's stand-in.
pub struct Records {
    /// What it ran.
    pub runs: RunLog,
    settings: Mutex<RecordsSettings>,
    random: Mutex<SeededRandom>,
}

impl Records {
    /// A back end with `settings`; draws come from the runtime's seed.
    #[must_use]
    pub fn new(runtime: &Runtime, settings: RecordsSettings) -> Arc<Self> {
        Arc::new(Self {
            runs: RunLog::new(DEFAULT_CAPACITY),
            settings: Mutex::new(settings),
            random: Mutex::new(seeded(runtime.seed, "records")),
        })
    }

    /// Listens on `address`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn listen(
        self: &Arc<Self>,
        runtime: &Runtime,
        address: SocketAddr,
    ) -> io::Result<StandInServer> {
        StandInServer::start(runtime, address, Arc::clone(self)).await
    }

    /// The settings.
    #[must_use]
    pub fn settings(&self) -> RecordsSettings {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the settings.
    pub fn set_settings(&self, settings: RecordsSettings) {
        *self.settings.lock().unwrap_or_else(PoisonError::into_inner) = settings;
    }

    fn random(&self) -> MutexGuard<'_, SeededRandom> {
        self.random.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn draw_fault(&self, settings: &RecordsSettings) -> Fault {
        let shares = [
            (settings.crossed, Fault::Crossed),
            (settings.truncated, Fault::Truncated),
            (settings.reset, Fault::Reset),
            (settings.error, Fault::Error),
            (settings.refused, Fault::Refused),
            (settings.slow, Fault::Slow),
        ];
        let mut left: f64 = self.random().random();
        for (share, fault) in shares {
            if left < share {
                return fault;
            }
            left -= share;
        }
        Fault::None
    }

    fn latency(&self, settings: &RecordsSettings, fault: Fault) -> Duration {
        let jitter = match settings.latency_jitter_ms {
            0 => 0,
            most => self.random().random_range(0..=most),
        };
        let slow = if fault == Fault::Slow {
            settings.slow_ms
        } else {
            0
        };
        Duration::from_millis(settings.latency_ms + jitter + slow)
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        match (request.uri().path(), request.method()) {
            (RUNS_PATH, _) => return Ok(json_ok(&self.runs.report())),
            (SETTINGS_PATH, &Method::POST) => {
                return Ok(match read_json(request).await {
                    Ok(settings) => {
                        self.set_settings(settings);
                        text_response(StatusCode::OK, "done\n")
                    }
                    Err(refused) => refused.into_response(),
                });
            }
            (SETTINGS_PATH, _) => return Ok(json_ok(&self.settings())),
            _ => {}
        }
        self.serve(request).await
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let settings = self.settings();
        let fault = self.draw_fault(&settings);
        let key = RunKey::from_headers(request.headers());
        if fault == Fault::Refused {
            self.runs.record(&key, |counts| counts.refused += 1);
            return Ok(refusal(&key));
        }
        let wanted = match Wanted::read(request, &key).await {
            Ok(wanted) => wanted,
            Err(refused) => return Ok(refused.into_response()),
        };
        self.runs.record(&key, |counts| counts.started += 1);
        let mut end = RunEnd {
            records: Arc::clone(&self),
            key: key.clone(),
            whole: false,
        };
        tokio::time::sleep(self.latency(&settings, fault)).await;
        end.whole = true;
        drop(end);
        wanted.answer(fault, &key)
    }
}

/// Counts the end of a run, also of one whose caller went away.
struct RunEnd {
    records: Arc<Records>,
    key: RunKey,
    whole: bool,
}

impl Drop for RunEnd {
    fn drop(&mut self) {
        let whole = self.whole;
        self.records.runs.record(&self.key, |counts| {
            counts.ended += 1;
            counts.whole += u32::from(whole);
        });
    }
}

/// Content of an answer.
struct Wanted {
    content_type: HeaderValue,
    bytes: Bytes,
    crossed: Bytes,
}

impl Wanted {
    async fn read(request: Request<Incoming>, key: &RunKey) -> Result<Self, Refused> {
        if request.method() == Method::GET {
            let uri = request.uri().clone();
            let other = format!("{}/other", uri.path());
            return Ok(Self {
                content_type: HeaderValue::from_static("application/octet-stream"),
                bytes: expected_record(uri.path(), uri.query()),
                crossed: expected_record(&other, uri.query()),
            });
        }
        if request.method() != Method::POST {
            let text = "records are read by GET and postings made by POST";
            return Err(Refused::new(StatusCode::METHOD_NOT_ALLOWED, text));
        }
        let posted = read_bytes(request).await?;
        let receipt = |id: &str, key: Option<&str>| {
            let receipt = expected_receipt(id, key, &posted);
            Bytes::from(serde_json::to_vec(&receipt).expect("a receipt serializes"))
        };
        Ok(Self {
            content_type: HeaderValue::from_static("application/json"),
            bytes: receipt(&key.request_id, key.idempotency_key.as_deref()),
            crossed: receipt(&other_id(&key.request_id), None),
        })
    }

    fn answer(self, fault: Fault, key: &RunKey) -> Answer {
        let (content, id) = match fault {
            Fault::Reset => return Err(DropConnection),
            Fault::Error => {
                let mut failed = text_response(StatusCode::INTERNAL_SERVER_ERROR, "injected\n");
                echo(&mut failed, &key.request_id);
                return Ok(failed);
            }
            Fault::Crossed => (self.crossed, other_id(&key.request_id)),
            _ => (self.bytes, key.request_id.clone()),
        };
        let length = content.len();
        let sent = if fault == Fault::Truncated {
            length / 2
        } else {
            length
        };
        let mut response = Response::new(pieces(content.slice(..sent), sent == length));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, self.content_type);
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        echo(&mut response, &id);
        Ok(response)
    }
}

fn pieces(content: Bytes, whole: bool) -> body::Body {
    let starts = (0..content.len()).step_by(PIECE_BYTES);
    let parts: Vec<Result<Bytes, BodyError>> = starts
        .map(|start| {
            let end = (start + PIECE_BYTES).min(content.len());
            Ok(content.slice(start..end))
        })
        .collect();
    let cut = stream::iter((!whole).then_some(())).then(|()| async {
        // The HTTP library throws away what it holds when a body fails; so it is let out first.
        tokio::time::sleep(PAUSE_BEFORE_CUT).await;
        Err(BodyError::from(DropConnection))
    });
    body::streamed(stream::iter(parts).chain(cut))
}

fn echo(response: &mut Response<body::Body>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
}

fn other_id(request_id: &str) -> String {
    let digest = xxhash_rust::xxh3::xxh3_128(request_id.as_bytes());
    format!("{digest:032x}")
}

fn refusal(key: &RunKey) -> Response<body::Body> {
    use ponddrift_http::{Problem, ProblemKind};
    let detail = "this back end refuses by an injected fault; the request did not run";
    let problem = Problem::not_started(ProblemKind::Unavailable, detail);
    let mut response = problem.for_request(&key.request_id).into_response();
    echo(&mut response, &key.request_id);
    let not_run = HeaderValue::from_static("true");
    response.headers_mut().insert(headers::NOT_RUN, not_run);
    response
}

impl StandIn for Records {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(self.answer(request))
    }
}
