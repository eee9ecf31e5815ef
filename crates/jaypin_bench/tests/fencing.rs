//! Orders carry numbers that grow, whoever grants them.

mod support;

use hyper::StatusCode;
use jaypin_bench::completion_body;
use jaypin_standin::EngineConfig;
use support::{engine, fleet, spec, yilan};

/// The host that grants is restarted and takes its shard up again; later it dies and
/// the shard moves to a host whose process is older. Were numbers counted from the
/// process's start, the engine would refuse every order from then on as an old one's.
#[tokio::test]
async fn numbers_grow_although_a_shard_moves_to_an_older_process() {
    let cfg = EngineConfig {
        checks_fencing: true,
        ..EngineConfig::default()
    };
    let engine = engine(cfg).await;
    let mut fleet = fleet(vec![spec("engine-0", engine.address, "chat")]).await;
    for round in 0..6 {
        // Each host twice in a row: the others are older then.
        let (down, asked) = (round / 2, (round / 2 + 1) % 3);
        fleet.hosts[down].kill();
        ask(&fleet.hosts[asked], &format!("without {round}")).await;
        fleet.hosts[down].start().expect("a host process");
        fleet.hosts[down].wait_ready().await.expect("a ready host");
        ask(&fleet.hosts[down], &format!("with {round}")).await;
    }
    assert_eq!(engine.executions().len(), 12);
}

async fn ask(host: &jaypin_bench::Host, text: &str) {
    let body = completion_body("cow-small", text, 3, true);
    let tier = [("x-jaypin-tier", "herd-summary")];
    let client = yilan(host.address);
    let answer = client.complete(&body, &tier).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{text}: {:?}", answer.body);
    assert!(answer.done);
}
