//! The watched value: receivers wake in order, miss nothing, and learn of the end.

use std::sync::{Arc, Mutex};

use ponddrift_runtime::watch::{self, Closed, RunWhileOutcome};
use tokio::task::LocalSet;

#[tokio::test(flavor = "current_thread")]
async fn receivers_wake_in_the_order_of_their_waiting() {
    for _ in 0..20 {
        let tasks = LocalSet::new();
        let sender = watch::Sender::new(0);
        let woken = Arc::new(Mutex::new(Vec::new()));
        for number in 0..10 {
            let mut receiver = sender.subscribe();
            let woken = Arc::clone(&woken);
            tasks.spawn_local(async move {
                receiver.changed().await.expect("the sender lives");
                woken.lock().expect("no panic").push(number);
            });
        }
        tasks
            .run_until(async {
                tokio::task::yield_now().await;
                sender.send_replace(1);
            })
            .await;
        tasks.await;
        assert_eq!(*woken.lock().expect("no panic"), Vec::from_iter(0..10));
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_change_before_the_waiting_is_seen_once() {
    let (sender, mut receiver) = watch::channel(1);
    assert_eq!(sender.send_replace(2), 1);
    assert_eq!(*receiver.borrow(), 2);
    assert_eq!(receiver.changed().await, Ok(()));
    assert!(!sender.send_if_modified(|_value| false));
    drop(sender);
    assert_eq!(receiver.changed().await, Err(Closed));
}

#[tokio::test(flavor = "current_thread")]
async fn the_last_value_is_seen_before_the_end() {
    let (sender, mut receiver) = watch::channel(1);
    sender.send_modify(|value| *value += 1);
    drop(sender);
    assert_eq!(receiver.changed().await, Ok(()));
    assert_eq!(*receiver.borrow_and_update(), 2);
    assert_eq!(receiver.changed().await, Err(Closed));
}

#[tokio::test(flavor = "current_thread")]
async fn waiting_for_a_condition_that_holds_returns_at_once() {
    let (sender, mut receiver) = watch::channel(1);
    assert_eq!(
        receiver.wait_for(|value| *value == 1).await.map(|one| *one),
        Ok(1)
    );
    sender.send_replace(3);
    drop(sender);
    assert_eq!(
        receiver.wait_for(|value| *value == 3).await.map(|one| *one),
        Ok(3)
    );
    assert!(receiver.wait_for(|value| *value == 4).await.is_err());
}

/// A daemon that stopped while it followed the store took the closed channel for a change, waited again, was told so again, and
/// never gave its thread back: the process did not end.
#[tokio::test]
async fn a_closed_channel_ends_what_is_done_while_its_value_is_as_wanted() {
    let (sender, mut receiver) = watch::channel(true);
    let forever = std::future::pending::<()>();
    let (end, ()) = tokio::join!(receiver.run_while(|wanted| *wanted, forever), async {
        drop(sender);
    });
    assert_eq!(end, RunWhileOutcome::Closed);
}

#[tokio::test]
async fn work_ends_with_its_value_or_by_itself() {
    let (sender, mut receiver) = watch::channel(true);
    let end = receiver.run_while(|wanted| *wanted, async { 7 }).await;
    assert_eq!(end, RunWhileOutcome::Done(7));
    sender.send_replace(false);
    let forever = std::future::pending::<()>();
    let end = receiver.run_while(|wanted| *wanted, forever).await;
    assert_eq!(end, RunWhileOutcome::Changed);
}
