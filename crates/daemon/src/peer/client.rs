//! Client for requests to peers, with one connection per request.

use std::net::SocketAddr;
use std::time::Duration;

use ponddrift_protocol::{
    DecodeError, EncodeError, Request, RequestFrame, Response, decode_response, encode_request,
};
use ponddrift_runtime::Runtime;
use tokio::io::AsyncWriteExt;

use super::PeerIdentity;
use super::frame::{FrameError, read_frame};

/// Failure of a request to a peer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerError {
    /// The connection failed; the request was not sent.
    #[error("no connection to the peer {target}: {source}; use another peer")]
    NotSent {
        target: SocketAddr,
        source: std::io::Error,
    },
    /// The connection failed after it was established, or the request timed out.
    #[error("no response from the peer {target}: {reason}; use another peer")]
    NoAnswer { target: SocketAddr, reason: String },
    /// The request cannot be encoded, for example because it is too large.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The peer refused the request.
    #[error("the peer {target} refused: {reason}")]
    Refused { target: SocketAddr, reason: String },
}

/// Sends requests to peers.
#[derive(Clone)]
pub(crate) struct PeerClient {
    runtime: Runtime,
    identity: PeerIdentity,
    time_limit: Duration,
}

impl PeerClient {
    pub(crate) fn new(runtime: &Runtime, identity: PeerIdentity, time_limit: Duration) -> Self {
        Self {
            runtime: runtime.clone(),
            identity,
            time_limit,
        }
    }

    /// Sends a request to the peer at `target` and waits for its response.
    pub(crate) async fn ask(
        &self,
        target: SocketAddr,
        request: Request,
    ) -> Result<Response, PeerError> {
        let limit = self.time_limit;
        let response = tokio::time::timeout(limit, self.exchange(target, request))
            .await
            .map_err(|_elapsed| PeerError::NoAnswer {
                target,
                reason: format!("no response within {limit:?}"),
            })??;
        match response {
            Response::Refused { reason } => Err(PeerError::Refused { target, reason }),
            answer => Ok(answer),
        }
    }

    async fn exchange(&self, target: SocketAddr, request: Request) -> Result<Response, PeerError> {
        let frame = RequestFrame {
            hello: self.identity.hello(),
            number: 0,
            request,
        };
        let bytes = encode_request(&frame)?;
        let connecting = self.runtime.network.connect(target);
        let mut stream = connecting
            .await
            .map_err(|source| PeerError::NotSent { target, source })?;
        let no_answer = |reason: String| PeerError::NoAnswer { target, reason };
        stream
            .write_all(&bytes)
            .await
            .map_err(|error| no_answer(error.to_string()))?;
        stream
            .flush()
            .await
            .map_err(|error| no_answer(error.to_string()))?;
        let answer = read_frame(&mut stream)
            .await
            .map_err(|error: FrameError| no_answer(error.to_string()))?;
        let frame =
            decode_response(&answer).map_err(|error: DecodeError| no_answer(error.to_string()))?;
        Ok(frame.response)
    }
}
