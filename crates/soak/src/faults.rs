//! Faults, drawn from a seeded random number generator.

use std::time::Duration;

use ponddrift_platform_stand_ins::{Behaviour, StoreMode};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

/// A fault. Numbers are indexes of daemons or of active engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Kills a daemon's process, which is then restarted.
    Kill(usize),
    /// Kills the processes of all daemons at the same time.
    KillAll,
    /// Suspends a daemon's process.
    Freeze(usize),
    /// Stops a daemon gracefully, which is then restarted.
    Terminate(usize),
    /// Makes a daemon reload its settings file.
    ReloadSettings(usize),
    /// Degrades the store for all daemons.
    Store(StoreMode),
    /// Degrades the store for one daemon.
    StoreLink(usize, StoreMode),
    /// Makes the store drop its change history.
    DropHistory,
    /// Makes an engine misbehave for all requests.
    Engine(usize, Behaviour),
    /// Makes an engine misbehave for its next few requests.
    EngineRequests(usize, Behaviour),
    /// Sends a request that crashes engines repeatedly.
    CrashingRequest,
    /// Drains an engine and adds a replacement.
    Drain(usize),
    /// Removes an engine's store entry while it keeps serving, and adds a replacement.
    RemoveEntry(usize),
    /// Adds or removes a route in the configuration.
    Configure,
}

/// A fault with its timing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledFault {
    /// The fault.
    pub fault: Fault,
    /// How long the fault lasts, where it has a duration.
    pub duration: Duration,
    /// Pause before the next fault.
    pub pause: Duration,
}

const BEHAVIOURS: [Behaviour; 6] = [
    Behaviour::Refuse,
    Behaviour::DropAnswer,
    Behaviour::TruncateAnswer,
    Behaviour::Fail,
    Behaviour::AnswerWrongRequest,
    Behaviour::Hang,
];

const STORE_MODES: [StoreMode; 3] = [
    StoreMode::Silent,
    StoreMode::Busy,
    StoreMode::Slow(Duration::from_millis(300)),
];

/// Draws the next fault. `engines` is the number of active engines.
pub fn draw_fault(random: &mut impl Rng, daemons: usize, engines: usize) -> ScheduledFault {
    let daemon = random.random_range(0..daemons);
    let engine = random.random_range(0..engines);
    let behaviour = *BEHAVIOURS.choose(random).unwrap_or(&Behaviour::Refuse);
    let mode = *STORE_MODES.choose(random).unwrap_or(&StoreMode::Busy);
    let fault = match random.random_range(0..18) {
        0 | 1 => Fault::Kill(daemon),
        2 => Fault::Freeze(daemon),
        3 | 4 => Fault::Terminate(daemon),
        5 => Fault::ReloadSettings(daemon),
        6 => Fault::Store(mode),
        7 => Fault::StoreLink(daemon, mode),
        8 => Fault::DropHistory,
        9 | 10 => Fault::EngineRequests(engine, behaviour),
        11 => Fault::Engine(engine, behaviour),
        12 => Fault::Drain(engine),
        13 => Fault::RemoveEntry(engine),
        14 => Fault::KillAll,
        15 | 16 => Fault::CrashingRequest,
        _ => Fault::Configure,
    };
    ScheduledFault {
        fault,
        duration: Duration::from_millis(random.random_range(300..4_000)),
        pause: Duration::from_millis(random.random_range(0..1_500)),
    }
}
