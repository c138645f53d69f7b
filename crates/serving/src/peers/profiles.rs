//! Exchanges what the daemons' samples show of the speed of back ends.
//!
//! Each daemon publishes only its own samples, the most informative rows first and all in turn, to a
//! few neighbours each second and now and then to a daemon of another zone, which forwards them to
//! a few of its neighbours. A decision needs the samples of a handful of daemons, so a report need
//! not reach all of them. A daemon that starts asks a few neighbours for theirs.

use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use ponddrift_fleet::profiles::{BeliefChange, RowMerge};
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Peers;
use super::message::{self, BackEndProfileRow, Message, ProfileReportRow};
use super::translate::{incarnation_check, profile_from_wire, profile_to_wire};
use crate::time::now;

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Rows of a report.
const ROWS_PER_REPORT: usize = 48;
/// Rows of a reply to a daemon that starts. They fit into one datagram.
const ROWS_PER_REPLY: usize = 112;
/// Neighbours that get each report. The reports to other zones and the forwarded ones come on top.
const NEIGHBOURS_PER_REPORT: usize = 3;
/// One report in this many also goes to a daemon of another zone.
const REPORTS_PER_REMOTE_REPORT: usize = 4;
/// Neighbours to which a report of another zone is forwarded.
const FORWARD_FAN_OUT: usize = 2;
/// Reports that are forwarded, and requests that are answered, in each interval. The others are
/// dropped: later reports bring the same rows, and a daemon that starts asks others too.
const MAX_REACTIONS_PER_INTERVAL: usize = 12;
/// Times after the start, or after profiles were switched on, at which a daemon asks its neighbours.
/// Right after the start it may not know them or the back ends yet.
const REQUEST_DELAYS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_200),
];
/// Neighbours that are asked at a time.
const NEIGHBOURS_PER_REQUEST: usize = 4;
/// Log lines about changed factors in each interval; the other changes are logged later.
const MAX_CHANGES_LOGGED: usize = 4;

/// State of the exchange.
#[derive(Debug, Default)]
pub(super) struct ProfileExchange {
    /// Number of the last report.
    sequence: u32,
    /// Number of neighbours that reports were sent to.
    neighbours: usize,
    /// Number of reports sent to other zones.
    remote_reports: usize,
    /// Reports forwarded and requests answered in this interval.
    reactions: usize,
}

impl ProfileExchange {
    /// The next `count` of the neighbours.
    fn next_neighbours(&mut self, neighbours: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let count = count.min(neighbours.len());
        let begin = self.neighbours % neighbours.len().max(1);
        self.neighbours = self.neighbours.wrapping_add(count);
        let rotated = neighbours.iter().cycle().skip(begin);
        rotated.take(count).copied().collect()
    }

    /// The daemon of another zone that gets this report, if it is the turn of one.
    fn next_remote_peer(&mut self, peers: &[SocketAddr]) -> Option<SocketAddr> {
        let sequence = usize::try_from(self.sequence).unwrap_or_default();
        if peers.is_empty() || !sequence.is_multiple_of(REPORTS_PER_REMOTE_REPORT) {
            return None;
        }
        self.remote_reports = self.remote_reports.wrapping_add(1);
        peers.get(self.remote_reports % peers.len()).copied()
    }

    fn may_react(&mut self) -> bool {
        self.reactions += 1;
        self.reactions <= MAX_REACTIONS_PER_INTERVAL
    }
}

impl Peers {
    /// Publishes the own samples while profiles are kept.
    pub(super) async fn publish_profiles(self: Arc<Self>) {
        /// Makes the random sequence differ from those of other tasks.
        const SEED_SALT: u64 = 0x7072_6f66;
        let mut random = Pcg64Mcg::seed_from_u64(self.runtime.seed ^ SEED_SALT);
        loop {
            if !self.keeps_profiles() {
                self.pipeline.profiles_switched().notified().await;
                continue;
            }
            self.request_profiles().await;
            while self.keeps_profiles() {
                let interval = REPORT_INTERVAL.mul_f64(random.random_range(0.9..1.1));
                tokio::time::sleep(interval).await;
                self.profile_exchange().reactions = 0;
                self.log_belief_changes();
                self.publish_own_profiles().await;
            }
        }
    }

    fn keeps_profiles(&self) -> bool {
        self.pipeline.placement().profiles.is_enabled()
    }

    /// Asks neighbours for their samples.
    async fn request_profiles(&self) {
        let started = now();
        for delay in REQUEST_DELAYS {
            crate::time::sleep_until(started + delay).await;
            let request = Message::Profiles {
                report: self.profile_report(Vec::new()),
                wants_reply: true,
            };
            let neighbours = self.neighbours();
            let targets = self
                .profile_exchange()
                .next_neighbours(&neighbours, NEIGHBOURS_PER_REQUEST);
            self.send(message::encode(&request), &targets).await;
        }
    }

    async fn publish_own_profiles(&self) {
        let rows = self
            .pipeline
            .placement()
            .profiles
            .take_own_rows(ROWS_PER_REPORT, now());
        if rows.is_empty() {
            return;
        }
        let report = self.profile_report(rows.iter().map(profile_to_wire).collect());
        self.send_profiles(report, &self.next_report_targets())
            .await;
    }

    fn next_report_targets(&self) -> Vec<SocketAddr> {
        let (neighbours, topology) = (self.neighbours(), self.state.topology());
        let mut exchange = self.profile_exchange();
        let mut targets = exchange.next_neighbours(&neighbours, NEIGHBOURS_PER_REPORT);
        targets.extend(exchange.next_remote_peer(&topology.remote_zone_peers));
        targets
    }

    fn profile_report(&self, rows: Vec<BackEndProfileRow>) -> ProfileReportRow {
        let mut exchange = self.profile_exchange();
        exchange.sequence = exchange.sequence.wrapping_add(1);
        ProfileReportRow {
            origin: self.origin,
            sequence: exchange.sequence,
            rows,
        }
    }

    async fn send_profiles(&self, report: ProfileReportRow, targets: &[SocketAddr]) {
        let message = Message::Profiles {
            report,
            wants_reply: false,
        };
        self.send(message::encode(&message), targets).await;
    }

    /// Adds the samples of another daemon, forwards them if it belongs to another zone, and replies
    /// if it asks for that.
    pub(super) async fn receive_profiles(
        &self,
        report: ProfileReportRow,
        wants_reply: bool,
        from: SocketAddr,
    ) {
        if !self.keeps_profiles() || report.origin == self.origin {
            return;
        }
        self.merge_profiles(&report);
        if wants_reply {
            self.reply_profiles(from).await;
        } else if !self.is_neighbour(from) && self.profile_exchange().may_react() {
            let neighbours = self.neighbours();
            let targets = self
                .profile_exchange()
                .next_neighbours(&neighbours, FORWARD_FAN_OUT);
            self.send_profiles(report, &targets).await;
        }
    }

    fn merge_profiles(&self, report: &ProfileReportRow) {
        let index = self.state.back_end_index();
        let source = (report.origin, report.sequence);
        let mut placement = self.pipeline.placement();
        for row in &report.rows {
            let result = match (index.find(row.back_end), profile_from_wire(source, row)) {
                (_, None) => RowMerge::OutOfRange,
                (None, _) => RowMerge::UnknownBackEnd,
                (Some(back_end), _)
                    if incarnation_check(back_end.incarnation) != row.incarnation =>
                {
                    RowMerge::OtherIncarnation
                }
                (Some(back_end), Some(row)) => placement.profiles.merge(back_end, &row, now()),
            };
            self.pipeline.metrics().profile_row(result.as_str());
        }
    }

    async fn reply_profiles(&self, peer: SocketAddr) {
        if !self.profile_exchange().may_react() {
            return;
        }
        let rows = self
            .pipeline
            .placement()
            .profiles
            .own_rows(ROWS_PER_REPLY, now());
        if rows.is_empty() {
            return;
        }
        let report = self.profile_report(rows.iter().map(profile_to_wire).collect());
        self.send_profiles(report, &[peer]).await;
    }

    fn log_belief_changes(&self) {
        let changes = self
            .pipeline
            .placement()
            .profiles
            .take_belief_changes(MAX_CHANGES_LOGGED, now());
        for change in changes {
            log_belief_change(&change);
        }
    }

    fn profile_exchange(&self) -> MutexGuard<'_, ProfileExchange> {
        self.profile_exchange
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

fn log_belief_change(change: &BeliefChange) {
    tracing::info!(
        back_end = &*change.id,
        incarnation = change.incarnation.0,
        kind = change.kind.as_str(),
        factor_before = change.before,
        factor = change.factor,
        weight = change.weight,
        observers = change.observers,
        "back_end_speed_changed"
    );
}
