//! Durations and event gaps of streams by service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::MS_PER_S;
use super::gap_line::GapLine;
use super::work::half_life_decay;

/// Half-life of the longest observed duration, so that it follows a changing request mix.
const LONGEST_HALF_LIFE: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy)]
struct Longest {
    seconds: f64,
    at: Instant,
}

impl Longest {
    fn now(self, now: Instant) -> f64 {
        self.seconds * half_life_decay(self.at, now, LONGEST_HALF_LIFE)
    }
}

/// Assumed duration of a stream before the first has ended, in milliseconds.
const DEFAULT_STREAM_MS: f64 = 300.0;
/// Weight of the newest sample in an average.
const NEWEST_WEIGHT: f64 = 0.05;

/// An exponentially weighted average; `None` before the first sample.
#[derive(Debug, Default, Clone, Copy)]
struct Average(Option<f64>);

impl Average {
    fn add(&mut self, sample: f64) {
        let before = self.0.unwrap_or(sample);
        self.0 = Some(before + NEWEST_WEIGHT * (sample - before));
    }
}

#[derive(Debug, Default)]
struct Times {
    longest: Option<Longest>,
    average_ms: Average,
    baseline_gap_ms: Average,
    gap_line: GapLine,
    events: EventCounts,
}

/// Events of ended streams and their ratio to the announced tokens, each stream weighted by its
/// events; older streams weigh less. A stream with a wrong announcement counts as one stream.
#[derive(Debug, Default)]
struct EventCounts {
    events: f64,
    weighted_ratio: f64,
}

/// Stream statistics by service.
#[derive(Debug, Default)]
pub struct StreamTimes {
    by_service: HashMap<Arc<str>, Times>,
}

impl StreamTimes {
    /// Records the duration of a finished stream.
    pub fn record_stream(&mut self, service: &Arc<str>, time: Duration, now: Instant) {
        let seconds = time.as_secs_f64();
        let times = self.of(service);
        times.average_ms.add(seconds * MS_PER_S);
        let is_longest = times
            .longest
            .is_none_or(|longest| longest.now(now) < seconds);
        if is_longest {
            times.longest = Some(Longest { seconds, at: now });
        }
    }

    /// Records the gap between two events of a stream whose engine was not known to process
    /// prompts.
    pub fn record_baseline_gap(&mut self, service: &Arc<str>, gap: Duration) {
        let gap_ms = gap.as_secs_f64() * MS_PER_S;
        self.of(service).baseline_gap_ms.add(gap_ms);
    }

    /// Records the number of events of a complete stream that was announced with `output_tokens`.
    pub fn record_events(&mut self, service: &Arc<str>, output_tokens: u32, events: u64) {
        let events = f64::from(u32::try_from(events).unwrap_or(u32::MAX));
        let ratio = events / f64::from(output_tokens.max(1));
        let counts = &mut self.of(service).events;
        let kept = 1.0 - NEWEST_WEIGHT;
        counts.events = counts.events * kept + events;
        counts.weighted_ratio = counts.weighted_ratio * kept + events * ratio;
    }

    /// Events of a stream for each token that it was announced with; `None` before the first
    /// complete stream.
    #[must_use]
    pub fn events_per_token(&self, service: &str) -> Option<f64> {
        let counts = &self.by_service.get(service)?.events;
        (counts.events > 0.0).then(|| counts.weighted_ratio / counts.events)
    }

    /// Time within which the running streams of an engine can be expected to end: the longest
    /// recent duration, decayed.
    #[must_use]
    pub fn longest(&self, service: &str, now: Instant) -> Duration {
        let times = self.by_service.get(service);
        let longest = times.and_then(|times| times.longest);
        Duration::from_secs_f64(longest.map_or(0.0, |longest| longest.now(now)))
    }

    /// Average time for which a stream holds its slot, in milliseconds.
    #[must_use]
    pub fn average_ms(&self, service: &str) -> f64 {
        let times = self.by_service.get(service);
        times
            .and_then(|times| times.average_ms.0)
            .unwrap_or(DEFAULT_STREAM_MS)
    }

    /// Average gap between two events at an engine that processes no prompts, in milliseconds; 0
    /// before the first sample.
    #[must_use]
    pub fn baseline_gap_ms(&self, service: &str) -> f64 {
        let times = self.by_service.get(service);
        times
            .and_then(|times| times.baseline_gap_ms.0)
            .unwrap_or_default()
    }

    /// Records the gap between two events at an engine that generated `streams` streams and was not
    /// known to process prompts. `factor` is the ratio of the engine's times to those of an average
    /// engine, as far as known.
    pub fn record_gap(&mut self, service: &Arc<str>, streams: f64, gap: Duration, factor: f64) {
        let gap_ms = gap.as_secs_f64() * MS_PER_S;
        let times = self.of(service);
        times.gap_line.add(streams, gap_ms / factor);
    }

    /// Expected gap between two events at an average back end that generates `streams` streams and
    /// processes no prompts, in milliseconds; `None` before the first sample.
    #[must_use]
    pub fn gap_ms(&self, service: &str, streams: f64) -> Option<f64> {
        let times = self.by_service.get(service)?;
        let learned = times.gap_line.at(streams);
        learned.or(times.baseline_gap_ms.0)
    }

    fn of(&mut self, service: &Arc<str>) -> &mut Times {
        self.by_service.entry(Arc::clone(service)).or_default()
    }
}
