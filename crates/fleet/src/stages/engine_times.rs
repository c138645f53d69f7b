//! How fast the engines of a service are compared with each other.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::Stage;
use crate::directory::BackEnd;

/// Time that an engine takes compared with an average engine of its service; 2 is half as fast.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineTime {
    /// For processing prompts.
    pub prefill: f64,
    /// For an event of a stream.
    pub decode: f64,
}

impl EngineTime {
    const AVERAGE: Self = Self {
        prefill: 1.0,
        decode: 1.0,
    };
}

/// Times of the engines of which something is known.
#[derive(Debug, Default)]
pub(super) struct EngineTimes {
    by_engine: HashMap<Arc<str>, EngineTime>,
}

impl EngineTimes {
    pub(super) fn new(times: impl IntoIterator<Item = (Arc<str>, EngineTime)>) -> Self {
        Self {
            by_engine: times.into_iter().collect(),
        }
    }

    fn of(&self, engine: &BackEnd) -> EngineTime {
        let known = self.by_engine.get(&engine.id);
        known.copied().unwrap_or(EngineTime::AVERAGE)
    }

    /// Time that the prefill engines together take for a prompt compared with as many average
    /// engines.
    pub(super) fn of_prefill_stage(&self, engines: &[Arc<BackEnd>]) -> f64 {
        if self.by_engine.is_empty() {
            return 1.0;
        }
        let mut capacity = 0.0;
        let mut count = 0.0;
        for engine in engines {
            if engine.stage == Some(Stage::Prefill) {
                capacity += 1.0 / self.of(engine).prefill;
                count += 1.0;
            }
        }
        if capacity > 0.0 {
            count / capacity
        } else {
            1.0
        }
    }

    /// Orders engines with these numbers of requests and tokens by how well they suit a change to
    /// `stage`, the best last. Streams need short gaps whatever else the engine does, while prompts
    /// can be spread by work: of engines that are about equally busy, the slowest change to prefill
    /// and the fastest to decode.
    pub(super) fn compare(
        &self,
        stage: Stage,
        left: (&BackEnd, f64),
        right: (&BackEnd, f64),
    ) -> Ordering {
        let least_busy_last = right.1.total_cmp(&left.1);
        if self.by_engine.is_empty() {
            return least_busy_last;
        }
        let by_time = self.of(left.0).decode.total_cmp(&self.of(right.0).decode);
        let best_last = match stage {
            Stage::Prefill => by_time,
            Stage::Decode => by_time.reverse(),
        };
        busyness_level(right.1)
            .total_cmp(&busyness_level(left.1))
            .then(best_last)
            .then(least_busy_last)
    }
}

/// Engines with the same sum of requests and waiting prompt tokens, rounded, are equally busy. The
/// sum decides first: a change begins only when the last stream of its engine has ended.
fn busyness_level(busyness: f64) -> f64 {
    busyness.round()
}
