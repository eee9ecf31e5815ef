//! Responses that are none in the protocol, and bytes without end, from backend servers and the platform.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use hyper::StatusCode;
use jaypin_bench::load::resident_kib;
use jaypin_bench::{Fleet, Host};
use support::{fleet, key_from, open_gate, reason_and_outcome, spec, yilan};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Memory that a host may use, in KiB.
const MEMORY_KIB: u64 = 182 * 1024;
/// Bytes without end come in blocks of this size, with a pause after each.
const BLOCK_BYTES: usize = 1024 * 1024;
const PAUSE: Duration = Duration::from_millis(10);
/// Time in which more bytes come than the host has memory.
const ENDLESS_TIME: Duration = Duration::from_secs(6);

/// Starts a server that answers every request with these bytes, and then with a body without end if
/// `is_endless`.
async fn raw_server(head: &'static str, is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(answer(stream, head, is_endless));
        }
    });
    address
}

async fn answer(stream: TcpStream, head: &str, is_endless: bool) -> std::io::Result<()> {
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
    if !is_endless {
        return stream.get_mut().shutdown().await;
    }
    let block = vec![b'1'; BLOCK_BYTES];
    loop {
        stream.get_mut().write_all(&block).await?;
        sleep(PAUSE).await;
    }
}

/// Starts a fleet that has one backend server of a plain service.
async fn fleet_before(head: &'static str, is_endless: bool) -> Fleet {
    let address = raw_server(head, is_endless).await;
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

fn check_memory(host: &Host) {
    let pid = host.pid().expect("a running host");
    let (_, peak) = resident_kib(pid).expect("a running host");
    assert!(peak < MEMORY_KIB, "used {peak} KiB of {MEMORY_KIB}");
}

macro_rules! statuses {
    ($($name:ident: $status:literal;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                const HEAD: &str = concat!(
                    "HTTP/1.1 ", $status, " any\r\ncontent-length: 4\r\n\r\ndone"
                );
                check_call(&fleet_before(HEAD, false).await).await;
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

/// Guards against a host that runs out of memory because a backend server's response has no end.
#[tokio::test]
async fn bodies_without_end_are_bounded() {
    let fleet = fleet_before("HTTP/1.1 200 OK\r\n\r\n", true).await;
    check_call(&fleet).await;
    check_memory(&fleet.hosts[0]);
}

/// Guards against a host that runs out of memory because an engine's load report has no end.
#[tokio::test]
async fn load_reports_without_end_are_bounded() {
    let address = raw_server("HTTP/1.1 200 OK\r\n\r\n", true).await;
    let fleet = fleet(vec![spec("engine-0", address, "chat")]).await;
    sleep(ENDLESS_TIME).await;
    for host in &fleet.hosts {
        check_memory(host);
    }
}

/// Guards against a host that runs out of memory because a response of the platform has no end.
#[tokio::test]
async fn responses_of_the_platform_without_end_are_bounded() {
    let address = raw_server("HTTP/1.1 200 OK\r\nx-version: 9\r\n\r\n\"", true).await;
    let mut fleet = fleet(Vec::new()).await;
    let platform = fleet.platform.address.to_string();
    let host = &mut fleet.hosts[0];
    host.kill();
    host.edit_settings(|text| text.replace(&platform, &address.to_string()))
        .expect("settings");
    host.start().expect("a host process");
    sleep(ENDLESS_TIME).await;
    check_memory(host);
}
