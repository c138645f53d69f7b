//! Actor for the active configuration. It never goes back to an older revision, whatever the
//! source.

use std::collections::BTreeMap;
use std::sync::Arc;

use ponddrift_core::configuration::{
    Configuration, ConfigurationState, Delta, DeltaOutcome, PullAnswer, SnapshotOutcome,
};
use ponddrift_core::decision::DecisionKind;
use ponddrift_core::{Incarnation, MachineId, Revision};
use ponddrift_runtime::watch;
use xtra::{Context, Handler};

use crate::decisions::DecisionLog;
use crate::metrics::Metrics;

/// Holds the active configuration and the revisions that peers report.
#[derive(xtra::Actor)]
pub(crate) struct ConfigurationActor {
    state: ConfigurationState,
    in_force: watch::Sender<Arc<Configuration>>,
    metrics: Arc<Metrics>,
    decisions: DecisionLog,
    /// Incarnation to which each peer's reported revision belongs.
    peer_incarnations: BTreeMap<MachineId, Incarnation>,
}

impl ConfigurationActor {
    pub(crate) fn new(
        in_force: watch::Sender<Arc<Configuration>>,
        metrics: Arc<Metrics>,
        decisions: DecisionLog,
    ) -> Self {
        Self {
            state: ConfigurationState::default(),
            in_force,
            metrics,
            decisions,
            peer_incarnations: BTreeMap::new(),
        }
    }

    fn publish(&self, source: &str) {
        let configuration = self.state.in_force().clone();
        let revision = configuration.revision;
        let shown = i64::try_from(revision.0).unwrap_or(i64::MAX);
        self.metrics.configuration_revision.set(shown);
        self.decisions
            .record(DecisionKind::Configuration, "revision", revision, source);
        self.in_force.send_replace(Arc::new(configuration));
    }
}

/// Applies a complete configuration read from the store.
pub(crate) struct ApplySnapshot(pub(crate) Configuration);

/// Applies a change received from the store.
pub(crate) struct ApplyDelta(pub(crate) Delta);

/// Applies the answer of a peer to a configuration pull.
pub(crate) struct ApplyPullAnswer(pub(crate) PullAnswer);

/// Returns the changes after this revision, for a peer that pulls them.
pub(crate) struct ChangesSince(pub(crate) Revision);

/// Records the revision that is active at a peer.
pub(crate) struct RecordPeerRevision {
    pub(crate) peer: MachineId,
    pub(crate) incarnation: Incarnation,
    pub(crate) revision: Revision,
}

/// Returns the last known active revision of each peer.
pub(crate) struct PeerRevisions;

/// Returns the members of `live` that have not reported `revision` or a later one as active.
pub(crate) struct PeersWithoutRevision {
    pub(crate) revision: Revision,
    pub(crate) live: Vec<MachineId>,
}

impl Handler<ApplySnapshot> for ConfigurationActor {
    type Return = ();

    async fn handle(&mut self, message: ApplySnapshot, _context: &mut Context<Self>) {
        if self.state.apply_snapshot(message.0) == SnapshotOutcome::Applied {
            self.publish("read from the store");
        }
    }
}

impl Handler<ApplyDelta> for ConfigurationActor {
    type Return = DeltaOutcome;

    async fn handle(&mut self, message: ApplyDelta, _context: &mut Context<Self>) -> DeltaOutcome {
        let outcome = self.state.apply_delta(message.0);
        if outcome == DeltaOutcome::Applied {
            self.publish("change seen in the store");
        }
        outcome
    }
}

impl Handler<ApplyPullAnswer> for ConfigurationActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyPullAnswer, _context: &mut Context<Self>) {
        if self.state.apply_pull_answer(message.0) {
            self.publish("pulled from a peer");
        }
    }
}

impl Handler<ChangesSince> for ConfigurationActor {
    type Return = PullAnswer;

    async fn handle(&mut self, message: ChangesSince, _context: &mut Context<Self>) -> PullAnswer {
        self.state.since(message.0)
    }
}

impl Handler<RecordPeerRevision> for ConfigurationActor {
    type Return = ();

    async fn handle(&mut self, message: RecordPeerRevision, _context: &mut Context<Self>) {
        let RecordPeerRevision {
            peer,
            incarnation,
            revision,
        } = message;
        let known = self.peer_incarnations.insert(peer, incarnation);
        match known {
            Some(known) if known > incarnation => {
                self.peer_incarnations.insert(peer, known);
                return;
            }
            Some(known) if known < incarnation => self.state.forget_peer(peer),
            Some(_) | None => {}
        }
        self.state.record_peer_revision(peer, revision);
    }
}

impl Handler<PeerRevisions> for ConfigurationActor {
    type Return = BTreeMap<MachineId, Revision>;

    async fn handle(
        &mut self,
        _message: PeerRevisions,
        _context: &mut Context<Self>,
    ) -> Self::Return {
        self.state.peers().collect()
    }
}

impl Handler<PeersWithoutRevision> for ConfigurationActor {
    type Return = Vec<MachineId>;

    async fn handle(
        &mut self,
        message: PeersWithoutRevision,
        _context: &mut Context<Self>,
    ) -> Vec<MachineId> {
        self.state.not_yet_in_force(message.revision, message.live)
    }
}
