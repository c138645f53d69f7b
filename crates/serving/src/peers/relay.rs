//! Questions between peers, over TCP: what the store holds beyond a revision, and what was counted in a window. Question
//! and answer are each a length and a borsh value.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_runtime::{BoxedListener, BoxedStream, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_fleet::usage::{TallyOf, WindowNumber};

use crate::fleet_state::{FleetState, News};
use crate::usage::UsageRecorder;

/// Time for a whole exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(1);
/// Largest answer in bytes.
const MAXIMUM_ANSWER: u32 = 32 << 20;
/// Largest question in bytes.
const MAXIMUM_QUESTION: u32 = 64;
/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a peer asks.
#[derive(Debug, Clone, Copy, BorshSerialize, BorshDeserialize)]
enum Question {
    /// What is known beyond this revision; answered by [`News`].
    NewsAfter(u64),
    /// Every copy of what was counted in this window; answered by a list of [`TallyOf`].
    Tallies(WindowNumber),
}

/// Answers peers at `address`.
pub(super) async fn serve(
    runtime: &Runtime,
    address: SocketAddr,
    state: &Arc<FleetState>,
    usage: Option<&Arc<UsageRecorder>>,
) -> io::Result<()> {
    let listener = runtime.network.listen(address).await?;
    let spawner = Arc::clone(&runtime.spawner);
    let known = Known {
        state: Arc::clone(state),
        usage: usage.cloned(),
    };
    runtime.spawner.spawn(Box::pin(async move {
        accept(listener, spawner, known).await;
    }));
    Ok(())
}

/// What answers come from.
#[derive(Clone)]
struct Known {
    state: Arc<FleetState>,
    usage: Option<Arc<UsageRecorder>>,
}

async fn accept(
    listener: BoxedListener,
    spawner: Arc<dyn ponddrift_runtime::Spawner>,
    known: Known,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                let known = known.clone();
                spawner.spawn(Box::pin(async move {
                    // A peer that went away asks again.
                    drop(tokio::time::timeout(EXCHANGE_LIMIT, answer(stream, &known)).await);
                }));
            }
            Err(error) => {
                tracing::warn!(%error, "peer_accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(mut stream: BoxedStream, known: &Known) -> io::Result<()> {
    let question = read_value(&mut stream, MAXIMUM_QUESTION).await?;
    let bytes = match question {
        Question::NewsAfter(revision) => borsh::to_vec(&known.state.news_after(revision))?,
        Question::Tallies(window) => {
            let usage = known.usage.as_ref();
            borsh::to_vec(&usage.map(|usage| usage.tallies(window)).unwrap_or_default())?
        }
    };
    write_bytes(&mut stream, &bytes).await
}

/// Asks a peer for what it knows beyond the revision `after`.
pub(super) async fn fetch(runtime: &Runtime, peer: SocketAddr, after: u64) -> io::Result<News> {
    ask(runtime, peer, Question::NewsAfter(after)).await
}

/// Asks a peer for every copy that it keeps of what was counted in a window.
///
/// # Errors
/// When the peer cannot be reached or does not answer in time.
pub async fn fetch_tallies(
    runtime: &Runtime,
    peer: SocketAddr,
    window: WindowNumber,
) -> io::Result<Vec<TallyOf>> {
    ask(runtime, peer, Question::Tallies(window)).await
}

async fn ask<T: BorshDeserialize>(
    runtime: &Runtime,
    peer: SocketAddr,
    question: Question,
) -> io::Result<T> {
    let exchange = async {
        let mut stream = runtime.network.connect(peer).await?;
        write_bytes(&mut stream, &borsh::to_vec(&question)?).await?;
        read_value(&mut stream, MAXIMUM_ANSWER).await
    };
    tokio::time::timeout(EXCHANGE_LIMIT, exchange)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn write_bytes(stream: &mut BoxedStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    stream.write_u32(length).await?;
    stream.write_all(bytes).await?;
    stream.flush().await
}

async fn read_value<T: BorshDeserialize>(stream: &mut BoxedStream, limit: u32) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > limit {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    let mut bytes = vec![0; usize::try_from(length).unwrap_or_default()];
    stream.read_exact(&mut bytes).await?;
    borsh::from_slice(&bytes)
}
