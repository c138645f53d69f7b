//! Outlier detection: ejects failing back ends and readmits them after a successful probe.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{MachineId, ModelName, PoolName, Timestamp};

/// Settings of an [`OutlierDetector`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutlierSettings {
    /// Consecutive failures after which a back end is ejected.
    pub consecutive_failures: u32,
    /// Duration of the first ejection; doubled for each further one.
    pub first_ejection: Duration,
    /// Upper bound of the duration of an ejection.
    pub max_ejection: Duration,
    /// Maximum percentage of a group that is ejected at once. A group of two or more may always
    /// have one ejected back end.
    pub max_ejected_percent: usize,
    /// Time after which an unfinished probe is given up and another is allowed.
    pub probe_timeout: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            first_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            max_ejected_percent: 30,
            probe_timeout: Duration::from_secs(30),
        }
    }
}

/// Whether a back end may receive a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may receive requests.
    InService,
    /// It may receive one request at a time, to test whether it has recovered.
    Probe,
    /// It must not receive requests before this time.
    Ejected {
        /// When a probe is allowed, or when the running probe is given up.
        until: Timestamp,
    },
}

/// Group of interchangeable back ends. The share of ejected back ends is bounded within each group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OutlierGroup {
    /// Engines with the given model, or without a model.
    Engines(Option<ModelName>),
    /// Plain back ends of a pool.
    Pool(PoolName),
}

#[derive(Debug, Clone)]
struct Health {
    group: OutlierGroup,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    probe_since: Option<Timestamp>,
}

impl Health {
    const fn new(group: OutlierGroup) -> Self {
        Self {
            group,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            probe_since: None,
        }
    }
}

/// Health of back ends as observed by this daemon.
#[derive(Debug, Clone)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    back_ends: IndexMap<MachineId, Health>,
}

impl OutlierDetector {
    /// Creates a detector without back ends.
    #[must_use]
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            back_ends: IndexMap::new(),
        }
    }

    /// Adds a back end in service, or moves a known one to another group and keeps its state.
    pub fn add(&mut self, back_end: MachineId, group: OutlierGroup) {
        match self.back_ends.get_mut(&back_end) {
            Some(health) => health.group = group,
            None => {
                self.back_ends.insert(back_end, Health::new(group));
            }
        }
    }

    /// Removes a back end.
    pub fn remove(&mut self, back_end: MachineId) {
        self.back_ends.shift_remove(&back_end);
    }

    /// Resets the health of a back end that has a new incarnation.
    pub fn reset(&mut self, back_end: MachineId) {
        if let Some(health) = self.back_ends.get_mut(&back_end) {
            *health = Health::new(health.group.clone());
        }
    }

    /// Whether a back end may receive a request now. Unknown back ends may.
    #[must_use]
    pub fn eligibility(&self, now: Timestamp, back_end: MachineId) -> Eligibility {
        let Some(health) = self.back_ends.get(&back_end) else {
            return Eligibility::InService;
        };
        let Some(until) = health.ejected_until else {
            return Eligibility::InService;
        };
        if now < until {
            return Eligibility::Ejected { until };
        }
        match health.probe_since {
            Some(since) if now.since(since) < self.settings.probe_timeout => Eligibility::Ejected {
                until: since + self.settings.probe_timeout,
            },
            _ => Eligibility::Probe,
        }
    }

    /// Records a sent request. On an ejected back end it is the probe.
    pub fn record_send(&mut self, now: Timestamp, back_end: MachineId) {
        if let Some(health) = self.back_ends.get_mut(&back_end)
            && health.ejected_until.is_some()
        {
            health.probe_since = Some(now);
        }
    }

    /// Records a success: resets the failure count, and ends the ejection if a probe was running.
    pub fn record_success(&mut self, back_end: MachineId) {
        if let Some(health) = self.back_ends.get_mut(&back_end) {
            health.failures = 0;
            if health.probe_since.take().is_some() {
                health.ejected_until = None;
            }
            if health.ejected_until.is_none() {
                health.ejections = 0;
            }
        }
    }

    /// Records a request that ended without information on the back end's health (cancelled or
    /// refused).
    pub fn record_neutral(&mut self, back_end: MachineId) {
        if let Some(health) = self.back_ends.get_mut(&back_end) {
            health.probe_since = None;
        }
    }

    /// Records a failure or timeout. If it ejects the back end, returns the end of the ejection.
    pub fn record_failure(&mut self, now: Timestamp, back_end: MachineId) -> Option<Timestamp> {
        let room = self.may_eject_another(back_end);
        let settings = self.settings;
        let health = self.back_ends.get_mut(&back_end)?;
        health.failures = health.failures.saturating_add(1);
        let probe_failed = health.probe_since.take().is_some() && health.ejected_until.is_some();
        let reached = health.failures >= settings.consecutive_failures;
        let newly_ejected = health.ejected_until.is_none() && reached && room;
        if !probe_failed && !newly_ejected {
            return None;
        }
        let doubled = settings
            .first_ejection
            .saturating_mul(1_u32 << health.ejections.min(16));
        let until = now + doubled.min(settings.max_ejection);
        health.ejections = health.ejections.saturating_add(1);
        health.ejected_until = Some(until);
        Some(until)
    }

    /// Number of ejected back ends, including those waiting for a probe.
    #[must_use]
    pub fn ejected_count(&self) -> usize {
        let ejected = self.back_ends.values();
        ejected
            .filter(|health| health.ejected_until.is_some())
            .count()
    }

    /// Whether another back end of the same group may be ejected.
    fn may_eject_another(&self, back_end: MachineId) -> bool {
        let Some(own) = self.back_ends.get(&back_end) else {
            return false;
        };
        let group = self
            .back_ends
            .values()
            .filter(|health| health.group == own.group);
        let known = group.clone().count();
        let ejected = group
            .filter(|health| health.ejected_until.is_some())
            .count();
        let share = known * self.settings.max_ejected_percent / 100;
        let allowed = if known >= 2 { share.max(1) } else { 0 };
        ejected < allowed
    }
}
