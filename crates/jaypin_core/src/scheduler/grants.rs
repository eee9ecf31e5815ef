//! Which request gets which backend server next.

use std::time::{Duration, Instant};

use super::queue::WaitingAsk;
use super::running::Running;
use super::{Backend, OutgoingMessage, Scheduler};
use crate::rule_index::TierTargets;
use crate::{BackendId, Candidate, Grant, Message, RequestId};

/// Backend servers named in a grant's explanation.
const EXPLAINED_CANDIDATES: usize = 3;
/// Slots that higher tiers need, below which none are kept for them.
const LEAST_NEED: f64 = 0.5;
/// Part of all slots that may be kept from deferrable work.
const MOST_KEPT: f64 = 0.9;
/// Requests of a tier that are weighed before one is granted.
const TRIED_PER_TIER: usize = 16;
/// Weight of prefill that another backend server of the shard would save.
///
/// Above 1, for it takes time from all that wait, while a slower answer takes time from
/// one request that still meets its deadline.
const WASTE_WEIGHT: f64 = 8.0;
/// Tokens of avoidable prefill from which a request lets others of its tier pass.
const TOLERATED_WASTE: u32 = 64;
/// Part of the time to its latest start for which a request lets others pass.
const PATIENCE: f64 = 0.3;
/// Weight of the answer's time: a slower answer that meets its deadline costs little.
const ANSWER_WEIGHT: f64 = 0.1;
/// A tier can wait if its first-token time is so many times a higher tier's.
const DEFERRABLE_FACTOR: f64 = 4.0;
/// Slots kept for bursts, as a factor on the root of the slots that higher tiers need.
const BURST_ROOTS: f64 = 0.5;
/// Seconds of prefill queued at a backend server beyond which no deferrable work is
/// added: what waits inside an engine can't be overtaken.
const MAX_BACKLOG: f64 = 0.1;
/// Part of a higher tier's first-token time that lower tiers' prefills may take up.
const GUARD_PART: f64 = 0.3;
/// Backend servers, one in so many, that lower tiers leave without long prefills.
const CALM_ONE_IN: usize = 3;
/// Seconds that a full backend server counts as slower than an empty one.
const LOAD_WEIGHT: f64 = 0.01;
/// Largest credit of a minimum, in times the cost of the request it is spent on.
const MAX_CREDIT: f64 = 2.0;
/// Largest debt of a tier that got more than its minimum, in times the cost of its last
/// request: what it got in the last seconds counts against a minimum later.
const MAX_DEBT: f64 = 8.0;

/// A backend server that a request could go to.
#[derive(Debug, Clone)]
struct Choice {
    backend: BackendId,
    score: f64,
    /// Tokens of prefill that another backend server would save.
    waste: u32,
    first_token: f64,
    running: u32,
    limit: u32,
}

/// What a round of granting goes by.
#[derive(Debug)]
struct Round {
    now: Instant,
    strict_gap: f64,
    strict_is_possible: bool,
    strict_room: u32,
    /// Whether the room that is left is kept for higher tiers.
    is_reserved: bool,
}

impl Scheduler {
    /// Grants while something that waits fits somewhere.
    pub(super) fn pump(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        if now < self.ready_at || self.queue.len() == 0 {
            return;
        }
        while let Some((id, options)) = self.next_pair(now) {
            self.grant(&id, options, now, out);
        }
    }

    /// The next request and its backend servers, the chosen one first.
    fn next_pair(&self, now: Instant) -> Option<(RequestId, Vec<Choice>)> {
        let mut round = self.round(now)?;
        let owed = self.owed_minimum();
        let order = owed
            .into_iter()
            .chain(self.queue.ranks().filter(|rank| Some(*rank) != owed));
        for rank in order {
            let tier = self.rules.tier(rank);
            let mut kept = self.reserved_against(rank);
            if owed != Some(rank) {
                kept += self.headroom(&tier, now);
            }
            round.is_reserved = round.strict_room <= kept;
            if let Some(pair) = self.next_of_tier(&tier, &round) {
                return Some(pair);
            }
        }
        None
    }

    /// The first request of a tier that finds a backend server without avoidable
    /// prefill; failing that, the first that finds any and has no time to lose.
    fn next_of_tier(&self, tier: &TierTargets, round: &Round) -> Option<(RequestId, Vec<Choice>)> {
        let mut wasteful = None;
        for waiting in self.queue.in_order(tier.rank).take(TRIED_PER_TIER) {
            let options = self.options(waiting, tier, round);
            let Some(best) = options.first() else {
                continue;
            };
            let pair = (waiting.ask.id.clone(), options.clone());
            if best.waste <= TOLERATED_WASTE {
                return Some(pair);
            }
            if wasteful.is_none() && !may_let_pass(waiting, round) {
                wasteful = Some(pair);
            }
        }
        wasteful
    }

    /// What a round goes by; none when no backend server has room.
    fn round(&self, now: Instant) -> Option<Round> {
        let strict_gap = self.strict_gap();
        let mut round = Round {
            now,
            strict_gap,
            strict_is_possible: false,
            strict_room: 0,
            is_reserved: false,
        };
        let mut has_room = false;
        for backend in self.live_backends() {
            let is_slow = backend.model.token_gaps.misses(strict_gap);
            round.strict_is_possible |= !is_slow;
            has_room |= backend.model.room(f64::MAX, now) > 0;
            if !is_slow {
                round.strict_room += backend.model.room(strict_gap, now);
            }
        }
        has_room.then_some(round)
    }

    /// Slots that higher tiers have reserved and not in use; at least one of those that
    /// may be used now is left over, or a backend server that is tried with a single
    /// request would wait for a higher tier's for ever.
    fn reserved_against(&self, rank: u8) -> u32 {
        let higher = self.rules.tiers().iter().filter(|tier| tier.rank < rank);
        let reserved: u32 = higher
            .map(|tier| tier.reserve.saturating_sub(self.running.of_tier(tier.rank)))
            .sum();
        let slots: u32 = self
            .live_backends()
            .map(|backend| backend.model.limit(self.strict_gap()))
            .sum();
        reserved.min(slots.saturating_sub(1))
    }

    /// Slots that deferrable work leaves free for the arrivals of higher tiers: what
    /// they need at their present rate, and a little for bursts, less what they hold.
    ///
    /// Its requests hold slots for long. Were they given every slot that is free for a
    /// moment, higher tiers would wait until enough of them have ended, which shows as
    /// refusals of the lowest interactive tier while deferrable work runs.
    fn headroom(&self, tier: &TierTargets, now: Instant) -> u32 {
        let is_urgent = |other: &&TierTargets| {
            other.rank < tier.rank && tier.first_token >= DEFERRABLE_FACTOR * other.first_token
        };
        let urgent = self.rules.tiers().iter().filter(is_urgent);
        let Some(last) = urgent.clone().map(|other| other.rank).max() else {
            return 0;
        };
        let running: u32 = urgent.map(|other| self.running.of_tier(other.rank)).sum();
        let needed = self.slots_needed_above(last + 1, now);
        if needed < LEAST_NEED {
            return 0;
        }
        let kept = needed + BURST_ROOTS * needed.sqrt();
        let left = kept.min(self.capacity(now).slots * MOST_KEPT) - f64::from(running);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive count, rounded up"
        )]
        let slots = left.max(0.0).ceil() as u32;
        slots
    }

    /// The tier whose minimum is due, if one is; never before the top tier.
    fn owed_minimum(&self) -> Option<u8> {
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
            self.credit.get(rank).is_some_and(|credit| *credit >= cost)
        })
    }

    /// Each grant earns waiting tiers their minimum, and costs its own tier what it has.
    fn note_minimum(&mut self, rank: u8, tokens: f64) {
        if let Some(credit) = self.credit.get_mut(&rank) {
            *credit = (*credit - tokens).max(-MAX_DEBT * tokens);
        }
        for tier in self.rules.tiers().iter().filter(|tier| tier.minimum > 0.0) {
            let Some(head) = self.queue.in_order(tier.rank).next() else {
                continue;
            };
            let most = head.work().tokens() * MAX_CREDIT;
            let credit = self.credit.entry(tier.rank).or_default();
            *credit = (*credit + tokens * tier.minimum).min(most);
        }
    }

    // ------------------------------------------------------------------ placement

    fn options(&self, waiting: &WaitingAsk, tier: &TierTargets, round: &Round) -> Vec<Choice> {
        let guard = self.guard_for(tier.rank);
        let most_cached = self.most_cached(waiting);
        let mut best: Vec<Choice> = Vec::new();
        for (id, backend) in &self.backends {
            let Some(mut option) = self.option(backend, waiting, tier, round, (guard, most_cached))
            else {
                continue;
            };
            let place = best.partition_point(|other| other.score <= option.score);
            if place < EXPLAINED_CANDIDATES {
                option.backend = id.clone();
                best.insert(place, option);
                best.truncate(EXPLAINED_CANDIDATES);
            }
        }
        best
    }

    /// Weighs a backend server for a request; none when it can't serve it well.
    fn option(
        &self,
        backend: &Backend,
        waiting: &WaitingAsk,
        tier: &TierTargets,
        round: &Round,
        (guard, most_cached): (Option<f64>, u32),
    ) -> Option<Choice> {
        let model = &backend.model;
        let gap = gap_for(backend, tier, round)?;
        if round.is_reserved
            && round.strict_is_possible
            && !model.token_gaps.misses(round.strict_gap)
        {
            return None;
        }
        if model.room(gap, round.now) == 0 {
            return None;
        }
        let (backlog, prefill) = self.prefill_on(backend, waiting, round.now);
        let first_token = backlog + prefill;
        let most_backlog = if tier.first_token
            >= DEFERRABLE_FACTOR * guard.map_or(f64::MAX, |guard| guard / GUARD_PART)
        {
            MAX_BACKLOG
        } else {
            guard.unwrap_or(f64::MAX)
        };
        if backlog > most_backlog {
            return None;
        }
        if guard.is_some_and(|guard| self.would_crowd(backend, first_token, guard, round.now)) {
            return None;
        }
        let answer = f64::from(waiting.answer_tokens) * model.token_gaps.gap(model.running + 1);
        let spent = round.now.saturating_duration_since(waiting.since);
        let first_left = waiting.ask.first_token_due_in.saturating_sub(spent);
        let whole_left = waiting.ask.response_due_in.saturating_sub(spent);
        if first_token > first_left.as_secs_f64() || first_token + answer > whole_left.as_secs_f64()
        {
            return None;
        }
        let limit = model.limit(gap);
        // A prefill delays others as well as the request itself, so it counts twice; the
        // load decides between backend servers that are as fast.
        let load = f64::from(model.running) / f64::from(limit.max(1));
        let cached = backend.prefixes.cached_tokens(&waiting.ask.prefixes);
        let waste = most_cached.saturating_sub(cached);
        let waste_time = f64::from(waste) / model.prefill_rate();
        let score = first_token
            + prefill
            + ANSWER_WEIGHT * answer
            + WASTE_WEIGHT * waste_time
            + LOAD_WEIGHT * load;
        Some(Choice {
            backend: BackendId::default(),
            score,
            waste,
            first_token,
            running: model.running,
            limit,
        })
    }

    /// Seconds of prefill before and of a request.
    fn prefill_on(&self, backend: &Backend, waiting: &WaitingAsk, now: Instant) -> (f64, f64) {
        if self.plain {
            return (0.0, 0.0);
        }
        let tokens = self.uncached(backend, waiting);
        (backend.model.backlog(now), backend.model.prefill(tokens))
    }

    /// Most tokens of a prompt that any backend server of the shard holds.
    fn most_cached(&self, waiting: &WaitingAsk) -> u32 {
        if self.plain || waiting.ask.prefixes.is_empty() {
            return 0;
        }
        let cached = self
            .live_backends()
            .map(|backend| backend.prefixes.cached_tokens(&waiting.ask.prefixes));
        cached.max().unwrap_or_default()
    }

    fn uncached(&self, backend: &Backend, waiting: &WaitingAsk) -> u32 {
        if self.plain {
            return 0;
        }
        let cached = backend.prefixes.cached_tokens(&waiting.ask.prefixes);
        waiting.ask.prompt_tokens.saturating_sub(cached).max(1)
    }

    /// Seconds of prefill that tiers above a rank can wait out; none for the top tier.
    fn guard_for(&self, rank: u8) -> Option<f64> {
        let higher = self.rules.tiers().iter().filter(|tier| tier.rank < rank);
        let least = higher.map(|tier| tier.first_token).reduce(f64::min)?;
        Some(least * GUARD_PART)
    }

    /// Whether a long prefill here would leave too few backend servers on which a
    /// higher tier's request could start at once.
    fn would_crowd(&self, backend: &Backend, first_token: f64, guard: f64, now: Instant) -> bool {
        if self.plain || first_token <= guard || self.backends.len() < 2 {
            return false;
        }
        let is_calm =
            |other: &&Backend| other.model.takes_work(now) && other.model.backlog(now) <= guard;
        let calm = self.live_backends().filter(is_calm).count();
        let after = calm - usize::from(is_calm(&backend));
        after < self.backends.len().div_ceil(CALM_ONE_IN)
    }

    // ------------------------------------------------------------------ granting

    fn grant(
        &mut self,
        id: &RequestId,
        options: Vec<Choice>,
        now: Instant,
        out: &mut Vec<OutgoingMessage>,
    ) {
        let Some(waiting) = self.queue.serve(id) else {
            return;
        };
        let chosen = options[0].backend.clone();
        self.number.sequence += 1;
        self.start(&waiting, &chosen, now);
        self.note_minimum(waiting.ask.tier, waiting.work().tokens());
        let candidates = options.into_iter().map(|option| Candidate {
            backend: option.backend,
            first_token: Duration::from_secs_f64(option.first_token),
            running: option.running,
            limit: option.limit,
        });
        let grant = Grant {
            shard: self.shard.clone(),
            id: waiting.ask.id,
            attempt: waiting.ask.attempt,
            number: self.number,
            backend: chosen,
            candidates: candidates.collect(),
            expected_wait: now.saturating_duration_since(waiting.since),
        };
        out.push((waiting.owner, Message::Grant(grant)));
    }

    fn start(&mut self, waiting: &WaitingAsk, chosen: &BackendId, now: Instant) {
        let Some(backend) = self.backends.get(chosen) else {
            return;
        };
        let tokens = self.uncached(backend, waiting);
        let expected = backend.model.backlog(now)
            + backend.model.prefill(tokens)
            + f64::from(waiting.answer_tokens)
                * backend.model.token_gaps.gap(backend.model.running + 1);
        let run = Running {
            number: self.number,
            attempt: waiting.ask.attempt,
            owner: waiting.owner.clone(),
            backend: chosen.clone(),
            account: waiting.ask.account.clone(),
            tier: waiting.ask.tier,
            granted_at: now,
            expected_end: now + Duration::from_secs_f64(expected * 1.5),
            first_token_at: None,
            area_at_first_token: 0.0,
            check_at: now,
        };
        if let Some(backend) = self.backends.get_mut(chosen) {
            backend.model.start(self.number.sequence, tokens, now);
            backend.prefixes.insert(&waiting.ask.prefixes, tokens);
        }
        self.limits.started(&waiting.ask.account);
        self.running.insert(waiting.ask.id.clone(), run);
    }
}

/// The gap that a backend server is to keep for a tier; none when it can't.
///
/// One that is too slow for interactive work takes deferrable work up to that work's
/// own target, and now and then a single request that shows whether it recovered.
fn gap_for(backend: &Backend, tier: &TierTargets, round: &Round) -> Option<f64> {
    let pace = &backend.model.token_gaps;
    if !round.strict_is_possible || !pace.misses(round.strict_gap) {
        return Some(round.strict_gap);
    }
    if !pace.misses(tier.gap) {
        return Some(tier.gap);
    }
    backend
        .model
        .probe_is_due(round.now)
        .then_some(round.strict_gap)
}

/// Whether a request can wait for a backend server that holds its prefix.
fn may_let_pass(waiting: &WaitingAsk, round: &Round) -> bool {
    let all = waiting
        .latest_start
        .saturating_duration_since(waiting.since);
    let spent = round.now.saturating_duration_since(waiting.since);
    waiting.ask.tier > 0 && spent < all.mul_f64(PATIENCE)
}
