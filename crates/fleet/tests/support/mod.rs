//! Engines of one service for the tests.

use std::net::SocketAddr;
use std::sync::Arc;

use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::configuration::Stage;
use ponddrift_fleet::directory::{BackEnd, Incarnation, Lifecycle};

/// Engines `i-1`, `i-2` and so on, the prefill engines first.
pub fn engines(prefill: u8, decode: u8) -> Vec<Arc<BackEnd>> {
    let stages = std::iter::repeat_n(Stage::Prefill, usize::from(prefill))
        .chain(std::iter::repeat_n(Stage::Decode, usize::from(decode)));
    stages
        .zip(1..)
        .map(|(stage, number)| engine(number, stage))
        .collect()
}

fn engine(number: u8, stage: Stage) -> Arc<BackEnd> {
    Arc::new(BackEnd {
        id: Arc::from(format!("i-{number}")),
        incarnation: Incarnation::default(),
        service: Arc::from("models"),
        address: SocketAddr::from(([10, 0, 0, number], 8080)),
        zone: Arc::from("a"),
        version: ponddrift_fleet::versions::SoftwareVersion::default(),
        slots: 32,
        lifecycle: Lifecycle::Ready,
        stage: Some(stage),
        cold_start: None,
        contract: Contract::OnDemand,
    })
}
