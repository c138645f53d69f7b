//! Answers of back ends that are not valid HTTP, or not complete: no caller gets them as answers.

mod processes;

use std::time::Duration;

use ponddrift_platform_stand_ins::{Answer, ClientRequest, ClientStandIn};
use ponddrift_runtime::Runtime;
use processes::{
    BackEndRequest, DaemonProcess, HANG_LIMIT, MODELS, Platform, RECORDS, RawBackEnd, run_alone,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Routes of a request that must not be repeated, of one that may be, and of a stream.
const ROUTES: [&str; 3] = ["post", "fetch", "tag"];
/// Largest body of a request.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Starts a daemon whose two back ends, of plain requests and of streams, answer with `script`.
async fn daemon_with<S, F>(script: S) -> (Platform, [RawBackEnd; 2], DaemonProcess)
where
    S: Fn(BackEndRequest, TcpStream) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<TcpStream>> + Send + 'static,
{
    let platform = Platform::start(MAX_BODY_BYTES).await;
    let records = RawBackEnd::start_before_bodies("i-1", script.clone()).await;
    let models = RawBackEnd::start_before_bodies("i-2", script).await;
    records.register(&platform.store, RECORDS, None);
    models.register(&platform.store, MODELS, Some("decode"));
    let daemon = platform.start_daemon("").await;
    (platform, [records, models], daemon)
}

/// Sends one request of each route, and returns their answers.
async fn ask_each_route(
    daemon: &DaemonProcess,
    back_ends: &[RawBackEnd; 2],
    body: &str,
) -> Vec<(&'static str, Option<Answer>)> {
    let client = ClientStandIn::new(Runtime::system(3));
    let mut answers = Vec::new();
    for route in ROUTES {
        let request = ClientRequest {
            body: body.to_owned(),
            deadline_ms: 10_000,
            ..ClientRequest::plain(&format!("request-{route}"), route)
        };
        let answer = timeout(HANG_LIMIT, client.ask(daemon.callers, &request)).await;
        answers.push((route, answer.expect("the request ends")));
        let asked = back_ends.iter().flat_map(RawBackEnd::requests);
        assert!(asked.into_iter().any(|asked| asked.id == request.id));
    }
    answers
}

/// Asserts that an answer is the daemon's own failure, which does not say that the request was not
/// run.
fn assert_own_failure(answer: Option<&Answer>, case: &str) {
    let answer = answer.unwrap_or_else(|| panic!("{case}: no answer"));
    let status = answer.status.as_u16();
    assert!(matches!(status, 502 | 504), "{case}: {answer:?}");
    assert!(answer.signed_by().is_none(), "{case}: {answer:?}");
    assert!(answer.is_complete, "{case}: {answer:?}");
    assert!(
        answer
            .headers
            .keys()
            .all(|name| !name.as_str().contains("odd"))
    );
}

/// Writes an answer with this first line and these further lines, and closes the connection.
async fn write_answer(
    request: &BackEndRequest,
    mut stream: TcpStream,
    first_line: &str,
    lines: &[u8],
) -> Option<TcpStream> {
    let head = format!(
        "{first_line}\r\nponddrift-request-id: {}\r\nponddrift-response-signature: signed-by-raw\r\n",
        request.id
    );
    let bytes = [head.as_bytes(), lines, b"\r\n", b"id: 1\ndata: a\n\n"].concat();
    stream.write_all(&bytes).await.ok()?;
    stream.shutdown().await.ok()?;
    // Closing with unread bytes would reset the connection.
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.ok()?;
    None
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_with_an_invalid_status_are_not_passed_on() {
    let _alone = run_alone().await;
    for status in [
        "000", "001", "099", "101", "199", "600", "700", "999", "1000", "20", "2x0", "-20", "",
    ] {
        let (_platform, back_ends, daemon) = daemon_with(move |request, stream| async move {
            let first_line = format!("HTTP/1.1 {status} Odd");
            let lines = b"content-length: 15\r\nconnection: upgrade\r\nupgrade: odd\r\n";
            write_answer(&request, stream, &first_line, lines).await
        })
        .await;
        for (route, answer) in ask_each_route(&daemon, &back_ends, "question").await {
            assert_own_failure(answer.as_ref(), &format!("{status:?} on {route}"));
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_with_invalid_fields_are_not_passed_on() {
    let _alone = run_alone().await;
    let lines: [&[u8]; 18] = [
        b"x odd: 1\r\ncontent-length: 15\r\n",
        b"x\x01odd: 1\r\ncontent-length: 15\r\n",
        b"x\x7fodd: 1\r\ncontent-length: 15\r\n",
        b"x-\xe9-odd: 1\r\ncontent-length: 15\r\n",
        b"x-odd : 1\r\ncontent-length: 15\r\n",
        b" x-odd: 1\r\ncontent-length: 15\r\n",
        b": odd\r\ncontent-length: 15\r\n",
        b"odd\r\ncontent-length: 15\r\n",
        b"x-odd: a\0b\r\ncontent-length: 15\r\n",
        b"x-odd: a\x01b\r\ncontent-length: 15\r\n",
        b"x-odd: a\x7fb\r\ncontent-length: 15\r\n",
        b"x-odd: a\rb\r\ncontent-length: 15\r\n",
        b"content-length : 5\r\n",
        b"content-length: 5\r\ncontent-length: 15\r\n",
        b"content-length: 5, 15\r\n",
        b"content-length: +5\r\n",
        b"content-length: 99999999999999999999\r\n",
        b"transfer-encoding : chunked\r\n",
    ];
    for lines in lines {
        let (_platform, back_ends, daemon) = daemon_with(move |request, stream| async move {
            write_answer(&request, stream, "HTTP/1.1 200 OK", lines).await
        })
        .await;
        for (route, answer) in ask_each_route(&daemon, &back_ends, "question").await {
            let case = format!("{:?} on {route}", String::from_utf8_lossy(lines));
            assert_own_failure(answer.as_ref(), &case);
        }
    }
}

/// A body is the back end's own only if its coding is removed, or there is none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_with_a_transfer_coding_that_is_not_removed_are_not_passed_on() {
    let _alone = run_alone().await;
    let lines: [&[u8]; 6] = [
        b"transfer-encoding: gzip\r\n",
        b"transfer-encoding: identity\r\n",
        b"transfer-encoding: gzip, chunked\r\n\r\nf\r\n",
        b"transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n\r\nf\r\n",
        b"transfer-encoding: chunked, chunked\r\n\r\nf\r\n",
        b"transfer-encoding: chunked\r\ncontent-length: 15\r\n\r\nf\r\n",
    ];
    for lines in lines {
        let (_platform, back_ends, daemon) = daemon_with(move |request, mut stream| async move {
            let head = format!(
                "HTTP/1.1 200 OK\r\nponddrift-request-id: {}\r\n\
                 ponddrift-response-signature: signed-by-raw\r\n",
                request.id
            );
            let is_chunked = lines.windows(4).any(|bytes| bytes == b"\r\n\r\n");
            let body: &[u8] = if is_chunked {
                b"id: 1\ndata: a\n\n\r\n0\r\n\r\n"
            } else {
                b"\r\nid: 1\ndata: a\n\n"
            };
            let bytes = [head.as_bytes(), lines, body].concat();
            stream.write_all(&bytes).await.ok()?;
            stream.shutdown().await.ok()?;
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).await.ok()?;
            None
        })
        .await;
        for (route, answer) in ask_each_route(&daemon, &back_ends, "question").await {
            let case = format!("{:?} on {route}", String::from_utf8_lossy(lines));
            assert_own_failure(answer.as_ref(), &case);
        }
    }
}

/// How a back end ends its connection in the middle of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// With a reset.
    Reset,
    /// With a reset after the request has been written in part.
    ResetLater,
    /// It closes the connection, whose remaining bytes are then refused.
    Close,
}

/// An answer that has no length looks complete when its connection is closed. One that ends while
/// its request is still being written is not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_without_length_that_ends_before_its_request_was_written_is_not_whole() {
    /// More than the buffers of a connection hold.
    const UPLOAD_BYTES: usize = 24 << 20;
    let _alone = run_alone().await;
    for end in [End::Reset, End::ResetLater, End::Close] {
        let (_platform, back_ends, daemon) = daemon_with(move |request, mut stream| async move {
            let head = format!(
                "HTTP/1.1 200 OK\r\nponddrift-request-id: {}\r\n\
                 ponddrift-response-signature: signed-by-raw\r\n\r\nid: 1\ndata: a\n\n",
                request.id
            );
            stream.write_all(head.as_bytes()).await.ok()?;
            if end == End::ResetLater {
                sleep(Duration::from_millis(300)).await;
            }
            if end == End::Close {
                stream.shutdown().await.ok()?;
                sleep(Duration::from_millis(300)).await;
            }
            // Unread bytes make the close a reset.
            None
        })
        .await;
        let body = "x".repeat(UPLOAD_BYTES);
        for (route, answer) in ask_each_route(&daemon, &back_ends, &body).await {
            let is_whole = answer
                .as_ref()
                .is_some_and(|answer| answer.status.is_success() && answer.is_complete);
            assert!(!is_whole, "{end:?} on {route}: {answer:?}");
        }
    }
}
