//! Recognizes a request that comes again: a caller's next try has another identity, but the same content.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest, Sha256};

/// Bytes of a fingerprint. Two of a million different requests share one with a chance below 1e-26.
const BYTES: usize = 16;

/// What makes two requests the same.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Name of the tenant that sends it; none where callers are not told apart.
    pub tenant: Option<&'a str>,
    /// Method.
    pub method: &'a str,
    /// Host that it is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

/// Fingerprint of a request's content. Collision-resistant, so that nobody can craft a request that is taken for
/// somebody else's.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct RequestFingerprint([u8; BYTES]);

impl RequestFingerprint {
    /// The fingerprint of this content. Costs some tens of microseconds for a long prompt.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Sha256::new();
        let tenant = content.tenant.map(str::as_bytes);
        hasher.update([u8::from(tenant.is_some())]);
        let texts = [
            tenant.unwrap_or_default(),
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
        ];
        for text in texts {
            // The length before each part keeps "ab" + "c" apart from "a" + "bc".
            hasher.update(text.len().to_le_bytes());
            hasher.update(text);
        }
        hasher.update(content.body);
        let mut bytes = [0; BYTES];
        for (to, from) in bytes.iter_mut().zip(hasher.finalize()) {
            *to = from;
        }
        Self(bytes)
    }

    /// The first of all in their order.
    pub const MIN: Self = Self([0; BYTES]);

    /// Its bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Reads the form that [`fmt::Display`] writes; none if it is not one.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == BYTES * 2 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return None;
        }
        let mut bytes = [0; BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(text.get(index * 2..index * 2 + 2)?, 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
