//! Claims of idempotency keys by majority vote, so that a request runs at most once.
//!
//! Keys are divided into shards. The [`ShardMap`] in the key-value store assigns to each shard a
//! group of three daemons, in three zones where possible. Each member grants a key to the first
//! claimant that asks for it. A claimant that gets the votes of two members may dispatch its
//! request once. The members of a group change only by an [`EpochChange`]. See
//! `docs/design/claims.md` for the rules and the proof.

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
    ClaimAnswer, ClaimMessage, ClaimReply, ClaimState, HeldClaim, TransferredClaim,
    TransferredState, Vote, VoteRefusal,
};
pub use planning::{ClaimCandidate, ClaimPlanningInput, plan_shard_map};
pub use replica::ClaimReplica;
pub use settings::{ClaimSettings, InvalidClaimSettings};
pub use shard_map::{ClaimGroup, GROUP_SIZE, GroupOrigin, PreviousGroup, ShardMap};
