//! Byte forwarder with faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use ponddrift_runtime::{BoxedListener, BoxedStream, Runtime};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Block, Direction, ProxyControl};
use crate::server::StandInServer;

/// Largest piece that is forwarded at once, in bytes.
const PIECE_BYTES: usize = 16 * 1024;
/// Pieces under way in one direction of a connection before the reader waits.
const PIECES_UNDER_WAY: usize = 256;

/// Faults of a TCP proxy.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TcpFaults {
    /// Added time of each byte, in milliseconds.
    pub delay_ms: u64,
    /// Which way nothing passes; held bytes pass once it is lifted.
    pub block: Block,
    /// Bytes a second in each direction of each connection.
    pub bytes_per_second: Option<f64>,
    /// Whether new connections are closed at once.
    pub refuse: bool,
}

/// What passed a TCP proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TcpCounters {
    /// Connections accepted.
    pub connections: u64,
    /// Connections whose target could not be reached.
    pub unreachable: u64,
    /// Bytes to the target.
    pub to_target: u64,
    /// Bytes to the callers.
    pub to_caller: u64,
}

/// Handle of a TCP proxy; clones share it.
#[derive(Clone)]
pub struct TcpControl {
    faults: Arc<watch::Sender<TcpFaults>>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    counters: TcpCounters,
    ends: Ends,
}

/// Tokens that end the connections of now.
#[derive(Clone, Default)]
struct Ends {
    cut: CancellationToken,
    reset: CancellationToken,
}

impl TcpControl {
    fn new(faults: TcpFaults) -> Self {
        Self {
            faults: Arc::new(watch::Sender::new(faults)),
            state: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The faults in force.
    #[must_use]
    pub fn get(&self) -> TcpFaults {
        *self.faults.borrow()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: TcpFaults) {
        self.faults.send_replace(faults);
    }

    /// What passed so far.
    #[must_use]
    pub fn counters(&self) -> TcpCounters {
        self.lock().counters
    }

    /// Ends all connections in order.
    pub fn cut(&self) {
        std::mem::take(&mut self.lock().ends).cut.cancel();
    }

    /// Drops all connections with what they hold. On the system's network the other side sees a reset
    /// where it sent bytes that were not read yet, else an end in the middle of a message.
    pub fn reset(&self) {
        std::mem::take(&mut self.lock().ends).reset.cancel();
    }
}

/// A proxy of one target.
pub struct TcpFaultProxy {
    address: SocketAddr,
    control_address: SocketAddr,
    control: TcpControl,
    stop: CancellationToken,
    _control_server: StandInServer,
}

impl TcpFaultProxy {
    /// Starts a proxy of `target`; port 0 takes a free one.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub async fn start(
        runtime: &Runtime,
        address: SocketAddr,
        control_address: SocketAddr,
        target: SocketAddr,
        faults: TcpFaults,
    ) -> io::Result<Self> {
        let listener = runtime.network.listen(address).await?;
        let address = listener.local_address()?;
        let control = TcpControl::new(faults);
        let served = Arc::new(ProxyControl::Tcp(control.clone()));
        let control_server = StandInServer::start(runtime, control_address, served).await?;
        let stop = CancellationToken::new();
        let acceptor = Acceptor {
            runtime: runtime.clone(),
            target,
            control: control.clone(),
            stop: stop.clone(),
        };
        runtime.spawner.spawn(Box::pin(acceptor.run(listener)));
        Ok(Self {
            address,
            control_address: control_server.address(),
            control,
            stop,
            _control_server: control_server,
        })
    }

    /// Where callers connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where faults are changed over HTTP.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// The handle.
    #[must_use]
    pub fn control(&self) -> &TcpControl {
        &self.control
    }
}

impl Drop for TcpFaultProxy {
    fn drop(&mut self) {
        self.stop.cancel();
        self.control.reset();
    }
}

struct Acceptor {
    runtime: Runtime,
    target: SocketAddr,
    control: TcpControl,
    stop: CancellationToken,
}

impl Acceptor {
    async fn run(self, listener: BoxedListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((caller, _peer)) = accepted else {
                return;
            };
            self.control.lock().counters.connections += 1;
            if self.control.get().refuse {
                continue;
            }
            let connection = Connection {
                runtime: self.runtime.clone(),
                control: self.control.clone(),
                ends: self.control.lock().ends.clone(),
            };
            let forwarding = connection.run(caller, self.target);
            self.runtime.spawner.spawn(Box::pin(forwarding));
        }
    }
}

#[derive(Clone)]
struct Connection {
    runtime: Runtime,
    control: TcpControl,
    ends: Ends,
}

impl Connection {
    async fn run(self, caller: BoxedStream, target: SocketAddr) {
        let connected = tokio::select! {
            biased;
            () = self.ends.reset.cancelled() => return,
            () = self.ends.cut.cancelled() => return,
            connected = self.runtime.network.connect(target) => connected,
        };
        let Ok(target) = connected else {
            self.control.lock().counters.unreachable += 1;
            return;
        };
        let (from_caller, to_caller) = tokio::io::split(caller);
        let (from_target, to_target) = tokio::io::split(target);
        self.forward(Direction::ToTarget, from_caller, to_target);
        self.forward(Direction::ToCaller, from_target, to_caller);
    }

    fn forward(
        &self,
        direction: Direction,
        source: ReadHalf<BoxedStream>,
        sink: WriteHalf<BoxedStream>,
    ) {
        let (sender, receiver) = mpsc::channel(PIECES_UNDER_WAY);
        let reading = self.clone().read(source, sender);
        let writing = self.clone().write(direction, sink, receiver);
        self.runtime.spawner.spawn(Box::pin(reading));
        self.runtime.spawner.spawn(Box::pin(writing));
    }

    async fn read(self, mut source: ReadHalf<BoxedStream>, sender: mpsc::Sender<Piece>) {
        let reading = async {
            let mut buffer = vec![0; PIECE_BYTES];
            while let Ok(length) = source.read(&mut buffer).await {
                if length == 0 {
                    return;
                }
                let delay = Duration::from_millis(self.control.get().delay_ms);
                let piece = Piece {
                    due: Instant::now() + delay,
                    bytes: Bytes::copy_from_slice(&buffer[..length]),
                };
                if sender.send(piece).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            () = self.ends.reset.cancelled() => {}
            () = self.ends.cut.cancelled() => {}
            () = reading => {}
        }
    }

    async fn write(
        self,
        direction: Direction,
        mut sink: WriteHalf<BoxedStream>,
        mut pieces: mpsc::Receiver<Piece>,
    ) {
        let writing = async {
            while let Some(piece) = pieces.recv().await {
                if self.deliver(direction, &mut sink, piece).await.is_err() {
                    return;
                }
            }
            // The other side ended, or the connection is cut: all that was read has passed.
            let _closed = sink.shutdown().await;
        };
        tokio::select! {
            biased;
            () = self.ends.reset.cancelled() => {}
            () = writing => {}
        }
    }

    async fn deliver(
        &self,
        direction: Direction,
        sink: &mut WriteHalf<BoxedStream>,
        piece: Piece,
    ) -> io::Result<()> {
        tokio::time::sleep_until(piece.due).await;
        let mut faults = self.control.faults.subscribe();
        let is_open = |faults: &TcpFaults| !faults.block.holds(direction);
        let open = faults.wait_for(is_open).await.map(|faults| *faults);
        let rate = open.ok().and_then(|faults| faults.bytes_per_second);
        let length = piece.bytes.len();
        if let Some(rate) = rate {
            let seconds = length as f64 / rate.max(1.0);
            tokio::time::sleep(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)).await;
        }
        sink.write_all(&piece.bytes).await?;
        sink.flush().await?;
        let counters = &mut self.control.lock().counters;
        match direction {
            Direction::ToTarget => counters.to_target += length as u64,
            Direction::ToCaller => counters.to_caller += length as u64,
        }
        Ok(())
    }
}

struct Piece {
    due: Instant,
    bytes: Bytes,
}
