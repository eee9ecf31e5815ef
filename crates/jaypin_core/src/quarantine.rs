//! Requests that crash backend servers: who is suspected, who is refused.
//!
//! A death is judged where the shard's grants are counted, because only there the calls
//! that were lost with one backend server come together. Strikes spread from partner to
//! partner, so that each host refuses by itself, before a slot is asked for.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{BackendId, LostCall};

/// Time in which calls lost on one backend server count as lost together.
const DEATH_WINDOW: Duration = Duration::from_millis(500);
/// Most fingerprints under suspicion.
const MAX_SUSPECTS: usize = 4_096;
/// Most calls of one death that are remembered.
const MAX_LOST: usize = 256;
/// Most deaths that are judged at once.
const MAX_DEATHS: usize = 1_024;

#[derive(Debug)]
struct Suspect {
    strikes: u32,
    struck_at: Instant,
}

#[derive(Debug)]
struct Death {
    since: Instant,
    lost: Vec<LostCall>,
}

/// How many contents are suspected, and how many of them are refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Contents under which a backend server died.
    pub suspected: usize,
    /// Those of them that are refused.
    pub quarantined: usize,
}

/// Suspicions of one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
    deaths: BTreeMap<BackendId, Death>,
}

impl Quarantine {
    /// Counts the contents under suspicion, for operators.
    #[must_use]
    pub fn counts(&self, limit: u32) -> SuspectCounts {
        let refused = self.suspects.values().filter(|it| it.strikes >= limit);
        SuspectCounts {
            suspected: self.suspects.len(),
            quarantined: refused.count(),
        }
    }

    /// Strikes against a fingerprint.
    #[must_use]
    pub fn crash_count(&self, fingerprint: u64) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.strikes)
    }

    /// Time left of a fingerprint's hold, when it is held.
    #[must_use]
    pub fn remaining_quarantine(
        &self,
        now: Instant,
        fingerprint: u64,
        strikes: u32,
        hold: Duration,
    ) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        let left = (suspect.struck_at + hold).checked_duration_since(now)?;
        (suspect.strikes >= strikes.max(1) && !left.is_zero()).then_some(left)
    }

    /// Takes a strike count that was heard of; says whether it was news.
    pub fn record_crash_count(&mut self, now: Instant, fingerprint: u64, strikes: u32) -> bool {
        if strikes <= self.crash_count(fingerprint) {
            return false;
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, it)| it.struck_at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&oldest);
            }
        }
        let suspect = Suspect {
            strikes,
            struck_at: now,
        };
        self.suspects.insert(fingerprint, suspect);
        true
    }

    /// A call was lost because its backend server died.
    pub fn record_lost_call(&mut self, now: Instant, backend: &BackendId, lost: LostCall) {
        if self.deaths.len() >= MAX_DEATHS && !self.deaths.contains_key(backend) {
            return;
        }
        let death = self.deaths.entry(backend.clone()).or_insert(Death {
            since: now,
            lost: Vec::new(),
        });
        if death.lost.len() < MAX_LOST {
            death.lost.push(lost);
        }
    }

    /// Judges the deaths whose calls are all in, and gives each fingerprint's new count
    /// of strikes; a fingerprint is refused from `limit` strikes on.
    ///
    /// Guards against innocents that shared a backend server with a poisonous request.
    /// Who had a first token was served before and is not suspected. If several had
    /// none, any may be the cause: each is suspected, and no such death alone makes a
    /// fingerprint be refused. A death under a single one is its strike.
    pub fn evaluate_crashes(&mut self, now: Instant, limit: u32) -> Vec<(u64, u32)> {
        let mut struck = Vec::new();
        let due =
            |_: &BackendId, death: &mut Death| now.duration_since(death.since) >= DEATH_WINDOW;
        let deaths: Vec<Death> = self.deaths.extract_if(.., due).map(|(_, it)| it).collect();
        for death in deaths {
            let mut new: Vec<u64> = death
                .lost
                .iter()
                .filter(|lost| !lost.had_first_token)
                .map(|lost| lost.fingerprint)
                .collect();
            new.sort_unstable();
            new.dedup();
            let is_clear = new.len() == 1;
            for fingerprint in new {
                let before = self.crash_count(fingerprint);
                let most = if is_clear {
                    u32::MAX
                } else {
                    limit.saturating_sub(1)
                };
                let strikes = (before + 1).min(most).max(before);
                if self.record_crash_count(now, fingerprint, strikes) {
                    struck.push((fingerprint, strikes));
                }
            }
        }
        struck
    }

    /// The fingerprints that were struck last, with their strikes, for peers.
    #[must_use]
    pub fn most_recent(&self, most: usize) -> Vec<(u64, u32)> {
        let mut all: Vec<_> = self.suspects.iter().collect();
        all.sort_unstable_by_key(|(_, suspect)| std::cmp::Reverse(suspect.struck_at));
        let newest = all.into_iter().take(most);
        newest
            .map(|(fingerprint, suspect)| (*fingerprint, suspect.strikes))
            .collect()
    }

    /// Forgets suspicions older than `hold`.
    pub fn expire(&mut self, now: Instant, hold: Duration) {
        self.suspects
            .retain(|_, suspect| now.duration_since(suspect.struck_at) < hold);
    }
}
