//! Since when a service has had a single version.

use std::sync::Arc;
use std::time::Duration;

use ponddrift_fleet::version_history::{MAX_UNRECORDED_STREAM_AGE, VersionHistory};

const START: Duration = Duration::from_secs(1_800_000_000);

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

#[test]
fn the_first_version_of_a_fleet_began_all_streams() {
    let mut history = VersionHistory::begin(true);
    assert!(history.record(&name("models"), Some(&name("v1")), START));
    assert!(!history.record(&name("models"), Some(&name("v1")), START));
    let version = history.version_of_all_streams("models", START);
    assert_eq!(version, Some(&name("v1")));
    assert_eq!(history.version_of_all_streams("others", START), None);
}

#[test]
fn a_later_version_began_all_streams_only_after_the_greatest_age_of_a_stream() {
    let mut history = VersionHistory::begin(true);
    let second = START + Duration::from_secs(60);
    history.record(&name("models"), Some(&name("v1")), START);
    assert!(history.record(&name("models"), None, START));
    assert_eq!(history.version_of_all_streams("models", second), None);
    assert!(history.record(&name("models"), Some(&name("v2")), second));
    let end = second + MAX_UNRECORDED_STREAM_AGE;
    let just_before = end - Duration::from_secs(1);
    assert_eq!(history.version_of_all_streams("models", just_before), None);
    let version = history.version_of_all_streams("models", end);
    assert_eq!(version, Some(&name("v2")));
}

#[test]
fn a_version_that_returns_did_not_begin_all_streams() {
    let mut history = VersionHistory::begin(true);
    for version in ["v1", "v2", "v1"] {
        history.record(&name("models"), Some(&name(version)), START);
    }
    assert_eq!(history.version_of_all_streams("models", START), None);
}

#[test]
fn a_history_that_begins_later_knows_nothing_of_earlier_versions() {
    let mut history = VersionHistory::begin(false);
    history.record(&name("models"), Some(&name("v1")), START);
    assert_eq!(history.version_of_all_streams("models", START), None);
    let end = START + MAX_UNRECORDED_STREAM_AGE;
    assert!(history.version_of_all_streams("models", end).is_some());
    // A clock that is behind counts as no time.
    assert_eq!(
        history.version_of_all_streams("models", Duration::ZERO),
        None
    );
}

#[test]
fn a_copy_that_is_out_of_date_does_not_take_changes_back() {
    let mut history = VersionHistory::begin(true);
    history.record(&name("models"), Some(&name("v1")), START);
    let copy = history.clone();
    history.record(&name("models"), Some(&name("v2")), START);
    let newest = history.clone();
    history.merge(copy.clone());
    assert_eq!(history, newest);
    let mut restored = copy;
    restored.merge(newest.clone());
    assert_eq!(restored, newest);
}
