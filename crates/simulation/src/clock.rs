//! The clock of one life of a host.

use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_runtime::Clock;

use crate::host::HostId;
use crate::world::SharedWorld;

/// Counts from the start of the life. It tells virtual time to callers outside of the run too, where
/// tokio's own `Instant::now` would tell the real time.
pub(crate) struct SimulatedClock {
    world: SharedWorld,
    host: HostId,
    start: Duration,
}

/// Time of day at which every simulation starts: the beginning of 2026, so that traces repeat.
const START_OF_DAY: Duration = Duration::from_secs(1_767_225_600);

impl SimulatedClock {
    /// A clock of this host that starts now.
    pub(crate) fn start(world: SharedWorld, host: HostId) -> Self {
        let start = world.with(|world| world.elapsed());
        Self { world, host, start }
    }
}

impl Clock for SimulatedClock {
    fn now(&self) -> Timestamp {
        let elapsed = self.world.with(|world| world.elapsed());
        Timestamp::ZERO + elapsed.saturating_sub(self.start)
    }

    fn time_of_day(&self) -> Duration {
        let (elapsed, step_ms) = self
            .world
            .with(|world| (world.elapsed(), world.clock_step_ms(self.host)));
        let true_time = START_OF_DAY + elapsed;
        let step = Duration::from_millis(step_ms.unsigned_abs());
        if step_ms < 0 {
            true_time.saturating_sub(step)
        } else {
            true_time + step
        }
    }
}
