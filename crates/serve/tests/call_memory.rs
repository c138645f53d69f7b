//! Calls to back ends while all memory of this daemon is in use: that says nothing about a back end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, header};
use ponddrift_http::body;
use ponddrift_http::memory::{MemoryBudget, SMALL_BYTES};
use ponddrift_runtime::Runtime;
use ponddrift_serving::connections::{CallError, Connections};
use ponddrift_serving::metrics::Metrics;
use ponddrift_serving::pipeline::SendPermit;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const MAX_CONNECTIONS: u32 = 8;
/// Ends a call that hangs; no check depends on it otherwise.
const HANG_LIMIT: Duration = Duration::from_secs(60);

/// Starts a server that answers each connection with these bytes.
async fn answering_server(answer: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("the bound address");
    tokio::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let mut request = [0; 1024];
            // The answer does not depend on the request.
            drop(stream.read(&mut request).await);
            drop(stream.write_all(answer.as_bytes()).await);
        }
    });
    address
}

async fn call(connections: &Arc<Connections>, address: SocketAddr) -> Result<(), CallError> {
    let request = Request::get("/health")
        .header(header::HOST, address.to_string())
        .body(body::empty())
        .expect("a valid request");
    let permit = SendPermit::control_call();
    let answer = connections.call(permit, address, MAX_CONNECTIONS, request, HANG_LIMIT);
    answer.await.map(drop)
}

#[tokio::test]
async fn a_lack_of_memory_does_not_count_as_a_broken_answer() {
    let small_body = String::from("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let large_head = format!(
        "HTTP/1.1 200 OK\r\nx-field: {}\r\ncontent-length: 0\r\n\r\n",
        "x".repeat(20 << 10)
    );
    for answer in [small_body, large_head] {
        let address = answering_server(answer).await;
        let memory = MemoryBudget::new(SMALL_BYTES);
        let metrics = Arc::new(Metrics::default());
        let connections = Connections::to_back_ends(Runtime::system(5), metrics, memory.clone());
        assert_eq!(call(&connections, address).await, Ok(()));
        let others = memory.reserve();
        others.grow_to(SMALL_BYTES).expect("all of it is free");
        let error = call(&connections, address).await.expect_err("no memory");
        assert_eq!(error, CallError::NoMemory);
        drop(others);
        assert_eq!(call(&connections, address).await, Ok(()));
    }
}
