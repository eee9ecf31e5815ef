//! What a shard's scheduler shows to operators.

use std::time::Instant;

use super::{Backend, Scheduler};
use crate::{BackendId, Presence, Shard};

/// A shard at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardReport {
    /// The shard.
    pub shard: Shard,
    /// Requests that wait, by rank of their tier.
    pub waiting: Vec<(u8, usize)>,
    /// Requests that run on slots that it granted.
    pub running: usize,
    /// Its backend servers.
    pub backends: Vec<BackendReport>,
}

/// A backend server of a shard at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendReport {
    /// The backend server.
    pub backend: BackendId,
    /// Requests that run there.
    pub running: u32,
    /// Requests that may run there at once, as learned.
    pub limit: u32,
    /// Prompt tokens a second, as learned.
    pub prefill_rate: f64,
    /// Whether it takes new work.
    pub state: BackendState,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// It does.
    Live,
    /// It is leaving.
    Leaving,
    /// It broke off calls and rests.
    CoolingDown,
    /// A first token is long overdue.
    Overdue,
}

impl BackendState {
    /// The word that operators see.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::CoolingDown => "resting",
            Self::Overdue => "overdue",
        }
    }
}

impl Scheduler {
    /// Shows the shard.
    #[must_use]
    pub fn shard_report(&self, now: Instant) -> ShardReport {
        let gap = self.strict_gap();
        let waiting = self.queue.ranks().map(|rank| {
            let count = self.queue.in_order(rank).count();
            (rank, count)
        });
        let backends = self.backends.iter();
        ShardReport {
            shard: self.shard.clone(),
            waiting: waiting.collect(),
            running: self.running.len(),
            backends: backends
                .map(|(id, backend)| backend_report(id, backend, gap, now))
                .collect(),
        }
    }
}

fn backend_report(id: &BackendId, backend: &Backend, gap: f64, now: Instant) -> BackendReport {
    let model = &backend.model;
    let state = if model.presence == Presence::Leaving || model.is_leaving() {
        BackendState::Leaving
    } else if !model.accepts_work(now) {
        BackendState::CoolingDown
    } else if model.is_overdue(now) {
        BackendState::Overdue
    } else {
        BackendState::Live
    };
    BackendReport {
        backend: id.clone(),
        running: model.running,
        limit: model.limit(gap),
        prefill_rate: model.prefill_rate(),
        state,
    }
}
