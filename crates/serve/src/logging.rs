//! JSON lines to standard output, bounded and never blocking: a slow reader costs lines, which are counted. Lines of
//! requests that were served in time wait apart: however many there are, they push out none of the others.

use std::io;

use ponddrift_serving::request_trace::SERVED_LOG_TARGET;
use tracing::Metadata;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Ways to standard output; each has room for its part of the lines that wait.
const WAYS: usize = 2;

/// The running log; lines that wait are written when it is dropped.
pub struct Log {
    _guards: [WorkerGuard; WAYS],
    dropped: [ErrorCounter; WAYS],
}

impl Log {
    /// Lines that were dropped because the reader was slow.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.iter().map(ErrorCounter::dropped_lines).sum()
    }
}

/// Lines by what they are worth when there is no room for all.
struct ByWorth {
    served: NonBlocking,
    others: NonBlocking,
}

impl<'a> MakeWriter<'a> for ByWorth {
    type Writer = NonBlocking;

    fn make_writer(&'a self) -> Self::Writer {
        self.others.clone()
    }

    fn make_writer_for(&'a self, line: &Metadata<'_>) -> Self::Writer {
        if line.target() == SERVED_LOG_TARGET {
            self.served.clone()
        } else {
            self.others.clone()
        }
    }
}

fn way(lines_waiting: usize) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(lines_waiting)
        .finish(io::stdout())
}

/// Starts the log. `lines_waiting`: lines that wait for a slow reader, at most.
///
/// # Errors
/// When the filter cannot be read.
pub fn start(filter: &str, lines_waiting: usize) -> eyre::Result<Log> {
    let (served, served_guard) = way(lines_waiting / WAYS);
    let (others, others_guard) = way(lines_waiting / WAYS);
    let dropped = [served.error_counter(), others.error_counter()];
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(ByWorth { served, others });
    tracing_subscriber::registry()
        .with(EnvFilter::try_new(filter)?)
        .with(layer)
        .try_init()?;
    Ok(Log {
        _guards: [served_guard, others_guard],
        dropped,
    })
}
