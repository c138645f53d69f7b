//! Chooses the peer through which a connection to a back end is opened whose path is cut.
//!
//! Daemons with cut paths, and those that relay connections for others, publish a
//! [`PathReport`]. A peer without a recent report counts as one that reaches all back ends and
//! relays nothing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

/// How long a report counts. Several publishing intervals, because datagrams are lost.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// How long a peer is avoided after it failed as a relay; doubles with each failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Maximum of the same.
const MAX_PAUSE: Duration = Duration::from_secs(8);
/// How long a peer that reached no back end when it was asked is asked after the others. As long as
/// its report would count.
const NO_PROOF_LIFETIME: Duration = REPORT_LIFETIME;
/// A peer is used as a relay only if it reaches at least this share of the service's back ends.
pub const MIN_REACHABLE_SHARE: f64 = 0.5;
/// Peers that are compared for one choice. Two random ones suffice to keep the load even although
/// reports are old.
const COMPARED_PEERS: usize = 2;
/// Number of additional relayed connections that a peer in another zone than this daemon's and the
/// back end's counts as having, because the bytes cross zones once more.
const EXTRA_ZONE_COST: u32 = 16;

/// What a daemon publishes about its paths.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PathReport {
    /// Share of each service's back ends that it reaches directly, from 0 to 1, by the hash of the
    /// service's name; services that are reached as a whole are left out.
    pub reachable: Vec<(u32, f64)>,
    /// Connections that it relays for others.
    pub relayed: u32,
    /// Further connections that it would relay.
    pub room: u32,
}

/// A peer that may relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Address that receives messages of peers.
    pub address: SocketAddr,
    /// Zone of its machine.
    pub zone: Arc<str>,
}

/// What a relay is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct RelayQuery<'a> {
    /// Hash of the name of the back end's service; `None` if it is unknown.
    pub service: Option<u32>,
    /// Zones in which a relay adds no crossing: this daemon's and the back end's.
    pub near_zones: [&'a str; 2],
    /// Peers that failed for this connection.
    pub tried: &'a [SocketAddr],
}

#[derive(Debug, Clone, Copy)]
struct Failures {
    in_a_row: u32,
    until: Instant,
}

/// The order in which peers are asked; those of a later class only if there is none of an earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// Nothing speaks against it.
    Usual,
    /// It failed a moment ago.
    Paused,
    /// It did not reach a back end, and showed no other that it reaches.
    WithoutProof,
}

/// What is known of the peers as relays.
#[derive(Debug, Default)]
pub struct Relays {
    reports: HashMap<SocketAddr, (PathReport, Instant)>,
    failures: HashMap<SocketAddr, Failures>,
    /// Until when peers that gave no proof of working paths are asked after others.
    without_proof: HashMap<SocketAddr, Instant>,
    /// Own connections through each peer that are open now.
    own: HashMap<SocketAddr, u32>,
}

impl Relays {
    /// Records a peer's report.
    pub fn receive(&mut self, peer: SocketAddr, report: PathReport, now: Instant) {
        self.reports.insert(peer, (report, now));
    }

    /// The peer's newest report and its age, if it still counts.
    #[must_use]
    pub fn report(&self, peer: SocketAddr, now: Instant) -> Option<(&PathReport, Duration)> {
        let (report, received_at) = self.reports.get(&peer)?;
        let age = now.saturating_duration_since(*received_at);
        (age < REPORT_LIFETIME).then_some((report, age))
    }

    /// Records that a connection through the peer was opened.
    pub fn record_opened(&mut self, peer: SocketAddr) {
        self.failures.remove(&peer);
        self.without_proof.remove(&peer);
        *self.own.entry(peer).or_default() += 1;
    }

    /// Records that a connection through the peer has ended.
    pub fn record_closed(&mut self, peer: SocketAddr) {
        if let Some(open) = self.own.get_mut(&peer) {
            *open = open.saturating_sub(1);
        }
    }

    /// Own connections through all peers that are open now.
    #[must_use]
    pub fn open_count(&self) -> u32 {
        self.own.values().sum()
    }

    /// Records that the peer did not relay, or that a connection through it broke.
    pub fn record_failure(&mut self, peer: SocketAddr, now: Instant) {
        let failures = self.failures.entry(peer).or_insert(Failures {
            in_a_row: 0,
            until: now,
        });
        let pause = FIRST_PAUSE
            .saturating_mul(1 << failures.in_a_row.min(8))
            .min(MAX_PAUSE);
        failures.in_a_row += 1;
        failures.until = now + pause;
    }

    /// Records that the peer did not reach a back end, without proof that it reaches others. Its paths
    /// may be cut, or the back end may be down: it is asked after the others for a while, but not left
    /// out.
    pub fn record_no_proof(&mut self, peer: SocketAddr, now: Instant) {
        self.without_proof.insert(peer, now + NO_PROOF_LIFETIME);
    }

    /// Chooses a peer; `None` if none is expected to reach the service.
    pub fn choose(
        &self,
        candidates: &[RelayCandidate],
        query: &RelayQuery<'_>,
        now: Instant,
        random: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let usable = candidates
            .iter()
            .filter(|candidate| self.is_usable(candidate.address, query, now));
        let usable = self.most_preferred(usable, now);
        if usable.is_empty() {
            return None;
        }
        let compared = (0..COMPARED_PEERS).map(|_| usable[random.random_range(0..usable.len())]);
        let chosen = compared.min_by_key(|candidate| self.cost(candidate, query, now))?;
        Some(chosen.address)
    }

    /// The candidates of the first class in which there is any.
    fn most_preferred<'a>(
        &self,
        candidates: impl Iterator<Item = &'a RelayCandidate>,
        now: Instant,
    ) -> Vec<&'a RelayCandidate> {
        let mut preferred = Vec::new();
        let mut best = Preference::WithoutProof;
        for candidate in candidates {
            let preference = self.preference(candidate.address, now);
            if preference < best {
                best = preference;
                preferred.clear();
            }
            if preference == best {
                preferred.push(candidate);
            }
        }
        preferred
    }

    fn preference(&self, peer: SocketAddr, now: Instant) -> Preference {
        let without_proof = self.without_proof.get(&peer);
        if without_proof.is_some_and(|until| *until > now) {
            return Preference::WithoutProof;
        }
        let failures = self.failures.get(&peer);
        if failures.is_some_and(|failures| failures.until > now) {
            return Preference::Paused;
        }
        Preference::Usual
    }

    fn is_usable(&self, peer: SocketAddr, query: &RelayQuery<'_>, now: Instant) -> bool {
        if query.tried.contains(&peer) {
            return false;
        }
        let report = self.report(peer, now).map(|(report, _age)| report);
        report.is_none_or(|report| {
            report.room > 0 && reachable_share(report, query.service) >= MIN_REACHABLE_SHARE
        })
    }

    fn cost(&self, candidate: &RelayCandidate, query: &RelayQuery<'_>, now: Instant) -> u32 {
        let report = self.report(candidate.address, now);
        let reported = report.map_or(0, |(report, _age)| report.relayed);
        let own = self.own.get(&candidate.address).copied().unwrap_or(0);
        let is_near = query.near_zones.contains(&&*candidate.zone);
        let extra = if is_near { 0 } else { EXTRA_ZONE_COST };
        reported.max(own) + extra
    }

    /// Forgets peers that are gone, and expired reports and failures.
    pub fn keep_only(&mut self, is_present: impl Fn(SocketAddr) -> bool, now: Instant) {
        self.reports.retain(|peer, (_report, received_at)| {
            is_present(*peer) && now.saturating_duration_since(*received_at) < REPORT_LIFETIME
        });
        self.failures
            .retain(|peer, failures| is_present(*peer) && failures.until + MAX_PAUSE > now);
        self.without_proof
            .retain(|peer, until| is_present(*peer) && *until > now);
        self.own.retain(|_peer, open| *open > 0);
    }
}

fn reachable_share(report: &PathReport, service: Option<u32>) -> f64 {
    let mut rows = report.reachable.iter();
    match service {
        Some(service) => rows
            .find(|(hash, _share)| *hash == service)
            .map_or(1.0, |(_hash, share)| *share),
        None => rows.map(|(_hash, share)| *share).fold(1.0, f64::min),
    }
}
