//! Arrival of a request at its owner: the request is refused, dispatched without a grant, or
//! waits for a slot that the owner requests from a shard scheduler.

use std::time::{Duration, Instant};

use jaypin_rules::Repeat;
use rand::RngExt;

use super::{DEFAULT_RETRY_AFTER, Reducer, record};
use crate::rendezvous::score_index;
use crate::request::{Granted, Request, Slot, Waiting};
use crate::{
    Ask, Effect, HostId, Message, Policy, Ran, Reason, Refusal, RequestId, RequestInfo, Shard, Step,
};

/// Minimum extra wait that is accepted in a shard that may have the request's prefix
/// cached.
const MIN_AFFINITY_WAIT: Duration = Duration::from_millis(100);
/// The accepted extra wait is at least the time limit for the first token divided by this.
/// At full load every shard has deferrable requests waiting, and a fixed limit would move
/// such requests back and forth between shards.
const AFFINITY_WAIT_DIVISOR: u32 = 8;
/// Maximum number of shards of a service that are considered for a request.
const MAX_CANDIDATE_SHARDS: usize = 8;
/// Maximum number of shards that refuse a request for lack of capacity before the refusal is
/// final.
const MAX_CAPACITY_REFUSALS: usize = 2;

impl Reducer {
    /// Handles a new request: refuses it, claims its key, or requests a slot for it.
    pub(super) fn handle_arrival(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        self.record_arrival(&info, fx);
        match self.not_serving() {
            Some(reason) if reason == Reason::NotReady || !self.may_claim(now) => {
                let refusal = unclaimed_refusal(&info, reason).retry_after(DEFAULT_RETRY_AFTER);
                return self.refuse(&info, Duration::ZERO, refusal, fx);
            }
            Some(reason) if info.repeat != Repeat::Never => {
                let refusal = Refusal::not_run(reason).retry_after(DEFAULT_RETRY_AFTER);
                return self.refuse(&info, Duration::ZERO, refusal, fx);
            }
            // A call with an idempotency key is refused only after the key's owner confirmed
            // that no earlier attempt ran; see `handle_claim_verdict`.
            Some(_) | None => {}
        }
        if !self.start_claim(now, &info, fx) {
            self.schedule(now, info, fx);
        }
    }

    /// Returns why this host accepts no new work, or `None` if it does.
    pub(super) fn not_serving(&self) -> Option<Reason> {
        if self.rules_version == 0 || !self.membership.has_host_list() || !self.gossip.caught_up {
            Some(Reason::NotReady)
        } else if self.draining {
            Some(Reason::Draining)
        } else {
            None
        }
    }

    /// Requests a slot for a request that may run, or refuses it if it is quarantined. A
    /// call that may not be repeated already holds its claim here, so a refusal with "not
    /// run" holds for its key too.
    pub(super) fn schedule(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        if let Some(refusal) = self.quarantine_refusal(now, &info) {
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        }
        match self.cfg.policy {
            Policy::Grants | Policy::Local => self.request_slot(now, info, fx),
            Policy::Baseline => self.dispatch_without_grant(now, info, fx),
        }
    }

    /// Dispatches a request to a backend server that this host chooses by itself.
    pub(super) fn dispatch_without_grant(
        &mut self,
        now: Instant,
        info: RequestInfo,
        fx: &mut Vec<Effect>,
    ) {
        let backends = self.membership.list().backends.iter();
        let candidates = backends.filter(|record| record.service == info.service);
        let Some(record) = self.baseline.pick(candidates, &mut self.rng) else {
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        };
        let slot = Slot {
            backend: record.id.clone(),
            grant: None,
        };
        let request = Request::<Granted>::placed_by_owner(info, now, slot);
        self.dispatch(now, request, Vec::new(), fx);
    }

    /// Requests a slot for a request from the leader of a shard.
    pub(super) fn request_slot(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        let Some((shard, leader)) = self.choose_shard(now, &info, &[]) else {
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        };
        let state = Waiting {
            shard,
            leader,
            attempt: 1,
            requested_at: now,
            queued: false,
            connection_refused: false,
            refused_by: Vec::new(),
        };
        let request = Request {
            info,
            arrived_at: now,
            state,
        };
        self.send_ask(now, &request, fx);
        self.owner.waiting.insert(request.info.id.clone(), request);
    }

    /// Returns the shard where the request's prefix may be cached, with its leader. Returns
    /// another shard when the wait there outweighs the prefill that the cache saves.
    pub(super) fn choose_shard(
        &mut self,
        now: Instant,
        info: &RequestInfo,
        refused_by: &[Shard],
    ) -> Option<(Shard, HostId)> {
        let key = match affinity_key(info) {
            Some(key) => key,
            None => self.rng.random(),
        };
        let shards = self.membership.shards().of_service(&info.service);
        let mut ranked: Vec<(u64, &Shard)> = shards
            .filter(|shard| !refused_by.contains(shard))
            .map(|shard| (score_index(key, shard.index), shard))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(MAX_CANDIDATE_SHARDS);
        let wait = |shard: &Shard| self.shard_hints.wait(shard, info.tier, now);
        let mut shards = ranked.iter().map(|(_, shard)| *shard);
        // All hosts try the shards in the same order, so the requests of a prefix that
        // exceed one shard's capacity go to a few other shards only.
        let shortest = shards.clone().map(wait).min()?;
        let accepted = MIN_AFFINITY_WAIT.max(info.first_token_due_in / AFFINITY_WAIT_DIVISOR);
        let shard = shards.find(|shard| wait(shard) <= shortest + accepted)?;
        let leader = self.leader(shard)?.clone();
        Some((shard.clone(), leader))
    }

    /// Requests a slot from another shard of the service after the first one refused for
    /// lack of capacity. The other shard may serve lower tiers whose capacity this request can use.
    /// Returns whether it requested one.
    pub(super) fn request_slot_elsewhere(
        &mut self,
        now: Instant,
        id: &RequestId,
        refusal: &Refusal,
        fx: &mut Vec<Effect>,
    ) -> bool {
        let Some(request) = self.owner.waiting.get_mut(id) else {
            return false;
        };
        let refused_by = &mut request.state.refused_by;
        let for_capacity = matches!(refusal.reason, Reason::Shed | Reason::TooLate);
        if !for_capacity || refused_by.len() + 1 >= MAX_CAPACITY_REFUSALS {
            return false;
        }
        refused_by.push(request.state.shard.clone());
        let shards = self.membership.shards().of_service(&request.info.service);
        let others = shards.filter(|shard| !request.state.refused_by.contains(shard));
        let is_late = now.duration_since(request.arrived_at) >= request.info.first_token_due_in;
        if is_late || others.count() == 0 {
            return false;
        }
        self.request_slot_again(now, id, fx);
        true
    }

    /// Withdraws a waiting request from its shard scheduler and requests a slot again, from
    /// the same shard or another one. Refuses the request if no shard is left.
    pub(super) fn request_slot_again(
        &mut self,
        now: Instant,
        id: &RequestId,
        fx: &mut Vec<Effect>,
    ) {
        let Some(mut request) = self.owner.waiting.remove(id) else {
            return;
        };
        let Some((shard, leader)) =
            self.choose_shard(now, &request.info, &request.state.refused_by)
        else {
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            let after = now.duration_since(request.arrived_at);
            return self.refuse(&request.info, after, refusal, fx);
        };
        let old = request.state;
        let withdraw = Message::Withdraw {
            shard: old.shard,
            id: id.clone(),
        };
        self.send(&old.leader, withdraw, fx);
        request.state = Waiting {
            shard,
            leader,
            attempt: old.attempt + 1,
            requested_at: now,
            queued: false,
            connection_refused: old.connection_refused,
            refused_by: old.refused_by,
        };
        self.send_ask(now, &request, fx);
        self.owner.waiting.insert(id.clone(), request);
    }

    /// Sends the slot request of a waiting request to the leader of its shard.
    pub(super) fn send_ask(
        &mut self,
        now: Instant,
        request: &Request<Waiting>,
        fx: &mut Vec<Effect>,
    ) {
        let (info, state) = (&request.info, &request.state);
        let spent = now.duration_since(request.arrived_at);
        let ask = Ask {
            shard: state.shard.clone(),
            id: info.id.clone(),
            attempt: state.attempt,
            tier: info.tier,
            account: info.account.clone(),
            prompt_tokens: info.prompt_tokens,
            max_tokens: info.max_tokens,
            first_token_due_in: info.first_token_due_in.saturating_sub(spent),
            response_due_in: info.response_due_in.saturating_sub(spent),
            prefixes: info.prefixes.clone(),
        };
        let step = Step::Asked {
            shard: state.shard.clone(),
            leader: state.leader.clone(),
            attempt: state.attempt,
        };
        record(info, spent, step, fx);
        let leader = state.leader.clone();
        self.send(&leader, Message::Ask(ask), fx);
    }
}

/// Returns the fingerprint that a request's shard is chosen by: that of its shortest prefix,
/// salted by account like all fingerprints. None for a request without prefixes.
fn affinity_key(info: &RequestInfo) -> Option<u64> {
    info.prefixes.first().copied()
}

/// Returns the refusal of a request whose idempotency key was not claimed.
///
/// A call that may not be repeated may be the second attempt of a call that another host
/// dispatched. Without asking the key's owner, the host can't know whether it ran, so the
/// refusal must not state "not run".
fn unclaimed_refusal(info: &RequestInfo, reason: Reason) -> Refusal {
    match info.repeat {
        Repeat::Never => Refusal::after_dispatch(reason, Ran::Unknown),
        Repeat::Idempotent => Refusal::not_run(reason),
    }
}
