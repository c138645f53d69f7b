//! Addresses of a running daemon.

use std::net::SocketAddr;

/// Addresses that the daemon's sockets are bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DaemonAddresses {
    /// HTTP address for callers.
    pub gateway: SocketAddr,
    /// HTTP address for operators.
    pub operator: SocketAddr,
    /// UDP and TCP address for other daemons.
    pub peer: SocketAddr,
}
