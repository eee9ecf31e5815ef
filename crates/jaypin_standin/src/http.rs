//! The HTTP server and request helpers that the test doubles share.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// Body of every response; an error in the body closes the connection.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns the milliseconds since the Unix epoch, so that logs of several processes can be merged.
///
/// Returns 0 if the system clock is before the epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Binds a listener and returns it with its address; port 0 picks a free port.
pub async fn bind(address: &str) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Serves requests until the returned task is aborted, which closes all connections.
pub fn serve<H, F>(listener: TcpListener, handler: H) -> JoinHandle<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let _ = stream.set_nodelay(true);
                    let handler = handler.clone();
                    connections.spawn(async move {
                        let service = service_fn(move |req| {
                            let response = handler(req);
                            async move { Ok::<_, Infallible>(response.await) }
                        });
                        let _ = hyper::server::conn::http1::Builder::new()
                            .serve_connection(TokioIo::new(stream), service)
                            .await;
                    });
                }
                Some(_) = connections.join_next() => {}
            }
        }
    })
}

/// Returns a response with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(bytes))
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Returns the value of a query parameter, without percent-decoding.
pub fn query<'a>(req: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, v)| v)
}

/// Returns the value of a numeric query parameter, or 0 if it is absent or not a number.
pub fn query_number(req: &Request<Incoming>, name: &str) -> u64 {
    query(req, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or_default()
}
