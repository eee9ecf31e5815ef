//! Quotas of accounts at a host that has just started.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Decision, ENGINES, TestHost, record, token_quota};
use jaypin_core::HostId;
use jaypin_router::Event;

/// Numbers of the other twelve hosts.
const OTHERS: std::ops::Range<u16> = 2..14;
const RATE: f64 = 100_000.0;
/// Seconds of its rate that an account gets from a fleet that has just started.
const FIRST_SECONDS: f64 = 0.2;
/// Units that one request uses.
const UNITS: f64 = 100.0;

/// Returns a host that has just started, with 200 engines and one account with a quota.
fn started_host() -> TestHost {
    let mut configuration = common::configuration(1);
    configuration.accounts[0].quota = Some(token_quota(RATE, 0.0));
    let mut host = TestHost::unconfigured();
    host.configure(configuration);
    host.prove();
    host.tick();
    for number in 0..200 {
        host.set_entry(record(&format!("engine-{number}"), ENGINES, 9));
    }
    host
}

/// Returns hosts as the store lists them.
fn listed(others: std::ops::Range<u16>) -> Vec<(HostId, SocketAddr)> {
    let wholes = others.map(common::whole_report);
    wholes.map(|it| (it.host, it.address)).collect()
}

/// Adds hosts that the store lists.
fn discover_hosts(host: &mut TestHost, others: std::ops::Range<u16>) {
    host.apply(Event::HostsListed(listed(others)));
}

/// Sends more requests than any quota allows and returns the units that were granted.
fn saturate(host: &mut TestHost) -> f64 {
    let sent = (0..250).filter(|_| {
        let (_, decision) = host.arrive("/label/1", (50, 50));
        matches!(decision, Decision::Sent(_))
    });
    sent.map(|_| UNITS).sum()
}

/// Guards against hosts that each grant the whole fleet's first allowance. Thirteen hosts are
/// killed together while an account sends at its limit and goes on; for a tenth of a second, no
/// host receives the others' use. The account got two and a half seconds of its rate at once, in
/// addition to what it had used before the kill, and exceeded its quota.
#[test]
fn a_host_without_peer_reports_grants_its_share_only() {
    let mut host = started_host();
    discover_hosts(&mut host, OTHERS);
    let granted = saturate(&mut host);
    assert!(granted <= RATE * FIRST_SECONDS / 13.0 + UNITS, "{granted}");
    assert!(granted >= UNITS, "{granted}");
}

/// Guards against a host that counts itself as the whole fleet because it has read the
/// configuration from the store but not yet the hosts.
#[test]
fn a_host_that_does_not_know_the_fleet_grants_a_small_share() {
    let granted = saturate(&mut started_host());
    assert!(granted <= RATE * FIRST_SECONDS / 32.0 + UNITS, "{granted}");
}

/// Guards against a host that takes the part of the hosts which it could list for the whole fleet. The
/// others may not be able to list it either.
#[test]
fn a_host_that_listed_a_part_of_the_fleet_grants_a_small_share() {
    for others in [2..2, 2..4] {
        let mut host = started_host();
        host.apply(Event::HostsFound(listed(others)));
        let granted = saturate(&mut host);
        assert!(granted <= RATE * FIRST_SECONDS / 32.0 + UNITS, "{granted}");
    }
}

/// Guards against a small share for good although the hosts that report make up most of the fleet.
#[test]
fn hosts_that_listed_a_part_of_the_fleet_share_more_with_each_peer() {
    let mut host = started_host();
    host.apply(Event::HostsFound(listed(OTHERS)));
    for peer in OTHERS {
        host.receive_report(common::report(1, common::whole_report(peer)));
    }
    host.wait(Duration::from_millis(100));
    let granted = saturate(&mut host);
    let share = 13.0 / 32.0;
    // The rate of the wait comes on top of what is granted at once.
    let most = RATE * (FIRST_SECONDS + 0.1) * share + UNITS;
    assert!(granted <= most, "{granted} of {most}");
    assert!(granted >= RATE * 0.1 * share - UNITS, "{granted}");
}

/// Guards against a host that forgets that it knew the fleet because a later listing was cut.
#[test]
fn a_cut_listing_after_a_whole_one_changes_nothing() {
    let mut host = started_host();
    discover_hosts(&mut host, OTHERS);
    host.apply(Event::HostsFound(listed(2..3)));
    let granted = saturate(&mut host);
    let share = 1.0 / 13.0;
    assert!(granted >= RATE * FIRST_SECONDS * share - UNITS, "{granted}");
}

/// Guards against quotas that stay reduced: hosts that were discovered but are gone for good must
/// not keep a share.
#[test]
fn hosts_that_never_report_count_for_seconds_only() {
    let mut host = started_host();
    discover_hosts(&mut host, OTHERS);
    for _ in 0..60 {
        host.wait(Duration::from_millis(250));
        host.prove();
        host.tick();
    }
    let granted = saturate(&mut host);
    assert!(granted >= RATE * 0.2, "{granted}");
}

/// Guards against a share that is held back although the use by all hosts is known.
#[test]
fn a_host_with_reports_of_all_peers_grants_the_whole_rate() {
    let mut host = started_host();
    discover_hosts(&mut host, OTHERS);
    for peer in OTHERS {
        host.receive_report(common::report(1, common::whole_report(peer)));
    }
    host.wait(Duration::from_millis(100));
    let granted = saturate(&mut host);
    assert!(granted >= RATE * 0.1, "{granted}");
}
