//! A shard's leader fails while requests wait and run, and every caller gets its answer.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{MAX_WAIT, status_number, until, until_all_alive};
use jaypin_bench::{Answer, Client, Fleet, FleetConfig, completion_body};
use jaypin_standin::{Engine, EngineConfig, expected_answer};
use tokio::task::JoinSet;
use tokio::time::timeout;

const HOSTS: usize = 6;
const REQUESTS: usize = 120;
const TOKENS: u64 = 12;

async fn fleet() -> Fleet {
    let engine = EngineConfig {
        slots: 16,
        gap: Duration::from_millis(10),
        ..EngineConfig::default()
    };
    let cfg = FleetConfig {
        hosts: HOSTS,
        engines: vec![engine; 2],
        apps: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(cfg).await.expect("fleet");
    until_all_alive(&fleet).await;
    fleet
}

async fn leader(fleet: &Fleet) -> usize {
    for (index, host) in fleet.hosts.iter().enumerate() {
        if status_number(host, "shards_led").await > 0 {
            return index;
        }
    }
    panic!("no host leads the shard");
}

fn text(index: usize) -> String {
    format!("request {index}")
}

/// Sends requests through all hosts except `excluded`.
fn send(fleet: &Fleet, excluded: usize) -> JoinSet<(usize, Answer)> {
    let mut requests = JoinSet::new();
    let hosts = fleet.hosts.iter().enumerate();
    let addresses: Vec<_> = hosts
        .filter(|(index, _)| *index != excluded)
        .map(|(_, host)| host.address)
        .collect();
    for index in 0..REQUESTS {
        let client = Client::new(addresses[index % addresses.len()], "farm-yilan-secret");
        requests.spawn(async move {
            let body = completion_body("cow-small", &text(index), TOKENS, true);
            let headers = [("x-jaypin-tier", "herd-summary")];
            let answer = client.complete(&body, &headers).await.expect("an answer");
            (index, answer)
        });
    }
    requests
}

/// Checks that every request gets its own complete answer, and that none ran twice.
async fn check(fleet: &Fleet, mut requests: JoinSet<(usize, Answer)>) {
    while let Some(answered) = timeout(MAX_WAIT, requests.join_next())
        .await
        .expect("in time")
    {
        let (index, answer) = answered.expect("no panic");
        assert!(answer.done, "request {index}: {:?}", answer.json());
        assert_eq!(answer.text(), expected_answer(&text(index), TOKENS));
    }
    let engines = fleet.engines.iter();
    let ran: Vec<String> = engines
        .flat_map(Engine::executions)
        .map(|execution| execution.id)
        .collect();
    let distinct: BTreeSet<&String> = ran.iter().collect();
    assert_eq!(ran.len(), REQUESTS);
    assert_eq!(distinct.len(), REQUESTS);
}

/// The leader's process is killed while requests run and wait. Without a successor to which
/// the owners report, waiting requests would be refused or never answered.
#[tokio::test]
async fn every_request_is_answered_after_the_leader_is_killed() {
    let mut fleet = fleet().await;
    let leader = leader(&fleet).await;
    let requests = send(&fleet, leader);
    until("some run", || async { execution_count(&fleet) > 10 }).await;
    fleet.hosts[leader].kill();
    check(&fleet, requests).await;
}

/// The leader is frozen while requests run and wait, and resumes while its successor leads.
/// Two leaders at a time must not run a request twice.
#[tokio::test]
async fn every_request_is_answered_after_the_leader_is_frozen() {
    let fleet = fleet().await;
    let leader = leader(&fleet).await;
    let requests = send(&fleet, leader);
    until("some run", || async { execution_count(&fleet) > 10 }).await;
    fleet.hosts[leader].signal("STOP");
    until("another leads", || async {
        for (index, host) in fleet.hosts.iter().enumerate() {
            if index != leader && status_number(host, "shards_led").await > 0 {
                return true;
            }
        }
        false
    })
    .await;
    fleet.hosts[leader].signal("CONT");
    check(&fleet, requests).await;
    until_all_alive(&fleet).await;
}

fn execution_count(fleet: &Fleet) -> usize {
    let engines = fleet.engines.iter();
    engines.map(|engine| engine.executions().len()).sum()
}
