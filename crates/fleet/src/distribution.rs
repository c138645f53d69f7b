//! Along which tree the state of the store spreads to daemons that read all of it.
//!
//! If every daemon read everything from the store, the store would send daemons times entries, and its one link would
//! carry gigabytes after a loss of all daemons. Instead each zone has a few distributors: the first ones read the store,
//! the others read from those, and everybody else reads from a distributor. What one daemon sends grows with the number
//! of its readers, which is bounded, and not with the fleet.
//!
//! After a loss of all daemons nobody knows anybody, so the addresses of a zone's distributors lie in the store under a key of
//! their own, without a lease. They are machines, and are the same in their next lives.

use std::net::SocketAddr;
use std::time::Duration;

use crate::followers::GOSSIP_INTERVAL;
use crate::topology::{FOLLOWERS_PER_NEIGHBOURHOOD, Member, SMALL_FLEET_MAX_DAEMONS, rank};

/// Readers of one distributor, about. 10,000 back ends take 0.31 MB (31 bytes each, compressed in pages), which a link of 200 Mbit/s
/// carries to sixteen readers in 0.2 s. Daemons of a zone of 170 knew everything 0.41 s after all had been started (median).
const READERS_OF_A_DISTRIBUTOR: usize = 16;
/// Distributors of one zone, at most: the list of them stays far below a kilobyte of the store's answer to each daemon.
pub const MOST_DISTRIBUTORS: usize = 64;
/// A daemon whose distributors bring nothing more for this long reads the store itself. Far longer than one step of the tree
/// takes (some 0.1 s), far shorter than the seconds within which a change has to be in force.
pub const PROVIDER_PATIENCE: Duration = Duration::from_millis(1_500);
/// The same for a distributor, on which others wait.
pub const DISTRIBUTOR_PATIENCE: Duration = Duration::from_millis(600);
/// A daemon that knows everything up to a revision whose successors the store has forgotten waits this long for a peer that has
/// read everything anew. If all daemons read the store then, 1,000 of them before 10,000 back ends would share its link for
/// half a minute; those that do read it take less than a second.
pub const REREAD_PATIENCE: Duration = Duration::from_secs(2);
/// A daemon that has read everything from a peer waits this long for a follower of the store to report: two of its digests.
pub const FOLLOWER_PATIENCE: Duration = GOSSIP_INTERVAL.saturating_mul(2);

/// The distributors of a neighbourhood, those with the fastest links first; none where it is so small that everybody may read
/// the store.
#[must_use]
pub fn distributors<'a>(neighbourhood: impl Iterator<Item = &'a Member>) -> Vec<SocketAddr> {
    let mut ranked: Vec<&Member> = neighbourhood.collect();
    if ranked.len() <= SMALL_FLEET_MAX_DAEMONS {
        return Vec::new();
    }
    ranked.sort_by_cached_key(|member| rank(member));
    let wanted = ranked.len().div_ceil(READERS_OF_A_DISTRIBUTOR);
    let count = wanted.clamp(FOLLOWERS_PER_NEIGHBOURHOOD, MOST_DISTRIBUTORS);
    let chosen = ranked.into_iter().take(count);
    chosen.map(|member| member.peer_address).collect()
}

/// Where one daemon reads everything.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadingPlan {
    /// Peers to read from, in this order; none where the daemon reads the store.
    pub providers: Vec<SocketAddr>,
    /// Without anything new from any of them for so long, the daemon reads the store.
    pub patience: Duration,
}

impl ReadingPlan {
    /// The place of the daemon at `own` in the tree of these distributors. `spread` is any number that differs from daemon to
    /// daemon, so that readers are spread over the distributors.
    #[must_use]
    pub fn of(own: SocketAddr, distributors: &[SocketAddr], spread: u64) -> Self {
        let own_rank = distributors.iter().position(|peer| *peer == own);
        let (roots, others) =
            distributors.split_at(distributors.len().min(FOLLOWERS_PER_NEIGHBOURHOOD));
        let providers = match own_rank {
            Some(rank) if rank < FOLLOWERS_PER_NEIGHBOURHOOD => Vec::new(),
            Some(_) => rotated(roots, spread),
            None => {
                let mut providers = rotated(others, spread);
                providers.extend(rotated(roots, spread));
                providers
            }
        };
        let patience = if own_rank.is_some() {
            DISTRIBUTOR_PATIENCE
        } else {
            PROVIDER_PATIENCE
        };
        Self {
            providers,
            patience,
        }
    }
}

/// The same addresses, rotated to begin at a place that `spread` chooses.
fn rotated(addresses: &[SocketAddr], spread: u64) -> Vec<SocketAddr> {
    let mut rotated = addresses.to_vec();
    let length = u64::try_from(rotated.len()).unwrap_or(u64::MAX).max(1);
    let places = usize::try_from(spread % length).unwrap_or_default();
    rotated.rotate_left(places);
    rotated
}
