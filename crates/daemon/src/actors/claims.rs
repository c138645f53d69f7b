//! Actor for idempotency-key claims: votes as a member of claim groups and keeps the current shard
//! map.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_core::claims::{
    ClaimMember, ClaimMessage, ClaimReplica, ClaimReply, ClaimSettings, ShardMap,
};
use ponddrift_runtime::{Clock, watch};
use xtra::{Context, Handler};

/// Interval at which expired claims are removed.
const CLEANUP_PERIOD: Duration = Duration::from_secs(5);

/// Runs the claim replica of this daemon and publishes the shard map.
#[derive(xtra::Actor)]
pub(crate) struct ClaimsActor {
    replica: ClaimReplica,
    map: watch::Sender<Arc<ShardMap>>,
    clock: Arc<dyn Clock>,
    next_cleanup: Timestamp,
}

impl ClaimsActor {
    pub(crate) fn new(
        own: ClaimMember,
        map: watch::Sender<Arc<ShardMap>>,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let replica = ClaimReplica::new(ClaimSettings::default(), own);
        Self {
            replica,
            map,
            clock,
            next_cleanup: Timestamp::ZERO,
        }
    }
}

/// A claim message from a coordinator to this replica.
pub(crate) struct HandleClaim(pub(crate) ClaimMessage);

/// Replaces the shard map, read from the store or a peer, if the new one has a higher epoch.
pub(crate) struct ApplyShardMap(pub(crate) ShardMap);

impl Handler<HandleClaim> for ClaimsActor {
    type Return = Option<ClaimReply>;

    async fn handle(&mut self, message: HandleClaim, _context: &mut Context<Self>) -> Self::Return {
        let now = self.clock.now();
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_PERIOD;
            self.replica.remove_expired(now);
        }
        self.replica.handle(now, message.0)
    }
}

impl Handler<ApplyShardMap> for ClaimsActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyShardMap, _context: &mut Context<Self>) {
        self.map.send_if_modified(|known| {
            let is_newer = message.0.epoch > known.epoch;
            if is_newer {
                tracing::info!(epoch = message.0.epoch, "shard map updated");
                *known = Arc::new(message.0);
            }
            is_newer
        });
    }
}
