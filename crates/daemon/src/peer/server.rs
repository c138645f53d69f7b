//! Server for peer requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use ponddrift_protocol::{
    Hello, Request, Response, ResponseFrame, decode_request, encode_response,
};
use ponddrift_runtime::{BoxedListener, BoxedStream, Runtime};
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;

use super::PeerIdentity;
use super::frame::read_frame;

/// Maximum number of concurrent connections; further ones wait in the backlog.
const MAXIMUM_CONNECTIONS: usize = 256;
/// Timeout of one request with its response.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(5);
/// Pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Handler of peer requests.
pub(crate) trait PeerHandler: Send + Sync + 'static {
    fn answer(&self, hello: Hello, request: Request) -> BoxFuture<'static, Response>;
}

/// Accepts peer connections until the process ends.
pub(crate) async fn serve(
    runtime: Runtime,
    listener: BoxedListener,
    identity: PeerIdentity,
    handler: Arc<dyn PeerHandler>,
) {
    let permits = Arc::new(Semaphore::new(MAXIMUM_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                tracing::warn!(%error, "accepting a peer connection failed");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let handler = Arc::clone(&handler);
        runtime.spawner.spawn(Box::pin(async move {
            let exchange = serve_one(stream, identity, handler);
            match tokio::time::timeout(EXCHANGE_LIMIT, exchange).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => tracing::debug!(%error, "serving a peer request failed"),
                Err(_elapsed) => tracing::debug!("peer request timed out"),
            }
            drop(permit);
        }));
    }
}

async fn serve_one(
    mut stream: BoxedStream,
    identity: PeerIdentity,
    handler: Arc<dyn PeerHandler>,
) -> io::Result<()> {
    let bytes = read_frame(&mut stream).await.map_err(io::Error::other)?;
    let frame = decode_request(&bytes).map_err(io::Error::other)?;
    let response = if frame.hello.cluster == identity.cluster {
        handler.answer(frame.hello, frame.request).await
    } else {
        Response::Refused {
            reason: String::from("this daemon belongs to another cluster"),
        }
    };
    let answer = ResponseFrame {
        number: frame.number,
        response,
    };
    let bytes = encode_response(&answer).map_err(io::Error::other)?;
    stream.write_all(&bytes).await?;
    stream.flush().await?;
    stream.shutdown().await
}
