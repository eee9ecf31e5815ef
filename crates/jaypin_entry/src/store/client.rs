//! Calls to the platform's store.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use jaypin_http::ConnectTimeouts;
use jaypin_router::{Event, Router, StoreEra, StorePoint};
use snafu::Snafu;
use tokio::time::timeout;

use crate::calls::{BufferedResponse,Connection, DEFAULT_TIMEOUTS, connect, read_response};
use crate::host::Host;
use crate::metrics;
use crate::ports::{Collection, DecodeError, Freshness, Object, ObjectChanges, ObjectPage};

/// Time for a call that the store answers at once. It answers in milliseconds, and in some
/// hundred when it is slow; a connection that went silent is noticed after this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a call gave nothing.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// It could not be reached, or broke off.
    #[snafu(display("no connection"))]
    ConnectionFailed,
    /// It did not answer in time.
    #[snafu(display("no response in time"))]
    TimedOut,
    /// It answered with another status than expected.
    #[snafu(display("status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// Its answer states an earlier era than one before, or none.
    #[snafu(display("era {stated:?} after {known}"))]
    OutdatedEra {
        /// The era.
        stated: Option<StoreEra>,
        /// The newest one that the store stated.
        known: StoreEra,
    },
    /// Its answer makes no sense.
    #[snafu(display("{source}"))]
    Decode {
        /// What makes no sense.
        source: DecodeError,
    },
}

impl StoreError {
    /// The error in one word.
    fn as_str(&self) -> &'static str {
        match self {
            Self::ConnectionFailed => "unreached",
            Self::TimedOut => "timed-out",
            Self::Status { .. } => "status",
            Self::OutdatedEra { .. } => "former-era",
            Self::Decode { .. } => "unreadable",
        }
    }

    /// Whether the store does not serve this host; other statuses are answers.
    fn is_outage(&self) -> bool {
        match self {
            Self::ConnectionFailed | Self::TimedOut | Self::OutdatedEra { .. } => true,
            Self::Status { status } => {
                status.is_server_error() || *status == StatusCode::TOO_MANY_REQUESTS
            }
            Self::Decode { .. } => false,
        }
    }
}

impl From<DecodeError> for StoreError {
    fn from(source: DecodeError) -> Self {
        Self::Decode { source }
    }
}

/// An answer of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// The history that it speaks of.
    pub era: StoreEra,
    /// Its body.
    pub body: Bytes,
}

/// A client of the store with one connection, which is made anew after each failure: on
/// one that lost an answer nothing further comes.
#[derive(Debug)]
pub struct StoreClient<'a> {
    host: &'a Host,
    connection: Option<Connection>,
    /// Whether the last call failed.
    is_unavailable: bool,
}

impl<'a> StoreClient<'a> {
    /// Starts without a connection.
    pub fn new(host: &'a Host) -> Self {
        Self {
            host,
            connection: None,
            is_unavailable: false,
        }
    }

    /// Reads all objects of a kind, with the point from which to watch on.
    pub async fn list(
        &mut self,
        kind: Collection,
        freshness: Freshness,
    ) -> Result<(Vec<Object>, StorePoint), StoreError> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first_point: Option<StorePoint> = None;
        loop {
            let after = objects.last().map(|it| it.name.clone());
            let path = self
                .host
                .platform
                .list_path(kind, after.as_deref(), freshness);
            let StoreResponse { era, body } = self.get(&path, CALL_TIMEOUT).await?;
            let page: ObjectPage = self.host.platform.parse_page(&body, era)?;
            // Pages of two histories make no listing.
            if first_point.is_some_and(|it| it.era != era) {
                objects.clear();
                first_point = None;
                continue;
            }
            let is_empty = page.objects.is_empty();
            objects.extend(page.objects);
            // Changes while pages are read are told again by a watch from the first one on.
            let point = *first_point.get_or_insert(page.point);
            if !page.has_more || is_empty {
                return Ok((objects, point));
            }
        }
    }

    /// Waits for changes of a kind; gives nothing when that history is gone.
    pub async fn watch(
        &mut self,
        kind: Collection,
        since: StorePoint,
        wait: Duration,
    ) -> Result<Option<ObjectChanges>, StoreError> {
        let path = self.host.platform.watch_path(kind, since.revision, wait);
        match self.get(&path, wait + CALL_TIMEOUT).await {
            // The new history may have reached the revision, and lacks what lies between.
            Ok(response) if response.era != since.era => Ok(None),
            Ok(response) => {
                let changes = self.host.platform.parse_changes(&response.body, response.era)?;
                Ok(Some(changes))
            }
            Err(StoreError::Status { status }) if status == StatusCode::GONE => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes to a path.
    pub async fn write(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<StoreResponse, StoreError> {
        self.call(method, path, body, CALL_TIMEOUT).await
    }

    /// Reads from a path.
    pub async fn get(&mut self, path: &str, limit: Duration) -> Result<StoreResponse, StoreError> {
        self.call(Method::GET, path, Bytes::new(), limit).await
    }

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
            Err(_) => Err(StoreError::TimedOut),
        };
        let response = response.and_then(|response| self.check_era(response));
        let outcome = response
            .as_ref()
            .map_or_else(StoreError::as_str, |_| "answered");
        metrics::store_call(kind, outcome);
        let is_outage = response.as_ref().is_err_and(StoreError::is_outage);
        let was_unavailable = std::mem::replace(&mut self.is_unavailable, is_outage);
        if was_unavailable && !self.is_unavailable {
            log::info!("the store answers again");
        }
        response
    }

    async fn exchange(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<BufferedResponse, StoreError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_open() => connection,
            _ => self.connect().await?,
        };
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().map_err(|_| StoreError::ConnectionFailed)?;
        let headers = req.headers_mut();
        let authority = self.host.settings.store_address.to_string();
        if let Ok(authority) = HeaderValue::from_str(&authority) {
            headers.insert(HOST, authority);
        }
        let json = HeaderValue::from_static("application/json");
        headers.insert(CONTENT_TYPE, json);
        let response = connection.call(req).await;
        let response = response.map_err(|_| StoreError::ConnectionFailed)?;
        let response = read_response(response).await.ok_or(StoreError::ConnectionFailed)?;
        self.connection = Some(connection);
        Ok(response)
    }

    /// Finds the era of a success, and lets the decisions know it.
    ///
    /// Guards against an answer of a former history that arrives late: what it says may have
    /// been lost since, and its revisions may have been given out again.
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
            // One that never stated any has one history.
            (stated, _) => stated.unwrap_or_default(),
        };
        if stated != known {
            if let Some(former) = known {
                log::warn!(era, former; "the store came back with another history");
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
