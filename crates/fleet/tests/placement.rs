//! Which engines a prompt goes to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::{EngineTraits, Stage};
use ponddrift_fleet::directory::{BackEnd, Lifecycle};
use ponddrift_fleet::health::Outcome;
use ponddrift_fleet::placement::{HeadUse, Outstanding, PeerRow, Placement, PromptPlan};
use ponddrift_fleet::prompt::{Prompt, PromptPart};
use ponddrift_fleet::stages::StageWork;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

struct Scene {
    placement: Placement,
    engines: Vec<Arc<BackEnd>>,
    now: Instant,
    random: Pcg64Mcg,
}

impl Scene {
    fn new(prefill: u8, decode: u8) -> Self {
        let stages = std::iter::repeat_n(Stage::Prefill, usize::from(prefill))
            .chain(std::iter::repeat_n(Stage::Decode, usize::from(decode)));
        let engines = stages.zip(1..).map(|(stage, number)| engine(number, stage));
        let mut placement = Placement::new(Arc::from("a"));
        placement.prefixes.set_capacity(400_000);
        Self {
            placement,
            engines: engines.collect(),
            now: Instant::now(),
            random: Pcg64Mcg::seed_from_u64(3),
        }
    }

    fn plan(&mut self, prompt: &Prompt) -> PromptPlan {
        self.placement
            .plan_prompt(
                &self.engines,
                &[],
                &traits(),
                prompt,
                self.now,
                &mut self.random,
            )
            .expect("an engine")
    }

    fn keep(&mut self, engine: usize, prompt: &Prompt) {
        let usage = HeadUse {
            engine: Arc::clone(&self.engines[engine].id),
            head: prompt.shared_head().expect("a head"),
            tokens: prompt.shared_tokens(),
        };
        self.placement.prefixes.used(usage, self.now);
    }

    fn peer_works_at(&mut self, engine: usize, prompt_tokens: f64) {
        let row = PeerRow {
            id: Arc::clone(&self.engines[engine].id),
            outstanding: Outstanding {
                requests: 1.0,
                prompt_tokens,
            },
        };
        let peer = Arc::from("peer");
        self.placement.load.hear(&peer, vec![row], self.now);
    }
}

fn engine(number: u8, stage: Stage) -> Arc<BackEnd> {
    Arc::new(BackEnd {
        id: Arc::from(format!("i-{number}")),
        service: Arc::from("models"),
        address: SocketAddr::from(([10, 0, 0, number], 8080)),
        zone: Arc::from("a"),
        slots: 32,
        lifecycle: Lifecycle::Ready,
        stage: Some(stage),
    })
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
    let head = first.shared_head().expect("a head");
    let id = Arc::clone(&scene.engines[0].id);
    assert!(!scene.placement.prefixes.is_kept(&id, head, scene.now));
}

#[test]
fn heads_are_told_to_peers_once() {
    let mut scene = Scene::new(1, 1);
    scene.keep(0, &prompt("h", 13_000, 100));
    assert_eq!(scene.placement.prefixes.take_untold().len(), 1);
    assert!(scene.placement.prefixes.take_untold().is_empty());
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
    let peer = Arc::from("peer");
    scene.placement.peer_work.hear(&peer, told, scene.now);
    scene.placement.work_of_all(scene.now);
    assert!(scene.plan(&short).prefill.is_some());
}

#[test]
fn long_prompts_that_spill_to_decode_engines_count_as_work_for_prefill_engines() {
    let mut scene = Scene::new(0, 2);
    let service = Arc::from("models");
    let plan = scene.plan(&prompt("h", 10_000, 4_000));
    assert!(plan.prefill.is_none());
    scene.placement.meter(&service, &plan, scene.now);
    let rates = scene.placement.work.rates(scene.now);
    let work = rates[0].1;
    assert!(work.prefill > 0.1 && work.decode_reading > work.prefill);
    assert!(work.decode < 0.01, "{work:?}");
}
