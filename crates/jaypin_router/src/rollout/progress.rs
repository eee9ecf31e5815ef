//! One order, with what this host knows of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jaypin_core::Incarnation;

use super::{Evidence, ExposureBudget, RolloutOrder, RolloutState, VersionOutcomes, VersionTest};
use crate::{CellIndex, StorePoint};

/// Part of the ordered time after which a version that is good takes over. The rest is left
/// for a store that is slow or away.
const TAKE_OVER_PART: f64 = 0.8;
/// Pause before a host writes what another should have written.
const WRITE_TURN: Duration = Duration::from_millis(300);
/// Pause before a host writes again what the store does not show.
const WRITE_AGAIN: Duration = Duration::from_millis(1_500);

/// A state of an order that is to be written, and what it rests on.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutWrite {
    /// The order as the store has it, with the state that is to be written.
    pub order: RolloutOrder,
    /// What speaks against the version.
    pub evidence: Option<Evidence>,
    /// What is known of both versions.
    pub outcomes: VersionOutcomes,
}

/// An order under way or ended.
#[derive(Debug)]
pub struct Rollout {
    /// What the store says.
    pub order: RolloutOrder,
    /// When it was first heard of, by anyone.
    pub started: Instant,
    /// What may be sent to the new version.
    pub exposure: ExposureBudget,
    /// What this host saw.
    pub own: VersionOutcomes,
    /// When the order ended, as far as this host knows.
    pub ended: Option<Instant>,
    of_peers: BTreeMap<Incarnation, VersionOutcomes>,
    of_cells: BTreeMap<CellIndex, VersionOutcomes>,
    test: VersionTest,
    is_bad: bool,
    is_end_lost: bool,
    to_write: Option<(RolloutState, Instant)>,
}

impl Rollout {
    /// Begins with an order.
    #[must_use]
    pub fn new(order: RolloutOrder, exposure: ExposureBudget, now: Instant) -> Self {
        let ended = order.state.is_final().then_some(now);
        Self {
            order,
            started: now,
            exposure,
            own: VersionOutcomes::default(),
            ended,
            of_peers: BTreeMap::new(),
            of_cells: BTreeMap::new(),
            test: VersionTest::default(),
            is_bad: false,
            is_end_lost: false,
            to_write: None,
        }
    }

    /// Whether requests may be sent to the new version as a trial.
    #[must_use]
    pub fn is_trying(&self) -> bool {
        !self.is_bad && !self.order.state.is_final()
    }

    /// Whether the new version was found bad, by this host or a peer.
    #[must_use]
    pub fn is_bad(&self) -> bool {
        self.is_bad
    }

    /// The new version was found bad by a peer; says whether that is new.
    pub fn found_bad(&mut self) -> bool {
        !std::mem::replace(&mut self.is_bad, true)
    }

    /// Whether the store has lost the end of the order.
    #[must_use]
    pub fn is_end_lost(&self) -> bool {
        self.is_end_lost
    }

    /// Takes a newer word of the store.
    pub fn take(&mut self, order: RolloutOrder) {
        self.order = order;
        self.is_end_lost = false;
    }

    /// Whether the store, after its return from an older copy, states the order as it was
    /// before its end.
    #[must_use]
    pub fn takes_as_lost_end(&self, order: &RolloutOrder) -> bool {
        let is_later_era = order.point.era > self.order.point.era;
        let is_ended = matches!(
            self.order.state,
            RolloutState::Done | RolloutState::RolledBack
        );
        let is_before_end = !order.state.is_final() && order.to == self.order.to;
        is_ended && is_before_end && (is_later_era || self.is_end_lost)
    }

    /// The end stands, and has to be written again over a point of the new history. Says
    /// whether that is news.
    pub fn end_was_lost(&mut self, point: StorePoint) -> bool {
        let is_news = !self.is_end_lost || point > self.order.point;
        self.order.point = self.order.point.max(point);
        self.is_end_lost = true;
        is_news
    }

    /// The test of the new version.
    #[must_use]
    pub fn test(&self) -> &VersionTest {
        &self.test
    }

    /// When the new version takes over if it is good.
    #[must_use]
    pub fn take_over_at(&self) -> Instant {
        self.started + self.order.time_limit.mul_f64(TAKE_OVER_PART)
    }

    /// What a host of this cell saw in its run.
    pub fn peer_saw(&mut self, run: Incarnation, outcomes: &VersionOutcomes) {
        self.of_peers.entry(run).or_default().raise_to(outcomes);
    }

    /// What a host of another cell knows of its cell.
    pub fn cell_saw(&mut self, cell: CellIndex, outcomes: &VersionOutcomes) {
        self.of_cells.entry(cell).or_default().raise_to(outcomes);
    }

    /// What this host knows of its own cell.
    #[must_use]
    pub fn own_cell(&self) -> VersionOutcomes {
        let mut sum = self.own.clone();
        for outcomes in self.of_peers.values() {
            sum.add(outcomes);
        }
        sum
    }

    /// What this host knows of the fleet.
    #[must_use]
    pub fn fleet(&self) -> VersionOutcomes {
        let mut sum = self.own_cell();
        for outcomes in self.of_cells.values() {
            sum.add(outcomes);
        }
        sum
    }

    /// Looks at the counts and the time. Says whether the version was found bad just now.
    pub fn judge(&mut self, now: Instant) -> bool {
        if !self.is_trying() {
            return false;
        }
        self.test.update(&self.fleet(), now);
        self.is_bad = self.test.evidence().is_some();
        self.is_bad
    }

    /// What the store should say, where it does not.
    fn wanted(&self, now: Instant) -> Option<RolloutState> {
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

    /// What this host writes now; `turns` hosts go before it.
    pub fn next_write(&mut self, turns: u32, now: Instant) -> Option<RolloutWrite> {
        let wanted = self.wanted(now)?;
        let due = match self.to_write {
            Some((state, due)) if state == wanted => due,
            _ => now + WRITE_TURN.saturating_mul(turns),
        };
        if now < due {
            self.to_write = Some((wanted, due));
            return None;
        }
        self.to_write = Some((wanted, now + WRITE_AGAIN));
        Some(RolloutWrite {
            order: RolloutOrder {
                state: wanted,
                ..self.order.clone()
            },
            evidence: self.test.evidence(),
            outcomes: self.fleet(),
        })
    }
}
