//! The simulated platform around the daemons: store, engines and configuration.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use eyre::Result;
use ponddrift_platform_stand_ins::{
    EngineSettings, EngineStandIn, EngineTraitsConfig, RouteConfig, ServiceConfig, StoreStandIn,
    config,
};
use ponddrift_runtime::Runtime;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::silences::network::ConnectionSilencer;
use crate::task_group::TaskGroup;

/// Era of the store before its first restore.
const INITIAL_ERA: u64 = 1;
/// Name of the service of plain back ends.
pub const PLAIN_SERVICE: &str = "records";
/// Name of the service of model engines.
pub const MODEL_SERVICE: &str = "models";
/// Name of the route that the configuration fault adds and removes.
pub const TOGGLED_ROUTE: &str = "changing";
/// Text in the body of a request that crashes engines.
pub const CRASH_MARKER: &str = "crashes engines";
/// Time between an engine's crash and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_200);
/// Number of retries to bind a restarted engine's port.
const BIND_ATTEMPTS: u32 = 20;
/// Pause before each retry to bind a port.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time that an engine takes for a request.
const RUN_DURATION: Duration = Duration::from_millis(15);

/// Time limit of a request on all routes.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// An engine and its state in the run.
pub struct EngineMember {
    /// The engine.
    pub engine: EngineStandIn,
    /// When the engine announced that it drains, or its entry was removed.
    pub left_at: Option<Instant>,
    /// Number of accepted orders that the engine's store entry shows.
    recorded_sequence: u64,
    /// Whether the engine announced that it drains.
    pub announced_drain: bool,
    /// Silences the engine's connections, across its restarts.
    pub connections: Arc<ConnectionSilencer>,
    /// Tasks of the running engine.
    tasks: Arc<TaskGroup>,
    /// Set after a crash: the time of the restart, and the store entry to remove then.
    pending_restart: Option<(Instant, String)>,
}

/// Version of the software of each second engine.
const OTHER_VERSION: &str = "v2";
/// Number of prompt parts on which engines crash.
const CRASHING_PARTS: usize = 64;

/// A prompt part on which engines crash.
#[must_use]
pub fn crashing_part(number: usize) -> String {
    format!("crashing{}", number % CRASHING_PARTS)
}

fn crashing_parts() -> Vec<String> {
    (0..CRASHING_PARTS).map(crashing_part).collect()
}

/// The store and the engines.
pub struct Platform {
    /// Runtime of the stand-ins.
    pub runtime: Runtime,
    /// The store.
    pub store: StoreStandIn,
    /// All engines, including those that have left.
    pub members: Vec<EngineMember>,
    /// Version of the latest configuration.
    pub version: u64,
    /// Whether the latest configuration contains [`TOGGLED_ROUTE`].
    pub has_toggled_route: bool,
}

impl Platform {
    /// Starts a platform with engines and an initial configuration.
    ///
    /// # Errors
    /// When an engine's address cannot be bound.
    pub async fn start(seed: u64) -> Result<Self> {
        let mut platform = Self {
            runtime: Runtime::system(seed),
            store: StoreStandIn::default(),
            members: Vec::new(),
            version: 0,
            has_toggled_route: false,
        };
        platform.store.set_era(INITIAL_ERA);
        for _ in 0..3 {
            platform.add_engine(PLAIN_SERVICE, None).await?;
        }
        for _ in 0..2 {
            platform.add_engine(MODEL_SERVICE, Some("prefill")).await?;
        }
        for _ in 0..4 {
            platform.add_engine(MODEL_SERVICE, Some("decode")).await?;
        }
        platform.configure(false);
        Ok(platform)
    }

    /// Starts an engine and records it as ready.
    ///
    /// # Errors
    /// When the engine's address cannot be bound.
    pub async fn add_engine(&mut self, service: &str, stage: Option<&'static str>) -> Result<()> {
        let engine = EngineStandIn::new(EngineSettings {
            id: format!("i-{}", self.members.len() + 1),
            service: service.to_owned(),
            address: unique_loopback_address(),
            zone: String::from("a"),
            stage,
            run_time: RUN_DURATION,
            spot: false,
        });
        engine.crash_on(CRASH_MARKER);
        engine.crash_on_parts(&crashing_parts());
        if self.members.len() % 2 == 1 {
            engine.set_version(OTHER_VERSION);
        }
        let connections: Arc<ConnectionSilencer> = Arc::default();
        let tasks = self.serve(&engine, &connections).await?;
        engine.record(&self.store, "ready");
        self.members.push(EngineMember {
            engine,
            left_at: None,
            recorded_sequence: 0,
            announced_drain: false,
            connections,
            tasks,
            pending_restart: None,
        });
        Ok(())
    }

    async fn serve(
        &self,
        engine: &EngineStandIn,
        connections: &Arc<ConnectionSilencer>,
    ) -> Result<Arc<TaskGroup>> {
        let (tasks, runtime) = TaskGroup::of(&connections.apply_to(&self.runtime));
        // The server must run until its tasks are aborted.
        std::mem::forget(engine.serve(&runtime).await?);
        Ok(tasks)
    }

    /// Crashes the engines that received a crashing request, and restarts those whose restart is
    /// due.
    ///
    /// # Errors
    /// When the address of a restarted engine cannot be bound.
    pub async fn update_engines(&mut self) -> Result<()> {
        for index in 0..self.members.len() {
            let member = &mut self.members[index];
            if member.engine.is_crashing() {
                member.tasks.crash();
                let entry = member.engine.key();
                member.engine.record_crash();
                member.pending_restart = Some((Instant::now() + RESTART_DELAY, entry));
            }
            let is_due = matches!(&member.pending_restart, Some((restart_at, _entry)) if *restart_at <= Instant::now());
            if is_due && let Some((_restart_at, entry)) = member.pending_restart.take() {
                self.store.remove(&entry);
                self.restart_engine(index).await?;
            }
            self.record_orders(index);
        }
        Ok(())
    }

    /// Writes an engine's entry again after an order, which changes its stage.
    fn record_orders(&mut self, index: usize) {
        let member = &mut self.members[index];
        let sequence = member.engine.sequence();
        if sequence == member.recorded_sequence || member.pending_restart.is_some() {
            return;
        }
        member.recorded_sequence = sequence;
        match member.left_at {
            None => member.engine.record(&self.store, "ready"),
            Some(_) if member.announced_drain => member.engine.record(&self.store, "draining"),
            Some(_) => {}
        }
    }

    async fn restart_engine(&mut self, index: usize) -> Result<()> {
        let engine = self.members[index].engine.clone();
        let connections = Arc::clone(&self.members[index].connections);
        // The aborted tasks may hold the port for a moment.
        let mut served = self.serve(&engine, &connections).await;
        for _ in 0..BIND_ATTEMPTS {
            if served.is_ok() {
                break;
            }
            sleep(BIND_RETRY_DELAY).await;
            served = self.serve(&engine, &connections).await;
        }
        self.members[index].tasks = served?;
        if self.members[index].left_at.is_none() {
            engine.record(&self.store, "ready");
        }
        Ok(())
    }

    /// Writes the current configuration and engine entries again after the store was restored from
    /// an older copy, and removes the entries of engines that no longer exist.
    pub fn rewrite_entries(&self) {
        let configuration = configuration(self.version, self.has_toggled_route);
        self.store.put("op/config", configuration);
        let mut own = HashSet::new();
        for member in self
            .members
            .iter()
            .filter(|member| member.pending_restart.is_none())
        {
            match member.left_at {
                None => member.engine.record(&self.store, "ready"),
                Some(_) if member.announced_drain => member.engine.record(&self.store, "draining"),
                Some(_) => continue,
            }
            own.insert(member.engine.key());
        }
        for key in self.store.keys("servers/") {
            if !own.contains(&key) {
                self.store.remove(&key);
            }
        }
    }

    /// Writes the next configuration, with or without [`TOGGLED_ROUTE`].
    pub fn configure(&mut self, has_toggled_route: bool) {
        self.version += 3;
        self.has_toggled_route = has_toggled_route;
        self.store
            .put("op/config", configuration(self.version, has_toggled_route));
    }
}

fn configuration(version: u64, has_toggled_route: bool) -> String {
    let mut routes = vec![
        RouteConfig {
            attempts: 1,
            ..RouteConfig::new("post", "unsafe", PLAIN_SERVICE)
        },
        RouteConfig::new("fetch", "safe", PLAIN_SERVICE),
        RouteConfig {
            attempts: 1,
            ..RouteConfig::new("verdict", "streaming", MODEL_SERVICE)
        },
        RouteConfig {
            resumable: true,
            ..RouteConfig::new("tag", "streaming", MODEL_SERVICE)
        },
    ];
    if has_toggled_route {
        routes.push(RouteConfig::new(TOGGLED_ROUTE, "safe", PLAIN_SERVICE));
    }
    let services = [
        ServiceConfig {
            name: PLAIN_SERVICE,
            engine: None,
        },
        ServiceConfig {
            name: MODEL_SERVICE,
            engine: Some(EngineTraitsConfig { slots: 16 }),
        },
    ];
    config(version, &routes, &services)
}

/// Returns a loopback address that no other process or call uses.
///
/// The IP address depends on the process, and its last octet and the port on the call. Asking the
/// system for a free port is not safe: a child process started at that moment inherits the probing
/// socket, and binding the port again fails.
#[must_use]
pub fn unique_loopback_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const BASE_PORT: u16 = 20_000;
    const OCTET_RANGE: u32 = 250;
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let octet = |value: u32| u8::try_from(value % OCTET_RANGE + 1).unwrap_or(1);
    let ip = Ipv4Addr::new(
        127,
        octet(process),
        octet(process / OCTET_RANGE),
        octet(number),
    );
    let port = BASE_PORT + u16::try_from(number / OCTET_RANGE).unwrap_or_default();
    SocketAddr::from((ip, port))
}
