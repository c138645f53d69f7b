//! Polls engines: load from the metrics endpoint, role and model from the control endpoint.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use ponddrift_core::engine_facts::EngineFacts;
use ponddrift_core::load::{LoadDigest, PROMPT_BLOCK_TOKENS};
use ponddrift_core::machine::{Machine, MachineKind, MachineList};
use ponddrift_core::membership::assignment::PollerAssignment;
use ponddrift_core::{EngineRole, Incarnation, MachineId};
use ponddrift_engine::control::ControlClient;
use ponddrift_engine::load::{LoadClient, LoadSample};
use ponddrift_engine::wire::control::EngineReport;
use ponddrift_http::Client;
use ponddrift_runtime::watch;
use tokio::time::Instant;
use xtra::Address;

use crate::actors::ask;
use crate::actors::peer::{PeerActor, Polled};
use crate::fleet::MachineListReceiver;
use crate::peer::view::MembersView;

/// Number of daemons that poll one engine; the second covers a failure of the first.
const POLLERS_PER_ENGINE: usize = 2;
/// Time after startup during which all daemons of the machine list count as live. Otherwise a new
/// daemon would poll every engine of the fleet until gossip reports the other daemons.
const JOIN_GRACE: Duration = Duration::from_secs(10);
/// The second poller polls once in this number of intervals.
const SECOND_POLLER_EVERY: u32 = 4;
/// The engine state is read at least once in this number of load reads.
const MAXIMUM_POLLS_WITHOUT_STATE: u32 = 8;
/// Converts a fraction to permille.
const PERMILLE: f64 = 1_000.0;

/// Result of polling one engine.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EngineObservation {
    /// Role and model; `None` if this poll read the load only.
    pub(crate) facts: Option<EngineFacts>,
    pub(crate) digest: LoadDigest,
}

/// Reads the load and state of engines.
#[derive(Clone)]
pub(crate) struct EnginePoller {
    control: ControlClient,
    load: LoadClient,
}

impl EnginePoller {
    pub(crate) fn new(client: &Client, time_limit: Duration) -> Self {
        Self {
            control: ControlClient::new(client.clone(), time_limit),
            load: LoadClient::new(client.clone(), time_limit),
        }
    }

    /// Polls `engines` concurrently and omits those that do not answer.
    pub(crate) async fn poll(&self, engines: &mut [PolledEngine]) -> Vec<EngineObservation> {
        let readings = engines.iter_mut().map(|engine| self.poll_one(engine));
        join_all(readings).await.into_iter().flatten().collect()
    }

    /// Reads the load, and also the state if it may have changed since the last read.
    async fn poll_one(&self, engine: &mut PolledEngine) -> Option<EngineObservation> {
        let id = engine.machine.id;
        let address = engine.machine.address;
        let sample = match self.load.read(address).await {
            Ok(sample) => sample,
            Err(error) => {
                tracing::debug!(engine = %id, %error, "reading the engine's load failed");
                return None;
            }
        };
        let mut facts = None;
        if engine.must_read_state(&sample) {
            match self.control.state(address).await {
                Ok(report) => facts = Some(engine.state_read(&sample, report)),
                Err(error) => {
                    tracing::debug!(engine = %id, %error, "reading the engine's state failed");
                    return None;
                }
            }
        }
        Some(EngineObservation {
            facts,
            digest: digest(id, &sample),
        })
    }
}

/// An engine that this daemon polls, with the result of its last state read.
#[derive(Debug, Clone)]
pub(crate) struct PolledEngine {
    machine: Machine,
    rank: usize,
    /// Incarnation and role in the load sample at the last state read.
    last_seen: Option<(Incarnation, Option<EngineRole>)>,
    polls_since_state: u32,
}

impl PolledEngine {
    fn new(machine: Machine, rank: usize) -> Self {
        Self {
            machine,
            rank,
            last_seen: None,
            polls_since_state: 0,
        }
    }

    /// Whether to poll in this interval: the first poller always does, the second one rarely.
    fn is_due(&self, interval: u32) -> bool {
        self.rank == 0 || interval.is_multiple_of(SECOND_POLLER_EVERY)
    }

    /// Detects a change of role or model: the load sample has no role while an engine changes it.
    fn must_read_state(&mut self, sample: &LoadSample) -> bool {
        self.polls_since_state += 1;
        sample.role.is_none()
            || self.last_seen != Some((sample.incarnation, sample.role))
            || self.polls_since_state >= MAXIMUM_POLLS_WITHOUT_STATE
    }

    fn state_read(&mut self, sample: &LoadSample, report: EngineReport) -> EngineFacts {
        self.polls_since_state = 0;
        self.last_seen = Some((sample.incarnation, sample.role));
        facts(self.machine.id, report)
    }
}

fn facts(engine: MachineId, report: EngineReport) -> EngineFacts {
    EngineFacts {
        engine,
        incarnation: report.incarnation,
        // Assigned by the facts table.
        sequence: 0,
        role: report.role,
        model: report.model,
    }
}

fn digest(engine: MachineId, sample: &LoadSample) -> LoadDigest {
    LoadDigest {
        engine,
        incarnation: sample.incarnation,
        // Assigned by the peer actor.
        sequence: 0,
        role: sample.role,
        waiting: saturating_u16(sample.waiting),
        running: saturating_u16(sample.running),
        waiting_prompt_blocks: saturating_u16(sample.waiting_prompt_tokens / PROMPT_BLOCK_TOKENS),
        cache_used_permille: permille(sample.cache_used),
    }
}

fn saturating_u16(number: u64) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "as saturates"
)]
fn permille(share: f64) -> u16 {
    (share * PERMILLE) as u16
}

/// Periodically polls the engines assigned to this daemon by rendezvous hashing over the live
/// daemons.
pub(crate) async fn follow(
    poller: EnginePoller,
    interval: Duration,
    fleet: MachineListReceiver,
    members: watch::Receiver<Arc<MembersView>>,
    peers: Address<PeerActor>,
) {
    let mut ticker = tokio::time::interval(interval);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let joined_at = Instant::now() + JOIN_GRACE;
    let mut assigned = AssignedEngines::new(&fleet, &members, true);
    let mut number = 0_u32;
    loop {
        ticker.tick().await;
        assigned.refresh(&fleet, &members, Instant::now() < joined_at);
        let observations = assigned.poll(&poller, number).await;
        number = number.wrapping_add(1);
        if ask(&peers, Polled(observations)).await.is_err() {
            return;
        }
    }
}

/// Engines assigned to this daemon, recomputed only when the machine list or the members change.
struct AssignedEngines {
    list: Arc<MachineList>,
    view: Arc<MembersView>,
    is_joining: bool,
    engines: Vec<PolledEngine>,
}

impl AssignedEngines {
    fn new(
        fleet: &MachineListReceiver,
        members: &watch::Receiver<Arc<MembersView>>,
        is_joining: bool,
    ) -> Self {
        let list = Arc::clone(&fleet.borrow());
        let view = Arc::clone(&members.borrow());
        let engines = assigned_engines(&list.machines, &view, is_joining);
        Self {
            list,
            view,
            is_joining,
            engines,
        }
    }

    fn refresh(
        &mut self,
        fleet: &MachineListReceiver,
        members: &watch::Receiver<Arc<MembersView>>,
        is_joining: bool,
    ) {
        let is_same = Arc::ptr_eq(&self.list, &fleet.borrow())
            && Arc::ptr_eq(&self.view, &members.borrow())
            && self.is_joining == is_joining;
        if is_same {
            return;
        }
        let old = std::mem::replace(self, Self::new(fleet, members, is_joining));
        for engine in &mut self.engines {
            let earlier = old.engines.iter();
            let mut same = earlier.filter(|old| old.machine == engine.machine);
            if let Some(old) = same.next() {
                engine.last_seen = old.last_seen;
                engine.polls_since_state = old.polls_since_state;
            }
        }
    }

    async fn poll(&mut self, poller: &EnginePoller, interval: u32) -> Vec<EngineObservation> {
        let (mut due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.engines)
            .into_iter()
            .partition(|engine| engine.is_due(interval));
        let observations = poller.poll(&mut due).await;
        due.extend(later);
        self.engines = due;
        observations
    }
}

fn assigned_engines(
    machines: &[Machine],
    view: &MembersView,
    is_joining: bool,
) -> Vec<PolledEngine> {
    let mut assignment = PollerAssignment::new(view.own, &view.live_records());
    let is_daemon = |machine: &&Machine| matches!(machine.kind, MachineKind::Daemon);
    if is_joining {
        for daemon in machines.iter().filter(is_daemon) {
            assignment.expect(daemon.id, &daemon.zone);
        }
    }
    let is_engine = |machine: &&Machine| matches!(machine.kind, MachineKind::Engine { .. });
    let assigned = |machine: &Machine| {
        let rank = assignment.rank(machine.id, &machine.zone)?;
        (rank < POLLERS_PER_ENGINE).then(|| PolledEngine::new(machine.clone(), rank))
    };
    machines
        .iter()
        .filter(is_engine)
        .filter_map(assigned)
        .collect()
}
