//! `ponddrift losses` attributes lost requests to the right route, reason and time window.

use std::process::Stdio;

use tokio::io::AsyncWriteExt;
use tokio::process::Command;

#[tokio::main(flavor = "current_thread")]
async fn summarize(log: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_ponddrift"))
        .arg("losses")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut stdin = child.stdin.take().expect("stdin is piped");
    stdin
        .write_all(log.as_bytes())
        .await
        .expect("writes to stdin");
    drop(stdin);
    let output = child.wait_with_output().await.expect("the command exits");
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("UTF-8 output")
}

fn request_ended(second: u32, request: &str, rest: &str) -> String {
    format!(
        "{{\"timestamp\":\"2026-12-02T10:00:{second:02}.5Z\",\"message\":\"request_ended\",\"request\":\"{request}\",\
         \"route\":\"tag\",\"kind\":\"stream\",\"target_ms\":200.0,{rest}}}\n"
    )
}

#[test]
fn losses_are_grouped_by_route_and_reason_in_descending_order() {
    let mut log = String::from("node-1 started\n{ not json }\n");
    let in_time =
        "\"outcome\":\"served\",\"in_time\":true,\"waited_ms\":40.0,\"urgency\":\"in_time\"";
    let late = "\"outcome\":\"served\",\"in_time\":false,\"waited_ms\":900.0,\"urgency\":\"late\"";
    let missed =
        "\"outcome\":\"served\",\"in_time\":false,\"waited_ms\":210.0,\"urgency\":\"in_time\"";
    let paused =
        "\"outcome\":\"served\",\"in_time\":false,\"waited_ms\":40.0,\"urgency\":\"in_time\"";
    let refused =
        "\"outcome\":\"refused\",\"in_time\":true,\"waited_ms\":1.0,\"urgency\":\"in_time\"";
    log += &request_ended(1, "1", in_time);
    log += &request_ended(1, "2", late);
    log += &request_ended(5, "3", late);
    log += &request_ended(5, "4", missed);
    log += &request_ended(5, "5", paused);
    log += "7.1 node-2 {\"message\":\"attempt_ended\",\"request\":\"6\",\"purpose\":\"prefill\",\"outcome\":\"unreachable\"}\n";
    log += &request_ended(5, "6", refused);
    let summary = summarize(&log);
    let lines: Vec<&str> = summary.lines().map(str::trim).collect();
    assert_eq!(lines[0], "tag (stream): 6 requests, 5 (83.3%) not in time");
    assert_eq!(lines[1], "2 (33.3%)  served late, as it was expected to be");
    let others = lines[2..5].join("\n");
    assert!(others.contains("1 (16.7%)  served late, though it was expected in time"));
    assert!(others.contains("1 (16.7%)  served late, by a pause between events"));
    assert!(others.contains("1 (16.7%)  refused, prefill: unreachable"));
    assert_eq!(
        lines[5],
        "second     0:      2 requests, 1 (50.0%) not in time"
    );
    assert_eq!(
        lines[6],
        "second     4:      4 requests, 4 (100.0%) not in time"
    );
    assert_eq!(lines[7], "1 lines could not be parsed");
}

#[test]
fn requests_without_room_are_counted_by_the_decision() {
    let refused =
        "\"outcome\":\"refused\",\"in_time\":true,\"waited_ms\":1.0,\"urgency\":\"in_time\"";
    let mut log = String::new();
    for (request, decision) in [("1", "late"), ("2", "all_full"), ("3", "room")] {
        log += &format!(
            "{{\"message\":\"room_decided\",\"request\":\"{request}\",\"decision\":\"{decision}\"}}\n"
        );
        log += &request_ended(1, request, refused);
    }
    let summary = summarize(&log);
    for loss in ["no room: late", "no room: all_full", "no attempt was made"] {
        let expected = format!("1 (33.3%)  refused, {loss}");
        assert!(summary.contains(&expected), "{expected} in {summary}");
    }
}

#[test]
fn an_empty_log_has_no_losses() {
    assert_eq!(summarize(""), "");
}
