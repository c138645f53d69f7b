//! Log output of simulated daemons, for the analysis of a failed test.
//!
//! Set `RUST_LOG`, for example to `info`, to print it. Each line begins with the virtual time since
//! the start of the test and names the host that logged it.

use std::fmt;

use tokio::time::Instant;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

struct VirtualTime {
    start: Instant,
}

impl FormatTime for VirtualTime {
    fn format_time(&self, writer: &mut Writer<'_>) -> fmt::Result {
        write!(writer, "{:>8.3}", self.start.elapsed().as_secs_f64())
    }
}

/// Starts to print log lines if `RUST_LOG` is set. `start` is the current virtual time.
pub fn start_if_requested(start: Instant) {
    if std::env::var_os(EnvFilter::DEFAULT_ENV).is_none() {
        return;
    }
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::from_default_env())
        .with_timer(VirtualTime { start })
        .with_target(false)
        .with_ansi(false)
        .with_test_writer();
    // A later fleet of the same process continues with the first one's subscriber.
    drop(subscriber.try_init());
}
