//! A request that crashes each backend server that runs it is contained.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use jaypin_bench::{Answer, completion_body};
use jaypin_standin::EngineConfig;
use support::{WAIT, engine, fleet, reason_and_outcome, spec, until, yilan};
use tokio::time::{Instant, sleep};

/// Most backend servers that one poisonous request may take down.
const MOST_LOST: usize = 4;
/// A tier that may wait.
const TIER: [(&str, &str); 1] = [("x-jaypin-tier", "herd-summary")];

async fn ask(address: std::net::SocketAddr, text: &str) -> Answer {
    let body = completion_body("cow-small", text, 10, true);
    let client = yilan(address);
    client.complete(&body, &TIER).await.expect("an answer")
}

/// A summary crashes the engine that runs it, and the caller's program sends it again,
/// each time at another host. Other callers' requests die with those engines and are
/// sent again too. The summary must be refused in the whole fleet before it takes down
/// many engines, and no other request with it.
#[tokio::test]
async fn a_poisonous_request_is_refused_and_innocents_are_not() {
    let mut engines = Vec::new();
    let mut specs = Vec::new();
    for index in 0..4 {
        let cfg = EngineConfig {
            crash_for: Some(Duration::from_millis(300)),
            ..EngineConfig::default()
        };
        let engine = engine(cfg).await;
        specs.push(spec(&format!("engine-{index}"), engine.address, "chat"));
        engines.push(engine);
    }
    let fleet = fleet(specs).await;
    let over = Arc::new(AtomicBool::new(false));
    let innocents: Vec<_> = (0..6)
        .map(|index: usize| {
            let (address, over) = (fleet.hosts[index % 3].address, over.clone());
            tokio::spawn(innocent(address, format!("cow {index}"), over))
        })
        .collect();
    let served = || {
        engines
            .iter()
            .map(|engine| engine.executions().len())
            .sum::<usize>()
    };
    until("innocents are served", || served() > 12).await;
    let mut lost = 0;
    let deadline = Instant::now() + WAIT;
    let refused = loop {
        let answer = ask(fleet.hosts[lost % 3].address, "POISON summary").await;
        if answer.status == StatusCode::UNPROCESSABLE_ENTITY {
            break answer;
        }
        lost += usize::from(answer.status == StatusCode::BAD_GATEWAY);
        assert!(lost <= MOST_LOST, "{lost} backend servers lost");
        assert!(Instant::now() < deadline, "not refused in time");
        sleep(Duration::from_secs(1)).await;
    };
    assert_eq!(
        reason_and_outcome(&refused),
        ("quarantined".into(), "not-run".into())
    );
    assert_eq!(refused.json()["rule_line"], 18);
    // The others hear of it by themselves, without losing a backend server.
    let before = served();
    for host in &fleet.hosts {
        let answer = ask(host.address, "POISON summary").await;
        assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    }
    until("innocents are still served", || served() > before + 12).await;
    over.store(true, Ordering::Relaxed);
    let mut retried = 0;
    for innocent in innocents {
        retried += innocent.await.expect("no innocent is refused");
    }
    eprintln!("backend servers lost: {lost}, innocents sent again: {retried}, refused: 0");
}

/// Sends one text for ever, again when its engine died, and gives how often that was.
async fn innocent(address: std::net::SocketAddr, text: String, over: Arc<AtomicBool>) -> usize {
    let mut retried = 0;
    while !over.load(Ordering::Relaxed) {
        let answer = ask(address, &text).await;
        assert_ne!(
            answer.status,
            StatusCode::UNPROCESSABLE_ENTITY,
            "{text} was refused"
        );
        retried += usize::from(!answer.done);
    }
    retried
}
