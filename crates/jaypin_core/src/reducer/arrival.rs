//! A request arrives: it is refused, dispatched by its owner alone, or asks for a slot.

use std::time::{Duration, Instant};

use rand::RngExt;

use super::{DEFAULT_RETRY_AFTER, Reducer, record};
use crate::request::{Granted, Request, Slot, Waiting};
use crate::{
    Ask, Effect, HostId, Message, Policy, Reason, Refusal, RequestId, RequestInfo, Shard, Step,
};

impl Reducer {
    pub(super) fn arrived(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        self.record_arrival(&info, fx);
        if self.draining {
            let refusal = Refusal::not_run(Reason::Draining).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        }
        if self.rules_version == 0 || !self.membership.is_known() {
            let refusal = Refusal::not_run(Reason::NotReady).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        }
        if !self.must_claim(now, &info, fx) {
            self.place(now, info, fx);
        }
    }

    /// Finds a slot for a request that may run.
    pub(super) fn place(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        match self.cfg.policy {
            Policy::Grants => self.ask_first(now, info, fx),
            Policy::Baseline => self.choose_alone(now, info, fx),
        }
    }

    pub(super) fn choose_alone(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        let backends = self.membership.list().backends.iter();
        let of_service = backends.filter(|record| record.service == info.service);
        let Some(record) = self.baseline.pick(of_service, &mut self.rng) else {
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        };
        let slot = Slot {
            backend: record.id.clone(),
            grant: None,
        };
        let request = Request::<Granted>::chosen(info, now, slot);
        self.dispatch(now, request, Vec::new(), fx);
    }

    pub(super) fn ask_first(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        let Some((shard, leader)) = self.choose_shard(&info) else {
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        };
        let state = Waiting {
            shard,
            leader,
            attempt: 1,
            asked_at: now,
            queued: false,
        };
        let request = Request {
            info,
            arrived_at: now,
            state,
        };
        self.send_ask(now, &request, fx);
        self.owner.waiting.insert(request.info.id.clone(), request);
    }

    pub(super) fn choose_shard(&mut self, info: &RequestInfo) -> Option<(Shard, HostId)> {
        let shards: Vec<&Shard> = self.membership.shards().of_service(&info.service).collect();
        if shards.is_empty() {
            return None;
        }
        let shard = shards[self.rng.random_range(0..shards.len())].clone();
        let leader = self.membership.leader(&shard)?.clone();
        Some((shard, leader))
    }

    pub(super) fn ask_again(&mut self, now: Instant, id: &RequestId, fx: &mut Vec<Effect>) {
        let Some(mut request) = self.owner.waiting.remove(id) else {
            return;
        };
        let Some((shard, leader)) = self.choose_shard(&request.info) else {
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
            asked_at: now,
            queued: false,
        };
        self.send_ask(now, &request, fx);
        self.owner.waiting.insert(id.clone(), request);
    }

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
            first_token_in: info.first_token.saturating_sub(spent),
            whole_in: info.whole.saturating_sub(spent),
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
