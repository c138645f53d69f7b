//! Leader election under a lease in the store. The leader performs the duties that only one daemon
//! of the fleet may perform at a time.
//!
//! The revision of the leader's key is the fencing token of its calls. The leader's duties run as
//! separate tasks, each of which asks its [`Leadership`] before every call. See
//! [`ponddrift_fleet::leadership`] for when a call may be sent.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use futures::FutureExt;
use ponddrift_fleet::leadership::{
    CALL_TIMEOUT, EndReason, Fencing, Grant, KeyState, LeaderTerm, RenewalDecision, RenewalOutcome,
};
use ponddrift_fleet::revision::Revision;
use ponddrift_runtime::Runtime;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::{Notify, watch};

use crate::fleet_state::FleetState;
use crate::pipeline::Pipeline;
use crate::request_trace::milliseconds;
use crate::store::{FleetStore, Lease, StoreError};
use crate::time::{self, now};

/// Renewals per lease lifetime: two in a row may be lost.
const RENEWALS_PER_LEASE: u32 = 3;
/// Interval of attempts to recover a lease that may have expired, while the store answers this
/// daemon. No duty is performed until one succeeds.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// The same while the store does not answer: other calls of this daemon show its return.
const RECOVERY_INTERVAL_IN_OUTAGE: Duration = Duration::from_secs(5);
/// Daemons that see no leader wait a random time up to this before they become candidates, so that
/// few ask the store at once.
const MAX_CANDIDACY_DELAY: Duration = Duration::from_millis(1_500);
/// Lower bound of that random time, as a fraction of the maximum.
const MIN_CANDIDACY_DELAY_FRACTION: f64 = 0.3;
/// Additional delay for daemons that do not follow the store themselves. Those that do notice the
/// loss of the leader first and have the faster links.
const NON_FOLLOWER_EXTRA_DELAY: Duration = Duration::from_secs(2);
/// Additional delay for daemons that reach most engines only through peers: orders are not relayed.
const CUT_PATHS_EXTRA_DELAY: Duration = Duration::from_secs(4);
/// Interval at which the leader checks whether a planned stop has begun or its paths were cut.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of the leader election.
#[derive(Debug, Clone)]
pub struct LeaderSettings {
    /// Name of this daemon, written as the holder of the leadership.
    pub holder: Arc<str>,
    /// Time to live of the leader's lease.
    pub lease: Duration,
    /// Whether receivers of the leader's calls check fencing tokens.
    pub fencing: Fencing,
    /// Whether no daemon of this fleet has run before, so that no earlier leader can exist.
    pub is_first_start: bool,
    /// Whether a leader is needed even if the fleet has no model engines.
    pub leads_without_engines: bool,
}

/// Handle through which the leader's tasks ask whether they may act.
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
    /// Whether a call may be sent now.
    #[must_use]
    pub fn may_call(&self) -> bool {
        self.current_token().is_some()
    }

    /// The fencing token of the current term if a call may be sent now. See [`Self::begin_call`] for
    /// the token of a call.
    #[must_use]
    pub fn current_token(&self) -> Option<u64> {
        let term = *self.term.borrow();
        term.filter(|term| term.allows_call(now()))
            .map(|term| term.fencing_token)
    }

    /// Returns the fencing token for a call that is sent now, or `None` if this daemon must not
    /// send one. Must be called immediately before each call, because the lease may have run out
    /// since an earlier check.
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

    /// Reports that a receiver has seen a higher token than `fencing_token`: another daemon leads.
    pub fn report_fenced_off(&self, fencing_token: u64) {
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
    let (tenure_sender, term) = watch::channel(None);
    let shared = Arc::new(Shared {
        last_call: Mutex::new(assumed_last_call(&settings)),
        fenced_off: Notify::new(),
    });
    let candidate = Candidate {
        settings,
        store: Arc::clone(store),
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
        shared: Arc::clone(&shared),
        tenure_sender,
        random: Pcg64Mcg::seed_from_u64(runtime.seed.rotate_left(17)),
    };
    runtime.spawner.spawn(Box::pin(candidate.run()));
    Leadership { shared, term }
}

/// The latest time at which another process on this machine may have sent a call as the leader.
fn assumed_last_call(settings: &LeaderSettings) -> Instant {
    let now = now();
    if !settings.is_first_start {
        return now;
    }
    let one_lease_ago = now.checked_sub(settings.lease + CALL_TIMEOUT);
    // If the machine has not been up for that long, no process on it can have led earlier.
    one_lease_ago.unwrap_or(now)
}

/// A lease under which this daemon wrote the leader's key.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    lease: Lease,
    /// Revision of that write.
    key_revision: Revision,
}

struct Candidate {
    settings: LeaderSettings,
    store: Arc<dyn FleetStore>,
    state: Arc<FleetState>,
    pipeline: Arc<Pipeline>,
    shared: Arc<Shared>,
    tenure_sender: watch::Sender<Option<LeaderTerm>>,
    random: Pcg64Mcg,
}

impl Candidate {
    async fn run(mut self) {
        while !self.pipeline.is_stopping() {
            if !self.wait_for_candidacy().await {
                continue;
            }
            match self.acquire_lease().await {
                Ok((held, term)) => self.lead(held, term).await,
                Err(error) => tracing::debug!(%error, "leader_lease_not_taken"),
            }
        }
    }

    /// Waits for the candidacy delay. Returns whether this daemon should then try to become the
    /// leader.
    async fn wait_for_candidacy(&mut self) -> bool {
        let delay = MAX_CANDIDACY_DELAY
            .mul_f64(self.random.random_range(MIN_CANDIDACY_DELAY_FRACTION..1.0));
        tokio::time::sleep(delay).await;
        if !self.needs_leader() {
            return false;
        }
        if !self.state.topology().follows_store {
            tokio::time::sleep(NON_FOLLOWER_EXTRA_DELAY).await;
        }
        if self.pipeline.is_cut_from_engines() {
            tokio::time::sleep(CUT_PATHS_EXTRA_DELAY).await;
        }
        self.needs_leader()
    }

    fn needs_leader(&self) -> bool {
        self.state.leader().is_none() && (self.settings.leads_without_engines || self.has_engines())
    }

    fn has_engines(&self) -> bool {
        let back_ends = self.state.back_ends();
        back_ends.iter().any(|back_end| back_end.stage.is_some())
    }

    async fn acquire_lease(&self) -> Result<(HeldLease, LeaderTerm), StoreError> {
        let requested_at = now();
        let lease = self.store.grant(self.settings.lease).await?;
        let acquired = self
            .store
            .acquire_leadership(&self.settings.holder, lease)
            .await;
        let key_revision = match acquired {
            Ok(revision) => revision,
            Err(error) => {
                self.revoke(lease).await;
                return Err(error);
            }
        };
        let grant = Grant {
            fencing_token: key_revision.as_token(),
            life: lease.life,
            requested_at,
            granted_at: now(),
            last_call: self.last_call(),
        };
        let held = HeldLease {
            lease,
            key_revision,
        };
        Ok((held, LeaderTerm::new(&grant, self.settings.fencing)))
    }

    /// The latest time at which an earlier leader may have sent a call: this daemon, or a leader
    /// that had not yet noticed that the store was restored from a backup without its key.
    fn last_call(&self) -> Instant {
        let own = *self.shared.last_call();
        let by_earlier_era_leader = self.state.era().raised_at();
        by_earlier_era_leader.map_or(own, |raised_at| raised_at.max(own))
    }

    /// Renews the lease for as long as possible, then revokes it.
    async fn lead(&mut self, held: HeldLease, term: LeaderTerm) {
        let fence = term.fencing_token;
        tracing::info!(fence, "leader_lease_taken");
        // A fencing report that concerns an earlier lease must not end this one.
        let concerns_earlier_lease = self.shared.fenced_off.notified().now_or_never().is_some();
        if concerns_earlier_lease {
            tracing::debug!(fence, "fencing_of_earlier_lease_ignored");
        }
        self.tenure_sender.send_replace(Some(term));
        let reason = self.renew_until_ended(held, term).await;
        self.tenure_sender.send_replace(None);
        tracing::info!(fence, reason, "leader_lease_over");
        // Calls in flight must arrive before another daemon can become the leader.
        tokio::time::sleep(CALL_TIMEOUT).await;
        if reason != EndReason::KeyChanged.as_str() {
            self.revoke(held.lease).await;
        }
    }

    /// Returns why the leadership ended.
    async fn renew_until_ended(&self, held: HeldLease, mut term: LeaderTerm) -> &'static str {
        let fence = term.fencing_token;
        // A daemon that leads although its paths are cut does so because no other did.
        let steps_down_if_cut = !self.pipeline.is_cut_from_engines();
        let mut in_doubt_since = None;
        loop {
            if let Some(reason) = self.wait_for_renewal(held.lease, in_doubt_since).await {
                return reason;
            }
            if steps_down_if_cut && self.pipeline.is_cut_from_engines() {
                return "no_path_to_engines";
            }
            let decision = if term.may_have_expired(now()) {
                self.recover(held, &mut term).await
            } else {
                self.renew(held, &mut term).await
            };
            match decision {
                RenewalDecision::Continue(renewed) => {
                    term = renewed;
                    self.tenure_sender.send_replace(Some(term));
                    if let Some(since) = in_doubt_since.take() {
                        let doubt_ms = milliseconds(now().saturating_duration_since(since));
                        tracing::info!(fence, doubt_ms, "leader_lease_recovered");
                    }
                }
                RenewalDecision::StepDown(reason) => return reason.as_str(),
                RenewalDecision::Renew
                | RenewalDecision::ConfirmKey { .. }
                | RenewalDecision::Retry => {}
            }
            if in_doubt_since.is_none() && term.may_have_expired(now()) {
                in_doubt_since = Some(now());
                tracing::warn!(fence, "leader_lease_in_doubt");
            }
        }
    }

    /// Renews the lease once. If it may have expired before, also reads the leader's key.
    async fn renew(&self, held: HeldLease, term: &mut LeaderTerm) -> RenewalDecision {
        let requested_at = now();
        let outcome = match self.store.renew(held.lease).await {
            Ok(()) => RenewalOutcome::Renewed { requested_at },
            Err(StoreError::LeaseExpired) => RenewalOutcome::Expired,
            Err(error) => {
                tracing::debug!(%error, "leader_lease_not_renewed");
                RenewalOutcome::Unknown
            }
        };
        match term.after_renewal(outcome, now()) {
            RenewalDecision::ConfirmKey { requested_at } => {
                let key = self.read_key(held).await;
                term.after_key_read(key, Some(requested_at), now())
            }
            decision => decision,
        }
    }

    /// Tries once to recover a lease that may have expired.
    async fn recover(&self, held: HeldLease, term: &mut LeaderTerm) -> RenewalDecision {
        let key = self.read_key(held).await;
        match term.after_key_read(key, None, now()) {
            RenewalDecision::Renew => self.renew(held, term).await,
            decision => decision,
        }
    }

    async fn read_key(&self, held: HeldLease) -> KeyState {
        let is_unchanged = self
            .store
            .holds_leadership(held.lease, held.key_revision)
            .await;
        match is_unchanged {
            Ok(true) => KeyState::Unchanged,
            // The lease ended with its era.
            Ok(false) | Err(StoreError::LeaseExpired) => KeyState::Changed,
            Err(error) => {
                tracing::debug!(%error, "leader_key_not_read");
                KeyState::Unknown
            }
        }
    }

    /// Waits until the next renewal, or attempt to recover the lease, is due. Returns the reason if
    /// there is to be none.
    async fn wait_for_renewal(
        &self,
        lease: Lease,
        in_doubt_since: Option<Instant>,
    ) -> Option<&'static str> {
        let began = now();
        let mut era = self.state.era().subscribe();
        loop {
            let interval = match in_doubt_since {
                None => lease.life / RENEWALS_PER_LEASE,
                Some(_since) if self.state.is_store_reached() => RECOVERY_INTERVAL,
                Some(_since) => RECOVERY_INTERVAL_IN_OUTAGE,
            };
            let renew_at = began + interval;
            if now() >= renew_at {
                return None;
            }
            if self.pipeline.is_stopping() {
                return Some("stopping");
            }
            let next_check = renew_at.min(now() + STOP_CHECK_INTERVAL);
            tokio::select! {
                biased;
                () = self.shared.fenced_off.notified() => return Some("fenced_off"),
                _era = era.wait_for(|newest| *newest > lease.era) => return Some("store_restored"),
                () = time::sleep_until(next_check) => {}
            }
        }
    }

    async fn revoke(&self, lease: Lease) {
        if let Err(error) = self.store.revoke(lease).await {
            // The lease expires on its own.
            tracing::debug!(%error, "lease_not_ended");
        }
    }
}
