//! What an entry host runs, free of any platform's names.
//!
//! One thread: a current-thread runtime with the reducer called in place. [`serve`] runs a
//! host; how its platform spells settings, headers and objects comes from an adapter that
//! implements [`Platform`].

mod boot_clock;
mod callers;
mod calls;
mod host;
mod logs;
mod metrics;
mod peers;
mod ports;
mod serve;
mod store;

pub use logs::start as start_logs;
pub use peers::{
    ConfigurationSnapshot, WireError, decode_configuration, decode_entries, decode_report,
    encode_configuration, encode_entries, encode_report,
};
pub use ports::{
    BackendResponse, CallerRequest, Collection, DecodeError, ForwardContext, Freshness, HostRecord,
    HostSettings, Object, ObjectChange, ObjectChanges, ObjectPage, Platform,
};
pub use serve::{ServeOptions, serve};
