//! What is published to other daemons and shown to operators.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{KindProfile, Profile, Profiles, WorkKind};
use crate::directory::Incarnation;

/// Means of less weight are not published.
const MIN_PUBLISHED_WEIGHT: f64 = 0.25;
/// Weight from which a factor is reported to operators.
const MIN_REPORTED_WEIGHT: f64 = 8.0;
/// Bounds between the classes of factors that are reported to operators: fast, usual, slow and very
/// slow.
const CLASS_BOUNDS: [f64; 3] = [0.75, 1.35, 2.0];
/// Least change of a factor that is reported, as a ratio, so that one near a bound is not reported
/// again and again.
const MIN_REPORTED_CHANGE: f64 = 1.2;

/// The mean of this daemon's own samples of a back end.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnRow {
    /// Identity of the back end.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Kind of work.
    pub kind: WorkKind,
    /// Number of samples, reduced by their age.
    pub weight: f64,
    /// Natural logarithm of the mean ratio of measured to expected time.
    pub log_ratio: f64,
    /// Time since the newest sample.
    pub age: Duration,
}

/// A noticeable change of what is known of a back end.
#[derive(Debug, Clone, PartialEq)]
pub struct BeliefChange {
    /// Identity of the back end.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Kind of work with the most samples.
    pub kind: WorkKind,
    /// Factor that was last reported; 1 if none was.
    pub before: f64,
    /// Factor.
    pub factor: f64,
    /// Number of samples, reduced by their age.
    pub weight: f64,
    /// Other daemons whose samples it contains.
    pub observers: usize,
}

/// Profiles of all back ends in figures.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ProfileSummary {
    /// Back ends with a profile.
    pub back_ends: usize,
    /// Smallest factor; `None` without profiles.
    pub fastest: Option<f64>,
    /// Greatest factor; `None` without profiles.
    pub slowest: Option<f64>,
    /// Greatest time since the newest sample of a back end; `None` without profiles.
    pub oldest: Option<Duration>,
}

impl Profiles {
    /// The next own means to publish: those with the most samples first. A mean gains rank with each
    /// round in which it is left out, so that all are published in turn.
    pub fn take_own_rows(&mut self, maximum: usize, now: Instant) -> Vec<OwnRow> {
        self.round = self.round.wrapping_add(1);
        let round = self.round;
        let rows = self.ranked_own_rows(maximum, now, |known, row| {
            let rounds_left_out = round.wrapping_sub(known.published_in);
            row.weight * f64::from(rounds_left_out)
        });
        for row in &rows {
            if let Some(profile) = self.by_back_end.get_mut(&row.id) {
                profile.kinds[row.kind.index()].published_in = round;
            }
        }
        rows
    }

    /// The own means with the most samples.
    #[must_use]
    pub fn own_rows(&self, maximum: usize, now: Instant) -> Vec<OwnRow> {
        self.ranked_own_rows(maximum, now, |_known, row| row.weight)
    }

    fn ranked_own_rows(
        &self,
        maximum: usize,
        now: Instant,
        rank: impl Fn(&KindProfile, &OwnRow) -> f64,
    ) -> Vec<OwnRow> {
        let mut ranked: Vec<(f64, OwnRow)> = Vec::new();
        for (id, profile) in &self.by_back_end {
            for kind in WorkKind::ALL {
                let known = &profile.kinds[kind.index()];
                let row = own_row(id, profile, kind, now);
                ranked.extend(row.map(|row| (rank(known, &row), row)));
            }
        }
        ranked.sort_by(|left, right| {
            let by_rank = right.0.total_cmp(&left.0);
            by_rank.then_with(|| (&left.1.id, left.1.kind).cmp(&(&right.1.id, right.1.kind)))
        });
        ranked.truncate(maximum);
        ranked.into_iter().map(|(_rank, row)| row).collect()
    }

    /// Back ends whose factor has moved to another class since it was last reported, at most
    /// `maximum` of them.
    pub fn take_belief_changes(&mut self, maximum: usize, now: Instant) -> Vec<BeliefChange> {
        let mut changes: Vec<BeliefChange> = Vec::new();
        let services = &self.services;
        for (id, profile) in &mut self.by_back_end {
            if changes.len() >= maximum {
                break;
            }
            let Some(service) = services.get(&profile.service) else {
                continue;
            };
            if let Some(change) = belief_change(id, profile, &service.averages, now) {
                profile.reported = change.factor;
                changes.push(change);
            }
        }
        changes
    }

    /// Figures of all profiles.
    #[must_use]
    pub fn summary(&self, now: Instant) -> ProfileSummary {
        let mut summary = ProfileSummary::default();
        for profile in self.by_back_end.values() {
            let averages = self.averages(&profile.service);
            let Some((kind, _weight)) = best_known_kind(profile, now) else {
                continue;
            };
            let Some(deviation) = profile.deviation(kind, &averages, now) else {
                continue;
            };
            let factor = deviation.exp();
            let newest = profile.kinds[kind.index()].evidence(now).newest();
            let age = newest.map(|newest| now.saturating_duration_since(newest));
            summary.back_ends += 1;
            summary.fastest = Some(summary.fastest.map_or(factor, |known| known.min(factor)));
            summary.slowest = Some(summary.slowest.map_or(factor, |known| known.max(factor)));
            summary.oldest = summary.oldest.max(age);
        }
        summary
    }
}

fn own_row(id: &Arc<str>, profile: &Profile, kind: WorkKind, now: Instant) -> Option<OwnRow> {
    let own = &profile.kinds[kind.index()].own;
    let mean = own
        .mean(now)
        .filter(|mean| mean.weight >= MIN_PUBLISHED_WEIGHT)?;
    Some(OwnRow {
        id: Arc::clone(id),
        incarnation: profile.incarnation,
        kind,
        weight: mean.weight,
        log_ratio: mean.log_ratio,
        age: now.saturating_duration_since(own.newest()?),
    })
}

/// The kind of work with the most samples, and their weight.
fn best_known_kind(profile: &Profile, now: Instant) -> Option<(WorkKind, f64)> {
    let known = WorkKind::ALL.into_iter().filter_map(|kind| {
        let mean = profile.kinds[kind.index()].mean(now)?;
        Some((kind, mean.weight))
    });
    known.max_by(|left, right| left.1.total_cmp(&right.1))
}

fn belief_change(
    id: &Arc<str>,
    profile: &Profile,
    averages: &[f64; super::KINDS],
    now: Instant,
) -> Option<BeliefChange> {
    let (kind, weight) = best_known_kind(profile, now)?;
    let factor = profile.deviation(kind, averages, now)?.exp();
    let before = profile.reported;
    let change = (factor / before).max(before / factor);
    let is_noticeable = change >= MIN_REPORTED_CHANGE && class_of(factor) != class_of(before);
    (is_noticeable && weight >= MIN_REPORTED_WEIGHT).then(|| BeliefChange {
        id: Arc::clone(id),
        incarnation: profile.incarnation,
        kind,
        before,
        factor,
        weight,
        observers: profile.kinds[kind.index()].observers.count(),
    })
}

fn class_of(factor: f64) -> usize {
    CLASS_BOUNDS.iter().filter(|bound| factor > **bound).count()
}
