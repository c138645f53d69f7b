//! Tells peers of rate limits that back ends set for all daemons together.
//!
//! A limit is heard first by the daemon that a request was answered to. All others must know of it before requests of their own find out,
//! each: a change goes at once to the neighbours and to a few daemons of every other zone, who tell their own neighbours. Each second the
//! limits in force go to a few neighbours more, which brings them to a daemon that has started or has lost what it was told.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::rate_limits::{RateChange, RequestRate};

use super::Peers;
use super::message::{self, Message, RateRow};
use super::translate::{rate_from_wire, rate_to_wire};
use crate::back_end_index::hash;
use crate::time::{self, now};

/// Changes within this time are told together.
const GATHERING_TIME: Duration = Duration::from_millis(2);
/// When a change is told again: one datagram in thirty may be lost on a bad link.
const TOLD_AGAIN_AFTER: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];
/// Time between two rounds that tell what is in force.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Limits that a round tells: with the usual identities they fit into one datagram.
const ROUND_ROWS: usize = 24;
/// Neighbours that a round goes to: a daemon hears as many rounds a second as it sends, so one that starts knows the limits within
/// about a second. With a full datagram a round takes 2.8 kB, a quarter of the bytes a second that a daemon may use.
const REPAIR_FAN_OUT: usize = 2;

/// When a daemon that has started asks for the limits in force, after its start: at once it may know no peers yet but its seeds, and these may be
/// down.
const ASKED_AFTER: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(60),
    Duration::from_millis(200),
    Duration::from_millis(800),
];
/// Peers that are asked at a time.
const ASKED_PEERS: usize = 3;
/// Limits that a daemon which asks is told, at most: the rounds bring it the others.
const MOST_TOLD: usize = 256;

/// Back ends whose limits are to be told again, and when.
type Schedule = BTreeSet<(Instant, Arc<str>)>;

/// Where the rounds have come to.
#[derive(Debug, Default)]
struct RepairRounds {
    /// Neighbours that were told so far.
    neighbours: usize,
    /// The last back end whose limit a round told.
    last: Option<Arc<str>>,
}

impl Peers {
    pub(super) async fn publish_rate_limits(self: Arc<Self>) {
        let changed = self.pipeline.changed_rate_limits();
        let mut again = Schedule::new();
        let mut rounds = RepairRounds::default();
        let mut next_round = now() + REPAIR_INTERVAL;
        loop {
            let next = again.first().map_or(next_round, |(at, _id)| *at);
            // Either way it is looked at anew.
            time::timeout_at(next.min(next_round), changed.wait()).await;
            tokio::time::sleep(GATHERING_TIME).await;
            let begun = now();
            let mut due = changed.take();
            for id in &due {
                for pause in TOLD_AGAIN_AFTER {
                    again.insert((begun + pause, Arc::clone(id)));
                }
            }
            while again.first().is_some_and(|(at, _id)| *at <= begun) {
                due.extend(again.pop_first().map(|(_at, id)| id));
            }
            self.tell_rates(due).await;
            if next_round <= begun {
                next_round = begun + REPAIR_INTERVAL;
                self.tell_a_round(&mut rounds).await;
            }
        }
    }

    /// Asks peers for the limits in force, once after the start: what this daemon does not know of may hold all the same.
    pub(super) async fn ask_for_rate_limits(self: Arc<Self>) {
        let begun = now();
        for (asked, after) in ASKED_AFTER.into_iter().enumerate() {
            time::sleep_until(begun + after).await;
            let neighbours = self.neighbours();
            let next = neighbours.iter().cycle().skip(asked * ASKED_PEERS);
            let targets: Vec<SocketAddr> = next
                .take(ASKED_PEERS.min(neighbours.len()))
                .copied()
                .collect();
            let question = message::encode(&Message::RateLimitsWanted);
            self.send(question, &targets).await;
        }
    }

    pub(super) async fn tell_rates_in_force(&self, peer: SocketAddr) {
        let limited = self.pipeline.placement().rate_limits.limited();
        let rows = limited
            .iter()
            .take(MOST_TOLD)
            .filter_map(|id| self.rate_row(id));
        for bytes in message::encode_rates(rows.collect(), true) {
            self.send(Some(bytes), &[peer]).await;
        }
    }

    /// Tells neighbours and a few daemons of every other zone what is known of these back ends.
    async fn tell_rates(&self, back_ends: BTreeSet<Arc<str>>) {
        if back_ends.is_empty() {
            return;
        }
        let rows: Vec<RateRow> = back_ends
            .iter()
            .filter_map(|id| self.rate_row(id))
            .collect();
        let mut targets = self.neighbours();
        targets.extend(&self.state.topology().far);
        for bytes in message::encode_rates(rows, true) {
            self.send(Some(bytes), &targets).await;
        }
    }

    /// Tells the next neighbours of limits in force, some at a time.
    async fn tell_a_round(&self, rounds: &mut RepairRounds) {
        let limited = self.pipeline.placement().rate_limits.limited();
        if limited.is_empty() {
            return;
        }
        let begin = limited.partition_point(|id| Some(id) <= rounds.last.as_ref());
        let in_order = limited[begin..].iter().chain(&limited[..begin]);
        let told: Vec<&Arc<str>> = in_order.take(ROUND_ROWS).collect();
        rounds.last = told.last().map(|id| Arc::clone(id));
        let rows: Vec<RateRow> = told
            .into_iter()
            .filter_map(|id| self.rate_row(id))
            .collect();
        let neighbours = self.neighbours();
        let next = neighbours
            .iter()
            .cycle()
            .skip(rounds.neighbours % neighbours.len().max(1))
            .take(REPAIR_FAN_OUT.min(neighbours.len()));
        let targets: Vec<SocketAddr> = next.copied().collect();
        rounds.neighbours = rounds.neighbours.wrapping_add(REPAIR_FAN_OUT);
        for bytes in message::encode_rates(rows, true) {
            self.send(Some(bytes), &targets).await;
        }
    }

    fn rate_row(&self, id: &Arc<str>) -> Option<RateRow> {
        let known = self.pipeline.placement().rate_limits.record(id)?;
        Some(rate_to_wire(id, known, now()))
    }

    /// Takes what a peer knows. Where it asks for that, it is told what it lacks: it may have started a moment ago, or datagrams were lost.
    pub(super) async fn take_rates(&self, rows: &[RateRow], wants_more: bool, from: SocketAddr) {
        let index = self.state.back_end_index();
        let is_far = !self.is_neighbour(from);
        let mut missing_there = Vec::new();
        for row in rows {
            let known = index.find(hash(&row.back_end));
            // One that is not known here yet is told of again.
            let Some(back_end) = known.filter(|known| *known.id == *row.back_end) else {
                continue;
            };
            let (incarnation, theirs) = rate_from_wire(row, now());
            let merge =
                self.pipeline
                    .placement()
                    .rate_limits
                    .merge(back_end, incarnation, &theirs, now());
            if let Some(change) = merge.change {
                log_rate_change(&row.back_end, incarnation.0, change, "peer");
                self.pipeline.rates_have_changed();
                if is_far {
                    self.pipeline
                        .changed_rate_limits()
                        .add(Arc::clone(&back_end.id));
                }
            }
            if merge.knows_more {
                missing_there.extend(self.rate_row(&back_end.id));
            }
        }
        if wants_more {
            for bytes in message::encode_rates(missing_there, false) {
                self.send(Some(bytes), &[from]).await;
            }
        }
    }
}

/// Logs that a back end's limit is another than before; `source` tells by what.
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
