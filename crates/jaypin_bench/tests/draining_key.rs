//! A repeated key at a leaving host, after the call ran through another host.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use jaypin_bench::{Client, Fleet, FleetConfig, Host, completion_body};
use tokio::time::{Instant, sleep};

const GATE: &str = "/v1/services/robots/gate";
/// Timeout of every wait; long enough for a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(20);

async fn until_draining(host: &Host) {
    let deadline = Instant::now() + MAX_WAIT;
    while Instant::now() < deadline {
        let status = host.page("/status").await;
        if status.is_some_and(|(_, status)| status["draining"] == true) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("{} did not report that it is draining", host.id);
}

/// A call runs through one host and its response is lost. The caller repeats the key at
/// another host, which is leaving and refuses all new work. If that host responded with
/// `not-run`, the caller would repeat the call under a new key and it would run twice. The
/// key's owner has the response, so the leaving host must return it.
#[tokio::test]
async fn a_leaving_host_replays_the_response_of_a_key_that_ran() {
    let fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    let first = Client::new(fleet.hosts[0].address, "farm-yilan-secret");
    let leaving = Client::new(fleet.hosts[1].address, "farm-yilan-secret");
    // This stream keeps the leaving host's process running during the test.
    let stream = leaving.clone();
    let open_stream = tokio::spawn(async move {
        let body = completion_body("cow-small", "a long one", 2_000, true);
        stream
            .complete(&body, &[("x-jaypin-tier", "herd-summary")])
            .await
    });
    let deadline = Instant::now() + MAX_WAIT;
    while fleet.engines.iter().all(|one| one.executions().is_empty()) {
        assert!(Instant::now() < deadline, "the stream never began");
        sleep(Duration::from_millis(5)).await;
    }
    let entry = first
        .call(Method::GET, "/v1/entry", &[], Bytes::new())
        .await;
    let entry = entry.expect("an entry list").json();
    let key = format!("{}gate-1", entry["key_prefix"].as_str().expect("a prefix"));
    let headers = [("idempotency-key", key.as_str())];
    let opened = first.call(Method::POST, GATE, &headers, Bytes::new()).await;
    assert_eq!(opened.expect("an answer").status, StatusCode::OK);
    fleet.hosts[1].signal("TERM");
    until_draining(&fleet.hosts[1]).await;
    let again = leaving
        .call(Method::POST, GATE, &headers, Bytes::new())
        .await;
    let again = again.expect("an answer");
    assert_eq!(again.status, StatusCode::OK);
    assert_eq!(again.json()["route"], "POST /gate");
    let status = "/v1/services/robots/status";
    let look_up = leaving.call(Method::GET, status, &[], Bytes::new()).await;
    let look_up = look_up.expect("an answer").json();
    assert_eq!(look_up["reason"], "draining");
    assert_eq!(look_up["outcome"], "not-run");
    assert_eq!(fleet.apps[0].calls().len(), 1);
    open_stream.abort();
}
