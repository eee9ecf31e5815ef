//! Timeouts and periodic work.

use std::time::Instant;

use super::{DEFAULT_RETRY_AFTER, Reducer};
use crate::request::Waiting;
use crate::{Effect, Message, Policy, Reason, Refusal, RequestId};

impl Reducer {
    /// Does the periodic work of all parts of the reducer.
    pub(super) fn tick(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.gossip_tick(now, fx);
        self.end_rebuilds(now, fx);
        let mut out = Vec::new();
        for scheduler in self.schedulers.values_mut() {
            scheduler.tick(now, &mut out);
        }
        self.send_all(out, fx);
        self.report_usage(now, fx);
        self.handle_overdue_requests(now, fx);
        self.claims_tick(now, fx);
        self.quarantine_tick(now, fx);
        self.poll_loads(now, fx);
        if self.may_exit(now) && !self.exited {
            self.exited = true;
            fx.push(Effect::Exit);
        }
    }

    /// Requests a slot again for requests whose shard scheduler did not respond in time, and
    /// refuses requests whose first token is overdue.
    ///
    /// The shard scheduler may have exited or never received the slot request. Nothing was
    /// dispatched, so sending it again, or to a new leader, is safe.
    pub(super) fn handle_overdue_requests(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let mut overdue = Vec::new();
        let mut late = Vec::new();
        for (id, request) in &self.owner.waiting {
            if now.duration_since(request.arrived_at) >= request.info.first_token_due_in {
                late.push(id.clone());
            } else if !request.state.queued
                && now.duration_since(request.state.requested_at) >= self.cfg.slot_request_timeout
            {
                overdue.push(id.clone());
            }
        }
        for id in overdue {
            self.request_slot_again(now, &id, fx);
        }
        for id in late {
            self.refuse_too_late(now, &id, fx);
        }
    }

    /// Refuses a waiting request whose first token is overdue.
    pub(super) fn refuse_too_late(&mut self, now: Instant, id: &RequestId, fx: &mut Vec<Effect>) {
        let Some(request) = self.owner.waiting.remove(id) else {
            return;
        };
        let Waiting {
            shard,
            leader,
            queued,
            connection_refused,
            ..
        } = request.state;
        self.send(
            &leader,
            Message::Withdraw {
                shard,
                id: id.clone(),
            },
            fx,
        );
        let reason = if queued {
            Reason::TooLate
        } else if connection_refused {
            Reason::NoBackend
        } else {
            Reason::NoScheduler
        };
        let refusal = Refusal::not_run(reason).retry_after(DEFAULT_RETRY_AFTER);
        self.refuse(
            &request.info,
            now.duration_since(request.arrived_at),
            refusal,
            fx,
        );
    }

    /// Requests load reports of the backend servers in the shards that this host leads, or of
    /// all backend servers under [`Policy::Baseline`].
    pub(super) fn poll_loads(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.next_poll.is_some_and(|at| now < at) {
            return;
        }
        self.next_poll = Some(now + self.cfg.report_interval);
        for record in &self.membership.list().backends {
            let shard = self.membership.shards().shard_of(&record.id);
            let led = shard.is_some_and(|shard| self.schedulers.contains_key(shard));
            if led || self.cfg.policy == Policy::Baseline {
                fx.push(Effect::PollLoad {
                    backend: record.id.clone(),
                    address: record.address.clone(),
                });
            }
        }
    }
}
