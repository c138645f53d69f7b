//! Which engines a prompt goes to.

mod support;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::{EngineTraits, Stage};
use ponddrift_fleet::directory::{BackEnd, ColdStart};
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{
    LatencyTargets, HandOver, PrefixState, PrefixUse, Outstanding, Placement, PromptPlan, PromptRequest, Urgency,
    WorkReport, WorkRow,
};
use ponddrift_fleet::prompt::{Prompt, PromptPart};
use ponddrift_fleet::rate_limits::{
    Allowance, AnnouncedRate, Members, MembersTrust, RateAnswer, RequestRate,
};
use ponddrift_fleet::stages::StageWork;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::engines;

const AIMS: LatencyTargets = LatencyTargets {
    latency: Duration::from_millis(500),
    gap: Some(Duration::from_millis(150)),
};

struct Scene {
    placement: Placement,
    engines: Vec<Arc<BackEnd>>,
    now: Instant,
    random: Pcg64Mcg,
    urgency: Urgency,
}

impl Scene {
    fn new(prefill: u8, decode: u8) -> Self {
        let mut placement = Placement::new(Arc::from("a"));
        placement.prefixes.set_capacity(400_000);
        Self {
            placement,
            engines: engines(prefill, decode),
            now: Instant::now(),
            random: Pcg64Mcg::seed_from_u64(3),
            urgency: Urgency::InTime,
        }
    }

    fn plan(&mut self, prompt: &Prompt) -> PromptPlan {
        self.placement
            .plan_prompt(
                &self.engines,
                &[],
                &PromptRequest {
                    prompt,
                    latency_targets: AIMS,
                    traits: &traits(),
                    urgency: self.urgency,
                    body_bytes: 20_000,
                },
                self.now,
                &mut self.random,
            )
            .expect("an engine")
    }

    fn keep(&mut self, engine: usize, prompt: &Prompt) {
        self.note(engine, prompt, PrefixState::Cached);
    }

    fn note(&mut self, engine: usize, prompt: &Prompt, state: PrefixState) {
        let usage = PrefixUse::of(prompt, &self.engines[engine], state).expect("a head");
        self.placement.prefixes.used(usage, self.now);
    }

    fn believes(&self, engine: usize, prompt: &Prompt) -> Option<PrefixState> {
        let head = prompt.shared_prefix().expect("a head");
        let id = &self.engines[engine].id;
        self.placement.prefixes.state(id, head, self.now)
    }

    /// Work that other daemons brought to an engine.
    fn peer_report(&self, engine: usize, sequence: u32, outstanding: Outstanding) -> WorkReport {
        let row = WorkRow {
            id: Arc::clone(&self.engines[engine].id),
            outstanding,
        };
        WorkReport {
            origin: 7,
            sequence,
            rows: vec![row],
        }
    }

    fn decode_choice(&mut self, prompt: &Prompt) -> Arc<str> {
        let chosen = self.placement.choose_decode(
            &self.engines,
            &[],
            Some(prompt),
            self.now,
            &mut self.random,
        );
        Arc::clone(&chosen.expect("an engine").id)
    }

    fn peer_works_at(&mut self, engine: usize, prompt_tokens: f64) {
        self.peer_works_at_as(7, engine, prompt_tokens);
    }

    fn peer_works_at_as(&mut self, origin: u64, engine: usize, prompt_tokens: f64) {
        let outstanding = Outstanding {
            requests: 1.0,
            prompt_tokens,
            ..Outstanding::default()
        };
        let mut report = self.peer_report(engine, 1, outstanding);
        report.origin = origin;
        assert!(self.placement.load.receive(report, self.now));
    }
}

fn traits() -> EngineTraits {
    EngineTraits {
        slots: 32,
        cache_tokens: 400_000,
        token_bytes: 163_840,
        link_megabits: 1_400_000.0,
        stage_change: Duration::from_secs(1),
    }
}

fn prompt(head: &str, shared: u32, own: u32) -> Prompt {
    let part = |id: &str, tokens| PromptPart {
        id: Arc::from(id),
        tokens,
    };
    Prompt {
        input_tokens: shared + own,
        output_tokens: 20,
        parts: vec![part(head, shared), part("own", own)],
    }
}

#[test]
fn a_short_prompt_is_read_where_it_is_answered() {
    let mut scene = Scene::new(2, 3);
    let plan = scene.plan(&prompt("h", 60, 250));
    assert!(plan.prefill.is_none());
    assert_eq!(plan.decode.stage, Some(Stage::Decode));
}

#[test]
fn a_long_prompt_is_read_apart() {
    let mut scene = Scene::new(2, 3);
    let plan = scene.plan(&prompt("h", 13_000, 3_700));
    assert!(plan.prefill.is_some());
}

#[test]
fn prompts_with_one_unknown_head_meet_at_one_engine() {
    let mut scene = Scene::new(5, 3);
    let asked = prompt("h", 13_000, 3_700);
    let first = scene.plan(&asked).prefill.expect("apart").id.clone();
    for _ in 0..20 {
        assert_eq!(scene.plan(&asked).prefill.expect("apart").id, first);
    }
}

#[test]
fn a_head_that_is_kept_draws_its_prompts() {
    for keeper in 0..3 {
        let mut scene = Scene::new(3, 3);
        let asked = prompt("h", 13_000, 3_700);
        scene.keep(keeper, &asked);
        let plan = scene.plan(&asked);
        assert_eq!(plan.prefill.expect("apart").id, scene.engines[keeper].id);
        assert!(plan.fetch_from.is_none());
        assert!((plan.tokens_to_read - 3_700.0).abs() < 1.0);
    }
}

#[test]
fn a_busy_keeper_is_spared_and_its_head_fetched() {
    let mut scene = Scene::new(3, 3);
    let asked = prompt("h", 13_000, 3_700);
    scene.keep(0, &asked);
    scene.peer_works_at(0, 60_000.0);
    let plan = scene.plan(&asked);
    assert_ne!(plan.prefill.expect("apart").id, scene.engines[0].id);
    assert_eq!(plan.fetch_from.expect("fetched").id, scene.engines[0].id);
    assert!(
        (plan.tokens_to_read - 3_700.0).abs() < 1.0,
        "the head is not read"
    );
}

#[test]
fn a_head_is_not_fetched_from_an_ejected_engine() {
    let mut scene = Scene::new(2, 2);
    let asked = prompt("h", 13_000, 3_700);
    scene.keep(0, &asked);
    let id = Arc::clone(&scene.engines[0].id);
    let pause = scene
        .placement
        .health
        .record(&id, Outcome::Unreachable, scene.now);
    assert!(pause.is_some());
    let plan = scene.plan(&asked);
    assert_eq!(plan.prefill.expect("apart").id, scene.engines[1].id);
    assert!(plan.fetch_from.is_none());
}

#[test]
fn a_head_that_gave_way_is_no_longer_believed() {
    let mut scene = Scene::new(1, 1);
    let first = prompt("first", 13_000, 100);
    scene.keep(0, &first);
    for number in 0..40 {
        scene.keep(0, &prompt(&format!("later-{number}"), 13_000, 100));
    }
    assert!(scene.believes(0, &first).is_none());
}

#[test]
fn what_follows_heads_pushes_them_out_too() {
    let mut scene = Scene::new(1, 1);
    let first = prompt("first", 13_000, 100);
    scene.keep(0, &first);
    for _ in 0..40 {
        scene.keep(0, &prompt("other", 13_000, 20_000));
    }
    assert!(scene.believes(0, &first).is_none());
    assert!(scene.believes(0, &prompt("other", 13_000, 0)).is_some());
}

#[test]
fn short_prompts_of_all_daemons_push_heads_out() {
    let mut scene = Scene::new(1, 1);
    let first = prompt("first", 13_000, 100);
    scene.keep(0, &first);
    let id = Arc::clone(&scene.engines[0].id);
    scene.placement.prefixes.record_inserted_tokens(&id, 500_000);
    assert!(scene.believes(0, &first).is_none());
}

#[test]
fn short_heads_are_neither_remembered_nor_told() {
    let scene = Scene::new(1, 1);
    let short = prompt("h", 90, 300);
    assert!(PrefixUse::of(&short, &scene.engines[0], PrefixState::Cached).is_none());
}

#[test]
fn a_head_on_its_way_is_waited_for_until_it_is_kept_somewhere() {
    let mut scene = Scene::new(2, 1);
    let asked = prompt("h", 13_000, 100);
    let comes = |scene: &Scene| {
        let engines = &scene.engines;
        scene.placement.is_prefix_pending(engines, &asked, scene.now)
    };
    assert!(!comes(&scene));
    scene.note(0, &asked, PrefixState::Pending);
    assert!(comes(&scene));
    scene.keep(0, &asked);
    assert!(!comes(&scene));
    scene.note(0, &asked, PrefixState::Pending);
    assert_eq!(scene.believes(0, &asked), Some(PrefixState::Cached));
}

#[test]
fn a_head_whose_reading_was_lost_is_not_waited_for_any_longer() {
    let mut scene = Scene::new(1, 1);
    let asked = prompt("h", 13_000, 100);
    scene.note(0, &asked, PrefixState::Pending);
    scene.now += Duration::from_secs(10);
    assert!(scene.believes(0, &asked).is_none());
}

#[test]
fn prompts_go_on_where_their_head_is_kept_already() {
    let mut scene = Scene::new(1, 8);
    let asked = prompt("h", 13_000, 100);
    scene.keep(5, &asked);
    let keeper = Arc::clone(&scene.engines[5].id);
    for _ in 0..20 {
        assert_eq!(scene.decode_choice(&asked), keeper);
    }
}

#[test]
fn an_unknown_head_goes_on_at_one_engine_whoever_decides() {
    let asked = prompt("h", 13_000, 100);
    let choices: Vec<Arc<str>> = (0..10)
        .map(|seed| {
            let mut scene = Scene::new(1, 8);
            scene.random = Pcg64Mcg::seed_from_u64(seed);
            scene.decode_choice(&asked)
        })
        .collect();
    assert!(choices.iter().all(|choice| *choice == choices[0]));
}

#[test]
fn a_nearly_full_engine_is_left_though_it_keeps_the_head() {
    let mut scene = Scene::new(1, 8);
    let asked = prompt("h", 13_000, 100);
    scene.keep(5, &asked);
    let full = Outstanding {
        requests: f64::from(scene.engines[5].slots) * 1.2,
        ..Outstanding::default()
    };
    let report = scene.peer_report(5, 1, full);
    scene.placement.load.receive(report, scene.now);
    let keeper = Arc::clone(&scene.engines[5].id);
    assert_ne!(scene.decode_choice(&asked), keeper);
}

#[test]
fn a_report_that_comes_late_changes_nothing() {
    let mut scene = Scene::new(2, 1);
    let work = |requests| Outstanding {
        requests,
        ..Outstanding::default()
    };
    let newer = scene.peer_report(0, 5, work(2.0));
    let older = scene.peer_report(0, 4, work(9.0));
    assert!(scene.placement.load.receive(newer, scene.now));
    assert!(!scene.placement.load.receive(older, scene.now));
    let requests = scene.placement.load.requests(&scene.engines[0].id);
    assert!((requests - 2.0).abs() < 1e-9, "{requests}");
}

#[test]
fn an_engine_stays_away_for_the_longest_time_that_was_told() {
    let mut scene = Scene::new(0, 2);
    let engine = Arc::clone(&scene.engines[0]);
    let other = Arc::clone(&scene.engines[1].id);
    scene
        .placement
        .suspend_engine(&engine, Duration::from_secs(2), false, scene.now);
    scene
        .placement
        .suspend_engine(&engine, Duration::from_millis(200), false, scene.now);
    scene.now += Duration::from_secs(1);
    for _ in 0..10 {
        assert_eq!(scene.plan(&prompt("h", 60, 250)).decode.id, other);
    }
}

#[test]
fn heads_are_told_to_peers_once() {
    let mut scene = Scene::new(1, 1);
    scene.keep(0, &prompt("h", 13_000, 100));
    assert_eq!(scene.placement.prefixes.take_unpublished().len(), 1);
    assert!(scene.placement.prefixes.take_unpublished().is_empty());
}

#[test]
fn work_that_a_peer_told_of_is_forgotten_when_the_peer_falls_silent() {
    let mut scene = Scene::new(2, 1);
    scene.peer_works_at(0, 60_000.0);
    scene.now += Duration::from_secs(10);
    scene.peer_works_at(1, 1.0);
    let outstanding = scene.placement.load.outstanding(&scene.engines[0].id);
    assert!(outstanding.prompt_tokens < 1.0);
}

#[test]
fn where_all_engines_are_ejected_they_all_count() {
    let mut scene = Scene::new(0, 2);
    for engine in scene.engines.clone() {
        scene
            .placement
            .health
            .record(&engine.id, Outcome::Unreachable, scene.now);
    }
    scene.plan(&prompt("h", 60, 250));
}

#[test]
fn short_prompts_are_read_apart_while_decode_engines_read_most_of_their_time() {
    let mut scene = Scene::new(3, 3);
    let short = prompt("h", 60, 250);
    assert!(scene.plan(&short).prefill.is_none());
    let busy = StageWork {
        decode_reading: 2.4,
        ..StageWork::default()
    };
    let service = Arc::from("models");
    let told = vec![(service, busy)];
    scene.placement.peer_work.receive(7, told, scene.now);
    scene.placement.fleet_work(scene.now);
    assert!(scene.plan(&short).prefill.is_some());
}

#[test]
fn long_prompts_that_spill_to_decode_engines_count_as_work_for_prefill_engines() {
    let mut scene = Scene::new(0, 2);
    let service = Arc::from("models");
    let plan = scene.plan(&prompt("h", 10_000, 4_000));
    assert!(plan.prefill.is_none());
    scene.placement.record_prompt_work(&service, &plan, AIMS, scene.now);
    let rates = scene.placement.work.rates(scene.now);
    let work = rates[0].1;
    assert!(work.prefill > 0.1 && work.decode_reading > work.prefill);
    assert!(work.decode < 0.01, "{work:?}");
}

#[test]
fn of_many_engines_that_change_the_latest_are_told_first() {
    let mut scene = Scene::new(0, 20);
    for engine in scene.engines.clone() {
        scene
            .placement
            .suspend_engine(&engine, Duration::from_secs(2), true, scene.now);
        scene.now += Duration::from_millis(50);
    }
    let told = scene.placement.suspended_engines(scene.now);
    assert_eq!(told.len(), 20);
    assert_eq!(told[0].0, scene.engines[19].id);
}

#[test]
fn on_a_full_link_a_body_leaves_once() {
    let mut scene = Scene::new(2, 3);
    let long = prompt("h", 13_000, 3_700);
    assert!(scene.plan(&long).prefill.is_some());
    scene.placement.link.set_megabits(1);
    let slow = prompt("h", 0, 1_500);
    let plan = scene.plan(&slow);
    assert!(plan.prefill.is_none(), "a second body takes 166 ms");
    assert!(plan.expected_ms > 160.0, "{}", plan.expected_ms);
}

#[test]
fn what_waits_at_the_own_link_leaves_at_its_pace() {
    let mut scene = Scene::new(1, 1);
    let link = &mut scene.placement.link;
    link.record_send(1_000_000, scene.now);
    assert!(
        link.wait_ms(scene.now) < 1e-9,
        "a link of unknown speed is free"
    );
    link.set_megabits(8);
    let full = link.wait_ms(scene.now);
    assert!((1_000.0..1_001.0).contains(&full), "{full}");
    let later = link.wait_ms(scene.now + Duration::from_millis(600));
    assert!((400.0..401.0).contains(&later), "{later}");
    assert!(link.wait_ms(scene.now + Duration::from_secs(2)) < 1e-9);
}

/// A service whose streams pause 50 ms where nothing is read, and 100 streams of other daemons at every decode engine.
fn with_streams(decode: u8) -> Scene {
    let mut scene = Scene::new(1, decode);
    let service = Arc::from("models");
    for _ in 0..200 {
        scene
            .placement
            .streams
            .record_baseline_gap(&service, Duration::from_millis(50));
    }
    let rows = scene.engines[1..].iter().map(|engine| WorkRow {
        id: Arc::clone(&engine.id),
        outstanding: Outstanding {
            requests: 10.0,
            generating: 10.0,
            ..Outstanding::default()
        },
    });
    let report = WorkReport {
        origin: 7,
        sequence: 1,
        rows: rows.collect(),
    };
    scene.placement.load.receive(report, scene.now);
    scene
}

#[test]
fn a_reading_that_would_make_streams_late_is_done_apart_though_that_takes_longer() {
    let mut scene = with_streams(2);
    // The only prefill engine is busy for 200 ms; a decode engine would have read it after 130.
    scene.peer_works_at_as(9, 0, 6_000.0);
    let plan = scene.plan(&prompt("h", 0, 2_000));
    assert!(
        plan.prefill.is_some(),
        "20 streams would pause 180 ms of 150"
    );
    let mut alone = Scene::new(1, 2);
    alone.peer_works_at_as(9, 0, 6_000.0);
    let plan = alone.plan(&prompt("h", 0, 2_000));
    assert!(plan.prefill.is_none(), "nobody is late by it there");
}

#[test]
fn a_short_reading_holds_no_stream_up() {
    let mut scene = with_streams(2);
    let plan = scene.plan(&prompt("h", 0, 300));
    assert!(plan.prefill.is_none());
}

#[test]
fn a_reading_costs_what_it_delays_those_that_come_meanwhile() {
    let mut scene = Scene::new(1, 2);
    let long = prompt("h", 0, 2_000);
    scene.peer_works_at_as(9, 0, 6_000.0);
    assert!(scene.plan(&long).prefill.is_none());
    let service = Arc::from("models");
    for _ in 0..400 {
        scene
            .placement
            .arrivals
            .add(&service, Stage::Decode, scene.now);
        scene.now += Duration::from_millis(5);
    }
    scene.peer_works_at_as(10, 0, 6_000.0);
    assert!(
        scene.plan(&long).prefill.is_some(),
        "100 short prompts a second come to each decode engine"
    );
}

#[test]
fn a_request_that_can_be_in_time_passes_by_those_that_cannot() {
    let mut scene = Scene::new(1, 1);
    let late = Outstanding {
        requests: 40.0,
        late_waiting: 40.0,
        late_tokens: 200_000.0,
        ..Outstanding::default()
    };
    for (origin, engine) in [(7, 0), (8, 1)] {
        let mut report = scene.peer_report(engine, 1, late);
        report.origin = origin;
        scene.placement.load.receive(report, scene.now);
    }
    let asked = prompt("h", 0, 1_000);
    let in_time = scene.plan(&asked).expected_ms;
    scene.urgency = Urgency::Late;
    let behind = scene.plan(&asked).expected_ms;
    assert!(in_time < 300.0, "{in_time}");
    assert!(behind > 5_000.0, "{behind}");
}

#[test]
fn a_back_end_in_its_slow_start_gets_less_until_it_is_warm() {
    let mut scene = Scene::new(0, 4);
    let left = Duration::from_secs(6);
    let mut cold = (*scene.engines[0]).clone();
    cold.cold_start = Some(ColdStart::seen(left, None, scene.now));
    scene.engines[0] = Arc::new(cold);
    let times_chosen = |scene: &mut Scene| {
        let chosen = (0..200).filter_map(|_| {
            let placement = &scene.placement;
            placement.choose_plain(&scene.engines, &[], scene.now, &mut scene.random)
        });
        chosen.filter(|chosen| &*chosen.id == "i-1").count()
    };
    assert_eq!(times_chosen(&mut scene), 0, "warm ones are free");
    scene.now += left;
    assert!(times_chosen(&mut scene) > 25);
}

/// Engines that read the prompts of forty plans.
fn readers(scene: &mut Scene, asked: &Prompt) -> HashSet<Arc<str>> {
    let plans = (0..40).map(|_| scene.plan(asked));
    let readers = plans.filter_map(|plan| plan.prefill);
    readers.map(|engine| Arc::clone(&engine.id)).collect()
}

/// An engine reads what it has begun to its end: a long prompt that is late anyway joins others of its kind, and leaves the
/// idle engine to those that can be in time.
#[test]
fn late_prompts_gather_where_late_ones_are_read_already() {
    let mut scene = Scene::new(2, 2);
    let late = Outstanding {
        requests: 1.0,
        late_waiting: 1.0,
        late_tokens: 12_000.0,
        ..Outstanding::default()
    };
    let report = scene.peer_report(0, 1, late);
    scene.placement.load.receive(report, scene.now);
    for decode_engine in 2..4 {
        scene.peer_works_at_as(20 + decode_engine as u64, decode_engine, 30_000.0);
    }
    let service = Arc::from("models");
    for _ in 0..60 {
        let arrivals = &mut scene.placement.arrivals;
        arrivals.add(&service, Stage::Prefill, scene.now);
    }
    let asked = prompt("h", 0, 20_000);
    scene.urgency = Urgency::Late;
    let joined: HashSet<Arc<str>> = HashSet::from([Arc::clone(&scene.engines[0].id)]);
    assert_eq!(readers(&mut scene, &asked), joined);
    let asked = prompt("h", 0, 2_000);
    scene.urgency = Urgency::InTime;
    let idle: HashSet<Arc<str>> = HashSet::from([Arc::clone(&scene.engines[1].id)]);
    assert_eq!(readers(&mut scene, &asked), idle);
}

/// The KV cache of a long prompt takes twice as long into another zone.
#[test]
fn a_prompt_goes_on_in_the_zone_where_it_was_read() {
    for seed in 0..10 {
        let mut scene = Scene::new(1, 6);
        scene.random = Pcg64Mcg::seed_from_u64(seed);
        for engine in &mut scene.engines[4..] {
            Arc::make_mut(engine).zone = Arc::from("far");
        }
        let mut reader = BackEnd::clone(&scene.engines[0]);
        reader.zone = Arc::from("far");
        let asked = prompt("h", 30_000, 10_000);
        let hand_over = HandOver::of(&asked, &reader, &traits());
        let chosen = scene.placement.choose_decode_after_prefill(
            &scene.engines,
            &[],
            Some(&asked),
            Some(hand_over),
            scene.now,
            &mut scene.random,
        );
        assert_eq!(&*chosen.expect("an engine").zone, "far", "seed {seed}");
    }
}

/// An engine that limits the rate of its requests takes one now and none a moment later: a prefix at home there would move, and be read anew, each time.
#[test]
fn an_engine_that_limits_its_requests_is_no_home_for_prefixes() {
    let mut scene = Scene::new(0, 6);
    let fresh = prompt("never-seen", 8_000, 200);
    let home = scene.plan(&fresh).decode;
    let members = Arc::new(Members {
        own: 1,
        daemons: vec![(Arc::from("a"), 1)],
    });
    let limits = &mut scene.placement.rate_limits;
    limits.set_members(&members, MembersTrust::Confirmed, scene.now);
    let answer = RateAnswer {
        rate: AnnouncedRate::Limited(RequestRate::new(50.0).expect("a rate")),
        sent: scene.now,
        is_of_run: true,
    };
    limits.note(&home, answer, scene.now);
    scene.now += Duration::from_secs(1);
    let allowance = scene.placement.rate_limits.allowance(&home, scene.now);
    assert_eq!(allowance, Allowance::Now, "it would take the request");
    for _ in 0..20 {
        assert_ne!(scene.plan(&fresh).decode.id, home.id);
    }
}
