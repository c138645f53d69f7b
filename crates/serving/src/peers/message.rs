//! The datagram between daemons (borsh).

use borsh::{BorshDeserialize, BorshSerialize};

/// Longest datagram in bytes; stays within one packet.
pub(super) const MAXIMUM_DATAGRAM: usize = 1400;
/// Rows that surely fit.
const MAXIMUM_ROWS: usize = 40;
/// Heads that surely fit beside them.
const MAXIMUM_HEADS: usize = 15;
/// Unwell back ends that surely fit beside them.
const MAXIMUM_UNWELL: usize = 16;
/// Engines about to change that surely fit beside them.
const MAXIMUM_AWAY: usize = 8;
/// Services that surely fit beside them.
const MAXIMUM_SERVICES: usize = 4;
/// Version of the message; daemons of other versions are not heard.
const VERSION: u8 = 1;

/// What a daemon tells.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct Digest {
    /// Who tells.
    pub(super) daemon: String,
    /// Newest revision it has seen.
    pub(super) newest_revision: u64,
    /// Its work.
    pub(super) rows: Vec<WorkRow>,
    /// Prompt heads that its requests had read since it last told.
    pub(super) heads: Vec<HeadRow>,
    /// Hashes of back ends that it found unwell.
    pub(super) unwell: Vec<u64>,
    /// Engines that are about to change.
    pub(super) away: Vec<AwayRow>,
    /// Work that its requests bring.
    pub(super) work: Vec<ServiceWorkRow>,
}

/// An engine that gets nothing new for a while.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct AwayRow {
    /// Hash of the engine's identity.
    pub(super) engine: u64,
    /// How long, in milliseconds.
    pub(super) time_ms: u16,
}

/// Work of one service, in engine-milliseconds a second.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct ServiceWorkRow {
    /// Service.
    pub(super) service: String,
    /// Reading long prompts.
    pub(super) prefill: u32,
    /// Generating, and reading short prompts.
    pub(super) decode: u32,
    /// Reading that decode engines really do.
    pub(super) decode_reading: u32,
}

/// A prompt's head at an engine.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct HeadRow {
    /// Hash of the engine's identity.
    pub(super) engine: u64,
    /// The head.
    pub(super) head: u64,
    /// Its tokens.
    pub(super) tokens: u32,
}

/// Work at one back end.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct WorkRow {
    /// Hash of its identity.
    pub(super) back_end: u64,
    /// Requests in progress.
    pub(super) requests: u16,
    /// Prompt tokens still to read.
    pub(super) prompt_tokens: u32,
}

impl Digest {
    /// The datagram; none if it does not fit.
    pub(super) fn encode(mut self) -> Option<Vec<u8>> {
        self.rows.truncate(MAXIMUM_ROWS);
        self.heads.truncate(MAXIMUM_HEADS);
        self.unwell.truncate(MAXIMUM_UNWELL);
        self.away.truncate(MAXIMUM_AWAY);
        self.work.truncate(MAXIMUM_SERVICES);
        let bytes = borsh::to_vec(&(VERSION, self)).ok()?;
        (bytes.len() <= MAXIMUM_DATAGRAM).then_some(bytes)
    }

    /// Reads a datagram; none if it is not one.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (version, digest): (u8, Self) = borsh::from_slice(bytes).ok()?;
        (version == VERSION).then_some(digest)
    }
}
