//! The last check before anything is sent to a back end.
//!
//! A request may have waited for a prompt to be read, for a retry or for its turn since its back end was chosen. Every send needs a
//! [`SendPermit`], so that none leaves unchecked.

use ponddrift_fleet::announcements::Availability;
use ponddrift_fleet::directory::BackEnd;

use super::Pipeline;
use crate::time::now;

/// Leave to send one message to a back end.
#[derive(Debug)]
pub struct SendPermit {
    _made_here: (),
}

impl SendPermit {
    const GRANTED: Self = Self { _made_here: () };

    /// For calls that are no requests to a back end: those to the store and the provider, and at an engine an order of the leader with
    /// the report before it, and freeing a handle. The latter are few and take no slot, and holding them up would hold up a change or
    /// keep memory taken.
    #[must_use]
    pub const fn control_call() -> Self {
        Self::GRANTED
    }
}

impl Pipeline {
    /// Leave to send a request that is to leave now, or why it must not. Takes a token where the back end limits the rate of its requests,
    /// also where the send then fails.
    pub(super) fn permit_request(&self, back_end: &BackEnd) -> Result<SendPermit, &'static str> {
        if !self.state.accepts_requests(&back_end.id, now()) {
            return Err("back_end_drains_or_is_gone");
        }
        let mut placement = self.placement();
        match placement.announcements.availability(back_end, now()) {
            Availability::Open => {}
            Availability::BackingOff { .. } => return Err("back_end_backs_off"),
            Availability::Draining => return Err("back_end_announced_draining"),
        }
        if placement.rate_limits.take(back_end, now()) {
            Ok(SendPermit::GRANTED)
        } else {
            Err("back_end_limits_rate")
        }
    }

    /// Leave to send a health check or to ask an engine what it keeps: these wait for a slot as requests do. None where the back end's rate limit
    /// leaves no room.
    pub(super) fn permit_check(&self, back_end: &BackEnd) -> Option<SendPermit> {
        let is_allowed = self.placement().rate_limits.take(back_end, now());
        is_allowed.then_some(SendPermit::GRANTED)
    }
}
