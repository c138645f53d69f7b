//! Faults of the key-value service, settable at run time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_runtime::watch;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Faults in force.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Limit of the calls; refused ones get 429.
    pub rate_limit: Option<RateLimit>,
    /// Whether the service is out. Open watches are cut when it begins.
    pub outage: Outage,
    /// Added time of each call and watch message, in milliseconds.
    pub slowness_ms: u64,
    /// Further added time, drawn evenly from 0 to this, in milliseconds.
    pub slowness_jitter_ms: u64,
    /// Writes that take effect but are not answered.
    pub lost_answers: LostAnswers,
}

/// Token bucket.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Calls a second.
    pub per_second: f64,
    /// Calls at once.
    pub burst: f64,
}

/// Whether and how the service is out. Leases go on ending by the clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// It answers 503 with gRPC code 14.
    Refuse,
    /// It drops the connections.
    Drop,
}

/// Which writes are not answered.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LostAnswers {
    /// Share of the writes, 0 to 1.
    pub probability: f64,
    /// The next so many writes, before the share counts.
    pub next: u32,
}

/// Reads and changes the faults; clones share them.
#[derive(Clone)]
pub struct FaultControl {
    current: Arc<watch::Sender<KeyValueFaults>>,
    state: Arc<Mutex<DrawState>>,
}

struct DrawState {
    random: SeededRandom,
    tokens: f64,
    refilled: Instant,
}

impl FaultControl {
    /// Starts with `faults`; draws come from `seed`.
    #[must_use]
    pub fn new(faults: KeyValueFaults, seed: u64) -> Self {
        let state = DrawState {
            random: seeded(seed, "key-value faults"),
            tokens: faults.rate_limit.map_or(0.0, |limit| limit.burst),
            refilled: Instant::now(),
        };
        Self {
            current: Arc::new(watch::Sender::new(faults)),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The faults in force.
    #[must_use]
    pub fn get(&self) -> KeyValueFaults {
        *self.current.borrow()
    }

    /// Replaces the faults; a rate limit starts with a full bucket.
    pub fn set(&self, faults: KeyValueFaults) {
        self.with_state(|state| {
            state.tokens = faults.rate_limit.map_or(0.0, |limit| limit.burst);
            state.refilled = Instant::now();
        });
        self.current.send_replace(faults);
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<KeyValueFaults> {
        self.current.subscribe()
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut DrawState) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether the rate limit lets one more call through.
    pub(super) fn admits(&self) -> bool {
        let Some(limit) = self.get().rate_limit else {
            return true;
        };
        self.with_state(|state| {
            let now = Instant::now();
            let gained = (now - state.refilled).as_secs_f64() * limit.per_second;
            state.tokens = (state.tokens + gained).min(limit.burst);
            state.refilled = now;
            let admitted = state.tokens >= 1.0;
            if admitted {
                state.tokens -= 1.0;
            }
            admitted
        })
    }

    /// Added time of one call.
    pub(super) fn slowness(&self) -> Duration {
        let faults = self.get();
        let jitter = match faults.slowness_jitter_ms {
            0 => 0,
            most => self.with_state(|state| state.random.random_range(0..=most)),
        };
        Duration::from_millis(faults.slowness_ms + jitter)
    }

    /// Whether the answer of a write that took effect is lost.
    pub(super) fn loses_answer(&self) -> bool {
        let mut taken = false;
        self.current.send_if_modified(|faults| {
            taken = faults.lost_answers.next > 0;
            faults.lost_answers.next = faults.lost_answers.next.saturating_sub(1);
            taken
        });
        let probability = self.get().lost_answers.probability;
        taken
            || (probability > 0.0
                && self.with_state(|state| state.random.random::<f64>()) < probability)
    }
}
