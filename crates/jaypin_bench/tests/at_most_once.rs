//! A call that may not be repeated runs at most once, whatever fails.

mod support;

use std::time::Duration;

use hyper::StatusCode;
use jaypin_bench::Client;
use jaypin_standin::{Proxy, ProxyMode};
use support::{
    WAIT, app, fleet, key_from, keyed, open_gate, repeat_until, spec, start_gate, until, words,
    yilan,
};

/// Longer than any test: the call is still running when its host dies.
const NEVER_ENDS: Duration = Duration::from_mins(10);

/// A farmer opens a gate, the entry host dies before it answers, and the farmer's
/// program repeats the call at each other host. The gate service took the first call;
/// a second run would open the gate twice. The cause: the claim's holder died with the
/// knowledge of what became of the call.
#[tokio::test]
async fn a_host_killed_between_dispatch_and_answer() {
    let app = app(NEVER_ENDS).await;
    let mut fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let first = yilan(fleet.hosts[0].address);
    let call = start_gate(&first, &key);
    until("the call runs", || !app.calls().is_empty()).await;
    fleet.hosts[0].kill();
    assert!(call.await.expect("no panic").is_none());
    for host in &fleet.hosts[1..] {
        let unknown = |answer: &jaypin_bench::Answer| words(answer).0 == "key-unknown";
        let answer = repeat_until(&yilan(host.address), &key, unknown).await;
        assert_eq!(answer.status, StatusCode::CONFLICT);
        assert_eq!(words(&answer).1, "unknown");
    }
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The same, but the host that dies also owns the key, and comes back as a new
/// incarnation that knows nothing of it.
#[tokio::test]
async fn a_key_owner_killed_and_restarted() {
    let app = app(NEVER_ENDS).await;
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
        assert_eq!(words(&answer), ("key-unknown".into(), "unknown".into()));
    }
    fleet.hosts[0].start().expect("a host process");
    fleet.hosts[0].wait_ready().await.expect("a ready host");
    for host in &fleet.hosts {
        let answer = open_gate(&yilan(host.address), &key)
            .await
            .expect("an answer");
        assert_eq!(words(&answer), ("key-unknown".into(), "unknown".into()));
    }
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The key's owner is paused longer than every timeout, two other hosts ask it to
/// claim the same key meanwhile, and it wakes up with both claims in its sockets. If
/// either host had gone on without it, or the late grants were used, the gate would
/// open twice.
#[tokio::test]
async fn a_key_owner_frozen_past_every_timeout_and_thawed() {
    let app = app(Duration::from_millis(20)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let clients = [0, 2].map(|index: usize| yilan(fleet.hosts[index].address));
    fleet.hosts[1].signal("STOP");
    let (left, right) = tokio::join!(open_gate(&clients[0], &key), open_gate(&clients[1], &key));
    for answer in [left, right] {
        let answer = answer.expect("an answer");
        assert_eq!(words(&answer), ("key-unknown".into(), "unknown".into()));
    }
    assert!(app.calls().is_empty());
    fleet.hosts[1].signal("CONT");
    // Nothing ran, and the hosts that gave up said so: the key can still be used, once.
    let ran = |answer: &jaypin_bench::Answer| answer.status == StatusCode::OK;
    for index in [0, 1, 2] {
        repeat_until(&yilan(fleet.hosts[index].address), &key, ran).await;
    }
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The host that holds the claim is paused while its call runs. Another host asks for
/// the same key meanwhile; then the first wakes up and answers its caller.
#[tokio::test]
async fn a_claim_holder_frozen_and_thawed() {
    let app = app(Duration::from_millis(300)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let first = yilan(fleet.hosts[0].address);
    let call = start_gate(&first, &key);
    until("the call runs", || !app.calls().is_empty()).await;
    fleet.hosts[0].signal("STOP");
    let other = yilan(fleet.hosts[2].address);
    let not_run = |answer: &jaypin_bench::Answer| words(answer).0 == "key-unknown";
    repeat_until(&other, &key, not_run).await;
    fleet.hosts[0].signal("CONT");
    let answer = call.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    let replayed = |answer: &jaypin_bench::Answer| answer.status == StatusCode::OK;
    let again = repeat_until(&other, &key, replayed).await;
    assert_eq!(again.body, answer.body);
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

/// The call runs and is answered, but the answer never reaches the caller: something on
/// the way drops it. The caller gives up and repeats the key at another host.
#[tokio::test]
async fn an_answer_lost_on_its_way_is_given_again() {
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

/// The caller leaves while its call runs; its program repeats the key.
#[tokio::test]
async fn a_caller_that_left_finds_its_answer_under_the_key() {
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

/// A program with a bug sends each command to all hosts at once.
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
            assert!(ran || words(&answer).0 == "in-flight", "{answer:?}");
        }
        assert_eq!(app.calls().len(), round + 1);
    }
}

/// A key is tied to its account, route and body, and says nothing to others.
#[tokio::test]
async fn a_key_used_for_another_call_is_refused() {
    let app = app(Duration::from_millis(20)).await;
    let fleet = fleet(vec![spec("app-0", app.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let own = yilan(fleet.hosts[0].address);
    let first = open_gate(&own, &key).await.expect("an answer");
    assert_eq!(first.status, StatusCode::OK);
    let stranger = Client::new(fleet.hosts[2].address, "farm-luodong-secret");
    let others = [
        keyed(&own, &key, r#"{"gate": 8}"#).await,
        open_gate(&stranger, &key).await,
    ];
    for answer in others {
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
        assert_eq!(words(&answer), ("key-mismatch".into(), "not-run".into()));
    }
    assert_eq!(app.calls().len(), 1, "{:?}", app.calls());
}

#[tokio::test]
async fn a_key_of_another_form_is_explained() {
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
    // Well formed, but no such host or incarnation lives: it may have run long ago.
    for key in ["host-9-12.3-gate", "host-0-12.3-gate"] {
        let answer = open_gate(&client, key).await.expect("an answer");
        assert_eq!(words(&answer), ("key-unknown".into(), "unknown".into()));
    }
    assert!(app.calls().is_empty());
}

/// The backend server refuses the connection: no byte left, so "not run" is true and
/// the same key may be used again.
#[tokio::test]
async fn a_claim_of_a_call_that_was_not_sent_is_given_back() {
    let gone = app(Duration::ZERO).await;
    let address = gone.address;
    gone.kill();
    drop(gone);
    let fleet = fleet(vec![spec("app-0", address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let client = yilan(fleet.hosts[0].address);
    let refused = tokio::time::timeout(WAIT, open_gate(&client, &key)).await;
    let refused = refused.expect("in time").expect("an answer");
    assert_eq!(words(&refused).1, "not-run");
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
