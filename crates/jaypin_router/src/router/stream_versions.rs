//! Versions at which streams may go on.
//!
//! Backend servers of several software versions may serve one service, and what two of them write
//! does not fit together. A stream that has begun goes on only at the version that began it.

use std::time::{Duration, Instant};

use jaypin_core::{Ran, Reason, Refusal};

use super::arrival::refuse;
use super::{Effect, Router};
use crate::request::{Admitted, Request, Waiting};
use crate::{Backend, BackendRecord, DecisionInputs, VersionRole, service_key, version_key};

impl Router {
    /// Returns whether a backend server may run a request that has no stream yet, or may go on with
    /// its stream now.
    ///
    /// A stream that began at a canary version goes on there while the limit on the requests to that
    /// version allows it.
    pub(super) fn fits_stream(&self, admitted: &Admitted, backend: &Backend) -> bool {
        if admitted.stream_version.is_none() {
            return true;
        }
        let record = &backend.record;
        let is_canary = self.role_of(record) == VersionRole::Canary;
        let has_credit = || {
            let rollout = self.rollouts.get(&record.service);
            rollout.is_some_and(|it| it.exposure.has_credit())
        };
        self.has_version_of_stream(admitted, backend) && (!is_canary || has_credit())
    }

    /// Returns whether the stream of a request has begun and can't go on anywhere. A backend server
    /// that only declined it may have room later.
    pub(super) fn is_version_gone(&self, admitted: &Admitted) -> bool {
        if admitted.stream_version.is_none() {
            return false;
        }
        let has_failed =
            |it: &Backend| admitted.possible_runs > 0 && admitted.attempted.contains(&it.record.id);
        let mut ready = self.backends.values().filter(|it| it.is_ready());
        !ready.any(|it| self.has_version_of_stream(admitted, it) && !has_failed(it))
    }

    /// Ends a request whose stream can't go on at this host. `retry_after` is set if another host may
    /// be able to continue it.
    pub(super) fn refuse_version(
        &mut self,
        request: &Request<Waiting>,
        reason: Reason,
        retry_after: Option<Duration>,
        fx: &mut Vec<Effect>,
    ) {
        let admitted = &request.admitted;
        let refusal = if admitted.may_have_run() {
            Refusal::after_dispatch(reason, Ran::Unknown)
        } else {
            self.refund_quota(admitted);
            Refusal::not_run(reason)
        };
        let refusal = Refusal {
            retry_after,
            ..refusal
        };
        let requester = Some(admitted.requester());
        let inputs = DecisionInputs::StreamVersion;
        fx.push(refuse(admitted.number, requester, refusal, inputs));
    }

    /// Records that a backend server with another version takes the place of a known one.
    pub(super) fn record_changed_version(&mut self, record: &BackendRecord, now: Instant) {
        let Some(known) = self.backends.get(&record.id) else {
            return;
        };
        if known.version != version_key(record) {
            let service = service_key(&known.record.service);
            self.version_history
                .record_departed(service, known.version, now);
        }
    }

    /// Records that a backend server is no longer known.
    pub(super) fn record_departed_version(&mut self, backend: &Backend, now: Instant) {
        let service = service_key(&backend.record.service);
        self.version_history
            .record_departed(service, backend.version, now);
    }

    fn has_version_of_stream(&self, admitted: &Admitted, backend: &Backend) -> bool {
        backend.record.service == admitted.service
            && admitted.stream_version == Some(backend.version)
            && self.role_of(&backend.record) != VersionRole::Excluded
    }
}
