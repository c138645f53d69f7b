//! Configuration changes: read, validate, compare-and-swap, and wait until daemons apply the
//! result.

mod change;
mod conflict;
mod in_force;
mod read;
mod send;

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use ponddrift_core::Revision;
use ponddrift_core::configuration::{Configuration, ConfigurationChange, ItemKey, accept, apply};
use ponddrift_core::decision::DecisionKind;
use ponddrift_http::{Body, Problem, ProblemKind, body};
use ponddrift_query::{ChangeRequest, Statement, parse, resolve};
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use self::read::StoredConfiguration;
use self::send::WriteOutcome;
use super::query::query_problem;
use super::wire::ApplyAnswer;
use super::{OPERATOR_HEADER, OperatorContext, actor_stopped_problem, limits};
use crate::actors::ActorStopped;

/// Author of a change whose request has no operator header.
const DEFAULT_AUTHOR: &str = "operator";
/// Maximum length of an operator name. The configuration head stores the names of recent authors.
const MAXIMUM_AUTHOR_BYTES: usize = 64;
/// Default time that a response waits for the change to be in force at all live daemons.
const DEFAULT_WAIT: Duration = Duration::from_secs(6);
/// Maximum value of the wait parameter.
const MAXIMUM_WAIT: Duration = Duration::from_secs(60);
/// Query parameter for the wait time, in milliseconds.
const WAIT_PARAMETER: &str = "wait_ms";
/// Maximum number of attempts to write a change while concurrent changes to other rows succeed.
const MAXIMUM_ATTEMPTS: u32 = 16;
/// Maximum backoff after the first conflict; it grows linearly and is multiplied by a random
/// factor.
const BACKOFF_STEP: Duration = Duration::from_millis(20);

/// A change requested by an operator.
struct RequestedChange {
    statement: String,
    request: ChangeRequest,
    key: ItemKey,
    author: String,
    wait: Duration,
}

/// An accepted change.
struct Accepted {
    change: ConfigurationChange,
    /// The configuration that the change was applied to.
    base: Configuration,
    revision: Revision,
}

/// Handles one change request.
pub(super) async fn answer(
    context: &Arc<OperatorContext>,
    request: Request<Incoming>,
    permit: OwnedSemaphorePermit,
) -> Result<Response<Body>, Problem> {
    let (parts, incoming) = request.into_parts();
    let author = author(&parts.headers)?;
    let wait = wait(&parts.uri)?;
    let statement = limits::read_statement(incoming).await?;
    let requested = parse_change(statement, author, wait)?;
    let (reply, answer) = oneshot::channel();
    let runner = Arc::clone(context);
    // Runs as a separate task, so that a disconnecting operator does not interrupt the change.
    context.gateway.runtime.spawner.spawn(Box::pin(async move {
        let _permit = permit;
        let answer = apply_change(&runner, &requested).await;
        let _gone = reply.send(answer);
    }));
    let answer = answer
        .await
        .map_err(|_dropped| actor_stopped_problem(ActorStopped))??;
    Ok(body::json_response(StatusCode::OK, &answer))
}

fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::not_started(ProblemKind::BadRequest, detail)
}

fn author(headers: &HeaderMap) -> Result<String, Problem> {
    let Some(value) = headers.get(OPERATOR_HEADER) else {
        return Ok(DEFAULT_AUTHOR.to_owned());
    };
    let name = value.to_str().unwrap_or_default().trim();
    if name.is_empty() || name.len() > MAXIMUM_AUTHOR_BYTES {
        return Err(bad_request(format!(
            "{OPERATOR_HEADER} is not a valid name: use 1 to {MAXIMUM_AUTHOR_BYTES} ASCII characters"
        )));
    }
    Ok(name.to_owned())
}

fn wait(uri: &Uri) -> Result<Duration, Problem> {
    let mut parameters = uri.query().unwrap_or_default().split('&');
    let given = parameters.find_map(|pair| pair.strip_prefix(WAIT_PARAMETER)?.strip_prefix('='));
    let Some(given) = given else {
        return Ok(DEFAULT_WAIT);
    };
    let limit = MAXIMUM_WAIT.as_millis();
    let wait = given.parse().map(Duration::from_millis);
    let wait = wait.ok().filter(|wait| *wait <= MAXIMUM_WAIT);
    wait.ok_or_else(|| bad_request(format!("{WAIT_PARAMETER} is a number from 0 to {limit}")))
}

fn parse_change(
    statement: String,
    author: String,
    wait: Duration,
) -> Result<RequestedChange, Problem> {
    let request = match parse(&statement).map_err(|error| query_problem(&error))? {
        Statement::Change(request) => request,
        Statement::Select(_) => {
            return Err(Problem::not_started(
                ProblemKind::Refused,
                "this is a question: send it to POST /v1/query, or with `ponddrift query`",
            ));
        }
    };
    Ok(RequestedChange {
        key: change::key(&request),
        statement,
        request,
        author,
        wait,
    })
}

/// Writes the change and waits until it is in force. Records the acceptance or refusal as a
/// decision.
async fn apply_change(
    context: &OperatorContext,
    requested: &RequestedChange,
) -> Result<ApplyAnswer, Problem> {
    let decisions = &context.gateway.decisions;
    let subject = format!("{} by {}", requested.key, requested.author);
    let accepted = match write_change(context, requested).await {
        Ok(accepted) => accepted,
        Err(problem) => {
            let reason = problem.detail.clone();
            decisions.record(DecisionKind::Configuration, subject, "refused", reason);
            return Err(problem);
        }
    };
    let outcome = format!("accepted at revision {}", accepted.revision);
    let reason = requested.statement.trim();
    decisions.record(DecisionKind::Configuration, subject, outcome, reason);
    in_force::adopt(context, &accepted)
        .await
        .map_err(actor_stopped_problem)?;
    in_force::wait(context, &accepted, requested.wait)
        .await
        .map_err(actor_stopped_problem)
}

/// Retries until the change is written, refused, or conflicts with another change of the same row.
async fn write_change(
    context: &OperatorContext,
    requested: &RequestedChange,
) -> Result<Accepted, Problem> {
    let mut first_row: Option<Option<Revision>> = None;
    for attempt in 1..=MAXIMUM_ATTEMPTS {
        let stored = read::read(context).await?;
        let row = stored.configuration.row_revision(&requested.key);
        let expected = requested.request.expected_revision;
        // Deleted rows have no revision; `validate_change` refuses statements on them.
        let moved_from_expected =
            expected.filter(|expected| row.is_some_and(|row| row != *expected));
        let moved_from_first = first_row.filter(|first| *first != row);
        first_row.get_or_insert(row);
        if moved_from_expected.is_some() || moved_from_first.is_some() {
            return Err(conflict::problem(requested, &stored, row));
        }
        let change = validate_change(context, requested, &stored.configuration)?;
        match send::send(context, &requested.key, &change, stored.latest.as_ref()).await? {
            WriteOutcome::Accepted(revision) => {
                return Ok(Accepted {
                    change,
                    base: stored.configuration,
                    revision,
                });
            }
            WriteOutcome::Superseded => back_off(context, attempt).await,
        }
    }
    let detail = format!(
        "{MAXIMUM_ATTEMPTS} times another change of the configuration came first: nothing was changed, send it again"
    );
    Err(Problem::not_started(ProblemKind::Conflict, detail).retry_after(limits::RETRY_AFTER))
}

/// Builds the change and validates it against `configuration`.
fn validate_change(
    context: &OperatorContext,
    requested: &RequestedChange,
    configuration: &Configuration,
) -> Result<ConfigurationChange, Problem> {
    let records =
        resolve(configuration, &requested.request).map_err(|error| query_problem(&error))?;
    let change = ConfigurationChange {
        id: context.new_change_id(),
        author: requested.author.clone(),
        expected: None,
        steps: change::steps(configuration, records),
    };
    let list = context.gateway.fleet.borrow().clone();
    let next = Revision(configuration.revision.0 + 1);
    match accept(configuration, &change, next, &change::fleet_facts(&list)) {
        Ok(_valid) => Ok(change),
        Err(errors) => Err(change::invalid(&errors, &list)),
    }
}

async fn back_off(context: &OperatorContext, attempt: u32) {
    let share = context.random_number() % 100;
    let share = u32::try_from(share).unwrap_or_default();
    tokio::time::sleep(BACKOFF_STEP * attempt * share / 100).await;
}

impl Accepted {
    /// Returns the configuration that results from the change.
    fn result(&self) -> Option<Configuration> {
        apply(&self.base, &self.change, self.revision).ok()
    }
}

impl StoredConfiguration {
    /// Returns the author of `revision`, if the configuration head still lists it.
    fn author_of(&self, revision: Revision) -> Option<&str> {
        let stored = self.latest.as_ref()?;
        if stored.revision == revision {
            return Some(&stored.latest.author);
        }
        let mut recent = stored.latest.recent.iter();
        let found = recent.find(|recent| recent.revision == revision)?;
        Some(&found.author)
    }
}
