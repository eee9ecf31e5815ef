//! The commands `jaypin status` and `jaypin drain`.

use std::time::Duration;

use jaypin_bench::{Fleet, FleetConfig, jaypin};
use serde_json::Value;

async fn status(fleet: &Fleet, host: usize) -> Value {
    let address = fleet.hosts[host].operator.to_string();
    let done = jaypin(&["status", "--json", "--host", &address], None).await;
    assert_eq!(done.code, Some(0), "{}", done.stderr);
    serde_json::from_str(&done.stdout).expect("JSON")
}

/// Polls a host's status until it is as expected, and returns it.
async fn until(fleet: &Fleet, host: usize, expected: impl Fn(&Value) -> bool) -> Value {
    for _ in 0..400 {
        let found = status(fleet, host).await;
        if expected(&found) {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("not as expected: {}", status(fleet, host).await);
}

fn state_of(status: &Value, host: &str) -> String {
    let hosts = status["hosts"].as_array().expect("hosts");
    let found = hosts.iter().find(|it| it["host"] == host).expect("a host");
    found["state"].as_str().expect("a state").to_owned()
}

#[tokio::test]
async fn each_shard_is_shown_by_the_host_that_leads_it() {
    let fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    let first = status(&fleet, 0).await;
    assert_eq!(first["suspected_requests"], 0);
    assert_eq!(first["quarantined_requests"], 0);
    let mut shards = Vec::new();
    for host in 0..fleet.hosts.len() {
        let has_all_shards = |status: &Value| {
            let shown = status["shards"].as_array().expect("shards");
            status["shards_led"] == shown.len()
        };
        let found = until(&fleet, host, has_all_shards).await;
        shards.extend(found["shards"].as_array().expect("shards").clone());
    }
    shards.sort_by_key(|shard| shard["shard"].to_string());
    let names: Vec<&Value> = shards.iter().map(|shard| &shard["shard"]).collect();
    assert_eq!(names, ["chat/0", "robots/0"]);
    assert_eq!(shards[0]["backends"][0]["backend"], "engine-0");
    assert_eq!(shards[0]["backends"][0]["state"], "live");
}

#[tokio::test]
async fn a_host_that_does_not_answer_is_shown_as_suspect_or_dead() {
    let fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    until(&fleet, 0, |status| state_of(status, "host-2") == "alive").await;
    fleet.hosts[2].signal("STOP");
    let is_suspect_or_dead =
        |status: &Value| ["suspect", "dead"].contains(&&*state_of(status, "host-2"));
    until(&fleet, 0, is_suspect_or_dead).await;
    fleet.hosts[2].signal("CONT");
}

#[tokio::test]
async fn a_drained_host_exits() {
    let mut fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    let address = fleet.hosts[1].operator.to_string();
    let done = jaypin(&["drain", "--host", &address], None).await;
    assert_eq!(done.stdout.trim(), "draining");
    let ended = fleet.hosts[1].wait_exit(Duration::from_secs(20)).await;
    assert_eq!(ended, Some(true));
}
