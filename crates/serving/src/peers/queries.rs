//! Queries between peers over TCP: the contents of the store, complete or after a revision, and
//! usage counts of a window. Query and answer are each a length followed by a borsh value.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ponddrift_runtime::{BoxedListener, BoxedStream, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_fleet::revision::Revision;
use ponddrift_fleet::stream_origins::StreamId;
use ponddrift_fleet::usage::{TallyRecord, TenantCounts, WindowNumber};

use super::message::StreamOriginRow;
use super::{relay, stream_origins};
use crate::fleet_state::{ChangesAnswer, FleetState};
use crate::pipeline::Pipeline;
use crate::store::Page;
use crate::time::{self, now};

/// Timeout of a whole exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size limit of an answer in bytes.
const MAX_ANSWER_BYTES: u32 = 32 << 20;
/// Size limit of a query in bytes. The longest are those that hand over records of streams.
pub(super) const MAX_QUERY_BYTES: u32 = 16 << 10;
/// Size limit of a [`RelayAnswer`](super::relay::RelayAnswer) in bytes.
pub(super) const MAX_RELAY_ANSWER_BYTES: u32 = 16;
/// Size limit of a decompressed page in bytes. A configuration can take several megabytes.
const MAX_PAGE_BYTES: usize = 16 << 20;
/// How long a query for a page waits if this daemon has not read that far yet.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the next attempt after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A query from a peer.
#[derive(Debug, Clone, BorshSerialize, BorshDeserialize)]
pub(super) enum Query {
    /// The changes after this revision; answered with a [`ChangesAnswer`].
    ChangesAfter(Revision),
    /// All copies of the usage counts of this window; answered with a list of [`TallyRecord`].
    Tallies(WindowNumber),
    /// The keys of the store after this key, or from the first key on; answered with a
    /// [`PackedPage`], or with `None` if they have not been read yet.
    PageAfter(Option<String>),
    /// Withdraws a retry token of the service with this hash from the zone's pool; answered with
    /// whether there was one.
    Retry(u32),
    /// The items that the store lacks since it was restored from a backup; answered with a
    /// [`PackedPage`].
    Retained,
    /// The usage figures of this window that the peer settled as the leader; answered with
    /// [`TenantCounts`], or with `None`.
    Settled(WindowNumber),
    /// A connection to the back end at this address; answered with a
    /// [`RelayAnswer`](relay::RelayAnswer), followed by
    /// the connection's bytes.
    Relay(SocketAddr),
    /// Where this stream began; answered with a [`StreamOriginRow`], or with `None`.
    StreamOrigin(StreamId),
    /// Records of streams that a stopping daemon hands over; answered with whether they are kept.
    KeepStreamOrigins(Vec<StreamOriginRow>),
}

/// A page of the store's contents, compressed with LZ4 and prefixed with its length. Entries of
/// back ends are similar to each other and compress to about a sixth.
#[derive(Debug, BorshSerialize, BorshDeserialize)]
struct PackedPage(Vec<u8>);

impl PackedPage {
    fn pack(page: &Page) -> io::Result<Self> {
        let bytes = borsh::to_vec(page)?;
        Ok(Self(lz4_flex::block::compress_prepend_size(&bytes)))
    }

    fn unpack(&self) -> io::Result<Page> {
        let (length, packed) = lz4_flex::block::uncompressed_size(&self.0).map_err(unreadable)?;
        if length > MAX_PAGE_BYTES {
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        }
        let bytes = lz4_flex::block::decompress(packed, length).map_err(unreadable)?;
        borsh::from_slice(&bytes)
    }
}

fn unreadable(error: lz4_flex::block::DecompressError) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

/// Starts to answer queries of peers at `address`.
pub(super) async fn serve(
    runtime: &Runtime,
    address: SocketAddr,
    state: &Arc<FleetState>,
    pipeline: &Arc<Pipeline>,
) -> io::Result<()> {
    let listener = runtime.network.listen(address).await?;
    let spawner = Arc::clone(&runtime.spawner);
    let sources = AnswerSources {
        runtime: runtime.clone(),
        state: Arc::clone(state),
        pipeline: Arc::clone(pipeline),
    };
    runtime.spawner.spawn(Box::pin(async move {
        accept(listener, spawner, sources).await;
    }));
    Ok(())
}

/// The sources of the answers.
#[derive(Clone)]
pub(super) struct AnswerSources {
    pub(super) runtime: Runtime,
    pub(super) state: Arc<FleetState>,
    pub(super) pipeline: Arc<Pipeline>,
}

async fn accept(
    listener: BoxedListener,
    spawner: Arc<dyn ponddrift_runtime::Spawner>,
    sources: AnswerSources,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let sources = sources.clone();
                spawner.spawn(Box::pin(async move {
                    serve_query(stream, peer, &sources).await;
                }));
            }
            Err(error) => {
                tracing::warn!(%error, "peer_accept_failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Answers one query. The peer repeats it if that fails.
async fn serve_query(mut stream: BoxedStream, peer: SocketAddr, sources: &AnswerSources) {
    let reading = read_value(&mut stream, MAX_QUERY_BYTES);
    let query = match tokio::time::timeout(EXCHANGE_TIMEOUT, reading).await {
        Ok(Ok(query)) => query,
        Ok(Err(error)) => {
            sources.pipeline.metrics().unreadable_peer_query();
            tracing::warn!(%peer, %error, "peer_query_unreadable");
            return;
        }
        Err(_elapsed) => return,
    };
    let served = match query {
        Query::Relay(back_end) => relay::serve(stream, peer, back_end, sources).await,
        query => {
            let answering = answer(stream, query, sources);
            let answered = tokio::time::timeout(EXCHANGE_TIMEOUT, answering).await;
            answered.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()))
        }
    };
    if let Err(error) = served {
        tracing::debug!(%peer, %error, "peer_exchange_ended");
    }
}

async fn answer(mut stream: BoxedStream, query: Query, sources: &AnswerSources) -> io::Result<()> {
    let bytes = match query {
        // Served by its own function, because it has no time limit.
        Query::Relay(_back_end) => return Err(io::ErrorKind::InvalidInput.into()),
        Query::ChangesAfter(revision) => borsh::to_vec(&sources.state.changes_after(revision))?,
        Query::Tallies(window) => {
            let usage = sources.pipeline.usage();
            borsh::to_vec(&usage.map(|usage| usage.tallies(window)).unwrap_or_default())?
        }
        Query::PageAfter(after) => {
            let page = page_after(&sources.state, after.as_deref()).await;
            let packed = page.as_ref().map(PackedPage::pack).transpose()?;
            borsh::to_vec(&packed)?
        }
        Query::Settled(window) => {
            let usage = sources.pipeline.usage();
            borsh::to_vec(&usage.and_then(|usage| usage.settled(window)))?
        }
        Query::Retained => borsh::to_vec(&PackedPage::pack(&sources.state.retained())?)?,
        Query::StreamOrigin(stream) => {
            borsh::to_vec(&stream_origins::recorded_row(&sources.state, stream))?
        }
        Query::KeepStreamOrigins(rows) => {
            // One that stops too would lose them.
            let is_kept = !sources.pipeline.is_stopping();
            stream_origins::record_rows(&sources.state, rows);
            borsh::to_vec(&is_kept)?
        }
        Query::Retry(service) => borsh::to_vec(&sources.pipeline.withdraw_from_pool(service))?,
    };
    write_bytes(&mut stream, &bytes).await
}

/// Returns a page, waiting a short time if it has not been read yet.
async fn page_after(state: &FleetState, after: Option<&str>) -> Option<Page> {
    let until = now() + PAGE_TIMEOUT;
    loop {
        let read_progressed = state.read_progressed().notified();
        let page = state.page_after(after);
        if page.is_some() {
            return page;
        }
        time::timeout_at(until, read_progressed).await?;
    }
}

/// Fetches a page of the store's contents from a peer. Returns `None` if the peer has not read that
/// far yet.
///
/// # Errors
/// If the peer cannot be reached, does not answer in time, or sends an invalid page.
pub(crate) async fn fetch_page(
    runtime: &Runtime,
    peer: SocketAddr,
    after: Option<&str>,
) -> io::Result<Option<Page>> {
    let query = Query::PageAfter(after.map(str::to_owned));
    let packed: Option<PackedPage> = send_query(runtime, peer, query).await?;
    packed.map(|packed| packed.unpack()).transpose()
}

/// Fetches the usage figures of a window that a peer settled as the leader. Returns `None` if it
/// did not settle them.
///
/// # Errors
/// If the peer cannot be reached or does not answer in time.
pub async fn fetch_settled(
    runtime: &Runtime,
    peer: SocketAddr,
    window: WindowNumber,
) -> io::Result<Option<TenantCounts>> {
    send_query(runtime, peer, Query::Settled(window)).await
}

/// Fetches the items from a peer that the store lacks since it was restored from a backup.
///
/// # Errors
/// If the peer cannot be reached, does not answer in time, or sends an invalid page.
pub(super) async fn fetch_retained(runtime: &Runtime, peer: SocketAddr) -> io::Result<Page> {
    let packed: PackedPage = send_query(runtime, peer, Query::Retained).await?;
    packed.unpack()
}

/// Withdraws a retry token of the service with this hash from the zone's pool, which the daemon at
/// `pool_holder` keeps. Returns whether there was one.
///
/// # Errors
/// If that daemon cannot be reached or does not answer within `limit`.
pub(crate) async fn withdraw_retry(
    runtime: &Runtime,
    pool_holder: SocketAddr,
    service: u32,
    limit: Duration,
) -> io::Result<bool> {
    let answering = send_query(runtime, pool_holder, Query::Retry(service));
    let answer = tokio::time::timeout(limit, answering).await;
    answer.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Asks a peer where a stream began.
///
/// # Errors
/// If the peer cannot be reached, does not answer in time, or is of a build without such records.
pub(super) async fn fetch_stream_origin(
    runtime: &Runtime,
    peer: SocketAddr,
    stream: StreamId,
) -> io::Result<Option<StreamOriginRow>> {
    send_query(runtime, peer, Query::StreamOrigin(stream)).await
}

/// Hands records of streams over to a peer. Returns whether the peer keeps them.
///
/// # Errors
/// If the peer cannot be reached, does not answer within `limit`, or is of a build without this query.
pub(super) async fn hand_over_stream_origins(
    runtime: &Runtime,
    peer: SocketAddr,
    rows: Vec<StreamOriginRow>,
    limit: Duration,
) -> io::Result<bool> {
    let answering = send_query(runtime, peer, Query::KeepStreamOrigins(rows));
    let answer = tokio::time::timeout(limit, answering).await;
    answer.map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Fetches the changes after the revision `after` from a peer.
pub(super) async fn fetch_changes_after(
    runtime: &Runtime,
    peer: SocketAddr,
    after: Revision,
) -> io::Result<ChangesAnswer> {
    send_query(runtime, peer, Query::ChangesAfter(after)).await
}

/// Fetches all copies that a peer keeps of the usage counts of a window.
///
/// # Errors
/// If the peer cannot be reached or does not answer in time.
pub async fn fetch_tallies(
    runtime: &Runtime,
    peer: SocketAddr,
    window: WindowNumber,
) -> io::Result<Vec<TallyRecord>> {
    send_query(runtime, peer, Query::Tallies(window)).await
}

async fn send_query<T: BorshDeserialize>(
    runtime: &Runtime,
    peer: SocketAddr,
    query: Query,
) -> io::Result<T> {
    let exchange = async {
        let mut stream = runtime.network.connect(peer).await?;
        write_bytes(&mut stream, &borsh::to_vec(&query)?).await?;
        read_value(&mut stream, MAX_ANSWER_BYTES).await
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))?
}

pub(super) async fn write_bytes(stream: &mut BoxedStream, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
    stream.write_u32(length).await?;
    stream.write_all(bytes).await?;
    stream.flush().await
}

pub(super) async fn read_value<T: BorshDeserialize>(
    stream: &mut BoxedStream,
    limit: u32,
) -> io::Result<T> {
    let length = stream.read_u32().await?;
    if length > limit {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    let mut bytes = vec![0; usize::try_from(length).unwrap_or_default()];
    stream.read_exact(&mut bytes).await?;
    borsh::from_slice(&bytes)
}
