//! Converts between the types used for decisions and the messages exchanged by daemons.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::budget::Deposits;
use ponddrift_fleet::directory::{Incarnation, IncarnationId};
use ponddrift_fleet::health::OutcomeCounts;
use ponddrift_fleet::placement::{
    Outstanding, PrefixState, PrefixUse, PromptReading, WorkReport, WorkRow,
};
use ponddrift_fleet::profiles::{OwnRow, ProfileRow, WorkKind};
use ponddrift_fleet::quarantine::{LostRun, SuspectKind, Suspicion};
use ponddrift_fleet::rate_limits::{NamedRate, RateRecord, RequestRate};
use ponddrift_fleet::stages::StageWork;

use super::message::{
    BackEndLoadRow, BackEndProfileRow, DepositsRow, LoadReportRow, LostRunRow, NamedRateRow,
    PrefillTimingRow, PrefixRow, RateRow, ResultRow, ServiceWorkRow, SuspectRow, SuspectedPartRow,
    TOKENS_PER_UNIT, UnavailableEngineRow,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::back_end_index::{BackEndIndex, hash};

/// Milliseconds per second.
const MS_PER_S: f64 = 1000.0;

#[expect(
    clippy::cast_possible_truncation,
    reason = "the number of retries is small"
)]
pub(super) fn deposits_to_wire(deposits: &Deposits) -> DepositsRow {
    let retries = deposits.repeats.iter();
    DepositsRow {
        origin: deposits.origin,
        sequence: deposits.sequence,
        retries: retries
            .map(|(service, retries)| (*service, *retries as f32))
            .collect(),
    }
}

pub(super) fn deposits_from_wire(row: DepositsRow) -> Deposits {
    let retries = row.retries.into_iter();
    Deposits {
        origin: row.origin,
        sequence: row.sequence,
        repeats: retries
            .map(|(service, retries)| (service, f64::from(retries)))
            .collect(),
    }
}

pub(super) fn prefix_to_wire(usage: &PrefixUse) -> PrefixRow {
    PrefixRow {
        engine: hash(&usage.engine),
        prefix: usage.prefix,
        tokens: usage.tokens,
        suffix_tokens: usage.own_tokens,
        is_cached: usage.state == PrefixState::Cached,
    }
}

pub(super) fn prefix_from_wire(row: &PrefixRow, known: &BackEndIndex) -> Option<PrefixUse> {
    Some(PrefixUse {
        engine: Arc::clone(&known.find(row.engine)?.id),
        prefix: row.prefix,
        tokens: row.tokens,
        own_tokens: row.suffix_tokens,
        state: if row.is_cached {
            PrefixState::Cached
        } else {
            PrefixState::Pending
        },
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts saturate"
)]
pub(super) fn prefill_timing_to_wire(reading: &PromptReading) -> PrefillTimingRow {
    PrefillTimingRow {
        tokens: reading.tokens as u32,
        took_ms: reading.took_ms as u16,
    }
}

pub(super) fn prefill_timing_from_wire(row: &PrefillTimingRow) -> PromptReading {
    PromptReading {
        tokens: f64::from(row.tokens),
        took_ms: f64::from(row.took_ms),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts saturate, and no count is negative"
)]
pub(super) fn load_row_to_wire(row: &WorkRow) -> BackEndLoadRow {
    BackEndLoadRow {
        back_end: hash(&row.id),
        requests: row.outstanding.requests as u16,
        generating: row.outstanding.generating as u8,
        late_waiting: row.outstanding.late_waiting as u8,
        prompt_tokens: token_units(row.outstanding.prompt_tokens),
        late_tokens: token_units(row.outstanding.late_tokens),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts saturate, and no count is negative"
)]
fn token_units(tokens: f64) -> u16 {
    (tokens / TOKENS_PER_UNIT).ceil() as u16
}

pub(super) fn report_from_wire(report: &LoadReportRow, known: &BackEndIndex) -> WorkReport {
    let rows = report.rows.iter().filter_map(|row| {
        Some(WorkRow {
            id: Arc::clone(&known.find(row.back_end)?.id),
            outstanding: Outstanding {
                requests: f64::from(row.requests),
                generating: f64::from(row.generating),
                late_waiting: f64::from(row.late_waiting),
                prompt_tokens: f64::from(row.prompt_tokens) * TOKENS_PER_UNIT,
                late_tokens: f64::from(row.late_tokens) * TOKENS_PER_UNIT,
            },
        })
    });
    WorkReport {
        origin: report.origin,
        sequence: report.sequence,
        rows: rows.collect(),
    }
}

pub(super) fn result_to_wire((id, results): &(Arc<str>, OutcomeCounts)) -> ResultRow {
    ResultRow {
        back_end: hash(id),
        successes: results.successes,
        errors: results.errors,
        breaks: results.unanswered,
    }
}

pub(super) const fn results_from_wire(row: &ResultRow) -> OutcomeCounts {
    OutcomeCounts {
        successes: row.successes,
        errors: row.errors,
        unanswered: row.breaks,
    }
}

pub(super) fn unavailable_to_wire((id, time): &(Arc<str>, Duration)) -> UnavailableEngineRow {
    UnavailableEngineRow {
        engine: hash(id),
        duration_ms: u16::try_from(time.as_millis()).unwrap_or(u16::MAX),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are small and not negative"
)]
pub(super) fn work_to_wire((service, work): &(Arc<str>, StageWork)) -> ServiceWorkRow {
    ServiceWorkRow {
        service: service.to_string(),
        prefill: (work.prefill * MS_PER_S) as u32,
        short_reading: (work.short_reading * MS_PER_S) as u32,
        decode: (work.decode * MS_PER_S) as u32,
        decode_reading: (work.decode_reading * MS_PER_S) as u32,
    }
}

pub(super) fn work_from_wire(row: &ServiceWorkRow) -> (Arc<str>, StageWork) {
    let work = StageWork {
        prefill: f64::from(row.prefill) / MS_PER_S,
        short_reading: f64::from(row.short_reading) / MS_PER_S,
        decode: f64::from(row.decode) / MS_PER_S,
        decode_reading: f64::from(row.decode_reading) / MS_PER_S,
        ..StageWork::default()
    };
    (Arc::from(row.service.as_str()), work)
}

pub(super) fn rate_to_wire(
    id: &str,
    (incarnation, record): (Incarnation, RateRecord),
    now: Instant,
) -> RateRow {
    RateRow {
        back_end: id.to_owned(),
        incarnation: incarnation.0,
        named: record.named.map(|named| NamedRateRow {
            per_second: named.rate.per_second(),
            sent_ms_ago: ms_since(named.sent, now),
            received_ms_ago: ms_since(named.received, now),
        }),
        lifted_ms_ago: record.lifted.map(|lifted| ms_since(lifted, now)),
    }
}

pub(super) fn rate_from_wire(row: &RateRow, now: Instant) -> (Incarnation, RateRecord) {
    let named = row.named.as_ref().and_then(|named| {
        Some(NamedRate {
            rate: RequestRate::new(named.per_second)?,
            sent: ms_before(named.sent_ms_ago, now),
            received: ms_before(named.received_ms_ago, now),
        })
    });
    let record = RateRecord {
        named,
        lifted: row.lifted_ms_ago.map(|ago| ms_before(ago, now)),
    };
    (Incarnation(row.incarnation), record)
}

fn ms_since(at: Instant, now: Instant) -> u32 {
    let since = now.saturating_duration_since(at).as_millis();
    u32::try_from(since).unwrap_or(u32::MAX)
}

/// The instant that many milliseconds before `now`, or `now` itself if the clock cannot represent
/// it.
fn ms_before(milliseconds: u32, now: Instant) -> Instant {
    let before = Duration::from_millis(u64::from(milliseconds));
    now.checked_sub(before).unwrap_or(now)
}

pub(super) fn suspicion_to_wire(suspicion: &Suspicion, now: Instant) -> SuspectRow {
    let ms_ago = |at: Instant| ms_since(at, now);
    let lost_runs = suspicion.lost_runs.iter().map(|run| LostRunRow {
        engine: run.engine.to_string(),
        started_ms_ago: ms_ago(run.begun),
        ended_ms_ago: ms_ago(run.ended),
    });
    SuspectRow {
        fingerprint: suspicion.fingerprint,
        tenant: suspicion.tenant,
        lost_runs: lost_runs.collect(),
        cleared_ms_ago: suspicion.cleared.map(ms_ago),
    }
}

pub(super) fn part_to_wire(suspicion: &Suspicion, place: u16, now: Instant) -> SuspectedPartRow {
    SuspectedPartRow {
        suspect: suspicion_to_wire(suspicion, now),
        requests: suspicion.lost_runs.iter().map(|run| run.request).collect(),
        place: u8::try_from(place).unwrap_or(u8::MAX),
    }
}

pub(super) fn part_from_wire(row: &SuspectedPartRow, now: Instant) -> Suspicion {
    let mut suspicion = suspicion_from_wire(&row.suspect, now);
    suspicion.kind = SuspectKind::Part {
        place: row.place.into(),
    };
    for (run, request) in suspicion.lost_runs.iter_mut().zip(&row.requests) {
        run.request = *request;
    }
    suspicion
}

pub(super) fn suspicion_from_wire(row: &SuspectRow, now: Instant) -> Suspicion {
    let at = |ms_ago: u32| ms_before(ms_ago, now);
    let lost_runs = row.lost_runs.iter().map(|run| LostRun {
        engine: IncarnationId::parse(&run.engine),
        request: 0,
        begun: at(run.started_ms_ago),
        ended: at(run.ended_ms_ago),
    });
    Suspicion {
        fingerprint: row.fingerprint,
        kind: SuspectKind::Request,
        tenant: row.tenant,
        lost_runs: lost_runs.collect(),
        cleared: row.cleared_ms_ago.map(at),
    }
}

/// Samples per unit of the weight of a profile row.
const WEIGHT_UNIT: f64 = 0.25;
/// Unit of the logarithms of profile rows.
const LOG_RATIO_UNIT: f64 = 0.001;
/// Unit of the ages of profile rows, in milliseconds.
const AGE_UNIT_MS: u64 = 250;

/// Low bits of the hash of an incarnation, which tell it from the one before.
pub(super) fn incarnation_check(incarnation: Incarnation) -> u16 {
    let low_bits = xxh3_64(&incarnation.0.to_le_bytes()) & u64::from(u16::MAX);
    u16::try_from(low_bits).unwrap_or_default()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "casts saturate, and no weight is negative"
)]
pub(super) fn profile_to_wire(row: &OwnRow) -> BackEndProfileRow {
    let age = u64::try_from(row.age.as_millis()).unwrap_or(u64::MAX) / AGE_UNIT_MS;
    BackEndProfileRow {
        back_end: hash(&row.id),
        incarnation: incarnation_check(row.incarnation),
        kind: match row.kind {
            WorkKind::Prefill => 0,
            WorkKind::Decode => 1,
            WorkKind::Plain => 2,
        },
        weight: (row.weight / WEIGHT_UNIT).round() as u8,
        log_ratio: (row.log_ratio / LOG_RATIO_UNIT).round() as i16,
        age: u8::try_from(age).unwrap_or(u8::MAX),
    }
}

/// Returns `None` for an unknown kind of work.
pub(super) fn profile_from_wire(
    (origin, sequence): (u64, u32),
    row: &BackEndProfileRow,
) -> Option<ProfileRow> {
    let kind = match row.kind {
        0 => WorkKind::Prefill,
        1 => WorkKind::Decode,
        2 => WorkKind::Plain,
        _ => return None,
    };
    Some(ProfileRow {
        origin,
        sequence,
        kind,
        weight: f64::from(row.weight) * WEIGHT_UNIT,
        log_ratio: f64::from(row.log_ratio) * LOG_RATIO_UNIT,
        age: Duration::from_millis(u64::from(row.age) * AGE_UNIT_MS),
    })
}
