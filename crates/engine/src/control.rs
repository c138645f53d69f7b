//! Client of an engine's control endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use ponddrift_http::{Body, Client, body};
use serde::Serialize;

use crate::completions::ensure_success;
use crate::error::CallError;
use crate::wire::control::{
    CLAIM_PATH, ClaimRequest, ControlRefusal, EngineReport, ORDERS_PATH, OrderRequest, STATE_PATH,
};

/// Maximum size of a report or refusal, in bytes.
const MAX_REPORT_BYTES: usize = 256 * 1024;

/// Reason why a control call returned no report.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The engine rejected the claim or order and changed nothing.
    #[error("the engine refused: {0:?}")]
    Refused(ControlRefusal),
    /// The call failed. It is unknown whether the engine received the claim or order.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Returns whether the sender still has the authority to send orders. Called right before sending.
pub type AuthorityCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// Client of the control endpoint of engines.
#[derive(Clone)]
pub struct ControlClient {
    client: Client,
    time_limit: Duration,
}

impl ControlClient {
    /// Creates a client; `time_limit` applies to each call.
    #[must_use]
    pub fn new(client: Client, time_limit: Duration) -> Self {
        Self { client, time_limit }
    }

    /// Makes the engine reject all older fencing tokens.
    ///
    /// # Errors
    /// [`ControlError`] when the engine rejects the claim, the call fails or `authority`
    /// returns false.
    pub async fn claim(
        &self,
        engine: SocketAddr,
        claim: &ClaimRequest,
        authority: AuthorityCheck,
    ) -> Result<EngineReport, ControlError> {
        self.send_with_time_limit(post(engine, CLAIM_PATH, claim, authority)?)
            .await
    }

    /// Sends an order, and returns the state of the engine after it.
    ///
    /// # Errors
    /// [`ControlError`] when the engine rejects the order, the call fails or `authority`
    /// returns false.
    pub async fn order(
        &self,
        engine: SocketAddr,
        order: &OrderRequest,
        authority: AuthorityCheck,
    ) -> Result<EngineReport, ControlError> {
        self.send_with_time_limit(post(engine, ORDERS_PATH, order, authority)?)
            .await
    }

    /// Reads the state of the engine.
    ///
    /// # Errors
    /// [`ControlError`] when the call fails.
    pub async fn state(&self, engine: SocketAddr) -> Result<EngineReport, ControlError> {
        let request = Request::get(format!("http://{engine}{STATE_PATH}"))
            .body(body::empty())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        self.send_with_time_limit(request).await
    }

    async fn send_with_time_limit(
        &self,
        request: Request<Body>,
    ) -> Result<EngineReport, ControlError> {
        tokio::time::timeout(self.time_limit, self.send(request))
            .await
            .map_err(|_elapsed| CallError::TimedOut(self.time_limit))?
    }

    async fn send(&self, request: Request<Body>) -> Result<EngineReport, ControlError> {
        let response = self.client.send(request).await.map_err(CallError::from)?;
        if response.status() == StatusCode::CONFLICT {
            return Err(ControlError::Refused(self.read(response).await?));
        }
        let response = ensure_success(response).await?;
        Ok(self.read(response).await?)
    }

    async fn read<T>(&self, response: Response<Incoming>) -> Result<T, CallError>
    where
        T: serde::de::DeserializeOwned,
    {
        let read = body::read_json(response.into_body(), MAX_REPORT_BYTES, self.time_limit);
        Ok(read.await?)
    }
}

/// Builds a POST request that checks `authority` only when its body is sent, after the connection
/// has been opened: the sender may have been suspended or its lease may have expired meanwhile.
/// Without authority the body is aborted, so that the engine receives no complete message.
fn post<T: Serialize>(
    engine: SocketAddr,
    path: &str,
    message: &T,
    authority: AuthorityCheck,
) -> Result<Request<Body>, CallError> {
    let bytes =
        serde_json::to_vec(message).map_err(|error| CallError::NotSent(error.to_string()))?;
    let chunk = futures::stream::once(async move {
        if authority() {
            return Ok(Bytes::from(bytes));
        }
        Err(body::BodyError::from(
            "authority ended before the order was sent",
        ))
    });
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{engine}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(body::streamed(chunk))
        .map_err(|error| CallError::NotSent(error.to_string()))
}
