//! From an HTTP request to what the decisions need to know of it.

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
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Time for a caller to send its whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Characters of a prompt that are counted as one token.
const CHARS_PER_TOKEN: usize = 4;
/// Tokens of an answer when the caller states no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Path below which plain services are reached.
const SERVICES: &str = "/v1/services/";
/// Header that names the tier.
const TIER: &str = "x-jaypin-tier";
/// Header with the idempotency key.
const KEY: &str = "idempotency-key";

/// Why a request was turned away before a decision.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// No credential, or none that the rules know.
    #[snafu(display("a known credential is expected as `Authorization: Bearer ...`"))]
    Credential,
    /// No such path.
    #[snafu(display("no such path"))]
    Path,
    /// The path takes another method.
    #[snafu(display("this path takes another method"))]
    Method,
    /// The body is too large.
    #[snafu(display("a body has up to {MAX_BODY} bytes"))]
    TooLarge,
    /// The body did not come in time or was cut.
    #[snafu(display("the body did not arrive whole in time"))]
    Cut,
    /// The body is not what the path takes.
    #[snafu(display("the body is not a completion request: {message}"))]
    Json {
        /// What the parser says.
        message: String,
    },
    /// No service serves the model.
    #[snafu(display("no such model"))]
    Model,
    /// The rules know no such tier.
    #[snafu(display("no such tier"))]
    Tier,
    /// The call must not be repeated and has no key.
    #[snafu(display("this call may not be repeated: an Idempotency-Key is expected"))]
    KeyMissing,
    /// The key names no incarnation of a host.
    #[snafu(display(
        "an Idempotency-Key is the `key_prefix` that GET /v1/entry gives, followed by \
         1 to 64 letters, digits, `-` or `_` of your own"
    ))]
    KeyMalformed,
    /// The host has no rules yet.
    #[snafu(display("this host is not ready"))]
    NotReady,
}

impl ReadError {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Credential => StatusCode::UNAUTHORIZED,
            Self::Path | Self::Model => StatusCode::NOT_FOUND,
            Self::Method => StatusCode::METHOD_NOT_ALLOWED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cut => StatusCode::REQUEST_TIMEOUT,
            Self::Json { .. } | Self::Tier | Self::KeyMissing | Self::KeyMalformed => {
                StatusCode::BAD_REQUEST
            }
            Self::NotReady => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The word that callers and logs see.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Credential => "credential",
            Self::Path => "no-such-path",
            Self::Method => "wrong-method",
            Self::TooLarge => "too-large",
            Self::Cut => "body-cut",
            Self::Json { .. } => "not-json",
            Self::Model => "no-such-model",
            Self::Tier => "no-such-tier",
            Self::KeyMissing => "key-missing",
            Self::KeyMalformed => "key-malformed",
            Self::NotReady => "not-ready",
        }
    }
}

/// Reads a request: who it is from, what it wants, by which rules.
pub async fn read(
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
    if let Some(rest) = path.strip_prefix(SERVICES) {
        return read_plain(req, rules, caller, rest, new_id).await;
    }
    if path != "/v1/chat/completions" && path != "/v1/completions" {
        return Err(ReadError::Path);
    }
    if *req.method() != Method::POST {
        return Err(ReadError::Method);
    }
    read_completion(req, rules, caller, path, new_id).await
}

/// Whether a call carries an idempotency key.
pub fn has_key(headers: &HeaderMap) -> bool {
    headers.contains_key(KEY)
}

/// A caller whose credential the rules know.
#[derive(Debug)]
pub struct KnownCaller {
    /// The client account that it belongs to.
    pub account: AccountId,
    rule_line: u32,
}

/// A digest is looked up, never a credential compared, so timing tells nothing of one.
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

async fn read_body(req: Request<Incoming>) -> Result<Bytes, ReadError> {
    let body = Limited::new(req.into_body(), MAX_BODY);
    match timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ReadError::TooLarge)
        }
        _ => Err(ReadError::Cut),
    }
}

/// The part of a completion request that decisions need.
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

async fn read_completion(
    req: Request<Incoming>,
    rules: &RuleSet,
    caller: KnownCaller,
    path: String,
    new_id: impl FnOnce() -> RequestId,
) -> Result<(RequestInfo, Outbound), ReadError> {
    let tier_name = text_header(req.headers(), TIER);
    let key = text_header(req.headers(), KEY);
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
    let mut info = describe(new_id(), &caller, service, tier);
    let salt = salt(&caller.account);
    info.prompt_tokens = u32::try_from(text.len().div_ceil(CHARS_PER_TOKEN)).unwrap_or(u32::MAX);
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

async fn read_plain(
    req: Request<Incoming>,
    rules: &RuleSet,
    caller: KnownCaller,
    rest: &str,
    new_id: impl FnOnce() -> RequestId,
) -> Result<(RequestInfo, Outbound), ReadError> {
    let (name, tail) = rest.split_once('/').ok_or(ReadError::Path)?;
    let service = rules
        .service(name)
        .filter(|service| service.kind == ServiceKind::Plain)
        .ok_or(ReadError::Path)?;
    let method = req.method().clone();
    let route = rules
        .route(name, &format!("{method} /{tail}"))
        .ok_or(ReadError::Path)?;
    let key = text_header(req.headers(), KEY);
    if route.repeat == Repeat::Never && key.is_none() {
        return Err(ReadError::KeyMissing);
    }
    let well_formed = |key: &String| IdempotencyKey::parse(key).is_some();
    if route.repeat == Repeat::Never && !key.as_ref().is_some_and(well_formed) {
        return Err(ReadError::KeyMalformed);
    }
    let named = route
        .tier
        .clone()
        .or_else(|| text_header(req.headers(), TIER));
    let tier = pick_tier(rules, named.as_deref(), service)?;
    let mut headers = json_headers();
    if let Some(value) = key
        .as_deref()
        .and_then(|key| HeaderValue::from_str(key).ok())
    {
        headers.insert(HeaderName::from_static(KEY), value);
    }
    if let Ok(value) = HeaderValue::from_str(&caller.account) {
        headers.insert(HeaderName::from_static("x-jaypin-account"), value);
    }
    let query = req
        .uri()
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let path = format!("/{tail}{query}");
    let salt = salt(&caller.account);
    let route_salt = xxh3_64_with_seed(format!("{name} {method} {path}").as_bytes(), salt);
    let mut info = describe(new_id(), &caller, service, tier);
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

fn describe(
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

fn pick_tier<'a>(
    rules: &'a RuleSet,
    named: Option<&str>,
    service: &ServiceRule,
) -> Result<&'a TierRule, ReadError> {
    rules
        .tier(named.unwrap_or(&service.tier))
        .ok_or(ReadError::Tier)
}

/// Fingerprints are salted by account, so that no account learns of another's cache.
fn salt(account: &str) -> u64 {
    xxh3_64_with_seed(account.as_bytes(), 0)
}

fn prefixes(text: &str, salt: u64) -> Vec<u64> {
    let lengths = (0..).map(|place| prefix_tokens(place) as usize * CHARS_PER_TOKEN);
    lengths
        .take_while(|chars| *chars <= text.len())
        .map(|chars| xxh3_64_with_seed(&text.as_bytes()[..chars], salt))
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
