//! Basic request handling by real host processes: streams, plain calls, a wrong credential
//! and a graceful shutdown.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use jaypin_bench::{Client, Fleet, FleetConfig, completion_body};
use jaypin_standin::expected_answer;

#[tokio::test]
async fn a_stream_through_each_host_is_complete() {
    let fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    for host in &fleet.hosts {
        let text = format!("asked at {}", host.id);
        let body = completion_body("cow-small", &text, 20, true);
        let client = Client::new(host.address, "farm-yilan-secret");
        let answer = client.complete(&body, &[]).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.done);
        assert_eq!(answer.text(), expected_answer(&text, 20));
    }
}

#[tokio::test]
async fn a_plain_call_reaches_its_service_once() {
    let fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    let client = Client::new(fleet.hosts[0].address, "farm-yilan-secret");
    let path = "/v1/services/robots/status";
    let answer = client
        .call(Method::GET, path, &[], Bytes::new())
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let calls = fleet.apps[0].calls();
    assert_eq!(calls.len(), 1);
    assert_eq!(calls[0].route, "GET /status");
    assert_eq!(calls[0].account, "farm-yilan");
}

#[tokio::test]
async fn a_request_with_a_wrong_credential_is_refused_and_not_run() {
    let fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    let client = Client::new(fleet.hosts[0].address, "a-guess");
    let body = completion_body("no-such-model", "hello", 4, false);
    let answer = client.complete(&body, &[]).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    assert_eq!(answer.json()["outcome"], "not-run");
    assert!(
        fleet
            .engines
            .iter()
            .all(|engine| engine.executions().is_empty())
    );
}

#[tokio::test]
async fn a_host_finishes_its_stream_after_sigterm() {
    let mut fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    let client = Client::new(fleet.hosts[0].address, "farm-yilan-secret");
    let body = completion_body("cow-small", "a long one", 60, true);
    let stream = tokio::spawn(async move { client.complete(&body, &[]).await });
    while fleet
        .engines
        .iter()
        .all(|engine| engine.executions().is_empty())
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.hosts[0].signal("TERM");
    let answer = stream.await.expect("no panic").expect("an answer");
    assert!(answer.done);
    assert_eq!(answer.text(), expected_answer("a long one", 60));
    assert_eq!(
        fleet.hosts[0].wait_exit(Duration::from_secs(10)).await,
        Some(true)
    );
}
