//! Rate limits of back ends: what holds of several answers, who shares a limit, what a share allows.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::directory::{BackEnd, Incarnation, TOMBSTONE_RETENTION};
use ponddrift_fleet::rate_limits::{
    Allowance, AnnouncedRate, MAX_REQUESTS_PER_SECOND, MIN_REQUESTS_PER_SECOND, Members, MembersTrust, RateAnswer,
    RateLimits, RateRecord, RequestRate, Share, SharedBackEnd, TokenBucket,
};
use support::engines;

/// Time over which back ends count their requests.
const WINDOW_S: f64 = 4.0;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

fn life(born: u64) -> BackEnd {
    BackEnd {
        incarnation: Incarnation(born),
        ..BackEnd::clone(&engines(0, 1)[0])
    }
}

fn at(milliseconds: u64, start: Instant) -> Instant {
    start + Duration::from_millis(milliseconds)
}

fn names(per_second: f64, sent: Instant) -> RateAnswer {
    RateAnswer {
        rate: AnnouncedRate::Limited(rate(per_second)),
        sent,
        request_ran: true,
    }
}

fn names_none(sent: Instant) -> RateAnswer {
    RateAnswer {
        rate: AnnouncedRate::Unlimited,
        sent,
        request_ran: true,
    }
}

/// So many daemons of so many zones, seen by the one with this number.
fn members(daemons: u64, zones: u64, own: u64) -> Arc<Members> {
    let zone = |daemon: u64| Arc::from(format!("z{}", daemon % zones));
    Arc::new(Members {
        own: own + 1,
        daemons: (0..daemons)
            .map(|daemon| (zone(daemon), daemon + 1))
            .collect(),
    })
}

/// Limits as a fleet's only daemon keeps them.
fn alone(now: Instant) -> RateLimits {
    let mut limits = RateLimits::default();
    limits.set_members(&members(1, 1, 0), MembersTrust::Confirmed, now);
    limits
}

#[test]
fn a_figure_that_is_no_rate_is_none() {
    for figure in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -0.1, -1e300] {
        assert_eq!(RequestRate::new(figure), None, "{figure}");
    }
    let huge = RequestRate::new(1e300).map(RequestRate::per_second);
    assert_eq!(huge, Some(MAX_REQUESTS_PER_SECOND));
}

#[test]
fn the_newest_word_counts_by_when_its_request_was_sent() {
    let start = Instant::now();
    let back_end = life(1);
    let mut limits = alone(start);
    assert_eq!(limits.limit(&back_end), None);
    limits.note(&back_end, names(5.0, at(100, start)), at(200, start));
    limits.note(&back_end, names(3.0, at(50, start)), at(300, start));
    assert_eq!(limits.limit(&back_end), Some(rate(5.0)), "sent before");
    limits.note(&back_end, names_none(at(250, start)), at(400, start));
    assert_eq!(
        limits.limit(&back_end),
        Some(rate(5.0)),
        "it may have been answered before the last one that named a rate"
    );
    limits.note(&back_end, names_none(at(301, start)), at(500, start));
    assert_eq!(limits.limit(&back_end), None, "lifted");
    limits.note(&back_end, names(4.0, at(120, start)), at(600, start));
    assert_eq!(limits.limit(&back_end), None, "an older word comes late");
    limits.note(&back_end, names(4.0, at(610, start)), at(620, start));
    assert_eq!(limits.limit(&back_end), Some(rate(4.0)));
}

#[test]
fn a_refusal_or_a_figure_that_cannot_be_read_lifts_no_limit() {
    let start = Instant::now();
    let back_end = life(1);
    let mut limits = alone(start);
    limits.note(&back_end, names(2.0, start), at(10, start));
    let refusal = RateAnswer {
        request_ran: false,
        ..names_none(at(20, start))
    };
    let unreadable = RateAnswer {
        rate: AnnouncedRate::Unreadable,
        ..names_none(at(20, start))
    };
    for answer in [refusal, unreadable] {
        limits.note(&back_end, answer, at(30, start));
        assert_eq!(limits.limit(&back_end), Some(rate(2.0)));
    }
}

#[test]
fn a_limit_ends_with_its_life_and_is_forgotten_some_time_after_the_entry() {
    let start = Instant::now();
    let mut limits = alone(start);
    limits.note(&life(5), names(2.0, start), start);
    assert_eq!(limits.limit(&life(6)), None, "a later life set none");
    limits.note(&life(6), names(1.0, start), start);
    limits.note(&life(5), names(3.0, at(9, start)), at(9, start));
    assert_eq!(limits.limit(&life(6)), Some(rate(1.0)));
    limits.forget_absent(|_id| false, start + TOMBSTONE_RETENTION / 2);
    assert_eq!(limits.limited().len(), 1, "its entry may have lapsed");
    limits.forget_absent(|_id| false, start + TOMBSTONE_RETENTION);
    assert!(limits.limited().is_empty());
}

/// Daemons that tell each other what they know end up with the same, in whatever order, and then have nothing more to tell.
#[test]
fn daemons_that_merge_in_any_order_know_the_same() {
    bolero::check!()
        .with_type::<Vec<(bool, bool, u8, u8, u8)>>()
        .for_each(|answers| {
            let start = Instant::now();
            let back_end = life(1);
            let mut daemons = [alone(start), alone(start)];
            for (daemon, names_one, sent, took, per_second) in answers {
                let sent = at(u64::from(*sent), start);
                let came = sent + Duration::from_millis(u64::from(*took));
                let answer = if *names_one {
                    names(f64::from(*per_second), sent)
                } else {
                    names_none(sent)
                };
                daemons[usize::from(*daemon)].note(&back_end, answer, came);
            }
            let [first, second] = &mut daemons;
            let known = |limits: &RateLimits| {
                let record = limits.record(&back_end.id).map(|(_life, record)| record);
                record.unwrap_or_default()
            };
            let (of_first, of_second): (RateRecord, RateRecord) = (known(first), known(second));
            let later = at(600, start);
            first.merge(&back_end, Incarnation(1), &of_second, later);
            second.merge(&back_end, Incarnation(1), &of_first, later);
            assert_eq!(known(first), known(second));
            assert_eq!(first.limit(&back_end), second.limit(&back_end));
            let again = first.merge(&back_end, Incarnation(1), &known(second), later);
            assert!(!again.peer_is_behind && again.change.is_none());
        });
}

#[test]
fn a_bucket_begins_empty_and_saves_up_no_more_than_its_bound() {
    let start = Instant::now();
    let mut bucket = TokenBucket::empty(start);
    assert_eq!(bucket.next(start), None);
    bucket.set(2.0, 1.0, start);
    assert!(!bucket.take(start), "empty");
    assert_eq!(bucket.next(start).map(|next| next > start), Some(true));
    assert!(bucket.take(at(500, start)));
    // Nothing is saved up over a suspension.
    let woken = at(60_000, start);
    assert!(bucket.take(woken));
    assert!(!bucket.take(woken));
    bucket.set(0.0, 0.0, at(60_500, start));
    bucket.set(2.0, 1.0, at(60_500, start));
    assert!(
        !bucket.take(at(60_500, start)),
        "a share that begins anew is empty"
    );
}

/// Shares of all daemons of a fleet at one back end.
fn shares(daemons: u64, zones: u64, zone: &str, per_second: f64) -> Vec<(u64, Share)> {
    let back_end = SharedBackEnd {
        id: "i-1",
        zone,
        rate: rate(per_second),
    };
    let of = |own| {
        let members = members(daemons, zones, own);
        members.own_share(back_end, MembersTrust::Confirmed)
    };
    (0..daemons).map(|own| (own, of(own))).collect()
}

#[test]
fn the_shares_of_all_daemons_are_the_rate_and_stay_within_what_back_ends_bear() {
    for daemons in [1, 2, 3, 9, 24, 95, 986] {
        for per_second in [0.1, 0.5, 1.0, 3.3, 4.0, 12.5, 40.0, 700.0] {
            let shares = shares(daemons, 3, "z1", per_second);
            let sum: f64 = shares.iter().map(|(_own, share)| share.per_second).sum();
            assert!((sum - per_second).abs() < 1e-6, "{daemons}: {sum}");
            let bursts: f64 = shares.iter().map(|(_own, share)| share.burst).sum();
            let worst = sum * WINDOW_S + bursts;
            let borne = 1.5 * per_second * WINDOW_S + 5.0;
            // What is left of it is for views of the members that differ for a moment.
            let left = 0.5 * per_second + 4.0 - 1e-6;
            assert!(worst + left <= borne, "{daemons}, {per_second}: {worst}");
        }
    }
}

#[test]
fn a_rate_of_nothing_is_asked_about_now_and_then() {
    let shares = shares(9, 3, "z1", 0.0);
    let sum: f64 = shares.iter().map(|(_own, share)| share.per_second).sum();
    assert!((sum - MIN_REQUESTS_PER_SECOND).abs() < 1e-9);
    assert_eq!(
        shares
            .iter()
            .filter(|(_own, share)| *share != Share::NONE)
            .count(),
        1
    );
}

#[test]
fn daemons_of_the_back_ends_zone_share_it_first_and_few_shares_move_when_one_goes() {
    let holders = |shares: Vec<(u64, Share)>| -> BTreeSet<u64> {
        let held = shares
            .into_iter()
            .filter(|(_own, share)| *share != Share::NONE);
        held.map(|(own, _share)| own).collect()
    };
    let of_95 = holders(shares(95, 5, "z2", 3.3));
    assert_eq!(of_95.len(), 5);
    assert!(of_95.iter().all(|own| own % 5 == 2), "{of_95:?}");
    let of_94 = holders(shares(94, 5, "z2", 3.3));
    assert!(of_95.symmetric_difference(&of_94).count() <= 2);
}

#[test]
fn a_daemon_without_its_peers_sends_a_quarter_and_one_that_is_no_member_nothing() {
    let back_end = SharedBackEnd {
        id: "i-1",
        zone: "z0",
        rate: rate(8.0),
    };
    let known = members(1, 1, 0);
    let whole = known.own_share(back_end, MembersTrust::Confirmed);
    let part = known.own_share(back_end, MembersTrust::Unconfirmed);
    assert!((part.per_second * 4.0 - whole.per_second).abs() < 1e-9);
    assert!(part.burst <= 1.0);
    for others in [members(3, 1, 7), Arc::new(Members::default())] {
        let none = others.own_share(back_end, MembersTrust::Confirmed);
        assert_eq!(none, Share::NONE);
    }
}

/// Whatever daemons come and go, with views that differ for up to a second, no window sees more than back ends bear.
#[test]
fn no_window_sees_more_than_the_back_end_bears_while_members_come_and_go() {
    bolero::check!()
        .with_type::<(Vec<(u8, u8)>, u8)>()
        .for_each(|(changes, rate_seed)| assert_no_window_sees_more(changes, *rate_seed));
}

/// An input that the test above came upon.
#[test]
fn no_window_sees_more_while_a_member_comes_or_goes_each_400_ms() {
    let changes = [
        (140, 127),
        (168, 51),
        (20, 80),
        (212, 165),
        (172, 243),
        (234, 0),
        (62, 172),
        (31, 63),
        (150, 22),
        (249, 71),
        (85, 44),
        (131, 248),
        (189, 48),
        (16, 21),
        (253, 26),
        (115, 6),
        (115, 135),
        (58, 58),
        (55, 240),
        (202, 92),
        (111, 32),
        (73, 88),
        (71, 215),
        (42, 101),
        (254, 36),
        (112, 82),
        (149, 123),
        (91, 48),
        (85, 188),
        (4, 59),
        (67, 94),
        (11, 126),
        (112, 251),
        (32, 6),
        (201, 66),
        (166, 251),
        (208, 6),
        (163, 13),
        (51, 71),
    ];
    assert_no_window_sees_more(&changes, 201);
}

/// `changes` are daemons that come or go, and how differently late others see it.
fn assert_no_window_sees_more(changes: &[(u8, u8)], rate_seed: u8) {
    /// Time between two steps, in which each daemon sends as often as it may.
    const STEP_MS: u64 = 50;
    const VIEW_LAG_MS: u64 = 1_000;
    let start = Instant::now();
    let per_second = 0.1 + f64::from(rate_seed) / 8.0;
    let back_end = life(1);
    let fleet = 12_u64;
    let mut limits: Vec<RateLimits> = (0..fleet).map(|_| RateLimits::default()).collect();
    let mut present: Vec<bool> = (0..fleet).map(|number| number % 2 == 0).collect();
    // What each daemon will see, and from when on; each view in its turn.
    let mut views: Vec<Vec<(u64, Arc<Members>)>> = Vec::new();
    for (own, known) in (0..).zip(&mut limits) {
        known.note(&back_end, names(per_second, start), start);
        views.push(vec![(0, view_of(&present, own))]);
    }
    let mut changes = changes.iter().take(40);
    let mut sent: Vec<u64> = Vec::new();
    for step in 0..160_u64 {
        let now_ms = step * STEP_MS;
        if step % 8 == 0
            && let Some((who, lag)) = changes.next()
        {
            let who = usize::from(*who) % present.len();
            present[who] = !present[who];
            for (own, view) in (0..).zip(&mut views) {
                let lag = (u64::from(*lag) * (own + 1) * 37) % VIEW_LAG_MS;
                view.push((now_ms + lag, view_of(&present, own)));
            }
        }
        let now = at(now_ms, start);
        for (number, known) in limits.iter_mut().enumerate() {
            // News that comes late does not take the place of news that came before it.
            let seen = views[number]
                .iter()
                .rfind(|(since, _view)| *since <= now_ms);
            if let Some((_since, view)) = seen {
                known.set_members(view, MembersTrust::Confirmed, now);
            }
            while present[number] && known.take(&back_end, now) {
                if known.limit(&back_end).is_none() {
                    break;
                }
                sent.push(now_ms);
            }
        }
    }
    let borne = 1.5 * per_second * WINDOW_S + 5.0;
    for from in &sent {
        let in_window = sent
            .iter()
            .filter(|at| **at >= *from && **at < from + 4_000);
        let count = u32::try_from(in_window.count()).expect("few");
        assert!(
            f64::from(count) <= borne,
            "{count} of {borne} at {per_second}"
        );
    }
}

fn view_of(present: &[bool], own: u64) -> Arc<Members> {
    let daemons = (0..).zip(present).filter(|(_number, is_there)| **is_there);
    Arc::new(Members {
        own: own + 1,
        daemons: daemons
            .map(|(number, _)| (Arc::from("z"), number + 1))
            .collect::<Vec<(Arc<str>, u64)>>(),
    })
}

#[test]
fn a_daemon_without_a_share_is_told_so() {
    let start = Instant::now();
    let back_end = life(1);
    let mut limits = RateLimits::default();
    limits.set_members(&members(9, 1, 0), MembersTrust::Confirmed, start);
    limits.note(&back_end, names(0.2, start), start);
    let mut holders = 0;
    for own in 0..9 {
        limits.set_members(&members(9, 1, own), MembersTrust::Confirmed, start);
        match limits.allowance(&back_end, start) {
            Allowance::At(_) => holders += 1,
            Allowance::None => {}
            Allowance::Now => panic!("a share begins empty"),
        }
    }
    assert_eq!(holders, 1);
    assert!(!limits.take(&back_end, start));
}
