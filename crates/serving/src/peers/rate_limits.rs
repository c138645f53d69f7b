//! Gossip of rate limits that back ends set for all daemons together.
//!
//! A limit first reaches the daemon whose request was answered with it. All others must learn of it before requests of their own show it,
//! one by one: a change is published at once to the neighbours and to a few daemons of every other zone, who forward it to their own
//! neighbours. Each second the limits in force go to a few neighbours more, which repairs what lost datagrams left out. A daemon that
//! starts asks for them.

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

/// Changes within this time after one share datagrams. The first goes out at once: a daemon that ends right after its answer would take
/// what it learned with it.
const GATHERING_TIME: Duration = Duration::from_millis(2);
/// When a change is published again: one datagram in thirty may be lost on a bad link.
const REPEATED_AFTER: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];
/// Time between two repair rounds, which publish what is in force.
const REPAIR_INTERVAL: Duration = Duration::from_secs(1);
/// Limits of a repair round: with the usual identities they fit into one datagram.
const ROUND_ROWS: usize = 24;
/// Neighbours that a repair round goes to: a daemon receives as many rounds a second as it sends, so one that missed a change learns of it within
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
/// Limits in the reply to a daemon that asks, at most: the repair rounds bring it the others.
const MOST_IN_REPLY: usize = 256;

/// What a peer knows of the limit of a back end that is not known here yet.
#[derive(Debug)]
pub(super) struct EarlyLimit {
    back_end: String,
    incarnation: Incarnation,
    theirs: RateRecord,
}

/// Back ends whose limits are to be published again, and when.
type Schedule = BTreeSet<(Instant, Arc<str>)>;

/// Where the repair rounds have come to.
#[derive(Debug, Default)]
struct RepairRounds {
    /// Neighbours that rounds went to so far.
    neighbours: usize,
    /// The last back end of the last round.
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
            let begun = now();
            let mut due = changed.take();
            for id in &due {
                for pause in REPEATED_AFTER {
                    again.insert((begun + pause, Arc::clone(id)));
                }
            }
            while again.first().is_some_and(|(at, _id)| *at <= begun) {
                due.extend(again.pop_first().map(|(_at, id)| id));
            }
            self.publish_rates(due).await;
            if next_round <= begun {
                next_round = begun + REPAIR_INTERVAL;
                self.publish_repair_round(&mut rounds).await;
            }
            tokio::time::sleep(GATHERING_TIME).await;
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

    pub(super) async fn send_rates_in_force(&self, peer: SocketAddr) {
        let limited = self.pipeline.placement().rate_limits.limited();
        let rows = limited
            .iter()
            .take(MOST_IN_REPLY)
            .filter_map(|id| self.rate_row(id));
        for bytes in message::encode_rates(rows.collect(), true) {
            self.send(Some(bytes), &[peer]).await;
        }
    }

    /// Publishes what is known of these back ends to neighbours and a few daemons of every other zone.
    async fn publish_rates(&self, back_ends: BTreeSet<Arc<str>>) {
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

    /// Publishes limits in force to the next neighbours, some at a time.
    async fn publish_repair_round(&self, rounds: &mut RepairRounds) {
        let limited = self.pipeline.placement().rate_limits.limited();
        if limited.is_empty() {
            return;
        }
        let begin = limited.partition_point(|id| Some(id) <= rounds.last.as_ref());
        let in_order = limited[begin..].iter().chain(&limited[..begin]);
        let round: Vec<&Arc<str>> = in_order.take(ROUND_ROWS).collect();
        rounds.last = round.last().map(|id| Arc::clone(id));
        let rows: Vec<RateRow> = round
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

    /// Merges what a peer knows. Where it asks for that, it is sent what it lacks: it may have started a moment ago, or datagrams were lost.
    pub(super) async fn receive_rates(&self, rows: &[RateRow], wants_more: bool, from: SocketAddr) {
        let index = self.state.back_end_index();
        let is_far = !self.is_neighbour(from);
        let mut missing_there = Vec::new();
        for row in rows {
            let known = index.find(hash(&row.back_end));
            let (incarnation, theirs) = rate_from_wire(row, now());
            let Some(back_end) = known.filter(|known| *known.id == *row.back_end) else {
                self.keep_until_known(EarlyLimit {
                    back_end: row.back_end.clone(),
                    incarnation,
                    theirs,
                });
                continue;
            };
            let merge = self.merge_rate(back_end, incarnation, &theirs);
            if merge.change.is_some() && is_far {
                let changed = self.pipeline.changed_rate_limits();
                changed.add(Arc::clone(&back_end.id));
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

impl Peers {
    fn merge_rate(
        &self,
        back_end: &BackEnd,
        incarnation: Incarnation,
        theirs: &RateRecord,
    ) -> RateMerge {
        let mut placement = self.pipeline.placement();
        let limits = &mut placement.rate_limits;
        let merge = limits.merge(back_end, incarnation, theirs, now());
        drop(placement);
        if let Some(change) = merge.change {
            log_rate_change(&back_end.id, incarnation.0, change, "peer");
            self.pipeline.rates_have_changed();
        }
        merge
    }

    /// A daemon that starts is told of limits before it has read which back ends there are: its first requests must keep them all the
    /// same. Once it has read them, the repair rounds bring the limit of one that is new to it.
    fn keep_until_known(&self, limit: EarlyLimit) {
        let mut early = self.early_limits();
        if self.state.position().is_none() && early.len() < MOST_IN_REPLY {
            early.push(limit);
        }
    }

    /// Takes the limits that were told too early, as the directory is read.
    pub(super) async fn take_early_limits(self: Arc<Self>) {
        while self.state.position().is_none() {
            self.state.read_progressed().notified().await;
            self.take_limits_of_known();
        }
        self.early_limits().clear();
    }

    fn take_limits_of_known(&self) {
        let index = self.state.back_end_index();
        let early = std::mem::take(&mut *self.early_limits());
        for limit in early {
            let known = index.find(hash(&limit.back_end));
            match known.filter(|known| *known.id == *limit.back_end) {
                Some(back_end) => {
                    self.merge_rate(back_end, limit.incarnation, &limit.theirs);
                }
                None => self.early_limits().push(limit),
            }
        }
    }
}

/// Logs that a back end's limit is another than before; `source` names what showed it.
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
