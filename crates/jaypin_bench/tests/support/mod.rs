//! What the failure tests share: fleets with their own backend servers, keyed calls.

#![allow(dead_code, reason = "each test program uses a part")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use jaypin_bench::{Answer, BackendSpec, Client, Fleet, FleetConfig, Host};
use jaypin_standin::{App, AppConfig, Engine, EngineConfig};
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Generous bound of every wait.
pub const WAIT: Duration = Duration::from_secs(30);
/// Path of a call that may not be repeated.
pub const GATE: &str = "/v1/services/robots/gate";

/// Starts an application worker that takes `work` for a call.
pub async fn app(work: Duration) -> App {
    let cfg = AppConfig {
        work,
        ..AppConfig::default()
    };
    App::start(cfg).await.expect("an application worker")
}

/// Starts an engine.
pub async fn engine(cfg: EngineConfig) -> Engine {
    Engine::start(cfg).await.expect("an engine")
}

/// Starts three hosts before the backend servers given.
pub async fn fleet(backends: Vec<BackendSpec>) -> Fleet {
    let cfg = FleetConfig {
        engines: Vec::new(),
        apps: 0,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::prepare(cfg).await.expect("stand-ins");
    fleet.backends = backends;
    fleet.publish_hosts();
    for host in &mut fleet.hosts {
        host.start().expect("a host process");
    }
    fleet.wait_ready().await.expect("ready hosts");
    fleet
}

/// Names a backend server of a service.
pub fn spec(id: &str, address: SocketAddr, service: &str) -> BackendSpec {
    BackendSpec {
        id: id.to_owned(),
        address,
        service: service.to_owned(),
        leaving: false,
        slots: 16,
    }
}

/// A key of the caller's own under the prefix that a host gives.
pub async fn key_from(host: &Host, own: &str) -> String {
    let answer = yilan(host.address)
        .call(Method::GET, "/v1/entry", &[], Bytes::new())
        .await
        .expect("an entry list");
    let prefix = answer.json()["key_prefix"].clone();
    format!("{}{own}", prefix.as_str().expect("a prefix"))
}

/// A caller of the account `farm-yilan`.
pub fn yilan(address: SocketAddr) -> Client {
    Client::new(address, "farm-yilan-secret")
}

/// Opens gate 7 under a key; gives nothing when no answer came.
pub async fn open_gate(client: &Client, key: &str) -> Option<Answer> {
    keyed(client, key, r#"{"gate": 7}"#).await
}

/// A keyed call with a body.
pub async fn keyed(client: &Client, key: &str, body: &'static str) -> Option<Answer> {
    let headers = [("idempotency-key", key)];
    let call = client.call(
        Method::POST,
        GATE,
        &headers,
        Bytes::from_static(body.as_bytes()),
    );
    call.await.ok()
}

/// The words `reason` and `outcome` of a refusal.
pub fn words(answer: &Answer) -> (String, String) {
    let body = answer.json();
    let word = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    (word(&body["reason"]), word(&body["outcome"]))
}

/// Repeats a keyed call until `done` accepts its answer.
pub async fn repeat_until(client: &Client, key: &str, done: impl Fn(&Answer) -> bool) -> Answer {
    let deadline = Instant::now() + WAIT;
    loop {
        let answer = open_gate(client, key).await;
        if let Some(answer) = answer.as_ref().filter(|answer| done(answer)) {
            return answer.clone();
        }
        assert!(Instant::now() < deadline, "not in time, last: {answer:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Begins to open the gate under a key; the call goes on beside the test.
pub fn start_gate(client: &Client, key: &str) -> JoinHandle<Option<Answer>> {
    let (client, key) = (client.clone(), key.to_owned());
    tokio::spawn(async move { open_gate(&client, &key).await })
}
