//! Publishes gossip to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::far_pace::FarPace;
use ponddrift_fleet::followers::GOSSIP_INTERVAL;
use ponddrift_fleet::topology::Topology;
use ponddrift_fleet::usage::TallyOf;
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc;

use super::message::{self, Digest, Message, ReportRow};
use super::translate::{
    away_to_wire, head_to_wire, reading_to_wire, result_to_wire, row_to_wire, work_to_wire,
};
use super::{Forwarded, Peers};
use crate::back_end_index::hash;
use crate::store::Changes;
use crate::time::{self, now};
use crate::usage::UsageRecorder;

/// Time between two digests to peers while nothing changes.
const IDLE_GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Changes within this time are published together.
const GATHERING_TIME: Duration = Duration::from_millis(8);
/// Reports of other zones are gathered for longer before they are forwarded.
const FORWARDING_INTERVAL: Duration = Duration::from_millis(40);
/// Time that each neighbour adds to the shortest interval between two digests: it bounds the rate at which a daemon receives
/// them from all neighbours together.
const TIME_PER_NEIGHBOUR: Duration = Duration::from_millis(1);

/// Time between two copies of what was counted: what a killed daemon counted since then is lost.
const USAGE_INTERVAL: Duration = Duration::from_millis(250);
/// Neighbours that get each digest while nothing urgent changes.
const FAN_OUT: usize = 24;

/// Why a digest is published now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// It is time.
    Interval,
    /// Own work that weighs began or ended.
    OwnWork,
    /// There are reports of other zones to forward.
    Forwarded,
}

impl Peers {
    pub(super) async fn publish(self: Arc<Self>) {
        /// Makes this seed differ from the pipeline's.
        const SEED_PART: u64 = 0x7065_6572;
        let mut random = Pcg64Mcg::seed_from_u64(self.runtime.seed ^ SEED_PART);
        let mut sequence = 0;
        let mut last_interval = now();
        let mut far_pace = FarPace::default();
        loop {
            let begun = now();
            let spread = random.random_range(0.9..1.1);
            let reason = self.next_reason(last_interval, spread).await;
            time::notice_suspension();
            if reason == Reason::Interval {
                last_interval = now();
            }
            let topology = self.state.topology();
            let neighbours = u32::try_from(topology.neighbours.len()).unwrap_or(u32::MAX);
            time::sleep_until(begun + TIME_PER_NEIGHBOUR * neighbours).await;
            sequence += 1;
            self.publish_digest(&topology, sequence, reason, &mut far_pace)
                .await;
            if reason == Reason::Interval {
                self.publish_retained(sequence).await;
            }
        }
    }

    /// Waits until there is a reason to publish, and a little longer so that changes close together share a digest.
    async fn next_reason(&self, last_interval: Instant, spread: f64) -> Reason {
        let interval = if self.state.topology().follows_store {
            GOSSIP_INTERVAL
        } else {
            IDLE_GOSSIP_INTERVAL
        };
        let due = last_interval + interval.mul_f64(spread);
        let reason = tokio::select! {
            biased;
            () = self.pipeline.heavy_work_changed().notified() => Reason::OwnWork,
            () = self.has_to_forward.notified() => Reason::Forwarded,
            () = time::sleep_until(due) => Reason::Interval,
        };
        match reason {
            Reason::Interval => {}
            Reason::OwnWork => tokio::time::sleep(GATHERING_TIME).await,
            Reason::Forwarded => {
                let own_work = self.pipeline.heavy_work_changed().notified();
                // Own work is published sooner, and the forwarded reports go along.
                if tokio::time::timeout(FORWARDING_INTERVAL, own_work)
                    .await
                    .is_ok()
                {
                    tokio::time::sleep(GATHERING_TIME).await;
                    return Reason::OwnWork;
                }
            }
        }
        reason
    }

    async fn publish_digest(
        &self,
        topology: &Topology,
        sequence: u32,
        reason: Reason,
        far_pace: &mut FarPace,
    ) {
        self.pipeline.set_daemons(topology.daemons);
        self.pipeline
            .set_members(&self.state.members(), self.members_trust());
        let forwarded = std::mem::take(&mut *self.to_forward());
        let own = self.digest(sequence);
        let has_news = !own.heads.is_empty() || !own.away.is_empty();
        let concerns_far = has_news || reason != Reason::Forwarded;
        if concerns_far && far_pace.is_due(own.tells_of_work(), now()) {
            self.send(own.clone().encode(), &topology.remote_zone_peers)
                .await;
        }
        let for_neighbours = with_forwarded(own, forwarded);
        let neighbours = self.neighbours();
        // Neighbours rely on hearing a follower.
        let all = reason != Reason::Interval || has_news || topology.follows_store;
        let targets = if all {
            neighbours
        } else {
            in_turn(&neighbours, sequence)
        };
        self.send(for_neighbours.encode(), &targets).await;
    }

    pub(super) async fn send(&self, bytes: Option<Vec<u8>>, targets: &[SocketAddr]) {
        let Some(bytes) = bytes else {
            return;
        };
        for target in targets {
            // A datagram that cannot be sent is as good as a lost one.
            drop(self.socket.send_to(&bytes, *target).await);
        }
    }

    fn digest(&self, sequence: u32) -> Digest {
        let mut placement = self.pipeline.placement();
        placement.load.expire(now());
        let rows = placement.load.own_rows();
        let heads = placement.prefixes.take_unpublished();
        let readings = placement.speed.take_unpublished();
        let results = placement.health.take_unpublished();
        let unwell = placement.health.ejected();
        let away = placement.suspended_engines(now());
        let work = placement.work.rates(now());
        drop(placement);
        let store_silence = self.following.store_silence();
        let time_of_day = self.runtime.clock.time_of_day();
        Digest {
            time_of_day_ms: u64::try_from(time_of_day.as_millis()).unwrap_or(u64::MAX),
            position: self.state.position().unwrap_or_default(),
            store_silence_ms: store_silence
                .map(|silence| u16::try_from(silence.as_millis()).unwrap_or(u16::MAX)),
            reports: vec![ReportRow {
                origin: self.origin,
                sequence,
                rows: rows.iter().map(row_to_wire).collect(),
            }],
            heads: heads.iter().map(head_to_wire).collect(),
            readings: readings.iter().map(reading_to_wire).collect(),
            results: results.iter().map(result_to_wire).collect(),
            unwell: unwell.iter().map(|id| hash(id)).collect(),
            away: away.iter().map(away_to_wire).collect(),
            work: work.iter().map(work_to_wire).collect(),
        }
    }

    /// Sends copies of what this daemon counted to the neighbours that keep them.
    pub(super) async fn replicate_usage(self: Arc<Self>, recorder: Arc<UsageRecorder>) {
        let mut replicas = Vec::new();
        let mut is_handed_over = false;
        loop {
            tokio::time::sleep(USAGE_INTERVAL).await;
            let topology = self.state.topology();
            if topology.usage_replicas != replicas {
                replicas.clone_from(&topology.usage_replicas);
                recorder.send_all_again();
            }
            self.send_usage(&recorder.take_unsent(), &replicas).await;
            if self.pipeline.is_stopping() && !is_handed_over {
                // Daemons that stopped before may have left their counts to this one.
                self.send_usage(&recorder.all_kept(), &replicas).await;
                is_handed_over = true;
            }
        }
    }

    async fn send_usage(&self, copies: &[TallyOf], replicas: &[SocketAddr]) {
        for bytes in copies.iter().flat_map(message::encode_usage) {
            self.send(Some(bytes), replicas).await;
        }
    }

    /// Publishes changes of the store to neighbours. What does not fit into a datagram they fetch, since the next digest
    /// shows that there is more.
    pub(super) async fn publish_changes(self: Arc<Self>, mut unpublished: mpsc::Receiver<Changes>) {
        while let Some(changes) = unpublished.recv().await {
            let at = changes.at;
            let in_doubt = self.state.is_in_doubt(now());
            let whole = message::encode(&Message::Changes { changes, in_doubt });
            let bytes = whole.or_else(|| {
                let notice = Digest {
                    position: at,
                    ..Digest::default()
                };
                notice.encode()
            });
            self.send(bytes, &self.neighbours()).await;
        }
    }
}

/// While nothing urgent changes, each digest goes to a part of many neighbours: to all of them within the life of a report.
pub(super) fn in_turn(neighbours: &[SocketAddr], sequence: u32) -> Vec<SocketAddr> {
    if neighbours.len() <= FAN_OUT {
        return neighbours.to_vec();
    }
    let rounds = usize::try_from(sequence).unwrap_or_default();
    let begin = rounds.wrapping_mul(FAN_OUT) % neighbours.len();
    let from_there = neighbours.iter().cycle().skip(begin);
    from_there.take(FAN_OUT).copied().collect()
}

fn with_forwarded(own: Digest, forwarded: Forwarded) -> Digest {
    let mut digest = own;
    digest.reports.extend(forwarded.reports);
    digest.heads.extend(forwarded.heads);
    digest.away.extend(forwarded.away);
    digest
}
