//! The fault proxy makes faults that a TCP connection can have, and no others.

use std::time::Duration;

use jaypin_standin::{Proxy, ProxyMode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time in which a byte would have come through the loopback address.
const SILENCE: Duration = Duration::from_millis(300);

/// A byte that is lost on its way may not be followed by a later one: a caller would take
/// an answer with a hole for a whole one, which no TCP connection can bring about.
#[tokio::test]
async fn nothing_follows_a_lost_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let target = listener.local_addr().expect("an address");
    let proxy = Proxy::start("127.0.0.1:0", target).await.expect("a proxy");
    let mut client = TcpStream::connect(proxy.address).await.expect("connected");
    let (mut server, _) = listener.accept().await.expect("accepted");
    let mut byte = [0; 1];
    server.write_all(b"a").await.expect("written");
    client.read_exact(&mut byte).await.expect("the first byte");
    proxy.set(ProxyMode::BlackholeDown);
    server.write_all(b"b").await.expect("written");
    let lost = timeout(SILENCE, client.read(&mut byte)).await;
    assert!(lost.is_err(), "the second byte was not lost");
    proxy.set(ProxyMode::Pass);
    server.write_all(b"c").await.expect("written");
    let late = timeout(SILENCE, client.read(&mut byte)).await;
    assert!(late.is_err(), "a byte came behind a lost one");
    client.write_all(b"d").await.expect("written");
    server
        .read_exact(&mut byte)
        .await
        .expect("the other way passes");
    assert_eq!(&byte, b"d");
}
