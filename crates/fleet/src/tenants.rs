//! Which tenant a caller's API key belongs to.
//!
//! A key is resolved once, when a request is taken in; from there on the request carries its tenant. Neither logs nor
//! error texts can hold a key: its `Debug` form is redacted and it has no `Display`.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// A secret that names its tenant.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Longest key in bytes. Longer ones cannot be in any configuration, and are not kept.
    pub const MAXIMUM_BYTES: usize = 256;

    /// Reads a key; none if it is empty, too long, or not printable ASCII without blanks.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_sound = !text.is_empty()
            && text.len() <= Self::MAXIMUM_BYTES
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_sound.then(|| Self(Arc::from(text)))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(redacted)")
    }
}

/// What a request says of who sends it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Credential {
    /// Nothing.
    #[default]
    Missing,
    /// One key.
    Key(ApiKey),
    /// Several keys, or something that cannot be a key.
    Malformed,
}

/// A customer whose requests are counted and ranked together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// Name.
    pub name: Arc<str>,
    /// Rank of its requests; 0 is the most urgent. None where the configuration ranks it like all others.
    pub priority: Option<u8>,
    /// Keys that authenticate it; it may have none.
    pub api_keys: Vec<ApiKey>,
}

/// A request whose credential names no tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the request's API key is missing or not known: send a valid key")]
pub struct Unauthenticated;

/// The tenants of one configuration, by key. A look-up costs the same for any number of keys.
#[derive(Debug, Default)]
pub struct TenantTable {
    /// None for a key that several tenants claim: it cannot be decided whose request it would be.
    by_key: HashMap<ApiKey, Option<Arc<Tenant>>>,
}

impl TenantTable {
    /// The table of these tenants.
    #[must_use]
    pub fn new(tenants: &[Arc<Tenant>]) -> Self {
        let mut by_key: HashMap<ApiKey, Option<Arc<Tenant>>> = HashMap::new();
        for tenant in tenants {
            for key in &tenant.api_keys {
                by_key
                    .entry(key.clone())
                    .and_modify(|holder| {
                        let is_same = holder
                            .as_ref()
                            .is_some_and(|known| known.name == tenant.name);
                        if !is_same {
                            *holder = None;
                        }
                    })
                    .or_insert_with(|| Some(Arc::clone(tenant)));
            }
        }
        Self { by_key }
    }

    /// Keys that more than one tenant claims; they authenticate nobody.
    #[must_use]
    pub fn ambiguous_keys(&self) -> usize {
        self.by_key
            .values()
            .filter(|holder| holder.is_none())
            .count()
    }

    /// The tenant that `credential` authenticates.
    ///
    /// # Errors
    /// [`Unauthenticated`], the same for whatever is wrong, so that an answer does not reveal which keys exist.
    pub fn authenticate(&self, credential: &Credential) -> Result<&Arc<Tenant>, Unauthenticated> {
        let Credential::Key(key) = credential else {
            return Err(Unauthenticated);
        };
        let holder = self.by_key.get(key).ok_or(Unauthenticated)?;
        holder.as_ref().ok_or(Unauthenticated)
    }
}
