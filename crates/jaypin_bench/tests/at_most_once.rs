//! A call that must not be repeated runs at most once under every kind of failure.

mod support;

use std::time::Duration;

use hyper::StatusCode;
use jaypin_bench::Client;
use jaypin_standin::{Proxy, ProxyMode};
use support::{
    WAIT, app, fleet, key_from, keyed, open_gate, reason_and_outcome, repeat_until, spec,
    start_gate, until, yilan,
};

/// Work time longer than any test, so that the call still runs when its host is killed.
const UNFINISHED_WORK: Duration = Duration::from_mins(10);

/// The entry host is killed after it dispatched a call and before it responds; the caller
/// repeats the call at each other host. The service has received the first call, so a second
/// run would open the gate twice. The outcome of the call was known only to the host that
/// held the claim, so the other hosts must respond that it is unknown.
#[tokio::test]
async fn a_host_killed_between_dispatch_and_answer() {
    let app = app(UNFINISHED_WORK).await;
    let mut fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let first = yilan(fleet.hosts[0].address);
    let call = start_gate(&first, &key);
    until("the call runs", || !app.calls().is_empty()).await;
    fleet.hosts[0].kill();
    assert!(call.await.expect("no panic").is_none());
    for host in &fleet.hosts[1..] {
        let unknown = |answer: &jaypin_bench::Answer| reason_and_outcome(answer).0 == "key-unknown";
        let answer = repeat_until(&yilan(host.address), &key, unknown).await;
        assert_eq!(answer.status, StatusCode::CONFLICT);
        assert_eq!(reason_and_outcome(&answer).1, "unknown");
    }
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The killed entry host also owns the key, and restarts as a new incarnation that has no
/// record of it. A host that treated the key as unused would run the call again.
#[tokio::test]
async fn a_key_owner_killed_and_restarted() {
    let app = app(UNFINISHED_WORK).await;
    let mut fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[0], "gate").await;
    let first = yilan(fleet.hosts[0].address);
    let call = start_gate(&first, &key);
    until("the call runs", || !app.calls().is_empty()).await;
    fleet.hosts[0].kill();
    assert!(call.await.expect("no panic").is_none());
    for host in &fleet.hosts[1..] {
        let answer = open_gate(&yilan(host.address), &key)
            .await
            .expect("an answer");
        assert_eq!(
            reason_and_outcome(&answer),
            ("key-unknown".into(), "unknown".into())
        );
    }
    fleet.hosts[0].start().expect("a host process");
    fleet.hosts[0].wait_ready().await.expect("a ready host");
    for host in &fleet.hosts {
        let answer = open_gate(&yilan(host.address), &key)
            .await
            .expect("an answer");
        assert_eq!(
            reason_and_outcome(&answer),
            ("key-unknown".into(), "unknown".into())
        );
    }
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The key's owner is paused for longer than every timeout. Two other hosts meanwhile request
/// a claim on the same key, and the owner finds both requests in its sockets when it resumes.
/// The call would run twice if either host continued without the owner, or if the late
/// grants were used.
#[tokio::test]
async fn a_key_owner_frozen_past_every_timeout_and_resumed() {
    let app = app(Duration::from_millis(20)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let clients = [0, 2].map(|index: usize| yilan(fleet.hosts[index].address));
    fleet.hosts[1].signal("STOP");
    let (left, right) = tokio::join!(open_gate(&clients[0], &key), open_gate(&clients[1], &key));
    for answer in [left, right] {
        let answer = answer.expect("an answer");
        assert_eq!(
            reason_and_outcome(&answer),
            ("key-unknown".into(), "unknown".into())
        );
    }
    assert!(app.calls().is_empty());
    fleet.hosts[1].signal("CONT");
    // Nothing ran, and the hosts that timed out withdrew their claims, so the key can
    // still be used once.
    let ran = |answer: &jaypin_bench::Answer| answer.status == StatusCode::OK;
    for index in [0, 1, 2] {
        repeat_until(&yilan(fleet.hosts[index].address), &key, ran).await;
    }
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The host that holds the claim is paused while its call runs. Another host requests the
/// same key meanwhile and must not run the call; then the first host resumes and responds
/// to its caller.
#[tokio::test]
async fn a_claim_holder_frozen_and_resumed() {
    let app = app(Duration::from_millis(300)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let first = yilan(fleet.hosts[0].address);
    let call = start_gate(&first, &key);
    until("the call runs", || !app.calls().is_empty()).await;
    fleet.hosts[0].signal("STOP");
    let other = yilan(fleet.hosts[2].address);
    let not_run = |answer: &jaypin_bench::Answer| reason_and_outcome(answer).0 == "key-unknown";
    repeat_until(&other, &key, not_run).await;
    fleet.hosts[0].signal("CONT");
    let answer = call.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let replayed = |answer: &jaypin_bench::Answer| answer.status == StatusCode::OK;
    let again = repeat_until(&other, &key, replayed).await;
    assert_eq!(again.body, answer.body);
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The call runs, but its response is dropped by the network. The caller times out and
/// repeats the key at another host, which must replay the stored response.
#[tokio::test]
async fn a_response_lost_in_transit_is_replayed() {
    let app = app(Duration::from_millis(20)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let proxy = Proxy::start("127.0.0.1:0", fleet.hosts[0].address)
        .await
        .expect("a proxy");
    proxy.set(ProxyMode::BlackholeDown);
    let lossy = yilan(proxy.address);
    let call = start_gate(&lossy, &key);
    until("the call runs", || !app.calls().is_empty()).await;
    call.abort();
    let ran = |answer: &jaypin_bench::Answer| answer.status == StatusCode::OK;
    let answer = repeat_until(&yilan(fleet.hosts[2].address), &key, ran).await;
    assert_eq!(answer.headers["x-jaypin-replayed"], "true");
    assert_eq!(answer.json()["key"], key);
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The caller disconnects while its call runs, and then repeats the key at another host.
/// The call must not run again.
#[tokio::test]
async fn a_response_is_replayed_to_a_caller_that_disconnected() {
    let app = app(Duration::from_millis(300)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let first = yilan(fleet.hosts[0].address);
    let call = start_gate(&first, &key);
    until("the call runs", || !app.calls().is_empty()).await;
    call.abort();
    let ran = |answer: &jaypin_bench::Answer| answer.status == StatusCode::OK;
    repeat_until(&yilan(fleet.hosts[2].address), &key, ran).await;
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// A faulty caller sends each call to all hosts at once; each must run only once.
#[tokio::test]
async fn all_hosts_claim_at_once() {
    let app = app(Duration::from_millis(20)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    for round in 0..20 {
        let key = key_from(&fleet.hosts[round % 3], &format!("gate-{round}")).await;
        let calls: Vec<_> = (0..6)
            .map(|index| {
                let client = yilan(fleet.hosts[index % 3].address);
                let key = key.clone();
                tokio::spawn(async move { open_gate(&client, &key).await })
            })
            .collect();
        for call in calls {
            let answer = call.await.expect("no panic").expect("an answer");
            let ran = answer.status == StatusCode::OK;
            assert!(
                ran || reason_and_outcome(&answer).0 == "in-flight",
                "{answer:?}"
            );
        }
        assert_eq!(app.calls().len(), round + 1);
    }
}

/// A key is bound to its account, route and body. A call that differs in one of them must be
/// refused, and another account must not receive the stored response.
#[tokio::test]
async fn a_key_used_for_another_call_is_refused() {
    let app = app(Duration::from_millis(20)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let own = yilan(fleet.hosts[0].address);
    let first = open_gate(&own, &key).await.expect("an answer");
    assert_eq!(first.status, StatusCode::OK);
    let other_account = Client::new(fleet.hosts[2].address, "farm-luodong-secret");
    let others = [
        keyed(&own, &key, r#"{"gate": 8}"#).await,
        open_gate(&other_account, &key).await,
    ];
    for answer in others {
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(
            reason_and_outcome(&answer),
            ("key-mismatch".into(), "not-run".into())
        );
    }
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

#[tokio::test]
async fn a_malformed_key_is_refused_with_a_hint() {
    let app = app(Duration::from_millis(20)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let client = yilan(fleet.hosts[0].address);
    for key in ["gate", "host-0.gate", "host-0-12.gate", "host-0-12.3-"] {
        let answer = open_gate(&client, key).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{key}");
        let message = answer.json()["message"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        assert!(message.contains("GET /v1/entry"), "{message}");
    }
    // These keys are well formed, but no such host or incarnation runs: the calls may have
    // run in the past.
    for key in ["host-9-12.3-gate", "host-0-12.3-gate"] {
        let answer = open_gate(&client, key).await.expect("an answer");
        assert_eq!(
            reason_and_outcome(&answer),
            ("key-unknown".into(), "unknown".into())
        );
    }
    assert!(app.calls().is_empty());
}

/// The backend server refuses the connection. No byte was sent, so the call did not run, and
/// the same key must be usable again.
#[tokio::test]
async fn a_claim_on_a_call_that_was_not_sent_is_released() {
    let stopped = app(Duration::ZERO).await;
    let address = stopped.address;
    stopped.kill();
    drop(stopped);
    let fleet = fleet(vec![spec("app-0", address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let client = yilan(fleet.hosts[0].address);
    let refused = tokio::time::timeout(WAIT, open_gate(&client, &key)).await;
    let refused = refused.expect("in time").expect("an answer");
    assert_eq!(reason_and_outcome(&refused).1, "not-run");
    let cfg = jaypin_standin::AppConfig {
        address: address.to_string(),
        work: Duration::from_millis(20),
    };
    let app = jaypin_standin::App::start(cfg)
        .await
        .expect("the port again");
    let ran = |answer: &jaypin_bench::Answer| answer.status == StatusCode::OK;
    repeat_until(&client, &key, ran).await;
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}
