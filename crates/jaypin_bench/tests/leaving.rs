//! Hosts and backend servers that leave: no new work, and nothing cut.

mod common;

use std::collections::BTreeMap;

use common::{MAX_WAIT, entry_list, entry_set, until, until_all_alive};
use hyper::StatusCode;
use jaypin_bench::{Client, Fleet, FleetConfig, completion_body};
use jaypin_standin::{Fault, expected_answer};

const HOSTS: usize = 6;
/// Requests in a round that shows where work goes.
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

/// A host is told to leave while it streams an answer. Callers must stop being sent to
/// it at once though the host list still names it, new requests there must be refused
/// as not run with a time to come back, and the stream must end whole.
#[tokio::test]
async fn a_leaving_host_gets_nothing_new_and_cuts_nothing() {
    let mut fleet = fleet().await;
    let client = Client::new(fleet.hosts[2].address, "farm-yilan-secret");
    let caller = client.clone();
    let body = completion_body("cow-small", "a long one", 150, true);
    let stream = tokio::spawn(async move { caller.complete(&body, &[]).await });
    until("the stream runs", || async { ran(&fleet) == 1 }).await;
    fleet.hosts[2].signal("TERM");
    for host in &fleet.hosts {
        until("host-2 left out", || async {
            !entry_set(host).await.contains("host-2")
        })
        .await;
    }
    let body = completion_body("cow-small", "too late here", 4, false);
    let refused = client.complete(&body, &[]).await.expect("an answer");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.json()["outcome"], "not-run");
    assert!(refused.headers.contains_key("retry-after"));
    assert!(!stream.is_finished(), "all this while it streams");
    let answer = stream.await.expect("no panic").expect("an answer");
    assert!(answer.done);
    assert_eq!(answer.text(), expected_answer("a long one", 150));
    assert_eq!(fleet.hosts[2].wait_exit(MAX_WAIT).await, Some(true));
}

/// A backend server says in its load reports that it leaves. The platform is out, so no
/// host list says so. Then the shard's leader dies, and its successor has heard nothing.
#[tokio::test]
async fn a_leaving_backend_server_gets_nothing_new_while_the_platform_is_out() {
    let mut fleet = fleet().await;
    fleet.platform.set_fault(Fault::Out);
    fleet.engines[0].leave();
    until("a round passes it by", || round_without(&fleet, 0)).await;
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

/// Whether an engine got none of a round of requests.
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

fn ran(fleet: &Fleet) -> usize {
    let engines = fleet.engines.iter();
    engines.map(|engine| engine.executions().len()).sum()
}

#[tokio::test]
async fn an_entry_list_begins_with_the_callers_failure_domain() {
    let fleet = fleet().await;
    for (domain, near) in [("domain-0", [0, 3]), ("domain-2", [2, 5])] {
        let list = entry_list(&fleet.hosts[1], &format!("?failure-domain={domain}")).await;
        assert_eq!(list.len(), HOSTS);
        for index in near {
            let name = format!("host-{index}");
            assert!(list[..2].contains(&name), "{list:?}");
        }
    }
}

/// One caller asks for its entry list again and again, and sends each time to the first
/// host. No host may get much more than its part of that.
#[tokio::test]
async fn first_places_are_spread() {
    let fleet = fleet().await;
    let mut firsts = BTreeMap::<String, usize>::new();
    let asks = HOSTS * 10;
    for _ in 0..asks {
        let list = entry_list(&fleet.hosts[0], "").await;
        *firsts.entry(list[0].clone()).or_default() += 1;
    }
    assert!(firsts.values().all(|count| *count <= 13), "{firsts:?}");
}
