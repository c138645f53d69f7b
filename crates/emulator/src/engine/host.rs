//! An engine through all its lives: crashes, freezes, and what survives them for the tests.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_core::{EngineRole, Incarnation};
use ponddrift_engine::wire::control::{EngineReport, LoadedModel};
use ponddrift_http::Body;
use ponddrift_runtime::Runtime;
use tokio::sync::mpsc;

use super::control_log::ControlLog;
use super::life::Life;
use super::settings::{
    ComesBack, CrashOrder, CrashTime, EngineBehaviour, EngineCounters, EngineSettings, FreezeOrder,
};
use crate::host::HostSwitch;
use crate::run_log::{DEFAULT_CAPACITY, RUNS_PATH, RunLog};
use crate::server::{
    Answer, Refused, StandIn, StandInServer, json_ok, not_found, read_json, text_response,
};

/// `GET`: [`EngineCounters`].
pub const COUNTERS_PATH: &str = "/test/counters";
/// `GET`, `POST` on the control listener: [`EngineBehaviour`].
pub const BEHAVIOUR_PATH: &str = "/test/behaviour";
/// `POST` on the control listener: [`CrashOrder`].
pub const CRASH_PATH: &str = "/test/crash";
/// `POST` on the control listener: [`FreezeOrder`].
pub const FREEZE_PATH: &str = "/test/freeze";
/// Pause between tries to bind the address again after a crash.
const BIND_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What survives a crash: records for the tests, and injected behaviour.
pub(super) struct Shared {
    pub(super) runs: RunLog,
    pub(super) control_log: ControlLog,
    counters: Mutex<EngineCounters>,
    behaviour: Mutex<EngineBehaviour>,
    /// A crash that waits for the next change.
    armed: Mutex<Option<CrashOrder>>,
    crashes: mpsc::UnboundedSender<CrashOrder>,
}

impl Shared {
    pub(super) fn count(&self, change: impl FnOnce(&mut EngineCounters)) {
        change(&mut lock(&self.counters));
    }

    pub(super) fn counters(&self) -> EngineCounters {
        *lock(&self.counters)
    }

    pub(super) fn behaviour(&self) -> EngineBehaviour {
        *lock(&self.behaviour)
    }

    /// Carries out a crash that waited for a change; gives whether there was one.
    pub(super) fn crash_in_change(&self) -> bool {
        let Some(order) = lock(&self.armed).take() else {
            return false;
        };
        self.crashes.send(order).is_ok()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where an engine listens.
#[derive(Debug, Clone, Copy)]
pub struct EngineAddresses {
    /// Completions, load, orders.
    pub service: SocketAddr,
    /// Crashes, freezes, run log; survives crashes.
    pub control: SocketAddr,
}

/// An engine stand-in.
pub struct EngineHost {
    addresses: EngineAddresses,
    inner: Arc<Inner>,
    _control: StandInServer,
}

struct Inner {
    runtime: Runtime,
    settings: Arc<EngineSettings>,
    shared: Arc<Shared>,
    current: Mutex<Option<RunningLife>>,
}

struct RunningLife {
    life: Arc<Life>,
    switch: HostSwitch,
    _server: StandInServer,
}

/// State that a life begins in.
struct Birth {
    incarnation: Incarnation,
    role: Option<EngineRole>,
    model: Option<LoadedModel>,
}

impl EngineHost {
    /// Starts an engine; port 0 takes a free one.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(
        runtime: &Runtime,
        addresses: EngineAddresses,
        settings: EngineSettings,
    ) -> io::Result<Self> {
        let (sender, crashes) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            runs: RunLog::new(DEFAULT_CAPACITY),
            control_log: ControlLog::default(),
            counters: Mutex::default(),
            behaviour: Mutex::new(settings.behaviour),
            armed: Mutex::default(),
            crashes: sender,
        });
        let birth = Birth {
            incarnation: Incarnation(settings.incarnation),
            role: settings.role,
            model: settings.model.clone(),
        };
        let inner = Arc::new(Inner {
            runtime: runtime.clone(),
            settings: Arc::new(settings),
            shared,
            current: Mutex::default(),
        });
        let service = inner.begin_life(addresses.service, birth).await?;
        let control = StandInServer::start(runtime, addresses.control, Arc::clone(&inner)).await?;
        let crashing = Arc::clone(&inner).live(service, crashes);
        runtime.spawner.spawn(Box::pin(crashing));
        let addresses = EngineAddresses {
            service,
            control: control.address(),
        };
        Ok(Self {
            addresses,
            inner,
            _control: control,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn addresses(&self) -> EngineAddresses {
        self.addresses
    }

    /// What it ran, over all lives.
    #[must_use]
    pub fn runs(&self) -> &RunLog {
        &self.inner.shared.runs
    }

    /// Claims and orders, over all lives.
    #[must_use]
    pub fn control_log(&self) -> &ControlLog {
        &self.inner.shared.control_log
    }

    /// Counters over all lives.
    #[must_use]
    pub fn counters(&self) -> EngineCounters {
        self.inner.shared.counters()
    }

    /// What the engine would say of itself; `None` while it is down.
    #[must_use]
    pub fn report(&self) -> Option<EngineReport> {
        let current = lock(&self.inner.current);
        current.as_ref().map(|running| running.life.report())
    }

    /// Changes what can be changed at run time.
    pub fn set_behaviour(&self, behaviour: EngineBehaviour) {
        *lock(&self.inner.shared.behaviour) = behaviour;
    }

    /// Injects a crash.
    pub fn crash(&self, order: CrashOrder) {
        self.inner.crash(order);
    }

    /// Freezes the engine for a time.
    pub fn freeze(&self, duration: Duration) {
        self.inner.freeze(duration);
    }
}

impl Inner {
    async fn begin_life(&self, address: SocketAddr, birth: Birth) -> io::Result<SocketAddr> {
        let switch = HostSwitch::new();
        let runtime = switch.attach(&self.runtime);
        let life = Life::begin(
            &runtime,
            Arc::clone(&self.settings),
            Arc::clone(&self.shared),
            birth.incarnation,
            birth.role,
            birth.model,
        );
        let server = match StandInServer::start(&runtime, address, Arc::clone(&life)).await {
            Ok(server) => server,
            Err(error) => {
                switch.kill();
                return Err(error);
            }
        };
        let address = server.address();
        *lock(&self.current) = Some(RunningLife {
            life,
            switch,
            _server: server,
        });
        Ok(address)
    }

    async fn live(
        self: Arc<Self>,
        address: SocketAddr,
        mut crashes: mpsc::UnboundedReceiver<CrashOrder>,
    ) {
        while let Some(order) = crashes.recv().await {
            let Some(ended) = lock(&self.current).take() else {
                continue;
            };
            tracing::info!(?order, "crash");
            ended.switch.kill();
            let birth = self.bury(&ended.life, order.comes_back);
            drop(ended);
            if order.comes_back == ComesBack::Never {
                return;
            }
            tokio::time::sleep(Duration::from_millis(order.down_ms)).await;
            self.begin_again(address, birth).await;
        }
    }

    async fn begin_again(&self, address: SocketAddr, birth: Birth) {
        loop {
            let again = Birth {
                incarnation: birth.incarnation,
                role: birth.role,
                model: birth.model.clone(),
            };
            match self.begin_life(address, again).await {
                Ok(_address) => return,
                Err(error) => {
                    tracing::debug!(%error, "the address is still in use");
                    tokio::time::sleep(BIND_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Records what a crash ended; gives the state of the next life.
    fn bury(&self, life: &Life, comes_back: ComesBack) -> Birth {
        let mut state = life.lock();
        let cut = life.cut_all(&mut state);
        self.shared.count(|counters| {
            counters.crashes += 1;
            counters.cut_by_crash += cut.running;
            counters.lost_by_crash += cut.waiting;
        });
        let current = (state.control.role(), state.control.model().cloned());
        let (old, new) = match state.change.take() {
            None => (current.clone(), current),
            Some(change) => {
                let target = change.order.target;
                let old = (change.old_role, change.old_model);
                (old, (Some(target.role), Some(target.model)))
            }
        };
        let (role, model) = match comes_back {
            ComesBack::Empty | ComesBack::Never => (None, None),
            ComesBack::Old => old,
            ComesBack::New => new,
            ComesBack::NewRoleOldModel => (new.0, old.1),
        };
        Birth {
            incarnation: Incarnation(life.incarnation.0 + 1),
            role,
            model,
        }
    }

    fn crash(&self, order: CrashOrder) {
        match order.time {
            CrashTime::InNextChange => *lock(&self.shared.armed) = Some(order),
            CrashTime::Now => {
                // The receiver ends only with `ComesBack::Never`, after which there is nothing to crash.
                let _sent = self.shared.crashes.send(order);
            }
        }
    }

    fn freeze(&self, duration: Duration) {
        let switch = {
            let current = lock(&self.current);
            current.as_ref().map(|running| running.switch.clone())
        };
        let Some(switch) = switch else {
            return;
        };
        switch.freeze();
        self.runtime.spawner.spawn(Box::pin(async move {
            tokio::time::sleep(duration).await;
            switch.thaw();
        }));
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
        let path = request.uri().path().to_owned();
        let is_post = request.method() == Method::POST;
        match path.as_str() {
            RUNS_PATH => return Ok(json_ok(&self.shared.runs.report())),
            COUNTERS_PATH => return Ok(json_ok(&self.shared.counters())),
            BEHAVIOUR_PATH if is_post => {
                let behaviour = read_json(request).await?;
                *lock(&self.shared.behaviour) = behaviour;
            }
            BEHAVIOUR_PATH => return Ok(json_ok(&self.shared.behaviour())),
            CRASH_PATH if is_post => self.crash(read_json(request).await?),
            FREEZE_PATH if is_post => {
                let order: FreezeOrder = read_json(request).await?;
                self.freeze(Duration::from_millis(order.duration_ms));
            }
            _ => return Err(not_found(&path).into()),
        }
        Ok(text_response(StatusCode::OK, "done\n"))
    }
}

impl StandIn for Inner {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(async move {
            let answer = Inner::answer(&self, request).await;
            Ok(answer.unwrap_or_else(Refused::into_response))
        })
    }
}
