//! A small fleet of separate processes: platform, engines, plain back ends and daemons.

use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, bail};
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use ponddrift_core::authority::controller_key;
use ponddrift_core::configuration::{
    ChangeStep, ConfigurationChange, ConfigurationItem, KeyWrite, LATEST_CHANGE_KEY, ModelSettings,
    PrioritySettings, ServiceKind, ServiceSettings, StoredLatestChange, key_writes,
};
use ponddrift_core::machine::{Machine, MachineKind, MachineList, MachineState};
use ponddrift_core::{ChangeId, MachineId};
use ponddrift_http::{Client, ClientSettings, body};
use ponddrift_platform::etcd::{EtcdSettings, EtcdStore};
use ponddrift_platform::store::{Compare, KeyValueStore, Write};
use ponddrift_runtime::Runtime;
use serde_json::Value;
use std::time::Duration;

use crate::process::Process;
use crate::wait::eventually;

/// Time limit of a single request. It is long because only a broken process should reach it.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of processes of each kind.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of daemons.
    pub daemons: u32,
    /// Number of emulated engines.
    pub engines: u32,
    /// Number of emulated plain back ends (records services).
    pub records: u32,
}

/// A running fleet. All processes are killed when it is dropped.
pub struct Fleet {
    /// Emulated platform: key-value service, machine list and weight store.
    pub platform: Process,
    /// Engines, with consecutive machine ids from 100.
    pub engines: Vec<Process>,
    /// Plain back ends, with consecutive machine ids from 300.
    pub records: Vec<Process>,
    /// Daemons, with consecutive machine ids from 1.
    pub daemons: Vec<Process>,
    /// HTTP client for the tests.
    pub client: Client,
}

const FIRST_DAEMON: u32 = 1;
const FIRST_ENGINE: u32 = 100;
const FIRST_RECORDS: u32 = 300;
/// Engine settings with short role changes and model loads, to keep the tests fast.
const ENGINE_SETTINGS: &str = r#"{"cost":{"role_change_seconds":0.1,"model_load_seconds":0.1}}"#;
const ZONES: [&str; 3] = ["a", "b", "c"];

impl Fleet {
    /// Starts all processes, stores the initial configuration, and waits until every daemon is
    /// ready.
    ///
    /// # Errors
    /// If a process does not start or a daemon does not become ready.
    pub async fn start(size: FleetSize) -> Result<Self> {
        let platform = Process::start("ponddrift-emulator", &to_strings(&["platform"])).await?;
        let mut engines = Vec::new();
        for _ in 0..size.engines {
            engines.push(start_engine().await?);
        }
        let mut records = Vec::new();
        for _ in 0..size.records {
            records.push(Process::start("ponddrift-emulator", &to_strings(&["records"])).await?);
        }
        let client = Client::new(&Runtime::system(1), ClientSettings::default());
        let mut fleet = Self {
            platform,
            engines,
            records,
            daemons: Vec::new(),
            client,
        };
        fleet.change(initial_configuration()?).await?;
        for number in 1..=size.daemons {
            let daemon = fleet.start_daemon(number).await?;
            fleet.daemons.push(daemon);
        }
        fleet.publish_machines().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn start_daemon(&self, number: u32) -> Result<Process> {
        let zone = zone_of(number);
        let arguments = to_strings(&[
            "--set",
            &format!("daemon.id={number}"),
            "--set",
            &format!("daemon.zone={zone}"),
            "--set",
            "daemon.region=central",
            "--set",
            "listen.gateway=127.0.0.1:0",
            "--set",
            "listen.operator=127.0.0.1:0",
            "--set",
            "listen.peer=127.0.0.1:0",
            "--set",
            &format!(
                "platform.key_value=[\"{}\"]",
                self.platform.address("/key_value")?
            ),
            "--set",
            &format!(
                "platform.machine_list={}",
                self.platform.address("/machine_list")?
            ),
            "--set",
            "platform.machine_list_interval_ms=100",
            "--set",
            &format!(
                "log.filter={}",
                std::env::var("PONDDRIFT_TEST_LOG").unwrap_or_else(|_| String::from("warn"))
            ),
            "--set",
            "control.lease_ms=4000",
            "--set",
            "control.engines_away_percent=50",
        ]);
        Process::start("ponddriftd", &arguments).await
    }

    /// Creates a client of the key-value service for the tests.
    ///
    /// # Errors
    /// If the platform reported no address.
    pub fn store(&self) -> Result<EtcdStore> {
        let settings = EtcdSettings {
            addresses: vec![self.platform.address("/key_value")?],
            time_limit: CALL_TIMEOUT,
        };
        Ok(EtcdStore::new(self.client.clone(), settings))
    }

    /// Writes a configuration change directly to the store, in the same way as a daemon does.
    ///
    /// # Errors
    /// If the store rejects it or the configuration changed at the same time.
    pub async fn change(&self, steps: Vec<ChangeStep>) -> Result<()> {
        let store = self.store()?;
        let stored = store.get(LATEST_CHANGE_KEY).await?;
        let base = stored
            .map(|stored| -> Result<StoredLatestChange> {
                Ok(StoredLatestChange {
                    latest: serde_json::from_slice(&stored.value)?,
                    revision: stored.mod_revision,
                })
            })
            .transpose()?;
        let change = ConfigurationChange {
            id: ChangeId(
                base.as_ref()
                    .map_or(1, |base| u128::from(base.revision.0) + 1),
            ),
            author: "test".to_owned(),
            expected: None,
            steps,
        };
        let writes = key_writes(&change, base.as_ref());
        let compare = match &base {
            Some(base) => Compare::ModRevision {
                key: LATEST_CHANGE_KEY.to_owned(),
                revision: base.revision,
            },
            None => Compare::Absent {
                key: LATEST_CHANGE_KEY.to_owned(),
            },
        };
        let writes = writes.into_iter().map(store_write).collect();
        let result = store.transaction(vec![compare], writes).await?;
        if !result.succeeded {
            bail!("the configuration was not stored: it changed at the same time");
        }
        Ok(())
    }

    /// Publishes all processes in the machine list.
    ///
    /// # Errors
    /// If the platform rejects the list.
    pub async fn publish_machines(&self) -> Result<()> {
        let mut machines = Vec::new();
        for (number, engine) in (FIRST_ENGINE..).zip(&self.engines) {
            let kind = MachineKind::Engine {
                cell: "central-1".parse()?,
            };
            machines.push(machine(number, kind, engine.address("/address")?)?);
        }
        for (number, records) in (FIRST_RECORDS..).zip(&self.records) {
            let kind = MachineKind::Plain {
                pool: "records".parse()?,
            };
            machines.push(machine(number, kind, records.address("/address")?)?);
        }
        for (number, daemon) in (FIRST_DAEMON..).zip(&self.daemons) {
            machines.push(machine(
                number,
                MachineKind::Daemon,
                daemon.address("/peer")?,
            )?);
        }
        let list = MachineList {
            revision: 1,
            machines,
        };
        let control = self.platform.address("/control")?;
        let request = Request::put(format!("http://{control}/v1/machines"))
            .body(body::full(serde_json::to_vec(&list)?))?;
        let response = self.send(request).await?;
        if !response.status().is_success() {
            bail!("the machine list was refused: {}", response.status());
        }
        Ok(())
    }

    /// Waits until every daemon reports that it is ready.
    ///
    /// # Errors
    /// If a daemon does not become ready in time.
    pub async fn wait_until_ready(&self) -> Result<()> {
        for daemon in &self.daemons {
            let gateway = daemon.address("/gateway")?;
            eventually("a daemon is ready", || async {
                let request = Request::get(format!("http://{gateway}/readyz"))
                    .body(body::empty())
                    .ok()?;
                let response = self.client.send(request).await.ok()?;
                (response.status() == StatusCode::OK).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until a daemon holds the cell's controller key, and returns the daemon's index.
    ///
    /// The index is only valid while no daemon was removed from the fleet.
    ///
    /// # Errors
    /// If no daemon takes the key in time.
    pub async fn controller_index(&self) -> Result<usize> {
        let store = self.store()?;
        let key = controller_key(&"central-1".parse()?);
        let machine = eventually("a daemon is controller", || async {
            let stored = store.get(&key).await.ok()??;
            let value: Value = serde_json::from_slice(&stored.value).ok()?;
            value["machine"].as_u64()
        })
        .await?;
        let index = machine.checked_sub(u64::from(FIRST_DAEMON));
        Ok(usize::try_from(index.unwrap_or_default())?)
    }

    /// Returns the gateway address of the daemon at `index`.
    ///
    /// # Errors
    /// If the daemon reported no valid address.
    pub fn gateway(&self, index: usize) -> Result<SocketAddr> {
        self.daemons[index].address("/gateway")
    }

    /// Sends a request and waits for the response header.
    ///
    /// # Errors
    /// If there is no response within the time limit.
    pub async fn send(&self, request: Request<ponddrift_http::Body>) -> Result<Response<Incoming>> {
        Ok(tokio::time::timeout(CALL_TIMEOUT, self.client.send(request)).await??)
    }

    /// Sends a completion request to the daemon at `index`.
    ///
    /// # Errors
    /// If there is no response within the time limit.
    pub async fn complete(&self, index: usize, completion: &Value) -> Result<Response<Incoming>> {
        let gateway = self.gateway(index)?;
        let request = Request::post(format!("http://{gateway}/v1/completions"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(body::full(completion.to_string()))?;
        self.send(request).await
    }
}

fn store_write(write: KeyWrite) -> Write {
    match write {
        KeyWrite::Put { key, value_json } => Write::Put {
            key,
            value: Bytes::from(value_json),
            lease: None,
        },
        KeyWrite::Delete { key } => Write::Delete { key },
    }
}

/// Returns the configuration of the service `reconcile` with the given model version.
///
/// # Errors
/// If a name is not valid, which cannot happen with these constants.
pub fn reconcile_at_version(version: u32) -> Result<ConfigurationItem> {
    Ok(ConfigurationItem::Service {
        name: "reconcile".parse()?,
        settings: ServiceSettings {
            kind: ServiceKind::Completion {
                model: "ledger".parse()?,
                adapter: None,
                version,
            },
            priority: "high".parse()?,
            repeatable: true,
            deadline_ms: 60_000,
            rollout_percent: 50,
        },
    })
}

fn initial_configuration() -> Result<Vec<ChangeStep>> {
    let plain = ServiceKind::Plain {
        pool: "records".parse()?,
    };
    let service = |name: &str, kind: ServiceKind, repeatable| -> Result<ChangeStep> {
        Ok(ChangeStep::Insert(ConfigurationItem::Service {
            name: name.parse()?,
            settings: ServiceSettings {
                kind,
                priority: "high".parse()?,
                repeatable,
                deadline_ms: 60_000,
                rollout_percent: 50,
            },
        }))
    };
    Ok(vec![
        ChangeStep::Insert(ConfigurationItem::Priority {
            name: "high".parse()?,
            settings: PrioritySettings { level: 0 },
        }),
        ChangeStep::Insert(ConfigurationItem::Model {
            name: "ledger".parse()?,
            settings: ModelSettings {
                weights_mib: 100,
                engine_share_percent: 100,
            },
        }),
        ChangeStep::Insert(reconcile_at_version(1)?),
        service("post", plain.clone(), false)?,
        service("records", plain, true)?,
    ])
}

async fn start_engine() -> Result<Process> {
    let arguments = to_strings(&[
        "engine",
        "--role",
        "mixed",
        "--model",
        "ledger",
        "--settings",
        ENGINE_SETTINGS,
    ]);
    Process::start("ponddrift-emulator", &arguments).await
}

/// Reads a complete response body.
///
/// # Errors
/// If the body is truncated, too large or late.
pub async fn read(response: Response<Incoming>) -> Result<Bytes> {
    Ok(body::read_all(response.into_body(), 64 << 20, CALL_TIMEOUT).await?)
}

fn zone_of(number: u32) -> &'static str {
    ZONES[number as usize % ZONES.len()]
}

fn machine(number: u32, kind: MachineKind, address: SocketAddr) -> Result<Machine> {
    Ok(Machine {
        id: MachineId(number),
        kind,
        zone: zone_of(number).parse()?,
        region: "central".parse()?,
        address,
        state: MachineState::Live,
    })
}

fn to_strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
