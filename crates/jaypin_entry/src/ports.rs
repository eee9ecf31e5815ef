//! The interface to a platform: an adapter translates formats, and has neither state nor timers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode, Uri};
use jaypin_core::{AccountId, BackendId, FailureDomain, HostId};
use jaypin_router::{
    BackendRecord, BackendStatus, Bounds, Configuration, RolloutOrder, StoreEra, StorePoint,
};
use serde_json::Value;
use snafu::Snafu;

/// Error of decoding, whose message is logged or sent to the caller.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct DecodeError {
    /// What was expected and what was found.
    pub message: String,
}

impl DecodeError {
    /// Creates an error with a message.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
        }
    }
}

/// Settings of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    /// Address at which callers query the addresses of hosts.
    pub directory_address: SocketAddr,
    /// Address for operators and metrics scrapers, if the settings name one.
    pub operator_address: Option<SocketAddr>,
    /// Address at which reports and snapshot queries of peers are received.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub max_memory_bytes: u64,
    /// Most file descriptors that the process may have open.
    pub max_open_files: u64,
    /// Longest lifetime of a list of addresses that callers receive.
    pub max_address_list_ttl: Duration,
    /// Bounds that the whole fleet has to meet.
    pub bounds: Bounds,
}

/// A collection of objects in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Collection {
    /// The configuration, written by operators; one object.
    Configuration,
    /// Registrations of backend servers, each written by its backend server.
    Backends,
    /// Registrations of the hosts of this fleet, each written by its host.
    Hosts,
    /// Rollout orders, one object per service.
    Rollouts,
}

/// Required freshness of a read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The response reflects the state at the time of the request.
    Newest,
    /// The response may be seconds old, which costs the store less.
    AllowStale,
}

/// An object in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Name, unique within its collection.
    pub name: String,
    /// Position of the object's last change in the store's history.
    pub point: StorePoint,
    /// Content, written by the object's author; null if it can't be read.
    pub content: Value,
    /// Status, written by the fleet.
    pub status: Value,
}

/// A page of a listing.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectPage {
    /// Objects of the page.
    pub objects: Vec<Object>,
    /// Whether further objects follow the last one.
    pub has_more: bool,
    /// Position in the store's history at which the page was read.
    pub point: StorePoint,
}

/// A change of an object.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChange {
    /// The object after the change, or before it if it was removed.
    pub object: Object,
    /// Whether the object was removed.
    pub is_removed: bool,
}

/// Changes of a collection since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChanges {
    /// Changes in the order of the store's history.
    pub changes: Vec<ObjectChange>,
    /// Position in the store's history up to which the changes are complete.
    pub point: StorePoint,
}

/// Registration of a host of this fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// Name of the host.
    pub host: HostId,
    /// Address at which the host receives reports.
    pub peer_address: SocketAddr,
}

/// Values of a caller's request headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's id of this attempt.
    pub id: String,
    /// Id of the attempt that began the stream, if this one resumes it.
    pub resumed_id: Option<String>,
    /// Requested host name, without a port.
    pub host: String,
    /// Credential of the client account.
    pub credential: Option<String>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Number of prompt tokens, and largest number of answer tokens.
    pub tokens: Option<(u32, u32)>,
    /// Number of answer tokens that the caller expects.
    pub expected_answer_tokens: Option<u32>,
    /// The parts of the prompt, in order; the last part is the request's own.
    pub prompt_parts: Vec<PromptPart>,
}

/// A part of a prompt, which engines cache as a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id in lower-case ASCII.
    pub id: String,
    /// Its number of tokens; 0 if that can't be read.
    pub tokens: u32,
}

/// Values that are sent to a backend server in addition to the caller's headers.
#[derive(Debug, Clone)]
pub struct ForwardContext<'a> {
    /// Backend server that the request is addressed to.
    pub backend: &'a BackendId,
    /// Client account of the caller.
    pub account: Option<&'a AccountId>,
    /// Time that is left for the response.
    pub time_left: Duration,
}

/// Values of a backend server's response head.
#[derive(Debug)]
pub struct BackendResponse {
    /// Id of the attempt that the response belongs to, if it is stated.
    pub id: Option<String>,
    /// Whether the response has the header that only backend servers add.
    pub is_from_backend: bool,
    /// Whether the response states that the request was not run.
    pub is_not_run: bool,
    /// Whether another backend server now has the address.
    pub is_misdirected: bool,
    /// Requests per second that the backend server accepts from all hosts together, if stated.
    pub rate_limit: Result<Option<f64>, DecodeError>,
    /// Number of requests per second that the backend server may have to reject, for lack of room,
    /// before its process crashes, if stated.
    pub rejection_limit: Result<Option<u32>, DecodeError>,
    /// Whether the backend server states that it accepts new requests.
    pub status: BackendStatus,
    /// Time for which the backend server asks this host to send nothing, if it rejected the
    /// request and states one.
    pub backoff: Result<Option<Duration>, DecodeError>,
}

/// An adapter to a platform. Its methods only translate formats.
pub trait Platform: std::fmt::Debug {
    /// Parses the settings of a host.
    ///
    /// # Errors
    /// Fails if a setting is missing or invalid; the error names it.
    fn parse_settings(&self, text: &str) -> Result<HostSettings, DecodeError>;

    /// Returns whether a request is a readiness check.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;

    /// Returns whether a request is a query for the addresses that callers may connect to.
    fn is_address_query(&self, method: &Method, uri: &Uri) -> bool;

    /// Returns the response body of an address query: the addresses and their lifetime.
    fn address_list_body(&self, addresses: &[SocketAddr], valid_for: Duration) -> Bytes;

    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    /// Fails if a header is missing or invalid; the error names it.
    fn parse_caller_request(&self, headers: &HeaderMap) -> Result<CallerRequest, DecodeError>;

    /// Returns the headers for a backend server, derived from the caller's headers.
    fn forwarded_headers(&self, headers: &HeaderMap, forward: &ForwardContext<'_>) -> HeaderMap;

    /// Returns the headers for a peer to which the request is passed on with the time that is left
    /// for the response.
    fn passed_on_headers(&self, headers: &HeaderMap, time_left: Duration) -> HeaderMap;

    /// Parses the head of a backend server's response.
    fn parse_backend_response(&self, status: StatusCode, headers: &HeaderMap) -> BackendResponse;

    /// Returns the path that lists a collection, starting after a name.
    fn list_path(
        &self,
        collection: Collection,
        after: Option<&str>,
        freshness: Freshness,
    ) -> String;

    /// Returns the path that waits for changes of a collection since a revision.
    fn watch_path(&self, collection: Collection, since: u64, wait: Duration) -> String;

    /// Returns the path of one object.
    fn object_path(&self, collection: Collection, name: &str, freshness: Freshness) -> String;

    /// Returns the path of the status of one object.
    fn status_path(&self, collection: Collection, name: &str) -> String;

    /// Parses the store's era from the headers of a response. Returns `None` if it is absent.
    ///
    /// # Errors
    /// Fails if the header is not an era.
    fn parse_store_era(&self, headers: &HeaderMap) -> Result<Option<StoreEra>, DecodeError>;

    /// Parses one object.
    ///
    /// # Errors
    /// Fails if the body is not an object.
    fn parse_object(&self, body: &[u8], era: StoreEra) -> Result<Object, DecodeError>;

    /// Parses a page of a listing.
    ///
    /// # Errors
    /// Fails if the body is not a page.
    fn parse_page(&self, body: &[u8], era: StoreEra) -> Result<ObjectPage, DecodeError>;

    /// Parses the response to a watch.
    ///
    /// # Errors
    /// Fails if the body is not a list of changes.
    fn parse_changes(&self, body: &[u8], era: StoreEra) -> Result<ObjectChanges, DecodeError>;

    /// Parses a configuration.
    ///
    /// # Errors
    /// Fails if the object is not a valid configuration.
    fn parse_configuration(&self, object: &Object) -> Result<Configuration, DecodeError>;

    /// Parses a backend server's registration.
    ///
    /// # Errors
    /// Fails if the object is not a valid registration.
    fn parse_backend(&self, object: &Object) -> Result<BackendRecord, DecodeError>;

    /// Parses a rollout order.
    ///
    /// # Errors
    /// Fails if the object is not a valid order.
    fn parse_rollout(&self, object: &Object) -> Result<RolloutOrder, DecodeError>;

    /// Returns the body of a write of an order's state, on the condition that the store still
    /// has the order's revision.
    fn rollout_status_body(&self, order: &RolloutOrder) -> Bytes;

    /// Parses a host's registration.
    ///
    /// # Errors
    /// Fails if the object is not a valid registration.
    fn parse_host(&self, object: &Object) -> Result<HostRecord, DecodeError>;

    /// Returns the body of a write that creates a host's registration, or that replaces the
    /// registration with the given revision.
    fn host_body(&self, record: &HostRecord, replaces: Option<u64>) -> Bytes;
}
