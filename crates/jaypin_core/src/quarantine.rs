//! Detection and quarantine of request contents that crash backend servers.
//!
//! A crash is evaluated on the host that leads the shard, because only there all calls
//! that were lost with one backend server are known. Crash counts spread from partner to
//! partner, so each host refuses a quarantined request by itself, before it requests a
//! slot.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::{BackendId, LostCall};

/// Time from the first lost call within which calls lost on the same backend server
/// belong to the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(500);
/// Maximum number of suspected fingerprints.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of lost calls recorded per crash.
const MAX_LOST_CALLS: usize = 256;
/// Maximum number of crashes that await evaluation.
const MAX_PENDING_CRASHES: usize = 1_024;

/// A request content that was running without a first token when a backend server crashed.
#[derive(Debug)]
struct Suspect {
    crash_count: u32,
    last_crash_at: Instant,
}

/// The calls that one crash of a backend server ended.
#[derive(Debug)]
struct Crash {
    first_loss_at: Instant,
    lost_calls: Vec<LostCall>,
}

/// How many request contents are suspected, and how many of them are refused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SuspectCounts {
    /// Contents that were running on a backend server when it crashed.
    pub suspected: usize,
    /// Suspected contents whose crash count reached the limit, so that they are refused.
    pub quarantined: usize,
}

/// The suspected contents that one host knows, and the crashes that it has yet to evaluate.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspect>,
    crashes: BTreeMap<BackendId, Crash>,
}

impl Quarantine {
    /// Counts the suspected and the quarantined contents, for operators.
    ///
    /// A request content is quarantined from `limit` crashes on.
    #[must_use]
    pub fn counts(&self, limit: u32) -> SuspectCounts {
        let refused = self.suspects.values().filter(|it| it.crash_count >= limit);
        SuspectCounts {
            suspected: self.suspects.len(),
            quarantined: refused.count(),
        }
    }

    /// Returns the number of crashes attributed to a fingerprint.
    #[must_use]
    pub fn crash_count(&self, fingerprint: u64) -> u32 {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.crash_count)
    }

    /// Returns how long a fingerprint stays quarantined; `None` when it isn't.
    ///
    /// A fingerprint with at least `limit` crashes is quarantined for the time `hold`
    /// after its last crash.
    #[must_use]
    pub fn remaining_quarantine(
        &self,
        now: Instant,
        fingerprint: u64,
        limit: u32,
        hold: Duration,
    ) -> Option<Duration> {
        let suspect = self.suspects.get(&fingerprint)?;
        let remaining = (suspect.last_crash_at + hold).checked_duration_since(now)?;
        (suspect.crash_count >= limit.max(1) && !remaining.is_zero()).then_some(remaining)
    }

    /// Records a fingerprint's crash count, from a peer or from an evaluated crash, and
    /// returns whether it is greater than the count known before.
    ///
    /// When the table is full, the suspect whose last crash is the oldest is removed.
    pub fn record_crash_count(&mut self, now: Instant, fingerprint: u64, crash_count: u32) -> bool {
        if crash_count <= self.crash_count(fingerprint) {
            return false;
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, it)| it.last_crash_at);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspects.remove(&oldest);
            }
        }
        let suspect = Suspect {
            crash_count,
            last_crash_at: now,
        };
        self.suspects.insert(fingerprint, suspect);
        true
    }

    /// Records a call that was lost because its backend server crashed.
    pub fn record_lost_call(&mut self, now: Instant, backend: &BackendId, lost: LostCall) {
        if self.crashes.len() >= MAX_PENDING_CRASHES && !self.crashes.contains_key(backend) {
            return;
        }
        let crash = self.crashes.entry(backend.clone()).or_insert(Crash {
            first_loss_at: now,
            lost_calls: Vec::new(),
        });
        if crash.lost_calls.len() < MAX_LOST_CALLS {
            crash.lost_calls.push(lost);
        }
    }

    /// Evaluates the crashes whose window has passed, and returns each fingerprint whose
    /// crash count rose, with its new count. A fingerprint is refused from `limit`
    /// crashes on.
    ///
    /// Harmless requests that shared a backend server with the one that crashed it must
    /// not be quarantined. A call that had a first token was being served and is not
    /// suspected. If several calls had none, any of them may be the cause: each is
    /// suspected, but such a crash never raises a count to the limit. A crash with a
    /// single fingerprint without a first token counts fully against it.
    pub fn evaluate_crashes(&mut self, now: Instant, limit: u32) -> Vec<(u64, u32)> {
        let mut updated = Vec::new();
        let due = |_: &BackendId, crash: &mut Crash| {
            now.duration_since(crash.first_loss_at) >= CRASH_WINDOW
        };
        let crashes: Vec<Crash> = self.crashes.extract_if(.., due).map(|(_, it)| it).collect();
        for crash in crashes {
            let mut suspects: Vec<u64> = crash
                .lost_calls
                .iter()
                .filter(|lost| !lost.had_first_token)
                .map(|lost| lost.fingerprint)
                .collect();
            suspects.sort_unstable();
            suspects.dedup();
            let is_sole_suspect = suspects.len() == 1;
            for fingerprint in suspects {
                let before = self.crash_count(fingerprint);
                let max_count = if is_sole_suspect {
                    u32::MAX
                } else {
                    limit.saturating_sub(1)
                };
                let crash_count = (before + 1).min(max_count).max(before);
                if self.record_crash_count(now, fingerprint, crash_count) {
                    updated.push((fingerprint, crash_count));
                }
            }
        }
        updated
    }

    /// Removes suspects whose last crash is at least `hold` ago.
    pub fn expire(&mut self, now: Instant, hold: Duration) {
        self.suspects
            .retain(|_, suspect| now.duration_since(suspect.last_crash_at) < hold);
    }
}
