//! Tells a few daemons where each stream began, and asks them when a caller takes up a stream here.
//!
//! The record leaves before the caller gets the first event, so that it outlives the daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use ponddrift_fleet::stream_origins::{
    KnownOrigin, MAX_RETENTION, StreamId, StreamOrigin, recorders_in_order,
};
use ponddrift_runtime::{BoxedDatagram, Runtime};

use super::Peers;
use super::message::{self, Message, StreamOriginRow};
use super::queries::fetch_stream_origin;
use crate::fleet_state::FleetState;
use crate::follow::StoreCheck;
use crate::time::now;

/// Daemons that record a stream. Two of them may fail, or lose the record, at once.
const RECORDERS: usize = 3;
/// Daemons that are asked: more than record it, because the daemons known here may differ from those
/// that the daemon of the first event knew.
const ASKED_DAEMONS: usize = 6;
/// Time limit for their answers: several round trips between zones.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// What the pipeline needs to record where streams began.
pub(crate) struct StreamRecorders {
    socket: Arc<BoxedDatagram>,
    store_check: StoreCheck,
}

impl StreamRecorders {
    pub(super) const fn new(socket: Arc<BoxedDatagram>, store_check: StoreCheck) -> Self {
        Self {
            socket,
            store_check,
        }
    }

    /// Whether this daemon knows every change of the back ends up to this call.
    pub(crate) async fn knows_all_back_ends(&self) -> bool {
        self.store_check.is_up_to_date().await
    }

    /// Records where a stream began, here and at its recorders.
    pub(crate) async fn publish(
        &self,
        state: &FleetState,
        stream: StreamId,
        origin: StreamOrigin,
        retention: Duration,
    ) {
        let row = StreamOriginRow {
            stream,
            service: origin.service.to_string(),
            version: origin.version.to_string(),
            retention_ms: retention_ms(retention),
        };
        state
            .stream_origins()
            .record(stream, origin, retention, now());
        let Some(bytes) = message::encode(&Message::StreamOrigin(row)) else {
            return;
        };
        let recorders = recorders_in_order(stream, state.recorder_candidates());
        for recorder in recorders.into_iter().take(RECORDERS) {
            // A datagram that cannot be sent is treated like a lost one.
            drop(self.socket.send_to(&bytes, recorder.address).await);
        }
    }
}

impl Peers {
    pub(super) fn receive_stream_origin(&self, row: StreamOriginRow) {
        let retention = Duration::from_millis(row.retention_ms.into());
        let origin = StreamOrigin {
            service: Arc::from(row.service),
            version: Arc::from(row.version),
        };
        let mut origins = self.state.stream_origins();
        origins.record(row.stream, origin, retention, now());
    }
}

/// What this daemon recorded of a stream, for a peer that asks.
pub(super) fn recorded_row(state: &FleetState, stream: StreamId) -> Option<StreamOriginRow> {
    match state.stream_origins().find(stream, now()) {
        KnownOrigin::Known(origin) => Some(StreamOriginRow {
            stream,
            service: origin.service.to_string(),
            version: origin.version.to_string(),
            retention_ms: 0,
        }),
        KnownOrigin::Contradictory | KnownOrigin::Unrecorded => None,
    }
}

/// Asks the daemons that may have recorded a stream where it began. Returns the first record.
pub(crate) async fn fetch_origin(
    runtime: &Runtime,
    state: &FleetState,
    stream: StreamId,
) -> Option<StreamOrigin> {
    let recorders = recorders_in_order(stream, state.recorder_candidates());
    let asked: Vec<SocketAddr> = recorders
        .into_iter()
        .take(ASKED_DAEMONS)
        .map(|recorder| recorder.address)
        .collect();
    let mut answers: FuturesUnordered<_> = asked
        .into_iter()
        .map(|peer| fetch_stream_origin(runtime, peer, stream))
        .collect();
    let first_record = async {
        while let Some(answer) = answers.next().await {
            if let Ok(Some(row)) = answer {
                return Some(row);
            }
        }
        None
    };
    let row = tokio::time::timeout(ANSWER_TIMEOUT, first_record).await;
    row.ok().flatten().map(|row| StreamOrigin {
        service: Arc::from(row.service),
        version: Arc::from(row.version),
    })
}

fn retention_ms(retention: Duration) -> u32 {
    let retention = retention.min(MAX_RETENTION);
    u32::try_from(retention.as_millis()).unwrap_or(u32::MAX)
}
