//! Tests that the proxy only injects faults that can occur on a TCP connection.

use std::time::Duration;

use jaypin_standin::{Proxy, ProxyMode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time after which a byte that hasn't arrived over the loopback address counts as lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(300);

/// Guards against a proxy that forwards bytes after it has dropped earlier ones: a client would
/// accept a response with a gap as complete, which can't happen on a TCP connection.
#[tokio::test]
async fn no_byte_arrives_after_a_lost_byte() {
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
    let lost = timeout(LOSS_TIMEOUT, client.read(&mut byte)).await;
    assert!(lost.is_err(), "the second byte was not lost");
    proxy.set(ProxyMode::Pass);
    server.write_all(b"c").await.expect("written");
    let late = timeout(LOSS_TIMEOUT, client.read(&mut byte)).await;
    assert!(late.is_err(), "a byte arrived after a lost one");
    client.write_all(b"d").await.expect("written");
    server
        .read_exact(&mut byte)
        .await
        .expect("bytes in the other direction arrive");
    assert_eq!(&byte, b"d");
}
