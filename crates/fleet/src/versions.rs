//! Versions of the software of back ends, and which of them may go on with a stream.
//!
//! Not to be confused with the versions of model weights and of the configuration, which are numbers.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Version of the software that one incarnation of a back end runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SoftwareVersion {
    /// The version that its entry states.
    Stated(Arc<str>),
    /// Its entry states none, so it can't be told whether another back end runs the same.
    #[default]
    Unstated,
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stated(version) => formatter.write_str(version),
            Self::Unstated => formatter.write_str("unstated"),
        }
    }
}

/// The software that a back end must run to serve a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum RequiredVersion {
    /// No event has reached the caller yet, so any version may serve the request.
    #[default]
    Any,
    /// The version that began the stream.
    Only(Arc<str>),
    /// The stream began at a version that is not known, so no back end may go on with it.
    Unknown,
}

impl RequiredVersion {
    /// What a stream needs after its first event from a back end of this version.
    #[must_use]
    pub fn of_stream_begun_at(version: &SoftwareVersion) -> Self {
        match version {
            SoftwareVersion::Stated(version) => Self::Only(Arc::clone(version)),
            SoftwareVersion::Unstated => Self::Unknown,
        }
    }

    /// Whether a back end of this version may serve the request.
    #[must_use]
    pub fn admits(&self, version: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(required) => {
                matches!(version, SoftwareVersion::Stated(version) if version == required)
            }
            Self::Unknown => false,
        }
    }
}

/// When versions were last seen at back ends that have left or changed their software.
#[derive(Debug, Default)]
pub(crate) struct VersionHistory {
    last_seen: HashMap<Arc<str>, HashMap<SoftwareVersion, Instant>>,
}

impl VersionHistory {
    /// How long departures are remembered: longer than any stream lasts.
    const RETENTION: Duration = Duration::from_secs(1_200);

    /// Records that a back end of this version has left.
    pub(crate) fn record_departure(
        &mut self,
        service: &Arc<str>,
        version: &SoftwareVersion,
        now: Instant,
    ) {
        let of_service = self.last_seen.entry(Arc::clone(service)).or_default();
        of_service.insert(version.clone(), now);
    }

    /// Versions of the service that were seen after `since`.
    pub(crate) fn seen_since(
        &self,
        service: &str,
        since: Instant,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let of_service = self.last_seen.get(service).into_iter().flatten();
        of_service
            .filter(move |(_version, at)| **at >= since)
            .map(|(version, _at)| version)
    }

    /// Forgets old departures.
    pub(crate) fn expire(&mut self, now: Instant) {
        for of_service in self.last_seen.values_mut() {
            of_service.retain(|_version, at| now.saturating_duration_since(*at) < Self::RETENTION);
        }
        self.last_seen
            .retain(|_service, versions| !versions.is_empty());
    }
}
