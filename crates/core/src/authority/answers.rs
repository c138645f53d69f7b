//! Handling of answers from the key-value service.

use std::time::Duration;

use super::election::{AuthorityState, ControllerElection};
use super::event::{AuthorityAction, CallFailure, KeyHolder, LeaseNumber, StoreCall};
use crate::Timestamp;

impl ControllerElection {
    pub(super) fn handle_key_read(
        &mut self,
        now: Timestamp,
        holder: Option<KeyHolder>,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let is_read = |call| matches!(call, StoreCall::Read);
        if self.take_pending_call(is_read).is_none() {
            return;
        }
        match (self.state, holder) {
            (AuthorityState::Claiming { lease, lease_from }, Some(holder))
                if self.is_own(holder, lease) =>
            {
                self.become_controller(now, holder, lease_from, actions);
            }
            (AuthorityState::Claiming { lease, .. }, Some(holder)) => {
                self.follow_controller(now, holder, lease, actions);
            }
            (
                AuthorityState::Claiming {
                    lease: Some(lease),
                    lease_from,
                },
                None,
            ) => {
                self.create_key(now, lease, lease_from, actions);
            }
            (AuthorityState::Candidate, Some(holder)) => {
                self.follow_controller(now, holder, None, actions)
            }
            (AuthorityState::Candidate, None) if self.is_eligible() => {
                self.state = AuthorityState::Claiming {
                    lease: None,
                    lease_from: now,
                };
                self.next_call = now;
                self.tick(now, actions);
            }
            _ => {}
        }
    }

    /// Whether this daemon created the key with `lease`. A key of this machine under another lease
    /// or incarnation was created by an earlier process.
    fn is_own(&self, holder: KeyHolder, lease: Option<LeaseNumber>) -> bool {
        holder.machine == self.own_machine
            && holder.incarnation == self.incarnation
            && Some(holder.lease) == lease
    }

    fn become_controller(
        &mut self,
        now: Timestamp,
        holder: KeyHolder,
        lease_from: Timestamp,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let lease_until = self.local_lease_end(lease_from);
        if now >= lease_until {
            self.state = AuthorityState::SteppingDown {
                lease: holder.lease,
            };
            self.next_call = now;
            return;
        }
        self.state = AuthorityState::Holding {
            token: holder.token,
            lease: holder.lease,
            lease_until,
        };
        self.next_call = now;
        actions.push(AuthorityAction::BecameController {
            token: holder.token,
        });
        self.record(now, "became controller", "its key was read back", actions);
    }

    fn local_lease_end(&self, from: Timestamp) -> Timestamp {
        let lifetime = self.settings.time_to_live;
        from + lifetime.saturating_sub(self.settings.clock_margin)
    }

    fn follow_controller(
        &mut self,
        now: Timestamp,
        holder: KeyHolder,
        unused_lease: Option<LeaseNumber>,
        actions: &mut Vec<AuthorityAction>,
    ) {
        actions.push(AuthorityAction::ControllerSeen(holder));
        self.state = match unused_lease {
            Some(lease) => AuthorityState::SteppingDown { lease },
            None => AuthorityState::Follower,
        };
        let period = self.settings.key_read_period;
        let is_unused = unused_lease.is_some();
        let wait = if is_unused {
            Duration::ZERO
        } else {
            period + self.jitter(period)
        };
        self.next_call = now + wait;
    }

    pub(super) fn handle_lease_granted(
        &mut self,
        now: Timestamp,
        lease: LeaseNumber,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let is_grant = |call| matches!(call, StoreCall::Grant { .. });
        let Some(sent_at) = self.take_pending_call(is_grant) else {
            return;
        };
        if matches!(self.state, AuthorityState::Claiming { .. }) {
            self.create_key(now, lease, sent_at, actions);
        }
    }

    fn create_key(
        &mut self,
        now: Timestamp,
        lease: LeaseNumber,
        lease_from: Timestamp,
        actions: &mut Vec<AuthorityAction>,
    ) {
        self.state = AuthorityState::Claiming {
            lease: Some(lease),
            lease_from,
        };
        if now >= self.local_lease_end(lease_from) {
            // The lease is too old to be used. It is left to expire.
            self.state = AuthorityState::Candidate;
            self.next_call = now;
            return;
        }
        self.call(now, StoreCall::Create { lease }, actions);
    }

    pub(super) fn handle_key_created(
        &mut self,
        now: Timestamp,
        succeeded: bool,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let is_create = |call| matches!(call, StoreCall::Create { .. });
        if self.take_pending_call(is_create).is_none() {
            return;
        }
        if !succeeded {
            self.record(now, "lost the election", "the key was there", actions);
        }
        // In both cases the key is read next, to get the token or the daemon that holds it.
        self.next_call = now;
        self.tick(now, actions);
    }

    pub(super) fn handle_kept_alive(&mut self, now: Timestamp) {
        let is_keep_alive = |call| matches!(call, StoreCall::KeepAlive { .. });
        let Some(sent_at) = self.take_pending_call(is_keep_alive) else {
            return;
        };
        let end = self.local_lease_end(sent_at);
        if let AuthorityState::Holding { lease_until, .. } = &mut self.state {
            *lease_until = end.max(*lease_until);
            self.next_call = now.max(sent_at + self.settings.keep_alive_period);
        }
    }

    pub(super) fn handle_lease_revoked(&mut self, now: Timestamp) {
        let is_revoke = |call| matches!(call, StoreCall::Revoke { .. });
        if self.take_pending_call(is_revoke).is_none() {
            return;
        }
        self.state = AuthorityState::Follower;
        let period = self.settings.key_read_period;
        self.next_call = now + period + self.jitter(period);
    }

    pub(super) fn handle_call_failure(
        &mut self,
        now: Timestamp,
        failure: CallFailure,
        actions: &mut Vec<AuthorityAction>,
    ) {
        let Some(pending_call) = self.pending_call.take() else {
            return;
        };
        self.failures = self.failures.saturating_add(1);
        self.next_call = now + self.backoff();
        match (self.state, failure) {
            (AuthorityState::Holding { .. }, CallFailure::LeaseNotFound) => {
                self.lose_authority(now, "the service no longer knows its lease", actions);
            }
            (AuthorityState::Holding { .. }, _) => {
                // The lease must be renewed before it ends, so the backoff is bounded.
                let soon = now + self.settings.backoff_minimum;
                self.next_call = self.next_call.min(soon + self.settings.keep_alive_period);
            }
            (AuthorityState::SteppingDown { .. }, _) => {
                // The lease is left to expire.
                self.state = AuthorityState::Follower;
            }
            (AuthorityState::Claiming { lease, .. }, _) => {
                let was_create = matches!(pending_call.call, StoreCall::Create { .. });
                let handle_key_read = matches!(pending_call.call, StoreCall::Read);
                let may_hold =
                    failure != CallFailure::LeaseNotFound && (was_create || handle_key_read);
                if lease.is_none() || !may_hold {
                    // A lease whose grant was not answered holds no key and is left to expire.
                    self.state = AuthorityState::Candidate;
                }
            }
            (AuthorityState::Follower | AuthorityState::Candidate, _) => {}
        }
    }

    /// Exponential backoff; half of the delay is random.
    fn backoff(&mut self) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(16);
        let full = self.settings.backoff_minimum * 2_u32.pow(doublings);
        let half = full.min(self.settings.backoff_maximum) / 2;
        half + self.jitter(half)
    }
}
