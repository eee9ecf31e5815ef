//! Rollout orders at one host: which requests each version gets, and how an order ends.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, configuration, record};
use jaypin_router::{
    AttemptOutcome, Effect, Event, ExposureBound, RolloutOrder, RolloutReport, RolloutState,
    StorePoint, VersionOutcomes,
};

/// Returns a rollout order to a version.
fn order(to: &str, revision: u64, state: RolloutState) -> RolloutOrder {
    RolloutOrder {
        service: ENGINES.into(),
        to: to.into(),
        time_limit: Duration::from_secs(12),
        point: StorePoint::new(1, revision),
        state,
    }
}

/// Returns a host with two engines of the old version and two of the new one.
fn host_with_both_versions() -> TestHost {
    let mut host = host_with_old_version();
    for (id, started) in [("new-1", 20), ("new-2", 21)] {
        set_engine(&mut host, id, "v2", started);
    }
    host
}

/// Returns a host with two engines of the old version.
fn host_with_old_version() -> TestHost {
    let mut host = TestHost::with_bounds(|bounds| {
        bounds.exposure = Some(ExposureBound {
            share: 0.5,
            slack: 50.0,
        });
    });
    host.configure(configuration(1));
    host.prove();
    host.tick();
    for (id, started) in [("old-1", 10), ("old-2", 11)] {
        set_engine(&mut host, id, "v1", started);
    }
    host
}

/// Adds the entry of an engine, with the start time of its process.
fn set_engine(host: &mut TestHost, id: &str, version: &str, started: u64) {
    let mut record = record(id, ENGINES, 9);
    record.version = version.into();
    record.started = started;
    host.set_entry(record);
}

/// Lets the host read a rollout order from the store.
fn read_order(host: &mut TestHost, order: RolloutOrder) {
    host.apply(Event::RolloutOrderRead(order));
}

/// Sends forty requests, each answered immediately, and returns the backend servers that got them.
fn serve_requests(host: &mut TestHost) -> Vec<String> {
    let mut all = Vec::new();
    for _ in 0..40 {
        let (number, sent) = host.arrive("/ask/x", (100, 100));
        all.push(sent.backend().to_owned());
        host.answered(number);
        host.ended(number, AttemptOutcome::Complete);
    }
    all
}

/// Counts the requests that engines of the new version got.
fn count_new(all: &[String]) -> usize {
    all.iter().filter(|it| it.starts_with("new")).count()
}

macro_rules! order_tests {
    ($($name:ident: $orders:expr => $allowed:expr;)*) => {$(
        /// Guards against a version that gets requests which no order, or only an ended one, allows.
        #[test]
        fn $name() {
            let mut host = host_with_both_versions();
            for order in $orders {
                read_order(&mut host, order);
            }
            let all = serve_requests(&mut host);
            let allowed: std::ops::RangeInclusive<usize> = $allowed;
            assert!(allowed.contains(&count_new(&all)), "{all:?}");
        }
    )*};
}

use RolloutState::{Done, Ordered, RolledBack, Running, Withdrawn};

order_tests! {
    without_an_order_the_oldest_version_serves: [] => 0..=0;
    a_canary_version_gets_a_part: [order("v2", 5, Ordered)] => 1..=21;
    the_version_of_a_running_order_gets_a_part: [order("v2", 5, Running)] => 1..=21;
    after_the_end_only_the_new_version_serves: [order("v2", 5, Done)] => 40..=40;
    a_reverted_version_gets_nothing: [order("v2", 5, RolledBack)] => 0..=0;
    a_withdrawn_order_allows_nothing:
        [order("v2", 5, Ordered), order("v2", 6, Withdrawn)] => 0..=0;
    an_older_state_that_comes_late_changes_nothing:
        [order("v2", 6, RolledBack), order("v2", 5, Running)] => 0..=0;
    an_order_that_was_replaced_allows_nothing:
        [order("v2", 5, Ordered), order("v3", 6, Ordered)] => 0..=0;
    a_version_that_is_ordered_again_is_tried_again:
        [order("v2", 5, RolledBack), order("v2", 7, Ordered)] => 1..=21;
    an_order_to_a_version_that_nobody_runs: [order("v9", 5, Ordered)] => 0..=0;
}

/// Guards against unused backend servers of another version in a deployment without a bound for new
/// versions.
#[test]
fn versions_are_not_distinguished_without_a_bound() {
    let mut host = TestHost::new(configuration(1));
    for (id, version) in [("a", "v1"), ("b", "v2")] {
        let mut record = record(id, ENGINES, 9);
        record.version = version.into();
        host.set_entry(record);
    }
    let all = serve_requests(&mut host);
    let of_b = all.iter().filter(|it| *it == "b").count();
    assert!((1..40).contains(&of_b), "{all:?}");
}

/// Guards against a service that no backend server serves once all those of the old version are
/// removed.
#[test]
fn the_only_remaining_version_serves() {
    let mut host = host_with_both_versions();
    host.remove_entry("old-1");
    host.remove_entry("old-2");
    // Entries that go missing together may have expired, so they are used a little longer.
    host.wait(Duration::from_secs(2));
    host.prove();
    host.tick();
    assert_eq!(count_new(&serve_requests(&mut host)), 40);
}

/// Guards against a host that keeps using a canary version that a peer has found to be bad.
#[test]
fn a_bad_verdict_of_a_peer_ends_the_canary() {
    let mut host = host_with_both_versions();
    read_order(&mut host, order("v2", 5, Running));
    let mut whole = common::whole_report(2);
    whole.rollouts.push(RolloutReport {
        order: order("v2", 5, Running),
        age: Duration::from_secs(1),
        is_bad: true,
        is_end_lost: false,
        outcomes: VersionOutcomes::default(),
    });
    host.receive_report(common::report(1, whole));
    assert_eq!(count_new(&serve_requests(&mut host)), 0);
}

/// Guards against a host that keeps using a canary version although it can't learn that the rollout
/// has ended.
#[test]
fn a_host_without_a_fresh_proof_sends_nothing_to_the_canary() {
    let mut host = host_with_both_versions();
    read_order(&mut host, order("v2", 5, Running));
    host.wait(Duration::from_secs(3));
    host.tick();
    assert_eq!(count_new(&serve_requests(&mut host)), 0);
}

/// Guards against an order whose status in the store never shows that a host has started it.
#[test]
fn a_running_order_is_written_to_the_store() {
    let mut host = host_with_both_versions();
    read_order(&mut host, order("v2", 5, Ordered));
    host.wait(Duration::from_millis(100));
    let fx = host.tick();
    let written = fx.iter().find_map(|effect| match effect {
        Effect::WriteRollout(write) => Some((write.order.state, write.order.point.revision)),
        _ => None,
    });
    assert_eq!(written, Some((Running, 5)));
}

/// Guards against a second attempt at the new version after the first attempt failed there.
#[test]
fn a_request_that_failed_is_sent_to_the_old_version() {
    let mut host = host_with_both_versions();
    read_order(&mut host, order("v2", 5, Running));
    for _ in 0..40 {
        let (number, sent) = host.arrive("/ask/x", (100, 100));
        let is_new = sent.backend().starts_with("new");
        let again = host.ended(number, AttemptOutcome::Failed);
        if is_new {
            assert!(again.backend().starts_with("old"));
            return;
        }
    }
    panic!("no request was sent to the new version");
}

/// Guards against a host that sends all requests to the canary version. The host starts during a
/// rollout and reads the order after the entries of the backend servers, the oldest of which were
/// replaced meanwhile.
#[test]
fn a_version_that_turns_out_to_be_the_canary_is_not_stable() {
    let mut host = host_with_both_versions();
    host.remove_entry("old-1");
    host.remove_entry("old-2");
    host.wait(Duration::from_secs(2));
    host.prove();
    host.tick();
    assert_eq!(count_new(&serve_requests(&mut host)), 40);
    set_engine(&mut host, "old-3", "v1", 30);
    read_order(&mut host, order("v2", 50, Running));
    let all = serve_requests(&mut host);
    assert!(count_new(&all) <= 21, "{all:?}");
}

/// Guards against requests to stopped backend servers when the host reads the end of an order before
/// the entries of the new backend servers.
#[test]
fn a_rolled_out_version_is_used_once_it_is_registered() {
    let mut host = host_with_old_version();
    read_order(&mut host, order("v2", 50, Done));
    host.tick();
    serve_requests(&mut host);
    set_engine(&mut host, "new-3", "v2", 40);
    assert_eq!(count_new(&serve_requests(&mut host)), 40);
}
