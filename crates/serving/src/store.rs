//! What an adapter brings from the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use borsh::{BorshDeserialize, BorshSerialize};
use futures::future::BoxFuture;
use ponddrift_fleet::configuration::Configuration;
use ponddrift_fleet::directory::{BackEnd, Warmth};
use ponddrift_fleet::fingerprint::RequestFingerprint;
use ponddrift_fleet::revision::{Era, Revision};
use ponddrift_fleet::topology::Member;
use ponddrift_fleet::usage::{TenantCounts, WindowNumber};
use tokio::sync::watch;

/// One key of the store at one revision, as raw as it lies there: daemons hand it on to each other so.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Revision of the write, or of the removal.
    pub revision: Revision,
    /// Value; none where the key was removed.
    pub value: Option<Vec<u8>>,
}

/// How new an answer of the store has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// As the store holds it now.
    Linearizable,
    /// It may be some seconds old; cheaper, and not throttled.
    Stale,
}

/// One page of everything of interest, in the order of keys.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Page {
    /// Keys that are there.
    pub items: Vec<Item>,
    /// Revision of the store up to which this page shows every change; pages are no snapshot, so later ones may be newer or older.
    pub at: Revision,
    /// Last key of this page, after which the next one begins; none where this is the last.
    pub next_after: Option<String>,
}

/// What changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Changes {
    /// Revision after which these changes are all.
    pub after: Revision,
    /// In the order of their revisions.
    pub items: Vec<Item>,
    /// Revision up to which this tells everything.
    pub at: Revision,
}

/// What a key means.
#[derive(Debug, Clone)]
pub enum Decoded {
    /// The operators' configuration.
    Configuration(Box<Configuration>),
    /// The operators' configuration is not there.
    ConfigurationRemoved,
    /// A back end, and what it says of its slow start.
    BackEnd(BackEnd, Warmth),
    /// A back end whose entry was removed.
    BackEndRemoved(Arc<str>),
    /// A daemon.
    Daemon(Member),
    /// A daemon whose lease ended.
    DaemonRemoved(Arc<str>),
    /// The daemon that leads.
    Leader(Arc<str>),
    /// Nobody leads.
    LeaderRemoved,
    /// A request that is not run any more.
    QuarantineFiled(RequestFingerprint),
    /// The quarantine of a request that ended.
    QuarantineRemoved(RequestFingerprint),
    /// Something that does not concern us.
    Other,
}

/// A value that cannot be read.
#[derive(Debug, Clone, thiserror::Error)]
#[error(
    "the value of {key} at revision {revision} cannot be read: {problem}; the last good one stays in force"
)]
pub struct Unreadable {
    /// Key.
    pub key: String,
    /// Revision.
    pub revision: Revision,
    /// What is wrong.
    pub problem: String,
}

/// A call to the store that brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No answer: it may have been done.
    #[error("the store did not answer: {0}; the last known state stays in force until it does")]
    Silent(String),
    /// It says that it does nothing now.
    #[error("the store refuses calls now (status {0}); calls are repeated with pauses")]
    Refused(u16),
    /// Changes after that revision are no longer known.
    #[error("the store has dropped its history; everything is read anew")]
    HistoryCompacted,
    /// The store has come back from an older copy since that revision.
    #[error(
        "the store has come back from an older copy: its revisions begin anew; everything is read anew"
    )]
    EraMismatch,
    /// The answer left the store before it came back from an older copy.
    #[error(
        "an answer from before the store's return from an older copy came late; it is asked again"
    )]
    Outdated,
    /// The lease is over.
    #[error("the lease is over; another is taken")]
    LeaseExpired,
    /// The condition did not hold.
    #[error("the condition did not hold; the key is read again")]
    Conflict,
    /// An answer that cannot be read.
    #[error("the store's answer cannot be read: {0}; check that the address is the store's")]
    Unreadable(String),
}

/// A lease as the store granted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Identity.
    pub id: u64,
    /// Time it lives after each renewal.
    pub life: Duration,
    /// In which era it was granted: in the next its number may be another's.
    pub era: Era,
}

/// The store.
pub trait FleetStore: Send + Sync + 'static {
    /// The newest era that any answer of the store has named. Rises only.
    fn era(&self) -> watch::Receiver<Era>;
    /// Reads one page of everything of interest: the first, or the one that follows the key `after`.
    fn read_page(
        &self,
        after: Option<&str>,
        consistency: Consistency,
    ) -> BoxFuture<'_, Result<Page, StoreError>>;
    /// Waits for changes after a revision, at most `wait`. [`StoreError::EraMismatch`] where that revision is of another era.
    fn changes(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Changes, StoreError>>;
    /// Takes a lease.
    fn grant(&self, life: Duration) -> BoxFuture<'_, Result<Lease, StoreError>>;
    /// Renews a lease. [`StoreError::LeaseExpired`] also where it is of an era before.
    fn renew(&self, lease: Lease) -> BoxFuture<'_, Result<(), StoreError>>;
    /// Ends a lease with its keys; one of an era before has ended.
    fn revoke(&self, lease: Lease) -> BoxFuture<'_, Result<(), StoreError>>;
    /// The lease under which the daemon's key stands just as it would be written now; none where it does not. It may be some
    /// seconds old.
    fn find_announcement_lease(&self, daemon: &Member) -> BoxFuture<'_, Result<Option<Lease>, StoreError>>;
    /// Writes the daemon's key under its lease.
    fn announce(&self, daemon: &Member, lease: Lease) -> BoxFuture<'_, Result<(), StoreError>>;
    /// Reads which daemons of a zone hand on everything that the store holds; none where nobody has written it. It may be
    /// some seconds old.
    fn read_distributors(&self, zone: &str) -> BoxFuture<'_, Result<Vec<SocketAddr>, StoreError>>;
    /// Writes which daemons of a zone hand on everything that the store holds. No lease ends it: it is read when all
    /// daemons were lost.
    fn write_distributors<'a>(
        &'a self,
        zone: &'a str,
        distributors: &'a [SocketAddr],
    ) -> BoxFuture<'a, Result<(), StoreError>>;
    /// Writes the leader under its lease, where there is none. Returns the revision, which rises with each leader.
    fn acquire_leadership(&self, holder: &str, lease: Lease) -> BoxFuture<'_, Result<Revision, StoreError>>;
    /// Writes what is to be reported of a window, once: where figures of it stand already, these are returned and stay.
    /// [`StoreError::Conflict`] where the window is so old that a later one has taken its place.
    fn settle_usage<'a>(
        &'a self,
        window: WindowNumber,
        counts: &'a TenantCounts,
    ) -> BoxFuture<'a, Result<TenantCounts, StoreError>>;
    /// Writes the quarantine of a request under a lease of `life`, where the store does not hold it yet; `engines` ended
    /// under it. Done as well where the store holds it already.
    fn file_quarantine<'a>(
        &'a self,
        fingerprint: RequestFingerprint,
        engines: &'a [Arc<str>],
        life: Duration,
    ) -> BoxFuture<'a, Result<(), StoreError>>;
    /// Takes the quarantine of a request away.
    fn release(&self, fingerprint: RequestFingerprint) -> BoxFuture<'_, Result<(), StoreError>>;
    /// What an item means.
    ///
    /// # Errors
    /// [`Unreadable`].
    fn decode(&self, item: &Item) -> Result<Decoded, Unreadable>;
}
