//! Guards service time estimates: an outlier must not cause refusals forever when no new samples
//! arrive.

use std::time::Duration;

use ponddrift_core::service_time::{ServiceTimes, WorkUnits};
use ponddrift_core::{ServiceName, Timestamp};

#[test]
fn an_outlier_estimate_expires() {
    let service = ServiceName::new("reconcile").expect("a name");
    let mut times = ServiceTimes::default();
    let work = WorkUnits::of_completion(100, 10);
    let frozen = Duration::from_secs(50);
    times.observe(Timestamp::from_millis(1_000), &service, work, frozen);
    let soon = times.expected(Timestamp::from_millis(2_000), &service, work);
    assert!(soon > Duration::from_secs(49), "{soon:?}");
    let later = times.expected(Timestamp::from_millis(7_000), &service, work);
    assert_eq!(later, Duration::ZERO);
    times.observe(
        Timestamp::from_millis(7_100),
        &service,
        work,
        Duration::from_secs(1),
    );
    let relearned = times.expected(Timestamp::from_millis(7_200), &service, work);
    assert!(relearned < Duration::from_millis(1_100), "{relearned:?}");
}
