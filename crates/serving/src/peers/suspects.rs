//! Tells peers of requests under which engines ended.
//!
//! A single lost run says little, and every crash brings as many as the engine had requests: only a few recorders are told,
//! chosen by the fingerprint, so that runs lost at different daemons meet there. From the second engine on, and when a
//! request is cleared, everybody is told at once, and again, since datagrams are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::fingerprint::RequestFingerprint;
use ponddrift_fleet::quarantine::{Standing, Suspicion};
use ponddrift_fleet::topology::SMALL_FLEET;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Peers;
use super::message::{self, SuspectRow};
use super::translate::{suspicion_from_wire, suspicion_to_wire};
use crate::fleet_state::daemon_identity;
use crate::time::{self, now};

/// Runs that are lost within this time are told together.
const GATHERING_TIME: Duration = Duration::from_millis(5);
/// When what concerns everybody is told again: one datagram in thirty may be lost on a bad link, and a daemon that is not
/// told costs an engine.
const TOLD_AGAIN_AFTER: [Duration; 2] = [Duration::from_millis(150), Duration::from_millis(600)];
/// Daemons that keep single lost runs of a request: two may be lost.
const RECORDERS: usize = 3;

/// What is to be told again, and when.
type Schedule = BTreeSet<(Instant, RequestFingerprint)>;

impl Peers {
    pub(super) async fn publish_suspects(self: Arc<Self>) {
        let changed = self.pipeline.changed_suspects();
        let mut again = Schedule::new();
        loop {
            let next = again.first().map(|(at, _fingerprint)| *at);
            match next {
                None => changed.wait().await,
                Some(at) => {
                    time::timeout_at(at, changed.wait()).await;
                }
            }
            tokio::time::sleep(GATHERING_TIME).await;
            let fresh = changed.take();
            let begun = now();
            for fingerprint in &fresh {
                for pause in TOLD_AGAIN_AFTER {
                    again.insert((begun + pause, *fingerprint));
                }
            }
            let later = again.split_off(&(begun, RequestFingerprint::MIN));
            let due = std::mem::replace(&mut again, later);
            let due = due
                .into_iter()
                .map(|(_at, fingerprint)| (fingerprint, false));
            let fresh = fresh.into_iter().map(|fingerprint| (fingerprint, true));
            self.tell(due.chain(fresh)).await;
        }
    }

    /// Tells of these requests; those that are not fresh only where they concern everybody.
    async fn tell(&self, requests: impl Iterator<Item = (RequestFingerprint, bool)>) {
        let mut rows_of: BTreeMap<SocketAddr, Vec<SuspectRow>> = BTreeMap::new();
        for (fingerprint, is_fresh) in requests {
            let known = self.known_of(fingerprint);
            let Some((suspicion, standing)) = known else {
                continue;
            };
            // One lost run and a good one are what most requests of an engine that ended have.
            let was_suspected = suspicion.cleared.is_some() && suspicion.lost_runs.len() > 1;
            let concerns_all = standing != Standing::Clear || was_suspected;
            if !concerns_all && !is_fresh {
                continue;
            }
            let row = suspicion_to_wire(&suspicion, now());
            for target in self.told_of(fingerprint, concerns_all) {
                rows_of.entry(target).or_default().push(row.clone());
            }
        }
        for (target, rows) in rows_of {
            self.send_suspects(rows, target).await;
        }
    }

    fn known_of(&self, fingerprint: RequestFingerprint) -> Option<(Suspicion, Standing)> {
        let quarantine = self.state.quarantine();
        let suspicion = quarantine.suspicion(fingerprint)?.clone();
        Some((suspicion, quarantine.standing(fingerprint, now())))
    }

    async fn send_suspects(&self, rows: Vec<SuspectRow>, target: SocketAddr) {
        for bytes in message::encode_suspects(rows) {
            self.send(Some(bytes), &[target]).await;
        }
    }

    /// Who is told of a request: everybody, or its recorders.
    fn told_of(&self, fingerprint: RequestFingerprint, concerns_all: bool) -> Vec<SocketAddr> {
        let mut daemons = self.state.daemon_addresses();
        if daemons.len() <= SMALL_FLEET {
            return self.neighbours();
        }
        daemons.remove(&daemon_identity(&self.state.own().name));
        if concerns_all {
            return daemons.into_values().collect();
        }
        let mut by_rank: Vec<(u64, SocketAddr)> = daemons
            .into_iter()
            .map(|(daemon, address)| (rank(fingerprint, daemon), address))
            .collect();
        by_rank.sort_unstable();
        by_rank.truncate(RECORDERS);
        by_rank
            .into_iter()
            .map(|(_rank, address)| address)
            .collect()
    }

    fn is_recorder(&self, fingerprint: RequestFingerprint) -> bool {
        let own = daemon_identity(&self.state.own().name);
        let own_rank = rank(fingerprint, own);
        let daemons = self.state.daemon_addresses();
        let before = daemons
            .keys()
            .filter(|daemon| **daemon != own && rank(fingerprint, **daemon) < own_rank);
        before.count() < RECORDERS
    }

    /// Takes what a peer tells. What it lacks is sent back to it: it may have started a moment ago, or datagrams were lost.
    pub(super) async fn take_suspects(&self, rows: &[SuspectRow], from: SocketAddr) {
        let mut missing_there = Vec::new();
        for row in rows {
            let news = suspicion_from_wire(row, now());
            let fingerprint = news.fingerprint;
            let update = self.state.quarantine().merge(&news, now());
            if update.before != update.after {
                tracing::info!(
                    %fingerprint,
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
            if let Some((suspicion, _standing)) = self.known_of(fingerprint) {
                missing_there.push(suspicion_to_wire(&suspicion, now()));
            }
            // Runs lost at several daemons met here: nobody else may know of them together.
            if update.added_information
                && update.after != Standing::Clear
                && self.is_recorder(fingerprint)
            {
                self.pipeline.changed_suspects().add(fingerprint);
            }
        }
        self.send_suspects(missing_there, from).await;
    }
}

/// The daemons with the lowest ranks record a request. All work it out alike.
fn rank(fingerprint: RequestFingerprint, daemon: u64) -> u64 {
    xxh3_64_with_seed(fingerprint.as_bytes(), daemon)
}
