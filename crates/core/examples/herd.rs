//! Simulates how well many daemons spread requests given the same stale view (herding).
//!
//! Discrete-event model: engines prefill prompts sequentially, and all daemons receive the same
//! digest of each engine at fixed intervals. Compares the router, random, round robin, least loaded
//! by the stale view and least loaded by the actual queues. Prints one JSON document.
//!
//! `cargo run --release -p ponddrift-core --example herd`

use std::time::Duration;

use ponddrift_core::load::{LoadDigest, PROMPT_BLOCK_TOKENS};
use ponddrift_core::random::{SeededRandom, seeded};
use ponddrift_core::routing::{
    BackEndKind, BackEndView, EngineView, PlacementPlan, RouteRequest, RouteTarget, Router,
    RouterSettings, RoutingEvent, SendOutcome, SendStage, Sent, VersionRule,
};
use ponddrift_core::{
    CellName, EngineRole, Incarnation, MachineId, ModelName, RegionName, RequestId, Timestamp,
    ZoneName,
};
use rand::RngExt;
use serde::Serialize;

const TOKENS_PER_SECOND: f64 = 10_000.0;
const MEAN_PROMPT_TOKENS: f64 = 2_000.0;
const SIMULATED_TIME: Duration = Duration::from_secs(120);
const WARM_UP: Duration = Duration::from_secs(20);
const DIGEST_LAG: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Strategy {
    Router,
    Random,
    RoundRobin,
    LeastLoadedOfStaleView,
    AllKnowing,
}

const STRATEGIES: [Strategy; 5] = [
    Strategy::Router,
    Strategy::Random,
    Strategy::RoundRobin,
    Strategy::LeastLoadedOfStaleView,
    Strategy::AllKnowing,
];

#[derive(Debug, Clone, Copy, Serialize)]
struct Scenario {
    engines: u32,
    daemons: usize,
    load: f64,
    digest_interval_ms: u64,
}

const SCENARIOS: [Scenario; 5] = [
    Scenario {
        engines: 12,
        daemons: 8,
        load: 0.8,
        digest_interval_ms: 500,
    },
    Scenario {
        engines: 48,
        daemons: 30,
        load: 0.8,
        digest_interval_ms: 500,
    },
    Scenario {
        engines: 48,
        daemons: 30,
        load: 0.8,
        digest_interval_ms: 2_000,
    },
    Scenario {
        engines: 48,
        daemons: 30,
        load: 0.9,
        digest_interval_ms: 500,
    },
    Scenario {
        engines: 48,
        daemons: 4,
        load: 0.9,
        digest_interval_ms: 500,
    },
];

#[derive(Debug, Serialize)]
struct Figures {
    strategy: Strategy,
    requests: usize,
    mean_ms: f64,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    longest_queue: usize,
}

#[derive(Debug, Serialize)]
struct Outcome {
    scenario: Scenario,
    figures: Vec<Figures>,
}

struct Job {
    request: RequestId,
    daemon: usize,
    ends_at: Timestamp,
}

#[derive(Default)]
struct Engine {
    jobs: Vec<Job>,
}

impl Engine {
    fn waiting_tokens(&self, now: Timestamp) -> f64 {
        let free_at = self.jobs.last().map_or(now, |job| job.ends_at);
        free_at.since(now).as_secs_f64() * TOKENS_PER_SECOND
    }
}

fn exponential(random: &mut SeededRandom, mean: f64) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn view(engine: u32) -> RoutingEvent {
    RoutingEvent::BackEnd(BackEndView {
        id: MachineId(engine),
        kind: BackEndKind::Engine(EngineView {
            cell: name::<CellName>("cell"),
            incarnation: Incarnation(1),
            role: Some(EngineRole::Mixed),
            model: Some(name::<ModelName>("model")),
            version: 1,
            adapters: Vec::new(),
        }),
        zone: name::<ZoneName>("zone"),
        region: name::<RegionName>("region"),
        draining: false,
    })
}

struct Model {
    scenario: Scenario,
    strategy: Strategy,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    stale_view: Vec<u32>,
    pending_digests: Vec<(Timestamp, Vec<u32>)>,
    next_engine: Vec<usize>,
    arrivals: SeededRandom,
    choices: SeededRandom,
    latencies_ms: Vec<f64>,
    longest_queue: usize,
    sequence: u32,
}

impl Model {
    fn new(scenario: Scenario, strategy: Strategy) -> Self {
        let mut routers: Vec<Router> = (0..scenario.daemons)
            .map(|daemon| Router::new(RouterSettings::default(), daemon as u64))
            .collect();
        for router in &mut routers {
            for engine in 0..scenario.engines {
                router.handle(Timestamp::ZERO, view(engine));
            }
        }
        Self {
            engines: (0..scenario.engines).map(|_| Engine::default()).collect(),
            routers,
            stale_view: vec![0; scenario.engines as usize],
            pending_digests: Vec::new(),
            next_engine: (0..scenario.daemons).collect(),
            arrivals: seeded(7, "arrivals"),
            choices: seeded(7, "choices"),
            latencies_ms: Vec::new(),
            longest_queue: 0,
            sequence: 0,
            scenario,
            strategy,
        }
    }

    fn run(mut self) -> Figures {
        let arrivals = self.scenario.load * f64::from(self.scenario.engines) * TOKENS_PER_SECOND
            / MEAN_PROMPT_TOKENS;
        let mut now = Timestamp::ZERO;
        let mut next_poll = Timestamp::ZERO;
        let mut serial = 0_u128;
        while now.since(Timestamp::ZERO) < SIMULATED_TIME {
            let gap = exponential(&mut self.arrivals, 1.0 / arrivals);
            let arrival = now + Duration::from_secs_f64(gap);
            while next_poll <= arrival {
                self.end_jobs(next_poll);
                self.poll(next_poll);
                next_poll = next_poll + Duration::from_millis(self.scenario.digest_interval_ms);
            }
            now = arrival;
            self.deliver_digests(now);
            self.end_jobs(now);
            serial += 1;
            self.arrive(now, RequestId(serial));
        }
        self.figures()
    }

    fn poll(&mut self, now: Timestamp) {
        let tokens = self
            .engines
            .iter()
            .map(|engine| engine.waiting_tokens(now) as u32);
        self.pending_digests
            .push((now + DIGEST_LAG, tokens.collect()));
    }

    fn deliver_digests(&mut self, now: Timestamp) {
        while self
            .pending_digests
            .first()
            .is_some_and(|(at, _)| *at <= now)
        {
            let (at, tokens) = self.pending_digests.remove(0);
            self.sequence += 1;
            for (engine, waiting) in tokens.iter().enumerate() {
                let digest = LoadDigest {
                    engine: MachineId(engine as u32),
                    incarnation: Incarnation(1),
                    sequence: self.sequence,
                    role: Some(EngineRole::Mixed),
                    waiting: 0,
                    running: 0,
                    waiting_prompt_blocks: (u64::from(*waiting) / PROMPT_BLOCK_TOKENS) as u16,
                    cache_used_permille: 0,
                };
                for router in &mut self.routers {
                    router.handle(at, RoutingEvent::Digest(digest));
                }
            }
            self.stale_view = tokens;
        }
    }

    fn end_jobs(&mut self, now: Timestamp) {
        for (engine, state) in self.engines.iter_mut().enumerate() {
            let done = state
                .jobs
                .iter()
                .take_while(|job| job.ends_at <= now)
                .count();
            for job in state.jobs.drain(..done) {
                let router = &mut self.routers[job.daemon];
                let back_end = MachineId(engine as u32);
                let request = job.request;
                router.handle(job.ends_at, RoutingEvent::FirstToken { request, back_end });
                let outcome = SendOutcome::Succeeded {
                    output_tokens: 1,
                    cached_tokens: None,
                };
                router.handle(
                    job.ends_at,
                    RoutingEvent::Ended {
                        request,
                        back_end,
                        outcome,
                    },
                );
            }
        }
    }

    fn arrive(&mut self, now: Timestamp, request: RequestId) {
        let tokens =
            exponential(&mut self.arrivals, MEAN_PROMPT_TOKENS).clamp(64.0, 32_000.0) as u32;
        let daemon = self.arrivals.random_range(0..self.scenario.daemons);
        let engine = self.choose(now, daemon, request, tokens);
        let state = &mut self.engines[engine];
        let start = state.jobs.last().map_or(now, |job| job.ends_at.max(now));
        let ends_at = start + Duration::from_secs_f64(f64::from(tokens) / TOKENS_PER_SECOND);
        state.jobs.push(Job {
            request,
            daemon,
            ends_at,
        });
        self.longest_queue = self.longest_queue.max(state.jobs.len());
        if now.since(Timestamp::ZERO) >= WARM_UP {
            self.latencies_ms
                .push(ends_at.since(now).as_secs_f64() * 1_000.0);
        }
    }

    fn choose(&mut self, now: Timestamp, daemon: usize, request: RequestId, tokens: u32) -> usize {
        let engines = self.engines.len();
        match self.strategy {
            Strategy::Router => self.choose_by_router(now, daemon, request, tokens),
            Strategy::Random => self.choices.random_range(0..engines),
            Strategy::RoundRobin => {
                self.next_engine[daemon] += 1;
                self.next_engine[daemon] % engines
            }
            Strategy::LeastLoadedOfStaleView => (0..engines)
                .min_by_key(|&engine| self.stale_view[engine])
                .expect("an engine"),
            Strategy::AllKnowing => (0..engines)
                .min_by_key(|&engine| self.engines[engine].waiting_tokens(now) as u64)
                .expect("an engine"),
        }
    }

    fn choose_by_router(
        &mut self,
        now: Timestamp,
        daemon: usize,
        request: RequestId,
        tokens: u32,
    ) -> usize {
        let route = RouteRequest {
            request,
            target: RouteTarget::Completion {
                model: name("model"),
                version: VersionRule::Any,
                adapter: None,
            },
            prompt_tokens: tokens,
            expected_output_tokens: 1,
            prefix_blocks: Vec::new(),
            deadline: now + Duration::from_secs(600),
            priority: 0,
            excluded: Vec::new(),
            avoided_zone: None,
            caller_zone: name("zone"),
            caller_region: name("region"),
            may_probe: true,
        };
        let placement = self.routers[daemon].choose(now, &route).expect("an engine");
        let PlacementPlan::Single { back_end } = placement.plan else {
            unreachable!("all engines are mixed");
        };
        let sent = Sent {
            request,
            back_end,
            stage: SendStage::Whole,
            prompt_tokens: tokens,
            prefix_blocks: Vec::new(),
            priority: 0,
        };
        self.routers[daemon].handle(now, RoutingEvent::Sent(sent));
        back_end.0 as usize
    }

    fn figures(mut self) -> Figures {
        self.latencies_ms.sort_by(f64::total_cmp);
        let count = self.latencies_ms.len();
        let at = |share: f64| self.latencies_ms[((count - 1) as f64 * share) as usize];
        Figures {
            strategy: self.strategy,
            requests: count,
            mean_ms: self.latencies_ms.iter().sum::<f64>() / count as f64,
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            longest_queue: self.longest_queue,
        }
    }
}

fn main() {
    let outcomes: Vec<Outcome> = SCENARIOS
        .iter()
        .map(|&scenario| Outcome {
            scenario,
            figures: STRATEGIES
                .iter()
                .map(|&strategy| Model::new(scenario, strategy).run())
                .collect(),
        })
        .collect();
    println!(
        "{}",
        serde_json::to_string_pretty(&outcomes).expect("plain figures")
    );
}
