//! Fencing numbers of requests to engines increase, whichever host grants the slots.

mod support;

use hyper::StatusCode;
use jaypin_bench::completion_body;
use jaypin_standin::EngineConfig;
use support::{engine, fleet, spec, yilan};

/// The leader of a shard is restarted and leads the shard again. It is killed later, and the
/// shard moves to a host whose process is older. If the numbers counted from the start of
/// the process, the engine would refuse every later request as stale.
#[tokio::test]
async fn numbers_grow_although_a_shard_moves_to_an_older_process() {
    let cfg = EngineConfig {
        checks_fencing: true,
        ..EngineConfig::default()
    };
    let engine = engine(cfg).await;
    let mut fleet = fleet(vec![spec("engine-0", engine.address, "chat")]).await;
    for round in 0..6 {
        // Each host is restarted twice in a row, so that the others' processes are older.
        let (killed, serving) = (round / 2, (round / 2 + 1) % 3);
        fleet.hosts[killed].kill();
        complete(&fleet.hosts[serving], &format!("without {round}")).await;
        fleet.hosts[killed].start().expect("a host process");
        fleet.hosts[killed]
            .wait_ready()
            .await
            .expect("a ready host");
        complete(&fleet.hosts[killed], &format!("with {round}")).await;
    }
    assert_eq!(engine.executions().len(), 12);
}

async fn complete(host: &jaypin_bench::Host, text: &str) {
    let body = completion_body("cow-small", text, 3, true);
    let tier = [("x-jaypin-tier", "herd-summary")];
    let client = yilan(host.address);
    let answer = client.complete(&body, &tier).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK, "{text}: {:?}", answer.body);
    assert!(answer.done);
}
