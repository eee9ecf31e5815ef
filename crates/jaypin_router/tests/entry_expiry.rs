//! Entries of backend servers that are removed or missing.

mod common;

use std::time::Duration;

use common::{Decision, ENGINES, TestHost, record};
use jaypin_core::Reason;
use jaypin_router::{BackendStatus, Effect, EntryChange, EntrySource, Event, StorePoint};

fn host_with_engines(engines: usize) -> (TestHost, Vec<String>) {
    let mut host = TestHost::new(common::configuration(1));
    let ids: Vec<_> = (0..engines).map(|n| format!("engine-{n:03}")).collect();
    for id in &ids {
        host.set_entry(record(id, ENGINES, 9));
    }
    (host, ids)
}

fn is_served(host: &mut TestHost) -> bool {
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    matches!(decision, Decision::Sent(_))
}

/// Guards against a request to an engine that is about to exit: it leaves without a leaving
/// signal, by a removed entry, and its process exits two seconds later. A host that had lost the
/// store a moment before kept the engine for those two seconds and sent it one more request.
#[test]
fn an_entry_that_a_watch_reports_as_removed_is_dropped_at_once() {
    let (mut host, _) = host_with_engines(1);
    host.apply(Event::StoreCallFailed);
    host.wait(Duration::from_millis(1_900));
    host.remove_entry("engine-000");
    assert!(!is_served(&mut host));
}

/// Guards against an outage of the store that costs all engines. The host's watch hangs for
/// seconds without an error and then reports that every lease has expired; the engines are fine
/// and write their entries again.
#[test]
fn entries_that_are_removed_together_are_used_until_they_are_back() {
    let (mut host, ids) = host_with_engines(18);
    for id in &ids {
        host.remove_entry(id);
    }
    assert!(is_served(&mut host));
    host.wait(Duration::from_secs(1));
    for id in &ids {
        host.set_entry(record(id, ENGINES, 9));
    }
    host.wait(Duration::from_secs(5));
    host.prove();
    host.tick();
    assert!(is_served(&mut host));
}

/// Guards against engines that are used for ever after such an outage although they are gone for
/// good.
#[test]
fn entries_that_do_not_come_back_are_dropped_before_two_seconds() {
    let (mut host, ids) = host_with_engines(18);
    for id in &ids {
        host.remove_entry(id);
    }
    let due = host
        .router
        .next_tick(host.now + Duration::from_millis(1_600));
    assert!(due <= host.now + Duration::from_millis(1_750));
    host.wait(Duration::from_millis(1_750));
    host.tick();
    assert!(!is_served(&mut host));
}

/// Guards against a listing that removes live engines: right after an outage, the store lists
/// none, since all leases have expired during it.
#[test]
fn a_listing_right_after_an_outage_may_lack_live_entries() {
    let (mut host, _) = host_with_engines(4);
    host.apply(Event::StoreCallFailed);
    host.wait(Duration::from_millis(400));
    host.list_entries(Vec::new());
    assert!(is_served(&mut host));
    host.wait(Duration::from_millis(1_800));
    host.prove();
    host.tick();
    assert!(!is_served(&mut host));
}

#[test]
fn a_listing_without_an_outage_is_applied_at_once() {
    let (mut host, _) = host_with_engines(4);
    host.list_entries(Vec::new());
    assert!(!is_served(&mut host));
}

/// Guards against an engine that is kept although it has stated that it is leaving, when its
/// entry is removed during an outage.
#[test]
fn an_entry_that_announced_its_leaving_is_never_kept() {
    let (mut host, _) = host_with_engines(1);
    let mut leaving = record("engine-000", ENGINES, 9);
    leaving.status = BackendStatus::Leaving;
    host.set_entry(leaving);
    host.apply(Event::StoreCallFailed);
    host.list_entries(Vec::new());
    let (number, decision) = host.arrive("/ask/1", (10, 10));
    assert_eq!(decision, Decision::Queued);
    host.wait(Duration::from_millis(100));
    let decision = common::decision_for(&host.tick(), number);
    assert_eq!(decision.refusal().reason, Reason::NoBackend);
}

/// Guards against an engine that counts as ready again. One watching host reports that the engine
/// is leaving; another, which lags behind, reports its earlier state.
#[test]
fn an_older_state_of_an_entry_changes_nothing() {
    let (mut host, _) = host_with_engines(1);
    let mut leaving = record("engine-000", ENGINES, 9);
    leaving.status = BackendStatus::Leaving;
    host.apply(Event::BackendChanged(EntryChange::Stated {
        record: leaving,
        point: StorePoint::new(1, 90),
    }));
    host.apply(Event::BackendChanged(EntryChange::Stated {
        record: record("engine-000", ENGINES, 9),
        point: StorePoint::new(1, 80),
    }));
    assert!(!is_served(&mut host));
}

/// Returns from whom a host says in its log that it learned of leaves.
fn logged_sources(fx: Vec<Effect>) -> Vec<EntrySource> {
    let logged = fx.into_iter().filter_map(|effect| match effect {
        Effect::BackendLeft { source, .. } => Some(source),
        _ => None,
    });
    logged.collect()
}

/// Guards against a host that logs nothing when it learns that a backend server leaves, so that the
/// cause of a late request can't be found.
#[test]
fn each_source_of_a_leave_is_logged() {
    let leave = |host: &mut TestHost| EntryChange::Removed {
        id: "engine-000".into(),
        point: host.next_point(),
    };
    let (mut host, _) = host_with_engines(2);
    let change = leave(&mut host);
    let fx = host.apply(Event::BackendChanged(change));
    assert_eq!(logged_sources(fx), [EntrySource::Store]);
    let (mut host, _) = host_with_engines(2);
    let change = leave(&mut host);
    let fx = host.apply(Event::EntriesTransferred(vec![change]));
    assert_eq!(logged_sources(fx), [EntrySource::Transfer]);
    let (mut host, _) = host_with_engines(2);
    let mut report = common::report(1, common::whole_report(2));
    report.changes = vec![leave(&mut host)];
    let fx = host.receive_report(report);
    assert_eq!(logged_sources(fx), [EntrySource::Report]);
}

/// Removes the entries of all engines, and returns for how long requests are still sent to one.
fn used_after_removal(host: &mut TestHost, ids: &[String]) -> Duration {
    let removed_at = host.now;
    for id in ids {
        host.remove_entry(id);
    }
    while host.router.still_accepts(&ids[0], host.now) {
        host.wait(Duration::from_millis(50));
        host.tick();
    }
    host.now - removed_at
}

/// Lets time pass while the host runs.
fn run(host: &mut TestHost, time: Duration) {
    let until = host.now + time;
    while host.now < until {
        host.wait(Duration::from_millis(50));
        host.tick();
    }
}

/// Guards against a backend server that is used for longer than operators allow because the time that
/// an expired entry may be missing was added to the time in which the host had not learned of it.
#[test]
fn the_time_for_a_missing_entry_counts_from_the_last_proof() {
    for age in [0, 500, 1_000, 1_500, 2_000] {
        let (mut host, ids) = host_with_engines(4);
        host.prove();
        let age = Duration::from_millis(age);
        run(&mut host, age);
        let used = used_after_removal(&mut host, &ids);
        assert!(
            age + used <= Duration::from_millis(1_650).max(age),
            "{age:?} {used:?}"
        );
    }
}

/// Guards against a fleet without backend servers for the two seconds after an outage of the store in
/// which they write their entries again, although the last proof is old then.
#[test]
fn entries_that_expired_while_the_store_was_away_are_used_until_they_are_back() {
    let (mut host, ids) = host_with_engines(4);
    run(&mut host, Duration::from_secs(8));
    host.apply(Event::ConfigurationProved(host.boot_time));
    let used = used_after_removal(&mut host, &ids);
    assert!(used >= Duration::from_millis(1_850), "{used:?}");
    assert!(used <= Duration::from_millis(2_050), "{used:?}");
}

/// Guards against a host that takes its own stall for an outage of the store, and goes on using
/// backend servers that left meanwhile.
#[test]
fn a_stalled_host_takes_the_store_for_available() {
    let (mut host, ids) = host_with_engines(4);
    run(&mut host, Duration::from_secs(1));
    host.wait(Duration::from_secs(8));
    host.tick();
    host.prove();
    host.apply(Event::ConfigurationProved(host.boot_time));
    run(&mut host, Duration::from_millis(1_700));
    assert_eq!(used_after_removal(&mut host, &ids), Duration::ZERO);
}

/// Guards against a log that can't tell a leave that a host learned of at once from one that it learned
/// of late.
#[test]
fn the_log_of_a_leave_states_the_age_of_the_entries() {
    let (mut host, _) = host_with_engines(2);
    host.prove();
    run(&mut host, Duration::from_millis(700));
    let id = "engine-000".into();
    let point = host.next_point();
    let fx = host.apply(Event::BackendChanged(EntryChange::Removed { id, point }));
    let age = fx.into_iter().find_map(|effect| match effect {
        Effect::BackendLeft { known_age, .. } => known_age,
        _ => None,
    });
    assert_eq!(age, Some(Duration::from_millis(700)));
}
