//! The report on a shard that is shown to operators.

use std::time::Instant;

use super::{Backend, Scheduler};
use crate::{BackendId, Presence, Shard};

/// The state of a shard at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardReport {
    /// The shard.
    pub shard: Shard,
    /// Number of waiting requests by rank of their tier.
    pub waiting: Vec<(u8, usize)>,
    /// Number of requests that run on slots granted by the scheduler.
    pub running: usize,
    /// The shard's backend servers.
    pub backends: Vec<BackendReport>,
}

/// The state of a backend server at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendReport {
    /// The backend server.
    pub backend: BackendId,
    /// Number of requests that run there.
    pub running: u32,
    /// Learned number of requests that may run there at once.
    pub limit: u32,
    /// Learned prefill rate, in tokens per second.
    pub prefill_rate: f64,
    /// Whether it accepts new work.
    pub state: BackendState,
}

/// Whether a backend server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendState {
    /// It accepts new work.
    Live,
    /// It is leaving the fleet and finishes its running requests.
    Leaving,
    /// It lost calls and gets no work during its cooldown.
    CoolingDown,
    /// A first token is long overdue, so it gets no work until the token arrives.
    Overdue,
}

impl BackendState {
    /// Returns the value that is shown to operators.
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
    /// Returns the state of the shard.
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
