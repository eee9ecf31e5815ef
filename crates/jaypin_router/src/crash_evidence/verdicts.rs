//! Which suspects explain the crashes.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::Fingerprint;
use super::cleared::Cleared;
use super::crash::BackendRun;
use super::crash_log::CrashLog;

/// Number of crashes under the same content from which on the content is quarantined.
const CONTENT_LIMIT: usize = 3;
/// The same for a part of prompts. Many requests share it, so that it is also lost in crashes that
/// have another cause.
const PART_LIMIT: usize = 4;
/// Time over which crashes under a part must be spread. Backend servers that fail together take the
/// same parts with them.
const PART_SPREAD: Duration = Duration::from_millis(150);

/// Number of crashes by which two suspects must differ so that they can be told apart.
const CLEAR_LEAD: usize = 3;
/// Time after the last crash from which on requests are sent that have some, but not all, of the
/// suspects that can't be told apart, unless they have the one that was lost in more crashes than the
/// others. Each such request tells them apart, by its answer or a crash.
const TRIAL_DELAY: Duration = Duration::from_secs(1);

/// The crashes that a suspect explains.
#[derive(Debug)]
struct Explained {
    count: usize,
    first: Instant,
    last: Instant,
    /// Whether it was lost in all crashes that this group of suspects explains.
    is_in_all: bool,
    /// Whether it was, and no other suspect of the group.
    leads: bool,
    /// The other suspects of the group.
    rivals: Vec<Fingerprint>,
}

impl Explained {
    fn of(crashes: &Crashes, of_group: &Crashes, rivals: Vec<Fingerprint>) -> Option<Self> {
        let times = of_group.iter().map(|it| it.1);
        Some(Self {
            count: crashes.intersection(of_group).count(),
            first: times.clone().min()?,
            last: times.max()?,
            is_in_all: crashes.is_superset(of_group),
            leads: false,
            rivals,
        })
    }
}

/// Crashes with their times.
type Crashes = BTreeSet<(BackendRun, Instant)>;

/// The suspects that explain the crashes. Crashes that one of them explains count for no other.
#[derive(Debug, Default)]
pub struct Verdicts {
    by_suspect: HashMap<Fingerprint, Explained>,
    explained: HashSet<BackendRun>,
}

impl Verdicts {
    /// Takes, again and again, the suspect with the most crashes that are not yet explained,
    /// together with those that can't be told apart from it.
    pub fn of(log: &CrashLog, cleared: &Cleared) -> Self {
        let mut verdicts = Self::default();
        let frequent = log.suspects().filter(|it| it.1 >= CONTENT_LIMIT);
        let mut candidates: Vec<Fingerprint> = frequent
            .map(|it| it.0)
            .filter(|it| !cleared.contains(*it))
            .collect();
        candidates.sort_unstable();
        loop {
            let left = candidates.iter().map(|it| verdicts.unexplained(log, *it));
            let left: Vec<_> = left.collect();
            let most = left.iter().max_by_key(|crashes| crashes.len());
            let Some(most) = most.filter(|crashes| crashes.len() >= CONTENT_LIMIT) else {
                return verdicts;
            };
            let group = candidates.iter().zip(&left);
            let group = group.filter(|(_, crashes)| {
                let common = crashes.intersection(most).count();
                common >= CONTENT_LIMIT && most.len() - common < CLEAR_LEAD
            });
            let group: Vec<_> = group.collect();
            let in_all = group.iter().filter(|it| it.1.is_superset(most)).count();
            for (suspect, crashes) in &group {
                let rivals = group.iter().map(|it| *it.0).filter(|it| it != *suspect);
                let explained = Explained::of(crashes, most, rivals.collect());
                let explained = explained.map(|it| Explained {
                    leads: it.is_in_all && in_all == 1,
                    ..it
                });
                let by_suspect = &mut verdicts.by_suspect;
                by_suspect.extend(explained.map(|it| (**suspect, it)));
            }
            verdicts.explained.extend(most.iter().map(|it| it.0));
            let by_suspect = &verdicts.by_suspect;
            candidates.retain(|it| !by_suspect.contains_key(it));
        }
    }

    fn unexplained(&self, log: &CrashLog, suspect: Fingerprint) -> Crashes {
        let crashes = log.crashes_under(suspect);
        crashes
            .filter(|(run, _)| !self.explained.contains(run))
            .collect()
    }

    /// Returns whether a crash is explained, and by others than this suspect.
    pub fn is_explained_by_others(&self, run: BackendRun, suspect: Fingerprint) -> bool {
        self.explained.contains(&run) && !self.by_suspect.contains_key(&suspect)
    }

    /// Returns the time of the last crash under a content, if it is the cause.
    pub fn last_crash_of_content(&self, content: Fingerprint) -> Option<Instant> {
        let explained = self.by_suspect.get(&content)?;
        let is_cause = explained.count >= CONTENT_LIMIT && explained.is_in_all;
        is_cause.then_some(explained.last)
    }

    /// Returns the time of the last crash under a part of prompts, if it is held to be the cause for
    /// a request that has these suspects.
    pub fn last_crash_of_part(
        &self,
        part: Fingerprint,
        suspects: &[Fingerprint],
        now: Instant,
    ) -> Option<Instant> {
        let explained = self.by_suspect.get(&part)?;
        let is_spread = explained.last >= explained.first + PART_SPREAD;
        let has_all = explained.rivals.iter().all(|it| suspects.contains(it));
        let is_trial = !has_all && !explained.leads && now >= explained.last + TRIAL_DELAY;
        let is_cause = explained.count >= PART_LIMIT && is_spread && !is_trial;
        is_cause.then_some(explained.last)
    }
}
