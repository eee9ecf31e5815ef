//! Rating of the backend servers that can serve a waiting request.

use std::time::Instant;

use super::queue::WaitingRequest;
use super::{Backend, Scheduler};
use crate::BackendId;
use crate::rule_index::TierTargets;

/// A tier is deferrable if its first-token target is at least this multiple of a higher
/// tier's.
pub const DEFERRABLE_FACTOR: f64 = 4.0;
/// Maximum number of backend servers listed in a grant's explanation.
const EXPLAINED_CANDIDATES: usize = 3;
/// Weight of prefill time that another backend server of the shard would save.
///
/// It is above 1 because avoidable prefill delays all waiting requests, while a slower
/// answer delays one request that still meets its deadline.
const AVOIDABLE_PREFILL_WEIGHT: f64 = 8.0;
/// Weight of the answer time; it is low because a slower answer that meets its deadline
/// costs little.
const ANSWER_WEIGHT: f64 = 0.1;
/// Prefill backlog of a backend server, in seconds, above which it gets no deferrable work:
/// requests can't be reordered once they wait inside the inference engine.
const MAX_DEFERRABLE_BACKLOG: f64 = 0.1;
/// Fraction of a higher tier's first-token target by which prefills of lower tiers may
/// delay it.
const PREFILL_DELAY_FRACTION: f64 = 0.3;
/// Lower tiers leave one in this many backend servers without long prefills.
const UNCROWDED_DIVISOR: usize = 3;
/// Penalty of a fully loaded backend server over an empty one, in seconds.
const LOAD_WEIGHT: f64 = 0.01;

/// A backend server that can serve a request, with the estimates it was rated by.
#[derive(Debug, Clone)]
pub struct Placement {
    pub backend: BackendId,
    /// Rating in seconds; the lowest one wins.
    pub score: f64,
    /// Prefill tokens that another backend server would save.
    pub avoidable_tokens: u32,
    /// Estimated time to the first token, in seconds.
    pub first_token: f64,
    /// Requests that the backend server runs.
    pub running: u32,
    /// Requests that the backend server may run at once.
    pub limit: u32,
}

/// The inputs that all decisions of one granting round share.
#[derive(Debug)]
pub struct Round {
    pub now: Instant,
    /// Shortest target of all tiers for the time between tokens, in seconds.
    pub strict_gap: f64,
    /// Whether any live backend server keeps the strict gap with a single stream.
    pub has_fast_backend: bool,
    /// Free slots of the backend servers that keep the strict gap.
    pub free_strict_slots: u32,
    /// Whether all slots that are left are reserved for higher tiers.
    pub is_reserved: bool,
}

impl Scheduler {
    /// Returns the best placements of a request, lowest score first.
    pub(super) fn placements(
        &self,
        waiting: &WaitingRequest,
        tier: &TierTargets,
        round: &Round,
    ) -> Vec<Placement> {
        let tolerable_delay = self.tolerable_prefill_delay(tier.rank);
        let max_cached_tokens = self.max_cached_tokens(waiting);
        let mut best: Vec<Placement> = Vec::new();
        for (id, backend) in &self.backends {
            let Some(mut placement) = self.placement(
                backend,
                waiting,
                tier,
                round,
                (tolerable_delay, max_cached_tokens),
            ) else {
                continue;
            };
            let index = best.partition_point(|other| other.score <= placement.score);
            if index < EXPLAINED_CANDIDATES {
                placement.backend = id.clone();
                best.insert(index, placement);
                best.truncate(EXPLAINED_CANDIDATES);
            }
        }
        best
    }

    /// Rates a backend server for a request; `None` when it can't serve the request within
    /// its targets.
    fn placement(
        &self,
        backend: &Backend,
        waiting: &WaitingRequest,
        tier: &TierTargets,
        round: &Round,
        (tolerable_delay, max_cached_tokens): (Option<f64>, u32),
    ) -> Option<Placement> {
        let model = &backend.model;
        let gap = target_gap(backend, tier, round)?;
        if round.is_reserved
            && round.has_fast_backend
            && !model.token_gaps.single_stream_exceeds(round.strict_gap)
        {
            return None;
        }
        if model.free_slots(gap, round.now) == 0 {
            return None;
        }
        let (backlog, prefill) = self.prefill_estimate(backend, waiting, round.now);
        let first_token = backlog + prefill;
        let max_backlog = if tier.first_token
            >= DEFERRABLE_FACTOR
                * tolerable_delay.map_or(f64::MAX, |delay| delay / PREFILL_DELAY_FRACTION)
        {
            MAX_DEFERRABLE_BACKLOG
        } else {
            tolerable_delay.unwrap_or(f64::MAX)
        };
        if backlog > max_backlog {
            return None;
        }
        if tolerable_delay.is_some_and(|delay| {
            self.would_delay_higher_tiers(backend, first_token, delay, round.now)
        }) {
            return None;
        }
        let answer = f64::from(waiting.answer_tokens) * model.token_gaps.gap(model.running + 1);
        let elapsed = round.now.saturating_duration_since(waiting.queued_at);
        let first_token_time_left = waiting.ask.first_token_due_in.saturating_sub(elapsed);
        let response_time_left = waiting.ask.response_due_in.saturating_sub(elapsed);
        if first_token > first_token_time_left.as_secs_f64()
            || first_token + answer > response_time_left.as_secs_f64()
        {
            return None;
        }
        let limit = model.limit(gap);
        // A prefill delays other requests as well as this one, so it counts twice. Load
        // decides between backend servers that are equally fast.
        let load = f64::from(model.running) / f64::from(limit.max(1));
        let cached = backend.prefixes.cached_tokens(&waiting.ask.prefixes);
        let avoidable_tokens = max_cached_tokens.saturating_sub(cached);
        let avoidable_time = f64::from(avoidable_tokens) / model.prefill_rate();
        let score = first_token
            + prefill
            + ANSWER_WEIGHT * answer
            + AVOIDABLE_PREFILL_WEIGHT * avoidable_time
            + LOAD_WEIGHT * load;
        Some(Placement {
            backend: BackendId::default(),
            score,
            avoidable_tokens,
            first_token,
            running: model.running,
            limit,
        })
    }

    /// Returns the estimated prefill backlog ahead of a request and its own prefill time,
    /// in seconds.
    fn prefill_estimate(
        &self,
        backend: &Backend,
        waiting: &WaitingRequest,
        now: Instant,
    ) -> (f64, f64) {
        if self.is_plain {
            return (0.0, 0.0);
        }
        let tokens = self.uncached_tokens(backend, waiting);
        (
            backend.model.prefill_backlog(now),
            backend.model.estimated_prefill(tokens),
        )
    }

    /// Returns the largest number of prompt tokens that any backend server of the shard has
    /// cached.
    fn max_cached_tokens(&self, waiting: &WaitingRequest) -> u32 {
        if self.is_plain || waiting.ask.prefixes.is_empty() {
            return 0;
        }
        let cached = self
            .live_backends()
            .map(|backend| backend.prefixes.cached_tokens(&waiting.ask.prefixes));
        cached.max().unwrap_or_default()
    }

    /// Returns the prompt tokens that a backend server has to prefill for a request.
    pub(super) fn uncached_tokens(&self, backend: &Backend, waiting: &WaitingRequest) -> u32 {
        if self.is_plain {
            return 0;
        }
        let cached = backend.prefixes.cached_tokens(&waiting.ask.prefixes);
        waiting.ask.prompt_tokens.saturating_sub(cached).max(1)
    }

    /// Returns the seconds of prefill by which requests of tiers above a rank may be
    /// delayed; `None` for the top tier.
    fn tolerable_prefill_delay(&self, rank: u8) -> Option<f64> {
        let higher = self.rules.tiers().iter().filter(|tier| tier.rank < rank);
        let shortest_target = higher.map(|tier| tier.first_token).reduce(f64::min)?;
        Some(shortest_target * PREFILL_DELAY_FRACTION)
    }

    /// Returns whether a long prefill on this backend server would leave too few others on
    /// which a request of a higher tier could start at once.
    fn would_delay_higher_tiers(
        &self,
        backend: &Backend,
        first_token: f64,
        tolerable_delay: f64,
        now: Instant,
    ) -> bool {
        if self.is_plain || first_token <= tolerable_delay || self.backends.len() < 2 {
            return false;
        }
        let is_uncrowded = |other: &&Backend| {
            other.model.accepts_work(now) && other.model.prefill_backlog(now) <= tolerable_delay
        };
        let uncrowded = self.live_backends().filter(is_uncrowded).count();
        let uncrowded_after = uncrowded - usize::from(is_uncrowded(&backend));
        uncrowded_after < self.backends.len().div_ceil(UNCROWDED_DIVISOR)
    }
}

/// Returns the time between tokens that a backend server must keep for a tier, in seconds;
/// `None` when it can't.
///
/// A backend server that is too slow for interactive work gets deferrable work within that
/// work's own target. From time to time it also gets a single request that shows whether it
/// has recovered.
fn target_gap(backend: &Backend, tier: &TierTargets, round: &Round) -> Option<f64> {
    let gaps = &backend.model.token_gaps;
    if !round.has_fast_backend || !gaps.single_stream_exceeds(round.strict_gap) {
        return Some(round.strict_gap);
    }
    if !gaps.single_stream_exceeds(tier.gap) {
        return Some(tier.gap);
    }
    backend
        .model
        .is_probe_due(round.now)
        .then_some(round.strict_gap)
}
