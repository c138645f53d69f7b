//! State of one request.

use ponddrift_core::retry::ExecutionRecord;
use ponddrift_core::{MachineId, Timestamp, ZoneName};

use crate::engine::scheduler::SequenceId;

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Not arrived.
    Coming,
    /// Waits in admission.
    Waiting,
    /// Started; about to be placed, now or after a back-off.
    Placing,
    /// An engine reads its prompt for a hand-over.
    Reading {
        engine: usize,
        decode: usize,
        sequence: SequenceId,
    },
    /// Its KV cache is on the way.
    Importing { decode: usize },
    /// An engine generates (and reads, unless the cache was handed over).
    Generating { engine: usize, sequence: SequenceId },
    /// At a plain back end.
    Lookup { back_end: usize },
    /// It has ended.
    Ended,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Whole, within its deadline.
    Whole,
    /// The deadline came first.
    Late,
    /// Refused at once, nothing was run.
    Refused,
    /// Ended by an explicit error.
    Failed,
}

/// A request in the simulation.
#[derive(Debug, Clone)]
pub(super) struct RequestState {
    pub daemon: usize,
    pub stage: Stage,
    pub deadline: Timestamp,
    pub attempt: u32,
    pub record: ExecutionRecord,
    pub excluded: Vec<MachineId>,
    pub avoided_zone: Option<ZoneName>,
    /// The engine that the placement is held at until the request has ended or failed there.
    pub held_at: Vec<usize>,
    pub started_at: Option<Timestamp>,
    pub first_token_at: Option<Timestamp>,
    pub last_token_at: Option<Timestamp>,
    pub tokens: u32,
    /// Executions that may have given an answer.
    pub executions: u32,
    pub cached_tokens: u32,
    pub ending: Option<Ending>,
    /// Times that an ending was recorded; more than one would be a doubled answer.
    pub endings: u32,
}

impl RequestState {
    pub fn new(daemon: usize, deadline: Timestamp) -> Self {
        Self {
            daemon,
            stage: Stage::Coming,
            deadline,
            attempt: 0,
            record: ExecutionRecord::default(),
            excluded: Vec::new(),
            avoided_zone: None,
            held_at: Vec::new(),
            started_at: None,
            first_token_at: None,
            last_token_at: None,
            tokens: 0,
            executions: 0,
            cached_tokens: 0,
            ending: None,
            endings: 0,
        }
    }
}
