//! Handling of rollout orders, which move a service to a new version.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, ServiceId, score};
use rand::RngExt;

use super::placing::{is_in_time, limit_at};
use super::{Effect, Router};
use crate::limits::slot_wait_limit;
use crate::request::{Admitted, Request, Sent};
use crate::{
    AttemptOutcome, Backend, BackendRecord, BackendSubsets, BootTime, Choice, ExposureBudget, Outcome, Repeat, Report,
    RolloutOrder, RolloutReport, SoftwareVersion, VersionRole, best_place, route_key,
};

/// Time after its end for which an order is still reported to peers.
const TOLD_AFTER_END: Duration = Duration::from_secs(5);
/// Fraction of the additional requests to a canary version that hosts use.
const SLACK_PART: f64 = 0.4;
/// Factor on the expected length of a response, which is often longer.
const SAFE_LENGTH: f64 = 2.0;

impl Router {
    /// Applies an order that was read from the store.
    pub(super) fn rollout_told(&mut self, order: RolloutOrder, now: Instant) {
        self.take_order(order, Duration::ZERO, now);
    }

    /// Returns the orders known to this host.
    pub fn rollout_orders(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.rollouts.values().map(|it| &it.order)
    }

    fn take_order(&mut self, order: RolloutOrder, age: Duration, now: Instant) {
        let Some(bound) = self.cfg.bounds.exposure else {
            return;
        };
        let hosts = u32::try_from(self.fleet.size(now)).unwrap_or(u32::MAX);
        let hosts = f64::from(hosts) * f64::from(self.cells);
        let kept = SLACK_PART * bound.slack / hosts;
        let first = self.rng.random_range(0.0..1.0);
        let exposure = || ExposureBudget::new(bound.share, first, kept);
        if self.rollouts.take(order, age, exposure, now) {
            self.versions_changed();
        }
    }

    /// Handles a change of the roles of versions, which peers should receive at once.
    fn versions_changed(&mut self) {
        self.views.invalidate();
        self.telling.whole_is_due();
    }

    /// Applies the orders and outcomes in a peer's report.
    pub(super) fn heard_of_rollouts(&mut self, report: &Report, now: Instant) {
        let Some(whole) = &report.whole else {
            return;
        };
        for told in &whole.rollouts {
            self.take_order(told.order.clone(), told.age, now);
            if told.is_end_lost {
                self.rollouts.end_was_lost(&told.order);
            }
            let rollout = self.rollouts.get_mut(&told.order.service);
            let Some(rollout) = rollout.filter(|it| it.order.to == told.order.to) else {
                continue;
            };
            if whole.cell_callers.is_none() {
                rollout.peer_saw(report.run, &told.outcomes);
            } else if whole.cell != self.cell {
                rollout.cell_saw(whole.cell, &told.outcomes);
            }
            if told.is_bad && rollout.found_bad() {
                self.versions_changed();
            }
        }
    }

    /// Returns what peers should know of orders.
    pub(super) fn rollouts_to_tell(&self, now: Instant, is_of_cell: bool) -> Vec<RolloutReport> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let all = self.rollouts.values();
        let told =
            all.filter(|it| it.is_end_lost() || it.ended.is_none_or(|at| age(at) < TOLD_AFTER_END));
        let reports = told.map(|rollout| RolloutReport {
            order: rollout.order.clone(),
            age: age(rollout.started),
            is_bad: rollout.is_bad(),
            is_end_lost: rollout.is_end_lost(),
            outcomes: if is_of_cell {
                rollout.own_cell()
            } else {
                rollout.own.clone()
            },
        });
        reports.collect()
    }

    /// Evaluates the canary versions, and has changed states of orders written to the store.
    pub(super) fn judge_rollouts(
        &mut self,
        now: Instant,
        boot_time: BootTime,
        fx: &mut Vec<Effect>,
    ) {
        let mut has_changed = false;
        for rollout in self.rollouts.values_mut() {
            has_changed |= rollout.judge(now);
        }
        if has_changed {
            self.versions_changed();
        }
        if !self.may_watch(boot_time) {
            return;
        }
        let turns = self.write_turns(now);
        for rollout in self.rollouts.values_mut() {
            fx.extend(rollout.next_write(turns, now).map(Effect::WriteRollout));
        }
    }

    /// Returns the number of hosts that write to the store before this one.
    fn write_turns(&self, now: Instant) -> u32 {
        const WRITE_ORDER: &str = "rollout";
        let own = score(WRITE_ORDER, &self.cfg.host);
        let heard = self.fleet.live_peers(now).filter(|(_, peer)| peer.may_watch);
        let before = heard.filter(|(host, _)| score(WRITE_ORDER, host) > own);
        let before = u32::try_from(before.count()).unwrap_or(u32::MAX);
        self.cell.saturating_add(before.saturating_mul(self.cells))
    }

    /// Returns which requests a backend server may get, by its version.
    pub(super) fn role_of(&self, record: &BackendRecord) -> VersionRole {
        if self.cfg.bounds.exposure.is_some() {
            self.rollouts.role(record)
        } else {
            VersionRole::InForce
        }
    }

    /// Returns the subsets to which a backend server may belong by its version; none if it gets no
    /// requests.
    pub(super) fn views_of(&self, record: &BackendRecord) -> Option<&BackendSubsets> {
        match self.role_of(record) {
            VersionRole::InForce => Some(&self.views),
            VersionRole::Trial => Some(&self.trial_views),
            VersionRole::Barred => None,
        }
    }

    /// Returns the version of a backend server if it is a canary version.
    pub(super) fn trial_version(&self, record: &BackendRecord) -> Option<SoftwareVersion> {
        let is_trial = self.role_of(record) == VersionRole::Trial;
        is_trial.then(|| record.version.clone())
    }

    pub(super) fn find_versions_in_force(&mut self) {
        if self.cfg.bounds.exposure.is_some() {
            let records = self.backends.values().map(|it| &it.record);
            self.rollouts.find_in_force(records);
        }
    }

    pub(super) fn ready_in_role(&self, role: VersionRole) -> BTreeMap<ServiceId, Vec<BackendId>> {
        self.backends
            .ready_by_service(|record| self.role_of(record) == role)
    }

    /// Returns a place on a backend server with the canary version, if the request may be sent
    /// to it.
    pub(super) fn trial_place(
        &mut self,
        admitted: &Admitted,
        in_force: Option<&Choice>,
        now: Instant,
    ) -> Option<Choice> {
        let rollout = self.rollouts.get(&admitted.service)?;
        let may_try = rollout.is_trying() && admitted.attempted.is_empty() && self.knows_orders();
        if !may_try {
            return None;
        }
        let exposure = &rollout.exposure;
        let outlasts = || {
            let left = rollout.take_over_at().saturating_duration_since(now);
            in_force.is_some_and(|choice| outlasts(admitted, choice, left, now))
        };
        let may_spend = exposure.has_sample() || (exposure.has_any() && outlasts());
        if !may_spend {
            return None;
        }
        let demand = self.demand(admitted, now);
        let slot_limit = slot_wait_limit(admitted);
        let serves = |backend: &Backend, choice: &Choice| {
            is_in_time(choice, limit_at(backend, admitted, now), slot_limit)
        };
        let ours = self.trial_views.own_subset(&admitted.service).iter();
        let ours = ours.filter_map(|id| self.backends.get(id));
        let mut rng = self.rng.clone();
        let turn = || rng.random_range(0.0..1.0);
        let choice = best_place(ours, &demand, &[], serves, turn, now);
        self.rng = rng;
        choice.filter(|choice| {
            let backend = self.backends.get(&choice.backend);
            backend.is_some_and(|it| serves(it, choice))
        })
    }

    /// Returns whether this host receives changes of an order soon enough.
    fn knows_orders(&self) -> bool {
        self.last_boot_time.is_some_and(|at| !self.is_stale(at))
    }

    /// Counts a request that is sent to a backend server against the limit on canary requests.
    pub(super) fn count_exposure(&mut self, record: &BackendRecord) {
        let is_trial = self.role_of(record) == VersionRole::Trial;
        if let Some(rollout) = self.rollouts.get_mut(&record.service) {
            rollout.exposure.sent();
            if is_trial {
                rollout.exposure.spend();
            }
        }
    }

    /// Counts the end of a call in the comparison of two versions.
    pub(super) fn compare_versions(&mut self, request: &Request<Sent>, outcome: AttemptOutcome) {
        if self.cfg.bounds.exposure.is_none() {
            return;
        }
        let Some(backend) = self.backends.get(&request.state.backend) else {
            return;
        };
        let role = self.role_of(&backend.record);
        let service = backend.record.service.clone();
        let route = route_key(&request.admitted.route.name);
        let is_new = role == VersionRole::Trial;
        let outcome = match outcome {
            AttemptOutcome::Complete => {
                let first = request.state.first_event_at;
                let first = first.map(|at| at.saturating_duration_since(request.state.at));
                let is_first_try = request.admitted.attempted.len() == 1;
                let Some(first) = first.filter(|_| is_first_try) else {
                    return;
                };
                let tokens = request.admitted.prompt_tokens;
                let is_usual = role == VersionRole::InForce;
                if self.slow_answers.judge(route, first, tokens, is_usual) {
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
        if let Some(rollout) = rollout.filter(|it| it.is_trying())
            && role != VersionRole::Barred
        {
            rollout.own.count(route, is_new, outcome);
        }
    }
}

/// Returns whether a response from an old backend server would be cut off when that server
/// stops, and could not be resumed elsewhere.
fn outlasts(admitted: &Admitted, choice: &Choice, left: Duration, now: Instant) -> bool {
    let time = admitted.deadline.saturating_duration_since(now);
    let part = choice.time_fraction.unwrap_or_default();
    let length = time.mul_f64((part * SAFE_LENGTH).min(SAFE_LENGTH));
    admitted.route.repeat == Repeat::Stream && length >= left
}
