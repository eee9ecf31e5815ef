//! Configurations and entries that hosts transfer to each other, and the effect of an outdated
//! listing.

mod common;

use common::{Decision, ENGINES, TestHost, record};
use jaypin_router::{
    BackendStatus, EntryChange, Event, Report, StorePoint, StoreView, WholeReport,
};

/// Returns the report of a peer that watches the store.
fn watcher_report(sequence: u64, version: u64, digest: u64) -> Report {
    let store = StoreView {
        version,
        proved_at: None,
        entries_proved_at: None,
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

fn discover_peer(host: &mut TestHost) {
    let whole = common::whole_report(2);
    host.apply(Event::HostsListed(vec![(whole.host, whole.address)]));
}

/// Guards against an unauthenticated peer inside the network that reports a version which nobody
/// has. If a host fetched the configuration from it, the peer could give itself a credential.
#[test]
fn no_configuration_is_fetched_from_an_unlisted_host() {
    let mut host = TestHost::with_backends();
    host.receive_report(watcher_report(1, 7, 1));
    assert!(host.router.is_configuration_outdated());
    assert_eq!(host.router.configuration_holders(host.now), []);
    assert!(!host.router.is_registered_host(common::address(1).ip()));
    discover_peer(&mut host);
    let address = common::whole_report(2).address;
    assert_eq!(host.router.configuration_holders(host.now), [address]);
    assert!(host.router.is_registered_host(address.ip()));
}

/// Guards against a host that can't fetch the newest configuration from its peers, and refuses all
/// requests while the store has lost it, because a sender outside the fleet reported a version
/// which nobody has.
#[test]
fn an_unlisted_host_keeps_no_host_from_fetching_a_configuration() {
    let mut host = TestHost::with_backends();
    discover_peer(&mut host);
    let mut unlisted = watcher_report(1, 99, 1);
    unlisted.run = 99;
    unlisted.host = 99;
    if let Some(whole) = &mut unlisted.whole {
        *whole = WholeReport {
            store: whole.store.clone(),
            ..common::whole_report(3)
        };
    }
    host.receive_report(unlisted);
    host.receive_report(watcher_report(1, 7, 1));
    assert_eq!(
        host.router.configuration_holders(host.now),
        [common::whole_report(2).address]
    );
}

/// Returns a report of host `peer` of another cell, which has this version.
fn report_from_other_cell(sequence: u64, peer: u16, version: u64) -> Report {
    let store = StoreView {
        version,
        ..StoreView::default()
    };
    let whole = WholeReport {
        store,
        cell: 1,
        cell_callers: Some(Vec::new()),
        ..common::whole_report(peer)
    };
    common::report(sequence, whole)
}

/// Returns a host with version 1 whose store lists hosts 2 and 3, both in another cell. Host 2
/// has reported version 7, host 3 version 1.
fn host_of_outdated_cell() -> TestHost {
    let mut host = TestHost::with_backends();
    let listed = [2, 3].map(common::whole_report);
    let listed = listed.map(|it| (it.host, it.address)).to_vec();
    host.apply(Event::HostsListed(listed));
    host.receive_report(report_from_other_cell(1, 2, 7));
    host.receive_report(report_from_other_cell(1, 3, 1));
    host
}

/// Guards against a cell that has no way to a configuration which another cell has: the store
/// was restored from a copy without it.
#[test]
fn a_configuration_that_no_peer_has_is_fetched_from_another_cell() {
    let host = host_of_outdated_cell();
    let holder = common::whole_report(2).address;
    assert_eq!(host.router.configuration_holders(host.now), [holder]);
}

#[test]
fn a_peer_is_asked_before_another_cell() {
    let mut host = host_of_outdated_cell();
    let whole = WholeReport {
        store: StoreView {
            version: 7,
            ..StoreView::default()
        },
        ..common::whole_report(3)
    };
    host.receive_report(common::report(2, whole));
    let holder = common::whole_report(3).address;
    assert_eq!(host.router.configuration_holders(host.now), [holder]);
}

#[test]
fn a_silent_host_of_another_cell_is_not_asked() {
    let mut host = host_of_outdated_cell();
    host.wait(std::time::Duration::from_secs(5));
    assert_eq!(host.router.configuration_holders(host.now), []);
}

#[test]
fn no_configuration_is_fetched_from_a_host_with_an_older_version() {
    let mut host = TestHost::with_backends();
    discover_peer(&mut host);
    host.receive_report(watcher_report(1, 7, 1));
    let mut other = watcher_report(1, 6, 1);
    other.run = 99;
    other.host = 99;
    if let Some(whole) = &mut other.whole {
        *whole = WholeReport {
            store: whole.store.clone(),
            ..common::whole_report(3)
        };
    }
    host.receive_report(other);
    assert_eq!(
        host.router.configuration_holders(host.now),
        [common::whole_report(2).address]
    );
}

/// Guards against hosts that disagree for good: a host whose store access was rejected misses the
/// reports that one engine was added and another removed. It must take over what a peer knows.
#[test]
fn transferred_entries_make_two_hosts_agree() {
    let mut informed = TestHost::with_backends();
    informed.set_entry(record("engine-333", ENGINES, 9));
    informed.remove_entry("engine-1");
    let mut uninformed = TestHost::with_backends();
    let entries = informed.router.entry_snapshot();
    uninformed.apply(Event::EntriesTransferred(entries.clone()));
    assert_eq!(uninformed.router.entry_snapshot(), entries);
    for _ in 0..18 {
        let (_, decision) = uninformed.arrive("/ask/1", (600, 30));
        assert!(matches!(decision, Decision::Sent(_)));
        assert_ne!(decision.backend(), "engine-1");
    }
}

/// Guards against a transfer that undoes a change: a peer's entries may be older than what the
/// host has received since.
#[test]
fn older_transferred_entries_change_nothing() {
    let mut host = TestHost::with_backends();
    let older = host.router.entry_snapshot();
    let leaving = jaypin_router::BackendRecord {
        status: BackendStatus::Leaving,
        ..record("engine-1", ENGINES, 9)
    };
    host.set_entry(leaving);
    let newer = host.router.entry_snapshot();
    host.apply(Event::EntriesTransferred(older));
    assert_eq!(host.router.entry_snapshot(), newer);
}

/// Guards against an engine that disappears again: a host that starts reads a listing which is
/// seconds old, after a peer has already reported an engine that was added since.
#[test]
fn an_outdated_listing_removes_no_newer_entry() {
    let mut host = TestHost::new(common::configuration(1));
    let record = record("engine-1", ENGINES, 9);
    host.apply(Event::BackendChanged(EntryChange::Stated {
        record,
        point: StorePoint::new(1, 500),
    }));
    host.apply(Event::BackendsListed {
        entries: Vec::new(),
        point: StorePoint::new(1, 450),
    });
    let (_, decision) = host.arrive("/ask/1", (600, 30));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
    host.apply(Event::BackendsListed {
        entries: Vec::new(),
        point: StorePoint::new(1, 501),
    });
    let (_, decision) = host.arrive("/ask/1", (600, 30));
    assert!(!matches!(decision, Decision::Sent(_)), "{decision:?}");
}
