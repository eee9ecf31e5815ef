//! Rollouts, which move a service to backend servers with a new version of its software.
//!
//! An operator gives the order. The fleet sends a small share of the requests to the new
//! version, compares it with the old one over the same seconds, and ends the order as done or
//! rolled back. No host coordinates this: each host counts its own outcomes, receives the counts
//! of the others, and decides independently.

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
