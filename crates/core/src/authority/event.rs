//! What authority takes and gives.

use std::time::Duration;

use crate::decision::DecisionRecord;
use crate::{FencingToken, Incarnation, MachineId};

/// Number of a lease of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseNumber(pub i64);

/// Who holds the key, as it was read. The value of the key names machine and incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyHolder {
    /// The machine.
    pub machine: MachineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The lease that the key hangs on.
    pub lease: LeaseNumber,
    /// `create_revision` of the key.
    pub token: FencingToken,
}

/// Why a call of the key-value service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// It was certainly not carried out.
    Unreachable,
    /// It was refused for its rate; not carried out.
    RateLimited,
    /// It may have been carried out.
    AnswerLost,
    /// The lease has ended.
    LeaseNotFound,
}

/// Number of a call. The answer to an earlier call must not count for a later one: a lease is
/// counted from before the very call that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CallNumber(pub u64);

/// A call of the key-value service. One is under way at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCall {
    /// Read the key.
    Read,
    /// Grant a lease.
    Grant {
        /// Its time to live.
        time_to_live: Duration,
    },
    /// Create the key under the lease if it is absent.
    Create {
        /// The lease.
        lease: LeaseNumber,
    },
    /// Prolong the lease.
    KeepAlive {
        /// The lease.
        lease: LeaseNumber,
    },
    /// End the lease, and the key with it.
    Revoke {
        /// The lease.
        lease: LeaseNumber,
    },
}

/// Answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Answer to [`StoreCall::Read`], also after a lost [`StoreCall::Create`].
    KeyRead(Option<KeyHolder>),
    /// Answer to [`StoreCall::Grant`].
    Granted(LeaseNumber),
    /// Answer to [`StoreCall::Create`]: whether the key was absent. The token is read back next.
    Created {
        /// Whether it is ours.
        succeeded: bool,
    },
    /// Answer to [`StoreCall::KeepAlive`].
    KeptAlive,
    /// Answer to [`StoreCall::Revoke`].
    Revoked,
    /// A call failed.
    Failed(CallFailure),
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthorityEvent {
    /// Time passed; expected every 100 ms.
    Tick,
    /// This daemon's place among the candidates, by rendezvous over the live daemons.
    RankChanged(Option<u32>),
    /// The key is known to be gone: a watch or gossip said so. Only a hint.
    KeyRemoved,
    /// A call was answered, or failed.
    Answered {
        /// Number of the call.
        number: CallNumber,
        /// Its answer.
        answer: StoreAnswer,
    },
    /// An engine refused the token as stale: another controller is newer.
    TokenRefused {
        /// The newer token.
        newest: FencingToken,
    },
    /// This process was frozen.
    WokeAfterFreeze,
    /// This daemon stops by plan.
    StepDown,
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Make a call and give its answer back as an event.
    Call {
        /// Number of the call, to be given back with the answer.
        number: CallNumber,
        /// The call.
        call: StoreCall,
    },
    /// This daemon is the controller now.
    BecameController {
        /// Its token.
        token: FencingToken,
    },
    /// This daemon is no longer the controller: drop every order that is not sent yet.
    LostAuthority {
        /// The token that was lost.
        token: FencingToken,
    },
    /// Another daemon is the controller.
    ControllerSeen(KeyHolder),
    /// Keep a decision.
    Record(DecisionRecord),
}
