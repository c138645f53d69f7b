//! Which daemons share a back end's rate limit, and how much each may send.
//!
//! Every daemon works out alike, from the daemons that it knows, which few of them send to the back end at all and that each of these may
//! send an equal part of its rate. No message is needed for a send, and a daemon that is gone costs its part until the others know it.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RequestRate;

/// Lowest rate that is counted with, in requests a second. A back end that takes none, or less, gets a request in ten seconds: only an answer
/// shows that it takes more again.
pub const MIN_REQUESTS_PER_SECOND: f64 = 0.1;

/// Part of its share that a daemon sends which has contact neither to the store nor to all of its neighbours. Those may form the rest of the
/// fleet, who then share the whole rate: both sides together send a quarter too much, within the half that back ends bear. Without it
/// they sent 30 requests in 4 s of the 24 that a rate of 3.3 a second allows (9 simulated daemons, 5 of them cut off).
const UNCONFIRMED_PART: f64 = 0.25;

/// The daemons of the fleet, as far as this one knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    /// Identity of this daemon.
    pub own: u64,
    /// All daemons that are known to serve: zone and identity. This one among them once it is known.
    pub daemons: Vec<(Arc<str>, u64)>,
}

/// Whether what is known of the members can be relied on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum MembersTrust {
    /// The store is in contact, or all neighbours are.
    #[default]
    Confirmed,
    /// Neither.
    Unconfirmed,
}

/// What one daemon may send to a back end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Requests a second.
    pub per_second: f64,
    /// Requests that may be saved up.
    pub burst: f64,
}

impl Share {
    /// Nothing.
    pub const NONE: Self = Self {
        per_second: 0.0,
        burst: 0.0,
    };
}

/// A back end whose rate is shared.
#[derive(Debug, Clone, Copy)]
pub struct SharedBackEnd<'a> {
    /// Identity.
    pub id: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// Rate that it set.
    pub rate: RequestRate,
}

/// Seconds of a back end's rate that may be saved up by all daemons together, beside one request. With N a second they send 5.5 N + 1 at most
/// in any 4 s, of the 6 N + 5 that back ends bear: the rest is for views of the members that differ for a moment. With 95 daemons and 12
/// a second that is enough for 56 in 100 of the rate to be used where nothing else serves, against 46 with one second; two would
/// leave 4 requests for views that differ (`examples/shared_rates.rs`).
const SAVED_UP_S: f64 = 1.5;

/// Requests that all daemons together may have saved up for a back end with this rate.
fn saved_up(rate: f64) -> f64 {
    1.0 + rate * SAVED_UP_S
}

/// Daemons that may send to a back end at all: each may save up a request.
fn most_holders(rate: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative; casts saturate"
    )]
    let whole = saved_up(rate) as usize;
    whole
}

impl Members {
    /// What this daemon may send to the back end.
    #[must_use]
    pub fn own_share(&self, back_end: SharedBackEnd<'_>, trust: MembersTrust) -> Share {
        let rate = back_end.rate.per_second().max(MIN_REQUESTS_PER_SECOND);
        let holders = most_holders(rate).min(self.daemons.len());
        if holders == 0 || !self.is_holder(back_end, holders) {
            return Share::NONE;
        }
        #[expect(clippy::cast_precision_loss, reason = "some thousand daemons")]
        let holders = holders as f64;
        let part = rate / holders;
        match trust {
            MembersTrust::Confirmed => Share {
                per_second: part,
                burst: saved_up(rate) / holders,
            },
            MembersTrust::Unconfirmed => Share {
                per_second: part * UNCONFIRMED_PART,
                burst: 1.0,
            },
        }
    }

    /// Whether this daemon is one of the first so many in the back end's order of the daemons.
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

/// Place of a daemon in the back end's order: those of its zone first, then by how early the back end comes in the daemon's own order of
/// back ends, so that it is among those that the daemon chooses from.
fn rank(back_end: SharedBackEnd<'_>, (zone, daemon): &(Arc<str>, u64)) -> (bool, u64) {
    let order = xxh3_64_with_seed(back_end.id.as_bytes(), *daemon);
    (**zone != *back_end.zone, order)
}
