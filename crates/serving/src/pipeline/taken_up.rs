//! Streams that callers take up again: finds where they began, and records where new ones begin.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::configuration::{RequestKind, Route};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::stream_origins::{KnownOrigin, StreamId, StreamOrigin};
use ponddrift_fleet::versions::RequiredVersion;

use super::Pipeline;
use super::generate::OpenStream;
use super::job::Job;
use crate::dialect::RequestMetadata;
use crate::peers::{self, StreamRecorders};
use crate::time::now;

/// Time in which a caller comes back after its stream broke off.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// A stream and its continuations last at most this multiple of the route's timeout.
const TIMEOUTS_PER_STREAM: u32 = 2;

/// Where a stream that a caller takes up began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TakenUpStream {
    /// It began at a back end of this service and version.
    BegunAt(StreamOrigin),
    /// It has no record, but its service has had a single version for as long as callers may take
    /// streams up.
    OnlyVersion,
    /// It is not known.
    Unknown,
}

impl TakenUpStream {
    const fn as_str(&self) -> &'static str {
        match self {
            Self::BegunAt(_) => "recorded",
            Self::OnlyVersion => "only_version",
            Self::Unknown => "unknown",
        }
    }

    /// The record of the stream.
    pub(super) const fn origin(&self) -> Option<&StreamOrigin> {
        match self {
            Self::BegunAt(origin) => Some(origin),
            Self::OnlyVersion | Self::Unknown => None,
        }
    }
}

/// Where the record of a stream was found.
#[derive(Debug, Clone, Copy)]
enum RecordSource {
    Own,
    Peer,
    None,
}

impl RecordSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::None => "none",
        }
    }
}

impl RequestMetadata {
    /// Whether the caller has events of the stream, and asks for the rest.
    fn takes_up_stream(&self) -> bool {
        self.resume_after.is_some_and(|event| event > 0)
    }

    /// The stream over all tries of its caller.
    fn stream(&self, tenant: Option<&str>) -> Option<StreamId> {
        let own = self.id.as_deref();
        let first = self.resumes.as_deref().filter(|_id| self.takes_up_stream());
        first.or(own).map(|request| StreamId::of(tenant, request))
    }
}

impl Pipeline {
    /// Sets how to tell other daemons where streams began.
    pub(crate) fn set_stream_recorders(&self, recorders: StreamRecorders) {
        // Set once at the start.
        drop(self.stream_recorders.set(recorders));
    }

    /// Finds where the stream began that the request takes up; `None` for a new stream and for a
    /// request without a stream.
    pub(super) async fn find_taken_up(
        &self,
        route: &Route,
        metadata: &RequestMetadata,
        tenant: Option<&str>,
    ) -> Option<TakenUpStream> {
        let is_stream = matches!(route.kind, RequestKind::Stream { .. });
        if !is_stream || !metadata.takes_up_stream() {
            return None;
        }
        let stream = metadata.stream(tenant)?;
        let (found, source) = self.find_record(metadata, stream).await;
        let found = match found {
            Some(origin) => TakenUpStream::BegunAt(origin),
            None if self.has_only_version(route).await => TakenUpStream::OnlyVersion,
            None => TakenUpStream::Unknown,
        };
        self.metrics.stream_taken_up(found.as_str());
        tracing::info!(
            request = metadata.id.as_deref(),
            resumes = metadata.resumes.as_deref(),
            resume_after = metadata.resume_after,
            origin = found.as_str(),
            service = found.origin().map(|origin| &*origin.service),
            software = found.origin().map(|origin| &*origin.version),
            source = source.as_str(),
            "stream_taken_up"
        );
        Some(found)
    }

    async fn find_record(
        &self,
        metadata: &RequestMetadata,
        stream: StreamId,
    ) -> (Option<StreamOrigin>, RecordSource) {
        if metadata.resumes.is_none() {
            return (None, RecordSource::None);
        }
        let own = self.state.stream_origins().find(stream, now());
        match own {
            KnownOrigin::Known(origin) => (Some(origin), RecordSource::Own),
            KnownOrigin::Contradictory => (None, RecordSource::Own),
            KnownOrigin::Unrecorded => {
                match peers::fetch_origin(&self.runtime, &self.state, stream).await {
                    Some(origin) => (Some(origin), RecordSource::Peer),
                    None => (None, RecordSource::None),
                }
            }
        }
    }

    /// Whether the stream can only have begun at the version that the route's service has now.
    async fn has_only_version(&self, route: &Route) -> bool {
        let [only] = route.split.as_slice() else {
            return false;
        };
        let Some(recorders) = self.stream_recorders.get() else {
            return false;
        };
        // Other versions may have joined since this daemon last heard of the store.
        self.has_single_version(&only.service)
            && recorders.knows_all_back_ends().await
            && self.has_single_version(&only.service)
    }

    fn has_single_version(&self, service: &str) -> bool {
        let time_of_day = self.runtime.clock.time_of_day();
        let version = self
            .state
            .version_of_all_streams(service, time_of_day, now());
        version.is_some()
    }

    /// The software that must go on with the stream. `service` serves the request.
    pub(super) fn required_version(
        &self,
        taken_up: Option<&TakenUpStream>,
        service: &str,
    ) -> RequiredVersion {
        match taken_up {
            None => RequiredVersion::Any,
            Some(TakenUpStream::BegunAt(origin)) => {
                RequiredVersion::Only(Arc::clone(&origin.version))
            }
            Some(TakenUpStream::OnlyVersion) => self
                .state
                .sole_version(service, Duration::ZERO, now())
                .map_or(RequiredVersion::Unknown, RequiredVersion::Only),
            Some(TakenUpStream::Unknown) => RequiredVersion::Unknown,
        }
    }

    /// The origin of a stream whose first event came from this back end; `None` if its version is not
    /// known.
    fn origin_at(&self, back_end: &BackEnd) -> Option<StreamOrigin> {
        match self.version_of_events(back_end) {
            RequiredVersion::Only(version) => Some(StreamOrigin {
                service: Arc::clone(&back_end.service),
                version,
            }),
            RequiredVersion::Any | RequiredVersion::Unknown => None,
        }
    }

    /// Records that the caller has the whole stream.
    pub(super) fn forget_served_stream(&self, job: &Job) {
        let tenant = job.tenant.as_ref().map(|tenant| &*tenant.name);
        if let Some(stream) = job.metadata.stream(tenant) {
            self.state.stream_origins().finish(stream);
        }
    }

    /// Hands the records of streams over to other daemons, before this one exits.
    pub async fn hand_over_stream_records(&self) {
        if let Some(recorders) = self.stream_recorders.get() {
            recorders.hand_over(&self.state).await;
        }
    }

    /// Records where the stream began, before its first event is forwarded.
    pub(super) async fn record_origin(&self, job: &Job, stream: &OpenStream) {
        if !job.route.kind.is_resumable_stream() {
            return;
        }
        let tenant = job.tenant.as_ref().map(|tenant| &*tenant.name);
        let known = job.taken_up.as_ref().and_then(TakenUpStream::origin);
        let origin = known.cloned().or_else(|| self.origin_at(&stream.back_end));
        let (Some(recorders), Some(id), Some(origin)) = (
            self.stream_recorders.get(),
            job.metadata.stream(tenant),
            origin,
        ) else {
            return;
        };
        let longest = job.route.timeout * TIMEOUTS_PER_STREAM;
        let caller_waits = job.metadata.time_limit.unwrap_or(longest);
        let retention = caller_waits + RETURN_TIME;
        recorders.publish(&self.state, id, origin, retention).await;
    }
}
