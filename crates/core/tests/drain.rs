//! Guards against routing to a back end that the controller considers drained.

use std::time::Duration;

use ponddrift_core::drain::{
    DrainAck, DrainAction, DrainMark, DrainProgress, DrainReason, DrainSource, DrainState,
    DrainTable, DrainTracker, DrainTrackerSettings, DrainVersion, KnownDaemon, ViewLeaseSettings,
    ViewLeases, ViewSource, ViewStatus,
};
use ponddrift_core::machine::{Machine, MachineKind, MachineList, MachineState};
use ponddrift_core::membership::{Contact, MemberState};
use ponddrift_core::{CellName, FencingToken, Incarnation, MachineId, Timestamp};

const ENGINE: MachineId = MachineId(500);
const DAEMON: MachineId = MachineId(1);

fn mark(token: u64, counter: u64, state: DrainState) -> DrainMark {
    DrainMark {
        back_end: ENGINE,
        source: DrainSource::Controller,
        version: DrainVersion {
            token: FencingToken(token),
            counter,
        },
        state,
        reason: DrainReason::RoleChange,
        age_ms: 0,
    }
}

fn daemon(state: MemberState) -> KnownDaemon {
    KnownDaemon {
        machine: DAEMON,
        incarnation: Incarnation(1),
        state,
    }
}

fn machine_list(revision: u64, state: MachineState) -> MachineList {
    let machine = Machine {
        id: ENGINE,
        kind: MachineKind::Plain {
            pool: "records".parse().unwrap(),
        },
        zone: "z".parse().unwrap(),
        region: "r".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        state,
    };
    MachineList {
        revision,
        machines: vec![machine],
    }
}

#[test]
fn an_older_mark_never_releases_a_back_end() {
    let mut table = DrainTable::default();
    let now = Timestamp(1);
    let first = table.apply_mark(now, mark(5, 2, DrainState::Draining));
    assert!(matches!(first, Some(DrainAction::StopRouting { .. })));
    assert_eq!(
        table.apply_mark(now, mark(5, 1, DrainState::Released)),
        None
    );
    assert_eq!(
        table.apply_mark(now, mark(4, 9, DrainState::Released)),
        None
    );
    assert!(table.draining(ENGINE).is_some());
    let released = table.apply_mark(now, mark(6, 1, DrainState::Released));
    assert_eq!(
        released,
        Some(DrainAction::ResumeRouting { back_end: ENGINE })
    );
}

#[test]
fn a_leaving_machine_stays_drained_when_the_controller_releases_it() {
    let mut table = DrainTable::default();
    let now = Timestamp(1);
    assert_eq!(
        table
            .apply_machine_list(now, &machine_list(3, MachineState::Leaving))
            .len(),
        1
    );
    table.apply_mark(now, mark(5, 1, DrainState::Draining));
    assert_eq!(
        table.apply_mark(now, mark(5, 2, DrainState::Released)),
        None
    );
    assert!(table.draining(ENGINE).is_some());
    assert_eq!(
        table.apply_machine_list(now, &machine_list(2, MachineState::Live)),
        []
    );
    assert!(
        table.draining(ENGINE).is_some(),
        "an older list released it"
    );
    table.apply_machine_list(now, &machine_list(4, MachineState::Live));
    assert!(table.draining(ENGINE).is_none());
}

#[test]
fn marks_are_sent_a_bounded_number_of_times_and_digests_identify_tables() {
    let mut table = DrainTable::default();
    table.apply_mark(Timestamp(1), mark(5, 1, DrainState::Draining));
    let sent = (0..100).filter(|_| !table.take_for_gossip(Timestamp(1), 10).is_empty());
    assert_eq!(sent.count(), 12);
    let mut other = DrainTable::default();
    assert_ne!(other.digest(), table.digest());
    for mark in table.all(Timestamp(900_000)).collect::<Vec<_>>() {
        assert_eq!(mark.age_ms, 899);
        other.apply_mark(Timestamp(5), mark);
    }
    assert_eq!(other.digest(), table.digest());
}

#[test]
fn a_restarted_daemon_must_acknowledge_again() {
    let now = Timestamp::from_millis(1);
    let mut tracker = DrainTracker::new(DrainTrackerSettings::default(), FencingToken(5), now);
    tracker.update_daemon(now, daemon(MemberState::Alive));
    let version = tracker.begin(now, ENGINE, DrainReason::RoleChange).version;
    let ack = DrainAck {
        back_end: ENGINE,
        version,
    };
    tracker.acknowledge(DAEMON, Incarnation(1), ack);
    let progress = tracker.progress(now, ENGINE, Contact::InContact);
    assert_eq!(progress, DrainProgress::Acknowledged);
    let mut restarted = daemon(MemberState::Alive);
    restarted.incarnation = Incarnation(2);
    tracker.update_daemon(now, restarted);
    let progress = tracker.progress(now, ENGINE, Contact::InContact);
    assert_eq!(progress, DrainProgress::WaitingFor(vec![DAEMON]));
}

/// One daemon and one controller with network partitions, process freezes and delayed answers.
/// Membership states are derived from the time since the last contact.
struct Model {
    now: Timestamp,
    table: DrainTable,
    views: ViewLeases,
    tracker: DrainTracker,
    cell: CellName,
    is_partitioned: bool,
    is_frozen: bool,
    last_reached: Timestamp,
    late_answer: Option<(u64, Vec<DrainMark>)>,
    /// The controller considered the engine drained under the last mark, so it may be changing.
    may_be_changing: bool,
}

impl Model {
    fn new() -> Self {
        let cell: CellName = "cell".parse().unwrap();
        let now = Timestamp::from_millis(1);
        let mut views = ViewLeases::new(ViewLeaseSettings::default());
        views.subscribe(cell.clone());
        views.caught_up();
        let settings = DrainTrackerSettings::default();
        let mut tracker = DrainTracker::new(settings, FencingToken(5), now);
        tracker.update_daemon(now, daemon(MemberState::Alive));
        Self {
            now,
            table: DrainTable::default(),
            views,
            tracker,
            cell,
            is_partitioned: false,
            is_frozen: false,
            last_reached: now,
            late_answer: None,
            may_be_changing: false,
        }
    }

    fn daemon_contact(&self) -> Contact {
        if self.now.since(self.last_reached) > Duration::from_secs(10) {
            Contact::Isolated
        } else {
            Contact::InContact
        }
    }

    fn step(&mut self, action: u8) {
        self.now = self.now + Duration::from_millis(500);
        let reachable = !self.is_partitioned && !self.is_frozen;
        if reachable {
            self.last_reached = self.now;
        }
        let silent = self.now.since(self.last_reached);
        let state = if silent > Duration::from_secs(5) {
            MemberState::Dead
        } else {
            MemberState::Alive
        };
        self.tracker.update_daemon(self.now, daemon(state));
        match action % 8 {
            0 => self.is_partitioned = !self.is_partitioned,
            1 => self.is_frozen = true,
            2 if self.is_frozen => {
                self.is_frozen = false;
                self.views.invalidate_after_freeze(self.now);
            }
            3 => {
                self.tracker
                    .begin(self.now, ENGINE, DrainReason::RoleChange);
            }
            4 => {
                self.may_be_changing = false;
                self.tracker.release(self.now, ENGINE);
            }
            5 => self.deliver_late_answer(),
            _ => {}
        }
        if !self.is_frozen {
            self.renew(action.is_multiple_of(2));
        }
    }

    fn renew(&mut self, answer_at_once: bool) {
        let contact = self.daemon_contact();
        for request in self.views.tick(self.now, contact) {
            if self.is_partitioned {
                continue;
            }
            let marks = self
                .tracker
                .answer_view_request(self.now, daemon(MemberState::Alive));
            self.late_answer = Some((request.number, marks));
            if answer_at_once {
                self.deliver_late_answer();
            }
        }
    }

    fn deliver_late_answer(&mut self) {
        if self.is_partitioned || self.is_frozen {
            return;
        }
        let Some((number, marks)) = self.late_answer.take() else {
            return;
        };
        for mark in marks {
            let action = self.table.apply_mark(self.now, mark);
            if let Some(DrainAction::StopRouting { back_end, .. }) = action {
                let ack = self.table.acknowledge_drain(back_end).unwrap();
                self.tracker.acknowledge(DAEMON, Incarnation(1), ack);
            }
        }
        let cell = self.cell.clone();
        if self.views.accept_answer(&cell, number, FencingToken(5)) {
            self.views.caught_up();
        }
    }

    fn daemon_would_route(&self) -> bool {
        let contact = self.daemon_contact();
        let status = self.views.status(&self.cell, self.now, contact);
        let is_drained = self.table.draining(ENGINE).is_some();
        !self.is_frozen && status != ViewStatus::Unusable && !is_drained
    }

    fn controller_believes_drained(&self) -> bool {
        let progress = self.tracker.progress(self.now, ENGINE, Contact::InContact);
        progress == DrainProgress::Acknowledged
    }
}

#[test]
fn no_daemon_routes_to_a_back_end_that_the_controller_considers_drained() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .with_max_len(200)
        .for_each(|actions| {
            let mut model = Model::new();
            for action in actions {
                model.step(*action);
                model.may_be_changing |= model.controller_believes_drained();
                let is_unsafe = model.may_be_changing && model.daemon_would_route();
                assert!(!is_unsafe, "at {:?}", model.now);
            }
        });
}

#[test]
fn a_drain_completes_without_a_dead_daemon_only_after_its_view_and_contact_have_ended() {
    let mut model = Model::new();
    model.step(6);
    model.step(0);
    model.step(3);
    let drained_from = (0..100).find(|_| {
        model.step(7);
        model.controller_believes_drained()
    });
    assert!(drained_from.is_some());
    assert!(!model.daemon_would_route());
    assert!(model.now.since(model.last_reached) >= Duration::from_secs(16));
    let isolated_progress = model.tracker.progress(model.now, ENGINE, Contact::Isolated);
    assert_eq!(isolated_progress, DrainProgress::WaitingFor(vec![DAEMON]));
}

#[test]
fn a_formerly_isolated_daemon_routes_again_only_after_it_has_the_marks() {
    let mut model = Model::new();
    model.step(6);
    model.step(0);
    model.step(3);
    for _ in 0..60 {
        model.step(7);
    }
    assert!(model.controller_believes_drained());
    model.is_partitioned = false;
    model.step(7);
    assert_eq!(model.daemon_contact(), Contact::InContact);
    for _ in 0..4 {
        assert!(
            !model.daemon_would_route(),
            "the daemon routes with outdated marks"
        );
        model.step(7);
    }
    model.step(5);
    assert!(model.table.draining(ENGINE).is_some());
}

#[test]
fn a_daemon_that_considers_itself_the_controller_asks_its_peers() {
    let other = MachineId(2);
    assert_eq!(
        ViewSource::new(Some(other), DAEMON),
        ViewSource::Controller(other)
    );
    assert_eq!(ViewSource::new(Some(DAEMON), DAEMON), ViewSource::Peers);
    assert_eq!(ViewSource::new(None, DAEMON), ViewSource::Peers);
}
