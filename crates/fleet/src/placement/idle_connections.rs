//! Back ends to which this daemon has idle connections. A request to another one waits until a
//! connection is opened, and the back end spends as much time on it.

use std::collections::HashSet;
use std::net::SocketAddr;

/// Cost of a new connection relative to the time that it takes this daemon to open one. The back end
/// spends as long, and keeps the connection until it has been idle for long.
const OPENING_COST_FACTOR: f64 = 2.0;
/// Maximum of the cost, so that a slow network does not outweigh the load of back ends, in
/// milliseconds.
const MAX_OPENING_COST_MS: f64 = 10.0;

/// Idle connections as of the current decision, and the time that opening one takes.
#[derive(Debug, Clone, Default)]
pub struct IdleConnections {
    /// Addresses of the back ends; `None` if connections are not considered.
    pub addresses: Option<HashSet<SocketAddr>>,
    /// Average time to open a connection, in milliseconds; `None` before the first one.
    pub opening_ms: Option<f64>,
}

impl IdleConnections {
    /// Weighted cost of reaching the back end at `address`, in milliseconds.
    pub(super) fn opening_cost_ms(&self, address: SocketAddr) -> f64 {
        match (&self.addresses, self.opening_ms) {
            (Some(addresses), Some(opening_ms)) if !addresses.contains(&address) => {
                (opening_ms * OPENING_COST_FACTOR).min(MAX_OPENING_COST_MS)
            }
            _ => 0.0,
        }
    }
}
