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
const REPEAT_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two reports of the samples of one backend server.
const SAMPLES_PAUSE: Duration = Duration::from_millis(400);
/// Number of reports that carry the same samples. One datagram in a hundred is lost, and later
/// samples make up for it.
const SAMPLE_REPORTS: u32 = 2;

/// Stream events that count as much as one ended call when new samples are counted.
const EVENTS_PER_SAMPLE: f64 = 16.0;

/// What was reported of this host's own load.
#[derive(Debug, Default)]
pub struct LoadReportState {
    reported: HashMap<BackendKey, ReportedLoad>,
    changed: BTreeSet<BackendKey>,
    last_sent: Option<Instant>,
}

/// The last report of one backend server's load.
#[derive(Debug)]
struct ReportedLoad {
    load: BackendLoad,
    at: Instant,
    samples_at: Option<Instant>,
    /// Whether new samples are reported without the usual pause.
    is_urgent: bool,
    /// Count of the samples that were last reported, and the number of reports that carried
    /// them.
    sample_count: u32,
    times_reported: u32,
}

/// Counts samples: the ended calls, and one for each group of events.
fn count_samples(samples: &BackendSamples) -> u32 {
    let groups = (samples.events / EVENTS_PER_SAMPLE).min(f64::from(u32::MAX));
    samples.good + samples.bad + to_whole(groups)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "such casts keep to the bounds of the type"
)]
fn to_whole(number: f64) -> u32 {
    number as u32
}

impl LoadReportState {
    /// Records that a slot of a backend server was taken or freed.
    pub fn slot_changed(&mut self, key: BackendKey) {
        self.changed.insert(key);
    }

    /// Schedules an immediate report of a backend server's samples.
    pub fn report_samples_at_once(&mut self, key: BackendKey) {
        self.changed.insert(key);
        if let Some(reported) = self.reported.get_mut(&key) {
            reported.is_urgent = true;
        }
    }

    /// Returns when the next report is due; none if nothing changed.
    pub fn due_at(&self) -> Option<Instant> {
        let last_sent = self.last_sent?;
        (!self.changed.is_empty()).then_some(last_sent + SLOT_PAUSE)
    }

    fn is_due(&self, now: Instant) -> bool {
        let is_time = |last_sent: Instant| now.saturating_duration_since(last_sent) >= SLOT_PAUSE;
        !self.changed.is_empty() && self.last_sent.is_none_or(is_time)
    }

    /// Schedules reports of loads that changed or were not reported for a while.
    pub fn schedule_changed(
        &mut self,
        loads: impl Iterator<Item = (BackendLoad, u32)>,
        now: Instant,
    ) {
        for (load, sample_count) in loads {
            let reported = self.reported.get(&load.key);
            let needs_report = reported.map_or(load.running > 0 || sample_count > 0, |reported| {
                let is_outdated = now.saturating_duration_since(reported.at) >= REPEAT_PAUSE;
                reported.load.running != load.running
                    || (is_outdated && load.running > 0)
                    || reported.has_samples_to_report(sample_count, now)
            });
            if needs_report {
                self.changed.insert(load.key);
            }
        }
    }

    /// Forgets backend servers that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(BackendKey) -> bool) {
        self.reported.retain(|key, _| is_known(*key));
    }

    /// Records that a load is reported now, and returns the samples to report with it, if they
    /// are due.
    fn record_report(
        &mut self,
        load: BackendLoad,
        samples: BackendSamples,
        now: Instant,
    ) -> Option<BackendSamples> {
        let reported = self.reported.entry(load.key).or_insert(ReportedLoad {
            load,
            at: now,
            samples_at: None,
            is_urgent: false,
            sample_count: 0,
            times_reported: 0,
        });
        reported.load = load;
        reported.at = now;
        let sample_count = count_samples(&samples);
        let is_urgent = std::mem::take(&mut reported.is_urgent);
        if !is_urgent && !reported.has_samples_to_report(sample_count, now) {
            return None;
        }
        if reported.sample_count != sample_count {
            reported.sample_count = sample_count;
            reported.times_reported = 0;
        }
        reported.times_reported += 1;
        reported.samples_at = Some(now);
        Some(samples)
    }
}

impl ReportedLoad {
    fn has_samples_to_report(&self, sample_count: u32, now: Instant) -> bool {
        let is_new = self.sample_count != sample_count || self.times_reported < SAMPLE_REPORTS;
        let is_time = |at: Instant| now.saturating_duration_since(at) >= SAMPLES_PAUSE;
        sample_count > 0 && is_new && self.samples_at.is_none_or(is_time)
    }
}

impl Router {
    /// Sends changed loads to the hosts that use the same backend servers, if a report is due.
    pub(super) fn send_load_reports(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.last_boot_time.is_none() || !self.load_report_state.is_due(now) {
            return;
        }
        self.refresh_subsets();
        self.load_report_state.last_sent = Some(now);
        let changed = std::mem::take(&mut self.load_report_state.changed);
        let mut by_recipients: BTreeMap<Vec<SocketAddr>, Vec<BackendKey>> = BTreeMap::new();
        for key in changed {
            let Some(backend) = self.backends.by_key(key) else {
                continue;
            };
            let to = self.load_report_addresses(&backend.record, now);
            by_recipients.entry(to).or_default().push(key);
        }
        by_recipients.remove(&Vec::new());
        for (to, keys) in by_recipients {
            let report = Box::new(self.load_report(&keys, now));
            fx.push(Effect::SendReport { to, report });
        }
    }

    fn load_report(&mut self, keys: &[BackendKey], now: Instant) -> Report {
        let mut report = self.new_report();
        report.held = self.held_reports.take(keys);
        for backend in keys.iter().filter_map(|key| self.backends.by_key(*key)) {
            let load = backend.own_load();
            let samples = self
                .load_report_state
                .record_report(load, backend.samples(), now);
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
            (it.own_load(), count_samples(&samples))
        });
        self.load_report_state.schedule_changed(loads, now);
        let backends = &self.backends;
        let is_known = |key| backends.by_key(key).is_some();
        self.load_report_state.retain(is_known);
        self.held_reports.retain(is_known);
    }

    /// Returns the report addresses of the other hosts that use a backend server, except for
    /// silent ones.
    fn load_report_addresses(&self, record: &BackendRecord, now: Instant) -> Vec<SocketAddr> {
        let Some(subsets) = self.subsets_of(record) else {
            return Vec::new();
        };
        let Some(mut users) = subsets.peers_using(&record.service, &record.id) else {
            let live = self.fleet.live_peers(now);
            return live.map(|(_, peer)| peer.address).collect();
        };
        let silent: HashSet<_> = self.fleet.silent_addresses(now).collect();
        users.retain(|address| !silent.contains(address));
        users
    }
}
