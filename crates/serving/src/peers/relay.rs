//! Relays connections to back ends for peers whose own path is cut.
//!
//! A relayed connection is always direct on this side, so that none passes through two peers. It
//! ends as soon as either side closes it, and one without any bytes for [`IDLE_LIMIT`] is closed,
//! because its peer may have lost power.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_fleet::directory::BackEnd;
use ponddrift_fleet::paths::ConnectFailure;
use ponddrift_runtime::{BoxedStream, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};

use super::queries::{AnswerSources, MAX_RELAY_ANSWER_BYTES, Query, read_value, write_bytes};
use crate::back_end_paths::{FRAME_HEADER_BYTES, connect, frame_header};
use crate::pipeline::{Pipeline, RelaySlot};
use crate::time::{self, now};

/// Time limit for connecting to the back end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for showing that another back end is reached, over all rounds. With the time limit for
/// the connection it is below that of the peer that waits for the answer.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(100);
/// Other back ends of a group that are tried for that at the same time, first a few, then more: of a
/// small group most may be down.
const WITNESS_ROUNDS: [usize; 2] = [2, 6];
/// Time after which a connection without any bytes is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// How long the peer has to close a connection that the back end closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for each direction, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// The answer to a peer that asks for a connection to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(crate) enum RelayAnswer {
    /// The connection is open; what follows on this one is forwarded.
    Connected,
    /// The back end cannot be reached from here either.
    Unreachable {
        /// Whether the connection was refused; otherwise there was no answer in time.
        is_refused: bool,
        /// Whether others of its service and of its zone were reached at the same time, which shows
        /// that the paths from here work.
        reaches_others: bool,
    },
    /// This daemon's own path to the back end is cut.
    PathCut,
    /// The directory here holds no back end at the address.
    UnknownBackEnd,
    /// This daemon has no room for another connection, or its network link has a backlog.
    Busy,
    /// This daemon is stopping.
    Stopping,
}

impl RelayAnswer {
    /// Whether the peer would not relay a connection to any back end now.
    pub(crate) const fn concerns_every_back_end(self) -> bool {
        matches!(self, Self::Busy | Self::Stopping)
    }

    /// Whether the peer did not reach the back end, and did not show that it reaches others.
    pub(crate) const fn shows_no_working_path(self) -> bool {
        matches!(
            self,
            Self::PathCut
                | Self::Unreachable {
                    reaches_others: false,
                    ..
                }
        )
    }

    /// Name in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::Unreachable {
                is_refused: true, ..
            } => "refused",
            Self::Unreachable { .. } => "no_answer",
            Self::PathCut => "path_cut",
            Self::UnknownBackEnd => "unknown_back_end",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
        }
    }
}

/// Asks a peer for a connection to a back end. The stream leads to the back end if the answer is
/// [`RelayAnswer::Connected`].
///
/// # Errors
/// If the peer cannot be reached or sends no valid answer. Has no time limit of its own.
pub(crate) async fn open_relay(
    runtime: &Runtime,
    peer: SocketAddr,
    back_end: SocketAddr,
) -> io::Result<(RelayAnswer, BoxedStream)> {
    let mut stream = runtime.network.connect(peer).await?;
    let query = Query::Relay(back_end);
    write_bytes(&mut stream, &borsh::to_vec(&query)?).await?;
    let answer = read_value(&mut stream, MAX_RELAY_ANSWER_BYTES).await?;
    Ok((answer, stream))
}

/// Answers a peer that asks for a connection, and forwards bytes until one side closes it.
pub(super) async fn serve(
    mut stream: BoxedStream,
    peer: SocketAddr,
    address: SocketAddr,
    sources: &AnswerSources,
) -> io::Result<()> {
    let pipeline = &sources.pipeline;
    let opened = open(address, sources).await;
    let answer = match &opened {
        Ok(_opened) => RelayAnswer::Connected,
        Err(answer) => *answer,
    };
    pipeline.metrics().relay_answer(answer.as_str());
    tracing::info!(%peer, back_end_address = %address, answer = answer.as_str(), "relay_answered");
    write_bytes(&mut stream, &borsh::to_vec(&answer)?).await?;
    if let Ok((back_end, _slot)) = opened {
        forward_both_ways(stream, back_end, pipeline).await?;
    }
    Ok(())
}

async fn open(
    address: SocketAddr,
    sources: &AnswerSources,
) -> Result<(BoxedStream, RelaySlot), RelayAnswer> {
    let AnswerSources {
        runtime,
        state,
        pipeline,
    } = sources;
    if pipeline.is_stopping() {
        return Err(RelayAnswer::Stopping);
    }
    let back_end = state
        .back_end_at(address)
        .ok_or(RelayAnswer::UnknownBackEnd)?;
    if pipeline.paths().is_cut(address) {
        return Err(RelayAnswer::PathCut);
    }
    let slot = RelaySlot::take(pipeline).ok_or(RelayAnswer::Busy)?;
    match connect(runtime, address, CONNECT_TIMEOUT).await {
        Ok(stream) => {
            pipeline.paths().paths().record_contact(address, now());
            Ok((stream, slot))
        }
        Err(failure) => Err(RelayAnswer::Unreachable {
            is_refused: failure == ConnectFailure::Refused,
            reaches_others: reaches_others(&back_end, sources).await,
        }),
    }
}

/// Whether the paths from here work that lead where the path to `unreachable` leads: to another back
/// end of its service, and to another one in its zone. They need not be tried if this daemon has found
/// that the back end has exited.
async fn reaches_others(unreachable: &BackEnd, sources: &AnswerSources) -> bool {
    if sources.pipeline.has_found_exit(unreachable) {
        return true;
    }
    let mut others = sources.state.back_ends();
    others.retain(|other| other.address != unreachable.address);
    others.sort_by_key(|other| other.address);
    let of_service = others
        .iter()
        .filter(|other| other.service == unreachable.service);
    let in_zone = others.iter().filter(|other| other.zone == unreachable.zone);
    let reaches_service = accepts_any(of_service.collect(), sources);
    let reaches_zone = accepts_any(in_zone.collect(), sources);
    let (reaches_service, reaches_zone) = futures::join!(reaches_service, reaches_zone);
    reaches_service && reaches_zone
}

/// Whether one of a few of these back ends accepts a connection; true if there are none.
async fn accepts_any(back_ends: Vec<&Arc<BackEnd>>, sources: &AnswerSources) -> bool {
    if back_ends.is_empty() {
        return true;
    }
    let showing = accepts_any_in_rounds(&back_ends, sources);
    let shown = tokio::time::timeout(WITNESS_TIMEOUT, showing).await;
    shown.unwrap_or(false)
}

async fn accepts_any_in_rounds(back_ends: &[&Arc<BackEnd>], sources: &AnswerSources) -> bool {
    let start = sources.pipeline.random_index(back_ends.len());
    let rotated = back_ends.iter().cycle().skip(start).take(back_ends.len());
    let mut untried = rotated.map(|back_end| back_end.address);
    for count in WITNESS_ROUNDS {
        let chosen: Vec<SocketAddr> = untried.by_ref().take(count).collect();
        let attempts = chosen
            .into_iter()
            .map(|address| connect(&sources.runtime, address, WITNESS_TIMEOUT));
        let results = futures::future::join_all(attempts).await;
        if results.iter().any(Result::is_ok) {
            return true;
        }
    }
    false
}

/// Progress of a relayed connection, shared by its two directions.
struct RelayProgress {
    /// When bytes were last forwarded in either direction.
    last_activity: Mutex<Instant>,
    /// Whether bytes of the peer have not been handed to the operating system yet.
    is_writing_request: AtomicBool,
}

impl RelayProgress {
    fn start() -> Self {
        Self {
            last_activity: Mutex::new(now()),
            is_writing_request: AtomicBool::new(false),
        }
    }

    fn record_activity(&self) {
        *self.lock() = now();
    }

    /// Waits until nothing was forwarded for [`IDLE_LIMIT`].
    async fn idle(&self) {
        loop {
            let idle_at = *self.lock() + IDLE_LIMIT;
            if now() >= idle_at {
                return;
            }
            time::sleep_until(idle_at).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Instant> {
        self.last_activity
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn forward_both_ways(
    peer: BoxedStream,
    back_end: BoxedStream,
    pipeline: &Arc<Pipeline>,
) -> io::Result<()> {
    let (mut from_peer, mut to_peer) = tokio::io::split(peer);
    let (mut from_back_end, mut to_back_end) = tokio::io::split(back_end);
    let progress = RelayProgress::start();
    tokio::select! {
        biased;
        requests = forward_requests(&mut from_peer, &mut to_back_end, pipeline, &progress) => {
            return requests;
        }
        answers = forward_answers(&mut from_back_end, &mut to_peer, pipeline, &progress) => answers?,
        () = progress.idle() => return Err(io::Error::from(io::ErrorKind::TimedOut)),
    }
    // The peer still reads the last bytes: closing with unread bytes of its own would reset them.
    to_peer.shutdown().await?;
    let mut rest = tokio::io::sink();
    let draining = tokio::io::copy(&mut from_peer, &mut rest);
    drop(tokio::time::timeout(CLOSE_TIMEOUT, draining).await);
    Ok(())
}

/// Forwards the peer's bytes until it closes the connection.
async fn forward_requests(
    from_peer: &mut ReadHalf<BoxedStream>,
    to_back_end: &mut WriteHalf<BoxedStream>,
    pipeline: &Arc<Pipeline>,
    progress: &RelayProgress,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from_peer.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        record_forwarded(pipeline, progress, length);
        progress.is_writing_request.store(true, Ordering::Relaxed);
        to_back_end.write_all(&buffer[..length]).await?;
        to_back_end.flush().await?;
        progress.is_writing_request.store(false, Ordering::Relaxed);
    }
}

/// Forwards the back end's bytes in frames until it closes the connection, and says so in a last
/// frame. Without it the peer knows that the answer is not complete, as when the back end closes the
/// connection before it has taken the request.
async fn forward_answers(
    from_back_end: &mut ReadHalf<BoxedStream>,
    to_peer: &mut WriteHalf<BoxedStream>,
    pipeline: &Arc<Pipeline>,
    progress: &RelayProgress,
) -> io::Result<()> {
    let mut buffer = vec![0; FRAME_HEADER_BYTES + BUFFER_BYTES];
    loop {
        let length = from_back_end
            .read(&mut buffer[FRAME_HEADER_BYTES..])
            .await?;
        if length == 0 && progress.is_writing_request.load(Ordering::Relaxed) {
            return Err(io::Error::from(io::ErrorKind::ConnectionReset));
        }
        buffer[..FRAME_HEADER_BYTES].copy_from_slice(&frame_header(length));
        record_forwarded(pipeline, progress, length);
        to_peer
            .write_all(&buffer[..FRAME_HEADER_BYTES + length])
            .await?;
        to_peer.flush().await?;
        if length == 0 {
            return Ok(());
        }
    }
}

fn record_forwarded(pipeline: &Arc<Pipeline>, progress: &RelayProgress, length: usize) {
    progress.record_activity();
    pipeline.placement().link.record_send(length, now());
}
