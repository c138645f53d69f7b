//! What this daemon knows of the versions of all services, from the store and from the back ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::Configuration;
use ponddrift_fleet::revision::Revision;
use ponddrift_fleet::version_history::VersionHistory;

use super::FleetState;

/// A version that a back end had within this time counts as present. Longer than a fleet is without a
/// leader, which records versions, so that none is missed that came and left meanwhile.
const LOOKBACK: Duration = Duration::from_secs(20);

/// The history as the store holds it, and as it has to be written.
#[derive(Debug, Default)]
pub(super) struct KnownVersions {
    /// All that was ever read; `None` before the first time.
    merged: Option<VersionHistory>,
    /// What the key holds, and the revision at which it was written.
    stored: Option<(VersionHistory, Revision)>,
}

impl KnownVersions {
    /// Applies what the key holds. A copy from a backup does not take back what was known.
    pub(super) fn apply(&mut self, history: VersionHistory, revision: Revision) {
        match &mut self.merged {
            Some(merged) => merged.merge(history.clone()),
            None => self.merged = Some(history.clone()),
        }
        self.stored = Some((history, revision));
    }

    pub(super) fn apply_removal(&mut self) {
        self.stored = None;
    }
}

/// A history that has to be written, and the revision of the one that it replaces.
pub(crate) type VersionUpdate = (VersionHistory, Option<Revision>);

impl FleetState {
    /// The history that has to be written, if it differs from the one in the store. `time_of_day` is
    /// measured from the Unix epoch. A service that is not configured any more stays in the history: it
    /// would count as new if it came back.
    pub(crate) fn updated_versions(
        &self,
        is_first_start: bool,
        time_of_day: Duration,
        now: Instant,
    ) -> Option<VersionUpdate> {
        let inner = self.lock();
        // Before the first full read the key, or a back end, may not have been read yet.
        inner.complete_since?;
        let configuration = &inner.in_force.as_ref()?.configuration;
        let known = inner.versions.merged.clone();
        let mut history = known.unwrap_or_else(|| VersionHistory::begin(is_first_start));
        let since = now.checked_sub(LOOKBACK).unwrap_or(now);
        for service in services_of_routes(configuration) {
            if inner.directory.has_back_ends(&service) {
                let version = inner.directory.sole_version(&service, since);
                history.record(&service, version.as_ref(), time_of_day);
            }
        }
        let stored = inner.versions.stored.as_ref();
        let is_stored = stored.is_some_and(|(stored, _revision)| *stored == history);
        (!is_stored).then(|| (history, stored.map(|(_history, revision)| *revision)))
    }

    /// The version at which every stream of the service began that a caller may still take up, as far
    /// as the store and the back ends tell.
    pub(crate) fn version_of_all_streams(
        &self,
        service: &str,
        time_of_day: Duration,
        now: Instant,
    ) -> Option<Arc<str>> {
        let inner = self.lock();
        inner.complete_since?;
        let history = inner.versions.merged.as_ref()?;
        let recorded = history.version_of_all_streams(service, time_of_day)?;
        let since = now.checked_sub(LOOKBACK).unwrap_or(now);
        let present = inner.directory.sole_version(service, since)?;
        (present == *recorded).then_some(present)
    }
}

/// Services that routes lead to, each once. Also those without resumable streams: a route may become
/// resumable, and versions that left before must not count as ones that never served.
fn services_of_routes(configuration: &Configuration) -> Vec<Arc<str>> {
    let routes = configuration.routes.iter();
    let mut services: Vec<Arc<str>> = routes
        .flat_map(|route| route.split.iter().map(|part| Arc::clone(&part.service)))
        .collect();
    services.sort();
    services.dedup();
    services
}
