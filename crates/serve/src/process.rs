//! What the system tells of this process.

use std::fs;

/// Bytes in a page of memory on the systems that this runs on.
const PAGE_BYTES: u64 = 4096;

/// Resident memory; 0 where the system does not tell.
#[must_use]
pub fn memory_bytes() -> u64 {
    let Ok(text) = fs::read_to_string("/proc/self/statm") else {
        return 0;
    };
    let pages = text.split_whitespace().nth(1);
    let pages: Option<u64> = pages.and_then(|pages| pages.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Open descriptors; 0 where the system does not tell.
#[must_use]
pub fn descriptors() -> usize {
    fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}
