//! The small requests made on connections of their own.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response};
use jaypin_http::{ConnectError, ConnectTimeouts, Sender};
use tokio::time::timeout;

/// How long a backend server may take to be connected to, and to acknowledge bytes.
const LIMITS: ConnectTimeouts = ConnectTimeouts {
    connect: Duration::from_secs(1),
    unacknowledged: Duration::from_secs(5),
};
/// Longest time for the head of an answer that needs no work.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens a connection.
pub async fn connect(address: &str) -> Result<Sender, ConnectError> {
    let (sender, driver) = jaypin_http::connect(address, LIMITS).await?;
    tokio::spawn(driver);
    Ok(sender)
}

/// Makes a request without a body on a connection of its own; gives nothing when no
/// head came in time.
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
