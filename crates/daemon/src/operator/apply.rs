//! Changes: read, judge, write under a compare, settle, and wait until they are in force.

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
use self::send::Sent;
use super::query::refused;
use super::wire::ApplyAnswer;
use super::{OPERATOR_HEADER, OperatorContext, ending, limits};
use crate::actors::ActorStopped;

/// Who a change is by when the request does not say.
const DEFAULT_AUTHOR: &str = "operator";
/// Longest name of an operator, in bytes: the head of the configuration keeps the last ones.
const LONGEST_AUTHOR: usize = 64;
/// How long an answer waits until the change is in force everywhere, unless the request says.
const DEFAULT_WAIT: Duration = Duration::from_secs(6);
/// Longest such time.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// Parameter of the request that says how long.
const WAIT_PARAMETER: &str = "wait_ms";
/// Times that a change is made again on a newer configuration, when other rows were changed meanwhile.
const MAXIMUM_RACES: u32 = 16;
/// Pause after a lost race, multiplied by the races lost and a random share.
const RACE_PAUSE: Duration = Duration::from_millis(20);

/// A change as the operator sent it.
struct Order {
    statement: String,
    request: ChangeRequest,
    key: ItemKey,
    author: String,
    wait: Duration,
}

/// An accepted change.
struct Accepted {
    change: ConfigurationChange,
    /// What it was made on.
    base: Configuration,
    revision: Revision,
}

/// Answers one change.
pub(super) async fn answer(
    context: &Arc<OperatorContext>,
    request: Request<Incoming>,
    place: OwnedSemaphorePermit,
) -> Result<Response<Body>, Problem> {
    let (parts, incoming) = request.into_parts();
    let author = author(&parts.headers)?;
    let wait = wait(&parts.uri)?;
    let statement = limits::read_statement(incoming).await?;
    let order = understand(statement, author, wait)?;
    let (reply, answer) = oneshot::channel();
    let runner = Arc::clone(context);
    // An operator who goes away does not leave a change half settled.
    context.gateway.runtime.spawner.spawn(Box::pin(async move {
        let _place = place;
        let answer = carry_out(&runner, &order).await;
        let _gone = reply.send(answer);
    }));
    let answer = answer.await.map_err(|_dropped| ending(ActorStopped))??;
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
    if name.is_empty() || name.len() > LONGEST_AUTHOR {
        return Err(bad_request(format!(
            "{OPERATOR_HEADER} is no name: use 1 to {LONGEST_AUTHOR} ASCII characters"
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
    let limit = LONGEST_WAIT.as_millis();
    let wait = given.parse().map(Duration::from_millis);
    let wait = wait.ok().filter(|wait| *wait <= LONGEST_WAIT);
    wait.ok_or_else(|| bad_request(format!("{WAIT_PARAMETER} is a number from 0 to {limit}")))
}

fn understand(statement: String, author: String, wait: Duration) -> Result<Order, Problem> {
    let request = match parse(&statement).map_err(|error| refused(&error))? {
        Statement::Change(request) => request,
        Statement::Select(_) => {
            return Err(Problem::not_started(
                ProblemKind::Refused,
                "this is a question: send it to POST /v1/query, or with `ponddrift query`",
            ));
        }
    };
    Ok(Order {
        key: change::key(&request),
        statement,
        request,
        author,
        wait,
    })
}

/// Accepts the change and waits until it is in force, or refuses it; keeps either as a decision.
async fn carry_out(context: &OperatorContext, order: &Order) -> Result<ApplyAnswer, Problem> {
    let decisions = &context.gateway.decisions;
    let subject = format!("{} by {}", order.key, order.author);
    let accepted = match accept_order(context, order).await {
        Ok(accepted) => accepted,
        Err(problem) => {
            let reason = problem.detail.clone();
            decisions.record(DecisionKind::Configuration, subject, "refused", reason);
            return Err(problem);
        }
    };
    let outcome = format!("accepted at revision {}", accepted.revision);
    let reason = order.statement.trim();
    decisions.record(DecisionKind::Configuration, subject, outcome, reason);
    in_force::adopt(context, &accepted).await.map_err(ending)?;
    in_force::wait(context, &accepted, order.wait)
        .await
        .map_err(ending)
}

/// Tries until the change is written, refused, or lost to another one of the same row.
async fn accept_order(context: &OperatorContext, order: &Order) -> Result<Accepted, Problem> {
    let mut first_row: Option<Option<Revision>> = None;
    for race in 1..=MAXIMUM_RACES {
        let stored = read::read(context).await?;
        let row = stored.configuration.row_revision(&order.key);
        let expected = order.request.expected_revision;
        // Deleted rows have no revision; the statement is refused for them further on.
        let moved_from_expected =
            expected.filter(|expected| row.is_some_and(|row| row != *expected));
        let moved_from_first = first_row.filter(|first| *first != row);
        first_row.get_or_insert(row);
        if moved_from_expected.is_some() || moved_from_first.is_some() {
            return Err(conflict::problem(order, &stored, row));
        }
        let change = judge(context, order, &stored.configuration)?;
        match send::send(context, &order.key, &change, stored.latest.as_ref()).await? {
            Sent::Accepted(revision) => {
                return Ok(Accepted {
                    change,
                    base: stored.configuration,
                    revision,
                });
            }
            Sent::LostRace => pause(context, race).await,
        }
    }
    let detail = format!(
        "{MAXIMUM_RACES} times another change of the configuration came first: nothing was changed, send it again"
    );
    Err(Problem::not_started(ProblemKind::Conflict, detail).retry_after(limits::COME_BACK))
}

/// The change as it is written, if it is valid on `configuration`.
fn judge(
    context: &OperatorContext,
    order: &Order,
    configuration: &Configuration,
) -> Result<ConfigurationChange, Problem> {
    let records = resolve(configuration, &order.request).map_err(|error| refused(&error))?;
    let change = ConfigurationChange {
        id: context.new_change_id(),
        author: order.author.clone(),
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

async fn pause(context: &OperatorContext, race: u32) {
    let share = context.random_number() % 100;
    let share = u32::try_from(share).unwrap_or_default();
    tokio::time::sleep(RACE_PAUSE * race * share / 100).await;
}

impl Accepted {
    /// The configuration after the change.
    fn result(&self) -> Option<Configuration> {
        apply(&self.base, &self.change, self.revision).ok()
    }
}

impl StoredConfiguration {
    /// Who led to `revision`, as far as the head tells.
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
