//! Tests the choice of a plain back end while room is shared out.

mod support;

use std::sync::Arc;
use std::time::Instant;

use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{Placement, Urgency};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::engines;

const REQUESTS: usize = 1_000;

fn plain_back_ends() -> Vec<Arc<BackEnd>> {
    engines(0, 6)
        .iter()
        .map(|engine| {
            Arc::new(BackEnd {
                stage: None,
                slots: 6,
                ..BackEnd::clone(engine)
            })
        })
        .collect()
}

/// How many of [`REQUESTS`] choices go to each back end.
fn choices(placement: &Placement, back_ends: &[Arc<BackEnd>], now: Instant) -> Vec<usize> {
    let mut random = Pcg64Mcg::seed_from_u64(11);
    let mut counts = vec![0; back_ends.len()];
    for _request in 0..REQUESTS {
        let chosen = placement
            .choose_plain(back_ends, &[], now, &mut random)
            .expect("a back end");
        let index = back_ends.iter().position(|known| known.id == chosen.id);
        counts[index.expect("a known back end")] += 1;
    }
    counts
}

#[test]
fn back_ends_that_lose_answers_get_requests_only_beyond_the_room_of_the_others() {
    // Load: six back ends, of which four lose four of ten answers, as every daemon of the zone sees.
    let now = Instant::now();
    let back_ends = plain_back_ends();
    let mut placement = Placement::new(Arc::from("a"));
    placement.share_out_room();
    for round in 0..40 {
        for (index, back_end) in back_ends.iter().enumerate() {
            let is_lost = index < 4 && round % 5 < 2;
            let outcome = if is_lost {
                Outcome::Error
            } else {
                Outcome::Success
            };
            placement.health.record(&back_end.id, outcome, now);
        }
    }
    let counts = choices(&placement, &back_ends, now);
    let at_failing: usize = counts[..4].iter().sum();
    assert_eq!(at_failing, 0, "the two others have room: {counts:?}");
    for back_end in &back_ends[4..] {
        for _request in 0..30 {
            placement.load.begin(&back_end.id, 0.0, Urgency::InTime);
        }
    }
    let counts = choices(&placement, &back_ends, now);
    let at_failing: usize = counts[..4].iter().sum();
    assert!(
        at_failing > REQUESTS / 2,
        "the two others are full: {counts:?}"
    );
}

#[test]
fn errors_that_all_back_ends_have_in_common_do_not_shift_requests() {
    // Load: six back ends, each of which answers one of seven requests with an error.
    let now = Instant::now();
    let back_ends = plain_back_ends();
    let mut placement = Placement::new(Arc::from("a"));
    placement.share_out_room();
    for round in 0..70 {
        for (index, back_end) in back_ends.iter().enumerate() {
            let outcome = if (round + index) % 7 == 0 {
                Outcome::Error
            } else {
                Outcome::Success
            };
            placement.health.record(&back_end.id, outcome, now);
        }
    }
    let counts = choices(&placement, &back_ends, now);
    let (least, most) = (counts.iter().min(), counts.iter().max());
    assert!(
        most.is_some_and(|most| *most <= REQUESTS / 3),
        "no back end gets twice its part: {counts:?}"
    );
    assert!(least.is_some_and(|least| *least >= 1), "{counts:?}");
}
