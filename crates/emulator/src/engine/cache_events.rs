//! KV cache events: late, and with gaps.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use http::Response;
use ponddrift_core::Incarnation;
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_engine::wire::cache_events::{CacheChange, CacheEvent};
use ponddrift_http::body::BodyError;
use ponddrift_http::{Body, body};
use rand::RngExt;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::time::Instant;

use super::resume::event_stream_headers;
use super::settings::EngineBehaviour;

/// Events a slow reader may fall behind before it misses some.
const FEED_CAPACITY: usize = 4_096;

#[derive(Clone)]
struct TimedEvent {
    ready: Instant,
    event: CacheEvent,
}

/// Publishes the changes of a prefix cache.
pub(super) struct CacheEventFeed {
    sender: broadcast::Sender<TimedEvent>,
    state: Mutex<FeedState>,
}

struct FeedState {
    sequence: u64,
    random: SeededRandom,
}

impl CacheEventFeed {
    pub(super) fn new(seed: u64, incarnation: Incarnation) -> Self {
        let state = FeedState {
            sequence: 0,
            random: seeded(seed, &format!("cache events {incarnation}")),
        };
        Self {
            sender: broadcast::Sender::new(FEED_CAPACITY),
            state: Mutex::new(state),
        }
    }

    pub(super) fn publish(&self, change: CacheChange, behaviour: EngineBehaviour) {
        let (sequence, lost) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.sequence += 1;
            let lost = behaviour.cache_event_gap > 0.0
                && state.random.random::<f64>() < behaviour.cache_event_gap;
            (state.sequence, lost)
        };
        if lost {
            return;
        }
        // An error says that nobody reads, which is fine.
        let _readers = self.sender.send(TimedEvent {
            ready: Instant::now() + Duration::from_millis(behaviour.cache_event_delay_ms),
            event: CacheEvent { sequence, change },
        });
    }

    /// The event stream, from now on.
    pub(super) fn response(&self) -> Response<Body> {
        let mut response = Response::new(body::streamed(lines(self.sender.subscribe())));
        event_stream_headers(&mut response);
        response
    }
}

fn lines(
    receiver: broadcast::Receiver<TimedEvent>,
) -> impl Stream<Item = Result<Bytes, BodyError>> + Send {
    stream::unfold(receiver, |mut receiver| async move {
        loop {
            match receiver.recv().await {
                Ok(timed) => {
                    tokio::time::sleep_until(timed.ready).await;
                    let line = line_of(&timed.event);
                    return Some((Ok(line), receiver));
                }
                Err(RecvError::Lagged(_missed)) => {}
                Err(RecvError::Closed) => return None,
            }
        }
    })
}

fn line_of(event: &CacheEvent) -> Bytes {
    let data = serde_json::to_string(event).expect("wire types serialize");
    Bytes::from(format!("id: {}\ndata: {data}\n\n", event.sequence))
}
