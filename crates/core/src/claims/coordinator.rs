//! Claim of a key by one request.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::identity::{ClaimKey, ClaimMember, ClaimantId, GroupEpoch, ShardNumber};
use super::message::{
    ClaimAnswer, ClaimMessage, ClaimReply, ClaimState, HeldClaim, Vote, VoteRefusal,
};
use super::settings::ClaimSettings;
use super::shard_map::{ClaimGroup, GROUP_SIZE, MAJORITY, ShardMap};
use crate::random::{SeededRandom, seeded};
use crate::{Execution, MachineId, RequestId, Timestamp};

/// Action that the caller of a [`ClaimCoordinator`] must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Send the message to the member that it is addressed to.
    Send(ClaimMessage),
    /// The claim was decided with this outcome.
    Decided(ClaimOutcome),
}

/// Outcome of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This request may be dispatched. Call [`ClaimCoordinator::begin_dispatch`] immediately before
    /// sending it.
    Won,
    /// A request with this key has already run.
    AlreadyRan {
        /// Machine of the daemon that dispatched it.
        by: MachineId,
        /// Its answer, unless it was too large to keep.
        answer: Option<ClaimAnswer>,
    },
    /// Another request holds the key. It may be running, or its daemon may have failed.
    AlreadyClaimed {
        /// Machine of the daemon that holds the key; `None` if the key is contested.
        by: Option<MachineId>,
    },
    /// The key was already used for a request with another body.
    KeyReused,
    /// No holder of the key was found, and this request did not get it either.
    Failed(ClaimFailure),
}

impl ClaimOutcome {
    /// What is known about the execution of any request with this key.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        match self {
            Self::Failed(failure) => failure.execution(),
            Self::Won | Self::KeyReused => Execution::NotStarted,
            Self::AlreadyRan { .. } | Self::AlreadyClaimed { .. } => Execution::Unknown,
        }
    }
}

/// Why a claim failed. This request was not dispatched and will not be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ClaimFailure {
    /// Fewer than two of the three members voted.
    #[error(
        "the daemons that keep this key cannot be asked now; send the request again with the same key"
    )]
    NoMajority {
        /// Whether a member reported another request with the key, which may have run.
        other_seen: bool,
    },
    /// Concurrent requests with the key split the votes and none of them won.
    #[error(
        "several requests with this key arrived at once and none was run by this daemon; send the request again with the same key"
    )]
    Split,
    /// The group has lost its claims and refuses new ones until the lost ones would have expired.
    #[error("the daemons that keep this key have lost older claims; try again in {left:?}")]
    Quarantined {
        /// Remaining time of the quarantine.
        left: Duration,
    },
    /// The members are in another epoch than the one that this daemon knows.
    #[error(
        "the daemons that keep this key are changing; send the request again with the same key"
    )]
    OtherEpoch,
    /// The members keep the maximum number of claims.
    #[error("the daemons that keep this key cannot store more claims; try again later")]
    Full,
}

impl ClaimFailure {
    /// What is known about the execution: nothing once another request with the key was seen.
    #[must_use]
    pub const fn execution(&self) -> Execution {
        match self {
            Self::NoMajority { other_seen: true } | Self::Split => Execution::Unknown,
            Self::NoMajority { other_seen: false }
            | Self::Quarantined { .. }
            | Self::OtherEpoch
            | Self::Full => Execution::NotStarted,
        }
    }
}

/// The dispatch must not begin: the claim is too old (for example because the process was
/// suspended), was not won, or was already used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the claim is no longer valid for a dispatch; send the request again with the same key")]
pub struct ValidityExpired {
    /// Messages that withdraw the claim, to be sent to the members.
    pub withdrawals: Vec<ClaimMessage>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Voting,
    WaitingForRound { until: Timestamp },
    Won,
    Dispatched,
    Ended,
}

/// Claims a key for one request and permits its dispatch at most once at a time.
#[derive(Debug, Clone)]
pub struct ClaimCoordinator {
    settings: ClaimSettings,
    shard: ShardNumber,
    epoch: GroupEpoch,
    members: [ClaimMember; GROUP_SIZE],
    key: ClaimKey,
    fingerprint: u64,
    claimant: ClaimantId,
    phase: Phase,
    round_started_at: Timestamp,
    votes: BTreeMap<ClaimMember, Vote>,
    random: SeededRandom,
}

impl ClaimCoordinator {
    /// Starts a claim and returns it with the messages of its first round; `None` if the shard map
    /// is empty.
    ///
    /// `daemon` is this daemon's current process, `request` an id that it generated for this
    /// submission alone (see [`ClaimantId`]), and `fingerprint` a hash of the request's body.
    #[must_use]
    pub fn start(
        settings: ClaimSettings,
        now: Timestamp,
        map: &ShardMap,
        daemon: ClaimMember,
        request: RequestId,
        key: ClaimKey,
        fingerprint: u64,
    ) -> Option<(Self, Vec<ClaimAction>)> {
        let shard = map.shard_of(key)?;
        let group = map.group(shard)?;
        let coordinator = Self {
            settings,
            shard,
            epoch: group.epoch,
            members: group.members,
            key,
            fingerprint,
            claimant: ClaimantId {
                daemon,
                request,
                round: 0,
            },
            phase: Phase::Voting,
            round_started_at: now,
            votes: BTreeMap::new(),
            random: seeded(request.0 as u64, "claims"),
        };
        let actions = coordinator.claim_messages();
        Some((coordinator, actions))
    }

    /// Shard of the key.
    #[must_use]
    pub const fn shard(&self) -> ShardNumber {
        self.shard
    }

    /// Time at which [`Self::tick`] must be called; `None` if it need not be called any more.
    #[must_use]
    pub fn next_tick(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Voting => Some(self.round_started_at + self.settings.answer_timeout),
            Phase::WaitingForRound { until } => Some(until),
            Phase::Won | Phase::Dispatched | Phase::Ended => None,
        }
    }

    /// Handles a reply. Only votes of this round and epoch from members of the group count.
    pub fn reply(&mut self, now: Timestamp, reply: ClaimReply) -> Vec<ClaimAction> {
        let ClaimReply::Voted {
            from,
            epoch,
            key,
            claimant,
            vote,
        } = reply
        else {
            return Vec::new();
        };
        let expected = epoch == self.epoch
            && key == self.key
            && claimant == self.claimant
            && self.members.contains(&from);
        if self.phase != Phase::Voting || !expected {
            return Vec::new();
        }
        self.votes.insert(from, vote);
        self.evaluate(now, false)
    }

    /// Handles the timeout of the round or the end of the delay before the next one.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        match self.phase {
            Phase::Voting if now >= self.round_started_at + self.settings.answer_timeout => {
                self.evaluate(now, true)
            }
            Phase::WaitingForRound { until } if now >= until => self.next_round(now),
            _ => Vec::new(),
        }
    }

    /// Permits one dispatch. Must be called immediately before the request is sent, after the last
    /// await.
    ///
    /// # Errors
    /// [`ValidityExpired`] if the request must not be sent.
    pub fn begin_dispatch(&mut self, now: Timestamp) -> Result<(), ValidityExpired> {
        let valid_until = self.round_started_at + self.settings.dispatch_validity;
        if self.phase == Phase::Won && now < valid_until {
            self.phase = Phase::Dispatched;
            return Ok(());
        }
        let withdrawals = if self.phase == Phase::Won {
            self.phase = Phase::Ended;
            self.withdrawals()
        } else {
            Vec::new()
        };
        Err(ValidityExpired { withdrawals })
    }

    /// Records that the dispatched request certainly did not run. Another dispatch may begin while
    /// the claim is valid.
    pub fn dispatch_not_started(&mut self) {
        if self.phase == Phase::Dispatched {
            self.phase = Phase::Won;
        }
    }

    /// Withdraws a claim that was won but not dispatched, or whose dispatches certainly did not run
    /// ([`Self::dispatch_not_started`]). The caller may then repeat the request with the same key.
    /// Returns the messages to send; none if the claim is not held or the request may have run.
    pub fn release(&mut self) -> Vec<ClaimMessage> {
        if self.phase != Phase::Won {
            return Vec::new();
        }
        self.phase = Phase::Ended;
        self.withdrawals()
    }

    /// Returns the messages that tell the current members of the group that the request ran.
    #[must_use]
    pub fn completed(&self, group: &ClaimGroup, answer: Option<&ClaimAnswer>) -> Vec<ClaimMessage> {
        if self.phase != Phase::Dispatched {
            return Vec::new();
        }
        let limit = self.settings.maximum_answer_bytes;
        let answer = answer.filter(|answer| answer.body.len() <= limit);
        let message = |to: &ClaimMember| ClaimMessage::Complete {
            shard: self.shard,
            to: *to,
            key: self.key,
            claimant: self.claimant,
            fingerprint: self.fingerprint,
            answer: answer.cloned(),
        };
        group.members.iter().map(message).collect()
    }

    fn claim_messages(&self) -> Vec<ClaimAction> {
        let claim = |to: &ClaimMember| {
            ClaimAction::Send(ClaimMessage::Claim {
                shard: self.shard,
                epoch: self.epoch,
                to: *to,
                key: self.key,
                claimant: self.claimant,
                fingerprint: self.fingerprint,
            })
        };
        self.members.iter().map(claim).collect()
    }

    fn withdrawals(&self) -> Vec<ClaimMessage> {
        let withdraw = |to: &ClaimMember| ClaimMessage::Withdraw {
            shard: self.shard,
            to: *to,
            key: self.key,
            claimant: self.claimant,
        };
        self.members.iter().map(withdraw).collect()
    }

    fn granted_count(&self) -> usize {
        self.votes
            .values()
            .filter(|vote| **vote == Vote::Granted)
            .count()
    }

    fn held(&self) -> impl Iterator<Item = &HeldClaim> {
        self.votes.values().filter_map(|vote| match vote {
            Vote::Held(held) => Some(held),
            _ => None,
        })
    }

    fn evaluate(&mut self, now: Timestamp, timed_out: bool) -> Vec<ClaimAction> {
        // Must precede the check for a majority: a single member may still know a completed or
        // contested claim that the two others have already removed.
        if let Some(outcome) = self.other_holder() {
            return self.finish(outcome);
        }
        if self.granted_count() >= MAJORITY {
            self.phase = Phase::Won;
            return vec![ClaimAction::Decided(ClaimOutcome::Won)];
        }
        let all_answered = self.votes.len() == GROUP_SIZE;
        if !all_answered && !timed_out {
            return Vec::new();
        }
        let failure = self.failure();
        let may_try_again = self.claimant.round + 1 < self.settings.rounds;
        if failure == ClaimFailure::Split && may_try_again {
            return self.wait_for_next_round(now);
        }
        self.finish(ClaimOutcome::Failed(failure))
    }

    /// Outcome if another claimant is known to hold the key for good.
    fn other_holder(&self) -> Option<ClaimOutcome> {
        let final_holder = self.held().find(|held| {
            let same = self.held().filter(|other| other.claimant == held.claimant);
            held.state != ClaimState::Claimed || same.count() >= MAJORITY
        })?;
        if final_holder.fingerprint != self.fingerprint
            && final_holder.state != ClaimState::Contested
        {
            return Some(ClaimOutcome::KeyReused);
        }
        let by = final_holder.claimant.daemon.machine;
        let outcome = match &final_holder.state {
            ClaimState::Completed { answer } => ClaimOutcome::AlreadyRan {
                by,
                answer: answer.clone(),
            },
            ClaimState::Claimed => ClaimOutcome::AlreadyClaimed { by: Some(by) },
            ClaimState::Contested => ClaimOutcome::AlreadyClaimed { by: None },
        };
        Some(outcome)
    }

    fn failure(&self) -> ClaimFailure {
        let other_seen = self.held().next().is_some();
        let refusals = self.votes.values().filter_map(|vote| match vote {
            Vote::None(refusal) => Some(*refusal),
            _ => None,
        });
        let usable = self.granted_count() + self.held().count();
        if usable >= MAJORITY && other_seen {
            return ClaimFailure::Split;
        }
        if other_seen {
            return ClaimFailure::NoMajority { other_seen };
        }
        let main_refusal = refusals.max_by_key(|refusal| match refusal {
            VoteRefusal::Quarantined { .. } => 4,
            VoteRefusal::Full => 3,
            VoteRefusal::OtherEpoch | VoteRefusal::Sealed => 2,
            VoteRefusal::Withdrawn => 1,
        });
        match main_refusal {
            Some(VoteRefusal::Quarantined { left_us }) => ClaimFailure::Quarantined {
                left: Duration::from_micros(left_us),
            },
            Some(VoteRefusal::Full) => ClaimFailure::Full,
            Some(VoteRefusal::OtherEpoch | VoteRefusal::Sealed) => ClaimFailure::OtherEpoch,
            Some(VoteRefusal::Withdrawn) | None => ClaimFailure::NoMajority { other_seen },
        }
    }

    fn finish(&mut self, outcome: ClaimOutcome) -> Vec<ClaimAction> {
        self.phase = Phase::Ended;
        let withdrawals = self.withdrawals().into_iter().map(ClaimAction::Send);
        withdrawals.chain([ClaimAction::Decided(outcome)]).collect()
    }

    /// Withdraws the claims of this round and starts a random delay.
    fn wait_for_next_round(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        let wait = self
            .settings
            .round_delay
            .mul_f64(self.random.random::<f64>());
        self.phase = Phase::WaitingForRound { until: now + wait };
        self.withdrawals()
            .into_iter()
            .map(ClaimAction::Send)
            .collect()
    }

    fn next_round(&mut self, now: Timestamp) -> Vec<ClaimAction> {
        self.claimant.round += 1;
        self.votes.clear();
        self.round_started_at = now;
        self.phase = Phase::Voting;
        self.claim_messages()
    }
}
