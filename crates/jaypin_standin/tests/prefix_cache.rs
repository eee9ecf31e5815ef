//! The engine stand-in's prefix cache: what is computed again, what is told of it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use jaypin_standin::{CacheEvents, Engine, EngineConfig, ServiceBlocks};

/// Characters of one block of the cache.
const BLOCK: usize = 256;

async fn call(engine: &Engine, method: Method, path: &str, body: String) -> Bytes {
    let stream = tokio::net::TcpStream::connect(engine.address)
        .await
        .expect("a connection");
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .expect("a handshake");
    tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "engine")
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let response = sender.send_request(req).await.expect("an answer");
    response
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes()
}

async fn ask(engine: &Engine, text: &str) {
    let body = serde_json::json!({ "prompt": text, "max_tokens": 1 });
    call(engine, Method::POST, "/v1/completions", body.to_string()).await;
}

fn config() -> EngineConfig {
    EngineConfig {
        cache_blocks: 4,
        cache_event_lag: Duration::ZERO,
        cache_event_loss: None,
        service_blocks: ServiceBlocks::default(),
        ..EngineConfig::default()
    }
}

#[tokio::test]
async fn what_another_engine_holds_counts_as_computed_again() {
    let cfg = config();
    let first = Engine::start(cfg.clone()).await.expect("an engine");
    let second = Engine::start(cfg).await.expect("an engine");
    let text = "a".repeat(2 * BLOCK);
    ask(&first, &text).await;
    ask(&first, &text).await;
    ask(&second, &text).await;
    let of_first = first.executions();
    assert_eq!((of_first[0].cached, of_first[0].recomputed), (0, 0));
    assert_eq!((of_first[1].cached, of_first[1].prefilled), (128, 0));
    let of_second = second.executions();
    assert_eq!((of_second[0].cached, of_second[0].recomputed), (0, 128));
}

#[tokio::test]
async fn the_block_used_longest_ago_is_evicted() {
    let engine = Engine::start(config()).await.expect("an engine");
    for letter in ["a", "b", "c", "d", "a", "e"] {
        ask(&engine, &letter.repeat(BLOCK)).await;
    }
    ask(&engine, &"a".repeat(BLOCK)).await;
    ask(&engine, &"b".repeat(BLOCK)).await;
    let cached: Vec<u64> = engine.executions().iter().map(|one| one.cached).collect();
    assert_eq!(cached, [0, 0, 0, 0, 64, 0, 64, 0]);
}

#[tokio::test]
async fn one_event_in_so_many_is_never_told() {
    let cfg = EngineConfig {
        cache_event_loss: Some(3),
        ..config()
    };
    let engine = Engine::start(cfg).await.expect("an engine");
    for letter in ["a", "b", "c", "d"] {
        ask(&engine, &letter.repeat(BLOCK)).await;
    }
    let told = call(&engine, Method::GET, "/cache-events?since=2", String::new()).await;
    let told: CacheEvents = serde_json::from_slice(&told).expect("events");
    let numbers: Vec<u64> = told.events.iter().map(|event| event.sequence).collect();
    assert_eq!(numbers, [2, 4]);
    assert_eq!(told.next, 5);
}
