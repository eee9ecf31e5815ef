//! Each caller gets the whole answer to its own request, or is told that it can't.

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

/// How long a fault lasts; nothing is proved by it.
const FAULT: Duration = Duration::from_millis(100);
/// Tokens of a stream that lives long enough to be broken in its middle.
const TOKENS: u64 = 60;

fn start_stream(client: &Client, text: &str, tokens: u64) -> JoinHandle<Option<Answer>> {
    let (client, text) = (client.clone(), text.to_owned());
    tokio::spawn(async move {
        let body = completion_body("cow-small", &text, tokens, true);
        // A tier that may wait: how many streams a new engine gets at once is not at issue.
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

fn assert_whole(answer: &Answer, text: &str, tokens: u64) {
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    assert_eq!(answer.text(), expected_answer(text, tokens));
    assert!(answer.done && !answer.broken && answer.error.is_none());
}

/// Names a test for each fault between a host and an engine, while eight callers of two
/// accounts read. A vet reads an answer; its connection to the engine breaks or goes
/// silent in the middle; the answer must still be whole, no token twice, none missing,
/// none of another caller's. The engine ran each request once and went on meanwhile.
macro_rules! broken_streams {
    ($($name:ident: $faults:expr;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                streams_under(&$faults).await;
            }
        )*
    };
}

broken_streams! {
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
            // Two callers of different accounts ask the same.
            let text = format!("cow {}", index / 2);
            (start_stream(&client, &text, TOKENS), text)
        })
        .collect();
    for (index, fault) in faults.iter().enumerate() {
        let enough = 80 * (index as u64 + 1);
        until("streams under way", || generated(&engine) >= enough).await;
        proxy.set(*fault);
        sleep(FAULT).await;
        proxy.set(ProxyMode::Pass);
    }
    for (call, text) in callers {
        let answer = call.await.expect("no panic").expect("an answer");
        assert_whole(&answer, &text, TOKENS);
    }
    assert_eq!(engine.executions().len(), 8);
}

/// The connection goes silent before the head of the answer came.
#[tokio::test]
async fn a_stream_that_is_silent_from_the_start_is_resumed() {
    let engine = engine(EngineConfig::default()).await;
    let proxy = proxied(&engine).await;
    let fleet = fleet(vec![spec("engine-0", proxy.address, "chat")]).await;
    proxy.set(ProxyMode::BlackholeDown);
    let call = start_stream(&yilan(fleet.hosts[0].address), "cow 1", 5);
    until("the engine made all", || generated(&engine) == 5).await;
    proxy.set(ProxyMode::Pass);
    let answer = call.await.expect("no panic").expect("an answer");
    assert_whole(&answer, "cow 1", 5);
    assert_eq!(engine.executions().len(), 1);
}

/// The engine dies in the middle of an answer and another engine is free. Running the
/// request there would run it twice; ending quietly would pass half an answer for a
/// whole one.
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
    let runs_on = usize::from(engines[0].executions().is_empty());
    engines[runs_on].kill();
    let answer = call.await.expect("no panic").expect("an answer");
    assert!(answer.broken && !answer.done);
    let error = answer.error.expect("a marked error");
    assert_eq!(error["reason"], "backend-server-lost");
    assert_eq!(error["outcome"], "unknown");
    let whole = expected_answer("cow 1", 1_000);
    let text: String = answer
        .events
        .iter()
        .map(|event| event.text.as_str())
        .collect();
    assert!(whole.starts_with(&text) && !text.is_empty());
    assert!(engines[1 - runs_on].executions().is_empty());
}

/// The engine's connections are cut again and again and nothing gets through.
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

/// The engine crashes before it said a word: the caller must hear of it, streamed or not.
#[tokio::test]
async fn a_crash_before_the_head_is_answered() {
    let cfg = EngineConfig {
        crash_for: Some(Duration::from_millis(200)),
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

/// A farmer closes the page: the engine must not go on for nobody.
#[tokio::test]
async fn a_caller_that_leaves_cancels_at_the_engine() {
    let engine = engine(EngineConfig::default()).await;
    let fleet = fleet(vec![spec("engine-0", engine.address, "chat")]).await;
    let call = start_stream(&yilan(fleet.hosts[0].address), "cow 1", 1_000);
    until("a stream under way", || generated(&engine) >= 10).await;
    call.abort();
    until("cancelled", || engine.executions()[0].cancelled).await;
}

/// An engine is gone and the host list does not know yet: no byte left, so the request
/// is run by the other one.
#[tokio::test]
async fn a_refused_connection_is_no_refusal() {
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
        assert_whole(&call.await.expect("no panic").expect("an answer"), &text, 5);
    }
    assert_eq!(engines[1].executions().len(), 12);
}

/// An engine refuses a request as wrong: that is an answer, not a fault of the engine.
#[tokio::test]
async fn a_client_error_of_an_engine_is_the_answer() {
    let engine = engine(EngineConfig::default()).await;
    let fleet = fleet(vec![spec("engine-0", engine.address, "chat")]).await;
    let body = Bytes::from_static(br#"{"model": "cow-small", "prompt": "x", "max_tokens": null}"#);
    let client = yilan(fleet.hosts[0].address);
    let call = client.call(Method::POST, "/v1/completions", &[], body);
    let answer = call.await.expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert_eq!(answer.json(), "not a completion request");
}

/// The connection to a plain service is cut while it works: it may have run, so it is
/// neither run again nor called "not run".
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
