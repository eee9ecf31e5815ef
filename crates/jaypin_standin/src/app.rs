//! A test double of an application service. It records every call that it executes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;

use crate::http::{Body, bind, json, serve, unix_ms};

/// Configuration of an application service.
#[derive(Debug, Clone)]
pub struct AppConfig {
    /// Address to listen on, as `IP:PORT`; port 0 picks a free port.
    pub address: String,
    /// Time that each call takes.
    pub work: Duration,
}

impl Default for AppConfig {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            work: Duration::from_millis(20),
        }
    }
}

/// One call that the service executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppCall {
    /// Request ID from the header `x-request-id`, empty if there is none.
    pub id: String,
    /// Idempotency key from the header `idempotency-key`, empty if there is none.
    pub key: String,
    /// HTTP method and path, as `METHOD /path`.
    pub route: String,
    /// Client account from the header `x-jaypin-account`, empty if there is none.
    pub account: String,
    /// Arrival time in milliseconds since the Unix epoch.
    #[serde(default)]
    pub began_ms: u64,
}

/// A running application service; dropping it stops the server.
#[derive(Debug)]
pub struct App {
    /// Address on which the service listens.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<AppCall>>>,
    server: JoinHandle<()>,
}

impl App {
    /// Starts an application service.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start(cfg: AppConfig) -> std::io::Result<Self> {
        let (listener, address) = bind(&cfg.address).await?;
        let calls = Arc::new(Mutex::new(Vec::new()));
        let shared = calls.clone();
        let server = serve(listener, move |req| execute(cfg.work, shared.clone(), req));
        Ok(Self {
            address,
            calls,
            server,
        })
    }

    /// Returns all calls that the service executed, in order of arrival.
    #[must_use]
    pub fn calls(&self) -> Vec<AppCall> {
        self.calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Stops the service immediately and closes all connections.
    pub fn kill(&self) {
        self.server.abort();
    }
}

impl Drop for App {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn execute(
    work: Duration,
    calls: Arc<Mutex<Vec<AppCall>>>,
    req: Request<Incoming>,
) -> Response<Body> {
    if req.uri().path() == "/executions" {
        return json(
            StatusCode::OK,
            &*calls.lock().unwrap_or_else(PoisonError::into_inner),
        );
    }
    if req.uri().path() == "/load" {
        // Only engines serve load reports, so a request for one isn't recorded as an executed call.
        return json(StatusCode::NOT_FOUND, &"no load reports");
    }
    let header = |name: &str| {
        let value = req
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let call = AppCall {
        id: header("x-request-id"),
        key: header("idempotency-key"),
        route: format!("{} {}", req.method(), req.uri().path()),
        account: header("x-jaypin-account"),
        began_ms: unix_ms(),
    };
    calls
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(call.clone());
    tokio::time::sleep(work).await;
    json(StatusCode::OK, &call)
}
