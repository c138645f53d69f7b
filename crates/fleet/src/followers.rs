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
pub const FOLLOWER_POLL_WAIT: Duration = Duration::from_secs(1);
/// A neighbour whose last answer from the store is older is not relied on.
pub const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_400);

/// Share of the reads that the store takes in a second which all daemons together use that follow it for others.
const SHARE_FOR_OTHERS: f64 = 0.4;
/// The same for those that follow it only for themselves: when all daemons start, all of them do for a moment, and a call of each
/// for each change would be most of what a fleet of a thousand asks of the store in a day.
const SHARE_ALONE: f64 = 0.1;
/// A daemon that follows the store for others gathers changes for this long at least. When 10,000 back ends record themselves within
/// seconds, or half of them are replaced, a call and a message to each neighbour for each change or two would be most of what a
/// fleet asks of the store in a day; so long a delay is a hundredth of the time within which a change has to be in force.
const LEAST_GATHERING_FOR_OTHERS: Duration = Duration::from_millis(40);
/// A daemon that follows the store only for itself, though it need not for long, gathers changes for this long at least.
const LEAST_GATHERING_ALONE: Duration = Duration::from_millis(150);
/// Changes are gathered no longer than this, however many daemons there are: they have to be in force within seconds.
const LONGEST_GATHERING: Duration = Duration::from_millis(1_500);

/// How long a daemon that follows the store for others gathers changes before it asks again: every change wakes every follower.
#[must_use]
pub fn batch_interval_for_others(followers: usize, reads_per_second: f64) -> Duration {
    time_per_call(followers, reads_per_second * SHARE_FOR_OTHERS).max(LEAST_GATHERING_FOR_OTHERS)
}

/// The same for a daemon that follows it only for itself, as all daemons of the fleet may at the same time.
#[must_use]
pub fn batch_interval_alone(daemons: usize, reads_per_second: f64) -> Duration {
    time_per_call(daemons, reads_per_second * SHARE_ALONE).max(LEAST_GATHERING_ALONE)
}

/// Time between two calls of one of so many callers that make so many calls a second together.
fn time_per_call(callers: usize, calls_per_second: f64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "some thousand")]
    let seconds = callers as f64 / calls_per_second;
    // No time can be told where the store takes no reads.
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(LONGEST_GATHERING)
        .min(LONGEST_GATHERING)
}

/// Neighbours that said that they follow the store.
#[derive(Debug, Default)]
pub struct FollowerTable {
    reliable_until: HashMap<SocketAddr, Instant>,
}

impl FollowerTable {
    /// A neighbour reports how long ago the store answered it.
    pub fn receive(&mut self, peer: SocketAddr, store_silence: Duration, now: Instant) {
        let by_store = MAX_STORE_SILENCE.saturating_sub(store_silence);
        let until = now + GOSSIP_LIFE.min(by_store);
        self.reliable_until.insert(peer, until);
    }

    /// A neighbour did not hand on what it has.
    pub fn distrust(&mut self, peer: SocketAddr) {
        self.reliable_until.remove(&peer);
    }

    /// Until when some neighbour is relied on; none if there is none.
    #[must_use]
    pub fn reliable_until(&self, now: Instant) -> Option<Instant> {
        let latest = self.reliable_until.values().max().copied();
        latest.filter(|until| *until > now)
    }
}
