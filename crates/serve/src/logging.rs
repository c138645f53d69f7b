//! JSON log lines on standard output through bounded, non-blocking buffers.
//!
//! If the reader of standard output is slow, lines are dropped and counted. Lines of requests that
//! were served in time have a buffer of their own, so that they never displace other lines.

use std::io;

use ponddrift_serving::request_trace::SERVED_LOG_TARGET;
use tracing::Metadata;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Writers to standard output; the buffered lines are split evenly between them.
const WRITER_COUNT: usize = 2;

/// Keeps the log writers running; buffered lines are written when it is dropped.
pub struct LogGuard {
    _worker_guards: [WorkerGuard; WRITER_COUNT],
    dropped_counters: [ErrorCounter; WRITER_COUNT],
}

impl LogGuard {
    /// Number of lines dropped because the reader of standard output was slow.
    pub fn dropped_lines(&self) -> usize {
        self.dropped_counters
            .iter()
            .map(ErrorCounter::dropped_lines)
            .sum()
    }
}

/// Selects the writer of a line: one for requests served in time, one for all other lines.
struct WriterByTarget {
    served: NonBlocking,
    others: NonBlocking,
}

impl<'a> MakeWriter<'a> for WriterByTarget {
    type Writer = NonBlocking;

    fn make_writer(&'a self) -> Self::Writer {
        self.others.clone()
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> Self::Writer {
        if metadata.target() == SERVED_LOG_TARGET {
            self.served.clone()
        } else {
            self.others.clone()
        }
    }
}

fn stdout_writer(buffered_lines: usize) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(buffered_lines)
        .finish(io::stdout())
}

/// Starts logging. `buffered_lines` is the greatest number of lines kept for a slow reader.
///
/// # Errors
/// When the filter is not valid or a global logger is already set.
pub fn init(filter: &str, buffered_lines: usize) -> eyre::Result<LogGuard> {
    let (served, served_guard) = stdout_writer(buffered_lines / WRITER_COUNT);
    let (others, others_guard) = stdout_writer(buffered_lines / WRITER_COUNT);
    let dropped_counters = [served.error_counter(), others.error_counter()];
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(WriterByTarget { served, others });
    tracing_subscriber::registry()
        .with(EnvFilter::try_new(filter)?)
        .with(layer)
        .try_init()?;
    Ok(LogGuard {
        _worker_guards: [served_guard, others_guard],
        dropped_counters,
    })
}
