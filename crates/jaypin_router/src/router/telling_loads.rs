//! Reports of this host's load on backend servers, to the hosts that use the same ones.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Effect, Router};
use crate::{BackendKey, BackendLoad, BackendRecord, BackendSamples, Report};

/// Pause between two reports after slots were taken or freed.
///
/// Until a report arrives, other hosts count a taken slot as free. Two requests may then be sent
/// to the same slot, and the second waits until the first has ended.
const SLOT_PAUSE: Duration = Duration::from_millis(6);
/// Time after which an unchanged load is reported again, for hosts that missed a report.
const REFRESH: Duration = Duration::from_millis(500);
/// Pause between two reports of the samples of one backend server.
const SAMPLES_PAUSE: Duration = Duration::from_millis(400);
/// Number of reports that carry the same samples. One datagram in a hundred is lost, and later
/// samples make up for it.
const SAMPLES_TOLD: u32 = 2;

/// Stream events that count as much as one ended call when new samples are counted.
const EVENTS_IN_NEWS: f64 = 16.0;

/// What was reported of this host's own load.
#[derive(Debug, Default)]
pub struct LoadTelling {
    told: HashMap<BackendKey, Told>,
    changed: BTreeSet<BackendKey>,
    last: Option<Instant>,
}

/// The last report of one backend server's load.

#[derive(Debug)]
struct Told {
    load: BackendLoad,
    at: Instant,
    samples_at: Option<Instant>,
    /// Whether new samples are reported without the usual pause.
    is_pressing: bool,
    /// Count of the samples that were last reported, and the number of reports that carried
    /// them.
    calls: u32,
    times: u32,
}

/// Counts samples: the ended calls, and one for each group of events.
fn learned(samples: &BackendSamples) -> u32 {
    let groups = (samples.events / EVENTS_IN_NEWS).min(f64::from(u32::MAX));
    samples.good + samples.bad + whole(groups)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such casts keep to the bounds of the type"
)]
fn whole(number: f64) -> u32 {
    number as u32
}

impl LoadTelling {
    /// Records that a slot of a backend server was taken or freed.
    pub fn slot_changed(&mut self, key: BackendKey) {
        self.changed.insert(key);
    }

    /// Schedules an immediate report of a backend server's samples.
    pub fn learned_much(&mut self, key: BackendKey) {
        self.changed.insert(key);
        if let Some(told) = self.told.get_mut(&key) {
            told.is_pressing = true;
        }
    }

    /// Returns when the next report is due; none if nothing changed.
    pub fn due_at(&self) -> Option<Instant> {
        let last = self.last?;
        (!self.changed.is_empty()).then_some(last + SLOT_PAUSE)
    }

    fn is_due(&self, now: Instant) -> bool {
        let is_time = |last: Instant| now.saturating_duration_since(last) >= SLOT_PAUSE;
        !self.changed.is_empty() && self.last.is_none_or(is_time)
    }

    /// Schedules reports of loads that changed or were not reported for a while.
    pub fn refresh(&mut self, loads: impl Iterator<Item = (BackendLoad, u32)>, now: Instant) {
        for (load, calls) in loads {
            let told = self.told.get(&load.key);
            let is_news = told.map_or(load.running > 0 || calls > 0, |told| {
                let is_old = now.saturating_duration_since(told.at) >= REFRESH;
                told.load.running != load.running
                    || (is_old && load.running > 0)
                    || told.has_samples_to_tell(calls, now)
            });
            if is_news {
                self.changed.insert(load.key);
            }
        }
    }

    /// Forgets backend servers that no longer exist.
    pub fn keep_only(&mut self, is_known: impl Fn(BackendKey) -> bool) {
        self.told.retain(|key, _| is_known(*key));
    }

    /// Records that a load is reported now, and returns the samples to report with it, if they
    /// are due.
    fn tell(
        &mut self,
        load: BackendLoad,
        samples: BackendSamples,
        now: Instant,
    ) -> Option<BackendSamples> {
        let told = self.told.entry(load.key).or_insert(Told {
            load,
            at: now,
            samples_at: None,
            is_pressing: false,
            calls: 0,
            times: 0,
        });
        told.load = load;
        told.at = now;
        let calls = learned(&samples);
        let is_pressing = std::mem::take(&mut told.is_pressing);
        if !is_pressing && !told.has_samples_to_tell(calls, now) {
            return None;
        }
        if told.calls != calls {
            told.calls = calls;
            told.times = 0;
        }
        told.times += 1;
        told.samples_at = Some(now);
        Some(samples)
    }
}

impl Told {
    fn has_samples_to_tell(&self, calls: u32, now: Instant) -> bool {
        let is_new = self.calls != calls || self.times < SAMPLES_TOLD;
        let is_time = |at: Instant| now.saturating_duration_since(at) >= SAMPLES_PAUSE;
        calls > 0 && is_new && self.samples_at.is_none_or(is_time)
    }
}

impl Router {
    /// Sends changed loads to the hosts that use the same backend servers, if a report is due.
    pub(super) fn tell_loads(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.last_boot_time.is_none() || !self.load_telling.is_due(now) {
            return;
        }
        self.refresh_views();
        self.load_telling.last = Some(now);
        let changed = std::mem::take(&mut self.load_telling.changed);
        let mut by_hearers: BTreeMap<Vec<SocketAddr>, Vec<BackendKey>> = BTreeMap::new();
        for key in changed {
            let Some(backend) = self.backends.by_key(key) else {
                continue;
            };
            let to = self.hearers(&backend.record, now);
            by_hearers.entry(to).or_default().push(key);
        }
        by_hearers.remove(&Vec::new());
        for (to, keys) in by_hearers {
            let report = Box::new(self.load_report(&keys, now));
            fx.push(Effect::SendReport { to, report });
        }
    }

    fn load_report(&mut self, keys: &[BackendKey], now: Instant) -> Report {
        let mut report = self.empty_report();
        for backend in keys.iter().filter_map(|key| self.backends.by_key(*key)) {
            let load = backend.own_load();
            let samples = self.load_telling.tell(load, backend.samples(), now);
            report.loads.push(load);
            report
                .signals
                .extend(self.signals.report_of(backend.key, now));
            report.samples.extend(samples);
        }
        report
    }

    /// Schedules what must be reported again, for hosts that missed a report or have just
    /// started.
    pub(super) fn refresh_own_loads(&mut self, now: Instant) {
        let all = self.backends.values();
        let loads = all.map(|it| {
            let samples = it.samples();
            (it.own_load(), learned(&samples))
        });
        self.load_telling.refresh(loads, now);
        let backends = &self.backends;
        let is_known = |key| backends.by_key(key).is_some();
        self.load_telling.keep_only(is_known);
    }

    /// Returns the report addresses of the other hosts that use a backend server, except for
    /// silent ones.
    fn hearers(&self, record: &BackendRecord, now: Instant) -> Vec<SocketAddr> {
        let Some(views) = self.views_of(record) else {
            return Vec::new();
        };
        let Some(mut users) = views.peers_using(&record.service, &record.id) else {
            let heard = self.fleet.live_peers(now);
            return heard.map(|(_, peer)| peer.address).collect();
        };
        let silent: HashSet<_> = self.fleet.silent_addresses(now).collect();
        users.retain(|address| !silent.contains(address));
        users
    }
}
