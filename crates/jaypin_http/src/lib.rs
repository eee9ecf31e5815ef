//! HTTP towards backend servers, for every way of running a host.
//!
//! [`connect`] opens a connection that ends by itself when the other side went silent.
//! [`EventReader`] cuts a stream into whole events, so that what a caller gets never ends
//! in the middle of one.

mod connect;
mod event_reader;

pub use connect::{ConnectError, ConnectTimeouts, Driver, Sender, connect};
pub use event_reader::EventReader;
