//! The operator of the demonstration: all through the daemons' own endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{ContextCompat, Result, bail};
use http::{Request, StatusCode};
use ponddrift_daemon::operator::wire::{ApplyAnswer, QueryAnswer};
use ponddrift_daemon::operator::{APPLY_PATH, OPERATOR_HEADER, QUERY_PATH};
use ponddrift_http::{Client, ClientSettings, Problem, ProblemKind, body};
use ponddrift_query::Value;
use ponddrift_runtime::Runtime;
use serde::de::DeserializeOwned;

use super::say;

/// Name that the changes carry.
const AUTHOR: &str = "demo";
/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;
/// Time for one answer.
const TIME_LIMIT: Duration = Duration::from_secs(30);
/// Tries until a daemon has started and read the machine list, and the pause between two.
const TRIES: u32 = 100;
const PAUSE: Duration = Duration::from_millis(100);

/// The first configuration, statement by statement.
const CONFIGURATION: [&str; 13] = [
    "INSERT INTO priorities (name, level) VALUES ('month-end', 0)",
    "INSERT INTO priorities (name, level) VALUES ('dock', 1)",
    "INSERT INTO priorities (name, level) VALUES ('filing', 2)",
    "INSERT INTO models (name, weights_mib, engine_share_percent) VALUES ('ledger-7b', 14000, 66)",
    "INSERT INTO models (name, weights_mib, engine_share_percent) VALUES ('cold-chain-3b', 6000, 33)",
    "INSERT INTO services (name, kind, model, version, priority, repeatable, deadline_ms, rollout_percent) VALUES ('reconcile', 'completion', 'ledger-7b', 1, 'month-end', true, 60000, 50)",
    "INSERT INTO services (name, kind, model, version, priority, repeatable, deadline_ms, rollout_percent) VALUES ('classify', 'completion', 'ledger-7b', 1, 'filing', true, 60000, 50)",
    "INSERT INTO services (name, kind, model, version, priority, repeatable, deadline_ms, rollout_percent) VALUES ('excursion', 'completion', 'cold-chain-3b', 1, 'dock', true, 60000, 50)",
    "INSERT INTO services (name, kind, pool, priority, repeatable, deadline_ms, rollout_percent) VALUES ('post', 'plain', 'records', 'month-end', false, 20000, 50)",
    "INSERT INTO services (name, kind, pool, priority, repeatable, deadline_ms, rollout_percent) VALUES ('vouchers', 'plain', 'records', 'filing', true, 20000, 50)",
    "INSERT INTO tenants (name, requests_per_second, concurrency, tokens_per_second, weight) VALUES ('tenant-0', 0, 0, 0, 2)",
    "INSERT INTO tenants (name, requests_per_second, concurrency, tokens_per_second, weight) VALUES ('tenant-1', 0, 0, 0, 1)",
    "INSERT INTO tenants (name, requests_per_second, concurrency, tokens_per_second, weight) VALUES ('tenant-2', 0, 0, 0, 1)",
];

/// Sends statements to daemons, in turn.
pub struct OperatorClient {
    client: Client,
    daemons: Vec<SocketAddr>,
}

enum Answer<T> {
    Given(T),
    Refused(Problem),
}

impl OperatorClient {
    /// A client of the daemons' operator addresses.
    #[must_use]
    pub fn new(daemons: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::new(&Runtime::system(0), ClientSettings::default()),
            daemons,
        }
    }

    /// Writes the first configuration.
    ///
    /// # Errors
    /// When a statement is refused.
    pub async fn configure(&self) -> Result<()> {
        for (statement, daemon) in CONFIGURATION.iter().zip(self.daemons.iter().cycle()) {
            self.apply_once_started(*daemon, statement).await?;
        }
        Ok(())
    }

    async fn apply_once_started(&self, daemon: SocketAddr, statement: &str) -> Result<()> {
        for _ in 0..TRIES {
            match self
                .send::<ApplyAnswer>(daemon, APPLY_PATH, statement)
                .await?
            {
                Answer::Given(_accepted) => return Ok(()),
                Answer::Refused(problem) if problem.kind == ProblemKind::Unavailable => {
                    tokio::time::sleep(PAUSE).await;
                }
                Answer::Refused(problem) => bail!("{statement}: {}", problem.detail),
            }
        }
        bail!("the daemon at {daemon} does not start")
    }

    /// Asks a question.
    ///
    /// # Errors
    /// When it is refused.
    pub async fn query(&self, statement: &str) -> Result<QueryAnswer> {
        let daemon = *self.daemons.first().wrap_err("no daemon")?;
        match self.send(daemon, QUERY_PATH, statement).await? {
            Answer::Given(answer) => Ok(answer),
            Answer::Refused(problem) => bail!("{statement}: {}", problem.detail),
        }
    }

    /// Waits, then asks and changes something as an operator would.
    ///
    /// # Errors
    /// When a statement is refused.
    pub async fn act_after(&self, wait: Duration) -> Result<()> {
        tokio::time::sleep(wait).await;
        self.show("SELECT role, COUNT(*) FROM engines GROUP BY role")
            .await?;
        let question = "SELECT revision FROM services WHERE name = 'reconcile'";
        let rows = self.query(question).await?.result.rows;
        let revision = rows.first().and_then(|row| row.first());
        let Some(Value::Integer(revision)) = revision else {
            bail!("{question}: no revision");
        };
        let change = format!(
            "UPDATE services SET deadline_ms = 45000, rollout_percent = 25 WHERE name = 'reconcile' AND revision = {revision}"
        );
        say(&format!("operator> {change}"));
        let daemon = *self.daemons.last().wrap_err("no daemon")?;
        match self
            .send::<ApplyAnswer>(daemon, APPLY_PATH, &change)
            .await?
        {
            Answer::Given(answer) => {
                say(&format!(
                    "          accepted at revision {}, in force on {} of {} daemons after {} ms",
                    answer.revision, answer.in_force, answer.live, answer.waited_ms
                ));
                Ok(())
            }
            Answer::Refused(problem) => bail!("{change}: {}", problem.detail),
        }
    }

    /// Asks a question and prints it with its rows.
    ///
    /// # Errors
    /// When it is refused.
    pub async fn show(&self, question: &str) -> Result<()> {
        let answer = self.query(question).await?;
        say(&format!("operator> {question}"));
        for row in &answer.result.rows {
            let values: Vec<String> = row.iter().map(ToString::to_string).collect();
            say(&format!("          {}", values.join(" | ")));
        }
        for part in &answer.missing {
            say(&format!(
                "          partial: daemon {}: {}",
                part.daemon, part.reason
            ));
        }
        Ok(())
    }

    async fn send<T: DeserializeOwned>(
        &self,
        daemon: SocketAddr,
        path: &str,
        statement: &str,
    ) -> Result<Answer<T>> {
        let request = Request::post(format!("http://{daemon}{path}"))
            .header(OPERATOR_HEADER, AUTHOR)
            .body(body::full(statement.to_owned()))?;
        let response = self.client.send(request).await?;
        let status = response.status();
        let bytes = body::read_all(response.into_body(), ANSWER_LIMIT, TIME_LIMIT).await?;
        if status == StatusCode::OK {
            return Ok(Answer::Given(serde_json::from_slice(&bytes)?));
        }
        Ok(Answer::Refused(serde_json::from_slice(&bytes)?))
    }
}
