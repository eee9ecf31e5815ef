//! Handling of rollout orders, which move a service to a new version.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, ServiceId, score};
use rand::RngExt;

use super::placing::{first_event_limit_on, is_in_time};
use super::{Effect, Router};
use crate::limits::slot_wait_limit;
use crate::request::{Admitted, Request, Sent};
use crate::{
    AttemptOutcome, Backend, BackendRecord, BackendSubsets, BootTime, Choice, ExposureBudget,
    Outcome, Repeat, Report, RolloutOrder, RolloutReport, SoftwareVersion, VersionRole,
    choose_backend, route_key,
};

/// Time after its end for which an order is still reported to peers.
const REPORT_AFTER_END: Duration = Duration::from_secs(5);
/// Fraction of the additional requests to a canary version that hosts use.
const SLACK_FRACTION: f64 = 0.4;
/// Factor on the expected length of a response, which is often longer.
const LENGTH_SAFETY_FACTOR: f64 = 2.0;

impl Router {
    /// Applies an order that was read from the store.
    pub(super) fn apply_stored_order(&mut self, order: RolloutOrder, now: Instant) {
        self.apply_order(order, Duration::ZERO, now);
    }

    /// Returns the orders known to this host.
    pub fn rollout_orders(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.rollouts.values().map(|it| &it.order)
    }

    fn apply_order(&mut self, order: RolloutOrder, age: Duration, now: Instant) {
        let Some(bound) = self.cfg.bounds.exposure else {
            return;
        };
        let hosts = u32::try_from(self.fleet.size(now)).unwrap_or(u32::MAX);
        let hosts = f64::from(hosts) * f64::from(self.cells);
        let additional = SLACK_FRACTION * bound.slack / hosts;
        let first_credit = self.rng.random_range(0.0..1.0);
        let exposure = || ExposureBudget::new(bound.share, first_credit, additional);
        if self.rollouts.apply(order, age, exposure, now) {
            self.handle_role_change();
        }
    }

    /// Handles a change of the roles of versions, which peers should receive at once.
    fn handle_role_change(&mut self) {
        self.stable_subsets.invalidate();
        self.report_state.report_whole_at_once();
    }

    /// Applies the orders and outcomes in a peer's report.
    pub(super) fn apply_reported_rollouts(&mut self, report: &Report, now: Instant) {
        let Some(whole) = &report.whole else {
            return;
        };
        for reported in &whole.rollouts {
            self.apply_order(reported.order.clone(), reported.age, now);
            if reported.is_end_lost {
                self.rollouts.mark_end_lost(&reported.order);
            }
            let rollout = self.rollouts.get_mut(&reported.order.service);
            let Some(rollout) = rollout.filter(|it| it.order.to == reported.order.to) else {
                continue;
            };
            if whole.cell_callers.is_none() {
                rollout.record_peer_outcomes(report.run, &reported.outcomes);
            } else if whole.cell != self.cell {
                rollout.record_cell_outcomes(whole.cell, &reported.outcomes);
            }
            if reported.is_bad && rollout.mark_bad() {
                self.handle_role_change();
            }
        }
    }

    /// Returns what peers should know of orders.
    pub(super) fn rollouts_to_report(&self, now: Instant, is_of_cell: bool) -> Vec<RolloutReport> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let all = self.rollouts.values();
        let reported = all
            .filter(|it| it.is_end_lost() || it.ended.is_none_or(|at| age(at) < REPORT_AFTER_END));
        let reports = reported.map(|rollout| RolloutReport {
            order: rollout.order.clone(),
            age: age(rollout.started),
            is_bad: rollout.is_bad(),
            is_end_lost: rollout.is_end_lost(),
            outcomes: if is_of_cell {
                rollout.own_cell_outcomes()
            } else {
                rollout.own_outcomes.clone()
            },
        });
        reports.collect()
    }

    /// Evaluates the canary versions, and has changed states of orders written to the store.
    pub(super) fn evaluate_rollouts(
        &mut self,
        now: Instant,
        boot_time: BootTime,
        fx: &mut Vec<Effect>,
    ) {
        let mut has_changed = false;
        for rollout in self.rollouts.values_mut() {
            has_changed |= rollout.evaluate(now);
        }
        if has_changed {
            self.handle_role_change();
        }
        if self.draining_since.is_some() || !self.freshness.suffices_for_writing(boot_time) {
            return;
        }
        let preceding = self.writers_before(now);
        for rollout in self.rollouts.values_mut() {
            fx.extend(rollout.next_write(preceding, now).map(Effect::WriteRollout));
        }
    }

    /// Returns the number of hosts that write to the store before this one.
    fn writers_before(&self, now: Instant) -> u32 {
        const WRITE_RANK_KEY: &str = "rollout";
        let own = score(WRITE_RANK_KEY, &self.cfg.host);
        let live = self
            .fleet
            .live_peers(now)
            .filter(|(_, peer)| peer.may_watch);
        let preceding = live.filter(|(host, _)| score(WRITE_RANK_KEY, host) > own);
        let preceding = u32::try_from(preceding.count()).unwrap_or(u32::MAX);
        self.cell
            .saturating_add(preceding.saturating_mul(self.cells))
    }

    /// Returns which requests a backend server may get, by its version.
    pub(super) fn role_of(&self, record: &BackendRecord) -> VersionRole {
        if self.cfg.bounds.exposure.is_some() {
            self.rollouts.role(record)
        } else {
            VersionRole::Stable
        }
    }

    /// Returns the subsets to which a backend server may belong by its version; none if it gets no
    /// requests.
    pub(super) fn subsets_of(&self, record: &BackendRecord) -> Option<&BackendSubsets> {
        match self.role_of(record) {
            VersionRole::Stable => Some(&self.stable_subsets),
            VersionRole::Canary => Some(&self.canary_subsets),
            VersionRole::Excluded => None,
        }
    }

    /// Returns the version of a backend server if it is a canary version.
    pub(super) fn canary_version(&self, record: &BackendRecord) -> Option<SoftwareVersion> {
        let is_canary = self.role_of(record) == VersionRole::Canary;
        is_canary.then(|| record.version.clone())
    }

    pub(super) fn update_stable_versions(&mut self) {
        if self.cfg.bounds.exposure.is_some() {
            let records = self.backends.values().map(|it| &it.record);
            self.rollouts.update_stable_versions(records);
        }
    }

    pub(super) fn ready_in_role(&self, role: VersionRole) -> BTreeMap<ServiceId, Vec<BackendId>> {
        self.backends
            .ready_by_service(|record| self.role_of(record) == role)
    }

    /// Returns a place on a backend server with the canary version, if the request may be sent
    /// to it.
    pub(super) fn canary_place(
        &mut self,
        admitted: &Admitted,
        stable: Option<&Choice>,
        now: Instant,
    ) -> Option<Choice> {
        let rollout = self.rollouts.get(&admitted.service)?;
        let may_use_canary = rollout.is_under_test()
            && admitted.attempted.is_empty()
            && admitted.stream_version.is_none()
            && self.follows_store();
        if !may_use_canary {
            return None;
        }
        let exposure = &rollout.exposure;
        let outlasts = || {
            let left = rollout.take_over_at().saturating_duration_since(now);
            stable.is_some_and(|choice| outlasts(admitted, choice, left, now))
        };
        let has_budget = exposure.has_sample() || (exposure.has_credit() && outlasts());
        if !has_budget {
            return None;
        }
        let demand = self.demand(admitted, now);
        let slot_limit = slot_wait_limit(admitted);
        let serves = |backend: &Backend, choice: &Choice| {
            is_in_time(
                choice,
                first_event_limit_on(backend, admitted, now),
                slot_limit,
            )
        };
        let subset = self.canary_subsets.own_subset(&admitted.service).iter();
        let subset = subset.filter_map(|id| self.backends.get(id));
        let held_tokens = self.held_tokens(admitted, now);
        let mut rng = self.rng.clone();
        let random = || rng.random_range(0.0..1.0);
        let choice = choose_backend(subset, &demand, &[], serves, held_tokens, random, now);
        self.rng = rng;
        choice.filter(|choice| {
            let backend = self.backends.get(&choice.backend);
            backend.is_some_and(|it| serves(it, choice))
        })
    }

    /// Returns whether this host receives changes of orders and entries soon enough.
    pub(super) fn follows_store(&self) -> bool {
        self.last_boot_time.is_some_and(|at| !self.is_stale(at))
    }

    /// Counts a request that is sent to a backend server against the limit on canary requests.
    pub(super) fn count_exposure(&mut self, record: &BackendRecord) {
        let is_canary = self.role_of(record) == VersionRole::Canary;
        if let Some(rollout) = self.rollouts.get_mut(&record.service) {
            rollout.exposure.count_request();
            if is_canary {
                rollout.exposure.charge();
            }
        }
    }

    /// Counts the end of a call in the comparison of two versions.
    pub(super) fn count_outcome(&mut self, request: &Request<Sent>, outcome: AttemptOutcome) {
        if self.cfg.bounds.exposure.is_none() {
            return;
        }
        let Some(backend) = self.backends.get(&request.state.backend) else {
            return;
        };
        let role = self.role_of(&backend.record);
        let service = backend.record.service.clone();
        let route = route_key(&request.admitted.route.name);
        let is_canary = role == VersionRole::Canary;
        let outcome = match outcome {
            AttemptOutcome::Complete | AttemptOutcome::Unverified => {
                let first_event_time = request.state.first_event_at;
                let first_event_time =
                    first_event_time.map(|at| at.saturating_duration_since(request.state.at));
                let is_first_attempt = request.admitted.attempted.len() == 1;
                let Some(first_event_time) = first_event_time.filter(|_| is_first_attempt) else {
                    return;
                };
                // Cached tokens are not read, and a new version begins with an empty cache.
                let cached = request.state.held.tokens;
                let tokens = request.admitted.prompt_tokens.saturating_sub(cached);
                let is_baseline = role == VersionRole::Stable;
                if self
                    .slow_answers
                    .classify(route, first_event_time, tokens, is_baseline)
                {
                    Outcome::Slow
                } else {
                    Outcome::Good
                }
            }
            AttemptOutcome::Failed | AttemptOutcome::Lost | AttemptOutcome::Silent => Outcome::Bad,
            // The caller disconnected, the engine crashed, or nothing was run.
            _ => return,
        };
        let rollout = self.rollouts.get_mut(&service);
        if let Some(rollout) = rollout.filter(|it| it.is_under_test())
            && role != VersionRole::Excluded
        {
            rollout.own_outcomes.count(route, is_canary, outcome);
        }
    }
}

/// Returns whether a response from an old backend server would be cut off when that server
/// stops, and could not be resumed elsewhere.
fn outlasts(admitted: &Admitted, choice: &Choice, left: Duration, now: Instant) -> bool {
    let time = admitted.deadline.saturating_duration_since(now);
    let part = choice.time_fraction.unwrap_or_default();
    let length = time.mul_f64((part * LENGTH_SAFETY_FACTOR).min(LENGTH_SAFETY_FACTOR));
    admitted.route.repeat == Repeat::Stream && length >= left
}
