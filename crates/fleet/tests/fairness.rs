//! Fair shares of tenants in an overload.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::placement::{FairShares, OfferedRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Duration = Duration::from_millis(10);
const WORK: f64 = 100.0;

/// What became of tenants' requests: asked, and served in time.
type Ends = HashMap<Arc<str>, (u32, u32)>;

/// A request that waits.
struct Waiting {
    yields: bool,
    since: u32,
    tenant: Arc<str>,
}

/// Steps within which a request is in time.
const TARGET_STEPS: u32 = 30;

/// Plays `rates` (requests of each tenant in a hundred steps) against engines that end `capacity` requests in a hundred
/// steps, those that do not yield first.
fn play(rates: &[(&str, u32)], capacity: u32, steps: u32) -> Ends {
    let service: Arc<str> = Arc::from("s");
    let mut shares = FairShares::default();
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut ends = Ends::new();
    let mut now = Instant::now();
    let mut queue: VecDeque<Waiting> = VecDeque::new();
    let mut room = 0.0;
    for step in 0..steps {
        now += STEP;
        for (name, rate) in rates {
            if random.random_range(0..100) >= *rate {
                continue;
            }
            let tenant: Arc<str> = Arc::from(*name);
            let before = queue.iter().filter(|waiting| !waiting.yields).count();
            let before = u32::try_from(before).expect("few");
            let fits = before * 100 < TARGET_STEPS * capacity;
            let offer = OfferedRequest {
                service: &service,
                tenant: &tenant,
                work: WORK,
                can_be_in_time: fits,
            };
            let yields = shares.yields(offer, random.random_range(0.0..1.0), now) || !fits;
            ends.entry(Arc::clone(&tenant)).or_default().0 += 1;
            queue.push_back(Waiting {
                yields,
                since: step,
                tenant,
            });
        }
        queue.retain(|waiting| step - waiting.since < TARGET_STEPS);
        room = f64::min(room + f64::from(capacity) / 100.0, 3.0);
        while room >= 1.0 && !queue.is_empty() {
            let first = queue
                .iter()
                .position(|waiting| !waiting.yields)
                .unwrap_or(0);
            let served = queue.remove(first).expect("there");
            ends.entry(served.tenant).or_default().1 += 1;
            room -= 1.0;
        }
    }
    ends
}

fn share(ends: &Ends, tenant: &str) -> f64 {
    let (asked, served) = ends[tenant];
    f64::from(served) / f64::from(asked)
}

fn share_of_all(ends: &Ends) -> f64 {
    let asked: u32 = ends.values().map(|end| end.0).sum();
    let served: u32 = ends.values().map(|end| end.1).sum();
    f64::from(served) / f64::from(asked)
}

#[test]
fn a_tenant_at_ten_times_its_share_takes_little_from_the_others() {
    let rates = [("hog", 100), ("a", 10), ("b", 10), ("c", 10)];
    let ends = play(&rates, 60, 20_000);
    for tenant in ["a", "b", "c"] {
        assert!(share(&ends, tenant) > 0.75, "{tenant}: {ends:?}");
    }
    assert!(share(&ends, "hog") > share_of_all(&ends) / 4.0, "{ends:?}");
}

#[test]
fn of_74_skewed_tenants_none_is_served_less_than_a_quarter_as_often_as_all() {
    let names: Vec<String> = (0..74).map(|number| format!("t{number}")).collect();
    let rates: Vec<(&str, u32)> = names
        .iter()
        .enumerate()
        .map(|(number, name)| (name.as_str(), if number < 4 { 25 } else { 2 }))
        .collect();
    let ends = play(&rates, 120, 20_000);
    let all = share_of_all(&ends);
    for name in &names {
        assert!(share(&ends, name) >= all / 4.0, "{name}: {ends:?}");
    }
}

#[test]
fn nobody_yields_while_all_can_be_served() {
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
fn the_end_of_an_overload_ends_the_yielding() {
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
