//! The platform's list of live and leaving machines. It can be out of date, so callers must treat
//! it as a hint.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use http::{HeaderValue, Request, StatusCode, header};
use ponddrift_core::machine::MachineList;
use ponddrift_http::{Client, ClientError, ReadError, body};

/// Path of the machine list. `GET` returns a [`MachineList`] as JSON.
pub const MACHINES_PATH: &str = "/v1/machines";
/// Maximum size of a machine list response.
const LIST_SIZE_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Error while reading the machine list. The caller keeps using the last list.
#[derive(Debug, thiserror::Error)]
pub enum MachineListError {
    /// The request failed before a response arrived.
    #[error("the machine list cannot be reached: {0}; still using the last list")]
    Unreachable(#[from] ClientError),
    /// The response body is incomplete, too large or not valid.
    #[error("the response body of the machine list cannot be read: {0}; still using the last list")]
    Unreadable(#[from] ReadError),
    /// The response status was neither 200 nor 304.
    #[error("the machine list request returned status {0}; still using the last list")]
    Refused(StatusCode),
    /// The response did not arrive within the time limit.
    #[error("the machine list request timed out after {0:?}; still using the last list")]
    TimedOut(Duration),
}

/// Source of the machine list.
pub trait MachineListSource: Send + Sync + 'static {
    /// Reads the list. Returns `None` if it has not changed since the last successful read.
    ///
    /// # Errors
    /// If the list cannot be reached or read, or not within the time limit.
    fn read(&self) -> BoxFuture<'_, Result<Option<MachineList>, MachineListError>>;
}

/// Reads the machine list over HTTP. Requests are conditional on the entity tag of the last list,
/// so that a server with entity tags does not send an unchanged list again.
pub struct HttpMachineList {
    client: Client,
    address: SocketAddr,
    time_limit: Duration,
    /// Entity tag of the last list that was read completely.
    last_etag: Mutex<Option<HeaderValue>>,
}

impl HttpMachineList {
    /// Creates a reader for the list at `address`. `time_limit` applies to each read.
    #[must_use]
    pub fn new(client: Client, address: SocketAddr, time_limit: Duration) -> Self {
        Self {
            client,
            address,
            time_limit,
            last_etag: Mutex::default(),
        }
    }

    async fn fetch(&self) -> Result<Option<MachineList>, MachineListError> {
        let mut request = Request::get(format!("http://{}{MACHINES_PATH}", self.address))
            .body(body::empty())
            .expect("the address makes a valid URI");
        if let Some(tag) = self.last_etag().clone() {
            request.headers_mut().insert(header::IF_NONE_MATCH, tag);
        }
        let response = self.client.send(request).await?;
        match response.status() {
            StatusCode::NOT_MODIFIED => return Ok(None),
            StatusCode::OK => {}
            other => return Err(MachineListError::Refused(other)),
        }
        let tag = response.headers().get(header::ETAG).cloned();
        let read = body::read_json(response.into_body(), LIST_SIZE_LIMIT_BYTES, self.time_limit);
        let list = read.await?;
        // Stored only after the whole list was read: otherwise a 304 could hide a list that was
        // lost.
        *self.last_etag() = tag;
        Ok(Some(list))
    }

    fn last_etag(&self) -> std::sync::MutexGuard<'_, Option<HeaderValue>> {
        self.last_etag
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl MachineListSource for HttpMachineList {
    fn read(&self) -> BoxFuture<'_, Result<Option<MachineList>, MachineListError>> {
        Box::pin(async move {
            tokio::time::timeout(self.time_limit, self.fetch())
                .await
                .map_err(|_elapsed| MachineListError::TimedOut(self.time_limit))?
        })
    }
}
