//! Proxies that spoil what passes between two processes: [`TcpFaultProxy`] and [`DatagramFaultProxy`].
//! Test equipment; both are changed by handle or on a control listener.

mod datagram;
mod tcp;

use std::sync::Arc;

use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use ponddrift_http::Body;
use serde::{Deserialize, Serialize};

use crate::server::{Answer, Refused, StandIn, json_ok, not_found, read_json, text_response};

pub use datagram::{DatagramControl, DatagramCounters, DatagramFaultProxy, DatagramFaults};
pub use tcp::{TcpControl, TcpCounters, TcpFaultProxy, TcpFaults};

/// `GET`, `POST` on the control listener: the faults in force.
pub const FAULTS_PATH: &str = "/faults";
/// `GET` on the control listener: what passed.
pub const COUNTERS_PATH: &str = "/test/counters";
/// `POST` on the control listener of a TCP proxy: ends all connections in order, after what was read.
pub const CUT_PATH: &str = "/cut";
/// `POST` on the control listener of a TCP proxy: drops all connections with what they hold.
pub const RESET_PATH: &str = "/reset";

/// Which way nothing passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Block {
    /// Everything passes.
    #[default]
    None,
    /// Nothing from the caller reaches the target.
    ToTarget,
    /// Nothing from the target reaches the caller.
    ToCaller,
    /// Nothing passes.
    Both,
}

/// Direction of a byte or datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

impl Block {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Self::None => false,
            Self::Both => true,
            Self::ToTarget => direction == Direction::ToTarget,
            Self::ToCaller => direction == Direction::ToCaller,
        }
    }
}

/// Control listener of either proxy.
enum ProxyControl {
    Tcp(TcpControl),
    Datagram(DatagramControl),
}

impl ProxyControl {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Body>, Refused> {
        let path = request.uri().path().to_owned();
        let is_post = request.method() == Method::POST;
        match (self, path.as_str()) {
            (Self::Tcp(control), FAULTS_PATH) if is_post => {
                control.set(read_json(request).await?);
            }
            (Self::Tcp(control), FAULTS_PATH) => return Ok(json_ok(&control.get())),
            (Self::Tcp(control), COUNTERS_PATH) => return Ok(json_ok(&control.counters())),
            (Self::Tcp(control), CUT_PATH) if is_post => control.cut(),
            (Self::Tcp(control), RESET_PATH) if is_post => control.reset(),
            (Self::Datagram(control), FAULTS_PATH) if is_post => {
                control.set(read_json(request).await?);
            }
            (Self::Datagram(control), FAULTS_PATH) => return Ok(json_ok(&control.get())),
            (Self::Datagram(control), COUNTERS_PATH) => return Ok(json_ok(&control.counters())),
            _ => return Err(not_found(&path).into()),
        }
        Ok(text_response(StatusCode::OK, "done\n"))
    }
}

impl StandIn for ProxyControl {
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Answer> {
        Box::pin(async move {
            let answer = Self::answer(&self, request).await;
            Ok(answer.unwrap_or_else(Refused::into_response))
        })
    }
}
