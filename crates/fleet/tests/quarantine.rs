//! What is known of requests under which engines ended.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::fingerprint::{RequestContent, RequestFingerprint};
use ponddrift_fleet::quarantine::{LostRun, QUARANTINE_DURATION, Quarantine, Standing, Suspicion};

/// Time of a run before its engine ends.
const RUN: Duration = Duration::from_millis(60);

fn fingerprint(number: u32) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        tenant: None,
        method: "POST",
        host: "models.example",
        path: "/tag/",
        body: &number.to_le_bytes(),
    })
}

fn request() -> RequestFingerprint {
    fingerprint(0)
}

fn run(engine: &str, ended: Instant) -> LostRun {
    LostRun {
        engine: Arc::from(engine),
        begun: ended - RUN,
        ended,
    }
}

/// A time far enough from the clock's start that runs may begin before it.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

/// Loses runs at engines 0 to `engines`, one after the other; returns when the last ended.
fn lose(known: &mut Quarantine, engines: u32, begin: Instant) -> Instant {
    let mut at = begin;
    for engine in 0..engines {
        at = begin + RUN * 2 * (engine + 1);
        known.record_lost_run(request(), 0, run(&format!("i-{engine}"), at), at);
    }
    at
}

#[test]
fn two_engines_raise_suspicion_and_three_quarantine() {
    let begin = start();
    for (engines, expected) in [
        (0, "clear"),
        (1, "clear"),
        (2, "suspected"),
        (3, "quarantined"),
    ] {
        let mut known = Quarantine::default();
        let now = lose(&mut known, engines, begin);
        assert_eq!(known.standing(request(), now).as_str(), expected);
        assert_eq!(known.standing(fingerprint(1), now), Standing::Clear);
    }
}

#[test]
fn an_engine_counts_once_however_often_it_is_told() {
    let mut known = Quarantine::default();
    let now = start();
    for later in 0..5 {
        let at = now + RUN * 2 * later;
        known.record_lost_run(request(), 0, run("i-1", at), at);
    }
    assert_eq!(known.standing(request(), now), Standing::Clear);
}

#[test]
fn runs_that_overlap_count_as_one() {
    let mut known = Quarantine::default();
    let now = start();
    for (engine, later_ms) in [("i-1", 0), ("i-2", 20), ("i-3", 59)] {
        let at = now + Duration::from_millis(later_ms);
        known.record_lost_run(request(), 0, run(engine, at), at);
    }
    assert_eq!(known.standing(request(), now + RUN), Standing::Clear);
}

/// Runs may wait long at busy engines: they overlap, and still have different causes.
#[test]
fn long_runs_count_each_where_their_engines_ended_one_after_the_other() {
    let mut known = Quarantine::default();
    let begun = start();
    for (engine, ended_s) in [("i-1", 2), ("i-2", 3), ("i-3", 4)] {
        let ended = begun + Duration::from_secs(ended_s);
        let engine = Arc::from(engine);
        let lost = LostRun {
            engine,
            begun,
            ended,
        };
        known.record_lost_run(request(), 0, lost, ended);
    }
    let now = begun + Duration::from_secs(4);
    assert!(known.standing(request(), now).is_quarantined());
}

/// A large fleet loses fifty engines a second to one request; each run takes a fifth of a second.
#[test]
fn many_overlapping_runs_do_not_push_the_row_out_of_memory() {
    let mut known = Quarantine::default();
    let begin = start();
    let mut quarantined_after = None;
    for engine in 0..50 {
        let ended = begin + Duration::from_millis(20 * engine);
        let lost = LostRun {
            engine: Arc::from(format!("i-{engine}")),
            begun: ended - Duration::from_millis(200),
            ended,
        };
        known.record_lost_run(request(), 0, lost, ended);
        if known.standing(request(), ended).is_quarantined() {
            quarantined_after = Some(ended - begin);
            break;
        }
    }
    assert_eq!(quarantined_after, Some(Duration::from_millis(400)));
}

#[test]
fn a_good_run_clears_what_was_before_it() {
    let mut known = Quarantine::default();
    let now = lose(&mut known, 3, start());
    assert!(known.record_good_run(request(), now));
    assert_eq!(known.standing(request(), now), Standing::Clear);
    let again = now + RUN * 2;
    known.record_lost_run(request(), 0, run("i-9", again), again);
    assert_eq!(known.standing(request(), again), Standing::Clear);
}

#[test]
fn a_good_run_of_an_unknown_request_is_not_remembered() {
    let mut known = Quarantine::default();
    assert!(!known.record_good_run(request(), start()));
    assert!(known.is_empty());
}

#[test]
fn after_the_quarantine_one_more_engine_brings_it_back() {
    let mut known = Quarantine::default();
    let ended = lose(&mut known, 3, start());
    let later = ended + QUARANTINE_DURATION;
    assert_eq!(known.standing(request(), later), Standing::Suspected);
    known.record_lost_run(request(), 0, run("i-9", later), later);
    assert!(known.standing(request(), later).is_quarantined());
}

#[test]
fn what_an_operator_released_is_tried_again_and_held_again() {
    let mut known = Quarantine::default();
    let ended = lose(&mut known, 3, start());
    known.record_stored(request(), ended);
    assert!(known.unstored(ended).is_empty());
    let later = ended + RUN;
    known.record_released(request(), later);
    assert_eq!(known.standing(request(), later), Standing::Suspected);
    assert!(known.unstored(later).is_empty(), "it is not filed again");
    let again = later + RUN * 2;
    known.record_lost_run(request(), 0, run("i-9", again), again);
    assert!(known.standing(request(), again).is_quarantined());
    assert_eq!(known.unstored(again).len(), 1);
}

#[test]
fn what_the_store_holds_is_in_force_without_anything_else() {
    let mut known = Quarantine::default();
    let now = start();
    known.record_stored(request(), now);
    assert!(known.standing(request(), now).is_quarantined());
    known.forget_old(now + QUARANTINE_DURATION);
    assert_eq!(known.standing(request(), now + QUARANTINE_DURATION), Standing::Clear);
}

#[test]
fn a_cleared_quarantine_is_taken_out_of_the_store_once() {
    let mut known = Quarantine::default();
    let now = lose(&mut known, 3, start());
    known.record_stored(request(), now);
    known.record_good_run(request(), now);
    assert_eq!(known.take_releases(), [request()]);
    assert!(known.take_releases().is_empty());
}

#[test]
fn a_thousand_suspects_of_one_tenant_push_out_nobody_elses() {
    let mut known = Quarantine::default();
    let ended = lose(&mut known, 3, start());
    for number in 1..2_000 {
        let at = ended + RUN * number;
        let lost = run(&format!("i-{number}"), at);
        known.record_lost_run(fingerprint(number), 7, lost, at);
    }
    assert!(
        known.counts(ended).remembered <= 513,
        "{}",
        known.counts(ended).remembered
    );
    assert!(known.standing(request(), ended).is_quarantined());
}

#[test]
fn memory_is_bounded_and_the_quarantined_stay_longest() {
    let mut known = Quarantine::default();
    let ended = lose(&mut known, 3, start());
    for number in 1..6_000 {
        let at = ended + Duration::from_millis(u64::from(number));
        known.record_lost_run(fingerprint(number), 0, run("i-x", at), at);
    }
    assert!(
        known.counts(ended).remembered <= 4_096,
        "{}",
        known.counts(ended).remembered
    );
    assert!(known.standing(request(), ended).is_quarantined());
}

#[test]
fn what_nothing_confirms_is_forgotten() {
    let mut known = Quarantine::default();
    let ended = lose(&mut known, 1, start());
    known.forget_old(ended + QUARANTINE_DURATION);
    assert_eq!(known.counts(ended).remembered, 1);
    known.forget_old(ended + QUARANTINE_DURATION * 2);
    assert!(known.is_empty());
}

/// Daemons that are told the same in any order, again and in parts end with the same.
#[test]
fn news_in_any_order_leads_to_the_same() {
    let begin = start();
    bolero::check!()
        .with_type::<(Vec<(u8, u16)>, Option<u16>, Vec<u8>)>()
        .for_each(|(runs, cleared, order)| {
            let at = |ms: u16| begin + Duration::from_millis(u64::from(ms));
            let mut engines: Vec<(u8, u16)> = runs.iter().take(8).copied().collect();
            engines.sort_unstable();
            engines.dedup_by_key(|(engine, _ms)| *engine);
            let mut news: Vec<Suspicion> = engines
                .iter()
                .map(|(engine, ms)| Suspicion {
                    fingerprint: request(),
                    tenant: 0,
                    lost_runs: vec![run(&format!("i-{engine}"), at(*ms))],
                    cleared: None,
                })
                .collect();
            news.extend(cleared.map(|ms| Suspicion {
                fingerprint: request(),
                tenant: 0,
                lost_runs: Vec::new(),
                cleared: Some(at(ms)),
            }));
            let now = at(u16::MAX);
            let mut in_order = Quarantine::default();
            for one in &news {
                in_order.merge(one, now);
            }
            let mut shuffled = Quarantine::default();
            let picks = order.iter().map(|pick| usize::from(*pick));
            for pick in picks.chain((0..news.len()).rev()) {
                if let Some(one) = news.get(pick) {
                    shuffled.merge(one, now);
                }
            }
            assert_eq!(
                in_order.standing(request(), now),
                shuffled.standing(request(), now)
            );
        });
}
