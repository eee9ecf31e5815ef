//! Which versions of a service's software may get requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use jaypin_core::ServiceId;

use super::{ExposureBudget, Rollout, RolloutOrder, RolloutState};
use crate::{BackendRecord, BackendStatus, SoftwareVersion};

/// Requests that a version of a service may get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRole {
    /// All requests except those for the canary version.
    Stable,
    /// A limited share of the requests.
    Canary,
    /// No requests: no order names the version, or it was given up or replaced.
    Excluded,
}

/// All orders, and the stable version of each service.
#[derive(Debug, Default)]
pub struct Rollouts {
    by_service: BTreeMap<ServiceId, Rollout>,
    stable: HashMap<ServiceId, SoftwareVersion>,
    /// Versions that were given up.
    rejected: BTreeSet<(ServiceId, SoftwareVersion)>,
}

impl Rollouts {
    /// Returns the order of a service.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Returns the order of a service for changes.
    pub fn get_mut(&mut self, service: &str) -> Option<&mut Rollout> {
        self.by_service.get_mut(service)
    }

    /// Returns all orders.
    pub fn values(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// Returns all orders for changes.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Rollout> {
        self.by_service.values_mut()
    }

    /// Applies an order from the store, of which a host first learned `age` ago. Returns whether
    /// this is a change.
    pub fn apply(
        &mut self,
        order: RolloutOrder,
        age: Duration,
        exposure: impl FnOnce() -> ExposureBudget,
        now: Instant,
    ) -> bool {
        let started = now.checked_sub(age).unwrap_or(now);
        let known = self.by_service.get_mut(&order.service);
        if let Some(known) = known
            && known.shows_lost_end(&order)
        {
            return known.mark_end_lost(order.point);
        }
        let known = self.by_service.get_mut(&order.service);
        let is_reordered = |it: &Rollout| it.order.state.is_final() && !order.state.is_final();
        let is_same = |it: &Rollout| it.order.to == order.to && !is_reordered(it);
        let Some(known) = known.filter(|it| is_same(it)) else {
            return self.replace(order, started, exposure, now);
        };
        known.started = known.started.min(started);
        let has_ended = order.state.is_final() && !known.order.state.is_final();
        let is_end = has_ended && order.point == known.order.point;
        if order.point <= known.order.point && !is_end {
            return false;
        }
        let was_final = known.order.state.is_final();
        known.update(order);
        if known.order.state.is_final() {
            known.ended.get_or_insert(now);
        }
        let is_final = known.order.state.is_final();
        let (service, to) = (known.order.service.clone(), known.order.to.clone());
        if is_final && !was_final {
            self.record_end(&service, &to);
        }
        true
    }

    /// Records a peer's report that the store has lost the end of an order.
    pub fn mark_end_lost(&mut self, order: &RolloutOrder) {
        let known = self.by_service.get_mut(&order.service);
        let is_same = |it: &Rollout| it.order.to == order.to && it.order.state == order.state;
        // A host that knows a later state of the order in the store ignores the report.
        if let Some(known) = known.filter(|it| is_same(it) && it.order.point <= order.point) {
            known.mark_end_lost(order.point);
        }
    }

    /// Adds the first order of a service, or replaces an order to another version.
    fn replace(
        &mut self,
        order: RolloutOrder,
        started: Instant,
        exposure: impl FnOnce() -> ExposureBudget,
        now: Instant,
    ) -> bool {
        let service = order.service.clone();
        if let Some(known) = self.by_service.get(&service) {
            if order.point <= known.order.point {
                return false;
            }
            if known.order.state != RolloutState::Done {
                let replaced = (service.clone(), known.order.to.clone());
                self.rejected.insert(replaced);
            }
        }
        let to = order.to.clone();
        self.rejected.remove(&(service.clone(), to.clone()));
        let mut rollout = Rollout::new(order, exposure(), now);
        rollout.started = started;
        let is_final = rollout.order.state.is_final();
        self.by_service.insert(service.clone(), rollout);
        if is_final {
            self.record_end(&service, &to);
        } else {
            self.clear_stable(&service, &to);
        }
        true
    }

    /// Records that a version is not the stable one. A host that starts during a rollout may
    /// mistake the canary version for it until it receives the order.
    fn clear_stable(&mut self, service: &ServiceId, version: &SoftwareVersion) {
        if self.stable.get(service) == Some(version) {
            self.stable.remove(service);
        }
    }

    /// Records how an order ended.
    fn record_end(&mut self, service: &ServiceId, to: &SoftwareVersion) {
        let state = self.by_service.get(service).map(|it| it.order.state);
        if state == Some(RolloutState::Done) {
            self.stable.insert(service.clone(), to.clone());
        } else {
            self.clear_stable(service, to);
            self.rejected.insert((service.clone(), to.clone()));
        }
    }

    /// Updates the stable version of each service. It is the version to which a completed order
    /// moved the service, else the known stable version, each while a backend server runs it.
    /// Otherwise it is the version of the oldest backend server, since new versions start beside
    /// running ones.
    pub fn update_stable_versions<'a>(
        &mut self,
        records: impl Iterator<Item = &'a BackendRecord> + Clone,
    ) {
        let ready = records.filter(|it| it.status == BackendStatus::Ready);
        let mut oldest: BTreeMap<&ServiceId, &BackendRecord> = BTreeMap::new();
        for record in ready.clone() {
            if self.is_rejected(record) {
                continue;
            }
            let known = oldest.entry(&record.service).or_insert(record);
            if record.started < known.started {
                *known = record;
            }
        }
        for (service, record) in oldest {
            let is_running = |version: &SoftwareVersion| {
                let mut of_service = ready.clone().filter(|it| it.service == *service);
                of_service.any(|it| it.version == *version)
            };
            let completed = self
                .completed_version(service)
                .filter(|it| is_running(it))
                .cloned();
            let known = self.stable.get(service);
            if let Some(version) = completed {
                self.stable.insert(service.clone(), version);
            } else if !known.is_some_and(is_running) && !self.is_ordered(record) {
                let version = record.version.clone();
                self.stable.insert(service.clone(), version);
            }
        }
    }

    /// Returns the version to which a completed order moved a service.
    fn completed_version(&self, service: &ServiceId) -> Option<&SoftwareVersion> {
        let order = &self.by_service.get(service)?.order;
        (order.state == RolloutState::Done).then_some(&order.to)
    }

    fn is_rejected(&self, record: &BackendRecord) -> bool {
        let key = (record.service.clone(), record.version.clone());
        self.rejected.contains(&key)
    }

    fn is_ordered(&self, record: &BackendRecord) -> bool {
        let rollout = self.by_service.get(&record.service);
        rollout.is_some_and(|it| it.order.to == record.version && !it.order.state.is_final())
    }

    /// Returns the requests that a backend server may get by its version.
    #[must_use]
    pub fn role(&self, record: &BackendRecord) -> VersionRole {
        if self.is_ordered(record) {
            let rollout = self.by_service.get(&record.service);
            return if rollout.is_some_and(Rollout::is_under_test) {
                VersionRole::Canary
            } else {
                VersionRole::Excluded
            };
        }
        let stable = self.stable.get(&record.service);
        if stable.is_none_or(|it| *it == record.version) {
            VersionRole::Stable
        } else {
            VersionRole::Excluded
        }
    }
}
