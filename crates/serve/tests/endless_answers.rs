//! Back ends whose bytes never end, or come in very small pieces: the daemon leaves them.

mod processes;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures::future::join_all;
use processes::{
    DaemonProcess, HANG_LIMIT, MODELS, Platform, RECORDS, RawBackEnd, RawClient, answer_head,
    request_head, run_alone,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Requests at a time.
const REQUESTS: usize = 8;
/// A daemon must have left a back end before it has sent so much in one answer.
const MAX_SENT_BYTES: usize = 32 << 20;
/// Memory of the machine.
const MEMORY_BYTES: u64 = 96 << 20;
/// Descriptors that the process may have open.
const MAX_DESCRIPTORS: usize = 100;

/// Writes `piece` again and again until the daemon closes the connection, or too much was sent.
/// Returns the number of bytes.
async fn write_without_end(stream: &mut TcpStream, piece: &[u8]) -> usize {
    let batch = piece.repeat((16 << 10) / piece.len() + 1);
    let mut sent = 0;
    while sent < MAX_SENT_BYTES {
        if stream.write_all(&batch).await.is_err() {
            break;
        }
        sent += batch.len();
    }
    sent
}

/// A back end that answers `endless-…` with a head and then `piece` without end, and other requests
/// properly. Returns it and the size of the longest answer that it has sent without end.
async fn endless_back_end(
    head_lines: &'static str,
    piece: &'static [u8],
) -> (RawBackEnd, Arc<AtomicUsize>) {
    let sent = Arc::<AtomicUsize>::default();
    let counted = Arc::clone(&sent);
    let back_end = RawBackEnd::start("i-1", move |request, mut stream| {
        let sent = Arc::clone(&counted);
        async move {
            if !request.id.starts_with("endless") {
                let head = answer_head(&request, "content-length: 0\r\n");
                stream.write_all(head.as_bytes()).await.ok()?;
                return Some(stream);
            }
            if !head_lines.is_empty() {
                let head = answer_head(&request, head_lines);
                stream.write_all(head.as_bytes()).await.ok()?;
            }
            let bytes = write_without_end(&mut stream, piece).await;
            sent.fetch_max(bytes, Ordering::Relaxed);
            None
        }
    })
    .await;
    (back_end, sent)
}

/// Sends the requests and reads what they are answered, up to the head.
async fn ask_all(daemon: &DaemonProcess, route: &str) {
    let asked = (0..REQUESTS).map(|number| {
        let id = format!("endless-{number}");
        let request = request_head(route, &id, "content-length: 1\r\n") + "x";
        let target = daemon.callers;
        async move { RawClient::exchange(target, request.as_bytes()).await }
    });
    let answers = timeout(HANG_LIMIT, join_all(asked)).await;
    answers.expect("the requests end");
}

async fn assert_healthy(daemon: &mut DaemonProcess, sent: &AtomicUsize) {
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MAX_SENT_BYTES, "{sent} bytes were taken");
    assert!(daemon.serves_a_request("afterwards").await);
    assert!(daemon.is_running());
    let memory = daemon.peak_memory_bytes();
    assert!(memory < MEMORY_BYTES, "{memory} bytes of memory");
    let descriptors = daemon.descriptors();
    assert!(descriptors < MAX_DESCRIPTORS, "{descriptors} descriptors");
}

/// Guards against a request that is held by informational answers without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn informational_answers_without_end_do_not_hold_a_request() {
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let (back_end, sent) =
        endless_back_end("", b"HTTP/1.1 102 Processing\r\nx-step: 1\r\n\r\n").await;
    back_end.register(&platform.store, RECORDS, None);
    let mut daemon = platform.start_daemon("").await;
    ask_all(&daemon, "post").await;
    assert_healthy(&mut daemon, &sent).await;
}

/// Guards against memory that one-byte chunks of an answer take beyond their content.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_in_one_byte_chunks_takes_no_more_memory_than_its_content() {
    /// Content of each answer.
    const CONTENT_BYTES: usize = 1 << 20;
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let back_end = RawBackEnd::start("i-1", |request, mut stream| async move {
        let head = answer_head(&request, "transfer-encoding: chunked\r\n");
        stream.write_all(head.as_bytes()).await.ok()?;
        let batch = b"1\r\nx\r\n".repeat(1 << 10);
        for _ in 0..CONTENT_BYTES >> 10 {
            stream.write_all(&batch).await.ok()?;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()?;
        Some(stream)
    })
    .await;
    back_end.register(&platform.store, RECORDS, None);
    let mut daemon = platform.start_daemon("").await;
    ask_all(&daemon, "post").await;
    assert_healthy(&mut daemon, &AtomicUsize::new(0)).await;
}

/// Guards against an event without an end that keeps the process busy: it is scanned once, not from
/// its beginning with each piece.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_event_without_end_in_one_byte_chunks_does_not_keep_the_process_busy() {
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let (engine, sent) = endless_back_end(
        "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        b"1\r\nx\r\n",
    )
    .await;
    engine.register(&platform.store, MODELS, Some("decode"));
    let records = RawBackEnd::with_answers_of("i-2", 8).await;
    records.register(&platform.store, RECORDS, None);
    let mut daemon = platform.start_daemon("").await;
    ask_all(&daemon, "tag").await;
    assert_healthy(&mut daemon, &sent).await;
    assert!(!engine.requests().is_empty(), "the engine was asked");
}
