//! Evidence of which request contents crash backend servers.
//!
//! Each crash is an event: one run of a backend server that ended, with the contents that it was
//! running. Hosts exchange these events and unite them, so that crashes that different hosts
//! noticed add up, and reports that are lost, repeated or reordered change nothing.

mod answered_runs;
mod pending_loss;

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::{BackendKey, BackendRecord, backend_key};
use answered_runs::{AnsweredRuns, CONTACT_TIME};
use pending_loss::{LIFETIME as LOSS_LIFETIME, PendingLosses};

/// Number of crashes under the same content from which on the content is quarantined.
const CRASH_LIMIT: usize = 3;
/// Time for which a content stays quarantined after its last crash.
const QUARANTINE_TIME: Duration = Duration::from_mins(5);
/// Time after which a crash, or the completion of a content, is forgotten.
const MEMORY: Duration = Duration::from_mins(10);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 512;
/// Maximum number of contents that are remembered of one crash.
const MAX_CONTENTS: usize = 64;
/// Uncertainty of the time of a crash that a peer reports.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Time after a crash in which no process can have taken the place of the one that ended.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// Number of whole reports that contain new evidence.
const FRESH_REPORTS: u32 = 4;
/// Number of further crashes in each whole report, in turn, for hosts that have just started.
const REPEATED_CRASHES: usize = 4;
/// Maximum number of crashes, and of completed contents, in one report, so that it fits into a
/// datagram.
const MAX_REPORTED: usize = 16;

/// Hash of a request's path, caller and body.
pub type Fingerprint = u64;

/// One run of a backend server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendRun {
    /// Key of the backend server.
    pub key: BackendKey,
    /// Start of its process, as it states it.
    pub started: u64,
}

impl BackendRun {
    /// Returns the run that an entry states.
    #[must_use]
    pub fn of(record: &BackendRecord) -> Self {
        Self {
            key: backend_key(&record.id),
            started: record.started,
        }
    }
}

/// Whether a run has ended. Where hosts disagree, an end that is confirmed holds; otherwise what
/// happened later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// A host that reached other backend servers could not reach this one.
    Suspected,
    /// The run answered a host after its supposed end: only a network path has failed.
    Refuted,
    /// Another run has taken its place.
    Confirmed,
}

/// A crash of a backend server, as hosts report it to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct Crash {
    /// The run that ended.
    pub run: BackendRun,
    /// Whether it has ended.
    pub end: RunEnd,
    /// Time since the crash, or since the request whose answer refuted it.
    pub age: Duration,
    /// Contents that were lost with it.
    pub contents: Vec<Fingerprint>,
}

/// A suspected content that was served completely, so that it can't be the cause of crashes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CompletedContent {
    /// Its fingerprint.
    pub content: Fingerprint,
    /// Time since its completion.
    pub age: Duration,
}

#[derive(Debug)]
struct KnownCrash {
    end: RunEnd,
    /// Time of the crash, or of the request whose answer refuted it.
    at: Instant,
    contents: BTreeSet<Fingerprint>,
    /// Number of whole reports that contained it.
    times_reported: u32,
}

#[derive(Debug)]
struct Completion {
    at: Instant,
    times_reported: u32,
}

/// What one host knows of crashes and of the contents that were lost with them.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    crashes: HashMap<BackendRun, KnownCrash>,
    /// Runs that ended while they ran a content.
    runs: HashMap<Fingerprint, BTreeSet<BackendRun>>,
    completed: HashMap<Fingerprint, Completion>,
    pending: PendingLosses,
    answered: AnsweredRuns,
}

impl CrashEvidence {
    /// Returns the number of crashes under a content; 0 once it was served completely.
    #[must_use]
    pub fn crash_count(&self, content: Fingerprint) -> usize {
        self.crashes_under(content).count()
    }

    /// Returns the remaining time for which a content is quarantined, if it is.
    #[must_use]
    pub fn remaining_quarantine(&self, content: Fingerprint, now: Instant) -> Option<Duration> {
        if self.crash_count(content) < CRASH_LIMIT {
            return None;
        }
        let last = self.crashes_under(content).map(|it| it.at).max()?;
        (last + QUARANTINE_TIME)
            .checked_duration_since(now)
            .filter(|left| !left.is_zero())
    }

    fn crashes_under(&self, content: Fingerprint) -> impl Iterator<Item = &KnownCrash> {
        let is_suspected = !self.completed.contains_key(&content);
        let runs = self.runs.get(&content).filter(|_| is_suspected);
        let crashes = runs.into_iter().flatten();
        let crashes = crashes.filter_map(|run| self.crashes.get(run));
        crashes.filter(|it| it.end != RunEnd::Refuted)
    }

    /// Records that a call ended without an answer. It becomes evidence once it is known that the
    /// run has ended, or at least that this host reaches other backend servers while it does not
    /// reach this one; returns whether that is already so.
    pub fn record_lost_call(
        &mut self,
        run: BackendRun,
        content: Fingerprint,
        is_unreachable: bool,
        now: Instant,
    ) -> bool {
        self.pending.add(run, content, is_unreachable, now);
        self.evaluate_pending()
    }

    /// Records that this host has reached a run; returns whether that changed what is known.
    pub fn record_contact(&mut self, run: BackendRun, now: Instant) -> bool {
        self.answered.record(run, now);
        self.evaluate_pending()
    }

    /// Returns whether calls were lost with a backend server that could not be reached, and it is
    /// not known whether this host reaches others.
    #[must_use]
    pub fn needs_contact(&self, now: Instant) -> bool {
        self.pending.has_unreachable_since(now, CONTACT_TIME)
    }

    /// Records an answer of a run to a request that was sent at `sent_at`; returns whether that
    /// changed what is known.
    ///
    /// Only a request that was sent after the supposed end of the run shows that it goes on: a host
    /// that was suspended reads earlier answers late.
    pub fn record_answer(&mut self, run: BackendRun, sent_at: Instant, now: Instant) -> bool {
        self.answered.record(run, now);
        let survived = |it: &&mut KnownCrash| {
            let is_later = sent_at >= it.at + REPORT_DELAY;
            it.end == RunEnd::Suspected && is_later && now < it.at + RESTART_TIME
        };
        let refuted = self.crashes.get_mut(&run).filter(survived);
        let is_refuted = refuted.is_some();
        if let Some(crash) = refuted {
            crash.end = RunEnd::Refuted;
            crash.at = sent_at;
            crash.times_reported = 0;
        }
        self.evaluate_pending() || is_refuted
    }

    /// Records that a content was served completely; returns whether it was suspected.
    pub fn record_completion(&mut self, content: Fingerprint, now: Instant) -> bool {
        if self.crash_count(content) == 0 {
            return false;
        }
        let completion = Completion {
            at: now,
            times_reported: 0,
        };
        self.completed.insert(content, completion);
        true
    }

    /// Records that another run has taken the place of this one; returns whether that changed what
    /// is known.
    pub fn record_end(&mut self, run: BackendRun, now: Instant) -> bool {
        let contents = self.pending.take(run);
        // What was lost long before the end was not lost with it.
        let is_recent = |it: &KnownCrash| {
            let age = now.saturating_duration_since(it.at);
            it.end != RunEnd::Refuted || age < LOSS_LIFETIME
        };
        let known = self.crashes.get(&run);
        if contents.is_empty() && !known.is_some_and(is_recent) {
            return false;
        }
        self.unite(run, RunEnd::Confirmed, now, contents, 0)
    }

    /// Applies a crash that a peer reports.
    pub fn apply_crash(&mut self, crash: &Crash, now: Instant) {
        let Some(at) = now.checked_sub(crash.age).filter(|_| crash.age < MEMORY) else {
            return;
        };
        let contents = crash.contents.iter().copied();
        let reported = FRESH_REPORTS - 1;
        self.unite(crash.run, crash.end, at, contents, reported);
        self.evaluate_pending();
    }

    /// Applies a completion that a peer reports.
    pub fn apply_completion(&mut self, completed: &CompletedContent, now: Instant) {
        let Some(at) = now
            .checked_sub(completed.age)
            .filter(|_| completed.age < MEMORY)
        else {
            return;
        };
        let known = self.completed.entry(completed.content);
        let known = known.or_insert(Completion {
            at,
            times_reported: FRESH_REPORTS - 1,
        });
        known.at = known.at.max(at);
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Instant) {
        self.pending.expire(now);
        let is_old = |at: Instant| now.saturating_duration_since(at) >= MEMORY;
        self.completed.retain(|_, it| !is_old(it.at));
        let old = self.crashes.iter().filter(|(_, it)| is_old(it.at));
        let old: Vec<_> = old.map(|(run, _)| *run).collect();
        for run in old {
            self.remove(run);
        }
    }

    /// Returns the crashes for the next whole report: new ones, and a few of those that may lead
    /// to a quarantine.
    pub fn crashes_to_report(&mut self, now: Instant) -> Vec<Crash> {
        let mut fresh = Vec::new();
        let mut repeated = Vec::new();
        for (run, crash) in &self.crashes {
            if crash.times_reported < FRESH_REPORTS {
                fresh.push((crash.times_reported, *run));
            } else if self.has_repeated_content(crash) {
                repeated.push((crash.times_reported, *run));
            }
        }
        fresh.sort_unstable();
        repeated.sort_unstable();
        repeated.truncate(REPEATED_CRASHES);
        fresh.extend(repeated);
        fresh.truncate(MAX_REPORTED);
        let mut reports = Vec::new();
        for (_, run) in fresh {
            if let Some(crash) = self.crashes.get_mut(&run) {
                crash.times_reported += 1;
                reports.push(crash.report(run, now));
            }
        }
        reports
    }

    /// Returns the latest crashes for a report to other cells, first those that may lead to a
    /// quarantine.
    #[must_use]
    pub fn latest_crashes(&self, now: Instant) -> Vec<Crash> {
        let all = self.crashes.iter();
        let mut latest: Vec<_> = all
            .map(|(run, crash)| (self.has_repeated_content(crash), crash.at, *run))
            .collect();
        latest.sort_unstable_by(|a, b| b.cmp(a));
        latest.truncate(MAX_REPORTED);
        let crashes = latest.into_iter();
        crashes
            .filter_map(|(_, _, run)| Some(self.crashes.get(&run)?.report(run, now)))
            .collect()
    }

    /// Returns the completions for the next whole report: those of contents that other hosts may
    /// quarantine.
    pub fn completions_to_report(&mut self, now: Instant) -> Vec<CompletedContent> {
        let runs = &self.runs;
        let is_repeated = |content: &Fingerprint| {
            runs.get(content)
                .is_some_and(|it| it.len() + 1 >= CRASH_LIMIT)
        };
        let completed = self.completed.iter_mut();
        let mut completed: Vec<_> = completed.filter(|it| is_repeated(it.0)).collect();
        completed.sort_unstable_by_key(|(content, it)| (it.times_reported, **content));
        completed.truncate(MAX_REPORTED);
        let reports = completed.into_iter().map(|(content, it)| {
            it.times_reported += 1;
            CompletedContent {
                content: *content,
                age: now.saturating_duration_since(it.at),
            }
        });
        reports.collect()
    }

    /// Turns pending losses into evidence where enough is known; returns whether there were any.
    fn evaluate_pending(&mut self) -> bool {
        if self.pending.is_empty() {
            return false;
        }
        let (answered, crashes) = (&self.answered, &self.crashes);
        let is_evidence =
            |run: BackendRun, is_unreachable: bool, at: Instant| match crashes.get(&run) {
                Some(it) if it.end == RunEnd::Confirmed => true,
                Some(it) if it.end == RunEnd::Suspected && is_unreachable => true,
                Some(it) if it.end == RunEnd::Refuted && at <= it.at => false,
                _ => is_unreachable && answered.has_other_after(run, at),
            };
        let losses = self.pending.take_where(is_evidence);
        let mut has_changed = false;
        for loss in losses {
            let end = RunEnd::Suspected;
            has_changed |= self.unite(loss.run, end, loss.at, [loss.content], 0);
        }
        has_changed
    }

    /// Adds contents to a crash, which is recorded unless it is known; returns whether anything
    /// was new.
    fn unite(
        &mut self,
        run: BackendRun,
        end: RunEnd,
        at: Instant,
        contents: impl IntoIterator<Item = Fingerprint>,
        times_reported: u32,
    ) -> bool {
        let is_new = !self.crashes.contains_key(&run);
        if is_new && self.crashes.len() >= MAX_CRASHES {
            self.remove_least_relevant();
        }
        let crash = self.crashes.entry(run).or_insert_with(|| KnownCrash {
            end,
            at,
            contents: BTreeSet::new(),
            times_reported,
        });
        let update = crash.update(end, at);
        if update == Update::Outdated {
            return false;
        }
        let mut has_changed = is_new || update != Update::Same;
        if update == Update::Reopened {
            for content in std::mem::take(&mut crash.contents) {
                remove_run(&mut self.runs, content, run);
            }
        }
        for content in contents {
            if crash.contents.len() < MAX_CONTENTS && crash.contents.insert(content) {
                has_changed = true;
                self.runs.entry(content).or_default().insert(run);
            }
        }
        if has_changed {
            crash.times_reported = crash.times_reported.min(times_reported);
        }
        has_changed
    }

    fn has_repeated_content(&self, crash: &KnownCrash) -> bool {
        let mut contents = crash.contents.iter();
        contents.any(|it| self.runs.get(it).is_some_and(|runs| runs.len() > 1))
    }

    fn remove_least_relevant(&mut self) {
        let all = self.crashes.iter();
        let least = all.min_by_key(|(_, crash)| (self.has_repeated_content(crash), crash.at));
        if let Some(run) = least.map(|(run, _)| *run) {
            self.remove(run);
        }
    }

    fn remove(&mut self, run: BackendRun) {
        let Some(crash) = self.crashes.remove(&run) else {
            return;
        };
        for content in crash.contents {
            remove_run(&mut self.runs, content, run);
        }
    }
}

fn remove_run(
    runs: &mut HashMap<Fingerprint, BTreeSet<BackendRun>>,
    content: Fingerprint,
    run: BackendRun,
) {
    if let Some(of_content) = runs.get_mut(&content) {
        of_content.remove(&run);
        if of_content.is_empty() {
            runs.remove(&content);
        }
    }
}

/// How new evidence of a run relates to what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Update {
    /// It says the same.
    Same,
    /// It replaces what is known, except for the contents.
    Changed,
    /// The run crashed after an earlier crash was refuted, so other contents were lost.
    Reopened,
    /// Something later is known.
    Outdated,
}

impl KnownCrash {
    /// Applies new evidence.
    fn update(&mut self, end: RunEnd, at: Instant) -> Update {
        let update = match (self.end, end) {
            (RunEnd::Suspected, RunEnd::Suspected) | (RunEnd::Confirmed, RunEnd::Confirmed) => {
                self.at = self.at.min(at);
                return Update::Same;
            }
            (RunEnd::Refuted, RunEnd::Refuted) => {
                self.at = self.at.max(at);
                return Update::Same;
            }
            (RunEnd::Confirmed, _) => return Update::Same,
            (_, RunEnd::Confirmed) => Update::Changed,
            (RunEnd::Suspected, RunEnd::Refuted) if at > self.at => Update::Changed,
            (RunEnd::Refuted, RunEnd::Suspected) if at > self.at => Update::Reopened,
            _ => return Update::Outdated,
        };
        self.end = end;
        self.at = at;
        update
    }

    fn report(&self, run: BackendRun, now: Instant) -> Crash {
        Crash {
            run,
            end: self.end,
            age: now.saturating_duration_since(self.at),
            contents: self.contents.iter().copied().collect(),
        }
    }
}
