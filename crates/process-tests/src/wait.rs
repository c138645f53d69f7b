//! Polling for events.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use eyre::{Result, bail};

/// Pause between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls before a wait fails. It allows for minutes, so that a busy machine fails no
/// test.
const MAXIMUM_POLLS: u32 = 6_000;

/// Calls `probe` repeatedly until it returns a value. `what` describes the event in the error.
///
/// # Errors
/// If `probe` returns no value within a few minutes.
pub async fn eventually<T, F, Fut>(what: &str, mut probe: F) -> Result<T>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    for _ in 0..MAXIMUM_POLLS {
        if let Some(value) = probe().await {
            return Ok(value);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    bail!("timed out waiting until {what}")
}

/// Returns a loopback address with a port that was free at the time of the call.
///
/// # Errors
/// If no port is free.
pub fn free_address() -> Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?)
}
