//! A planned stop of a daemon as a process of its own: no answer and no request is cut.

mod processes;

use std::time::Duration;

use processes::{HANG_LIMIT, Platform, RECORDS, RawBackEnd, SlowReader, request_head, run_alone};
use tokio::time::{sleep, timeout};

/// More than the kernel buffers for a connection.
const ANSWER_BYTES: usize = 8 << 20;
/// Clients that leave their answers unread at first.
const SLOW_READERS: usize = 4;
/// The phases of a stop are short, and its end is far away.
const STOP_SETTINGS: &str = "[stop]\nnotice_ms = 100\naccept_ms = 200\ngrace_s = 60\n";
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
