//! Quotas over all cells: the use of each account goes to the hosts that add it up, and what they
//! have left comes back where it is little.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jaypin_core::{AccountId, score};
use rand::seq::IndexedRandom;

use super::{Effect, Router};
use crate::{AccountTotals, AccountUse, FleetLevel, FleetLevels, cell_of};

/// Number of hosts that add up the use of one account: one may be gone.
const ADDING_HOSTS: usize = 2;
/// Pause between two reports of granted units.
const USE_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the hosts that add up the use of an account are kept before they are chosen anew
/// among the hosts that are not gone.
const ADDING_HOSTS_TIME: Duration = Duration::from_secs(2);
/// Fraction of this host's cell that must be live so that its share of quotas does not apply. Below
/// it, hosts that add up the use may be gone, or this host may be cut off from them.
const MIN_LIVE_FRACTION: f64 = 0.85;

/// What this host knows of quotas over all cells.
#[derive(Debug, Default)]
pub struct FleetQuotaState {
    totals: AccountTotals,
    levels: FleetLevels,
    /// Units granted or taken back that were not reported yet.
    unreported: BTreeMap<AccountId, f64>,
    last_sent: Option<Instant>,
    /// Addresses of the hosts that add up the use of an account.
    adding_hosts: HashMap<AccountId, Vec<SocketAddr>>,
    /// Hosts that can't add up anything: they are gone, or callers are not sent to them.
    gone: HashSet<SocketAddr>,
    chosen_at: Option<Instant>,
    /// Fraction of this host's cell that is live.
    cell_live_fraction: f64,
}

impl FleetQuotaState {
    /// Records that the known hosts have changed.
    pub fn forget_hosts(&mut self) {
        self.adding_hosts.clear();
    }

    /// Sets the fraction of this host's cell that is live.
    pub fn set_cell_live_fraction(&mut self, fraction: f64) {
        self.cell_live_fraction = fraction;
    }
}

impl Router {
    /// Returns what is known of the quota that an account has left in the whole fleet.
    pub(super) fn fleet_level(&self, account: &AccountId, now: Instant) -> FleetLevel {
        let state = &self.fleet_quota;
        if self.cells == 1 || state.cell_live_fraction < MIN_LIVE_FRACTION {
            return FleetLevel::Unknown;
        }
        let Some((level, at)) = state.levels.low_level(account, now) else {
            return FleetLevel::Ample;
        };
        let rate = self.quota.quota_of(account).map_or(0.0, |it| it.rate);
        let refilled = rate * now.saturating_duration_since(at).as_secs_f64();
        FleetLevel::Low(level + refilled)
    }

    /// Records units that this host granted to an account, or took back.
    pub(super) fn record_granted(&mut self, account: &AccountId, units: f64) {
        if self.cells > 1 && units != 0.0 {
            self.fleet_quota.levels.subtract(account, units);
            *self
                .fleet_quota
                .unreported
                .entry(account.clone())
                .or_default() += units;
        }
    }

    /// Returns when granted units are reported; nothing if there are none.
    pub(super) fn use_report_due_at(&self) -> Option<Instant> {
        let state = &self.fleet_quota;
        let last_sent = state.last_sent?;
        (!state.unreported.is_empty()).then_some(last_sent + USE_PAUSE)
    }

    /// Reports granted units to the hosts that add them up, if a report is due.
    pub(super) fn send_granted(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let state = &self.fleet_quota;
        let is_due = |at: Instant| now.saturating_duration_since(at) >= USE_PAUSE;
        if state.unreported.is_empty() || !state.last_sent.is_none_or(is_due) {
            return;
        }
        self.fleet_quota.last_sent = Some(now);
        let mut by_host: BTreeMap<SocketAddr, Vec<(AccountId, f64)>> = BTreeMap::new();
        for (account, units) in std::mem::take(&mut self.fleet_quota.unreported) {
            for address in self.adding_hosts(&account) {
                by_host
                    .entry(address)
                    .or_default()
                    .push((account.clone(), units));
            }
        }
        if let Some(own) = by_host.remove(&self.cfg.peer_address) {
            self.add_up(&own, now, fx);
        }
        for (address, granted) in by_host {
            let account_use = AccountUse {
                granted,
                ..AccountUse::default()
            };
            fx.push(send(vec![address], account_use));
        }
    }

    /// Handles a report of granted units or of low levels.
    pub(super) fn handle_account_use(
        &mut self,
        account_use: &AccountUse,
        now: Instant,
        fx: &mut Vec<Effect>,
    ) {
        self.add_up(&account_use.granted, now, fx);
        if account_use.low_levels.is_empty() {
            return;
        }
        self.record_levels(&account_use.low_levels, now);
        if !account_use.is_forwarded {
            self.forward_levels(account_use.low_levels.clone(), now, fx);
        }
    }

    /// Reports levels that are still low, and forgets old ones.
    pub(super) fn refresh_fleet_quota(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.fleet_quota.levels.expire(now);
        self.report_levels(now, fx);
        let chosen_at = self.fleet_quota.chosen_at;
        let is_due = |at: Instant| now.saturating_duration_since(at) >= ADDING_HOSTS_TIME;
        if self.cells > 1 && chosen_at.is_none_or(is_due) {
            self.fleet_quota.chosen_at = Some(now);
            self.fleet_quota.gone = self.gone_hosts(now);
            self.fleet_quota.forget_hosts();
        }
    }

    /// Returns the known hosts of this cell that are silent, and those of other cells that these no
    /// longer report. A cell that has not reported for long may have all its hosts.
    fn gone_hosts(&self, now: Instant) -> HashSet<SocketAddr> {
        let (cells, listed) = self.fleet.hosts_of_other_cells(now);
        let silent: HashSet<_> = self.fleet.silent_addresses(now).collect();
        let known = self.report_state.known_hosts();
        let gone = known.filter(|(host, address)| {
            let cell = cell_of(host, self.cells);
            silent.contains(address) || (cells.contains(&cell) && !listed.contains(&address.ip()))
        });
        gone.map(|(_, address)| address).collect()
    }

    fn add_up(&mut self, granted: &[(AccountId, f64)], now: Instant, fx: &mut Vec<Effect>) {
        let share = self.live_share();
        for (account, units) in granted {
            if let Some(quota) = self.quota.quota_of(account) {
                let totals = &mut self.fleet_quota.totals;
                totals.record(account, quota, *units, share, now);
            }
        }
        if !granted.is_empty() {
            self.report_levels(now, fx);
        }
    }

    /// Returns the slack of quotas, and the fraction of the fleet that is live: that of this cell,
    /// whose hosts are drawn at random.
    fn live_share(&self) -> (f64, f64) {
        let slack = self.cfg.bounds.quota_slack;
        (slack, self.fleet_quota.cell_live_fraction)
    }

    /// Sends levels that are to be reported to one host of each cell, which passes them on.
    fn report_levels(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let share = self.live_share();
        let levels = self.fleet_quota.totals.levels_to_report(share, now);
        if levels.is_empty() {
            return;
        }
        let mut by_cell: BTreeMap<u32, Vec<SocketAddr>> = BTreeMap::new();
        for (host, address) in self.report_state.known_hosts() {
            let cell = cell_of(&host, self.cells);
            by_cell.entry(cell).or_default().push(address);
        }
        by_cell.remove(&self.cell);
        let to = by_cell.values();
        let to = to.filter_map(|addresses| addresses.choose(&mut self.rng).copied());
        let to: Vec<_> = to.collect();
        self.record_levels(&levels, now);
        let account_use = AccountUse {
            low_levels: levels.clone(),
            ..AccountUse::default()
        };
        fx.push(send(to, account_use));
        self.forward_levels(levels, now, fx);
    }

    fn forward_levels(
        &mut self,
        low_levels: Vec<(AccountId, f64)>,
        now: Instant,
        fx: &mut Vec<Effect>,
    ) {
        let live = self.fleet.live_peers(now);
        let to: Vec<_> = live.map(|(_, peer)| peer.address).collect();
        let account_use = AccountUse {
            low_levels,
            is_forwarded: true,
            ..AccountUse::default()
        };
        fx.push(send(to, account_use));
    }

    fn record_levels(&mut self, levels: &[(AccountId, f64)], now: Instant) {
        for (account, level) in levels {
            if self.quota.quota_of(account).is_some() {
                self.fleet_quota.levels.record(account, *level, now);
            }
        }
    }

    /// Returns the addresses of the hosts that add up the use of an account. Hosts that know the same
    /// hosts choose the same ones.
    fn adding_hosts(&mut self, account: &AccountId) -> Vec<SocketAddr> {
        if let Some(known) = self.fleet_quota.adding_hosts.get(account) {
            return known.clone();
        }
        let own = (self.cfg.host.clone(), self.cfg.peer_address);
        let all = self.report_state.known_hosts().chain([own]);
        let gone = &self.fleet_quota.gone;
        let all = all.filter(|(_, address)| !gone.contains(address));
        let mut ranked: Vec<_> = all
            .map(|(host, address)| (score(account, &host), address))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(ADDING_HOSTS);
        let addresses: Vec<_> = ranked.into_iter().map(|(_, address)| address).collect();
        self.fleet_quota
            .adding_hosts
            .insert(account.clone(), addresses.clone());
        addresses
    }
}

fn send(to: Vec<SocketAddr>, account_use: AccountUse) -> Effect {
    let account_use = Box::new(account_use);
    Effect::SendAccountUse { to, account_use }
}
