//! Changes of role and losses of engines.

use std::time::Duration;

use ponddrift_core::retry::AttemptFailure;
use ponddrift_core::routing::{BackEndKind, BackEndView, EngineView, RoutingEvent, SendOutcome};
use ponddrift_core::{EngineRole, Incarnation, MachineId, Timestamp};

use super::Simulation;
use super::engine::Change;
use super::event::Event;
use super::record::ChangeRecord;
use super::request::Stage;
use crate::engine::cost::ModelChange;
use crate::experiment::controller::RoleOrder;

/// Time until every daemon has acknowledged that an engine drains.
const DRAIN_ANNOUNCED_AFTER: Duration = Duration::from_millis(200);
/// Time until the daemons know that an engine is lost.
const LOSS_NOTICED_AFTER: Duration = Duration::from_secs(1);

impl Simulation<'_> {
    /// Begins to drain an engine for a change of role. A change under way is never replaced.
    pub(super) fn begin_change(&mut self, order: RoleOrder) {
        let engine = order.engine.0 as usize;
        let state = &mut self.engines[engine];
        if state.lost || state.change.is_some() || state.role == Some(order.to) {
            return;
        }
        state.change = Some(Change {
            to: order.to,
            begun_at: self.now,
            announced: false,
            ordered: false,
        });
        let epoch = state.epoch;
        self.record.changes.push(ChangeRecord {
            at: self.now,
            engine: order.engine,
            from: state.role,
            to: order.to,
        });
        let draining = RoutingEvent::Draining {
            back_end: order.engine,
            draining: true,
        };
        self.tell_all(&draining);
        let due = self.now + DRAIN_ANNOUNCED_AFTER;
        self.events
            .push(due, Event::DrainAnnounced { engine, epoch });
    }

    pub(super) fn drain_announced(&mut self, engine: usize, epoch: u32) {
        let state = &mut self.engines[engine];
        if state.epoch != epoch {
            return;
        }
        if let Some(change) = &mut state.change {
            change.announced = true;
        }
        self.try_change(engine);
    }

    /// Orders the change once the engine is drained: it cuts nothing.
    pub(super) fn try_change(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        let is_empty = state.held.is_empty();
        let Some(change) = &mut state.change else {
            return;
        };
        if !is_empty || !change.announced || change.ordered {
            return;
        }
        change.ordered = true;
        let to = change.to;
        let time = self.input.fleet.cost.change_time(true, ModelChange::None);
        let epoch = state.epoch;
        let event = Event::ChangeDone { engine, epoch, to };
        self.events.push(self.now + time, event);
    }

    pub(super) fn change_done(&mut self, engine: usize, epoch: u32, to: EngineRole) {
        let state = &mut self.engines[engine];
        if state.epoch != epoch {
            return;
        }
        state.scheduler.clear();
        state.role = Some(to);
        state.since = self.now;
        if let Some(change) = state.change.take() {
            self.record.engine_seconds_away += self.now.since(change.begun_at).as_secs_f64();
        }
        self.tell_view(engine);
    }

    /// Tells every daemon what an engine is.
    pub(super) fn tell_view(&mut self, engine: usize) {
        let state = &self.engines[engine];
        let view = BackEndView {
            id: state.id,
            kind: BackEndKind::Engine(EngineView {
                cell: self.names.cell.clone(),
                incarnation: state.incarnation,
                role: state.role,
                model: Some(self.names.model.clone()),
                version: 1,
                adapters: Vec::new(),
            }),
            zone: self.names.zone(engine).clone(),
            region: self.names.region.clone(),
            draining: state.change.is_some(),
        };
        self.tell_all(&RoutingEvent::BackEnd(view));
    }

    pub(super) fn tell_plain(&mut self) {
        let views: Vec<BackEndView> = self
            .plain
            .iter()
            .map(|plain| BackEndView {
                id: plain.id,
                kind: BackEndKind::Plain {
                    pool: self.names.pool.clone(),
                },
                zone: self.names.zone(plain.id.0 as usize).clone(),
                region: self.names.region.clone(),
                draining: false,
            })
            .collect();
        for view in views {
            self.tell_all(&RoutingEvent::BackEnd(view));
        }
    }

    /// An engine goes with all that runs on it.
    pub(super) fn lose(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.lost = true;
        state.epoch += 1;
        state.step = None;
        state.role = None;
        state.scheduler.clear();
        if let Some(change) = state.change.take() {
            self.record.engine_seconds_away += self.now.since(change.begun_at).as_secs_f64();
        }
        let held = std::mem::take(&mut state.held);
        self.events
            .push(self.now + LOSS_NOTICED_AFTER, Event::LossNoticed { engine });
        for request in held {
            self.cut(request, engine);
        }
    }

    /// What becomes of a request when one of its engines goes.
    fn cut(&mut self, request: usize, lost: usize) {
        match self.requests[request].stage {
            Stage::Reading { engine, decode, .. } if engine == lost => {
                self.end_send(request, engine, SendOutcome::Failed);
                self.run_whole(request, decode);
            }
            // It learns of the loss when its prompt is read or its cache arrives.
            Stage::Reading { .. } | Stage::Importing { .. } => {}
            Stage::Generating { engine, .. } if engine == lost => {
                self.end_send(request, engine, SendOutcome::Failed);
                self.failed(request, engine, AttemptFailure::ConnectionLost);
            }
            _ => {}
        }
    }

    pub(super) fn notice_loss(&mut self, engine: usize) {
        let back_end = MachineId(engine as u32);
        self.tell_all(&RoutingEvent::Removed(back_end));
    }

    /// A lost engine is back: a new incarnation without role.
    pub(super) fn come_back(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.lost = false;
        state.epoch += 1;
        state.since = Timestamp::ZERO;
        state.incarnation = Incarnation(state.incarnation.0 + 1);
        self.tell_view(engine);
    }
}
