//! Fingerprints of requests, which identify retries: a caller's retry has a new request id but the
//! same content. Parts of prompts have fingerprints as well.

use std::fmt;

use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest, Sha256};

/// Size of a fingerprint. The probability that two of a million requests collide is below 1e-26.
const BYTES: usize = 16;

/// The parts of a request that its fingerprint covers.
#[derive(Debug, Clone, Copy)]
pub struct RequestContent<'a> {
    /// Name of the tenant; `None` if callers are not authenticated.
    pub tenant: Option<&'a str>,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the request is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Complete body.
    pub body: &'a [u8],
}

/// A part of prompts, as its fingerprint covers it.
#[derive(Debug, Clone, Copy)]
pub struct PartContent<'a> {
    /// Name of the tenant; `None` if callers are not authenticated.
    pub tenant: Option<&'a str>,
    /// Service that runs the prompts.
    pub service: &'a str,
    /// ID of the part.
    pub part: &'a str,
}

/// Fingerprint of the content of a request, or of a part of prompts. It is collision-resistant, so
/// that no caller can craft a request that is mistaken for a request of another caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, BorshSerialize, BorshDeserialize)]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of the content.
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
            // The length before each part distinguishes "ab" + "c" from "a" + "bc".
            hasher.update(text.len().to_le_bytes());
            hasher.update(text);
        }
        hasher.update(content.body);
        Self::finish(hasher)
    }

    /// Computes the fingerprint of a part of prompts.
    #[must_use]
    pub fn of_part(content: &PartContent<'_>) -> Self {
        /// Differs from the first byte of a request's content.
        const PART: u8 = 2;
        let mut hasher = Sha256::new();
        let tenant = content.tenant.map(str::as_bytes);
        hasher.update([PART, u8::from(tenant.is_some())]);
        let texts = [
            tenant.unwrap_or_default(),
            content.service.as_bytes(),
            content.part.as_bytes(),
        ];
        for text in texts {
            hasher.update(text.len().to_le_bytes());
            hasher.update(text);
        }
        Self::finish(hasher)
    }

    fn finish(hasher: Sha256) -> Self {
        let mut bytes = [0; BYTES];
        for (to, from) in bytes.iter_mut().zip(hasher.finalize()) {
            *to = from;
        }
        Self(bytes)
    }

    /// The first four bytes; only for uses in which a collision is harmless.
    #[must_use]
    pub fn short(&self) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_le_bytes([a, b, c, d])
    }

    /// The smallest fingerprint.
    pub const MIN: Self = Self([0; BYTES]);

    /// The bytes of the fingerprint.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Parses the format that [`fmt::Display`] writes; `None` if the text has another format.
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

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
