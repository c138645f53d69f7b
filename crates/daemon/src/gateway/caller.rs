//! Parses the request headers that clients set, and looks up the requested service.

use std::time::Duration;

use http::HeaderMap;
use ponddrift_core::configuration::{Configuration, ServiceSettings};
use ponddrift_core::{ServiceName, TenantName};
use ponddrift_engine::wire::headers;
use ponddrift_http::{Problem, ProblemKind};

/// Tenant of requests without a tenant header.
const DEFAULT_TENANT: &str = "default";
/// Maximum length of an idempotency key, in bytes.
const IDEMPOTENCY_KEY_LIMIT: usize = 255;

/// Parsed headers of a client request.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) tenant: TenantName,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) traceparent: Option<String>,
}

impl Caller {
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, Problem> {
        Ok(Self {
            tenant: read_tenant(headers)?,
            idempotency_key: read_idempotency_key(headers)?,
            deadline: read_deadline(headers)?,
            traceparent: text(headers, "traceparent")?.map(str::to_owned),
        })
    }

    /// Time limit of the request: the service's limit, or the caller's deadline if that is shorter.
    pub(crate) fn time_limit(&self, service: &ServiceSettings) -> Duration {
        let service_limit = Duration::from_millis(service.deadline_ms);
        self.deadline
            .map_or(service_limit, |deadline| deadline.min(service_limit))
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_not_ascii| {
        bad_request(format!(
            "the header {name} contains characters other than visible ASCII"
        ))
    })
}

fn read_tenant(headers: &HeaderMap) -> Result<TenantName, Problem> {
    let name = text(headers, headers::TENANT)?.unwrap_or(DEFAULT_TENANT);
    TenantName::new(name).map_err(|error| bad_request(format!("{}: {error}", headers::TENANT)))
}

fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let key = text(headers, headers::IDEMPOTENCY_KEY)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > IDEMPOTENCY_KEY_LIMIT) {
        return Err(bad_request(format!(
            "{} must have 1 to {IDEMPOTENCY_KEY_LIMIT} characters",
            headers::IDEMPOTENCY_KEY
        )));
    }
    Ok(key.map(str::to_owned))
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(value) = text(headers, headers::DEADLINE_MS)? else {
        return Ok(None);
    };
    let milliseconds: u64 = value.parse().map_err(|_not_number| {
        bad_request(format!(
            "{} must be a whole number of milliseconds",
            headers::DEADLINE_MS
        ))
    })?;
    Ok(Some(Duration::from_millis(milliseconds)))
}

/// Looks up a service by name.
///
/// # Errors
/// [`ProblemKind::UnknownService`] when the configuration has no such service.
pub(crate) fn find_service(
    configuration: &Configuration,
    name: &str,
) -> Result<(ServiceName, ServiceSettings), Problem> {
    let unknown = || {
        Problem::not_started(
            ProblemKind::UnknownService,
            format!("no service {name:?}; operators list them with SELECT name FROM services"),
        )
    };
    let name = ServiceName::new(name).map_err(|_invalid| unknown())?;
    let settings = configuration
        .services
        .get(&name)
        .cloned()
        .ok_or_else(unknown)?;
    Ok((name, settings))
}

pub(crate) fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::not_started(ProblemKind::BadRequest, detail)
}
