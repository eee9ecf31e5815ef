//! Asks hosts, again and again, which rule version is in force.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jaypin_standin::unix_ms;
use tokio::time::sleep;

use crate::Host;
use crate::history::RulesRecord;

/// Pause between two questions to a host.
const PAUSE: Duration = Duration::from_millis(200);

/// Records that grow while hosts are asked.
pub type RulesLog = Arc<Mutex<Vec<RulesRecord>>>;

/// Asks one host until the task is aborted; one question at a time keeps the order.
pub async fn watch_rules(host: String, operator: std::net::SocketAddr, log: RulesLog) {
    loop {
        sleep(PAUSE).await;
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
