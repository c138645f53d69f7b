//! Tests of the watch channel: wake-up order, no missed changes, and detection of a dropped sender.

use std::sync::{Arc, Mutex};

use ponddrift_runtime::watch::{self, Closed, RunWhileOutcome};
use tokio::task::LocalSet;

#[tokio::test(flavor = "current_thread")]
async fn receivers_wake_in_the_order_in_which_they_began_to_wait() {
    for _ in 0..20 {
        let tasks = LocalSet::new();
        let sender = watch::Sender::new(0);
        let woken = Arc::new(Mutex::new(Vec::new()));
        for number in 0..10 {
            let mut receiver = sender.subscribe();
            let woken = Arc::clone(&woken);
            tasks.spawn_local(async move {
                receiver.changed().await.expect("the sender is alive");
                woken.lock().expect("the lock is not poisoned").push(number);
            });
        }
        tasks
            .run_until(async {
                tokio::task::yield_now().await;
                sender.send_replace(1);
            })
            .await;
        tasks.await;
        assert_eq!(
            *woken.lock().expect("the lock is not poisoned"),
            Vec::from_iter(0..10)
        );
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_change_before_the_wait_is_seen_once() {
    let (sender, mut receiver) = watch::channel(1);
    assert_eq!(sender.send_replace(2), 1);
    assert_eq!(*receiver.borrow(), 2);
    assert_eq!(receiver.changed().await, Ok(()));
    assert!(!sender.send_if_modified(|_value| false));
    drop(sender);
    assert_eq!(receiver.changed().await, Err(Closed));
}

#[tokio::test(flavor = "current_thread")]
async fn the_last_value_is_seen_before_the_channel_is_closed() {
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

/// Guards against a busy loop that kept a stopping daemon from exiting: a closed channel must not
/// be reported as a change.
#[tokio::test]
async fn a_closed_channel_ends_run_while() {
    let (sender, mut receiver) = watch::channel(true);
    let forever = std::future::pending::<()>();
    let (end, ()) = tokio::join!(receiver.run_while(|wanted| *wanted, forever), async {
        drop(sender);
    });
    assert_eq!(end, RunWhileOutcome::Closed);
}

#[tokio::test]
async fn run_while_ends_when_the_work_completes_or_the_value_changes() {
    let (sender, mut receiver) = watch::channel(true);
    let end = receiver.run_while(|wanted| *wanted, async { 7 }).await;
    assert_eq!(end, RunWhileOutcome::Done(7));
    sender.send_replace(false);
    let forever = std::future::pending::<()>();
    let end = receiver.run_while(|wanted| *wanted, forever).await;
    assert_eq!(end, RunWhileOutcome::Changed);
}
