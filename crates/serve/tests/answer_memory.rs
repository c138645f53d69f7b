//! Memory that answers of faulty back ends take, with many of them at once: the daemon stays within
//! the memory of its machine, and other requests are served.

mod processes;

use std::time::Duration;

use processes::{
    DaemonProcess, HANG_LIMIT, MODELS, Platform, RECORDS, RawBackEnd, RawClient, SlowReader,
    answer_head, request_head, run_alone,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Memory of the machine, in megabytes.
const MEMORY_MB: u64 = 96;
/// Requests at a time that get an endless answer.
const REQUESTS: usize = 400;
/// Faulty back ends.
const BACK_ENDS: usize = 8;

/// What comes without an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Endless {
    /// A field of the head.
    Field,
    /// Fields of the head.
    Fields,
    /// A field of a head that stops short of the limits of HTTP libraries.
    StalledField,
    /// An event of a stream.
    Event,
    /// An event of a stream, in lines.
    EventLines,
    /// The body of a plain answer.
    Body,
}

impl Endless {
    const fn route(self) -> &'static str {
        match self {
            Self::Body => "post",
            _ => "tag",
        }
    }

    const fn piece(self) -> &'static [u8] {
        match self {
            Self::Fields => b"x-field: 0123456789012345678901234567890123456789\r\n",
            Self::EventLines => b"data: x\n",
            Self::Field | Self::StalledField | Self::Event | Self::Body => b"x",
        }
    }

    /// A back end stops after so many bytes of one answer.
    const fn most_bytes(self) -> usize {
        match self {
            Self::StalledField => 380 << 10,
            // More than the daemon may keep.
            _ => 4 << 20,
        }
    }
}

async fn send_endless(stream: &mut TcpStream, endless: Endless, id: &str) -> Option<()> {
    let begin = match endless {
        Endless::Field | Endless::StalledField => String::from("HTTP/1.1 200 OK\r\nx-field: "),
        Endless::Fields => String::from("HTTP/1.1 200 OK\r\n"),
        Endless::Event | Endless::EventLines | Endless::Body => format!(
            "HTTP/1.1 200 OK\r\nponddrift-request-id: {id}\r\n\
             ponddrift-response-signature: signed-by-raw\r\n\r\ndata: "
        ),
    };
    stream.write_all(begin.as_bytes()).await.ok()?;
    let batch = endless.piece().repeat((16 << 10) / endless.piece().len());
    let mut sent = 0;
    while sent < endless.most_bytes() {
        stream.write_all(&batch).await.ok()?;
        sent += batch.len();
    }
    // The answer stays open.
    sleep(HANG_LIMIT).await;
    None
}

async fn start_daemon(platform: &Platform) -> DaemonProcess {
    let settings = format!("[limits]\nmemory_mb = {MEMORY_MB}\n");
    platform.start_daemon(&settings).await
}

/// Waits for a while, or until some tasks have ended.
async fn join_some<T: 'static>(tasks: &mut JoinSet<T>) {
    const SOME: usize = 24;
    const WHILE: Duration = Duration::from_millis(200);
    let joining = async {
        for _ in 0..SOME {
            drop(tasks.join_next().await);
        }
    };
    // The caller checks in any case.
    drop(timeout(WHILE, joining).await);
}

fn assert_within_memory(daemon: &mut DaemonProcess, case: &str) {
    assert!(daemon.is_running(), "{case}: the daemon ended");
    let memory = daemon.peak_memory_bytes() >> 20;
    assert!(memory < MEMORY_MB, "{case}: {memory} MB of {MEMORY_MB} MB");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_an_end_stay_within_the_memory_of_the_machine() {
    let _alone = run_alone().await;
    for endless in [
        Endless::Field,
        Endless::Fields,
        Endless::StalledField,
        Endless::Event,
        Endless::EventLines,
        Endless::Body,
    ] {
        let platform = Platform::start(1 << 16).await;
        let mut back_ends = Vec::new();
        for number in 0..BACK_ENDS {
            let id = format!("i-{number}");
            let back_end = RawBackEnd::start(&id, move |request, mut stream| async move {
                if !request.id.starts_with("endless") {
                    let head = answer_head(&request, "content-length: 0\r\n");
                    stream.write_all(head.as_bytes()).await.ok()?;
                    return Some(stream);
                }
                send_endless(&mut stream, endless, &request.id).await?;
                None
            })
            .await;
            let is_plain = endless == Endless::Body;
            let (service, stage) = if is_plain {
                (RECORDS, None)
            } else {
                (MODELS, Some("decode"))
            };
            back_end.register(&platform.store, service, stage);
            back_ends.push(back_end);
        }
        let records = RawBackEnd::with_answers_of("i-records", 8).await;
        if endless != Endless::Body {
            records.register(&platform.store, RECORDS, None);
        }
        let mut daemon = start_daemon(&platform).await;
        let mut asked = JoinSet::new();
        for number in 0..REQUESTS {
            let request = request_head(
                endless.route(),
                &format!("endless-{number}"),
                "content-length: 1\r\n",
            );
            let request = request.replace("600000", "2000") + "x";
            let target = daemon.callers;
            asked.spawn(async move { RawClient::exchange(target, request.as_bytes()).await });
        }
        while daemon.is_running() && !asked.is_empty() {
            assert!(daemon.serves_a_request("beside").await, "{endless:?}");
            assert_within_memory(&mut daemon, &format!("{endless:?}"));
            join_some(&mut asked).await;
        }
        let received: usize = back_ends
            .iter()
            .map(|back_end| back_end.requests().len())
            .sum();
        assert!(received > REQUESTS / 2, "{endless:?}: {received} were sent");
        assert_within_memory(&mut daemon, &format!("{endless:?}"));
        assert!(daemon.serves_a_request("afterwards").await, "{endless:?}");
    }
}

/// Whole events are held until they are written, which takes as long as their reader likes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_events_for_slow_readers_stay_within_the_memory_of_the_machine() {
    /// Size of an event, which is permitted.
    const EVENT_BYTES: usize = 900 << 10;
    let _alone = run_alone().await;
    let platform = Platform::start(1 << 16).await;
    let mut back_ends = Vec::new();
    for number in 0..BACK_ENDS {
        let id = format!("i-{number}");
        let back_end = RawBackEnd::start(&id, |request, mut stream| async move {
            let head = answer_head(&request, "transfer-encoding: chunked\r\n");
            stream.write_all(head.as_bytes()).await.ok()?;
            let event = format!("id: 1\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.repeat(3).as_bytes()).await.ok()?;
            sleep(HANG_LIMIT).await;
            None
        })
        .await;
        back_end.register(&platform.store, MODELS, Some("decode"));
        back_ends.push(back_end);
    }
    let records = RawBackEnd::with_answers_of("i-records", 8).await;
    records.register(&platform.store, RECORDS, None);
    let mut daemon = start_daemon(&platform).await;
    let mut readers = JoinSet::new();
    for number in 0..REQUESTS {
        let request = request_head("tag", &format!("slow-{number}"), "content-length: 1\r\n") + "x";
        let target = daemon.callers;
        readers.spawn(async move {
            let reader = SlowReader::open(target, &request).await;
            sleep(Duration::from_secs(5)).await;
            reader.is_some()
        });
    }
    while daemon.is_running() && !readers.is_empty() {
        assert!(daemon.serves_a_request("beside").await);
        assert_within_memory(&mut daemon, "slow readers");
        join_some(&mut readers).await;
    }
    let received: usize = back_ends
        .iter()
        .map(|back_end| back_end.requests().len())
        .sum();
    assert!(received > REQUESTS / 2, "{received} were sent");
    assert!(daemon.serves_a_request("afterwards").await);
}
