//! HTTP/1.1 and HTTP/2 over the virtual network: interrupted answers must never look complete.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::{FutureExt, stream};
use http::{Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ponddrift_http::body::{self, Body};
use ponddrift_http::{Client, ClientSettings, Handler, Server, ServerSettings};
use ponddrift_runtime::{HyperExecutor, Runtime};
use ponddrift_simulation::{HostId, Simulation};
use support::{Log, address, host, simulation};
use tokio::time::sleep;

const PIECES: u64 = 20;
const PIECE_INTERVAL: Duration = Duration::from_millis(50);

/// Streams a body for one second, and logs when it was completed and when it was dropped.
fn handler(ends: Log<&'static str>) -> Arc<dyn Handler> {
    let handle = move |_request: Request<Incoming>, _peer| -> BoxFuture<'static, Response<Body>> {
        let end = DropRecorder(ends.clone());
        let pieces = stream::unfold((0, end), |(count, end)| async move {
            if count == PIECES {
                end.0.push("complete");
                return None;
            }
            sleep(PIECE_INTERVAL).await;
            Some((Ok(Bytes::from_static(b"token ")), (count + 1, end)))
        });
        async move { Response::new(body::streamed(pieces)) }.boxed()
    };
    Arc::new(handle)
}

struct DropRecorder(Log<&'static str>);

impl Drop for DropRecorder {
    fn drop(&mut self) {
        self.0.push("dropped");
    }
}

fn add_server(simulation: &mut Simulation) -> (HostId, Log<&'static str>) {
    let ends = Log::default();
    let log = ends.clone();
    let id = simulation.add_host(host(1), move |runtime| {
        let handler = handler(log.clone());
        async move {
            let settings = ServerSettings::default();
            let started = Server::start(&runtime, address(1), settings, handler).await;
            let _server = started.expect("binds");
            std::future::pending().await
        }
    });
    (id, ends)
}

fn request() -> Request<Body> {
    let uri = format!("http://{}/v1/completions", address(1));
    Request::get(uri).body(body::empty()).expect("a request")
}

async fn http2_answer(runtime: &Runtime) -> Response<Incoming> {
    let stream = runtime.network.connect(address(1)).await.expect("connects");
    let executor = HyperExecutor(Arc::clone(&runtime.spawner));
    let io = hyper_util::rt::TokioIo::new(stream);
    let handshake = hyper::client::conn::http2::handshake(executor, io).await;
    let (mut sender, connection) = handshake.expect("speaks HTTP/2");
    runtime.spawner.spawn(Box::pin(async move {
        let _broken = connection.await;
    }));
    sender.send_request(request()).await.expect("answers")
}

async fn answer(runtime: &Runtime, version: Version) -> Response<Incoming> {
    if version == Version::HTTP_2 {
        return http2_answer(runtime).await;
    }
    let client = Client::new(runtime, ClientSettings::default());
    client.send(request()).await.expect("answers")
}

#[test]
fn whole_answers_arrive_over_both_versions() {
    for version in [Version::HTTP_11, Version::HTTP_2] {
        let mut simulation = simulation(1);
        let (_server, ends) = add_server(&mut simulation);
        let (_client, runtime) = simulation.add_client(host(2));
        simulation.block_on(async move {
            let answer = answer(&runtime, version).await;
            assert_eq!(answer.version(), version);
            let whole = answer.into_body().collect().await.expect("a whole body");
            assert_eq!(whole.to_bytes(), "token ".repeat(20));
        });
        assert_eq!(ends.values(), ["complete", "dropped"]);
        let elapsed = simulation.handle().elapsed();
        assert!((1_000..1_100).contains(&elapsed.as_millis()), "{elapsed:?}");
    }
}

#[test]
fn a_server_killed_in_the_middle_of_an_answer_breaks_the_body() {
    for version in [Version::HTTP_11, Version::HTTP_2] {
        let mut simulation = simulation(1);
        let (server, ends) = add_server(&mut simulation);
        let (_client, runtime) = simulation.add_client(host(2));
        let handle = simulation.handle();
        simulation.block_on(async move {
            let mut answer = answer(&runtime, version).await.into_body();
            let first = answer.frame().await.expect("a piece").expect("whole");
            assert_eq!(first.into_data().expect("data"), "token ");
            handle.kill(server);
            assert!(answer.collect().await.is_err(), "never a silent end");
        });
        assert_eq!(ends.values(), ["dropped"], "the handler died with its host");
    }
}

#[test]
fn a_killed_client_cancels_its_request() {
    for version in [Version::HTTP_11, Version::HTTP_2] {
        let mut simulation = simulation(1);
        let (_server, ends) = add_server(&mut simulation);
        let (client, runtime) = simulation.add_client(host(2));
        let handle = simulation.handle();
        simulation.block_on(async move {
            let mut answer = answer(&runtime, version).await.into_body();
            answer.frame().await.expect("a piece").expect("whole");
            handle.kill(client);
            sleep(Duration::from_millis(200)).await;
        });
        assert_eq!(ends.values(), ["dropped"]);
    }
}

#[test]
fn a_frozen_server_stops_in_the_middle_and_goes_on() {
    let mut simulation = simulation(1);
    let (server, _ends) = add_server(&mut simulation);
    let (_client, runtime) = simulation.add_client(host(2));
    let handle = simulation.handle();
    simulation.block_on(async move {
        let answer = answer(&runtime, Version::HTTP_11).await.into_body();
        handle.freeze(server);
        let thaw = async {
            sleep(Duration::from_secs(60)).await;
            handle.thaw(server);
        };
        let (whole, ()) = tokio::join!(answer.collect(), thaw);
        assert_eq!(whole.expect("a whole body").to_bytes().len(), 120);
        assert!(handle.elapsed() >= Duration::from_secs(60));
    });
}
