//! A request that crashes each backend server that runs it is quarantined.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::StatusCode;
use jaypin_bench::{Answer, completion_body};
use jaypin_standin::EngineConfig;
use support::{WAIT, engine, fleet, reason_and_outcome, spec, until, yilan};
use tokio::time::{Instant, sleep};

/// Maximum number of backend servers that one poisonous request may crash.
const MAX_LOST_BACKENDS: usize = 4;
/// Header that selects a tier whose requests may wait.
const TIER: [(&str, &str); 1] = [("x-jaypin-tier", "herd-summary")];

async fn complete(address: std::net::SocketAddr, text: &str) -> Answer {
    let body = completion_body("cow-small", text, 10, true);
    let client = yilan(address);
    client.complete(&body, &TIER).await.expect("an answer")
}

/// A request crashes the engine that runs it, and its caller retries it, each time at another
/// host. Requests of other callers fail with those engines and are retried too. All hosts
/// must refuse the crashing request before it crashes more than 4 engines, and must refuse
/// no other request.
#[tokio::test]
async fn a_crashing_request_is_quarantined_and_others_are_served() {
    let mut engines = Vec::new();
    let mut specs = Vec::new();
    for index in 0..4 {
        let cfg = EngineConfig {
            crash_downtime: Some(Duration::from_millis(300)),
            ..EngineConfig::default()
        };
        let engine = engine(cfg).await;
        specs.push(spec(&format!("engine-{index}"), engine.address, "chat"));
        engines.push(engine);
    }
    let fleet = fleet(specs).await;
    let stopped = Arc::new(AtomicBool::new(false));
    let ordinary: Vec<_> = (0..6)
        .map(|index: usize| {
            let (address, stopped) = (fleet.hosts[index % 3].address, stopped.clone());
            tokio::spawn(send_repeatedly(address, format!("cow {index}"), stopped))
        })
        .collect();
    let served = || {
        engines
            .iter()
            .map(|engine| engine.executions().len())
            .sum::<usize>()
    };
    until("ordinary requests are served", || served() > 12).await;
    let mut lost = 0;
    let deadline = Instant::now() + WAIT;
    let refused = loop {
        let answer = complete(fleet.hosts[lost % 3].address, "POISON summary").await;
        if answer.status == StatusCode::UNPROCESSABLE_ENTITY {
            break answer;
        }
        lost += usize::from(answer.status == StatusCode::BAD_GATEWAY);
        assert!(lost <= MAX_LOST_BACKENDS, "{lost} backend servers lost");
        assert!(Instant::now() < deadline, "not refused in time");
        sleep(Duration::from_secs(1)).await;
    };
    assert_eq!(
        reason_and_outcome(&refused),
        ("quarantined".into(), "not-run".into())
    );
    assert_eq!(refused.json()["rule_line"], 18);
    // The other hosts receive the quarantine from their peers, without a further crash.
    let before = served();
    for host in &fleet.hosts {
        let answer = complete(host.address, "POISON summary").await;
        assert_eq!(answer.status, StatusCode::UNPROCESSABLE_ENTITY);
    }
    until("ordinary requests are still served", || {
        served() > before + 12
    })
    .await;
    stopped.store(true, Ordering::Relaxed);
    let mut retried = 0;
    for task in ordinary {
        retried += task.await.expect("no ordinary request is refused");
    }
    eprintln!("backend servers lost: {lost}, ordinary requests retried: {retried}, refused: 0");
}

/// Sends one prompt repeatedly until `stopped` is set, and returns how many responses were
/// incomplete.
async fn send_repeatedly(
    address: std::net::SocketAddr,
    text: String,
    stopped: Arc<AtomicBool>,
) -> usize {
    let mut retried = 0;
    while !stopped.load(Ordering::Relaxed) {
        let answer = complete(address, &text).await;
        assert_ne!(
            answer.status,
            StatusCode::UNPROCESSABLE_ENTITY,
            "{text} was refused"
        );
        retried += usize::from(!answer.done);
    }
    retried
}
