//! Claims of idempotency keys by majority, so that a request runs at most once.
//!
//! The keys are split into shards. Each shard has a group of three daemons in three zones, out of a
//! [`ShardMap`] that lives in the key-value store. A member gives each key to the first claimant that
//! asks, and a claimant that two members give the key to may dispatch the request, once. Membership of a
//! group changes only by [`EpochChange`]. The rules and why they hold: `docs/design/claims.md`.

mod coordinator;
mod epoch_change;
mod identity;
mod message;
mod planning;
mod replica;
mod settings;
mod shard_map;

pub use coordinator::{ClaimAction, ClaimCoordinator, ClaimFailure, ClaimOutcome, ValidityExpired};
pub use epoch_change::{EpochChange, EpochChangeAction, EpochChangeProgress};
pub use identity::{ClaimKey, ClaimMember, ClaimantId, GroupEpoch, ShardNumber};
pub use message::{
    CarriedClaim, CarriedState, ClaimAnswer, ClaimMessage, ClaimReply, ClaimState, HeldClaim,
    Obstacle, Vote,
};
pub use planning::{ClaimCandidate, ClaimPlanningInput, plan_shard_map};
pub use replica::ClaimReplica;
pub use settings::{ClaimSettings, InvalidClaimSettings};
pub use shard_map::{ClaimGroup, GROUP_SIZE, GroupOrigin, PreviousGroup, ShardMap};
