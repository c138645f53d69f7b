//! What is passed on to peers, and how often.

use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_core::load::{AgedDigest, LoadDigest};
use ponddrift_protocol::Part;

use super::PeerActor;
use crate::polling::EngineObservation;

/// Time between two rounds of gossip of marks and facts.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Peers told in one round.
const GOSSIP_FANOUT: usize = 3;
/// Peers told at once of a new configuration.
const CONFIGURATION_FANOUT: usize = 4;
/// Time between two comparisons with one peer: configuration, marks and facts.
const DIGEST_EXCHANGE_PERIOD: Duration = Duration::from_secs(2);
/// Marks in one datagram.
const MARKS_PER_PART: usize = 16;
/// Facts in one datagram.
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

    /// One round of gossip, if there is something to tell.
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

    /// Tells one peer where this daemon stands, so that whoever missed gossip catches up.
    fn send_digests_to_random_peer(&mut self) {
        for peer in self.membership.random_peers(1) {
            let target = peer.peer_address;
            self.outbox
                .add(target, Part::ConfigurationInForce(self.configuration));
            let epoch = self.links.shard_map.borrow().epoch;
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

    /// Takes what a poll of this daemon showed. Returns the digest to tell others.
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

    /// The number after the last one heard, and after the last one given here: whoever polls an
    /// engine of a cell whose load it does not share hears no numbers.
    fn next_sequence(&mut self, digest: &LoadDigest) -> u32 {
        let heard = self.load.get(self.now(), digest.engine);
        let heard = heard.map(|known| known.digest);
        let last_own = self.own_digests.get(&digest.engine).copied();
        let of_this_life = |other: &LoadDigest| other.incarnation == digest.incarnation;
        let last = heard.into_iter().chain(last_own).filter(of_this_life);
        let last = last.map(|other| other.sequence).max();
        let sequence = last.map_or(0, |last| last.saturating_add(1));
        let numbered = LoadDigest {
            sequence,
            ..*digest
        };
        self.own_digests.insert(digest.engine, numbered);
        sequence
    }

    /// The next refresh must look at every back end.
    pub(super) fn mark_directory_stale(&mut self) {
        self.directory.mark_stale();
    }

    /// Tells routing what changed in the machine list or in the facts.
    pub(super) fn refresh_directory(&mut self) {
        let list = self.links.fleet.borrow().clone();
        self.directory.refresh(&list, &self.facts, &self.drains);
    }

    pub(super) fn time_since(&self, earlier: Timestamp) -> Duration {
        self.now().since(earlier)
    }
}
