//! What the router learns: configuration, backend servers, peers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, HostId, ServiceId};

use rand::RngExt;

use super::Router;
use crate::{
    Backend, BackendLoad, BackendRecord, BootTime, EntryChange, Report, ResendBudget, RouteTable,
    cell_count, cell_of, share_out,
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
        let limit = self.cfg.bounds.revoke.mul_f64(PROOF_PART);
        let age = self.proof_age(boot_time);
        self.table.is_some() && age.is_some_and(|age| age < limit)
    }

    pub(super) fn backends_listed(
        &mut self,
        entries: Vec<(BackendRecord, u64)>,
        revision: u64,
        now: Instant,
    ) {
        let listed: BTreeSet<BackendId> = entries.iter().map(|it| it.0.id.clone()).collect();
        let known = self.entries.ids().chain(self.backends.keys());
        let gone: BTreeSet<_> = known.filter(|id| !listed.contains(*id)).cloned().collect();
        for id in gone {
            let removed = EntryChange::Removed {
                id: id.clone(),
                revision,
            };
            self.entries.take(&removed);
            self.entries.tell(removed);
            self.backend_missing(id, now);
        }
        for (record, revision) in entries {
            self.backend_told(EntryChange::Stated { record, revision }, now);
        }
        self.heard.read_all();
    }

    /// Takes a change that this host read itself, and tells it to its cell.
    pub(super) fn backend_told(&mut self, change: EntryChange, now: Instant) {
        if self.take_entry(change.clone(), now) {
            self.entries.tell(change);
            self.telling.has_news();
        }
    }

    pub(super) fn backend_changed(&mut self, record: BackendRecord) {
        self.vanished.is_back(&record.id);
        if let Some(backend) = self.backends.get_mut(&record.id) {
            backend.restate(record);
        } else {
            let id = record.id.clone();
            self.backends.insert(id, Backend::new(record));
        }
    }

    pub(super) fn reported(&mut self, now: Instant, report: Report, boot_time: BootTime) {
        if report.run == self.cfg.run {
            return;
        }
        self.heard_of_store(&report, now, boot_time);
        let is_whole = report.whole.is_some();
        let news = self.fleet.take(report, now, boot_time);
        if is_whole {
            self.refresh_quotas(now);
        }
        for samples in &news.samples {
            let mut backends = self.backends.values_mut();
            if let Some(backend) = backends.find(|it| it.key == samples.key) {
                backend.peer_learned(samples, now);
            }
        }
        for (account, units) in &news.usage {
            self.quota.peer_used(account, *units, now);
        }
        for (account, level) in &news.low_levels {
            self.quota.peer_level(account, *level, now);
        }
        for asked in &news.asked {
            self.asked.peer_saw(asked, now);
        }
        for strike in &news.strikes {
            self.quarantine
                .heard(now, strike.fingerprint, strike.strikes);
        }
        self.refresh_loads(now);
        self.look_later(now);
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
        self.fleet.forget_gone(now);
        self.refresh_quotas(now);
        let allowance = self.resend_allowance(now);
        for budget in self.budgets.values_mut() {
            budget.set_allowance(allowance);
        }
        self.refresh_loads(now);
    }

    pub(super) fn hosts_found(&mut self, hosts: Vec<(HostId, SocketAddr)>, now: Instant) {
        for (host, address) in hosts {
            if host != self.cfg.host {
                self.telling.found(host, address);
            }
        }
        self.telling.found_all();
        self.refresh_quotas(now);
    }

    /// Says which part of each quota this host may give out by what it hears.
    fn refresh_quotas(&mut self, now: Instant) {
        let part = if self.telling.knows_hosts() {
            let own_cell = |host: &&HostId| cell_of(host, self.cells) == self.cell;
            let found = self.telling.lately_found(now).filter(own_cell);
            self.fleet.heard_part(found, now)
        } else {
            UNKNOWN_PART
        };
        self.quota.set_heard_part(part / f64::from(self.cells));
    }

    fn refresh_loads(&mut self, now: Instant) {
        let loads = self.fleet.loads(now);
        for backend in self.backends.values_mut() {
            // What all cells use, the other cells use as much as this one.
            let is_shared = self.shares.contains_key(&backend.record.service);
            let times = if is_shared { 1 } else { self.cells };
            let none = BackendLoad {
                key: backend.key,
                running: 0,
                unread_tokens: 0,
            };
            let load = loads.get(&backend.key).copied().unwrap_or(none);
            backend.peers = BackendLoad {
                running: load.running.saturating_mul(times),
                unread_tokens: load.unread_tokens.saturating_mul(times),
                ..load
            };
        }
    }

    /// Finds this host's cell, and what its cell uses.
    pub(super) fn refresh_cells(&mut self, now: Instant) {
        self.cells = cell_count(self.telling.hosts());
        self.cell = cell_of(&self.cfg.host, self.cells);
        self.shares.clear();
        if self.cells == 1 {
            return;
        }
        let mut hosts = self.fleet.other_cells(now);
        hosts.insert(self.cell, self.fleet.size(now));
        let mut by_service: BTreeMap<ServiceId, Vec<&BackendId>> = BTreeMap::new();
        for (id, backend) in &self.backends {
            let of_service = by_service.entry(backend.record.service.clone());
            of_service.or_default().push(id);
        }
        for (service, ids) in by_service {
            if let Some(share) = share_out(ids.into_iter(), &hosts) {
                self.shares.insert(service, share);
            }
        }
    }

    /// Cells that use the same backend servers of a service.
    pub(super) fn sharing_cells(&self, service: &ServiceId) -> u32 {
        if self.shares.contains_key(service) {
            1
        } else {
            self.cells
        }
    }

    /// Whether a backend server is for this host's cell to use.
    pub(super) fn is_ours(&self, backend: &Backend) -> bool {
        let shares = self.shares.get(&backend.record.service);
        let cell = shares.and_then(|shares| shares.get(&backend.record.id));
        cell.is_none_or(|cell| *cell == self.cell)
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
