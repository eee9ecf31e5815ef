//! Each caller gets the complete answer to its own request, or an explicit error.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use jaypin_bench::{Answer, Client, completion_body};
use jaypin_standin::{Engine, EngineConfig, Proxy, ProxyMode, expected_answer};
use support::{
    GATE, app, engine, fleet, key_from, open_gate, reason_and_outcome, spec, start_gate, until,
    yilan,
};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How long a fault lasts; no assertion depends on it.
const FAULT_DURATION: Duration = Duration::from_millis(100);
/// Tokens of a stream that lasts long enough to be interrupted in the middle.
const TOKENS: u64 = 60;

fn start_stream(client: &Client, text: &str, tokens: u64) -> JoinHandle<Option<Answer>> {
    let (client, text) = (client.clone(), text.to_owned());
    tokio::spawn(async move {
        let body = completion_body("cow-small", &text, tokens, true);
        // This tier may wait, so the limit on concurrent streams of a new engine has no effect.
        let tier = [("x-jaypin-tier", "herd-summary")];
        client.complete(&body, &tier).await.ok()
    })
}

async fn proxied(engine: &Engine) -> Proxy {
    Proxy::start("127.0.0.1:0", engine.address)
        .await
        .expect("a proxy")
}

fn generated(engine: &Engine) -> u64 {
    engine
        .executions()
        .iter()
        .map(|execution| execution.generated)
        .sum()
}

fn assert_complete(answer: &Answer, text: &str, tokens: u64) {
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    assert_eq!(answer.text(), expected_answer(text, tokens));
    assert!(answer.done && !answer.broken && answer.error.is_none());
}

/// Defines a test for each fault between a host and an engine while eight callers of two
/// accounts read streams. The connection to the engine breaks or becomes silent in the
/// middle of an answer while the engine continues. Each answer must be complete: no token
/// twice, none missing, none of another caller's. The engine must run each request once.
macro_rules! interrupted_streams {
    ($($name:ident: $faults:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                streams_under(&$faults).await;
            }
        )*
    };
}

interrupted_streams! {
    a_cut_stream_is_resumed: [ProxyMode::Cut];
    a_stream_cut_twice_is_resumed: [ProxyMode::Cut, ProxyMode::Cut];
    a_silent_stream_is_resumed: [ProxyMode::BlackholeOpen];
    a_cut_and_then_silent_stream_is_resumed: [ProxyMode::Cut, ProxyMode::BlackholeOpen];
    a_stalled_stream_is_resumed: [ProxyMode::Freeze];
}

async fn streams_under(faults: &[ProxyMode]) {
    let engine = engine(EngineConfig::default()).await;
    let proxy = proxied(&engine).await;
    let fleet = fleet(vec![spec("engine-0", proxy.address, "chat")]).await;
    let callers: Vec<_> = (0..8)
        .map(|index: usize| {
            let credential = ["farm-yilan-secret", "farm-luodong-secret"][index % 2];
            let client = Client::new(fleet.hosts[index % 3].address, credential);
            // Two callers of different accounts send the same prompt.
            let text = format!("cow {}", index / 2);
            (start_stream(&client, &text, TOKENS), text)
        })
        .collect();
    for (index, fault) in faults.iter().enumerate() {
        let enough = 80 * (index as u64 + 1);
        until("streams under way", || generated(&engine) >= enough).await;
        proxy.set(*fault);
        sleep(FAULT_DURATION).await;
        proxy.set(ProxyMode::Pass);
    }
    for (call, text) in callers {
        let answer = call.await.expect("no panic").expect("an answer");
        assert_complete(&answer, &text, TOKENS);
    }
    assert_eq!(engine.executions().len(), 8);
}

/// The connection becomes silent before the response header arrives.
#[tokio::test]
async fn a_stream_that_is_silent_from_the_start_is_resumed() {
    let engine = engine(EngineConfig::default()).await;
    let proxy = proxied(&engine).await;
    let fleet = fleet(vec![spec("engine-0", proxy.address, "chat")]).await;
    proxy.set(ProxyMode::BlackholeDown);
    let call = start_stream(&yilan(fleet.hosts[0].address), "cow 1", 5);
    until("the engine generated all tokens", || {
        generated(&engine) == 5
    })
    .await;
    proxy.set(ProxyMode::Pass);
    let answer = call.await.expect("no panic").expect("an answer");
    assert_complete(&answer, "cow 1", 5);
    assert_eq!(engine.executions().len(), 1);
}

/// The engine crashes in the middle of an answer while another engine is free. Running the
/// request there would run it twice, and ending the stream without an error would present
/// half an answer as a complete one.
#[tokio::test]
async fn a_stream_that_cannot_be_completed_ends_in_a_marked_error() {
    let engines = [
        engine(EngineConfig::default()).await,
        engine(EngineConfig::default()).await,
    ];
    let fleet = fleet(vec![
        spec("engine-0", engines[0].address, "chat"),
        spec("engine-1", engines[1].address, "chat"),
    ])
    .await;
    let call = start_stream(&yilan(fleet.hosts[0].address), "cow 1", 1_000);
    let total = || engines.iter().map(generated).sum::<u64>();
    until("a stream under way", || total() >= 10).await;
    let serving = usize::from(engines[0].executions().is_empty());
    engines[serving].kill();
    let answer = call.await.expect("no panic").expect("an answer");
    assert!(answer.broken && !answer.done);
    let error = answer.error.expect("a marked error");
    assert_eq!(error["reason"], "backend-server-lost");
    assert_eq!(error["outcome"], "unknown");
    let expected = expected_answer("cow 1", 1_000);
    let text: String = answer
        .events
        .iter()
        .map(|event| event.text.as_str())
        .collect();
    assert!(expected.starts_with(&text) && !text.is_empty());
    assert!(engines[1 - serving].executions().is_empty());
}

/// Every connection to the engine is cut, so the stream cannot be resumed.
#[tokio::test]
async fn a_stream_that_stays_cut_ends_in_a_marked_error() {
    let engine = engine(EngineConfig::default()).await;
    let proxy = proxied(&engine).await;
    let fleet = fleet(vec![spec("engine-0", proxy.address, "chat")]).await;
    let call = start_stream(&yilan(fleet.hosts[0].address), "cow 1", 1_000);
    until("a stream under way", || generated(&engine) >= 10).await;
    proxy.set(ProxyMode::Cut);
    let answer = call.await.expect("no panic").expect("an answer");
    assert!(answer.broken && !answer.done);
    assert_eq!(answer.error.expect("a marked error")["outcome"], "unknown");
}

/// The engine crashes before it sends a response header. The caller must get an error,
/// whether it requested a stream or not.
#[tokio::test]
async fn a_crash_before_the_response_header_is_reported() {
    let cfg = EngineConfig {
        crash_downtime: Some(Duration::from_millis(200)),
        ..EngineConfig::default()
    };
    let engine = engine(cfg).await;
    let fleet = fleet(vec![spec("engine-0", engine.address, "chat")]).await;
    for stream in [true, false] {
        let body = completion_body("cow-small", &format!("POISON {stream}"), 5, stream);
        let client = yilan(fleet.hosts[0].address);
        let answer = client.complete(&body, &[]).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert_eq!(
            reason_and_outcome(&answer),
            ("backend-server-lost".into(), "unknown".into())
        );
    }
}

/// The caller disconnects. The engine must stop generating, since nobody reads the answer.
#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_request_at_the_engine() {
    let engine = engine(EngineConfig::default()).await;
    let fleet = fleet(vec![spec("engine-0", engine.address, "chat")]).await;
    let call = start_stream(&yilan(fleet.hosts[0].address), "cow 1", 1_000);
    until("a stream under way", || generated(&engine) >= 10).await;
    call.abort();
    until("cancelled", || engine.executions()[0].cancelled).await;
}

/// An engine is stopped and the host list still names it. No byte was sent on the refused
/// connection, so the request must be run by the other engine.
#[tokio::test]
async fn a_request_moves_to_another_engine_after_a_refused_connection() {
    let engines = [
        engine(EngineConfig::default()).await,
        engine(EngineConfig::default()).await,
    ];
    let fleet = fleet(vec![
        spec("engine-0", engines[0].address, "chat"),
        spec("engine-1", engines[1].address, "chat"),
    ])
    .await;
    engines[0].kill();
    let calls: Vec<_> = (0..12)
        .map(|index: usize| {
            let text = format!("cow {index}");
            let client = yilan(fleet.hosts[index % 3].address);
            (start_stream(&client, &text, 5), text)
        })
        .collect();
    for (call, text) in calls {
        assert_complete(&call.await.expect("no panic").expect("an answer"), &text, 5);
    }
    assert_eq!(engines[1].executions().len(), 12);
}

/// An engine rejects a request as malformed. This response must reach the caller and not be
/// treated as a failure of the engine.
#[tokio::test]
async fn a_client_error_of_an_engine_is_forwarded() {
    let engine = engine(EngineConfig::default()).await;
    let fleet = fleet(vec![spec("engine-0", engine.address, "chat")]).await;
    let body = Bytes::from_static(br#"{"model": "cow-small", "prompt": "x", "max_tokens": null}"#);
    let client = yilan(fleet.hosts[0].address);
    let call = client.call(Method::POST, "/v1/completions", &[], body);
    let answer = call.await.expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert_eq!(answer.json(), "not a completion request");
}

/// The connection to a plain service is cut during a call. The call may have run, so it must
/// be neither run again nor reported as `not-run`.
#[tokio::test]
async fn a_plain_call_cut_after_sending_is_unknown() {
    let app = app(Duration::from_mins(10)).await;
    let proxy = Proxy::start("127.0.0.1:0", app.address)
        .await
        .expect("a proxy");
    let fleet = fleet(vec![spec("app-0", proxy.address, "robots")]).await;
    let key = key_from(&fleet.hosts[1], "gate").await;
    let client = yilan(fleet.hosts[0].address);
    let call = start_gate(&client, &key);
    until("the call runs", || !app.calls().is_empty()).await;
    proxy.set(ProxyMode::Cut);
    let answer = call.await.expect("no panic").expect("an answer");
    assert_eq!(
        reason_and_outcome(&answer),
        ("backend-server-lost".into(), "unknown".into())
    );
    proxy.set(ProxyMode::Pass);
    let again = open_gate(&client, &key).await.expect("an answer");
    assert_eq!(
        reason_and_outcome(&again),
        ("key-unknown".into(), "unknown".into())
    );
    assert_eq!(app.calls().len(), 1, "{GATE}: {:?}", app.calls());
}
