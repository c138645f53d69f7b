//! JSON lines to standard output, bounded and never blocking: a slow reader costs lines, which are counted.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// The running log; lines that wait are written when it is dropped.
pub struct Log {
    _guard: WorkerGuard,
    dropped: ErrorCounter,
}

impl Log {
    /// Lines that were dropped because the reader was slow.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Starts the log. `lines_waiting`: lines that wait for a slow reader, at most.
///
/// # Errors
/// When the filter cannot be read.
pub fn start(filter: &str, lines_waiting: usize) -> eyre::Result<Log> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(lines_waiting)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(writer);
    tracing_subscriber::registry()
        .with(EnvFilter::try_new(filter)?)
        .with(layer)
        .try_init()?;
    Ok(Log {
        _guard: guard,
        dropped,
    })
}
