//! Reports the outcome of a send to a back end exactly once, even if the caller disconnects.

use std::net::SocketAddr;
use std::sync::Arc;

use ponddrift_core::routing::{RoutingEvent, SendOutcome, Sent};
use ponddrift_core::{MachineId, RequestId};

use super::GatewayContext;
use crate::actors::routing::Observe;
use crate::actors::tell;

/// One send in progress. If it is dropped without [`SendGuard::end`], it reports a neutral outcome
/// and cancels the request at the engine.
pub(super) struct SendGuard {
    context: Arc<GatewayContext>,
    request: RequestId,
    back_end: MachineId,
    engine: Option<SocketAddr>,
    ended: bool,
}

impl SendGuard {
    /// Reports a send to routing. `engine` is the address at which the request can be cancelled;
    /// `None` where the back end does not support cancellation.
    pub(super) fn begin(
        context: &Arc<GatewayContext>,
        sent: Sent,
        engine: Option<SocketAddr>,
    ) -> Self {
        let guard = Self {
            context: Arc::clone(context),
            request: sent.request,
            back_end: sent.back_end,
            engine,
            ended: false,
        };
        tell(&context.routing, Observe(RoutingEvent::Sent(sent)));
        guard
    }

    /// Reports that the first token has arrived.
    pub(super) fn first_token(&self) {
        let event = RoutingEvent::FirstToken {
            request: self.request,
            back_end: self.back_end,
        };
        tell(&self.context.routing, Observe(event));
    }

    /// Reports the outcome.
    pub(super) fn end(mut self, outcome: SendOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: SendOutcome) {
        self.ended = true;
        let request = self.request;
        let back_end = self.back_end;
        tell(
            &self.context.routing,
            Observe(RoutingEvent::Ended {
                request,
                back_end,
                outcome,
            }),
        );
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.report(SendOutcome::Neutral);
        let Some(engine) = self.engine else { return };
        let context = Arc::clone(&self.context);
        let request = self.request;
        self.context.runtime.spawner.spawn(Box::pin(async move {
            if let Err(error) = context.completions.cancel(engine, request).await {
                tracing::debug!(request_id = %request, %error, "not cancelled at the engine");
            }
        }));
    }
}
