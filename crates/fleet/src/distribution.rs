//! Distribution tree along which daemons read the complete state of the store.
//!
//! If every daemon read the complete state from the store, the store's network link would carry the
//! state once per daemon, which is gigabytes after a restart of the whole fleet. Instead each zone
//! has a few distributors: the first ones read from the store, the others from those, and all other
//! daemons read from a distributor. The amount that one daemon sends depends on the bounded number
//! of its readers and not on the size of the fleet.
//!
//! After a restart of the whole fleet no daemon knows any other. The addresses of the distributors
//! of each zone are therefore kept in the store under a separate key without a lease; they belong
//! to machines and survive a restart of the process.

use std::net::SocketAddr;
use std::time::Duration;

use crate::followers::GOSSIP_INTERVAL;
use crate::topology::{FOLLOWERS_PER_NEIGHBOURHOOD, Member, SMALL_FLEET_MAX_DAEMONS, rank};

/// Approximate number of readers per distributor, bounded by what its network link can send within
/// a fraction of a second. The entries of 10,000 back ends take 0.31 MB compressed, which a link of
/// 200 Mbit/s carries to this many readers in 0.2 s.
const READERS_PER_DISTRIBUTOR: usize = 16;
/// Maximum number of distributors per zone. Keeps the list far below a kilobyte in the store's
/// answer to each daemon.
pub const MAX_DISTRIBUTORS: usize = 64;
/// Time without progress from its providers after which a daemon reads the store itself. Much
/// longer than one step of the distribution tree takes, and much shorter than the seconds within
/// which a change must take effect.
pub const PROVIDER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a distributor; shorter, because other daemons wait for it.
pub const DISTRIBUTOR_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a daemon waits for a peer with the complete state when the store has discarded the
/// changes after its own revision. Without this wait all daemons would read the complete state from
/// the store at once: 1,000 daemons with 10,000 back ends would occupy its link for half a minute.
pub const REREAD_WAIT: Duration = Duration::from_secs(2);
/// How long a daemon that has read the complete state from a peer waits for the report of a
/// follower of the store: two gossip intervals.
pub const FOLLOWER_REPORT_WAIT: Duration = GOSSIP_INTERVAL.saturating_mul(2);

/// Addresses of the distributors of a neighbourhood, ordered by the speed of their links; empty if
/// the neighbourhood is small enough for every daemon to read the store.
#[must_use]
pub fn distributors<'a>(neighbourhood: impl Iterator<Item = &'a Member>) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Member> = neighbourhood.collect();
    if ranked.len() <= SMALL_FLEET_MAX_DAEMONS {
        return Vec::new();
    }
    ranked.sort_by_cached_key(|member| rank(member));
    let wanted = ranked.len().div_ceil(READERS_PER_DISTRIBUTOR);
    let count = wanted.clamp(FOLLOWERS_PER_NEIGHBOURHOOD, MAX_DISTRIBUTORS);
    let chosen = ranked.into_iter().take(count);
    chosen.map(|member| member.peer_address).collect()
}

/// Source from which a daemon reads the complete state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadPlan {
    /// Peers to read from, in order of preference; empty if the daemon reads from the store.
    pub providers: Vec<SocketAddr>,
    /// Time without progress after which the daemon reads from the store.
    pub fallback_after: Duration,
}

impl ReadPlan {
    /// The plan of the daemon at address `own`. `daemon_hash` must differ between daemons; it
    /// spreads the readers over the distributors.
    #[must_use]
    pub fn of(own: SocketAddr, distributors: &[SocketAddr], daemon_hash: u64) -> Self {
        let own_rank = distributors.iter().position(|peer| *peer == own);
        let (roots, others) =
            distributors.split_at(distributors.len().min(FOLLOWERS_PER_NEIGHBOURHOOD));
        let providers = match own_rank {
            Some(rank) if rank < FOLLOWERS_PER_NEIGHBOURHOOD => Vec::new(),
            Some(_) => rotated(roots, daemon_hash),
            None => {
                let mut providers = rotated(others, daemon_hash);
                providers.extend(rotated(roots, daemon_hash));
                providers
            }
        };
        let fallback_after = if own_rank.is_some() {
            DISTRIBUTOR_TIMEOUT
        } else {
            PROVIDER_TIMEOUT
        };
        Self {
            providers,
            fallback_after,
        }
    }
}

/// The addresses rotated by an offset derived from `daemon_hash`.
fn rotated(addresses: &[SocketAddr], daemon_hash: u64) -> Vec<SocketAddr> {
    let mut rotated = addresses.to_vec();
    let length = u64::try_from(rotated.len()).unwrap_or(u64::MAX).max(1);
    let offset = usize::try_from(daemon_hash % length).unwrap_or_default();
    rotated.rotate_left(offset);
    rotated
}
