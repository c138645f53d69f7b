//! Emulated engines and plain back ends on virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use ponddrift_core::load::{LoadDigest, PROMPT_BLOCK_TOKENS};
use ponddrift_core::roles::EngineAvailability;
use ponddrift_core::{EngineRole, Incarnation, MachineId, Timestamp};

use crate::engine::cost::CostModel;
use crate::engine::scheduler::{Scheduler, SequenceId, SequenceRequest, Step};

/// Time a lookup takes at a plain back end.
const LOOKUP_TIME: Duration = Duration::from_millis(15);
/// Time between the starts of two lookups at one back end.
const LOOKUP_SPACING: Duration = Duration::from_millis(4);
/// Thousandths in a whole.
const PERMILLE: f64 = 1_000.0;

/// A change of role under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Change {
    pub to: EngineRole,
    pub begun_at: Timestamp,
    /// Whether every daemon knows that the engine gets no new work.
    pub announced: bool,
    /// Whether the engine carries out the order.
    pub ordered: bool,
}

/// Work since the last sample.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EngineWork {
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    pub fewest_waiting: u32,
}

/// One engine.
pub(super) struct SimEngine {
    pub id: MachineId,
    pub scheduler: Scheduler,
    pub role: Option<EngineRole>,
    pub since: Timestamp,
    pub lost: bool,
    pub incarnation: Incarnation,
    pub change: Option<Change>,
    /// Grows when what was scheduled for the engine is void.
    pub epoch: u32,
    pub step: Option<Step>,
    /// Requests placed here that have not ended.
    pub held: BTreeSet<usize>,
    pub sampled: EngineWork,
    digests: u32,
    requests: Vec<usize>,
}

impl SimEngine {
    pub fn new(id: MachineId, cost: CostModel, role: EngineRole) -> Self {
        Self {
            id,
            scheduler: Scheduler::new(cost),
            role: Some(role),
            since: Timestamp::ZERO,
            lost: false,
            incarnation: Incarnation(1),
            change: None,
            epoch: 0,
            step: None,
            held: BTreeSet::new(),
            sampled: EngineWork::default(),
            digests: 0,
            requests: Vec::new(),
        }
    }

    /// Whether a request that is sent here is run.
    pub fn accepts(&self) -> bool {
        let changes = self.change.is_some_and(|change| change.ordered);
        !self.lost && self.role.is_some() && !changes
    }

    pub fn add(&mut self, request: usize, wanted: SequenceRequest) -> SequenceId {
        let sequence = self.scheduler.add(wanted);
        let index = sequence.0 as usize;
        if self.requests.len() <= index {
            self.requests.resize(index + 1, usize::MAX);
        }
        self.requests[index] = request;
        sequence
    }

    /// The request of a sequence.
    pub fn request(&self, sequence: SequenceId) -> usize {
        self.requests[sequence.0 as usize]
    }

    pub fn availability(&self) -> EngineAvailability {
        match (self.lost, self.change, self.role) {
            (true, _, _) => EngineAvailability::Lost,
            (false, Some(change), _) => EngineAvailability::Changing { to: change.to },
            (false, None, Some(_)) => EngineAvailability::Serving,
            (false, None, None) => EngineAvailability::Unassigned,
        }
    }

    pub fn digest(&mut self) -> LoadDigest {
        self.digests += 1;
        let load = self.scheduler.load();
        let changes = self.change.is_some_and(|change| change.ordered);
        LoadDigest {
            engine: self.id,
            incarnation: self.incarnation,
            sequence: self.digests,
            role: if changes { None } else { self.role },
            waiting: clamped(load.waiting as u64),
            running: clamped(load.running as u64),
            waiting_prompt_blocks: clamped(
                load.waiting_prompt_tokens.div_ceil(PROMPT_BLOCK_TOKENS),
            ),
            cache_used_permille: clamped((load.cache_used * PERMILLE) as u64),
        }
    }
}

fn clamped(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

/// One plain back end.
#[derive(Debug, Clone, Copy)]
pub(super) struct SimPlain {
    pub id: MachineId,
    free_at: Timestamp,
}

impl SimPlain {
    pub const fn new(id: MachineId) -> Self {
        Self {
            id,
            free_at: Timestamp::ZERO,
        }
    }

    /// Takes a lookup; gives when it is done.
    pub fn take(&mut self, now: Timestamp) -> Timestamp {
        let begin = self.free_at.max(now);
        self.free_at = begin + LOOKUP_SPACING;
        begin + LOOKUP_TIME
    }
}
