//! Load tool, experiments and history checker of jaypin; never shipped.
//!
//! [`Fleet`] runs real host processes before stand-ins, on the loopback address.

mod client;
mod command;
mod demo;
mod fleet;
pub mod history;
mod host;
pub mod load;
mod plot;
mod streams;
pub mod torture;

pub use client::{Answer, Client, Event, completion_body};
pub use command::{CommandOutput, jaypin};
pub use demo::demo;
pub use fleet::{ACCOUNTS, BackendSpec, Fleet, FleetConfig, Proxies, RULES};
pub use host::{Host, binary};
pub use plot::{Run, plot};
pub use streams::{StreamsReport, streams};
