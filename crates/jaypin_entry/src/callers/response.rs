//! Responses that this host generates.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use jaypin_core::{Ran, Reason, Refusal};
use jaypin_router::Unrouted;
use serde::Serialize;

use super::read_request::ReadError;
use crate::admission::HeldBody;

/// Body of every response; an error in it aborts the connection.
pub type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;
/// The response type of all servers.
pub type HttpResponse = Response<ResponseBody>;

/// JSON body of the response to a request that did not succeed.
#[derive(Debug, Serialize)]
struct RefusalBody {
    reason: &'static str,
    outcome: &'static str,
}

/// Returns a body of the given bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    whole_body(HeldBody::from(bytes.into()))
}

/// Returns a body that is available as a whole.
pub fn whole_body(body: HeldBody) -> ResponseBody {
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response with a status and an empty body.
pub fn empty_response(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = status;
    response
}

/// Returns a response with status 200 and the given bytes.
pub fn bytes_response(bytes: impl Into<Bytes>) -> HttpResponse {
    Response::new(full_body(bytes))
}

/// Returns the response to a request that the reducer refused.
pub fn refusal_response(refusal: &Refusal) -> HttpResponse {
    let body = RefusalBody {
        reason: refusal.reason.as_str(),
        outcome: refusal.ran.as_str(),
    };
    let mut response = json(status_of(refusal), &body);
    if let Some(wait) = refusal.retry_after {
        set_retry_after(&mut response, wait);
    }
    response
}

fn set_retry_after(response: &mut HttpResponse, wait: Duration) {
    let seconds = format!("{:.3}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
}

/// Returns the response to a request without a route or with an unknown credential.
pub fn rejection_response(reason: Unrouted) -> HttpResponse {
    let status = match reason {
        Unrouted::NoRoute => StatusCode::NOT_FOUND,
        Unrouted::UnknownCredential => StatusCode::UNAUTHORIZED,
    };
    let reason = reason.as_str();
    let outcome = Ran::NotRun.as_str();
    json(status, &RefusalBody { reason, outcome })
}

/// Returns the response to a request that could not be read.
pub fn read_error_response(error: &ReadError) -> HttpResponse {
    let outcome = Ran::NotRun.as_str();
    let reason = error.reason();
    let mut response = json(error.status(), &RefusalBody { reason, outcome });
    if let Some(wait) = error.retry_after() {
        set_retry_after(&mut response, wait);
        // The rest of the body is not read to its end.
        return with_connection_close(response);
    }
    response
}

/// Adds the header that closes the connection after the response.
pub fn with_connection_close(mut response: HttpResponse) -> HttpResponse {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn json(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    let mut response = Response::new(full_body(serde_json::to_vec(value).unwrap_or_default()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns whether callers read a status as a promise that the request did not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the status for a refusal. Callers read some statuses as "not run", which are used
/// only if the request did not run.
fn status_of(refusal: &Refusal) -> StatusCode {
    match (refusal.ran, refusal.reason) {
        (Ran::NotRun, Reason::OverLimit) => StatusCode::TOO_MANY_REQUESTS,
        (Ran::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (Ran::Ran | Ran::Unknown, Reason::TooLate) => StatusCode::GATEWAY_TIMEOUT,
        (Ran::Ran | Ran::Unknown, _) => StatusCode::BAD_GATEWAY,
    }
}
