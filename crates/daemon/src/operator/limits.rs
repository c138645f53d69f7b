//! Limits on operator requests: concurrent statements, body size and body timeout.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use ponddrift_http::{Problem, ProblemKind, ReadError, body};
use ponddrift_query::MAXIMUM_STATEMENT_BYTES;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of statements processed concurrently.
const MAXIMUM_CONCURRENT_STATEMENTS: usize = 16;
/// Timeout for receiving a statement's body.
const BODY_TIME_LIMIT: Duration = Duration::from_secs(5);
/// Default `Retry-After` value.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits concurrent statements; clones share the limit.
#[derive(Clone)]
pub(super) struct Limits {
    permits: Arc<Semaphore>,
}

impl Limits {
    pub(super) fn new() -> Self {
        Self {
            permits: Arc::new(Semaphore::new(MAXIMUM_CONCURRENT_STATEMENTS)),
        }
    }

    /// Acquires a permit, or fails at once if the limit is reached.
    pub(super) fn try_acquire(&self) -> Result<OwnedSemaphorePermit, Problem> {
        let permit = Arc::clone(&self.permits).try_acquire_owned();
        permit.map_err(|_full| {
            let detail = format!(
                "{MAXIMUM_CONCURRENT_STATEMENTS} statements are being processed at this daemon: retry in a second, or use another daemon"
            );
            Problem::not_started(ProblemKind::Overloaded, detail).retry_after(RETRY_AFTER)
        })
    }
}

/// Reads the statement of a request.
pub(super) async fn read_statement(incoming: Incoming) -> Result<String, Problem> {
    let bytes = body::read_all(incoming, MAXIMUM_STATEMENT_BYTES, BODY_TIME_LIMIT)
        .await
        .map_err(read_problem)?;
    String::from_utf8(bytes.to_vec()).map_err(|_not_text| {
        Problem::not_started(
            ProblemKind::BadRequest,
            "the statement is not UTF-8: send it as plain text",
        )
    })
}

fn read_problem(error: ReadError) -> Problem {
    let kind = match error {
        ReadError::TooLarge { .. } => ProblemKind::BodyTooLarge,
        ReadError::TooSlow { .. } => ProblemKind::BodyTooSlow,
        ReadError::NoMemory(_) => ProblemKind::Overloaded,
        ReadError::Broken(_) | ReadError::Json(_) => ProblemKind::BadRequest,
    };
    Problem::not_started(kind, error.to_string())
}
