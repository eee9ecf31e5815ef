//! Load generator, experiments and history checker for jaypin; never shipped.
//!
//! [`Fleet`] runs real host processes against stand-ins of the platform and of the backend
//! servers, all on loopback addresses.

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
