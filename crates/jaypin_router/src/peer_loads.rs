//! What other hosts have running on backend servers, as they told last.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jaypin_core::Incarnation;

use crate::{BackendKey, BackendLoad, BackendSamples, HostKey, Report};

/// Time after which what a host told of a backend server is no longer believed.
///
/// It tells what it has running there twice in this time, so what stays silent is gone with
/// its process or behind a cut, and one lost datagram forgets nothing.
const LAPSE: Duration = Duration::from_millis(1_300);
/// Time without a word of its load after which a host is forgotten.
const FORGOTTEN: Duration = Duration::from_mins(1);
/// Time after which prompts that were told are taken as read, where the host tells others.
const READ_WITHIN: Duration = Duration::from_millis(150);
/// Reports of a run within which it has hardly served anything.
const FRESH_REPORTS: u64 = 8;
/// Calls up to which totals that are heard for the first time are news: they are of the
/// last seconds, or say little.
const FEW_CALLS: u32 = 8;

/// What other hosts told, by host and summed up by backend server.
#[derive(Debug, Default)]
pub struct PeerLoads {
    hosts: HashMap<HostKey, HostLoads>,
    sums: HashMap<BackendKey, BackendLoad>,
}

#[derive(Debug)]
struct HostLoads {
    run: Incarnation,
    earlier_run: Option<Incarnation>,
    is_known_from_start: bool,
    heard_at: Instant,
    loads: HashMap<BackendKey, Told>,
    samples: HashMap<BackendKey, BackendSamples>,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    load: BackendLoad,
    sequence: u64,
    at: Instant,
}

/// A change of what other hosts have running on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadChange {
    /// The backend server.
    pub key: BackendKey,
    /// Prompt tokens of requests that began there.
    pub new_prompt_tokens: u32,
}

/// What a report has that was not known before.
#[derive(Debug, Default)]
pub struct LoadUpdate {
    /// Backend servers on which something changed.
    pub changed: Vec<LoadChange>,
    /// Whether a slot came free.
    pub has_freed_slot: bool,
    /// What was learned of backend servers.
    pub samples: Vec<BackendSamples>,
}

impl PeerLoads {
    /// Takes what a report says of backend servers.
    pub fn apply(&mut self, report: &Report, now: Instant) -> LoadUpdate {
        let mut news = LoadUpdate::default();
        if report.loads.is_empty() && report.samples.is_empty() {
            return news;
        }
        let known = self.hosts.get(&report.host);
        if known.is_some_and(|it| it.earlier_run == Some(report.run)) {
            return news;
        }
        if known.is_none_or(|it| it.run != report.run) {
            self.begin_run(report, now, &mut news);
        }
        let Some(host) = self.hosts.get_mut(&report.host) else {
            return news;
        };
        host.heard_at = now;
        for load in &report.loads {
            let before = host.loads.get(&load.key);
            if before.is_some_and(|it| it.sequence >= report.sequence) {
                continue;
            }
            let told = Told {
                load: *load,
                sequence: report.sequence,
                at: now,
            };
            let change = LoadChange {
                key: load.key,
                new_prompt_tokens: told.begun_tokens(before),
            };
            let before = before.map(|it| it.load);
            host.loads.insert(load.key, told);
            change_sum(&mut self.sums, before, Some(*load), change, &mut news);
        }
        for samples in &report.samples {
            news.samples.extend(host.learn(*samples));
        }
        news
    }

    /// What other hosts have running on a backend server.
    #[must_use]
    pub fn sum(&self, key: BackendKey) -> BackendLoad {
        let sum = self.sums.get(&key).copied();
        sum.unwrap_or_else(|| BackendLoad::none(key))
    }

    /// Forgets what was not told again in time.
    pub fn expire(&mut self, now: Instant) -> LoadUpdate {
        let mut news = LoadUpdate::default();
        let sums = &mut self.sums;
        for host in self.hosts.values_mut() {
            let lapsed = host
                .loads
                .extract_if(|_, told| now.saturating_duration_since(told.at) >= LAPSE);
            for (_, told) in lapsed {
                end(sums, told.load, &mut news);
            }
        }
        sums.retain(|_, sum| sum.running > 0);
        self.hosts
            .retain(|_, host| now.saturating_duration_since(host.heard_at) < FORGOTTEN);
        news
    }

    /// A new process of a host has nothing running, whatever the one before told.
    fn begin_run(&mut self, report: &Report, now: Instant, news: &mut LoadUpdate) {
        let known = self.hosts.remove(&report.host);
        let earlier_run = known.as_ref().map(|it| it.run);
        for told in known.into_iter().flat_map(|it| it.loads.into_values()) {
            end(&mut self.sums, told.load, news);
        }
        let host = HostLoads {
            run: report.run,
            earlier_run,
            is_known_from_start: earlier_run.is_some() || report.sequence <= FRESH_REPORTS,
            heard_at: now,
            loads: HashMap::new(),
            samples: HashMap::new(),
        };
        self.hosts.insert(report.host, host);
    }
}

impl HostLoads {
    /// What is new in totals; those of a host that ran for long before it was heard are
    /// where its differences begin, as they may be minutes old.
    fn learn(&mut self, samples: BackendSamples) -> Option<BackendSamples> {
        let before = self.samples.insert(samples.key, samples);
        let is_recent = self.is_known_from_start || samples.good + samples.bad <= FEW_CALLS;
        let none = is_recent.then(|| BackendSamples::none(samples.key));
        before.or(none).map(|before| samples.since(&before))
    }
}

impl Told {
    /// Prompt tokens that came since it was told before.
    fn begun_tokens(&self, before: Option<&Self>) -> u32 {
        let is_fresh = |it: &&Self| self.at.saturating_duration_since(it.at) < READ_WITHIN;
        let unread = before.filter(is_fresh).map(|it| it.load.unread_tokens);
        let unread = unread.unwrap_or_default();
        self.load.unread_tokens.saturating_sub(unread)
    }
}

/// What was told before is over.
fn end(sums: &mut HashMap<BackendKey, BackendLoad>, before: BackendLoad, news: &mut LoadUpdate) {
    let change = LoadChange {
        key: before.key,
        new_prompt_tokens: 0,
    };
    change_sum(sums, Some(before), None, change, news);
}

fn change_sum(
    sums: &mut HashMap<BackendKey, BackendLoad>,
    before: Option<BackendLoad>,
    after: Option<BackendLoad>,
    change: LoadChange,
    news: &mut LoadUpdate,
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
    news.changed.push(change);
    news.has_freed_slot |= after.running < before.running;
}
