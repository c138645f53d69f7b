//! Leader election: one daemon at a time does what is done once for all, under a lease in the store.
//!
//! The revision of the leader's key is the fencing token of its calls. What the leader does runs as tasks of their own, each
//! of which asks its [`Leadership`] before every call; see [`ponddrift_fleet::leadership`] for when a call may leave.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures::FutureExt;
use ponddrift_fleet::leadership::{CALL_TIMEOUT, Fencing, Grant, LeaderTerm};
use ponddrift_runtime::Runtime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, watch};

use crate::fleet_state::FleetState;
use crate::pipeline::Pipeline;
use crate::store::{FleetStore, Lease, StoreError};
use crate::time::{self, now};

/// Renewals in the life of a lease: two may be lost.
const RENEWALS_IN_A_LIFE: u32 = 3;
/// Daemons that see no leader try after a random time up to this, so that few ask at once.
const CANDIDACY_SPREAD: Duration = Duration::from_millis(1_500);
/// Least part of that time.
const LEAST_SPREAD: f64 = 0.3;
/// Daemons that do not follow the store themselves try this much later: those that do see first that the leader is gone, and
/// have the faster links.
const CANDIDACY_DELAY: Duration = Duration::from_secs(2);
/// Time between two looks at whether a planned stop has begun.
const STOP_LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of the election.
#[derive(Debug, Clone)]
pub struct LeaderSettings {
    /// Name of this daemon.
    pub holder: Arc<str>,
    /// Life of the leader's lease.
    pub lease: Duration,
    /// Whether receivers of the leader's calls check fencing tokens.
    pub fencing: Fencing,
    /// Whether no daemon of this fleet has run before, so that none can have led.
    pub is_first_start: bool,
    /// Whether there is anything to lead where no model engines are.
    pub leads_without_engines: bool,
}

/// What the leader's tasks see of the election.
#[derive(Clone)]
pub struct Leadership {
    shared: Arc<Shared>,
    term: watch::Receiver<Option<LeaderTerm>>,
}

struct Shared {
    last_call: Mutex<Instant>,
    fenced_off: Notify,
}

impl Shared {
    fn last_call(&self) -> MutexGuard<'_, Instant> {
        self.last_call
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Leadership {
    /// Whether a call may leave now.
    #[must_use]
    pub fn may_call(&self) -> bool {
        self.term
            .borrow()
            .is_some_and(|term| term.allows_call(now()))
    }

    /// The fencing token of a call that leaves now; none where this daemon may not make one. To be asked right before each
    /// call: time has passed since the last look.
    #[must_use]
    pub fn begin_call(&self) -> Option<u64> {
        let term = (*self.term.borrow())?;
        let now = now();
        if !term.allows_call(now) {
            return None;
        }
        *self.shared.last_call() = now;
        Some(term.fencing_token)
    }

    /// A receiver has seen a higher token than `fencing_token`: another daemon leads.
    pub fn was_fenced_off(&self, fencing_token: u64) {
        let term = *self.term.borrow();
        if term.is_some_and(|term| term.fencing_token == fencing_token) {
            self.shared.fenced_off.notify_one();
        }
    }
}

/// Starts to take part in the election.
#[must_use]
pub fn start(
    runtime: &Runtime,
    settings: LeaderSettings,
    store: &Arc<dyn FleetStore>,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
) -> Leadership {
    let (published, term) = watch::channel(None);
    let shared = Arc::new(Shared {
        last_call: Mutex::new(earliest_last_call(&settings)),
        fenced_off: Notify::new(),
    });
    let candidate = Candidate {
        settings,
        store: Arc::clone(store),
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
        shared: Arc::clone(&shared),
        published,
        random: Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(17)),
    };
    runtime.spawner.spawn(Box::pin(candidate.run()));
    Leadership { shared, term }
}

/// When another process of this machine may have made a call as the leader.
fn earliest_last_call(settings: &LeaderSettings) -> Instant {
    let now = now();
    if !settings.is_first_start {
        return now;
    }
    let lease_ago = now.checked_sub(settings.lease + CALL_TIMEOUT);
    // A machine that has not been up for that long has not led either.
    lease_ago.unwrap_or(now)
}

struct Candidate {
    settings: LeaderSettings,
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    shared: Arc<Shared>,
    published: watch::Sender<Option<LeaderTerm>>,
    random: Pcg64Mcg,
}

impl Candidate {
    async fn run(mut self) {
        while !self.pipeline.is_stopping() {
            if !self.is_wanted().await {
                continue;
            }
            match self.take().await {
                Ok((lease, term)) => self.lead(lease, term).await,
                Err(error) => tracing::debug!(%error, "leader_lease_not_taken"),
            }
        }
    }

    /// Waits a while. Returns whether this daemon should try to lead then.
    async fn is_wanted(&mut self) -> bool {
        let spread = CANDIDACY_SPREAD.mul_f64(self.random.random_range(LEAST_SPREAD..1.0));
        tokio::time::sleep(spread).await;
        if !self.has_no_leader() {
            return false;
        }
        if !self.state.topology().follows_store {
            tokio::time::sleep(CANDIDACY_DELAY).await;
        }
        self.has_no_leader()
    }

    fn has_no_leader(&self) -> bool {
        self.state.leader().is_none() && (self.settings.leads_without_engines || self.has_engines())
    }

    fn has_engines(&self) -> bool {
        let back_ends = self.state.back_ends();
        back_ends.iter().any(|back_end| back_end.stage.is_some())
    }

    async fn take(&self) -> Result<(Lease, LeaderTerm), StoreError> {
        let requested_at = now();
        let lease = self.store.grant(self.settings.lease).await?;
        let taken = self.store.take_lead(&self.settings.holder, lease).await;
        let fencing_token = match taken {
            Ok(revision) => revision.as_token(),
            Err(error) => {
                self.end(lease).await;
                return Err(error);
            }
        };
        let grant = Grant {
            fencing_token,
            life: lease.life,
            requested_at,
            granted_at: now(),
            last_call: self.last_call(),
        };
        Ok((lease, LeaderTerm::new(&grant, self.settings.fencing)))
    }

    /// When a call may last have left, of this daemon or of a leader that had not seen yet that the store came back from an older
    /// copy, where its key was not there any more.
    fn last_call(&self) -> Instant {
        let own = *self.shared.last_call();
        let of_era_before = self.state.era().risen();
        of_era_before.map_or(own, |risen| risen.max(own))
    }

    /// Renews the lease for as long as it can, then ends it.
    async fn lead(&mut self, lease: Lease, term: LeaderTerm) {
        let fence = term.fencing_token;
        tracing::info!(fence, "leader_lease_taken");
        // What a receiver said of an earlier lease does not end this one.
        let is_of_earlier_lease = self.shared.fenced_off.notified().now_or_never().is_some();
        if is_of_earlier_lease {
            tracing::debug!(fence, "fencing_of_earlier_lease_ignored");
        }
        self.published.send_replace(Some(term));
        let reason = self.renew_until_over(lease, term).await;
        self.published.send_replace(None);
        tracing::info!(fence, reason, "leader_lease_over");
        // Calls on their way arrive before another daemon can lead.
        tokio::time::sleep(CALL_TIMEOUT).await;
        self.end(lease).await;
    }

    /// Returns why the time as the leader is over.
    async fn renew_until_over(&self, lease: Lease, mut term: LeaderTerm) -> &'static str {
        loop {
            if let Some(reason) = self.await_renewal(lease).await {
                return reason;
            }
            let requested_at = now();
            match self.store.renew(lease).await {
                Ok(()) => {
                    term = term.renewed(requested_at);
                    self.published.send_replace(Some(term));
                }
                Err(StoreError::LeaseOver) => return "lapsed",
                Err(_trouble) if !term.may_have_expired(now()) => {}
                Err(error) => {
                    tracing::warn!(%error, "leader_lease_not_renewed");
                    return "may_have_lapsed";
                }
            }
        }
    }

    /// Waits until the lease is to be renewed; returns why it is not.
    async fn await_renewal(&self, lease: Lease) -> Option<&'static str> {
        let renew_at = now() + lease.life / RENEWALS_IN_A_LIFE;
        let mut era = self.state.era().subscribe();
        while now() < renew_at {
            if self.pipeline.is_stopping() {
                return Some("stopping");
            }
            let look = renew_at.min(now() + STOP_LOOK_INTERVAL);
            tokio::select! {
                biased;
                () = self.shared.fenced_off.notified() => return Some("fenced_off"),
                _era = era.wait_for(|newest| *newest > lease.era) => return Some("store_restored"),
                () = time::sleep_until(look) => {}
            }
        }
        None
    }

    async fn end(&self, lease: Lease) {
        if let Err(error) = self.store.end(lease).await {
            // Left alone, it lapses.
            tracing::debug!(%error, "lease_not_ended");
        }
    }
}
