//! The interface to the provider, which supplies the machines and bills the tenants. An adapter
//! implements [`Provider`].

use std::sync::Arc;

use futures::future::BoxFuture;
use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::usage::{TenantCounts, WindowNumber};

/// The leader on whose behalf a call is made.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Name of the leading daemon.
    pub holder: Arc<str>,
    /// Fencing token of its leadership.
    pub fencing_token: u64,
}

/// Why a call to the provider was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProviderError {
    /// The provider has seen a higher fencing token.
    #[error("the provider has seen a higher fencing token: another daemon leads, this one stops")]
    Fenced,
    /// The provider has no such engines available now.
    #[error("the provider has no such engines available now; the order is retried with pauses")]
    Unavailable,
    /// The provider rejected the call, for example because of a rate limit. Holds the HTTP status.
    #[error("the provider rejects calls now (status {0}); the call is retried with pauses")]
    Refused(u16),
    /// No answer arrived; the call may still take effect, possibly later.
    #[error("the provider did not answer: {0}; the same call is retried with pauses")]
    Silent(String),
}

/// The label value of a call's result in metrics.
pub(crate) const fn result_name(ended: &Result<(), ProviderError>) -> &'static str {
    match ended {
        Ok(()) => "taken",
        Err(ProviderError::Fenced) => "fenced",
        Err(ProviderError::Unavailable) => "unavailable",
        Err(ProviderError::Refused(_)) => "refused",
        Err(ProviderError::Silent(_)) => "silent",
    }
}

/// The number of engines of one contract that a service is to have in a zone.
#[derive(Debug, Clone, Copy)]
pub struct EngineOrder<'a> {
    /// Service that the engines run.
    pub service: &'a str,
    /// Zone in which the engines run.
    pub zone: &'a str,
    /// Contract, which determines how long the engines stay.
    pub contract: Contract,
    /// Desired total number of engines, including those that exist already.
    pub count: u32,
}

/// Access to the provider.
pub trait Provider: Send + Sync + 'static {
    /// Reports how many requests of each tenant started to run in a window. Sending the same report
    /// again is harmless.
    fn report_usage<'a>(
        &'a self,
        caller: &'a Caller,
        window: WindowNumber,
        counts: &'a TenantCounts,
    ) -> BoxFuture<'a, Result<(), ProviderError>>;

    /// Sets the desired number of engines; a lower number than before releases engines.
    fn order_engines<'a>(
        &'a self,
        caller: &'a Caller,
        order: &'a EngineOrder<'_>,
    ) -> BoxFuture<'a, Result<(), ProviderError>>;
}
