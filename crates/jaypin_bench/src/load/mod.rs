//! Load generator: sends seeded open-loop traffic that follows one of two request mixes.

mod call;
mod capacity;
mod compare;
mod faults;
mod mix;
mod outcome;
mod plan;
mod report;
mod runner;
mod usage;

pub use capacity::{capacity, unlike_engines};
pub use compare::{compare, comparison_table};
pub use faults::Faults;
pub use mix::{Account, Lengths, Mix, PlainCall, TextClass};
pub use outcome::{Sample, Verdict};
pub use plan::{Arrival, Work, plan};
pub use report::{HostCost, Percentiles, Report, TierReport};
pub use runner::{LoadConfig, run};
pub use usage::{cpu_time, resident_kib};
