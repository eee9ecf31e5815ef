//! Evidence of what crashes backend servers: the content of a request, or a part of prompts.
//!
//! Each crash is an event: one run of a backend server that ended, with the contents and parts that
//! it was running. Hosts exchange these events and unite them, so that crashes that different hosts
//! noticed add up, and reports that are lost, repeated or reordered change nothing. What was
//! answered completely is not the cause, whether that was before or after a crash.

mod answered_runs;
mod cleared;
mod crash;
mod crash_log;
mod pending_loss;
mod verdicts;

use std::time::{Duration, Instant};

pub use cleared::ClearedSuspect;
pub use crash::{BackendRun, Crash, RunEnd};

use answered_runs::{AnsweredRuns, CONTACT_TIME};
use cleared::Cleared;
use crash_log::{CrashLog, FRESH_REPORTS};
use pending_loss::{LIFETIME as LOSS_LIFETIME, PendingLoss, PendingLosses};
use verdicts::Verdicts;

/// Time for which a content or part stays quarantined after its last crash.
const QUARANTINE_TIME: Duration = Duration::from_mins(5);
/// Time after which a crash, or that something is sound, is forgotten.
const MEMORY: Duration = Duration::from_mins(10);
/// Uncertainty of the time of a crash that a peer reports.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Time after a crash in which no process can have taken the place of the one that ended.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// Largest time between a crash and the end of an answer that ended with its connection, if the
/// crash ended it.
const CUT_OFF_TIME: Duration = Duration::from_millis(500);

/// Hash of a request's path, caller and body, or of a part of its prompt.
pub type Fingerprint = u64;

/// What one host knows of crashes and of what was lost with them.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    log: CrashLog,
    cleared: Cleared,
    verdicts: Verdicts,
    pending: PendingLosses,
    answered: AnsweredRuns,
}

impl CrashEvidence {
    /// Returns the number of crashes under a content or part; 0 if it is known to be sound.
    #[must_use]
    pub fn crash_count(&self, suspect: Fingerprint) -> usize {
        if self.cleared.contains(suspect) {
            return 0;
        }
        self.log.crashes_under(suspect).count()
    }

    /// Returns whether a content or part was lost in a crash of another run that no other one
    /// explains.
    #[must_use]
    pub fn has_other_crash(&self, suspect: Fingerprint, run: BackendRun) -> bool {
        if self.cleared.contains(suspect) {
            return false;
        }
        let mut crashes = self.log.crashes_under(suspect);
        crashes.any(|(it, _)| it != run && !self.verdicts.is_explained_by_others(it, suspect))
    }

    /// Returns the remaining time for which a content is quarantined, if it is.
    #[must_use]
    pub fn remaining_quarantine(&self, content: Fingerprint, now: Instant) -> Option<Duration> {
        remaining(self.verdicts.last_crash_of_content(content)?, now)
    }

    /// Returns the remaining time for which a part of prompts is quarantined for a request that has
    /// these contents and parts, if it is.
    #[must_use]
    pub fn remaining_part_quarantine(
        &self,
        part: Fingerprint,
        suspects: &[Fingerprint],
        now: Instant,
    ) -> Option<Duration> {
        let last = self.verdicts.last_crash_of_part(part, suspects, now)?;
        remaining(last, now)
    }

    /// Records that a call ended without an answer. It becomes evidence once it is known that the
    /// run has ended, or at least that this host reaches other backend servers while it does not
    /// reach this one; returns whether that is already so.
    pub fn record_lost_call(
        &mut self,
        run: BackendRun,
        suspect: Fingerprint,
        is_unreachable: bool,
        now: Instant,
    ) -> bool {
        let loss = PendingLoss {
            is_unreachable,
            ..PendingLoss::new(run, suspect, now)
        };
        self.add_loss(loss)
    }

    /// Records that an answer ended with its connection, which a crash may have cut off. It becomes
    /// evidence if the run crashed at that time.
    pub fn record_possible_cut(
        &mut self,
        run: BackendRun,
        suspect: Fingerprint,
        now: Instant,
    ) -> bool {
        let loss = PendingLoss {
            may_be_complete: true,
            ..PendingLoss::new(run, suspect, now)
        };
        self.add_loss(loss)
    }

    fn add_loss(&mut self, loss: PendingLoss) -> bool {
        if self.cleared.contains(loss.suspect) {
            return false;
        }
        self.pending.add(loss);
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
        let is_refuted = self.log.get(run).is_some_and(|it| {
            let is_later = sent_at >= it.at + REPORT_DELAY;
            it.end == RunEnd::Suspected && is_later && now < it.at + RESTART_TIME
        });
        if is_refuted {
            self.log.refute(run, sent_at);
            self.judge();
        }
        self.evaluate_pending() || is_refuted
    }

    /// Records that a content or part can't be the cause of crashes; returns whether it was
    /// suspected.
    pub fn record_completion(&mut self, suspect: Fingerprint, now: Instant) -> bool {
        let was_suspected = self.crash_count(suspect) > 0;
        self.cleared.record(suspect, now);
        if was_suspected {
            self.judge();
        }
        was_suspected
    }

    /// Records that another run has taken the place of this one; returns whether that changed what
    /// is known.
    pub fn record_end(&mut self, run: BackendRun, now: Instant) -> bool {
        let suspects = self.pending.take(run);
        // What was lost long before the end was not lost with it.
        let known = self.log.get(run);
        let is_recent = known.is_some_and(|it| {
            let age = now.saturating_duration_since(it.at);
            it.end != RunEnd::Refuted || age < LOSS_LIFETIME
        });
        if suspects.is_empty() && !is_recent {
            return false;
        }
        let has_changed = self.unite(run, RunEnd::Confirmed, now, suspects, 0);
        self.evaluate_pending() || has_changed
    }

    /// Applies a crash that a peer reports; returns whether this host should tell its peers at once
    /// that a suspect of several crashes is sound.
    pub fn apply_crash(&mut self, crash: &Crash, now: Instant) -> bool {
        let Some(at) = now.checked_sub(crash.age).filter(|_| crash.age < MEMORY) else {
            return false;
        };
        let suspects = crash.suspects.iter().copied();
        let reported = FRESH_REPORTS - 1;
        self.unite(crash.run, crash.end, at, suspects, reported);
        self.evaluate_pending();
        let mut suspects = crash.suspects.iter();
        suspects.any(|it| self.cleared.is_untold(*it) && self.log.run_count(*it) > 1)
    }

    /// Applies that a peer saw a suspect to be sound.
    pub fn apply_completion(&mut self, cleared: &ClearedSuspect, now: Instant) {
        let Some(at) = now
            .checked_sub(cleared.age)
            .filter(|_| cleared.age < MEMORY)
        else {
            return;
        };
        let was_suspected = self.crash_count(cleared.suspect) > 0;
        self.cleared.apply(cleared.suspect, at);
        if was_suspected {
            self.judge();
        }
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Instant) {
        self.pending.expire(now);
        let is_old = |at: Instant| now.saturating_duration_since(at) >= MEMORY;
        let are_removed = [
            self.cleared.remove_where(is_old),
            self.log.remove_where(is_old),
        ];
        if are_removed.contains(&true) {
            self.judge();
        }
    }

    /// Returns the crashes for the next whole report.
    pub fn crashes_to_report(&mut self, now: Instant) -> Vec<Crash> {
        self.log.next_report(&self.cleared, now)
    }

    /// Returns the latest crashes for a report to other cells.
    #[must_use]
    pub fn latest_crashes(&self, now: Instant) -> Vec<Crash> {
        self.log.latest(&self.cleared, now)
    }

    /// Returns the suspects that are sound, for the next whole report.
    pub fn completions_to_report(&mut self, now: Instant) -> Vec<ClearedSuspect> {
        self.cleared.next_report(&self.log, now)
    }

    /// Returns the suspects that are sound, for a report to other cells.
    #[must_use]
    pub fn latest_completions(&self, now: Instant) -> Vec<ClearedSuspect> {
        self.cleared.most_suspected(&self.log, now)
    }

    /// Turns pending losses into evidence where enough is known; returns whether there were any.
    fn evaluate_pending(&mut self) -> bool {
        if self.pending.is_empty() {
            return false;
        }
        let (answered, log) = (&self.answered, &self.log);
        let is_evidence = |loss: &PendingLoss| {
            let at = loss.at;
            match log.get(loss.run) {
                Some(it) if loss.may_be_complete => {
                    let apart = at.max(it.at) - at.min(it.at);
                    it.end != RunEnd::Refuted && apart <= CUT_OFF_TIME
                }
                Some(it) if it.end == RunEnd::Confirmed => true,
                Some(it) if it.end == RunEnd::Suspected && loss.is_unreachable => true,
                Some(it) if it.end == RunEnd::Refuted && at <= it.at => false,
                _ => loss.is_unreachable && answered.has_other_after(loss.run, at),
            }
        };
        let losses = self.pending.take_where(is_evidence);
        let mut has_changed = false;
        for loss in losses {
            let end = RunEnd::Suspected;
            has_changed |= self.unite(loss.run, end, loss.at, [loss.suspect], 0);
        }
        has_changed
    }

    fn unite(
        &mut self,
        run: BackendRun,
        end: RunEnd,
        at: Instant,
        suspects: impl IntoIterator<Item = Fingerprint>,
        times_reported: u32,
    ) -> bool {
        let has_changed = self.log.unite(run, end, at, suspects, times_reported);
        if has_changed {
            self.judge();
        }
        has_changed
    }

    fn judge(&mut self) {
        self.verdicts = Verdicts::of(&self.log, &self.cleared);
    }
}

fn remaining(last_crash: Instant, now: Instant) -> Option<Duration> {
    let left = (last_crash + QUARANTINE_TIME).checked_duration_since(now);
    left.filter(|it| !it.is_zero())
}
