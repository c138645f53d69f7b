//! The two calls that a change of stage takes: what the engine's state is, and the order.

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

/// Connections to one engine, at most: for an order, and a report beside it.
const CONNECTIONS: u32 = 2;

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderEnd {
    /// The engine carries it out.
    Taken,
    /// The engine does not.
    Refused(u16),
    /// Nobody knows.
    Unanswered,
    /// It was not sent: this daemon no longer leads, or the engine is not as expected.
    NotSent,
}

impl OrderEnd {
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Refused(_) => "refused",
            Self::Unanswered => "unanswered",
            Self::NotSent => "not_sent",
        }
    }
}

/// Calls to engines.
pub(super) struct EngineCalls {
    pub(super) connections: Arc<Connections>,
    pub(super) dialect: Arc<dyn Dialect>,
    pub(super) pipeline: Arc<Pipeline>,
}

impl EngineCalls {
    /// Asks an engine for its state; none without a whole answer in time.
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
    ) -> OrderEnd {
        let Some(request) = self.build(engine, facts) else {
            return OrderEnd::NotSent;
        };
        let answer = self.exchange(engine, request).await;
        match answer.map(|answer| answer.status()) {
            Some(StatusCode::OK | StatusCode::ACCEPTED) => OrderEnd::Taken,
            Some(status) => OrderEnd::Refused(status.as_u16()),
            None => OrderEnd::Unanswered,
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
                CONNECTIONS,
                request,
                CALL_TIMEOUT,
            )
            .await?;
        if answer.status() != StatusCode::MISDIRECTED_REQUEST {
            let origin = AnswerOrigin::call("order", sent);
            self.pipeline
                .note_announcement(engine, answer.status(), answer.headers(), origin);
        }
        Some(answer)
    }

    fn build(&self, engine: &BackEnd, facts: &OrderParameters<'_>) -> Option<Request<Body>> {
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
