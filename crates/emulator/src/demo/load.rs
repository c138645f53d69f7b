//! The shifting load, and the line that shows how far it is.

use std::convert::Infallible;
use std::time::Duration;

use ponddrift_query::Value;

use super::operator::OperatorClient;
use super::{DemoSettings, say};
use crate::load::{LoadProgress, MixSettings, TraceEntry, TraceWork, WeightedModel, generate};

/// Path of postings at the daemons.
const POSTING_PATH: &str = "/services/post/postings";
/// Service of records lookups: its prefix is taken off by the daemon.
const RECORDS_SERVICE: &str = "/services/vouchers";
const RECORDS_PATH: &str = "/services/vouchers/vouchers/";
const TENANTS: u32 = 3;
const PER_SECOND: f64 = 12.0;
/// Phases of the load: long prompts, then long outputs, then long prompts again.
const PHASES: u64 = 3;

fn phase(number: u64) -> MixSettings {
    let reads = number.is_multiple_of(2);
    let (prompt_least, prompt_most) = if reads { (1_500, 6_000) } else { (16, 200) };
    let (output_least, output_most) = if reads { (4, 16) } else { (60, 200) };
    let model = |name: &str, weight| WeightedModel {
        name: name.to_owned(),
        weight,
    };
    MixSettings {
        per_second: PER_SECOND,
        models: vec![
            model("reconcile", 2.0),
            model("classify", 2.0),
            model("excursion", 1.0),
        ],
        tenants: TENANTS,
        records: 0.2,
        postings: 0.1,
        record_path: RECORDS_PATH.to_owned(),
        posting_path: POSTING_PATH.to_owned(),
        prompt_least,
        prompt_most,
        output_least,
        output_most,
        ..MixSettings::default()
    }
}

/// The whole load.
#[must_use]
pub fn trace(settings: DemoSettings) -> Vec<TraceEntry> {
    let length_ms = settings.seconds * 1_000 / PHASES;
    let mut entries = Vec::new();
    for number in 0..PHASES {
        let mix = MixSettings {
            seconds: Duration::from_millis(length_ms).as_secs_f64(),
            ..phase(number)
        };
        let drawn = generate(&mix, settings.seed.wrapping_mul(PHASES) + number);
        entries.extend(drawn.into_iter().map(|mut entry| {
            entry.at_ms += number * length_ms;
            as_the_back_end_sees_it(entry)
        }));
    }
    entries
}

/// Notes the path that is left of a lookup when the daemon has taken the service's name off.
fn as_the_back_end_sees_it(mut entry: TraceEntry) -> TraceEntry {
    if let TraceWork::Record {
        path,
        back_end_path,
    } = &mut entry.work
    {
        *back_end_path = path.strip_prefix(RECORDS_SERVICE).map(str::to_owned);
    }
    entry
}

/// Prints a line each second. It never ends: drop it with the load.
pub async fn show_progress(
    seconds: u64,
    progress: &LoadProgress,
    operator: &OperatorClient,
) -> eyre::Report {
    match show_forever(seconds, progress, operator).await {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

async fn show_forever(
    seconds: u64,
    progress: &LoadProgress,
    operator: &OperatorClient,
) -> eyre::Result<Infallible> {
    let mut ticker = tokio::time::interval(Duration::from_secs(1));
    ticker.tick().await;
    for second in 1_u64.. {
        ticker.tick().await;
        let counts = progress.counts();
        let waiting = counts.sent - counts.whole - counts.refused - counts.other;
        let engines = engines(operator).await?;
        let phase = phase_name(second, seconds);
        say(&format!(
            "{second:>3} s  {phase:<12}  sent {:>4}  whole {:>4}  refused {:>3}  other {:>3}  in progress {waiting:>3}  {engines}",
            counts.sent, counts.whole, counts.refused, counts.other
        ));
    }
    unreachable!("the seconds do not run out")
}

fn phase_name(second: u64, seconds: u64) -> &'static str {
    let number = second.saturating_sub(1) * PHASES / seconds.max(1);
    match number {
        _ if second > seconds => "ending",
        1 => "long outputs",
        _ => "long prompts",
    }
}

async fn engines(operator: &OperatorClient) -> eyre::Result<String> {
    let question = "SELECT role, COUNT(*) FROM engines GROUP BY role ORDER BY role";
    let rows = operator.query(question).await?.result.rows;
    let parts = rows.iter().map(|row| match row.as_slice() {
        [Value::Null, count] => format!("changing {count}"),
        [role, count] => format!("{role} {count}"),
        _ => String::new(),
    });
    Ok(parts.collect::<Vec<_>>().join(", "))
}
