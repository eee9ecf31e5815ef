//! Polls backend servers for load reports.

use std::time::Duration;

use crossbeam::channel::Sender;
use http_body_util::BodyExt;
use hyper::Method;
use jaypin_core::{BackendId, Event, LoadReport};
use serde::Deserialize;
use tokio::time::timeout;

use super::connect::request;

/// Longest time for a backend server to deliver its load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

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
        let body = response.into_body().collect().await.ok()?.to_bytes();
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
