//! What an engine did with each claim and order, for tests.

use std::sync::{Mutex, PoisonError};

use ponddrift_core::{FencingToken, Incarnation, OrderId};
use tokio::time::Instant;

/// A control call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlCall {
    /// A claim.
    Claim,
    /// An order.
    Order {
        /// Its id.
        id: OrderId,
        /// Whether a change began with it, rather than one that was known or had nothing to do.
        begins_change: bool,
    },
}

/// One claim or order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlEntry {
    /// The life that got it.
    pub incarnation: Incarnation,
    /// Token of the call.
    pub token: FencingToken,
    /// Which call.
    pub call: ControlCall,
    /// Whether it was accepted.
    pub accepted: bool,
    /// The order that was being carried out when it came.
    pub running_before: Option<OrderId>,
}

/// Claims and orders in the order of their arrival, with their times.
#[derive(Debug, Default)]
pub struct ControlLog {
    entries: Mutex<Vec<(Instant, ControlEntry)>>,
}

impl ControlLog {
    pub(super) fn record(&self, entry: ControlEntry) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push((Instant::now(), entry));
    }

    /// The entries from number `from` on.
    #[must_use]
    pub fn since(&self, from: usize) -> Vec<(Instant, ControlEntry)> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.get(from..).unwrap_or_default().to_vec()
    }
}
