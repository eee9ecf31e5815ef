//! A short run with faults from a fixed seed; longer runs are started manually.

use std::time::Duration;

use jaypin_bench::torture::{TortureConfig, torture};

/// Callers request streams, unstreamed answers, commands and look-ups while hosts are killed,
/// frozen and shut down, links and backend servers are cut or become silent, the platform is
/// down, slow or stale, engines crash and rules change. Under every combination of these
/// faults, the history of the run must contain no violation of a promise.
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
