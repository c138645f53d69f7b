//! Guards against requests that crash engines staying in use, and against quarantining innocent
//! requests.

use std::time::{Duration, Instant};

use ponddrift_fleet::directory::IncarnationId;
use ponddrift_fleet::fingerprint::{Fingerprint, RequestContent};
use ponddrift_fleet::quarantine::{
    LostRun, QUARANTINE_DURATION, Quarantine, Standing, SuspectKind, Suspicion,
};

/// Duration of a run before its engine terminates.
const RUN_DURATION: Duration = Duration::from_millis(60);

fn fingerprint(number: u32) -> Fingerprint {
    Fingerprint::of(&RequestContent {
        tenant: None,
        method: "POST",
        host: "models.example",
        path: "/tag/",
        body: &number.to_le_bytes(),
    })
}

fn request() -> Fingerprint {
    fingerprint(0)
}

fn run(engine: &str, ended: Instant) -> LostRun {
    LostRun {
        request: 0,
        engine: IncarnationId::parse(engine),
        begun: ended - RUN_DURATION,
        ended,
    }
}

/// A time late enough that runs may start before it.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

/// Whether [`request`] may run now.
fn may_run(quarantine: &Quarantine, now: Instant) -> bool {
    let standing = quarantine.standing(request(), now);
    matches!(standing, Standing::Clear | Standing::Suspected)
}

/// Loses one run after the other on engines 0 to `engines`; returns the time of the last
/// termination.
fn lose_runs(quarantine: &mut Quarantine, engines: u32, begin: Instant) -> Instant {
    let mut ended_at = begin;
    for engine in 0..engines {
        ended_at = begin + RUN_DURATION * 2 * (engine + 1);
        quarantine.record_lost_run(
            request(),
            SuspectKind::Request,
            0,
            run(&format!("i-{engine}"), ended_at),
            ended_at,
        );
    }
    ended_at
}

#[test]
fn two_terminated_engines_raise_suspicion_and_three_quarantine() {
    let begin = start();
    for (engines, expected) in [
        (0, "clear"),
        (1, "clear"),
        (2, "suspected"),
        (3, "quarantined"),
    ] {
        let mut quarantine = Quarantine::default();
        let ended = lose_runs(&mut quarantine, engines, begin);
        assert_eq!(
            may_run(&quarantine, ended),
            engines < 3,
            "{engines} engines"
        );
        let now = ended + DECISION_TIME;
        quarantine.refresh(now);
        assert_eq!(quarantine.standing(request(), now).as_str(), expected);
        assert_eq!(quarantine.standing(fingerprint(1), now), Standing::Clear);
    }
}

/// Time after the deciding termination until a request is quarantined. It may not run meanwhile.
const DECISION_TIME: Duration = Duration::from_millis(100);
/// Time for daemons to exchange what they lost at an engine.
const EXCHANGE_TIME: Duration = Duration::from_millis(40);

/// Another daemon reports what crashed the engines some milliseconds after this one lost a sound
/// request at each of them.
#[test]
fn a_sound_request_is_not_quarantined_before_peers_report_what_crashed_its_engines() {
    let (sound, cause) = (request(), fingerprint(1));
    let mut quarantine = Quarantine::default();
    let begin = start();
    let third = lose_runs(&mut quarantine, 3, begin);
    let lost_runs_of_cause = |engines: u32| {
        let mut known = Quarantine::default();
        lose_runs(&mut known, engines, begin);
        Suspicion {
            fingerprint: cause,
            ..known.suspicion(sound).expect("it was lost").clone()
        }
    };
    assert!(!quarantine.standing(sound, third).is_quarantined());
    let reported = third + EXCHANGE_TIME;
    quarantine.refresh(reported);
    assert!(!quarantine.standing(sound, reported).is_quarantined());
    quarantine.merge(&lost_runs_of_cause(3), reported);
    let later = reported + Duration::from_secs(1);
    quarantine.refresh(later);
    assert!(!quarantine.standing(sound, later).is_quarantined());
    quarantine.merge(&lost_runs_of_cause(4), later);
    let decided = later + Duration::from_secs(1);
    quarantine.refresh(decided);
    assert!(quarantine.standing(cause, decided).is_quarantined());
    assert!(!quarantine.standing(sound, decided).is_quarantined());
}

/// Peers send times as ages, so each report shifts them by its own delay. A request that is sent again as soon as
/// its engine has ended must not look as if its runs had overlapped.
#[test]
fn successive_runs_stay_successive_when_their_reports_were_delayed_differently() {
    let begin = start();
    let mut quarantine = Quarantine::default();
    let mut lost_runs = Vec::new();
    for (number, delay_ms) in [(0, 35), (1, 20), (2, 5)] {
        let begun = begin + RUN_DURATION * number;
        lost_runs.push(LostRun {
            request: 0,
            engine: IncarnationId::parse(&format!("i-{number}")),
            begun,
            ended: begun + RUN_DURATION,
        });
        let delay = Duration::from_millis(delay_ms);
        let as_received = lost_runs.iter().map(|run| LostRun {
            begun: run.begun + delay,
            ended: run.ended + delay,
            ..run.clone()
        });
        let report = Suspicion {
            fingerprint: request(),
            kind: SuspectKind::Request,
            tenant: 0,
            lost_runs: as_received.collect(),
            cleared: None,
        };
        quarantine.merge(&report, begun + RUN_DURATION + delay);
    }
    let decided = begin + RUN_DURATION * 3 + DECISION_TIME * 2;
    assert!(quarantine.standing(request(), decided).is_quarantined());
}

#[test]
fn an_engine_counts_once_however_often_it_is_reported() {
    let mut quarantine = Quarantine::default();
    let now = start();
    for later in 0..5 {
        let ended_at = now + RUN_DURATION * 2 * later;
        quarantine.record_lost_run(
            request(),
            SuspectKind::Request,
            0,
            run("i-1", ended_at),
            ended_at,
        );
    }
    assert_eq!(quarantine.standing(request(), now), Standing::Clear);
}

#[test]
fn engines_that_terminate_together_under_overlapping_runs_count_once() {
    let mut quarantine = Quarantine::default();
    let now = start();
    for (engine, later_ms) in [("i-1", 0), ("i-2", 20), ("i-3", 59)] {
        let ended_at = now + Duration::from_millis(later_ms);
        quarantine.record_lost_run(
            request(),
            SuspectKind::Request,
            0,
            run(engine, ended_at),
            ended_at,
        );
    }
    assert_eq!(
        quarantine.standing(request(), now + RUN_DURATION),
        Standing::Clear
    );
}

/// Runs may wait for a long time at busy engines: they overlap although their engines terminated
/// for different reasons.
#[test]
fn overlapping_long_runs_count_separately_if_their_engines_terminated_apart() {
    let mut quarantine = Quarantine::default();
    let begun = start();
    for (engine, ended_s) in [("i-1", 2), ("i-2", 3), ("i-3", 4)] {
        let ended = begun + Duration::from_secs(ended_s);
        let engine = IncarnationId::parse(engine);
        let lost = LostRun {
            request: 0,
            engine,
            begun,
            ended,
        };
        quarantine.record_lost_run(request(), SuspectKind::Request, 0, lost, ended);
    }
    let now = begun + Duration::from_secs(4);
    assert!(!may_run(&quarantine, now));
    let decided = now + DECISION_TIME;
    assert!(quarantine.standing(request(), decided).is_quarantined());
}

/// One request terminates fifty engines per second in a large fleet; each run takes 200 ms.
#[test]
fn many_overlapping_runs_do_not_evict_the_successive_ones() {
    let mut quarantine = Quarantine::default();
    let begin = start();
    let mut stopped_after = None;
    for engine in 0..50 {
        let ended = begin + Duration::from_millis(20 * engine);
        let lost = LostRun {
            request: 0,
            engine: IncarnationId::parse(&format!("i-{engine}")),
            begun: ended - Duration::from_millis(200),
            ended,
        };
        quarantine.record_lost_run(request(), SuspectKind::Request, 0, lost, ended);
        if !may_run(&quarantine, ended) {
            stopped_after = Some(ended - begin);
            let decided = ended + DECISION_TIME;
            assert!(quarantine.standing(request(), decided).is_quarantined());
            break;
        }
    }
    assert_eq!(stopped_after, Some(Duration::from_millis(400)));
}

#[test]
fn a_completed_run_clears_earlier_lost_runs() {
    let mut quarantine = Quarantine::default();
    let now = lose_runs(&mut quarantine, 3, start());
    assert!(quarantine.record_good_run(request(), now));
    assert_eq!(quarantine.standing(request(), now), Standing::Clear);
    let again = now + RUN_DURATION * 2;
    quarantine.record_lost_run(request(), SuspectKind::Request, 0, run("i-9", again), again);
    assert_eq!(quarantine.standing(request(), again), Standing::Clear);
}

#[test]
fn a_completed_run_of_an_unknown_request_is_not_remembered() {
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.record_good_run(request(), start()));
    assert!(quarantine.is_empty());
}

#[test]
fn one_more_lost_run_after_the_quarantine_renews_it() {
    let mut quarantine = Quarantine::default();
    let ended = lose_runs(&mut quarantine, 3, start());
    let later = ended + QUARANTINE_DURATION;
    assert_eq!(quarantine.standing(request(), later), Standing::Suspected);
    quarantine.record_lost_run(request(), SuspectKind::Request, 0, run("i-9", later), later);
    assert!(quarantine.standing(request(), later).is_quarantined());
}

#[test]
fn a_released_request_may_run_until_it_terminates_another_engine() {
    let mut quarantine = Quarantine::default();
    let ended = lose_runs(&mut quarantine, 3, start());
    quarantine.record_stored(request(), ended);
    assert!(quarantine.unstored(ended).is_empty());
    let later = ended + RUN_DURATION;
    quarantine.record_released(request(), later);
    assert_eq!(quarantine.standing(request(), later), Standing::Suspected);
    assert!(
        quarantine.unstored(later).is_empty(),
        "it is not stored again"
    );
    let again = later + RUN_DURATION * 2;
    quarantine.record_lost_run(request(), SuspectKind::Request, 0, run("i-9", again), again);
    assert!(quarantine.standing(request(), again).is_quarantined());
    assert_eq!(quarantine.unstored(again).len(), 1);
}

#[test]
fn a_stored_quarantine_applies_without_known_lost_runs() {
    let mut quarantine = Quarantine::default();
    let now = start();
    quarantine.record_stored(request(), now);
    assert!(quarantine.standing(request(), now).is_quarantined());
    quarantine.forget_old(now + QUARANTINE_DURATION);
    assert_eq!(
        quarantine.standing(request(), now + QUARANTINE_DURATION),
        Standing::Clear
    );
}

#[test]
fn a_cleared_quarantine_is_released_from_the_store_once() {
    let mut quarantine = Quarantine::default();
    let now = lose_runs(&mut quarantine, 3, start());
    quarantine.record_stored(request(), now);
    quarantine.record_good_run(request(), now);
    assert_eq!(quarantine.take_releases(), [request()]);
    assert!(quarantine.take_releases().is_empty());
}

#[test]
fn many_suspects_of_one_tenant_do_not_evict_those_of_others() {
    let mut quarantine = Quarantine::default();
    let ended = lose_runs(&mut quarantine, 3, start());
    for number in 1..2_000 {
        let ended_at = ended + RUN_DURATION * number;
        let lost = run(&format!("i-{number}"), ended_at);
        quarantine.record_lost_run(fingerprint(number), SuspectKind::Request, 7, lost, ended_at);
    }
    assert!(
        quarantine.counts(ended).remembered <= 513,
        "{}",
        quarantine.counts(ended).remembered
    );
    assert!(!may_run(&quarantine, ended));
    let decided = ended + DECISION_TIME;
    assert!(quarantine.standing(request(), decided).is_quarantined());
}

#[test]
fn memory_is_bounded_and_quarantined_requests_are_evicted_last() {
    let mut quarantine = Quarantine::default();
    let ended = lose_runs(&mut quarantine, 3, start());
    for number in 1..6_000 {
        let ended_at = ended + Duration::from_millis(u64::from(number));
        quarantine.record_lost_run(
            fingerprint(number),
            SuspectKind::Request,
            0,
            run("i-x", ended_at),
            ended_at,
        );
    }
    assert!(
        quarantine.counts(ended).remembered <= 4_096,
        "{}",
        quarantine.counts(ended).remembered
    );
    assert!(!may_run(&quarantine, ended));
    let decided = ended + DECISION_TIME;
    assert!(quarantine.standing(request(), decided).is_quarantined());
}

#[test]
fn requests_without_new_information_are_forgotten() {
    let mut quarantine = Quarantine::default();
    let ended = lose_runs(&mut quarantine, 1, start());
    quarantine.forget_old(ended + QUARANTINE_DURATION);
    assert_eq!(quarantine.counts(ended).remembered, 1);
    quarantine.forget_old(ended + QUARANTINE_DURATION * 2);
    assert!(quarantine.is_empty());
}

/// The result does not depend on the order, repetition or splitting of the merged information.
#[test]
fn merging_does_not_depend_on_order_or_repetition() {
    let start_time = start();
    bolero::check!()
        .with_type::<(Vec<(u8, u16)>, Option<u16>, Vec<u8>)>()
        .for_each(|(runs, cleared, order)| {
            let time_at = |ms: u16| start_time + Duration::from_millis(u64::from(ms));
            let mut engines: Vec<(u8, u16)> = runs.iter().take(8).copied().collect();
            engines.sort_unstable();
            engines.dedup_by_key(|(engine, _ms)| *engine);
            let mut news: Vec<Suspicion> = engines
                .iter()
                .map(|(engine, ms)| Suspicion {
                    fingerprint: request(),
                    kind: SuspectKind::Request,
                    tenant: 0,
                    lost_runs: vec![run(&format!("i-{engine}"), time_at(*ms))],
                    cleared: None,
                })
                .collect();
            news.extend(cleared.map(|ms| Suspicion {
                fingerprint: request(),
                kind: SuspectKind::Request,
                tenant: 0,
                lost_runs: Vec::new(),
                cleared: Some(time_at(ms)),
            }));
            let now = time_at(u16::MAX);
            let mut in_order = Quarantine::default();
            for suspicion in &news {
                in_order.merge(suspicion, now);
            }
            let mut shuffled = Quarantine::default();
            let picks = order.iter().map(|pick| usize::from(*pick));
            for pick in picks.chain((0..news.len()).rev()) {
                if let Some(suspicion) = news.get(pick) {
                    shuffled.merge(suspicion, now);
                }
            }
            assert_eq!(
                in_order.standing(request(), now),
                shuffled.standing(request(), now)
            );
        });
}
