//! Claims on idempotency keys, on both sides: the host that owns the request and requests
//! the claim, and the host that owns the key and decides on it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_rules::Repeat;

use super::{DEFAULT_RETRY_AFTER, Reducer, record};
use crate::claims::{HeldClaim, UnsettledOutcome};
use crate::request::{Claiming, Request};
use crate::{
    ClaimSubject, ClaimVerdict, Effect, HostId, IdempotencyKey, KeyOutcome, Message, Ran, Reason,
    Refusal, RequestId, RequestInfo, Step,
};

/// Time after which an unanswered claim is sent again.
const CLAIM_RESEND: Duration = Duration::from_millis(300);
/// Time after which a key's owner that did not respond counts as unreachable.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an unconfirmed outcome is sent again.
const SETTLE_RESEND: Duration = Duration::from_millis(500);
/// Time after which an unconfirmed outcome is dropped; the key then stays unknown.
const SETTLE_EXPIRY: Duration = Duration::from_secs(30);

impl Reducer {
    /// Claims the key of a call that may not be repeated. Returns whether the request was
    /// handled: it waits for the claim, or was refused because its key is malformed.
    pub(super) fn start_claim(
        &mut self,
        now: Instant,
        info: &RequestInfo,
        fx: &mut Vec<Effect>,
    ) -> bool {
        if info.repeat != Repeat::Never {
            return false;
        }
        let Some((text, key)) = info
            .key
            .as_deref()
            .and_then(|text| Some((Arc::from(text), IdempotencyKey::parse(text)?)))
        else {
            // The frontend rejects such calls already; without a key they must not run.
            self.refuse(
                info,
                Duration::ZERO,
                Refusal::not_run(Reason::KeyUnknown),
                fx,
            );
            return true;
        };
        let claim = HeldClaim {
            key: text,
            owner: key.host,
        };
        let state = Claiming {
            claim,
            requested_at: now,
        };
        let request = Request {
            info: info.clone(),
            arrived_at: now,
            state,
        };
        self.send_claim(&request, fx);
        self.claims.claiming.insert(info.id.clone(), request);
        true
    }

    fn send_claim(&mut self, request: &Request<Claiming>, fx: &mut Vec<Effect>) {
        let info = &request.info;
        let claim = &request.state.claim;
        let message = Message::Claim {
            key: claim.key.clone(),
            id: info.id.clone(),
            subject: ClaimSubject {
                account: info.account.clone(),
                fingerprint: info.fingerprint,
            },
        };
        let owner = claim.owner.clone();
        self.send(&owner, message, fx);
    }

    /// Handles the decision of a key's owner on a claim: requests a slot for the request,
    /// replays the stored response, or refuses the request.
    pub(super) fn handle_claim_verdict(
        &mut self,
        now: Instant,
        from: &HostId,
        id: &RequestId,
        key: &Arc<str>,
        verdict: ClaimVerdict,
        fx: &mut Vec<Effect>,
    ) {
        let Some(request) = self.claims.claiming.remove(id) else {
            // This response is late or repeated. A claim granted to a request that has
            // ended would be held until the key expires, so its owner is informed.
            if verdict == ClaimVerdict::Granted {
                self.check_claim(from, id, key, fx);
            }
            return;
        };
        let after = now.duration_since(request.arrived_at);
        let step = Step::Claimed {
            verdict: verdict.as_str(),
        };
        record(&request.info, after, step, fx);
        let refusal = match verdict {
            ClaimVerdict::Granted if self.not_serving().is_some() => {
                // The granted claim shows that no earlier attempt with this key ran.
                let claim = request.state.claim;
                self.send_outcome(id, claim, KeyOutcome::NotRun, fx);
                Refusal::not_run(Reason::Draining).retry_after(DEFAULT_RETRY_AFTER)
            }
            ClaimVerdict::Granted => {
                let (mut info, claim) = (request.info, request.state.claim);
                self.claims.held.insert(id.clone(), claim);
                info.subtract_elapsed(after);
                return self.schedule(now, info, fx);
            }
            ClaimVerdict::Done(Some(answer)) => {
                return fx.push(Effect::Replay {
                    id: id.clone(),
                    answer,
                });
            }
            ClaimVerdict::Done(None) => Refusal::after_dispatch(Reason::AlreadyRan, Ran::Ran),
            ClaimVerdict::InFlight => Refusal::after_dispatch(Reason::InFlight, Ran::Unknown)
                .retry_after(DEFAULT_RETRY_AFTER),
            ClaimVerdict::Unknown => Refusal::after_dispatch(Reason::KeyUnknown, Ran::Unknown),
            ClaimVerdict::Mismatch => Refusal::not_run(Reason::KeyMismatch),
            ClaimVerdict::Full => {
                Refusal::not_run(Reason::KeyTableFull).retry_after(DEFAULT_RETRY_AFTER)
            }
        };
        self.refuse(&request.info, after, refusal, fx);
    }

    /// Ends the claim that a request holds, with the outcome of its call. Does nothing for
    /// a request that holds none.
    pub(super) fn settle(&mut self, id: &RequestId, outcome: KeyOutcome, fx: &mut Vec<Effect>) {
        let Some(claim) = self.claims.held.remove(id) else {
            return;
        };
        self.send_outcome(id, claim, outcome, fx);
    }

    /// Abandons the claim of a request whose caller disconnected before the claim was
    /// decided on. The request was not sent and will not be.
    pub(super) fn abandon_claim(&mut self, id: &RequestId, fx: &mut Vec<Effect>) {
        if let Some(request) = self.claims.claiming.remove(id) {
            self.send_outcome(id, request.state.claim, KeyOutcome::NotRun, fx);
        }
    }

    /// Sends an outcome to the key's owner and keeps it until the owner confirms it, because
    /// the message may be lost with a link.
    fn send_outcome(
        &mut self,
        id: &RequestId,
        claim: HeldClaim,
        outcome: KeyOutcome,
        fx: &mut Vec<Effect>,
    ) {
        let message = Message::Settle {
            key: claim.key.clone(),
            id: id.clone(),
            outcome: outcome.clone(),
        };
        self.send(&claim.owner, message, fx);
        let unsettled = UnsettledOutcome {
            claim,
            outcome,
            since: None,
            sent_at: None,
        };
        self.claims.unsettled.insert(id.clone(), unsettled);
    }

    /// Responds to a key's owner that checks whether a request still holds its claim. Sends
    /// the outcome if it does not.
    pub(super) fn check_claim(
        &mut self,
        from: &HostId,
        id: &RequestId,
        key: &Arc<str>,
        fx: &mut Vec<Effect>,
    ) {
        if self.claims.claiming.contains_key(id) || self.claims.held.contains_key(id) {
            return;
        }
        let kept = self.claims.unsettled.get(id);
        let outcome = kept.map_or(KeyOutcome::Unknown, |kept| kept.outcome.clone());
        let (key, id) = (key.clone(), id.clone());
        self.send(from, Message::Settle { key, id, outcome }, fx);
    }

    /// Removes expired keys, and resends claims and outcomes that were not answered.
    pub(super) fn claims_tick(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.keys.expire(now);
        self.handle_overdue_claims(now, fx);
        self.resend_outcomes(now, fx);
    }

    fn handle_overdue_claims(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let claiming = std::mem::take(&mut self.claims.claiming);
        for (id, mut request) in claiming {
            let after = now.duration_since(request.arrived_at);
            if after >= CLAIM_TIMEOUT {
                // The key's owner has exited or is paused. The call may have run before, so
                // it is not run now. If the owner resumes and grants the claim late, the
                // outcome that is sent here releases the claim.
                let refusal = Refusal::after_dispatch(Reason::KeyUnknown, Ran::Unknown);
                self.send_outcome(&id, request.state.claim, KeyOutcome::NotRun, fx);
                self.refuse(&request.info, after, refusal, fx);
                continue;
            }
            if now.duration_since(request.state.requested_at) >= CLAIM_RESEND {
                request.state.requested_at = now;
                self.send_claim(&request, fx);
            }
            self.claims.claiming.insert(id, request);
        }
    }

    fn resend_outcomes(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let mut again = Vec::new();
        self.claims.unsettled.retain(|id, kept| {
            let since = *kept.since.get_or_insert(now);
            let sent_at = *kept.sent_at.get_or_insert(now);
            if now.duration_since(sent_at) >= SETTLE_RESEND {
                kept.sent_at = Some(now);
                let message = Message::Settle {
                    key: kept.claim.key.clone(),
                    id: id.clone(),
                    outcome: kept.outcome.clone(),
                };
                again.push((kept.claim.owner.clone(), message));
            }
            now.duration_since(since) < SETTLE_EXPIRY
        });
        self.send_all(again, fx);
    }

    /// Decides on a claim for a key of this host and sends the decision.
    pub(super) fn answer_claim(
        &mut self,
        now: Instant,
        from: &HostId,
        text: Arc<str>,
        id: RequestId,
        subject: &ClaimSubject,
        fx: &mut Vec<Effect>,
    ) {
        let verdict = match self.own_key(&text) {
            Some(key) => {
                let verdict = self.keys.claim(now, &key, subject, from, &id);
                if verdict == ClaimVerdict::InFlight {
                    self.check_holder(&text, &key, fx);
                }
                verdict
            }
            // Another incarnation of this host issued the key, and its claims are not known
            // to this one.
            None => ClaimVerdict::Unknown,
        };
        let answer = Message::Claimed {
            key: text,
            id,
            verdict,
        };
        self.send(from, answer, fx);
    }

    /// Checks with the holder of a claim whether its request still holds it.
    ///
    /// The holder may have exited unnoticed, which would keep the key in flight. Its host
    /// either responds with the outcome, or the failed send shows that the link is lost.
    fn check_holder(&mut self, text: &Arc<str>, key: &IdempotencyKey, fx: &mut Vec<Effect>) {
        let holder = self.keys.holder(key);
        if let Some((host, id)) = holder.map(|(host, id)| (host.clone(), id.clone())) {
            let key = text.clone();
            self.send(&host, Message::ClaimCheck { key, id }, fx);
        }
    }

    /// Records the outcome that a holder reports for a key of this host, and confirms it.
    pub(super) fn record_outcome(
        &mut self,
        from: &HostId,
        text: &str,
        id: RequestId,
        outcome: KeyOutcome,
        fx: &mut Vec<Effect>,
    ) {
        if let Some(key) = self.own_key(text) {
            self.keys.settle(&key, &id, outcome);
        }
        self.send(from, Message::Settled { id }, fx);
    }

    /// Parses a key; returns it only if this process issued it.
    fn own_key(&self, text: &str) -> Option<IdempotencyKey> {
        let key = IdempotencyKey::parse(text)?;
        let own = key.host == self.cfg.host && key.incarnation == self.cfg.incarnation;
        own.then_some(key)
    }
}
