//! `GET /v1/explain/ID`: a caller asks for the record of its own request.
//!
//! A record of another account, one that is gone and one that never was get the same
//! answer, so nobody learns of another's requests.

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

/// Path below which callers find their records.
pub const EXPLAIN: &str = "/v1/explain/";
/// Time for the owner to answer.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest record, in bytes.
const MAX_RECORD: usize = 256 * 1024;
/// Header of a question that another host passed on, so that it goes no further.
const PASSED_ON: &str = "x-jaypin-passed-on";

impl Frontend {
    /// Answers with the record of a request of the caller's account.
    pub(super) async fn own_record(
        &self,
        headers: &HeaderMap,
        path: &str,
        snapshot: &Snapshot,
    ) -> Response<AnswerBody> {
        let caller = match authenticate(headers, &snapshot.rules) {
            Ok(caller) => caller,
            Err(error) => return error.answer(false),
        };
        let id = &path[EXPLAIN.len()..];
        let own = self.shared.decisions.find(id);
        if let Some(body) = own.filter(|body| body.account == *caller.account) {
            return json(StatusCode::OK, &body.for_caller());
        }
        let owner = RequestOwner::of(id).filter(|owner| owner.host != &*self.shared.host);
        let address = owner.and_then(|owner| {
            let mut hosts = snapshot.hosts.hosts.iter();
            let record = hosts.find(|host| &*host.id == owner.host)?;
            record.address.parse::<SocketAddr>().ok()
        });
        match (address, headers.get(AUTHORIZATION)) {
            (Some(address), Some(credential)) if !headers.contains_key(PASSED_ON) => {
                let asked = timeout(OWNER_TIMEOUT, ask_owner(address, path, credential)).await;
                asked.ok().flatten().unwrap_or_else(none_of_yours)
            }
            _ => none_of_yours(),
        }
    }
}

fn none_of_yours() -> Response<AnswerBody> {
    let message = "no request of yours with this id is remembered";
    rejected(StatusCode::NOT_FOUND, "no-record", Ran::NotRun, message)
}

/// Asks the owner with the caller's own credential, so the owner decides what it sees.
async fn ask_owner(
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
        .header(PASSED_ON, "1")
        .body(Empty::<Bytes>::new())
        .ok()?;
    let (head, body) = sender.send_request(req).await.ok()?.into_parts();
    let body = Limited::new(body, MAX_RECORD).collect().await.ok()?;
    let value: serde_json::Value = serde_json::from_slice(&body.to_bytes()).ok()?;
    Some(json(head.status, &value))
}
