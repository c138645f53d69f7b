//! Whether neighbours follow the store for this daemon.
//!
//! A daemon that gets changes from a neighbour need not ask the store itself, as long as that neighbour reports a recent
//! answer of the store. Silence of all such neighbours, or of the store towards them, sends it to the store in time to learn
//! of a change within the bounds of the rules.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between two digests of a daemon that follows the store.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// A neighbour is not relied on after this long without a digest: three of them are lost.
const GOSSIP_LIFE: Duration = Duration::from_millis(800);
/// How long one call of a follower waits for changes: the store's answer is no older than this, where all is well.
pub const FOLLOWER_WAIT: Duration = Duration::from_secs(1);
/// A neighbour whose last answer from the store is older is not relied on.
const LONGEST_STORE_SILENCE: Duration = Duration::from_millis(1_400);

/// Neighbours that said that they follow the store.
#[derive(Debug, Default)]
pub struct FollowerTable {
    relied_on_until: HashMap<SocketAddr, Instant>,
}

impl FollowerTable {
    /// A neighbour reports how long ago the store answered it.
    pub fn receive(&mut self, peer: SocketAddr, store_silence: Duration, now: Instant) {
        let by_store = LONGEST_STORE_SILENCE.saturating_sub(store_silence);
        let until = now + GOSSIP_LIFE.min(by_store);
        self.relied_on_until.insert(peer, until);
    }

    /// A neighbour did not hand on what it has.
    pub fn distrust(&mut self, peer: SocketAddr) {
        self.relied_on_until.remove(&peer);
    }

    /// Until when some neighbour is relied on; none if there is none.
    #[must_use]
    pub fn relied_on_until(&self, now: Instant) -> Option<Instant> {
        let latest = self.relied_on_until.values().max().copied();
        latest.filter(|until| *until > now)
    }
}
