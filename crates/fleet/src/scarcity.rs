//! Sharing of room while callers want more than the back ends can do.
//!
//! - [`demand`]: what the tenants of each service want and get, over all daemons
//! - [`room`]: whether a plain service has room for a request, and who goes first if not
//! - [`returns`]: when a refused caller may come back, and whether it came back at that time
//!
//! Everything here is used only where a deployment asks for it ([`OverloadSettings`]). Without news
//! of other daemons, each decision falls back to what this daemon sees itself.

pub mod demand;
pub mod returns;
pub mod room;

/// How requests are admitted while callers want more than the back ends can do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OverloadSettings {
    /// Whether room is shared out among priorities and tenants over all daemons, and refused
    /// callers are told when there is room.
    pub scarce: bool,
}

/// Hash under which daemons exchange the name of a service or tenant.
#[must_use]
pub fn name_hash(name: &str) -> u32 {
    #[expect(clippy::cast_possible_truncation, reason = "the low half of the hash")]
    let hash = xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32;
    hash
}
