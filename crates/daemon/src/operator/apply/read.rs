//! Reads the configuration from the key-value service, the source of truth.

use ponddrift_core::configuration::{
    CONFIGURATION_PREFIX, Configuration, LATEST_CHANGE_KEY, StoredEntry, StoredLatestChange,
    snapshot_from_entries,
};
use ponddrift_http::{Problem, ProblemKind};
use ponddrift_platform::store::{RangeResult, StoreError};

use super::super::OperatorContext;
use super::super::limits;
use crate::configuration::{FollowError, entries};

/// The configuration as it is stored, with its head.
pub(super) struct StoredConfiguration {
    pub(super) configuration: Configuration,
    pub(super) latest: Option<StoredLatestChange>,
}

/// Reads the whole configuration.
pub(super) async fn read(context: &OperatorContext) -> Result<StoredConfiguration, Problem> {
    let range = context.store.range(CONFIGURATION_PREFIX).await;
    let range = range.map_err(|error| nothing_written(&error))?;
    let (configuration, latest) = snapshot(&range).map_err(|error| unreadable(&error))?;
    Ok(StoredConfiguration {
        configuration,
        latest,
    })
}

/// Reads only the configuration head.
pub(super) async fn read_head(
    context: &OperatorContext,
) -> Result<Option<StoredLatestChange>, String> {
    let value = context.store.get(LATEST_CHANGE_KEY).await;
    let Some(value) = value.map_err(|error| error.to_string())? else {
        return Ok(None);
    };
    let entry = StoredEntry {
        value_json: String::from_utf8_lossy(&value.value).into_owned(),
        key: value.key,
        mod_revision: value.mod_revision,
    };
    let (_empty, latest) = snapshot_from_entries(&[entry]).map_err(|error| error.to_string())?;
    Ok(latest)
}

fn snapshot(
    range: &RangeResult,
) -> Result<(Configuration, Option<StoredLatestChange>), FollowError> {
    Ok(snapshot_from_entries(&entries(range)?)?)
}

/// Builds the error for a store failure before anything was written.
pub(super) fn nothing_written(error: &StoreError) -> Problem {
    let detail = format!(
        "{error}; your change is not accepted, and the configuration in force stays: send it again when the key-value service answers"
    );
    Problem::not_started(ProblemKind::StoreUnavailable, detail).retry_after(limits::RETRY_AFTER)
}

fn unreadable(error: &FollowError) -> Problem {
    let detail = format!("the stored configuration cannot be read: {error}; nothing was changed");
    Problem::not_started(ProblemKind::StoreUnavailable, detail)
}
