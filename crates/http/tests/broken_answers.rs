//! Answers whose bodies fail.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use ponddrift_http::body::{Body, BodyError, streamed};
use ponddrift_http::server::{Server, ServerSettings};
use ponddrift_runtime::Runtime;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const FIRST_EVENT: &str = "data: first\n\n";

fn fail_after_first_event(
    _request: Request<Incoming>,
    _peer: SocketAddr,
) -> BoxFuture<'static, Response<Body>> {
    let event = Ok(Bytes::from_static(FIRST_EVENT.as_bytes()));
    let failure = Err(BodyError::from("the deadline has passed"));
    let body = streamed(futures::stream::iter([event, failure]));
    async { Response::new(body) }.boxed()
}

/// A stream may fail as soon as it has begun, for example at its deadline. Its caller must see the head and what
/// came before the failure, not a connection that closes without an answer.
#[tokio::test]
async fn what_came_before_a_failure_is_written_before_the_connection_closes() {
    let runtime = Runtime::system(1);
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(
        &runtime,
        any_port,
        ServerSettings::default(),
        Arc::new(fail_after_first_event),
    )
    .await
    .expect("a free port");
    let mut connection = TcpStream::connect(server.address())
        .await
        .expect("it listens");
    connection
        .write_all(b"GET / HTTP/1.1\r\nHost: localhost\r\n\r\n")
        .await
        .expect("it reads");
    let mut answer = Vec::new();
    connection
        .read_to_end(&mut answer)
        .await
        .expect("the connection closes");
    let answer = String::from_utf8(answer).expect("text");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains(FIRST_EVENT), "{answer:?}");
    assert!(
        !answer.ends_with("0\r\n\r\n"),
        "the failure must show: {answer:?}"
    );
}
