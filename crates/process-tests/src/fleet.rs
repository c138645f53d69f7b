//! A small fleet as separate processes: platform, engines, records services and daemons.

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

/// Time limit of a single call of the tests; only a broken process uses it up.
const CALL_LIMIT: Duration = Duration::from_secs(60);

/// What a fleet consists of.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Daemons.
    pub daemons: u32,
    /// Engines.
    pub engines: u32,
    /// Plain back ends.
    pub records: u32,
}

/// A running fleet. Its processes are killed when it is dropped.
pub struct Fleet {
    /// Key-value service, machine list and weight store.
    pub platform: Process,
    /// Engines, in the order of their machine ids from 100 on.
    pub engines: Vec<Process>,
    /// Plain back ends, in the order of their machine ids from 300 on.
    pub records: Vec<Process>,
    /// Daemons, in the order of their machine ids from 1 on.
    pub daemons: Vec<Process>,
    /// Client of the tests.
    pub client: Client,
}

const FIRST_DAEMON: u32 = 1;
const FIRST_ENGINE: u32 = 100;
const FIRST_RECORDS: u32 = 300;
/// Settings of quick engines: a change takes a tenth of a second.
const ENGINE_SETTINGS: &str = r#"{"cost":{"role_change_seconds":0.1,"model_load_seconds":0.1}}"#;
const ZONES: [&str; 3] = ["a", "b", "c"];

impl Fleet {
    /// Starts all processes, stores a configuration, and waits until every daemon is ready.
    ///
    /// # Errors
    /// When a process does not start.
    pub async fn start(size: FleetSize) -> Result<Self> {
        let platform = Process::start("ponddrift-emulator", &words(&["platform"])).await?;
        let mut engines = Vec::new();
        for _ in 0..size.engines {
            engines.push(start_engine().await?);
        }
        let mut records = Vec::new();
        for _ in 0..size.records {
            records.push(Process::start("ponddrift-emulator", &words(&["records"])).await?);
        }
        let client = Client::new(&Runtime::system(1), ClientSettings::default());
        let mut fleet = Self {
            platform,
            engines,
            records,
            daemons: Vec::new(),
            client,
        };
        fleet.change(first_configuration()?).await?;
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
        let arguments = words(&[
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

    /// A store client of the tests' own.
    ///
    /// # Errors
    /// When the platform gave no address.
    pub fn store(&self) -> Result<EtcdStore> {
        let settings = EtcdSettings {
            addresses: vec![self.platform.address("/key_value")?],
            time_limit: CALL_LIMIT,
        };
        Ok(EtcdStore::new(self.client.clone(), settings))
    }

    /// Stores a change on top of whatever is stored, as an operator's daemon would.
    ///
    /// # Errors
    /// When the store refuses it.
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
            bail!("the configuration was not stored");
        }
        Ok(())
    }

    /// Publishes all processes in the machine list.
    ///
    /// # Errors
    /// When the platform refuses it.
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

    /// Waits until every daemon says that it is ready.
    ///
    /// # Errors
    /// When one never is.
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

    /// Index of the daemon that holds the cell's controller key.
    ///
    /// # Errors
    /// When nobody ever does.
    pub async fn controller(&self) -> Result<usize> {
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

    /// Gateway address of daemon `index`.
    ///
    /// # Errors
    /// When there is no such daemon.
    pub fn gateway(&self, index: usize) -> Result<SocketAddr> {
        self.daemons[index].address("/gateway")
    }

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn send(&self, request: Request<ponddrift_http::Body>) -> Result<Response<Incoming>> {
        Ok(tokio::time::timeout(CALL_LIMIT, self.client.send(request)).await??)
    }

    /// Sends a completion request to daemon `index`.
    ///
    /// # Errors
    /// When there is no answer.
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

/// The service `reconcile` at a version of its model.
///
/// # Errors
/// Never: the names are valid.
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

fn first_configuration() -> Result<Vec<ChangeStep>> {
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
    let arguments = words(&[
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

/// Reads a whole answer.
///
/// # Errors
/// When it breaks off.
pub async fn read(response: Response<Incoming>) -> Result<Bytes> {
    Ok(body::read_all(response.into_body(), 64 << 20, CALL_LIMIT).await?)
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

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}
