//! Helpers shared by failure tests: fleets with given backend servers, and calls with an
//! idempotency key.

#![allow(dead_code, reason = "each test program uses only some helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use jaypin_bench::{Answer, BackendSpec, Client, Fleet, FleetConfig, Host};
use jaypin_standin::{App, AppConfig, Engine, EngineConfig};
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Timeout of every wait; long enough for a busy machine.
pub const WAIT: Duration = Duration::from_secs(30);
/// Path of a call that must not run twice.
pub const GATE: &str = "/v1/services/robots/gate";

/// Starts an application worker that needs the time `work` for each call.
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

/// Starts three hosts that use the given backend servers.
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

/// Returns the specification of a backend server with 16 slots.
pub fn spec(id: &str, address: SocketAddr, service: &str) -> BackendSpec {
    BackendSpec {
        id: id.to_owned(),
        address,
        service: service.to_owned(),
        leaving: false,
        slots: 16,
    }
}

/// Returns an idempotency key that has the prefix issued by a host.
pub async fn key_from(host: &Host, own: &str) -> String {
    let answer = yilan(host.address)
        .call(Method::GET, "/v1/entry", &[], Bytes::new())
        .await
        .expect("an entry list");
    let prefix = answer.json()["key_prefix"].clone();
    format!("{}{own}", prefix.as_str().expect("a prefix"))
}

/// Returns a client of the account `farm-yilan`.
pub fn yilan(address: SocketAddr) -> Client {
    Client::new(address, "farm-yilan-secret")
}

/// Opens gate 7 under a key; returns `None` if no response came.
pub async fn open_gate(client: &Client, key: &str) -> Option<Answer> {
    keyed(client, key, r#"{"gate": 7}"#).await
}

/// Calls the gate route with a key and a body; returns `None` if no response came.
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

/// Returns the members `reason` and `outcome` of a refusal's body.
pub fn reason_and_outcome(answer: &Answer) -> (String, String) {
    let body = answer.json();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    (text(&body["reason"]), text(&body["outcome"]))
}

/// Repeats a keyed call until `done` accepts the response.
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

/// Starts a call in the background that opens the gate under a key.
pub fn start_gate(client: &Client, key: &str) -> JoinHandle<Option<Answer>> {
    let (client, key) = (client.clone(), key.to_owned());
    tokio::spawn(async move { open_gate(&client, &key).await })
}
