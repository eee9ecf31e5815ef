//! Reads callers' HTTP requests into the form that the reducer decides on.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode};
use jaypin_core::{AccountId, IdempotencyKey, RequestId, RequestInfo, prefix_tokens};
use jaypin_rules::{Repeat, RuleSet, ServiceKind, ServiceRule, TierRule, digest_credential};
use serde::Deserialize;
use snafu::Snafu;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::calls::Outbound;
use crate::snapshot::Snapshot;

/// Largest body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Longest time for a caller to send its complete body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a prompt that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Limit of generated tokens when the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Path prefix of plain services.
const SERVICES_PATH: &str = "/v1/services/";
/// Header with the name of the tier.
const TIER_HEADER: &str = "x-jaypin-tier";
/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Why a request was rejected before it reached the reducer.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The credential is missing or not in the rules.
    #[snafu(display("a known credential is expected as `Authorization: Bearer ...`"))]
    Credential,
    /// No service or route has this path.
    #[snafu(display("no such path"))]
    Path,
    /// The path does not support the method.
    #[snafu(display("this path takes another method"))]
    Method,
    /// The body is too large.
    #[snafu(display("a body has up to {MAX_BODY_BYTES} bytes"))]
    TooLarge,
    /// The body was cut off or did not arrive in time.
    #[snafu(display("the body did not arrive whole in time"))]
    BodyIncomplete,
    /// The body is not a completion request.
    #[snafu(display("the body is not a completion request: {message}"))]
    Json {
        /// Error of the JSON parser.
        message: String,
    },
    /// No service serves the model.
    #[snafu(display("no such model"))]
    Model,
    /// The rules define no tier of this name.
    #[snafu(display("no such tier"))]
    Tier,
    /// The call may not be repeated, but has no idempotency key.
    #[snafu(display("this call may not be repeated: an Idempotency-Key is expected"))]
    KeyMissing,
    /// The idempotency key does not begin with the prefix that a host issues.
    #[snafu(display(
        "an Idempotency-Key is the `key_prefix` that GET /v1/entry gives, followed by \
         1 to 64 letters, digits, `-` or `_` of your own"
    ))]
    KeyMalformed,
    /// The host has not loaded rules yet.
    #[snafu(display("this host is not ready"))]
    NotReady,
}

impl ReadError {
    /// Returns the HTTP status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Credential => StatusCode::UNAUTHORIZED,
            Self::Path | Self::Model => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::Json { .. } | Self::Tier | Self::KeyMissing | Self::KeyMalformed => {
                StatusCode::BAD_REQUEST
            }
            Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the reason that the response states.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Credential => "credential",
            Self::Path => "no-such-path",
            Self::Method => "wrong-method",
            Self::TooLarge => "too-large",
            Self::BodyIncomplete => "body-cut",
            Self::Json { .. } => "not-json",
            Self::Model => "no-such-model",
            Self::Tier => "no-such-tier",
            Self::KeyMissing => "key-missing",
            Self::KeyMalformed => "key-malformed",
            Self::NotReady => "not-ready",
        }
    }
}

/// Authenticates and reads a request; returns its description for the reducer and the request
/// to send to a backend server.
pub async fn read_request(
    req: Request<Incoming>,
    snapshot: &Snapshot,
    new_id: impl FnOnce() -> RequestId,
) -> Result<(RequestInfo, Outbound), ReadError> {
    if snapshot.rules_version == 0 {
        return Err(ReadError::NotReady);
    }
    let rules = &snapshot.rules;
    let caller = authenticate(req.headers(), rules)?;
    let path = req.uri().path().to_owned();
    if let Some(service_path) = path.strip_prefix(SERVICES_PATH) {
        return read_plain(req, rules, caller, service_path, new_id).await;
    }
    if path != "/v1/chat/completions" && path != "/v1/completions" {
        return Err(ReadError::Path);
    }
    if *req.method() != Method::POST {
        return Err(ReadError::Method);
    }
    read_completion(req, rules, caller, path, new_id).await
}

/// Returns whether a call has an idempotency key.
pub fn has_key(headers: &HeaderMap) -> bool {
    headers.contains_key(KEY_HEADER)
}

/// A caller whose credential is in the rules.
#[derive(Debug)]
pub struct KnownCaller {
    /// The client account that it belongs to.
    pub account: AccountId,
    /// Line of the rule that lists the credential.
    rule_line: u32,
}

/// Returns the caller whose credential the request carries.
///
/// Credentials are looked up by digest and never compared, so that response times reveal
/// nothing about them.
pub fn authenticate(headers: &HeaderMap, rules: &RuleSet) -> Result<KnownCaller, ReadError> {
    let credential = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
        .ok_or(ReadError::Credential)?;
    let caller = rules
        .caller(&digest_credential(credential))
        .ok_or(ReadError::Credential)?;
    let rule_line = caller.origin.line;
    Ok(KnownCaller {
        account: caller.account.as_str().into(),
        rule_line,
    })
}

/// Reads the complete body, within a time and a size limit.
async fn read_body(req: Request<Incoming>) -> Result<Bytes, ReadError> {
    let body = Limited::new(req.into_body(), MAX_BODY_BYTES);
    match timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ReadError::TooLarge)
        }
        _ => Err(ReadError::BodyIncomplete),
    }
}

/// The members of a completion request that the reducer needs.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

/// Reads a completion request to an engine.
async fn read_completion(
    req: Request<Incoming>,
    rules: &RuleSet,
    caller: KnownCaller,
    path: String,
    new_id: impl FnOnce() -> RequestId,
) -> Result<(RequestInfo, Outbound), ReadError> {
    let tier_name = text_header(req.headers(), TIER_HEADER);
    let key = text_header(req.headers(), KEY_HEADER);
    let body = read_body(req).await?;
    let call: Completion = serde_json::from_slice(&body).map_err(|error| ReadError::Json {
        message: error.to_string(),
    })?;
    let service = rules
        .service_of_model(&call.model)
        .ok_or(ReadError::Model)?;
    let tier = pick_tier(rules, tier_name.as_deref(), service)?;
    let mut text = call.prompt;
    for message in &call.messages {
        text.push_str(&message.content);
    }
    let mut info = describe_request(new_id(), &caller, service, tier);
    let salt = salt(&caller.account);
    info.prompt_tokens = u32::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
    info.max_tokens = call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    info.prefixes = prefixes(&text, salt);
    info.fingerprint = xxh3_64_with_seed(&body, salt);
    info.key = key;
    let outbound = Outbound {
        method: Method::POST,
        path,
        headers: json_headers(),
        body,
        kind: ServiceKind::Engine,
        stream: call.stream,
        prompt_tokens: info.prompt_tokens,
        response_due_in: info.response_due_in,
        store_answer: false,
    };
    Ok((info, outbound))
}

/// Reads a call to a plain service.
async fn read_plain(
    req: Request<Incoming>,
    rules: &RuleSet,
    caller: KnownCaller,
    service_path: &str,
    new_id: impl FnOnce() -> RequestId,
) -> Result<(RequestInfo, Outbound), ReadError> {
    let (name, backend_path) = service_path.split_once('/').ok_or(ReadError::Path)?;
    let service = rules
        .service(name)
        .filter(|service| service.kind == ServiceKind::Plain)
        .ok_or(ReadError::Path)?;
    let method = req.method().clone();
    let route = rules
        .route(name, &format!("{method} /{backend_path}"))
        .ok_or(ReadError::Path)?;
    let key = text_header(req.headers(), KEY_HEADER);
    if route.repeat == Repeat::Never && key.is_none() {
        return Err(ReadError::KeyMissing);
    }
    let well_formed = |key: &String| IdempotencyKey::parse(key).is_some();
    if route.repeat == Repeat::Never && !key.as_ref().is_some_and(well_formed) {
        return Err(ReadError::KeyMalformed);
    }
    let tier_name = route
        .tier
        .clone()
        .or_else(|| text_header(req.headers(), TIER_HEADER));
    let tier = pick_tier(rules, tier_name.as_deref(), service)?;
    let mut headers = json_headers();
    if let Some(value) = key
        .as_deref()
        .and_then(|key| HeaderValue::from_str(key).ok())
    {
        headers.insert(HeaderName::from_static(KEY_HEADER), value);
    }
    if let Ok(value) = HeaderValue::from_str(&caller.account) {
        headers.insert(HeaderName::from_static("x-jaypin-account"), value);
    }
    let query = req
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let path = format!("/{backend_path}{query}");
    let salt = salt(&caller.account);
    let route_salt = xxh3_64_with_seed(format!("{name} {method} {path}").as_bytes(), salt);
    let mut info = describe_request(new_id(), &caller, service, tier);
    info.repeat = route.repeat;
    info.rule_lines.push(route.origin.line);
    info.key = key;
    let body = read_body(req).await?;
    info.fingerprint = xxh3_64_with_seed(&body, route_salt);
    let outbound = Outbound {
        method,
        path,
        headers,
        body,
        kind: ServiceKind::Plain,
        stream: false,
        prompt_tokens: info.prompt_tokens,
        response_due_in: info.response_due_in,
        store_answer: route.repeat == Repeat::Never,
    };
    Ok((info, outbound))
}

/// Builds the description of a request with the defaults of a plain call.
fn describe_request(
    id: RequestId,
    caller: &KnownCaller,
    service: &ServiceRule,
    tier: &TierRule,
) -> RequestInfo {
    RequestInfo {
        id,
        account: caller.account.clone(),
        service: service.name.as_str().into(),
        kind: service.kind,
        tier: tier.rank,
        prompt_tokens: 1,
        max_tokens: 1,
        prefixes: Vec::new(),
        fingerprint: 0,
        repeat: Repeat::Idempotent,
        key: None,
        first_token_due_in: tier.first_token,
        response_due_in: tier.whole_response,
        rule_lines: vec![caller.rule_line, service.origin.line, tier.origin.line],
    }
}

/// Returns the named tier, or the default tier of the service if none is named.
fn pick_tier<'a>(
    rules: &'a RuleSet,
    tier_name: Option<&str>,
    service: &ServiceRule,
) -> Result<&'a TierRule, ReadError> {
    rules
        .tier(tier_name.unwrap_or(&service.tier))
        .ok_or(ReadError::Tier)
}

/// Returns the salt of an account's fingerprints; it differs between accounts, so that no
/// account learns what another has cached.
fn salt(account: &str) -> u64 {
    xxh3_64_with_seed(account.as_bytes(), 0)
}

/// Returns the fingerprints of the text's prefixes, one for each prefix length that fits.
fn prefixes(text: &str, salt: u64) -> Vec<u64> {
    let lengths = (0..).map(|index| prefix_tokens(index) as usize * BYTES_PER_TOKEN);
    lengths
        .take_while(|len| *len <= text.len())
        .map(|len| xxh3_64_with_seed(&text.as_bytes()[..len], salt))
        .collect()
}

fn json_headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}
