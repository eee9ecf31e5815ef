//! Callers that request streamed and unstreamed completions, commands and status queries, and
//! repeat idempotency keys.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use jaypin_standin::{expected_answer, unix_ms};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::history::{Answered, CallRecord};
use crate::{ACCOUNTS, Answer, Client, completion_body};

/// Time after which a caller abandons a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Time after which a caller abandons a request for the address list and the command that
/// needs it, and goes on with another host.
const ADDRESS_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of times that a key is sent again, each time to a random host.
const MAX_REPEATS: usize = 3;
/// Range of a caller's pause between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..120;
/// Tiers that completions request, with their ranks.
const TIERS: [(&str, u8); 4] = [
    ("robot-command", 0),
    ("cow-status", 1),
    ("alert-label", 2),
    ("herd-summary", 3),
];

/// A caller that makes one call at a time.
#[derive(Debug)]
pub struct Caller {
    /// Name and address of every host.
    pub hosts: Arc<Vec<(String, SocketAddr)>>,
    /// Number of the caller; it determines the account and the random numbers.
    pub number: usize,
    /// Becomes true when the callers must stop.
    pub stop: watch::Receiver<bool>,
    /// Random numbers that choose the requests, hosts and pauses.
    pub rng: ChaCha8Rng,
    /// Records of all calls so far.
    pub calls: Vec<CallRecord>,
}

impl Caller {
    /// Creates a caller with its own sequence of random numbers.
    #[must_use]
    pub fn new(
        hosts: Arc<Vec<(String, SocketAddr)>>,
        number: usize,
        seed: u64,
        stop: watch::Receiver<bool>,
    ) -> Self {
        Self {
            hosts,
            number,
            stop,
            rng: ChaCha8Rng::seed_from_u64(seed ^ ((number as u64 + 1) << 32)),
            calls: Vec::new(),
        }
    }

    /// Makes calls until `stop` becomes true and returns their records.
    pub async fn run(mut self) -> Vec<CallRecord> {
        let mut count = 0;
        while !*self.stop.borrow() {
            count += 1;
            match self.rng.random_range(0..100_u32) {
                0..50 => self.complete(count, true).await,
                50..60 => self.complete(count, false).await,
                60..85 => self.send_command(count).await,
                _ => self.query_status().await,
            }
            let pause = self.rng.random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
        self.calls
    }

    async fn complete(&mut self, count: usize, stream: bool) {
        let (tier, rank) = TIERS[self.rng.random_range(0..TIERS.len())];
        let tokens = self.rng.random_range(2..60_u64);
        let text = format!("{} {tier} {} {count}", self.account(), self.number);
        let body = completion_body("cow-small", &text, tokens, stream);
        let host = self.random_host();
        let began_ms = unix_ms();
        let client = self.client(host);
        let headers = [("x-jaypin-tier", tier)];
        let call = client.complete(&body, &headers);
        let answer = timeout(CALL_TIMEOUT, call).await;
        let expected = expected_answer(&text, tokens);
        let mut record = self.new_record(host, "chat", rank, began_ms, expected);
        record_answer(
            &mut record,
            answer.ok().and_then(Result::ok).as_ref(),
            stream,
        );
        self.calls.push(record);
    }

    async fn query_status(&mut self) {
        let host = self.random_host();
        let call = self.call_plain(host, Method::GET, "/status", None);
        let record = call.await;
        self.calls.push(record);
    }

    /// Sends a command, and repeats its key at random hosts until a complete answer arrives.
    ///
    /// On average one command in ten is repeated also after a complete answer.
    async fn send_command(&mut self, count: usize) {
        let Some(prefix) = self.fetch_key_prefix().await else {
            return;
        };
        let key = format!("{prefix}caller-{}-{count}", self.number);
        let path = if self.rng.random() {
            "/gate"
        } else {
            "/teat-cup"
        };
        let always_repeat = self.rng.random_range(0..10_u32) == 0;
        for _ in 0..=MAX_REPEATS {
            let host = self.random_host();
            let call = self.call_plain(host, Method::POST, path, Some(key.clone()));
            let record = call.await;
            let answered = matches!(record.answered, Answered::Whole { .. });
            self.calls.push(record);
            if answered && !always_repeat {
                return;
            }
            let pause = self.rng.random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn call_plain(
        &self,
        host: usize,
        method: Method,
        path: &str,
        key: Option<String>,
    ) -> CallRecord {
        let began_ms = unix_ms();
        let client = self.client(host);
        let headers = key.as_deref().map(|key| ("idempotency-key", key));
        let headers: Vec<_> = headers.into_iter().collect();
        let url = format!("/v1/services/robots{path}");
        let call = client.call(method.clone(), &url, &headers, Bytes::new());
        let answer = timeout(CALL_TIMEOUT, call).await;
        let rank = u8::from(method == Method::GET);
        let expected = format!("{method} {path}");
        let mut record = self.new_record(host, "robots", rank, began_ms, expected);
        record.never_repeat = key.is_some();
        record.key = key;
        record_answer(
            &mut record,
            answer.ok().and_then(Result::ok).as_ref(),
            false,
        );
        record
    }

    async fn fetch_key_prefix(&mut self) -> Option<String> {
        let host = self.random_host();
        let client = self.client(host);
        let call = client.call(Method::GET, "/v1/entry", &[], Bytes::new());
        let answer = timeout(ADDRESS_LIST_TIMEOUT, call).await.ok()?.ok()?;
        Some(answer.json()["key_prefix"].as_str()?.to_owned())
    }

    fn account(&self) -> &'static str {
        ACCOUNTS[self.number % ACCOUNTS.len()]
    }

    fn random_host(&mut self) -> usize {
        self.rng.random_range(0..self.hosts.len())
    }

    fn client(&self, host: usize) -> Client {
        Client::new(self.hosts[host].1, &format!("{}-secret", self.account()))
    }

    fn new_record(
        &self,
        host: usize,
        service: &str,
        rank: u8,
        began_ms: u64,
        expected: String,
    ) -> CallRecord {
        CallRecord {
            request_id: None,
            host: self.hosts[host].0.clone(),
            account: self.account().to_owned(),
            service: service.to_owned(),
            rank,
            key: None,
            never_repeat: false,
            began_ms,
            ended_ms: unix_ms(),
            expected,
            answered: Answered::Nothing,
        }
    }
}

/// Records the response, if any, in the record of its call.
fn record_answer(record: &mut CallRecord, answer: Option<&Answer>, stream: bool) {
    let Some(answer) = answer else {
        return;
    };
    let id = answer.headers.get("x-request-id");
    record.request_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    record.answered = classify(answer, stream);
}

fn classify(answer: &Answer, stream: bool) -> Answered {
    let text = answer_text(answer);
    if let Some(error) = &answer.error {
        return refused(text, error);
    }
    if answer.broken {
        // A partial body that is not a stream can't be judged.
        let text = if stream { text } else { String::new() };
        return Answered::Broken { text };
    }
    if !answer.status.is_success() {
        return refused(String::new(), &answer.json());
    }
    if stream && !answer.done {
        return Answered::QuietEnd { text };
    }
    Answered::Whole { text }
}

/// Returns the text of a completion, or the `METHOD /path` that a plain service reports as
/// executed.
fn answer_text(answer: &Answer) -> String {
    match answer.json()["route"].as_str() {
        Some(route) => route.to_owned(),
        None => answer.text(),
    }
}

fn refused(text: String, body: &serde_json::Value) -> Answered {
    let field = |name: &str| body[name].as_str().unwrap_or("none").to_owned();
    Answered::Refused {
        text,
        reason: field("reason"),
        outcome: field("outcome"),
    }
}
