//! One run: start, load and faults side by side, a calm end, checks.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use http::StatusCode;
use ponddrift_platform_stand_ins::{ClientRequest, ClientStandIn, EngineStandIn, StoreMode};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use tokio::time::{Instant, sleep, timeout};

use crate::checks::{Outage, Troubles, Violation, check, check_answers, check_crashing_requests};
use crate::daemons::DaemonProcess;
use crate::faults::{DrawnFault, Fault, draw};
use crate::limits::Limiter;
use crate::load::{LoadState, call, crash_again_and_again};
use crate::platform::{CHANGING, MODELS, Platform, RECORDS};
use crate::restorer::Restorer;

/// What a fault leaves behind is over after this long.
const AFTERMATH: Duration = Duration::from_secs(5);
/// Time for all daemons to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time in which a configuration is in force where nothing troubles.
const CONFIGURATION_BOUND: Duration = Duration::from_secs(2);
/// How long a request that crashes engines comes again.
const CRASHER_TIME: Duration = Duration::from_secs(10);
/// Time between two looks at processes and engines.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Requests that the calm end sends to each daemon.
const CALM_REQUESTS: usize = 10;

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Draws faults and load.
    pub seed: u64,
    /// How long faults strike.
    pub time: Duration,
    /// Daemons.
    pub daemons: usize,
    /// Callers.
    pub callers: u64,
    /// Whether engines set rate limits beside the faults.
    pub limits: bool,
    /// Whether the store comes back from older copies beside the faults.
    pub restores: bool,
    /// Where settings and logs go.
    pub folder: PathBuf,
}

/// What a run saw.
#[derive(Debug)]
pub struct Report {
    /// Requests.
    pub asked: usize,
    /// Those answered with a success.
    pub served: usize,
    /// Rate limits that engines set.
    pub limits: usize,
    /// Returns of the store from older copies.
    pub restores: usize,
    /// Faults in order.
    pub faults: Vec<DrawnFault>,
    /// What did not hold.
    pub violations: Vec<Violation>,
}

/// Runs a soak.
///
/// # Errors
/// When processes cannot be started; what does not hold is in the report.
pub async fn run(settings: &SoakSettings) -> Result<Report> {
    let mut soak = Soak::start(settings).await?;
    soak.await_ready().await;
    let callers = soak.start_callers(settings);
    soak.strike(settings).await?;
    soak.calm_down().await?;
    for caller in callers {
        drop(caller.await);
    }
    soak.check_calm().await;
    Ok(soak.report())
}

struct Soak {
    platform: Platform,
    daemons: Vec<DaemonProcess>,
    client: ClientStandIn,
    load: Arc<LoadState>,
    random: Pcg64Mcg,
    faults: Vec<DrawnFault>,
    outages: Vec<Outage>,
    troubles: Troubles,
    /// Those of them in which the store, or the way to it, was in trouble.
    store_troubles: Troubles,
    /// Has engines set rate limits; none where they do not.
    limiter: Option<Limiter>,
    /// Has the store come back from older copies; none where it does not.
    restorer: Option<Restorer>,
    violations: Vec<Violation>,
}

impl Soak {
    async fn start(settings: &SoakSettings) -> Result<Self> {
        std::fs::create_dir_all(&settings.folder)?;
        let platform = Platform::start(settings.seed).await?;
        let mut daemons = Vec::new();
        for number in 0..settings.daemons {
            let daemon = DaemonProcess::start(number + 1, &platform, &settings.folder);
            daemons.push(daemon.await?);
        }
        Ok(Self {
            client: ClientStandIn::new(platform.runtime.clone()),
            platform,
            daemons,
            load: Arc::default(),
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            faults: Vec::new(),
            outages: Vec::new(),
            troubles: Troubles::default(),
            store_troubles: Troubles::default(),
            limiter: settings.limits.then(|| Limiter::new(settings.seed)),
            restorer: settings.restores.then(|| Restorer::new(settings.seed)),
            violations: Vec::new(),
        })
    }

    fn start_callers(&self, settings: &SoakSettings) -> Vec<tokio::task::JoinHandle<()>> {
        let end = Instant::now() + settings.time;
        (0..settings.callers)
            .map(|number| {
                let (client, load) = (self.client.clone(), Arc::clone(&self.load));
                tokio::spawn(call(client, load, number, settings.seed, end))
            })
            .collect()
    }

    /// Asks every daemon whether it is ready, and sends callers to those that are.
    async fn look_for_ready(&self) -> usize {
        let mut targets = Vec::new();
        for daemon in &self.daemons {
            let asked = self.client.status(daemon.readiness, "/readiness");
            let status = timeout(Duration::from_millis(200), asked).await;
            if matches!(status, Ok(Some(StatusCode::OK))) {
                targets.push(daemon.callers);
            }
        }
        let ready = targets.len();
        *self.load.targets.lock().expect("no holder panics") = targets;
        ready
    }

    async fn await_ready(&self) {
        let end = Instant::now() + READY_LIMIT;
        while self.look_for_ready().await < self.daemons.len() && Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn strike(&mut self, settings: &SoakSettings) -> Result<()> {
        let end = Instant::now() + settings.time;
        while Instant::now() < end {
            let staying = self.staying();
            let drawn = draw(&mut self.random, self.daemons.len(), staying.len());
            self.faults.push(drawn.clone());
            self.apply(&drawn, &staying).await?;
        }
        Ok(())
    }

    /// Engines that have not left.
    fn staying(&self) -> Vec<usize> {
        let members = self.platform.members.iter().enumerate();
        members
            .filter(|(_index, member)| member.left.is_none())
            .map(|(index, _member)| index)
            .collect()
    }

    async fn apply(&mut self, drawn: &DrawnFault, staying: &[usize]) -> Result<()> {
        let begun = Instant::now();
        match &drawn.fault {
            Fault::Kill(daemon) => self.kill(&[*daemon], drawn.time).await?,
            Fault::KillAll => {
                let all: Vec<usize> = (0..self.daemons.len()).collect();
                self.kill(&all, drawn.time).await?;
            }
            Fault::Freeze(daemon) => self.freeze(*daemon, drawn.time).await?,
            Fault::Terminate(daemon) => self.terminate(*daemon).await?,
            Fault::HangUp(daemon) => self.daemons[*daemon].signal(Signal::HUP)?,
            Fault::Store(mode) => {
                self.platform.store.set_mode(*mode);
                self.pass(drawn.time).await?;
                self.platform.store.set_mode(StoreMode::Up);
                self.store_trouble(begun);
            }
            Fault::Door(daemon, mode) => {
                self.daemons[*daemon].door.set_mode(*mode);
                self.pass(drawn.time).await?;
                self.daemons[*daemon].door.set_mode(StoreMode::Up);
                self.store_trouble(begun);
            }
            Fault::DropHistory => self.platform.store.compact_history(),
            Fault::Engine(index, behaviour) => {
                let engine = self.platform.members[staying[*index]].engine.clone();
                engine.set_default_behaviour(*behaviour);
                self.pass(drawn.time).await?;
                engine.clear_behaviours();
            }
            Fault::EngineBriefly(index, behaviour) => {
                let engine = &self.platform.members[staying[*index]].engine;
                engine.queue_behaviours(&[*behaviour; 6]);
            }
            Fault::Drain(index) => self.leave(staying[*index], true).await?,
            Fault::Vanish(index) => self.leave(staying[*index], false).await?,
            Fault::CrashingRequest => self.send_crashing_request(drawn.time).await?,
            Fault::Configure => self.configure().await?,
        }
        self.pass(drawn.pause).await
    }

    /// Lets time pass while processes are kept running and callers sent to those that are ready.
    async fn pass(&mut self, time: Duration) -> Result<()> {
        let end = Instant::now() + time;
        loop {
            for daemon in &mut self.daemons {
                let now = Instant::now();
                let expected = daemon.disturbed_until.is_some_and(|until| until > now);
                daemon.keep_running(expected)?;
            }
            self.platform.tend_engines().await?;
            self.tend_limits();
            self.tend_restorer();
            self.look_for_ready().await;
            if Instant::now() >= end {
                return Ok(());
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    fn tend_limits(&mut self) {
        let staying = self.staying().into_iter();
        let engines: Vec<EngineStandIn> = staying
            .map(|index| self.platform.members[index].engine.clone())
            .collect();
        if let Some(limiter) = &mut self.limiter {
            limiter.tend(&engines);
        }
    }

    fn tend_restorer(&mut self) {
        let Some(restorer) = &mut self.restorer else {
            return;
        };
        if let Some(trouble) = restorer.tend(&self.platform) {
            self.troubles.0.push(trouble);
            self.store_troubles.0.push(trouble);
        }
    }

    /// The request goes on while later faults strike.
    async fn send_crashing_request(&mut self, time: Duration) -> Result<()> {
        let name = format!("crasher{}", self.faults.len());
        let end = Instant::now() + CRASHER_TIME;
        let seed = self.random.random();
        tokio::spawn(crash_again_and_again(
            self.client.clone(),
            Arc::clone(&self.load),
            name,
            seed,
            end,
        ));
        self.pass(time).await
    }

    fn disturb(&mut self, daemon: usize, time: Duration) {
        self.daemons[daemon].disturbed_until = Some(Instant::now() + time + AFTERMATH);
    }

    fn trouble(&mut self, begun: Instant) {
        self.troubles.0.push((begun, Instant::now() + AFTERMATH));
    }

    fn note_outages(&mut self, daemons: &[usize], begun: Instant) {
        for daemon in daemons {
            self.outages.push(Outage {
                daemon: self.daemons[*daemon].callers,
                from: begun,
                to: Instant::now() + AFTERMATH,
            });
        }
    }

    fn store_trouble(&mut self, begun: Instant) {
        self.trouble(begun);
        self.store_troubles
            .0
            .push((begun, Instant::now() + AFTERMATH));
    }

    async fn kill(&mut self, daemons: &[usize], _time: Duration) -> Result<()> {
        let begun = Instant::now();
        for daemon in daemons {
            self.disturb(*daemon, Duration::ZERO);
            self.daemons[*daemon].signal(Signal::KILL)?;
        }
        self.pass(Duration::from_millis(500)).await?;
        self.note_outages(daemons, begun);
        self.trouble(begun);
        Ok(())
    }

    async fn freeze(&mut self, daemon: usize, time: Duration) -> Result<()> {
        let begun = Instant::now();
        self.disturb(daemon, time);
        self.daemons[daemon].signal(Signal::STOP)?;
        self.pass(time).await?;
        self.daemons[daemon].signal(Signal::CONT)?;
        self.note_outages(&[daemon], begun);
        self.trouble(begun);
        Ok(())
    }

    async fn terminate(&mut self, daemon: usize) -> Result<()> {
        let begun = Instant::now();
        let grace = Duration::from_secs(8);
        self.disturb(daemon, grace);
        self.daemons[daemon].signal(Signal::TERM)?;
        self.pass(Duration::from_millis(3_500)).await?;
        self.trouble(begun);
        Ok(())
    }

    async fn leave(&mut self, index: usize, says_so: bool) -> Result<()> {
        let engine = self.platform.members[index].engine.clone();
        let (service, stage) = if engine.is_model_engine() {
            (MODELS, engine.stage())
        } else {
            (RECORDS, None)
        };
        if says_so {
            engine.record(&self.platform.store, "draining");
        } else {
            engine.remove_entry(&self.platform.store);
        }
        self.platform.members[index].left = Some(Instant::now());
        self.platform.members[index].drains = says_so;
        self.platform.add_engine(service, stage).await?;
        self.pass(Duration::from_millis(300)).await
    }

    async fn configure(&mut self) -> Result<()> {
        let begun = Instant::now();
        let has_changing = !self.platform.has_changing;
        self.platform.configure(has_changing);
        self.pass(CONFIGURATION_BOUND).await?;
        if self.troubles.touch(begun - AFTERMATH, Instant::now()) {
            return Ok(());
        }
        let expected = if has_changing {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        };
        for index in 0..self.daemons.len() {
            let request = ClientRequest::plain(&format!("probe-{begun:?}-{index}"), CHANGING);
            let status = self.status_of(index, &request).await;
            let is_undisturbed = self.daemons[index]
                .disturbed_until
                .is_none_or(|until| until < begun);
            // An engine that misbehaves may fail it; only the wrong configuration is told here.
            let is_wrong = match status {
                Some(StatusCode::NOT_FOUND) => has_changing,
                Some(StatusCode::OK) => !has_changing,
                _ => false,
            };
            if is_undisturbed && is_wrong {
                self.violations.push(Violation {
                    rule: "a configuration is in force in time",
                    seen: format!("{}: {status:?}, not {expected}", self.daemons[index].name),
                });
            }
        }
        Ok(())
    }

    async fn status_of(&self, daemon: usize, request: &ClientRequest) -> Option<StatusCode> {
        let asked = self.client.ask(self.daemons[daemon].callers, request);
        let answer = timeout(Duration::from_secs(3), asked).await.ok()??;
        Some(answer.status)
    }

    async fn calm_down(&mut self) -> Result<()> {
        if let Some(limiter) = &mut self.limiter {
            limiter.lift();
        }
        let limiter = self.limiter.take();
        let mut restorer = self.restorer.take();
        if let Some(restorer) = &mut restorer {
            restorer.end(&self.platform);
        }
        self.platform.store.set_mode(StoreMode::Up);
        for daemon in &self.daemons {
            daemon.door.set_mode(StoreMode::Up);
        }
        for member in &self.platform.members {
            member.engine.clear_behaviours();
        }
        self.pass(AFTERMATH + Duration::from_secs(4)).await?;
        self.limiter = limiter;
        self.restorer = restorer;
        Ok(())
    }

    /// With all faults over, every daemon is ready and serves every request.
    async fn check_calm(&mut self) {
        let ready = self.look_for_ready().await;
        if ready < self.daemons.len() {
            self.violations.push(Violation {
                rule: "all recover",
                seen: format!("{ready} of {} daemons are ready", self.daemons.len()),
            });
        }
        for index in 0..self.daemons.len() {
            for number in 0..CALM_REQUESTS {
                let request = ClientRequest::plain(&format!("calm-{index}-{number}"), "post");
                let status = self.status_of(index, &request).await;
                if status != Some(StatusCode::OK) {
                    self.violations.push(Violation {
                        rule: "all recover",
                        seen: format!("{} answers {status:?}", self.daemons[index].name),
                    });
                }
            }
        }
        for daemon in &self.daemons {
            if daemon.own_ends > 0 {
                self.violations.push(Violation {
                    rule: "no process ends by itself",
                    seen: format!("{} did {} times", daemon.name, daemon.own_ends),
                });
            }
        }
    }

    fn report(self) -> Report {
        let asked = self.load.asked.lock().expect("no holder panics").clone();
        let mut violations = self.violations;
        let members = &self.platform.members;
        violations.extend(check(&asked, members, &self.troubles));
        violations.extend(check_crashing_requests(members, &self.store_troubles));
        violations.extend(self.limiter.iter().flat_map(Limiter::check));
        violations.extend(check_answers(&asked, members, &self.outages));
        let served = asked.iter().filter(|one| {
            let answer = one.answer.as_ref();
            answer.is_some_and(|answer| answer.status.is_success() && answer.is_complete)
        });
        Report {
            served: served.count(),
            asked: asked.len(),
            limits: self.limiter.as_ref().map_or(0, Limiter::count),
            restores: self.restorer.as_ref().map_or(0, Restorer::count),
            faults: self.faults,
            violations,
        }
    }
}
