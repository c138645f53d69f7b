//! Since when each service has had a single version of its software.
//!
//! The history is kept in the store and so outlasts the loss of all daemons. It tells whether a
//! stream whose record was lost can only have begun at the version that serves now: a caller may
//! come back after any time, so the time for which a daemon itself has seen that version says
//! nothing about it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Callers take up a stream that has no record within this time after it began, or are refused. Once a
/// service has had a single version for so long, such a stream can only have begun at that version.
pub const MAX_UNRECORDED_STREAM_AGE: Duration = Duration::from_secs(24 * 3_600);

/// Since when a service has had its version; the first start is the earliest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Since {
    /// Since the first start of the fleet: no other version ever served.
    FirstStart,
    /// Since this time, measured from the Unix epoch.
    Time(Duration),
}

/// The versions of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceVersions {
    /// The only version; `None` if there are several, or one that is not known.
    pub version: Option<Arc<str>>,
    /// Since when.
    pub since: Since,
}

/// The versions of all services, from the first one that was seen on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VersionHistory {
    /// Whether it begins with the first start of the fleet.
    pub is_complete: bool,
    /// By name of the service.
    pub services: BTreeMap<Arc<str>, ServiceVersions>,
}

impl VersionHistory {
    /// An empty history; complete if it is written at the first start of the fleet.
    #[must_use]
    pub fn begin(is_first_start: bool) -> Self {
        Self {
            is_complete: is_first_start,
            services: BTreeMap::new(),
        }
    }

    /// The version at which every stream of the service began that a caller may still take up;
    /// `None` if it may have been another one. `time_of_day` is measured from the Unix epoch.
    #[must_use]
    pub fn version_of_all_streams(
        &self,
        service: &str,
        time_of_day: Duration,
    ) -> Option<&Arc<str>> {
        let known = self.services.get(service)?;
        let covers_all = match known.since {
            Since::FirstStart => true,
            Since::Time(since) => time_of_day.saturating_sub(since) >= MAX_UNRECORDED_STREAM_AGE,
        };
        known.version.as_ref().filter(|_| covers_all)
    }

    /// Records what the back ends of a service state now: a single version, or `None` for several.
    /// Returns whether that changed the history.
    pub fn record(
        &mut self,
        service: &Arc<str>,
        version: Option<&Arc<str>>,
        time_of_day: Duration,
    ) -> bool {
        let since = match self.services.get(service) {
            Some(known) if known.version.as_ref() == version => return false,
            Some(_other) => Since::Time(time_of_day),
            None if self.is_complete => Since::FirstStart,
            None => Since::Time(time_of_day),
        };
        let versions = ServiceVersions {
            version: version.cloned(),
            since,
        };
        self.services.insert(Arc::clone(service), versions);
        true
    }

    /// Adds another copy of the history. What changed last counts, since a copy may be out of date.
    pub fn merge(&mut self, other: Self) {
        self.is_complete &= other.is_complete;
        for (service, theirs) in other.services {
            match self.services.get(&service) {
                Some(ours) if ours.since >= theirs.since => {}
                _ => {
                    self.services.insert(service, theirs);
                }
            }
        }
    }
}
