//! Election of a cell's controller, and its lease by the holder's own clock.

use std::time::Duration;

use rand::RngExt;

use super::event::{
    AuthorityAction, AuthorityEvent, CallFailure, CallNumber, LeaseNumber, StoreAnswer, StoreCall,
};
use super::settings::AuthoritySettings;
use crate::decision::{DecisionKind, DecisionRecord};
use crate::random::{SeededRandom, seeded};
use crate::{CellName, FencingToken, Incarnation, MachineId, Timestamp};

/// How long a call may stay without an answer before it counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Where a daemon is on its way to authority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthorityState {
    /// It does not stand, or another daemon is the controller.
    Follower,
    /// It reads the key to see whether the place is free.
    Candidate,
    /// It takes a lease and tries to create the key.
    Claiming {
        /// The lease, once granted.
        lease: Option<LeaseNumber>,
        /// When the call that started the lease was made.
        lease_from: Timestamp,
    },
    /// It is the controller.
    Holding {
        /// Its token.
        token: FencingToken,
        /// Its lease.
        lease: LeaseNumber,
        /// End of the lease by its own clock, counted from before the last answered keep-alive.
        lease_until: Timestamp,
    },
    /// It gives its lease back.
    SteppingDown {
        /// The lease.
        lease: LeaseNumber,
    },
}

#[derive(Debug, Clone, Copy)]
pub(super) struct UnderWay {
    pub number: CallNumber,
    pub call: StoreCall,
    pub since: Timestamp,
}

/// One daemon's part in the election of one cell's controller.
#[derive(Debug)]
pub struct ControllerElection {
    pub(super) settings: AuthoritySettings,
    cell: CellName,
    pub(super) own: MachineId,
    pub(super) incarnation: Incarnation,
    pub(super) state: AuthorityState,
    rank: Option<u32>,
    pub(super) under_way: Option<UnderWay>,
    calls: CallNumber,
    pub(super) next_call: Timestamp,
    pub(super) failures: u32,
    stopped: bool,
    random: SeededRandom,
}

impl ControllerElection {
    /// Starts as a follower.
    #[must_use]
    pub fn new(
        settings: AuthoritySettings,
        cell: CellName,
        own: MachineId,
        incarnation: Incarnation,
        seed: u64,
    ) -> Self {
        let random = seeded(seed, &format!("authority-{cell}-{own}"));
        Self {
            settings,
            cell,
            own,
            incarnation,
            state: AuthorityState::Follower,
            rank: None,
            under_way: None,
            calls: CallNumber::default(),
            next_call: Timestamp::ZERO,
            failures: 0,
            stopped: false,
            random,
        }
    }

    /// Where this daemon is.
    #[must_use]
    pub const fn state(&self) -> AuthorityState {
        self.state
    }

    /// Whether an order that may take `order_timeout` can be sent now: by this daemon's own clock
    /// the lease outlasts it. Ask again after every await.
    #[must_use]
    pub fn may_order(&self, now: Timestamp, order_timeout: Duration) -> Option<FencingToken> {
        match self.state {
            AuthorityState::Holding {
                token, lease_until, ..
            } if now + order_timeout < lease_until => Some(token),
            _ => None,
        }
    }

    /// End of this daemon's authority by its own clock; `None` while it has none.
    #[must_use]
    pub const fn authority_ends(&self) -> Option<Timestamp> {
        match self.state {
            AuthorityState::Holding { lease_until, .. } => Some(lease_until),
            _ => None,
        }
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Timestamp, event: AuthorityEvent) -> Vec<AuthorityAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        match event {
            AuthorityEvent::Tick => self.tick(now, &mut actions),
            AuthorityEvent::RankChanged(rank) => self.take_rank(now, rank),
            AuthorityEvent::KeyRemoved => self.key_gone(now),
            AuthorityEvent::Answered { number, answer } => {
                self.take_answer(now, number, answer, &mut actions);
            }
            AuthorityEvent::TokenRefused { newest } => self.refused(now, newest, &mut actions),
            AuthorityEvent::WokeAfterFreeze => self.next_call = now,
            AuthorityEvent::StepDown => self.step_down(now, &mut actions),
        }
        actions
    }

    fn take_answer(
        &mut self,
        now: Timestamp,
        number: CallNumber,
        answer: StoreAnswer,
        actions: &mut Vec<AuthorityAction>,
    ) {
        if self
            .under_way
            .is_none_or(|under_way| under_way.number != number)
        {
            return;
        }
        match answer {
            StoreAnswer::KeyRead(holder) => self.was_read(now, holder, actions),
            StoreAnswer::Granted(lease) => self.granted(now, lease, actions),
            StoreAnswer::Created { succeeded } => self.created(now, succeeded, actions),
            StoreAnswer::KeptAlive => self.kept_alive(now),
            StoreAnswer::Revoked => self.revoked(now),
            StoreAnswer::Failed(failure) => self.failed(now, failure, actions),
        }
    }

    /// Ends what the clock has ended, before anything else is done.
    fn expire(&mut self, now: Timestamp, actions: &mut Vec<AuthorityAction>) {
        if let AuthorityState::Holding { lease_until, .. } = self.state
            && now >= lease_until
        {
            self.lose(now, "its lease ran out by its own clock", actions);
        }
        let is_lost = self
            .under_way
            .is_some_and(|under_way| now.since(under_way.since) >= CALL_TIMEOUT);
        if is_lost {
            self.failed(now, CallFailure::AnswerLost, actions);
        }
    }

    pub(super) fn tick(&mut self, now: Timestamp, actions: &mut Vec<AuthorityAction>) {
        if self.under_way.is_some() || now < self.next_call {
            return;
        }
        let call = match self.state {
            AuthorityState::Follower if self.stands() => {
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
            // The create was sent, or its answer was lost: reading back tells who holds the key.
            AuthorityState::Claiming { lease: Some(_), .. } => StoreCall::Read,
            AuthorityState::Holding { lease, .. } => StoreCall::KeepAlive { lease },
            AuthorityState::SteppingDown { lease } => StoreCall::Revoke { lease },
        };
        self.call(now, call, actions);
    }

    pub(super) fn stands(&self) -> bool {
        let is_ranked = self
            .rank
            .is_some_and(|rank| rank < self.settings.maximum_rank);
        is_ranked && !self.stopped
    }

    pub(super) fn call(
        &mut self,
        now: Timestamp,
        call: StoreCall,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let number = CallNumber(self.calls.0 + 1);
        self.calls = number;
        self.under_way = Some(UnderWay {
            number,
            call,
            since: now,
        });
        actions.push(AuthorityAction::Call { number, call });
    }

    /// Takes the answer to the call under way, if it is the expected one, and gives its start.
    pub(super) fn answered(
        &mut self,
        is_expected: impl Fn(StoreCall) -> bool,
    ) -> Option<Timestamp> {
        let under_way = self.under_way?;
        if !is_expected(under_way.call) {
            return None;
        }
        self.under_way = None;
        self.failures = 0;
        Some(under_way.since)
    }

    fn take_rank(&mut self, now: Timestamp, rank: Option<u32>) {
        if rank != self.rank {
            self.rank = rank;
            self.wait_for_turn(now);
        }
    }

    /// The place may be free: stand after a wait that grows with the rank, so that the daemons do
    /// not all call the service at once.
    fn key_gone(&mut self, now: Timestamp) {
        self.wait_for_turn(now);
    }

    fn wait_for_turn(&mut self, now: Timestamp) {
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

    fn refused(
        &mut self,
        now: Timestamp,
        newest: FencingToken,
        actions: &mut Vec<AuthorityAction>,
    ) {
        if let AuthorityState::Holding { token, .. } = self.state
            && newest > token
        {
            self.lose(now, "an engine has seen a newer token", actions);
        }
    }

    pub(super) fn lose(
        &mut self,
        now: Timestamp,
        reason: &str,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let AuthorityState::Holding { token, lease, .. } = self.state else {
            return;
        };
        self.under_way = None;
        self.state = AuthorityState::SteppingDown { lease };
        self.next_call = now;
        actions.push(AuthorityAction::LostAuthority { token });
        self.record(now, "lost authority", reason, actions);
    }

    fn step_down(&mut self, now: Timestamp, actions: &mut Vec<AuthorityAction>) {
        self.stopped = true;
        self.lose(now, "this daemon stops", actions);
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
