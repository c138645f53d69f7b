//! Engine calls for the reconciler.

use std::net::SocketAddr;
use std::sync::Arc;

use ponddrift_core::orders::{
    EngineCallError, EngineReport, Order, OrdersAction, OrdersEvent, ReadNumber,
};
use ponddrift_core::{Execution, FencingToken, MachineId, OrderId};
use ponddrift_engine::control::{AuthorityCheck, ControlError};
use ponddrift_engine::wire::control::ClaimRequest;

use super::{ControllerActor, EngineAnswered};
use crate::actors::tell;

impl ControllerActor {
    /// Creates a check that calls run once connected, right before sending: the controller must
    /// still hold authority under `token`.
    fn authority_check(&self, token: FencingToken) -> AuthorityCheck {
        let authority = self.authority.subscribe();
        let clock = Arc::clone(&self.deps.runtime.clock);
        Arc::new(move || {
            let current = *authority.borrow();
            current.is_some_and(|held| held.token == token && clock.now() < held.until)
        })
    }

    pub(super) fn engine_address(&self, engine: MachineId) -> Option<SocketAddr> {
        let list = self.deps.fleet.borrow();
        list.machines
            .iter()
            .find(|machine| machine.id == engine)
            .map(|machine| machine.address)
    }

    pub(super) fn claim(&self, engine: MachineId, token: FencingToken) {
        let Some(address) = self.engine_address(engine) else {
            let problem = EngineCallError::NotSent;
            return self.queue_event(token, OrdersEvent::ClaimFailed { engine, problem });
        };
        let control = self.deps.control.clone();
        let check = self.authority_check(token);
        self.spawn_call(token, async move {
            match control.claim(address, &ClaimRequest { token }, check).await {
                Ok(report) => OrdersEvent::Claimed { engine, report },
                Err(error) => OrdersEvent::ClaimFailed {
                    engine,
                    problem: call_problem(error),
                },
            }
        });
    }

    pub(super) fn read_state(&self, token: FencingToken, engine: MachineId, number: ReadNumber) {
        let Some(address) = self.engine_address(engine) else {
            let report = None;
            return self.queue_event(
                token,
                OrdersEvent::Read {
                    engine,
                    number,
                    report,
                },
            );
        };
        let control = self.deps.control.clone();
        self.spawn_call(token, async move {
            let report: Option<EngineReport> = control.state(address).await.ok();
            OrdersEvent::Read {
                engine,
                number,
                report,
            }
        });
    }

    pub(super) fn send_order(&self, engine: MachineId, order: Order) {
        let token = order.token;
        let order_id: OrderId = order.order_id;
        let Some(address) = self.engine_address(engine) else {
            let problem = EngineCallError::NotSent;
            let event = OrdersEvent::OrderFailed {
                engine,
                order_id,
                problem,
            };
            return self.queue_event(token, event);
        };
        let control = self.deps.control.clone();
        let check = self.authority_check(token);
        self.spawn_call(token, async move {
            match control.order(address, &order, check).await {
                Ok(report) => OrdersEvent::OrderAccepted {
                    engine,
                    order_id,
                    report,
                },
                Err(error) => OrdersEvent::OrderFailed {
                    engine,
                    order_id,
                    problem: call_problem(error),
                },
            }
        });
    }

    fn queue_event(&self, token: FencingToken, event: OrdersEvent) {
        self.spawn_call(token, async move { event });
    }

    fn spawn_call<F>(&self, token: FencingToken, call: F)
    where
        F: Future<Output = OrdersEvent> + Send + 'static,
    {
        let Some(own) = self.own.clone() else { return };
        self.deps.runtime.spawner.spawn(Box::pin(async move {
            let event = call.await;
            if let Some(own) = own.try_upgrade() {
                tell(&own, EngineAnswered { token, event });
            }
        }));
    }

    pub(super) fn execute_orders_action(&mut self, action: OrdersAction) {
        match action {
            OrdersAction::Claim { engine, token } => self.claim(engine, token),
            OrdersAction::ReadState { engine, number } => {
                if let Some(token) = self.term.as_ref().map(|term| term.token) {
                    self.read_state(token, engine, number);
                }
            }
            OrdersAction::BeginDrain { engine, reason } => self.begin_drain(engine, reason),
            OrdersAction::EndDrain { engine } => self.end_drain(engine),
            OrdersAction::SendOrder { engine, order } => self.send_order(engine, order),
            OrdersAction::SetAside { engine, reason } => {
                tracing::warn!(%engine, %reason, "engine set aside");
            }
            OrdersAction::TokenRefused { newest } => {
                self.authority_event(ponddrift_core::authority::AuthorityEvent::TokenRefused {
                    newest,
                });
            }
            OrdersAction::Record(record) => self.deps.decisions.keep(record),
        }
    }
}

fn call_problem(error: ControlError) -> EngineCallError {
    match error {
        ControlError::Refused(refusal) => EngineCallError::Refused(refusal),
        ControlError::Call(error) if error.execution() == Execution::NotStarted => {
            EngineCallError::NotSent
        }
        ControlError::Call(_) => EngineCallError::AnswerLost,
    }
}
