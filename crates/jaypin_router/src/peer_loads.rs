//! Load of other hosts on backend servers, as last reported.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jaypin_core::Incarnation;

use crate::{BackendKey, BackendLoad, BackendSamples, HostKey, Report};

/// Time after which a host's last reported load on a backend server expires.
///
/// A host reports its load there twice in this time, so one that stays silent has exited or is
/// cut off, and the loss of one datagram expires nothing.
const LOAD_EXPIRY: Duration = Duration::from_millis(1_300);
/// Time without a report of its load after which a host is removed.
const HOST_EXPIRY: Duration = Duration::from_mins(1);
/// Time after which reported prompts count as read when the host reports again.
const PROMPT_READ_TIME: Duration = Duration::from_millis(150);
/// Number of reports of a run within which the host has hardly served anything.
const FIRST_REPORTS: u64 = 8;
/// Number of calls up to which the first totals received from a host count as new: they are of
/// the last seconds, or say little.
const MAX_FIRST_CALLS: u32 = 8;

/// Reported load, by host and summed up by backend server.
#[derive(Debug, Default)]
pub struct PeerLoads {
    hosts: HashMap<HostKey, HostLoads>,
    sums: HashMap<BackendKey, BackendLoad>,
}

#[derive(Debug)]
struct HostLoads {
    run: Incarnation,
    /// The run before, whose late reports are ignored.
    earlier_run: Option<Incarnation>,
    /// Whether reports were received from the beginning of the run.
    is_known_from_start: bool,
    last_report_at: Instant,
    loads: HashMap<BackendKey, ReportedLoad>,
    samples: HashMap<BackendKey, BackendSamples>,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    load: BackendLoad,
    sequence: u64,
    at: Instant,
}

/// A change of the load that other hosts have on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadChange {
    /// Key of the backend server.
    pub key: BackendKey,
    /// Prompt tokens of requests that began there.
    pub new_prompt_tokens: u32,
}

/// What a report contains that was not known before.
#[derive(Debug, Default)]
pub struct LoadUpdate {
    /// Backend servers on which something changed.
    pub changed: Vec<LoadChange>,
    /// Whether a slot became free.
    pub has_freed_slot: bool,
    /// New observations of backend servers.
    pub samples: Vec<BackendSamples>,
}

impl PeerLoads {
    /// Applies what a report says about backend servers.
    pub fn apply(&mut self, report: &Report, now: Instant) -> LoadUpdate {
        let mut update = LoadUpdate::default();
        if report.loads.is_empty() && report.samples.is_empty() {
            return update;
        }
        let known = self.hosts.get(&report.host);
        if known.is_some_and(|it| it.earlier_run == Some(report.run)) {
            return update;
        }
        if known.is_none_or(|it| it.run != report.run) {
            self.begin_run(report, now, &mut update);
        }
        let Some(host) = self.hosts.get_mut(&report.host) else {
            return update;
        };
        host.last_report_at = now;
        for load in &report.loads {
            let before = host.loads.get(&load.key);
            if before.is_some_and(|it| it.sequence >= report.sequence) {
                continue;
            }
            let reported = ReportedLoad {
                load: *load,
                sequence: report.sequence,
                at: now,
            };
            let change = LoadChange {
                key: load.key,
                new_prompt_tokens: reported.new_prompt_tokens(before),
            };
            let before = before.map(|it| it.load);
            host.loads.insert(load.key, reported);
            update_sum(&mut self.sums, before, Some(*load), change, &mut update);
        }
        for samples in &report.samples {
            update.samples.extend(host.record_samples(*samples));
        }
        update
    }

    /// Returns the load that other hosts have on a backend server.
    #[must_use]
    pub fn sum(&self, key: BackendKey) -> BackendLoad {
        let sum = self.sums.get(&key).copied();
        sum.unwrap_or_else(|| BackendLoad::none(key))
    }

    /// Removes loads that were not reported again in time.
    pub fn expire(&mut self, now: Instant) -> LoadUpdate {
        let mut update = LoadUpdate::default();
        let sums = &mut self.sums;
        for host in self.hosts.values_mut() {
            let expired = host.loads.extract_if(|_, reported| {
                now.saturating_duration_since(reported.at) >= LOAD_EXPIRY
            });
            for (_, reported) in expired {
                remove_load(sums, reported.load, &mut update);
            }
        }
        sums.retain(|_, sum| sum.running > 0);
        self.hosts
            .retain(|_, host| now.saturating_duration_since(host.last_report_at) < HOST_EXPIRY);
        update
    }

    /// Starts a new run of a host: its new process has nothing running, whatever the one before
    /// reported.
    fn begin_run(&mut self, report: &Report, now: Instant, update: &mut LoadUpdate) {
        let known = self.hosts.remove(&report.host);
        let earlier_run = known.as_ref().map(|it| it.run);
        for reported in known.into_iter().flat_map(|it| it.loads.into_values()) {
            remove_load(&mut self.sums, reported.load, update);
        }
        let host = HostLoads {
            run: report.run,
            earlier_run,
            is_known_from_start: earlier_run.is_some() || report.sequence <= FIRST_REPORTS,
            last_report_at: now,
            loads: HashMap::new(),
            samples: HashMap::new(),
        };
        self.hosts.insert(report.host, host);
    }
}

impl HostLoads {
    /// Records totals and returns what is new in them. The first totals of a host that had run
    /// for long before its first report arrived may be minutes old, so they are only the baseline
    /// of later differences.
    fn record_samples(&mut self, samples: BackendSamples) -> Option<BackendSamples> {
        let before = self.samples.insert(samples.key, samples);
        let is_recent = self.is_known_from_start || samples.good + samples.bad <= MAX_FIRST_CALLS;
        let none = is_recent.then(|| BackendSamples::none(samples.key));
        before.or(none).map(|before| samples.since(&before))
    }
}

impl ReportedLoad {
    /// Returns the prompt tokens that were added since the report before.
    fn new_prompt_tokens(&self, before: Option<&Self>) -> u32 {
        let is_fresh = |it: &&Self| self.at.saturating_duration_since(it.at) < PROMPT_READ_TIME;
        let unread = before.filter(is_fresh).map(|it| it.load.unread_tokens);
        let unread = unread.unwrap_or_default();
        self.load.unread_tokens.saturating_sub(unread)
    }
}

/// Removes a load that was reported before.
fn remove_load(
    sums: &mut HashMap<BackendKey, BackendLoad>,
    before: BackendLoad,
    update: &mut LoadUpdate,
) {
    let change = LoadChange {
        key: before.key,
        new_prompt_tokens: 0,
    };
    update_sum(sums, Some(before), None, change, update);
}

fn update_sum(
    sums: &mut HashMap<BackendKey, BackendLoad>,
    before: Option<BackendLoad>,
    after: Option<BackendLoad>,
    change: LoadChange,
    update: &mut LoadUpdate,
) {
    if before == after && change.new_prompt_tokens == 0 {
        return;
    }
    let none = BackendLoad::none(change.key);
    let (before, after) = (before.unwrap_or(none), after.unwrap_or(none));
    let sum = sums.entry(change.key).or_insert(none);
    sum.running = (sum.running + after.running).saturating_sub(before.running);
    let unread = sum.unread_tokens.saturating_add(after.unread_tokens);
    sum.unread_tokens = unread.saturating_sub(before.unread_tokens);
    update.changed.push(change);
    update.has_freed_slot |= after.running < before.running;
}
