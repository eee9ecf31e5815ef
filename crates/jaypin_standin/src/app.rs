//! A plain application service that writes down each execution.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::task::JoinHandle;

use crate::http::{Body, bind, json, serve, unix_ms};

/// What an application service is like.
#[derive(Debug, Clone)]
pub struct AppConfig {
    /// Address to listen on.
    pub address: String,
    /// How long a call takes.
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

/// One call that was executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppCall {
    /// Id that the caller of the service gave.
    pub id: String,
    /// The idempotency key, empty when there was none.
    pub key: String,
    /// `METHOD /path`.
    pub route: String,
    /// The client account it was made for.
    pub account: String,
    /// When it came, in milliseconds since 1970.
    #[serde(default)]
    pub began_ms: u64,
}

/// A running application service.
#[derive(Debug)]
pub struct App {
    /// Where it listens.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<AppCall>>>,
    server: JoinHandle<()>,
}

impl App {
    /// Starts a service.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(cfg: AppConfig) -> std::io::Result<Self> {
        let (listener, address) = bind(&cfg.address).await?;
        let calls = Arc::new(Mutex::new(Vec::new()));
        let log = calls.clone();
        let server = serve(listener, move |req| execute(cfg.work, log.clone(), req));
        Ok(Self {
            address,
            calls,
            server,
        })
    }

    /// Everything it executed, in order.
    #[must_use]
    pub fn calls(&self) -> Vec<AppCall> {
        self.calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Ends it at once, cutting all connections.
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
    log: Arc<Mutex<Vec<AppCall>>>,
    req: Request<Incoming>,
) -> Response<Body> {
    if req.uri().path() == "/executions" {
        return json(
            StatusCode::OK,
            &*log.lock().unwrap_or_else(PoisonError::into_inner),
        );
    }
    if req.uri().path() == "/load" {
        // Load reports are the engines' protocol; asking for one is no execution.
        return json(StatusCode::NOT_FOUND, &"no load reports");
    }
    let text = |name: &str| {
        let value = req
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let call = AppCall {
        id: text("x-request-id"),
        key: text("idempotency-key"),
        route: format!("{} {}", req.method(), req.uri().path()),
        account: text("x-jaypin-account"),
        began_ms: unix_ms(),
    };
    log.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(call.clone());
    tokio::time::sleep(work).await;
    json(StatusCode::OK, &call)
}
