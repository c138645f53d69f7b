//! Keeps this daemon's state up to date. A few daemons of each neighbourhood follow the store and
//! publish its changes to the others.

mod announcer;
mod distributor_list;
mod store_check;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use ponddrift_fleet::distribution::{
    DISTRIBUTOR_TIMEOUT, FOLLOWER_REPORT_WAIT, REREAD_WAIT, ReadPlan,
};
use ponddrift_fleet::followers::{
    FOLLOWER_POLL_WAIT, FollowerTable, MAX_STORE_SILENCE, batch_interval_alone,
    batch_interval_for_others,
};
use ponddrift_fleet::revision::{Era, Revision};
use ponddrift_runtime::Runtime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, mpsc};

use crate::fleet_state::{FleetState, UpdateSource, daemon_identity};
use crate::full_read::FullRead;
use crate::metrics::Metrics;
use crate::store::{Changes, Consistency, FleetStore, StoreError};
use crate::time::{self, now};
use announcer::Announcer;
pub(crate) use announcer::MISSING_KEY_GRACE;
use distributor_list::DistributorList;
pub(crate) use store_check::StoreCheck;

/// Long-poll timeout of a daemon that follows the store only for itself.
const OWN_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the first failed call to the store; doubles with each further failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of the retry delay of a daemon that follows the store for its neighbours.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Upper bound of the retry delay of other daemons. Their neighbours tell them when the store
/// answers again, and the platform charges for failed calls as well.
const MAX_RETRY_DELAY_BEHIND_FOLLOWERS: Duration = Duration::from_millis(1_400);
/// How long a starting daemon waits to learn which daemons serve the full contents of the store.
/// After that it reads the store itself. The answer has some hundred bytes, so that 2,000 daemons
/// that start together get it within a tenth of this time if the store is healthy.
const DISTRIBUTOR_LIST_TIMEOUT: Duration = Duration::from_millis(150);
/// Capacity of the queue of changes to publish to neighbours. Neighbours fetch what does not fit.
const MAX_UNPUBLISHED_CHANGES: usize = 64;

/// State shared between the task that follows the store and the communication with peers.
pub struct FollowStatus {
    followers: Mutex<FollowerTable>,
    last_answer: Mutex<Option<Instant>>,
    /// Wakes a daemon that relies on its neighbours when it may no longer do so.
    reliance_changed: Notify,
    /// Wakes a daemon that waits to retry when a neighbour reports contact with the store.
    neighbour_has_contact: Notify,
    unpublished: mpsc::Sender<Changes>,
    /// The peer that last reported that it has read an era that this daemon has not.
    peer_ahead: Mutex<Option<SocketAddr>>,
}

impl FollowStatus {
    /// Creates the status without any known followers. The receiver yields changes to publish to
    /// neighbours.
    #[must_use]
    pub fn new() -> (Arc<Self>, mpsc::Receiver<Changes>) {
        let (unpublished, to_publish) = mpsc::channel(MAX_UNPUBLISHED_CHANGES);
        let follow_status = Self {
            followers: Mutex::default(),
            last_answer: Mutex::default(),
            reliance_changed: Notify::new(),
            neighbour_has_contact: Notify::new(),
            unpublished,
            peer_ahead: Mutex::default(),
        };
        (Arc::new(follow_status), to_publish)
    }

    /// Records how long ago the store answered a neighbour.
    pub fn follower_reported(&self, peer: SocketAddr, store_silence: Duration) {
        let mut followers = lock(&self.followers);
        followers.receive(peer, store_silence, now());
        if followers.reliable_until(now()).is_some() {
            self.neighbour_has_contact.notify_waiters();
        }
    }

    /// Stops relying on a neighbour that failed to provide the changes it announced.
    pub fn distrust(&self, peer: SocketAddr) {
        lock(&self.followers).distrust(peer);
        self.reliance_changed.notify_one();
    }

    /// Records that a peer has read an era of the store that this daemon has not.
    pub fn peer_is_ahead(&self, peer: SocketAddr) {
        *lock(&self.peer_ahead) = Some(peer);
        self.recheck_reliance();
        self.neighbour_has_contact.notify_waiters();
    }

    /// Makes the follower check again whether it may rely on its neighbours.
    fn recheck_reliance(&self) {
        self.reliance_changed.notify_one();
    }

    /// Time since the store last answered this daemon; `None` if its last call failed or it does
    /// not follow the store.
    #[must_use]
    pub fn store_silence(&self) -> Option<Duration> {
        let last = *lock(&self.last_answer);
        last.map(|last| now().saturating_duration_since(last))
    }

    /// Whether this daemon itself follows the store.
    #[must_use]
    pub fn is_following(&self) -> bool {
        lock(&self.last_answer).is_some()
    }

    /// Whether the store recently answered this daemon, or a neighbour whose reports still arrive.
    #[must_use]
    pub fn has_store_contact(&self) -> bool {
        let own = self.store_silence();
        own.is_some_and(|silence| silence < MAX_STORE_SILENCE) || self.reliable_until().is_some()
    }

    /// Queues changes for neighbours if this daemon follows the store for them. If the queue is full,
    /// neighbours fetch the changes.
    fn publish_to_neighbours(&self, state: &FleetState, changes: &Changes) {
        if !changes.items.is_empty() && state.topology().follows_store {
            drop(self.unpublished.try_send(changes.clone()));
        }
    }

    fn reliable_until(&self) -> Option<Instant> {
        lock(&self.followers).reliable_until(now())
    }

    fn set_last_answer(&self, answer: Option<Instant>) {
        *lock(&self.last_answer) = answer;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Starts the tasks that follow the store, announce this daemon, and maintain its zone's
/// distributor list.
pub fn start(
    runtime: &Runtime,
    store: &Arc<dyn FleetStore>,
    state: &Arc<FleetState>,
    follow_status: &Arc<FollowStatus>,
    reads_per_second: f64,
    metrics: &Arc<Metrics>,
) {
    let follower = Follower {
        runtime: runtime.clone(),
        store: Arc::clone(store),
        state: Arc::clone(state),
        follow_status: Arc::clone(follow_status),
        reads_per_second,
        metrics: Arc::clone(metrics),
        random: Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(31)),
        retry_delay: INITIAL_RETRY_DELAY,
        history_was_compacted: false,
        compacted_after: None,
        full_read: None,
        relies_on_neighbours: false,
    };
    runtime.spawner.spawn(Box::pin(follower.run()));
    let announcer = Announcer::new(store, state, metrics, runtime.seed);
    runtime.spawner.spawn(Box::pin(announcer.run()));
    let era_watcher = watch_store_era(
        Arc::clone(store),
        Arc::clone(state),
        Arc::clone(follow_status),
    );
    runtime.spawner.spawn(Box::pin(era_watcher));
    let distributor_list = DistributorList::new(store, state);
    runtime.spawner.spawn(Box::pin(distributor_list.run()));
}

/// Passes each new era that any answer of the store names to the state, so that all keys are read
/// again.
async fn watch_store_era(
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    follow_status: Arc<FollowStatus>,
) {
    let mut era = store.era();
    loop {
        let era_seen = *era.borrow_and_update();
        state.observe_store_era(era_seen, now());
        follow_status.recheck_reliance();
        if era.changed().await.is_err() {
            return;
        }
    }
}

struct Follower {
    runtime: Runtime,
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    follow_status: Arc<FollowStatus>,
    reads_per_second: f64,
    metrics: Arc<Metrics>,
    random: Pcg64Mcg,
    retry_delay: Duration,
    /// The store has compacted the history after the current position, so all keys must be read
    /// again.
    history_was_compacted: bool,
    /// The position after which the store last reported a compacted history. If it reports the same
    /// position again, the follower pauses; without a pause it would retry in a tight loop.
    compacted_after: Option<Revision>,
    /// A full read that was interrupted by a failed page.
    full_read: Option<FullRead>,
    relies_on_neighbours: bool,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let reliable_until = self.may_rely_on_neighbours_until();
            self.log_reliance_change(reliable_until.is_some());
            if let Some(until) = reliable_until {
                self.follow_status.set_last_answer(None);
                self.state.stopped_following_store();
                let reliance_changed = self.follow_status.reliance_changed.notified();
                // Check again both after a timeout and after a notification.
                time::timeout_at(until, reliance_changed).await;
                continue;
            }
            let started = now();
            let ended = self.step().await;
            if !matches!(ended, Ok(Progress::ByPeers)) {
                self.metrics.store_call(result_name(&ended));
            }
            match ended {
                Ok(Progress::ByPeers) => {
                    self.follow_status.set_last_answer(None);
                    self.state.stopped_following_store();
                }
                Ok(Progress::ByStore(at)) => {
                    self.follow_status.set_last_answer(Some(now()));
                    self.state.store_answered(at, now());
                    self.retry_delay = INITIAL_RETRY_DELAY;
                }
                Err(error @ (StoreError::HistoryCompacted | StoreError::EraMismatch)) => {
                    let position = self.state.position();
                    tracing::info!(position = position.map(display), %error, "store_history_gone");
                    self.history_was_compacted = true;
                    self.full_read = None;
                    if position.is_some() && self.compacted_after == position {
                        self.wait_to_retry().await;
                    }
                    self.compacted_after = position;
                }
                Err(error) => {
                    self.follow_status.set_last_answer(None);
                    self.state.store_failed(&error, started, now());
                    self.wait_to_retry().await;
                }
            }
        }
    }

    /// Waits for the retry delay, which grows with each failure, or until a neighbour reports
    /// contact with the store.
    async fn wait_to_retry(&mut self) {
        let jitter = self.random.random_range(0.6..1.4);
        let retry_delay = self.retry_delay.mul_f64(jitter);
        let maximum = if self.state.topology().follows_store {
            MAX_RETRY_DELAY
        } else {
            MAX_RETRY_DELAY_BEHIND_FOLLOWERS
        };
        self.retry_delay = (self.retry_delay * 2).min(maximum);
        // Retry both after the delay and after a notification.
        drop(
            tokio::time::timeout(
                retry_delay,
                self.follow_status.neighbour_has_contact.notified(),
            )
            .await,
        );
    }

    /// Logs when this daemon starts or stops relying on its neighbours.
    fn log_reliance_change(&mut self, relies_on_neighbours: bool) {
        if self.relies_on_neighbours == relies_on_neighbours {
            return;
        }
        self.relies_on_neighbours = relies_on_neighbours;
        let position = self.state.position();
        if relies_on_neighbours {
            tracing::info!(
                position = position.map(display),
                "store_followed_by_neighbours"
            );
        } else {
            let follows_for_others = self.state.topology().follows_store;
            tracing::info!(
                position = position.map(display),
                follows_for_others,
                "store_followed"
            );
        }
    }

    /// Until when this daemon may rely on its neighbours to follow the store; `None` if it must
    /// follow the store itself.
    fn may_rely_on_neighbours_until(&self) -> Option<Instant> {
        let lacks_everything = self.state.position().is_none() || self.state.is_of_earlier_era();
        if self.state.topology().follows_store || lacks_everything {
            return None;
        }
        self.follow_status.reliable_until()
    }

    /// Performs a full read if necessary, or else waits for changes.
    async fn step(&mut self) -> Result<Progress, StoreError> {
        let position = self.state.position();
        let Some(after) = position.filter(|_| !self.history_was_compacted) else {
            return self.read_everything().await;
        };
        let follows_for_others = self.state.topology().follows_store;
        let wait = match (follows_for_others, self.follow_status.is_following()) {
            (true, true) => FOLLOWER_POLL_WAIT,
            // Neighbours wait to hear whether the store is in reach.
            (true, false) => Duration::ZERO,
            (false, _) => OWN_POLL_TIMEOUT,
        };
        let changes = self.await_changes(after, wait).await?;
        let at = changes.at.max(after);
        // Before neighbours are told of failures that this answer explains.
        self.state.store_answered(at, now());
        let has_changes = !changes.items.is_empty();
        self.follow_status
            .publish_to_neighbours(&self.state, &changes);
        // The changes begin at the current position, which never goes back, so they are always
        // applied.
        self.state
            .apply_changes(changes, UpdateSource::Store, now());
        if has_changes {
            self.follow_status.set_last_answer(Some(now()));
            tokio::time::sleep(self.batching_delay(follows_for_others)).await;
        }
        Ok(Progress::ByStore(at))
    }

    /// Waits for changes. Stops early once this daemon learns that the store was restored from a
    /// backup.
    async fn await_changes(&self, after: Revision, wait: Duration) -> Result<Changes, StoreError> {
        let mut era = self.state.era().subscribe();
        let newer = era.wait_for(|newest| *newest > after.era());
        tokio::select! {
            biased;
            _era = newer => Err(StoreError::EraMismatch),
            changes = self.store.changes(after, wait) => changes,
        }
    }

    /// Reads all keys, or continues a read that was interrupted by a failed page: from peers in a
    /// large fleet, else from the store.
    ///
    /// A stale read is sufficient, because changes are followed from the revision of the read. It
    /// is not sufficient after the store has compacted its history.
    async fn read_everything(&mut self) -> Result<Progress, StoreError> {
        let consistency = if self.history_was_compacted {
            Consistency::Linearizable
        } else {
            Consistency::Stale
        };
        let mut reading = self
            .full_read
            .take()
            .unwrap_or_else(|| FullRead::new(consistency));
        if self.read_peers(&mut reading).await {
            self.history_was_compacted = false;
            return Ok(Progress::ByPeers);
        }
        let era_before = self.state.position().map(Revision::era);
        let ended = reading.read_store(&*self.store, &self.state).await;
        match ended {
            Ok(at) => {
                self.history_was_compacted = false;
                self.state.confirm_store_era(at, now());
                self.publish_era(era_before, at);
            }
            Err(StoreError::EraMismatch) => {}
            Err(_) => self.full_read = Some(reading),
        }
        ended.map(Progress::ByStore)
    }

    /// Tells neighbours at once that the store was restored from a backup, by publishing empty
    /// changes that begin in the new era.
    fn publish_era(&self, before: Option<Era>, at: Revision) {
        if before.is_none_or(|before| before >= at.era()) {
            return;
        }
        let empty_changes = Changes {
            after: at,
            items: Vec::new(),
            at,
        };
        // If the queue is full, the next digest tells them.
        drop(self.follow_status.unpublished.try_send(empty_changes));
    }

    /// Reads all keys from peers. Returns false if there are no peers to read from, or if they do
    /// not provide what is missing.
    async fn read_peers(&self, reading: &mut FullRead) -> bool {
        let own = self.state.own();
        let identity = daemon_identity(&own.name);
        let mut plan = ReadPlan::of(own.peer_address, &self.distributors().await, identity);
        let known = self.state.position();
        if known.is_some() {
            plan.fallback_after = REREAD_WAIT;
        }
        if known.is_some() && plan.providers.is_empty() {
            // The peer that announced the new era has read it, while the store may reject this
            // machine's calls, whether or not this daemon follows it for others.
            plan.providers
                .extend(lock(&self.follow_status.peer_ahead).take());
            plan.fallback_after = DISTRIBUTOR_TIMEOUT;
        }
        reading.require_newer_than(known);
        let read = reading.read_peers(&self.runtime, &plan, &self.state);
        let Some(at) = read.await else {
            return false;
        };
        if Some(at) <= known {
            // The peers know no more than this daemon, so it must ask the store.
            *reading = FullRead::new(Consistency::Linearizable);
            return false;
        }
        // Wait for a follower to report, so that not every daemon calls the store when all of them
        // start.
        let neighbour_has_contact = self.follow_status.neighbour_has_contact.notified();
        if !self.state.topology().follows_store && self.follow_status.reliable_until().is_none() {
            // On a timeout, the main loop asks the store.
            drop(tokio::time::timeout(FOLLOWER_REPORT_WAIT, neighbour_has_contact).await);
        }
        true
    }

    /// The daemons that serve the full contents of the store: from the known topology, or at the
    /// start from the list that the store holds for this zone.
    async fn distributors(&self) -> Vec<SocketAddr> {
        if self.state.position().is_some() {
            return self.state.topology().distributors.clone();
        }
        let reading = self.store.read_distributors(&self.state.own().zone);
        match tokio::time::timeout(DISTRIBUTOR_LIST_TIMEOUT, reading).await {
            Ok(Ok(distributors)) => distributors,
            Ok(Err(error)) => {
                tracing::info!(%error, "distributors_unknown");
                Vec::new()
            }
            Err(_elapsed) => {
                tracing::info!(error = "no answer in time", "distributors_unknown");
                Vec::new()
            }
        }
    }

    /// How long to batch changes before the next call.
    fn batching_delay(&self, follows_for_others: bool) -> Duration {
        let topology = self.state.topology();
        if follows_for_others {
            batch_interval_for_others(topology.followers, self.reads_per_second)
        } else {
            batch_interval_alone(topology.daemons, self.reads_per_second)
        }
    }
}

/// The result of one step of following the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The store answered; the next changes begin after this revision.
    ByStore(Revision),
    /// All keys were read from peers. This proves no contact with the store and must not be
    /// reported to neighbours as an answer of the store.
    ByPeers,
}

const fn result_name(ended: &Result<Progress, StoreError>) -> &'static str {
    match ended {
        Ok(_) => "answered",
        Err(StoreError::Silent(_)) => "silent",
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::HistoryCompacted) => "history_gone",
        Err(StoreError::EraMismatch | StoreError::Outdated) => "other_era",
        Err(_) => "unusable",
    }
}
