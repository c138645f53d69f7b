//! Informs peers about requests, and parts of prompts, during whose runs engines ended.
//!
//! A single lost run is weak evidence, and every crash of an engine loses all of its requests. It
//! is therefore sent only to a few recorders, chosen by the request's fingerprint, so that runs
//! lost at different daemons are counted together. From the second engine on, and when a request is
//! cleared, all daemons are informed at once, and again later because datagrams may be lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::fingerprint::Fingerprint;
use ponddrift_fleet::quarantine::{Standing, SuspectKind, Suspicion};
use ponddrift_fleet::topology::SMALL_FLEET_MAX_DAEMONS;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peers;
use super::message;
use super::translate::{part_to_wire, suspicion_to_wire};
use crate::fleet_state::daemon_identity;
use crate::time::{self, now};

/// Runs that are lost within this time are published together.
const BATCHING_DELAY: Duration = Duration::from_millis(5);
/// Delays after which information for all daemons is sent again. Datagrams may be lost, and a
/// daemon that misses one may send the request to another engine.
const REPUBLISH_DELAYS: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(600)];
/// Maximum number of suspects that are published at once, about 70 bytes each. An engine that ends may
/// lose prompts with a thousand parts each; of those the least significant are left out.
const MAX_PUBLISHED_SUSPECTS: usize = 512;
/// Number of daemons that record single lost runs of a request. Two of them may be lost.
const RECORDER_COUNT: usize = 3;

/// Requests that are to be published again, and when.
type Schedule = BTreeSet<(Instant, Fingerprint)>;

impl Peers {
    pub(super) async fn publish_suspects(self: Arc<Self>) {
        let changed = self.pipeline.changed_suspects();
        let mut scheduled = Schedule::new();
        loop {
            let next = scheduled.first().map(|(at, _fingerprint)| *at);
            match next {
                None => changed.wait().await,
                Some(at) => {
                    time::timeout_at(at, changed.wait()).await;
                }
            }
            tokio::time::sleep(BATCHING_DELAY).await;
            let new_changes = changed.take();
            let started = now();
            for fingerprint in &new_changes {
                for delay in REPUBLISH_DELAYS {
                    scheduled.insert((started + delay, *fingerprint));
                }
            }
            let not_due = scheduled.split_off(&(started, Fingerprint::MIN));
            let due = std::mem::replace(&mut scheduled, not_due);
            let mut requests: BTreeMap<Fingerprint, bool> = due
                .into_iter()
                .map(|(_at, fingerprint)| (fingerprint, false))
                .collect();
            let new_changes = new_changes.into_iter();
            requests.extend(new_changes.map(|fingerprint| (fingerprint, true)));
            self.publish_requests(requests).await;
        }
    }

    /// Publishes what is known of these requests. Requests without new information are published
    /// only if they concern all daemons.
    async fn publish_requests(&self, requests: BTreeMap<Fingerprint, bool>) {
        let (fingerprints, left_out) = self.state.quarantine().most_significant(
            requests.keys().copied().collect(),
            MAX_PUBLISHED_SUSPECTS,
            now(),
        );
        if left_out > 0 {
            tracing::info!(left_out, "suspects_not_published");
        }
        let targets = SuspectTargets::of(self);
        let mut suspicions_of: BTreeMap<SocketAddr, Vec<Suspicion>> = BTreeMap::new();
        for fingerprint in fingerprints {
            let is_new = requests.get(&fingerprint).copied().unwrap_or_default();
            let record = self.record_of(fingerprint);
            let Some((suspicion, standing)) = record else {
                continue;
            };
            if standing.is_quarantined() {
                self.state.quarantine_changed().notify_one();
            }
            let concerns_all = self.concerns_all(&suspicion, standing);
            if !concerns_all && !is_new {
                continue;
            }
            for target in targets.of_suspect(fingerprint, concerns_all) {
                let suspicions = suspicions_of.entry(target).or_default();
                suspicions.push(suspicion.clone());
            }
        }
        for (target, suspicions) in suspicions_of {
            self.send_suspects(&suspicions, target).await;
        }
    }

    /// Whether all daemons are to know. Popular parts of prompts lose runs with each engine and are
    /// cleared at each daemon, so all daemons are told only of a quarantine, and of parts on which no
    /// engine has begun to write.
    fn concerns_all(&self, suspicion: &Suspicion, standing: Standing) -> bool {
        match suspicion.kind {
            SuspectKind::Request => {
                // Most requests of an engine that ended have one lost run and one successful run.
                let was_suspected = suspicion.cleared.is_some() && suspicion.lost_runs.len() > 1;
                standing != Standing::Clear || was_suspected
            }
            SuspectKind::Part { .. } => {
                let was_quarantined = self
                    .state
                    .quarantine()
                    .was_quarantined(suspicion.fingerprint);
                let never_sound = suspicion.cleared.is_none();
                was_quarantined
                    || standing.is_quarantined()
                    || (never_sound && standing == Standing::Suspected)
            }
        }
    }

    fn record_of(&self, fingerprint: Fingerprint) -> Option<(Suspicion, Standing)> {
        let mut quarantine = self.state.quarantine();
        quarantine.refresh(now());
        let suspicion = quarantine.suspicion(fingerprint)?.clone();
        Some((suspicion, quarantine.standing(fingerprint, now())))
    }

    async fn send_suspects(&self, suspicions: &[Suspicion], target: SocketAddr) {
        let mut requests = Vec::new();
        let mut parts = Vec::new();
        for suspicion in suspicions {
            match suspicion.kind {
                SuspectKind::Request => requests.push(suspicion_to_wire(suspicion, now())),
                SuspectKind::Part { place } => parts.push(part_to_wire(suspicion, place, now())),
            }
        }
        let datagrams = message::encode_suspects(requests).into_iter();
        for bytes in datagrams.chain(message::encode_suspected_parts(parts)) {
            self.send(Some(bytes), &[target]).await;
        }
    }

    fn is_recorder(&self, fingerprint: Fingerprint) -> bool {
        let own = daemon_identity(&self.state.own().name);
        let own_rank = rank(fingerprint, own);
        let daemons = self.state.daemon_addresses();
        let before = daemons
            .keys()
            .filter(|daemon| **daemon != own && rank(fingerprint, **daemon) < own_rank);
        before.count() < RECORDER_COUNT
    }

    /// Merges information from a peer and replies with what the peer lacks: it may have started
    /// recently or missed datagrams.
    pub(super) async fn merge_suspects(&self, suspicions: Vec<Suspicion>, from: SocketAddr) {
        let lost_runs = suspicions.iter().flat_map(|received| &received.lost_runs);
        let exited = lost_runs.map(|run| run.engine.clone()).collect();
        self.pipeline.confirm_runs_at(&exited);
        let mut missing_there = Vec::new();
        let updates = self.state.quarantine().merge_all(&suspicions, now());
        for (received, update) in suspicions.iter().zip(updates) {
            let fingerprint = received.fingerprint;
            if update.before != update.after {
                tracing::info!(
                    %fingerprint,
                    suspect = received.kind.as_str(),
                    before = update.before.as_str(),
                    standing = update.after.as_str(),
                    %from,
                    "request_standing_changed"
                );
            }
            if update.after.is_quarantined() {
                self.state.quarantine_changed().notify_one();
            }
            if !update.peer_is_behind {
                continue;
            }
            if let Some((suspicion, _standing)) = self.record_of(fingerprint) {
                missing_there.push(suspicion);
            }
            // Runs lost at several daemons were combined here. No other daemon may know all of
            // them.
            if update.added_information
                && update.after != Standing::Clear
                && self.is_recorder(fingerprint)
            {
                self.pipeline.changed_suspects().add(fingerprint);
            }
        }
        self.send_suspects(&missing_there, from).await;
    }
}

/// The daemons that are informed of suspects.
struct SuspectTargets {
    /// The other daemons of a fleet in which each request has its own recorders.
    daemons: BTreeMap<u64, SocketAddr>,
    /// Those that are informed of every request, in a small fleet.
    neighbours: Vec<SocketAddr>,
}

impl SuspectTargets {
    fn of(peers: &Peers) -> Self {
        let mut daemons = peers.state.daemon_addresses();
        if daemons.len() <= SMALL_FLEET_MAX_DAEMONS {
            return Self {
                daemons: BTreeMap::new(),
                neighbours: peers.neighbours(),
            };
        }
        daemons.remove(&daemon_identity(&peers.state.own().name));
        Self {
            daemons,
            neighbours: Vec::new(),
        }
    }

    /// The daemons that are informed of one suspect: all of them, or its recorders.
    fn of_suspect(&self, fingerprint: Fingerprint, concerns_all: bool) -> Vec<SocketAddr> {
        if self.daemons.is_empty() {
            return self.neighbours.clone();
        }
        if concerns_all {
            return self.daemons.values().copied().collect();
        }
        let daemons = self.daemons.iter();
        let mut by_rank: Vec<(u64, SocketAddr)> = daemons
            .map(|(daemon, address)| (rank(fingerprint, *daemon), *address))
            .collect();
        by_rank.sort_unstable();
        by_rank.truncate(RECORDER_COUNT);
        by_rank
            .into_iter()
            .map(|(_rank, address)| address)
            .collect()
    }
}

/// The daemons with the lowest ranks record a request. All daemons compute the same ranks.
fn rank(fingerprint: Fingerprint, daemon: u64) -> u64 {
    xxh3_64_with_seed(fingerprint.as_bytes(), daemon)
}
