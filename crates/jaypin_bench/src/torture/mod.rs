//! Randomized, seeded runs under injected faults, judged by the history checker.
//!
//! The seed determines the faults, their order and the requests of the callers; the
//! interleaving of the processes is not deterministic.

mod callers;
mod faults;
mod runner;
mod schedule;
mod watch_rules;

pub use runner::{TortureConfig, TortureReport, torture};
pub use schedule::{Fault, schedule};
