//! Writes a change if the configuration head is unchanged. If the response is lost, the head is
//! read back to determine the outcome.

use std::time::Duration;

use bytes::Bytes;
use ponddrift_core::configuration::{
    ChangeOutcome, ConfigurationChange, ItemKey, KeyWrite, LATEST_CHANGE_KEY, StoredLatestChange,
    determine_outcome, key_writes,
};
use ponddrift_core::{Execution, Revision, Timestamp};
use ponddrift_http::{Problem, ProblemKind};
use ponddrift_platform::store::{Compare, StoreError, Write};

use super::super::OperatorContext;
use super::conflict::select_statement;
use super::read::{nothing_written, read_head};

/// Maximum sends of one transaction. Its compare ensures that it takes effect at most once.
const MAXIMUM_SENDS: u32 = 4;
/// Maximum time for reading back the head after a lost response.
const SETTLE_LIMIT: Duration = Duration::from_secs(8);
/// Interval between attempts to read back the head.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Outcome of sending a change.
pub(super) enum WriteOutcome {
    /// The change was accepted at this revision.
    Accepted(Revision),
    /// A concurrent change was written first; this one can no longer take effect.
    Superseded,
}

/// Sends `change`, based on `base`, until its outcome is known.
pub(super) async fn send(
    context: &OperatorContext,
    key: &ItemKey,
    change: &ConfigurationChange,
    base: Option<&StoredLatestChange>,
) -> Result<WriteOutcome, Problem> {
    let base_revision = base.map_or(Revision(0), |base| base.revision);
    let mut may_be_written = false;
    for _ in 0..MAXIMUM_SENDS {
        let sending = context
            .store
            .transaction(compares(base), writes(change, base));
        match sending.await {
            Ok(result) if result.succeeded => return Ok(WriteOutcome::Accepted(result.revision)),
            // The compare may have failed because an earlier send, whose response was lost, took
            // effect.
            Ok(_compare_failed) => {}
            Err(error @ (StoreError::Unreachable { .. } | StoreError::RateLimited)) => {
                if !may_be_written {
                    return Err(nothing_written(&error));
                }
            }
            Err(error) => {
                tracing::warn!(%error, change = %change.id, "outcome of a change is unknown; reading back the configuration head");
                may_be_written = true;
            }
        }
        let latest = read_back(context, key, change, may_be_written).await?;
        match determine_outcome(change.id, base_revision, latest.as_ref()) {
            ChangeOutcome::Accepted { revision } => return Ok(WriteOutcome::Accepted(revision)),
            ChangeOutcome::ConflictedWith {
                author, revision, ..
            } => {
                tracing::info!(author, %revision, "a concurrent change was written first");
                return Ok(WriteOutcome::Superseded);
            }
            ChangeOutcome::NotWritten => {}
            ChangeOutcome::Undetermined => {
                return Err(undetermined(
                    key,
                    change,
                    "too many other changes followed",
                    may_be_written,
                ));
            }
        }
    }
    let reason = "the key-value service accepted every attempt, but the change was not written";
    Err(undetermined(key, change, reason, may_be_written))
}

async fn read_back(
    context: &OperatorContext,
    key: &ItemKey,
    change: &ConfigurationChange,
    may_be_written: bool,
) -> Result<Option<StoredLatestChange>, Problem> {
    let now = || -> Timestamp { context.gateway.now() };
    let until = now() + SETTLE_LIMIT;
    loop {
        match read_head(context).await {
            Ok(latest) => return Ok(latest),
            Err(reason) if now() >= until => {
                return Err(undetermined(key, change, &reason, may_be_written));
            }
            Err(_not_yet) => tokio::time::sleep(SETTLE_PAUSE).await,
        }
    }
}

fn undetermined(
    key: &ItemKey,
    change: &ConfigurationChange,
    reason: &str,
    may_be_written: bool,
) -> Problem {
    let (execution, standing) = if may_be_written {
        (Execution::Unknown, "may or may not be accepted")
    } else {
        (Execution::NotStarted, "is not accepted")
    };
    let detail = format!(
        "change {} {standing}: {reason}; check with {} before sending it again",
        change.id,
        select_statement(key)
    );
    Problem::new(ProblemKind::StoreUnavailable, detail, execution).retry_after(SETTLE_LIMIT)
}

fn compares(base: Option<&StoredLatestChange>) -> Vec<Compare> {
    let key = LATEST_CHANGE_KEY.to_owned();
    vec![match base {
        Some(base) => Compare::ModRevision {
            key,
            revision: base.revision,
        },
        None => Compare::Absent { key },
    }]
}

fn writes(change: &ConfigurationChange, base: Option<&StoredLatestChange>) -> Vec<Write> {
    let write = |write| match write {
        KeyWrite::Put { key, value_json } => Write::Put {
            key,
            value: Bytes::from(value_json),
            lease: None,
        },
        KeyWrite::Delete { key } => Write::Delete { key },
    };
    key_writes(change, base).into_iter().map(write).collect()
}
