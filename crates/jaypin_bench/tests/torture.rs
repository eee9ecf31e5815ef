//! A short run under a fixed seed of faults; longer ones are made by hand.

use std::time::Duration;

use jaypin_bench::torture::{TortureConfig, torture};

/// Callers ask streams, whole answers, commands and look-ups while hosts are killed,
/// frozen and told to leave, links and backend servers are cut or fall silent, the
/// platform is out, slow or stale, engines crash and rules change. Whatever comes
/// together, the history of the run has to keep every promise.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_short_run_under_faults_keeps_every_promise() {
    let cfg = TortureConfig {
        seed: 1,
        length: Duration::from_secs(20),
        hosts: 5,
        callers: 20,
        ..TortureConfig::default()
    };
    let report = torture(&cfg).await.expect("a run");
    assert!(report.check.violations.is_empty(), "{}", report.table());
    assert!(report.troubles.is_empty(), "{}", report.table());
    assert!(report.faults.contains_key("KillHost"), "{}", report.table());
    assert!(report.answers["whole"] > 0, "{}", report.table());
}
