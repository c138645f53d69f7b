//! Tests the times that refused callers are told, and the recognition of those who come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::fingerprint::{RequestContent, RequestFingerprint};
use ponddrift_fleet::scarcity::returns::{
    MAX_PAUSE, MAX_PROMISES, Promise, Refusal, Return, Returns, SharedPromise,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn service() -> Arc<str> {
    Arc::from("s")
}

fn fingerprint(number: usize) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        tenant: None,
        method: "POST",
        host: "h",
        path: "/",
        body: &number.to_le_bytes(),
    })
}

/// A turn after this time.
fn turn(after: Duration) -> Promise {
    Promise {
        after,
        is_too_late: false,
        has_turn: true,
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn promises_leave_every_caller_time_for_its_run_or_say_that_none_is_left() {
    // Load: any backlog, deadline and time of a run, of callers that are refused one after another.
    bolero::check!()
        .with_type::<Vec<(u16, u16, u16, u8)>>()
        .for_each(|refusals| {
            let now = Instant::now();
            let mut returns = Returns::default();
            for (room_in, time_left, run, draw) in refusals {
                let refusal = Refusal {
                    room_in: ms(u64::from(*room_in)),
                    time_left: Some(ms(u64::from(*time_left))),
                    run: ms(u64::from(*run)),
                    interval: None,
                    may_have_turn: true,
                };
                let draw = f64::from(*draw) / 256.0;
                let promise = returns.promise(&service(), refusal, draw, now);
                // Callers come back within a third of their time, and the run needs some of it.
                let latest = refusal.time_left.map(|left| {
                    left.saturating_sub(refusal.run)
                        .min(left.mul_f64(1.0 / 3.0))
                });
                assert!(promise.after <= MAX_PAUSE);
                if promise.is_too_late {
                    assert!(latest < Some(refusal.room_in.max(ms(20))));
                } else {
                    assert!(promise.after >= refusal.room_in.min(MAX_PAUSE));
                    assert!(Some(promise.after) <= latest);
                }
            }
        });
}

#[test]
fn callers_refused_in_a_peak_come_back_at_the_rate_at_which_work_ends() {
    // Load: 50 requests a second end; 100 callers are refused at once, with 10 s left each.
    const PER_SECOND: u32 = 50;
    let start = Instant::now();
    let mut returns = Returns::default();
    for number in 0..10 * PER_SECOND {
        returns.record_end(&service(), start + ms(1_000) * number / PER_SECOND);
    }
    let now = start + ms(10_000);
    let mut random = Pcg64Mcg::seed_from_u64(3);
    let mut times: Vec<Duration> = (0..100)
        .map(|_caller| {
            let refusal = Refusal {
                room_in: ms(200),
                time_left: Some(ms(10_000)),
                run: ms(100),
                interval: None,
                may_have_turn: true,
            };
            let draw = random.random_range(0.0..1.0);
            returns.promise(&service(), refusal, draw, now).after
        })
        .collect();
    times.sort_unstable();
    assert!(times[0] >= ms(200), "not before there is room: {times:?}");
    // Those that return in any half second fit what ends in it, with a quarter for chance.
    for begin in (200..3_000).step_by(100) {
        let window = ms(begin)..ms(begin + 500);
        let back = times.iter().filter(|time| window.contains(time)).count();
        assert!(back <= 31, "{back} return within half a second of {begin}");
    }
    assert!(
        times[99] <= ms(3_500),
        "100 callers fit within 2 s, and a quarter of spread: {:?}",
        times[99]
    );
}

#[test]
fn a_caller_that_repeats_at_once_gains_nothing() {
    // Load: one caller that is told 400 ms and repeats every 20 ms, and a punctual one.
    let now = Instant::now();
    let mut returns = Returns::default();
    let (hasty, punctual) = (fingerprint(1), fingerprint(2));
    returns.remember("s", hasty, turn(ms(400)), now);
    returns.remember("s", punctual, turn(ms(400)), now);
    for repeat in 1..18 {
        let at = now + ms(20) * repeat;
        let remaining = ms(400) - ms(20) * repeat;
        assert_eq!(returns.arrive(&hasty, at), Return::Early { remaining });
        // Its time stays, whatever it would be told now.
        returns.remember("s", hasty, turn(ms(1_000)), at);
    }
    let due = now + ms(400);
    assert_eq!(returns.arrive(&punctual, due), Return::Punctual);
    assert_eq!(
        returns.arrive(&punctual, due + ms(5)),
        Return::New,
        "a promise is kept once"
    );
    assert_eq!(returns.arrive(&hasty, due), Return::Punctual);
    assert_eq!(returns.arrive(&fingerprint(3), due), Return::New);
}

#[test]
fn a_caller_that_comes_long_after_its_time_is_new() {
    // Load: one caller that comes back two seconds after its time.
    let now = Instant::now();
    let mut returns = Returns::default();
    returns.remember("s", fingerprint(1), turn(ms(100)), now);
    let late = now + ms(2_100);
    assert_eq!(returns.arrive(&fingerprint(1), late), Return::New);
    returns.expire(late);
    assert!(returns.is_empty());
}

#[test]
fn promises_of_other_daemons_merge_in_any_order() {
    // Load: promises of several daemons for a few requests, each delivered in two orders and twice.
    bolero::check!()
        .with_type::<Vec<(u8, u16, bool, bool)>>()
        .for_each(|rows| {
            let now = Instant::now();
            let promises: Vec<SharedPromise> = rows
                .iter()
                .map(|(request, due_ms, has_turn, is_kept)| SharedPromise {
                    service: 1,
                    fingerprint: fingerprint(usize::from(request % 8)),
                    due: now + ms(u64::from(due_ms % 4_000)),
                    has_turn: *has_turn,
                    is_kept: *is_kept,
                })
                .collect();
            let mut forward = Returns::default();
            for promise in &promises {
                forward.receive(*promise, now);
            }
            let mut backward = Returns::default();
            for promise in promises.iter().rev().chain(&promises) {
                backward.receive(*promise, now);
            }
            let at = now + ms(2_000);
            for request in 0..8 {
                let fingerprint = fingerprint(request);
                assert_eq!(
                    forward.arrive(&fingerprint, at),
                    backward.arrive(&fingerprint, at)
                );
            }
        });
}

#[test]
fn a_promise_kept_at_one_daemon_is_not_kept_at_another() {
    // Load: one caller that comes back to two daemons at its time.
    let now = Instant::now();
    let (mut first, mut second) = (Returns::default(), Returns::default());
    first.remember("s", fingerprint(1), turn(ms(300)), now);
    for promise in first.take_unpublished() {
        second.receive(promise, now);
    }
    let due = now + ms(300);
    assert_eq!(second.arrive(&fingerprint(1), due), Return::Punctual);
    for promise in second.take_unpublished() {
        first.receive(promise, due);
    }
    assert_eq!(first.arrive(&fingerprint(1), due), Return::New);
}

#[test]
fn the_memory_of_promises_is_bounded() {
    // Load: more refused callers than are remembered; the rest count as new.
    let now = Instant::now();
    let mut returns = Returns::default();
    for number in 0..=MAX_PROMISES {
        returns.remember("s", fingerprint(number), turn(ms(1_000)), now);
    }
    let due = now + ms(1_000);
    assert_eq!(returns.arrive(&fingerprint(0), due), Return::Punctual);
    let beyond = fingerprint(MAX_PROMISES);
    assert_eq!(returns.arrive(&beyond, due), Return::New);
    // Once those times have passed there is space again.
    let later = now + ms(5_000);
    returns.remember("s", beyond, turn(ms(100)), later);
    assert_eq!(returns.arrive(&beyond, later + ms(100)), Return::Punctual);
    // A time in a far future is no promise that a daemon makes.
    let absurd = SharedPromise {
        service: 1,
        fingerprint: fingerprint(MAX_PROMISES + 1),
        due: later + MAX_PAUSE * 2,
        has_turn: true,
        is_kept: false,
    };
    returns.receive(absurd, later);
    let arrival = returns.arrive(&absurd.fingerprint, later);
    assert_eq!(arrival, Return::New);
}
