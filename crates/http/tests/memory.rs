//! The account of the memory that callers can make grow.

use std::time::Duration;

use ponddrift_http::memory::{MemoryBudget, MemoryExhausted, Reservation, SMALL_BYTES};
use tokio::time::{advance, timeout};

const CAPACITY: usize = 8 << 20;
const LARGE: usize = 1 << 20;

fn fill(budget: &MemoryBudget) -> Vec<Reservation> {
    let mut held = Vec::new();
    loop {
        let reservation = budget.reserve();
        if reservation.grow_to(LARGE).is_err() {
            return held;
        }
        held.push(reservation);
    }
}

#[tokio::test(start_paused = true)]
async fn bytes_are_given_back_on_drop() {
    let budget = MemoryBudget::new(CAPACITY);
    let held = fill(&budget);
    assert_eq!(held.len(), 6, "a quarter is kept for small holders");
    assert_eq!(budget.used(), 6 * LARGE);
    drop(held);
    assert_eq!(budget.used(), 0);
}

#[tokio::test(start_paused = true)]
async fn small_holders_go_on_beside_large_ones() {
    let budget = MemoryBudget::new(CAPACITY);
    let _held = fill(&budget);
    let small = budget.reserve();
    assert_eq!(small.grow_to(SMALL_BYTES), Ok(()));
    assert_eq!(small.grow_to(LARGE), Err(MemoryExhausted));
}

#[tokio::test(start_paused = true)]
async fn the_holder_that_stalled_first_yields_to_one_that_goes_on() {
    let budget = MemoryBudget::new(CAPACITY);
    let held = fill(&budget);
    let next = budget.reserve();
    assert_eq!(
        next.grow_to(LARGE),
        Err(MemoryExhausted),
        "none has stalled"
    );
    advance(Duration::from_secs(5)).await;
    held[0].progressed();
    assert_eq!(next.grow_to(LARGE), Ok(()));
    for (index, other) in held.iter().enumerate() {
        let yields = timeout(Duration::from_millis(1), other.must_yield()).await;
        assert_eq!(yields.is_ok(), index == 1, "{index}");
    }
    drop(held);
    assert_eq!(budget.used(), LARGE);
}

#[tokio::test(start_paused = true)]
async fn a_pinned_holder_does_not_yield() {
    let budget = MemoryBudget::new(CAPACITY);
    let held = fill(&budget);
    for reservation in &held {
        reservation.pin();
    }
    advance(Duration::from_secs(60)).await;
    assert_eq!(budget.reserve().grow_to(LARGE), Err(MemoryExhausted));
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_waits_gets_what_is_given_back() {
    let budget = MemoryBudget::new(CAPACITY);
    let mut held = fill(&budget);
    for reservation in &held {
        reservation.pin();
    }
    let next = budget.reserve();
    let waiting = timeout(Duration::from_secs(5), next.grow_when_free(LARGE));
    assert!(waiting.await.is_err());
    held.pop();
    next.grow_when_free(LARGE).await;
    assert_eq!(budget.used(), 6 * LARGE);
}
