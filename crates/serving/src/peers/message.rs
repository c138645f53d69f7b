//! The datagrams that daemons exchange, encoded with borsh.

use std::sync::Arc;

use borsh::{BorshDeserialize, BorshSerialize};

use ponddrift_fleet::fingerprint::Fingerprint;
use ponddrift_fleet::revision::Revision;
use ponddrift_fleet::stream_origins::StreamId;
use ponddrift_fleet::usage::{Tally, TallyRecord};

use crate::store::Changes;

/// Size limit of a datagram in bytes, so that it fits into one packet.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1400;
/// Size limit of the tenants' counts in one datagram, in bytes. The remaining fields fit beside
/// them.
const MAX_USAGE_BYTES: usize = 1_200;
/// Encoded size of one count without its tenant's name, in bytes.
const COUNT_OVERHEAD_BYTES: usize = 8;
/// Limit on load rows of all reports of a digest. All limits together fit into one datagram.
const MAX_LOAD_ROWS: usize = 40;
/// Limit on prompt prefixes of a digest.
const MAX_PREFIXES: usize = 14;
/// Limit on prefill timings of a digest.
const MAX_PREFILL_TIMINGS: usize = 8;
/// Limit on request results of a digest.
const MAX_RESULTS: usize = 12;
/// Limit on unhealthy back ends of a digest.
const MAX_UNHEALTHY: usize = 8;
/// Limit on unavailable engines of a digest. Engines that are left out would get requests that they
/// refuse, as happened with a limit of 8. Of 600 engines, one in twelve may change its stage at the
/// same time.
const MAX_UNAVAILABLE_ENGINES: usize = 32;
/// Limit on services of a digest.
const MAX_SERVICES: usize = 4;
/// Token counts are encoded in this unit, rounded up. It is small compared to any prefill that
/// affects a decision.
pub(super) const TOKENS_PER_UNIT: f64 = 32.0;
/// Version of the messages; messages of other versions are dropped.
const VERSION: u8 = 5;

/// The content of a datagram. New variants must be appended, so that daemons of an older build can
/// still decode the others during a rolling update.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub(super) enum Message {
    /// The periodic state of a daemon.
    Digest(Box<Digest>),
    /// Changes of the store.
    Changes {
        /// The changes, in the order of their revisions.
        changes: Changes,
        /// Whether keys that were removed may have expired only because the store was unavailable.
        /// Only builds without [`Message::ChangesAfterOutage`] set it.
        in_doubt: bool,
    },
    /// The sender's usage counts of a window, or a part of them.
    Usage(TallyRecord),
    /// Requests during which engines ended.
    Suspects(Vec<SuspectRow>),
    /// Retry tokens that the sender earned and the receiver adds to the zone's pool.
    Deposits(DepositsRow),
    /// Rate limits set by back ends.
    RateLimits {
        /// What the sender knows of each limit.
        rows: Vec<RateRow>,
        /// Whether the receiver is to reply with what the sender lacks.
        wants_more: bool,
    },
    /// A sender that has just started asks for the rate limits in force.
    RateLimitsWanted,
    /// The sender retains items that the store lacks since it was restored from a backup.
    Retained {
        /// Hash of the retained items; equal for equal sets of items.
        items_hash: u64,
    },
    /// What a daemon's own samples show of the speed of back ends.
    Profiles {
        /// The daemon's samples.
        report: ProfileReportRow,
        /// Whether the receiver is to reply with its own samples, because the sender has just
        /// started.
        wants_reply: bool,
    },
    /// Reply to a digest of a daemon to which the sender of the reply publishes none.
    StoreContact(StoreContact),
    /// The sender's paths to back ends, and what it relays for others.
    Paths(PathsRow),
    /// Changes of the store soon after an outage that the sender saw: keys that were removed may
    /// have expired only because of it.
    ChangesAfterOutage {
        /// The changes, in the order of their revisions.
        changes: Changes,
        /// Time since the sender's last failed call, in milliseconds.
        failed_ms_ago: u16,
        /// For how much longer entries may be written again, in milliseconds.
        doubt_left_ms: u16,
    },
    /// Where a stream began.
    StreamOrigin(StreamOriginRow),
    /// Parts of prompts during whose runs engines ended.
    SuspectedParts(Vec<SuspectedPartRow>),
    /// Where streams began that the sender still serves.
    StreamOrigins(Vec<StreamOriginRow>),
}

/// What the sender knows of one part of prompts during whose runs engines ended.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct SuspectedPartRow {
    /// The part and the lost runs.
    pub(super) suspect: SuspectRow,
    /// For each lost run, what tells its request from others.
    pub(super) requests: Vec<u32>,
    /// Number of parts before it; saturates at 255. It only orders parts that always come together.
    pub(super) place: u8,
}

/// Where a stream began, recorded for the daemons at which its caller may take it up.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct StreamOriginRow {
    /// The stream.
    pub(super) stream: StreamId,
    /// Service of the back end that sent its first event.
    pub(super) service: String,
    /// Version of the software of that back end.
    pub(super) version: String,
    /// For how long the caller may take up the stream, in milliseconds.
    pub(super) retention_ms: u32,
}

/// Paths of a daemon to back ends, and what it relays for others.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct PathsRow {
    /// Services whose back ends are not all reached directly.
    pub(super) services: Vec<ServicePathRow>,
    /// Connections that the daemon relays.
    pub(super) relayed: u16,
    /// Further connections that it would relay; saturates at 65,535.
    pub(super) room: u16,
    /// Whether the daemon is stopping.
    pub(super) is_stopping: bool,
}

/// How much of a service is reached directly.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct ServicePathRow {
    /// Hash of the service's name.
    pub(super) service: u32,
    /// Share of its back ends, in parts of 255.
    pub(super) reachable: u8,
}

/// What a daemon knows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct StoreContact {
    /// Revision up to which the sender knows the contents of the store.
    pub(super) position: Revision,
    /// Time since the store last answered the sender, in milliseconds; `None` if the sender does
    /// not follow the store.
    pub(super) store_silence_ms: Option<u16>,
}

/// Samples of one daemon of the speed of back ends.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct ProfileReportRow {
    /// Identifies the daemon and its run.
    pub(super) origin: u64,
    /// Number of this report; increases with each report of the same origin.
    pub(super) sequence: u32,
    /// Samples by back end and kind of work.
    pub(super) rows: Vec<BackEndProfileRow>,
}

/// Samples of one back end and kind of work.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct BackEndProfileRow {
    /// Hash of the back end's identity.
    pub(super) back_end: u32,
    /// Low bits of the hash of its incarnation.
    pub(super) incarnation: u16,
    /// Kind of work: 0 prefill, 1 decode, 2 plain.
    pub(super) kind: u8,
    /// Number of samples, reduced by their age, in quarters.
    pub(super) weight: u8,
    /// Natural logarithm of the mean ratio of measured to expected time, in thousandths.
    pub(super) log_ratio: i16,
    /// Time since the newest sample, in quarters of a second; saturates at 255.
    pub(super) age: u8,
}

/// Retry tokens that a daemon adds to the pool of its zone.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub(super) struct DepositsRow {
    /// Identifies the daemon and its run.
    pub(super) origin: u64,
    /// Number of this deposit; increases with each deposit of the same origin.
    pub(super) sequence: u32,
    /// Retry tokens by hash of the service.
    pub(super) retries: Vec<(u32, f32)>,
}

/// What the sender knows of one request during which engines ended.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct SuspectRow {
    /// Fingerprint of the request.
    pub(super) fingerprint: Fingerprint,
    /// Hash of its tenant's name; 0 if there is none.
    pub(super) tenant: u32,
    /// Runs of the request that were lost because their engines ended.
    pub(super) lost_runs: Vec<LostRunRow>,
    /// Time since it last ran successfully, in milliseconds.
    pub(super) cleared_ms_ago: Option<u32>,
}

/// One run that was lost because its engine ended. Times are relative to when the message was sent,
/// because the clocks of machines differ.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct LostRunRow {
    /// The engine's ID and, if it is known, its start time, as [`IncarnationId`] writes them. Builds
    /// before those of start times send and expect the ID alone; to them, other start times are other
    /// engines.
    ///
    /// [`IncarnationId`]: ponddrift_fleet::directory::IncarnationId
    pub(super) engine: String,
    /// Time since the run started, in milliseconds.
    pub(super) started_ms_ago: u32,
    /// Time since the engine ended, in milliseconds.
    pub(super) ended_ms_ago: u32,
}

/// What the sender knows of one back end's rate limit.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub(super) struct RateRow {
    /// Identity of the back end.
    pub(super) back_end: String,
    /// The back end's incarnation.
    pub(super) incarnation: u64,
    /// The newest rate that an answer named.
    pub(super) named: Option<NamedRateRow>,
    /// Time since the newest request was sent whose answer lifted the limit, in milliseconds.
    pub(super) lifted_ms_ago: Option<u32>,
}

/// A rate that an answer named. Times are relative to when the message was sent, because the clocks
/// of machines differ.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub(super) struct NamedRateRow {
    /// Requests per second.
    pub(super) per_second: f64,
    /// Time since the request was sent, in milliseconds.
    pub(super) sent_ms_ago: u32,
    /// Time since the last answer that named a rate arrived, in milliseconds.
    pub(super) received_ms_ago: u32,
}

/// The state of a daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct Digest {
    /// Time of day by the sender's own clock, in milliseconds since the Unix epoch.
    pub(super) time_of_day_ms: u64,
    /// Revision up to which the sender's state is complete.
    pub(super) position: Revision,
    /// Time since the store last answered, in milliseconds; `None` if the sender does not follow
    /// the store.
    pub(super) store_silence_ms: Option<u16>,
    /// Load reports: the sender's own first, then those forwarded from daemons of other zones.
    pub(super) reports: Vec<LoadReportRow>,
    /// Prompt prefixes that engines processed since the last digest.
    pub(super) prefixes: Vec<PrefixRow>,
    /// Prefill times measured since the last digest on otherwise idle engines.
    pub(super) prefill_timings: Vec<PrefillTimingRow>,
    /// Results of the sender's requests since the last digest.
    pub(super) results: Vec<ResultRow>,
    /// Hashes of the back ends that the sender considers unhealthy.
    pub(super) unhealthy: Vec<u32>,
    /// Engines that are about to change their stage.
    pub(super) unavailable: Vec<UnavailableEngineRow>,
    /// Work caused by the sender's requests, by service.
    pub(super) work: Vec<ServiceWorkRow>,
}

/// The load that one daemon puts on the back ends.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct LoadReportRow {
    /// Identifies the daemon and its run.
    pub(super) origin: u64,
    /// Number of this report; increases with each report of the same origin.
    pub(super) sequence: u32,
    /// Load by back end.
    pub(super) rows: Vec<BackEndLoadRow>,
}

/// Load at one back end.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct BackEndLoadRow {
    /// Hash of the back end's identity.
    pub(super) back_end: u32,
    /// Requests in progress.
    pub(super) requests: u16,
    /// Of these, requests that are generating; saturates at 255.
    pub(super) generating: u8,
    /// Of these, requests that will be late and have not started; saturates at 255.
    pub(super) late_waiting: u8,
    /// Prompt tokens still to process for requests that can be in time, in units of
    /// [`TOKENS_PER_UNIT`].
    pub(super) prompt_tokens: u16,
    /// Prompt tokens still to process for requests that will be late, in units of
    /// [`TOKENS_PER_UNIT`].
    pub(super) late_tokens: u16,
}

/// An engine that must get no new requests for a while.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct UnavailableEngineRow {
    /// Hash of the engine's identity.
    pub(super) engine: u32,
    /// Expected duration, in milliseconds.
    pub(super) duration_ms: u16,
}

/// Work of one service, in milliseconds of engine time per second.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct ServiceWorkRow {
    /// Name of the service.
    pub(super) service: String,
    /// Prefill of long prompts.
    pub(super) prefill: u32,
    /// Prefill of short prompts.
    pub(super) short_reading: u32,
    /// Token generation.
    pub(super) decode: u32,
    /// Prefill that decode engines actually perform.
    pub(super) decode_reading: u32,
}

/// A prompt prefix at an engine.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct PrefixRow {
    /// Hash of the engine's identity.
    pub(super) engine: u32,
    /// Hash of the prefix.
    pub(super) prefix: u64,
    /// Number of tokens of the prefix.
    pub(super) tokens: u32,
    /// Number of tokens of the prompt after the prefix.
    pub(super) suffix_tokens: u32,
    /// Whether the engine has cached the prefix; otherwise the prompt is on its way to the engine.
    pub(super) is_cached: bool,
}

/// Results of requests at one back end.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct ResultRow {
    /// Hash of the back end's identity.
    pub(super) back_end: u32,
    /// Complete answers.
    pub(super) successes: u8,
    /// Answers with an error status.
    pub(super) errors: u8,
    /// Requests whose answer was interrupted or did not arrive, or that could not be sent.
    pub(super) breaks: u8,
}

/// How long an engine took to prefill a prompt.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(super) struct PrefillTimingRow {
    /// Number of tokens processed.
    pub(super) tokens: u32,
    /// Duration in milliseconds.
    pub(super) took_ms: u16,
}

impl Digest {
    /// What the sender knows of the store.
    pub(super) const fn store_contact(&self) -> StoreContact {
        StoreContact {
            position: self.position,
            store_silence_ms: self.store_silence_ms,
        }
    }

    /// Whether the digest contains anything about engines or about requests at engines.
    pub(super) fn contains_work(&self) -> bool {
        let has_rows = self.reports.iter().any(|report| !report.rows.is_empty());
        has_rows
            || !self.prefixes.is_empty()
            || !self.prefill_timings.is_empty()
            || !self.unhealthy.is_empty()
            || !self.unavailable.is_empty()
    }

    /// Encodes the digest as a datagram, cut to the limits. Returns `None` if it still does not
    /// fit.
    pub(super) fn encode(mut self) -> Option<Vec<u8>> {
        self.limit_reports();
        self.prefixes.truncate(MAX_PREFIXES);
        self.prefill_timings.truncate(MAX_PREFILL_TIMINGS);
        self.results.truncate(MAX_RESULTS);
        self.unhealthy.truncate(MAX_UNHEALTHY);
        self.unavailable.truncate(MAX_UNAVAILABLE_ENGINES);
        self.work.truncate(MAX_SERVICES);
        let mut message = Message::Digest(Box::new(self));
        let whole = encode(&message);
        if whole.is_none()
            && let Message::Digest(digest) = &mut message
        {
            // Long service names may exceed the space; leave out forwarded reports.
            digest.reports.truncate(1);
            return encode(&message);
        }
        whole
    }

    /// Keeps only as many whole forwarded reports as fit. The own report is always kept, truncated
    /// if necessary.
    fn limit_reports(&mut self) {
        let mut left = MAX_LOAD_ROWS;
        let mut is_own = true;
        self.reports.retain_mut(|report| {
            if is_own {
                report.rows.truncate(MAX_LOAD_ROWS);
            }
            let fits = report.rows.len() < left;
            let is_kept = fits || is_own;
            is_own = false;
            if is_kept {
                // The header of a report takes about as much space as a row.
                left = left.saturating_sub(report.rows.len() + 1);
            }
            is_kept
        });
    }
}

/// Encodes a tally as datagrams, which can be merged in any order.
pub(super) fn encode_usage(whole: &TallyRecord) -> Vec<Vec<u8>> {
    let mut parts = vec![Tally::default()];
    let mut bytes = 0;
    for (tenant, count) in &whole.tally.counts {
        bytes += tenant.len() + COUNT_OVERHEAD_BYTES;
        if bytes > MAX_USAGE_BYTES {
            parts.push(Tally::default());
            bytes = tenant.len() + COUNT_OVERHEAD_BYTES;
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

/// Encodes suspicious requests as datagrams. A row that is too large for a datagram is left out;
/// the log events of its runs still report it.
pub(super) fn encode_suspects(rows: Vec<SuspectRow>) -> Vec<Vec<u8>> {
    encode_rows(rows, Message::Suspects)
}

/// Encodes suspicious parts of prompts as datagrams, like [`encode_suspects`].
pub(super) fn encode_suspected_parts(rows: Vec<SuspectedPartRow>) -> Vec<Vec<u8>> {
    encode_rows(rows, Message::SuspectedParts)
}

/// Encodes records of streams as datagrams.
pub(super) fn encode_stream_origins(rows: Vec<StreamOriginRow>) -> Vec<Vec<u8>> {
    encode_rows(rows, Message::StreamOrigins)
}

/// Encodes rate limits as datagrams.
pub(super) fn encode_rate_limits(rows: Vec<RateRow>, wants_more: bool) -> Vec<Vec<u8>> {
    encode_rows(rows, |rows| Message::RateLimits { rows, wants_more })
}

/// Packs as many rows into each datagram as fit. A row that is too large for a datagram is left
/// out.
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

/// Encodes a message as a datagram. Returns `None` if it does not fit.
pub(super) fn encode(message: &Message) -> Option<Vec<u8>> {
    let bytes = borsh::to_vec(&(VERSION, message)).ok()?;
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram. Returns `None` if it is malformed or of another version.
pub(super) fn decode(bytes: &[u8]) -> Option<Message> {
    let (version, message): (u8, Message) = borsh::from_slice(bytes).ok()?;
    (version == VERSION).then_some(message)
}
