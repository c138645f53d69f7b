//! Messages to the members of a claim group, and their replies.

use borsh::{BorshDeserialize, BorshSerialize};

use super::identity::{ClaimKey, ClaimMember, ClaimantId, GroupEpoch, ShardNumber};

/// An answer that is kept for repeated requests with the same key.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ClaimAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// State of a key's request, as known to a member.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ClaimState {
    /// A claimant holds the key. Its request may be running or may have run.
    Claimed,
    /// Any of several claimants may have won in an earlier epoch, so no claimant may win any more.
    Contested,
    /// The request ran.
    Completed {
        /// Its answer, unless it was too large to keep.
        answer: Option<ClaimAnswer>,
    },
}

/// Holder of a key at a member.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct HeldClaim {
    /// Claimant that holds the key; one of several if the key is contested.
    pub claimant: ClaimantId,
    /// Hash of the request's body.
    pub fingerprint: u64,
    /// State of the request.
    pub state: ClaimState,
}

/// A claim transferred from one epoch to the next.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct TransferredClaim {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Holder of the key.
    pub held: HeldClaim,
    /// Remaining retention, in microseconds.
    pub remaining_us: u64,
}

/// State of a shard transferred from one epoch to the next.
#[derive(Debug, Clone, PartialEq, Eq, Default, BorshSerialize, BorshDeserialize)]
pub struct TransferredState {
    /// All claims that have not expired.
    pub claims: Vec<TransferredClaim>,
    /// Remaining quarantine, in microseconds. The claims that a group in quarantine has lost are
    /// also unknown to its successor.
    pub quarantine_left_us: u64,
}

/// A message to a member of a claim group.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ClaimMessage {
    /// Requests the member's vote for a key.
    Claim {
        /// Shard of the key.
        shard: ShardNumber,
        /// Epoch of the group, as known to the claimant.
        epoch: GroupEpoch,
        /// Addressed member.
        to: ClaimMember,
        /// Key to claim.
        key: ClaimKey,
        /// Claimant that requests the vote.
        claimant: ClaimantId,
        /// Hash of the request's body.
        fingerprint: u64,
    },
    /// Withdraws a claim. The claimant will never dispatch its request.
    Withdraw {
        /// Shard of the key.
        shard: ShardNumber,
        /// Addressed member.
        to: ClaimMember,
        /// Key of the claim.
        key: ClaimKey,
        /// Claimant that withdraws.
        claimant: ClaimantId,
    },
    /// Reports that the winner's request ran. Only the winner sends it.
    Complete {
        /// Shard of the key.
        shard: ShardNumber,
        /// Addressed member.
        to: ClaimMember,
        /// Key of the claim.
        key: ClaimKey,
        /// Claimant that won the key.
        claimant: ClaimantId,
        /// Hash of the request's body.
        fingerprint: u64,
        /// Answer to keep, unless it is too large.
        answer: Option<ClaimAnswer>,
    },
    /// Ends an epoch at a member and requests its claims.
    Seal {
        /// Shard whose group changes.
        shard: ShardNumber,
        /// Epoch that ends.
        epoch: GroupEpoch,
        /// Addressed member.
        to: ClaimMember,
    },
    /// Begins an epoch at a member with the claims of the previous epoch.
    Install {
        /// Shard whose group changes.
        shard: ShardNumber,
        /// Epoch that begins.
        epoch: GroupEpoch,
        /// Addressed member.
        to: ClaimMember,
        /// State of the previous epoch.
        state: TransferredState,
    },
    /// Begins an epoch at a member without claims.
    InstallFresh {
        /// Shard whose group changes.
        shard: ShardNumber,
        /// Epoch that begins.
        epoch: GroupEpoch,
        /// Addressed member.
        to: ClaimMember,
        /// Whether the member must refuse all claims until the lost ones would have expired.
        quarantined: bool,
    },
}

impl ClaimMessage {
    /// Member that the message is addressed to.
    #[must_use]
    pub const fn to(&self) -> ClaimMember {
        match self {
            Self::Claim { to, .. }
            | Self::Withdraw { to, .. }
            | Self::Complete { to, .. }
            | Self::Seal { to, .. }
            | Self::Install { to, .. }
            | Self::InstallFresh { to, .. } => *to,
        }
    }
}

/// Why a member does not vote. It may vote later, or in another epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum VoteRefusal {
    /// The member is in another epoch, or in none.
    OtherEpoch,
    /// The epoch has been sealed at the member.
    Sealed,
    /// The group started without the claims of its predecessor and waits until those would have
    /// expired.
    Quarantined {
        /// Remaining time, in microseconds.
        left_us: u64,
    },
    /// The member keeps the maximum number of claims.
    Full,
    /// This claimant has already withdrawn its claim.
    Withdrawn,
}

/// Answer of a member to a claim.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Vote {
    /// The claimant holds the key at this member.
    Granted,
    /// Another claimant holds the key at this member.
    Held(HeldClaim),
    /// The member does not vote.
    None(VoteRefusal),
}

/// Reply of a member to a [`ClaimMessage`].
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ClaimReply {
    /// Reply to [`ClaimMessage::Claim`].
    Voted {
        /// Replying member.
        from: ClaimMember,
        /// Epoch of the claim.
        epoch: GroupEpoch,
        /// Key of the claim.
        key: ClaimKey,
        /// Claimant that requested the vote.
        claimant: ClaimantId,
        /// Vote of the member.
        vote: Vote,
    },
    /// Reply to [`ClaimMessage::Seal`]. The member will never vote in this epoch again.
    Sealed {
        /// Replying member.
        from: ClaimMember,
        /// Shard whose group changes.
        shard: ShardNumber,
        /// Sealed epoch.
        epoch: GroupEpoch,
        /// Claims of the member; `None` if it had not begun the epoch, which it now never will.
        state: Option<TransferredState>,
    },
    /// Reply to [`ClaimMessage::Install`] and [`ClaimMessage::InstallFresh`].
    Installed {
        /// Replying member.
        from: ClaimMember,
        /// Shard whose group changes.
        shard: ShardNumber,
        /// Epoch that the member has begun.
        epoch: GroupEpoch,
    },
}
