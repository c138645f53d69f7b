//! Maps API keys to tenants.
//!
//! A key is resolved once, when a request is accepted; from then on the request carries its tenant.
//! Keys must not appear in logs or error messages: the `Debug` output of a key is redacted and it
//! has no `Display`.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// A secret that identifies a tenant.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Maximum key length in bytes. Longer keys cannot be in any configuration and are not stored.
    pub const MAXIMUM_BYTES: usize = 256;

    /// Parses a key; `None` if it is empty, too long, or contains anything but printable ASCII
    /// without spaces.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_valid = !text.is_empty()
            && text.len() <= Self::MAXIMUM_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_valid.then(|| Self(Arc::from(text)))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(redacted)")
    }
}

/// Credentials sent with a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    #[default]
    Missing,
    /// Exactly one key.
    Key(ApiKey),
    /// Several keys, or a value that cannot be a key.
    Malformed,
}

/// A customer whose requests are counted and prioritized together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Priority of its requests; 0 is the most urgent. `None` if the configuration sets none.
    pub priority: Option<u8>,
    /// Keys that authenticate the tenant; may be empty.
    pub api_keys: Vec<ApiKey>,
}

/// The request's credential does not identify a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request's API key is missing or not known: send a valid key")]
pub struct Unauthenticated;

/// Tenants of one configuration, by key. Lookups take constant time.
#[derive(Debug, Default)]
pub struct TenantTable {
    /// `None` for a key claimed by several tenants, whose owner is ambiguous.
    by_key: HashMap<ApiKey, Option<Arc<Tenant>>>,
}

impl TenantTable {
    /// Builds the table of these tenants.
    #[must_use]
    pub fn new(tenants: &[Arc<Tenant>]) -> Self {
        let mut by_key: HashMap<ApiKey, Option<Arc<Tenant>>> = HashMap::new();
        for tenant in tenants {
            for key in &tenant.api_keys {
                by_key
                    .entry(key.clone())
                    .and_modify(|owner| {
                        let is_same = owner
                            .as_ref()
                            .is_some_and(|known| known.name == tenant.name);
                        if !is_same {
                            *owner = None;
                        }
                    })
                    .or_insert_with(|| Some(Arc::clone(tenant)));
            }
        }
        Self { by_key }
    }

    /// Number of keys claimed by more than one tenant; they authenticate nobody.
    #[must_use]
    pub fn ambiguous_keys(&self) -> usize {
        self.by_key.values().filter(|owner| owner.is_none()).count()
    }

    /// Returns the tenant that `credential` authenticates.
    ///
    /// # Errors
    /// [`Unauthenticated`] in all cases, so that the answer does not reveal which keys exist.
    pub fn authenticate(&self, credential: &Credential) -> Result<&Arc<Tenant>, Unauthenticated> {
        let Credential::Key(key) = credential else {
            return Err(Unauthenticated);
        };
        let owner = self.by_key.get(key).ok_or(Unauthenticated)?;
        owner.as_ref().ok_or(Unauthenticated)
    }
}
