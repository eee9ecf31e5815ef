//! One crash of a backend server.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::Fingerprint;
use crate::{BackendKey, BackendRecord, backend_key};

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
    /// Contents, and parts of prompts, that were lost with it and are not known to be sound.
    pub suspects: Vec<Fingerprint>,
}

/// What a host knows of one crash.
#[derive(Debug)]
pub struct KnownCrash {
    /// Whether the run has ended.
    pub end: RunEnd,
    /// Time of the crash, or of the request whose answer refuted it.
    pub at: Instant,
    /// What was lost with it.
    pub suspects: BTreeSet<Fingerprint>,
    /// Number of whole reports that contained it.
    pub times_reported: u32,
}

/// How new evidence of a run relates to what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// It says the same.
    Same,
    /// It replaces what is known, except for the suspects.
    Changed,
    /// The run crashed after an earlier crash was refuted, so other calls were lost.
    Reopened,
    /// Something later is known.
    Outdated,
}

impl KnownCrash {
    /// Applies new evidence.
    pub fn update(&mut self, end: RunEnd, at: Instant) -> Update {
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
}
