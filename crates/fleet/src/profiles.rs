//! How fast each back end works, relative to the other back ends of its service.
//!
//! Back ends of one service may run on machines of different speed, and share them with other work.
//! A profile holds the ratio of the time that a back end takes to the time expected of an average
//! back end of its service under the same load. Profiles belong to one incarnation of a back end; a
//! new incarnation starts without one. All daemons learn them together: each publishes what its own
//! samples show and adds what the others publish.

mod busy;
mod estimate;
mod merge;
mod present;
mod reports;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::directory::{BackEnd, Incarnation};
use busy::Variation;
use estimate::{Evidence, Mean};
use merge::Observers;
pub use merge::{MAX_OBSERVERS, MAX_ROW_LOG_RATIO, MAX_ROW_WEIGHT, MAX_ROWS, ProfileRow, RowMerge};
use present::ReportedBusyness;
pub use present::{Busyness, LoadAnnouncement, PRESENT_LOAD_TTL, PresentLoad};
pub use reports::{BeliefChange, OwnRow, ProfileSummary};

/// Lower and upper bound of the ratio that one sample may show.
const RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Share of the samples of a back end that the busy factor covers.
pub const BUSY_QUANTILE: f64 = 0.95;
/// Limit on the back ends with a profile; the design size is some ten thousand.
pub const MAX_BACK_ENDS: usize = 16_384;
/// Part of a measured time that the network and this daemon's other work may have added, in
/// milliseconds. Shorter times say less of the back end.
const MEASURING_NOISE_MS: f64 = 10.0;
/// Weight from which the estimate of a back end is close enough to measure the variation of single
/// times around it, or the bias of this daemon's samples.
const SETTLED_WEIGHT: f64 = 4.0;
/// Rate at which this daemon's bias is learned per sample.
const BIAS_RATE: f64 = 0.02;
/// Greatest bias of a daemon's samples, as a natural logarithm.
const MAX_BIAS: f64 = 1.5;
/// Interval at which the averages of services are computed again, if samples came.
const AVERAGES_INTERVAL: Duration = Duration::from_secs(1);
/// Weight of the newest answer in the average time of plain answers.
const NEWEST_WEIGHT: f64 = 0.05;
/// Greatest ratio to the average with which a plain answer enters it.
const MAX_PLAIN_RATIO: f64 = 3.0;
/// Number of kinds of work.
const KINDS: usize = 3;

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

impl WorkKind {
    /// All kinds of work.
    pub const ALL: [Self; KINDS] = [Self::Prefill, Self::Decode, Self::Plain];

    /// Name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Plain => "plain",
        }
    }

    const fn index(self) -> usize {
        match self {
            Self::Prefill => 0,
            Self::Decode => 1,
            Self::Plain => 2,
        }
    }
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

impl Sample {
    /// Logarithm of the ratio of the measured to the expected time; `None` if the sample shows
    /// nothing.
    fn log_ratio(&self) -> Option<f64> {
        let ratio = self.took_ms / self.expected_ms;
        let (min, max) = RATIO_BOUNDS;
        let is_usable = self.expected_ms > 0.0 && self.took_ms >= 0.0 && ratio.is_finite();
        is_usable.then(|| ratio.clamp(min, max).ln())
    }
}

/// How long a back end takes compared with an average back end of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeTime {
    /// Ratio of its time to the average; 1 is average, 2 is half as fast.
    pub factor: f64,
    /// Number of samples behind the ratio, reduced by their age; 0 if other kinds of work alone
    /// suggest it.
    pub weight: f64,
    /// Time since the newest sample.
    pub age: Duration,
}

/// What is known of a back end in one kind of work.
#[derive(Debug, Clone, Default)]
struct KindProfile {
    own: Evidence,
    observers: Observers,
    /// Number of the round in which the own mean was last published.
    published_in: u32,
}

impl KindProfile {
    fn evidence(&self, now: Instant) -> Evidence {
        let mut all = self.own;
        all.merge(self.observers.sum(), now);
        all
    }

    fn mean(&self, now: Instant) -> Option<Mean> {
        self.evidence(now).mean(now)
    }
}

/// What is known of one incarnation of a back end.
#[derive(Debug, Clone)]
struct Profile {
    incarnation: Incarnation,
    service: Arc<str>,
    kinds: [KindProfile; KINDS],
    /// Factor that was last reported to operators.
    reported: f64,
    /// What the back end last reported of its present busyness.
    present: Option<ReportedBusyness>,
    /// Deviations as of a moment ago, because a decision reads those of all its candidates.
    recent: Option<RecentDeviations>,
}

/// Deviations of a back end by kind of work, as of a moment.
#[derive(Debug, Clone, Copy)]
struct RecentDeviations {
    by_kind: [Option<f64>; KINDS],
    at: Instant,
}

impl Profile {
    fn of(back_end: &BackEnd) -> Self {
        Self {
            incarnation: back_end.incarnation,
            service: Arc::clone(&back_end.service),
            kinds: Default::default(),
            reported: 1.0,
            present: None,
            recent: None,
        }
    }

    fn renew_deviations(&mut self, averages: &[f64; KINDS], now: Instant) {
        let by_kind = WorkKind::ALL.map(|kind| self.deviation(kind, averages, now));
        self.recent = Some(RecentDeviations { by_kind, at: now });
    }

    /// Deviations that were computed less than [`AVERAGES_INTERVAL`] ago.
    fn recent_deviations(&self, now: Instant) -> Option<[Option<f64>; KINDS]> {
        let recent = self.recent?;
        let age = now.saturating_duration_since(recent.at);
        (age < AVERAGES_INTERVAL).then_some(recent.by_kind)
    }

    /// Logarithm of the back end's time relative to its service; `None` if nothing is known.
    fn deviation(&self, kind: WorkKind, averages: &[f64; KINDS], now: Instant) -> Option<f64> {
        let others = WorkKind::ALL.into_iter().filter(|other| *other != kind);
        let means = others.map(|other| {
            let index = other.index();
            (self.kinds[index].mean(now), averages[index])
        });
        let own = self.kinds[kind.index()].mean(now);
        estimate::deviation(own, averages[kind.index()], means)
    }
}

/// What is known of the back ends of a service together.
#[derive(Debug, Clone, Default)]
struct ServiceProfile {
    /// Average log ratio by kind of work.
    averages: [f64; KINDS],
    /// Bias of this daemon's samples against those of the others, by kind of work.
    biases: [f64; KINDS],
    variations: [Variation; KINDS],
    /// Average time of a plain answer at an average back end, in milliseconds.
    plain_ms: Option<f64>,
}

/// Profiles of all back ends.
#[derive(Debug, Default)]
pub struct Profiles {
    is_enabled: bool,
    by_back_end: HashMap<Arc<str>, Profile>,
    services: HashMap<Arc<str>, ServiceProfile>,
    averaged_at: Option<Instant>,
    samples_since_averaged: usize,
    round: u32,
    /// Rows of other daemons, counted again whenever rows expire.
    rows: usize,
}

impl Profiles {
    /// Sets whether profiles are kept and used. While they are not, nothing is recorded and nothing
    /// is known of any back end.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        if !is_enabled {
            *self = Self::default();
        }
        self.is_enabled = is_enabled;
    }

    /// Whether profiles are kept and used.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records a measured time.
    pub fn record(&mut self, back_end: &BackEnd, sample: Sample, now: Instant) {
        self.record_uncertain(back_end, sample, 1.0, now);
    }

    /// Records a measured time whose expected time is known with a certainty from 0 to 1, because it
    /// contains work that this daemon knows from reports alone.
    pub fn record_uncertain(
        &mut self,
        back_end: &BackEnd,
        sample: Sample,
        certainty: f64,
        now: Instant,
    ) {
        let Some(measured) = sample.log_ratio().filter(|_| self.is_enabled) else {
            return;
        };
        let Some(profile) = profile_of(&mut self.by_back_end, back_end) else {
            return;
        };
        let service = service_of(&mut self.services, &back_end.service);
        let index = sample.kind.index();
        let log_ratio = measured - service.biases[index];
        let deviation = profile.deviation(sample.kind, &service.averages, now);
        let estimate = service.averages[index] + deviation.unwrap_or_default();
        let known = &mut profile.kinds[index];
        if known.evidence(now).weight(now) >= SETTLED_WEIGHT {
            service.variations[index].add(log_ratio - estimate, BUSY_QUANTILE);
        }
        let limited = estimate::limit_outlier(log_ratio, estimate);
        if let Some(others) = known.observers.sum().mean(now)
            && others.weight >= SETTLED_WEIGHT
        {
            let bias = service.biases[index] + BIAS_RATE * (limited - others.log_ratio);
            service.biases[index] = bias.clamp(-MAX_BIAS, MAX_BIAS);
        }
        let precision = sample.expected_ms / (sample.expected_ms + MEASURING_NOISE_MS);
        let weight = certainty.clamp(0.0, 1.0) * precision;
        known.own.add(limited, weight, now);
        known.own.limit_weight(MAX_ROW_WEIGHT);
        profile.renew_deviations(&service.averages, now);
        self.count_sample(now);
    }

    /// Records the time of a plain answer. `rounds` is the number of times that the back end's slots
    /// had to be filled until the request was served, by what was known to be there.
    pub fn record_plain(&mut self, back_end: &BackEnd, took_ms: f64, rounds: f64, now: Instant) {
        if !self.is_enabled || !took_ms.is_finite() {
            return;
        }
        let rounds = rounds.max(1.0);
        let average = self.plain_ms(&back_end.service).unwrap_or(took_ms / rounds);
        let sample = Sample {
            kind: WorkKind::Plain,
            expected_ms: average * rounds,
            took_ms,
        };
        self.record(back_end, sample, now);
        let at_average = took_ms / rounds / self.factor(back_end, WorkKind::Plain, now);
        let limited = at_average.min(average * MAX_PLAIN_RATIO);
        let service = service_of(&mut self.services, &back_end.service);
        service.plain_ms = Some(average + NEWEST_WEIGHT * (limited - average));
    }

    /// Average time of a plain answer at an average back end of the service without a queue, in
    /// milliseconds; `None` before the first answer.
    #[must_use]
    pub fn plain_ms(&self, service: &str) -> Option<f64> {
        self.services.get(service)?.plain_ms
    }

    /// Adds what another daemon published about a back end.
    pub fn merge(&mut self, back_end: &BackEnd, row: &ProfileRow, now: Instant) -> RowMerge {
        if !row.is_valid() {
            return RowMerge::OutOfRange;
        }
        if !self.is_enabled {
            return RowMerge::NotNeeded;
        }
        if !has_room(&self.by_back_end, back_end) {
            return RowMerge::UnknownBackEnd;
        }
        let Some(profile) = profile_of(&mut self.by_back_end, back_end) else {
            return RowMerge::OtherIncarnation;
        };
        let observers = &mut profile.kinds[row.kind.index()].observers;
        let before = observers.count();
        let merged = observers.merge(row, self.rows < MAX_ROWS, now);
        self.rows += observers.count() - before;
        let service = service_of(&mut self.services, &back_end.service);
        profile.renew_deviations(&service.averages, now);
        if merged == RowMerge::Merged {
            self.count_sample(now);
        }
        merged
    }

    /// What is known of a back end; `None` if nothing is.
    #[must_use]
    pub fn known(&self, back_end: &BackEnd, kind: WorkKind, now: Instant) -> Option<RelativeTime> {
        let profile = self.by_back_end.get(&back_end.id)?;
        if profile.incarnation != back_end.incarnation {
            return None;
        }
        let deviation = profile.deviation(kind, &self.averages(&profile.service), now)?;
        let evidence = profile.kinds[kind.index()].evidence(now);
        let all = profile.kinds.iter().map(|known| known.evidence(now));
        let newest = evidence
            .newest()
            .or_else(|| all.filter_map(|known| known.newest()).max())?;
        Some(RelativeTime {
            factor: deviation.exp(),
            weight: evidence.mean(now).map_or(0.0, |mean| mean.weight),
            age: now.saturating_duration_since(newest),
        })
    }

    /// Ratio of the back end's expected time to that of an average back end of its service; 1 if
    /// nothing is known of it.
    #[must_use]
    pub fn factor(&self, back_end: &BackEnd, kind: WorkKind, now: Instant) -> f64 {
        let profile = self
            .by_back_end
            .get(&back_end.id)
            .filter(|profile| profile.incarnation == back_end.incarnation);
        let deviation = profile.and_then(|profile| match profile.recent_deviations(now) {
            Some(recent) => recent[kind.index()],
            None => profile.deviation(kind, &self.averages(&profile.service), now),
        });
        deviation.map_or(1.0, f64::exp)
    }

    /// Ratio of a time at a back end to its own average that [`BUSY_QUANTILE`] of the samples of
    /// the service do not exceed. Above 1 where back ends share their machines with other work.
    #[must_use]
    pub fn busy_factor(&self, service: &Arc<str>, kind: WorkKind) -> f64 {
        self.services
            .get(service)
            .map_or(1.0, |service| service.variations[kind.index()].quantile())
    }

    /// Records how busy a back end reports to be at present.
    pub fn note_present_load(&mut self, back_end: &BackEnd, load: PresentLoad, now: Instant) {
        let Some(busyness) = load.busyness.filter(|_| self.is_enabled) else {
            return;
        };
        if let Some(profile) = profile_of(&mut self.by_back_end, back_end) {
            profile.present = Some(ReportedBusyness { busyness, at: now });
        }
    }

    /// How busy a back end reported to be a moment ago; `None` if it did not.
    #[must_use]
    pub fn present_busyness(&self, back_end: &BackEnd, now: Instant) -> Option<Busyness> {
        let profile = self.by_back_end.get(&back_end.id)?;
        let reported = profile.present?;
        (profile.incarnation == back_end.incarnation)
            .then(|| reported.now(now))
            .flatten()
    }

    /// Ratio of measured to expected times at an average back end of the service: what the callers
    /// of [`Self::record`] underestimate.
    #[must_use]
    pub fn average_ratio(&self, service: &str, kind: WorkKind) -> f64 {
        self.averages(service)[kind.index()].exp()
    }

    /// Removes back ends for which `keep` returns false, and services of which none is left.
    pub fn keep_only(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_back_end.retain(|id, _profile| keep(id));
        let profiles = self.by_back_end.values();
        let used: HashSet<&Arc<str>> = profiles.map(|profile| &profile.service).collect();
        self.services.retain(|name, _service| used.contains(name));
    }

    /// Removes expired rows of other daemons.
    pub fn expire(&mut self, now: Instant) {
        let profiles = self.by_back_end.values_mut();
        let mut rows = 0;
        for known in profiles.flat_map(|profile| &mut profile.kinds) {
            known.observers.expire(now);
            rows += known.observers.count();
        }
        self.rows = rows;
    }

    fn averages(&self, service: &str) -> [f64; KINDS] {
        let service = self.services.get(service);
        service.map_or([0.0; KINDS], |service| service.averages)
    }

    /// Computes the averages again once as many samples came as there are back ends, or some time
    /// has passed, so that the cost of a sample does not grow with the number of back ends.
    fn count_sample(&mut self, now: Instant) {
        self.samples_since_averaged += 1;
        let is_old = self
            .averaged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= AVERAGES_INTERVAL);
        if is_old || self.samples_since_averaged >= self.by_back_end.len() {
            self.update_averages(now);
            self.averaged_at = Some(now);
            self.samples_since_averaged = 0;
        }
    }

    fn update_averages(&mut self, now: Instant) {
        let mut means: HashMap<&Arc<str>, [Vec<Mean>; KINDS]> = HashMap::new();
        for profile in self.by_back_end.values() {
            let of_service = means.entry(&profile.service).or_default();
            for (known, means) in profile.kinds.iter().zip(of_service) {
                means.extend(known.mean(now));
            }
        }
        for (service, means) in means {
            if let Some(service) = self.services.get_mut(service) {
                service.averages = means.map(|means| estimate::service_average(means.into_iter()));
            }
        }
        for profile in self.by_back_end.values_mut() {
            if let Some(service) = self.services.get(&profile.service) {
                profile.renew_deviations(&service.averages, now);
            }
        }
    }
}

/// The profile of this incarnation of the back end, new if there is none or only one of an earlier
/// incarnation. `None` if a later incarnation is known, or if there are too many profiles.
fn profile_of<'a>(
    by_back_end: &'a mut HashMap<Arc<str>, Profile>,
    back_end: &BackEnd,
) -> Option<&'a mut Profile> {
    if !has_room(by_back_end, back_end) {
        return None;
    }
    let profile = by_back_end
        .entry(Arc::clone(&back_end.id))
        .or_insert_with(|| Profile::of(back_end));
    if profile.incarnation < back_end.incarnation {
        *profile = Profile::of(back_end);
    }
    (profile.incarnation == back_end.incarnation).then_some(profile)
}

fn has_room(by_back_end: &HashMap<Arc<str>, Profile>, back_end: &BackEnd) -> bool {
    by_back_end.len() < MAX_BACK_ENDS || by_back_end.contains_key(&back_end.id)
}

fn service_of<'a>(
    services: &'a mut HashMap<Arc<str>, ServiceProfile>,
    name: &Arc<str>,
) -> &'a mut ServiceProfile {
    services.entry(Arc::clone(name)).or_default()
}
