//! The baseline policy for comparison: each host on its own picks the better of two random
//! backend servers by lagging load reports.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{BackendId, BackendRecord, LoadReport, Presence};

/// The last reported load of each backend server, in requests running or waiting.
#[derive(Debug, Default)]
pub struct Baseline {
    load: BTreeMap<BackendId, u32>,
}

impl Baseline {
    /// Records a load report, which lags behind the actual load.
    pub fn apply_load_report(&mut self, report: &LoadReport) {
        self.load
            .insert(report.backend.clone(), report.running + report.waiting);
    }

    /// Picks the less loaded of two randomly chosen live backend servers; `None` when there
    /// is none.
    pub fn pick<'a>(
        &self,
        backends: impl Iterator<Item = &'a BackendRecord>,
        rng: &mut ChaCha8Rng,
    ) -> Option<&'a BackendRecord> {
        let live: Vec<_> = backends
            .filter(|record| record.presence == Presence::Live)
            .collect();
        if live.is_empty() {
            return None;
        }
        let first = live[rng.random_range(0..live.len())];
        let second = live[rng.random_range(0..live.len())];
        Some(if self.load_of(second) < self.load_of(first) {
            second
        } else {
            first
        })
    }

    fn load_of(&self, record: &BackendRecord) -> u32 {
        self.load.get(&record.id).copied().unwrap_or_default()
    }
}
