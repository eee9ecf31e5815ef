//! Strangers on the link port: they learn nothing, change nothing, and are counted.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use common::{MAX_WAIT, link_count, until, until_all_alive};
use jaypin_bench::{Fleet, FleetConfig, Host};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// What opens a WebSocket; the rest is up to the stranger.
const UPGRADE: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n\
    Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n\
    Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
/// Bytes of the answer to an upgrade and of one challenge, with room.
const MOST_ANSWERED: usize = 300;

/// Opens a WebSocket with the head of some bytes, says the rest once that is answered,
/// and reads until the host closes.
async fn say(to: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
    let (upgrade, rest) = bytes.split_at(end.expect("a head") + 4);
    let mut stream = TcpStream::connect(to).await.expect("connected");
    stream.write_all(upgrade).await.expect("sent");
    let mut heard = Vec::new();
    while !heard.ends_with(b"\r\n\r\n") {
        heard.push(stream.read_u8().await.expect("an answer"));
    }
    // The host may close while bytes are on their way: that is an answer, too.
    let _ = stream.write_all(rest).await;
    let reading = stream.read_to_end(&mut heard);
    let _ = timeout(MAX_WAIT, reading)
        .await
        .expect("closed by the host");
    heard
}

fn names(heard: &[u8], host: &Host) -> bool {
    let text = String::from_utf8_lossy(heard);
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

/// Names each case: what a stranger says after it opened the WebSocket.
macro_rules! stranger {
    ($($name:ident: $bytes:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet().await;
            let host = &fleet.hosts[0];
            let before = link_count(host, "turned_away").await;
            let said = [UPGRADE, $bytes].concat();
            let heard = say(host.link, &said).await;
            assert!(heard.len() < MOST_ANSWERED, "{} bytes", heard.len());
            assert!(!names(&heard, host));
            until("it is counted", || async {
                link_count(host, "turned_away").await > before
            })
            .await;
            until_all_alive(&fleet).await;
        }
    )*};
}

stranger! {
    one_that_says_nothing_is_turned_away: b"";
    one_that_sends_no_frame_is_turned_away: b"\xff\xff\xff\xff\xff\xff\xff\xff";
    // A masked binary frame with the CBOR text "x".
    one_that_sends_another_frame_is_turned_away: b"\x82\x82\x00\x00\x00\x00\x61\x78";
}

/// Somebody recorded everything that a true host sent when it made a link, and sends
/// the same bytes again. Hello and proof are genuine, but for another challenge.
#[tokio::test]
async fn a_replayed_hello_and_proof_are_worth_nothing() {
    let cfg = FleetConfig {
        hosts: 2,
        apps: 0,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::prepare(cfg).await.expect("fleet");
    // Either host may dial: both ways are recorded.
    let targets = [fleet.hosts[0].link, fleet.hosts[1].link];
    let mut records = Vec::new();
    for (host, target) in fleet.hosts.iter_mut().zip(targets) {
        let (address, said) = record(target).await;
        host.link = address;
        records.push(said);
    }
    fleet.publish_hosts();
    for host in &mut fleet.hosts {
        host.start().expect("started");
    }
    until_all_alive(&fleet).await;
    // Upgrade, hello, proof and some heartbeats.
    let whole = |said: &Said| said.lock().expect("no panic").len() > 400;
    until("a recorded link", || async { records.iter().any(whole) }).await;
    let index = records.iter().position(whole).expect("one");
    let before = link_count(&fleet.hosts[index], "turned_away").await;
    let bytes = records[index].lock().expect("no panic").clone();
    let heard = say(targets[index], &bytes).await;
    assert!(!names(&heard, &fleet.hosts[index]));
    until("it is counted", || async {
        link_count(&fleet.hosts[index], "turned_away").await > before
    })
    .await;
}

/// What a dialer said on its newest connection.
type Said = Arc<Mutex<Vec<u8>>>;

/// Passes connections on to a host and keeps what the dialer of the newest one sends.
async fn record(target: SocketAddr) -> (SocketAddr, Said) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    let said = Said::default();
    let keep = said.clone();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            keep.lock().expect("no panic").clear();
            tokio::spawn(pass(client, target, keep.clone()));
        }
    });
    (address, said)
}

async fn pass(client: TcpStream, target: SocketAddr, keep: Said) {
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
        keep.lock().expect("no panic").extend(&buf[..count]);
    }
}
