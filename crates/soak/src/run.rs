//! A run: start, load with concurrent faults, a recovery phase without faults, and the final
//! checks.

mod cut_check;
mod silence_check;

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

use crate::checks::silences::{OtherFaults, SilenceReport, check_silences};
use crate::checks::{
    Disruptions, Outage, PART_CRASHER, Violation, check, check_crashing_requests,
    check_every_request_answered,
};
use crate::cuts::PathCutter;
use crate::daemons::DaemonProcess;
use crate::faults::{Fault, ScheduledFault, draw_fault};
use crate::limits::RateLimitInjector;
use crate::load::{CallerState, CrashCause, RequestRecord, repeat_crashing_request, run_caller};
use crate::platform::{MODEL_SERVICE, PLAIN_SERVICE, Platform, TOGGLED_ROUTE, crashing_part};
use crate::restorer::StoreRestorer;
use crate::silences::{Silencer, Silences};

/// Time after a fault within which its effects must have ended.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Time for all daemons to become ready after the start.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Time for a configuration change to take effect in the absence of disruptions.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(2);
/// How long a request that crashes engines is repeated.
const CRASHING_REQUEST_DURATION: Duration = Duration::from_secs(10);
/// Time that a daemon has for a planned stop.
const TERMINATION_GRACE: Duration = Duration::from_secs(8);
/// Interval of the checks of processes and engines.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of requests sent to each daemon in the final check.
const FINAL_REQUESTS_PER_DAEMON: usize = 10;

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Seed for the faults and the load.
    pub seed: u64,
    /// How long faults are injected.
    pub duration: Duration,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Whether engines set rate limits in addition to the faults.
    pub limits: bool,
    /// Whether the store is restored from older copies in addition to the faults.
    pub restores: bool,
    /// Whether paths between daemons and back ends are cut in addition to the faults.
    pub cuts: bool,
    /// Whether back ends fall silent for short times in addition to the faults.
    pub silences: bool,
    /// Directory for the daemons' settings and logs.
    pub folder: PathBuf,
}

/// Results of a run.
#[derive(Debug)]
pub struct Report {
    /// Number of requests.
    pub requests: usize,
    /// Number of requests with a complete, successful answer.
    pub served: usize,
    /// Number of rate limits that engines set.
    pub limits: usize,
    /// Number of times the store was restored from an older copy.
    pub restores: usize,
    /// Number of cuts of paths between daemons and back ends.
    pub cuts: usize,
    /// Number of silences of back ends.
    pub silences: usize,
    /// How requests ended that met a silence and no other fault.
    pub silence_report: SilenceReport,
    /// Faults in the order of their injection.
    pub faults: Vec<ScheduledFault>,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Runs a soak test.
///
/// # Errors
/// When daemons or stand-ins cannot be started or controlled. Violated invariants are no
/// error; they are in the report.
pub async fn run(settings: &SoakSettings) -> Result<Report> {
    let mut soak = Soak::start(settings).await?;
    soak.await_ready().await;
    let callers = soak.start_callers(settings);
    soak.inject_faults(settings).await?;
    soak.end_faults().await?;
    for caller in callers {
        drop(caller.await);
    }
    soak.check_recovery().await;
    soak.check_cut_paths().await?;
    soak.check_silences().await?;
    Ok(soak.report())
}

struct Soak {
    platform: Platform,
    daemons: Vec<DaemonProcess>,
    client: ClientStandIn,
    load: Arc<CallerState>,
    random: Pcg64Mcg,
    faults: Vec<ScheduledFault>,
    outages: Vec<Outage>,
    disruptions: Disruptions,
    /// The disruptions that affected the store or a daemon's link to it.
    store_disruptions: Disruptions,
    /// `None` if engines set no rate limits.
    rate_limiter: Option<RateLimitInjector>,
    /// `None` if the store is not restored.
    restorer: Option<StoreRestorer>,
    /// `None` if no paths are cut.
    path_cutter: Option<PathCutter>,
    /// `None` if back ends do not fall silent.
    silencer: Option<Silencer>,
    violations: Vec<Violation>,
}

impl Soak {
    async fn start(settings: &SoakSettings) -> Result<Self> {
        std::fs::create_dir_all(&settings.folder)?;
        let platform = Platform::start(settings.seed).await?;
        let mut daemons = Vec::new();
        for number in 0..settings.daemons {
            let daemon =
                DaemonProcess::start(number + 1, &platform, &settings.folder, settings.cuts);
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
            disruptions: Disruptions::default(),
            store_disruptions: Disruptions::default(),
            rate_limiter: settings
                .limits
                .then(|| RateLimitInjector::new(settings.seed)),
            restorer: settings.restores.then(|| StoreRestorer::new(settings.seed)),
            path_cutter: settings.cuts.then(|| PathCutter::new(settings.seed)),
            silencer: settings.silences.then(|| Silencer::new(settings.seed)),
            violations: Vec::new(),
        })
    }

    fn start_callers(&self, settings: &SoakSettings) -> Vec<tokio::task::JoinHandle<()>> {
        let end = Instant::now() + settings.duration;
        (0..settings.callers)
            .map(|number| {
                let (client, load) = (self.client.clone(), Arc::clone(&self.load));
                tokio::spawn(run_caller(client, load, number, settings.seed, end))
            })
            .collect()
    }

    /// Queries every daemon's readiness, and directs callers to the ready ones. Returns their
    /// number.
    async fn update_targets(&self) -> usize {
        let mut targets = Vec::new();
        for daemon in &self.daemons {
            let response = self.client.status(daemon.readiness_address, "/readiness");
            let status = timeout(Duration::from_millis(200), response).await;
            if matches!(status, Ok(Some(StatusCode::OK))) {
                targets.push(daemon.caller_address);
            }
        }
        let ready = targets.len();
        *self.load.targets.lock().expect("the lock is not poisoned") = targets;
        ready
    }

    async fn await_ready(&self) {
        let end = Instant::now() + READY_LIMIT;
        while self.update_targets().await < self.daemons.len() && Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn inject_faults(&mut self, settings: &SoakSettings) -> Result<()> {
        let end = Instant::now() + settings.duration;
        while Instant::now() < end {
            let active_engines = self.active_engines();
            let scheduled = draw_fault(&mut self.random, self.daemons.len(), active_engines.len());
            self.faults.push(scheduled.clone());
            self.inject(&scheduled, &active_engines).await?;
        }
        Ok(())
    }

    /// Indexes of the engines that have not left.
    fn active_engines(&self) -> Vec<usize> {
        let members = self.platform.members.iter().enumerate();
        members
            .filter(|(_index, member)| member.left_at.is_none())
            .map(|(index, _member)| index)
            .collect()
    }

    async fn inject(&mut self, scheduled: &ScheduledFault, active_engines: &[usize]) -> Result<()> {
        let started_at = Instant::now();
        match &scheduled.fault {
            Fault::Kill(daemon) => self.kill(&[*daemon], scheduled.duration).await?,
            Fault::KillAll => {
                let all: Vec<usize> = (0..self.daemons.len()).collect();
                self.kill(&all, scheduled.duration).await?;
            }
            Fault::Freeze(daemon) => self.freeze(*daemon, scheduled.duration).await?,
            Fault::Terminate(daemon) => self.terminate(*daemon).await?,
            Fault::ReloadSettings(daemon) => self.daemons[*daemon].signal(Signal::HUP)?,
            Fault::Store(mode) => {
                self.platform.store.set_mode(*mode);
                self.run_for(scheduled.duration).await?;
                self.platform.store.set_mode(StoreMode::Up);
                self.add_store_disruption(started_at);
            }
            Fault::StoreLink(daemon, mode) => {
                self.daemons[*daemon].store_link.set_mode(*mode);
                self.run_for(scheduled.duration).await?;
                self.daemons[*daemon].store_link.set_mode(StoreMode::Up);
                self.add_store_disruption(started_at);
            }
            Fault::DropHistory => self.platform.store.compact_history(),
            Fault::Engine(index, behaviour) => {
                let engine = self.platform.members[active_engines[*index]].engine.clone();
                engine.set_default_behaviour(*behaviour);
                self.run_for(scheduled.duration).await?;
                engine.clear_behaviours();
            }
            Fault::EngineRequests(index, behaviour) => {
                let engine = &self.platform.members[active_engines[*index]].engine;
                engine.queue_behaviours(&[*behaviour; 6]);
            }
            Fault::Drain(index) => self.remove_engine(active_engines[*index], true).await?,
            Fault::RemoveEntry(index) => self.remove_engine(active_engines[*index], false).await?,
            Fault::CrashingRequest => self.send_crashing_request(scheduled.duration).await?,
            Fault::Configure => self.configure().await?,
        }
        self.run_for(scheduled.pause).await
    }

    /// Waits for `duration`, meanwhile restarting exited processes, advancing the scheduled events
    /// and directing callers to the ready daemons.
    async fn run_for(&mut self, duration: Duration) -> Result<()> {
        let end = Instant::now() + duration;
        loop {
            for daemon in &mut self.daemons {
                let now = Instant::now();
                let expected = daemon.disturbed_until.is_some_and(|until| until > now);
                daemon.restart_if_exited(expected)?;
            }
            self.platform.update_engines().await?;
            self.update_rate_limits();
            self.update_restores();
            if let Some(path_cutter) = &mut self.path_cutter {
                path_cutter.tick(&self.daemons, &self.platform);
            }
            if let Some(silencer) = &mut self.silencer {
                silencer.tick(&self.platform);
            }
            self.update_targets().await;
            if Instant::now() >= end {
                return Ok(());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until all daemons are ready, at most for the `limit` and another second, and at least
    /// for a second.
    async fn run_until_ready(&mut self, limit: Duration) -> Result<()> {
        let end = Instant::now() + limit;
        loop {
            self.run_for(Duration::from_secs(1)).await?;
            if self.update_targets().await == self.daemons.len() || Instant::now() >= end {
                return Ok(());
            }
        }
    }

    fn update_rate_limits(&mut self) {
        let active_engines = self.active_engines().into_iter();
        let engines: Vec<EngineStandIn> = active_engines
            .map(|index| self.platform.members[index].engine.clone())
            .collect();
        if let Some(rate_limiter) = &mut self.rate_limiter {
            rate_limiter.tick(&engines);
        }
    }

    fn update_restores(&mut self) {
        let Some(restorer) = &mut self.restorer else {
            return;
        };
        if let Some(disruption) = restorer.tick(&self.platform) {
            self.disruptions.0.push(disruption);
            self.store_disruptions.0.push(disruption);
        }
    }

    /// Starts repeating a crashing request, which continues while later faults are injected.
    async fn send_crashing_request(&mut self, duration: Duration) -> Result<()> {
        let number = self.faults.len();
        let (name, cause) = if self.random.random_bool(0.5) {
            (format!("crasher{number}"), CrashCause::Body)
        } else {
            let part = crashing_part(number);
            (format!("{PART_CRASHER}{number}"), CrashCause::Part(part))
        };
        let end = Instant::now() + CRASHING_REQUEST_DURATION;
        let seed = self.random.random();
        tokio::spawn(repeat_crashing_request(
            self.client.clone(),
            Arc::clone(&self.load),
            name,
            cause,
            seed,
            end,
        ));
        self.run_for(duration).await
    }

    fn mark_disturbed(&mut self, daemon: usize, duration: Duration) {
        self.daemons[daemon].disturbed_until = Some(Instant::now() + duration + RECOVERY_TIME);
    }

    fn add_disruption(&mut self, started_at: Instant) {
        self.disruptions
            .0
            .push((started_at, Instant::now() + RECOVERY_TIME));
    }

    fn record_outages(&mut self, daemons: &[usize], started_at: Instant) {
        for daemon in daemons {
            self.outages.push(Outage {
                daemon: self.daemons[*daemon].caller_address,
                from: started_at,
                stopped_to: Instant::now(),
                to: Instant::now() + RECOVERY_TIME,
            });
        }
    }

    fn add_store_disruption(&mut self, started_at: Instant) {
        self.add_disruption(started_at);
        self.store_disruptions
            .0
            .push((started_at, Instant::now() + RECOVERY_TIME));
    }

    async fn kill(&mut self, daemons: &[usize], _duration: Duration) -> Result<()> {
        let started_at = Instant::now();
        for daemon in daemons {
            self.mark_disturbed(*daemon, Duration::ZERO);
            self.daemons[*daemon].signal(Signal::KILL)?;
        }
        self.run_for(Duration::from_millis(500)).await?;
        self.record_outages(daemons, started_at);
        self.add_disruption(started_at);
        Ok(())
    }

    async fn freeze(&mut self, daemon: usize, duration: Duration) -> Result<()> {
        let started_at = Instant::now();
        self.mark_disturbed(daemon, duration);
        self.daemons[daemon].signal(Signal::STOP)?;
        self.run_for(duration).await?;
        self.daemons[daemon].signal(Signal::CONT)?;
        self.record_outages(&[daemon], started_at);
        self.add_disruption(started_at);
        Ok(())
    }

    async fn terminate(&mut self, daemon: usize) -> Result<()> {
        let started_at = Instant::now();
        self.mark_disturbed(daemon, TERMINATION_GRACE);
        self.daemons[daemon].signal(Signal::TERM)?;
        self.run_for(Duration::from_millis(3_500)).await?;
        self.add_disruption(started_at);
        Ok(())
    }

    async fn remove_engine(&mut self, index: usize, announces_drain: bool) -> Result<()> {
        let engine = self.platform.members[index].engine.clone();
        let (service, stage) = if engine.is_model_engine() {
            (MODEL_SERVICE, engine.stage())
        } else {
            (PLAIN_SERVICE, None)
        };
        if announces_drain {
            engine.record(&self.platform.store, "draining");
        } else {
            engine.remove_entry(&self.platform.store);
        }
        self.platform.members[index].left_at = Some(Instant::now());
        self.platform.members[index].announced_drain = announces_drain;
        self.platform.add_engine(service, stage).await?;
        self.run_for(Duration::from_millis(300)).await
    }

    async fn configure(&mut self) -> Result<()> {
        let started_at = Instant::now();
        let has_toggled_route = !self.platform.has_toggled_route;
        self.platform.configure(has_toggled_route);
        self.run_for(CONFIGURATION_LIMIT).await?;
        if self
            .disruptions
            .overlaps(started_at - RECOVERY_TIME, Instant::now())
        {
            return Ok(());
        }
        let expected = if has_toggled_route {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        };
        for index in 0..self.daemons.len() {
            let request =
                ClientRequest::plain(&format!("probe-{started_at:?}-{index}"), TOGGLED_ROUTE);
            let status = self.request_status(index, &request).await;
            let is_undisturbed = self.daemons[index]
                .disturbed_until
                .is_none_or(|until| until < started_at);
            // Other statuses may come from a misbehaving engine and do not show the configuration.
            let is_wrong = match status {
                Some(StatusCode::NOT_FOUND) => has_toggled_route,
                Some(StatusCode::OK) => !has_toggled_route,
                _ => false,
            };
            if is_undisturbed && is_wrong {
                self.violations.push(Violation {
                    rule: "configuration changes take effect in time",
                    observed: format!(
                        "{}: {status:?}, expected {expected}",
                        self.daemons[index].name
                    ),
                });
            }
        }
        Ok(())
    }

    async fn request_status(&self, daemon: usize, request: &ClientRequest) -> Option<StatusCode> {
        let response = self
            .client
            .ask(self.daemons[daemon].caller_address, request);
        let answer = timeout(Duration::from_secs(3), response).await.ok()??;
        Some(answer.status)
    }

    async fn end_faults(&mut self) -> Result<()> {
        if let Some(rate_limiter) = &mut self.rate_limiter {
            rate_limiter.clear_limit();
        }
        let rate_limiter = self.rate_limiter.take();
        let mut path_cutter = self.path_cutter.take();
        if let Some(path_cutter) = &mut path_cutter {
            path_cutter.heal();
            path_cutter.send(&self.daemons);
        }
        let silencer = self.silencer.take();
        let mut restorer = self.restorer.take();
        if let Some(restorer) = &mut restorer {
            restorer.finish(&self.platform);
        }
        self.platform.store.set_mode(StoreMode::Up);
        for daemon in &self.daemons {
            daemon.store_link.set_mode(StoreMode::Up);
        }
        for member in &self.platform.members {
            member.engine.clear_behaviours();
        }
        self.run_for(RECOVERY_TIME + Duration::from_secs(4)).await?;
        self.rate_limiter = rate_limiter;
        self.restorer = restorer;
        self.path_cutter = path_cutter;
        self.silencer = silencer;
        Ok(())
    }

    /// Checks that after the end of all faults every daemon is ready and serves every request.
    async fn check_recovery(&mut self) {
        let ready = self.update_targets().await;
        if ready < self.daemons.len() {
            self.violations.push(Violation {
                rule: "daemons recover after the faults",
                observed: format!("{ready} of {} daemons are ready", self.daemons.len()),
            });
        }
        for index in 0..self.daemons.len() {
            for number in 0..FINAL_REQUESTS_PER_DAEMON {
                let request = ClientRequest::plain(&format!("calm-{index}-{number}"), "post");
                let status = self.request_status(index, &request).await;
                if status != Some(StatusCode::OK) {
                    self.violations.push(Violation {
                        rule: "daemons recover after the faults",
                        observed: format!("{} answered {status:?}", self.daemons[index].name),
                    });
                }
            }
        }
        for daemon in &self.daemons {
            if daemon.unexpected_exits > 0 {
                self.violations.push(Violation {
                    rule: "processes do not exit unexpectedly",
                    observed: format!("{} exited {} times", daemon.name, daemon.unexpected_exits),
                });
            }
        }
    }

    fn check_requests_beside_silences(
        &self,
        requests: &[RequestRecord],
        silences: &Silences,
    ) -> SilenceReport {
        let cuts = self.path_cutter.as_ref().map(PathCutter::periods);
        let other_faults = OtherFaults {
            outages: &self.outages,
            store_disruptions: &self.store_disruptions,
            cuts: cuts.unwrap_or_default(),
        };
        check_silences(requests, &self.platform.members, silences, other_faults)
    }

    fn report(self) -> Report {
        let requests = self
            .load
            .requests
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        let mut violations = self.violations.clone();
        let members = &self.platform.members;
        let silences = self.silencer.as_ref().map(Silencer::silences);
        let silences = silences.cloned().unwrap_or_default();
        violations.extend(check(&requests, members, &self.disruptions, &silences));
        violations.extend(check_crashing_requests(
            members,
            &self.store_disruptions,
            &silences,
        ));
        let silence_report = self.check_requests_beside_silences(&requests, &silences);
        violations.extend(silence_report.violations.iter().cloned());
        violations.extend(self.rate_limiter.iter().flat_map(RateLimitInjector::check));
        violations.extend(check_every_request_answered(
            &requests,
            members,
            &self.outages,
        ));
        let served = requests.iter().filter(|request| {
            let answer = request.answer.as_ref();
            answer.is_some_and(|answer| answer.status.is_success() && answer.is_complete)
        });
        Report {
            served: served.count(),
            requests: requests.len(),
            limits: self
                .rate_limiter
                .as_ref()
                .map_or(0, RateLimitInjector::count),
            restores: self.restorer.as_ref().map_or(0, StoreRestorer::count),
            cuts: self.path_cutter.as_ref().map_or(0, PathCutter::count),
            silences: silences.0.len(),
            silence_report,
            faults: self.faults,
            violations,
        }
    }
}
