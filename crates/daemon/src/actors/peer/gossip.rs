//! Gossip of drain marks and engine facts, and periodic digest exchange with peers.

use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_core::load::{AgedDigest, LoadDigest};
use ponddrift_protocol::Part;

use super::PeerActor;
use crate::polling::EngineObservation;

/// Interval between two gossip rounds.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Number of peers that receive each gossip round.
const GOSSIP_FANOUT: usize = 3;
/// Number of peers that are told immediately of a new configuration.
const CONFIGURATION_FANOUT: usize = 4;
/// Interval between two digest exchanges. Each one compares configuration, shard map, marks and
/// facts with one peer.
const DIGEST_EXCHANGE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of drain marks in one part.
const MARKS_PER_PART: usize = 16;
/// Maximum number of engine facts in one part.
const FACTS_PER_PART: usize = 8;

impl PeerActor {
    pub(super) fn tick_gossip(&mut self) {
        let now = self.now();
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_PERIOD;
            self.gossip_now();
        }
        if now >= self.next_digest_exchange {
            self.next_digest_exchange = now + DIGEST_EXCHANGE_PERIOD;
            self.send_digests_to_random_peer();
        }
    }

    /// Runs one gossip round if there are new marks or facts.
    pub(super) fn gossip_now(&mut self) {
        let now = self.now();
        let marks = self.drains.take_for_gossip(now, MARKS_PER_PART);
        let facts = self.facts.take_for_gossip(FACTS_PER_PART);
        if marks.is_empty() && facts.is_empty() {
            return;
        }
        for peer in self.membership.random_peers(GOSSIP_FANOUT) {
            if !marks.is_empty() {
                self.outbox
                    .add(peer.peer_address, Part::DrainMarks(marks.clone()));
            }
            if !facts.is_empty() {
                self.outbox
                    .add(peer.peer_address, Part::EngineFacts(facts.clone()));
            }
        }
    }

    /// Sends the current revisions and digests to one peer, so that a peer that missed gossip
    /// notices and catches up.
    fn send_digests_to_random_peer(&mut self) {
        for peer in self.membership.random_peers(1) {
            let target = peer.peer_address;
            self.outbox
                .add(target, Part::ConfigurationInForce(self.configuration));
            let epoch = self.deps.shard_map.borrow().epoch;
            self.outbox.add(target, Part::ShardMapEpoch(epoch));
            self.outbox
                .add(target, Part::DrainDigest(self.drains.digest()));
            self.outbox
                .add(target, Part::EngineFactsDigest(self.facts.digest()));
        }
    }

    pub(super) fn announce_configuration(&mut self) {
        for peer in self.membership.random_peers(CONFIGURATION_FANOUT) {
            self.outbox.add(
                peer.peer_address,
                Part::ConfigurationInForce(self.configuration),
            );
        }
    }

    /// Records the result of polling an engine. Returns the load digest to send to subscribers.
    pub(super) fn record_observation(&mut self, observation: EngineObservation) -> AgedDigest {
        let EngineObservation { facts, mut digest } = observation;
        if facts.is_some_and(|facts| self.facts.observe(facts)) {
            self.mark_directory_stale();
        }
        digest.sequence = self.next_sequence(&digest);
        let aged = AgedDigest { digest, age_ms: 0 };
        self.apply_digest(aged);
        aged
    }

    /// Returns the next sequence number for a digest: one more than the highest of the last
    /// received digest and the last one made here. The latter is needed because a daemon that polls
    /// an engine without subscribing to its cell receives no digests of it.
    fn next_sequence(&mut self, digest: &LoadDigest) -> u32 {
        let received = self.load.get(self.now(), digest.engine);
        let received = received.map(|known| known.digest);
        let last_own = self.own_digests.get(&digest.engine).copied();
        let is_same_incarnation = |other: &LoadDigest| other.incarnation == digest.incarnation;
        let last = received
            .into_iter()
            .chain(last_own)
            .filter(is_same_incarnation);
        let last = last.map(|other| other.sequence).max();
        let sequence = last.map_or(0, |last| last.saturating_add(1));
        let numbered = LoadDigest {
            sequence,
            ..*digest
        };
        self.own_digests.insert(digest.engine, numbered);
        sequence
    }

    /// Makes the next refresh check every back end.
    pub(super) fn mark_directory_stale(&mut self) {
        self.directory.mark_stale();
    }

    /// Sends changes of the machine list and of engine facts to routing.
    pub(super) fn refresh_directory(&mut self) {
        let list = self.deps.fleet.borrow().clone();
        self.directory.refresh(&list, &self.facts, &self.drains);
    }

    pub(super) fn time_since(&self, earlier: Timestamp) -> Duration {
        self.now().since(earlier)
    }
}
