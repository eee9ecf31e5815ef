//! Prompt segments that engines are assumed to cache: use in placement, and observations.

use std::time::{Duration, Instant};

use super::{Router, RouterCounts};
use crate::held_parts::{HeldPrefix, MIN_SAVED_TIME};
use crate::request::{Admitted, Sent};
use crate::{Account, Arrival, Backend, EngineOrder, HeldReport, PromptChain, Route, account_key};

/// Saving from which a first event says whether the assumption was right: the time to the first
/// event varies by less in nine requests of ten.
const MIN_EVIDENT_TIME: Duration = Duration::from_millis(80);
/// Shortest prefill that is a sample of the prefill rate, if part of the prompt was cached. A shorter
/// one measures the overhead of the call.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(20);
/// Weight of one request in the moving average of the tokens of a running request.
const RUNNING_TOKENS_WEIGHT: f64 = 0.02;

/// Counts of what became of the assumptions, for metrics.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeldCounts {
    /// Mean number of tokens that a running request takes in a KV cache.
    running_tokens: f64,
    expected_tokens: u64,
    sent_elsewhere: u64,
    refuted: u64,
}

impl HeldCounts {
    pub(super) fn add_to(&self, counts: &mut RouterCounts) {
        counts.held_tokens = self.expected_tokens;
        counts.sent_elsewhere = self.sent_elsewhere;
        counts.refuted_held = self.refuted;
    }
}

impl Router {
    /// Returns the segments of a prompt, if assumptions about them are used for its route.
    ///
    /// Callers without an account can't be told apart, so nothing is assumed for them.
    pub(super) fn prompt_chain(
        &self,
        arrival: &Arrival,
        route: &Route,
        account: Option<&Account>,
    ) -> PromptChain {
        match account {
            Some(account) if self.cfg.uses_held_parts && route.has_segments => {
                PromptChain::new(account_key(Some(&account.name)), &arrival.segments)
            }
            _ => PromptChain::default(),
        }
    }

    /// Returns the prefix of a request's prompt that a backend server is assumed to cache.
    pub(super) fn held_prefixes(
        &self,
        admitted: &Admitted,
        now: Instant,
    ) -> impl Fn(&Backend) -> HeldPrefix + use<> {
        let capacity = self.cache_capacity(admitted);
        let held = self.held_parts.find(&admitted.prompt, now);
        let running_tokens = self.held_counts.running_tokens;
        let prompt_tokens = admitted.prompt_tokens;
        move |backend| {
            if held.is_empty() {
                return HeldPrefix::default();
            }
            let running = f64::from(backend.running()) * running_tokens;
            let oldest = backend.cache_clock.oldest_cached(capacity, running);
            let prefix = held.longest(backend.engine_run, oldest);
            HeldPrefix {
                tokens: prefix.tokens.min(prompt_tokens),
                ..prefix
            }
        }
    }

    /// Returns the number of these tokens.
    pub(super) fn held_tokens(
        &self,
        admitted: &Admitted,
        now: Instant,
    ) -> impl Fn(&Backend) -> u32 + use<> {
        let held = self.held_prefixes(admitted, now);
        move |backend| held(backend).tokens
    }

    /// Returns the order of otherwise equal engines for a request whose prompt is worth it.
    pub(super) fn engine_order(&self, admitted: &Admitted) -> Option<EngineOrder> {
        let is_worth_it = admitted
            .prompt
            .steps(min_tokens_at_start())
            .next()
            .is_some();
        let has_cache = self.cache_capacity(admitted) > 0;
        (is_worth_it && has_cache)
            .then(|| EngineOrder::of(&admitted.prompt))
            .flatten()
    }

    fn cache_capacity(&self, admitted: &Admitted) -> u64 {
        let service = self
            .table
            .as_ref()
            .and_then(|it| it.service(&admitted.service));
        let engine = service.and_then(|it| it.engine.as_ref());
        engine.map_or(0, |it| it.memory_tokens)
    }

    /// Returns the prefix that the chosen backend server is assumed to cache, and counts it.
    pub(super) fn count_held(
        &mut self,
        admitted: &Admitted,
        backend: &str,
        now: Instant,
    ) -> HeldPrefix {
        if admitted.prompt.is_empty() {
            return HeldPrefix::default();
        }
        let held = self.held_prefixes(admitted, now);
        let chosen = self.backends.get(backend);
        let prefix = chosen.map(&held).unwrap_or_default();
        let has_more =
            |it: &Backend| held(it).tokens > prefix.tokens.saturating_add(min_tokens(it));
        let is_elsewhere = self.subset_backends(&admitted.service).any(has_more);
        let counts = &mut self.held_counts;
        counts.sent_elsewhere += u64::from(is_elsewhere);
        counts.expected_tokens += u64::from(prefix.tokens);
        let tokens = f64::from(admitted.prompt_tokens) + f64::from(admitted.answer_tokens);
        counts.running_tokens += RUNNING_TOKENS_WEIGHT * (tokens - counts.running_tokens);
        prefix
    }

    /// Records the first event of a request: its engine now caches its whole prompt. Returns the
    /// tokens that were cached before, as far as the time to the first event does not refute it.
    pub(super) fn record_held_prompt(
        &mut self,
        admitted: &Admitted,
        sent: &Sent,
        elapsed: Duration,
        now: Instant,
    ) -> u32 {
        let Some(backend) = self.backends.get_mut(&sent.backend) else {
            return 0;
        };
        let is_refuted = is_refuted(backend, admitted, sent, elapsed);
        if is_refuted {
            backend.cache_clock.record_evicted(sent.held.used_at);
            self.held_counts.refuted += 1;
        }
        let cached = if is_refuted { 0 } else { sent.held.tokens };
        let taken_up = admitted.prompt_tokens.saturating_sub(cached);
        backend.cache_clock.advance(f64::from(taken_up));
        if !admitted.prompt.is_empty() {
            let (run, used_at) = (backend.engine_run, backend.cache_clock.read());
            let (key, min_tokens) = (backend.key, min_tokens(backend));
            self.held_parts
                .record(&admitted.prompt, run, used_at, min_tokens, now);
            for link in admitted.prompt.steps(min_tokens) {
                let report = HeldReport {
                    key,
                    run,
                    prefix: link.key,
                    tokens: link.end(),
                };
                self.held_reports.queue(report, now);
            }
        }
        cached
    }

    /// Applies what a peer reports of the prefixes that engines cache.
    pub(super) fn apply_held_reports(&mut self, reports: &[HeldReport], now: Instant) {
        if !self.cfg.uses_held_parts {
            return;
        }
        for report in reports {
            let backend = self.backends.by_key(report.key);
            let Some(backend) = backend.filter(|it| it.engine_run == report.run) else {
                continue;
            };
            let prefix = HeldPrefix {
                tokens: report.tokens,
                used_at: backend.cache_clock.read(),
            };
            self.held_parts
                .record_prefix(report.prefix, report.run, prefix, now);
        }
    }

    /// Advances the clocks of all engines by what silent peers may have sent them since the last
    /// refresh: their share of what an engine can read.
    pub(super) fn age_unseen_caches(&mut self, elapsed: Duration, now: Instant) {
        let silent = self.fleet.silent_addresses(now).count();
        if silent == 0 {
            return;
        }
        let live = self.fleet.live_peers(now).count() + 1;
        let silent = u32::try_from(silent).unwrap_or(u32::MAX);
        let live = u32::try_from(live).unwrap_or(u32::MAX);
        let share = f64::from(silent) / (f64::from(silent) + f64::from(live));
        for backend in self.backends.values_mut() {
            let unseen = backend.prefill_rate.rate() * elapsed.as_secs_f64() * share;
            backend.cache_clock.advance(unseen);
        }
    }
}

/// Returns whether a prefill of `tokens` is long enough to be a sample of the prefill rate, after
/// `cached` tokens of the prompt were not read.
pub(super) fn is_prefill_sample(backend: &Backend, tokens: f64, cached: u32) -> bool {
    let seconds = backend.prefill_rate.seconds_for(tokens);
    cached == 0 || seconds >= MIN_SAMPLE_TIME.as_secs_f64()
}

/// Returns whether the time to the first event shows that the prompt was read whole.
fn is_refuted(backend: &Backend, admitted: &Admitted, sent: &Sent, elapsed: Duration) -> bool {
    let saved = backend.prefill_rate.seconds_for(sent.held.tokens.into());
    let uncached = admitted.prompt_tokens.saturating_sub(sent.held.tokens);
    let tokens = f64::from(sent.tokens_ahead) + f64::from(uncached);
    let expected = backend.prefill_rate.seconds_for(tokens);
    sent.had_slot
        && saved >= MIN_EVIDENT_TIME.as_secs_f64()
        && elapsed.as_secs_f64() > expected + saved / 2.0
}

/// Returns the tokens whose prefill is worth an assumption at a backend server.
fn min_tokens(backend: &Backend) -> u32 {
    tokens_in(backend.prefill_rate.rate(), MIN_SAVED_TIME)
}

/// Returns the same for an engine of which nothing is known yet.
fn min_tokens_at_start() -> u32 {
    tokens_in(crate::PrefillRate::default().rate(), MIN_SAVED_TIME)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such casts saturate at the bounds of the type"
)]
fn tokens_in(rate: f64, time: Duration) -> u32 {
    (rate * time.as_secs_f64()) as u32
}
