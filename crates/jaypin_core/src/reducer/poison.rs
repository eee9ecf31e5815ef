//! Requests that crash backend servers: reports of crashes, their evaluation, and the
//! distribution of crash counts.

use std::time::Instant;

use super::Reducer;
use crate::request::{Dispatched, Request};
use crate::{Effect, LostCall, Message, Reason, Refusal, RequestInfo};

impl Reducer {
    /// Returns the refusal of a request whose content is quarantined, or `None`.
    pub(super) fn quarantine_refusal(&self, now: Instant, info: &RequestInfo) -> Option<Refusal> {
        let rule = &self.rules.quarantine;
        let remaining = self.quarantine.remaining_quarantine(
            now,
            info.fingerprint,
            rule.crash_limit,
            rule.duration,
        )?;
        let refusal = Refusal::not_run(Reason::Quarantined).retry_after(remaining);
        Some(refusal.rule_line(rule.origin.line))
    }

    /// Reports a crash to the shard scheduler, which knows all calls that were lost in it.
    pub(super) fn report_crash(&mut self, request: &Request<Dispatched>, fx: &mut Vec<Effect>) {
        let slot = &request.state.slot;
        let Some((_, leader, _)) = slot.grant.clone() else {
            return;
        };
        let crash = Message::BackendCrashed {
            backend: slot.backend.clone(),
            lost: LostCall {
                fingerprint: request.info.fingerprint,
                had_first_token: request.state.first_token_at.is_some(),
            },
        };
        self.send(&leader, crash, fx);
    }

    /// Removes expired suspicions, evaluates crashes, and sends the new crash counts to the
    /// partners.
    pub(super) fn quarantine_tick(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let rule = &self.rules.quarantine;
        let (limit, duration) = (rule.crash_limit.max(1), rule.duration);
        self.quarantine.expire(now, duration);
        for (fingerprint, crash_count) in self.quarantine.evaluate_crashes(now, limit) {
            self.send_crash_count(fingerprint, crash_count, fx);
        }
    }

    /// Applies a crash count that a partner sent, and forwards it if it is new.
    pub(super) fn apply_crash_count(
        &mut self,
        now: Instant,
        fingerprint: u64,
        crash_count: u32,
        fx: &mut Vec<Effect>,
    ) {
        if self
            .quarantine
            .record_crash_count(now, fingerprint, crash_count)
        {
            self.send_crash_count(fingerprint, crash_count, fx);
        }
    }

    /// Sends a new crash count to the partners only; each of them forwards it once.
    fn send_crash_count(&mut self, fingerprint: u64, crash_count: u32, fx: &mut Vec<Effect>) {
        let message = Message::CrashCount {
            fingerprint,
            crash_count,
        };
        for partner in self.partners_to_notify() {
            self.send(&partner, message.clone(), fx);
        }
    }
}
