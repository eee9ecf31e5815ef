//! Decisions about calls on which nothing arrives.

mod common;

use std::time::Duration;

use common::{Decision, TestHost};
use jaypin_router::AttemptOutcome;

/// Longer than the latency target.
const LONG: Duration = Duration::from_millis(1_800);

/// Guards against a request that leaves a silent backend server and is then refused everywhere, because
/// its latency target has passed.
#[test]
fn a_request_that_left_a_silent_server_may_be_late() {
    for path in ["/read/1", "/ask/1"] {
        let mut host = TestHost::with_backends();
        let (number, _) = host.arrive(path, (100, 100));
        host.wait(LONG);
        let decision = host.ended(number, AttemptOutcome::Silent);
        assert!(
            matches!(decision, Decision::Sent(_)),
            "{path}: {decision:?}"
        );
    }
}
