//! Tests of the engine's prefix cache: recomputed tokens, eviction and reported events.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use jaypin_standin::{CacheEvents, Engine, EngineConfig, ServiceBlocks};

/// Number of bytes in one block of the cache.
const BLOCK_BYTES: usize = 256;

async fn send(engine: &Engine, method: Method, path: &str, body: String) -> Bytes {
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
    let response = sender.send_request(req).await.expect("a response");
    response
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes()
}

async fn complete(engine: &Engine, text: &str) {
    let body = serde_json::json!({ "prompt": text, "max_tokens": 1 });
    send(engine, Method::POST, "/v1/completions", body.to_string()).await;
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
async fn tokens_cached_by_another_engine_count_as_recomputed() {
    let cfg = config();
    let first = Engine::start(cfg.clone()).await.expect("an engine");
    let second = Engine::start(cfg).await.expect("an engine");
    let text = "a".repeat(2 * BLOCK_BYTES);
    complete(&first, &text).await;
    complete(&first, &text).await;
    complete(&second, &text).await;
    let of_first = first.executions();
    assert_eq!((of_first[0].cached, of_first[0].recomputed), (0, 0));
    assert_eq!((of_first[1].cached, of_first[1].prefilled), (128, 0));
    let of_second = second.executions();
    assert_eq!((of_second[0].cached, of_second[0].recomputed), (0, 128));
}

#[tokio::test]
async fn the_least_recently_used_block_is_evicted() {
    let engine = Engine::start(config()).await.expect("an engine");
    for letter in ["a", "b", "c", "d", "a", "e"] {
        complete(&engine, &letter.repeat(BLOCK_BYTES)).await;
    }
    complete(&engine, &"a".repeat(BLOCK_BYTES)).await;
    complete(&engine, &"b".repeat(BLOCK_BYTES)).await;
    let cached: Vec<u64> = engine
        .executions()
        .iter()
        .map(|execution| execution.cached)
        .collect();
    assert_eq!(cached, [0, 0, 0, 0, 64, 0, 64, 0]);
}

#[tokio::test]
async fn every_nth_event_is_lost() {
    let cfg = EngineConfig {
        cache_event_loss: Some(3),
        ..config()
    };
    let engine = Engine::start(cfg).await.expect("an engine");
    for letter in ["a", "b", "c", "d"] {
        complete(&engine, &letter.repeat(BLOCK_BYTES)).await;
    }
    let response = send(&engine, Method::GET, "/cache-events?since=2", String::new()).await;
    let response: CacheEvents = serde_json::from_slice(&response).expect("events");
    let numbers: Vec<u64> = response.events.iter().map(|event| event.sequence).collect();
    assert_eq!(numbers, [2, 4]);
    assert_eq!(response.next, 5);
}
