//! How the gap between two events grows with the number of streams at an engine.

/// Factor by which the weight of older gaps decays with each new one.
const DECAY_PER_GAP: f64 = 0.997;
/// Greatest ratio of a gap to the expected one with which it enters the line. Longer gaps contain a
/// pause of the caller, the engine or this daemon.
const MAX_GAP_RATIO: f64 = 2.5;
/// Weight from which longer gaps are limited.
const MIN_WEIGHT_FOR_LIMIT: f64 = 20.0;
/// Least variance of the number of streams from which a slope can be told; below it the line is
/// level.
const MIN_VARIANCE: f64 = 0.25;

/// Weighted least-squares line through gaps by number of streams. Newer gaps weigh more.
#[derive(Debug, Default)]
pub(super) struct GapLine {
    weight: f64,
    streams: f64,
    gaps: f64,
    streams_squared: f64,
    streams_by_gap: f64,
}

impl GapLine {
    /// Adds a gap in milliseconds at an average engine.
    pub(super) fn add(&mut self, streams: f64, gap_ms: f64) {
        if !gap_ms.is_finite() || !streams.is_finite() {
            return;
        }
        let limit = self
            .at(streams)
            .filter(|_| self.weight >= MIN_WEIGHT_FOR_LIMIT);
        let gap_ms = limit.map_or(gap_ms, |expected| gap_ms.min(expected * MAX_GAP_RATIO));
        self.weight = self.weight * DECAY_PER_GAP + 1.0;
        self.streams = self.streams * DECAY_PER_GAP + streams;
        self.gaps = self.gaps * DECAY_PER_GAP + gap_ms;
        self.streams_squared = self.streams_squared * DECAY_PER_GAP + streams * streams;
        self.streams_by_gap = self.streams_by_gap * DECAY_PER_GAP + streams * gap_ms;
    }

    /// Gap in milliseconds at an average engine with this number of streams; `None` before the
    /// first gap.
    pub(super) fn at(&self, streams: f64) -> Option<f64> {
        if self.weight <= 0.0 {
            return None;
        }
        let mean_streams = self.streams / self.weight;
        let mean_gap = self.gaps / self.weight;
        let variance = self.streams_squared / self.weight - mean_streams * mean_streams;
        if variance < MIN_VARIANCE || mean_streams <= 0.0 {
            return Some(mean_gap);
        }
        let covariance = self.streams_by_gap / self.weight - mean_streams * mean_gap;
        // Neither the gap of an empty engine nor the cost of a stream is negative.
        let per_stream = (covariance / variance).clamp(0.0, mean_gap / mean_streams);
        Some(mean_gap + per_stream * (streams - mean_streams))
    }
}
