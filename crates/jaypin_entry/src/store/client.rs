//! Calls to the platform's store.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use jaypin_http::ConnectLimits;
use snafu::Snafu;
use tokio::time::timeout;

use crate::calls::{Connection, DEFAULT_LIMITS, connect, read_whole};
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
    Unreached,
    /// It did not answer in time.
    #[snafu(display("no answer in time"))]
    TimedOut,
    /// It answered with another status than expected.
    #[snafu(display("status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
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
            Self::Unreached => "unreached",
            Self::TimedOut => "timed-out",
            Self::Status { .. } => "status",
            Self::Decode { .. } => "unreadable",
        }
    }

    /// Whether the store does not serve this host; other statuses are answers.
    fn is_outage(&self) -> bool {
        match self {
            Self::Unreached | Self::TimedOut => true,
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

/// A client of the store with one connection, which is made anew after each failure: on
/// one that lost an answer nothing further comes.
#[derive(Debug)]
pub struct StoreClient<'a> {
    host: &'a Host,
    connection: Option<Connection>,
    /// Whether the last call failed.
    is_lost: bool,
}

impl<'a> StoreClient<'a> {
    /// Starts without a connection.
    pub fn new(host: &'a Host) -> Self {
        Self {
            host,
            connection: None,
            is_lost: false,
        }
    }

    /// Reads all objects of a kind, with the revision from which to watch on.
    pub async fn list(
        &mut self,
        kind: Collection,
        freshness: Freshness,
    ) -> Result<(Vec<Object>, u64), StoreError> {
        let mut objects: Vec<Object> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = objects.last().map(|it| it.name.clone());
            let path = self
                .host
                .platform
                .list_path(kind, after.as_deref(), freshness);
            let body = self.get(&path, CALL_TIMEOUT).await?;
            let page: ObjectPage = self.host.platform.page(&body)?;
            let is_empty = page.objects.is_empty();
            objects.extend(page.objects);
            // Changes while pages are read are told again by a watch from the first one on.
            let revision = *first_revision.get_or_insert(page.revision);
            if !page.has_more || is_empty {
                return Ok((objects, revision));
            }
        }
    }

    /// Waits for changes of a kind; gives nothing when that history is gone.
    pub async fn watch(
        &mut self,
        kind: Collection,
        since: u64,
        wait: Duration,
    ) -> Result<Option<ObjectChanges>, StoreError> {
        let path = self.host.platform.watch_path(kind, since, wait);
        match self.get(&path, wait + CALL_TIMEOUT).await {
            Ok(body) => Ok(Some(self.host.platform.changes(&body)?)),
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
    ) -> Result<Bytes, StoreError> {
        self.call(method, path, body, CALL_TIMEOUT).await
    }

    /// Reads from a path.
    pub async fn get(&mut self, path: &str, limit: Duration) -> Result<Bytes, StoreError> {
        self.call(Method::GET, path, Bytes::new(), limit).await
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, StoreError> {
        let kind = if method == Method::GET {
            "read"
        } else {
            "write"
        };
        let made = self.call_on_connection(method, path, body);
        let answer = match timeout(limit, made).await {
            Ok(answer) => answer,
            Err(_) => Err(StoreError::TimedOut),
        };
        let answer = answer.and_then(|(status, body)| match status {
            status if status.is_success() => Ok(body),
            status => Err(StoreError::Status { status }),
        });
        let outcome = answer
            .as_ref()
            .map_or_else(StoreError::as_str, |_| "answered");
        metrics::store_call(kind, outcome);
        let is_outage = answer.as_ref().is_err_and(StoreError::is_outage);
        let was_lost = std::mem::replace(&mut self.is_lost, is_outage);
        if was_lost && !self.is_lost {
            log::info!("the store answers again");
        }
        answer
    }

    async fn call_on_connection(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_open() => connection,
            _ => self.connect().await?,
        };
        let mut req = Request::new(Full::new(body));
        *req.method_mut() = method;
        *req.uri_mut() = path.parse().map_err(|_| StoreError::Unreached)?;
        let headers = req.headers_mut();
        let authority = self.host.settings.store.to_string();
        if let Ok(authority) = HeaderValue::from_str(&authority) {
            headers.insert(HOST, authority);
        }
        let json = HeaderValue::from_static("application/json");
        headers.insert(CONTENT_TYPE, json);
        let response = connection.call(req).await;
        let response = response.map_err(|_| StoreError::Unreached)?;
        let answer = read_whole(response).await.ok_or(StoreError::Unreached)?;
        self.connection = Some(connection);
        Ok((answer.status, answer.body))
    }

    async fn connect(&self) -> Result<Connection, StoreError> {
        let address = self.host.settings.store.to_string();
        let limits = ConnectLimits {
            open: CONNECT_TIMEOUT,
            ..DEFAULT_LIMITS
        };
        let made = connect(&address, limits).await;
        made.map_err(|_| StoreError::Unreached)
    }
}
