//! Tests that retries stay within the budget with and without a shared pool, for up to 6,000
//! daemons.

use std::sync::Arc;

use ponddrift_fleet::budget::{BudgetSettings, Deposits, RetryBudget, RetryPool, pool_capacity};

const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    slack: 1_040.0,
};
const ZONES: usize = 6;
const SERVICE: u32 = 7;

/// One zone of a fleet, whose daemons deposit their earnings into one pool.
struct Zone {
    budgets: Vec<RetryBudget>,
    pool: RetryPool,
    max_saved: f64,
    sequence: u32,
}

impl Zone {
    fn new(daemons: usize) -> Self {
        let zone_daemons = daemons / ZONES;
        let budget = || {
            let mut budget = RetryBudget::new(SETTINGS);
            budget.set_daemons(daemons);
            budget
        };
        Self {
            budgets: std::iter::repeat_with(budget).take(zone_daemons).collect(),
            pool: RetryPool::default(),
            max_saved: pool_capacity(SETTINGS, zone_daemons, daemons),
            sequence: 0,
        }
    }

    /// Every daemon earns for one request and deposits its earnings.
    fn run_requests(&mut self) {
        let service = Arc::from("s");
        self.sequence += 1;
        for (origin, budget) in (1..).zip(&mut self.budgets) {
            budget.earn(&service);
            let deposits = budget.take_deposits();
            let deposits = Deposits {
                origin,
                sequence: self.sequence,
                repeats: deposits
                    .into_iter()
                    .map(|(_service, repeats)| (SERVICE, repeats))
                    .collect(),
            };
            self.pool.deposit(&deposits, self.max_saved);
        }
    }

    fn withdraw_all(&mut self) -> usize {
        let withdrawn = std::iter::repeat_with(|| self.pool.withdraw(SERVICE));
        withdrawn.take_while(|granted| *granted).count()
    }
}

#[test]
fn a_daemon_saves_retries_itself_while_its_share_is_at_least_one() {
    for (daemons, is_pooled) in [(95, false), (800, false), (986, true), (1_972, true)] {
        let mut budget = RetryBudget::new(SETTINGS);
        budget.set_daemons(daemons);
        assert_eq!(budget.is_pooled(), is_pooled, "{daemons} daemons");
    }
}

/// One answer in seven fails; each daemon gets one request per round.
#[test]
fn the_pool_covers_failed_answers_from_the_first_round() {
    for daemons in [986, 1_972] {
        let mut zone = Zone::new(daemons);
        zone.run_requests();
        let failed = zone.budgets.len() / 7;
        assert!(zone.withdraw_all() >= failed, "{daemons} daemons");
    }
}

#[test]
fn retries_of_all_zones_stay_within_ratio_and_slack() {
    for daemons in [986, 1_972, 6_000] {
        let mut zone = Zone::new(daemons);
        for _ in 0..200 {
            zone.run_requests();
        }
        let saved_up = zone.withdraw_all();
        zone.run_requests();
        let run_requests = zone.budgets.len();
        let retries = (saved_up + zone.withdraw_all()) * ZONES;
        #[expect(clippy::cast_precision_loss, reason = "a few thousand")]
        let (retries, run_requests) = (retries as f64, (run_requests * ZONES) as f64);
        let allowed = SETTINGS.slack + SETTINGS.ratio * run_requests;
        assert!(
            retries <= allowed,
            "{daemons} daemons: {retries} retries, {allowed} allowed"
        );
    }
}

#[test]
fn a_pooled_daemon_takes_no_retry_from_its_own_budget() {
    let service = Arc::from("s");
    let mut budget = RetryBudget::new(SETTINGS);
    budget.set_daemons(1_972);
    for _ in 0..1_000 {
        budget.earn(&service);
    }
    assert!(!budget.take(&service));
}

#[test]
fn repeated_and_outdated_deposits_are_ignored() {
    let mut pool = RetryPool::default();
    let deposits = |sequence, repeats| Deposits {
        origin: 1,
        sequence,
        repeats: vec![(SERVICE, repeats)],
    };
    pool.deposit(&deposits(2, 1.5), 100.0);
    pool.deposit(&deposits(2, 1.5), 100.0);
    pool.deposit(&deposits(1, 1.5), 100.0);
    assert!(pool.withdraw(SERVICE));
    assert!(!pool.withdraw(SERVICE));
}

#[test]
fn invalid_deposits_are_ignored() {
    let mut pool = RetryPool::default();
    for (sequence, repeats) in (1..).zip([f64::NAN, f64::INFINITY, -5.0]) {
        let deposits = Deposits {
            origin: 1,
            sequence,
            repeats: vec![(SERVICE, repeats)],
        };
        pool.deposit(&deposits, 100.0);
        assert!(!pool.withdraw(SERVICE), "{repeats}");
    }
}
