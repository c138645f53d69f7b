//! Decides whether a stream that is too slow to end by its deadline continues at another back end.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Events at a back end from which its pace is known: fewer may show a pause for one prompt.
const MIN_EVENTS_AT_BACK_END: u32 = 12;
/// Number of events between two decisions about one stream.
pub const EVENTS_BETWEEN_DECISIONS: u32 = 6;
/// A stream with fewer events to come stays where it is: continuing elsewhere costs a few gaps.
const MIN_EVENTS_TO_COME: f64 = 8.0;
/// The time at the other back end must fit into the time left with this factor, since its pace
/// varies too.
const MARGIN_ELSEWHERE: f64 = 1.25;
/// The other back end must need at most this fraction of the time needed here.
const MAX_SHARE_OF_TIME_HERE: f64 = 0.7;
/// Finished streams of a service from which the length of others is estimated.
const MIN_FINISHED_STREAMS: u32 = 10;
/// Weight of the newest finished stream in the average.
const NEWEST_WEIGHT: f64 = 0.05;

/// Events of finished streams relative to the output tokens that their requests allowed.
#[derive(Debug, Default)]
pub struct StreamLengths {
    by_service: HashMap<Arc<str>, Length>,
}

#[derive(Debug, Default)]
struct Length {
    events_per_token: f64,
    streams: u32,
}

impl StreamLengths {
    /// Records a stream that ended well after this many events.
    pub fn record(&mut self, service: &Arc<str>, output_tokens: u32, events: u64) {
        if output_tokens == 0 {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "a count of events")]
        let sample = events as f64 / f64::from(output_tokens);
        let length = self.by_service.entry(Arc::clone(service)).or_default();
        length.streams = length.streams.saturating_add(1);
        // The plain average of the first streams, then a moving one.
        let weight = (1.0 / f64::from(length.streams)).max(NEWEST_WEIGHT);
        length.events_per_token += weight * (sample - length.events_per_token);
    }

    /// Expected number of events of a whole stream; `None` before enough streams have ended.
    #[must_use]
    pub fn expected_events(&self, service: &str, output_tokens: u32) -> Option<f64> {
        let length = self.by_service.get(service)?;
        let is_known = length.streams >= MIN_FINISHED_STREAMS;
        is_known.then(|| length.events_per_token * f64::from(output_tokens))
    }
}

/// How far a stream has come.
#[derive(Debug, Clone, Copy)]
pub struct StreamProgress {
    /// Expected number of events of the whole stream.
    pub expected_events: f64,
    /// Events that the caller has.
    pub forwarded_events: u64,
    /// Events that came from the current back end.
    pub events_here: u32,
    /// Time since the first event from the current back end.
    pub time_here: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
}

impl StreamProgress {
    /// Whether the stream, at its pace so far, ends after its deadline, and would end before it at
    /// a back end with the mean gap `gap_elsewhere`.
    #[must_use]
    pub fn is_better_elsewhere(&self, gap_elsewhere: Duration) -> bool {
        if self.events_here < MIN_EVENTS_AT_BACK_END {
            return false;
        }
        #[expect(clippy::cast_precision_loss, reason = "a count of events")]
        let to_come = self.expected_events - self.forwarded_events as f64;
        if to_come < MIN_EVENTS_TO_COME {
            return false;
        }
        let gap_here = self.time_here.as_secs_f64() / f64::from(self.events_here - 1);
        let needed_here = to_come * gap_here;
        let needed_elsewhere = to_come * gap_elsewhere.as_secs_f64();
        let time_left = self.time_left.as_secs_f64();
        needed_here > time_left
            && needed_elsewhere * MARGIN_ELSEWHERE < time_left
            && needed_elsewhere < needed_here * MAX_SHARE_OF_TIME_HERE
    }
}
