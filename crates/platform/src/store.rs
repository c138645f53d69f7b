//! Interface of the key-value service: revisions, transactions, leases and watches.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use ponddrift_core::Revision;

/// A stored key and value with their revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision at which the key was created.
    pub create_revision: Revision,
    /// Revision of the key's last modification.
    pub mod_revision: Revision,
    /// Lease that the key is attached to. The key is removed when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Identifies a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub i64);

/// Result of a range read, consistent at one revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeResult {
    /// Revision of the store at which the values were read.
    pub revision: Revision,
    /// Values, ordered by key.
    pub values: Vec<StoredValue>,
}

/// A condition that must hold for a transaction to succeed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// Key.
        key: String,
    },
    /// The key was last modified at this revision.
    ModRevision {
        /// Key.
        key: String,
        /// Required revision.
        revision: Revision,
    },
    /// The key was created at this revision.
    CreateRevision {
        /// Key.
        key: String,
        /// Required revision.
        revision: Revision,
    },
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Stores a value.
    Put {
        /// Key.
        key: String,
        /// Value.
        value: Bytes,
        /// Lease to attach the key to.
        lease: Option<LeaseId>,
    },
    /// Removes a key.
    Delete {
        /// Key.
        key: String,
    },
}

/// Outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransactionResult {
    /// Whether all conditions held and the writes were applied.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: Revision,
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEvent {
    /// A value was stored.
    Put(StoredValue),
    /// A key was removed, possibly because its lease ended.
    Delete {
        /// Key.
        key: String,
        /// Revision at which the key was removed.
        revision: Revision,
    },
}

/// Error of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call failed and did not take effect.
    #[error(
        "the key-value service cannot be reached: {reason}; nothing was written, try again later"
    )]
    Unreachable {
        /// Cause.
        reason: String,
    },
    /// The service rejected the call because of its rate limit. Nothing was written.
    #[error(
        "the key-value service rejected the call because of its rate limit; nothing was written, try again later"
    )]
    RateLimited,
    /// The call may have taken effect. The caller must read the data back before it retries.
    #[error(
        "the response of the key-value service was lost: {reason}; the write may have taken effect, read the data back before retrying"
    )]
    AnswerLost {
        /// Cause.
        reason: String,
    },
    /// The lease does not exist or has expired.
    #[error("the lease does not exist or has expired; request a new one")]
    LeaseNotFound,
    /// The revision was compacted. The caller must read all data again and watch from there.
    #[error("revision {0} was compacted; read all data again and watch from the revision read")]
    Compacted(Revision),
    /// The service sent a response that violates its protocol.
    #[error("the key-value service sent an invalid response: {0}")]
    Protocol(String),
}

/// Stream of watch events. A batch contains all events of one or more revisions.
pub type WatchStream = BoxStream<'static, Result<Vec<WatchEvent>, StoreError>>;

/// A key-value service with revisions, transactions, leases and watches.
pub trait KeyValueStore: Send + Sync + 'static {
    /// Reads one key. Returns `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoredValue>, StoreError>>;

    /// Reads all keys with the given prefix, consistent at one revision.
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<RangeResult, StoreError>>;

    /// Applies all `writes` atomically if all `compares` hold, and nothing otherwise.
    fn transaction<'a>(
        &'a self,
        compares: Vec<Compare>,
        writes: Vec<Write>,
    ) -> BoxFuture<'a, Result<TransactionResult, StoreError>>;

    /// Grants a lease that expires `time_to_live` after the last keep-alive. Fractions of a second
    /// are dropped; the minimum is one second.
    fn grant_lease(&self, time_to_live: Duration) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease. The holder must measure the lease time from *before* the call, because the
    /// service may have renewed the lease at any time during it.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Revokes a lease, which removes the keys attached to it.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Watches all keys with the given prefix, starting at revision `from`, without gaps.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> BoxFuture<'a, Result<WatchStream, StoreError>>;
}
