//! Gossip about rate limits that back ends set for all daemons together.
//!
//! The daemon whose request was answered with a limit learns of it first. The others must learn of
//! it before their own requests run into it one by one. A change is therefore published at once to
//! the neighbours and to a few daemons of every other zone, which forward it to their own
//! neighbours. Each second the limits in force are also sent to a few further neighbours, which
//! repairs the effect of lost datagrams. A daemon that starts asks for the limits.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::{BackEnd, Incarnation};
use ponddrift_fleet::rate_limits::{RateChange, RateMerge, RateRecord, RequestRate};

use super::Peers;
use super::message::{self, Message, RateRow};
use super::translate::{rate_from_wire, rate_to_wire};
use crate::back_end_index::hash;
use crate::time::{self, now};

/// Changes within this time after a first one share datagrams. The first is sent at once, so that
/// its information is not lost if this daemon ends right after it received the answer.
const BATCHING_DELAY: Duration = Duration::from_millis(2);
/// Delays after which a change is published again: a bad link may lose one datagram in thirty.
const REPUBLISH_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];
/// Interval between repair rounds, which publish the limits in force.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Number of limits in a repair round. With typical identities they fit into one datagram.
const REPAIR_ROUND_ROWS: usize = 24;
/// Number of neighbours that get a repair round. A daemon receives as many rounds per second as it
/// sends, so one that missed a change learns of it within about a second. A round of full datagrams
/// has 2.8 kB, a quarter of the bytes that a daemon may spend per second.
const REPAIR_FAN_OUT: usize = 2;

/// Times after the start at which a daemon asks for the limits in force. Right after the start it
/// may know no peers except its seeds, and these may be unreachable.
const REQUEST_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(200),
    Duration::from_millis(800),
];
/// Number of peers that are asked at a time.
const PEERS_PER_REQUEST: usize = 3;
/// Limit on the rate limits in the reply to a starting daemon. The repair rounds bring it the
/// others.
const MAX_LIMITS_IN_REPLY: usize = 256;

/// A limit received from a peer for a back end that is not known here yet.
#[derive(Debug)]
pub(super) struct PendingLimit {
    back_end: String,
    incarnation: Incarnation,
    received_record: RateRecord,
}

/// Back ends whose limits are to be published again, and when.
type Schedule = BTreeSet<(Instant, Arc<str>)>;

/// Position of the repair rounds in the lists of neighbours and limits.
#[derive(Debug, Default)]
struct RepairRounds {
    /// Number of neighbours that previous rounds were sent to.
    neighbours: usize,
    /// The last back end of the previous round.
    last: Option<Arc<str>>,
}

impl Peers {
    pub(super) async fn publish_rate_limits(self: Arc<Self>) {
        let changed = self.pipeline.changed_rate_limits();
        let mut scheduled = Schedule::new();
        let mut rounds = RepairRounds::default();
        let mut next_round = now() + REPAIR_INTERVAL;
        loop {
            let next = scheduled.first().map_or(next_round, |(at, _id)| *at);
            // Check for due work both after a timeout and after a notification.
            time::timeout_at(next.min(next_round), changed.wait()).await;
            let started = now();
            let mut due = changed.take();
            for id in &due {
                for delay in REPUBLISH_DELAYS {
                    scheduled.insert((started + delay, Arc::clone(id)));
                }
            }
            while scheduled.first().is_some_and(|(at, _id)| *at <= started) {
                due.extend(scheduled.pop_first().map(|(_at, id)| id));
            }
            self.publish_rates(due).await;
            if next_round <= started {
                next_round = started + REPAIR_INTERVAL;
                self.publish_repair_round(&mut rounds).await;
            }
            tokio::time::sleep(BATCHING_DELAY).await;
        }
    }

    /// Asks peers for the limits in force after the start, because this daemon does not know limits
    /// that were set before.
    pub(super) async fn request_rate_limits(self: Arc<Self>) {
        let started = now();
        for (attempt, after) in REQUEST_DELAYS.into_iter().enumerate() {
            time::sleep_until(started + after).await;
            let neighbours = self.neighbours();
            let next = neighbours.iter().cycle().skip(attempt * PEERS_PER_REQUEST);
            let targets: Vec<SocketAddr> = next
                .take(PEERS_PER_REQUEST.min(neighbours.len()))
                .copied()
                .collect();
            let request = message::encode(&Message::RateLimitsWanted);
            self.send(request, &targets).await;
        }
    }

    pub(super) async fn reply_rate_limits(&self, peer: SocketAddr) {
        let limited = self.pipeline.placement().rate_limits.limited();
        let rows = limited
            .iter()
            .take(MAX_LIMITS_IN_REPLY)
            .filter_map(|id| self.limit_row(id));
        for bytes in message::encode_rate_limits(rows.collect(), true) {
            self.send(Some(bytes), &[peer]).await;
        }
    }

    /// Publishes the limits of these back ends to neighbours and to a few daemons of every other
    /// zone.
    async fn publish_rates(&self, back_ends: BTreeSet<Arc<str>>) {
        if back_ends.is_empty() {
            return;
        }
        let rows: Vec<RateRow> = back_ends
            .iter()
            .filter_map(|id| self.limit_row(id))
            .collect();
        let mut targets = self.neighbours();
        targets.extend(&self.state.topology().remote_zone_peers);
        for bytes in message::encode_rate_limits(rows, true) {
            self.send(Some(bytes), &targets).await;
        }
    }

    /// Publishes the next few limits in force to the next few neighbours.
    async fn publish_repair_round(&self, rounds: &mut RepairRounds) {
        let limited = self.pipeline.placement().rate_limits.limited();
        if limited.is_empty() {
            return;
        }
        let begin = limited.partition_point(|id| Some(id) <= rounds.last.as_ref());
        let in_order = limited[begin..].iter().chain(&limited[..begin]);
        let round: Vec<&Arc<str>> = in_order.take(REPAIR_ROUND_ROWS).collect();
        rounds.last = round.last().map(|id| Arc::clone(id));
        let rows: Vec<RateRow> = round
            .into_iter()
            .filter_map(|id| self.limit_row(id))
            .collect();
        let neighbours = self.neighbours();
        let next = neighbours
            .iter()
            .cycle()
            .skip(rounds.neighbours % neighbours.len().max(1))
            .take(REPAIR_FAN_OUT.min(neighbours.len()));
        let targets: Vec<SocketAddr> = next.copied().collect();
        rounds.neighbours = rounds.neighbours.wrapping_add(REPAIR_FAN_OUT);
        for bytes in message::encode_rate_limits(rows, true) {
            self.send(Some(bytes), &targets).await;
        }
    }

    fn limit_row(&self, id: &Arc<str>) -> Option<RateRow> {
        let known = self.pipeline.placement().rate_limits.record(id)?;
        Some(rate_to_wire(id, known, now()))
    }

    /// Merges limits received from a peer. If the peer asks for it, replies with what the peer
    /// lacks: it may have started recently or missed datagrams.
    pub(super) async fn receive_rate_limits(
        &self,
        rows: &[RateRow],
        wants_more: bool,
        from: SocketAddr,
    ) {
        let index = self.state.back_end_index();
        let is_of_other_zone = !self.is_neighbour(from);
        let mut missing_there = Vec::new();
        for row in rows {
            let known = index.find(hash(&row.back_end));
            let (incarnation, received_record) = rate_from_wire(row, now());
            let Some(back_end) = known.filter(|known| *known.id == *row.back_end) else {
                self.hold_until_known(PendingLimit {
                    back_end: row.back_end.clone(),
                    incarnation,
                    received_record,
                });
                continue;
            };
            let merge = self.merge_rate(back_end, incarnation, &received_record);
            if merge.change.is_some() && is_of_other_zone {
                let changed = self.pipeline.changed_rate_limits();
                changed.add(Arc::clone(&back_end.id));
            }
            if merge.peer_is_behind {
                missing_there.extend(self.limit_row(&back_end.id));
            }
        }
        if wants_more {
            for bytes in message::encode_rate_limits(missing_there, false) {
                self.send(Some(bytes), &[from]).await;
            }
        }
    }
}

impl Peers {
    fn merge_rate(
        &self,
        back_end: &BackEnd,
        incarnation: Incarnation,
        received_record: &RateRecord,
    ) -> RateMerge {
        let mut placement = self.pipeline.placement();
        let limits = &mut placement.rate_limits;
        let merge = limits.merge(back_end, incarnation, received_record, now());
        drop(placement);
        if let Some(change) = merge.change {
            log_rate_change(&back_end.id, incarnation.0, change, "peer");
            self.pipeline.notify_rate_change();
        }
        merge
    }

    /// Keeps a limit until its back end is known. A starting daemon receives limits before it has
    /// read the directory, and its first requests must observe them. After the read, limits of
    /// unknown back ends are dropped, because the repair rounds bring them again.
    fn hold_until_known(&self, limit: PendingLimit) {
        let mut pending = self.pending_limits();
        if self.state.position().is_none() && pending.len() < MAX_LIMITS_IN_REPLY {
            pending.push(limit);
        }
    }

    /// Applies the pending limits while the directory is being read.
    pub(super) async fn apply_pending_limits_while_reading(self: Arc<Self>) {
        while self.state.position().is_none() {
            self.state.read_progressed().notified().await;
            self.apply_pending_limits();
        }
        self.pending_limits().clear();
    }

    fn apply_pending_limits(&self) {
        let index = self.state.back_end_index();
        let pending = std::mem::take(&mut *self.pending_limits());
        for limit in pending {
            let known = index.find(hash(&limit.back_end));
            match known.filter(|known| *known.id == *limit.back_end) {
                Some(back_end) => {
                    self.merge_rate(back_end, limit.incarnation, &limit.received_record);
                }
                None => self.pending_limits().push(limit),
            }
        }
    }
}

/// Logs a changed rate limit of a back end. `source` names where the change came from.
pub(crate) fn log_rate_change(
    back_end: &str,
    incarnation: u64,
    change: RateChange,
    source: &'static str,
) {
    tracing::info!(
        back_end,
        incarnation,
        rate_before = change.before.map(RequestRate::per_second),
        rate = change.after.map(RequestRate::per_second),
        source,
        "rate_limit_changed"
    );
}
