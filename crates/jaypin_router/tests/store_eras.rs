//! A store that comes back from an older copy, as one host sees it.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, Told, configuration, record};
use jaypin_router::{
    BackendRecord, BackendStatus, Effect, EntryChange, Event, ExposureBound, RolloutOrder,
    RolloutReport, RolloutState, StorePoint, VersionOutcomes,
};

fn leaving(id: &str) -> BackendRecord {
    let mut record = record(id, ENGINES, 9);
    record.status = BackendStatus::Leaving;
    record
}

fn stated(record: BackendRecord, era: u64, revision: u64) -> EntryChange {
    let point = StorePoint::new(era, revision);
    EntryChange::Stated { record, point }
}

fn uses(bed: &mut TestHost, id: &str) -> bool {
    let told: Vec<_> = (0..6).map(|_| bed.arrive("/ask/x", (600, 30)).1).collect();
    told.contains(&Told::Sent(id.into()))
}

/// Guards against a peer of the former era that overrules a host that knows better.
#[test]
fn a_report_of_the_former_era_changes_nothing() {
    let mut bed = TestHost::usual();
    bed.apply(Event::BackendChanged(stated(leaving("engine-1"), 2, 3)));
    let mut report = common::report(1, common::whole_report(2));
    let old = record("engine-1", ENGINES, 9);
    report.changes.push(stated(old.clone(), 1, 900));
    bed.receive_report(report);
    bed.apply(Event::EntriesTransferred(vec![stated(old, 1, 901)]));
    assert!(!uses(&mut bed, "engine-1"));
}

/// Guards against an entry of the new era that is dropped because its revision is lower.
#[test]
fn a_lower_revision_of_a_later_era_is_newer() {
    let mut bed = TestHost::usual();
    bed.apply(Event::BackendChanged(stated(
        record("new-1", ENGINES, 9),
        1,
        900,
    )));
    bed.apply(Event::BackendChanged(stated(leaving("new-1"), 2, 3)));
    assert!(!uses(&mut bed, "new-1"));
}

/// Guards against an entry that the copy has and that is gone by the new history.
#[test]
fn a_listing_of_a_later_era_replaces_what_is_known() {
    let mut bed = TestHost::usual();
    bed.era = 2;
    bed.list(vec![record("engine-22", ENGINES, 9)]);
    bed.wait(Duration::from_secs(3));
    bed.prove();
    bed.tick();
    assert!(!uses(&mut bed, "engine-1"));
}

/// Guards against backend servers that are dropped although they only have to write again.
#[test]
fn an_entry_that_the_copy_lacks_is_used_for_a_while() {
    let mut bed = TestHost::usual();
    bed.apply(Event::StoreEra(1));
    bed.apply(Event::StoreEra(2));
    bed.era = 2;
    bed.list(vec![record("engine-22", ENGINES, 9)]);
    assert!(uses(&mut bed, "engine-1"));
}

/// Guards against a process that left and that the copy calls ready.
#[test]
fn a_process_that_left_is_not_ready_again() {
    let mut bed = TestHost::usual();
    bed.set_entry(leaving("engine-1"));
    bed.era = 2;
    bed.set_entry(record("engine-1", ENGINES, 9));
    assert!(!uses(&mut bed, "engine-1"));
    let mut next = record("engine-1", ENGINES, 9);
    next.started = 2;
    bed.set_entry(next);
    assert!(uses(&mut bed, "engine-1"));
}

// ------------------------------------------------------------------ orders

fn order(to: &str, era: u64, revision: u64, state: RolloutState) -> RolloutOrder {
    RolloutOrder {
        service: ENGINES.into(),
        to: to.into(),
        time_limit: Duration::from_secs(10),
        point: StorePoint::new(era, revision),
        state,
    }
}

/// A bed that brings in versions, with an order that has ended.
fn ended_bed(state: RolloutState) -> TestHost {
    let mut bed = TestHost::with_bounds(|bounds| {
        bounds.exposure = Some(ExposureBound {
            share: 0.1,
            slack: 50.0,
        });
    });
    bed.configure(configuration(1));
    bed.prove();
    bed.tick();
    bed.set_entry(record("engine-1", ENGINES, 9));
    bed.apply(Event::RolloutOrderRead(order(
        "v2",
        1,
        500,
        RolloutState::Running,
    )));
    bed.apply(Event::RolloutOrderRead(order("v2", 1, 501, state)));
    bed
}

/// Writes of the next seconds.
fn writes(bed: &mut TestHost) -> Vec<RolloutOrder> {
    let mut writes = Vec::new();
    for _ in 0..20 {
        bed.wait(Duration::from_millis(100));
        bed.prove();
        writes.extend(bed.tick().into_iter().filter_map(|effect| match effect {
            Effect::WriteRollout(write) => Some(write.order),
            _ => None,
        }));
    }
    writes
}

macro_rules! ends {
    ($($name:ident: $state:ident, $told:expr => $written:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut bed = ended_bed(RolloutState::$state);
                bed.apply(Event::RolloutOrderRead($told));
                let written: Option<RolloutState> = $written;
                assert_eq!(writes(&mut bed).first().map(|it| it.state), written);
            }
        )*
    };
}

// Guards against an end that is lost with the store's last seconds, and one that is written over
// an order that was given anew.
ends! {
    a_lost_take_over_is_written_again: Done, order("v2", 2, 400, RolloutState::Running) => Some(RolloutState::Done);
    a_lost_roll_back_is_written_again: RolledBack, order("v2", 2, 400, RolloutState::Ordered) => Some(RolloutState::RolledBack);
    an_end_that_the_copy_has_is_not_written: Done, order("v2", 2, 400, RolloutState::Done) => None;
    an_order_of_the_same_era_is_a_new_one: RolledBack, order("v2", 1, 600, RolloutState::Ordered) => Some(RolloutState::Running);
    an_order_to_another_version_is_a_new_one: Done, order("v3", 2, 400, RolloutState::Ordered) => Some(RolloutState::Running);
}

/// Guards against an end that is written under the revision of the former history.
#[test]
fn a_lost_end_is_written_over_the_new_point_until_the_store_has_it() {
    let mut bed = ended_bed(RolloutState::Done);
    bed.apply(Event::RolloutOrderRead(order(
        "v2",
        2,
        400,
        RolloutState::Running,
    )));
    let written = writes(&mut bed);
    assert_eq!(written[0].point, StorePoint::new(2, 400));
    bed.apply(Event::RolloutOrderRead(order(
        "v2",
        2,
        402,
        RolloutState::Done,
    )));
    assert_eq!(writes(&mut bed), Vec::new());
}

/// Guards against a host that starts, reads the order as the copy has it, and tries it again.
#[test]
fn a_host_that_reads_the_copy_first_takes_the_end_from_its_peers() {
    let mut bed = ended_bed(RolloutState::Withdrawn);
    bed.apply(Event::RolloutOrderRead(order(
        "v3",
        2,
        400,
        RolloutState::Running,
    )));
    let mut whole = common::whole_report(2);
    whole.rollouts.push(RolloutReport {
        order: order("v3", 2, 400, RolloutState::RolledBack),
        age: Duration::from_secs(1),
        is_bad: true,
        is_end_lost: true,
        outcomes: VersionOutcomes::default(),
    });
    bed.receive_report(common::report(1, whole));
    let written = writes(&mut bed);
    assert_eq!(
        written.first().map(|it| it.state),
        Some(RolloutState::RolledBack)
    );
}
