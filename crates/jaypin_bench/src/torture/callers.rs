//! Callers that ask streams, whole answers, commands and look-ups, and repeat keys.

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

/// Time after which a caller gives a call up.
const PATIENCE: Duration = Duration::from_secs(12);
/// Time after which a caller of the entry list asks another host.
const ENTRY_PATIENCE: Duration = Duration::from_secs(1);
/// How often a key is sent again, at other hosts.
const REPEATS: usize = 3;
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..120;
/// Tiers that texts ask for, with their ranks.
const TIERS: [(&str, u8); 4] = [
    ("robot-command", 0),
    ("cow-status", 1),
    ("alert-label", 2),
    ("herd-summary", 3),
];

/// One caller.
#[derive(Debug)]
pub struct Caller {
    /// Name and address of every host.
    pub hosts: Arc<Vec<(String, SocketAddr)>>,
    /// Number among the callers.
    pub number: usize,
    /// Becomes true when callers are to end.
    pub stop: watch::Receiver<bool>,
    /// Draws what it asks.
    pub rng: ChaCha8Rng,
    /// Everything it asked.
    pub calls: Vec<CallRecord>,
}

impl Caller {
    /// Builds a caller with random numbers of its own.
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

    /// Asks until told to stop; gives what it asked and got.
    pub async fn run(mut self) -> Vec<CallRecord> {
        let mut count = 0;
        while !*self.stop.borrow() {
            count += 1;
            match self.rng.random_range(0..100_u32) {
                0..50 => self.text(count, true).await,
                50..60 => self.text(count, false).await,
                60..85 => self.command(count).await,
                _ => self.look_up().await,
            }
            let pause = self.rng.random_range(PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
        }
        self.calls
    }

    async fn text(&mut self, count: usize, stream: bool) {
        let (tier, rank) = TIERS[self.rng.random_range(0..TIERS.len())];
        let tokens = self.rng.random_range(2..60_u64);
        let text = format!("{} {tier} {} {count}", self.account(), self.number);
        let body = completion_body("cow-small", &text, tokens, stream);
        let place = self.any_host();
        let began_ms = unix_ms();
        let client = self.client(place);
        let headers = [("x-jaypin-tier", tier)];
        let call = client.complete(&body, &headers);
        let answer = timeout(PATIENCE, call).await;
        let expected = expected_answer(&text, tokens);
        let mut record = self.record(place, "chat", rank, began_ms, expected);
        fill(
            &mut record,
            answer.ok().and_then(Result::ok).as_ref(),
            stream,
        );
        self.calls.push(record);
    }

    async fn look_up(&mut self) {
        let place = self.any_host();
        let call = self.plain(place, Method::GET, "/status", None);
        let record = call.await;
        self.calls.push(record);
    }

    /// Sends a command, and sends its key again at other hosts unless it was answered.
    async fn command(&mut self, count: usize) {
        let Some(prefix) = self.key_prefix().await else {
            return;
        };
        let key = format!("{prefix}caller-{}-{count}", self.number);
        let path = if self.rng.random() {
            "/gate"
        } else {
            "/teat-cup"
        };
        let always_repeat = self.rng.random_range(0..10_u32) == 0;
        for _ in 0..=REPEATS {
            let place = self.any_host();
            let call = self.plain(place, Method::POST, path, Some(key.clone()));
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

    async fn plain(
        &self,
        place: usize,
        method: Method,
        path: &str,
        key: Option<String>,
    ) -> CallRecord {
        let began_ms = unix_ms();
        let client = self.client(place);
        let headers = key.as_deref().map(|key| ("idempotency-key", key));
        let headers: Vec<_> = headers.into_iter().collect();
        let url = format!("/v1/services/robots{path}");
        let call = client.call(method.clone(), &url, &headers, Bytes::new());
        let answer = timeout(PATIENCE, call).await;
        let rank = u8::from(method == Method::GET);
        let expected = format!("{method} {path}");
        let mut record = self.record(place, "robots", rank, began_ms, expected);
        record.never_repeat = key.is_some();
        record.key = key;
        fill(
            &mut record,
            answer.ok().and_then(Result::ok).as_ref(),
            false,
        );
        record
    }

    async fn key_prefix(&mut self) -> Option<String> {
        let place = self.any_host();
        let client = self.client(place);
        let call = client.call(Method::GET, "/v1/entry", &[], Bytes::new());
        let answer = timeout(ENTRY_PATIENCE, call).await.ok()?.ok()?;
        Some(answer.json()["key_prefix"].as_str()?.to_owned())
    }

    fn account(&self) -> &'static str {
        ACCOUNTS[self.number % ACCOUNTS.len()]
    }

    fn any_host(&mut self) -> usize {
        self.rng.random_range(0..self.hosts.len())
    }

    fn client(&self, place: usize) -> Client {
        Client::new(self.hosts[place].1, &format!("{}-secret", self.account()))
    }

    fn record(
        &self,
        place: usize,
        service: &str,
        rank: u8,
        began_ms: u64,
        expected: String,
    ) -> CallRecord {
        CallRecord {
            request_id: None,
            host: self.hosts[place].0.clone(),
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

/// Fills in what the caller got.
fn fill(record: &mut CallRecord, answer: Option<&Answer>, stream: bool) {
    let Some(answer) = answer else {
        return;
    };
    let id = answer.headers.get("x-request-id");
    record.request_id = id.and_then(|id| id.to_str().ok()).map(str::to_owned);
    record.answered = answered(answer, stream);
}

fn answered(answer: &Answer, stream: bool) -> Answered {
    let text = answer_text(answer);
    if let Some(error) = &answer.error {
        return refused(text, error);
    }
    if answer.broken {
        // A body that is no stream has no parts that could be judged.
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

/// The text of a completion, or what a plain service says it executed.
fn answer_text(answer: &Answer) -> String {
    match answer.json()["route"].as_str() {
        Some(route) => route.to_owned(),
        None => answer.text(),
    }
}

fn refused(text: String, body: &serde_json::Value) -> Answered {
    let word = |name: &str| body[name].as_str().unwrap_or("none").to_owned();
    Answered::Refused {
        text,
        reason: word("reason"),
        outcome: word("outcome"),
    }
}
