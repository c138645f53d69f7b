//! Questions between peers, over TCP: what the store holds, whole or beyond a revision, and what was counted in a window.
//! Question and answer are each a length and a borsh value.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_runtime::{BoxedListener, BoxedStream, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_fleet::revision::Revision;
use ponddrift_fleet::usage::{TallyOf, TenantCounts, WindowNumber};

use crate::fleet_state::{FleetState, ChangesAnswer};
use crate::pipeline::Pipeline;
use crate::store::Page;
use crate::time::{self, now};

/// Time for a whole exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(1);
/// Largest answer in bytes.
const MAXIMUM_ANSWER: u32 = 32 << 20;
/// Largest question in bytes: a key of the store has 200 at most.
const MAXIMUM_QUESTION: u32 = 256;
/// Largest page in bytes, unpacked: a configuration can fill megabytes.
const MAXIMUM_PAGE: usize = 16 << 20;
/// How long a question for a page waits until this daemon has read so far itself.
const PAGE_WAIT: Duration = Duration::from_millis(300);
/// Pause after a failed `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a peer asks.
#[derive(Debug, Clone, BorshSerialize, BorshDeserialize)]
enum Question {
    /// What is known beyond this revision; answered by [`ChangesAnswer`].
    NewsAfter(Revision),
    /// Every copy of what was counted in this window; answered by a list of [`TallyOf`].
    Tallies(WindowNumber),
    /// What the store holds behind this key, or from its first key on; answered by a [`PackedPage`], or by none where that has
    /// not been read yet.
    PageAfter(Option<String>),
    /// A retry for the service of this hash, from the zone's pool; answered by whether there was one.
    Retry(u32),
    /// What the store lacks since it came back from an older copy; answered by a [`PackedPage`].
    Retained,
    /// The figures of this window that the peer settled as the leader; answered by [`TenantCounts`], or by none.
    Settled(WindowNumber),
}

/// A page of what the store holds, compressed (LZ4 behind its length): entries of back ends differ in a few bytes, and take a
/// sixth (111 kB of 560 made entries became 17 kB).
#[derive(Debug, BorshSerialize, BorshDeserialize)]
struct PackedPage(Vec<u8>);

impl PackedPage {
    fn pack(page: &Page) -> io::Result<Self> {
        let bytes = borsh::to_vec(page)?;
        Ok(Self(lz4_flex::block::compress_prepend_size(&bytes)))
    }

    fn unpack(&self) -> io::Result<Page> {
        let (length, packed) = lz4_flex::block::uncompressed_size(&self.0).map_err(unreadable)?;
        if length > MAXIMUM_PAGE {
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        }
        let bytes = lz4_flex::block::decompress(packed, length).map_err(unreadable)?;
        borsh::from_slice(&bytes)
    }
}

fn unreadable(error: lz4_flex::block::DecompressError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Answers peers at `address`.
pub(super) async fn serve(
    runtime: &Runtime,
    address: SocketAddr,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
) -> io::Result<()> {
    let listener = runtime.network.listen(address).await?;
    let spawner = Arc::clone(&runtime.spawner);
    let known = Known {
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
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
    pipeline: Arc<Pipeline>,
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
        Question::NewsAfter(revision) => borsh::to_vec(&known.state.changes_after(revision))?,
        Question::Tallies(window) => {
            let usage = known.pipeline.usage();
            borsh::to_vec(&usage.map(|usage| usage.tallies(window)).unwrap_or_default())?
        }
        Question::PageAfter(after) => {
            let page = page_after(&known.state, after.as_deref()).await;
            let packed = page.as_ref().map(PackedPage::pack).transpose()?;
            borsh::to_vec(&packed)?
        }
        Question::Settled(window) => {
            let usage = known.pipeline.usage();
            borsh::to_vec(&usage.and_then(|usage| usage.settled(window)))?
        }
        Question::Retained => borsh::to_vec(&PackedPage::pack(&known.state.retained())?)?,
        Question::Retry(service) => borsh::to_vec(&known.pipeline.withdraw_from_pool(service))?,
    };
    write_bytes(&mut stream, &bytes).await
}

/// Waits a little for a page that has not been read yet.
async fn page_after(state: &FleetState, after: Option<&str>) -> Option<Page> {
    let until = now() + PAGE_WAIT;
    loop {
        let read_progressed = state.read_progressed().notified();
        let page = state.page_after(after);
        if page.is_some() {
            return page;
        }
        time::timeout_at(until, read_progressed).await?;
    }
}

/// Asks a peer for a page of what the store holds; none where the peer has not read so far itself.
///
/// # Errors
/// When the peer cannot be reached, does not answer in time, or what it answers is no page.
pub(crate) async fn fetch_page(
    runtime: &Runtime,
    peer: SocketAddr,
    after: Option<&str>,
) -> io::Result<Option<Page>> {
    let question = Question::PageAfter(after.map(str::to_owned));
    let packed: Option<PackedPage> = ask(runtime, peer, question).await?;
    packed.map(|packed| packed.unpack()).transpose()
}

/// Asks a peer for the figures of a window that it settled as the leader; none where it did not.
///
/// # Errors
/// When the peer cannot be reached or does not answer in time.
pub async fn fetch_settled(
    runtime: &Runtime,
    peer: SocketAddr,
    window: WindowNumber,
) -> io::Result<Option<TenantCounts>> {
    ask(runtime, peer, Question::Settled(window)).await
}

/// Asks a peer for what the store lacks since it came back from an older copy.
///
/// # Errors
/// When the peer cannot be reached, does not answer in time, or what it answers is no page.
pub(super) async fn fetch_retained(runtime: &Runtime, peer: SocketAddr) -> io::Result<Page> {
    let packed: PackedPage = ask(runtime, peer, Question::Retained).await?;
    packed.unpack()
}

/// Asks the keeper of the zone's pool for a retry of the service with this hash. Returns whether there was one.
///
/// # Errors
/// When the keeper cannot be reached or does not answer within `limit`.
pub(crate) async fn withdraw_retry(
    runtime: &Runtime,
    keeper: SocketAddr,
    service: u32,
    limit: Duration,
) -> io::Result<bool> {
    let asking = ask(runtime, keeper, Question::Retry(service));
    let answer = tokio::time::timeout(limit, asking).await;
    answer.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Asks a peer for what it knows beyond the revision `after`.
pub(super) async fn fetch(
    runtime: &Runtime,
    peer: SocketAddr,
    after: Revision,
) -> io::Result<ChangesAnswer> {
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
