//! Limits of client accounts, as far as this shard enforces them.
//!
//! Each shard enforces its part of an account's limits. The parts follow where the
//! account's work goes: schedulers tell the account's limit keeper, a host found by
//! rendezvous, what they see, and get their part back. Nothing is asked per request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jaypin_rules::LimitRule;

use super::Scheduler;
use crate::{AccountId, Ask};

/// Seconds of its rate that an account may use at once.
const BURST_SECONDS: f64 = 2.0;
/// Wait that is stated to an account over its concurrency limit.
const CONCURRENCY_WAIT: Duration = Duration::from_secs(1);

/// Use of this shard by accounts that run or are limited.
#[derive(Debug, Default)]
pub struct Limits {
    accounts: HashMap<AccountId, Usage>,
}

#[derive(Debug)]
struct Usage {
    running: u32,
    bucket: Option<Bucket>,
    part: f64,
    asked_tokens: f64,
}

/// Tokens that may be used now.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

/// What a shard saw of a limited account since it last told.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// The account.
    pub account: AccountId,
    /// Tokens asked for.
    pub tokens: f64,
}

impl Default for Usage {
    fn default() -> Self {
        Self {
            running: 0,
            bucket: None,
            part: 1.0,
            asked_tokens: 0.0,
        }
    }
}

impl Limits {
    /// Counts a request that starts.
    pub fn started(&mut self, account: &AccountId) {
        self.accounts.entry(account.clone()).or_default().running += 1;
    }

    /// Counts the end of a request; an account without limits is forgotten with its last.
    pub fn ended(&mut self, account: &AccountId) {
        let Some(usage) = self.accounts.get_mut(account) else {
            return;
        };
        usage.running = usage.running.saturating_sub(1);
        if usage.running == 0 && usage.bucket.is_none() {
            self.accounts.remove(account);
        }
    }

    /// Takes the part of an account's limits that this shard may use, 0 to 1.
    pub fn set_part(&mut self, account: &AccountId, part: f64) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.part = part.clamp(0.0, 1.0);
        }
    }

    /// What was asked by limited accounts since the last call; idle ones are forgotten.
    pub fn take_seen(&mut self, now: Instant) -> Vec<Seen> {
        let mut seen = Vec::new();
        self.accounts.retain(|account, usage| {
            let Some(bucket) = &usage.bucket else {
                return true;
            };
            let idle = now
                .saturating_duration_since(bucket.filled_at)
                .as_secs_f64();
            if usage.running == 0 && idle > 2.0 * BURST_SECONDS {
                return false;
            }
            if usage.asked_tokens > 0.0 {
                seen.push(Seen {
                    account: account.clone(),
                    tokens: std::mem::take(&mut usage.asked_tokens),
                });
            }
            true
        });
        seen.sort_by(|a, b| a.account.cmp(&b.account));
        seen
    }

    /// Charges a request to its account; gives the wait when the account is over a limit.
    fn charge(
        &mut self,
        account: &AccountId,
        tokens: f64,
        rule: &LimitRule,
        now: Instant,
    ) -> Option<Duration> {
        let usage = self.accounts.entry(account.clone()).or_default();
        usage.asked_tokens += tokens;
        let rate = rule.tokens_per_second.unwrap_or(f64::MAX) * usage.part;
        let bucket = usage.bucket.get_or_insert(Bucket {
            tokens: rate * BURST_SECONDS,
            filled_at: now,
        });
        let since = now
            .saturating_duration_since(bucket.filled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + rate * since).min(rate * BURST_SECONDS);
        bucket.filled_at = now;
        let most = rule
            .concurrent
            .map_or(f64::MAX, |most| (f64::from(most) * usage.part).max(1.0));
        if f64::from(usage.running) >= most {
            return Some(CONCURRENCY_WAIT);
        }
        // A request larger than the burst passes a full bucket and leaves a debt.
        if bucket.tokens <= 0.0 {
            let wait = (tokens - bucket.tokens) / rate.max(1e-3);
            return Some(Duration::from_secs_f64(wait.clamp(0.1, 600.0)));
        }
        bucket.tokens -= tokens;
        None
    }
}

impl Scheduler {
    /// Charges a request to its account; gives the wait when the account is over a limit.
    pub(super) fn over_limit(&mut self, ask: &Ask, now: Instant) -> Option<Duration> {
        let rules = self.rules.clone();
        let rule = rules.limit(&ask.account)?;
        let tokens = f64::from(ask.prompt_tokens) + f64::from(ask.max_tokens);
        self.limits.charge(&ask.account, tokens, rule, now)
    }

    /// What limited accounts asked here since the last call.
    pub fn take_seen(&mut self, now: Instant) -> Vec<Seen> {
        self.limits.take_seen(now)
    }

    /// Takes the part of an account's limits that this shard may use, 0 to 1.
    pub fn set_part(&mut self, account: &AccountId, part: f64) {
        self.limits.set_part(account, part);
    }
}
