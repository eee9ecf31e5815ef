//! Helpers shared by fleet tests: reads of host pages, and waits for conditions.

#![allow(dead_code, reason = "each test file uses only some helpers")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jaypin_bench::{Fleet, Host};
use serde_json::Value;
use tokio::time::{Instant, sleep};

/// Timeout of every wait; long enough for a busy machine.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls a condition until it holds and returns the time that took.
pub async fn until<F: Future<Output = bool>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) -> Duration {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < MAX_WAIT, "not in time: {what}");
        sleep(POLL_INTERVAL).await;
    }
    start.elapsed()
}

/// Returns the status and incarnation of every host, as one host reports them.
pub async fn members(host: &Host) -> BTreeMap<String, (String, u64)> {
    let page = host.page("/members").await;
    let list = page.and_then(|(_, body)| body.as_array().cloned());
    let entry = |value: &Value| {
        let host = value["host"].as_str()?.to_owned();
        let status = value["status"].as_str()?.to_owned();
        Some((host, (status, value["incarnation"].as_u64()?)))
    };
    list.unwrap_or_default().iter().filter_map(entry).collect()
}

/// Returns whether a host reports another host with the given status.
pub async fn sees(host: &Host, other: &str, status: &str) -> bool {
    members(host)
        .await
        .get(other)
        .is_some_and(|(found, _)| found == status)
}

/// Returns whether all given hosts report another host with the given status.
pub async fn all_see(hosts: &[&Host], other: &str, status: &str) -> bool {
    for host in hosts {
        if !sees(host, other, status).await {
            return false;
        }
    }
    true
}

/// Waits until every host reports every host as alive.
pub async fn until_all_alive(fleet: &Fleet) {
    let hosts: Vec<&Host> = fleet.hosts.iter().collect();
    for host in &hosts {
        let what = format!("{} alive everywhere", host.id);
        until(&what, || all_see(&hosts, &host.id, "alive")).await;
    }
}

/// Returns a number from a host's status page; 0 if it is missing.
pub async fn status_number(host: &Host, name: &str) -> u64 {
    let page = host.page("/status").await;
    page.and_then(|(_, body)| body[name].as_u64())
        .unwrap_or_default()
}

/// Returns a counter from a host's links page; 0 if it is missing.
pub async fn link_count(host: &Host, name: &str) -> u64 {
    let page = host.page("/links").await;
    page.and_then(|(_, body)| body[name].as_u64())
        .unwrap_or_default()
}

/// Returns the host names in a host's address list, in preference order.
pub async fn entry_list(host: &Host, query: &str) -> Vec<String> {
    let url = format!("http://{}/v1/entry{query}", host.address);
    let answer = tokio::task::spawn_blocking(move || {
        let response = attohttpc::get(url).timeout(Duration::from_secs(2)).send();
        response.ok()?.json::<Value>().ok()
    });
    let body = answer.await.ok().flatten().unwrap_or_default();
    let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
    let name = |address: &Value| address["host"].as_str().map(str::to_owned);
    addresses.iter().filter_map(name).collect()
}

/// Returns the host names in a host's address list, without their order.
pub async fn entry_set(host: &Host) -> BTreeSet<String> {
    entry_list(host, "").await.into_iter().collect()
}
