//! Which changes of entries a host reports and remembers.

mod common;
#[path = "common/started_host.rs"]
mod started_host;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{ENGINES, TestHost, record};
use jaypin_router::{BackendStatus, Effect, EntryChange, Event, StorePoint};
use started_host::{engines, started_host};

/// Returns the entry changes that the host reports in the next 4 s.
fn reported_changes(host: &mut TestHost) -> Vec<String> {
    let mut reported = Vec::new();
    for n in 0..40 {
        host.wait(Duration::from_millis(100));
        let mut fx = host.receive_report(common::report(n + 1, common::whole_report(2)));
        fx.extend(host.tick());
        for effect in fx {
            if let Effect::SendReport { report, .. } = effect {
                reported.extend(report.changes.iter().map(|it| format!("{it:?}")));
            }
        }
    }
    reported
}

/// Guards against a fleet that floods itself at its start: each host would report all entries
/// that it has just listed to all others, which list them too.
#[test]
fn a_first_listing_is_reported_to_nobody() {
    let mut host = started_host(3);
    host.list_entries(engines(200));
    assert_eq!(reported_changes(&mut host), Vec::<String>::new());
}

/// Guards against a change that is reported to nobody because a listing brought it.
#[test]
fn changes_of_a_later_listing_are_reported() {
    let mut host = started_host(3);
    host.list_entries(engines(200));
    host.list_entries(engines(201));
    let reported = reported_changes(&mut host);
    assert!((1..=3).contains(&reported.len()), "{reported:?}");
    assert!(reported[0].contains("engine-200"));
}

/// Guards against a removed entry that the other hosts learn of a heartbeat late because a listing showed
/// it.
#[test]
fn an_entry_that_a_listing_lacks_is_reported_at_once() {
    let mut host = started_host(3);
    host.list_entries(engines(3));
    reported_changes(&mut host);
    host.wait(Duration::from_millis(60));
    host.tick();
    host.wait(Duration::from_millis(60));
    let mut fx = Vec::new();
    let records = engines(2);
    let point = host.next_point();
    let entries = records.into_iter().map(|it| (it, point)).collect();
    fx.extend(host.apply(Event::BackendsListed { entries, point }));
    host.wait(Duration::from_millis(60));
    fx.extend(host.tick());
    let reported = fx.into_iter().any(
        |effect| matches!(effect, Effect::SendReport { report, .. } if !report.changes.is_empty()),
    );
    assert!(reported);
}

/// Guards against requests to backend servers that leave together: with hundreds of changes to
/// report, the last ones waited until the first had been reported three times.
#[test]
fn hundreds_of_changes_are_reported_within_half_a_second() {
    let mut host = started_host(3);
    host.list_entries(engines(450));
    reported_changes(&mut host);
    for mut record in engines(450) {
        record.status = BackendStatus::Leaving;
        host.set_entry(record);
    }
    let mut reported = BTreeSet::new();
    for _ in 0..50 {
        host.wait(Duration::from_millis(10));
        for effect in host.tick() {
            if let Effect::SendReport { report, .. } = effect {
                reported.extend(report.changes.iter().map(|it| format!("{it:?}")));
            }
        }
    }
    assert_eq!(reported.len(), 450);
}

/// Guards against a removed backend server that comes back with a late report because the fleet has
/// so many that none of the removed ones is remembered.
#[test]
fn a_removed_entry_is_remembered_beside_thousands() {
    let mut host = started_host(0);
    let late = host.next_point();
    host.list_entries(engines(6_000));
    host.remove_entry("engine-7");
    let record = record("engine-7", ENGINES, 9);
    let change = EntryChange::Stated {
        record,
        point: late,
    };
    host.apply(Event::BackendChanged(change));
    assert!(!host.router.still_accepts("engine-7", host.now));
}

/// Guards against changes that a host passes on incompletely to another that reads through it.
#[test]
fn changes_since_a_point_include_removed_entries() {
    let mut host = started_host(0);
    host.list_entries(engines(3));
    let point = host.next_point();
    assert!(!host.router.has_entry_changes_since(point));
    host.remove_entry("engine-1");
    host.set_entry(record("engine-9", ENGINES, 9));
    assert!(host.router.has_entry_changes_since(point));
    let changes = host.router.entry_changes_since(point).expect("all changes");
    let ids: BTreeSet<_> = changes.iter().map(|it| it.id().to_string()).collect();
    assert_eq!(
        ids,
        BTreeSet::from(["engine-1".to_owned(), "engine-9".to_owned()])
    );
    let former = StorePoint::new(0, 500);
    assert_eq!(host.router.entry_changes_since(former), None);
}
