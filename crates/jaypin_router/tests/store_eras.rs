//! A store that is restored from an older copy, from the point of view of one host.

mod common;

use std::time::Duration;

use common::{Decision, ENGINES, TestHost, configuration, record};
use jaypin_router::{
    BackendRecord, BackendStatus, Effect, EntryChange, Event, ExposureBound, RolloutOrder,
    RolloutReport, RolloutState, StorePoint, VersionOutcomes,
};

fn leaving_record(id: &str) -> BackendRecord {
    let mut record = record(id, ENGINES, 9);
    record.status = BackendStatus::Leaving;
    record
}

fn stated(record: BackendRecord, era: u64, revision: u64) -> EntryChange {
    let point = StorePoint::new(era, revision);
    EntryChange::Stated { record, point }
}

fn is_used(host: &mut TestHost, id: &str) -> bool {
    let decisions: Vec<_> = (0..6).map(|_| host.arrive("/ask/x", (600, 30)).1).collect();
    decisions.contains(&Decision::Sent(id.into()))
}

/// Guards against a peer of the former era whose outdated entry replaces a newer one.
#[test]
fn a_report_of_the_former_era_changes_nothing() {
    let mut host = TestHost::with_backends();
    host.apply(Event::BackendChanged(stated(
        leaving_record("engine-1"),
        2,
        3,
    )));
    let mut report = common::report(1, common::whole_report(2));
    let old = record("engine-1", ENGINES, 9);
    report.changes.push(stated(old.clone(), 1, 900));
    host.receive_report(report);
    host.apply(Event::EntriesTransferred(vec![stated(old, 1, 901)]));
    assert!(!is_used(&mut host, "engine-1"));
}

/// Guards against an entry of the new era that is dropped because its revision is lower.
#[test]
fn a_lower_revision_of_a_later_era_is_newer() {
    let mut host = TestHost::with_backends();
    host.apply(Event::BackendChanged(stated(
        record("new-1", ENGINES, 9),
        1,
        900,
    )));
    host.apply(Event::BackendChanged(stated(leaving_record("new-1"), 2, 3)));
    assert!(!is_used(&mut host, "new-1"));
}

/// Guards against an entry of the former era that stays although the restored store has removed
/// it.
#[test]
fn a_listing_of_a_later_era_replaces_what_is_known() {
    let mut host = TestHost::with_backends();
    host.era = 2;
    host.list_entries(vec![record("engine-22", ENGINES, 9)]);
    host.wait(Duration::from_secs(3));
    host.prove();
    host.tick();
    assert!(!is_used(&mut host, "engine-1"));
}

/// Guards against backend servers that are dropped although they only have to write their entries
/// again.
#[test]
fn an_entry_that_the_copy_lacks_is_used_for_a_while() {
    let mut host = TestHost::with_backends();
    host.apply(Event::StoreEra(1));
    host.apply(Event::StoreEra(2));
    host.era = 2;
    host.list_entries(vec![record("engine-22", ENGINES, 9)]);
    assert!(is_used(&mut host, "engine-1"));
}

/// Guards against a process that has left but counts as ready again because the restored copy
/// says so.
#[test]
fn a_process_that_left_is_not_ready_again() {
    let mut host = TestHost::with_backends();
    host.set_entry(leaving_record("engine-1"));
    host.era = 2;
    host.set_entry(record("engine-1", ENGINES, 9));
    assert!(!is_used(&mut host, "engine-1"));
    let mut next = record("engine-1", ENGINES, 9);
    next.started = 2;
    host.set_entry(next);
    assert!(is_used(&mut host, "engine-1"));
}

fn rollout_order(to: &str, era: u64, revision: u64, state: RolloutState) -> RolloutOrder {
    RolloutOrder {
        service: ENGINES.into(),
        to: to.into(),
        time_limit: Duration::from_secs(10),
        point: StorePoint::new(era, revision),
        state,
    }
}

/// Returns a host with a bound for new versions and a rollout order that has ended.
fn host_with_ended_rollout(state: RolloutState) -> TestHost {
    let mut host = TestHost::with_bounds(|bounds| {
        bounds.exposure = Some(ExposureBound {
            share: 0.1,
            slack: 50.0,
        });
    });
    host.configure(configuration(1));
    host.prove();
    host.tick();
    host.set_entry(record("engine-1", ENGINES, 9));
    host.apply(Event::RolloutOrderRead(rollout_order(
        "v2",
        1,
        500,
        RolloutState::Running,
    )));
    host.apply(Event::RolloutOrderRead(rollout_order("v2", 1, 501, state)));
    host
}

/// Returns the rollout writes of the next two seconds.
fn rollout_writes(host: &mut TestHost) -> Vec<RolloutOrder> {
    let mut orders = Vec::new();
    for _ in 0..20 {
        host.wait(Duration::from_millis(100));
        host.prove();
        orders.extend(host.tick().into_iter().filter_map(|effect| match effect {
            Effect::WriteRollout(write) => Some(write.order),
            _ => None,
        }));
    }
    orders
}

macro_rules! rollout_ends {
    ($($name:ident: $state:ident, $order:expr => $written:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut host = host_with_ended_rollout(RolloutState::$state);
                host.apply(Event::RolloutOrderRead($order));
                let written: Option<RolloutState> = $written;
                assert_eq!(rollout_writes(&mut host).first().map(|it| it.state), written);
            }
        )*
    };
}

// Guards against the end of a rollout that is lost with the store's last seconds, and against one
// that overwrites a new order.
rollout_ends! {
    a_lost_completion_is_written_again: Done, rollout_order("v2", 2, 400, RolloutState::Running) => Some(RolloutState::Done);
    a_lost_roll_back_is_written_again: RolledBack, rollout_order("v2", 2, 400, RolloutState::Ordered) => Some(RolloutState::RolledBack);
    an_end_that_the_copy_has_is_not_written: Done, rollout_order("v2", 2, 400, RolloutState::Done) => None;
    an_order_of_the_same_era_is_a_new_one: RolledBack, rollout_order("v2", 1, 600, RolloutState::Ordered) => Some(RolloutState::Running);
    an_order_to_another_version_is_a_new_one: Done, rollout_order("v3", 2, 400, RolloutState::Ordered) => Some(RolloutState::Running);
}

/// Guards against an end that is written under a revision of the former era.
#[test]
fn a_lost_end_is_written_over_the_new_point_until_the_store_has_it() {
    let mut host = host_with_ended_rollout(RolloutState::Done);
    host.apply(Event::RolloutOrderRead(rollout_order(
        "v2",
        2,
        400,
        RolloutState::Running,
    )));
    let written = rollout_writes(&mut host);
    assert_eq!(written[0].point, StorePoint::new(2, 400));
    host.apply(Event::RolloutOrderRead(rollout_order(
        "v2",
        2,
        402,
        RolloutState::Done,
    )));
    assert_eq!(rollout_writes(&mut host), Vec::new());
}

/// Guards against a host that starts, reads the order from the restored copy, and begins the
/// rollout again.
#[test]
fn a_host_that_reads_the_restored_copy_takes_the_end_from_its_peers() {
    let mut host = host_with_ended_rollout(RolloutState::Withdrawn);
    host.apply(Event::RolloutOrderRead(rollout_order(
        "v3",
        2,
        400,
        RolloutState::Running,
    )));
    let mut whole = common::whole_report(2);
    whole.rollouts.push(RolloutReport {
        order: rollout_order("v3", 2, 400, RolloutState::RolledBack),
        age: Duration::from_secs(1),
        is_bad: true,
        is_end_lost: true,
        outcomes: VersionOutcomes::default(),
    });
    host.receive_report(common::report(1, whole));
    let written = rollout_writes(&mut host);
    assert_eq!(
        written.first().map(|it| it.state),
        Some(RolloutState::RolledBack)
    );
}
