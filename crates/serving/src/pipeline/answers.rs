//! Answers that the daemon itself gives. They are sent at once, state whether the request may have
//! run, and tell the caller when to retry if it did not run.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use ponddrift_http::body::{self, Body};
use rand::RngExt;

use super::Pipeline;

/// Range of the retry delay as a share of the caller's remaining time: long enough for a load peak
/// to pass, short enough for another try.
const RETRY_AFTER_SHARE: (f64, f64) = (0.1, 0.33);
/// Assumed remaining time of a caller if it is unknown.
const DEFAULT_TIME_LEFT: Duration = Duration::from_millis(1_500);

/// Why a request got no answer from a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Failure {
    /// No configuration has been loaded yet.
    NotReady,
    /// This daemon is stopping; other daemons can serve the request.
    Stopping,
    /// No route matches the request.
    NoRoute,
    /// The request carries no valid API key.
    Unauthenticated,
    /// The request head carries no request ID.
    MissingRequestId,
    /// The request head is larger than the configuration allows.
    HeadTooLarge,
    /// The request body is larger than the configuration allows.
    BodyTooLarge,
    /// The request body did not arrive in time.
    BodyTooSlow,
    /// Engines exited while they ran the request earlier. It was not run now and will be refused
    /// for another `remaining`.
    Quarantined {
        /// Time until the quarantine ends.
        remaining: Duration,
    },
    /// The request did not run: all suitable back ends asked callers to back off or limit their
    /// request rate.
    BackingOff {
        /// Time until the first back end takes the request.
        remaining: Duration,
    },
    /// The request did not run: there is no room for it in time.
    NoRoom {
        /// Why, for the caller.
        reason: &'static str,
        /// Time after which there is room.
        room_in: Duration,
        /// Expected time of the run.
        run: Duration,
        /// Time between two ends of work that this daemon's callers may follow, if known.
        interval: Option<Duration>,
    },
    /// The request certainly did not run.
    NotRun(&'static str),
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The request may have run, and its deadline has passed.
    TimedOut(&'static str),
}

impl Failure {
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::NotReady
            | Self::Stopping
            | Self::NotRun(_)
            | Self::BackingOff { .. }
            | Self::NoRoom { .. }
            | Self::Quarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::MissingRequestId => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::MayHaveRun(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::NotReady => "no configuration is known yet: come back later",
            Self::Stopping => "this daemon stops: ask again, another will serve",
            Self::NoRoute => "no route fits host and path: check them against the configuration",
            Self::Unauthenticated => "the API key is missing or not valid: send a valid one",
            Self::MissingRequestId => "the request names no identity: set it",
            Self::HeadTooLarge => "the head is larger than the configuration allows: send less",
            Self::BodyTooLarge => "the body is larger than the configuration allows: send less",
            Self::BodyTooSlow => "the body did not come in time: send it faster",
            Self::Quarantined { .. } => {
                "engines ended while they ran this request: it is not run for now, change it or ask the operators"
            }
            Self::BackingOff { .. } => {
                "all back ends asked for a pause or limit their requests: come back when the first takes this one"
            }
            Self::NoRoom { reason, .. }
            | Self::NotRun(reason)
            | Self::MayHaveRun(reason)
            | Self::TimedOut(reason) => reason,
        }
    }
}

impl Pipeline {
    /// Builds the answer that reports a failure. `pause` is the value of `Retry-After`.
    pub(super) fn failure_answer(
        &self,
        failure: Failure,
        id: Option<&str>,
        pause: Option<Duration>,
    ) -> Response<Body> {
        let mut response = Response::new(body::full(failure.reason()));
        *response.status_mut() = failure.status();
        let headers = response.headers_mut();
        let text = HeaderValue::from_static("text/plain; charset=utf-8");
        headers.insert(header::CONTENT_TYPE, text);
        if let Some(id) = id {
            self.dialect.mark_own_answer(headers, id);
        }
        if let Some(pause) = pause
            && let Ok(value) = HeaderValue::from_str(&format!("{:.2}", pause.as_secs_f64()))
        {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }

    /// Value of `Retry-After`; `None` if the request may have run or must not be retried unchanged.
    pub(super) fn retry_after(
        &self,
        failure: Failure,
        time_left: Option<Duration>,
    ) -> Option<Duration> {
        match failure {
            Failure::NotReady | Failure::Stopping | Failure::NotRun(_) => {
                Some(self.retry_delay(time_left))
            }
            // An earlier retry would be refused again. The random delay keeps callers from retrying
            // all at once.
            Failure::BackingOff { remaining }
            | Failure::NoRoom {
                room_in: remaining, ..
            } => Some(remaining + self.retry_delay(time_left)),
            // Usually far beyond the caller's deadline, because an earlier retry would be refused
            // again.
            Failure::Quarantined { remaining } => Some(remaining),
            _ => None,
        }
    }

    /// Random delay that spreads the retries of callers refused at the same time, as a share of the
    /// caller's remaining time.
    fn retry_delay(&self, time_left: Option<Duration>) -> Duration {
        let (min_share, max_share) = RETRY_AFTER_SHARE;
        let remaining = time_left.unwrap_or(DEFAULT_TIME_LEFT);
        remaining.mul_f64(self.random().random_range(min_share..=max_share))
    }
}
