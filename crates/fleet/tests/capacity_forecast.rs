//! Replays loads against the forecast of capacity: a wave with bursts, the loss of a zone, a new
//! leader, a fleet before any load. Engines that are ordered serve after the boot time.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::capacity::{
    Binding, CapacityPlan, Contract, EngineCounts, Forecast, ForecastPlanner, GapTarget,
    WaitTargets, acceptable_utilization, next_step,
};
use ponddrift_fleet::configuration::Autoscaling;
use ponddrift_fleet::placement::PromptTimes;
use ponddrift_fleet::stages::StageWork;

const BOOT: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(500);
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Utilization at which waits are within the target latency in these replays.
const UTILIZATION: f64 = 0.4;

fn autoscaling() -> Autoscaling {
    Autoscaling {
        minimum: 1,
        maximum: 30,
        boot: BOOT,
        spot_price: Some(0.15),
        zone_prices: ZONES.iter().map(|zone| (Arc::from(*zone), 1.0)).collect(),
    }
}

fn in_all_zones(contract: Contract, count: u32) -> EngineCounts {
    let zones = ZONES.iter();
    zones
        .map(|zone| ((Arc::from(*zone), contract), count))
        .collect()
}

fn total(counts: &EngineCounts, contract: Contract) -> u32 {
    let of_contract = counts.iter().filter(|((_zone, kind), _)| *kind == contract);
    of_contract.map(|(_key, count)| *count).sum()
}

fn engines(counts: &EngineCounts) -> f64 {
    f64::from(counts.values().sum::<u32>())
}

fn reading(engines: f64) -> Option<StageWork> {
    (engines > 0.0).then(|| StageWork {
        prefill: engines,
        ..StageWork::default()
    })
}

/// A fleet whose provider carries out orders at once for releases and after the boot time for new
/// engines.
struct Replay {
    planner: ForecastPlanner,
    autoscaling: Autoscaling,
    present: EngineCounts,
    booting: VecDeque<(Instant, EngineCounts)>,
    now: Instant,
    zones_without_spot: Vec<&'static str>,
}

impl Replay {
    fn new(present: EngineCounts) -> Self {
        Self {
            planner: ForecastPlanner::default(),
            autoscaling: autoscaling(),
            present,
            booting: VecDeque::new(),
            now: Instant::now(),
            zones_without_spot: Vec::new(),
        }
    }

    fn step(&mut self, work: f64) -> (CapacityPlan, Forecast) {
        self.now += STEP;
        while let Some((ready_at, _target)) = self.booting.front()
            && *ready_at <= self.now
        {
            let (_ready_at, target) = self.booting.pop_front().expect("a front");
            for (key, count) in target {
                let present = self.present.entry(key).or_default();
                *present = (*present).max(count);
            }
        }
        let work = reading(work);
        self.planner.observe(
            work,
            UTILIZATION,
            &self.present,
            &self.autoscaling,
            self.now,
        );
        let (plan, forecast) = self
            .planner
            .plan(
                &self.present,
                &self.autoscaling,
                0.0,
                self.zones_without_spot.len(),
            )
            .expect("a plan");
        let step = next_step(&plan, &self.present, &self.autoscaling);
        let mut grown = EngineCounts::new();
        for (key, count) in step {
            let present = self.present.entry(key.clone()).or_default();
            let is_refused = key.1 == Contract::Spot && self.zones_without_spot.contains(&&*key.0);
            if count < *present {
                *present = count;
                for (_ready_at, target) in &mut self.booting {
                    target.remove(&key);
                }
            } else if count > *present && !is_refused {
                grown.insert(key, count);
            }
        }
        self.booting.push_back((self.now + BOOT, grown));
        (plan, forecast)
    }

    fn lose_spot_engines_of(&mut self, zone: &'static str) {
        self.present.insert((Arc::from(zone), Contract::Spot), 0);
        self.zones_without_spot.push(zone);
        for (_ready_at, target) in &mut self.booting {
            target.remove(&(Arc::from(zone), Contract::Spot));
        }
    }

    fn covers(&self, work: f64) -> bool {
        engines(&self.present) * UTILIZATION >= work
    }
}

/// Work of a wave with a period of 40 s around 6 engines, with a burst of 2.8 s to 1.7 times of it in
/// every 5.6 s.
fn wave_with_bursts(step: u32) -> f64 {
    let seconds = f64::from(step) * STEP.as_secs_f64();
    let wave = 6.0 * (1.0 + 0.27 * (seconds * std::f64::consts::TAU / 40.0).sin());
    if seconds % 5.6 < 2.8 {
        wave * 1.7
    } else {
        wave
    }
}

/// Load: a wave with bursts that recur every 5.6 s. Its callers need engines that cover the work in
/// 98 of 100 steps, also after the loss of the spot engines of any zone, and it must not be the
/// maximum that covers it.
#[test]
fn a_wave_with_bursts_is_covered_by_fewer_engines_than_the_maximum() {
    let mut replay = Replay::new(in_all_zones(Contract::OnDemand, 15));
    let (mut covered, mut after_loss, mut held) = (0, 0, 0.0);
    let steps = 400;
    for step in 0..steps {
        let work = wave_with_bursts(step);
        replay.step(work);
        covered += u32::from(replay.covers(work));
        let largest = ZONES.map(|zone| {
            let key = (Arc::from(zone), Contract::Spot);
            replay.present.get(&key).copied().unwrap_or_default()
        });
        let lost = f64::from(largest.into_iter().max().unwrap_or_default());
        after_loss += u32::from((engines(&replay.present) - lost) * UTILIZATION >= work);
        held += engines(&replay.present);
    }
    assert!(covered * 100 >= steps * 98, "{covered} of {steps}");
    assert!(after_loss * 100 >= steps * 90, "{after_loss} of {steps}");
    let mean = held / f64::from(steps);
    assert!(mean < 70.0, "{mean} engines on average of at most 90");
}

/// Load: 8 engines of work for 60 s, then 2. The engines that callers no longer need are released
/// within a few boot times, and those that remain cover the work after the loss of a zone.
#[test]
fn engines_are_released_soon_after_the_load_has_fallen() {
    let mut replay = Replay::new(in_all_zones(Contract::OnDemand, 15));
    for _ in 0..120 {
        replay.step(8.0);
    }
    let before = engines(&replay.present);
    assert!(before >= 8.0 / UTILIZATION * 1.5 - 1.0, "{before}");
    for _ in 0..10 {
        replay.step(2.0);
    }
    assert!(engines(&replay.present) >= before - 0.5, "bursts may recur");
    for _ in 0..40 {
        replay.step(2.0);
    }
    let after = engines(&replay.present);
    assert!(after <= before / 2.0, "{after} of {before}");
    assert!(after * 2.0 / 3.0 * UTILIZATION >= 2.0, "{after}");
}

/// Load: 5 engines of work that double within 10 s. The trend orders engines before the load needs
/// them: callers must find enough in 95 of 100 steps.
#[test]
fn a_growing_load_finds_its_engines() {
    let mut replay = Replay::new(in_all_zones(Contract::Spot, 8));
    let mut covered = 0;
    let steps = 120;
    for step in 0..steps {
        let work = 5.0 + 5.0 * (f64::from(step) / 20.0 - 2.0).clamp(0.0, 1.0);
        replay.step(work);
        covered += u32::from(replay.covers(work));
    }
    assert!(covered * 100 >= steps * 95, "{covered} of {steps}");
    assert!(engines(&replay.present) * 2.0 / 3.0 * UTILIZATION >= 10.0);
}

/// Load: 8 engines of work while the spot engines of one zone are taken away and none are to be had
/// there, then those of a second one. After one boot time the rest must again cover the next loss.
#[test]
fn other_zones_replace_the_engines_of_a_zone_without_spot() {
    let mut replay = Replay::new(in_all_zones(Contract::OnDemand, 15));
    for _ in 0..80 {
        replay.step(8.0);
    }
    replay.lose_spot_engines_of("c");
    assert!(replay.covers(8.0), "the loss was planned for");
    for _ in 0..10 {
        replay.step(8.0);
    }
    replay.lose_spot_engines_of("a");
    assert!(replay.covers(8.0), "{:?}", replay.present);
    replay.zones_without_spot.clear();
    for _ in 0..60 {
        replay.step(8.0);
        assert!(replay.covers(8.0), "{:?}", replay.present);
    }
    assert!(engines(&replay.present) < 60.0, "{:?}", replay.present);
}

/// Load: 8 engines of work while the spot engines of all zones are taken away one after the other and
/// none are to be had. Callers must find on-demand engines that cover the work.
#[test]
fn on_demand_engines_serve_where_no_zone_has_spot_engines() {
    let mut replay = Replay::new(in_all_zones(Contract::OnDemand, 15));
    for _ in 0..80 {
        replay.step(8.0);
    }
    for zone in ZONES {
        replay.lose_spot_engines_of(zone);
        for _ in 0..10 {
            replay.step(8.0);
        }
    }
    assert!(replay.covers(8.0), "{:?}", replay.present);
    assert!(total(&replay.present, Contract::OnDemand) >= 20);
    replay.zones_without_spot.clear();
    for _ in 0..60 {
        replay.step(8.0);
        assert!(replay.covers(8.0), "{:?}", replay.present);
    }
    assert_eq!(total(&replay.present, Contract::OnDemand), 0);
}

/// Load: 8 engines of work; a new leader first knows a hundredth of it. It must not release engines
/// that carry the rest.
#[test]
fn a_new_leader_keeps_the_engines_until_it_knows_the_load() {
    let mut replay = Replay::new(in_all_zones(Contract::OnDemand, 15));
    for _ in 0..80 {
        replay.step(8.0);
    }
    let before = replay.present.clone();
    replay.planner = ForecastPlanner::default();
    for step in 0..40 {
        replay.step(if step < 4 { 0.08 } else { 8.0 });
        let left = engines(&replay.present);
        assert!(left >= engines(&before) - 1.0, "{left} at step {step}");
    }
}

/// Load: none yet, and a directory that is first known in part. The operators' fleet is replaced by
/// spot engines that carry half as much again after the loss of a zone, since operators cannot plan
/// for peaks; no caller is without engines meanwhile.
#[test]
fn before_any_load_the_operators_fleet_is_replaced_by_spot_engines() {
    let mut replay = Replay::new([((Arc::from("a"), Contract::OnDemand), 1)].into());
    replay.step(0.0);
    replay.booting.clear();
    replay.present = in_all_zones(Contract::OnDemand, 10);
    for _ in 0..60 {
        let (_plan, forecast) = replay.step(0.0);
        assert_eq!(forecast.binding, Binding::InitialFleet);
        assert!(engines(&replay.present) >= 30.0, "{:?}", replay.present);
    }
    assert_eq!(total(&replay.present, Contract::OnDemand), 0);
    assert_eq!(total(&replay.present, Contract::Spot), 69);
    replay.planner = ForecastPlanner::default();
    for _ in 0..60 {
        replay.step(0.0);
    }
    let after_restart = total(&replay.present, Contract::Spot);
    assert_eq!(after_restart, 69, "the headroom is added only once");
}

/// Load: streams that hold slots but cause little work. Engines must have slots for them.
#[test]
fn held_slots_need_engines_of_their_own() {
    let mut planner = ForecastPlanner::default();
    let present = in_all_zones(Contract::Spot, 5);
    let autoscaling = autoscaling();
    let work = |slots| {
        Some(StageWork {
            prefill: 4.0,
            decode: 0.3,
            slots,
            ..StageWork::default()
        })
    };
    planner.observe(work(0.0), 0.5, &present, &autoscaling, Instant::now());
    let without = planner.forecast(&autoscaling).expect("a forecast").observed;
    planner.observe(work(12.0), 0.5, &present, &autoscaling, Instant::now());
    let with = planner.forecast(&autoscaling).expect("a forecast").observed;
    assert!(without >= 8.0, "{without}");
    assert!((with - 28.0).abs() < 1e-9, "{with}: 8 read, 20 hold slots");
}

fn utilization(prompt_ms: f64, latency_ms: u64, gaps: Option<GapTarget>) -> f64 {
    let mut times = PromptTimes::default();
    for _ in 0..20 {
        times.record(&Arc::from("s"), prompt_ms / 1_000.0);
    }
    let latency = Duration::from_millis(latency_ms);
    acceptable_utilization(WaitTargets { latency, gaps }, times.of("s"))
}

/// Load: prompts of one length. The longer they are compared with the target, the more engines.
#[test]
fn utilization_follows_from_targets_and_prompt_times() {
    let short = utilization(5.0, 500, None);
    let longer = utilization(60.0, 500, None);
    let longest = utilization(400.0, 500, None);
    assert!(
        short > longer && longer > longest,
        "{short} {longer} {longest}"
    );
    assert!((0.2..=0.8).contains(&short) && (0.2..=0.8).contains(&longest));
    let gaps = GapTarget {
        headroom: Duration::from_millis(150),
        gaps_per_stream: 70.0,
    };
    let with_gaps = utilization(30.0, 500, Some(gaps));
    assert!(with_gaps < utilization(30.0, 500, None), "{with_gaps}");
    let nothing_known = PromptTimes::default();
    let targets = WaitTargets {
        latency: Duration::ZERO,
        gaps: Some(gaps),
    };
    let unknown = acceptable_utilization(targets, nothing_known.of("s"));
    assert!(
        unknown <= longest,
        "{unknown}: too little known means more engines"
    );
    let mut hardly_known = PromptTimes::default();
    hardly_known.record(&Arc::from("s"), 0.001);
    assert_eq!(hardly_known.of("s"), None, "one short prompt tells nothing");
}

/// Load: any list of work, with engines lost at any time. Plans stay within the bounds of the zones,
/// and what is planned covers the work after the loss of a zone as far as the maximum allows.
#[test]
fn plans_stay_within_bounds_for_any_load() {
    bolero::check!()
        .with_type::<Vec<(u8, bool)>>()
        .for_each(|load| {
            let mut replay = Replay::new(in_all_zones(Contract::OnDemand, 15));
            for (work, is_zone_lost) in load.iter().take(60) {
                if *is_zone_lost {
                    replay.present.insert((Arc::from("b"), Contract::Spot), 0);
                }
                let work = f64::from(*work) / 4.0;
                let (plan, forecast) = replay.step(work);
                for zone in ZONES {
                    let of = |kind| plan.desired[&(Arc::from(zone), kind)];
                    let both = of(Contract::OnDemand) + of(Contract::Spot);
                    assert!((1..=30).contains(&both), "{plan:?}");
                }
                assert!(forecast.needed >= 0.0 && forecast.needed.is_finite());
                let needed = (work / UTILIZATION).min(60.0);
                let level = forecast.observed.min(60.0);
                assert!((needed - level).abs() < 1e-9);
            }
        });
}
