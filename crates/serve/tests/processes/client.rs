//! Clients that write their requests and read their answers byte by byte.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// A request line with the headers of these tests; `framing` holds further header lines, each with
/// its line break.
pub fn request_head(route: &str, id: &str, framing: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nhost: fleet.example\r\nponddrift-request-id: {id}\r\n\
         ponddrift-deadline-ms: 600000\r\n{framing}\r\n"
    )
}

/// Requests on connections of their own.
pub struct RawClient;

impl RawClient {
    /// Sends these bytes on a new connection and returns the answer up to its head; `None` if the
    /// connection ends before.
    pub async fn exchange(target: SocketAddr, request: &[u8]) -> Option<String> {
        let mut stream = TcpStream::connect(target).await.ok()?;
        stream.write_all(request).await.ok()?;
        read_head(&mut stream).await
    }

    /// Whether a `GET` is answered with 200.
    pub async fn get_ok(target: SocketAddr, path: &str) -> bool {
        let request = format!("GET {path} HTTP/1.1\r\nhost: status\r\n\r\n");
        let answer = Self::exchange(target, request.as_bytes()).await;
        answer.is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
    }
}

/// Reads the head of an answer byte by byte, so that nothing of the body is lost.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// A client that has read the head of its answer and leaves the body unread for now.
pub struct SlowReader {
    stream: TcpStream,
    pub head: String,
}

impl SlowReader {
    /// Sends a request and reads the head of its answer; `None` if the connection ends before.
    pub async fn open(target: SocketAddr, request: &str) -> Option<Self> {
        /// Small, so that the unread answer stays with the daemon.
        const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
        let mut stream = socket.connect(target).await.ok()?;
        stream.write_all(request.as_bytes()).await.ok()?;
        let head = read_head(&mut stream).await?;
        Some(Self { stream, head })
    }

    /// Reads until the answer has `length` bytes or the connection ends; returns the bytes read.
    pub async fn read_rest(mut self, length: usize) -> usize {
        let mut buffer = vec![0; 16 << 10];
        let mut count = 0;
        while count < length {
            match self.stream.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(read) => count += read,
            }
        }
        count
    }
}
