//! Header names used between callers, daemons and back ends.

/// Id of the caller's request; back ends echo it in their answers.
pub const REQUEST_ID: &str = "x-request-id";
/// Priority level of a request to an engine; 0 is the highest.
pub const PRIORITY: &str = "x-priority";
/// Remaining time that the caller waits for the answer, in milliseconds.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Tenant of the request; `default` if the header is absent.
pub const TENANT: &str = "x-tenant";
/// Idempotency key that the caller chose for a request that must run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Id of the last received event; a resumed stream continues with the next one.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Back end that ran the request; set in each answer of a daemon.
pub const BACK_END: &str = "x-back-end";
/// Set by a back end in an error answer to state that it did not run the request.
pub const NOT_RUN: &str = "x-not-run";
