//! Hands what the store holds on to a peer, over TCP: a request is the revision up to which the peer knows
//! everything, the answer its length and the news (borsh).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_runtime::{BoxedListener, BoxedStream, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::fleet_state::{FleetState, News};

/// Time for a whole exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(1);
/// Largest answer in bytes.
const MAXIMUM_ANSWER: u32 = 32 << 20;
/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers peers at `address`.
pub(super) async fn serve(
    runtime: &Runtime,
    address: SocketAddr,
    state: &Arc<FleetState>,
) -> io::Result<()> {
    let listener = runtime.network.listen(address).await?;
    let spawner = Arc::clone(&runtime.spawner);
    let state = Arc::clone(state);
    runtime.spawner.spawn(Box::pin(async move {
        accept(listener, spawner, state).await;
    }));
    Ok(())
}

async fn accept(
    listener: BoxedListener,
    spawner: Arc<dyn ponddrift_runtime::Spawner>,
    state: Arc<FleetState>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                let state = Arc::clone(&state);
                spawner.spawn(Box::pin(async move {
                    // A peer that went away asks again.
                    drop(tokio::time::timeout(EXCHANGE_LIMIT, answer(stream, &state)).await);
                }));
            }
            Err(error) => {
                tracing::warn!(%error, "peer_accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(mut stream: BoxedStream, state: &FleetState) -> io::Result<()> {
    let after = stream.read_u64().await?;
    let bytes = borsh::to_vec(&state.news_after(after))?;
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    stream.write_u32(length).await?;
    stream.write_all(&bytes).await?;
    stream.flush().await
}

/// Asks a peer for what it knows beyond `after`.
pub(super) async fn fetch(runtime: &Runtime, peer: SocketAddr, after: u64) -> io::Result<News> {
    let exchange = async {
        let mut stream = runtime.network.connect(peer).await?;
        stream.write_u64(after).await?;
        stream.flush().await?;
        let length = stream.read_u32().await?;
        if length > MAXIMUM_ANSWER {
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        }
        let mut bytes = vec![0; usize::try_from(length).unwrap_or_default()];
        stream.read_exact(&mut bytes).await?;
        borsh::from_slice(&bytes)
    };
    tokio::time::timeout(EXCHANGE_LIMIT, exchange)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}
