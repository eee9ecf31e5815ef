//! Errors of opening a connection, which decide whether a request is sent again.

use std::time::Duration;

use jaypin_http::{ConnectError, ConnectTimeouts, connect, open_stream};
use socket2::SockRef;
use tokio::net::TcpListener;

const LIMITS: ConnectTimeouts = ConnectTimeouts {
    connect: Duration::from_millis(500),
    unacknowledged: Duration::from_secs(1),
};

/// If a backend server's process has exited while its machine runs, the system refuses the
/// connection at once. Users of `connect` distinguish this from a lost packet: only an exited
/// process has certainly stopped working on its requests.
#[tokio::test]
async fn address_without_a_listener_refuses() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let result = connect(&address, LIMITS).await;
    assert!(matches!(result, Err(ConnectError::Refused)), "{result:?}");
}

#[tokio::test]
async fn listener_accepts_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    assert!(connect(&address, LIMITS).await.is_ok());
}

#[tokio::test]
async fn invalid_address_fails() {
    let result = connect("no address", LIMITS).await;
    assert!(
        matches!(result, Err(ConnectError::Failed { .. })),
        "{result:?}"
    );
}

/// Guards against connections that close although only one keep-alive probe was lost: on Linux, the
/// user timeout decides that and not the number of probes.
#[tokio::test]
async fn an_idle_connection_outlives_a_lost_probe() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let limits = ConnectTimeouts {
        unacknowledged: Duration::from_millis(2_500),
        ..LIMITS
    };
    let stream = open_stream(&address, limits).await.unwrap();
    let socket = SockRef::from(&stream);
    let second_probe =
        socket.tcp_keepalive_time().unwrap() + socket.tcp_keepalive_interval().unwrap();
    let closes_after = socket.tcp_user_timeout().unwrap().unwrap();
    assert!(
        closes_after > second_probe,
        "{closes_after:?}, {second_probe:?}"
    );
    assert!(limits.tolerates_a_lost_probe());
    assert!(!LIMITS.tolerates_a_lost_probe());
}
