//! Why a connection is not made decides what becomes of the request.

use std::time::Duration;

use jaypin_http::{ConnectError, ConnectTimeouts, connect};
use tokio::net::TcpListener;

const LIMITS: ConnectTimeouts = ConnectTimeouts {
    connect: Duration::from_millis(500),
    unacknowledged: Duration::from_secs(1),
};

/// A backend server's process died, its host lives: the system refuses at once. Callers
/// of `connect` tell this from a lost packet, since only a process that is gone has
/// surely stopped working on what it had.
#[tokio::test]
async fn an_address_without_a_listener_refuses() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let made = connect(&address, LIMITS).await;
    assert!(matches!(made, Err(ConnectError::Refused)), "{made:?}");
}

#[tokio::test]
async fn a_listener_gives_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    assert!(connect(&address, LIMITS).await.is_ok());
}

#[tokio::test]
async fn an_address_that_is_none_fails() {
    let made = connect("no address", LIMITS).await;
    assert!(matches!(made, Err(ConnectError::Failed { .. })), "{made:?}");
}
