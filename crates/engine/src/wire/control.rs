//! Control endpoint of an engine: claims and orders, protected by fencing tokens.

use ponddrift_core::FencingToken;
pub use ponddrift_core::orders::{
    EndedOrder, EngineReport, LoadedModel, Order as OrderRequest, OrderRefusal as ControlRefusal,
    RunningOrder, TargetState,
};
use serde::{Deserialize, Serialize};

/// `POST`: [`ClaimRequest`] to [`EngineReport`], or 409 [`ControlRefusal`].
pub const CLAIM_PATH: &str = "/control/claim";
/// `POST`: [`OrderRequest`] to [`EngineReport`], or 409 [`ControlRefusal`].
pub const ORDERS_PATH: &str = "/control/orders";
/// `GET`: [`EngineReport`].
pub const STATE_PATH: &str = "/control/state";

/// Makes an engine reject every fencing token older than this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Fencing token of the claiming controller.
    pub token: FencingToken,
}
