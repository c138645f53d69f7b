//! Retries that a zone saves up together: counted at 100 and at 2,000 daemons.

use std::sync::Arc;

use ponddrift_fleet::budget::{BudgetSettings, Deposits, RetryBudget, RetryPool, pool_capacity};

const SETTINGS: BudgetSettings = BudgetSettings {
    ratio: 0.2,
    slack: 1_040.0,
};
const ZONES: usize = 6;
const SERVICE: u32 = 7;

/// A zone of a fleet: what its daemons earn goes to one pool.
struct Zone {
    budgets: Vec<RetryBudget>,
    pool: RetryPool,
    most: f64,
    sequence: u32,
}

impl Zone {
    fn new(daemons: usize) -> Self {
        let of_zone = daemons / ZONES;
        let budget = || {
            let mut budget = RetryBudget::new(SETTINGS);
            budget.set_daemons(daemons);
            budget
        };
        Self {
            budgets: std::iter::repeat_with(budget).take(of_zone).collect(),
            pool: RetryPool::default(),
            most: pool_capacity(SETTINGS, of_zone, daemons),
            sequence: 0,
        }
    }

    /// Every daemon gets a request, then all put in what they earned.
    fn requests(&mut self) {
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
            self.pool.deposit(&deposits, self.most);
        }
    }

    fn withdraw_all(&mut self) -> usize {
        let withdrawn = std::iter::repeat_with(|| self.pool.withdraw(SERVICE));
        withdrawn.take_while(|granted| *granted).count()
    }
}

#[test]
fn a_daemon_saves_up_itself_as_long_as_its_part_of_the_slack_is_a_retry() {
    for (daemons, is_pooled) in [(95, false), (800, false), (986, true), (1_972, true)] {
        let mut budget = RetryBudget::new(SETTINGS);
        budget.set_daemons(daemons);
        assert_eq!(budget.is_pooled(), is_pooled, "{daemons} daemons");
    }
}

/// A service of which one answer in seven fails, with a request of each daemon in three seconds.
#[test]
fn a_zone_has_a_retry_for_each_failed_answer_from_the_first_seconds_on() {
    for daemons in [986, 1_972] {
        let mut zone = Zone::new(daemons);
        zone.requests();
        let failed = zone.budgets.len() / 7;
        assert!(zone.withdraw_all() >= failed, "{daemons} daemons");
    }
}

#[test]
fn retries_of_all_zones_stay_within_ratio_and_slack_whatever_the_number_of_daemons() {
    for daemons in [986, 1_972, 6_000] {
        let mut zone = Zone::new(daemons);
        for _ in 0..200 {
            zone.requests();
        }
        let saved_up = zone.withdraw_all();
        zone.requests();
        let requests = zone.budgets.len();
        let retries = (saved_up + zone.withdraw_all()) * ZONES;
        #[expect(clippy::cast_precision_loss, reason = "some thousand")]
        let (retries, requests) = (retries as f64, (requests * ZONES) as f64);
        let allowed = SETTINGS.slack + SETTINGS.ratio * requests;
        assert!(
            retries <= allowed,
            "{daemons} daemons: {retries} of {allowed}"
        );
    }
}

#[test]
fn no_daemon_of_a_pooled_fleet_takes_a_retry_by_itself() {
    let service = Arc::from("s");
    let mut budget = RetryBudget::new(SETTINGS);
    budget.set_daemons(1_972);
    for _ in 0..1_000 {
        budget.earn(&service);
    }
    assert!(!budget.take(&service));
}

#[test]
fn deposits_that_come_twice_or_late_count_once() {
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
fn what_is_no_number_of_retries_is_not_put_in() {
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
