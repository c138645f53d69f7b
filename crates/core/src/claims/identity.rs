//! Identifiers used by claims.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{Incarnation, MachineId, RequestId, ServiceName, TenantName};

/// Hash of an idempotency key, its tenant and its service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes the value of a caller's `Idempotency-Key` header. The names are terminated by a zero
    /// byte, which no name contains, so that different parts cannot give the same input.
    #[must_use]
    pub fn new(tenant: &TenantName, service: &ServiceName, idempotency_key: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        hash.update(tenant.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(service.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(idempotency_key);
        Self(hash.digest128())
    }
}

/// Number of a shard.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
pub struct ShardNumber(pub u32);

/// Number of a group's epoch. It grows by one with each change of the group's members.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
pub struct GroupEpoch(pub u64);

impl GroupEpoch {
    /// The epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// A daemon process as a member of a group. After a restart the daemon is another member, since it
/// has lost its claims.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    BorshSerialize,
    BorshDeserialize,
    Serialize,
    Deserialize,
)]
pub struct ClaimMember {
    /// Machine that the daemon runs on.
    pub machine: MachineId,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
}

/// Identifies a claimant: a request at a daemon process, in one round.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize,
)]
pub struct ClaimantId {
    /// Daemon process that claims the key.
    pub daemon: ClaimMember,
    /// Request id that the daemon generates for each submission. It must never be an id chosen by a
    /// caller: two submissions with the same id would count as one claimant, and both could win.
    pub request: RequestId,
    /// Round of the claim. A later round supersedes the earlier ones.
    pub round: u32,
}

impl ClaimantId {
    /// Whether this is the same request in a later round than `earlier`, which will never dispatch.
    #[must_use]
    pub fn supersedes(&self, earlier: &Self) -> bool {
        self.daemon == earlier.daemon
            && self.request == earlier.request
            && self.round > earlier.round
    }
}
