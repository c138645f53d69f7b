//! Platform, engines, records services and daemons as tasks of this process.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use eyre::{Result, bail};
use http::{Request, StatusCode};
use ponddrift_core::machine::{Machine, MachineKind, MachineList, MachineState};
use ponddrift_core::{EngineRole, Incarnation, MachineId};
use ponddrift_daemon::settings::{self, KeyAssignment, Settings};
use ponddrift_daemon::{Daemon, DaemonAddresses};
use ponddrift_engine::wire::control::LoadedModel;
use ponddrift_http::{Client, ClientSettings, body};
use ponddrift_runtime::Runtime;

use crate::engine::cost::CostModel;
use crate::engine::{EngineAddresses, EngineHost, EngineSettings};
use crate::platform::{Platform, PlatformAddresses, PlatformSettings};
use crate::records::{Records, RecordsSettings};
use crate::run_log::RunReport;
use crate::server::StandInServer;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const ZONES: [&str; 3] = ["a", "b", "c"];
const REGION: &str = "central";
const CELL: &str = "central-1";
/// Pool of the records services.
pub const POOL: &str = "records";
/// Models of the engines of [`FleetPlan::default`] at the start.
const ENGINE_MODELS: [&str; 6] = [
    "ledger-7b",
    "ledger-7b",
    "ledger-7b",
    "ledger-7b",
    "cold-chain-3b",
    "cold-chain-3b",
];
const FIRST_DAEMON: u32 = 1;
const FIRST_ENGINE: u32 = 100;
const FIRST_RECORDS: u32 = 300;
/// Looks at a daemon's readiness, and the pause between two.
const READY_LOOKS: u32 = 600;
const READY_PAUSE: Duration = Duration::from_millis(50);

/// What a fleet consists of.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Daemons.
    pub daemons: u32,
    /// The model that each engine begins with.
    pub engine_models: Vec<&'static str>,
    /// What work costs at engines.
    pub cost: CostModel,
    /// Records services.
    pub records: u32,
    /// How records services behave.
    pub records_settings: RecordsSettings,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            daemons: 3,
            engine_models: ENGINE_MODELS.to_vec(),
            cost: CostModel::default(),
            records: 2,
            records_settings: RecordsSettings::default(),
        }
    }
}

/// A running fleet; it ends with the process.
pub struct DemoFleet {
    /// The platform.
    pub platform: Platform,
    engines: Vec<EngineHost>,
    records: Vec<RecordsService>,
    daemons: Vec<Daemon>,
    client: Client,
}

struct RecordsService {
    service: Arc<Records>,
    server: StandInServer,
}

impl DemoFleet {
    /// Starts every part and publishes the machine list.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(seed: u64, plan: FleetPlan) -> Result<Self> {
        let runtime = Runtime::system(seed);
        let addresses = PlatformAddresses {
            key_value: ANY,
            machine_list: ANY,
            weight_store: ANY,
            control: ANY,
        };
        let platform = Platform::start(&runtime, addresses, PlatformSettings::default()).await?;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            records: Vec::new(),
            daemons: Vec::new(),
            client: Client::new(&runtime, ClientSettings::default()),
        };
        for model in plan.engine_models {
            let engine = start_engine(&runtime, model, plan.cost).await?;
            fleet.engines.push(engine);
        }
        for _ in 0..plan.records {
            let service = Records::new(&runtime, plan.records_settings);
            let server = service.listen(&runtime, ANY).await?;
            fleet.records.push(RecordsService { service, server });
        }
        for number in 0..plan.daemons {
            let daemon_runtime = Runtime::system(seed.wrapping_add(u64::from(number) + 1));
            let settings = fleet.settings(FIRST_DAEMON + number)?;
            let daemon = Daemon::start(daemon_runtime, settings, incarnation()?).await?;
            fleet.daemons.push(daemon);
        }
        fleet.platform.machine_list.replace(fleet.machines()?);
        Ok(fleet)
    }

    fn settings(&self, number: u32) -> Result<Settings> {
        let platform = self.platform.addresses;
        let assignments = [
            format!("daemon.id={number}"),
            format!("daemon.zone={}", zone(number)),
            format!("daemon.region={REGION}"),
            "listen.gateway=127.0.0.1:0".to_owned(),
            "listen.operator=127.0.0.1:0".to_owned(),
            "listen.peer=127.0.0.1:0".to_owned(),
            format!("platform.key_value=[\"{}\"]", platform.key_value),
            format!("platform.machine_list={}", platform.machine_list),
            "platform.machine_list_interval_ms=200".to_owned(),
        ];
        let assignments: Result<Vec<KeyAssignment>, _> =
            assignments.iter().map(|text| text.parse()).collect();
        Ok(settings::load("", &assignments?)?)
    }

    fn machines(&self) -> Result<MachineList> {
        let mut machines = Vec::new();
        for (number, daemon) in (FIRST_DAEMON..).zip(&self.daemons) {
            let address = daemon.addresses().peer;
            machines.push(machine(number, MachineKind::Daemon, address)?);
        }
        for (number, engine) in (FIRST_ENGINE..).zip(&self.engines) {
            let cell = CELL.parse()?;
            let address = engine.addresses().service;
            machines.push(machine(number, MachineKind::Engine { cell }, address)?);
        }
        for (number, records) in (FIRST_RECORDS..).zip(&self.records) {
            let pool = POOL.parse()?;
            let address = records.server.address();
            machines.push(machine(number, MachineKind::Plain { pool }, address)?);
        }
        Ok(MachineList {
            revision: 1,
            machines,
        })
    }

    /// Waits until every daemon takes requests.
    ///
    /// # Errors
    /// When one never does.
    pub async fn wait_until_ready(&self) -> Result<()> {
        for address in self.gateways() {
            self.wait_for(address).await?;
        }
        Ok(())
    }

    async fn wait_for(&self, gateway: SocketAddr) -> Result<()> {
        for _ in 0..READY_LOOKS {
            let request = Request::get(format!("http://{gateway}/readyz")).body(body::empty())?;
            let response = self.client.send(request).await;
            if response.is_ok_and(|response| response.status() == StatusCode::OK) {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        bail!("the daemon at {gateway} is not ready: run with RUST_LOG=info to see why")
    }

    /// Addresses of all daemons.
    #[must_use]
    pub fn daemons(&self) -> Vec<DaemonAddresses> {
        self.daemons.iter().map(Daemon::addresses).collect()
    }

    /// Where callers send.
    #[must_use]
    pub fn gateways(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons();
        daemons.iter().map(|addresses| addresses.gateway).collect()
    }

    /// Where operators ask.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        let daemons = self.daemons();
        daemons.iter().map(|addresses| addresses.operator).collect()
    }

    /// Where engines serve.
    #[must_use]
    pub fn engines(&self) -> Vec<SocketAddr> {
        let engines = self.engines.iter();
        engines.map(|engine| engine.addresses().service).collect()
    }

    /// Where records services serve.
    #[must_use]
    pub fn records(&self) -> Vec<SocketAddr> {
        let records = self.records.iter();
        records.map(|records| records.server.address()).collect()
    }

    /// What the back ends ran.
    #[must_use]
    pub fn run_reports(&self) -> Vec<RunReport> {
        let engines = self.engines.iter().map(|engine| engine.runs().report());
        let records = self.records.iter();
        let records = records.map(|records| records.service.runs.report());
        engines.chain(records).collect()
    }

    /// Requests that planned changes cut, over all engines.
    #[must_use]
    pub fn cut_by_changes(&self) -> u64 {
        let counters = self.engines.iter().map(EngineHost::counters);
        counters.map(|counters| counters.cut_by_change).sum()
    }

    /// A planned stop of all daemons.
    pub async fn stop(&self) {
        for daemon in &self.daemons {
            daemon.stop().await;
        }
    }
}

async fn start_engine(runtime: &Runtime, model: &str, cost: CostModel) -> Result<EngineHost> {
    let addresses = EngineAddresses {
        service: ANY,
        control: ANY,
    };
    let settings = EngineSettings {
        role: Some(EngineRole::Mixed),
        model: Some(LoadedModel {
            model: model.parse()?,
            version: 1,
            adapters: Vec::new(),
        }),
        cost,
        incarnation: incarnation()?.0,
        ..EngineSettings::default()
    };
    Ok(EngineHost::start(runtime, addresses, settings).await?)
}

fn incarnation() -> Result<Incarnation> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH)?;
    Ok(Incarnation(u64::try_from(since_epoch.as_millis())?))
}

fn zone(number: u32) -> &'static str {
    ZONES[number as usize % ZONES.len()]
}

fn machine(number: u32, kind: MachineKind, address: SocketAddr) -> Result<Machine> {
    Ok(Machine {
        id: MachineId(number),
        kind,
        zone: zone(number).parse()?,
        region: REGION.parse()?,
        address,
        state: MachineState::Live,
    })
}
