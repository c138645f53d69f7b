//! The built-in scenarios: demand over time, faults and lag of reports.

use std::time::Duration;

use ponddrift_core::random::{SeededRandom, seeded};
use rand::RngExt;

use super::deployment::Deployment;

/// Largest part by which a seed moves the times and heights of a scenario, up or down.
const JITTER: f64 = 0.15;
/// Lag of reports on an ordinary day.
const ORDINARY_LAG: Duration = Duration::from_millis(250);
/// Lag of reports in the scenario of that name.
const LONG_LAG: Duration = Duration::from_secs(4);

/// Relative arrival rates at one time; between two keyframes they change evenly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Keyframe {
    /// Seconds since the begin.
    pub at: f64,
    /// Long reads with short answers.
    pub review: f64,
    /// Short reads with long answers.
    pub draft: f64,
    /// Short reads with short answers.
    pub tag: f64,
}

/// An engine that is lost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLoss {
    /// When, in seconds since the begin.
    pub at: f64,
    /// Which engine, from 0.
    pub engine: u32,
    /// Seconds until it is back, without role and cache; `None` for ever.
    pub back_after: Option<f64>,
}

/// One drawn instance of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// The deployment.
    pub deployment: Deployment,
    /// Length in seconds.
    pub seconds: f64,
    /// Demand, ordered by time.
    pub keyframes: Vec<Keyframe>,
    /// Engines lost.
    pub losses: Vec<EngineLoss>,
    /// How late load reports and demand samples arrive.
    pub report_lag: Duration,
    /// Mean demand as a share of what the fleet can serve, unless `--load` says otherwise.
    pub load: f64,
}

/// Names of the scenarios, each with the deployment it is run on unless told otherwise.
pub const SCENARIOS: [(&str, Deployment); 7] = [
    ("month-end-close", Deployment::Hanbit),
    ("dock-rush", Deployment::HeadOffice),
    ("swings", Deployment::Hanbit),
    ("spike", Deployment::HeadOffice),
    ("slow-day", Deployment::Hanbit),
    ("engine-loss", Deployment::Hanbit),
    ("lagging-reports", Deployment::HeadOffice),
];

const BALANCED: Keyframe = Keyframe {
    at: 0.0,
    review: 0.8,
    draft: 1.6,
    tag: 4.0,
};
const READING: Keyframe = Keyframe {
    at: 0.0,
    review: 2.0,
    draft: 0.2,
    tag: 3.0,
};
const WRITING: Keyframe = Keyframe {
    at: 0.0,
    review: 0.2,
    draft: 3.6,
    tag: 3.0,
};

/// Draws a scenario. One name and seed give one scenario; `None` when there is no such name.
#[must_use]
pub fn scenario(name: &str, deployment: Option<Deployment>, seed: u64) -> Option<Scenario> {
    let (name, usual) = SCENARIOS.into_iter().find(|(known, _)| *known == name)?;
    let deployment = deployment.unwrap_or(usual);
    let mut shape = Shape::new(seed, name);
    let mut losses = Vec::new();
    let mut load = 0.75;
    match name {
        "month-end-close" => shape.month_end(),
        "dock-rush" | "lagging-reports" => shape.dock_rush(),
        "swings" => shape.swings(),
        "spike" => shape.spike(),
        "slow-day" => {
            load = 0.35;
            shape.slow_day();
        }
        _ => {
            shape.month_end();
            losses = shape.losses(deployment.fleet().engines);
        }
    }
    let report_lag = if name == "lagging-reports" {
        LONG_LAG
    } else {
        ORDINARY_LAG
    };
    Some(Scenario {
        name,
        deployment,
        seconds: shape.now,
        keyframes: shape.keyframes,
        losses,
        report_lag,
        load,
    })
}

/// Builds the keyframes of one scenario from the begin on.
struct Shape {
    random: SeededRandom,
    keyframes: Vec<Keyframe>,
    now: f64,
}

impl Shape {
    fn new(seed: u64, name: &str) -> Self {
        Self {
            random: seeded(seed, &format!("scenario {name}")),
            keyframes: Vec::new(),
            now: 0.0,
        }
    }

    fn jittered(&mut self, value: f64) -> f64 {
        let even: f64 = self.random.random();
        value * (1.0 + JITTER * (2.0 * even - 1.0))
    }

    /// Goes to `mix` within `ramp` seconds and stays for `hold` seconds.
    fn phase(&mut self, mix: Keyframe, ramp: f64, hold: f64) {
        let drawn = Keyframe {
            at: 0.0,
            review: self.jittered(mix.review),
            draft: self.jittered(mix.draft),
            tag: self.jittered(mix.tag),
        };
        for length in [ramp, hold] {
            self.now += self.jittered(length);
            let at = self.now;
            self.keyframes.push(Keyframe { at, ..drawn });
        }
    }

    /// Ordinary work, a ramp to ledgers that lasts, and back.
    fn month_end(&mut self) {
        self.phase(BALANCED, 0.0, 180.0);
        self.phase(READING, 120.0, 330.0);
        self.phase(BALANCED, 60.0, 180.0);
    }

    /// Vans arrive twice, each time within a minute.
    fn dock_rush(&mut self) {
        self.phase(WRITING, 0.0, 150.0);
        self.phase(READING, 45.0, 180.0);
        self.phase(WRITING, 45.0, 180.0);
        self.phase(READING, 45.0, 150.0);
        self.phase(WRITING, 45.0, 60.0);
    }

    /// The ratio swings every two minutes.
    fn swings(&mut self) {
        for _ in 0..4 {
            self.phase(READING, 10.0, 110.0);
            self.phase(WRITING, 10.0, 110.0);
        }
    }

    /// Steady work with two short bursts of long reads.
    fn spike(&mut self) {
        let burst = Keyframe {
            review: 4.0 * BALANCED.review,
            ..BALANCED
        };
        for _ in 0..2 {
            self.phase(BALANCED, 0.0, 240.0);
            self.phase(burst, 0.5, 5.0);
        }
        self.phase(BALANCED, 0.5, 240.0);
    }

    /// Little work, and a slow drift.
    fn slow_day(&mut self) {
        self.phase(BALANCED, 0.0, 120.0);
        self.phase(READING, 240.0, 60.0);
        self.phase(WRITING, 240.0, 120.0);
    }

    /// Two engines go while the demand shifts; one comes back.
    fn losses(&mut self, engines: u32) -> Vec<EngineLoss> {
        let first = self.random.random_range(0..engines);
        let second = (first + 1 + self.random.random_range(0..engines - 1)) % engines;
        let at = self.jittered(240.0);
        vec![
            EngineLoss {
                at,
                engine: first,
                back_after: Some(150.0),
            },
            EngineLoss {
                at: at + 20.0,
                engine: second,
                back_after: None,
            },
        ]
    }
}

impl Scenario {
    /// Relative rates at a time.
    #[must_use]
    pub fn rates(&self, at: f64) -> Keyframe {
        let next = self.keyframes.partition_point(|frame| frame.at <= at);
        let Some(after) = self.keyframes.get(next) else {
            return *self.keyframes.last().unwrap_or(&BALANCED);
        };
        let Some(before) = next.checked_sub(1).map(|index| self.keyframes[index]) else {
            return *after;
        };
        let part = (at - before.at) / (after.at - before.at);
        let between = |from: f64, to: f64| from + part * (to - from);
        Keyframe {
            at,
            review: between(before.review, after.review),
            draft: between(before.draft, after.draft),
            tag: between(before.tag, after.tag),
        }
    }
}
