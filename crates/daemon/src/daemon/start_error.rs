//! Startup errors.

use std::io;
use std::net::SocketAddr;

/// An error that prevents a daemon from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("{key} = {address} cannot be bound: {source}; choose a free address of this machine")]
    Bind {
        /// The settings key.
        key: &'static str,
        /// The configured address.
        address: SocketAddr,
        /// The error of the bind call.
        source: io::Error,
    },
}

impl StartError {
    pub(super) fn bind(key: &'static str, address: SocketAddr) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Bind {
            key,
            address,
            source,
        }
    }
}
