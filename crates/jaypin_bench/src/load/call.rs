//! One request as its caller makes it: picks a host, waits, comes back when told so.

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

/// Hosts that a caller tries when connections are refused.
const HOSTS_TRIED: usize = 3;
/// Time after the last deadline at which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(5);
/// Wait before a caller that was told no time comes back.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What callers share.
#[derive(Debug)]
pub struct Callers {
    /// What they ask for.
    pub mix: Mix,
    /// The rules, for deadlines.
    pub rules: RuleSet,
    /// Entry addresses and the key prefix that goes with them.
    pub entry: watch::Receiver<Arc<Entry>>,
    /// How often a refused caller comes back.
    pub retries: u32,
    /// Part of every key, so that no two runs share one.
    pub seed: u64,
}

/// What callers know of the hosts.
#[derive(Debug, Clone, Default)]
pub struct Entry {
    /// Where to connect.
    pub addresses: Vec<SocketAddr>,
    /// Beginning of idempotency keys.
    pub key_prefix: String,
}

/// Makes one request and sees it to its end.
pub async fn make(callers: &Callers, arrival: Arrival, measured: bool) -> Sample {
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
        let answer = one_try(callers, &arrival, &tier, attempt).await;
        let again = take(&mut sample, callers, &arrival, &tier, answer);
        match again {
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

/// Takes an answer into the sample; gives when to come back, if that helps.
fn take(
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

async fn one_try(
    callers: &Callers,
    arrival: &Arrival,
    tier: &TierRule,
    attempt: u32,
) -> Result<Answer, Verdict> {
    let entry = callers.entry.borrow().clone();
    let start = usize::try_from(arrival.draw % 1_000_003).unwrap_or_default() + attempt as usize;
    for shift in 0..HOSTS_TRIED.min(entry.addresses.len()) {
        let address = entry.addresses[(start + shift) % entry.addresses.len()];
        let account = callers.mix.accounts[arrival.account].name;
        let client = Client::new(address, &format!("{account}-secret"));
        let call = send(callers, arrival, &entry, &client, tier);
        match timeout(tier.whole_response + PATIENCE, call).await {
            Ok(Ok(answer)) => return Ok(answer),
            // Nothing was sent, so another host may be tried.
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
