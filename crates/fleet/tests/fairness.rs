//! Tests fair sharing between tenants during overload.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::placement::{FairShares, OfferedRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Duration = Duration::from_millis(10);
const WORK: f64 = 100.0;

/// Number of offered requests and of requests served on time, by tenant.
type Outcomes = HashMap<Arc<str>, (u32, u32)>;

/// A queued request.
struct Waiting {
    yields: bool,
    since: u32,
    tenant: Arc<str>,
}

/// Steps within which a request is on time.
const DEADLINE_STEPS: u32 = 30;

/// Simulates tenants that send `rates` requests per hundred steps to engines that serve `capacity`
/// requests per hundred steps, those that do not yield first.
fn simulate(rates: &[(&str, u32)], capacity: u32, steps: u32) -> Outcomes {
    let service: Arc<str> = Arc::from("s");
    let mut shares = FairShares::default();
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut outcomes = Outcomes::new();
    let mut now = Instant::now();
    let mut queue: VecDeque<Waiting> = VecDeque::new();
    let mut capacity_left = 0.0;
    for step in 0..steps {
        now += STEP;
        for (name, rate) in rates {
            if random.random_range(0..100) >= *rate {
                continue;
            }
            let tenant: Arc<str> = Arc::from(*name);
            let before = queue.iter().filter(|waiting| !waiting.yields).count();
            let before = u32::try_from(before).expect("few");
            let fits = before * 100 < DEADLINE_STEPS * capacity;
            let offer = OfferedRequest {
                service: &service,
                tenant: &tenant,
                work: WORK,
                can_be_in_time: fits,
            };
            let yields = shares.yields(offer, random.random_range(0.0..1.0), now) || !fits;
            outcomes.entry(Arc::clone(&tenant)).or_default().0 += 1;
            queue.push_back(Waiting {
                yields,
                since: step,
                tenant,
            });
        }
        queue.retain(|waiting| step - waiting.since < DEADLINE_STEPS);
        capacity_left = f64::min(capacity_left + f64::from(capacity) / 100.0, 3.0);
        while capacity_left >= 1.0 && !queue.is_empty() {
            let first = queue
                .iter()
                .position(|waiting| !waiting.yields)
                .unwrap_or(0);
            let served = queue.remove(first).expect("a queued request");
            outcomes.entry(served.tenant).or_default().1 += 1;
            capacity_left -= 1.0;
        }
    }
    outcomes
}

fn on_time_share(outcomes: &Outcomes, tenant: &str) -> f64 {
    let (offered, served) = outcomes[tenant];
    f64::from(served) / f64::from(offered)
}

fn total_on_time_share(outcomes: &Outcomes) -> f64 {
    let offered: u32 = outcomes.values().map(|outcome| outcome.0).sum();
    let served: u32 = outcomes.values().map(|outcome| outcome.1).sum();
    f64::from(served) / f64::from(offered)
}

#[test]
fn a_tenant_far_above_its_share_barely_affects_the_others() {
    let rates = [("hog", 100), ("a", 10), ("b", 10), ("c", 10)];
    let outcomes = simulate(&rates, 60, 20_000);
    for tenant in ["a", "b", "c"] {
        assert!(
            on_time_share(&outcomes, tenant) > 0.75,
            "{tenant}: {outcomes:?}"
        );
    }
    assert!(
        on_time_share(&outcomes, "hog") > total_on_time_share(&outcomes) / 4.0,
        "{outcomes:?}"
    );
}

#[test]
fn no_tenant_of_a_skewed_load_gets_less_than_a_quarter_of_the_average() {
    let names: Vec<String> = (0..74).map(|number| format!("t{number}")).collect();
    let rates: Vec<(&str, u32)> = names
        .iter()
        .enumerate()
        .map(|(number, name)| (name.as_str(), if number < 4 { 25 } else { 2 }))
        .collect();
    let outcomes = simulate(&rates, 120, 20_000);
    let all = total_on_time_share(&outcomes);
    for name in &names {
        assert!(
            on_time_share(&outcomes, name) >= all / 4.0,
            "{name}: {outcomes:?}"
        );
    }
}

#[test]
fn no_request_yields_without_an_overload() {
    let service: Arc<str> = Arc::from("s");
    let mut shares = FairShares::default();
    let mut now = Instant::now();
    for number in 0..2_000 {
        now += STEP;
        let tenant = if number % 20 == 0 { "small" } else { "large" };
        let offer = OfferedRequest {
            service: &service,
            tenant: &Arc::from(tenant),
            work: WORK,
            can_be_in_time: true,
        };
        assert!(!shares.yields(offer, 0.0, now));
    }
    assert!(shares.yielding_share("unknown", "large", now) <= 0.0);
}

#[test]
fn yielding_ends_with_the_overload() {
    let service: Arc<str> = Arc::from("s");
    let mut shares = FairShares::default();
    let mut now = Instant::now();
    let mut offer = |shares: &mut FairShares, fits: bool| {
        now += STEP;
        for (tenant, work) in [("large", 20.0 * WORK), ("small", WORK)] {
            let offer = OfferedRequest {
                service: &service,
                tenant: &Arc::from(tenant),
                work,
                can_be_in_time: fits,
            };
            shares.yields(offer, 0.5, now);
        }
        shares.yielding_share("s", "large", now)
    };
    let in_overload = (0..1_000).map(|_| offer(&mut shares, false)).last();
    assert!(in_overload.is_some_and(|yielding_share| yielding_share > 0.9));
    let afterwards = (0..4_000).map(|_| offer(&mut shares, true)).last();
    assert!(afterwards.is_some_and(|yielding_share| yielding_share <= 0.0));
}
