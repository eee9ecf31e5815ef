//! What a shard scheduler has learned about one backend server.
//!
//! Speeds come from the timings that owners measure. Load reports lag, so they only
//! correct: they can take a backend server out of service or add load that other clients
//! cause.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::token_gaps::TokenGapModel;
use crate::{LoadReport, Presence};

/// Initial estimate of the prefill rate, in tokens per second.
///
/// Too high an estimate costs one late answer; too low an estimate refuses work that would
/// have fitted.
const INITIAL_PREFILL_RATE: f64 = 10_000.0;
/// Weight of the initial estimate, in tokens.
const INITIAL_WEIGHT_TOKENS: f64 = 200.0;
/// Prefilled tokens after which the weight of an observed prefill rate has decayed to 1/e.
const PREFILL_DECAY_TOKENS: f64 = 4_000.0;
/// Seconds of prefill after which the weight of an observed prefill rate has decayed to
/// 1/e.
const PREFILL_DECAY_SECONDS: f64 = 1.0;
/// Part of the time to the first token that is not prefill, in seconds.
const CALL_OVERHEAD_SECONDS: f64 = 0.003;
/// Factor on the expected time from which a first token is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Seconds added to the overdue threshold, so that short prefills are not overdue at once.
const OVERDUE_MARGIN_SECONDS: f64 = 0.25;
/// Maximum number of streams on a backend server without history.
const SLOW_START_LIMIT: u32 = 4;
/// Streams by which the slow-start limit rises with each first token.
const SLOW_START_STEP: u32 = 2;
/// Streams up to which the slow-start limit rises before the time between tokens is known.
/// First tokens arrive faster than streams end, and they say nothing about the gap.
const UNSAMPLED_LIMIT: u32 = 6;
/// Cooldown after the first lost call; it doubles with each further one.
const INITIAL_COOLDOWN: Duration = Duration::from_secs(1);
/// Maximum number of times that the cooldown is doubled.
const MAX_COOLDOWN_DOUBLINGS: u32 = 5;
/// Time between two probes of a backend server that is too slow for its work.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of load report intervals whose peaks are kept.
const MAX_PEAKS: usize = 64;

/// Learned speeds, load and presence of one backend server.
#[derive(Debug, Clone)]
pub struct BackendModel {
    /// Requests it may run at once, according to the host list.
    pub slots: u32,
    /// Requests that were granted and have not ended.
    pub running: u32,
    /// Whether the host list offers it for new work.
    pub presence: Presence,
    /// Learned time between tokens.
    pub token_gaps: TokenGapModel,
    /// Streams allowed so far; the limit starts low and rises with first tokens.
    slow_start_limit: u32,
    /// Reported requests that this scheduler didn't grant.
    external_load: u32,
    /// Decayed sum of prefilled tokens; over `prefill_seconds`, it gives the prefill rate.
    prefill_tokens: f64,
    /// Decayed sum of prefill times, in seconds.
    prefill_seconds: f64,
    /// Prompts without a first token, by sequence number of the grant.
    pending_prefills: BTreeMap<u64, PendingPrefill>,
    last_first_token: Option<Instant>,
    cooldown_until: Option<Instant>,
    consecutive_losses: u32,
    /// Most requests running at once since the last load report.
    current_peak: u32,
    /// Peaks between earlier load reports, by the time of the report.
    peaks: VecDeque<(Instant, u32)>,
    reported_leaving: bool,
    last_grant_at: Option<Instant>,
}

/// A granted prompt whose first token has not arrived.
#[derive(Debug, Clone, Copy)]
struct PendingPrefill {
    tokens: u32,
    granted_at: Instant,
}

impl BackendModel {
    /// Creates a model with initial estimates and the configured number of slots.
    #[must_use]
    pub fn new(slots: u32, presence: Presence) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            presence,
            token_gaps: TokenGapModel::default(),
            slow_start_limit: SLOW_START_LIMIT,
            external_load: 0,
            prefill_tokens: INITIAL_WEIGHT_TOKENS,
            prefill_seconds: INITIAL_WEIGHT_TOKENS / INITIAL_PREFILL_RATE,
            pending_prefills: BTreeMap::new(),
            last_first_token: None,
            cooldown_until: None,
            consecutive_losses: 0,
            current_peak: 0,
            peaks: VecDeque::new(),
            reported_leaving: false,
            last_grant_at: None,
        }
    }

    /// Returns how many requests may run at once while every stream keeps to `gap` seconds.
    #[must_use]
    pub fn limit(&self, gap: f64) -> u32 {
        self.slots
            .min(self.slow_start_limit)
            .min(self.token_gaps.max_streams(gap))
    }

    /// Returns whether it may be given new work: it is live, not leaving, and not in a
    /// cooldown.
    #[must_use]
    pub fn accepts_work(&self, now: Instant) -> bool {
        self.presence == Presence::Live
            && !self.reported_leaving
            && self.cooldown_until.is_none_or(|until| now >= until)
    }

    /// Returns whether its last load report said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.reported_leaving
    }

    /// Returns how many requests may start now while every stream keeps to `gap` seconds.
    #[must_use]
    pub fn free_slots(&self, gap: f64, now: Instant) -> u32 {
        if !self.accepts_work(now) || self.is_overdue(now) {
            return 0;
        }
        self.limit(gap)
            .saturating_sub(self.running + self.external_load)
    }

    /// Returns whether it is idle and had no grant for the probe interval, so that one
    /// request may check whether it is still too slow.
    #[must_use]
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.running == 0
            && self.accepts_work(now)
            && self
                .last_grant_at
                .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
    }

    /// Returns the learned prefill rate in tokens per second.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_tokens / self.prefill_seconds.max(1e-6)
    }

    /// Returns the estimated time of a prefill without queueing, in seconds.
    #[must_use]
    pub fn estimated_prefill(&self, tokens: u32) -> f64 {
        CALL_OVERHEAD_SECONDS + f64::from(tokens) / self.prefill_rate()
    }

    /// Returns the estimated time until all granted prefills are done, in seconds.
    #[must_use]
    pub fn prefill_backlog(&self, now: Instant) -> f64 {
        let Some((elapsed, expected)) = self.oldest_prefill(now) else {
            return 0.0;
        };
        let total: f64 = self
            .pending_prefills
            .values()
            .map(|pending| self.estimated_prefill(pending.tokens))
            .sum();
        if elapsed <= expected {
            return total - elapsed;
        }
        // The first token is late, so the remaining prefills are assumed to be as slow.
        (total - expected) * (elapsed / expected).max(1.0)
    }

    /// Returns whether a first token is overdue. This detects a slow or unresponsive
    /// backend server before any timing is available.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.oldest_prefill(now).is_some_and(|(elapsed, expected)| {
            elapsed > OVERDUE_FACTOR * expected + OVERDUE_MARGIN_SECONDS
        })
    }

    /// Returns the elapsed and the expected time of the oldest pending prefill, in seconds.
    fn oldest_prefill(&self, now: Instant) -> Option<(f64, f64)> {
        let first = self.pending_prefills.values().next()?;
        let since = self.prefill_start(first.granted_at);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        Some((elapsed, self.estimated_prefill(first.tokens)))
    }

    /// Returns when the prefill of a request granted at `at` started: backend servers are
    /// assumed to run prefills one after the other.
    fn prefill_start(&self, at: Instant) -> Instant {
        self.last_first_token.map_or(at, |last| last.max(at))
    }

    /// Records a granted request with `tokens` to prefill.
    pub fn record_grant(&mut self, sequence: u64, tokens: u32, now: Instant) {
        self.last_grant_at = Some(now);
        self.running += 1;
        self.token_gaps.set_running(self.running, now);
        self.current_peak = self.current_peak.max(self.running);
        if tokens > 0 {
            self.pending_prefills.insert(
                sequence,
                PendingPrefill {
                    tokens,
                    granted_at: now,
                },
            );
        }
    }

    /// Records a request that was already running when this scheduler started.
    pub fn adopt(&mut self, now: Instant) {
        self.running += 1;
        self.token_gaps.set_running(self.running, now);
        self.current_peak = self.current_peak.max(self.running);
        self.slow_start_limit = self.slow_start_limit.max(self.running + SLOW_START_STEP);
    }

    /// Records a first token, updates the prefill rate from it, and raises the slow-start
    /// limit.
    pub fn record_first_token(&mut self, sequence: u64, now: Instant) {
        if self.slow_start_limit < UNSAMPLED_LIMIT || self.token_gaps.has_enough_samples() {
            self.slow_start_limit = self
                .slow_start_limit
                .saturating_add(SLOW_START_STEP)
                .min(self.slots);
        }
        self.consecutive_losses = 0;
        let Some(pending) = self.pending_prefills.remove(&sequence) else {
            return;
        };
        let start = self.prefill_start(pending.granted_at);
        self.last_first_token = Some(now);
        let seconds = now.saturating_duration_since(start).as_secs_f64();
        let seconds = (seconds - CALL_OVERHEAD_SECONDS).max(1e-4);
        let tokens = f64::from(pending.tokens);
        let age = tokens / PREFILL_DECAY_TOKENS + seconds / PREFILL_DECAY_SECONDS;
        let decay = (-age).exp();
        self.prefill_tokens = self.prefill_tokens * decay + tokens;
        self.prefill_seconds = self.prefill_seconds * decay + seconds;
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, sequence: u64, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.token_gaps.set_running(self.running, now);
        self.pending_prefills.remove(&sequence);
    }

    /// Starts a cooldown after a call that was lost or whose connection was refused.
    ///
    /// A backend server that crashes repeatedly would otherwise attract work because it is
    /// empty. After the cooldown, which doubles each time, it starts again with a single
    /// request.
    pub fn record_loss(&mut self, now: Instant) {
        if self.cooldown_until.is_some_and(|until| now < until) {
            return;
        }
        let cooldown =
            INITIAL_COOLDOWN * 2_u32.pow(self.consecutive_losses.min(MAX_COOLDOWN_DOUBLINGS));
        self.consecutive_losses += 1;
        self.slow_start_limit = 1;
        self.cooldown_until = Some(now + cooldown);
    }

    /// Applies a lagging load report: load beyond this scheduler's own grants is counted as
    /// external, and a backend server that reports to be leaving gets no more work. All
    /// other figures are ignored.
    pub fn apply_load_report(&mut self, report: &LoadReport, now: Instant) {
        self.reported_leaving = report.leaving;
        self.peaks.push_back((now, self.current_peak));
        self.current_peak = self.running;
        let oldest = now.checked_sub(report.age + Duration::from_secs(2));
        while self.peaks.len() > MAX_PEAKS
            || (self.peaks.len() > 1
                && oldest.is_some_and(|oldest| self.peaks.front().is_some_and(|p| p.0 < oldest)))
        {
            self.peaks.pop_front();
        }
        let granted = self.peaks.iter().map(|(_, peak)| *peak).max();
        let reported = report.running.saturating_add(report.waiting);
        self.external_load = reported.saturating_sub(granted.unwrap_or_default());
    }
}
