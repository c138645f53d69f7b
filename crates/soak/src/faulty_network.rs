//! A network in which the paths to some addresses can be cut.

mod faulty_stream;

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use futures::future::BoxFuture;
use ponddrift_runtime::{BoxedDatagram, BoxedListener, BoxedStream, Network};

use faulty_stream::FaultyStream;

/// Environment variable with the address that receives control messages.
pub const CONTROL_VARIABLE: &str = "PONDDRIFT_SOAK_CONTROL";
/// Size limit of a control message in bytes.
const MAX_CONTROL_BYTES: usize = 16 << 10;

/// What connections over a cut path see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutKind {
    /// Open connections and new ones hang.
    Silent,
    /// Open connections are reset; new ones hang.
    Reset,
    /// Open connections are reset; new ones are refused.
    ResetAndRefused,
    /// Open connections live on; new ones are refused.
    Refused,
}

/// All kinds of cuts.
pub const CUT_KINDS: [CutKind; 4] = [
    CutKind::Silent,
    CutKind::Reset,
    CutKind::ResetAndRefused,
    CutKind::Refused,
];

impl CutKind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Reset => "reset",
            Self::ResetAndRefused => "reset_and_refused",
            Self::Refused => "refused",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        CUT_KINDS.into_iter().find(|kind| kind.as_str() == text)
    }

    const fn resets(self) -> bool {
        matches!(self, Self::Reset | Self::ResetAndRefused)
    }

    const fn refuses(self) -> bool {
        matches!(self, Self::ResetAndRefused | Self::Refused)
    }
}

/// A cut: its number, its kind and the addresses that are not reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cut {
    /// Distinguishes successive cuts. Control messages are repeated.
    pub number: u64,
    /// What connections see.
    pub kind: CutKind,
    /// Addresses behind the cut.
    pub targets: HashSet<SocketAddr>,
}

impl Cut {
    /// Encodes the cut, or its absence, as a control message.
    #[must_use]
    pub fn encode(cut: Option<&Self>) -> String {
        let Some(cut) = cut else {
            return String::from("none");
        };
        let targets: Vec<String> = cut.targets.iter().map(ToString::to_string).collect();
        format!("{} {} {}", cut.number, cut.kind.as_str(), targets.join(","))
    }

    fn decode(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let number = words.next()?.parse().ok()?;
        let kind = CutKind::parse(words.next()?)?;
        let targets = words.next()?.split(',');
        let targets = targets.map(str::parse).collect::<Result<_, _>>().ok()?;
        Some(Self {
            number,
            kind,
            targets,
        })
    }
}

/// The cut in force, and the tasks to wake when it changes, by the numbers of their connections.
#[derive(Debug, Default)]
struct CutState {
    cut: Option<Cut>,
    /// Number of the newest cut that reset connections, and its targets.
    reset: Option<(u64, HashSet<SocketAddr>)>,
    waiting: HashMap<u64, Waker>,
    /// Number of connections opened so far.
    connections: u64,
}

/// A network whose outgoing connections pass through the cuts that control messages set.
pub struct FaultyNetwork {
    inner: Arc<dyn Network>,
    state: Arc<Mutex<CutState>>,
}

impl FaultyNetwork {
    /// Creates a network without cuts that receives control messages at `control`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn listen(inner: Arc<dyn Network>, control: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(control)?;
        let state = Arc::new(Mutex::new(CutState::default()));
        let controlled = Arc::clone(&state);
        std::thread::spawn(move || receive_control(&socket, &controlled));
        Ok(Self { inner, state })
    }
}

/// Applies control messages until the socket fails.
fn receive_control(socket: &UdpSocket, state: &Mutex<CutState>) {
    let mut buffer = vec![0; MAX_CONTROL_BYTES];
    while let Ok(length) = socket.recv(&mut buffer) {
        let text = String::from_utf8_lossy(&buffer[..length]);
        let cut = Cut::decode(&text);
        let mut state = lock(state);
        if state.cut == cut {
            continue;
        }
        if let Some(cut) = cut.as_ref().filter(|cut| cut.kind.resets()) {
            state.reset = Some((cut.number, cut.targets.clone()));
        }
        state.cut = cut;
        for (_connection, waker) in state.waiting.drain() {
            waker.wake();
        }
    }
}

impl Network for FaultyNetwork {
    fn connect(&self, target: SocketAddr) -> BoxFuture<'_, io::Result<BoxedStream>> {
        Box::pin(async move {
            let kind = {
                let state = lock(&self.state);
                let cut = state.cut.as_ref();
                cut.filter(|cut| cut.targets.contains(&target))
                    .map(|cut| cut.kind)
            };
            match kind {
                Some(kind) if kind.refuses() => {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
                Some(_hangs) => std::future::pending::<()>().await,
                None => {}
            }
            let stream = self.inner.connect(target).await?;
            let stream = FaultyStream::new(stream, target, &self.state);
            Ok(Box::new(stream) as BoxedStream)
        })
    }

    fn listen(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedListener>> {
        self.inner.listen(address)
    }

    fn bind_datagram(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<BoxedDatagram>> {
        self.inner.bind_datagram(address)
    }
}

fn lock(state: &Mutex<CutState>) -> MutexGuard<'_, CutState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
