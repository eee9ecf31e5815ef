//! The entry host: an HTTP proxy that routes callers' requests to backend servers.
//!
//! A host runs on one thread, in a current-thread runtime that calls the reducer directly.
//! [`serve`] runs a host. The formats of settings, headers and stored objects are those of
//! the platform and come from an adapter that implements [`Platform`].

mod admission;
mod backend_probe;
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
mod watch_progress;

pub use logs::start as start_logs;
pub use peers::{
    ConfigurationSnapshot, Datagram, EntriesProof, EntryChanges, WireError, decode_configuration,
    decode_datagram, decode_entries, decode_entry_changes, decode_report, encode_account_use,
    encode_configuration, encode_entries, encode_entry_changes, encode_report,
    encode_stream_message,
};
pub use ports::{
    BackendResponse, CallerRequest, Collection, DecodeError, ForwardContext, Freshness, HostRecord,
    HostSettings, Object, ObjectChange, ObjectChanges, ObjectPage, Platform, PromptPart,
};
pub use serve::{ServeOptions, serve};
