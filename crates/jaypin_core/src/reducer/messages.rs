//! Dispatch of received messages, and the messages between owners and shard schedulers.

use std::time::{Duration, Instant};

use super::Reducer;
use crate::request::Slot;
use crate::{
    Ask, Effect, Grant, GrantNumber, HostId, Message, Refusal, RequestId, Shard, SlotProgress,
};

impl Reducer {
    /// Handles a message of a peer, or of this host to itself.
    pub(super) fn handle_message(
        &mut self,
        now: Instant,
        from: &HostId,
        message: Message,
        fx: &mut Vec<Effect>,
    ) {
        match message {
            Message::Ask(ask) => self.handle_ask(now, from, ask, fx),
            Message::Queued {
                id,
                attempt,
                expected_wait,
            } => self.mark_queued(now, &id, attempt, expected_wait),
            Message::Grant(grant) => self.handle_grant(now, from, grant, fx),
            Message::Refused {
                id,
                attempt,
                refusal,
                expected_wait,
            } => {
                self.record_wait(now, &id, attempt, expected_wait);
                self.handle_refusal(now, &id, attempt, refusal, fx);
            }
            Message::Confirm { shard, id, number } => {
                self.confirm_grant(from, shard, id, number, fx);
            }
            Message::Usage {
                shard,
                account,
                tokens,
                at_once,
            } => {
                let allowance = self.split_limit(now, &shard, &account, tokens, at_once);
                let answer = allowance.map(|allowance| Message::Allow {
                    shard,
                    account,
                    allowance,
                });
                if let Some(answer) = answer {
                    self.send(from, answer, fx);
                }
            }
            Message::Allow {
                shard,
                account,
                allowance,
            } => {
                if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                    scheduler.set_allowance(&account, allowance);
                }
            }
            Message::NotLeader { id, attempt } => self.handle_not_leader(&id, attempt),
            Message::Withdraw { shard, id } => {
                if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                    scheduler.withdraw(&id);
                }
            }
            Message::Progress {
                shard,
                id,
                number,
                progress,
            } => {
                let mut out = Vec::new();
                if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                    scheduler.apply_progress(&id, number, progress, now, &mut out);
                }
                self.send_all(out, fx);
            }
            Message::InFlight { shard, running } => {
                self.record_owner_report(now, from, &shard, running, fx);
            }
            Message::Digest(digest) => self.handle_digest(now, from, digest, fx),
            Message::Fetch { rules, hosts } => self.handle_fetch(from, rules, hosts, fx),
            Message::RuleText { version, text } => self.parse_newer_rules(version, text, fx),
            Message::Hosts(list) => self.apply_host_list(now, list, fx),
            Message::Buckets(hashes) => self.handle_buckets(from, &hashes, fx),
            Message::Members {
                entries,
                complete_buckets,
            } => {
                self.handle_members(now, from, entries, &complete_buckets, fx);
            }
            Message::BackendCrashed { backend, lost } => {
                self.quarantine.record_lost_call(now, &backend, lost);
            }
            Message::CrashCount {
                fingerprint,
                crash_count,
            } => self.apply_crash_count(now, fingerprint, crash_count, fx),
            Message::Claim { key, id, subject } => {
                self.answer_claim(now, from, key, id, &subject, fx);
            }
            Message::Claimed { key, id, verdict } => {
                self.handle_claim_verdict(now, from, &id, &key, verdict, fx);
            }
            Message::Settle { key, id, outcome } => {
                self.record_outcome(from, &key, id, outcome, fx);
            }
            Message::Settled { id } => {
                self.claims.unsettled.remove(&id);
            }
            Message::ClaimCheck { key, id } => self.check_claim(from, &id, &key, fx),
        }
    }

    /// Passes a slot request to the scheduler of its shard.
    pub(super) fn handle_ask(
        &mut self,
        now: Instant,
        from: &HostId,
        ask: Ask,
        fx: &mut Vec<Effect>,
    ) {
        let mut out = Vec::new();
        if let Some(scheduler) = self.schedulers.get_mut(&ask.shard) {
            scheduler.submit(from, ask, now, &mut out);
        } else {
            let answer = Message::NotLeader {
                id: ask.id,
                attempt: ask.attempt,
            };
            out.push((from.clone(), answer));
        }
        self.send_all(out, fx);
    }

    /// Records how long requests of a tier wait in the shard that was asked.
    fn record_wait(&mut self, now: Instant, id: &RequestId, attempt: u32, wait: Duration) {
        if let Some(request) = self.owner.waiting.get(id)
            && request.state.attempt == attempt
        {
            let tier = request.info.tier;
            self.shard_hints
                .record_wait(&request.state.shard, tier, wait, now);
        }
    }

    /// Returns a slot whose grant this host does not hold, because the grant was lost in
    /// transit or its call ended while the link was down.
    fn confirm_grant(
        &mut self,
        from: &HostId,
        shard: Shard,
        id: RequestId,
        number: GrantNumber,
        fx: &mut Vec<Effect>,
    ) {
        let held = self.owner.dispatched.get(&id).is_some_and(|request| {
            let grant = request.state.slot.grant.as_ref();
            grant.is_some_and(|(_, _, held)| *held == number)
        });
        if !held {
            let returned = Message::Progress {
                shard,
                id,
                number,
                progress: SlotProgress::Returned,
            };
            self.send(from, returned, fx);
        }
    }

    pub(super) fn mark_queued(
        &mut self,
        now: Instant,
        id: &RequestId,
        attempt: u32,
        expected_wait: Duration,
    ) {
        self.record_wait(now, id, attempt, expected_wait);
        if let Some(request) = self.owner.waiting.get_mut(id)
            && request.state.attempt == attempt
        {
            request.state.queued = true;
        }
    }

    /// Handles the response of a host that does not lead the shard. The membership tables
    /// of both hosts differ for a moment; after `slot_request_timeout`, the slot is
    /// requested from the leader that is known then.
    pub(super) fn handle_not_leader(&mut self, id: &RequestId, attempt: u32) {
        if let Some(request) = self.owner.waiting.get_mut(id)
            && request.state.attempt == attempt
        {
            request.state.queued = false;
        }
    }

    /// Dispatches the request that was granted a slot.
    pub(super) fn handle_grant(
        &mut self,
        now: Instant,
        from: &HostId,
        grant: Grant,
        fx: &mut Vec<Effect>,
    ) {
        let wanted = self
            .owner
            .waiting
            .get(&grant.id)
            .is_some_and(|request| request.state.attempt == grant.attempt);
        let Some(request) = wanted
            .then(|| self.owner.waiting.remove(&grant.id))
            .flatten()
        else {
            // The caller disconnected, or the request asked another shard meanwhile, so the
            // slot is returned.
            let returned = Message::Progress {
                shard: grant.shard,
                id: grant.id,
                number: grant.number,
                progress: SlotProgress::Returned,
            };
            return self.send(from, returned, fx);
        };
        self.shard_hints
            .record_wait(&grant.shard, request.info.tier, grant.expected_wait, now);
        let slot = Slot {
            backend: grant.backend,
            grant: Some((grant.shard, from.clone(), grant.number)),
        };
        self.dispatch(now, request.grant(slot), grant.candidates, fx);
    }

    /// Refuses a request after its shard scheduler did, unless another shard is asked.
    pub(super) fn handle_refusal(
        &mut self,
        now: Instant,
        id: &RequestId,
        attempt: u32,
        refusal: Refusal,
        fx: &mut Vec<Effect>,
    ) {
        let wanted = self
            .owner
            .waiting
            .get(id)
            .is_some_and(|request| request.state.attempt == attempt);
        if !wanted || self.request_slot_elsewhere(now, id, &refusal, fx) {
            return;
        }
        if let Some(request) = self.owner.waiting.remove(id) {
            self.refuse(
                &request.info,
                now.duration_since(request.arrived_at),
                refusal,
                fx,
            );
        }
    }
}
