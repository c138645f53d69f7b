//! Entries that cannot be decoded: another party may write under the back ends' prefix. Guards
//! against such an entry leaving the back end that it replaced in use, or taking others with it.

use std::sync::Arc;
use std::time::Instant;

use bolero::{TypeGenerator, check};
use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::directory::{BackEnd, Directory, Incarnation, Lifecycle, PutOutcome};
use ponddrift_fleet::revision::{Era, Revision};

/// Revision `number` of the era after `restores` restores.
fn revision(restores: u64, number: u64) -> Revision {
    let era = Era::after_restores(restores).expect("few");
    Revision::new(era, number).expect("small")
}

fn back_end(id: &str, lifecycle: Lifecycle) -> BackEnd {
    BackEnd {
        id: Arc::from(id),
        incarnation: Incarnation(1),
        service: Arc::from("records"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: Arc::from("z"),
        version: ponddrift_fleet::versions::SoftwareVersion::default(),
        slots: 1,
        lifecycle,
        stage: None,
        cold_start: None,
        contract: Contract::OnDemand,
    }
}

fn ready_ids(directory: &Directory, now: Instant) -> Vec<String> {
    let ready = directory.ready("records", now);
    ready.iter().map(|known| known.id.to_string()).collect()
}

#[test]
fn only_the_back_end_whose_entry_was_replaced_is_out_of_use_until_it_is_written_again() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end("a", Lifecycle::Ready), revision(0, 1), now);
    directory.put(back_end("b", Lifecycle::Ready), revision(0, 2), now);
    assert!(directory.take_out_of_use("a", revision(0, 3), now));
    assert_eq!(ready_ids(&directory, now), ["b"]);
    assert!(!directory.accepts_requests("a", now));
    let late = directory.put(back_end("a", Lifecycle::Ready), revision(0, 2), now);
    assert_eq!(late, PutOutcome::Stale, "an earlier entry arrives later");
    let outcome = directory.put(back_end("a", Lifecycle::Ready), revision(0, 4), now);
    assert_eq!(outcome, PutOutcome::Applied);
    assert!(directory.accepts_requests("a", now));
    assert!(!directory.take_out_of_use("a", revision(0, 3), now));
    assert!(directory.accepts_requests("a", now), "late");
}

/// Unlike an entry that expires, a written entry does not result from an unavailable store.
#[test]
fn an_unusable_entry_in_a_restored_store_is_not_an_unconfirmed_removal() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end("a", Lifecycle::Ready), revision(0, 9), now);
    directory.take_out_of_use("a", revision(1, 5), now);
    assert!(!directory.accepts_requests("a", now));
    directory.put(back_end("a", Lifecycle::Ready), revision(1, 6), now);
    assert!(directory.accepts_requests("a", now));
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Written {
    Ready,
    Draining,
    Unusable,
    Removed,
}

fn apply(directory: &mut Directory, written: Written, revision: Revision, now: Instant) {
    match written {
        Written::Ready => {
            directory.put(back_end("a", Lifecycle::Ready), revision, now);
        }
        Written::Draining => {
            directory.put(back_end("a", Lifecycle::Draining), revision, now);
        }
        Written::Unusable => {
            directory.take_out_of_use("a", revision, now);
        }
        Written::Removed => {
            directory.remove("a", revision, now, None);
        }
    }
}

#[test]
fn writes_in_any_order_and_with_duplicates_have_the_effect_of_the_newest() {
    check!()
        .with_type::<(Vec<Written>, Vec<u8>)>()
        .for_each(|(history, order)| {
            let now = Instant::now();
            let mut directory = Directory::default();
            let mut newest = None;
            for position in order {
                let position = usize::from(*position);
                let Some(written) = history.get(position) else {
                    continue;
                };
                let number = u64::try_from(position).expect("small") + 1;
                apply(&mut directory, *written, revision(0, number), now);
                newest = newest.max(Some(position));
            }
            let is_ready = newest.is_some_and(|newest| matches!(history[newest], Written::Ready));
            assert_eq!(directory.accepts_requests("a", now), is_ready);
            assert_eq!(ready_ids(&directory, now).len(), usize::from(is_ready));
        });
}
