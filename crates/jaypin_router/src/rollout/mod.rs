//! Moving a service to backend servers with a new version of its software.
//!
//! An operator orders it; the fleet tries the new version on a small share of the requests,
//! compares it with the old one in the same seconds, and ends the order as done or rolled
//! back. No host is in charge: each counts what it sees, hears the counts of the others, and
//! judges by itself.

mod exposure;
mod order;
mod outcomes;
mod progress;
mod slow_answer;
mod version_test;
mod versions;

pub use exposure::ExposureBudget;
pub use order::{RolloutOrder, RolloutState};
pub use outcomes::{Outcome, OutcomeCounts, RouteKey, RouteOutcomes, VersionOutcomes};
pub use progress::{Rollout, RolloutWrite};
pub use slow_answer::SlowAnswerDetector;
pub use version_test::{Evidence, VersionTest};
pub use versions::{Rollouts, VersionRole};
