//! The two calls to an engine that a stage change needs: reading its state, and the order.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::leadership::CALL_TIMEOUT;
use ponddrift_http::body::{self, Body};

use crate::connections::Connections;
use crate::dialect::{Dialect, EngineReport, OrderParameters};
use crate::pipeline::{AnswerOrigin, Pipeline, SendPermit};
use crate::time::now;

/// Connection limit per engine: one for an order and one for a concurrent report.
const MAX_CONNECTIONS_PER_ENGINE: u32 = 2;

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    /// The engine accepted the order.
    Taken,
    /// The engine refused the order. Holds the HTTP status.
    Refused(u16),
    /// No answer arrived in time; the engine may still carry out the order.
    Unanswered,
    /// The order was not sent: this daemon no longer leads, or the engine is not in the expected
    /// state.
    NotSent,
}

impl OrderOutcome {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Refused(_) => "refused",
            Self::Unanswered => "unanswered",
            Self::NotSent => "not_sent",
        }
    }
}

/// Sends calls to engines.
pub(super) struct EngineCalls {
    pub(super) connections: Arc<Connections>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) pipeline: Arc<Pipeline>,
}

impl EngineCalls {
    /// Reads the state of an engine. Returns `None` without a complete answer in time.
    pub(super) async fn report(&self, engine: &Arc<BackEnd>) -> Option<EngineReport> {
        let request = self.dialect.report().request(engine.address)?;
        let answer = self.exchange(engine, request).await?;
        (answer.status() == StatusCode::OK)
            .then(|| self.dialect.read_report(answer.body()))
            .flatten()
    }

    pub(super) async fn order(
        &self,
        engine: &Arc<BackEnd>,
        facts: &OrderParameters<'_>,
    ) -> OrderOutcome {
        let Some(request) = self.build_request(engine, facts) else {
            return OrderOutcome::NotSent;
        };
        let answer = self.exchange(engine, request).await;
        match answer.map(|answer| answer.status()) {
            Some(StatusCode::OK | StatusCode::ACCEPTED) => OrderOutcome::Taken,
            Some(status) => OrderOutcome::Refused(status.as_u16()),
            None => OrderOutcome::Unanswered,
        }
    }

    async fn exchange(
        &self,
        engine: &Arc<BackEnd>,
        request: Request<Body>,
    ) -> Option<Response<Bytes>> {
        let sent = now();
        let answer = self
            .connections
            .call(
                SendPermit::control_call(),
                engine.address,
                MAX_CONNECTIONS_PER_ENGINE,
                request,
                CALL_TIMEOUT,
            )
            .await
            .ok()?;
        if answer.status() != StatusCode::MISDIRECTED_REQUEST {
            let origin = AnswerOrigin::call("order", sent);
            self.pipeline
                .record_announcements(engine, answer.status(), answer.headers(), origin);
        }
        Some(answer)
    }

    fn build_request(
        &self,
        engine: &BackEnd,
        facts: &OrderParameters<'_>,
    ) -> Option<Request<Body>> {
        let call = self.dialect.order(facts);
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(header::HOST, engine.address.to_string())
            .body(body::full(call.body))
            .ok()?;
        request.headers_mut().extend(call.headers);
        Some(request)
    }
}
