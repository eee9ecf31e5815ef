//! One rollout order, with the outcomes that this host knows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jaypin_core::Incarnation;

use super::{Evidence, ExposureBudget, RolloutOrder, RolloutState, VersionOutcomes, VersionTest};
use crate::{CellIndex, StorePoint};

/// Fraction of the order's time limit after which a good version takes over. The remainder
/// allows for a store that is slow or unavailable.
const TAKE_OVER_FRACTION: f64 = 0.8;
/// Delay for each host that writes first, before this host writes the same.
const WRITE_TURN_DELAY: Duration = Duration::from_millis(300);
/// Delay before a host repeats a write that the store does not show.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(1_500);

/// A state of an order to write to the store, and the reasons for it.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutWrite {
    /// The order as it is in the store, with the state to write.
    pub order: RolloutOrder,
    /// Evidence against the new version, if there is any.
    pub evidence: Option<Evidence>,
    /// Known outcomes of both versions.
    pub outcomes: VersionOutcomes,
}

/// An order that is in progress or has ended.
#[derive(Debug)]
pub struct Rollout {
    /// The order as the store stated it last.
    pub order: RolloutOrder,
    /// When the first host learned of the order.
    pub started: Instant,
    /// Number of requests that may be sent to the new version.
    pub exposure: ExposureBudget,
    /// Outcomes of this host's own calls.
    pub own_outcomes: VersionOutcomes,
    /// When the order ended, as far as this host knows.
    pub ended: Option<Instant>,
    peer_outcomes: BTreeMap<Incarnation, VersionOutcomes>,
    cell_outcomes: BTreeMap<CellIndex, VersionOutcomes>,
    test: VersionTest,
    is_bad: bool,
    is_end_lost: bool,
    pending_write: Option<(RolloutState, Instant)>,
}

impl Rollout {
    /// Creates a rollout for an order.
    #[must_use]
    pub fn new(order: RolloutOrder, exposure: ExposureBudget, now: Instant) -> Self {
        let ended = order.state.is_final().then_some(now);
        Self {
            order,
            started: now,
            exposure,
            own_outcomes: VersionOutcomes::default(),
            ended,
            peer_outcomes: BTreeMap::new(),
            cell_outcomes: BTreeMap::new(),
            test: VersionTest::default(),
            is_bad: false,
            is_end_lost: false,
            pending_write: None,
        }
    }

    /// Returns whether requests may be sent to the new version as a canary.
    #[must_use]
    pub fn is_under_test(&self) -> bool {
        !self.is_bad && !self.order.state.is_final()
    }

    /// Returns whether this host or a peer found the new version bad.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.is_bad
    }

    /// Records that a peer found the new version bad. Returns whether this is a change.
    pub fn mark_bad(&mut self) -> bool {
        !std::mem::replace(&mut self.is_bad, true)
    }

    /// Returns whether the store has lost the end of the order.
    #[must_use]
    pub fn is_end_lost(&self) -> bool {
        self.is_end_lost
    }

    /// Applies a newer state of the order in the store.
    pub fn update(&mut self, order: RolloutOrder) {
        self.order = order;
        self.is_end_lost = false;
    }

    /// Returns whether the store, restored from an older copy, states the order as it was before
    /// its end.
    #[must_use]
    pub fn shows_lost_end(&self, order: &RolloutOrder) -> bool {
        let is_later_era = order.point.era > self.order.point.era;
        let is_ended = matches!(
            self.order.state,
            RolloutState::Done | RolloutState::RolledBack
        );
        let is_before_end = !order.state.is_final() && order.to == self.order.to;
        is_ended && is_before_end && (is_later_era || self.is_end_lost)
    }

    /// Keeps the end of the order, so that it is written again over a point of the new history.
    /// Returns whether this is a change.
    pub fn mark_end_lost(&mut self, point: StorePoint) -> bool {
        let is_change = !self.is_end_lost || point > self.order.point;
        self.order.point = self.order.point.max(point);
        self.is_end_lost = true;
        is_change
    }

    /// Returns the test of the new version.
    #[must_use]
    pub fn test(&self) -> &VersionTest {
        &self.test
    }

    /// Returns when the new version takes over if it is good.
    #[must_use]
    pub fn take_over_at(&self) -> Instant {
        self.started + self.order.time_limit.mul_f64(TAKE_OVER_FRACTION)
    }

    /// Records the outcomes that a host of this cell has counted since its start.
    pub fn record_peer_outcomes(&mut self, run: Incarnation, outcomes: &VersionOutcomes) {
        self.peer_outcomes
            .entry(run)
            .or_default()
            .merge_max(outcomes);
    }

    /// Records the outcomes of another cell, as one of its hosts knows them.
    pub fn record_cell_outcomes(&mut self, cell: CellIndex, outcomes: &VersionOutcomes) {
        self.cell_outcomes
            .entry(cell)
            .or_default()
            .merge_max(outcomes);
    }

    /// Returns the outcomes of this host's own cell, as far as it knows them.
    #[must_use]
    pub fn own_cell_outcomes(&self) -> VersionOutcomes {
        let mut sum = self.own_outcomes.clone();
        for outcomes in self.peer_outcomes.values() {
            sum.add(outcomes);
        }
        sum
    }

    /// Returns the outcomes of the fleet, as far as this host knows them.
    #[must_use]
    pub fn fleet_outcomes(&self) -> VersionOutcomes {
        let mut sum = self.own_cell_outcomes();
        for outcomes in self.cell_outcomes.values() {
            sum.add(outcomes);
        }
        sum
    }

    /// Evaluates the outcomes. Returns whether they have just shown that the version is bad.
    pub fn evaluate(&mut self, now: Instant) -> bool {
        if !self.is_under_test() {
            return false;
        }
        self.test.update(&self.fleet_outcomes(), now);
        self.is_bad = self.test.evidence().is_some();
        self.is_bad
    }

    /// Returns the state that the store should have, if it has another.
    fn wanted_state(&self, now: Instant) -> Option<RolloutState> {
        if self.is_end_lost {
            return Some(self.order.state);
        }
        let is_due = now >= self.take_over_at();
        match self.order.state {
            RolloutState::Done | RolloutState::RolledBack | RolloutState::Withdrawn => None,
            _ if self.is_bad => Some(RolloutState::RolledBack),
            _ if is_due && self.test.is_good() => Some(RolloutState::Done),
            RolloutState::Ordered => Some(RolloutState::Running),
            RolloutState::Running => None,
        }
    }

    /// Returns what this host has to write now, while `writers_before` hosts write before it.
    pub fn next_write(&mut self, writers_before: u32, now: Instant) -> Option<RolloutWrite> {
        let wanted_state = self.wanted_state(now)?;
        let due = match self.pending_write {
            Some((state, due)) if state == wanted_state => due,
            _ => now + WRITE_TURN_DELAY.saturating_mul(writers_before),
        };
        if now < due {
            self.pending_write = Some((wanted_state, due));
            return None;
        }
        self.pending_write = Some((wanted_state, now + WRITE_RETRY_PAUSE));
        Some(RolloutWrite {
            order: RolloutOrder {
                state: wanted_state,
                ..self.order.clone()
            },
            evidence: self.test.evidence(),
            outcomes: self.fleet_outcomes(),
        })
    }
}
