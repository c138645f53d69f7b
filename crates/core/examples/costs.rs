//! Benchmarks single operations with 600 engines, 1,900 tenants and 8 models, the fleet size given
//! in `CONTRIBUTING.md`.
//!
//! Runs each operation in several batches and prints the median, fastest and slowest batch as JSON,
//! in microseconds per operation.
//!
//! `cargo run --release -p ponddrift-core --example costs`
#![allow(
    clippy::disallowed_methods,
    reason = "it measures real time; the library does not"
)]

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use ponddrift_core::admission::{
    Admission, AdmissionEvent, AdmissionRequest, AdmissionSettings, Limits,
};
use ponddrift_core::claims::{
    ClaimKey, ClaimMember, ClaimMessage, ClaimReplica, ClaimSettings, ClaimantId, GroupEpoch,
    ShardNumber,
};
use ponddrift_core::configuration::{
    ChangeStep, Configuration, ConfigurationChange, ConfigurationItem, ConfigurationState,
    StoredEntry, TenantSettings, delta_from_writes, key_writes, snapshot_from_entries,
};
use ponddrift_core::load::LoadDigest;
use ponddrift_core::orders::{
    DesiredEngine, DesiredState, EngineReport, LoadedModel, OrdersAction, OrdersEvent,
    OrdersSettings, Reconciler, RolloutLimit, TargetState,
};
use ponddrift_core::roles::{
    DemandSample, EngineAvailability, EngineState, LevelDemand, PlannerProfile, PlannerSettings,
    RolePlanner,
};
use ponddrift_core::routing::{
    BackEndKind, BackEndView, EngineView, RouteRequest, RouteTarget, Router, RouterSettings,
    RoutingEvent, VersionRule,
};
use ponddrift_core::{
    ChangeId, EngineRole, FencingToken, Incarnation, MachineId, RequestId, Revision, Timestamp,
};
use serde::Serialize;

const ENGINES: u32 = 600;
const TENANTS: u32 = 1_900;
const MODELS: u32 = 8;
const ENGINES_PER_CELL: u32 = 48;
const BATCHES: usize = 9;
const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Serialize)]
struct Measurement {
    operation: &'static str,
    median_us: f64,
    fastest_us: f64,
    slowest_us: f64,
    repeats: u32,
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

/// Runs `repeats` calls in each batch and measures their mean duration.
#[allow(
    clippy::disallowed_methods,
    reason = "this program measures the logic from outside"
)]
fn measure(operation: &'static str, repeats: u32, mut call: impl FnMut(u32)) -> Measurement {
    let mut batches: Vec<f64> = (0..BATCHES as u32)
        .map(|batch| {
            let started = Instant::now();
            for repeat in 0..repeats {
                call(batch * repeats + repeat);
            }
            started.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
        })
        .collect();
    batches.sort_by(f64::total_cmp);
    Measurement {
        operation,
        median_us: batches[BATCHES / 2],
        fastest_us: batches[0],
        slowest_us: batches[BATCHES - 1],
        repeats,
    }
}

const fn role(number: u32) -> EngineRole {
    match number % 4 {
        0 => EngineRole::Prefill,
        1 | 2 => EngineRole::Decode,
        _ => EngineRole::Mixed,
    }
}

fn model_name(number: u32) -> ponddrift_core::ModelName {
    name(&format!("model-{}", number % MODELS))
}

fn at(number: u32) -> Timestamp {
    Timestamp::ZERO + SECOND + Duration::from_millis(u64::from(number))
}

fn router() -> Router {
    let mut router = Router::new(RouterSettings::default(), 1);
    for engine in 0..ENGINES {
        let view = BackEndView {
            id: MachineId(engine),
            kind: BackEndKind::Engine(EngineView {
                cell: name(&format!("cell-{}", engine / ENGINES_PER_CELL)),
                incarnation: Incarnation(1),
                role: Some(role(engine / MODELS)),
                model: Some(model_name(engine)),
                version: 1,
                adapters: Vec::new(),
            }),
            zone: name(&format!("zone-{}", engine % 7)),
            region: name("north"),
            draining: false,
        };
        router.handle(Timestamp::ZERO, RoutingEvent::BackEnd(view));
        router.handle(Timestamp::ZERO, RoutingEvent::Digest(digest(engine, 1)));
    }
    router
}

fn digest(engine: u32, sequence: u32) -> LoadDigest {
    LoadDigest {
        engine: MachineId(engine),
        incarnation: Incarnation(1),
        sequence,
        role: Some(role(engine / MODELS)),
        waiting: 1,
        running: (engine % 32) as u16,
        waiting_prompt_blocks: (engine % 16) as u16,
        cache_used_permille: 400,
    }
}

fn routing() -> [Measurement; 2] {
    let mut router = router();
    let choice = measure(
        "router: choose among 600 engines of 8 models",
        200,
        |number| {
            let request = RouteRequest {
                request: RequestId(u128::from(number)),
                target: RouteTarget::Completion {
                    model: model_name(number),
                    adapter: None,
                    version: VersionRule::Any,
                },
                prompt_tokens: 2_000,
                expected_output_tokens: 450,
                prefix_blocks: (0..30)
                    .map(|block| u64::from(number) * 64 + block)
                    .collect(),
                priority: 0,
                caller_zone: name("zone-1"),
                caller_region: name("north"),
                deadline: at(number) + SECOND,
                excluded: Vec::new(),
                avoided_zone: None,
                may_probe: true,
            };
            black_box(router.choose(at(number), &request).expect("an engine"));
        },
    );
    let digests = measure("router: take one load digest", 20_000, |number| {
        let digest = digest(number % ENGINES, 2 + number / ENGINES);
        router.handle(at(number), RoutingEvent::Digest(digest));
    });
    [choice, digests]
}

fn admission() -> Measurement {
    let settings = AdmissionSettings::default();
    let mut admission = Admission::new(settings, 1);
    admission.handle(
        Timestamp::ZERO,
        AdmissionEvent::CapacityChanged { slots: 256 },
    );
    let limits = Limits {
        requests_per_second: 10_000,
        tokens_per_second: 10_000_000,
        concurrency: 10_000,
    };
    let tenants: IndexMap<_, _> = (0..TENANTS)
        .map(|tenant| (name(&format!("tenant-{tenant}")), limits))
        .collect();
    let services = IndexMap::new();
    admission.handle(
        Timestamp::ZERO,
        AdmissionEvent::LimitsChanged { tenants, services },
    );
    measure(
        "admission: one request in and out, 1,900 tenants",
        20_000,
        |number| {
            let id = RequestId(u128::from(number));
            let request = AdmissionRequest {
                id,
                tenant: name(&format!("tenant-{}", number % TENANTS)),
                weight: 1,
                service: name("service"),
                level: 0,
                deadline: at(number) + SECOND,
                expected_tokens: 2_450,
                expected_service: SECOND,
            };
            black_box(admission.handle(at(number), AdmissionEvent::Arrived(request)));
            let finished = AdmissionEvent::Finished {
                id,
                used_tokens: 2_450,
            };
            black_box(admission.handle(at(number), finished));
        },
    )
}

fn claims() -> Measurement {
    let to = ClaimMember {
        machine: MachineId(1),
        incarnation: Incarnation(1),
    };
    let shard = ShardNumber(0);
    let epoch = GroupEpoch(1);
    let mut replica = ClaimReplica::new(ClaimSettings::default(), to);
    let begin = ClaimMessage::InstallFresh {
        shard,
        epoch,
        to,
        quarantined: false,
    };
    replica.handle(Timestamp::ZERO, begin);
    measure("claims: one claim at one replica", 2_000, |number| {
        let claimant = ClaimantId {
            daemon: ClaimMember {
                machine: MachineId(2),
                incarnation: Incarnation(1),
            },
            request: RequestId(u128::from(number)),
            round: 0,
        };
        let claim = ClaimMessage::Claim {
            shard,
            epoch,
            to,
            key: ClaimKey(u128::from(number)),
            claimant,
            fingerprint: 1,
        };
        // Spread the claims in time, so that the table expires old ones as in production.
        black_box(replica.handle(at(number * 50), claim));
    })
}

fn tenant(number: u32, weight: u32) -> ConfigurationItem {
    ConfigurationItem::Tenant {
        name: name(&format!("tenant-{number}")),
        settings: TenantSettings {
            requests_per_second: 10,
            concurrency: 50,
            tokens_per_second: 5_000,
            weight,
        },
    }
}

fn first_configuration() -> Configuration {
    let steps = (0..TENANTS).map(|number| ChangeStep::Insert(tenant(number, 1)));
    let change = ConfigurationChange {
        id: ChangeId(1),
        author: "costs".to_owned(),
        expected: None,
        steps: steps.collect(),
    };
    let entries: Vec<StoredEntry> = key_writes(&change, None)
        .into_iter()
        .filter_map(|write| match write {
            ponddrift_core::configuration::KeyWrite::Put { key, value_json } => Some(StoredEntry {
                key,
                value_json,
                mod_revision: Revision(1),
            }),
            ponddrift_core::configuration::KeyWrite::Delete { .. } => None,
        })
        .collect();
    let (configuration, _head) = snapshot_from_entries(&entries).expect("own entries");
    configuration
}

fn configuration() -> Vec<Measurement> {
    let first = first_configuration();
    let bytes = borsh::to_vec(&first).expect("memory");
    eprintln!("snapshot of {TENANTS} tenants: {} bytes", bytes.len());
    let decode = measure("configuration: decode a snapshot", 20, |_number| {
        black_box(borsh::from_slice::<Configuration>(&bytes).expect("own bytes"));
    });
    let copy = measure("configuration: copy for publishing", 50, |_number| {
        black_box(first.clone());
    });
    let mut state = ConfigurationState::default();
    state.apply_snapshot(first);
    let apply = measure("configuration: apply one change", 2_000, |number| {
        let revision = state.revision();
        let change = ConfigurationChange {
            id: ChangeId(u128::from(number)),
            author: "costs".to_owned(),
            expected: None,
            steps: vec![ChangeStep::Update(tenant(number % TENANTS, number))],
        };
        let latest = ponddrift_core::configuration::StoredLatestChange {
            latest: ponddrift_core::configuration::LatestChange {
                change: ChangeId(0),
                author: String::new(),
                previous: Revision(0),
                recent: Vec::new(),
            },
            revision,
        };
        let writes = key_writes(&change, Some(&latest));
        let next = Revision(revision.0 + 1);
        let delta = delta_from_writes(next, &writes).expect("own writes");
        black_box(state.apply_delta(delta));
    });
    vec![decode, copy, apply]
}

fn report(token: u64) -> EngineReport {
    EngineReport {
        incarnation: Incarnation(1),
        token: FencingToken(token),
        role: Some(EngineRole::Mixed),
        model: Some(LoadedModel {
            model: name("model-0"),
            version: 1,
            adapters: Vec::new(),
        }),
        running_order: None,
        last_order: None,
        requests: 2,
    }
}

fn reconciler() -> Measurement {
    let mut reconciler = Reconciler::new(OrdersSettings::default(), FencingToken(7));
    let target = TargetState {
        role: EngineRole::Mixed,
        model: report(7).model.expect("a model"),
    };
    let desired_engine = |engine| DesiredEngine {
        engine: MachineId(engine),
        target: Some(target.clone()),
    };
    let desired = DesiredState {
        engines: (0..ENGINES_PER_CELL).map(desired_engine).collect(),
        rollouts: vec![RolloutLimit {
            model: name("model-0"),
            percent: 10,
        }],
    };
    let mut pending = reconciler.handle(at(0), OrdersEvent::DesiredChanged(desired));
    measure(
        "reconciler: a tick of 48 engines with its reads",
        500,
        |number| {
            let now = at(number * 100);
            pending.extend(reconciler.handle(now, OrdersEvent::Tick));
            for action in std::mem::take(&mut pending) {
                let event = match action {
                    OrdersAction::Claim { engine, .. } => OrdersEvent::Claimed {
                        engine,
                        report: report(7),
                    },
                    OrdersAction::ReadState { engine, number } => OrdersEvent::Read {
                        engine,
                        number,
                        report: Some(report(7)),
                    },
                    _ => continue,
                };
                pending.extend(reconciler.handle(now, event));
            }
        },
    )
}

fn planner() -> Measurement {
    let mut planner = RolePlanner::new(PlannerSettings::of(PlannerProfile::Hanbit));
    let mut engines: BTreeMap<u32, EngineState> = BTreeMap::new();
    for number in 0..ENGINES_PER_CELL {
        let engine = EngineState {
            id: MachineId(number),
            model: model_name(number),
            role: Some(role(number / MODELS)),
            since: Timestamp::ZERO,
            pinned: None,
            availability: EngineAvailability::Serving,
            sequences: 8,
        };
        engines.insert(number, engine);
    }
    let engines: Vec<EngineState> = engines.into_values().collect();
    measure("planner: a plan for 48 engines of 8 models", 20, |number| {
        let now = Timestamp::ZERO + SECOND * (1_000 + number * 2);
        for model in 0..MODELS {
            let sample = DemandSample {
                model: model_name(model),
                window: SECOND * 2,
                levels: vec![LevelDemand {
                    level: 0,
                    requests: u64::from(18 + number % 5),
                    prompt_tokens: 36_000,
                    cached_prompt_tokens: 0,
                    output_tokens: 8_200,
                }],
                waiting_requests: 0,
                waiting_prompt_tokens: 0,
            };
            planner.observe(now, &sample);
        }
        black_box(planner.plan(now, &engines));
    })
}

fn main() {
    let mut costs: Vec<Measurement> = routing().into();
    costs.push(admission());
    costs.push(claims());
    costs.extend(configuration());
    costs.push(reconciler());
    costs.push(planner());
    let text = serde_json::to_string_pretty(&costs).expect("plain numbers");
    println!("{text}");
}
