//! The final check before anything is sent to a back end.
//!
//! After its back end was chosen, a request may have waited for a prefill, a retry or its turn.
//! Every send requires a [`SendPermit`], so that none goes out unchecked.

use ponddrift_fleet::announcements::Availability;
use ponddrift_fleet::directory::BackEnd;

use super::Pipeline;
use crate::time::now;

/// Permission to send one message.
#[derive(Debug)]
pub struct SendPermit {
    _private: (),
}

impl SendPermit {
    const GRANTED: Self = Self { _private: () };

    /// Permission for calls that need no check: those to the store and the provider, and the
    /// leader's orders, status reports and releases of KV cache handles at engines. The calls to
    /// engines are few and take no slot, and delaying them would delay a stage change or keep
    /// memory in use.
    #[must_use]
    pub const fn control_call() -> Self {
        Self::GRANTED
    }
}

impl Pipeline {
    /// Permission to send a request now, or the reason why it must not be sent. Takes a token if
    /// the back end limits its request rate, even if the send fails afterwards.
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

    /// Permission to send a health check or a cache query, which take a slot like requests. `None`
    /// if the back end's rate limit does not allow it.
    pub(super) fn permit_check(&self, back_end: &BackEnd) -> Option<SendPermit> {
        let is_allowed = self.placement().rate_limits.take(back_end, now());
        is_allowed.then_some(SendPermit::GRANTED)
    }
}
