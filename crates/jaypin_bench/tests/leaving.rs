//! Hosts and backend servers that leave get no new work, and finish what they run.

mod common;

use std::collections::BTreeMap;

use common::{MAX_WAIT, entry_list, entry_set, until, until_all_alive};
use hyper::StatusCode;
use jaypin_bench::{Client, Fleet, FleetConfig, completion_body};
use jaypin_standin::{Fault, expected_answer};

const HOSTS: usize = 6;
/// Requests in a round that shows which engines get work.
const ROUND: usize = 12;

async fn fleet() -> Fleet {
    let cfg = FleetConfig {
        hosts: HOSTS,
        apps: 0,
        settings: "report-interval-ms: 100\n".to_owned(),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(cfg).await.expect("fleet");
    until_all_alive(&fleet).await;
    fleet
}

/// A host gets SIGTERM while it streams a response. The address lists must omit it at once
/// although the host list still names it, new requests there must be refused as not run with
/// a `retry-after` header, and the stream must be complete.
#[tokio::test]
async fn a_leaving_host_refuses_new_requests_and_finishes_its_stream() {
    let mut fleet = fleet().await;
    let client = Client::new(fleet.hosts[2].address, "farm-yilan-secret");
    let caller = client.clone();
    let body = completion_body("cow-small", "a long one", 150, true);
    let stream = tokio::spawn(async move { caller.complete(&body, &[]).await });
    until("the stream runs", || async { execution_count(&fleet) == 1 }).await;
    fleet.hosts[2].signal("TERM");
    for host in &fleet.hosts {
        until("host-2 omitted", || async {
            !entry_set(host).await.contains("host-2")
        })
        .await;
    }
    let body = completion_body("cow-small", "too late here", 4, false);
    let refused = client.complete(&body, &[]).await.expect("an answer");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.json()["outcome"], "not-run");
    assert!(refused.headers.contains_key("retry-after"));
    assert!(!stream.is_finished(), "the stream still runs");
    let answer = stream.await.expect("no panic").expect("an answer");
    assert!(answer.done);
    assert_eq!(answer.text(), expected_answer("a long one", 150));
    assert_eq!(fleet.hosts[2].wait_exit(MAX_WAIT).await, Some(true));
}

/// A backend server reports in its load reports that it is leaving. The platform is down, so
/// no host list contains this. Then the shard's leader is killed; its successor has received
/// no such report yet and must not send work there either.
#[tokio::test]
async fn a_leaving_backend_server_gets_no_work_while_the_platform_is_down() {
    let mut fleet = fleet().await;
    fleet.platform.set_fault(Fault::Unavailable);
    fleet.engines[0].announce_leaving();
    until("a round without work for it", || round_without(&fleet, 0)).await;
    for _ in 0..3 {
        assert!(round_without(&fleet, 0).await);
    }
    for leader in 0..HOSTS {
        if common::status_number(&fleet.hosts[leader], "shards_led").await > 0 {
            fleet.hosts[leader].kill();
            break;
        }
    }
    for _ in 0..3 {
        assert!(round_without(&fleet, 0).await, "by the successor");
    }
}

/// Sends a round of requests and returns whether an engine got none of them.
async fn round_without(fleet: &Fleet, engine: usize) -> bool {
    let before = fleet.engines[engine].executions().len();
    for index in 0..ROUND {
        let host = &fleet.hosts[index % HOSTS];
        if host.pid().is_none() {
            continue;
        }
        let client = Client::new(host.address, "farm-yilan-secret");
        let body = completion_body("cow-small", &format!("{index}"), 2, false);
        let answer = client.complete(&body, &[]).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
    fleet.engines[engine].executions().len() == before
}

fn execution_count(fleet: &Fleet) -> usize {
    let engines = fleet.engines.iter();
    engines.map(|engine| engine.executions().len()).sum()
}

#[tokio::test]
async fn an_entry_list_begins_with_the_callers_failure_domain() {
    let fleet = fleet().await;
    for (domain, nearby) in [("domain-0", [0, 3]), ("domain-2", [2, 5])] {
        let list = entry_list(&fleet.hosts[1], &format!("?failure-domain={domain}")).await;
        assert_eq!(list.len(), HOSTS);
        for index in nearby {
            let name = format!("host-{index}");
            assert!(list[..2].contains(&name), "{list:?}");
        }
    }
}

/// A caller reads its address list 60 times and uses the first host each time. No host may
/// be first more than 13 times, or it would get far more than its share of the requests.
#[tokio::test]
async fn first_entries_are_spread_over_hosts() {
    let fleet = fleet().await;
    let mut firsts = BTreeMap::<String, usize>::new();
    let reads = HOSTS * 10;
    for _ in 0..reads {
        let list = entry_list(&fleet.hosts[0], "").await;
        *firsts.entry(list[0].clone()).or_default() += 1;
    }
    assert!(firsts.values().all(|count| *count <= 13), "{firsts:?}");
}
