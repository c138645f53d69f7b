//! Following the configuration in the key-value service, while this daemon is one that watches it.

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

/// First pause after a failure; it doubles up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause: the store is back within this time of being reachable again.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Why following was interrupted.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FollowError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A key or value cannot be read.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A value is not UTF-8.
    #[error("the value of {0} is not text: write the record again")]
    NotText(String),
    /// Something between two revisions is missing.
    #[error("a change between two revisions is missing: reading everything")]
    Gap,
    /// The daemon is ending.
    #[error(transparent)]
    Stopped(#[from] crate::actors::ActorStopped),
}

/// Follows the store while `is_watcher` is true.
pub(crate) async fn follow(
    store: Arc<dyn KeyValueStore>,
    configuration: Address<ConfigurationActor>,
    mut is_watcher: watch::Receiver<bool>,
) {
    let mut pause = FIRST_PAUSE;
    loop {
        if is_watcher.wait_for(|is_watcher| *is_watcher).await.is_err() {
            return;
        }
        let following = watch_once(store.as_ref(), &configuration, &mut pause);
        let ended = match is_watcher
            .run_while(|is_watcher| *is_watcher, following)
            .await
        {
            RunWhileOutcome::Done(ended) => ended,
            RunWhileOutcome::Changed => continue,
            RunWhileOutcome::Closed => return,
        };
        if let Err(error) = ended {
            tracing::info!(%error, "following the configuration was interrupted");
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads everything, then follows the changes until something fails.
async fn watch_once(
    store: &dyn KeyValueStore,
    configuration: &Address<ConfigurationActor>,
    pause: &mut Duration,
) -> Result<(), FollowError> {
    let range = store.range(CONFIGURATION_PREFIX).await?;
    let (snapshot, _head) = snapshot_from_entries(&entries(&range)?)?;
    ask(configuration, ApplySnapshot(snapshot)).await?;
    let mut events = store
        .watch(CONFIGURATION_PREFIX, Revision(range.revision.0 + 1))
        .await?;
    *pause = FIRST_PAUSE;
    while let Some(batch) = events.next().await {
        for (revision, writes) in by_revision(batch?)? {
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
        .map_err(|_not_text| FollowError::NotText(value.key.clone()))
}

/// The stored values as the configuration's own reader takes them.
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

/// The writes of one revision.
type RevisionWrites = (Revision, Vec<KeyWrite>);

fn by_revision(events: Vec<WatchEvent>) -> Result<Vec<RevisionWrites>, FollowError> {
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
