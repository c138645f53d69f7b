//! The clock of one incarnation of a host.

use std::time::Duration;

use ponddrift_core::Timestamp;
use ponddrift_runtime::Clock;

use crate::host::HostId;
use crate::world::SharedWorld;

/// Measures virtual time since the incarnation started. It also works outside of the tokio runtime,
/// where `Instant::now` would return the real time.
pub(crate) struct SimulatedClock {
    world: SharedWorld,
    host: HostId,
    start: Duration,
}

/// Unix time at which every simulation starts (2026-01-01). It is fixed to keep runs reproducible.
const START_TIME_OF_DAY: Duration = Duration::from_secs(1_767_225_600);

impl SimulatedClock {
    /// Creates a clock for `host` that starts at zero now.
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
        let (elapsed, offset_ms) = self
            .world
            .with(|world| (world.elapsed(), world.clock_offset_ms(self.host)));
        let true_time = START_TIME_OF_DAY + elapsed;
        let offset = Duration::from_millis(offset_ms.unsigned_abs());
        if offset_ms < 0 {
            true_time.saturating_sub(offset)
        } else {
            true_time + offset
        }
    }
}
