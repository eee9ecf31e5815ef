//! Orders of operators to move a service to another version.

use std::time::Duration;

use jaypin_core::ServiceId;

use crate::{SoftwareVersion, StorePoint};

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The order was given, and the store does not state yet that it has begun.
    Ordered,
    /// The rollout is in progress.
    Running,
    /// The new version has taken over, and the old backend servers stop.
    Done,
    /// The new version was given up, and its backend servers leave.
    RolledBack,
    /// The order was withdrawn.
    Withdrawn,
}

impl RolloutState {
    /// Returns whether the order has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack | Self::Withdrawn)
    }

    /// Returns the name of the state.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ordered => "ordered",
            Self::Running => "running",
            Self::Done => "done",
            Self::RolledBack => "rolled-back",
            Self::Withdrawn => "withdrawn",
        }
    }
}

/// An order to move a service to a version, as it is in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// Version that the service moves to.
    pub to: SoftwareVersion,
    /// Time within which the order should end.
    pub time_limit: Duration,
    /// Point of the order's last change in the store's history; a greater one is newer.
    pub point: StorePoint,
    /// Progress of the order.
    pub state: RolloutState,
}
