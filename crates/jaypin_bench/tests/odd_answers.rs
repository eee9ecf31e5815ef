//! Responses of backend servers that are none in the protocol.

mod support;

use std::net::SocketAddr;

use hyper::StatusCode;
use jaypin_bench::Fleet;
use support::{fleet, key_from, open_gate, reason_and_outcome, spec, yilan};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Starts a server that answers every request with these bytes.
async fn raw_server(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(answer(stream, head));
        }
    });
    address
}

async fn answer(stream: TcpStream, head: &str) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let Some((name, value)) = line.split_once(": ") else {
            if line.trim().is_empty() {
                break;
            }
            continue;
        };
        if name == "content-length" {
            length = value.trim().parse().unwrap_or_default();
        }
    }
    stream.read_exact(&mut vec![0; length]).await?;
    stream.get_mut().write_all(head.as_bytes()).await?;
    stream.get_mut().shutdown().await
}

/// Starts a fleet that has one backend server of a plain service.
async fn fleet_before(head: &'static str) -> Fleet {
    let address = raw_server(head).await;
    fleet(vec![spec("app-0", address, "robots")]).await
}

/// Checks that a call that may not be repeated ends as one whose outcome is unknown.
async fn check_call(fleet: &Fleet) {
    let host = &fleet.hosts[0];
    let key = key_from(host, "gate").await;
    let answer = open_gate(&yilan(host.address), &key).await;
    let answer = answer.expect("a response");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
    assert_eq!(reason_and_outcome(&answer).1, "unknown");
}

macro_rules! statuses {
    ($($name:ident: $status:literal;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                const HEAD: &str = concat!(
                    "HTTP/1.1 ", $status, " any\r\ncontent-length: 4\r\n\r\ndone"
                );
                check_call(&fleet_before(HEAD).await).await;
            }
        )*
    };
}

// Guards against bytes of a faulty backend server that callers get as an answer.
statuses! {
    status_000: "000";
    status_999: "999";
    a_switch_of_protocols_that_nobody_asked_for: "101";
}
