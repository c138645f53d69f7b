//! Watches the configuration in the key-value service while this daemon is an elected watcher.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use ponddrift_core::Revision;
use ponddrift_core::configuration::{
    CONFIGURATION_PREFIX, DeltaOutcome, KeyError, KeyWrite, StoredEntry, delta_from_writes,
    snapshot_from_entries,
};
use ponddrift_platform::store::{KeyValueStore, RangeResult, StoreError, StoredValue, WatchEvent};
use ponddrift_runtime::watch::{self, RunWhileOutcome};
use xtra::Address;

use crate::actors::ask;
use crate::actors::configuration::{ApplyDelta, ApplySnapshot, ConfigurationActor};

/// Initial backoff after a failure; it doubles up to [`MAXIMUM_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff; bounds the delay until the store is read again after an outage.
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(4);

/// Reason why the watch was interrupted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FollowError {
    /// The key-value store returned an error.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A stored key or value is invalid.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A value is not UTF-8.
    #[error("the value of {0} is not text: write the record again")]
    NotUtf8(String),
    /// A change between two revisions is missing.
    #[error("a change between two revisions is missing: reading everything")]
    Gap,
    /// The configuration actor has stopped.
    #[error(transparent)]
    Stopped(#[from] crate::actors::ActorStopped),
}

/// Watches the store while `is_watcher` is true.
pub(crate) async fn follow(
    store: Arc<dyn KeyValueStore>,
    configuration: Address<ConfigurationActor>,
    mut is_watcher: watch::Receiver<bool>,
) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        if is_watcher.wait_for(|is_watcher| *is_watcher).await.is_err() {
            return;
        }
        let following = read_and_watch(store.as_ref(), &configuration, &mut backoff);
        let ended = match is_watcher
            .run_while(|is_watcher| *is_watcher, following)
            .await
        {
            RunWhileOutcome::Done(ended) => ended,
            RunWhileOutcome::Changed => continue,
            RunWhileOutcome::Closed => return,
        };
        if let Err(error) = ended {
            tracing::info!(%error, "configuration watch interrupted");
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAXIMUM_BACKOFF);
    }
}

/// Reads the whole configuration, then applies watch events until an error occurs.
async fn read_and_watch(
    store: &dyn KeyValueStore,
    configuration: &Address<ConfigurationActor>,
    backoff: &mut Duration,
) -> Result<(), FollowError> {
    let range = store.range(CONFIGURATION_PREFIX).await?;
    let (snapshot, _head) = snapshot_from_entries(&entries(&range)?)?;
    ask(configuration, ApplySnapshot(snapshot)).await?;
    let mut events = store
        .watch(CONFIGURATION_PREFIX, Revision(range.revision.0 + 1))
        .await?;
    *backoff = INITIAL_BACKOFF;
    while let Some(batch) = events.next().await {
        for (revision, writes) in group_by_revision(batch?)? {
            let delta = delta_from_writes(revision, &writes)?;
            let outcome = ask(configuration, ApplyDelta(delta)).await?;
            if matches!(outcome, DeltaOutcome::Gap { .. }) {
                return Err(FollowError::Gap);
            }
        }
    }
    Ok(())
}

fn text(value: &StoredValue) -> Result<String, FollowError> {
    String::from_utf8(value.value.to_vec())
        .map_err(|_not_text| FollowError::NotUtf8(value.key.clone()))
}

/// Converts stored values to configuration entries.
pub(crate) fn entries(range: &RangeResult) -> Result<Vec<StoredEntry>, FollowError> {
    let entry = |value: &StoredValue| {
        Ok(StoredEntry {
            key: value.key.clone(),
            value_json: text(value)?,
            mod_revision: value.mod_revision,
        })
    };
    range.values.iter().map(entry).collect()
}

/// All writes made at one revision.
type RevisionWrites = (Revision, Vec<KeyWrite>);

fn group_by_revision(events: Vec<WatchEvent>) -> Result<Vec<RevisionWrites>, FollowError> {
    let mut batches: Vec<RevisionWrites> = Vec::new();
    for event in events {
        let (revision, write) = match event {
            WatchEvent::Put(value) => {
                let value_json = text(&value)?;
                (
                    value.mod_revision,
                    KeyWrite::Put {
                        key: value.key,
                        value_json,
                    },
                )
            }
            WatchEvent::Delete { key, revision } => (revision, KeyWrite::Delete { key }),
        };
        match batches.last_mut() {
            Some((last, writes)) if *last == revision => writes.push(write),
            _ => batches.push((revision, vec![write])),
        }
    }
    Ok(batches)
}
