//! Keeps the state new by following the store, and this daemon's key alive.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_runtime::Runtime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::fleet_state::{FleetState, Source};
use crate::metrics::Metrics;
use crate::store::{DaemonRecord, FleetStore, Lease, StoreError};

/// How long one call waits for changes. A connection that fell silent is noticed little later.
const WATCH_WAIT: Duration = Duration::from_secs(2);
/// Share of the reads that the store takes in a second which all daemons together use to follow it.
const SHARE_OF_READS: f64 = 0.4;
/// Pauses after a failed call grow from here,
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// to here.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Life of the lease under which a daemon's key stands.
const DAEMON_LEASE: Duration = Duration::from_secs(10);
/// Time between two renewals.
const RENEWAL: Duration = Duration::from_secs(3);

/// Starts following the store.
pub fn start(
    runtime: &Runtime,
    store: &Arc<dyn FleetStore>,
    state: &Arc<FleetState>,
    daemon: DaemonRecord,
    reads_per_second: f64,
    metrics: &Arc<Metrics>,
) {
    let follower = Follower {
        store: Arc::clone(store),
        state: Arc::clone(state),
        reads_per_second,
        metrics: Arc::clone(metrics),
        random: Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(31)),
    };
    runtime.spawner.spawn(Box::pin(follower.run()));
    let announcer = Announcer {
        store: Arc::clone(store),
        metrics: Arc::clone(metrics),
        daemon,
    };
    runtime.spawner.spawn(Box::pin(announcer.run()));
}

struct Follower {
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    reads_per_second: f64,
    metrics: Arc<Metrics>,
    random: Pcg64Mcg,
}

impl Follower {
    async fn run(mut self) {
        let mut position = None;
        let mut history_was_gone = false;
        let mut pause = FIRST_PAUSE;
        loop {
            let ended = self.step(position, history_was_gone).await;
            self.metrics.store_call(result_name(&ended));
            match ended {
                Ok(at) => {
                    self.state.store_answered(at);
                    history_was_gone &= position.is_none();
                    position = Some(at);
                    pause = FIRST_PAUSE;
                }
                Err(StoreError::HistoryGone) => {
                    tracing::info!(position, "store_history_gone");
                    position = None;
                    history_was_gone = true;
                }
                Err(error) => {
                    self.state.store_failed(&error, now());
                    let spread = self.random.random_range(0.6..1.4);
                    tokio::time::sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
            self.state.forget_old(now());
        }
    }

    /// Reads everything, or waits for what changed. Returns the position from which to go on.
    async fn step(&self, position: Option<u64>, history_was_gone: bool) -> Result<u64, StoreError> {
        let Some(after) = position else {
            let snapshot = self.store.read_all(history_was_gone).await?;
            let at = snapshot.at;
            self.state.take_snapshot(snapshot, now());
            return Ok(at);
        };
        let changes = self.store.changes(after, WATCH_WAIT).await?;
        let has_changes = !changes.items.is_empty();
        self.state.take_items(changes.items, Source::Store, now());
        if has_changes {
            tokio::time::sleep(self.pace()).await;
        }
        Ok(changes.at.max(after))
    }

    /// Every change wakes every daemon: the more there are, the longer each gathers changes before it asks again.
    fn pace(&self) -> Duration {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred daemons")]
        let daemons = self.state.daemons().len() as f64;
        Duration::from_secs_f64(daemons / (self.reads_per_second * SHARE_OF_READS))
    }
}

const fn result_name(ended: &Result<u64, StoreError>) -> &'static str {
    match ended {
        Ok(_) => "answered",
        Err(StoreError::Silent(_)) => "silent",
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::HistoryGone) => "history_gone",
        Err(_) => "unusable",
    }
}

/// Keeps the daemon's own key in the store, so that others find it.
struct Announcer {
    store: Arc<dyn FleetStore>,
    metrics: Arc<Metrics>,
    daemon: DaemonRecord,
}

impl Announcer {
    async fn run(self) {
        let mut lease = None;
        loop {
            match self.step(lease).await {
                Ok(kept) => lease = Some(kept),
                Err(StoreError::LeaseOver) => {
                    lease = None;
                    continue;
                }
                Err(error) => tracing::debug!(%error, "announcement_failed"),
            }
            tokio::time::sleep(RENEWAL).await;
        }
    }

    async fn step(&self, lease: Option<Lease>) -> Result<Lease, StoreError> {
        if let Some(lease) = lease {
            let begun = now();
            self.store.renew(lease).await?;
            let took = now().saturating_duration_since(begun);
            self.metrics.store_answered(took);
            return Ok(lease);
        }
        let lease = self.store.grant(DAEMON_LEASE).await?;
        self.store.announce(&self.daemon, lease).await?;
        Ok(lease)
    }
}

/// The time for decisions: tokio's clock, which a simulation moves.
#[must_use]
pub fn now() -> std::time::Instant {
    Instant::now().into_std()
}
