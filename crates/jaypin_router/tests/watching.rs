//! Which hosts of a fleet watch the store.

mod common;
#[path = "common/started_host.rs"]
mod started_host;

use std::time::Duration;

use common::TestHost;
use jaypin_router::{Effect, Event, StoreView};
use started_host::{engines, started_host};

fn should_watch(host: &TestHost) -> bool {
    host.router.should_watch(host.now, host.boot_time)
}

/// Guards against a fleet that starts with one watch per host. Each host reads the store within
/// the same few milliseconds, before it has received any report; when each then began to watch,
/// the store had as many watches as there are hosts, and needed only a few of them.
#[test]
fn hosts_that_start_together_leave_watching_to_two() {
    let host = started_host(12);
    assert!(!should_watch(&host));
}

/// Guards against a store that nobody watches because the registered hosts are gone for good.
#[test]
fn a_host_without_peer_reports_watches() {
    let mut host = started_host(12);
    host.wait(Duration::from_millis(1_600));
    assert!(should_watch(&host));
}

#[test]
fn a_host_alone_watches_at_once() {
    assert!(should_watch(&started_host(0)));
}

/// Guards against a host that watches at once because it knows no other host yet: it has read the
/// configuration before the list of hosts.
#[test]
fn a_host_that_does_not_know_the_fleet_waits() {
    let mut host = TestHost::unconfigured();
    host.configure(common::configuration(1));
    host.prove();
    assert!(!should_watch(&host));
    host.wait(Duration::from_millis(1_600));
    assert!(should_watch(&host));
}

/// Guards against hosts that all query a store at once to see whether it is back, although most
/// would learn it from their peers.
#[test]
fn two_hosts_query_the_store_first_after_an_outage() {
    let hosts: Vec<_> = (1..=12)
        .map(|own| host_with_reports_from_all(own, 12))
        .collect();
    let first = hosts
        .iter()
        .filter(|it| it.router.probes_store_first(it.now));
    assert_eq!(first.count(), 2);
    let mut ranks: Vec<_> = hosts
        .iter()
        .map(|it| it.router.store_probe_rank(it.now))
        .collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..12).collect::<Vec<_>>());
}

/// Returns the host `own` of a fleet, which has received a report from every other host.
fn host_with_reports_from_all(own: u16, hosts: u16) -> TestHost {
    let mut host = TestHost::unconfigured_as(own);
    for peer in (1..=hosts).filter(|it| *it != own) {
        host.receive_report(common::report(1, common::whole_report(peer)));
    }
    host
}

/// Guards against a host without a configuration that leaves the reading to its peers: it knows
/// of none.
#[test]
fn a_host_without_a_configuration_reads_at_once() {
    let host = TestHost::unconfigured();
    assert!(should_watch(&host));
}

/// Returns whether the host states in the next reports that it may watch.
fn reported_may_watch(host: &mut TestHost) -> Option<bool> {
    host.wait(Duration::from_millis(10));
    let fx = host.tick();
    let wholes = fx.into_iter().filter_map(|effect| match effect {
        Effect::SendReport { report, .. } => report.whole,
        _ => None,
    });
    wholes.last().map(|whole| whole.store.may_watch)
}

/// Guards against a withdrawn credential that is accepted for longer than operators allow. The
/// store rejected both watchers and served everyone else; peers relied on the two until their
/// proofs were three seconds old.
#[test]
fn a_watcher_that_the_store_rejects_reports_it_at_once() {
    let mut host = started_host(0);
    let peer = common::report(1, common::whole_report(2));
    host.receive_report(peer);
    host.wait(Duration::from_millis(500));
    host.prove();
    assert_eq!(reported_may_watch(&mut host), Some(true));
    host.apply(Event::StoreCallFailed);
    assert_eq!(reported_may_watch(&mut host), Some(false));
    host.prove();
    assert_eq!(reported_may_watch(&mut host), Some(true));
}

/// Guards against a change that is applied too late because the store has become silent towards
/// the two watchers. The others must query it soon enough for a change to be applied two seconds
/// after it was accepted: the last answer proved the state of 1.2 s before it.
#[test]
fn other_hosts_query_a_silent_store_within_a_second_and_a_half() {
    let mut host = started_host(0);
    let receive_watcher_reports = |host: &mut TestHost, sequence| {
        for peer in 2..12 {
            let mut whole = common::whole_report(peer);
            whole.store.may_watch = true;
            whole.store.is_watching = true;
            host.receive_report(common::report(sequence, whole));
        }
    };
    receive_watcher_reports(&mut host, 1);
    let last_answer = host.boot_time;
    host.wait(Duration::from_millis(1_200));
    host.apply(Event::ConfigurationProved(last_answer));
    host.wait(Duration::from_millis(1_100));
    receive_watcher_reports(&mut host, 2);
    assert!(!should_watch(&host));
    host.wait(Duration::from_millis(400));
    assert!(should_watch(&host));
}

/// Returns a host that receives reports of ten live peers for `time`. All of them could watch the
/// store; those in `watching` state that they do.
fn host_with_peers(time: Duration, watching: &[u16]) -> TestHost {
    let mut host = started_host(0);
    let rounds = time.as_millis() / 250;
    for sequence in 1..=u64::try_from(rounds).expect("few") {
        host.wait(Duration::from_millis(250));
        host.apply(Event::ConfirmedByPeer(host.boot_time));
        for peer in 2..12 {
            let mut whole = common::whole_report(peer);
            whole.store.may_watch = true;
            whole.store.is_watching = watching.contains(&peer);
            host.receive_report(common::report(sequence, whole));
        }
    }
    host
}

/// Guards against requests to a backend server that left seconds ago: in a fleet that grew into
/// more cells, the peers on which a new host relied relied on watchers that no longer reported to
/// its cell, so nobody told it of the change.
#[test]
fn a_host_watches_if_no_preceding_peer_does() {
    assert!(!should_watch(&host_with_peers(Duration::from_secs(1), &[])));
    assert!(should_watch(&host_with_peers(Duration::from_secs(2), &[])));
}

#[test]
fn a_host_with_preceding_watchers_does_not_watch() {
    let all: Vec<u16> = (2..12).collect();
    let host = host_with_peers(Duration::from_secs(4), &all);
    assert!(!should_watch(&host));
}

/// Returns the numbered host of a fleet whose hosts have all just been listed.
fn listed_host(own: u16, hosts: u16) -> TestHost {
    let mut host = TestHost::unconfigured_as(own);
    let others = (1..=hosts).filter(|it| *it != own);
    let listed = others.map(common::whole_report);
    let listed = listed.map(|it| (it.host, it.address)).collect();
    host.apply(Event::HostsListed(listed));
    host
}

/// Returns the numbers of the hosts that watch the store in a fleet that has just started.
fn store_watchers(hosts: u16) -> Vec<u16> {
    let watches = |own: &u16| {
        let host = listed_host(*own, hosts);
        host.router.is_store_watcher(host.now)
    };
    (1..=hosts).filter(watches).collect()
}

/// Guards against calls to the store that grow with the fleet, as they do if each cell watches it.
#[test]
fn as_many_hosts_watch_the_store_in_a_fleet_of_twice_the_size() {
    assert_eq!(store_watchers(340).len(), 8);
    assert_eq!(store_watchers(680).len(), 8);
}

/// Guards against cells that learn of no change because they ask hosts that don't watch the store.
#[test]
fn each_host_of_another_cell_knows_the_hosts_that_watch_the_store() {
    let watchers = store_watchers(340);
    let watchers: Vec<_> = watchers
        .iter()
        .map(|it| common::whole_report(*it).address)
        .collect();
    for own in (1..=340).step_by(20) {
        let host = listed_host(own, 340);
        let known = host.router.probable_watchers();
        let is_known = |it: &_| known.contains(it);
        assert!(!host.router.is_relay() || watchers.iter().all(is_known));
    }
}

/// Guards against a store that each host of a starting fleet reads.
#[test]
fn a_starting_host_of_a_large_fleet_leaves_reading_to_the_watchers() {
    let waiting = (1..=90).filter(|own| {
        let host = listed_host(*own, 90);
        host.router.awaits_peers(host.now)
    });
    assert_eq!(waiting.count(), 90 - 2 * 4);
    let mut host = listed_host(1, 90);
    host.wait(Duration::from_secs(2));
    assert!(!host.router.awaits_peers(host.now));
}

/// Guards against a second without service after a common restart: without the listing, the two
/// watchers of a cell send all entries to each of its hosts at the same time.
#[test]
fn a_starting_host_of_a_few_cells_lists_the_entries_itself() {
    for hosts in [41, 146] {
        let host = listed_host(1, hosts);
        let awaits_peers = host.router.awaits_peers(host.now);
        assert_eq!(host.router.lists_entries_at_start(host.now), awaits_peers);
    }
    let listing = (1..=90).filter(|own| {
        let host = listed_host(*own, 90);
        host.router.lists_entries_at_start(host.now)
    });
    assert_eq!(listing.count(), 90 - 2 * 4);
}

/// Guards against calls to the store that grow with a fleet whose cells read it through others, and
/// against a listing by a host that does not know yet how large the fleet is.
#[test]
fn a_starting_host_of_many_cells_leaves_the_entries_to_its_peers() {
    let host = listed_host(1, 340);
    assert!(!host.router.lists_entries_at_start(host.now));
    let host = TestHost::unconfigured();
    assert!(!host.router.lists_entries_at_start(host.now));
}

/// Guards against a store that all hosts of a starting fleet watch: peers that have no configuration
/// yet report that they may not watch.
#[test]
fn peers_without_a_configuration_are_expected_to_watch() {
    let mut host = listed_host(1, 12);
    for peer in 2..=12 {
        let mut whole = common::whole_report(peer);
        whole.store.version = 0;
        whole.store.may_watch = false;
        host.receive_report(common::report(1, whole));
    }
    let watches = store_watchers(12).contains(&1);
    assert_eq!(host.router.is_watcher(host.now), watches);
    assert!(!watches, "the test needs a host that is no watcher");
}

/// Guards against a store that all hosts of a starting fleet watch: the list of hosts takes them a
/// second, the watchers then read the store, and nobody has reported yet that it watches.
#[test]
fn hosts_that_list_the_others_late_leave_watching_to_two() {
    let watching = (1..=90).filter(|own| {
        let mut host = TestHost::unconfigured_as(*own);
        host.tick();
        host.wait(Duration::from_millis(1_400));
        let others = (1..=90).filter(|it| it != own).map(common::whole_report);
        let listed = others.map(|it| (it.host, it.address)).collect();
        host.apply(Event::HostsListed(listed));
        host.wait(Duration::from_millis(500));
        host.router.is_watcher(host.now)
    });
    assert_eq!(watching.count(), 2 * 4);
}

#[test]
fn a_starting_host_of_a_small_fleet_reads_the_store_itself() {
    let host = listed_host(1, 12);
    assert!(!host.router.awaits_peers(host.now));
}

/// Guards against a host that reads the store for a fleet that it does not know yet.
#[test]
fn a_starting_host_first_lists_the_hosts() {
    let mut host = TestHost::unconfigured();
    assert!(host.router.awaits_peers(host.now));
    host.apply(Event::HostsListed(Vec::new()));
    assert!(!host.router.awaits_peers(host.now));
}

/// Returns the number of reports that a host sends to other cells in 10 s.
fn reports_to_other_cells(hosts: u16) -> usize {
    let mut host = listed_host(1, hosts);
    let mut reports = 0;
    for _ in 0..100 {
        host.wait(Duration::from_millis(100));
        for effect in host.tick() {
            if let Effect::SendReport { to, report } = effect
                && report.whole.is_some_and(|it| it.cell_callers.is_some())
            {
                reports += to.len();
            }
        }
    }
    reports
}

/// Guards against reports that each host sends to every cell, so that a host of a fleet of twice the
/// size sends and receives twice as many.
#[test]
fn a_host_sends_as_many_reports_to_other_cells_in_a_fleet_of_twice_the_size() {
    let reports = reports_to_other_cells(340);
    assert_eq!(reports, reports_to_other_cells(680));
    assert!(reports <= 4 * 20, "{reports}");
}

/// Guards against a fleet that shrinks for its hosts a quarter of an hour after their start: hosts of
/// other cells report elsewhere, and were forgotten as silent.
#[test]
fn hosts_of_other_cells_are_not_forgotten() {
    let mut host = listed_host(1, 90);
    for _ in 0..17 {
        host.wait(Duration::from_mins(1));
        host.prove();
        host.tick();
    }
    let is_reported_to = (0..20).any(|_| {
        host.wait(Duration::from_millis(100));
        let fx = host.tick();
        fx.iter().any(|effect| {
            matches!(effect, Effect::SendReport { to, report }
                if !to.is_empty() && report.whole.as_ref().is_some_and(|it| it.cell_callers.is_some()))
        })
    });
    assert!(is_reported_to);
}

/// Returns what the host states of itself as a watcher after some seconds in which the store proved the
/// configuration, and the entries if `proves_entries`.
fn reported_after_proofs(proves_entries: bool) -> Option<(bool, bool)> {
    let mut host = started_host(0);
    host.receive_report(common::report(1, common::whole_report(2)));
    let mut reported = None;
    for sequence in 2..40 {
        host.wait(Duration::from_millis(100));
        if proves_entries {
            host.apply(Event::EntriesProved(host.boot_time));
        }
        let mut fx = host.apply(Event::ConfigurationProved(host.boot_time));
        fx.extend(host.receive_report(common::report(sequence, common::whole_report(2))));
        fx.extend(host.tick());
        let wholes = fx.into_iter().filter_map(|effect| match effect {
            Effect::SendReport { report, .. } => report.whole,
            _ => None,
        });
        let view = wholes.last().map(|whole| whole.store);
        reported = view.map(|it| (it.may_watch, it.is_watching)).or(reported);
    }
    reported
}

/// Guards against a cell that learns of no change because both its watchers' watches of entries are
/// silent: their proofs of the configuration come over another connection.
#[test]
fn a_watcher_without_a_proof_of_entries_is_none() {
    assert_eq!(reported_after_proofs(true), Some((true, true)));
    assert_eq!(reported_after_proofs(false), Some((false, false)));
}

/// Returns the proof of entries that a host reports after a peer has reported one, for a digest that
/// is the host's own if `has_same_entries`.
fn proof_from_peer(has_same_entries: bool) -> Option<Duration> {
    let mut host = started_host(1);
    host.list_entries(engines(2));
    let before = host.boot_time;
    let mut reported = None;
    for sequence in 1..12 {
        host.wait(Duration::from_millis(250));
        let mut whole = common::whole_report(2);
        whole.sent_at = host.boot_time;
        whole.store.version = 1;
        whole.store.entries_proved_at = Some(host.boot_time);
        whole.store.digest = own_digest(&mut host) ^ u64::from(!has_same_entries);
        host.receive_report(common::report(sequence, whole));
        reported = own_view(&mut host).entries_proved_at;
    }
    reported.filter(|at| *at > before + Duration::from_secs(1))
}

fn own_digest(host: &mut TestHost) -> u64 {
    own_view(host).digest
}

/// Returns what the host reports of the store next.
fn own_view(host: &mut TestHost) -> StoreView {
    loop {
        host.wait(Duration::from_millis(10));
        let found = host.tick().into_iter().find_map(|effect| match effect {
            Effect::SendReport { report, .. } => report.whole,
            _ => None,
        });
        if let Some(whole) = found {
            return whole.store;
        }
    }
}

/// Guards against entries whose age nobody knows, and against a proof of other entries.
#[test]
fn a_peer_s_proof_of_the_same_entries_holds() {
    assert!(proof_from_peer(true).is_some());
    assert_eq!(proof_from_peer(false), None);
}
