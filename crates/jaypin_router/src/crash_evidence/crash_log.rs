//! The crashes that a host knows, united from its own losses and the reports of its peers.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use super::Fingerprint;
use super::cleared::Cleared;
use super::crash::{BackendRun, Crash, KnownCrash, RunEnd, Update};

/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 512;
/// Maximum number of suspects that are remembered of one crash.
const MAX_SUSPECTS: usize = 64;
/// Maximum number of suspects of one crash in a report.
const MAX_REPORTED_SUSPECTS: usize = 32;
/// Number of whole reports that contain new evidence.
pub const FRESH_REPORTS: u32 = 4;
/// Number of further crashes, or cleared suspects, in each whole report, in turn, for hosts that
/// have just started.
pub const REPEATED: usize = 4;
/// Maximum number of crashes, and of cleared suspects, in one report, so that it fits into a
/// datagram.
pub const MAX_REPORTED: usize = 16;

/// Crashes, and for each suspect the runs that ended while they ran it.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: HashMap<BackendRun, KnownCrash>,
    runs: HashMap<Fingerprint, BTreeSet<BackendRun>>,
}

impl CrashLog {
    /// Returns what is known of a run's crash.
    pub fn get(&self, run: BackendRun) -> Option<&KnownCrash> {
        self.crashes.get(&run)
    }

    /// Returns the suspects of all crashes, with the number of their crashes.
    pub fn suspects(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        self.runs
            .iter()
            .map(|(suspect, runs)| (*suspect, runs.len()))
    }

    /// Returns the number of crashes under a suspect, whether they are refuted or not.
    pub fn run_count(&self, suspect: Fingerprint) -> usize {
        self.runs.get(&suspect).map_or(0, BTreeSet::len)
    }

    /// Returns the crashes under a suspect that are not refuted.
    pub fn crashes_under(
        &self,
        suspect: Fingerprint,
    ) -> impl Iterator<Item = (BackendRun, Instant)> {
        let runs = self.runs.get(&suspect).into_iter().flatten();
        let crashes = runs.filter_map(|run| Some((*run, self.crashes.get(run)?)));
        let crashes = crashes.filter(|(_, it)| it.end != RunEnd::Refuted);
        crashes.map(|(run, it)| (run, it.at))
    }

    /// Records that a run answered a request that was sent at `sent_at`, after its supposed end.
    pub fn refute(&mut self, run: BackendRun, sent_at: Instant) {
        if let Some(crash) = self.crashes.get_mut(&run) {
            crash.end = RunEnd::Refuted;
            crash.at = sent_at;
            crash.times_reported = 0;
        }
    }

    /// Adds suspects to a crash, which is recorded unless it is known; returns whether anything was
    /// new.
    pub fn unite(
        &mut self,
        run: BackendRun,
        end: RunEnd,
        at: Instant,
        suspects: impl IntoIterator<Item = Fingerprint>,
        times_reported: u32,
    ) -> bool {
        let is_new = !self.crashes.contains_key(&run);
        if is_new && self.crashes.len() >= MAX_CRASHES {
            self.remove_least_relevant();
        }
        let crash = self.crashes.entry(run).or_insert_with(|| KnownCrash {
            end,
            at,
            suspects: BTreeSet::new(),
            times_reported,
        });
        let update = crash.update(end, at);
        if update == Update::Outdated {
            return false;
        }
        let mut has_changed = is_new || update != Update::Same;
        if update == Update::Reopened {
            for suspect in std::mem::take(&mut crash.suspects) {
                remove_run(&mut self.runs, suspect, run);
            }
        }
        for suspect in suspects {
            if crash.suspects.len() < MAX_SUSPECTS && crash.suspects.insert(suspect) {
                has_changed = true;
                self.runs.entry(suspect).or_default().insert(run);
            }
        }
        if has_changed {
            crash.times_reported = crash.times_reported.min(times_reported);
        }
        has_changed
    }

    /// Removes the crashes whose time fulfils the condition; returns whether there were any.
    pub fn remove_where(&mut self, is_old: impl Fn(Instant) -> bool) -> bool {
        let old = self.crashes.iter().filter(|(_, it)| is_old(it.at));
        let old: Vec<_> = old.map(|(run, _)| *run).collect();
        for run in &old {
            self.remove(*run);
        }
        !old.is_empty()
    }

    /// Returns the crashes for the next whole report: new ones, and a few of those that may lead
    /// to a quarantine.
    pub fn next_report(&mut self, cleared: &Cleared, now: Instant) -> Vec<Crash> {
        let mut fresh = Vec::new();
        let mut repeated = Vec::new();
        for (run, crash) in &self.crashes {
            if crash.suspects.iter().all(|it| cleared.contains(*it)) {
                continue;
            }
            if crash.times_reported < FRESH_REPORTS {
                fresh.push((crash.times_reported, *run));
            } else if self.has_repeated_suspect(crash) {
                repeated.push((crash.times_reported, *run));
            }
        }
        fresh.sort_unstable();
        repeated.sort_unstable();
        repeated.truncate(REPEATED);
        fresh.extend(repeated);
        fresh.truncate(MAX_REPORTED);
        let mut reports = Vec::new();
        for (_, run) in fresh {
            if let Some(crash) = self.crashes.get_mut(&run) {
                crash.times_reported += 1;
            }
            reports.extend(self.report(run, cleared, now));
        }
        reports
    }

    /// Returns the latest crashes for a report to other cells, first those that may lead to a
    /// quarantine.
    pub fn latest(&self, cleared: &Cleared, now: Instant) -> Vec<Crash> {
        let all = self.crashes.iter();
        let unexplained = all.filter(|(_, it)| it.suspects.iter().any(|it| !cleared.contains(*it)));
        let mut latest: Vec<_> = unexplained
            .map(|(run, crash)| (self.has_repeated_suspect(crash), crash.at, *run))
            .collect();
        latest.sort_unstable_by(|a, b| b.cmp(a));
        latest.truncate(MAX_REPORTED);
        let crashes = latest.into_iter();
        crashes
            .filter_map(|(_, _, run)| self.report(run, cleared, now))
            .collect()
    }

    fn report(&self, run: BackendRun, cleared: &Cleared, now: Instant) -> Option<Crash> {
        let crash = self.crashes.get(&run)?;
        let suspects = crash.suspects.iter().copied();
        let mut suspects: Vec<_> = suspects.filter(|it| !cleared.contains(*it)).collect();
        suspects.sort_by_key(|it| Reverse(self.run_count(*it)));
        suspects.truncate(MAX_REPORTED_SUSPECTS);
        Some(Crash {
            run,
            end: crash.end,
            age: now.saturating_duration_since(crash.at),
            suspects,
        })
    }

    fn has_repeated_suspect(&self, crash: &KnownCrash) -> bool {
        crash.suspects.iter().any(|it| self.run_count(*it) > 1)
    }

    fn remove_least_relevant(&mut self) {
        let all = self.crashes.iter();
        let least = all.min_by_key(|(_, crash)| (self.has_repeated_suspect(crash), crash.at));
        if let Some(run) = least.map(|(run, _)| *run) {
            self.remove(run);
        }
    }

    fn remove(&mut self, run: BackendRun) {
        let Some(crash) = self.crashes.remove(&run) else {
            return;
        };
        for suspect in crash.suspects {
            remove_run(&mut self.runs, suspect, run);
        }
    }
}

fn remove_run(
    runs: &mut HashMap<Fingerprint, BTreeSet<BackendRun>>,
    suspect: Fingerprint,
    run: BackendRun,
) {
    if let Some(of_suspect) = runs.get_mut(&suspect) {
        of_suspect.remove(&run);
        if of_suspect.is_empty() {
            runs.remove(&suspect);
        }
    }
}
