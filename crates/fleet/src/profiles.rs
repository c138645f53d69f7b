//! How fast each back end works, relative to the other back ends of its service.
//!
//! Back ends of one service may run on machines of different speed, and share them with other work.
//! A profile holds the ratio of the time that a back end takes to the time expected of an average
//! back end of its service under the same load. Profiles belong to one incarnation of a back end; a
//! new incarnation starts without one.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{BackEnd, Incarnation};

/// Lower and upper bound of the ratio that one sample may show.
const RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Weight of the newest sample in a moving average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Share of the samples of a back end that the busy factor covers.
pub const BUSY_QUANTILE: f64 = 0.95;
/// Initial estimate of the busy factor: no variation.
const INITIAL_BUSY_FACTOR: f64 = 1.0;
/// Relative step by which a sample moves the estimate of the busy factor.
const BUSY_FACTOR_STEP: f64 = 0.02;

/// Kind of work that a back end performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum WorkKind {
    /// Processing a prompt.
    Prefill,
    /// Generating the events of a stream.
    Decode,
    /// Answering a request with one complete body.
    Plain,
}

/// One measured time at a back end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Kind of work.
    pub kind: WorkKind,
    /// Time expected of an average back end of the service under the same load, in milliseconds.
    pub expected_ms: f64,
    /// Measured time, in milliseconds.
    pub took_ms: f64,
}

/// How long a back end takes compared with an average back end of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeTime {
    /// Ratio of its time to the average; 1 is average, 2 is half as fast.
    pub factor: f64,
    /// Number of samples behind the ratio, reduced by their age.
    pub weight: f64,
    /// Time since the newest sample.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Profile {
    incarnation: Incarnation,
    ratio: f64,
    samples: f64,
    updated_at: Instant,
}

/// Profiles of all back ends.
#[derive(Debug, Default)]
pub struct Profiles {
    is_enabled: bool,
    by_back_end: HashMap<(Arc<str>, WorkKind), Profile>,
    busy_factors: HashMap<(Arc<str>, WorkKind), f64>,
}

impl Profiles {
    /// Sets whether profiles are kept and used. While they are not, nothing is recorded and nothing
    /// is known of any back end.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
        if !is_enabled {
            self.by_back_end.clear();
            self.busy_factors.clear();
        }
    }

    /// Whether profiles are kept and used.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records a measured time.
    pub fn record(&mut self, back_end: &BackEnd, sample: Sample, now: Instant) {
        if !self.is_enabled || sample.expected_ms <= 0.0 {
            return;
        }
        let (min, max) = RATIO_BOUNDS;
        let ratio = (sample.took_ms / sample.expected_ms).clamp(min, max);
        let key = (Arc::clone(&back_end.id), sample.kind);
        let profile = self.by_back_end.entry(key).or_insert(Profile {
            incarnation: back_end.incarnation,
            ratio,
            samples: 0.0,
            updated_at: now,
        });
        if profile.incarnation != back_end.incarnation {
            *profile = Profile {
                incarnation: back_end.incarnation,
                ratio,
                samples: 0.0,
                updated_at: now,
            };
        }
        let over_own = ratio / profile.ratio;
        profile.ratio += NEWEST_WEIGHT * (ratio - profile.ratio);
        profile.samples += 1.0;
        profile.updated_at = now;
        self.update_busy_factor(&back_end.service, sample.kind, over_own);
    }

    /// Moves the quantile estimate up for a sample above it and down for one below it, in a
    /// proportion at which [`BUSY_QUANTILE`] of the samples lie below it.
    fn update_busy_factor(&mut self, service: &Arc<str>, kind: WorkKind, over_own: f64) {
        let factor = self
            .busy_factors
            .entry((Arc::clone(service), kind))
            .or_insert(INITIAL_BUSY_FACTOR);
        let step = if over_own > *factor {
            BUSY_QUANTILE
        } else {
            BUSY_QUANTILE - 1.0
        };
        *factor = (*factor * (1.0 + BUSY_FACTOR_STEP * step)).max(INITIAL_BUSY_FACTOR);
    }

    /// What is known of a back end; `None` if nothing is.
    #[must_use]
    pub fn known(&self, back_end: &BackEnd, kind: WorkKind, now: Instant) -> Option<RelativeTime> {
        let profile = self.by_back_end.get(&(Arc::clone(&back_end.id), kind))?;
        (profile.incarnation == back_end.incarnation).then(|| RelativeTime {
            factor: profile.ratio,
            weight: profile.samples,
            age: now.saturating_duration_since(profile.updated_at),
        })
    }

    /// Ratio of the back end's expected time to that of an average back end of its service; 1 if
    /// nothing is known of it.
    #[must_use]
    pub fn factor(&self, back_end: &BackEnd, kind: WorkKind, now: Instant) -> f64 {
        self.known(back_end, kind, now)
            .map_or(1.0, |known| known.factor)
    }

    /// Ratio of a time at a back end to its own average that [`BUSY_QUANTILE`] of the samples of
    /// the service do not exceed. Above 1 where back ends share their machines with other work.
    #[must_use]
    pub fn busy_factor(&self, service: &Arc<str>, kind: WorkKind) -> f64 {
        self.busy_factors
            .get(&(Arc::clone(service), kind))
            .copied()
            .unwrap_or(INITIAL_BUSY_FACTOR)
    }

    /// Removes back ends for which `keep` returns false.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_back_end.retain(|(id, _kind), _profile| keep(id));
    }
}
