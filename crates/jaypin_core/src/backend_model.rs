//! What a shard scheduler has learned of one backend server.
//!
//! Speeds come from the timings that owners saw. Lagging load reports only correct:
//! they can take a backend server out of service or add load that others caused.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::token_gaps::TokenGapModel;
use crate::{LoadReport, Presence};

/// Prefill speed that is assumed before anything was seen, in tokens a second.
///
/// A high guess costs one late answer; a low one refuses work that would have fitted.
const INITIAL_PREFILL_RATE: f64 = 10_000.0;
/// Weight of the first guess, in tokens.
const INITIAL_WEIGHT_TOKENS: f64 = 200.0;
/// Tokens after which an observation of the prefill speed has lost most of its weight.
const PREFILL_DECAY_TOKENS: f64 = 4_000.0;
/// Seconds after which an observation of the prefill speed has lost most of its weight.
const PREFILL_DECAY_SECONDS: f64 = 1.0;
/// Part of a first token's time that is not prefill, in seconds.
const CALL_OVERHEAD_SECONDS: f64 = 0.003;
/// A first token this many times later than expected is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Lateness in seconds below which no first token counts as overdue.
const OVERDUE_MARGIN_SECONDS: f64 = 0.25;
/// Streams that a backend server without history may run.
const SLOW_START_LIMIT: u32 = 4;
/// Streams by which a careful limit grows with each first token.
const SLOW_START_STEP: u32 = 2;
/// Streams up to which a careful limit grows before the pace is known: first tokens come
/// faster than streams end, and tell nothing of the gap.
const UNSAMPLED_LIMIT: u32 = 6;
/// Rest after the first lost call; doubled with each further one.
const INITIAL_COOLDOWN: Duration = Duration::from_secs(1);
/// Doublings of the rest, at most.
const MAX_COOLDOWN_DOUBLINGS: u32 = 5;
/// Pause between two probes of a backend server that is too slow for its work.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Load reports whose peaks are remembered.
const MAX_PEAKS: usize = 64;

/// Speeds, load and presence of one backend server.
#[derive(Debug, Clone)]
pub struct BackendModel {
    /// Requests it may run at once, as the host list states it.
    pub slots: u32,
    /// Requests that were granted and have not ended.
    pub running: u32,
    /// Whether it takes work.
    pub presence: Presence,
    /// Learned time between tokens.
    pub token_gaps: TokenGapModel,
    slow_start_limit: u32,
    external_load: u32,
    prefill_tokens: f64,
    prefill_seconds: f64,
    pending_prefills: BTreeMap<u64, PendingPrefill>,
    last_first_token: Option<Instant>,
    cooldown_until: Option<Instant>,
    consecutive_losses: u32,
    current_peak: u32,
    peaks: VecDeque<(Instant, u32)>,
    reported_leaving: bool,
    last_grant_at: Option<Instant>,
}

/// A prompt whose first token has not come.
#[derive(Debug, Clone, Copy)]
struct PendingPrefill {
    tokens: u32,
    granted_at: Instant,
}

impl BackendModel {
    /// Starts with guesses and the stated number of slots.
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

    // ------------------------------------------------------------------ estimates

    /// Requests it may run at once while every stream keeps a gap, in seconds.
    #[must_use]
    pub fn limit(&self, gap: f64) -> u32 {
        self.slots.min(self.slow_start_limit).min(self.token_gaps.max_streams(gap))
    }

    /// Whether it takes new work at all.
    #[must_use]
    pub fn accepts_work(&self, now: Instant) -> bool {
        self.presence == Presence::Live
            && !self.reported_leaving
            && self.cooldown_until.is_none_or(|until| now >= until)
    }

    /// Whether it says of itself that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.reported_leaving
    }

    /// Requests that may start now while every stream keeps a gap.
    #[must_use]
    pub fn free_slots(&self, gap: f64, now: Instant) -> u32 {
        if !self.accepts_work(now) || self.is_overdue(now) {
            return 0;
        }
        self.limit(gap).saturating_sub(self.running + self.external_load)
    }

    /// Whether it is idle and nothing was learned of it for long, so that a request may
    /// find out whether it still is as slow as it was.
    #[must_use]
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.running == 0
            && self.accepts_work(now)
            && self
                .last_grant_at
                .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
    }

    /// Learned prefill speed in tokens a second.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_tokens / self.prefill_seconds.max(1e-6)
    }

    /// Seconds that a prefill takes by itself.
    #[must_use]
    pub fn estimated_prefill(&self, tokens: u32) -> f64 {
        CALL_OVERHEAD_SECONDS + f64::from(tokens) / self.prefill_rate()
    }

    /// Seconds until the prefills granted so far are done.
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
        // The first token is late: the rest is taken to be as slow.
        (total - expected) * (elapsed / expected).max(1.0)
    }

    /// Whether a first token is overdue: the sign of a slow or silent backend server
    /// that shows before any timing arrives.
    #[must_use]
    pub fn is_overdue(&self, now: Instant) -> bool {
        self.oldest_prefill(now)
            .is_some_and(|(elapsed, expected)| { elapsed > OVERDUE_FACTOR * expected + OVERDUE_MARGIN_SECONDS
        })
    }

    /// Seconds that the oldest pending prefill has taken, and should take.
    fn oldest_prefill(&self, now: Instant) -> Option<(f64, f64)> {
        let first = self.pending_prefills.values().next()?;
        let since = self.prefill_start(first.granted_at);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        Some((elapsed, self.estimated_prefill(first.tokens)))
    }

    /// When the prefill of a request granted at `at` got its turn.
    fn prefill_start(&self, at: Instant) -> Instant {
        self.last_first_token.map_or(at, |last| last.max(at))
    }

    // ------------------------------------------------------------------ requests

    /// Counts a granted request; `tokens` are to be prefilled.
    pub fn record_grant(&mut self, sequence: u64, tokens: u32, now: Instant) {
        self.last_grant_at = Some(now);
        self.running += 1;
        self.token_gaps.set_running(self.running, now);
        self.current_peak = self.current_peak.max(self.running);
        if tokens > 0 {
            self.pending_prefills.insert(sequence,
                PendingPrefill { tokens,
                    granted_at: now, },);
        }
    }

    /// Counts a request that was running before this scheduler's time.
    pub fn adopt(&mut self, now: Instant) {
        self.running += 1;
        self.token_gaps.set_running(self.running, now);
        self.current_peak = self.current_peak.max(self.running);
        self.slow_start_limit = self.slow_start_limit.max(self.running + SLOW_START_STEP);
    }

    /// Learns from a first token.
    pub fn record_first_token(&mut self, sequence: u64, now: Instant) {
        if self.slow_start_limit < UNSAMPLED_LIMIT || self.token_gaps.has_enough_samples() {
            self.slow_start_limit = self.slow_start_limit.saturating_add(SLOW_START_STEP).min(self.slots);
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

    /// Counts the end of a request.
    pub fn record_end(&mut self, sequence: u64, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.token_gaps.set_running(self.running, now);
        self.pending_prefills.remove(&sequence);
    }

    /// Backs off after a call that was lost or could not be opened.
    ///
    /// A backend server that dies again and again would otherwise draw work by being
    /// empty. It is tried again with one request after a rest that doubles.
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

    /// Takes a lagging report: load that this scheduler did not cause is counted, and
    /// nothing else of the figures is believed.
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
