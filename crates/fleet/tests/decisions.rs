//! Tests the directory, back-end health, the retry budget and the event splitter.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::budget::{BudgetSettings, RetryBudget};
use ponddrift_fleet::capacity::Contract;
use ponddrift_fleet::directory::{
    BackEnd, ColdStart, Directory, Incarnation, Lifecycle, PutOutcome,
};
use ponddrift_fleet::events::{EventError, EventSplitter, MAXIMUM_EVENT_BYTES};
use ponddrift_fleet::health::{FIRST_CHECK_DELAY, Health, MAX_CHECK_DELAY, Outcome};
use ponddrift_fleet::revision::{Era, Revision};
use ponddrift_fleet::store_doubt::REWRITE_PERIOD;

/// Revision `number` of the first era.
fn at(number: u64) -> Revision {
    Revision::new(Era::FIRST, number).expect("small")
}

fn back_end(id: &str, lifecycle: Lifecycle) -> BackEnd {
    BackEnd {
        id: Arc::from(id),
        incarnation: Incarnation::default(),
        service: Arc::from("s"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        zone: Arc::from("a"),
        version: ponddrift_fleet::versions::SoftwareVersion::default(),
        slots: 1,
        lifecycle,
        stage: None,
        cold_start: None,
        contract: Contract::OnDemand,
    }
}

fn ready_ids(directory: &Directory, now: Instant) -> Vec<String> {
    let ready = directory.ready("s", now);
    ready.iter().map(|entry| entry.id.to_string()).collect()
}

#[test]
fn outdated_entries_of_a_back_end_are_ignored() {
    let now = Instant::now();
    let mut directory = Directory::default();
    assert_eq!(
        directory.put(back_end("a", Lifecycle::Draining), at(5), now),
        PutOutcome::Applied
    );
    assert_eq!(
        directory.put(back_end("a", Lifecycle::Ready), at(4), now),
        PutOutcome::Stale
    );
    assert_eq!(
        directory.put(back_end("a", Lifecycle::Ready), at(5), now),
        PutOutcome::Stale
    );
    assert!(ready_ids(&directory, now).is_empty());
    assert!(directory.remove("a", at(6), now, None));
    assert_eq!(
        directory.put(back_end("a", Lifecycle::Ready), at(5), now),
        PutOutcome::Stale,
        "the tombstone remains"
    );
}

#[test]
fn back_ends_are_kept_for_a_while_if_most_entries_vanish_in_doubt() {
    let now = Instant::now();
    let mut directory = Directory::default();
    for (id, revision) in [("a", 1), ("b", 2), ("c", 3)] {
        directory.put(back_end(id, Lifecycle::Ready), at(revision), Instant::now());
    }
    directory.remove("a", at(4), now, Some(now + REWRITE_PERIOD));
    assert_eq!(
        ready_ids(&directory, now),
        ["b", "c"],
        "a single back end has left"
    );
    directory.remove("b", at(5), now, Some(now + REWRITE_PERIOD));
    directory.remove("c", at(6), now, Some(now + REWRITE_PERIOD));
    assert_eq!(ready_ids(&directory, now).len(), 3);
    assert!(ready_ids(&directory, now + REWRITE_PERIOD).is_empty());
}

/// The platform guarantees that running back ends reappear about two seconds after the store.
#[test]
fn an_entry_still_missing_after_the_grace_period_is_gone() {
    let now = Instant::now();
    let mut directory = Directory::default();
    for (id, revision) in [("a", 1), ("b", 2)] {
        directory.put(back_end(id, Lifecycle::Ready), at(revision), Instant::now());
        directory.remove(id, at(revision + 10), now, Some(now + REWRITE_PERIOD));
    }
    directory.put(back_end("a", Lifecycle::Ready), at(20), Instant::now());
    let later = now + Duration::from_secs(3);
    assert_eq!(ready_ids(&directory, later), ["a"]);
}

#[test]
fn a_slow_start_ends_at_its_announced_time() {
    let now = Instant::now();
    let seconds = Duration::from_secs;
    let begun = ColdStart::observe(seconds(8), None, now);
    assert!((begun.remaining_fraction(now) - 1.0).abs() < 1e-9);
    let later = now + seconds(4);
    let halfway = ColdStart::observe(seconds(4), Some(begun), later);
    assert!((halfway.remaining_fraction(later) - 0.5).abs() < 1e-9);
    assert!((begun.remaining_fraction(later) - 0.5).abs() < 1e-9);
    assert!(begun.remaining_fraction(now + seconds(9)) < 1e-9);
}

#[test]
fn entries_that_vanish_from_a_healthy_store_are_removed() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.put(back_end("a", Lifecycle::Ready), at(1), Instant::now());
    directory.remove("a", at(2), now, None);
    assert!(ready_ids(&directory, now).is_empty());
}

#[test]
fn one_failed_connection_ejects_and_ejections_grow() {
    let id: Arc<str> = Arc::from("a");
    let mut now = Instant::now();
    let mut health = Health::default();
    let first = health.record(&id, Outcome::Unreachable, now);
    assert_eq!(first, Some(FIRST_CHECK_DELAY));
    assert!(health.is_ejected(&id));
    assert_eq!(
        health.record(&id, Outcome::Unreachable, now),
        None,
        "already ejected"
    );
    let mut last = FIRST_CHECK_DELAY;
    for _ in 0..8 {
        now += last;
        let next = health.record_failed_check(&id, now).expect("known");
        assert!(next >= last && next <= MAX_CHECK_DELAY);
        last = next;
    }
    health.reinstate(&id);
    assert!(!health.is_ejected(&id));
}

#[test]
fn error_answers_raise_the_cost_but_never_eject() {
    let id: Arc<str> = Arc::from("a");
    let mut health = Health::default();
    for _ in 0..50 {
        assert_eq!(health.record(&id, Outcome::Error, Instant::now()), None);
    }
    assert!(!health.is_ejected(&id));
    assert!(health.cost_factor(&id) > 5.0);
    assert!((health.cost_factor("unknown") - 1.0).abs() < f64::EPSILON);
}

fn budget(daemons: usize) -> RetryBudget {
    let mut budget = RetryBudget::new(BudgetSettings {
        ratio: 0.2,
        slack: 50.0,
    });
    budget.set_daemons(daemons);
    budget
}

#[test]
fn a_new_budget_has_nothing_saved() {
    let service = Arc::from("s");
    let mut budget = budget(5);
    assert!(!budget.take(&service));
}

#[test]
fn retries_of_all_daemons_stay_within_ratio_and_slack() {
    const DAEMONS: usize = 7;
    const REQUESTS: usize = 200;
    let service = Arc::from("s");
    let mut retries = 0;
    for _ in 0..DAEMONS {
        let mut budget = budget(DAEMONS);
        for _ in 0..1_000 {
            budget.earn(&service);
        }
        for _ in 0..REQUESTS {
            budget.earn(&service);
            while budget.take(&service) {
                retries += 1;
            }
        }
    }
    let requests = DAEMONS * REQUESTS;
    assert!(retries <= requests / 5 + 50, "{retries}");
}

#[test]
fn events_are_split_correctly_for_any_chunk_size() {
    let text = b"id: 4\nweights: 2\ndata: x\n\nid:5\r\ndata: y\r\n\r\ndata: z\n\nid: 6\nda";
    for size in 1..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in text.chunks(size) {
            splitter.push(chunk);
            while let Some(event) = splitter.next_event().expect("a short event") {
                events.push(event);
            }
        }
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(4), Some(5), None], "chunks of {size} bytes");
        let bytes: Vec<u8> = events
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .collect();
        assert_eq!(bytes, text[..text.len() - "id: 6\nda".len()]);
        assert!(splitter.has_partial_event());
    }
}

#[test]
fn an_oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAXIMUM_EVENT_BYTES + 1]);
    assert_eq!(splitter.next_event(), Err(EventError::TooLong));
}
