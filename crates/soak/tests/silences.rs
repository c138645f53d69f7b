//! Short silences of back ends lose nothing, and the check of the requests that meet them finds
//! those that end without an answer.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{ContextCompat, Result};
use http::{HeaderMap, StatusCode};
use ponddrift_platform_stand_ins::{Answer, ClientRequest};
use ponddrift_runtime::Runtime;
use ponddrift_soak::checks::silences::{OtherFaults, SilenceReport, check_silences};
use ponddrift_soak::checks::{Disruptions, Outage};
use ponddrift_soak::load::RequestRecord;
use ponddrift_soak::platform::{Platform, unique_loopback_address};
use ponddrift_soak::silences::network::ConnectionSilencer;
use ponddrift_soak::silences::{Silence, Silences};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const SILENCE: Duration = Duration::from_millis(300);
const DAEMON: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// An open connection and a new one get everything that was sent, once the silence is over.
#[tokio::test]
async fn connections_go_on_after_a_silence_without_loss() -> Result<()> {
    let silencer: Arc<ConnectionSilencer> = Arc::default();
    let runtime = Runtime::system(1);
    let server = silencer.apply_to(&runtime);
    let address = unique_loopback_address();
    let listener = server.network.listen(address).await?;
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            tokio::spawn(async move {
                let mut byte = [0];
                while stream.read_exact(&mut byte).await.is_ok() {
                    drop(stream.write_all(&byte).await);
                }
            });
        }
    });
    let mut open = runtime.network.connect(address).await?;
    open.write_all(b"a").await?;
    assert_eq!(open.read_u8().await?, b'a');

    let until = Instant::now() + SILENCE;
    silencer.silence_until(until);
    let mut new = runtime.network.connect(address).await?;
    for stream in [&mut open, &mut new] {
        stream.write_all(b"bcd").await?;
    }
    for stream in [&mut open, &mut new] {
        let mut echo = [0; 3];
        stream.read_exact(&mut echo).await?;
        assert!(Instant::now() >= until, "an answer came during the silence");
        assert_eq!(&echo, b"bcd");
    }
    Ok(())
}

struct Case {
    platform: Platform,
    silences: Silences,
    began: Instant,
}

impl Case {
    /// All back ends are silent for a second.
    async fn new() -> Result<Self> {
        let platform = Platform::start(1).await?;
        let began = Instant::now();
        let engines = platform.members.iter();
        let silence = Silence {
            engines: engines.map(|member| member.engine.address()).collect(),
            from: began,
            to: began + Duration::from_secs(1),
        };
        Ok(Self {
            platform,
            silences: Silences(vec![silence]),
            began,
        })
    }

    /// A request sent as the silence begins, with two seconds of time.
    fn record(&self, took_ms: u64, answer: Option<Answer>) -> RequestRecord {
        RequestRecord {
            request: ClientRequest::plain("r", "post"),
            daemon: DAEMON,
            at: self.began,
            ended: self.began + Duration::from_millis(took_ms),
            answer,
            abandoned: false,
        }
    }

    fn check(&self, record: RequestRecord, outages: &[Outage]) -> SilenceReport {
        let other_faults = OtherFaults {
            outages,
            store_disruptions: &Disruptions::default(),
            cuts: &[],
        };
        check_silences(
            &[record],
            &self.platform.members,
            &self.silences,
            other_faults,
        )
    }
}

fn answer(status: StatusCode, is_complete: bool) -> Option<Answer> {
    Some(Answer {
        status,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        is_complete,
    })
}

#[tokio::test]
async fn whole_answers_refusals_and_ended_time_are_no_violations() -> Result<()> {
    let case = Case::new().await?;
    for record in [
        case.record(900, answer(StatusCode::OK, true)),
        case.record(20, answer(StatusCode::SERVICE_UNAVAILABLE, true)),
        case.record(2_000, answer(StatusCode::GATEWAY_TIMEOUT, true)),
        case.record(2_000, answer(StatusCode::OK, false)),
        case.record(5, None),
    ] {
        let report = case.check(record.clone(), &[]);
        assert!(report.violations.is_empty(), "{record:?}");
    }
    Ok(())
}

#[tokio::test]
async fn other_ends_are_violations() -> Result<()> {
    let case = Case::new().await?;
    for record in [
        case.record(900, answer(StatusCode::OK, false)),
        case.record(900, answer(StatusCode::BAD_GATEWAY, true)),
        case.record(900, answer(StatusCode::GATEWAY_TIMEOUT, true)),
        case.record(900, None),
        case.record(2_000, answer(StatusCode::BAD_GATEWAY, true)),
        case.record(1_990, None),
    ] {
        let report = case.check(record.clone(), &[]);
        assert_eq!(report.violations.len(), 1, "{record:?}");
    }
    Ok(())
}

#[tokio::test]
async fn requests_that_met_another_fault_or_no_silence_are_not_checked() -> Result<()> {
    let case = Case::new().await?;
    let failed = case.record(900, answer(StatusCode::BAD_GATEWAY, true));
    let outage = Outage {
        daemon: DAEMON,
        from: case.began,
        stopped_to: case.began,
        to: case.began + Duration::from_secs(5),
    };
    assert_eq!(case.check(failed.clone(), &[outage]).checked, 0);
    let later = Duration::from_secs(2);
    let after = RequestRecord {
        at: failed.at + later,
        ended: failed.ended + later,
        ..failed.clone()
    };
    assert_eq!(case.check(after, &[]).checked, 0);
    let report = case.check(failed, &[]);
    let violation = report.violations.first().wrap_err("no violation")?;
    assert!(violation.observed.contains("502"), "{violation:?}");
    Ok(())
}
