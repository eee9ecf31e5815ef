//! What hosts hand over to each other whole, and what a listing that lags may change.

mod common;

use common::{ENGINES, TestHost, Told, record};
use jaypin_router::{
    BackendStatus, EntryChange, Event, Report, StorePoint, StoreView, WholeReport,
};

/// A peer that watches the store, as it reports.
fn watcher(sequence: u64, version: u64, digest: u64) -> Report {
    let store = StoreView {
        version,
        proved_at: None,
        may_watch: true,
        is_watching: true,
        digest,
        era: None,
    };
    let whole = WholeReport {
        store,
        ..common::whole_report(2)
    };
    common::report(sequence, whole)
}

fn found(bed: &mut TestHost) {
    let whole = common::whole_report(2);
    bed.apply(Event::HostsListed(vec![(whole.host, whole.address)]));
}

/// A stranger inside the network reports a version that nobody has. If a host fetched it from
/// there, the stranger could give itself a credential.
#[test]
fn a_host_that_the_store_does_not_list_is_not_asked() {
    let mut bed = TestHost::usual();
    bed.receive_report(watcher(1, 7, 1));
    assert!(bed.router.is_configuration_outdated());
    assert_eq!(bed.router.configuration_holders(bed.now), []);
    assert!(!bed.router.is_registered_host(common::address(1).ip()));
    found(&mut bed);
    let address = common::whole_report(2).address;
    assert_eq!(bed.router.configuration_holders(bed.now), [address]);
    assert!(bed.router.is_registered_host(address.ip()));
}

#[test]
fn a_host_with_an_older_version_is_not_asked() {
    let mut bed = TestHost::usual();
    found(&mut bed);
    bed.receive_report(watcher(1, 7, 1));
    let mut other = watcher(1, 6, 1);
    other.run = 99;
    other.host = 99;
    if let Some(whole) = &mut other.whole {
        *whole = WholeReport {
            store: whole.store.clone(),
            ..common::whole_report(3)
        };
    }
    bed.receive_report(other);
    assert_eq!(
        bed.router.configuration_holders(bed.now),
        [common::whole_report(2).address]
    );
}

/// A host was turned away by the store while an engine came and another left, and lost the
/// reports that told so. It takes over what a peer knows.
#[test]
fn entries_that_are_handed_over_make_two_hosts_know_the_same() {
    let mut knows = TestHost::usual();
    knows.set_entry(record("engine-333", ENGINES, 9));
    knows.remove_entry("engine-1");
    let mut lacks = TestHost::usual();
    let entries = knows.router.entry_snapshot();
    lacks.apply(Event::EntriesTransferred(entries.clone()));
    assert_eq!(lacks.router.entry_snapshot(), entries);
    for _ in 0..18 {
        let (_, told) = lacks.arrive("/ask/1", (600, 30));
        assert!(matches!(told, Told::Sent(_)));
        assert_ne!(told.backend(), "engine-1");
    }
}

/// What a peer hands over may be older than what this host has heard since.
#[test]
fn older_entries_that_are_handed_over_change_nothing() {
    let mut bed = TestHost::usual();
    let older = bed.router.entry_snapshot();
    let leaving = jaypin_router::BackendRecord {
        status: BackendStatus::Leaving,
        ..record("engine-1", ENGINES, 9)
    };
    bed.set_entry(leaving);
    let newer = bed.router.entry_snapshot();
    bed.apply(Event::EntriesTransferred(older));
    assert_eq!(bed.router.entry_snapshot(), newer);
}

/// A host that starts lists backend servers as they were seconds ago, after a peer has told it
/// of an engine that came since. The engine must not vanish again.
#[test]
fn a_listing_that_lags_removes_nothing_that_came_after_it() {
    let mut bed = TestHost::new(common::configuration(1));
    let record = record("engine-1", ENGINES, 9);
    bed.apply(Event::BackendChanged(EntryChange::Stated {
        record,
        point: StorePoint::new(1, 500),
    }));
    bed.apply(Event::BackendsListed {
        entries: Vec::new(),
        point: StorePoint::new(1, 450),
    });
    let (_, told) = bed.arrive("/ask/1", (600, 30));
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
    bed.apply(Event::BackendsListed {
        entries: Vec::new(),
        point: StorePoint::new(1, 501),
    });
    let (_, told) = bed.arrive("/ask/1", (600, 30));
    assert!(!matches!(told, Told::Sent(_)), "{told:?}");
}
