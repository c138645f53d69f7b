//! Publishes and receives reports of cut paths and relayed connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::relays::{MIN_REACHABLE_SHARE, PathReport};

use super::Peers;
use super::message::{self, Message, PathsRow, ServicePathRow};
use super::publish::next_targets;
use crate::time::now;

/// Interval of the reports. Several fit into the time for which a report counts.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Changes within this time are published in one report.
const BATCHING_DELAY: Duration = Duration::from_millis(20);
/// Reports that follow the last one with anything in it, so that peers learn of the end although
/// datagrams are lost.
const REPORTS_AFTER_END: u32 = 3;
/// Limit on the services of a report; those that are reached the least are kept.
const MAX_SERVICES: usize = 64;
/// Parts in which a share is encoded.
const SHARE_PARTS: f64 = 255.0;

impl Peers {
    /// Publishes this daemon's report while paths are cut, it relays connections, or it is stopping.
    pub(super) async fn publish_paths(self: Arc<Self>) {
        let mut reports_left = 0;
        let mut sequence = 0;
        let mut published = PathsRow::default();
        loop {
            let changed = self.pipeline.paths().changed().notified();
            if tokio::time::timeout(REPORT_INTERVAL, changed).await.is_ok() {
                tokio::time::sleep(BATCHING_DELAY).await;
            }
            let row = self.paths_row();
            let is_empty = row.services.is_empty() && row.relayed == 0 && !row.is_stopping;
            if !is_empty {
                reports_left = REPORTS_AFTER_END;
            } else if reports_left == 0 {
                continue;
            } else {
                reports_left -= 1;
            }
            sequence += 1;
            let is_change = unreached_services(&row) != unreached_services(&published)
                || row.is_stopping != published.is_stopping;
            published = row.clone();
            self.send_paths(row, is_change, sequence).await;
        }
    }

    async fn send_paths(&self, row: PathsRow, is_change: bool, sequence: u32) {
        let bytes = message::encode(&Message::Paths(row));
        let neighbours = self.neighbours();
        let targets = if is_change {
            neighbours
        } else {
            next_targets(&neighbours, sequence)
        };
        self.send(bytes.clone(), &targets).await;
        self.send(bytes, &self.state.topology().remote_zone_peers)
            .await;
    }

    fn paths_row(&self) -> PathsRow {
        let pipeline = &self.pipeline;
        let mut shares = pipeline.reachable_shares();
        shares.sort_by(|left, right| left.1.total_cmp(&right.1));
        shares.truncate(MAX_SERVICES);
        PathsRow {
            services: shares
                .into_iter()
                .map(|(service, share)| ServicePathRow {
                    service,
                    reachable: share_to_wire(share),
                })
                .collect(),
            relayed: saturate(pipeline.relayed_connections()),
            room: saturate(pipeline.relay_room()),
            is_stopping: pipeline.is_stopping(),
        }
    }

    pub(super) fn receive_paths(&self, row: &PathsRow, from: SocketAddr) {
        if row.services.len() > MAX_SERVICES || !self.state.topology().members.contains(&from) {
            tracing::warn!(%from, services = row.services.len(), "path_report_rejected");
            return;
        }
        let report = PathReport {
            reachable: row
                .services
                .iter()
                .map(|row| (row.service, f64::from(row.reachable) / SHARE_PARTS))
                .collect(),
            relayed: u32::from(row.relayed),
            room: if row.is_stopping {
                0
            } else {
                u32::from(row.room)
            },
        };
        self.pipeline.paths().relays().receive(from, report, now());
        if row.is_stopping {
            self.pipeline.discard_idle_through(from);
        }
    }
}

/// Services for which the sender is not used as a relay.
fn unreached_services(row: &PathsRow) -> Vec<u32> {
    let unreached = row.services.iter().filter(|row| {
        let share = f64::from(row.reachable) / SHARE_PARTS;
        share < MIN_REACHABLE_SHARE
    });
    let mut services: Vec<u32> = unreached.map(|row| row.service).collect();
    services.sort_unstable();
    services
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share from 0 to 1"
)]
fn share_to_wire(share: f64) -> u8 {
    (share.clamp(0.0, 1.0) * SHARE_PARTS).floor() as u8
}

fn saturate(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
