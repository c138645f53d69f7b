//! Trend estimation that is robust against outliers.

use std::time::Duration;

/// Data point of a time series.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrendPoint {
    /// Age of the point in seconds; 0 means now.
    pub age_seconds: f64,
    /// Measured value.
    pub value: f64,
}

/// Current level and slope of a time series.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Trend {
    /// Current level.
    pub level: f64,
    /// Change per second; 0 unless the trend is significant.
    pub slope: f64,
    /// Whether the trend is statistically significant.
    pub is_significant: bool,
}

impl Trend {
    /// Expected value after `ahead`, with a slope that decays with the time constant `decay_time`.
    ///
    /// Limited to between zero and twice the level, because a longer ramp is measured again first.
    #[must_use]
    pub fn after(&self, ahead: Duration, decay_time: Duration) -> f64 {
        let constant = decay_time.as_secs_f64().max(f64::MIN_POSITIVE);
        let effective_seconds = constant * (1.0 - (-ahead.as_secs_f64() / constant).exp());
        (self.level + self.slope * effective_seconds).clamp(0.0, 2.0 * self.level)
    }
}

/// Estimates a trend with the Theil-Sen estimator (median of all pairwise slopes).
///
/// The trend is significant if there are more than `recent` points and Kendall's statistic is more
/// than `significance` standard deviations from zero. Otherwise the level is the median of the
/// newest `recent` points. Points must be in chronological order.
#[must_use]
pub fn estimate_trend(points: &[TrendPoint], significance: f64, recent: usize) -> Trend {
    let mut slopes = Vec::new();
    let mut kendall_score = 0.0;
    for (index, later) in points.iter().enumerate() {
        for earlier in &points[..index] {
            let seconds = earlier.age_seconds - later.age_seconds;
            if seconds > 0.0 {
                slopes.push((later.value - earlier.value) / seconds);
            }
            kendall_score += sign(later.value - earlier.value);
        }
    }
    let count = points.len() as f64;
    let deviation = (count * (count - 1.0) * (2.0 * count + 5.0) / 18.0).sqrt();
    let slope = median(&mut slopes);
    let is_significant = points.len() > recent && kendall_score.abs() > significance * deviation;
    if is_significant {
        let mut levels: Vec<f64> = points
            .iter()
            .map(|point| point.value + slope * point.age_seconds)
            .collect();
        let level = median(&mut levels).max(0.0);
        return Trend {
            level,
            slope,
            is_significant,
        };
    }
    let newest = points.len().saturating_sub(recent);
    let mut values: Vec<f64> = points[newest..].iter().map(|point| point.value).collect();
    Trend {
        level: median(&mut values),
        slope: 0.0,
        is_significant: false,
    }
}

fn sign(value: f64) -> f64 {
    if value == 0.0 { 0.0 } else { value.signum() }
}

/// The median, or 0 for no values.
fn median(values: &mut [f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        values[middle]
    } else {
        f64::midpoint(values[middle - 1], values[middle])
    }
}
