//! Guards against revisions of a restored store being mistaken for older ones, and against a
//! changed encoding in the first era.

use ponddrift_fleet::revision::{Era, Revision};

fn revision(restores: u64, number: u64) -> Revision {
    let era = Era::after_restores(restores).expect("few");
    Revision::new(era, number).expect("small")
}

#[test]
fn a_later_era_is_newer_whatever_the_number() {
    assert!(revision(1, 0) > revision(0, u64::from(u32::MAX)));
    assert!(revision(2, 7) > revision(1, 39));
    assert!(revision(1, 39) > revision(1, 38));
    assert_eq!(revision(3, 41).era(), Era::after_restores(3).expect("few"));
    assert_eq!(revision(3, 41).number(), 41);
    assert_eq!(revision(3, 41).to_string(), "3.41");
}

/// Daemons of builds without eras use bare numbers.
#[test]
fn in_the_first_era_a_revision_is_encoded_as_its_number() {
    let first = revision(0, 39);
    assert_eq!(first.as_token(), 39);
    let bytes = borsh::to_vec(&first).expect("bytes");
    assert_eq!(bytes, borsh::to_vec(&39_u64).expect("bytes"));
}

#[test]
fn tokens_increase_with_the_era_and_are_exact_in_json() {
    /// Many JSON parsers round integers above this.
    const MAX_EXACT_JSON_INTEGER: u64 = 1 << 53;
    assert!(revision(1, 1).as_token() > revision(0, 1_000_000).as_token());
    let last_era = (0..).find(|restores| Era::after_restores(*restores).is_none());
    let last_era = last_era.expect("bounded") - 1;
    assert!(revision(last_era, (1 << 40) - 1).as_token() < MAX_EXACT_JSON_INTEGER);
}

#[test]
fn numbers_out_of_range_are_rejected() {
    assert_eq!(Era::after_restores(u64::MAX), None);
    assert_eq!(Revision::new(Era::FIRST, u64::MAX), None);
}

#[test]
fn back_by_stops_at_the_beginning_of_the_era() {
    assert_eq!(revision(2, 100).back_by(30), revision(2, 70));
    assert_eq!(revision(2, 100).back_by(10_000), revision(2, 0));
}
