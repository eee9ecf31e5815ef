//! Faulty and malicious callers get a clear error, or their connection is closed within a
//! bounded time, and the host continues to serve others.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use jaypin_bench::{Client, Fleet, FleetConfig, completion_body};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout for a host to close a connection; the host's own limits are shorter.
const DROP_TIMEOUT: Duration = Duration::from_mins(1);

async fn small_fleet() -> Fleet {
    let cfg = FleetConfig {
        hosts: 1,
        ..FleetConfig::default()
    };
    Fleet::start(cfg).await.expect("fleet")
}

async fn assert_serves(address: SocketAddr) {
    let client = Client::new(address, "farm-yilan-secret");
    let body = completion_body("cow-small", "still there?", 3, true);
    let answer = client.complete(&body, &[]).await.expect("an answer");
    assert!(answer.done);
}

/// Defines a test for each case: a wrong request, and the status and reason of its response.
macro_rules! refused {
    ($($name:ident: $method:expr, $path:expr, $body:expr => $status:expr, $reason:expr;)*) => {
        $(#[tokio::test]
        async fn $name() {
            let fleet = small_fleet().await;
            let client = Client::new(fleet.hosts[0].address, "farm-yilan-secret");
            let answer = client.call($method, $path, &[], $body).await.expect("an answer");
            assert_eq!(answer.status, $status);
            assert_eq!(answer.json()["reason"], $reason);
            assert_eq!(answer.json()["outcome"], "not-run");
            assert_serves(fleet.hosts[0].address).await;
        })*
    };
}

refused! {
    broken_json: Method::POST, "/v1/chat/completions", Bytes::from_static(b"{\"model\": ")
        => StatusCode::BAD_REQUEST, "not-json";
    wrong_method: Method::GET, "/v1/chat/completions", Bytes::new()
        => StatusCode::METHOD_NOT_ALLOWED, "wrong-method";
    unknown_path: Method::GET, "/v1/secrets", Bytes::new()
        => StatusCode::NOT_FOUND, "no-such-path";
    unknown_model: Method::POST, "/v1/chat/completions", Bytes::from_static(b"{\"model\":\"x\"}")
        => StatusCode::NOT_FOUND, "no-such-model";
    oversized_body: Method::POST, "/v1/chat/completions", Bytes::from(vec![b' '; 5 << 20])
        => StatusCode::PAYLOAD_TOO_LARGE, "too-large";
    a_call_that_may_not_be_repeated_without_a_key: Method::POST, "/v1/services/robots/gate", Bytes::new()
        => StatusCode::BAD_REQUEST, "key-missing";
}

#[tokio::test]
async fn an_unknown_tier_is_refused() {
    let fleet = small_fleet().await;
    let client = Client::new(fleet.hosts[0].address, "farm-yilan-secret");
    let body = completion_body("cow-small", "hello", 3, false);
    let answer = client
        .complete(&body, &[("x-jaypin-tier", "mine")])
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert_eq!(answer.json()["reason"], "no-such-tier");
}

#[tokio::test]
async fn an_oversized_header_is_dropped() {
    let fleet = small_fleet().await;
    let address = fleet.hosts[0].address;
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream
        .write_all(b"GET /v1/entry HTTP/1.1\r\nx: ")
        .await
        .expect("written");
    // The host may close before it has read everything.
    let _ = stream.write_all(&vec![b'a'; 1 << 20]).await;
    assert_dropped(&mut stream).await;
    assert_serves(address).await;
}

/// A caller sends half a header and nothing more. Others are served meanwhile, and its
/// connection is closed after the header timeout. Without the timeout it would stay open
/// forever, and enough of such connections would block the host.
#[tokio::test]
async fn an_unfinished_header_is_dropped() {
    let fleet = small_fleet().await;
    let address = fleet.hosts[0].address;
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream
        .write_all(b"GET /v1/entry HTTP/1.1\r\nho")
        .await
        .expect("written");
    assert_serves(address).await;
    assert_dropped(&mut stream).await;
}

/// A caller announces a body, sends a part of it and nothing more. It gets a 408 after the
/// body timeout; others are served meanwhile.
#[tokio::test]
async fn an_unfinished_body_is_dropped() {
    let fleet = small_fleet().await;
    let address = fleet.hosts[0].address;
    let mut stream = TcpStream::connect(address).await.expect("connection");
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\
                authorization: Bearer farm-yilan-secret\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.expect("written");
    assert_serves(address).await;
    let mut buf = [0; 12];
    let read = tokio::time::timeout(DROP_TIMEOUT, stream.read_exact(&mut buf)).await;
    read.expect("in time").expect("an answer");
    assert_eq!(&buf, b"HTTP/1.1 408");
}

/// A caller opens 10,000 connections that send nothing. Each new connection beyond the limit
/// closes the oldest idle one, so a caller that sends a request is served at once. With a
/// plain limit on connections, it would be rejected until the header timeout.
#[tokio::test]
async fn ten_thousand_silent_connections_do_not_block_other_callers() {
    rlimit::increase_nofile_limit(12_000).expect("enough open files");
    let fleet = small_fleet().await;
    let address = fleet.hosts[0].address;
    let mut silent = Vec::new();
    for count in 0..10_000 {
        silent.push(TcpStream::connect(address).await.expect("connection"));
        if count % 1_000 == 999 {
            assert_serves(address).await;
        }
    }
    assert_dropped(&mut silent[0]).await;
    assert_serves(address).await;
}

async fn assert_dropped(stream: &mut TcpStream) {
    let read = async {
        let mut buf = [0; 4_096];
        while let Ok(count) = stream.read(&mut buf).await {
            if count == 0 {
                return;
            }
        }
    };
    tokio::time::timeout(DROP_TIMEOUT, read)
        .await
        .expect("the host closes the connection");
}
