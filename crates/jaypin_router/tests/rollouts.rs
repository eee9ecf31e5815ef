//! Orders for new versions at one host: what each version gets, and who ends an order.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, configuration, record};
use jaypin_router::{
    AttemptOutcome, Effect, Event, ExposureBound, RolloutOrder, RolloutReport, RolloutState,
    StorePoint, VersionOutcomes,
};

fn order(to: &str, revision: u64, state: RolloutState) -> RolloutOrder {
    RolloutOrder {
        service: ENGINES.into(),
        to: to.into(),
        time_limit: Duration::from_secs(12),
        point: StorePoint::new(1, revision),
        state,
    }
}

/// A host before two old and two new engines.
fn bed() -> TestHost {
    let mut bed = bed_of_old();
    for (id, started) in [("new-1", 20), ("new-2", 21)] {
        state(&mut bed, id, "v2", started);
    }
    bed
}

/// A host before two old engines.
fn bed_of_old() -> TestHost {
    let mut bed = TestHost::with_bounds(|bounds| {
        bounds.exposure = Some(ExposureBound {
            share: 0.5,
            slack: 50.0,
        });
    });
    bed.configure(configuration(1));
    bed.prove();
    bed.tick();
    for (id, started) in [("old-1", 10), ("old-2", 11)] {
        state(&mut bed, id, "v1", started);
    }
    bed
}

fn state(bed: &mut TestHost, id: &str, version: &str, started: u64) {
    let mut record = record(id, ENGINES, 9);
    record.version = version.into();
    record.started = started;
    bed.set_entry(record);
}

fn told(bed: &mut TestHost, order: RolloutOrder) {
    bed.apply(Event::RolloutOrderRead(order));
}

/// Which backend servers get forty requests, each answered at once.
fn served(bed: &mut TestHost) -> Vec<String> {
    let mut all = Vec::new();
    for _ in 0..40 {
        let (number, told) = bed.arrive("/ask/x", (100, 100));
        all.push(told.backend().to_owned());
        bed.answered(number);
        bed.ended(number, AttemptOutcome::Complete);
    }
    all
}

fn new_ones(all: &[String]) -> usize {
    all.iter().filter(|it| it.starts_with("new")).count()
}

macro_rules! states {
    ($($name:ident: $orders:expr => $allowed:expr;)*) => {$(
        /// A version gets requests that no order, or an ended one, allows it.
        #[test]
        fn $name() {
            let mut bed = bed();
            for order in $orders {
                told(&mut bed, order);
            }
            let all = served(&mut bed);
            let allowed: std::ops::RangeInclusive<usize> = $allowed;
            assert!(allowed.contains(&new_ones(&all)), "{all:?}");
        }
    )*};
}

use RolloutState::{Done, Ordered, RolledBack, Running, Withdrawn};

states! {
    without_an_order_the_oldest_version_serves: [] => 0..=0;
    a_version_under_trial_gets_a_part: [order("v2", 5, Ordered)] => 1..=21;
    a_running_order_is_a_trial: [order("v2", 5, Running)] => 1..=21;
    after_the_end_only_the_new_version_serves: [order("v2", 5, Done)] => 40..=40;
    a_version_that_was_given_up_gets_nothing: [order("v2", 5, RolledBack)] => 0..=0;
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

/// A deployment without a bound for new versions loses the backend servers that differ.
#[test]
fn versions_are_not_told_apart_without_a_bound() {
    let mut bed = TestHost::new(configuration(1));
    for (id, version) in [("a", "v1"), ("b", "v2")] {
        let mut record = record(id, ENGINES, 9);
        record.version = version.into();
        bed.set_entry(record);
    }
    let all = served(&mut bed);
    let of_b = all.iter().filter(|it| *it == "b").count();
    assert!((1..40).contains(&of_b), "{all:?}");
}

/// The old backend servers are all gone, and nobody serves.
#[test]
fn a_version_that_alone_is_left_serves() {
    let mut bed = bed();
    bed.remove_entry("old-1");
    bed.remove_entry("old-2");
    // Entries that vanish together may have lapsed, and are used a little longer.
    bed.wait(Duration::from_secs(2));
    bed.prove();
    bed.tick();
    assert_eq!(new_ones(&served(&mut bed)), 40);
}

/// A peer found the version bad, and this host goes on trying it.
#[test]
fn a_peer_s_verdict_ends_the_trial() {
    let mut bed = bed();
    told(&mut bed, order("v2", 5, Running));
    let mut whole = common::whole_report(2);
    whole.rollouts.push(RolloutReport {
        order: order("v2", 5, Running),
        age: Duration::from_secs(1),
        is_bad: true,
        is_end_lost: false,
        outcomes: VersionOutcomes::default(),
    });
    bed.receive_report(common::report(1, whole));
    assert_eq!(new_ones(&served(&mut bed)), 0);
}

/// A host that can't hear of the end of a trial goes on with it.
#[test]
fn a_host_without_a_fresh_proof_tries_nothing() {
    let mut bed = bed();
    told(&mut bed, order("v2", 5, Running));
    bed.wait(Duration::from_secs(3));
    bed.tick();
    assert_eq!(new_ones(&served(&mut bed)), 0);
}

/// An operator orders a version, and the store never shows that anybody took it up.
#[test]
fn the_store_is_told_that_an_order_runs() {
    let mut bed = bed();
    told(&mut bed, order("v2", 5, Ordered));
    bed.wait(Duration::from_millis(100));
    let fx = bed.tick();
    let written = fx.iter().find_map(|effect| match effect {
        Effect::WriteRollout(write) => Some((write.order.state, write.order.point.revision)),
        _ => None,
    });
    assert_eq!(written, Some((Running, 5)));
}

/// The first try of a request fails at the new version, and so does the second.
#[test]
fn a_request_that_failed_is_sent_to_the_old_version() {
    let mut bed = bed();
    told(&mut bed, order("v2", 5, Running));
    for _ in 0..40 {
        let (number, told) = bed.arrive("/ask/x", (100, 100));
        let is_new = told.backend().starts_with("new");
        let again = bed.ended(number, AttemptOutcome::Failed);
        if is_new {
            assert!(again.backend().starts_with("old"));
            return;
        }
    }
    panic!("nothing was tried");
}

/// A host that starts during a trial hears of the order later than of the backend servers, of
/// which the oldest ones were replaced meanwhile, and serves from the version under trial only.
#[test]
fn a_version_that_turns_out_to_be_tried_is_not_in_force() {
    let mut bed = bed();
    bed.remove_entry("old-1");
    bed.remove_entry("old-2");
    bed.wait(Duration::from_secs(2));
    bed.prove();
    bed.tick();
    assert_eq!(new_ones(&served(&mut bed)), 40);
    state(&mut bed, "old-3", "v1", 30);
    told(&mut bed, order("v2", 50, Running));
    let all = served(&mut bed);
    assert!(new_ones(&all) <= 21, "{all:?}");
}

/// The order's end is heard before the new backend servers' entries, and requests go to those
/// that were stopped.
#[test]
fn a_version_that_was_brought_in_is_used_once_it_is_there() {
    let mut bed = bed_of_old();
    told(&mut bed, order("v2", 50, Done));
    bed.tick();
    served(&mut bed);
    state(&mut bed, "new-3", "v2", 40);
    assert_eq!(new_ones(&served(&mut bed)), 40);
}
