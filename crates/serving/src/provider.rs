//! What an adapter brings from whoever provides the machines and bills the tenants.

use std::sync::Arc;

use futures::future::BoxFuture;
use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::usage::{TenantCounts, WindowNumber};

/// On whose behalf a call is made.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The leader's name.
    pub holder: Arc<str>,
    /// Its fencing token.
    pub fencing_token: u64,
}

/// A call to the provider that was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProviderError {
    /// A higher fencing token was seen.
    #[error("a call with a higher fencing token was seen: another daemon leads, this one stops")]
    Fenced,
    /// There are no such engines to be had there now.
    #[error("no such engines are to be had now; the order is repeated with pauses")]
    Unavailable,
    /// Too many calls in a second, or none taken now.
    #[error("the provider takes no calls now (status {0}); the call is repeated with pauses")]
    Refused(u16),
    /// No answer: it may be carried out, also later.
    #[error("the provider did not answer: {0}; the same call is repeated with pauses")]
    Silent(String),
}

/// The name of a call's result in metrics.
pub(crate) const fn result_name(ended: &Result<(), ProviderError>) -> &'static str {
    match ended {
        Ok(()) => "taken",
        Err(ProviderError::Fenced) => "fenced",
        Err(ProviderError::Unavailable) => "unavailable",
        Err(ProviderError::Refused(_)) => "refused",
        Err(ProviderError::Silent(_)) => "silent",
    }
}

/// How many engines of a kind a service is to have in a zone.
#[derive(Debug, Clone, Copy)]
pub struct EngineOrder<'a> {
    /// Service.
    pub service: &'a str,
    /// Zone.
    pub zone: &'a str,
    /// How long they stay.
    pub contract: Contract,
    /// How many there are to be, those that are there among them.
    pub count: u32,
}

/// The provider.
pub trait Provider: Send + Sync + 'static {
    /// Reports how many requests of each tenant began to run in a window. The same report may be sent again.
    fn report_usage<'a>(
        &'a self,
        caller: &'a Caller,
        window: WindowNumber,
        counts: &'a TenantCounts,
    ) -> BoxFuture<'a, Result<(), ProviderError>>;

    /// Orders engines, or gives them back.
    fn order_engines<'a>(
        &'a self,
        caller: &'a Caller,
        order: &'a EngineOrder<'_>,
    ) -> BoxFuture<'a, Result<(), ProviderError>>;
}
