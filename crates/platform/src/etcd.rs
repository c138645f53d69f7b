//! Client and message types of the etcd v3 JSON gateway.

mod client;
mod convert;
mod watch;
pub mod wire;

pub use client::{EtcdSettings, EtcdStore};
