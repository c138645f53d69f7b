//! The interface to the store that holds the fleet's configuration, back-end directory and leases.
//! An adapter implements [`FleetStore`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use futures::future::BoxFuture;
use ponddrift_fleet::configuration::Configuration;
use ponddrift_fleet::directory::{BackEnd, WarmupState};
use ponddrift_fleet::fingerprint::Fingerprint;
use ponddrift_fleet::revision::{Era, Revision};
use ponddrift_fleet::topology::Member;
use ponddrift_fleet::usage::{TenantCounts, WindowNumber};
use ponddrift_fleet::version_history::VersionHistory;
use tokio::sync::watch;

/// One key of the store at one revision. The value is kept undecoded, so that daemons can relay it
/// to each other unchanged.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Item {
    /// Key in the store.
    pub key: String,
    /// Revision at which the key was written or removed.
    pub revision: Revision,
    /// Raw value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// Required freshness of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// The current state of the store.
    Linearizable,
    /// May be a few seconds out of date. Cheaper, and exempt from the store's rate limit.
    Stale,
}

/// One page of a full read of the relevant keys, in key order.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Page {
    /// Existing keys; removed keys are not listed.
    pub items: Vec<Item>,
    /// Revision up to which this page includes every change. Pages are not a snapshot: the revision
    /// of a later page may be higher or lower.
    pub at: Revision,
    /// Last key of this page, after which the next page begins; `None` on the last page.
    pub next_after: Option<String>,
}

/// The changes between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Changes {
    /// Revision after which the changes are complete.
    pub after: Revision,
    /// Changed keys, ordered by revision.
    pub items: Vec<Item>,
    /// Revision up to which the changes are complete.
    pub at: Revision,
}

/// The decoded meaning of an [`Item`].
#[derive(Debug, Clone)]
pub enum Decoded {
    /// The operators' configuration.
    Configuration(Box<Configuration>),
    /// The operators' configuration was removed.
    ConfigurationRemoved,
    /// A back end, and its reported cold-start state.
    BackEnd(BackEnd, WarmupState),
    /// A back end whose entry was removed.
    BackEndRemoved(Arc<str>),
    /// A daemon.
    Daemon(Member),
    /// A daemon whose key was removed because its lease ended.
    DaemonRemoved(Arc<str>),
    /// The daemon that holds the leadership.
    Leader(Arc<str>),
    /// The leader's key was removed.
    LeaderRemoved,
    /// A request that must no longer be run.
    QuarantineFiled(Fingerprint),
    /// The quarantine of a request was removed.
    QuarantineRemoved(Fingerprint),
    /// The versions of all services.
    Versions(VersionHistory),
    /// The versions of all services were removed.
    VersionsRemoved,
    /// A key that this crate does not use.
    Other,
}

/// A value in the store that cannot be decoded.
#[derive(Debug, Clone, thiserror::Error)]
#[error(
    "the value of {key} at revision {revision} cannot be decoded: {problem}; {}",
    self.consequence()
)]
pub struct Unreadable {
    /// Key in the store.
    pub key: String,
    /// Revision at which the key was written.
    pub revision: Revision,
    /// Why the value cannot be decoded.
    pub problem: String,
    /// The back end whose entry it is, if it is one.
    pub back_end: Option<Arc<str>>,
}

impl Unreadable {
    const fn consequence(&self) -> &'static str {
        match self.back_end {
            Some(_) => "the back end is not used until its entry can be decoded",
            None => "the last valid one stays in force",
        }
    }
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No answer arrived; the call may have taken effect.
    #[error("the store did not answer: {0}; the last known state stays in use until it does")]
    Silent(String),
    /// The store rejected the call, for example because it is overloaded. Holds the HTTP status.
    #[error("the store rejects calls now (status {0}); calls are retried with pauses")]
    Refused(u16),
    /// The changes after the requested revision are no longer available.
    #[error("the store has compacted its history; all keys are read again")]
    HistoryCompacted,
    /// The store was restored from a backup after the requested revision.
    #[error(
        "the store was restored from a backup and its revisions start again; \
         all keys are read again"
    )]
    EraMismatch,
    /// The store was restored from a backup after it sent this answer.
    #[error(
        "the answer was sent before the store was restored from a backup; the call is repeated"
    )]
    Outdated,
    /// The lease has expired.
    #[error("the lease has expired; a new one is requested")]
    LeaseExpired,
    /// The condition of a conditional write did not hold.
    #[error("the condition of the write did not hold; the key is read again")]
    Conflict,
    /// The store's answer is larger than any that is read.
    #[error("the store's answer is too large; check that the address is the store's")]
    TooLarge,
    /// The store's answer cannot be decoded.
    #[error("the store's answer cannot be decoded: {0}; check that the address is the store's")]
    Unreadable(String),
}

/// A lease granted by the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Identifier assigned by the store.
    pub id: u64,
    /// Time to live after the grant and after each renewal.
    pub life: Duration,
    /// Era in which it was granted. In a later era the same identifier may belong to another lease.
    pub era: Era,
}

/// Access to the store.
pub trait FleetStore: Send + Sync + 'static {
    /// The newest era named by any answer of the store. It never decreases.
    fn era(&self) -> watch::Receiver<Era>;
    /// Reads one page of the relevant keys: the first page, or the page that begins after the key
    /// `after`.
    fn read_page(
        &self,
        after: Option<&str>,
        consistency: Consistency,
    ) -> BoxFuture<'_, Result<Page, StoreError>>;
    /// Long-polls for changes after a revision for at most `wait`. Fails with
    /// [`StoreError::EraMismatch`] if the revision belongs to another era.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Changes, StoreError>>;
    /// Requests a lease with the time to live `life`.
    fn grant(&self, life: Duration) -> BoxFuture<'_, Result<Lease, StoreError>>;
    /// Renews a lease. Fails with [`StoreError::LeaseExpired`] also if it belongs to an earlier
    /// era.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<(), StoreError>>;
    /// Revokes a lease and removes its keys. A lease of an earlier era counts as revoked already.
    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<(), StoreError>>;
    /// Finds the lease under which the store holds this daemon's key with exactly the current
    /// value. Returns `None` if there is none. The answer may be a few seconds out of date.
    fn find_announcement_lease(
        &self,
        daemon: &Member,
    ) -> BoxFuture<'_, Result<Option<Lease>, StoreError>>;
    /// Writes the daemon's key under its lease.
    fn announce(&self, daemon: &Member, lease: Lease) -> BoxFuture<'_, Result<(), StoreError>>;
    /// Reads which daemons of a zone serve the full contents of the store to others; empty if no
    /// list was written. The answer may be a few seconds out of date.
    fn read_distributors(&self, zone: &str) -> BoxFuture<'_, Result<Vec<SocketAddr>, StoreError>>;
    /// Writes which daemons of a zone serve the full contents of the store to others. The list is
    /// not bound to a lease, because daemons need it after all daemons of the zone were lost.
    fn write_distributors<'a>(
        &'a self,
        zone: &'a str,
        distributors: &'a [SocketAddr],
    ) -> BoxFuture<'a, Result<(), StoreError>>;
    /// Writes the leader's key under its lease if no leader exists. Returns the revision of the
    /// write, which increases with each leader.
    fn acquire_leadership(
        &self,
        holder: &str,
        lease: Lease,
    ) -> BoxFuture<'_, Result<Revision, StoreError>>;
    /// Whether the leader's key still is as it was written at `written` under `lease`. The answer is
    /// linearizable. Fails with [`StoreError::LeaseExpired`] if the lease belongs to an earlier era.
    fn holds_leadership(
        &self,
        lease: Lease,
        written: Revision,
    ) -> BoxFuture<'_, Result<bool, StoreError>>;
    /// Writes the usage figures of a window once. If figures were written before, they are left
    /// unchanged and returned. Fails with [`StoreError::Conflict`] if the window is so old that its
    /// place in the store was reused for a later one.
    fn settle_usage<'a>(
        &'a self,
        window: WindowNumber,
        counts: &'a TenantCounts,
    ) -> BoxFuture<'a, Result<TenantCounts, StoreError>>;
    /// Writes the quarantine of a request under a lease with the time to live `life`. `engines` are
    /// the engines that ended while they ran the request. Succeeds without a write if the store
    /// holds the quarantine already.
    fn file_quarantine<'a>(
        &'a self,
        fingerprint: Fingerprint,
        engines: &'a [Arc<str>],
        life: Duration,
    ) -> BoxFuture<'a, Result<(), StoreError>>;
    /// Removes the quarantine of a request.
    fn release(&self, fingerprint: Fingerprint) -> BoxFuture<'_, Result<(), StoreError>>;
    /// Writes the versions of all services. Fails with [`StoreError::Conflict`] if they were written
    /// after `before`, or at all if that is `None`.
    fn write_versions<'a>(
        &'a self,
        history: &'a VersionHistory,
        before: Option<Revision>,
    ) -> BoxFuture<'a, Result<(), StoreError>>;
    /// Decodes an item.
    ///
    /// # Errors
    /// [`Unreadable`] if the value cannot be decoded.
    fn decode(&self, item: &Item) -> Result<Decoded, Unreadable>;
}
