//! Any host explains the decisions on a request to operators, and to callers only for
//! requests of their own account.

use bytes::Bytes;
use hyper::{Method, StatusCode};
use jaypin_bench::{Answer, Client, Fleet, FleetConfig, completion_body, jaypin};
use serde_json::Value;

const TOKEN: &str = "the-operators-token";

async fn fleet(engines: usize) -> Fleet {
    let digest = jaypin_rules::digest_credential(TOKEN);
    let mut cfg = FleetConfig {
        settings: format!("operator-token-digest: {digest}\n"),
        ..FleetConfig::default()
    };
    cfg.engines.truncate(engines);
    Fleet::start(cfg).await.expect("fleet")
}

/// Makes a call through the second host and returns the response and the request's id.
async fn call(fleet: &Fleet) -> (Answer, String) {
    let client = Client::new(fleet.hosts[1].address, "farm-yilan-secret");
    let body = completion_body("cow-small", "How is cow 17?", 8, true);
    let answer = client.complete(&body, &[]).await.expect("an answer");
    let id = answer.headers.get("x-request-id").expect("an id");
    let id = id.to_str().expect("text").to_owned();
    (answer, id)
}

/// Runs `jaypin explain` against the first host, which does not own the request.
async fn explain(fleet: &Fleet, id: &str, more: &[&str]) -> String {
    let host = fleet.hosts[0].operator.to_string();
    let args = [&["explain", id, "--host", &host], more].concat();
    let done = jaypin(&args, Some(TOKEN)).await;
    assert_eq!(done.code, Some(0), "{}", done.stderr);
    done.stdout
}

async fn own_record(fleet: &Fleet, host: usize, credential: &str, id: &str) -> Answer {
    let client = Client::new(fleet.hosts[host].address, credential);
    let path = format!("/v1/explain/{id}");
    let answer = client.call(Method::GET, &path, &[], Bytes::new()).await;
    answer.expect("an answer")
}

#[tokio::test]
async fn a_served_request_is_explained_by_a_host_that_does_not_own_it() {
    let fleet = fleet(2).await;
    let (answer, id) = call(&fleet).await;
    assert!(answer.done);
    let text = explain(&fleet, &id, &[]).await;
    for part in [
        "of account `farm-yilan` for service `chat` in tier `cow-status`",
        "tier `cow-status`, asked by barn team, ticket 115",
        "it was granted slot",
        "first token estimated in",
        "the first token arrived",
        "the complete answer was forwarded to the caller",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    let json: Value = serde_json::from_str(&explain(&fleet, &id, &["--json"]).await).expect("JSON");
    assert_eq!(json["request_id"], id.as_str());
    assert_eq!(json["steps"][0]["step"], "arrived");
}

#[tokio::test]
async fn a_refused_request_is_explained_with_whether_it_ran() {
    let fleet = fleet(0).await;
    let (answer, id) = call(&fleet).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let text = explain(&fleet, &id, &[]).await;
    assert!(
        text.contains("it was refused as `no-backend-server`"),
        "{text}"
    );
    assert!(text.contains("so it was not run"), "{text}");
}

/// A caller of another account has request ids from a leaked log and requests their records.
/// The response must not differ from that for an id that never existed, or it would reveal
/// which requests exist.
#[tokio::test]
async fn a_credential_of_another_account_cannot_read_a_record() {
    let fleet = fleet(2).await;
    let (_, id) = call(&fleet).await;
    for host in 0..3 {
        let own = own_record(&fleet, host, "farm-yilan-secret", &id).await;
        assert_eq!(own.status, StatusCode::OK);
        assert_eq!(own.json()["account"], "farm-yilan");
        let others = own_record(&fleet, host, "farm-jiaoxi-secret", &id).await;
        let missing = own_record(&fleet, host, "farm-jiaoxi-secret", &format!("{id}9")).await;
        assert_eq!(others.status, StatusCode::NOT_FOUND);
        assert_eq!(
            (others.status, &others.body),
            (missing.status, &missing.body)
        );
        let unknown = own_record(&fleet, host, "a-guess", &id).await;
        assert_eq!(unknown.status, StatusCode::UNAUTHORIZED);
    }
}

#[tokio::test]
async fn the_operators_listener_requires_its_token() {
    let fleet = fleet(0).await;
    let host = fleet.hosts[0].operator.to_string();
    for command in [
        ["status"].as_slice(),
        &["drain"],
        &["explain", "host-0-1-1"],
    ] {
        for token in [None, Some("a-guess")] {
            let args = [command, &["--host", &host]].concat();
            let done = jaypin(&args, token).await;
            assert_eq!(done.code, Some(1));
            assert!(done.stderr.contains("the operators' token is expected"));
        }
    }
    let done = jaypin(&["status", "--host", &host], Some(TOKEN)).await;
    assert_eq!(done.code, Some(0), "{}", done.stderr);
    assert!(done.stdout.contains("host-0 in domain-0: serving"));
    let (status, _) = fleet.hosts[0].page("/healthz").await.expect("a page");
    assert_eq!(status, 200);
}

/// A call is sent twice with one key. The record of each must contain the verdict of the key's
/// owner, which shows why the call ran only once.
#[tokio::test]
async fn a_repeated_call_is_explained_by_its_key() {
    let fleet = fleet(0).await;
    let client = Client::new(fleet.hosts[1].address, "farm-yilan-secret");
    let entry = Client::new(fleet.hosts[2].address, "farm-yilan-secret");
    let entry = entry
        .call(Method::GET, "/v1/entry", &[], Bytes::new())
        .await;
    let entry = entry.expect("an answer").json();
    let key = format!("{}gate-4", entry["key_prefix"].as_str().expect("a prefix"));
    for verdict in ["granted", "done"] {
        let headers = [("idempotency-key", key.as_str())];
        let path = "/v1/services/robots/gate";
        let answer = client
            .call(Method::POST, path, &headers, Bytes::new())
            .await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        let id = answer.headers.get("x-request-id").expect("an id");
        let text = explain(&fleet, id.to_str().expect("text"), &[]).await;
        let expected = format!("the host that owns its idempotency key answered `{verdict}`");
        assert!(text.contains(&expected), "{text}");
    }
    assert_eq!(fleet.apps[0].calls().len(), 1);
}
