//! Stand-in of a plain back end that writes its answers byte by byte as a test says.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use ponddrift_platform_stand_ins::StoreStandIn;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::free_address;

/// A request that a back end has read.
#[derive(Debug, Clone)]
pub struct BackEndRequest {
    /// Its request ID.
    pub id: String,
    /// Its request line and headers.
    pub head: String,
}

/// What a back end reads before its script runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    WholeRequest,
    Head,
}

/// A back end on loopback.
pub struct RawBackEnd {
    id: String,
    address: SocketAddr,
    requests: Arc<Mutex<Vec<BackEndRequest>>>,
    open: Arc<AtomicUsize>,
}

/// Head of a signed answer; `framing` holds further header lines, each with its line break.
pub fn answer_head(request: &BackEndRequest, framing: &str) -> String {
    let id = &request.id;
    format!(
        "HTTP/1.1 200 OK\r\nponddrift-request-id: {id}\r\n\
         ponddrift-response-signature: signed-by-raw\r\n{framing}\r\n"
    )
}

impl RawBackEnd {
    /// Starts a back end that answers health checks, and hands the connection of every other request
    /// to `script`. The connection closes when the script returns `None`.
    pub async fn start<S, F>(id: &str, script: S) -> Self
    where
        S: Fn(BackEndRequest, TcpStream) -> F + Send + Sync + 'static,
        F: Future<Output = Option<TcpStream>> + Send + 'static,
    {
        Self::start_reading(id, Reading::WholeRequest, script).await
    }

    /// Like [`Self::start`]; the script gets the connection before the body of the request was read.
    pub async fn start_before_bodies<S, F>(id: &str, script: S) -> Self
    where
        S: Fn(BackEndRequest, TcpStream) -> F + Send + Sync + 'static,
        F: Future<Output = Option<TcpStream>> + Send + 'static,
    {
        Self::start_reading(id, Reading::Head, script).await
    }

    async fn start_reading<S, F>(id: &str, reading: Reading, script: S) -> Self
    where
        S: Fn(BackEndRequest, TcpStream) -> F + Send + Sync + 'static,
        F: Future<Output = Option<TcpStream>> + Send + 'static,
    {
        let address = free_address();
        let listener = TcpListener::bind(address).await.expect("a free port");
        let back_end = Self {
            id: id.to_owned(),
            address,
            requests: Arc::default(),
            open: Arc::default(),
        };
        let requests = Arc::clone(&back_end.requests);
        let open = Arc::clone(&back_end.open);
        let identity = id.to_owned();
        let script = Arc::new(script);
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                let (requests, open) = (Arc::clone(&requests), Arc::clone(&open));
                let (identity, script) = (identity.clone(), Arc::clone(&script));
                open.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    serve(stream, &identity, reading, &requests, &*script).await;
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        back_end
    }

    /// Starts a back end that answers every request with `bytes` bytes.
    pub async fn with_answers_of(id: &str, bytes: usize) -> Self {
        Self::start(id, move |request, mut stream| async move {
            let head = answer_head(&request, &format!("content-length: {bytes}\r\n"));
            stream.write_all(head.as_bytes()).await.ok()?;
            stream.write_all(&vec![b'x'; bytes]).await.ok()?;
            Some(stream)
        })
        .await
    }

    /// Writes its entry to the store.
    pub fn register(&self, store: &StoreStandIn, service: &str, stage: Option<&str>) {
        let mut entry = json!({
            "service": service, "address": self.address.to_string(), "zone": "a", "version": "v1",
            "slots": 64, "state": "ready", "coldRemainingMs": 0, "sequence": 0,
        });
        if let Some(stage) = stage {
            entry["stage"] = json!(stage);
        }
        store.put(&format!("servers/{}", self.id), entry.to_string());
    }

    /// The requests that it has read, without health checks.
    pub fn requests(&self) -> Vec<BackEndRequest> {
        self.requests.lock().expect("no holder panics").clone()
    }

    /// Its open connections.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

async fn serve<S, F>(
    mut stream: TcpStream,
    identity: &str,
    reading: Reading,
    requests: &Mutex<Vec<BackEndRequest>>,
    script: &S,
) where
    S: Fn(BackEndRequest, TcpStream) -> F,
    F: Future<Output = Option<TcpStream>>,
{
    loop {
        let Some(head) = read_request(&mut stream, reading).await else {
            return;
        };
        if head.contains(" /health ") {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nponddrift-instance-id: {identity}\r\ncontent-length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let id = header(&head, "ponddrift-request-id").unwrap_or_default();
        let request = BackEndRequest { id, head };
        requests
            .lock()
            .expect("no holder panics")
            .push(request.clone());
        match script(request, stream).await {
            Some(kept) => stream = kept,
            None => return,
        }
    }
}

/// Reads one request; `None` if the connection ends.
async fn read_request(stream: &mut TcpStream, reading: Reading) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    if reading == Reading::Head {
        return Some(head);
    }
    let length = header(&head, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
