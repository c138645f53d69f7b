//! Operator statements sent to the daemons of a fleet, and faults of the key-value service.

use std::net::SocketAddr;

use eyre::{Result, bail};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_daemon::operator::wire::{ApplyAnswer, QueryAnswer};
use ponddrift_daemon::operator::{APPLY_PATH, OPERATOR_HEADER, QUERY_PATH};
use ponddrift_http::{Problem, body};
use ponddrift_query::Value;
use serde_json::json;

use crate::answers::read_problem;
use crate::fleet::{Fleet, read};

/// Result of a change that an operator applied.
#[derive(Debug)]
pub enum ApplyOutcome {
    /// The change was accepted.
    Accepted(ApplyAnswer),
    /// The change was rejected.
    Refused(Problem),
}

impl ApplyOutcome {
    /// Returns the answer to an accepted change.
    ///
    /// # Errors
    /// If the change was rejected.
    pub fn accepted(self) -> Result<ApplyAnswer> {
        match self {
            Self::Accepted(answer) => Ok(answer),
            Self::Refused(problem) => bail!("the change was refused: {}", problem.detail),
        }
    }

    /// Returns the problem document of a rejected change.
    ///
    /// # Errors
    /// If the change was accepted.
    pub fn refused(self) -> Result<Problem> {
        match self {
            Self::Accepted(answer) => {
                bail!("the change was accepted at revision {}", answer.revision)
            }
            Self::Refused(problem) => Ok(problem),
        }
    }
}

impl Fleet {
    /// Returns the operator address of the daemon at `index`.
    ///
    /// # Errors
    /// If the daemon reported no valid address.
    pub fn operator_address(&self, index: usize) -> Result<SocketAddr> {
        self.daemons[index].address("/operator")
    }

    /// Runs a query on the daemon at `index`.
    ///
    /// # Errors
    /// If the request fails or the query is rejected.
    pub async fn query(&self, index: usize, statement: &str) -> Result<QueryAnswer> {
        let address = self.operator_address(index)?;
        let request = Request::post(format!("http://{address}{QUERY_PATH}"))
            .body(body::full(statement.to_owned()))?;
        let response = self.send(request).await?;
        if response.status() != StatusCode::OK {
            bail!("{statement}: {}", read_problem(response).await?.detail);
        }
        Ok(serde_json::from_slice(&read(response).await?)?)
    }

    /// Runs a query on the daemon at `index` and returns only the rows.
    ///
    /// # Errors
    /// If the request fails or the query is rejected.
    pub async fn rows(&self, index: usize, statement: &str) -> Result<Vec<Vec<Value>>> {
        Ok(self.query(index, statement).await?.result.rows)
    }

    /// Applies a change as `author` on the daemon at `index`.
    ///
    /// # Errors
    /// If there is no valid response.
    pub async fn apply(&self, index: usize, author: &str, statement: &str) -> Result<ApplyOutcome> {
        self.apply_with_wait(index, author, statement, 6_000).await
    }

    /// Like [`Self::apply`], but the daemon waits at most `wait_ms` until the change is in force.
    ///
    /// # Errors
    /// If there is no valid response.
    pub async fn apply_with_wait(
        &self,
        index: usize,
        author: &str,
        statement: &str,
        wait_ms: u64,
    ) -> Result<ApplyOutcome> {
        let address = self.operator_address(index)?;
        let uri = format!("http://{address}{APPLY_PATH}?wait_ms={wait_ms}");
        let request = Request::post(uri)
            .header(OPERATOR_HEADER, author)
            .body(body::full(statement.to_owned()))?;
        read_apply_outcome(self.send(request).await?).await
    }

    /// Replaces the faults of the key-value service. Faults that are not listed are cleared.
    ///
    /// # Errors
    /// If the request fails or is rejected.
    pub async fn set_store_faults(&self, faults: &serde_json::Value) -> Result<()> {
        let control_address = self.platform.address("/control")?;
        self.post_control(control_address, "/faults", faults).await
    }

    /// Clears all faults of the key-value service.
    ///
    /// # Errors
    /// If the request fails or is rejected.
    pub async fn clear_store_faults(&self) -> Result<()> {
        self.set_store_faults(&json!({})).await
    }
}

async fn read_apply_outcome(response: Response<Incoming>) -> Result<ApplyOutcome> {
    if response.status() == StatusCode::OK {
        let answer = serde_json::from_slice(&read(response).await?)?;
        return Ok(ApplyOutcome::Accepted(answer));
    }
    Ok(ApplyOutcome::Refused(read_problem(response).await?))
}
