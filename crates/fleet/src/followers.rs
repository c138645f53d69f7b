//! Tracks whether neighbours follow the store on behalf of this daemon.
//!
//! A daemon that receives changes from a neighbour need not poll the store itself as long as that
//! neighbour reports a recent answer of the store. If all such neighbours fall silent, or the store
//! does not answer them, the daemon polls the store itself, early enough to learn of changes within
//! the required time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between two digests of a daemon that follows the store.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a digest after which a neighbour is no longer relied on; corresponds to three lost
/// digests.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time for which one request of a follower waits for changes at the store, and so normally
/// the maximum age of the store's last answer.
pub const FOLLOWER_POLL_WAIT: Duration = Duration::from_secs(1);
/// Age of a neighbour's last answer from the store beyond which the neighbour is not relied on.
pub const MAX_STORE_SILENCE: Duration = Duration::from_millis(1_400);

/// Fraction of the store's read capacity that all daemons together use to follow it for others.
const READ_FRACTION_FOR_OTHERS: f64 = 0.4;
/// Fraction of the store's read capacity that all daemons together use to follow it only for
/// themselves. All of them do so for a moment when the whole fleet starts.
const READ_FRACTION_ALONE: f64 = 0.1;
/// Minimum batch interval of a daemon that follows the store for others. When many entries change
/// within seconds, for example if half of 10,000 back ends are replaced, it bounds the requests to
/// the store and the messages to neighbours. It is a hundredth of the time within which a change
/// must take effect.
const MIN_BATCH_INTERVAL_FOR_OTHERS: Duration = Duration::from_millis(40);
/// Minimum batch interval of a daemon that follows the store only for itself.
const MIN_BATCH_INTERVAL_ALONE: Duration = Duration::from_millis(150);
/// Maximum batch interval for any number of daemons: changes must take effect within seconds.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long a daemon that follows the store for others collects changes before its next request.
/// The interval grows with the number of followers, because every change wakes all of them.
#[must_use]
pub fn batch_interval_for_others(followers: usize, reads_per_second: f64) -> Duration {
    call_interval(followers, reads_per_second * READ_FRACTION_FOR_OTHERS)
        .max(MIN_BATCH_INTERVAL_FOR_OTHERS)
}

/// The same for a daemon that follows the store only for itself, as all daemons of the fleet may do
/// at the same time.
#[must_use]
pub fn batch_interval_alone(daemons: usize, reads_per_second: f64) -> Duration {
    call_interval(daemons, reads_per_second * READ_FRACTION_ALONE).max(MIN_BATCH_INTERVAL_ALONE)
}

/// Interval between two calls of each caller if all `callers` together make `calls_per_second`.
fn call_interval(callers: usize, calls_per_second: f64) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "some thousand")]
    let seconds = callers as f64 / calls_per_second;
    // A capacity of zero yields no finite duration.
    Duration::try_from_secs_f64(seconds)
        .unwrap_or(MAX_BATCH_INTERVAL)
        .min(MAX_BATCH_INTERVAL)
}

/// Neighbours that reported that they follow the store.
#[derive(Debug, Default)]
pub struct FollowerTable {
    reliable_until: HashMap<SocketAddr, Instant>,
}

impl FollowerTable {
    /// Records the report of a neighbour that the store last answered it `store_silence` ago.
    pub fn receive(&mut self, peer: SocketAddr, store_silence: Duration, now: Instant) {
        let reliable_for = MAX_STORE_SILENCE.saturating_sub(store_silence);
        let until = now + GOSSIP_TIMEOUT.min(reliable_for);
        self.reliable_until.insert(peer, until);
    }

    /// Stops relying on a neighbour that failed to relay its state.
    pub fn distrust(&mut self, peer: SocketAddr) {
        self.reliable_until.remove(&peer);
    }

    /// Time until which at least one neighbour can be relied on; `None` if there is none.
    #[must_use]
    pub fn reliable_until(&self, now: Instant) -> Option<Instant> {
        let latest = self.reliable_until.values().max().copied();
        latest.filter(|until| *until > now)
    }
}
