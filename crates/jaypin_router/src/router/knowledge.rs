//! Updates from the configuration, the entries of backend servers, and the reports of peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, HostId};

use rand::RngExt;

use super::Router;
use crate::{
    Backend, BackendRecord, BootTime, EntryChange, LoadChange, LoadUpdate, Report, ResendBudget,
    RouteTable, StorePoint, SubsetKind, VersionRole, cell_count, cell_of,
};

/// Fraction of the revocation limit within which the configuration must be proved. The remainder
/// covers watches that lag by up to a second.
const PROOF_PART: f64 = 0.8;
/// Part of its cell that a host assumes to be, for its share of quotas, until it has read the
/// list of registered hosts. Cells have at most about thirty hosts on average.
const UNKNOWN_PART: f64 = 1.0 / 32.0;
/// Fraction of the fleet's resend budget that hosts use. Hosts count their resends separately,
/// and must not exceed the budget together while the number of hosts changes.
const BUDGET_PART: f64 = 0.75;
/// Time in which hosts whose waiting requests have the same priority try to use a freed slot, in
/// random order. A report is sent, and arrives in the next failure domain, within a third of it.
const TURN: Duration = Duration::from_millis(10);
/// Number of priorities with such a time of their own; all lower ones share the last.
const MOST_RANKS: u8 = 3;
/// Number of backend servers that must crash while running a content before it is quarantined.
const STRIKES: u32 = 3;
/// Time for which a content stays quarantined after the last crash.
const QUARANTINE: Duration = Duration::from_mins(5);

impl Router {
    /// Applies a configuration, unless the one in use is as new or newer. Reads and watches may
    /// complete in any order.
    pub(super) fn configured(&mut self, table: Arc<RouteTable>, now: Instant) {
        if table.configuration().version <= self.version() {
            return;
        }
        let accounts = &table.configuration().accounts;
        self.quota.configure(accounts, now);
        self.account_asked.configure(accounts);
        self.table = Some(table);
    }

    /// Returns whether the configuration is known to have been the newest recently enough.
    ///
    /// Guards against a host that still accepts a revoked credential because it is cut off from
    /// the store or was suspended. The boot clock counts suspended time.
    pub(super) fn is_proved(&self, boot_time: BootTime) -> bool {
        let limit = self.cfg.bounds.revocation_limit.mul_f64(PROOF_PART);
        let age = self.proof_age(boot_time);
        self.table.is_some() && age.is_some_and(|age| age < limit)
    }

    pub(super) fn backends_listed(
        &mut self,
        entries: Vec<(BackendRecord, StorePoint)>,
        point: StorePoint,
        now: Instant,
    ) {
        // Each host reads all entries when it starts, so the first list need not be reported.
        let is_first = !self.heard.has_read_all();
        let listed: BTreeSet<BackendId> = entries.iter().map(|it| it.0.id.clone()).collect();
        let known = self.entries.ids().chain(self.backends.ids());
        let gone: BTreeSet<_> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
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
            self.backend_missing(id, now);
        }
        for (record, point) in entries {
            let change = EntryChange::Stated { record, point };
            if is_first {
                self.take_entry(change, now);
            } else {
                self.backend_told(change, now);
            }
        }
        self.heard.read_all();
    }

    /// Applies a change that this host read from the store, and reports it to its cell.
    pub(super) fn backend_told(&mut self, change: EntryChange, now: Instant) {
        if self.take_entry(change.clone(), now) {
            self.entries.queue(change);
            self.telling.has_news();
        }
    }

    pub(super) fn backend_changed(&mut self, record: BackendRecord, now: Instant) {
        self.vanished.is_back(&record.id);
        self.views.invalidate();
        let id = record.id.clone();
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.update_record(record);
        } else {
            self.backends.insert(Backend::new(record));
        }
        self.apply_signals_of(&id, now);
    }

    pub(super) fn reported(&mut self, now: Instant, report: Report, boot_time: BootTime) {
        if report.run == self.cfg.incarnation {
            return;
        }
        self.heard_of_store(&report, now, boot_time);
        self.heard_of_rollouts(&report, now);
        self.heard_of_signals(&report, now);
        self.take_loads(&report, now);
        let is_whole = report.whole.is_some();
        if let Some(whole) = &report.whole
            && self.telling.found(whole.host.clone(), whole.address)
        {
            self.views.invalidate();
        }
        let news = self.fleet.apply(report, now, boot_time);
        if is_whole {
            self.refresh_quotas(now);
        }
        for (account, units) in &news.usage {
            self.quota.record_peer_usage(account, *units, now);
        }
        for (account, level) in &news.low_levels {
            self.quota.apply_peer_level(account, *level, now);
        }
        for asked in &news.asked {
            self.asked.record_peer(asked, now);
        }
        for strike in &news.strikes {
            self.quarantine
                .heard(now, strike.fingerprint, strike.crash_count);
        }
    }

    /// Applies the load and the samples that a peer reports.
    fn take_loads(&mut self, report: &Report, now: Instant) {
        let news = self.peer_loads.apply(report, now);
        for samples in &news.samples {
            if let Some(backend) = self.backends.by_key_mut(samples.key) {
                backend.record_peer_samples(samples, now);
            }
        }
        self.loads_changed(&news, now);
    }

    fn loads_changed(&mut self, news: &LoadUpdate, now: Instant) {
        for change in &news.changed {
            self.load_changed(*change, now);
        }
        if news.has_freed_slot {
            self.look_later(now);
        }
    }

    fn load_changed(&mut self, change: LoadChange, now: Instant) {
        let Some(backend) = self.backends.by_key(change.key) else {
            return;
        };
        let times = self.times_heard(&backend.record);
        let mut load = self.peer_loads.sum(change.key);
        load.running = load.running.saturating_mul(times);
        load.unread_tokens = load.unread_tokens.saturating_mul(times);
        if let Some(backend) = self.backends.by_key_mut(change.key) {
            backend.set_peer_load(load, change.new_prompt_tokens.saturating_mul(times), now);
        }
    }

    /// Schedules a placement attempt of waiting requests after a short delay, which is shorter
    /// for urgent ones.
    ///
    /// Guards against all hosts with a waiting request using the same slot when a peer reports
    /// that it is free. Each host waits for its turn and receives reports of slots that were
    /// taken meanwhile, so the most urgent request of the fleet gets the slot without any
    /// coordination.
    fn look_later(&mut self, now: Instant) {
        let Some(rank) = self.waiting.first_rank() else {
            return;
        };
        let place = rank.account.saturating_add(rank.route);
        let turn = f64::from(place.min(MOST_RANKS)) + self.rng.random_range(0.0..1.0);
        let at = now + TURN.mul_f64(turn);
        self.look_at = Some(self.look_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Updates quotas, budgets and loads for peers that fell silent.
    pub(super) fn refresh_peers(&mut self, now: Instant) {
        self.fleet.remove_expired(now);
        self.refresh_quotas(now);
        let allowance = self.resend_allowance(now);
        for budget in self.budgets.values_mut() {
            budget.set_allowance(allowance);
        }
        let lapsed = self.peer_loads.expire(now);
        self.loads_changed(&lapsed, now);
    }

    pub(super) fn hosts_found(&mut self, hosts: Vec<(HostId, SocketAddr)>, now: Instant) {
        for (host, address) in hosts {
            if host == self.cfg.host {
                continue;
            }
            if self.telling.found(host, address) {
                self.views.invalidate();
            }
            self.telling.registered(address);
        }
        self.telling.found_all();
        self.refresh_quotas(now);
    }

    /// Updates the part of each quota that this host may use, by the part of its cell from which
    /// it receives reports.
    fn refresh_quotas(&mut self, now: Instant) {
        let part = if self.telling.knows_hosts() {
            let own_cell = |host: &&HostId| cell_of(host, self.cells) == self.cell;
            let found = self.telling.lately_found(now).filter(own_cell);
            self.fleet.live_fraction(found, now)
        } else {
            UNKNOWN_PART
        };
        self.quota.set_live_fraction(part / f64::from(self.cells));
    }

    /// Updates the number of cells and the cell of this host.
    pub(super) fn refresh_cells(&mut self) {
        self.cells = cell_count(self.telling.hosts());
        self.cell = cell_of(&self.cfg.host, self.cells);
    }

    /// Updates the sets of backend servers that this host uses, if hosts or backend servers
    /// changed.
    pub(super) fn refresh_views(&mut self) {
        if self.views.is_current() {
            return;
        }
        let others: Vec<_> = self.telling.hosts_found().collect();
        self.find_versions_in_force();
        let in_force = self.ready_in_role(VersionRole::InForce);
        let under_trial = self.ready_in_role(VersionRole::Trial);
        self.views.recompute(&self.cfg.host, &others, in_force);
        self.trial_views
            .recompute(&self.cfg.host, &others, under_trial);
    }

    /// Returns the factor by which the load of all hosts exceeds that of the hosts that report
    /// to this one.
    fn times_heard(&self, record: &BackendRecord) -> u32 {
        let views = self.views_of(record).unwrap_or(&self.views);
        match views.kind(&record.service) {
            SubsetKind::AllWithinCell => self.cells,
            SubsetKind::All | SubsetKind::Subset(_) => 1,
        }
    }

    /// Returns the ratio of two arrival rates: the fleet's, for the backend servers that this
    /// host uses, to its cell's, for all backend servers of the service.
    pub(super) fn share_of_asked(&self, service: &str) -> f64 {
        f64::from(self.cells) * self.views.fraction(service)
    }

    fn resend_allowance(&self, now: Instant) -> f64 {
        let hosts = u32::try_from(self.fleet.size(now)).unwrap_or(u32::MAX);
        let hosts = hosts.saturating_mul(self.cells);
        BUDGET_PART * self.cfg.bounds.resend_allowance / f64::from(hosts)
    }

    pub(super) fn budget(
        &mut self,
        service: &jaypin_core::ServiceId,
        now: Instant,
    ) -> &mut ResendBudget {
        let allowance = self.resend_allowance(now);
        let bounds = &self.cfg.bounds;
        self.budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = bounds.resend_ratio * BUDGET_PART;
            ResendBudget::new(bounds.resend_window, ratio, allowance)
        })
    }

    /// Quarantines contents that crashed too many backend servers, and ends old quarantines.

    pub(super) fn judge_deaths(&mut self, now: Instant) {
        let struck = self.quarantine.judge(now, STRIKES);
        if !struck.is_empty() {
            self.telling.has_news();
        }
        self.quarantine.expire(now, QUARANTINE);
    }

    /// Returns the remaining time for which a content is quarantined, if it is.
    pub(super) fn quarantined_for(&self, fingerprint: u64, now: Instant) -> Option<Duration> {
        self.quarantine
            .held_for(now, fingerprint, STRIKES, QUARANTINE)
    }
}
