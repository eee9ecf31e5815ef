//! `GET /v1/explain/ID`, which returns to a caller the decision record of its own request.
//!
//! The response is the same for a record of another account, an evicted record and an unknown
//! id, so that no account learns of another's requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::handshake;
use hyper::header::{AUTHORIZATION, HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use jaypin_core::Ran;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Frontend;
use super::read_request::authenticate;
use crate::answer::{AnswerBody, json, rejected};
use crate::decisions::RequestOwner;
use crate::snapshot::Snapshot;

/// Path prefix of decision records; the request id follows it.
pub const EXPLAIN_PATH: &str = "/v1/explain/";
/// Longest time for the host that owns the request to respond.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest record, in bytes.
const MAX_RECORD: usize = 256 * 1024;
/// Header of a request that another host forwarded, which is not forwarded again.
const FORWARDED: &str = "x-jaypin-passed-on";

impl Frontend {
    /// Responds with the record of a request of the caller's account, which is fetched from
    /// the host that owns the request if that is another one.
    pub(super) async fn explain(
        &self,
        headers: &HeaderMap,
        path: &str,
        snapshot: &Snapshot,
    ) -> Response<AnswerBody> {
        let caller = match authenticate(headers, &snapshot.rules) {
            Ok(caller) => caller,
            Err(error) => return error.answer(false),
        };
        let id = &path[EXPLAIN_PATH.len()..];
        let own = self.shared.decisions.find(id);
        if let Some(body) = own.filter(|body| body.account == *caller.account) {
            return json(StatusCode::OK, &body.for_caller());
        }
        let owner =
            RequestOwner::from_request_id(id).filter(|owner| owner.host != &*self.shared.host);
        let address = owner.and_then(|owner| {
            let mut hosts = snapshot.hosts.hosts.iter();
            let record = hosts.find(|host| &*host.id == owner.host)?;
            record.address.parse::<SocketAddr>().ok()
        });
        match (address, headers.get(AUTHORIZATION)) {
            (Some(address), Some(credential)) if !headers.contains_key(FORWARDED) => {
                let fetched =
                    timeout(OWNER_TIMEOUT, fetch_from_owner(address, path, credential)).await;
                fetched.ok().flatten().unwrap_or_else(record_not_found)
            }
            _ => record_not_found(),
        }
    }
}

fn record_not_found() -> Response<AnswerBody> {
    let message = "no request of yours with this id is remembered";
    rejected(StatusCode::NOT_FOUND, "no-record", Ran::NotRun, message)
}

/// Fetches the record from its owner with the caller's credential, so that the owner decides
/// what the caller may see.
async fn fetch_from_owner(
    address: SocketAddr,
    path: &str,
    credential: &HeaderValue,
) -> Option<Response<AnswerBody>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let req = Request::get(path)
        .header(HOST, address.to_string())
        .header(AUTHORIZATION, credential)
        .header(FORWARDED, "1")
        .body(Empty::<Bytes>::new())
        .ok()?;
    let (head, body) = sender.send_request(req).await.ok()?.into_parts();
    let body = Limited::new(body, MAX_RECORD).collect().await.ok()?;
    let value: serde_json::Value = serde_json::from_slice(&body.to_bytes()).ok()?;
    Some(json(head.status, &value))
}
