//! HTTP client of the platform's store.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use jaypin_http::ConnectTimeouts;
use jaypin_router::{Event, RESPONSE_TIME, Router, StoreEra, StorePoint};
use snafu::Snafu;
use tokio::time::timeout;

use super::listing::{Cursor, Listing};
use crate::admission::HeldBody;
use crate::calls::{BufferedResponse, Connection, DEFAULT_TIMEOUTS, connect, read_response};
use crate::host::Host;
use crate::metrics;
use crate::ports::{Collection, DecodeError, Freshness, Object, ObjectChanges};

/// Timeout of a call that does not wait for changes. The store responds within milliseconds,
/// and within a few hundred when it is slow; a dead connection is detected after this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a call to the store failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The request could not be built, and nothing was sent.
    #[snafu(display("the request for a path of {length} bytes could not be built"))]
    InvalidRequest {
        /// Length of the path and query, in bytes.
        length: usize,
    },
    /// The store could not be reached, or the connection failed during the call.
    #[snafu(display("the connection to the store failed"))]
    ConnectionFailed,
    /// The store did not respond in time.
    #[snafu(display("the store did not respond within {} ms", limit.as_millis()))]
    TimedOut {
        /// Time for which the response was waited for.
        limit: Duration,
    },
    /// The response has a status other than success.
    #[snafu(display("expected a success, found status {status}"))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// The response states an earlier era than a previous one did, or none.
    #[snafu(display("expected era {known} or a later one, found {stated:?}"))]
    OutdatedEra {
        /// Era of this response, if it states one.
        stated: Option<StoreEra>,
        /// Newest era that the store stated.
        known: StoreEra,
    },
    /// A listing ended before an object that has to be read, or its pages belong to too many histories.
    #[snafu(display("the listing could not be read to its end"))]
    IncompleteListing,
    /// The response could not be decoded.
    #[snafu(display("{source}"))]
    Decode {
        /// What could not be decoded.
        source: DecodeError,
    },
}

impl StoreError {
    /// Returns the error as the outcome label of metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Self::InvalidRequest { .. } => "not-sent",
            Self::ConnectionFailed => "unreached",
            Self::TimedOut { .. } => "timed-out",
            Self::Status { .. } => "status",
            Self::OutdatedEra { .. } => "former-era",
            Self::IncompleteListing => "incomplete",
            Self::Decode { .. } => "unreadable",
        }
    }

    /// Returns whether the store does not serve this host. Other statuses are valid responses.
    fn is_outage(&self) -> bool {
        match self {
            Self::ConnectionFailed | Self::TimedOut { .. } | Self::OutdatedEra { .. } => true,
            Self::Status { status } => {
                status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS
            }
            Self::InvalidRequest { .. } | Self::IncompleteListing | Self::Decode { .. } => false,
        }
    }

    /// Returns whether the call was made, so that its failure says something of the store.
    pub fn was_sent(&self) -> bool {
        !matches!(self, Self::InvalidRequest { .. })
    }

    /// Returns whether the store rejected the request as such, so that it would reject it again.
    fn is_rejection(&self) -> bool {
        matches!(self, Self::Status { status } if status.is_client_error()) && !self.is_outage()
    }
}

impl From<DecodeError> for StoreError {
    fn from(source: DecodeError) -> Self {
        Self::Decode { source }
    }
}

/// A successful response of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// Era of the history that the response belongs to.
    pub era: StoreEra,
    /// The whole body.
    pub body: Bytes,
}

/// A client of the store with one connection, which is replaced after each failure: a
/// connection that lost a response delivers nothing further.
#[derive(Debug)]
pub struct StoreClient<'a> {
    host: &'a Host,
    connection: Option<Connection>,
    /// Whether the last call showed an outage of the store.
    is_unavailable: bool,
}

impl<'a> StoreClient<'a> {
    /// Creates a client without a connection.
    pub fn new(host: &'a Host) -> Self {
        Self {
            host,
            connection: None,
            is_unavailable: false,
        }
    }

    /// Reads the objects of a collection, page by page, and keeps what `read` returns of each.
    ///
    /// A listing that can't be continued returns what was read, without an error: the objects that
    /// follow are as unknown to a later attempt.
    pub async fn list<T>(
        &mut self,
        collection: Collection,
        freshness: Freshness,
        mut read: impl FnMut(Object) -> Option<T>,
    ) -> Result<Listing<T>, StoreError> {
        let mut items = Vec::new();
        let mut oldest_point: Option<StorePoint> = None;
        let mut cursor = Cursor::default();
        loop {
            let platform = &self.host.platform;
            let path = platform.list_path(collection, cursor.name(), freshness);
            let response = self.get(&path, CALL_TIMEOUT).await;
            if let (Some(point), Err(error)) = (oldest_point, &response)
                && error.is_rejection()
            {
                log::warn!(collection:?, after = cursor.name(), error:%; "a page of a listing was rejected; using the pages before it");
                return Ok(Listing {
                    items,
                    point,
                    is_complete: false,
                });
            }
            let StoreResponse { era, body } = response?;
            let page = self.host.platform.parse_page(&body, era)?;
            // Pages of two histories do not make a consistent listing, so it starts again.
            if oldest_point.is_some_and(|it| it.era != era) {
                if !cursor.restart() {
                    return Err(StoreError::IncompleteListing);
                }
                items.clear();
                oldest_point = None;
                continue;
            }
            // A watch from the point of the oldest page returns all changes that any page lacks.
            let point = oldest_point.map_or(page.point, |it| it.min(page.point));
            oldest_point = Some(point);
            let is_complete = !page.has_more;
            let can_continue = cursor.advance(&page);
            items.extend(page.objects.into_iter().filter_map(&mut read));
            if is_complete || !can_continue {
                if !is_complete {
                    log::warn!(collection:?, after = cursor.name(); "a listing can't be continued; using the pages that were read");
                }
                return Ok(Listing {
                    items,
                    point,
                    is_complete,
                });
            }
        }
    }

    /// Waits for changes of a collection. Returns `None` if the store no longer has the history
    /// since the given point.
    ///
    /// A watch that gets no response in time is repeated over a new connection: on one that lost a
    /// response, the change that it should have returned would be missed until the call times out.
    pub async fn watch(
        &mut self,
        collection: Collection,
        since: StorePoint,
        wait: Duration,
    ) -> Result<Option<ObjectChanges>, StoreError> {
        let path = self
            .host
            .platform
            .watch_path(collection, since.revision, wait);
        let response = match self.get(&path, wait + RESPONSE_TIME).await {
            Err(StoreError::TimedOut { limit }) => {
                let silent_ms = limit.as_millis();
                log::warn!(collection:?, silent_ms; "a watch is silent; repeating it over another connection");
                let (platform, revision) = (&self.host.platform, since.revision);
                let path = platform.watch_path(collection, revision, Duration::ZERO);
                self.get(&path, CALL_TIMEOUT).await
            }
            other => other,
        };
        match response {
            // A new history may have passed the revision already, so changes before it would
            // be missing.
            Ok(response) if response.era != since.era => Ok(None),
            Ok(response) => {
                let changes = self
                    .host
                    .platform
                    .parse_changes(&response.body, response.era)?;
                Ok(Some(changes))
            }
            Err(StoreError::Status { status }) if status == StatusCode::GONE => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes a body to a path.
    pub async fn write(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<StoreResponse, StoreError> {
        self.call(method, path, body, CALL_TIMEOUT).await
    }

    /// Reads a path.
    pub async fn get(&mut self, path: &str, limit: Duration) -> Result<StoreResponse, StoreError> {
        self.call(Method::GET, path, Bytes::new(), limit).await
    }

    /// Makes one call, counts it, and logs the end of an outage.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let kind = if method == Method::GET {
            "read"
        } else {
            "write"
        };
        let exchange = self.exchange(method, path, body);
        let response = match timeout(limit, exchange).await {
            Ok(response) => response,
            Err(_) => Err(StoreError::TimedOut { limit }),
        };
        let response = response.and_then(|response| self.check_era(response));
        let outcome = response
            .as_ref()
            .map_or_else(StoreError::as_str, |_| "answered");
        metrics::store_call(kind, outcome);
        let is_outage = response.as_ref().is_err_and(StoreError::is_outage);
        let was_unavailable = std::mem::replace(&mut self.is_unavailable, is_outage);
        if was_unavailable && !self.is_unavailable {
            log::info!("store calls succeed again");
        }
        response
    }

    /// Sends a request and reads the whole response, on the kept connection or a new one.
    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<BufferedResponse, StoreError> {
        let length = path.len();
        let uri = path
            .parse()
            .map_err(|_| StoreError::InvalidRequest { length })?;
        let mut req = Request::new(HeldBody::from(body));
        *req.method_mut() = method;
        *req.uri_mut() = uri;
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_open() => connection,
            _ => self.connect().await?,
        };
        let headers = req.headers_mut();
        let authority = self.host.settings.store_address.to_string();
        if let Ok(authority) = HeaderValue::from_str(&authority) {
            headers.insert(HOST, authority);
        }
        let json = HeaderValue::from_static("application/json");
        headers.insert(CONTENT_TYPE, json);
        let response = connection.call(req).await;
        let response = response.map_err(|_| StoreError::ConnectionFailed)?;
        let response = read_response(response)
            .await
            .ok_or(StoreError::ConnectionFailed)?;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Checks the era of a successful response, and reports a new one to the reducer.
    ///
    /// Guards against a response from a former history that arrives late: its content may have
    /// been lost since, and its revisions may have been reused.
    fn check_era(&self, response: BufferedResponse) -> Result<StoreResponse, StoreError> {
        let status = response.status;
        if !status.is_success() {
            return Err(StoreError::Status { status });
        }
        let stated = self.host.platform.parse_store_era(&response.headers)?;
        let known = self.host.read(Router::stated_era);
        let era = match (stated, known) {
            (stated, Some(known)) if stated < Some(known) => {
                return Err(StoreError::OutdatedEra { stated, known });
            }
            // A store that never stated an era has a single history.
            (stated, _) => stated.unwrap_or_default(),
        };
        if stated != known {
            if let Some(former) = known {
                log::warn!(era, former; "the store has a new era: its history was replaced");
            }
            self.host.apply(Event::StoreEra(era));
        }
        Ok(StoreResponse {
            era,
            body: response.body,
        })
    }

    async fn connect(&self) -> Result<Connection, StoreError> {
        let address = self.host.settings.store_address.to_string();
        let limits = ConnectTimeouts {
            connect: CONNECT_TIMEOUT,
            ..DEFAULT_TIMEOUTS
        };
        let connected = connect(&address, limits).await;
        connected.map_err(|_| StoreError::ConnectionFailed)
    }
}
