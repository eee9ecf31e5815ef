//! Randomised, seeded runs under faults, judged by the history checker.
//!
//! The seed fixes which faults come in which order and what callers ask; how processes
//! interleave is the machine's.

mod callers;
mod faults;
mod runner;
mod schedule;
mod watch_rules;

pub use runner::{TortureConfig, TortureReport, torture};
pub use schedule::{Fault, schedule};
