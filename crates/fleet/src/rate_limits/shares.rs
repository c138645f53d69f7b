//! Division of a back end's rate limit among the daemons.
//!
//! From the daemons that it knows, every daemon computes the same small set of holders that may
//! send to the back end, and each holder may send an equal part of the rate. Sending a request
//! needs no coordination. The part of a daemon that terminates stays unused until the others know
//! of it.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RequestRate;

/// Lowest rate used in the calculation. A back end that announces less, or zero, still receives one
/// request every ten seconds, because only an answer can show that it accepts more again.
pub const MIN_REQUESTS_PER_SECOND: f64 = 0.1;

/// Fraction of its share that a daemon uses while it reaches neither the store nor all of its
/// neighbours. The unreachable daemons may form the rest of the fleet and divide the whole rate
/// among themselves. Both sides together then exceed the rate by a quarter, within the half that
/// back ends tolerate. With the full share, 9 daemons of which 5 were partitioned sent 30 requests
/// in 4 s of the 24 that a rate of 3.3 per second allows.
const UNCONFIRMED_FRACTION: f64 = 0.25;

/// The members of the fleet that this daemon knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    /// Identity of this daemon.
    pub own: u64,
    /// Zone and identity of all daemons known to be serving, including this one once it is known.
    pub daemons: Vec<(Arc<str>, u64)>,
}

/// Whether the known members are reliable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum MembersTrust {
    /// The store or all neighbours are reachable.
    #[default]
    Confirmed,
    /// Neither the store nor all neighbours are reachable.
    Unconfirmed,
}

/// Share of one daemon in the rate limit of a back end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub per_second: f64,
    /// Maximum number of unused tokens that accumulate.
    pub burst: f64,
}

impl Share {
    /// No share: no request may be sent.
    pub const NONE: Self = Self {
        per_second: 0.0,
        burst: 0.0,
    };
}

/// A back end whose rate limit is shared.
#[derive(Debug, Clone, Copy)]
pub struct SharedBackEnd<'a> {
    /// Id of the back end.
    pub id: &'a str,
    /// Zone of the back end.
    pub zone: &'a str,
    /// Rate limit that it announced.
    pub rate: RequestRate,
}

/// Seconds of the rate that may accumulate as tokens over all daemons, in addition to one request.
/// At rate N the daemons send at most 5.5 N + 1 requests in any 4 s, of the 6 N + 5 that back ends
/// tolerate. The difference allows for views of the members that differ temporarily; two seconds
/// would leave 4 requests for them. With one second, 95 daemons can use only 46% of a rate of 12
/// per second, and 56% with this value.
const ACCUMULATION_S: f64 = 1.5;

/// Maximum number of tokens that all daemons together may accumulate for a back end with this rate.
fn max_accumulated_tokens(rate: f64) -> f64 {
    1.0 + rate * ACCUMULATION_S
}

/// Maximum number of daemons that share a rate, such that each may accumulate one token.
fn max_holders(rate: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative; casts saturate"
    )]
    let whole = max_accumulated_tokens(rate) as usize;
    whole
}

impl Members {
    /// Share of this daemon in the back end's rate limit.
    #[must_use]
    pub fn own_share(&self, back_end: SharedBackEnd<'_>, trust: MembersTrust) -> Share {
        let rate = back_end.rate.per_second().max(MIN_REQUESTS_PER_SECOND);
        let holders = max_holders(rate).min(self.daemons.len());
        if holders == 0 || !self.is_holder(back_end, holders) {
            return Share::NONE;
        }
        #[expect(clippy::cast_precision_loss, reason = "some thousand daemons")]
        let holders = holders as f64;
        let part = rate / holders;
        match trust {
            MembersTrust::Confirmed => Share {
                per_second: part,
                burst: max_accumulated_tokens(rate) / holders,
            },
            MembersTrust::Unconfirmed => Share {
                per_second: part * UNCONFIRMED_FRACTION,
                burst: 1.0,
            },
        }
    }

    /// Whether this daemon is among the first `holders` daemons in the back end's order.
    #[must_use]
    pub fn is_holder(&self, back_end: SharedBackEnd<'_>, holders: usize) -> bool {
        let mut daemons = self.daemons.iter();
        let Some(own) = daemons.find(|(_zone, daemon)| *daemon == self.own) else {
            return false;
        };
        let own_rank = rank(back_end, own);
        let before = self
            .daemons
            .iter()
            .filter(|daemon| rank(back_end, daemon) < own_rank);
        before.take(holders).count() < holders
    }
}

/// Sort key of a daemon in the back end's order. Daemons of the back end's zone come first, then
/// those that rank the back end early in their own order of preference, so that it is among their
/// candidates.
fn rank(back_end: SharedBackEnd<'_>, (zone, daemon): &(Arc<str>, u64)) -> (bool, u64) {
    let order = xxh3_64_with_seed(back_end.id.as_bytes(), *daemon);
    (**zone != *back_end.zone, order)
}
