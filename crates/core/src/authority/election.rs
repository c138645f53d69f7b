//! State machine of a daemon in the election of a cell's controller.
//!
//! The controller computes the end of its lease by its own clock, from the time at which it sent
//! the last answered renewal, so that it never assumes a longer lease than the key-value service
//! does.

use std::time::Duration;

use rand::RngExt;

use super::event::{
    AuthorityAction, AuthorityEvent, CallFailure, CallNumber, LeaseNumber, StoreAnswer, StoreCall,
};
use super::settings::AuthoritySettings;
use crate::decision::{DecisionKind, DecisionRecord};
use crate::random::{SeededRandom, seeded};
use crate::{CellName, FencingToken, Incarnation, MachineId, Timestamp};

/// Time after which a call without an answer is handled as [`CallFailure::AnswerLost`].
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// State of a daemon in the election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthorityState {
    /// The daemon is not eligible, or another daemon is the controller.
    Follower,
    /// The daemon reads the key to learn whether there is a controller.
    Candidate,
    /// The daemon requests a lease and tries to create the key.
    Claiming {
        /// The lease, once granted.
        lease: Option<LeaseNumber>,
        /// Time at which the call that granted the lease was sent.
        lease_from: Timestamp,
    },
    /// The daemon is the controller.
    Holding {
        /// Fencing token for its orders.
        token: FencingToken,
        /// Lease that its key is attached to.
        lease: LeaseNumber,
        /// End of the lease by this daemon's clock, counted from the time at which the last
        /// answered renewal was sent.
        lease_until: Timestamp,
    },
    /// The daemon revokes its lease.
    SteppingDown {
        /// Lease to revoke.
        lease: LeaseNumber,
    },
}

#[derive(Debug, Clone, Copy)]
pub(super) struct PendingCall {
    pub number: CallNumber,
    pub call: StoreCall,
    pub sent_at: Timestamp,
}

/// One daemon's part in the election of one cell's controller.
#[derive(Debug)]
pub struct ControllerElection {
    pub(super) settings: AuthoritySettings,
    cell: CellName,
    pub(super) own_machine: MachineId,
    pub(super) incarnation: Incarnation,
    pub(super) state: AuthorityState,
    rank: Option<u32>,
    pub(super) pending_call: Option<PendingCall>,
    last_call_number: CallNumber,
    pub(super) next_call: Timestamp,
    pub(super) failures: u32,
    stopping: bool,
    random: SeededRandom,
}

impl ControllerElection {
    /// Starts as a follower.
    #[must_use]
    pub fn new(
        settings: AuthoritySettings,
        cell: CellName,
        own_machine: MachineId,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        let random = seeded(seed, &format!("authority-{cell}-{own_machine}"));
        Self {
            settings,
            cell,
            own_machine,
            incarnation,
            state: AuthorityState::Follower,
            rank: None,
            pending_call: None,
            last_call_number: CallNumber::default(),
            next_call: Timestamp::ZERO,
            failures: 0,
            stopping: false,
            random,
        }
    }

    /// Current state of this daemon.
    #[must_use]
    pub const fn state(&self) -> AuthorityState {
        self.state
    }

    /// Returns the token if an order that takes at most `order_timeout` may be sent now, that is,
    /// if the lease lasts longer by this daemon's clock. Must be called again after every await.
    #[must_use]
    pub fn may_order(&self, now: Timestamp, order_timeout: Duration) -> Option<FencingToken> {
        match self.state {
            AuthorityState::Holding {
                token, lease_until, ..
            } if now + order_timeout < lease_until => Some(token),
            _ => None,
        }
    }

    /// End of the lease by this daemon's clock; `None` while this daemon is not the controller.
    #[must_use]
    pub const fn authority_ends(&self) -> Option<Timestamp> {
        match self.state {
            AuthorityState::Holding { lease_until, .. } => Some(lease_until),
            _ => None,
        }
    }

    /// Handles an event. A lease that has expired by the local clock is given up first.
    pub fn handle(&mut self, now: Timestamp, event: AuthorityEvent) -> Vec<AuthorityAction> {
        let mut actions = Vec::new();
        self.expire_lease_and_call(now, &mut actions);
        match event {
            AuthorityEvent::Tick => self.tick(now, &mut actions),
            AuthorityEvent::RankChanged(rank) => self.set_rank(now, rank),
            AuthorityEvent::KeyRemoved => self.handle_key_removed(now),
            AuthorityEvent::Answered { number, answer } => {
                self.handle_answer(now, number, answer, &mut actions);
            }
            AuthorityEvent::TokenRefused { newest } => {
                self.handle_token_refused(now, newest, &mut actions)
            }
            AuthorityEvent::WokeAfterFreeze => self.next_call = now,
            AuthorityEvent::StepDown => self.step_down(now, &mut actions),
        }
        actions
    }

    fn handle_answer(
        &mut self,
        now: Timestamp,
        number: CallNumber,
        answer: StoreAnswer,
        actions: &mut Vec<AuthorityAction>,
    ) {
        if self
            .pending_call
            .is_none_or(|pending_call| pending_call.number != number)
        {
            return;
        }
        match answer {
            StoreAnswer::KeyRead(holder) => self.handle_key_read(now, holder, actions),
            StoreAnswer::Granted(lease) => self.handle_lease_granted(now, lease, actions),
            StoreAnswer::Created { succeeded } => self.handle_key_created(now, succeeded, actions),
            StoreAnswer::KeptAlive => self.handle_kept_alive(now),
            StoreAnswer::Revoked => self.handle_lease_revoked(now),
            StoreAnswer::Failed(failure) => self.handle_call_failure(now, failure, actions),
        }
    }

    /// Gives up an expired lease and an unanswered call. Must run before any other handling.
    fn expire_lease_and_call(&mut self, now: Timestamp, actions: &mut Vec<AuthorityAction>) {
        if let AuthorityState::Holding { lease_until, .. } = self.state
            && now >= lease_until
        {
            self.lose_authority(now, "its lease ran out by its own clock", actions);
        }
        let is_lost = self
            .pending_call
            .is_some_and(|pending_call| now.since(pending_call.sent_at) >= CALL_TIMEOUT);
        if is_lost {
            self.handle_call_failure(now, CallFailure::AnswerLost, actions);
        }
    }

    pub(super) fn tick(&mut self, now: Timestamp, actions: &mut Vec<AuthorityAction>) {
        if self.pending_call.is_some() || now < self.next_call {
            return;
        }
        let call = match self.state {
            AuthorityState::Follower if self.is_eligible() => {
                self.state = AuthorityState::Candidate;
                StoreCall::Read
            }
            AuthorityState::Follower => return,
            AuthorityState::Candidate => StoreCall::Read,
            AuthorityState::Claiming { lease: None, .. } => {
                self.state = AuthorityState::Claiming {
                    lease: None,
                    lease_from: now,
                };
                StoreCall::Grant {
                    time_to_live: self.settings.time_to_live,
                }
            }
            // The key may have been created without an answer: reading it tells who holds it.
            AuthorityState::Claiming { lease: Some(_), .. } => StoreCall::Read,
            AuthorityState::Holding { lease, .. } => StoreCall::KeepAlive { lease },
            AuthorityState::SteppingDown { lease } => StoreCall::Revoke { lease },
        };
        self.call(now, call, actions);
    }

    pub(super) fn is_eligible(&self) -> bool {
        let is_ranked = self
            .rank
            .is_some_and(|rank| rank < self.settings.maximum_rank);
        is_ranked && !self.stopping
    }

    pub(super) fn call(
        &mut self,
        now: Timestamp,
        call: StoreCall,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let number = CallNumber(self.last_call_number.0 + 1);
        self.last_call_number = number;
        self.pending_call = Some(PendingCall {
            number,
            call,
            sent_at: now,
        });
        actions.push(AuthorityAction::Call { number, call });
    }

    /// Completes the pending call if it is of the expected kind, and returns when it was sent.
    pub(super) fn take_pending_call(
        &mut self,
        is_expected: impl Fn(StoreCall) -> bool,
    ) -> Option<Timestamp> {
        let pending_call = self.pending_call?;
        if !is_expected(pending_call.call) {
            return None;
        }
        self.pending_call = None;
        self.failures = 0;
        Some(pending_call.sent_at)
    }

    fn set_rank(&mut self, now: Timestamp, rank: Option<u32>) {
        if rank != self.rank {
            self.rank = rank;
            self.delay_by_rank(now);
        }
    }

    /// The delay grows with the rank, so that the daemons do not all call the service at once.
    fn handle_key_removed(&mut self, now: Timestamp) {
        self.delay_by_rank(now);
    }

    fn delay_by_rank(&mut self, now: Timestamp) {
        let is_waiting = matches!(
            self.state,
            AuthorityState::Follower | AuthorityState::Candidate
        );
        if is_waiting && self.failures == 0 {
            let wait = self.settings.rank_delay * self.rank.unwrap_or(0);
            let wait = wait + self.jitter(self.settings.rank_delay / 2);
            self.next_call = now + wait;
        }
    }

    pub(super) fn jitter(&mut self, up_to: Duration) -> Duration {
        let limit = u64::try_from(up_to.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(self.random.random_range(0..=limit))
    }

    fn handle_token_refused(
        &mut self,
        now: Timestamp,
        newest: FencingToken,
        actions: &mut Vec<AuthorityAction>,
    ) {
        if let AuthorityState::Holding { token, .. } = self.state
            && newest > token
        {
            self.lose_authority(now, "an engine has seen a newer token", actions);
        }
    }

    pub(super) fn lose_authority(
        &mut self,
        now: Timestamp,
        reason: &str,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let AuthorityState::Holding { token, lease, .. } = self.state else {
            return;
        };
        self.pending_call = None;
        self.state = AuthorityState::SteppingDown { lease };
        self.next_call = now;
        actions.push(AuthorityAction::LostAuthority { token });
        self.record(now, "lost authority", reason, actions);
    }

    fn step_down(&mut self, now: Timestamp, actions: &mut Vec<AuthorityAction>) {
        self.stopping = true;
        self.lose_authority(now, "this daemon stops", actions);
        self.tick(now, actions);
    }

    pub(super) fn record(
        &self,
        now: Timestamp,
        outcome: &str,
        reason: &str,
        actions: &mut Vec<AuthorityAction>,
    ) {
        actions.push(AuthorityAction::Record(DecisionRecord {
            at: now,
            kind: DecisionKind::Authority,
            subject: self.cell.to_string(),
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
        }));
    }
}
