//! Guards against nondeterminism: the same seed must always produce the same trace.

mod support;

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use ponddrift_core::random::seeded;
use ponddrift_http::body::{self, Body};
use ponddrift_http::{Client, ClientSettings, Handler, Server, ServerSettings};
use ponddrift_runtime::Runtime;
use ponddrift_simulation::{
    DatagramFaults, FaultPlan, FaultSchedule, FaultWeights, Simulation, SimulationSettings, Trace,
    Tracer,
};
use rand::RngExt;
use support::{address, host};
use tokio::time::{sleep, timeout};
use xtra::{Address, Mailbox};

const HOSTS: u8 = 5;
const HORIZON: Duration = Duration::from_secs(30);

/// Counts the requests of one incarnation of a host.
#[derive(xtra::Actor)]
struct Counter(u64);

struct Increment;

impl xtra::Handler<Increment> for Counter {
    type Return = u64;

    async fn handle(&mut self, _message: Increment, _context: &mut xtra::Context<Self>) -> u64 {
        self.0 += 1;
        self.0
    }
}

fn counting_handler(counter: Address<Counter>) -> Arc<dyn Handler> {
    let handle = move |_request: Request<Incoming>, _peer| -> BoxFuture<'static, Response<Body>> {
        let counter = counter.clone();
        async move {
            let count = counter.send(Increment).await.expect("the actor runs");
            Response::new(body::full(count.to_string()))
        }
        .boxed()
    };
    Arc::new(handle)
}

/// Runs an HTTP server backed by an actor, a client that calls random peers, and datagram gossip.
async fn node(runtime: Runtime, number: u8, tracer: Tracer) {
    let (counter, mailbox) = Mailbox::unbounded();
    runtime
        .spawner
        .spawn(Box::pin(xtra::run(mailbox, Counter(0))));
    let handler = counting_handler(counter);
    let settings = ServerSettings::default();
    let started = Server::start(&runtime, address(number), settings, handler).await;
    let _server = started.expect("binds");
    runtime
        .spawner
        .spawn(Box::pin(gossip(runtime.clone(), number)));
    let client = Client::new(&runtime, ClientSettings::default());
    let mut random = seeded(runtime.seed, "peers");
    loop {
        sleep(Duration::from_millis(random.random_range(20..200))).await;
        let peer = random.random_range(1..=HOSTS);
        let outcome = timeout(Duration::from_secs(2), ask(&client, peer)).await;
        let outcome = outcome.unwrap_or_else(|_elapsed| "late".to_owned());
        tracer.note(format!("asked {peer}: {outcome}"));
    }
}

async fn ask(client: &Client, peer: u8) -> String {
    let uri = format!("http://{}/", address(peer));
    let request = Request::get(uri).body(body::empty()).expect("a request");
    let Ok(answer) = client.send(request).await else {
        return "no answer".to_owned();
    };
    let limit = Duration::from_secs(1);
    match body::read_all(answer.into_body(), 100, limit).await {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(error) => error.to_string(),
    }
}

async fn gossip(runtime: Runtime, number: u8) {
    let socket = runtime
        .network
        .bind_datagram(address(number))
        .await
        .expect("binds");
    let mut random = seeded(runtime.seed, "gossip");
    let mut buffer = [0; 64];
    loop {
        let pause = Duration::from_millis(random.random_range(50..150));
        if timeout(pause, socket.receive_from(&mut buffer))
            .await
            .is_err()
        {
            let peer = random.random_range(1..=HOSTS);
            socket
                .send_to(&[number; 20], address(peer))
                .await
                .expect("sends");
        }
    }
}

fn run(seed: u64) -> Trace {
    let mut simulation = Simulation::new(SimulationSettings {
        datagram_faults: DatagramFaults {
            loss: 0.05,
            duplication: 0.05,
            reordering: 0.1,
            reordering_delay: Duration::from_millis(40),
        },
        ..SimulationSettings::with_seed(seed)
    });
    let handle = simulation.handle();
    for number in 1..=HOSTS {
        let tracer = handle.tracer(&format!("machine-{number}"));
        simulation.add_host(host(number), move |runtime| {
            node(runtime, number, tracer.clone())
        });
    }
    let plan = FaultPlan {
        hosts: handle.hosts(),
        horizon: HORIZON,
        faults: 40,
        min_duration: Duration::from_millis(100),
        max_duration: Duration::from_secs(4),
        weights: FaultWeights::default(),
    };
    simulation.schedule(FaultSchedule::generate(seed, &plan));
    simulation.run_for(HORIZON + Duration::from_secs(5));
    // A fault injected between two runs must be deterministic, too.
    handle.kill(handle.hosts()[0]);
    simulation.run_for(Duration::from_secs(1));
    simulation.trace()
}

#[test]
fn same_seed_gives_same_trace_and_other_seeds_differ() {
    let first = run(7);
    assert!(first.entries().len() > 1_000, "{}", first.entries().len());
    for _ in 0..3 {
        let again = run(7);
        assert!(again.to_string() == first.to_string(), "the entries differ");
        assert_eq!(again.hash(), first.hash());
    }
    let hashes: std::collections::BTreeSet<u64> = (0..5).map(|seed| run(seed).hash()).collect();
    assert_eq!(hashes.len(), 5);
}

#[test]
fn after_the_schedule_everything_works_again() {
    for seed in 20..24 {
        let trace = run(seed);
        let settled = HORIZON + Duration::from_secs(3);
        let is_after = |at: Duration| at > settled && at < HORIZON + Duration::from_secs(5);
        let entries = trace.entries().iter().filter(|entry| is_after(entry.at));
        let notes: Vec<String> = entries
            .map(|entry| entry.event.to_string())
            .filter(|text| text.starts_with("note"))
            .collect();
        assert!(notes.len() > 20, "{notes:?}");
        let failed = |note: &&String| note.ends_with("late") || note.ends_with("no answer");
        assert_eq!(notes.iter().find(failed), None, "seed {seed}");
    }
}
