//! Polls backend servers for load reports.

use std::time::Duration;

use crossbeam::channel::Sender;
use hyper::Method;
use jaypin_core::{BackendId, Event, LoadReport};
use jaypin_http::read_body;
use serde::Deserialize;
use tokio::time::timeout;

use super::connect::request;

/// Longest time for a backend server to deliver its load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest load report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

#[derive(Debug, Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    leaving: bool,
    age_ms: u64,
}

/// Requests the load report of a backend server and sends it to the reducer; a report that
/// fails or is late is skipped.
pub async fn poll_load(backend: BackendId, address: String, events: Sender<Event>) {
    let fetch = async {
        let response = request(&address, Method::GET, "/load").await.ok()??;
        let body = read_body(response.into_body(), MAX_REPORT_BYTES).await?;
        serde_json::from_slice::<Load>(&body).ok()
    };
    if let Ok(Some(load)) = timeout(REPORT_TIMEOUT, fetch).await {
        let report = LoadReport {
            backend,
            running: load.running,
            waiting: load.waiting,
            leaving: load.leaving,
            age: Duration::from_millis(load.age_ms),
        };
        let _ = events.send(Event::Load(report));
    }
}
