//! Resource use of this process, as reported by the operating system.

use std::fs;

/// Size of a memory page on the supported systems.
const PAGE_BYTES: u64 = 4096;

/// Resident memory in bytes; 0 if `/proc` does not report it.
#[must_use]
pub fn resident_memory_bytes() -> u64 {
    let Ok(text) = fs::read_to_string("/proc/self/statm") else {
        return 0;
    };
    let pages = text.split_whitespace().nth(1);
    let pages: Option<u64> = pages.and_then(|pages| pages.parse().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Number of open file descriptors; 0 if `/proc` does not report it.
#[must_use]
pub fn open_file_descriptors() -> usize {
    fs::read_dir("/proc/self/fd").map_or(0, Iterator::count)
}
