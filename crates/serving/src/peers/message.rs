//! The datagrams between daemons (borsh).

use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};

use ponddrift_fleet::fingerprint::RequestFingerprint;
use ponddrift_fleet::revision::Revision;
use ponddrift_fleet::usage::{Tally, TallyRecord};

use crate::store::Changes;

/// Longest datagram in bytes; stays within one packet.
pub(super) const MAXIMUM_DATAGRAM: usize = 1400;
/// Bytes of tenants' counts in one datagram; the rest of it takes less than what is left.
const USAGE_BYTES: usize = 1_200;
/// Bytes of one count beside its tenant's name.
const COUNT_BYTES: usize = 8;
/// Rows of work that surely fit, of all reports together.
const MAXIMUM_ROWS: usize = 40;
/// Heads that surely fit beside them.
const MAXIMUM_HEADS: usize = 14;
/// Readings that surely fit beside them.
const MAXIMUM_READINGS: usize = 8;
/// Results that surely fit beside them.
const MAXIMUM_RESULTS: usize = 12;
/// Unwell back ends that surely fit beside them.
const MAXIMUM_UNWELL: usize = 8;
/// Engines about to change that surely fit beside them: of 600 one in twelve may change at a time, and stays away for some
/// seconds. Those that were left out got requests that they refused (chladnica-hq-grown, inc-cb4e, with 8).
const MAXIMUM_AWAY: usize = 32;
/// Services that surely fit beside them.
const MAXIMUM_SERVICES: usize = 4;
/// Token counts are encoded in this unit, rounded up: far less than any prefill that a decision depends on.
pub(super) const TOKENS_IN_UNIT: f64 = 32.0;
/// Version of the messages; messages of other versions are dropped.
const VERSION: u8 = 5;

/// What a datagram contains. New kinds go to the end: daemons of an older build then still read the others while a fleet is replaced.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub(super) enum Message {
    /// How things stand.
    Digest(Box<Digest>),
    /// What changed in the store.
    Changes {
        /// The changes.
        changes: Changes,
        /// Entries that vanished may have lapsed because the store was away.
        in_doubt: bool,
    },
    /// What the sender counted of its tenants' requests, or a part of it.
    Usage(TallyRecord),
    /// Requests under which engines ended.
    Suspects(Vec<SuspectRow>),
    /// Retries that the sender earned and the receiver keeps for the zone.
    Deposits(DepositsRow),
    /// Rate limits that back ends set.
    RateLimits {
        /// What the sender knows of each.
        rows: Vec<RateRow>,
        /// Whether the receiver is to send what the sender lacks.
        wants_more: bool,
    },
    /// The sender has started and wants to know of rate limits in force.
    RateLimitsWanted,
    /// The sender knows what the store lacks since it came back from an older copy.
    Retained {
        /// Hash of what it knows, the same for the same items.
        set: u64,
    },
}

/// Retries that a daemon puts into the pool of its zone.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub(super) struct DepositsRow {
    /// Which daemon, and which life of it.
    pub(super) origin: u64,
    /// Counts its deposits.
    pub(super) sequence: u32,
    /// Retries by hash of the service.
    pub(super) repeats: Vec<(u32, f32)>,
}

/// What the sender knows of one request under which engines ended.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct SuspectRow {
    /// Which request.
    pub(super) fingerprint: RequestFingerprint,
    /// Hash of its tenant's name; 0 where there is none.
    pub(super) tenant: u32,
    /// Runs that it lost with their engines.
    pub(super) lost_runs: Vec<LostRunRow>,
    /// How long ago it last ran well, in milliseconds.
    pub(super) cleared_ms_ago: Option<u32>,
}

/// One run that was lost with its engine. Times count back from when the message was sent: clocks of machines differ.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct LostRunRow {
    /// The engine's incarnation.
    pub(super) engine: String,
    /// How long ago the run began, in milliseconds.
    pub(super) begun_ms_ago: u32,
    /// How long ago the engine ended, in milliseconds.
    pub(super) ended_ms_ago: u32,
}

/// What the sender knows of one back end's rate limit.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub(super) struct RateRow {
    /// Identity of the back end.
    pub(super) back_end: String,
    /// Which life of it.
    pub(super) incarnation: u64,
    /// The newest rate that an answer named.
    pub(super) named: Option<NamedRateRow>,
    /// How long ago the newest request was sent whose answer lifted the limit, in milliseconds.
    pub(super) lifted_ms_ago: Option<u32>,
}

/// A rate that an answer named. Times count back from when the message was sent: clocks of machines differ.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub(super) struct NamedRateRow {
    /// Requests a second.
    pub(super) per_second: f64,
    /// How long ago the request was sent, in milliseconds.
    pub(super) sent_ms_ago: u32,
    /// How long ago the last answer came that named a rate, in milliseconds.
    pub(super) came_ms_ago: u32,
}

/// How things stand at a daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct Digest {
    /// Time of day by the sender's own clock, in milliseconds since the start of 1970.
    pub(super) time_of_day_ms: u64,
    /// Everything up to this revision is known.
    pub(super) position: Revision,
    /// How long ago the store answered, in milliseconds; none where the daemon does not follow it.
    pub(super) store_silence_ms: Option<u16>,
    /// Work: the daemon's own first, then reports that it forwards from daemons of other zones.
    pub(super) reports: Vec<ReportRow>,
    /// Prompt heads that were read since the last digest.
    pub(super) heads: Vec<HeadRow>,
    /// Prompts that engines read since then, with nothing else to do.
    pub(super) readings: Vec<ReadingRow>,
    /// How its requests ended since then.
    pub(super) results: Vec<ResultRow>,
    /// Back ends that it found unwell.
    pub(super) unwell: Vec<u32>,
    /// Engines that are about to change.
    pub(super) away: Vec<AwayRow>,
    /// Work that its requests bring.
    pub(super) work: Vec<ServiceWorkRow>,
}

/// All work of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct ReportRow {
    /// Which daemon, and which life of it.
    pub(super) origin: u64,
    /// Counts its reports.
    pub(super) sequence: u32,
    /// Its work.
    pub(super) rows: Vec<BackEndRow>,
}

/// Work at one back end.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct BackEndRow {
    /// Hash of its identity.
    pub(super) back_end: u32,
    /// Requests in progress.
    pub(super) requests: u16,
    /// Requests among them that generate; 255 stands for more.
    pub(super) generating: u8,
    /// Requests among them that will be late and have not begun; 255 stands for more.
    pub(super) late_waiting: u8,
    /// Prompt tokens still to read, of requests that can be in time, in units of [`TOKENS_IN_UNIT`].
    pub(super) prompt_tokens: u16,
    /// The same of requests that will be late.
    pub(super) late_tokens: u16,
}

/// An engine that gets nothing new for a while.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct AwayRow {
    /// Hash of the engine's identity.
    pub(super) engine: u32,
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
    /// Reading short prompts.
    pub(super) short_reading: u32,
    /// Generating.
    pub(super) decode: u32,
    /// Reading that decode engines really do.
    pub(super) decode_reading: u32,
}

/// A prompt's head at an engine.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct HeadRow {
    /// Hash of the engine's identity.
    pub(super) engine: u32,
    /// The head.
    pub(super) head: u64,
    /// Its tokens.
    pub(super) tokens: u32,
    /// Tokens of the prompt that follow it.
    pub(super) own_tokens: u32,
    /// Whether it is kept; else it is on its way there.
    pub(super) is_kept: bool,
}

/// How requests at one back end ended.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct ResultRow {
    /// Hash of its identity.
    pub(super) back_end: u32,
    /// Whole answers.
    pub(super) successes: u8,
    /// Answers with a failure status.
    pub(super) errors: u8,
    /// Broken off, silent or not reached.
    pub(super) breaks: u8,
}

/// How long a prefill engine took for a prompt.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct ReadingRow {
    /// Tokens that it read.
    pub(super) tokens: u32,
    /// Time in milliseconds.
    pub(super) took_ms: u16,
}

impl Digest {
    /// Whether it tells anything of engines or of requests there.
    pub(super) fn tells_of_work(&self) -> bool {
        let has_rows = self.reports.iter().any(|report| !report.rows.is_empty());
        has_rows
            || !self.heads.is_empty()
            || !self.readings.is_empty()
            || !self.unwell.is_empty()
            || !self.away.is_empty()
    }

    /// The datagram; none if it does not fit.
    pub(super) fn encode(mut self) -> Option<Vec<u8>> {
        self.bound_rows();
        self.heads.truncate(MAXIMUM_HEADS);
        self.readings.truncate(MAXIMUM_READINGS);
        self.results.truncate(MAXIMUM_RESULTS);
        self.unwell.truncate(MAXIMUM_UNWELL);
        self.away.truncate(MAXIMUM_AWAY);
        self.work.truncate(MAXIMUM_SERVICES);
        let mut message = Message::Digest(Box::new(self));
        let whole = encode(&message);
        if whole.is_none()
            && let Message::Digest(digest) = &mut message
        {
            // Names of services may be long: forwarded reports are left out.
            digest.reports.truncate(1);
            return encode(&message);
        }
        whole
    }

    /// Whole reports, as many as fit; the own one in any case, cut where it is too long.
    fn bound_rows(&mut self) {
        let mut left = MAXIMUM_ROWS;
        let mut is_own = true;
        self.reports.retain_mut(|report| {
            if is_own {
                report.rows.truncate(MAXIMUM_ROWS);
            }
            let fits = report.rows.len() < left;
            let is_kept = fits || is_own;
            is_own = false;
            if is_kept {
                // Each report weighs as much as a row beside its rows.
                left = left.saturating_sub(report.rows.len() + 1);
            }
            is_kept
        });
    }
}

/// A tally as datagrams. Parts can be merged in any order.
pub(super) fn encode_usage(whole: &TallyRecord) -> Vec<Vec<u8>> {
    let mut parts = vec![Tally::default()];
    let mut bytes = 0;
    for (tenant, count) in &whole.tally.counts {
        bytes += tenant.len() + COUNT_BYTES;
        if bytes > USAGE_BYTES {
            parts.push(Tally::default());
            bytes = tenant.len() + COUNT_BYTES;
        }
        if let Some(part) = parts.last_mut() {
            part.counts.insert(Arc::clone(tenant), *count);
        }
    }
    let messages = parts.into_iter().map(|part| {
        Message::Usage(TallyRecord {
            tally: Tally {
                final_total: whole.tally.final_total,
                ..part
            },
            ..whole.clone()
        })
    });
    messages.filter_map(|message| encode(&message)).collect()
}

/// Rows about requests as datagrams. A row that fits into none is left out: the lines of its runs tell of it.
pub(super) fn encode_suspects(rows: Vec<SuspectRow>) -> Vec<Vec<u8>> {
    encode_rows(rows, Message::Suspects)
}

/// Rows about rate limits as datagrams.
pub(super) fn encode_rates(rows: Vec<RateRow>, wants_more: bool) -> Vec<Vec<u8>> {
    encode_rows(rows, |rows| Message::RateLimits { rows, wants_more })
}

/// As many rows in each datagram as fit. A row that fits into none is left out.
fn encode_rows<R: Clone>(rows: Vec<R>, message_of: impl Fn(Vec<R>) -> Message) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut waiting: Vec<R> = Vec::new();
    let mut whole = None;
    for row in rows {
        waiting.push(row.clone());
        if let Some(bytes) = encode(&message_of(waiting.clone())) {
            whole = Some(bytes);
            continue;
        }
        datagrams.extend(whole.take());
        waiting = vec![row];
        whole = encode(&message_of(waiting.clone()));
        if whole.is_none() {
            waiting.clear();
        }
    }
    datagrams.extend(whole);
    datagrams
}

/// The datagram with this message; none if it does not fit.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let bytes = borsh::to_vec(&(VERSION, message)).ok()?;
    (bytes.len() <= MAXIMUM_DATAGRAM).then_some(bytes)
}

/// Reads a datagram; none if it is not one.
pub(super) fn decode(bytes: &[u8]) -> Option<Message> {
    let (version, message): (u8, Message) = borsh::from_slice(bytes).ok()?;
    (version == VERSION).then_some(message)
}
