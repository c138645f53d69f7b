//! Publishes gossip to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::cross_zone_pacer::CrossZonePacer;
use ponddrift_fleet::followers::GOSSIP_INTERVAL;
use ponddrift_fleet::store_doubt::OutageReport;
use ponddrift_fleet::topology::Topology;
use ponddrift_fleet::usage::TallyRecord;
use rand::{RngExt as _, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::mpsc;

use super::message::{self, Digest, LoadReportRow, Message, StoreContact};
use super::translate::{
    load_row_to_wire, prefill_timing_to_wire, prefix_to_wire, result_to_wire, unavailable_to_wire,
    work_to_wire,
};
use super::{Forwarded, Peers};
use crate::back_end_index::hash;
use crate::store::Changes;
use crate::time::{self, now};
use crate::usage::UsageRecorder;

/// Interval between digests while nothing changes, for daemons that do not follow the store.
const IDLE_GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Changes within this time are published in one digest.
const BATCHING_DELAY: Duration = Duration::from_millis(8);
/// Reports of other zones are batched for longer before they are forwarded.
const FORWARDING_DELAY: Duration = Duration::from_millis(40);
/// The minimum interval between two digests is this time multiplied by the number of neighbours. It
/// bounds the rate at which a daemon receives digests from all neighbours together.
const MIN_INTERVAL_PER_NEIGHBOUR: Duration = Duration::from_millis(1);

/// Interval at which usage counts are replicated. If a daemon is killed, its counts since then are
/// lost.
const USAGE_REPLICATION_INTERVAL: Duration = Duration::from_millis(250);
/// Number of neighbours that get each digest while nothing urgent changes.
const IDLE_FAN_OUT: usize = 24;

/// Why a digest is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    /// The regular interval has passed.
    Interval,
    /// Significant own work started or ended.
    OwnWork,
    /// There are reports of other zones to forward.
    Forwarded,
}

impl Peers {
    pub(super) async fn publish(self: Arc<Self>) {
        /// Makes the random sequence differ from the pipeline's.
        const SEED_SALT: u64 = 0x7065_6572;
        let mut random = Pcg64Mcg::seed_from_u64(self.runtime.seed ^ SEED_SALT);
        let mut sequence = 0;
        let mut last_interval = now();
        let mut cross_zone_pacer = CrossZonePacer::default();
        loop {
            let started = now();
            let jitter = random.random_range(0.9..1.1);
            let reason = self.next_reason(last_interval, jitter).await;
            time::detect_suspension();
            if reason == Reason::Interval {
                last_interval = now();
            }
            let topology = self.state.topology();
            let neighbours = u32::try_from(topology.neighbours.len()).unwrap_or(u32::MAX);
            time::sleep_until(started + MIN_INTERVAL_PER_NEIGHBOUR * neighbours).await;
            sequence += 1;
            self.publish_digest(&topology, sequence, reason, &mut cross_zone_pacer)
                .await;
            if reason == Reason::Interval {
                self.publish_retained(sequence).await;
            }
        }
    }

    /// Waits for a reason to publish, then for a short time so that nearby changes share a digest.
    async fn next_reason(&self, last_interval: Instant, jitter: f64) -> Reason {
        let interval = if self.state.topology().follows_store {
            GOSSIP_INTERVAL
        } else {
            IDLE_GOSSIP_INTERVAL
        };
        let due = last_interval + interval.mul_f64(jitter);
        let reason = tokio::select! {
            biased;
            () = self.pipeline.heavy_work_changed().notified() => Reason::OwnWork,
            () = self.has_to_forward.notified() => Reason::Forwarded,
            () = time::sleep_until(due) => Reason::Interval,
        };
        match reason {
            Reason::Interval => {}
            Reason::OwnWork => tokio::time::sleep(BATCHING_DELAY).await,
            Reason::Forwarded => {
                let own_work = self.pipeline.heavy_work_changed().notified();
                // Own work is published sooner, and the forwarded reports are included.
                if tokio::time::timeout(FORWARDING_DELAY, own_work)
                    .await
                    .is_ok()
                {
                    tokio::time::sleep(BATCHING_DELAY).await;
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
        cross_zone_pacer: &mut CrossZonePacer,
    ) {
        self.pipeline.set_daemons(topology.daemons);
        self.pipeline
            .set_members(&self.state.members(), self.members_trust());
        let forwarded = std::mem::take(&mut *self.to_forward());
        let own = self.digest(sequence);
        let is_urgent = !own.prefixes.is_empty() || !own.unavailable.is_empty();
        let is_for_far_peers = is_urgent || reason != Reason::Forwarded;
        if is_for_far_peers && cross_zone_pacer.is_due(own.contains_work(), now()) {
            self.send(own.clone().encode(), &topology.remote_zone_peers)
                .await;
        }
        let for_neighbours = with_forwarded(own, forwarded);
        let neighbours = self.neighbours();
        // Neighbours rely on regular digests from daemons that follow the store.
        let send_to_all = reason != Reason::Interval || is_urgent || topology.follows_store;
        let targets = if send_to_all {
            neighbours
        } else {
            next_targets(&neighbours, sequence)
        };
        self.send(for_neighbours.encode(), &targets).await;
    }

    pub(super) async fn send(&self, bytes: Option<Vec<u8>>, targets: &[SocketAddr]) {
        let Some(bytes) = bytes else {
            return;
        };
        for target in targets {
            // A datagram that cannot be sent is treated like a lost one.
            drop(self.socket.send_to(&bytes, *target).await);
        }
    }

    fn digest(&self, sequence: u32) -> Digest {
        let mut placement = self.pipeline.placement();
        placement.load.expire(now());
        let rows = placement.load.own_rows();
        let prefixes = placement.prefixes.take_unpublished();
        let prefill_timings = placement.speed.take_unpublished();
        let results = placement.health.take_unpublished();
        let unhealthy = placement.health.ejected();
        let unavailable = placement.suspended_engines(now());
        let work = placement.work.rates(now());
        drop(placement);
        let contact = self.store_contact();
        let time_of_day = self.runtime.clock.time_of_day();
        Digest {
            time_of_day_ms: u64::try_from(time_of_day.as_millis()).unwrap_or(u64::MAX),
            position: contact.position,
            store_silence_ms: contact.store_silence_ms,
            reports: vec![LoadReportRow {
                origin: self.origin,
                sequence,
                rows: rows.iter().map(load_row_to_wire).collect(),
            }],
            prefixes: prefixes.iter().map(prefix_to_wire).collect(),
            prefill_timings: prefill_timings.iter().map(prefill_timing_to_wire).collect(),
            results: results.iter().map(result_to_wire).collect(),
            unhealthy: unhealthy.iter().map(|id| hash(id)).collect(),
            unavailable: unavailable.iter().map(unavailable_to_wire).collect(),
            work: work.iter().map(work_to_wire).collect(),
        }
    }

    /// What this daemon knows of the store. Before the first full read, the position is the lowest
    /// one, from which no receiver fetches anything.
    pub(super) fn store_contact(&self) -> StoreContact {
        let store_silence = self.follow_status.store_silence();
        StoreContact {
            position: self.state.position().unwrap_or_default(),
            store_silence_ms: store_silence
                .map(|silence| u16::try_from(silence.as_millis()).unwrap_or(u16::MAX)),
        }
    }

    /// Sends copies of this daemon's usage counts to the neighbours that keep replicas.
    pub(super) async fn replicate_usage(self: Arc<Self>, recorder: Arc<UsageRecorder>) {
        let mut replicas = Vec::new();
        let mut has_sent_all = false;
        loop {
            tokio::time::sleep(USAGE_REPLICATION_INTERVAL).await;
            let topology = self.state.topology();
            if topology.usage_replicas != replicas {
                replicas.clone_from(&topology.usage_replicas);
                recorder.resend_all();
            }
            self.send_usage(&recorder.take_unsent(), &replicas).await;
            if self.pipeline.is_stopping() && !has_sent_all {
                // Daemons that stopped earlier may have replicated their counts only to this one.
                self.send_usage(&recorder.all_copies(), &replicas).await;
                has_sent_all = true;
            }
        }
    }

    async fn send_usage(&self, copies: &[TallyRecord], replicas: &[SocketAddr]) {
        for bytes in copies.iter().flat_map(message::encode_usage) {
            self.send(Some(bytes), replicas).await;
        }
    }

    /// Publishes changes of the store to neighbours. Neighbours fetch what does not fit into a
    /// datagram; the digest sent in its place shows them the newer position.
    pub(super) async fn publish_changes(self: Arc<Self>, mut unpublished: mpsc::Receiver<Changes>) {
        while let Some(changes) = unpublished.recv().await {
            let at = changes.at;
            let outage = self.state.outage_report(now());
            let whole = message::encode(&changes_to_wire(changes, outage));
            let bytes = whole.or_else(|| {
                let position_digest = Digest {
                    position: at,
                    ..Digest::default()
                };
                position_digest.encode()
            });
            self.send(bytes, &self.neighbours()).await;
        }
    }
}

/// The neighbours that get the digest with the given number while nothing urgent changes.
/// Successive digests go to successive groups, so that all neighbours are covered before a report
/// expires.
pub(super) fn next_targets(neighbours: &[SocketAddr], sequence: u32) -> Vec<SocketAddr> {
    if neighbours.len() <= IDLE_FAN_OUT {
        return neighbours.to_vec();
    }
    let round = usize::try_from(sequence).unwrap_or_default();
    let begin = round.wrapping_mul(IDLE_FAN_OUT) % neighbours.len();
    let rotated = neighbours.iter().cycle().skip(begin);
    rotated.take(IDLE_FAN_OUT).copied().collect()
}

fn changes_to_wire(changes: Changes, outage: Option<OutageReport>) -> Message {
    let Some(outage) = outage else {
        return Message::Changes {
            changes,
            in_doubt: false,
        };
    };
    let whole_ms = |time: Duration| u16::try_from(time.as_millis()).unwrap_or(u16::MAX);
    Message::ChangesAfterOutage {
        changes,
        failed_ms_ago: whole_ms(outage.failed_ago),
        doubt_left_ms: whole_ms(outage.doubt_left),
    }
}

fn with_forwarded(own: Digest, forwarded: Forwarded) -> Digest {
    let mut digest = own;
    digest.reports.extend(forwarded.reports);
    digest.prefixes.extend(forwarded.prefixes);
    digest.unavailable.extend(forwarded.unavailable);
    digest
}
