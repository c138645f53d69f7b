//! JSON-line logs with stable field names.

use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Failure to initialize logging.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The filter is invalid.
    #[error("the log filter cannot be read: {0}; write for example info,ponddrift_daemon=debug")]
    Filter(#[from] tracing_subscriber::filter::ParseError),
    /// A global subscriber is already installed.
    #[error("logging was started twice: {0}")]
    AlreadyStarted(#[from] tracing_subscriber::util::TryInitError),
}

/// Starts writing JSON lines to standard error.
///
/// # Errors
/// Returns [`LoggingError`] if the filter is invalid or a subscriber is already installed.
pub fn start(filter: &str) -> Result<(), LoggingError> {
    let layer = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(true)
        .with_span_list(false)
        .with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(EnvFilter::try_new(filter)?)
        .with(layer)
        .try_init()?;
    Ok(())
}
