//! Dispatched calls, from dispatch to outcome.

use std::time::{Duration, Instant};

use jaypin_rules::Repeat;

use super::{DEFAULT_RETRY_AFTER, Reducer, elapsed, record, slot_progress_message};
use crate::request::{Dispatched, Granted, Request, Waiting};
use crate::{
    CallOutcome, CallProgress, Candidate, Effect, KeyOutcome, Message, Ran, Reason, Refusal,
    RequestId, SlotProgress, Step,
};

/// Delay before a request whose backend server refused the connection requests another
/// slot.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl Reducer {
    /// Dispatches a request to the backend server of its slot. Refuses it and returns the slot
    /// if the backend server is no longer listed or the content is quarantined.
    pub(super) fn dispatch(
        &mut self,
        now: Instant,
        request: Request<Granted>,
        candidates: Vec<Candidate>,
        fx: &mut Vec<Effect>,
    ) {
        let request = request.dispatch(now);
        let slot = &request.state.slot;
        let id = request.info.id.clone();
        let Some(backend_record) = self.membership.backend(&slot.backend) else {
            // The host list changed between grant and dispatch; nothing was sent.
            self.return_slot(&request, fx);
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&request.info, elapsed(&request, now), refusal, fx);
        };
        if let Some(refusal) = self.quarantine_refusal(now, &request.info) {
            // The content was quarantined while the request waited.
            self.return_slot(&request, fx);
            return self.refuse(&request.info, elapsed(&request, now), refusal, fx);
        }
        let fence = slot.grant.as_ref().map(|(_, _, number)| *number);
        let step = Step::Dispatched {
            backend: slot.backend.clone(),
            grant: fence,
            candidates,
        };
        record(&request.info, elapsed(&request, now), step, fx);
        fx.push(Effect::Dispatch {
            id: id.clone(),
            backend: slot.backend.clone(),
            address: backend_record.address.clone(),
            fence,
        });
        self.owner.dispatched.insert(id, request);
    }

    pub(super) fn handle_call_progress(
        &mut self,
        now: Instant,
        id: &RequestId,
        progress: CallProgress,
        fx: &mut Vec<Effect>,
    ) {
        match progress {
            CallProgress::Sent => {
                if let Some(request) = self.owner.dispatched.get_mut(id) {
                    request.state.sent = true;
                }
            }
            CallProgress::FirstToken => self.record_first_token(now, id, fx),
            CallProgress::NotSent => self.handle_not_sent(now, id, fx),
            CallProgress::Finished { tokens, outcome } => {
                self.handle_end(now, id, tokens, outcome, fx);
            }
        }
    }

    /// Records the first token of a call and reports it to the shard scheduler.
    pub(super) fn record_first_token(
        &mut self,
        now: Instant,
        id: &RequestId,
        fx: &mut Vec<Effect>,
    ) {
        let Some(request) = self.owner.dispatched.get_mut(id) else {
            return;
        };
        request.state.first_token_at = Some(now);
        let after = now.duration_since(request.state.sent_at);
        record(
            &request.info,
            now.duration_since(request.arrived_at),
            Step::FirstToken,
            fx,
        );
        let progress = SlotProgress::FirstToken { after };
        if let Some((leader, message)) = slot_progress_message(request, progress) {
            self.send(&leader, message, fx);
        }
    }

    /// Handles a refused connection. No byte was sent, so the request was not run and may
    /// request another slot.
    pub(super) fn handle_not_sent(&mut self, now: Instant, id: &RequestId, fx: &mut Vec<Effect>) {
        let Some(request) = self.owner.dispatched.remove(id) else {
            return;
        };
        if let Some((leader, message)) = slot_progress_message(&request, SlotProgress::NotReached) {
            self.send(&leader, message, fx);
        }
        // The delay prevents a tight retry loop until the shard scheduler knows that the
        // backend server is down. The retries end at the first token's deadline.
        let overdue_at = now + RETRY_DELAY;
        let ask_at = overdue_at
            .checked_sub(self.cfg.slot_request_timeout)
            .unwrap_or(now);
        match request.requeue(ask_at) {
            Ok(request) => {
                record(
                    &request.info,
                    now.duration_since(request.arrived_at),
                    Step::NotReached,
                    fx,
                );
                self.owner.waiting.insert(id.clone(), request);
            }
            Err(request) => {
                let refusal = if request.state.sent {
                    Refusal::after_dispatch(Reason::BackendLost, Ran::Unknown)
                } else {
                    Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER)
                };
                self.refuse(&request.info, elapsed(&request, now), refusal, fx);
            }
        }
    }

    /// Handles the end of a call: reports it to the shard scheduler, and refuses the request
    /// if the call failed.
    pub(super) fn handle_end(
        &mut self,
        now: Instant,
        id: &RequestId,
        tokens: u32,
        outcome: CallOutcome,
        fx: &mut Vec<Effect>,
    ) {
        let Some(request) = self.owner.dispatched.remove(id) else {
            return;
        };
        let step = Step::Finished { tokens, outcome };
        record(&request.info, elapsed(&request, now), step, fx);
        let progress = SlotProgress::Finished {
            tokens,
            after: now.duration_since(request.state.sent_at),
            lost: matches!(outcome, CallOutcome::Lost | CallOutcome::Died),
        };
        if let Some((leader, message)) = slot_progress_message(&request, progress) {
            self.send(&leader, message, fx);
        }
        if outcome == CallOutcome::Died {
            self.report_crash(&request, fx);
        }
        let refusal = match outcome {
            CallOutcome::Complete | CallOutcome::Cancelled => {
                // If a response was received, the claim is settled already. Without one it
                // is not known whether the call ran.
                return self.settle(id, KeyOutcome::Unknown, fx);
            }
            CallOutcome::Lost | CallOutcome::Died => {
                Refusal::after_dispatch(Reason::BackendLost, Ran::Unknown)
            }
            CallOutcome::Failed => Refusal::after_dispatch(Reason::BackendFailed, Ran::Ran),
        };
        self.refuse(&request.info, elapsed(&request, now), refusal, fx);
    }

    /// Returns an unused slot to its shard scheduler.
    pub(super) fn return_slot(&mut self, request: &Request<Dispatched>, fx: &mut Vec<Effect>) {
        if let Some((leader, message)) = slot_progress_message(request, SlotProgress::Returned) {
            self.send(&leader, message, fx);
        }
    }

    /// Cancels the request of a caller that disconnected, unless it is a running call that
    /// may not be repeated.
    pub(super) fn handle_disconnect(&mut self, id: &RequestId, fx: &mut Vec<Effect>) {
        self.abandon_claim(id, fx);
        let running = self.owner.dispatched.get(id);
        if running.is_some_and(|request| request.info.repeat == Repeat::Never) {
            // Cancelling the call would make its outcome unknown for good. It continues, and
            // its outcome is stored under the key for a caller that retries.
            return;
        }
        if let Some(request) = self.owner.waiting.remove(id) {
            let Waiting { shard, leader, .. } = request.state;
            self.send(
                &leader,
                Message::Withdraw {
                    shard,
                    id: id.clone(),
                },
                fx,
            );
            self.settle(id, KeyOutcome::NotRun, fx);
        }
        fx.push(Effect::Cancel(id.clone()));
    }
}
