//! HTTP client parts for calls to backend servers.
//!
//! [`connect`] opens a connection that ends with an error if the other side stops responding.
//! [`EventReader`] splits a stream into complete events, so that the part of a stream that is
//! forwarded to a caller never ends within an event.
//! [`read_body`] and [`is_final_status`] check responses.
//! [`TimedWriter`] withholds a request that could not be written in time.

mod connect;
mod event_reader;
mod response;
mod timed_writer;

pub use connect::{ConnectError, ConnectTimeouts, Driver, Sender, connect, open_stream};
pub use event_reader::EventReader;
pub use response::{is_final_status, read_body};
pub use timed_writer::{Clock, TimedWriter, WriteLimit};
