//! Claims, orders, and carrying out a change: it cuts what runs, and may crash in its middle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_engine::wire::cache_events::CacheChange;
use ponddrift_engine::wire::control::{
    ClaimRequest, ControlRefusal, EngineReport, LoadedModel, OrderRequest,
};
use ponddrift_http::{Body, body};

use super::control::{Change, OrderStart};
use super::control_log::{ControlCall, ControlEntry};
use super::cost::ModelChange;
use super::life::Life;
use crate::platform::weight_store::WEIGHTS_PATH;
use crate::server::{json_ok, read_json};

/// Time a transfer of weights may take.
const WEIGHTS_TIME_LIMIT: Duration = Duration::from_secs(600);
/// Largest receipt read, in bytes.
const RECEIPT_SIZE_LIMIT: usize = 64 * 1024;

impl Life {
    /// What the engine says of itself.
    pub(super) fn report(&self) -> EngineReport {
        let state = self.lock();
        state.control.report(state.requests())
    }

    /// `POST /control/claim`.
    pub(super) async fn claim(&self, request: Request<Incoming>) -> Response<Body> {
        let claim: ClaimRequest = match read_json(request).await {
            Ok(claim) => claim,
            Err(refused) => return refused.into_response(),
        };
        let mut state = self.lock();
        let claimed = state.control.claim(claim.token);
        self.shared.control_log.record(ControlEntry {
            incarnation: self.incarnation,
            token: claim.token,
            call: ControlCall::Claim,
            accepted: claimed.is_ok(),
            running_before: state.control.running_order(),
        });
        drop(state);
        self.control_answer(claimed)
    }

    /// `POST /control/orders`.
    pub(super) async fn order(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let order: OrderRequest = match read_json(request).await {
            Ok(order) => order,
            Err(refused) => return refused.into_response(),
        };
        let taken = self.take_order(&order);
        self.control_answer(taken)
    }

    fn control_answer(&self, outcome: Result<(), ControlRefusal>) -> Response<Body> {
        match outcome {
            Ok(()) => json_ok(&self.report()),
            Err(refusal) => {
                self.shared.count(|counters| counters.control_refused += 1);
                body::json_response(StatusCode::CONFLICT, &refusal)
            }
        }
    }

    fn take_order(self: &Arc<Self>, order: &OrderRequest) -> Result<(), ControlRefusal> {
        let mut state = self.lock();
        let running_before = state.control.running_order();
        let taken = state.control.order(order);
        self.shared.control_log.record(ControlEntry {
            incarnation: self.incarnation,
            token: order.token,
            call: ControlCall::Order {
                id: order.order_id,
                begins_change: matches!(taken, Ok(OrderStart::Change(_))),
            },
            accepted: taken.is_ok(),
            running_before,
        });
        let OrderStart::Change(change) = taken? else {
            return Ok(());
        };
        let cut = self.cut_all(&mut state);
        state.change = Some(change.clone());
        drop(state);
        self.shared.count(|counters| {
            counters.changes_begun += 1;
            counters.cut_by_change += cut.running;
            counters.refused_by_change += cut.waiting;
        });
        self.cache_events
            .publish(CacheChange::Cleared, self.shared.behaviour());
        let carrying_out = Arc::clone(self).carry_out(change);
        self.runtime.spawner.spawn(Box::pin(carrying_out));
        Ok(())
    }

    async fn carry_out(self: Arc<Self>, change: Change) {
        let target = &change.order.target;
        let kind = model_change(change.old_model.as_ref(), &target.model);
        let role_changes = change.old_role != Some(target.role);
        let time = self.settings.cost.change_time(role_changes, kind);
        tokio::time::sleep(time / 2).await;
        if self.shared.crash_in_change() {
            // The host kills this life, and this task with it.
            std::future::pending::<()>().await;
        }
        let fetched = match (kind, self.settings.weight_store) {
            (ModelChange::Model, Some(store)) => self.fetch_weights(store, &target.model).await,
            _ => Ok(()),
        };
        if fetched.is_ok() {
            tokio::time::sleep(time / 2).await;
        }
        let done = fetched.is_ok();
        let mut state = self.lock();
        state.control.end(fetched);
        state.change = None;
        self.record_load(&mut state);
        drop(state);
        self.shared
            .count(|counters| counters.changes_done += u64::from(done));
    }

    async fn fetch_weights(&self, store: SocketAddr, model: &LoadedModel) -> Result<(), String> {
        let target = format!(
            "http://{store}{WEIGHTS_PATH}{}/{}",
            model.model, model.version
        );
        let request = Request::get(target)
            .body(body::empty())
            .map_err(|error| error.to_string())?;
        let fetch = async {
            let response = self
                .client
                .send(request)
                .await
                .map_err(|error| error.to_string())?;
            if response.status() != StatusCode::OK {
                return Err(format!("the weight store answered {}", response.status()));
            }
            body::read_all(response.into_body(), RECEIPT_SIZE_LIMIT, WEIGHTS_TIME_LIMIT)
                .await
                .map_err(|error| error.to_string())?;
            Ok(())
        };
        tokio::time::timeout(WEIGHTS_TIME_LIMIT, fetch)
            .await
            .map_err(|_| "the weight store took too long".to_owned())?
    }
}

fn model_change(old: Option<&LoadedModel>, new: &LoadedModel) -> ModelChange {
    match old {
        Some(old) if old == new => ModelChange::None,
        Some(old) if old.model == new.model && old.version == new.version => ModelChange::Adapters,
        _ => ModelChange::Model,
    }
}
