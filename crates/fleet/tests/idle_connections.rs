//! Near-equal engines: those to which the daemon has an idle connection are preferred, without
//! sending all daemons to the same ones.

mod support;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ponddrift_fleet::configuration::EngineTraits;
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::placement::{
    IdleConnections, LatencyTargets, Outstanding, Placement, PromptRequest, Urgency, WorkReport,
    WorkRow,
};
use ponddrift_fleet::prompt::Prompt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use support::engines;

const PLANS: u32 = 100;

struct Daemon {
    placement: Placement,
    engines: Vec<Arc<BackEnd>>,
    random: Pcg64Mcg,
    now: Instant,
}

impl Daemon {
    fn new(connected: &[usize], seed: u64) -> Self {
        let engines = engines(2, 12);
        let mut placement = Placement::new(Arc::from("a"));
        placement.idle_connections = IdleConnections {
            addresses: Some(
                connected
                    .iter()
                    .map(|index| engines[*index].address)
                    .collect(),
            ),
            opening_ms: Some(2.0),
        };
        Self {
            placement,
            engines,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Instant::now(),
        }
    }

    /// Index of the engine that generates the answer to a short prompt.
    fn choose(&mut self) -> usize {
        let traits = EngineTraits {
            slots: 32,
            cache_tokens: 400_000,
            token_bytes: 163_840,
            link_megabits: 1_400_000.0,
            stage_change: Duration::from_secs(1),
        };
        let prompt = Prompt {
            input_tokens: 200,
            output_tokens: 70,
            parts: Vec::new(),
        };
        let request = PromptRequest {
            prompt: &prompt,
            latency_targets: LatencyTargets {
                latency: Duration::from_millis(150),
                gap: Some(Duration::from_millis(200)),
            },
            traits: &traits,
            urgency: Urgency::InTime,
            body_bytes: 1_000,
            stream: None,
        };
        let plan =
            self.placement
                .plan_prompt(&self.engines, &[], &request, self.now, &mut self.random);
        let chosen = plan.expect("an engine").decode;
        let position = self
            .engines
            .iter()
            .position(|engine| engine.id == chosen.id);
        position.expect("a known engine")
    }

    fn add_work(&mut self, engine: usize, prompt_tokens: f64) {
        let row = WorkRow {
            id: Arc::clone(&self.engines[engine].id),
            outstanding: Outstanding {
                requests: 1.0,
                prompt_tokens,
                ..Outstanding::default()
            },
        };
        let report = WorkReport {
            origin: 7,
            sequence: 1,
            rows: vec![row],
        };
        assert!(self.placement.load.receive(report, self.now));
    }
}

#[test]
fn an_engine_with_an_idle_connection_is_preferred_among_equals() {
    let mut daemon = Daemon::new(&[4, 9], 1);
    let chosen: HashSet<usize> = (0..PLANS).map(|_| daemon.choose()).collect();
    assert_eq!(chosen, HashSet::from([4, 9]));
}

#[test]
fn a_busy_engine_is_not_chosen_for_its_idle_connection() {
    let mut daemon = Daemon::new(&[4], 1);
    daemon.add_work(4, 5_000.0);
    let chosen: HashSet<usize> = (0..PLANS).map(|_| daemon.choose()).collect();
    assert!(!chosen.contains(&4), "{chosen:?}");
}

#[test]
fn all_engines_are_used_where_connections_are_not_considered_or_nothing_is_known() {
    for idle in [
        IdleConnections::default(),
        IdleConnections {
            addresses: Some(HashSet::new()),
            opening_ms: None,
        },
    ] {
        let mut daemon = Daemon::new(&[], 1);
        daemon.placement.idle_connections = idle;
        let chosen: HashSet<usize> = (0..PLANS * 4).map(|_| daemon.choose()).collect();
        assert!(chosen.len() >= 10, "{chosen:?}");
    }
}

/// Each of 60 daemons has three connections of its own. No engine gets more than twice its share.
#[test]
fn daemons_with_connections_of_their_own_do_not_herd() {
    let mut requests: HashMap<usize, u32> = HashMap::new();
    for number in 0..60_usize {
        let connected = [
            number % 12 + 2,
            (number * 5) % 12 + 2,
            (number * 7) % 12 + 2,
        ];
        let mut daemon = Daemon::new(&connected, 1);
        for _ in 0..20 {
            *requests.entry(daemon.choose()).or_default() += 1;
        }
    }
    let most = requests.values().max().copied().unwrap_or_default();
    assert!(most <= 2 * 60 * 20 / 12, "{requests:?}");
}
