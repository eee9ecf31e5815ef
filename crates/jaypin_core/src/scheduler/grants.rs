//! The choice of the next request to grant. `placement.rs` rates its backend servers.

use std::time::{Duration, Instant};

use super::placement::{DEFERRABLE_FACTOR, Placement, Round};
use super::queue::WaitingRequest;
use super::running::RunningGrant;
use super::{OutgoingMessage, Scheduler};
use crate::rule_index::TierTargets;
use crate::{BackendId, Candidate, Grant, Message, RequestId};

/// Slots needed by higher tiers below which none are reserved for them.
const MIN_NEEDED_SLOTS: f64 = 0.5;
/// Maximum fraction of all slots that is reserved against deferrable work.
const MAX_RESERVED_FRACTION: f64 = 0.9;
/// Maximum number of requests of a tier that are considered for one grant.
const MAX_CONSIDERED_PER_TIER: usize = 16;
/// Avoidable prefill, in tokens, above which a request lets others of its tier go first.
const TOLERATED_AVOIDABLE_TOKENS: u32 = 64;
/// Fraction of the time to its latest start for which a request lets others go first.
const CACHE_WAIT_FRACTION: f64 = 0.3;
/// Slots reserved for bursts, as a factor on the square root of the slots that higher tiers
/// need.
const BURST_FACTOR: f64 = 0.5;
/// Maximum credit towards a minimum share, as a multiple of the cost of the next request.
const MAX_CREDIT: f64 = 2.0;
/// Maximum debt of a tier that got more than its minimum share, as a multiple of the cost
/// of its last request. Through the debt, what the tier got in the last seconds counts
/// against its minimum share later.
const MAX_DEBT: f64 = 8.0;

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

/// Returns whether a request has time left to wait for a backend server with its prefix
/// cached.
fn can_wait_for_cached_prefix(waiting: &WaitingRequest, round: &Round) -> bool {
    let time_to_latest_start = waiting
        .latest_start
        .saturating_duration_since(waiting.queued_at);
    let elapsed = round.now.saturating_duration_since(waiting.queued_at);
    waiting.ask.tier > 0 && elapsed < time_to_latest_start.mul_f64(CACHE_WAIT_FRACTION)
}
