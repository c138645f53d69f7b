//! Keeps the state new: a few daemons of each neighbourhood follow the store and publish its changes to the
//! others.

mod announcer;
mod distributor_list;

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

use crate::fleet_state::{FleetState, Source, daemon_identity};
use crate::metrics::Metrics;
use crate::store::{Changes, Consistency, FleetStore, StoreError};
use crate::time::{self, now};
use crate::whole_read::WholeRead;
use announcer::Announcer;
pub(crate) use announcer::MISSING_KEY_GRACE;
use distributor_list::DistributorList;

/// How long one call of a daemon waits for changes that follows the store only for itself.
const OWN_WAIT: Duration = Duration::from_secs(2);
/// Pauses after a failed call grow from here,
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// to here,
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// and to here where neighbours follow the store: they publish when it answers again, and calls to a store that is
/// away are paid for too.
const LONGEST_PAUSE_BEHIND_FOLLOWERS: Duration = Duration::from_millis(1_400);
/// How long a daemon that starts waits to be told who hands on everything; then it begins to read the store itself. The answer is
/// some hundred bytes, so that even 2,000 daemons that ask at the same time get it within a tenth of that, where all is well.
const DISTRIBUTORS_LIMIT: Duration = Duration::from_millis(150);
/// Changes that wait to be published to neighbours, at most; what does not fit they fetch.
const UNPUBLISHED_CHANGES: usize = 64;

/// What is shared between following the store and telling peers.
pub struct Following {
    followers: Mutex<FollowerTable>,
    last_answer: Mutex<Option<Instant>>,
    /// Wakes a daemon that relies on its neighbours when it no longer can.
    disappointed: Notify,
    /// Wakes a daemon that waits to ask the store again when a neighbour reports an answer of the store.
    relieved: Notify,
    unpublished: mpsc::Sender<Changes>,
    /// The peer that last said that it has read an era of the store that is new here.
    ahead: Mutex<Option<SocketAddr>>,
}

impl Following {
    /// No neighbour has reported yet. The receiver gets changes to publish to neighbours.
    #[must_use]
    pub fn new() -> (Arc<Self>, mpsc::Receiver<Changes>) {
        let (unpublished, to_publish) = mpsc::channel(UNPUBLISHED_CHANGES);
        let following = Self {
            followers: Mutex::default(),
            last_answer: Mutex::default(),
            disappointed: Notify::new(),
            relieved: Notify::new(),
            unpublished,
            ahead: Mutex::default(),
        };
        (Arc::new(following), to_publish)
    }

    /// A neighbour says how long ago the store answered it.
    pub fn follower_reported(&self, peer: SocketAddr, store_silence: Duration) {
        let mut followers = lock(&self.followers);
        followers.receive(peer, store_silence, now());
        if followers.reliable_until(now()).is_some() {
            self.relieved.notify_waiters();
        }
    }

    /// A neighbour did not hand on what it has.
    pub fn distrust(&self, peer: SocketAddr) {
        lock(&self.followers).distrust(peer);
        self.disappointed.notify_one();
    }

    /// A peer has read an era of the store that is new here.
    pub fn peer_is_ahead(&self, peer: SocketAddr) {
        *lock(&self.ahead) = Some(peer);
        self.wake();
        self.relieved.notify_waiters();
    }

    /// What neighbours are relied on for has to be looked at anew.
    fn wake(&self) {
        self.disappointed.notify_one();
    }

    /// How long ago the store answered this daemon; none where its last call failed, or it does not follow.
    #[must_use]
    pub fn store_silence(&self) -> Option<Duration> {
        let last = *lock(&self.last_answer);
        last.map(|last| now().saturating_duration_since(last))
    }

    /// Whether this daemon asks the store itself.
    #[must_use]
    pub fn is_following(&self) -> bool {
        lock(&self.last_answer).is_some()
    }

    /// Whether the store answered this daemon, or a neighbour whose reports arrive, a moment ago.
    #[must_use]
    pub fn has_store_contact(&self) -> bool {
        let own = self.store_silence();
        own.is_some_and(|silence| silence < MAX_STORE_SILENCE) || self.reliable_until().is_some()
    }

    fn reliable_until(&self) -> Option<Instant> {
        lock(&self.followers).reliable_until(now())
    }

    fn note_answer(&self, answer: Option<Instant>) {
        *lock(&self.last_answer) = answer;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Starts following the store.
pub fn start(
    runtime: &Runtime,
    store: &Arc<dyn FleetStore>,
    state: &Arc<FleetState>,
    following: &Arc<Following>,
    reads_per_second: f64,
    metrics: &Arc<Metrics>,
) {
    let follower = Follower {
        runtime: runtime.clone(),
        store: Arc::clone(store),
        state: Arc::clone(state),
        following: Arc::clone(following),
        reads_per_second,
        metrics: Arc::clone(metrics),
        random: Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(31)),
        pause: FIRST_PAUSE,
        history_was_gone: false,
        gone_after: None,
        whole_read: None,
        relies_on_neighbours: false,
    };
    runtime.spawner.spawn(Box::pin(follower.run()));
    let announcer = Announcer::new(store, state, metrics, runtime.seed);
    runtime.spawner.spawn(Box::pin(announcer.run()));
    let noting = note_eras(Arc::clone(store), Arc::clone(state), Arc::clone(following));
    runtime.spawner.spawn(Box::pin(noting));
    let distributor_list = DistributorList::new(store, state);
    runtime.spawner.spawn(Box::pin(distributor_list.run()));
}

/// Whichever call of this daemon first gets an answer of a new era, everything is read anew.
async fn note_eras(store: Arc<dyn FleetStore>, state: Arc<FleetState>, following: Arc<Following>) {
    let mut era = store.era();
    loop {
        let named = *era.borrow_and_update();
        state.store_named_era(named, now());
        following.wake();
        if era.changed().await.is_err() {
            return;
        }
    }
}

struct Follower {
    runtime: Runtime,
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    following: Arc<Following>,
    reads_per_second: f64,
    metrics: Arc<Metrics>,
    random: Pcg64Mcg,
    pause: Duration,
    /// The store forgot what followed on the position; everything is read as it is now.
    history_was_gone: bool,
    /// The position after which the store last had no history. Asked again from there, it has none either: without a pause, that would go
    /// on as fast as it answers.
    gone_after: Option<Revision>,
    /// A reading of everything that a failed page interrupted.
    whole_read: Option<WholeRead>,
    relies_on_neighbours: bool,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let reliable_until = self.may_rely_on_neighbours();
            self.note_way(reliable_until.is_some());
            if let Some(until) = reliable_until {
                self.following.note_answer(None);
                let disappointed = self.following.disappointed.notified();
                // Either way it is looked at anew.
                time::timeout_at(until, disappointed).await;
                continue;
            }
            let ended = self.step().await;
            if !matches!(ended, Ok(Progress::ByPeers)) {
                self.metrics.store_call(result_name(&ended));
            }
            match ended {
                Ok(Progress::ByPeers) => self.following.note_answer(None),
                Ok(Progress::ByStore(at)) => {
                    self.following.note_answer(Some(now()));
                    self.state.store_answered(at);
                    self.pause = FIRST_PAUSE;
                }
                Err(error @ (StoreError::HistoryGone | StoreError::OtherEra)) => {
                    let position = self.state.position();
                    tracing::info!(position = position.map(display), %error, "store_history_gone");
                    self.history_was_gone = true;
                    self.whole_read = None;
                    if position.is_some() && self.gone_after == position {
                        self.pause_after_failure().await;
                    }
                    self.gone_after = position;
                }
                Err(error) => {
                    self.following.note_answer(None);
                    self.state.store_failed(&error, now());
                    self.pause_after_failure().await;
                }
            }
        }
    }

    /// Waits, longer after each failure, or until neighbours can be relied on.
    async fn pause_after_failure(&mut self) {
        let spread = self.random.random_range(0.6..1.4);
        let pause = self.pause.mul_f64(spread);
        let longest = if self.state.topology().follows_store {
            LONGEST_PAUSE
        } else {
            LONGEST_PAUSE_BEHIND_FOLLOWERS
        };
        self.pause = (self.pause * 2).min(longest);
        // Either way it is looked at anew.
        drop(tokio::time::timeout(pause, self.following.relieved.notified()).await);
    }

    /// Logs when this daemon begins or ends to rely on its neighbours.
    fn note_way(&mut self, relies_on_neighbours: bool) {
        if self.relies_on_neighbours == relies_on_neighbours {
            return;
        }
        self.relies_on_neighbours = relies_on_neighbours;
        let position = self.state.position();
        if relies_on_neighbours {
            tracing::info!(position = position.map(display), "store_left_to_neighbours");
        } else {
            let follows_for_others = self.state.topology().follows_store;
            tracing::info!(
                position = position.map(display),
                follows_for_others,
                "store_followed"
            );
        }
    }

    /// Until when neighbours follow the store for this daemon; none where it has to itself.
    fn may_rely_on_neighbours(&self) -> Option<Instant> {
        let lacks_everything = self.state.position().is_none() || self.state.is_of_era_before();
        if self.state.topology().follows_store || lacks_everything {
            return None;
        }
        self.following.reliable_until()
    }

    /// Reads everything, or waits for what changed.
    async fn step(&mut self) -> Result<Progress, StoreError> {
        let position = self.state.position();
        let Some(after) = position.filter(|_| !self.history_was_gone) else {
            return self.read_everything().await;
        };
        let follows_for_others = self.state.topology().follows_store;
        let wait = if follows_for_others {
            FOLLOWER_POLL_WAIT
        } else {
            OWN_WAIT
        };
        let changes = self.await_changes(after, wait).await?;
        let at = changes.at.max(after);
        let has_news = !changes.items.is_empty();
        if has_news && follows_for_others {
            // Where too many wait already, neighbours fetch them.
            drop(self.following.unpublished.try_send(changes.clone()));
        }
        // They follow on the position, which never goes back.
        self.state.take_changes(changes, Source::Store, now());
        if has_news {
            self.following.note_answer(Some(now()));
            tokio::time::sleep(self.gathering(follows_for_others)).await;
        }
        Ok(Progress::ByStore(at))
    }

    /// Waits for changes; no longer once the store is known to have come back from an older copy.
    async fn await_changes(&self, after: Revision, wait: Duration) -> Result<Changes, StoreError> {
        let mut era = self.state.era().subscribe();
        let newer = era.wait_for(|newest| *newest > after.era());
        tokio::select! {
            biased;
            _era = newer => Err(StoreError::OtherEra),
            changes = self.store.changes(after, wait) => changes,
        }
    }

    /// Reads everything, or goes on where a page failed: from peers where the fleet is large, else from the store. A read that
    /// may be old is enough, since changes are followed from its own revision on; not where the store has forgotten what
    /// follows on that.
    async fn read_everything(&mut self) -> Result<Progress, StoreError> {
        let consistency = if self.history_was_gone {
            Consistency::Linearizable
        } else {
            Consistency::Stale
        };
        let mut reading = self
            .whole_read
            .take()
            .unwrap_or_else(|| WholeRead::new(consistency));
        if self.read_peers(&mut reading).await {
            self.history_was_gone = false;
            return Ok(Progress::ByPeers);
        }
        let era_before = self.state.position().map(Revision::era);
        let ended = reading.read_store(&*self.store, &self.state).await;
        match ended {
            Ok(at) => {
                self.history_was_gone = false;
                self.state.store_was_read(at, now());
                self.publish_era(era_before, at);
            }
            Err(StoreError::OtherEra) => {}
            Err(_) => self.whole_read = Some(reading),
        }
        ended.map(Progress::ByStore)
    }

    /// Neighbours learn at once that the store has come back from an older copy: changes that follow on a position in an era
    /// that they do not know tell them.
    fn publish_era(&self, before: Option<Era>, at: Revision) {
        if before.is_none_or(|before| before >= at.era()) {
            return;
        }
        let nothing_yet = Changes {
            after: at,
            items: Vec::new(),
            at,
        };
        // Where too many wait already, the next digest tells them.
        drop(self.following.unpublished.try_send(nothing_yet));
    }

    /// Reads everything from peers. Returns false where there are none to read from, or where they do not bring what is missing.
    async fn read_peers(&self, reading: &mut WholeRead) -> bool {
        let own = self.state.own();
        let spread = daemon_identity(&own.name);
        let mut plan = ReadPlan::of(own.peer_address, &self.distributors().await, spread);
        let known = self.state.position();
        if known.is_some() {
            plan.fallback_after = REREAD_WAIT;
        }
        if known.is_some() && plan.providers.is_empty() {
            // Who told of the new era has read it. The store may refuse this machine, whether or not it follows for others.
            plan.providers.extend(lock(&self.following.ahead).take());
            plan.fallback_after = DISTRIBUTOR_TIMEOUT;
        }
        reading.only_newer_than(known);
        let read = reading.read_peers(&self.runtime, &plan, &self.state);
        let Some(at) = read.await else {
            return false;
        };
        if Some(at) <= known {
            // They know no more than this daemon: the store does.
            *reading = WholeRead::new(Consistency::Linearizable);
            return false;
        }
        // One call less for every daemon, just when all of them start.
        let relieved = self.following.relieved.notified();
        if !self.state.topology().follows_store && self.following.reliable_until().is_none() {
            // Whichever comes first, the store is asked only where no follower has reported.
            drop(tokio::time::timeout(FOLLOWER_REPORT_WAIT, relieved).await);
        }
        true
    }

    /// Who hands on everything: by what this daemon knows of its peers, or by what the store says of its zone.
    async fn distributors(&self) -> Vec<SocketAddr> {
        if self.state.position().is_some() {
            return self.state.topology().distributors.clone();
        }
        let reading = self.store.read_distributors(&self.state.own().zone);
        match tokio::time::timeout(DISTRIBUTORS_LIMIT, reading).await {
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

    /// How long it gathers changes before it asks again.
    fn gathering(&self, follows_for_others: bool) -> Duration {
        let topology = self.state.topology();
        if follows_for_others {
            batch_interval_for_others(topology.followers, self.reads_per_second)
        } else {
            batch_interval_alone(topology.daemons, self.reads_per_second)
        }
    }
}

/// What a step of following the store brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The store answered; changes follow on this revision.
    ByStore(Revision),
    /// Peers brought everything. It says nothing of the store, and must not be told to neighbours as its answer.
    ByPeers,
}

const fn result_name(ended: &Result<Progress, StoreError>) -> &'static str {
    match ended {
        Ok(_) => "answered",
        Err(StoreError::Silent(_)) => "silent",
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(StoreError::OtherEra | StoreError::Outdated) => "other_era",
        Err(_) => "unusable",
    }
}
