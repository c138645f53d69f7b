//! The stand-ins around the daemons.

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

use crate::crashable::TaskGroup;

/// What the store names before it has ever come back from a copy.
const FIRST_ERA: u64 = 1;
/// Service of plain servers.
pub const RECORDS: &str = "records";
/// Service of model engines.
pub const MODELS: &str = "models";
/// The route that configurations add and remove.
pub const CHANGING: &str = "changing";
/// Mark in the body of a request that crashes engines.
pub const CRASH_MARK: &str = "crashes engines";
/// How long an engine that crashed is down.
const DOWN: Duration = Duration::from_millis(1_200);
/// Tries to bind a port again,
const PORT_TRIES: u32 = 20;
/// and the pause between two.
const PORT_PAUSE: Duration = Duration::from_millis(10);
/// Time of a plain run.
const RUN_TIME: Duration = Duration::from_millis(15);

/// An engine with what the run did to it.
pub struct Member {
    /// The engine.
    pub engine: EngineStandIn,
    /// When it said that it drains, or vanished.
    pub left: Option<Instant>,
    /// Whether it said that it drains.
    pub drains: bool,
    /// What its present life runs.
    tasks: Arc<TaskGroup>,
    /// Where it has crashed: when it is back, and the entry that lapses then.
    down: Option<(Instant, String)>,
}

/// Store and engines.
pub struct Platform {
    /// Surroundings of the stand-ins.
    pub runtime: Runtime,
    /// The store.
    pub store: StoreStandIn,
    /// Every engine that was ever there.
    pub members: Vec<Member>,
    /// Version of the newest configuration.
    pub version: u64,
    /// Whether the changing route is in it.
    pub has_changing: bool,
}

impl Platform {
    /// A platform with engines and a first configuration.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn start(seed: u64) -> Result<Self> {
        let mut platform = Self {
            runtime: Runtime::system(seed),
            store: StoreStandIn::default(),
            members: Vec::new(),
            version: 0,
            has_changing: false,
        };
        platform.store.set_era(FIRST_ERA);
        for _ in 0..3 {
            platform.add_engine(RECORDS, None).await?;
        }
        for _ in 0..2 {
            platform.add_engine(MODELS, Some("prefill")).await?;
        }
        for _ in 0..4 {
            platform.add_engine(MODELS, Some("decode")).await?;
        }
        platform.configure(false);
        Ok(platform)
    }

    /// Adds an engine that is ready.
    ///
    /// # Errors
    /// When no port is free.
    pub async fn add_engine(&mut self, service: &str, stage: Option<&'static str>) -> Result<()> {
        let engine = EngineStandIn::new(EngineSettings {
            id: format!("i-{}", self.members.len() + 1),
            service: service.to_owned(),
            address: own_address(),
            zone: String::from("a"),
            stage,
            run_time: RUN_TIME,
            spot: false,
        });
        engine.crash_on(CRASH_MARK);
        let tasks = self.serve(&engine).await?;
        engine.record(&self.store, "ready");
        self.members.push(Member {
            engine,
            left: None,
            drains: false,
            tasks,
            down: None,
        });
        Ok(())
    }

    async fn serve(&self, engine: &EngineStandIn) -> Result<Arc<TaskGroup>> {
        let (tasks, runtime) = TaskGroup::of(&self.runtime);
        // The server lives as long as its tasks.
        std::mem::forget(engine.serve(&runtime).await?);
        Ok(tasks)
    }

    /// Has engines crash that are about to, and starts those again that were down for long enough.
    ///
    /// # Errors
    /// When an engine's port is taken.
    pub async fn tend_engines(&mut self) -> Result<()> {
        for index in 0..self.members.len() {
            let member = &mut self.members[index];
            if member.engine.is_crashing() {
                member.tasks.crash();
                let entry = member.engine.key();
                member.engine.record_crash();
                member.down = Some((Instant::now() + DOWN, entry));
            }
            let is_due = matches!(&member.down, Some((back, _entry)) if *back <= Instant::now());
            if is_due && let Some((_back, entry)) = member.down.take() {
                self.store.remove(&entry);
                self.start_again(index).await?;
            }
        }
        Ok(())
    }

    async fn start_again(&mut self, index: usize) -> Result<()> {
        let engine = self.members[index].engine.clone();
        // The aborted tasks of its former life may hold the port for a moment.
        let mut served = self.serve(&engine).await;
        for _ in 0..PORT_TRIES {
            if served.is_ok() {
                break;
            }
            sleep(PORT_PAUSE).await;
            served = self.serve(&engine).await;
        }
        self.members[index].tasks = served?;
        if self.members[index].left.is_none() {
            engine.record(&self.store, "ready");
        }
        Ok(())
    }

    /// The operator and the engines write what they last wrote, as after a return of the store from an older copy. Entries that are
    /// nobody's lapse.
    pub fn write_again(&self) {
        let configuration = configuration(self.version, self.has_changing);
        self.store.put("op/config", configuration);
        let mut own = HashSet::new();
        for member in self.members.iter().filter(|member| member.down.is_none()) {
            match member.left {
                None => member.engine.record(&self.store, "ready"),
                Some(_) if member.drains => member.engine.record(&self.store, "draining"),
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

    /// Writes the next configuration, with or without the changing route.
    pub fn configure(&mut self, has_changing: bool) {
        self.version += 3;
        self.has_changing = has_changing;
        self.store
            .put("op/config", configuration(self.version, has_changing));
    }
}

fn configuration(version: u64, has_changing: bool) -> String {
    let mut routes = vec![
        RouteConfig {
            attempts: 1,
            ..RouteConfig::new("post", "unsafe", RECORDS)
        },
        RouteConfig::new("fetch", "safe", RECORDS),
        RouteConfig {
            attempts: 1,
            ..RouteConfig::new("verdict", "streaming", MODELS)
        },
        RouteConfig {
            resumable: true,
            ..RouteConfig::new("tag", "streaming", MODELS)
        },
    ];
    if has_changing {
        routes.push(RouteConfig::new(CHANGING, "safe", RECORDS));
    }
    let services = [
        ServiceConfig {
            name: RECORDS,
            engine: None,
        },
        ServiceConfig {
            name: MODELS,
            engine: Some(EngineTraitsConfig { slots: 16 }),
        },
    ];
    config(version, &routes, &services)
}

/// An address on loopback that nobody else uses: its IP belongs to this process, its last part and port to this call.
///
/// Asking the system for a free port does not do: a process that is started in that moment holds the socket for a while
/// longer, and binding it again fails (seen twice with many tests at a time).
#[must_use]
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const FIRST_PORT: u16 = 20_000;
    const PART: u32 = 250;
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let part = |value: u32| u8::try_from(value % PART + 1).unwrap_or(1);
    let ip = Ipv4Addr::new(127, part(process), part(process / PART), part(number));
    let port = FIRST_PORT + u16::try_from(number / PART).unwrap_or_default();
    SocketAddr::from((ip, port))
}
