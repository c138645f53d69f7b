//! Crowds of clients that stop in the middle of what they send or read: the process lives, stays
//! within its memory and descriptors, and serves ordinary requests meanwhile.

mod processes;

use futures::future::join_all;
use processes::{
    DaemonProcess, HANG_LIMIT, Platform, RECORDS, RawBackEnd, SlowReader, limit_descriptors,
    request_head, run_alone,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Clients of a crowd.
const CROWD: usize = 40;
/// Greatest legal body.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Low limits for what is held, as on a small machine.
const SETTINGS: &str = "[limits]\nheld_body_bytes = 8388608\n";
/// Memory of the machine.
const MEMORY_BYTES: u64 = 64 << 20;
/// Descriptors that the process may have open beside those of the crowd.
const OTHER_DESCRIPTORS: usize = 60;

struct Machine {
    _platform: Platform,
    _back_end: RawBackEnd,
    daemon: DaemonProcess,
}

impl Machine {
    async fn start(answer_bytes: usize) -> Self {
        let platform = Platform::start(MAX_BODY_BYTES).await;
        let back_end = RawBackEnd::with_answers_of("i-1", answer_bytes).await;
        back_end.register(&platform.store, RECORDS, None);
        let daemon = platform.start_daemon(SETTINGS).await;
        Self {
            _platform: platform,
            _back_end: back_end,
            daemon,
        }
    }

    /// Checks the process while the crowd is there.
    async fn assert_healthy(&mut self) {
        assert!(self.daemon.serves_a_request("ordinary").await);
        self.daemon.settle().await;
        assert!(self.daemon.serves_a_request("settled").await);
        assert!(self.daemon.is_running());
        let memory = self.daemon.peak_memory_bytes();
        assert!(memory < MEMORY_BYTES, "{memory} bytes of memory");
        let descriptors = self.daemon.descriptors();
        assert!(
            descriptors < CROWD + OTHER_DESCRIPTORS,
            "{descriptors} descriptors"
        );
    }

    /// Sends the same request from each client of the crowd, and leaves the connections open. A client
    /// whose connection the daemon closes stops.
    async fn send_from_crowd(&self, head: &str, piece: &[u8], pieces: usize) -> Vec<TcpStream> {
        let sending = (0..CROWD).map(|number| async move {
            let head = request_head("post", &format!("crowd-{number}"), head);
            let mut stream = TcpStream::connect(self.daemon.callers).await.ok()?;
            stream.write_all(head.as_bytes()).await.ok()?;
            for _ in 0..pieces {
                if stream.write_all(piece).await.is_err() {
                    break;
                }
            }
            Some(stream)
        });
        let sent = timeout(HANG_LIMIT, join_all(sending)).await;
        sent.expect("no hang").into_iter().flatten().collect()
    }
}

/// Guards against bodies that are not counted while they are read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_with_a_length_that_stop_before_their_end_do_not_exhaust_the_memory() {
    let _alone = run_alone().await;
    let mut machine = Machine::start(8).await;
    let head = format!("content-length: {}\r\n", MAX_BODY_BYTES);
    let piece = vec![b'x'; (64 << 10) - 1];
    let crowd = machine.send_from_crowd(&head, &piece, 64).await;
    machine.assert_healthy().await;
    drop(crowd);
    machine.assert_healthy().await;
}

/// Guards against chunked bodies that are not counted while they are read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_that_stop_before_their_end_do_not_exhaust_the_memory() {
    let _alone = run_alone().await;
    let mut machine = Machine::start(8).await;
    let mut piece = b"fff0\r\n".to_vec();
    piece.extend(vec![b'x'; 0xfff0]);
    piece.extend(b"\r\n");
    let head = "transfer-encoding: chunked\r\n";
    let crowd = machine.send_from_crowd(head, &piece, 63).await;
    machine.assert_healthy().await;
    drop(crowd);
    machine.assert_healthy().await;
}

/// Guards against memory that one-byte chunks take beyond their content.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_byte_chunks_that_stop_before_their_end_do_not_exhaust_the_memory() {
    let _alone = run_alone().await;
    let mut machine = Machine::start(8).await;
    let piece = b"1\r\nx\r\n".repeat(1 << 10);
    let head = "transfer-encoding: chunked\r\n";
    let crowd = machine.send_from_crowd(head, &piece, 300).await;
    machine.assert_healthy().await;
    drop(crowd);
    machine.assert_healthy().await;
}

/// Guards against refused bodies that are read into memory before the refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_over_the_limit_do_not_exhaust_the_memory() {
    let _alone = run_alone().await;
    let mut machine = Machine::start(8).await;
    let piece = vec![b'x'; 64 << 10];
    let announced = format!("content-length: {}\r\n", 64 << 20);
    let first = machine.send_from_crowd(&announced, &piece, 128).await;
    machine.assert_healthy().await;
    drop(first);
    let mut chunk = b"10000\r\n".to_vec();
    chunk.extend(&piece);
    chunk.extend(b"\r\n");
    let head = "transfer-encoding: chunked\r\n";
    let second = machine.send_from_crowd(head, &chunk, 128).await;
    machine.assert_healthy().await;
    drop(second);
    machine.assert_healthy().await;
}

/// Guards against answers that are held for clients which do not read them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_are_not_read_do_not_exhaust_the_memory() {
    /// Size of each answer.
    const ANSWER_BYTES: usize = 4 << 20;
    let _alone = run_alone().await;
    let mut machine = Machine::start(ANSWER_BYTES).await;
    let target = machine.daemon.callers;
    let reading = (0..CROWD).map(|number| async move {
        let id = format!("crowd-{number}");
        let request = request_head("post", &id, "content-length: 1\r\n") + "x";
        let opening = SlowReader::open(target, &request);
        // Some may have to wait until others have read their answers.
        timeout(std::time::Duration::from_secs(5), opening)
            .await
            .ok()?
    });
    let readers: Vec<SlowReader> = join_all(reading).await.into_iter().flatten().collect();
    assert!(!readers.is_empty(), "no answer began");
    machine.assert_healthy().await;
    drop(readers);
    machine.assert_healthy().await;
}

/// Guards against heads that stop before their end and hold memory and descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_do_not_exhaust_the_descriptors() {
    /// Descriptors of the process.
    const MAX_DESCRIPTORS: u64 = 60;
    let _alone = run_alone().await;
    let mut machine = Machine::start(8).await;
    limit_descriptors(&machine.daemon, MAX_DESCRIPTORS);
    let mut crowd = Vec::new();
    for _ in 0..2 * CROWD {
        let stream = TcpStream::connect(machine.daemon.callers).await;
        crowd.push(stream.expect("the kernel accepts the connection"));
    }
    machine.assert_healthy().await;
    for stream in &mut crowd {
        // The daemon may have closed it.
        drop(stream.write_all(b"POST /post/x HTTP/1.1\r\nhost: ").await);
    }
    machine.assert_healthy().await;
    drop(crowd);
    machine.assert_healthy().await;
}
