//! Events that a controller election handles, and the actions that it returns.

use std::time::Duration;

use crate::decision::DecisionRecord;
use crate::{FencingToken, Incarnation, MachineId};

/// Identifier that the key-value service gave to a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseNumber(pub i64);

/// Holder of the key as read from the key-value service. The key's value names the machine and its
/// incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyHolder {
    /// Machine that created the key.
    pub machine: MachineId,
    /// Incarnation of the daemon that created the key.
    pub incarnation: Incarnation,
    /// Lease that the key is attached to.
    pub lease: LeaseNumber,
    /// `create_revision` of the key.
    pub token: FencingToken,
}

/// Why a call to the key-value service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The service was not reached; the call was certainly not executed.
    Unreachable,
    /// Refused by a rate limit; the call was not executed.
    RateLimited,
    /// No answer arrived; the call may have been executed.
    AnswerLost,
    /// The lease has expired or was revoked.
    LeaseNotFound,
}

/// Number of a call. The answer to an earlier call must not be taken for that to a later one: the
/// lifetime of a lease is counted from the time at which the answered call was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallNumber(pub u64);

/// A call to the key-value service. At most one is pending at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the controller key.
    Read,
    /// Grant a lease.
    Grant {
        /// Time to live of the lease.
        time_to_live: Duration,
    },
    /// Create the key under the lease if it is absent.
    Create {
        /// Lease to attach the key to.
        lease: LeaseNumber,
    },
    /// Renew the lease.
    KeepAlive {
        /// Lease to renew.
        lease: LeaseNumber,
    },
    /// Revoke the lease, which also removes the key.
    Revoke {
        /// Lease to revoke.
        lease: LeaseNumber,
    },
}

/// Answer to a [`StoreCall`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Answer to [`StoreCall::Read`], also when it follows an unanswered [`StoreCall::Create`].
    KeyRead(Option<KeyHolder>),
    /// Answer to [`StoreCall::Grant`].
    Granted(LeaseNumber),
    /// Answer to [`StoreCall::Create`]. The key is read next to get its token.
    Created {
        /// Whether the key was absent and now belongs to this daemon.
        succeeded: bool,
    },
    /// Answer to [`StoreCall::KeepAlive`].
    KeptAlive,
    /// Answer to [`StoreCall::Revoke`].
    Revoked,
    /// The call failed.
    Failed(CallFailure),
}

/// Input of [`ControllerElection::handle`](super::ControllerElection::handle).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthorityEvent {
    /// Periodic timer; expected every 100 ms.
    Tick,
    /// This daemon's rank among the candidates, by rendezvous hashing over the live daemons. `None`
    /// when it is no candidate.
    RankChanged(Option<u32>),
    /// A watch or gossip reported that the key was removed. This is only a hint.
    KeyRemoved,
    /// A call was answered, or failed.
    Answered {
        /// Number of the call.
        number: CallNumber,
        /// Answer to the call.
        answer: StoreAnswer,
    },
    /// An engine refused the token as stale: there is a newer controller.
    TokenRefused {
        /// Newest token that the engine has seen.
        newest: FencingToken,
    },
    /// This process resumed after it had been suspended.
    WokeAfterFreeze,
    /// This daemon is shutting down.
    StepDown,
}

/// Action that the caller must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Make a call and pass its answer back as [`AuthorityEvent::Answered`].
    Call {
        /// Number of the call, to be returned with the answer.
        number: CallNumber,
        /// The call to make.
        call: StoreCall,
    },
    /// This daemon became the controller.
    BecameController {
        /// Fencing token for its orders.
        token: FencingToken,
    },
    /// This daemon is no longer the controller: drop every order that was not sent yet.
    LostAuthority {
        /// Token that must not be used any more.
        token: FencingToken,
    },
    /// Another daemon is the controller.
    ControllerSeen(KeyHolder),
    /// Store a record of a decision.
    Record(DecisionRecord),
}
