//! Shell of this daemon's part in claim groups: its votes, and the shard map it knows.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_core::claims::{
    ClaimMember, ClaimMessage, ClaimReplica, ClaimReply, ClaimSettings, ShardMap,
};
use ponddrift_runtime::{Clock, watch};
use xtra::{Context, Handler};

/// Time between two searches for claims that are out of date.
const CLEANUP_PERIOD: Duration = Duration::from_secs(5);

/// Holds the replica and the shard map.
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

/// A message to this member.
pub(crate) struct HandleClaim(pub(crate) ClaimMessage);

/// A shard map was read from the store or from a peer.
pub(crate) struct ApplyShardMap(pub(crate) ShardMap);

impl Handler<HandleClaim> for ClaimsActor {
    type Return = Option<ClaimReply>;

    async fn handle(&mut self, message: HandleClaim, _context: &mut Context<Self>) -> Self::Return {
        let now = self.clock.now();
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_PERIOD;
            self.replica.forget_old(now);
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
                tracing::info!(epoch = message.0.epoch, "shard map of the claims");
                *known = Arc::new(message.0);
            }
            is_newer
        });
    }
}
