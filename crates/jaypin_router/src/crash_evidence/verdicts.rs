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

/// The crashes that a suspect explains.
#[derive(Debug, Clone, Copy)]
struct Explained {
    count: usize,
    first: Instant,
    last: Instant,
}

/// The suspects that explain the crashes. Crashes that one of them explains count for no other.
#[derive(Debug, Default)]
pub struct Verdicts {
    by_suspect: HashMap<Fingerprint, Explained>,
    explained: HashSet<BackendRun>,
}

impl Verdicts {
    /// Takes, again and again, the suspect with the most crashes that are not yet explained. Those
    /// that were lost in exactly the same crashes can't be told apart.
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
            let most = left.iter().max_by_key(|runs| runs.len()).cloned();
            let Some(most) = most.filter(|runs| runs.len() >= CONTENT_LIMIT) else {
                return verdicts;
            };
            for (suspect, runs) in candidates.iter().zip(&left) {
                if *runs == most {
                    verdicts.explain(*suspect, &most);
                }
            }
            verdicts.explained.extend(most.iter().map(|it| it.0));
            let by_suspect = &verdicts.by_suspect;
            candidates.retain(|it| !by_suspect.contains_key(it));
        }
    }

    fn unexplained(&self, log: &CrashLog, suspect: Fingerprint) -> BTreeSet<(BackendRun, Instant)> {
        let crashes = log.crashes_under(suspect);
        crashes
            .filter(|(run, _)| !self.explained.contains(run))
            .collect()
    }

    fn explain(&mut self, suspect: Fingerprint, crashes: &BTreeSet<(BackendRun, Instant)>) {
        let times = crashes.iter().map(|it| it.1);
        if let (Some(first), Some(last)) = (times.clone().min(), times.max()) {
            let count = crashes.len();
            let explained = Explained { count, first, last };
            self.by_suspect.insert(suspect, explained);
        }
    }

    /// Returns whether a crash is explained by one of the suspects.
    pub fn is_explained(&self, run: BackendRun) -> bool {
        self.explained.contains(&run)
    }

    /// Returns the time of the last crash under a content, if it is the cause.
    pub fn last_crash_of_content(&self, content: Fingerprint) -> Option<Instant> {
        let explained = self.by_suspect.get(&content)?;
        (explained.count >= CONTENT_LIMIT).then_some(explained.last)
    }

    /// Returns the time of the last crash under a part of prompts, if it is the cause.
    pub fn last_crash_of_part(&self, part: Fingerprint) -> Option<Instant> {
        let explained = self.by_suspect.get(&part)?;
        let is_spread = explained.last >= explained.first + PART_SPREAD;
        (explained.count >= PART_LIMIT && is_spread).then_some(explained.last)
    }
}
