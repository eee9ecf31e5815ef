//! Limits of client accounts, as far as this shard enforces them.
//!
//! Each shard enforces an allowance out of an account's limits. Schedulers report the
//! account's usage to its limit keeper, a host chosen by rendezvous hashing, and receive
//! their allowance in return. No message is sent per request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jaypin_rules::LimitRule;

use super::Scheduler;
use crate::{AccountId, Allowance, Ask};

/// Burst size of an account's token bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;
/// Time to a retry that is stated to an account over its concurrency limit.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Usage of this shard by accounts that have running requests or limits.
#[derive(Debug, Default)]
pub struct AccountLimits {
    accounts: HashMap<AccountId, AccountState>,
}

/// Usage and limits of one account in this shard.
#[derive(Debug)]
struct AccountState {
    running: u32,
    /// Token bucket; `None` for an account without limits.
    bucket: Option<Bucket>,
    /// Allowance of this shard; `None` until the limit keeper sent one.
    allowance: Option<Allowance>,
    /// Tokens requested since the last report.
    requested_tokens: f64,
    /// Largest number of requests that ran or were requested at once since the last report.
    peak_at_once: u32,
}

/// Token bucket of an account; `tokens` is negative after a request larger than the burst.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

/// Usage of a shard by a limited account since the last report.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountUsage {
    /// The account.
    pub account: AccountId,
    /// Number of requested tokens.
    pub tokens: f64,
    /// Largest number of requests that ran or were requested at the same time.
    pub at_once: u32,
}

impl Default for AccountState {
    fn default() -> Self {
        Self {
            running: 0,
            bucket: None,
            allowance: None,
            requested_tokens: 0.0,
            peak_at_once: 0,
        }
    }
}

impl AccountLimits {
    /// Records the start of a request.
    pub fn record_start(&mut self, account: &AccountId) {
        self.accounts.entry(account.clone()).or_default().running += 1;
    }

    /// Records the end of a request; an account without limits is removed with its last
    /// request.
    pub fn record_end(&mut self, account: &AccountId) {
        let Some(usage) = self.accounts.get_mut(account) else {
            return;
        };
        usage.running = usage.running.saturating_sub(1);
        if usage.running == 0 && usage.bucket.is_none() {
            self.accounts.remove(account);
        }
    }

    /// Sets this shard's allowance out of an account's limits.
    pub fn set_allowance(&mut self, account: &AccountId, allowance: Allowance) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.allowance = Some(allowance);
        }
    }

    /// Takes the usage of limited accounts since the last call, and removes idle accounts.
    pub fn take_usage(&mut self, now: Instant) -> Vec<AccountUsage> {
        let mut usages = Vec::new();
        self.accounts.retain(|account, usage| {
            let Some(bucket) = &usage.bucket else {
                return true;
            };
            let idle = now
                .saturating_duration_since(bucket.refilled_at)
                .as_secs_f64();
            if usage.running == 0 && idle > 2.0 * BURST_SECONDS {
                return false;
            }
            if usage.requested_tokens > 0.0 {
                usages.push(AccountUsage {
                    account: account.clone(),
                    tokens: std::mem::take(&mut usage.requested_tokens),
                    at_once: std::mem::replace(&mut usage.peak_at_once, usage.running),
                });
            }
            true
        });
        usages.sort_by(|a, b| a.account.cmp(&b.account));
        usages
    }

    /// Charges a request to its account; returns the time to a retry when the account
    /// exceeds a limit.
    fn charge(
        &mut self,
        account: &AccountId,
        tokens: f64,
        rule: &LimitRule,
        now: Instant,
    ) -> Option<Duration> {
        let usage = self.accounts.entry(account.clone()).or_default();
        usage.requested_tokens += tokens;
        usage.peak_at_once = usage.peak_at_once.max(usage.running + 1);
        let allowance = usage.allowance.unwrap_or(Allowance::all_of(rule));
        let rate = allowance.tokens_per_second;
        let bucket = usage.bucket.get_or_insert(Bucket {
            tokens: rate * BURST_SECONDS,
            refilled_at: now,
        });
        let since = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64();
        bucket.tokens = (bucket.tokens + rate * since).min(rate * BURST_SECONDS);
        bucket.refilled_at = now;
        if f64::from(usage.running) >= allowance.at_once.max(1.0) {
            return Some(CONCURRENCY_RETRY_AFTER);
        }
        // A request larger than the burst is accepted when the bucket is not empty, and
        // leaves a debt.
        if bucket.tokens <= 0.0 {
            let wait = (tokens - bucket.tokens) / rate.max(1e-3);
            return Some(Duration::from_secs_f64(wait.clamp(0.1, 600.0)));
        }
        bucket.tokens -= tokens;
        None
    }
}

impl Scheduler {
    /// Charges a request to its account; returns the time to a retry when the account
    /// exceeds a limit.
    pub(super) fn charge_limits(&mut self, ask: &Ask, now: Instant) -> Option<Duration> {
        let rules = self.rules.clone();
        let rule = rules.limit(&ask.account)?;
        let tokens = f64::from(ask.prompt_tokens) + f64::from(ask.max_tokens);
        self.limits.charge(&ask.account, tokens, rule, now)
    }

    /// Takes the usage of limited accounts in this shard since the last call.
    pub fn take_usage(&mut self, now: Instant) -> Vec<AccountUsage> {
        self.limits.take_usage(now)
    }

    /// Sets this shard's allowance out of an account's limits.
    pub fn set_allowance(&mut self, account: &AccountId, allowance: Allowance) {
        self.limits.set_allowance(account, allowance);
    }
}
