//! HTTP server and client, built on hyper and the runtime's traits.
//!
//! [`server`] accepts HTTP/1.1 and HTTP/2 and stops gracefully, [`client`] pools connections,
//! [`body`] reads bodies within limits, [`problem`] defines the error responses (RFC 9457).

pub mod body;
pub mod client;
pub mod memory;
pub mod problem;
pub mod server;

pub use body::{Body, ReadError};
pub use client::{Client, ClientError, ClientSettings};
pub use problem::{Problem, ProblemKind};
pub use server::{
    CloseReason, ConnectionTimeouts, Handler, HeldByRequest, RequestGuard, Server, ServerSettings,
};
