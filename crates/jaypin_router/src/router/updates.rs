//! Updates from the configuration, the entries of backend servers, and the reports of peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, HostId};

use rand::RngExt;

use super::Router;
use super::reporting::HostList;
use crate::{
    Backend, BackendRecord, BootTime, EntryChange, EntrySource, LeaveState, LoadChange, LoadUpdate,
    Report, ResendBudget, RouteTable, StorePoint, SubsetKind, VersionRole, cell_count, cell_of,
};

/// Assumed share of one host in its cell, until all registered hosts are listed. Cells have at most about
/// thirty hosts on average.
const INITIAL_FLEET_FRACTION: f64 = 1.0 / 32.0;
/// Fraction of the fleet's resend budget that hosts use. Hosts count their resends separately,
/// and must not exceed the budget together while the number of hosts changes.
const BUDGET_FRACTION: f64 = 0.75;
/// Time in which hosts whose waiting requests have the same priority try to use a freed slot, in
/// random order. A report is sent, and arrives in the next failure domain, within a third of it.
const PLACEMENT_TURN: Duration = Duration::from_millis(10);
/// Number of priorities with such a time of their own; all lower ones share the last.
const MAX_TURNS: u8 = 3;

impl Router {
    /// Applies a configuration, unless the one in use is as new or newer. Reads and watches may
    /// complete in any order.
    pub(super) fn apply_configuration(&mut self, table: Arc<RouteTable>, now: Instant) {
        if table.configuration().version <= self.version() {
            return;
        }
        let accounts = &table.configuration().accounts;
        self.quota.configure(accounts, now);
        self.account_arrivals.configure(accounts);
        self.table = Some(table);
        self.update_outdated_since(now);
    }

    /// Returns whether the configuration is known to have been the newest recently enough.
    ///
    /// Guards against a host that still accepts a revoked credential because it is cut off from
    /// the store or was suspended. The boot clock counts suspended time. A host that knows of a
    /// newer version must not answer by its own for longer than that version may take to be
    /// applied.
    pub(super) fn is_proved(&self, boot_time: BootTime) -> bool {
        let bounds = &self.cfg.bounds;
        let freshness = &self.freshness;
        let is_in_use_too_long = self.has_newer_version()
            && self
                .proof_age(boot_time)
                .is_none_or(|age| age >= bounds.convergence_limit);
        self.table.is_some()
            && freshness.suffices_for_credentials(bounds.revocation_limit, boot_time)
            && !is_in_use_too_long
            && !self.may_lag_behind_peers()
    }

    pub(super) fn apply_backend_list(
        &mut self,
        entries: Vec<(BackendRecord, StorePoint)>,
        point: StorePoint,
        now: Instant,
    ) {
        // Each host reads all entries when it starts, so the first list need not be reported.
        let is_first = !self.reported_store.has_read_all();
        let listed: BTreeSet<BackendId> = entries.iter().map(|it| it.0.id.clone()).collect();
        let known = self.entries.ids().chain(self.backends.ids());
        let missing: BTreeSet<_> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            // A list that lags does not show later changes.
            if self.entries.has_newer(&id, point) {
                continue;
            }
            let removed = EntryChange::Removed {
                id: id.clone(),
                point,
            };
            self.entries.apply(&removed);
            self.entries.queue(removed);
            self.report_state.report_soon();
            self.record_leave(&id, LeaveState::Removed, EntrySource::Store);
            self.handle_missing_entry(id, now);
        }
        for (record, point) in entries {
            let change = EntryChange::Stated { record, point };
            if is_first {
                self.apply_entry_change(change, EntrySource::Store, now);
            } else {
                self.apply_store_change(change, now);
            }
        }
        self.reported_store.record_read_all();
        self.version_history.record_complete(now);
    }

    /// Applies a change that this host read from the store, and reports it to its cell.
    pub(super) fn apply_store_change(&mut self, change: EntryChange, now: Instant) {
        if self.apply_entry_change(change.clone(), EntrySource::Store, now) {
            self.entries.queue(change);
            self.report_state.report_soon();
        }
    }

    pub(super) fn update_backend(&mut self, record: BackendRecord, now: Instant) {
        self.missing_entries.remove(&record.id);
        self.stable_subsets.invalidate();
        let id = record.id.clone();
        self.record_replaced_runs(&record, now);
        self.record_changed_version(&record, now);
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.update_record(record);
        } else {
            self.backends.insert(Backend::new(record));
        }
        self.apply_signals_of(&id, now);
    }

    pub(super) fn handle_report(&mut self, now: Instant, report: Report, boot_time: BootTime) {
        if report.run == self.cfg.incarnation {
            return;
        }
        self.apply_reported_store(&report, now, boot_time);
        self.apply_reported_rollouts(&report, now);
        self.apply_reported_signals(&report, now);
        self.apply_reported_loads(&report, now);
        self.apply_held_reports(&report.held, now);
        self.apply_reported_crashes(&report, now);
        let is_whole = report.whole.is_some();
        if let Some(whole) = &report.whole
            && self
                .report_state
                .add_host(whole.host.clone(), whole.address)
        {
            self.handle_host_change();
        }
        let update = self.fleet.apply(report, now, boot_time);
        if is_whole {
            self.compare_with_peers(now);
            self.refresh_quotas(now);
        }
        for (account, units) in &update.usage {
            self.quota.record_peer_usage(account, *units, now);
        }
        for (account, level) in &update.low_levels {
            self.quota.apply_peer_level(account, *level, now);
        }
        for arrivals in &update.arrivals {
            self.arrival_rates.record_peer(arrivals, now);
        }
    }

    /// Applies the load and the samples that a peer reports.
    fn apply_reported_loads(&mut self, report: &Report, now: Instant) {
        let update = self.peer_loads.apply(report, now);
        for samples in &update.samples {
            if let Some(backend) = self.backends.by_key_mut(samples.key) {
                backend.record_peer_samples(samples, now);
            }
        }
        self.apply_load_changes(&update, now);
    }

    fn apply_load_changes(&mut self, update: &LoadUpdate, now: Instant) {
        for change in &update.changed {
            self.apply_load_change(*change, now);
        }
        if update.has_freed_slot {
            self.schedule_placement(now);
        }
    }

    fn apply_load_change(&mut self, change: LoadChange, now: Instant) {
        let Some(backend) = self.backends.by_key(change.key) else {
            return;
        };
        let factor = self.load_factor(&backend.record);
        let mut load = self.peer_loads.sum(change.key);
        load.running = load.running.saturating_mul(factor);
        load.unread_tokens = load.unread_tokens.saturating_mul(factor);
        if let Some(backend) = self.backends.by_key_mut(change.key) {
            backend.set_peer_load(load, change.new_prompt_tokens.saturating_mul(factor), now);
        }
    }

    /// Schedules a placement attempt of waiting requests after a short delay, which is shorter
    /// for urgent ones.
    ///
    /// Guards against all hosts with a waiting request using the same slot when a peer reports
    /// that it is free. Each host waits for its turn and receives reports of slots that were
    /// taken meanwhile, so the most urgent request of the fleet gets the slot without any
    /// coordination.
    fn schedule_placement(&mut self, now: Instant) {
        let Some(rank) = self.waiting.first_rank() else {
            return;
        };
        let urgency = rank.account.saturating_add(rank.route);
        let delay_in_turns = f64::from(urgency.min(MAX_TURNS)) + self.rng.random_range(0.0..1.0);
        let at = now + PLACEMENT_TURN.mul_f64(delay_in_turns);
        self.next_placement_at = Some(self.next_placement_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Updates quotas, budgets and loads for peers that fell silent.
    pub(super) fn refresh_peers(&mut self, now: Instant) {
        self.fleet.remove_expired(now);
        self.refresh_quotas(now);
        let allowance = self.resend_allowance(now);
        for budget in self.budgets.values_mut() {
            budget.set_allowance(allowance);
        }
        let expired = self.peer_loads.expire(now);
        self.apply_load_changes(&expired, now);
    }

    pub(super) fn apply_host_list(
        &mut self,
        hosts: Vec<(HostId, SocketAddr)>,
        list: HostList,
        now: Instant,
    ) {
        for (host, address) in hosts {
            if host == self.cfg.host {
                continue;
            }
            if self.report_state.add_host(host, address) {
                self.handle_host_change();
            }
            self.report_state.mark_registered(address);
        }
        self.report_state.record_host_list(list);
        self.join.record_host_list(now);
        self.refresh_cells();
        self.refresh_quotas(now);
    }

    /// Handles a change of the known hosts.
    pub(super) fn handle_host_change(&mut self) {
        self.stable_subsets.invalidate();
        self.fleet_quota.forget_hosts();
    }

    /// Updates the part of each quota that this host may use, by the part of its cell from which
    /// it receives reports.
    ///
    /// Guards against hosts that each grant a whole quota because they couldn't list each other.
    fn refresh_quotas(&mut self, now: Instant) {
        let own_cell = |host: &&HostId| cell_of(host, self.cells) == self.cell;
        let discovered = self.report_state.recently_discovered(now).filter(own_cell);
        let live_fraction = self.fleet.live_fraction(discovered, now);
        let fraction = if self.report_state.has_whole_host_list() {
            live_fraction
        } else {
            let live = u32::try_from(self.fleet.size(now)).unwrap_or(u32::MAX);
            live_fraction.min(INITIAL_FLEET_FRACTION * f64::from(live))
        };
        self.fleet_quota.set_cell_live_fraction(fraction);
        self.quota
            .set_live_fraction(fraction / f64::from(self.cells));
    }

    /// Updates the number of cells and the cell of this host.
    pub(super) fn refresh_cells(&mut self) {
        self.cells = cell_count(self.report_state.host_count());
        self.cell = cell_of(&self.cfg.host, self.cells);
    }

    /// Updates the sets of backend servers that this host uses, if hosts or backend servers
    /// changed.
    pub(super) fn refresh_subsets(&mut self) {
        if self.stable_subsets.is_current() {
            return;
        }
        let others: Vec<_> = self.report_state.known_hosts().collect();
        self.update_stable_versions();
        let stable = self.ready_in_role(VersionRole::Stable);
        let canary = self.ready_in_role(VersionRole::Canary);
        self.stable_subsets.update(&self.cfg.host, &others, stable);
        self.canary_subsets.update(&self.cfg.host, &others, canary);
    }

    /// Returns the factor by which the load of all hosts exceeds that of the hosts that report
    /// to this one.
    fn load_factor(&self, record: &BackendRecord) -> u32 {
        let subsets = self.subsets_of(record).unwrap_or(&self.stable_subsets);
        match subsets.kind(&record.service) {
            SubsetKind::AllWithinCell => self.cells,
            SubsetKind::All | SubsetKind::Subset(_) => 1,
        }
    }

    /// Returns the ratio of two arrival rates: the fleet's, for the backend servers that this
    /// host uses, to its cell's, for all backend servers of the service.
    pub(super) fn arrival_share(&self, service: &str) -> f64 {
        f64::from(self.cells) * self.stable_subsets.fraction(service)
    }

    fn resend_allowance(&self, now: Instant) -> f64 {
        let hosts = u32::try_from(self.fleet.size(now)).unwrap_or(u32::MAX);
        let hosts = hosts.saturating_mul(self.cells);
        BUDGET_FRACTION * self.cfg.bounds.resend_allowance / f64::from(hosts)
    }

    /// Returns whether the budget of a service has a resend left.
    pub(super) fn has_resends_left(
        &self,
        resends: u32,
        service: &jaypin_core::ServiceId,
        now: Instant,
    ) -> bool {
        let budget = self.budgets.get(service);
        budget.is_none_or(|it| it.has_left(resends, now))
    }

    pub(super) fn budget(
        &mut self,
        service: &jaypin_core::ServiceId,
        now: Instant,
    ) -> &mut ResendBudget {
        let allowance = self.resend_allowance(now);
        let bounds = &self.cfg.bounds;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = bounds.resend_ratio * BUDGET_FRACTION;
            ResendBudget::new(bounds.resend_window, ratio, allowance)
        })
    }
}
