//! Contents and parts of prompts that can't be the cause of crashes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Fingerprint;
use super::crash_log::{CrashLog, FRESH_REPORTS, MAX_REPORTED, REPEATED};

/// Maximum number of contents and parts that are remembered. Beyond it, the half that was seen
/// longest ago is forgotten.
const MAX_CLEARED: usize = 8_192;

/// A content, or a part of a prompt, that can't be the cause of crashes, as hosts report it to each
/// other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClearedSuspect {
    /// Its fingerprint.
    pub suspect: Fingerprint,
    /// Time since it was last seen to be sound.
    pub age: Duration,
}

#[derive(Debug)]
struct Clearance {
    at: Instant,
    times_reported: u32,
}

/// What was answered completely, or written on for a while, with or without crashes.
#[derive(Debug, Default)]
pub struct Cleared {
    known: HashMap<Fingerprint, Clearance>,
}

impl Cleared {
    /// Returns whether something can't be the cause of crashes.
    pub fn contains(&self, suspect: Fingerprint) -> bool {
        self.known.contains_key(&suspect)
    }

    /// Returns whether this host has yet to tell that something is sound.
    pub fn is_untold(&self, suspect: Fingerprint) -> bool {
        let known = self.known.get(&suspect);
        known.is_some_and(|it| it.times_reported == 0)
    }

    /// Records that this host saw that something is sound.
    pub fn record(&mut self, suspect: Fingerprint, at: Instant) {
        self.insert(suspect, at, 0);
    }

    /// Applies what a peer reports.
    pub fn apply(&mut self, suspect: Fingerprint, at: Instant) {
        self.insert(suspect, at, FRESH_REPORTS - 1);
    }

    fn insert(&mut self, suspect: Fingerprint, at: Instant, times_reported: u32) {
        if self.known.len() >= MAX_CLEARED && !self.known.contains_key(&suspect) {
            self.forget_older_half();
        }
        let new = Clearance { at, times_reported };
        let known = self.known.entry(suspect).or_insert(new);
        known.at = known.at.max(at);
        known.times_reported = known.times_reported.max(times_reported);
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<_> = self.known.values().map(|it| it.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.known.retain(|_, it| it.at > median);
    }

    /// Forgets what was seen long ago; returns whether there was any.
    pub fn remove_where(&mut self, is_old: impl Fn(Instant) -> bool) -> bool {
        let before = self.known.len();
        self.known.retain(|_, it| !is_old(it.at));
        self.known.len() < before
    }

    /// Returns for the next whole report which suspects are sound: those that peers were not told of
    /// and, in turn, a few that they may suspect of several crashes.
    pub fn next_report(&mut self, log: &CrashLog, now: Instant) -> Vec<ClearedSuspect> {
        let mut fresh = Vec::new();
        let mut repeated = Vec::new();
        for (suspect, crashes) in log.suspects() {
            let Some(known) = self.known.get(&suspect) else {
                continue;
            };
            if known.times_reported < FRESH_REPORTS {
                fresh.push((known.times_reported, suspect));
            } else if crashes > 1 {
                repeated.push((known.times_reported, suspect));
            }
        }
        fresh.sort_unstable();
        repeated.sort_unstable();
        repeated.truncate(REPEATED);
        fresh.extend(repeated);
        fresh.truncate(MAX_REPORTED);
        let mut reports = Vec::new();
        for (_, suspect) in fresh {
            if let Some(known) = self.known.get_mut(&suspect) {
                known.times_reported += 1;
                reports.push(known.report(suspect, now));
            }
        }
        reports
    }

    /// Returns for a report to other cells which suspects are sound, first those of most crashes.
    pub fn most_suspected(&self, log: &CrashLog, now: Instant) -> Vec<ClearedSuspect> {
        let suspects = log.suspects().filter(|it| self.contains(it.0));
        let mut suspects: Vec<_> = suspects
            .map(|(suspect, crashes)| (crashes, suspect))
            .collect();
        suspects.sort_unstable_by(|a, b| b.cmp(a));
        suspects.truncate(MAX_REPORTED);
        let suspects = suspects.into_iter();
        suspects
            .filter_map(|(_, suspect)| Some(self.known.get(&suspect)?.report(suspect, now)))
            .collect()
    }
}

impl Clearance {
    fn report(&self, suspect: Fingerprint, now: Instant) -> ClearedSuspect {
        ClearedSuspect {
            suspect,
            age: now.saturating_duration_since(self.at),
        }
    }
}
