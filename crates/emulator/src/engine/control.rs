//! Fenced claims and orders, without I/O: newest token, incarnation, one order at a time.

use indexmap::IndexMap;
use ponddrift_core::{EngineRole, FencingToken, Incarnation, ModelName, OrderId};
use ponddrift_engine::wire::control::{
    ControlRefusal, EndedOrder, EngineReport, LoadedModel, OrderRequest, RunningOrder, TargetState,
};

/// Ended orders whose ids are remembered.
const REMEMBERED_ORDERS: usize = 1_024;

/// What an accepted order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderStart {
    /// The engine is already there, or knows the order: nothing to do.
    Nothing,
    /// A change begins now; running requests are cut.
    Change(Change),
}

/// A change to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The order.
    pub order: RunningOrder,
    /// The role before.
    pub old_role: Option<EngineRole>,
    /// The model before.
    pub old_model: Option<LoadedModel>,
}

/// Control state of one life of an engine.
#[derive(Debug, Clone)]
pub struct ControlState {
    incarnation: Incarnation,
    token: FencingToken,
    role: Option<EngineRole>,
    model: Option<LoadedModel>,
    running: Option<RunningOrder>,
    last: Option<EndedOrder>,
    ended: IndexMap<OrderId, TargetState>,
    /// Models it can hold; empty: any.
    models: Vec<ModelName>,
}

impl ControlState {
    /// A life that begins in the given state and has seen no token.
    #[must_use]
    pub fn new(
        incarnation: Incarnation,
        role: Option<EngineRole>,
        model: Option<LoadedModel>,
        models: Vec<ModelName>,
    ) -> Self {
        Self {
            incarnation,
            token: FencingToken(0),
            role,
            model,
            running: None,
            last: None,
            ended: IndexMap::new(),
            models,
        }
    }

    /// The role; `None` during a change.
    #[must_use]
    pub fn role(&self) -> Option<EngineRole> {
        self.role
    }

    /// The model; `None` during a change.
    #[must_use]
    pub fn model(&self) -> Option<&LoadedModel> {
        self.model.as_ref()
    }

    /// The order that is being carried out.
    #[must_use]
    pub fn running_order(&self) -> Option<OrderId> {
        self.running.as_ref().map(|running| running.order_id)
    }

    /// What the engine says of itself.
    #[must_use]
    pub fn report(&self, requests: u32) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            token: self.token,
            role: self.role,
            model: self.model.clone(),
            running_order: self.running.clone(),
            last_order: self.last.clone(),
            requests,
        }
    }

    /// Refuses every older token from now on.
    ///
    /// # Errors
    /// [`ControlRefusal::StaleToken`].
    pub fn claim(&mut self, token: FencingToken) -> Result<(), ControlRefusal> {
        if token < self.token {
            return Err(ControlRefusal::StaleToken { newest: self.token });
        }
        self.token = token;
        Ok(())
    }

    /// Takes an order.
    ///
    /// # Errors
    /// Why it was refused; only a newer token is remembered then.
    pub fn order(&mut self, request: &OrderRequest) -> Result<OrderStart, ControlRefusal> {
        self.claim(request.token)?;
        if request.incarnation != self.incarnation {
            return Err(ControlRefusal::WrongIncarnation {
                current: self.incarnation,
            });
        }
        if let Some(known) = self.known_target(request.order_id) {
            return if *known == request.target {
                Ok(OrderStart::Nothing)
            } else {
                Err(ControlRefusal::OrderIdReused)
            };
        }
        if let Some(running) = &self.running {
            return Err(ControlRefusal::Busy {
                order_id: running.order_id,
            });
        }
        self.check_model(&request.target.model)?;
        Ok(self.begin(request))
    }

    fn known_target(&self, order: OrderId) -> Option<&TargetState> {
        let running = self.running.as_ref();
        let running = running.filter(|running| running.order_id == order);
        running
            .map(|running| &running.target)
            .or_else(|| self.ended.get(&order))
    }

    fn check_model(&self, model: &LoadedModel) -> Result<(), ControlRefusal> {
        if self.models.is_empty() || self.models.contains(&model.model) {
            return Ok(());
        }
        let message = format!("this engine cannot hold {}", model.model);
        Err(ControlRefusal::Impossible { message })
    }

    fn begin(&mut self, request: &OrderRequest) -> OrderStart {
        let order = RunningOrder {
            order_id: request.order_id,
            target: request.target.clone(),
        };
        let is_there = self.role == Some(request.target.role)
            && self.model.as_ref() == Some(&request.target.model);
        self.running = Some(order.clone());
        if is_there {
            self.end(Ok(()));
            return OrderStart::Nothing;
        }
        OrderStart::Change(Change {
            order,
            old_role: self.role.take(),
            old_model: self.model.take(),
        })
    }

    /// Ends the running order. After a failure the engine plays no role.
    pub fn end(&mut self, outcome: Result<(), String>) {
        let Some(order) = self.running.take() else {
            return;
        };
        if outcome.is_ok() {
            self.role = Some(order.target.role);
            self.model = Some(order.target.model.clone());
        }
        self.last = Some(EndedOrder {
            order_id: order.order_id,
            succeeded: outcome.is_ok(),
            message: outcome.err().unwrap_or_default(),
        });
        self.ended.insert(order.order_id, order.target);
        if self.ended.len() > REMEMBERED_ORDERS {
            self.ended.shift_remove_index(0);
        }
    }
}
