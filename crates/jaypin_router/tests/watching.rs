//! Which hosts of a fleet watch the store.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{ENGINES, TestHost, record};
use jaypin_router::{BackendRecord, BackendStatus, Effect, Event};

/// A host that has just read its configuration, beside registered hosts that it has not heard.
fn started(others: u16) -> TestHost {
    let mut bed = TestHost::unconfigured();
    let wholes = (2..2 + others).map(common::whole_report);
    let hosts = wholes.map(|it| (it.host, it.address));
    bed.apply(Event::HostsListed(hosts.collect()));
    bed.configure(common::configuration(1));
    bed.prove();
    bed
}

fn watches(bed: &TestHost) -> bool {
    bed.router.should_watch(bed.now, bed.boot)
}

/// A whole fleet starts. Each host reads the store within the same few milliseconds, before
/// it has heard anybody. When each then began to watch, the store had as many watches as
/// there are hosts, all but a few for nothing.
#[test]
fn hosts_that_start_together_leave_watching_to_two() {
    let bed = started(12);
    assert!(!watches(&bed));
}

/// The registered hosts are gone for good: somebody has to watch.
#[test]
fn a_host_that_hears_nobody_watches() {
    let mut bed = started(12);
    bed.wait(Duration::from_millis(1_600));
    assert!(watches(&bed));
}

#[test]
fn a_host_alone_watches_at_once() {
    assert!(watches(&started(0)));
}

/// The configuration was read sooner than the list of hosts.
#[test]
fn a_host_that_does_not_know_the_fleet_waits() {
    let mut bed = TestHost::unconfigured();
    bed.configure(common::configuration(1));
    bed.prove();
    assert!(!watches(&bed));
    bed.wait(Duration::from_millis(1_600));
    assert!(watches(&bed));
}

/// All hosts ask the store at once whether it is back, also those that peers will tell.
#[test]
fn two_hosts_go_first_when_the_store_is_asked_again() {
    let beds: Vec<_> = (1..=12).map(|own| heard_by(own, 12)).collect();
    let first = beds
        .iter()
        .filter(|it| it.router.probes_store_first(it.now));
    assert_eq!(first.count(), 2);
    let mut places: Vec<_> = beds
        .iter()
        .map(|it| it.router.store_probe_rank(it.now))
        .collect();
    places.sort_unstable();
    assert_eq!(places, (0..12).collect::<Vec<_>>());
}

/// A host of a number that has heard all others.
fn heard_by(own: u16, hosts: u16) -> TestHost {
    let mut bed = TestHost::unconfigured_as(own);
    for peer in (1..=hosts).filter(|it| *it != own) {
        bed.receive_report(common::report(1, common::whole_report(peer)));
    }
    bed
}

/// Nothing is known yet, so there is nothing that could be left to others.
#[test]
fn a_host_without_a_configuration_reads_at_once() {
    let bed = TestHost::unconfigured();
    assert!(watches(&bed));
}

/// What a host says of itself in the reports that are due within a moment.
fn says_it_may_watch(bed: &mut TestHost) -> Option<bool> {
    bed.wait(Duration::from_millis(10));
    let fx = bed.tick();
    let wholes = fx.into_iter().filter_map(|effect| match effect {
        Effect::SendReport { report, .. } => report.whole,
        _ => None,
    });
    wholes.last().map(|whole| whole.store.may_watch)
}

/// A credential is withdrawn while the store turns both watchers away and serves everyone
/// else. Peers relied on the two until their proofs were three seconds old, so requests with
/// the credential ran for longer than operators allow.
#[test]
fn a_watcher_that_is_turned_away_says_so_at_once() {
    let mut bed = started(0);
    let peer = common::report(1, common::whole_report(2));
    bed.receive_report(peer);
    bed.wait(Duration::from_millis(500));
    bed.prove();
    assert_eq!(says_it_may_watch(&mut bed), Some(true));
    bed.apply(Event::StoreCallFailed);
    assert_eq!(says_it_may_watch(&mut bed), Some(false));
    bed.prove();
    assert_eq!(says_it_may_watch(&mut bed), Some(true));
}

/// The store says nothing more to the two that watch. The others have to ask it themselves
/// soon enough for a change to be in force two seconds after it was accepted: the last
/// answer proved what was so 1.2 s before it.
#[test]
fn a_silent_store_is_asked_by_others_within_a_second_and_a_half() {
    let mut bed = started(0);
    let hear_watchers = |bed: &mut TestHost, sequence| {
        for peer in 2..12 {
            let mut whole = common::whole_report(peer);
            whole.store.may_watch = true;
            bed.receive_report(common::report(sequence, whole));
        }
    };
    hear_watchers(&mut bed, 1);
    let last_answer = bed.boot;
    bed.wait(Duration::from_millis(1_200));
    bed.apply(Event::ConfigurationProved(last_answer));
    bed.wait(Duration::from_millis(1_100));
    hear_watchers(&mut bed, 2);
    assert!(!watches(&bed));
    bed.wait(Duration::from_millis(400));
    assert!(watches(&bed));
}

/// Ids of entries that the host tells within some seconds.
fn told_entries(bed: &mut TestHost) -> Vec<String> {
    let mut told = Vec::new();
    for n in 0..40 {
        bed.wait(Duration::from_millis(100));
        let mut fx = bed.receive_report(common::report(n + 1, common::whole_report(2)));
        fx.extend(bed.tick());
        for effect in fx {
            if let Effect::SendReport { report, .. } = effect {
                told.extend(report.changes.iter().map(|it| format!("{it:?}")));
            }
        }
    }
    told
}

fn engines(count: usize) -> Vec<BackendRecord> {
    let ids = (0..count).map(|n| record(&format!("engine-{n}"), ENGINES, 9));
    ids.collect()
}

/// Guards against a fleet that starts and floods itself: each host tells all entries that it has
/// just listed to all others, which list them too.
#[test]
fn a_first_listing_is_told_to_nobody() {
    let mut bed = started(3);
    bed.list(engines(200));
    assert_eq!(told_entries(&mut bed), Vec::<String>::new());
}

/// Guards against a change that is told to nobody because it was found by a listing.
#[test]
fn what_a_later_listing_changes_is_told() {
    let mut bed = started(3);
    bed.list(engines(200));
    bed.list(engines(201));
    let told = told_entries(&mut bed);
    assert!((1..=3).contains(&told.len()), "{told:?}");
    assert!(told[0].contains("engine-200"));
}

/// Guards against work for backend servers that leave together: with hundreds of changes to tell,
/// the last ones waited for the first to be told three times.
#[test]
fn hundreds_of_changes_are_told_within_half_a_second() {
    let mut bed = started(3);
    bed.list(engines(450));
    told_entries(&mut bed);
    for mut record in engines(450) {
        record.status = BackendStatus::Leaving;
        bed.set_entry(record);
    }
    let mut told = BTreeSet::new();
    for _ in 0..50 {
        bed.wait(Duration::from_millis(10));
        for effect in bed.tick() {
            if let Effect::SendReport { report, .. } = effect {
                told.extend(report.changes.iter().map(|it| format!("{it:?}")));
            }
        }
    }
    assert_eq!(told.len(), 450);
}
