//! Tells other daemons the demand by tenant at this one, and whom it promised which time.
//!
//! Demand is a sample: about once a second a report goes to the next few neighbours and to the
//! daemons of other zones that get this daemon's digests. Promises go to all neighbours at once,
//! because their callers may come back to any of them. Both are used only where room is shared out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::scarcity::demand::{DemandReport, ReportMerge};
use ponddrift_fleet::scarcity::returns::{MAX_PAUSE, SharedPromise};

use super::Peers;
use super::message::{self, DemandRow, PromiseRow};
use super::translate::{demand_from_wire, demand_to_wire};
use crate::time::now;

/// Interval between two reports of demand.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Neighbours that get each report; bounds the reports that a daemon receives, whatever the number
/// of daemons.
const DEMAND_FAN_OUT: usize = 12;
/// Promises within this time share datagrams; short compared with the shortest promise.
const PROMISE_BATCHING_DELAY: Duration = Duration::from_millis(5);
/// The minimum interval between two datagrams of promises is this time multiplied by the number of
/// neighbours. It bounds what a daemon receives from all neighbours together to 200 a second.
const PROMISE_INTERVAL_PER_NEIGHBOUR: Duration = Duration::from_millis(5);
/// Promises in one datagram.
const MAX_PROMISES_SENT: usize = 40;

impl Peers {
    pub(super) async fn publish_demand(self: Arc<Self>) {
        let mut sequence = 0;
        let mut sent_to = 0;
        loop {
            tokio::time::sleep(DEMAND_INTERVAL).await;
            let services = self.pipeline.placement().own_demand(now());
            if services.is_empty() {
                continue;
            }
            sequence += 1;
            let report = DemandReport {
                origin: self.origin,
                sequence,
                services,
            };
            let neighbours = self.neighbours();
            let next = neighbours
                .iter()
                .cycle()
                .skip(sent_to % neighbours.len().max(1))
                .take(DEMAND_FAN_OUT.min(neighbours.len()));
            let mut targets: Vec<SocketAddr> = next.copied().collect();
            sent_to = sent_to.wrapping_add(DEMAND_FAN_OUT);
            targets.extend(&self.state.topology().remote_zone_peers);
            self.send(message::encode_demand(&demand_to_wire(&report)), &targets)
                .await;
        }
    }

    pub(super) fn receive_demand(&self, row: DemandRow, from: SocketAddr) {
        let merge = self
            .pipeline
            .placement()
            .fairness
            .receive(demand_from_wire(row), now());
        if merge == Some(ReportMerge::Implausible) {
            tracing::warn!(%from, "demand_report_implausible");
        }
    }

    pub(super) async fn publish_promises(self: Arc<Self>) {
        loop {
            self.pipeline.promises_changed().notified().await;
            tokio::time::sleep(PROMISE_BATCHING_DELAY).await;
            let promises = self.pipeline.placement().returns.take_unpublished();
            if promises.is_empty() {
                continue;
            }
            let sent_at = now();
            let rows = promises.iter().filter_map(|promise| {
                let due = promise.due.checked_duration_since(sent_at);
                Some(PromiseRow {
                    service: promise.service,
                    fingerprint: promise.fingerprint,
                    due_in_ms: u32::try_from(due.unwrap_or_default().as_millis()).ok()?,
                    has_turn: promise.has_turn,
                    is_kept: promise.is_kept,
                })
            });
            let neighbours = self.neighbours();
            // The callers of rows that do not fit are treated as new elsewhere.
            let rows = rows.take(MAX_PROMISES_SENT).collect();
            for bytes in message::encode_promises(rows) {
                self.send(Some(bytes), &neighbours).await;
            }
            let count = u32::try_from(neighbours.len()).unwrap_or(u32::MAX);
            tokio::time::sleep(PROMISE_INTERVAL_PER_NEIGHBOUR.saturating_mul(count)).await;
        }
    }

    pub(super) fn receive_promises(&self, rows: &[PromiseRow]) {
        let received_at = now();
        let mut placement = self.pipeline.placement();
        if !placement.is_scarce() {
            return;
        }
        for row in rows {
            let due_in = Duration::from_millis(u64::from(row.due_in_ms)).min(MAX_PAUSE);
            let promise = SharedPromise {
                service: row.service,
                fingerprint: row.fingerprint,
                due: received_at + due_in,
                has_turn: row.has_turn,
                is_kept: row.is_kept,
            };
            placement.returns.receive(promise, received_at);
        }
    }
}

/// Whether a daemon takes part: room is shared out among all daemons.
pub(super) fn is_shared(peers: &Peers) -> bool {
    peers.pipeline.placement().is_scarce()
}
