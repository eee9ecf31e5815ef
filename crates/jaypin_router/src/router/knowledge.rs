//! What the router learns: configuration, backend servers, peers.

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

/// Part of the bound on withdrawn credentials within which the configuration has to be
/// proved: the rest covers watches that lag by up to a second.
const PROOF_PART: f64 = 0.8;
/// Part of the fleet that a host takes itself for until it has read who else is registered:
/// cells have some thirty hosts at the most on the average.
const UNKNOWN_PART: f64 = 1.0 / 32.0;
/// Part of the fleet's budget for resends that hosts use: hosts that count alone must not
/// exceed it together when their number changes.
const BUDGET_PART: f64 = 0.75;
/// Time in which hosts whose waiting requests have the same priority take their turns: a
/// report is sent, and arrives in the next failure domain, in a third of it.
const TURN: Duration = Duration::from_millis(10);
/// Priorities that have a turn of their own; the rest share the last.
const MOST_RANKS: u8 = 3;
/// Backend servers that have to die under a content before it is refused.
const STRIKES: u32 = 3;
/// Time for which a content stays refused after the last death.
const QUARANTINE: Duration = Duration::from_mins(5);

impl Router {
    /// Takes a configuration; an older one than the one in use changes nothing, whatever
    /// order reads and watches end in.
    pub(super) fn configured(&mut self, table: Arc<RouteTable>, now: Instant) {
        if table.configuration().version <= self.version() {
            return;
        }
        let accounts = &table.configuration().accounts;
        self.quota.configure(accounts, now);
        self.account_asked.configure(accounts);
        self.table = Some(table);
    }

    /// Whether the configuration was the newest a moment ago.
    ///
    /// Guards against a host that goes on accepting a withdrawn credential because it is
    /// cut off from the store, or was suspended: suspended time counts on this clock.
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
        // All hosts that start list all that there is: nobody has to hear it from another.
        let is_first = !self.heard.has_read_all();
        let listed: BTreeSet<BackendId> = entries.iter().map(|it| it.0.id.clone()).collect();
        let known = self.entries.ids().chain(self.backends.ids());
        let gone: BTreeSet<_> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
            // A listing that lags says nothing of what came after it.
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

    /// Takes a change that this host read itself, and tells it to its cell.
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
        for asked in &news.arrivals {
            self.asked.record_peer(asked, now);
        }
        for strike in &news.crash_counts {
            self.quarantine
                .heard(now, strike.fingerprint, strike.crash_count);
        }
    }

    /// Takes what a peer has running and has learned.
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

    /// Lets waiting requests look for a place a little later, the urgent ones sooner.
    ///
    /// Guards against all hosts with a waiting request taking the same slot when a peer
    /// tells that it is free. Each waits for its turn, hears of a slot that was taken
    /// meanwhile, and so the most urgent request of the fleet gets it without a question.
    fn look_later(&mut self, now: Instant) {
        let Some(rank) = self.waiting.first_rank() else {
            return;
        };
        let place = rank.account.saturating_add(rank.route);
        let turn = f64::from(place.min(MOST_RANKS)) + self.rng.random_range(0.0..1.0);
        let at = now + TURN.mul_f64(turn);
        self.look_at = Some(self.look_at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Takes note of peers that fell silent.
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

    /// Says which part of each quota this host may give out by what it hears.
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

    /// Finds this host's cell.
    pub(super) fn refresh_cells(&mut self) {
        self.cells = cell_count(self.telling.hosts());
        self.cell = cell_of(&self.cfg.host, self.cells);
    }

    /// Finds what this host uses, if hosts or backend servers changed.
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

    /// By how much more all hosts have running than those that this host hears of.
    fn times_heard(&self, record: &BackendRecord) -> u32 {
        let views = self.views_of(record).unwrap_or(&self.views);
        match views.kind(&record.service) {
            SubsetKind::AllWithinCell => self.cells,
            SubsetKind::All | SubsetKind::Subset(_) => 1,
        }
    }

    /// What the fleet is asked for of the backend servers that this host uses, against what
    /// its cell is asked for of all.
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

    // ------------------------------------------------------------------ deaths

    pub(super) fn judge_deaths(&mut self, now: Instant) {
        let struck = self.quarantine.judge(now, STRIKES);
        if !struck.is_empty() {
            self.telling.has_news();
        }
        self.quarantine.expire(now, QUARANTINE);
    }

    /// Time for which a content is still refused, if it is.
    pub(super) fn quarantined_for(&self, fingerprint: u64, now: Instant) -> Option<Duration> {
        self.quarantine
            .held_for(now, fingerprint, STRIKES, QUARANTINE)
    }
}
