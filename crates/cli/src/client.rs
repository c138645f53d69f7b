//! HTTP client for the operator interface of one or more daemons.
//!
//! The next daemon is tried if the request could not be sent or the daemon was unavailable and did
//! not execute it. After a lost response, only queries and status requests are sent to the next
//! daemon, because a change may already have been accepted.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use ponddrift_daemon::operator::wire::{ApplyAnswer, QueryAnswer, StatusAnswer};
use ponddrift_daemon::operator::{APPLY_PATH, OPERATOR_HEADER, QUERY_PATH, STATUS_PATH};
use ponddrift_http::{Body, Client, ClientError, ClientSettings, Problem, ProblemKind, body};
use ponddrift_runtime::Runtime;
use serde::de::DeserializeOwned;

use crate::error::{CliError, FailedAttempt};

/// Maximum size of a response body.
const RESPONSE_LIMIT_BYTES: usize = 256 * 1024 * 1024;
/// Timeout of a response, not counting the time that a change waits to be in force.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client that tries its daemons in order.
pub(crate) struct DaemonClient {
    client: Client,
    daemons: Vec<SocketAddr>,
}

/// A configuration change with its operator and the time to wait until it is in force.
pub(crate) struct Change<'a> {
    pub(crate) statement: &'a str,
    pub(crate) operator: &'a str,
    pub(crate) wait: Duration,
}

struct OperatorRequest {
    method: Method,
    path: String,
    operator: Option<String>,
    body_bytes: Bytes,
    time_limit: Duration,
    /// Whether it may be sent to another daemon after its response was lost.
    is_idempotent: bool,
}

impl DaemonClient {
    pub(crate) fn new(daemons: Vec<SocketAddr>) -> Self {
        // The seed is irrelevant: the client draws no random numbers.
        let client = Client::new(&Runtime::system(0), ClientSettings::default());
        Self { client, daemons }
    }

    pub(crate) async fn query(&self, statement: &str) -> Result<QueryAnswer, CliError> {
        self.call(OperatorRequest {
            method: Method::POST,
            path: QUERY_PATH.to_owned(),
            operator: None,
            body_bytes: Bytes::copy_from_slice(statement.as_bytes()),
            time_limit: RESPONSE_TIMEOUT,
            is_idempotent: true,
        })
        .await
    }

    pub(crate) async fn apply(&self, change: Change<'_>) -> Result<ApplyAnswer, CliError> {
        self.call(OperatorRequest {
            method: Method::POST,
            path: format!("{APPLY_PATH}?wait_ms={}", change.wait.as_millis()),
            operator: Some(change.operator.to_owned()),
            body_bytes: Bytes::copy_from_slice(change.statement.as_bytes()),
            time_limit: RESPONSE_TIMEOUT + change.wait,
            is_idempotent: false,
        })
        .await
    }

    pub(crate) async fn status(&self) -> Result<StatusAnswer, CliError> {
        self.call(OperatorRequest {
            method: Method::GET,
            path: STATUS_PATH.to_owned(),
            operator: None,
            body_bytes: Bytes::new(),
            time_limit: RESPONSE_TIMEOUT,
            is_idempotent: true,
        })
        .await
    }

    async fn call<T: DeserializeOwned>(&self, call: OperatorRequest) -> Result<T, CliError> {
        let mut failed_attempts = Vec::new();
        for daemon in &self.daemons {
            let exchange = self.exchange(*daemon, &call);
            let reason = match tokio::time::timeout(call.time_limit, exchange).await {
                Ok(Ok((status, bytes))) => match parse_response(*daemon, status, &bytes) {
                    Err(CliError::Rejected(problem)) if can_try_next_daemon(&problem) => {
                        problem.detail.clone()
                    }
                    result => return result,
                },
                Ok(Err(ExchangeError::NotSent(reason))) => reason,
                Ok(Err(ExchangeError::Lost(reason))) => response_lost(*daemon, reason, &call)?,
                Err(_elapsed) => response_lost(
                    *daemon,
                    format!("no response within {:?}", call.time_limit),
                    &call,
                )?,
            };
            failed_attempts.push(FailedAttempt {
                daemon: *daemon,
                reason,
            });
        }
        Err(CliError::Unreachable(failed_attempts))
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        call: &OperatorRequest,
    ) -> Result<(StatusCode, Bytes), ExchangeError> {
        let request = build_request(daemon, call)
            .map_err(|error| ExchangeError::NotSent(error.to_string()))?;
        let response = self
            .client
            .send(request)
            .await
            .map_err(|error| match error {
                ClientError::NotSent { .. } => ExchangeError::NotSent(error.to_string()),
                ClientError::Broken { .. } => ExchangeError::Lost(error.to_string()),
            })?;
        let status = response.status();
        let bytes = body::read_all(response.into_body(), RESPONSE_LIMIT_BYTES, call.time_limit)
            .await
            .map_err(|error| ExchangeError::Lost(error.to_string()))?;
        Ok((status, bytes))
    }
}

enum ExchangeError {
    /// The request was not sent, so it was not executed.
    NotSent(String),
    /// The request was sent, but its response was not received completely.
    Lost(String),
}

fn build_request(daemon: SocketAddr, call: &OperatorRequest) -> http::Result<Request<Body>> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{daemon}{}", call.path))
        .header("accept", "application/json");
    if let Some(operator) = &call.operator {
        request = request.header(OPERATOR_HEADER, operator);
    }
    request.body(body::full(call.body_bytes.clone()))
}

/// Handles a request that may have been executed: returns the reason if it may be repeated on the
/// next daemon, or [`CliError::ResponseLost`] if the operator must check its outcome first.
fn response_lost(
    daemon: SocketAddr,
    reason: String,
    call: &OperatorRequest,
) -> Result<String, CliError> {
    if call.is_idempotent {
        return Ok(reason);
    }
    Err(CliError::ResponseLost { daemon, reason })
}

/// Whether the daemon is unavailable and did not execute the request.
fn can_try_next_daemon(problem: &Problem) -> bool {
    problem.kind == ProblemKind::Unavailable
        && problem.execution == ponddrift_core::Execution::NotStarted
}

fn parse_response<T: DeserializeOwned>(
    daemon: SocketAddr,
    status: StatusCode,
    bytes: &Bytes,
) -> Result<T, CliError> {
    let invalid_response = |error: serde_json::Error| CliError::InvalidResponse {
        daemon,
        reason: format!("{status}, {error}"),
    };
    if status == StatusCode::OK {
        return serde_json::from_slice(bytes).map_err(invalid_response);
    }
    let problem: Problem = serde_json::from_slice(bytes).map_err(invalid_response)?;
    Err(CliError::Rejected(Box::new(problem)))
}
