//! Crashes of backend servers: what is evidence of them, and what happens to requests whose
//! content caused them.

use std::time::Instant;

use jaypin_core::{BackendId, Reason, Refusal};

use super::arrival::refuse;
use super::{Effect, Router};
use crate::request::{Request, Sent, Waiting};
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
        let content = request.admitted.fingerprint;
        let run = request.state.run;
        let is_new = self
            .crash_evidence
            .record_lost_call(run, content, is_unreachable, now);
        self.report_evidence(is_new);
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

    pub(super) fn record_completed_content(&mut self, content: Fingerprint, now: Instant) {
        let is_new = self.crash_evidence.record_completion(content, now);
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
        for crash in &whole.crashes {
            self.crash_evidence.apply_crash(crash, now);
        }
        for completed in &whole.completed {
            self.crash_evidence.apply_completion(completed, now);
        }
    }

    /// Returns whether requests with this content are refused.
    pub(super) fn is_quarantined(&self, content: Fingerprint, now: Instant) -> bool {
        self.crash_evidence
            .remaining_quarantine(content, now)
            .is_some()
    }

    /// Ends a request whose content is quarantined.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Instant,
        request: &Request<Waiting>,
        fx: &mut Vec<Effect>,
    ) {
        let admitted = &request.admitted;
        if admitted.possible_runs > 0 {
            return fx.push(Effect::ForwardFailure(admitted.number));
        }
        let content = admitted.fingerprint;
        let left = self.crash_evidence.remaining_quarantine(content, now);
        let left = left.unwrap_or_default().min(MAX_QUARANTINE_RETRY_AFTER);
        let refusal = Refusal::not_run(Reason::Quarantined).retry_after(left);
        let inputs = DecisionInputs::Crashes {
            crash_count: self.crash_evidence.crash_count(content),
        };
        let requester = Some(admitted.requester());
        fx.push(refuse(admitted.number, requester, refusal, inputs));
    }
}
