//! What operators order of a service's versions.

use std::time::Duration;

use jaypin_core::ServiceId;

use crate::{SoftwareVersion, StorePoint};

/// How far an order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// It was given, and the store does not say that it began.
    Ordered,
    /// It began.
    Running,
    /// The new version has taken over; the old backend servers stop.
    Done,
    /// The new version was given up; its backend servers leave.
    RolledBack,
    /// The order was taken back.
    Withdrawn,
}

impl RolloutState {
    /// Whether nothing is left to be decided.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack | Self::Withdrawn)
    }

    /// The state in one word.
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

/// An order to move a service to a version, as the store has it.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub to: SoftwareVersion,
    /// Time within which it should be ended.
    pub time_limit: Duration,
    /// Of the order's last change, in the store's history; a greater one is newer.
    pub point: StorePoint,
    /// How far it is.
    pub state: RolloutState,
}
