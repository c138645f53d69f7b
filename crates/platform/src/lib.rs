//! Clients of the platform services: the key-value service and the machine list.
//!
//! The daemon uses the traits [`store::KeyValueStore`] and [`machines::MachineListSource`].
//! [`etcd`] implements the former over the etcd v3 JSON gateway, [`machines::HttpMachineList`] the
//! latter over HTTP.

pub mod etcd;
pub mod machines;
pub mod store;

pub use store::{KeyValueStore, StoreError};
