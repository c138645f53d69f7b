//! Callers: they ask all the while, and note what they were told.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ponddrift_platform_stand_ins::{Answer, ClientRequest, ClientStandIn, PersistentConnection};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout};

use crate::platform::CRASH_MARK;

/// What a caller waits beyond its deadline before it says that there was no answer.
const BEYOND_DEADLINE: Duration = Duration::from_millis(1_500);
/// Pause between two tries of a request that crashes engines.
const CRASHER_PAUSE: Duration = Duration::from_millis(120);
/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(40);

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The request.
    pub request: ClientRequest,
    /// Which daemon was asked.
    pub daemon: SocketAddr,
    /// When.
    pub at: Instant,
    /// When it ended.
    pub ended: Instant,
    /// The answer; none if the connection ended, or nothing came.
    pub answer: Option<Answer>,
    /// Whether the caller left early.
    pub left: bool,
}

/// Daemons that callers are sent to, and all that was asked.
#[derive(Default)]
pub struct LoadState {
    /// Daemons that are in.
    pub targets: Mutex<Vec<SocketAddr>>,
    /// What became of every request.
    pub asked: Mutex<Vec<Asked>>,
}

impl LoadState {
    fn target(&self, random: &mut Pcg64Mcg) -> Option<SocketAddr> {
        let targets = self.targets.lock().expect("no holder panics");
        targets.choose(random).copied()
    }

    fn note(&self, asked: Asked) {
        self.asked.lock().expect("no holder panics").push(asked);
    }
}

/// One caller, until `end`. Every second one keeps its connection and uses it for as long as it is open, also while its
/// daemon stops.
pub async fn call(
    client: ClientStandIn,
    state: Arc<LoadState>,
    number: u64,
    seed: u64,
    end: Instant,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ (number + 1));
    let mut count = 0_u64;
    let keeps_connections = number % 2 == 1;
    let mut kept: Option<PersistentConnection> = None;
    while Instant::now() < end {
        sleep(PAUSE).await;
        let is_open = match &mut kept {
            Some(connection) => connection.is_open().await,
            None => false,
        };
        if !is_open {
            kept = None;
        }
        let next = kept.as_ref().map(PersistentConnection::target);
        let Some(daemon) = next.or_else(|| state.target(&mut random)) else {
            continue;
        };
        if keeps_connections && kept.is_none() {
            kept = client.connect(daemon).await;
        }
        count += 1;
        let request = draw(&mut random, &format!("c{number}-{count}"));
        let leaves = random.random_bool(0.05);
        let wait_policy = if leaves {
            Duration::from_millis(random.random_range(1..120))
        } else {
            Duration::from_millis(request.deadline_ms) + BEYOND_DEADLINE
        };
        let at = Instant::now();
        let answer = match &mut kept {
            Some(connection) => timeout(wait_policy, connection.ask(&request)).await,
            None => timeout(wait_policy, client.ask(daemon, &request)).await,
        };
        if answer.is_err() {
            // Leaving closes the connection.
            kept = None;
        }
        let left = leaves && answer.is_err();
        state.note(Asked {
            request,
            daemon,
            at,
            ended: Instant::now(),
            answer: answer.ok().flatten(),
            left,
        });
    }
}

fn draw(random: &mut Pcg64Mcg, id: &str) -> ClientRequest {
    let request = match random.random_range(0..5) {
        0 => ClientRequest::plain(id, "post"),
        1 => ClientRequest::plain(id, "fetch"),
        2 => ClientRequest::prompt(id, "tag", 40, 200),
        3 => ClientRequest::prompt(id, "verdict", 40, 200),
        _ => ClientRequest::prompt(id, "verdict", 5_000, 900),
    };
    // No two are the same, as far as their content goes.
    ClientRequest {
        body: format!("question of {id}"),
        ..request
    }
}

/// A request that crashes engines, until `end`: another try each `pause`, at any daemon, whatever became of the one before.
pub async fn crash_again_and_again(
    client: ClientStandIn,
    state: Arc<LoadState>,
    name: String,
    seed: u64,
    end: Instant,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut count = 0_u64;
    while Instant::now() < end {
        sleep(CRASHER_PAUSE).await;
        let Some(daemon) = state.target(&mut random) else {
            continue;
        };
        count += 1;
        let request = ClientRequest {
            body: format!("{name} {CRASH_MARK}"),
            ..ClientRequest::prompt(&format!("{name}-{count}"), "tag", 40, 200)
        };
        let client = client.clone();
        let limit = Duration::from_millis(request.deadline_ms) + BEYOND_DEADLINE;
        tokio::spawn(async move {
            // What becomes of it shows at the engines.
            drop(timeout(limit, client.ask(daemon, &request)).await);
        });
    }
}
