//! Polls the hosts for the rule version that is in force.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jaypin_standin::unix_ms;
use tokio::time::sleep;

use crate::Host;
use crate::history::RulesRecord;

/// Interval at which a host is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Rule versions that the hosts reported, shared by the polling tasks.
pub type RulesLog = Arc<Mutex<Vec<RulesRecord>>>;

/// Polls one host until the task is aborted.
///
/// Only one request is open at a time, so that the records of a host stay in order.
pub async fn watch_rules(host: String, operator: std::net::SocketAddr, log: RulesLog) {
    loop {
        sleep(POLL_INTERVAL).await;
        let Some((_, status)) = Host::page_at(operator, "/status").await else {
            continue;
        };
        let Some(version) = status["rules_version"].as_u64() else {
            continue;
        };
        let record = RulesRecord {
            host: host.clone(),
            at_ms: unix_ms(),
            version,
        };
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        log.push(record);
    }
}
