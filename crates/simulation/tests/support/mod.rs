//! Helpers shared by the test files.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use ponddrift_core::{RegionName, ZoneName};
use ponddrift_simulation::{HostSpec, Simulation, SimulationSettings};

pub const PORT: u16 = 8_000;

pub fn address(number: u8) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)), PORT)
}

pub fn host(number: u8) -> HostSpec {
    HostSpec {
        name: format!("machine-{number}"),
        ip: address(number).ip(),
        zone: ZoneName::new(if number.is_multiple_of(2) { "a" } else { "b" }).expect("a name"),
        region: RegionName::new("central").expect("a name"),
    }
}

pub fn simulation(seed: u64) -> Simulation {
    Simulation::new(SimulationSettings::with_seed(seed))
}

/// Collects values that hosts report to the test.
#[derive(Clone)]
pub struct Log<T>(Arc<Mutex<Vec<T>>>);

impl<T> Default for Log<T> {
    fn default() -> Self {
        Self(Arc::default())
    }
}

impl<T: Clone> Log<T> {
    pub fn push(&self, value: T) {
        self.0.lock().expect("no panic").push(value);
    }

    pub fn values(&self) -> Vec<T> {
        self.0.lock().expect("no panic").clone()
    }
}
