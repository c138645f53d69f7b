//! Tells a few daemons where each stream began, and asks them when a caller takes up a stream here.
//!
//! The record leaves before the caller gets the first event, so that it outlives the daemon. Daemons
//! hold it in memory only, and all that hold it may be replaced while the stream lasts. The daemon that
//! serves the stream therefore renews the record at the current recorders, and one that stops hands
//! over its records.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::{self, FuturesUnordered};
use ponddrift_fleet::stream_origins::{
    KnownOrigin, MAX_RETENTION, StreamId, StreamOrigin, StreamRecord, recorders_in_order,
};
use ponddrift_runtime::{BoxedDatagram, Runtime};

use super::Peers;
use super::message::{self, Message, StreamOriginRow};
use super::queries::{MAX_QUERY_BYTES, fetch_stream_origin, hand_over_stream_origins};
use crate::fleet_state::FleetState;
use crate::follow::StoreCheck;
use crate::time::{self, now};

/// Daemons that record a stream. Two of them may fail, or lose the record, at once.
const RECORDERS: usize = 3;
/// Daemons that are asked: more than record it, because the daemons known here may differ from those
/// that the daemon of the first event knew.
const ASKED_DAEMONS: usize = 6;
/// Time limit for their answers: several round trips between zones.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Renewals that fall due within this time are sent together.
const RENEWAL_BATCHING: Duration = Duration::from_millis(250);
/// Time limit for a daemon to confirm records that are handed over.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(250);
/// Daemons to which records are handed over at the same time.
const CONCURRENT_HAND_OVERS: usize = 16;
/// How often records are handed over, each time to the next daemons in order in place of those that
/// did not confirm them.
const HAND_OVER_ROUNDS: usize = 3;

/// Records to send, by the daemon that gets them.
type RecordsByDaemon = BTreeMap<SocketAddr, Vec<StreamRecord>>;

/// What the pipeline needs to record where streams began.
pub(crate) struct StreamRecorders {
    runtime: Runtime,
    socket: Arc<BoxedDatagram>,
    store_check: StoreCheck,
}

impl StreamRecorders {
    pub(super) const fn new(
        runtime: Runtime,
        socket: Arc<BoxedDatagram>,
        store_check: StoreCheck,
    ) -> Self {
        Self {
            runtime,
            socket,
            store_check,
        }
    }

    /// Whether this daemon knows every change of the back ends up to this call.
    pub(crate) async fn knows_all_back_ends(&self) -> bool {
        self.store_check.is_up_to_date().await
    }

    /// Records where a stream began that this daemon serves, here and at its recorders.
    pub(crate) async fn publish(
        &self,
        state: &FleetState,
        stream: StreamId,
        origin: StreamOrigin,
        retention: Duration,
    ) {
        let record = StreamRecord {
            stream,
            origin: origin.clone(),
            retention,
        };
        state
            .stream_origins()
            .record_served(stream, origin, retention, now());
        state.stream_served().notify_one();
        let Some(bytes) = message::encode(&Message::StreamOrigin(row_of(&record))) else {
            return;
        };
        let recorders = recorders_in_order(stream, state.recorder_candidates());
        for recorder in recorders.into_iter().take(RECORDERS) {
            // A datagram that cannot be sent is treated like a lost one.
            drop(self.socket.send_to(&bytes, recorder.address).await);
        }
    }

    /// Hands the records that this daemon holds over to the daemons that record these streams without
    /// it. A daemon that does not confirm them is replaced by the next one in order.
    pub(crate) async fn hand_over(&self, state: &FleetState) {
        let records = state.stream_origins().all(now());
        if records.is_empty() {
            return;
        }
        let mut failed: HashSet<SocketAddr> = HashSet::new();
        let mut confirmed: HashSet<(SocketAddr, StreamId)> = HashSet::new();
        for _round in 0..HAND_OVER_ROUNDS {
            let mut unconfirmed = by_recorder(state, &records, &failed);
            unconfirmed.retain(|daemon, records| {
                records.retain(|record| !confirmed.contains(&(*daemon, record.stream)));
                !records.is_empty()
            });
            if unconfirmed.is_empty() {
                break;
            }
            for (daemon, records, is_kept) in self.hand_over_to(unconfirmed).await {
                if is_kept {
                    confirmed.extend(records.iter().map(|record| (daemon, record.stream)));
                } else {
                    failed.insert(daemon);
                    self.send_unconfirmed(daemon, &records).await;
                }
            }
        }
        tracing::info!(
            records = records.len(),
            confirmed = confirmed.len(),
            daemons_failed = failed.len(),
            "stream_records_handed_over"
        );
    }

    async fn hand_over_to(
        &self,
        records: RecordsByDaemon,
    ) -> Vec<(SocketAddr, Vec<StreamRecord>, bool)> {
        let hand_overs = records.into_iter().map(|(daemon, records)| async move {
            let is_kept = self.is_kept_by(daemon, &records).await;
            (daemon, records, is_kept)
        });
        let hand_overs = stream::iter(hand_overs).buffer_unordered(CONCURRENT_HAND_OVERS);
        hand_overs.collect().await
    }

    async fn is_kept_by(&self, daemon: SocketAddr, records: &[StreamRecord]) -> bool {
        for rows in query_sized(records) {
            let kept =
                hand_over_stream_origins(&self.runtime, daemon, rows, HAND_OVER_TIMEOUT).await;
            if !matches!(kept, Ok(true)) {
                return false;
            }
        }
        true
    }

    /// Sends records to a daemon that did not confirm them: one of an older build reads only datagrams
    /// with a single record.
    async fn send_unconfirmed(&self, daemon: SocketAddr, records: &[StreamRecord]) {
        for record in records {
            if let Some(bytes) = message::encode(&Message::StreamOrigin(row_of(record))) {
                // A datagram that cannot be sent is treated like a lost one.
                drop(self.socket.send_to(&bytes, daemon).await);
            }
        }
    }
}

impl Peers {
    /// Renews the records of the streams that this daemon serves: recorders change, and forget
    /// everything when they restart.
    pub(super) async fn renew_stream_origins(self: Arc<Self>) {
        loop {
            let next = self.state.stream_origins().next_renewal();
            let Some(next) = next else {
                self.state.stream_served().notified().await;
                continue;
            };
            time::sleep_until(next + RENEWAL_BATCHING).await;
            let due = self.state.stream_origins().take_due_renewals(now());
            let by_recorder = by_recorder(&self.state, &due, &HashSet::new());
            for (daemon, records) in by_recorder {
                let rows = records.iter().map(row_of).collect();
                for bytes in message::encode_stream_origins(rows) {
                    self.send(Some(bytes), &[daemon]).await;
                }
            }
        }
    }
}

/// The records that each recorder gets, without the excluded daemons.
fn by_recorder(
    state: &FleetState,
    records: &[StreamRecord],
    excluded: &HashSet<SocketAddr>,
) -> RecordsByDaemon {
    let mut candidates = state.recorder_candidates();
    candidates.retain(|candidate| !excluded.contains(&candidate.address));
    let mut by_recorder = RecordsByDaemon::new();
    for record in records {
        let recorders = recorders_in_order(record.stream, candidates.clone());
        for recorder in recorders.into_iter().take(RECORDERS) {
            let of_recorder = by_recorder.entry(recorder.address).or_default();
            of_recorder.push(record.clone());
        }
    }
    by_recorder
}

/// Rows in groups that fit into a query.
fn query_sized(records: &[StreamRecord]) -> Vec<Vec<StreamOriginRow>> {
    /// Encoded size of a row without its texts, and of the query around the rows, in bytes.
    const ROW_BYTES: usize = 28;
    const QUERY_BYTES: usize = 16;
    let limit = usize::try_from(MAX_QUERY_BYTES).unwrap_or(usize::MAX) - QUERY_BYTES;
    let mut groups: Vec<Vec<StreamOriginRow>> = Vec::new();
    let mut used = usize::MAX;
    for record in records {
        let bytes = ROW_BYTES + record.origin.service.len() + record.origin.version.len();
        if used.saturating_add(bytes) > limit {
            groups.push(Vec::new());
            used = 0;
        }
        used += bytes;
        if let Some(group) = groups.last_mut() {
            group.push(row_of(record));
        }
    }
    groups
}

fn row_of(record: &StreamRecord) -> StreamOriginRow {
    StreamOriginRow {
        stream: record.stream,
        service: record.origin.service.to_string(),
        version: record.origin.version.to_string(),
        retention_ms: retention_ms(record.retention),
    }
}

/// Records what a peer knows of streams.
pub(super) fn record_rows(state: &FleetState, rows: Vec<StreamOriginRow>) {
    let mut origins = state.stream_origins();
    for row in rows {
        let retention = Duration::from_millis(row.retention_ms.into());
        let origin = StreamOrigin {
            service: Arc::from(row.service),
            version: Arc::from(row.version),
        };
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
