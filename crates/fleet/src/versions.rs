//! Versions of the software of back ends, and which of them may go on with a stream.
//!
//! Not to be confused with the versions of model weights and of the configuration, which are numbers.

use std::fmt;
use std::sync::Arc;

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
