//! What tests of whole fleets share: views of hosts, and waits for conditions.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jaypin_bench::{Fleet, Host};
use serde_json::Value;
use tokio::time::{Instant, sleep};

/// Longest wait for anything: far beyond what it takes, also on a busy machine.
pub const GENEROUS: Duration = Duration::from_secs(30);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Waits until a look shows what is wanted; gives the time that took.
pub async fn until<F: Future<Output = bool>>(what: &str, mut look: impl FnMut() -> F) -> Duration {
    let start = Instant::now();
    while !look().await {
        assert!(start.elapsed() < GENEROUS, "never seen: {what}");
        sleep(LOOK_PAUSE).await;
    }
    start.elapsed()
}

/// Status and incarnation of every host, as one host sees them.
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

/// Whether a host sees another in a status.
pub async fn sees(host: &Host, other: &str, status: &str) -> bool {
    members(host)
        .await
        .get(other)
        .is_some_and(|(found, _)| found == status)
}

/// Whether all of some hosts see another in a status.
pub async fn all_see(hosts: &[&Host], other: &str, status: &str) -> bool {
    for host in hosts {
        if !sees(host, other, status).await {
            return false;
        }
    }
    true
}

/// Waits until every host sees every host alive.
pub async fn until_all_alive(fleet: &Fleet) {
    let hosts: Vec<&Host> = fleet.hosts.iter().collect();
    for host in &hosts {
        let what = format!("{} alive everywhere", host.id);
        until(&what, || all_see(&hosts, &host.id, "alive")).await;
    }
}

/// A number of a host's status page.
pub async fn status_number(host: &Host, name: &str) -> u64 {
    let page = host.page("/status").await;
    page.and_then(|(_, body)| body[name].as_u64())
        .unwrap_or_default()
}

/// A number of a host's link counts.
pub async fn link_count(host: &Host, name: &str) -> u64 {
    let page = host.page("/links").await;
    page.and_then(|(_, body)| body[name].as_u64())
        .unwrap_or_default()
}

/// Names in a host's entry list, best first.
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

/// Names in a host's entry list, in no order.
pub async fn entry_set(host: &Host) -> BTreeSet<String> {
    entry_list(host, "").await.into_iter().collect()
}
