//! Entries of backend servers that vanish.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, Told, record};
use jaypin_core::Reason;
use jaypin_router::{BackendStatus, Event, StorePoint};

fn bed(engines: usize) -> (TestHost, Vec<String>) {
    let mut bed = TestHost::new(common::configuration(1));
    let ids: Vec<_> = (0..engines).map(|n| format!("engine-{n:03}")).collect();
    for id in &ids {
        bed.set_entry(record(id, ENGINES, 9));
    }
    (bed, ids)
}

fn is_served(bed: &mut TestHost) -> bool {
    let (_, told) = bed.arrive("/ask/1", (10, 10));
    matches!(told, Told::Sent(_))
}

/// An engine leaves without a word: its entry is removed, and two seconds later its process
/// ends. A host that was cut off from the store a moment before kept it for those two
/// seconds and sent it one more request.
#[test]
fn an_entry_that_a_watch_tells_as_removed_is_dropped_at_once() {
    let (mut bed, _) = bed(1);
    bed.apply(Event::StoreCallFailed);
    bed.wait(Duration::from_millis(1_900));
    bed.remove_entry("engine-000");
    assert!(!is_served(&mut bed));
}

/// The store is away for seconds without this host's notice: its watch hangs and then tells
/// that every lease ran out. The engines are well and write their entries again.
#[test]
fn entries_that_vanish_together_are_used_until_they_are_back() {
    let (mut bed, ids) = bed(18);
    for id in &ids {
        bed.remove_entry(id);
    }
    assert!(is_served(&mut bed));
    bed.wait(Duration::from_secs(1));
    for id in &ids {
        bed.set_entry(record(id, ENGINES, 9));
    }
    bed.wait(Duration::from_secs(5));
    bed.prove();
    bed.tick();
    assert!(is_served(&mut bed));
}

/// The same, but the engines are gone for good: in time none is used any more.
#[test]
fn entries_that_do_not_come_back_are_dropped_before_two_seconds() {
    let (mut bed, ids) = bed(18);
    for id in &ids {
        bed.remove_entry(id);
    }
    let due = bed.router.next_tick(bed.now + Duration::from_millis(1_600));
    assert!(due <= bed.now + Duration::from_millis(1_750));
    bed.wait(Duration::from_millis(1_750));
    bed.tick();
    assert!(!is_served(&mut bed));
}

/// The store is back after an outage and lists nobody, as all leases ran out in it.
#[test]
fn a_listing_right_after_an_outage_may_lack_live_entries() {
    let (mut bed, _) = bed(4);
    bed.apply(Event::StoreCallFailed);
    bed.wait(Duration::from_millis(400));
    bed.list(Vec::new());
    assert!(is_served(&mut bed));
    bed.wait(Duration::from_millis(1_800));
    bed.prove();
    bed.tick();
    assert!(!is_served(&mut bed));
}

#[test]
fn a_listing_in_calm_times_is_believed() {
    let (mut bed, _) = bed(4);
    bed.list(Vec::new());
    assert!(!is_served(&mut bed));
}

/// An engine says that it leaves; then the store is disturbed and its entry goes.
#[test]
fn an_entry_that_announced_its_leaving_is_never_kept() {
    let (mut bed, _) = bed(1);
    let mut leaving = record("engine-000", ENGINES, 9);
    leaving.status = BackendStatus::Leaving;
    bed.set_entry(leaving);
    bed.apply(Event::StoreCallFailed);
    bed.list(Vec::new());
    let (number, told) = bed.arrive("/ask/1", (10, 10));
    assert_eq!(told, Told::Waits);
    bed.wait(Duration::from_millis(100));
    let told = common::told(&bed.tick(), number);
    assert_eq!(told.refusal().reason, Reason::NoBackend);
}

/// Two hosts watch. One tells that an engine leaves; the other, a little behind, tells its
/// state from before. The engine must not be taken for ready again.
#[test]
fn an_older_statement_changes_nothing() {
    use jaypin_router::EntryChange;
    let (mut bed, _) = bed(1);
    let mut leaving = record("engine-000", ENGINES, 9);
    leaving.status = BackendStatus::Leaving;
    bed.apply(Event::BackendChanged(EntryChange::Stated {
        record: leaving,
        point: StorePoint::new(1, 90),
    }));
    bed.apply(Event::BackendChanged(EntryChange::Stated {
        record: record("engine-000", ENGINES, 9),
        point: StorePoint::new(1, 80),
    }));
    assert!(!is_served(&mut bed));
}
