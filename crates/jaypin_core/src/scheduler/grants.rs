//! The choice of the next request to grant and of its backend server.

use std::time::{Duration, Instant};

use super::queue::WaitingRequest;
use super::running::RunningGrant;
use super::{Backend, OutgoingMessage, Scheduler};
use crate::rule_index::TierTargets;
use crate::{BackendId, Candidate, Grant, Message, RequestId};

/// Maximum number of backend servers listed in a grant's explanation.
const EXPLAINED_CANDIDATES: usize = 3;
/// Slots needed by higher tiers below which none are reserved for them.
const MIN_NEEDED_SLOTS: f64 = 0.5;
/// Maximum fraction of all slots that is reserved against deferrable work.
const MAX_RESERVED_FRACTION: f64 = 0.9;
/// Maximum number of requests of a tier that are considered for one grant.
const MAX_CONSIDERED_PER_TIER: usize = 16;
/// Weight of prefill time that another backend server of the shard would save.
///
/// It is above 1 because avoidable prefill delays all waiting requests, while a slower
/// answer delays one request that still meets its deadline.
const AVOIDABLE_PREFILL_WEIGHT: f64 = 8.0;
/// Avoidable prefill, in tokens, above which a request lets others of its tier go first.
const TOLERATED_AVOIDABLE_TOKENS: u32 = 64;
/// Fraction of the time to its latest start for which a request lets others go first.
const CACHE_WAIT_FRACTION: f64 = 0.3;
/// Weight of the answer time; it is low because a slower answer that meets its deadline
/// costs little.
const ANSWER_WEIGHT: f64 = 0.1;
/// A tier is deferrable if its first-token target is at least this multiple of a higher
/// tier's.
const DEFERRABLE_FACTOR: f64 = 4.0;
/// Slots reserved for bursts, as a factor on the square root of the slots that higher tiers
/// need.
const BURST_FACTOR: f64 = 0.5;
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
/// Maximum credit towards a minimum share, as a multiple of the cost of the next request.
const MAX_CREDIT: f64 = 2.0;
/// Maximum debt of a tier that got more than its minimum share, as a multiple of the cost
/// of its last request. Through the debt, what the tier got in the last seconds counts
/// against its minimum share later.
const MAX_DEBT: f64 = 8.0;

/// A backend server that can serve a request, with the estimates it was rated by.
#[derive(Debug, Clone)]
struct Placement {
    backend: BackendId,
    /// Rating in seconds; the lowest one wins.
    score: f64,
    /// Prefill tokens that another backend server would save.
    avoidable_tokens: u32,
    /// Estimated time to the first token, in seconds.
    first_token: f64,
    /// Requests that the backend server runs.
    running: u32,
    /// Requests that the backend server may run at once.
    limit: u32,
}

/// The inputs that all decisions of one granting round share.
#[derive(Debug)]
struct Round {
    now: Instant,
    /// Shortest target of all tiers for the time between tokens, in seconds.
    strict_gap: f64,
    /// Whether any live backend server keeps the strict gap with a single stream.
    has_fast_backend: bool,
    /// Free slots of the backend servers that keep the strict gap.
    free_strict_slots: u32,
    /// Whether all slots that are left are reserved for higher tiers.
    is_reserved: bool,
}

impl Scheduler {
    /// Grants slots to waiting requests until none of them fits a backend server.
    pub(super) fn grant_waiting(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        if now < self.ready_at || self.queue.len() == 0 {
            return;
        }
        while let Some((id, placements)) = self.next_placement(now) {
            self.grant(&id, placements, now, out);
        }
    }

    /// Returns the next request to grant and its possible placements, the chosen one first.
    fn next_placement(&self, now: Instant) -> Option<(RequestId, Vec<Placement>)> {
        let mut round = self.round(now)?;
        let owed = self.tier_owed_minimum();
        let order = owed
            .into_iter()
            .chain(self.queue.ranks().filter(|rank| Some(*rank) != owed));
        for rank in order {
            let tier = self.rules.tier(rank);
            let mut reserved = self.slots_reserved_above(rank);
            if owed != Some(rank) {
                reserved += self.headroom(&tier, now);
            }
            round.is_reserved = round.free_strict_slots <= reserved;
            if let Some(pair) = self.next_in_tier(&tier, &round) {
                return Some(pair);
            }
        }
        None
    }

    /// Returns the first request of a tier that has a placement without avoidable prefill.
    /// If there is none, returns the first that has any placement and can't wait longer for
    /// its cached prefix.
    fn next_in_tier(
        &self,
        tier: &TierTargets,
        round: &Round,
    ) -> Option<(RequestId, Vec<Placement>)> {
        let mut fallback = None;
        for waiting in self.queue.in_order(tier.rank).take(MAX_CONSIDERED_PER_TIER) {
            let placements = self.placements(waiting, tier, round);
            let Some(best) = placements.first() else {
                continue;
            };
            let pair = (waiting.ask.id.clone(), placements.clone());
            if best.avoidable_tokens <= TOLERATED_AVOIDABLE_TOKENS {
                return Some(pair);
            }
            if fallback.is_none() && !can_wait_for_cached_prefix(waiting, round) {
                fallback = Some(pair);
            }
        }
        fallback
    }

    /// Returns the inputs of a round; `None` when no backend server has a free slot.
    fn round(&self, now: Instant) -> Option<Round> {
        let strict_gap = self.strict_gap();
        let mut round = Round {
            now,
            strict_gap,
            has_fast_backend: false,
            free_strict_slots: 0,
            is_reserved: false,
        };
        let mut has_free_slot = false;
        for backend in self.live_backends() {
            let is_too_slow = backend.model.token_gaps.single_stream_exceeds(strict_gap);
            round.has_fast_backend |= !is_too_slow;
            has_free_slot |= backend.model.free_slots(f64::MAX, now) > 0;
            if !is_too_slow {
                round.free_strict_slots += backend.model.free_slots(strict_gap, now);
            }
        }
        has_free_slot.then_some(round)
    }

    /// Returns the slots that higher tiers have reserved and don't use.
    ///
    /// At least one of the currently usable slots is left over. Otherwise, a backend server
    /// that is probed with a single request would wait forever for a request of a higher
    /// tier.
    fn slots_reserved_above(&self, rank: u8) -> u32 {
        let higher = self.rules.tiers().iter().filter(|tier| tier.rank < rank);
        let reserved: u32 = higher
            .map(|tier| {
                tier.reserved_slots
                    .saturating_sub(self.running.of_tier(tier.rank))
            })
            .sum();
        let slots: u32 = self
            .live_backends()
            .map(|backend| backend.model.limit(self.strict_gap()))
            .sum();
        reserved.min(slots.saturating_sub(1))
    }

    /// Returns the slots that deferrable work leaves free for arrivals of higher tiers: the
    /// slots they need at their current rate plus a margin for bursts, less those they
    /// hold.
    ///
    /// Deferrable requests hold slots for a long time. If they got every slot that is
    /// momentarily free, higher tiers would have to wait until enough of them have ended,
    /// and the lowest interactive tier would be refused while deferrable work runs.
    fn headroom(&self, tier: &TierTargets, now: Instant) -> u32 {
        let is_urgent = |other: &&TierTargets| {
            other.rank < tier.rank && tier.first_token >= DEFERRABLE_FACTOR * other.first_token
        };
        let urgent = self.rules.tiers().iter().filter(is_urgent);
        let Some(lowest_urgent) = urgent.clone().map(|other| other.rank).max() else {
            return 0;
        };
        let running: u32 = urgent.map(|other| self.running.of_tier(other.rank)).sum();
        let needed = self.slots_needed_above(lowest_urgent + 1, now);
        if needed < MIN_NEEDED_SLOTS {
            return 0;
        }
        let reserved = needed + BURST_FACTOR * needed.sqrt();
        let unused =
            reserved.min(self.capacity(now).slots * MAX_RESERVED_FRACTION) - f64::from(running);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive count, rounded up"
        )]
        let slots = unused.max(0.0).ceil() as u32;
        slots
    }

    /// Returns the rank of a tier whose credit pays for its next request, if any. The top
    /// tier always goes first.
    fn tier_owed_minimum(&self) -> Option<u8> {
        let top = self.queue.ranks().next()?;
        if self
            .rules
            .tiers()
            .first()
            .is_some_and(|tier| tier.rank == top)
        {
            return None;
        }
        self.queue.ranks().skip(1).find(|rank| {
            let cost = self.queue.in_order(*rank).next();
            let cost = cost.map_or(f64::MAX, |waiting| waiting.work().tokens());
            self.minimum_credit
                .get(rank)
                .is_some_and(|credit| *credit >= cost)
        })
    }

    /// Adds each waiting tier's minimum share of a grant to its credit, and subtracts the
    /// grant from the credit of its own tier.
    fn update_minimum_credit(&mut self, rank: u8, tokens: f64) {
        if let Some(credit) = self.minimum_credit.get_mut(&rank) {
            *credit = (*credit - tokens).max(-MAX_DEBT * tokens);
        }
        for tier in self
            .rules
            .tiers()
            .iter()
            .filter(|tier| tier.minimum_share > 0.0)
        {
            let Some(next) = self.queue.in_order(tier.rank).next() else {
                continue;
            };
            let max_credit = next.work().tokens() * MAX_CREDIT;
            let credit = self.minimum_credit.entry(tier.rank).or_default();
            *credit = (*credit + tokens * tier.minimum_share).min(max_credit);
        }
    }

    /// Returns the best placements of a request, lowest score first.
    fn placements(
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
    fn uncached_tokens(&self, backend: &Backend, waiting: &WaitingRequest) -> u32 {
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

    /// Removes a request from the queue and sends its owner a grant for the best placement.
    fn grant(
        &mut self,
        id: &RequestId,
        placements: Vec<Placement>,
        now: Instant,
        out: &mut Vec<OutgoingMessage>,
    ) {
        let Some(waiting) = self.queue.take_for_service(id) else {
            return;
        };
        let chosen = placements[0].backend.clone();
        self.number.sequence += 1;
        self.start(&waiting, &chosen, now);
        self.update_minimum_credit(waiting.ask.tier, waiting.work().tokens());
        let candidates = placements.into_iter().map(|placement| Candidate {
            backend: placement.backend,
            first_token: Duration::from_secs_f64(placement.first_token),
            running: placement.running,
            limit: placement.limit,
        });
        let grant = Grant {
            shard: self.shard.clone(),
            id: waiting.ask.id,
            attempt: waiting.ask.attempt,
            number: self.number,
            backend: chosen,
            candidates: candidates.collect(),
            expected_wait: now.saturating_duration_since(waiting.queued_at),
        };
        out.push((waiting.owner, Message::Grant(grant)));
    }

    /// Counts a granted request on its backend server and in its account's usage.
    fn start(&mut self, waiting: &WaitingRequest, chosen: &BackendId, now: Instant) {
        let Some(backend) = self.backends.get(chosen) else {
            return;
        };
        let tokens = self.uncached_tokens(backend, waiting);
        let expected = backend.model.prefill_backlog(now)
            + backend.model.estimated_prefill(tokens)
            + f64::from(waiting.answer_tokens)
                * backend.model.token_gaps.gap(backend.model.running + 1);
        let grant = RunningGrant {
            number: self.number,
            attempt: waiting.ask.attempt,
            owner: waiting.owner.clone(),
            backend: chosen.clone(),
            account: waiting.ask.account.clone(),
            tier: waiting.ask.tier,
            granted_at: now,
            expected_end: now + Duration::from_secs_f64(expected * 1.5),
            first_token_at: None,
            stream_seconds_at_first_token: 0.0,
            check_at: now,
        };
        if let Some(backend) = self.backends.get_mut(chosen) {
            backend
                .model
                .record_grant(self.number.sequence, tokens, now);
            backend.prefixes.insert(&waiting.ask.prefixes, tokens);
        }
        self.limits.record_start(&waiting.ask.account);
        self.running.insert(waiting.ask.id.clone(), grant);
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

/// Returns whether a request has time left to wait for a backend server with its prefix
/// cached.
fn can_wait_for_cached_prefix(waiting: &WaitingRequest, round: &Round) -> bool {
    let time_to_latest_start = waiting
        .latest_start
        .saturating_duration_since(waiting.queued_at);
    let elapsed = round.now.saturating_duration_since(waiting.queued_at);
    waiting.ask.tier > 0 && elapsed < time_to_latest_start.mul_f64(CACHE_WAIT_FRACTION)
}
