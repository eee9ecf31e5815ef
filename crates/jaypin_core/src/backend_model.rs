//! What a shard scheduler has learned of one backend server.
//!
//! Speeds come from the timings that owners saw. Lagging load reports only correct:
//! they can take a backend server out of service or add load that others caused.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::stream_pace::StreamPace;
use crate::{LoadReport, Presence};

/// Prefill speed that is assumed before anything was seen, in tokens a second.
///
/// A high guess costs one late answer; a low one refuses work that would have fitted.
const FIRST_GUESS_PREFILL: f64 = 10_000.0;
/// Weight of the first guess, in tokens.
const FIRST_GUESS_TOKENS: f64 = 200.0;
/// Tokens after which an observation of the prefill speed has lost most of its weight.
const PREFILL_MEMORY_TOKENS: f64 = 4_000.0;
/// Seconds after which an observation of the prefill speed has lost most of its weight.
const PREFILL_MEMORY_SECONDS: f64 = 1.0;
/// Part of a first token's time that is not prefill, in seconds.
const CALL_OVERHEAD: f64 = 0.003;
/// A first token this many times later than expected is overdue.
const OVERDUE_FACTOR: f64 = 3.0;
/// Lateness in seconds below which no first token counts as overdue.
const OVERDUE_SLACK: f64 = 0.25;
/// Streams that a backend server without history may run.
const CAREFUL_LIMIT: u32 = 4;
/// Streams by which a careful limit grows with each first token.
const CAREFUL_STEP: u32 = 2;
/// Streams up to which a careful limit grows before the pace is known: first tokens come
/// faster than streams end, and tell nothing of the gap.
const UNPROVEN_LIMIT: u32 = 6;
/// Rest after the first lost call; doubled with each further one.
const FIRST_REST: Duration = Duration::from_secs(1);
/// Doublings of the rest, at most.
const MAX_DOUBLINGS: u32 = 5;
/// Pause between two probes of a backend server that is too slow for its work.
const PROBE_PAUSE: Duration = Duration::from_secs(5);
/// Load reports whose peaks are remembered.
const PEAKS_KEPT: usize = 64;

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
    pub token_gaps: StreamPace,
    careful: u32,
    foreign: u32,
    prefill_tokens: f64,
    prefill_seconds: f64,
    pending: BTreeMap<u64, Pending>,
    last_first_token: Option<Instant>,
    rest_until: Option<Instant>,
    losses: u32,
    peak: u32,
    peaks: VecDeque<(Instant, u32)>,
    leaving_by_report: bool,
    last_start: Option<Instant>,
}

/// A prompt whose first token has not come.
#[derive(Debug, Clone, Copy)]
struct Pending {
    tokens: u32,
    at: Instant,
}

impl BackendModel {
    /// Starts with guesses and the stated number of slots.
    #[must_use]
    pub fn new(slots: u32, presence: Presence) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            presence,
            token_gaps: StreamPace::default(),
            careful: CAREFUL_LIMIT,
            foreign: 0,
            prefill_tokens: FIRST_GUESS_TOKENS,
            prefill_seconds: FIRST_GUESS_TOKENS / FIRST_GUESS_PREFILL,
            pending: BTreeMap::new(),
            last_first_token: None,
            rest_until: None,
            losses: 0,
            peak: 0,
            peaks: VecDeque::new(),
            leaving_by_report: false,
            last_start: None,
        }
    }

    // ------------------------------------------------------------------ estimates

    /// Requests it may run at once while every stream keeps a gap, in seconds.
    #[must_use]
    pub fn limit(&self, gap: f64) -> u32 {
        self.slots.min(self.careful).min(self.token_gaps.knee(gap))
    }

    /// Whether it takes new work at all.
    #[must_use]
    pub fn takes_work(&self, now: Instant) -> bool {
        self.presence == Presence::Live
            && !self.leaving_by_report
            && self.rest_until.is_none_or(|until| now >= until)
    }

    /// Whether it says of itself that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_by_report
    }

    /// Requests that may start now while every stream keeps a gap.
    #[must_use]
    pub fn room(&self, gap: f64, now: Instant) -> u32 {
        if !self.takes_work(now) || self.is_overdue(now) {
            return 0;
        }
        self.limit(gap).saturating_sub(self.running + self.foreign)
    }

    /// Whether it is idle and nothing was learned of it for long, so that a request may
    /// find out whether it still is as slow as it was.
    #[must_use]
    pub fn probe_is_due(&self, now: Instant) -> bool {
        self.running == 0
            && self.takes_work(now)
            && self
                .last_start
                .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_PAUSE)
    }

    /// Learned prefill speed in tokens a second.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_tokens / self.prefill_seconds.max(1e-6)
    }

    /// Seconds that a prefill takes by itself.
    #[must_use]
    pub fn prefill(&self, tokens: u32) -> f64 {
        CALL_OVERHEAD + f64::from(tokens) / self.prefill_rate()
    }

    /// Seconds until the prefills granted so far are done.
    #[must_use]
    pub fn backlog(&self, now: Instant) -> f64 {
        let Some((elapsed, expected)) = self.head(now) else {
            return 0.0;
        };
        let total: f64 = self
            .pending
            .values()
            .map(|pending| self.prefill(pending.tokens))
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
        self.head(now)
            .is_some_and(|(elapsed, expected)| elapsed > OVERDUE_FACTOR * expected + OVERDUE_SLACK)
    }

    /// Seconds that the oldest pending prefill has taken, and should take.
    fn head(&self, now: Instant) -> Option<(f64, f64)> {
        let first = self.pending.values().next()?;
        let since = self.turn_of(first.at);
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        Some((elapsed, self.prefill(first.tokens)))
    }

    /// When the prefill of a request granted at `at` got its turn.
    fn turn_of(&self, at: Instant) -> Instant {
        self.last_first_token.map_or(at, |last| last.max(at))
    }

    // ------------------------------------------------------------------ requests

    /// Counts a granted request; `tokens` are to be prefilled.
    pub fn start(&mut self, sequence: u64, tokens: u32, now: Instant) {
        self.last_start = Some(now);
        self.running += 1;
        self.token_gaps.set_running(self.running, now);
        self.peak = self.peak.max(self.running);
        if tokens > 0 {
            self.pending.insert(sequence, Pending { tokens, at: now });
        }
    }

    /// Counts a request that was running before this scheduler's time.
    pub fn adopt(&mut self, now: Instant) {
        self.running += 1;
        self.token_gaps.set_running(self.running, now);
        self.peak = self.peak.max(self.running);
        self.careful = self.careful.max(self.running + CAREFUL_STEP);
    }

    /// Learns from a first token.
    pub fn first_token(&mut self, sequence: u64, now: Instant) {
        if self.careful < UNPROVEN_LIMIT || self.token_gaps.is_proven() {
            self.careful = self.careful.saturating_add(CAREFUL_STEP).min(self.slots);
        }
        self.losses = 0;
        let Some(pending) = self.pending.remove(&sequence) else {
            return;
        };
        let turn = self.turn_of(pending.at);
        self.last_first_token = Some(now);
        let seconds = now.saturating_duration_since(turn).as_secs_f64();
        let seconds = (seconds - CALL_OVERHEAD).max(1e-4);
        let tokens = f64::from(pending.tokens);
        let age = tokens / PREFILL_MEMORY_TOKENS + seconds / PREFILL_MEMORY_SECONDS;
        let keep = (-age).exp();
        self.prefill_tokens = self.prefill_tokens * keep + tokens;
        self.prefill_seconds = self.prefill_seconds * keep + seconds;
    }

    /// Counts the end of a request.
    pub fn end(&mut self, sequence: u64, now: Instant) {
        self.running = self.running.saturating_sub(1);
        self.token_gaps.set_running(self.running, now);
        self.pending.remove(&sequence);
    }

    /// Backs off after a call that was lost or could not be opened.
    ///
    /// A backend server that dies again and again would otherwise draw work by being
    /// empty. It is tried again with one request after a rest that doubles.
    pub fn lost(&mut self, now: Instant) {
        if self.rest_until.is_some_and(|until| now < until) {
            return;
        }
        let rest = FIRST_REST * 2_u32.pow(self.losses.min(MAX_DOUBLINGS));
        self.losses += 1;
        self.careful = 1;
        self.rest_until = Some(now + rest);
    }

    /// Takes a lagging report: load that this scheduler did not cause is counted, and
    /// nothing else of the figures is believed.
    pub fn report(&mut self, report: &LoadReport, now: Instant) {
        self.leaving_by_report = report.leaving;
        self.peaks.push_back((now, self.peak));
        self.peak = self.running;
        let oldest = now.checked_sub(report.age + Duration::from_secs(2));
        while self.peaks.len() > PEAKS_KEPT
            || (self.peaks.len() > 1
                && oldest.is_some_and(|oldest| self.peaks.front().is_some_and(|p| p.0 < oldest)))
        {
            self.peaks.pop_front();
        }
        let granted = self.peaks.iter().map(|(_, peak)| *peak).max();
        let seen = report.running.saturating_add(report.waiting);
        self.foreign = seen.saturating_sub(granted.unwrap_or_default());
    }
}
