//! Guards against tenants that are starved during overload, and against requests that yield
//! without one.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::placement::{FairShares, OfferedRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Simulated time per step. Each tenant sends at most one request per step.
const STEP: Duration = Duration::from_millis(10);
/// Work of one request, in arbitrary units.
const WORK_PER_REQUEST: f64 = 100.0;

/// Number of requests offered (`.0`) and served in time (`.1`), by tenant.
type Outcomes = HashMap<Arc<str>, (u32, u32)>;

/// A queued request.
struct Waiting {
    /// Whether queued requests that do not yield are served before this one.
    yields: bool,
    /// Step in which the request arrived.
    queued_at_step: u32,
    tenant: Arc<str>,
}

/// Number of steps within which a request must be served to be in time; later it is dropped.
const DEADLINE_STEPS: u32 = 30;

/// Simulates a service whose tenants send `rates` requests per hundred steps on average, and whose
/// engines serve `capacity` requests per hundred steps. Requests that do not yield are served
/// before requests that yield.
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
            let ahead = queue.iter().filter(|waiting| !waiting.yields).count();
            let ahead = u32::try_from(ahead).expect("few");
            let is_in_time = ahead * 100 < DEADLINE_STEPS * capacity;
            let offer = OfferedRequest {
                service: &service,
                tenant: &tenant,
                work: WORK_PER_REQUEST,
                can_be_in_time: is_in_time,
            };
            // A request that cannot be in time must not delay those that can.
            let yields = shares.yields(offer, random.random_range(0.0..1.0), now) || !is_in_time;
            outcomes.entry(Arc::clone(&tenant)).or_default().0 += 1;
            queue.push_back(Waiting {
                yields,
                queued_at_step: step,
                tenant,
            });
        }
        queue.retain(|waiting| step - waiting.queued_at_step < DEADLINE_STEPS);
        // Idle engines save up capacity for at most three requests.
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

fn in_time_share(outcomes: &Outcomes, tenant: &str) -> f64 {
    let (offered, served) = outcomes[tenant];
    f64::from(served) / f64::from(offered)
}

fn total_in_time_share(outcomes: &Outcomes) -> f64 {
    let offered: u32 = outcomes.values().map(|outcome| outcome.0).sum();
    let served: u32 = outcomes.values().map(|outcome| outcome.1).sum();
    f64::from(served) / f64::from(offered)
}

#[test]
fn small_tenants_are_served_beside_a_heavy_one_that_is_not_starved() {
    // 130 requests per hundred steps for a capacity of 60.
    let rates = [("heavy", 100), ("a", 10), ("b", 10), ("c", 10)];
    let outcomes = simulate(&rates, 60, 20_000);
    for tenant in ["a", "b", "c"] {
        assert!(
            in_time_share(&outcomes, tenant) > 0.75,
            "{tenant}: {outcomes:?}"
        );
    }
    assert!(
        in_time_share(&outcomes, "heavy") > total_in_time_share(&outcomes) / 4.0,
        "{outcomes:?}"
    );
}

#[test]
fn no_tenant_of_a_skewed_load_has_less_than_a_quarter_of_the_average_in_time_share() {
    let names: Vec<String> = (0..74).map(|number| format!("t{number}")).collect();
    let rates: Vec<(&str, u32)> = names
        .iter()
        .enumerate()
        .map(|(number, name)| (name.as_str(), if number < 4 { 25 } else { 2 }))
        .collect();
    // The 74 tenants send 240 requests per hundred steps, four of them 100 in total, for a capacity
    // of 120.
    let outcomes = simulate(&rates, 120, 20_000);
    let average = total_in_time_share(&outcomes);
    for name in &names {
        assert!(
            in_time_share(&outcomes, name) >= average / 4.0,
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
            work: WORK_PER_REQUEST,
            can_be_in_time: true,
        };
        // With a draw of 0, a request yields whenever its tenant's yielding share is above 0.
        assert!(!shares.yields(offer, 0.0, now));
    }
    // A service without requests has no overload.
    assert!(shares.yielding_share("unknown", "large", now) <= 0.0);
}

#[test]
fn yielding_ends_with_the_overload() {
    let service: Arc<str> = Arc::from("s");
    let mut shares = FairShares::default();
    let mut now = Instant::now();
    let mut offer = |shares: &mut FairShares, is_in_time: bool| {
        now += STEP;
        for (tenant, work) in [
            ("large", 20.0 * WORK_PER_REQUEST),
            ("small", WORK_PER_REQUEST),
        ] {
            let offer = OfferedRequest {
                service: &service,
                tenant: &Arc::from(tenant),
                work,
                can_be_in_time: is_in_time,
            };
            shares.yields(offer, 0.5, now);
        }
        shares.yielding_share("s", "large", now)
    };
    // 10 s of overload, then 40 s without: longer than the half-lives of the averages.
    let in_overload = (0..1_000).map(|_| offer(&mut shares, false)).last();
    assert!(in_overload.is_some_and(|yielding_share| yielding_share > 0.9));
    let afterwards = (0..4_000).map(|_| offer(&mut shares, true)).last();
    assert!(afterwards.is_some_and(|yielding_share| yielding_share <= 0.0));
}
