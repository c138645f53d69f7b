//! Which faults strike, drawn from a seed.

use std::time::Duration;

use ponddrift_platform_stand_ins::{Behaviour, StoreMode};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A daemon's process is killed and started again after a while.
    Kill(usize),
    /// Every daemon's process is killed at once.
    KillAll,
    /// A daemon's process stands still.
    Freeze(usize),
    /// A planned stop and a new start.
    Terminate(usize),
    /// The settings file is read again.
    HangUp(usize),
    /// The store has troubles with everybody.
    Store(StoreMode),
    /// The store has troubles with one daemon.
    Door(usize, StoreMode),
    /// The store forgets its history.
    DropHistory,
    /// An engine misbehaves with all requests.
    Engine(usize, Behaviour),
    /// An engine misbehaves with a few requests.
    EngineBriefly(usize, Behaviour),
    /// A request that crashes engines comes again and again.
    CrashingRequest,
    /// An engine drains, and another comes.
    Drain(usize),
    /// An engine's entry vanishes though it serves on, and another comes.
    Vanish(usize),
    /// The operator adds or removes a route.
    Configure,
}

/// A fault and how long it lasts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrawnFault {
    /// What.
    pub fault: Fault,
    /// How long.
    pub time: Duration,
    /// Pause before the next.
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

const MODES: [StoreMode; 3] = [
    StoreMode::Silent,
    StoreMode::Busy,
    StoreMode::Slow(Duration::from_millis(300)),
];

/// Draws the next fault. `engines` counts those that have not left.
pub fn draw(random: &mut impl Rng, daemons: usize, engines: usize) -> DrawnFault {
    let daemon = random.random_range(0..daemons);
    let engine = random.random_range(0..engines);
    let behaviour = *BEHAVIOURS.choose(random).unwrap_or(&Behaviour::Refuse);
    let mode = *MODES.choose(random).unwrap_or(&StoreMode::Busy);
    let fault = match random.random_range(0..18) {
        0 | 1 => Fault::Kill(daemon),
        2 => Fault::Freeze(daemon),
        3 | 4 => Fault::Terminate(daemon),
        5 => Fault::HangUp(daemon),
        6 => Fault::Store(mode),
        7 => Fault::Door(daemon, mode),
        8 => Fault::DropHistory,
        9 | 10 => Fault::EngineBriefly(engine, behaviour),
        11 => Fault::Engine(engine, behaviour),
        12 => Fault::Drain(engine),
        13 => Fault::Vanish(engine),
        14 => Fault::KillAll,
        15 | 16 => Fault::CrashingRequest,
        _ => Fault::Configure,
    };
    DrawnFault {
        fault,
        time: Duration::from_millis(random.random_range(300..4_000)),
        pause: Duration::from_millis(random.random_range(0..1_500)),
    }
}
