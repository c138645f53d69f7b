//! Fault schedules must be reproducible, parse from their own text, and repair every fault.

use std::time::Duration;

use ponddrift_simulation::{Fault, FaultPlan, FaultSchedule, FaultWeights, HostId};

fn plan() -> FaultPlan {
    FaultPlan {
        hosts: (0..6).map(HostId).collect(),
        horizon: Duration::from_secs(60),
        faults: 100,
        min_duration: Duration::from_millis(50),
        max_duration: Duration::from_secs(10),
        weights: FaultWeights::default(),
    }
}

/// Faults that have not been repaired yet.
#[derive(Default)]
struct UnrepairedFaults {
    hosts: Vec<HostId>,
    links: Vec<(HostId, HostId)>,
}

impl UnrepairedFaults {
    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(host) | Fault::PowerOff(host) | Fault::Freeze(host) => {
                assert!(!self.hosts.contains(&host), "{fault} while it is broken");
                self.hosts.push(host);
            }
            Fault::Restart(host) | Fault::Thaw(host) => self.hosts.retain(|other| *other != host),
            Fault::Cut(first, second) => self.links.push((first, second)),
            Fault::CutOneWay { from, to } => self.links.push((from, to)),
            Fault::Heal(first, second) => self
                .links
                .retain(|link| *link != (first, second) && *link != (second, first)),
        }
    }
}

#[test]
fn every_schedule_repairs_all_faults_within_its_horizon() {
    for seed in 0..200 {
        let schedule = FaultSchedule::generate(seed, &plan());
        assert!(schedule.faults.len() > 40, "{}", schedule.faults.len());
        let mut unrepaired = UnrepairedFaults::default();
        let mut last = Duration::ZERO;
        for scheduled in &schedule.faults {
            assert!(scheduled.at >= last && scheduled.at <= plan().horizon);
            last = scheduled.at;
            unrepaired.apply(scheduled.fault);
        }
        assert!(
            unrepaired.hosts.is_empty() && unrepaired.links.is_empty(),
            "{schedule}"
        );
    }
}

#[test]
fn a_schedule_depends_on_its_seed_only_and_can_be_replayed_from_its_text() {
    let schedule = FaultSchedule::generate(3, &plan());
    assert_eq!(schedule, FaultSchedule::generate(3, &plan()));
    assert_ne!(schedule, FaultSchedule::generate(4, &plan()));
    assert_eq!(schedule.to_string().parse(), Ok(schedule));
}

#[test]
fn parse_error_names_the_invalid_line() {
    let error = "10 kill 1\n20 cut 1\n"
        .parse::<FaultSchedule>()
        .expect_err("one host");
    assert_eq!(error.line, 2);
    assert!(
        error.to_string().contains("cut-one-way or heal and two"),
        "{error}"
    );
}
