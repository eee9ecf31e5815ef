//! Crashes of backend servers: what is evidence of them, and what happens to requests whose
//! content, or a part of whose prompt, caused them.

use std::time::{Duration, Instant};

use jaypin_core::{BackendId, Reason, Refusal};

use super::arrival::refuse;
use super::{Effect, Router};
use crate::request::{Admitted, Request, Sent, Waiting};
use crate::retry_after::MAX_QUARANTINE_RETRY_AFTER;
use crate::{AttemptOutcome, BackendRecord, BackendRun, DecisionInputs, Fingerprint, Report};

impl Router {
    /// Records a call that ended without an answer.
    pub(super) fn record_lost_call(
        &mut self,
        request: &Request<Sent>,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let is_unreachable = match outcome {
            AttemptOutcome::Died => true,
            AttemptOutcome::Lost | AttemptOutcome::Silent => false,
            _ => return,
        };
        let mut is_new = false;
        for suspect in request.suspects() {
            is_new |= self.crash_evidence.record_lost_call(
                request.state.run,
                suspect,
                is_unreachable,
                now,
            );
        }
        self.report_evidence(is_new);
    }

    /// Records an answer that ended with its connection, or states a failure: neither shows that
    /// its request is sound.
    pub(super) fn record_unverified_answer(&mut self, request: &Request<Sent>, now: Instant) {
        let mut is_new = false;
        if !request.state.is_long_written() {
            let run = request.state.run;
            for suspect in request.suspects() {
                is_new |= self.crash_evidence.record_possible_cut(run, suspect, now);
            }
        }
        self.report_evidence(is_new);
    }

    /// Records that a request was run to its end.
    pub(super) fn record_completion(&mut self, admitted: &Admitted, now: Instant) {
        let content = admitted.fingerprint;
        let is_new = self.crash_evidence.record_completion(content, now);
        self.report_evidence(is_new);
        self.record_sound_parts(&admitted.shared_parts, now);
    }

    /// Records that an answer on these parts was written for a while or to its end.
    pub(super) fn record_sound_parts(&mut self, parts: &[Fingerprint], now: Instant) {
        let mut is_new = false;
        for part in parts {
            is_new |= self.crash_evidence.record_completion(*part, now);
        }
        self.report_evidence(is_new);
    }

    /// Returns whether another backend server crashed under a part of a lost request's prompt, which
    /// is not known to be sound.
    pub(super) fn may_crash_others(&self, request: &Request<Sent>) -> bool {
        let run = request.state.run;
        let mut parts = request.suspect_parts().iter();
        parts.any(|it| self.crash_evidence.has_other_crash(*it, run))
    }

    pub(super) fn record_answer(&mut self, run: BackendRun, sent_at: Instant, now: Instant) {
        let is_new = self.crash_evidence.record_answer(run, sent_at, now);
        self.report_evidence(is_new);
    }

    pub(super) fn record_contact(&mut self, backend: &BackendId, now: Instant) {
        let Some(backend) = self.backends.get(backend) else {
            return;
        };
        let run = BackendRun::of(&backend.record);
        let is_new = self.crash_evidence.record_contact(run, now);
        self.report_evidence(is_new);
    }

    /// Records that another process answered at the address of the one that was called.
    pub(super) fn record_replaced_backend(&mut self, call: &Sent, now: Instant) {
        let is_new = self.crash_evidence.record_end(call.run, now);
        self.report_evidence(is_new);
    }

    /// Records the end of the runs in whose place an entry states another one: with the same id,
    /// or at the same address.
    pub(super) fn record_replaced_runs(&mut self, record: &BackendRecord, now: Instant) {
        let run = BackendRun::of(record);
        let known = self.backends.values().map(|it| &it.record);
        let known = known.filter(|it| it.id == record.id || it.address == record.address);
        let replaced = known.map(BackendRun::of).filter(|it| *it != run);
        let replaced: Vec<_> = replaced.collect();
        for run in replaced {
            let is_new = self.crash_evidence.record_end(run, now);
            self.report_evidence(is_new);
        }
    }

    fn report_evidence(&mut self, is_new: bool) {
        if is_new {
            self.report_state.report_whole_at_once();
        }
    }

    /// Applies the crashes in a peer's report.
    pub(super) fn apply_reported_crashes(&mut self, report: &Report, now: Instant) {
        let Some(whole) = &report.whole else {
            return;
        };
        let mut knows_better = false;
        for crash in &whole.crashes {
            knows_better |= self.crash_evidence.apply_crash(crash, now);
        }
        for completed in &whole.completed {
            self.crash_evidence.apply_completion(completed, now);
        }
        self.report_evidence(knows_better);
    }

    /// Returns whether requests with the content of this one, or with a part of its prompt, are
    /// refused.
    pub(super) fn is_quarantined(&self, admitted: &Admitted, now: Instant) -> bool {
        self.quarantine(admitted, now).is_some()
    }

    /// Returns what is quarantined of a request, and for how long.
    fn quarantine(&self, admitted: &Admitted, now: Instant) -> Option<(Fingerprint, Duration)> {
        let evidence = &self.crash_evidence;
        let content = admitted.fingerprint;
        let of_content = evidence.remaining_quarantine(content, now);
        if let Some(left) = of_content {
            return Some((content, left));
        }
        let mut suspects = admitted.shared_parts.clone();
        suspects.push(content);
        admitted.shared_parts.iter().find_map(|part| {
            let left = evidence.remaining_part_quarantine(*part, &suspects, now)?;
            Some((*part, left))
        })
    }

    /// Ends a request whose content, or a part of whose prompt, is quarantined.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Instant,
        request: &Request<Waiting>,
        fx: &mut Vec<Effect>,
    ) {
        let admitted = &request.admitted;
        if admitted.may_have_run() {
            return fx.push(Effect::ForwardFailure(admitted.number));
        }
        let quarantine = self.quarantine(admitted, now);
        let (suspect, left) = quarantine.unwrap_or((admitted.fingerprint, Duration::ZERO));
        let left = left.min(MAX_QUARANTINE_RETRY_AFTER);
        let refusal = Refusal::not_run(Reason::Quarantined).retry_after(left);
        let inputs = DecisionInputs::Crashes {
            crash_count: self.crash_evidence.crash_count(suspect),
        };
        let requester = Some(admitted.requester());
        fx.push(refuse(admitted.number, requester, refusal, inputs));
    }
}
