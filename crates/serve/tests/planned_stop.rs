//! A planned stop of a daemon as a process of its own: no answer and no request is cut.

mod processes;

use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use processes::{
    HANG_LIMIT, Platform, RECORDS, RawBackEnd, RawClient, SlowReader, answer_head, read_head,
    request_head, run_alone,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// More than the kernel buffers for a connection.
const ANSWER_BYTES: usize = 8 << 20;
/// Clients that leave their answers unread at first.
const SLOW_READERS: usize = 4;
/// The phases of a stop are short, and its end is far away.
const STOP_SETTINGS: &str = "[stop]\nnotice_ms = 100\naccept_ms = 200\ngrace_s = 60\n";
/// Short phases and a short grace period.
const SHORT_STOP_SETTINGS: &str = "[stop]\nnotice_ms = 100\naccept_ms = 200\ngrace_s = 4\n";
/// Time for the phases of the stop to pass.
const AFTER_THE_PHASES: Duration = Duration::from_millis(1_500);

/// Guards against an exit while answers are still being written to clients that read slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_does_not_cut_answers_that_are_being_written() {
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let back_end = RawBackEnd::with_answers_of("i-1", ANSWER_BYTES).await;
    back_end.register(&platform.store, RECORDS, None);
    let mut daemon = platform.start_daemon(STOP_SETTINGS).await;
    assert!(daemon.serves_a_request("before").await);

    let mut readers = Vec::new();
    for number in 0..SLOW_READERS {
        let request = request_head("post", &format!("slow-{number}"), "content-length: 1\r\n");
        let reader = SlowReader::open(daemon.callers, &(request + "x")).await;
        readers.push(reader.expect("the head of the answer"));
    }
    daemon.terminate();
    sleep(AFTER_THE_PHASES).await;
    for reader in readers {
        let read = timeout(HANG_LIMIT, reader.read_rest(ANSWER_BYTES)).await;
        assert_eq!(read.expect("no hang"), ANSWER_BYTES);
    }
    let status = daemon.wait_for_exit().await.expect("the process ends");
    assert!(status.success(), "{status}");
}

/// Guards against the same for callers of HTTP/2, whose flow control holds answers back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_does_not_cut_answers_of_http2_callers() {
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let back_end = RawBackEnd::with_answers_of("i-1", ANSWER_BYTES).await;
    back_end.register(&platform.store, RECORDS, None);
    let mut daemon = platform.start_daemon(STOP_SETTINGS).await;
    assert!(daemon.serves_a_request("before").await);

    let stream = TcpStream::connect(daemon.callers).await.expect("connected");
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.expect("HTTP/2 is spoken");
    tokio::spawn(connection);
    let mut answers = Vec::new();
    for number in 0..SLOW_READERS {
        let request = Request::post(format!("http://{}/post/x", daemon.callers))
            .header("host", "fleet.example")
            .header("ponddrift-request-id", format!("slow-{number}"))
            .header("ponddrift-deadline-ms", 600_000)
            .body(Full::new(Bytes::from_static(b"x")))
            .expect("a request");
        let answer = sender.send_request(request).await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
        answers.push(answer);
    }
    daemon.terminate();
    sleep(AFTER_THE_PHASES).await;
    // At the same time, because they share the connection's flow control window.
    let reading = answers
        .into_iter()
        .map(|answer| answer.into_body().collect());
    let read = timeout(HANG_LIMIT, join_all(reading)).await;
    for whole in read.expect("no hang") {
        let whole = whole.expect("the rest of the answer");
        assert_eq!(whole.to_bytes().len(), ANSWER_BYTES);
    }
    drop(sender);
    let status = daemon.wait_for_exit().await.expect("the process ends");
    assert!(status.success(), "{status}");
}

/// Guards against a client that never reads its answer and holds up the exit of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_client_that_never_reads_does_not_keep_the_process_alive() {
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let back_end = RawBackEnd::with_answers_of("i-1", ANSWER_BYTES).await;
    back_end.register(&platform.store, RECORDS, None);
    let settings = "[stop]\nnotice_ms = 100\naccept_ms = 200\ngrace_s = 3\n";
    let mut daemon = platform.start_daemon(settings).await;
    assert!(daemon.serves_a_request("before").await);
    let request = request_head("post", "unread", "content-length: 1\r\n") + "x";
    let reader = SlowReader::open(daemon.callers, &request).await;
    let reader = reader.expect("the head of the answer");
    daemon.terminate();
    let status = daemon.wait_for_exit().await.expect("the process ends");
    assert!(status.success(), "{status}");
    drop(reader);
}

/// Guards against a request that is passed on so late in a stop that the end of the process cuts it:
/// the daemon decides when the whole request was read, not when its head was.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_body_ends_late_in_a_stop_is_refused_and_does_not_run() {
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let back_end = back_end_that_never_answers().await;
    back_end.register(&platform.store, RECORDS, None);
    let mut daemon = platform.start_daemon(SHORT_STOP_SETTINGS).await;

    let head = request_head("post", "late", "content-length: 8\r\n");
    let mut late = TcpStream::connect(daemon.callers).await.expect("connected");
    late.write_all((head + "ques").as_bytes())
        .await
        .expect("sent");
    let head = request_head("post", "unfinished", "content-length: 8\r\n");
    let mut unfinished = TcpStream::connect(daemon.callers).await.expect("connected");
    unfinished
        .write_all((head + "ques").as_bytes())
        .await
        .expect("sent");
    sleep(Duration::from_millis(300)).await;
    daemon.terminate();
    sleep(AFTER_THE_PHASES).await;
    // The answer may have come before the rest of the body.
    drop(late.write_all(b"tion").await);
    for stream in [&mut late, &mut unfinished] {
        let answer = timeout(HANG_LIMIT, read_head(stream)).await;
        let answer = answer.expect("no hang").expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    let status = daemon.wait_for_exit().await.expect("the process ends");
    assert!(status.success(), "{status}");
    assert!(back_end.requests().is_empty(), "a refused request ran");
}

/// Guards against a connection that is closed without an answer when the grace period ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_still_runs_at_the_end_of_a_stop_is_answered() {
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let back_end = back_end_that_never_answers().await;
    back_end.register(&platform.store, RECORDS, None);
    let mut daemon = platform.start_daemon(SHORT_STOP_SETTINGS).await;

    let request = request_head("post", "running", "content-length: 8\r\n") + "question";
    let mut running = TcpStream::connect(daemon.callers).await.expect("connected");
    running.write_all(request.as_bytes()).await.expect("sent");
    while back_end.requests().is_empty() {
        sleep(Duration::from_millis(20)).await;
    }
    daemon.terminate();
    let answer = timeout(HANG_LIMIT, read_head(&mut running)).await;
    let answer = answer.expect("no hang").expect("an answer");
    assert!(
        answer.starts_with("HTTP/1.1 502"),
        "it may have run: {answer}"
    );
    let status = daemon.wait_for_exit().await.expect("the process ends");
    assert!(status.success(), "{status}");
}

/// Guards against a request that is sent to a back end although its kind takes longer than the stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_cannot_end_before_the_stop_does_is_refused() {
    /// Longer than the grace period.
    const WORK: Duration = Duration::from_secs(4);
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let back_end = RawBackEnd::start("i-1", |request, mut stream| async move {
        sleep(WORK).await;
        let head = answer_head(&request, "content-length: 0\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        Some(stream)
    })
    .await;
    back_end.register(&platform.store, RECORDS, None);
    let settings = "[stop]\nnotice_ms = 2000\naccept_ms = 2000\ngrace_s = 3\n";
    let mut daemon = platform.start_daemon(settings).await;
    let request = request_head("post", "before", "content-length: 8\r\n") + "question";
    let answer = RawClient::exchange(daemon.callers, request.as_bytes()).await;
    assert!(answer.expect("an answer").starts_with("HTTP/1.1 200"));

    daemon.terminate();
    // Time for the signal to be handled, well before the daemon stops accepting requests.
    sleep(Duration::from_millis(300)).await;
    let request = request_head("post", "during", "content-length: 8\r\n") + "question";
    let answer = RawClient::exchange(daemon.callers, request.as_bytes()).await;
    let answer = answer.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let status = daemon.wait_for_exit().await.expect("the process ends");
    assert!(status.success(), "{status}");
    assert_eq!(back_end.requests().len(), 1, "a refused request ran");
}

async fn back_end_that_never_answers() -> RawBackEnd {
    RawBackEnd::start("i-1", |_request, stream| async move {
        std::future::pending::<()>().await;
        Some(stream)
    })
    .await
}
