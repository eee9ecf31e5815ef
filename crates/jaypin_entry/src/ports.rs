//! What an adapter to a platform translates; decisions, state and timers stay here.

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

/// What could not be decoded, in words for logs and callers.
#[derive(Debug, Snafu)]
#[snafu(display("{message}"))]
pub struct DecodeError {
    /// What is wrong.
    pub message: String,
}

impl DecodeError {
    /// Says what is wrong.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(), }
    }
}

/// Settings of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain it stands in.
    pub failure_domain: FailureDomain,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether the host is ready.
    pub readiness_address: SocketAddr,
    /// Where callers ask which addresses to use.
    pub directory_address: SocketAddr,
    /// Where operators and scrapers connect.
    pub operator_address: Option<SocketAddr>,
    /// Where peers send their reports.
    pub peer_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Descriptors that the process may have open.
    pub max_open_files: u64,
    /// How long an entry answer may hold at most.
    pub max_address_list_ttl: Duration,
    /// Bounds that hold for the fleet.
    pub bounds: Bounds,
}

/// A kind of object in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Collection {
    /// What operators configure; one object.
    Configuration,
    /// Backend servers, each registered by itself.
    Backends,
    /// Hosts of this fleet, each registered by itself.
    Hosts,
    /// Orders for new versions, one object a service.
    Rollouts,
}

/// How new an answer of the store has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As of the moment at which it was asked.
    Newest,
    /// It may be seconds old, and costs the store less.
    AllowStale,
}

/// An object of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Object {
    /// Its name within its kind.
    pub name: String,
    /// Of its last change, in the store's history.
    pub point: StorePoint,
    /// What its author wrote.
    pub content: Value,
    /// What the fleet wrote of it.
    pub status: Value,
}

/// A page of a listing.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectPage {
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether there are more behind the last one.
    pub has_more: bool,
    /// When they were so, in the store's history.
    pub point: StorePoint,
}

/// A change of an object.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChange {
    /// The object as it is now, or was last.
    pub object: Object,
    /// Whether it was removed.
    pub is_removed: bool,
}

/// What changed since a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectChanges {
    /// The changes, in order.
    pub changes: Vec<ObjectChange>,
    /// The point up to which they are told.
    pub point: StorePoint,
}

/// A host of this fleet, as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRecord {
    /// Name of the host.
    pub host: HostId,
    /// Where it takes reports.
    pub peer_address: SocketAddr,
}

/// What a caller's header says besides method and path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's id of this try.
    pub id: String,
    /// Host name that it asks for.
    pub host: String,
    /// Its credential.
    pub credential: Option<String>,
    /// How long it waits.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: Option<(u32, u32)>,
    /// Tokens of the answer, as the caller expects them.
    pub expected_answer_tokens: Option<u32>,
}

/// What a backend server is told besides the caller's own header.
#[derive(Debug, Clone)]
pub struct ForwardContext<'a> {
    /// The backend server that is meant.
    pub backend: &'a BackendId,
    /// The caller's account.
    pub account: Option<&'a AccountId>,
    /// Time that is left for the answer.
    pub time_left: Duration,
}

/// What the header of a backend server's answer says.
#[derive(Debug)]
pub struct BackendResponse {
    /// The id of the try that it answers, where it says so.
    pub id: Option<String>,
    /// Whether it bears a backend server's mark.
    pub is_from_backend: bool,
    /// Whether it states that the request was not run.
    pub is_not_run: bool,
    /// Whether another backend server has the address.
    pub is_misdirected: bool,
    /// Requests a second that it takes from all hosts together, where it says so.
    pub rate_limit: Result<Option<f64>, DecodeError>,
    /// Whether the backend server takes new requests, by its own word.
    pub status: BackendStatus,
    /// Time for which it wants nothing from this host, where it turned the request away and
    /// says so.
    pub backoff: Result<Option<Duration>, DecodeError>,
}

/// An adapter to a platform: translation and nothing else.
pub trait Platform: std::fmt::Debug {
    /// Reads the settings of a host.
    ///
    /// # Errors
    /// Names everything that is missing or wrong.
    fn parse_settings(&self, text: &str) -> Result<HostSettings, DecodeError>;

    /// Whether a request asks if the host is ready.
    fn is_readiness_check(&self, method: &Method, uri: &Uri) -> bool;

    /// Whether a request asks which addresses to use.
    fn is_address_query(&self, method: &Method, uri: &Uri) -> bool;

    /// The answer to that question.
    fn address_list_body(&self, addresses: &[SocketAddr], valid_for: Duration) -> Bytes;

    /// Reads a caller's header.
    ///
    /// # Errors
    /// Says which header makes no sense.
    fn parse_caller_request(&self, headers: &HeaderMap) -> Result<CallerRequest, DecodeError>;

    /// The header for a backend server, from the caller's own.
    fn forwarded_headers(&self, headers: &HeaderMap, forward: &ForwardContext<'_>) -> HeaderMap;

    /// Reads the header of a backend server's answer.
    fn parse_backend_response(&self, status: StatusCode, headers: &HeaderMap) -> BackendResponse;

    /// Path that lists a kind, from behind a name on.
    fn list_path(&self, kind: Collection, after: Option<&str>, freshness: Freshness) -> String;

    /// Path that waits for changes of a kind since a revision.
    fn watch_path(&self, kind: Collection, since: u64, wait: Duration) -> String;

    /// Path of one object.
    fn object_path(&self, kind: Collection, name: &str) -> String;

    /// Path of what the fleet says of one object.
    fn status_path(&self, kind: Collection, name: &str) -> String;

    /// Reads the store's era off the header of one of its answers; nothing where it states none.
    ///
    /// # Errors
    /// Says why it is no era.
    fn parse_store_era(&self, headers: &HeaderMap) -> Result<Option<StoreEra>, DecodeError>;

    /// Reads one object.
    ///
    /// # Errors
    /// Says what makes no sense.
    fn parse_object(&self, body: &[u8], era: StoreEra) -> Result<Object, DecodeError>;

    /// Reads a page of a listing.
    ///
    /// # Errors
    /// Says what makes no sense.
    fn parse_page(&self, body: &[u8], era: StoreEra) -> Result<ObjectPage, DecodeError>;

    /// Reads the answer of a watch.
    ///
    /// # Errors
    /// Says what makes no sense.
    fn parse_changes(&self, body: &[u8], era: StoreEra) -> Result<ObjectChanges, DecodeError>;

    /// Reads a configuration.
    ///
    /// # Errors
    /// Says what makes no sense.
    fn parse_configuration(&self, object: &Object) -> Result<Configuration, DecodeError>;

    /// Reads what a backend server states of itself.
    ///
    /// # Errors
    /// Says what makes no sense.
    fn parse_backend(&self, object: &Object) -> Result<BackendRecord, DecodeError>;

    /// Reads an order for a new version.
    ///
    /// # Errors
    /// Says what makes no sense.
    fn parse_rollout(&self, object: &Object) -> Result<RolloutOrder, DecodeError>;

    /// The body that writes the state of an order, if the store still has its revision.
    fn rollout_status_body(&self, order: &RolloutOrder) -> Bytes;

    /// Reads a host's registration.
    ///
    /// # Errors
    /// Says what makes no sense.
    fn parse_host(&self, object: &Object) -> Result<HostRecord, DecodeError>;

    /// The body that creates a host's registration, or replaces the one of a revision.
    fn host_body(&self, record: &HostRecord, replaces: Option<u64>) -> Bytes;
}
