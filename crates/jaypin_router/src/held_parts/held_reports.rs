//! What a host reports to its peers of the prefixes that engines cache.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::{ChainKey, EngineRun};
use crate::BackendKey;

/// Time within which a prefix is not reported again. Peers end an assumption after a minute, so the
/// loss of one datagram ends none that is in use.
const REPEAT_PAUSE: Duration = Duration::from_secs(20);
/// Largest number of prefixes in one report, of all engines: 200 bytes.
const MAX_PER_REPORT: usize = 8;
/// Largest number of prefixes that are kept for the next report about one engine. The oldest are
/// dropped, since a later use reports them again.
const MAX_QUEUED: usize = 16;
/// Largest number of prefixes that are remembered as reported, in each half of the pause. Beyond it
/// nothing is reported until the next half.
const MAX_REMEMBERED: usize = 2_048;

/// A prefix that an engine caches, as reported to the hosts that use the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldReport {
    /// Key of the engine.
    pub key: BackendKey,
    /// Run and software version of the engine; a host that knows another one ignores the report.
    pub run: EngineRun,
    /// Key of the prefix.
    pub prefix: ChainKey,
    /// Tokens of the prefix.
    pub tokens: u32,
}

/// Prefixes to be reported, and those that were reported a short time ago.
#[derive(Debug, Default)]
pub struct HeldReports {
    queued: BTreeMap<BackendKey, VecDeque<HeldReport>>,
    /// Tokens of the prefixes reported in the current half of the pause, and in the one before.
    current: HashMap<(EngineRun, ChainKey), u32>,
    previous: HashMap<(EngineRun, ChainKey), u32>,
    began_at: Option<Instant>,
}

impl HeldReports {
    /// Queues a prefix for the next report about its engine, unless it was reported a short time ago
    /// with as many tokens.
    pub fn queue(&mut self, report: HeldReport, now: Instant) {
        self.forget_old(now);
        let id = (report.run, report.prefix);
        let reported = self.current.get(&id).or_else(|| self.previous.get(&id));
        let is_known = reported.is_some_and(|tokens| *tokens >= report.tokens);
        if is_known || self.current.len() >= MAX_REMEMBERED {
            return;
        }
        self.current.insert(id, report.tokens);
        let queued = self.queued.entry(report.key).or_default();
        if queued.len() >= MAX_QUEUED {
            queued.pop_front();
        }
        queued.push_back(report);
    }

    /// Removes and returns what the next report about these engines contains.
    pub fn take(&mut self, keys: &[BackendKey]) -> Vec<HeldReport> {
        let mut reports = Vec::new();
        for key in keys {
            let Some(queued) = self.queued.get_mut(key) else {
                continue;
            };
            let count = queued.len().min(MAX_PER_REPORT - reports.len());
            reports.extend(queued.drain(..count));
            if queued.is_empty() {
                self.queued.remove(key);
            }
        }
        reports
    }

    /// Forgets what is queued for engines that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(BackendKey) -> bool) {
        self.queued.retain(|key, _| is_known(*key));
    }

    fn forget_old(&mut self, now: Instant) {
        let began_at = *self.began_at.get_or_insert(now);
        if now.saturating_duration_since(began_at) >= REPEAT_PAUSE / 2 {
            self.previous = std::mem::take(&mut self.current);
            self.began_at = Some(now);
        }
    }
}
