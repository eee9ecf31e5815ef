//! Connections to backend servers and the small requests made on them.

use std::io::ErrorKind;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest time to open a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for the head of an answer that needs no work.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a backend server was not reached; no byte of a request left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreached {
    /// Nothing listens at its address: its process is gone.
    Refused,
    /// The connection could not be made for another reason.
    Failed,
}

/// Opens a connection.
pub async fn connect(address: &str) -> Result<SendRequest<Full<Bytes>>, Unreached> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(Unreached::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(Unreached::Failed),
    };
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|_| Unreached::Failed)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Makes a request without a body on a connection of its own; gives nothing when no
/// head came in time.
pub async fn request(
    address: &str,
    method: Method,
    path: &str,
) -> Result<Option<Response<Incoming>>, Unreached> {
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
