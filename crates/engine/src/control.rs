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

/// Largest report accepted, in bytes.
const REPORT_SIZE_LIMIT: usize = 256 * 1024;

/// Why a control call gave no report.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The engine refused the claim or order; nothing was changed.
    #[error("the engine refused: {0:?}")]
    Refused(ControlRefusal),
    /// The call failed; an order may or may not have been taken.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Says, at the moment of sending, whether the sender still has authority.
pub type AuthorityCheck = Arc<dyn Fn() -> bool + Send + Sync>;

/// Client of the control endpoint.
#[derive(Clone)]
pub struct ControlClient {
    client: Client,
    time_limit: Duration,
}

impl ControlClient {
    /// A client with a time limit for each call.
    #[must_use]
    pub fn new(client: Client, time_limit: Duration) -> Self {
        Self { client, time_limit }
    }

    /// Makes the engine refuse all older tokens.
    ///
    /// # Errors
    /// [`ControlError`].
    pub async fn claim(
        &self,
        engine: SocketAddr,
        claim: &ClaimRequest,
        authority: AuthorityCheck,
    ) -> Result<EngineReport, ControlError> {
        self.exchange(post(engine, CLAIM_PATH, claim, authority)?)
            .await
    }

    /// Sends an order. The answer tells what the engine now does.
    ///
    /// # Errors
    /// [`ControlError`].
    pub async fn order(
        &self,
        engine: SocketAddr,
        order: &OrderRequest,
        authority: AuthorityCheck,
    ) -> Result<EngineReport, ControlError> {
        self.exchange(post(engine, ORDERS_PATH, order, authority)?)
            .await
    }

    /// Reads what the engine says of itself.
    ///
    /// # Errors
    /// [`ControlError`].
    pub async fn state(&self, engine: SocketAddr) -> Result<EngineReport, ControlError> {
        let request = Request::get(format!("http://{engine}{STATE_PATH}"))
            .body(body::empty())
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        self.exchange(request).await
    }

    async fn exchange(&self, request: Request<Body>) -> Result<EngineReport, ControlError> {
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
        let read = body::read_json(response.into_body(), REPORT_SIZE_LIMIT, self.time_limit);
        Ok(read.await?)
    }
}

/// A POST whose body is asked for only once the connection stands: by then the sender may have been frozen
/// or its lease may have run out. Without authority the body breaks off, and the engine sees no order.
fn post<T: Serialize>(
    engine: SocketAddr,
    path: &str,
    message: &T,
    authority: AuthorityCheck,
) -> Result<Request<Body>, CallError> {
    let bytes =
        serde_json::to_vec(message).map_err(|error| CallError::NotSent(error.to_string()))?;
    let piece = futures::stream::once(async move {
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
        .body(body::streamed(piece))
        .map_err(|error| CallError::NotSent(error.to_string()))
}
