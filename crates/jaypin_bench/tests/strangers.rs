//! Unauthenticated peers on the link port are rejected and counted, and get no information.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use common::{MAX_WAIT, link_count, until, until_all_alive};
use jaypin_bench::{Fleet, FleetConfig, Host};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Request that opens a WebSocket.
const UPGRADE: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n\
    Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n\
    Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
/// Upper bound in bytes on an upgrade response and one challenge.
const MAX_RESPONSE_BYTES: usize = 300;

/// Sends the HTTP header at the start of `bytes`, sends the other bytes after the response
/// header, and returns everything received until the host closes the connection.
async fn send_and_read(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let (upgrade, rest) = bytes.split_at(end.expect("a head") + 4);
    let mut stream = TcpStream::connect(to).await.expect("connected");
    stream.write_all(upgrade).await.expect("sent");
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        received.push(stream.read_u8().await.expect("an answer"));
    }
    // The host may close the connection while bytes are in transit, which is a valid response.
    let _ = stream.write_all(rest).await;
    let reading = stream.read_to_end(&mut received);
    let _ = timeout(MAX_WAIT, reading)
        .await
        .expect("closed by the host");
    received
}

fn reveals_host(received: &[u8], host: &Host) -> bool {
    let text = String::from_utf8_lossy(received);
    text.contains(&host.id) || text.contains("Hello")
}

async fn fleet() -> Fleet {
    let cfg = FleetConfig {
        hosts: 2,
        apps: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(cfg).await.expect("fleet");
    until_all_alive(&fleet).await;
    fleet
}

/// Defines a test for each case: the bytes that an unauthenticated peer sends after it opened
/// the WebSocket.
macro_rules! unauthenticated_peers {
    ($($name:ident: $bytes:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet().await;
            let host = &fleet.hosts[0];
            let before = link_count(host, "turned_away").await;
            let sent = [UPGRADE, $bytes].concat();
            let received = send_and_read(host.link, &sent).await;
            assert!(received.len() < MAX_RESPONSE_BYTES, "{} bytes", received.len());
            assert!(!reveals_host(&received, host));
            until("it is counted", || async {
                link_count(host, "turned_away").await > before
            })
            .await;
            until_all_alive(&fleet).await;
        }
    )*};
}

unauthenticated_peers! {
    a_peer_that_sends_nothing_is_rejected: b"";
    a_peer_that_sends_no_frame_is_rejected: b"\xff\xff\xff\xff\xff\xff\xff\xff";
    // A masked binary frame with the CBOR text "x".
    a_peer_that_sends_another_message_is_rejected: b"\x82\x82\x00\x00\x00\x00\x61\x78";
}

/// An attacker recorded everything that a host sent when it opened a link, and sends the same
/// bytes again. Hello and proof are genuine, but belong to another challenge, so the link
/// must be rejected.
#[tokio::test]
async fn a_replayed_hello_and_proof_are_rejected() {
    let cfg = FleetConfig {
        hosts: 2,
        apps: 0,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::prepare(cfg).await.expect("fleet");
    // Either host may dial, so both directions are recorded.
    let targets = [fleet.hosts[0].link, fleet.hosts[1].link];
    let mut records = Vec::new();
    for (host, target) in fleet.hosts.iter_mut().zip(targets) {
        let (address, sent) = start_recorder(target).await;
        host.link = address;
        records.push(sent);
    }
    fleet.publish_hosts();
    for host in &mut fleet.hosts {
        host.start().expect("started");
    }
    until_all_alive(&fleet).await;
    // More than 400 bytes contain the upgrade, hello, proof and some heartbeats.
    let is_complete = |sent: &SentBytes| sent.lock().expect("no panic").len() > 400;
    until("a recorded link", || async {
        records.iter().any(is_complete)
    })
    .await;
    let index = records.iter().position(is_complete).expect("one");
    let before = link_count(&fleet.hosts[index], "turned_away").await;
    let bytes = records[index].lock().expect("no panic").clone();
    let received = send_and_read(targets[index], &bytes).await;
    assert!(!reveals_host(&received, &fleet.hosts[index]));
    until("it is counted", || async {
        link_count(&fleet.hosts[index], "turned_away").await > before
    })
    .await;
}

/// Bytes that a dialer sent on its most recent connection.
type SentBytes = Arc<Mutex<Vec<u8>>>;

/// Starts a proxy to a host that records the bytes from the dialer of the most recent
/// connection.
async fn start_recorder(target: SocketAddr) -> (SocketAddr, SentBytes) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    let sent = SentBytes::default();
    let recorded = sent.clone();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            recorded.lock().expect("no panic").clear();
            tokio::spawn(forward(client, target, recorded.clone()));
        }
    });
    (address, sent)
}

async fn forward(client: TcpStream, target: SocketAddr, recorded: SentBytes) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    tokio::spawn(async move { copy(&mut from_server, &mut to_client).await });
    let mut buf = vec![0; 4_096];
    while let Ok(count) = from_client.read(&mut buf).await {
        if count == 0 || to_server.write_all(&buf[..count]).await.is_err() {
            return;
        }
        recorded.lock().expect("no panic").extend(&buf[..count]);
    }
}
