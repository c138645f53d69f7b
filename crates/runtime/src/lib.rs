//! The environment of a process: network, task spawner and clock.
//!
//! The daemons and the stand-ins get these as parameters. The binaries pass [`SystemNetwork`],
//! [`TokioSpawner`] and [`TokioClock`]; the simulator passes virtual implementations. All tasks
//! must be spawned through the [`Spawner`], so that the simulator can suspend or kill a simulated
//! host as a whole. Timers use `tokio::time` in both cases; the simulator runs them on Tokio's
//! paused clock.

mod clock;
mod network;
mod spawner;
mod system;
pub mod watch;

pub use clock::{Clock, TokioClock};
pub use network::{BoxedDatagram, BoxedListener, BoxedStream, Datagram, Listener, Network, Stream};
pub use spawner::{HyperExecutor, Spawner, TokioSpawner};
pub use system::SystemNetwork;

use std::sync::Arc;

/// The environment of a process, real or simulated.
#[derive(Clone)]
pub struct Runtime {
    /// Opens connections and sockets.
    pub network: Arc<dyn Network>,
    /// Spawns tasks.
    pub spawner: Arc<dyn Spawner>,
    /// Provides the time.
    pub clock: Arc<dyn Clock>,
    /// Seed of all random choices of this process.
    pub seed: u64,
}

impl Runtime {
    /// Creates the environment of a real process: the system's network, Tokio's spawner and clock.
    #[must_use]
    pub fn system(seed: u64) -> Self {
        Self {
            network: Arc::new(SystemNetwork),
            spawner: Arc::new(TokioSpawner),
            clock: Arc::new(TokioClock::start()),
            seed,
        }
    }
}
