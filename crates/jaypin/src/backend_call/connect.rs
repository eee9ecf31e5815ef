//! Connections to backend servers, and small requests that each use their own connection.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response};
use jaypin_http::{ConnectError, ConnectTimeouts, Sender};
use tokio::time::timeout;

/// Longest times for a connection to be established and for sent bytes to be
/// acknowledged.
const CONNECT_TIMEOUTS: ConnectTimeouts = ConnectTimeouts {
    connect: Duration::from_secs(1),
    unacknowledged: Duration::from_secs(5),
};
/// Longest time for the response head of a request that takes the backend server no work.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a connection and spawns the task that drives it.
pub async fn connect(address: &str) -> Result<Sender, ConnectError> {
    let (sender, driver) = jaypin_http::connect(address, CONNECT_TIMEOUTS).await?;
    tokio::spawn(driver);
    Ok(sender)
}

/// Sends a request without a body on a new connection; returns `None` if no response head
/// arrives in time.
pub async fn request(
    address: &str,
    method: Method,
    path: &str,
) -> Result<Option<Response<Incoming>>, ConnectError> {
    let mut sender = connect(address).await?;
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse().unwrap_or_default();
    if let Ok(host) = HeaderValue::from_str(address) {
        req.headers_mut().insert(HOST, host);
    }
    let response = timeout(HEAD_TIMEOUT, sender.send_request(req)).await;
    Ok(response.ok().and_then(Result::ok))
}
