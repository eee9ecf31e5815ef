//! Caller side of one request: selects a host, waits for the answer and retries after
//! refusals.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jaypin_rules::{RuleSet, TierRule};
use jaypin_standin::expected_answer;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::outcome::{first_token, gap, judge_plain, judge_text};
use super::plan::prompt_text;
use super::{Arrival, Mix, Sample, Verdict, Work};
use crate::{Answer, Client, completion_body};

/// Number of hosts that a caller connects to in one attempt when connections are refused.
const MAX_HOSTS_PER_ATTEMPT: usize = 3;
/// Time beyond the deadline of the whole answer after which a caller gives up.
const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);
/// Retry delay when a refusal states none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State that all callers of a run share.
#[derive(Debug)]
pub struct Callers {
    /// Mix that the arrivals were drawn from.
    pub mix: Mix,
    /// Rules, which give each tier's deadlines.
    pub rules: RuleSet,
    /// Latest entry addresses and the matching key prefix.
    pub entry: watch::Receiver<Arc<Entry>>,
    /// Greatest number of retries after refusals.
    pub retries: u32,
    /// Seed of the run, part of every idempotency key so that runs with different seeds share
    /// no key.
    pub seed: u64,
}

/// Entry information as a host publishes it.
#[derive(Debug, Clone, Default)]
pub struct Entry {
    /// Addresses that callers connect to.
    pub addresses: Vec<SocketAddr>,
    /// Prefix of every idempotency key.
    pub key_prefix: String,
}

/// Sends one request, retries it while allowed and returns its sample.
///
/// # Panics
/// When the rules lack the tier of the request.
pub async fn perform_request(callers: &Callers, arrival: Arrival, measured: bool) -> Sample {
    let name = tier_name(&callers.mix, &arrival);
    let tier = callers.rules.tier(name).cloned();
    let tier = tier.unwrap_or_else(|| panic!("the rules have no tier {name}"));
    let mut sample = Sample {
        index: arrival.index,
        at: arrival.at,
        tier: name.to_owned(),
        measured,
        plain: matches!(arrival.work, Work::Plain { .. }),
        request_ids: Vec::new(),
        verdict: Verdict::Silent,
        first_token: None,
        gap: None,
        whole: Duration::ZERO,
    };
    for attempt in 0..=callers.retries {
        let answer = attempt_call(callers, &arrival, &tier, attempt).await;
        let retry_in = record_answer(&mut sample, callers, &arrival, &tier, answer);
        match retry_in {
            Some(wait) if attempt < callers.retries => sleep(wait).await,
            _ => break,
        }
    }
    sample
}

fn tier_name(mix: &Mix, arrival: &Arrival) -> &'static str {
    match arrival.work {
        Work::Text { class, .. } => mix.texts[class].tier,
        Work::Plain { call } => mix.plain[call].tier,
    }
}

/// Records an answer in the sample; returns the retry delay if the request was refused
/// without being run.
fn record_answer(
    sample: &mut Sample,
    callers: &Callers,
    arrival: &Arrival,
    tier: &TierRule,
    answer: Result<Answer, Verdict>,
) -> Option<Duration> {
    let answer = match answer {
        Ok(answer) => answer,
        Err(verdict) => {
            sample.verdict = verdict;
            return None;
        }
    };
    if let Some(id) = answer.headers.get("x-request-id") {
        let id = id.to_str().unwrap_or_default().to_owned();
        sample.request_ids.push(id);
    }
    sample.verdict = judge(callers, arrival, tier, &answer);
    sample.first_token = first_token(&answer);
    sample.gap = gap(&answer);
    sample.whole = answer.whole_after;
    let retry = matches!(&sample.verdict, Verdict::Refused { outcome, .. } if outcome == "not-run");
    retry.then(|| retry_after(&answer))
}

fn judge(callers: &Callers, arrival: &Arrival, tier: &TierRule, answer: &Answer) -> Verdict {
    match &arrival.work {
        Work::Text { answer: tokens, .. } => {
            let expected = expected_answer(&prompt_text(&callers.mix, arrival), *tokens);
            judge_text(answer, &expected, tier)
        }
        Work::Plain { call } => {
            let call = &callers.mix.plain[*call];
            judge_plain(answer, &format!("{} {}", call.method, call.path), tier)
        }
    }
}

fn retry_after(answer: &Answer) -> Duration {
    let millis = answer.json()["retry_after_ms"].as_u64();
    millis.map_or(DEFAULT_RETRY_AFTER, Duration::from_millis)
}

async fn attempt_call(
    callers: &Callers,
    arrival: &Arrival,
    tier: &TierRule,
    attempt: u32,
) -> Result<Answer, Verdict> {
    let entry = callers.entry.borrow().clone();
    let start = usize::try_from(arrival.draw % 1_000_003).unwrap_or_default() + attempt as usize;
    for offset in 0..MAX_HOSTS_PER_ATTEMPT.min(entry.addresses.len()) {
        let address = entry.addresses[(start + offset) % entry.addresses.len()];
        let account = callers.mix.accounts[arrival.account].name;
        let client = Client::new(address, &format!("{account}-secret"));
        let call = send(callers, arrival, &entry, &client, tier);
        match timeout(tier.whole_response + ANSWER_TIMEOUT_MARGIN, call).await {
            Ok(Ok(answer)) => return Ok(answer),
            // An I/O error means that nothing was sent, so the next host can be used.
            Ok(Err(error)) if error.is::<std::io::Error>() => {}
            Ok(Err(_)) => return Err(Verdict::NoAnswer),
            Err(_) => return Err(Verdict::Silent),
        }
    }
    Err(Verdict::NoAnswer)
}

async fn send(
    callers: &Callers,
    arrival: &Arrival,
    entry: &Entry,
    client: &Client,
    tier: &TierRule,
) -> Result<Answer, Box<dyn std::error::Error + Send + Sync>> {
    match &arrival.work {
        Work::Text { answer, .. } => {
            let text = prompt_text(&callers.mix, arrival);
            let body = completion_body(callers.mix.model, &text, *answer, true);
            client
                .complete(&body, &[("x-jaypin-tier", &tier.name)])
                .await
        }
        Work::Plain { call } => {
            let call = &callers.mix.plain[*call];
            let path = format!("/v1/services/{}{}", callers.mix.plain_service, call.path);
            let key = format!("{}{}-{}", entry.key_prefix, callers.seed, arrival.index);
            let headers = [("idempotency-key", key.as_str())];
            let headers = if call.never_repeat { &headers[..] } else { &[] };
            client
                .call(call.method.clone(), &path, headers, Bytes::new())
                .await
        }
    }
}
