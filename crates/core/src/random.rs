//! Seeded random generators of the decision logic.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Random generator used throughout this crate.
pub type SeededRandom = Pcg64Mcg;

/// Creates the generator of one component.
///
/// Components use different `stream` names, so that draws in one do not affect the sequence of
/// another.
#[must_use]
pub fn seeded(seed: u64, stream: &str) -> SeededRandom {
    let mixed = xxhash_rust::xxh3::xxh3_64_with_seed(stream.as_bytes(), seed);
    SeededRandom::seed_from_u64(mixed)
}
