//! Answers whose heads end early: no caller gets them as answers.

mod processes;

use ponddrift_platform_stand_ins::{Answer, ClientRequest, ClientStandIn};
use ponddrift_runtime::Runtime;
use processes::{
    BackEndRequest, DaemonProcess, HANG_LIMIT, MODELS, Platform, RECORDS, RawBackEnd, run_alone,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Routes of a request that must not be repeated, of one that may be, and of a stream.
const ROUTES: [&str; 3] = ["post", "fetch", "tag"];
const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes of a long upload.
const UPLOAD_BYTES: usize = 4 << 20;
/// Body of a whole answer: an event of a stream.
const BODY: &str = "id: 1\ndata: a\n\n";
/// Ends the ID of a request that is answered whole.
const WHOLE: &str = "-whole";

/// How a back end ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// The head of an answer with these framing lines.
fn head(request: &BackEndRequest, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nponddrift-request-id: {}\r\n\
         ponddrift-response-signature: signed-by-raw\r\n{framing}\r\n",
        request.id
    )
}

/// Beginnings of an answer that end inside its head.
fn cut_heads(request: &BackEndRequest) -> Vec<String> {
    let whole = head(request, "content-length: 15\r\n");
    let ends_before = |text: &str| whole[..whole.find(text).expect("part of the head")].to_owned();
    let ends_after = |text: &str| {
        let end = whole.find(text).expect("part of the head") + text.len();
        whole[..end].to_owned()
    };
    let without_length = head(request, "");
    let chunked = head(request, "transfer-encoding: chunked\r\n");
    let without_end = |head: &str| head[..head.len() - 2].to_owned();
    vec![
        String::new(),
        ends_after("HTT"),
        ends_after("HTTP/1.1 "),
        ends_after("HTTP/1.1 20"),
        ends_after("HTTP/1.1 200"),
        ends_after("HTTP/1.1 200 OK"),
        ends_after("HTTP/1.1 200 OK\r"),
        ends_after("HTTP/1.1 200 OK\r\n"),
        ends_after("ponddrift-req"),
        ends_after("ponddrift-request-id: "),
        ends_before("ponddrift-response-signature"),
        ends_after("signed-by"),
        ends_before("content-length"),
        ends_after("content-length"),
        ends_after("content-length: "),
        ends_after("content-length: 1"),
        ends_after("content-length: 15"),
        without_end(&whole),
        whole[..whole.len() - 1].to_owned(),
        without_end(&without_length),
        without_length[..without_length.len() - 1].to_owned(),
        without_end(&chunked),
        format!(
            "HTTP/1.1 102 Processing\r\n\r\n{}",
            ends_after("HTTP/1.1 200 OK\r\n")
        ),
        String::from("HTTP/1.1 100 Continue\r\n\r\n"),
        // A body of the right length follows a head that does not end.
        format!("{}{BODY}", without_end(&whole)),
    ]
}

async fn write_and_end(mut stream: TcpStream, bytes: &[u8], end: End) -> Option<TcpStream> {
    stream.write_all(bytes).await.ok()?;
    match end {
        End::Close => stream.shutdown().await.ok()?,
        End::Reset => stream.set_zero_linger().ok()?,
    }
    None
}

/// Starts a daemon whose back ends answer with the cut head of this number, once they have read a
/// request.
async fn daemon_with_cut_heads(
    number: usize,
    end: End,
) -> (Platform, [RawBackEnd; 2], DaemonProcess) {
    let platform = Platform::start(MAX_BODY_BYTES).await;
    let script = move |request: BackEndRequest, mut stream: TcpStream| async move {
        if request.id.ends_with(WHOLE) {
            let bytes = head(&request, "content-length: 15\r\n") + BODY;
            stream.write_all(bytes.as_bytes()).await.ok()?;
            return Some(stream);
        }
        let cut = cut_heads(&request).swap_remove(number);
        write_and_end(stream, cut.as_bytes(), end).await
    };
    let records = RawBackEnd::start("i-1", script).await;
    let models = RawBackEnd::start("i-2", script).await;
    records.register(&platform.store, RECORDS, None);
    models.register(&platform.store, MODELS, Some("decode"));
    let daemon = platform.start_daemon("").await;
    (platform, [records, models], daemon)
}

async fn ask(daemon: &DaemonProcess, id: &str, route: &'static str, body: &str) -> Option<Answer> {
    let client = ClientStandIn::new(Runtime::system(3));
    let request = ClientRequest {
        body: body.to_owned(),
        deadline_ms: 5_000,
        ..ClientRequest::plain(id, route)
    };
    let answer = timeout(HANG_LIMIT, client.ask(daemon.callers, &request)).await;
    answer.expect("the request ends")
}

fn assert_own_failure(answer: Option<&Answer>, case: &str) {
    let answer = answer.unwrap_or_else(|| panic!("{case}: no answer"));
    let status = answer.status.as_u16();
    assert!(matches!(status, 502..=504), "{case}: {answer:?}");
    assert!(answer.signed_by().is_none(), "{case}: {answer:?}");
    assert!(answer.is_complete, "{case}: {answer:?}");
}

/// Guards against heads that end early, on new and kept connections, and during a long upload.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_whose_heads_end_early_are_not_passed_on() {
    let _alone = run_alone().await;
    let probe = BackEndRequest {
        id: String::from("probe"),
        head: String::new(),
    };
    let upload = "x".repeat(UPLOAD_BYTES);
    for number in 0..cut_heads(&probe).len() {
        for end in [End::Close, End::Reset] {
            let (_platform, back_ends, daemon) = daemon_with_cut_heads(number, end).await;
            for route in ROUTES {
                let case = format!("head {number}, {end:?}, {route}");
                let whole = ask(&daemon, &format!("{route}{WHOLE}"), route, "question").await;
                let whole = whole.unwrap_or_else(|| panic!("{case}: no whole answer"));
                assert_eq!(whole.text(), BODY, "{case}");
                for (name, body) in [("kept", "question"), ("upload", &upload)] {
                    let id = format!("{route}-{name}");
                    let answer = ask(&daemon, &id, route, body).await;
                    assert_own_failure(answer.as_ref(), &format!("{case}, {name}"));
                }
                let asked = back_ends.iter().flat_map(RawBackEnd::requests);
                let kept = format!("{route}-kept");
                assert!(asked.into_iter().any(|asked| asked.id == kept), "{case}");
            }
        }
    }
}
