//! Quotas of accounts in the first moments of a host.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, Told, record, token_quota};
use jaypin_router::Event;

/// Numbers of the other twelve hosts.
const OTHERS: std::ops::Range<u16> = 2..14;
const RATE: f64 = 100_000.0;
/// Seconds of its rate that an account gets from a fleet that has just started.
const FIRST_SECONDS: f64 = 0.2;
/// Units of one request.
const UNITS: f64 = 100.0;

/// A host that has just started, with a few backend servers and one limited account.
fn started() -> TestHost {
    let mut configuration = common::configuration(1);
    configuration.accounts[0].quota = Some(token_quota(RATE, 0.0));
    let mut bed = TestHost::unconfigured();
    bed.configure(configuration);
    bed.prove();
    bed.tick();
    for number in 0..200 {
        bed.set_entry(record(&format!("engine-{number}"), ENGINES, 9));
    }
    bed
}

/// Other hosts, as the store lists them.
fn find(bed: &mut TestHost, others: std::ops::Range<u16>) {
    let wholes = others.map(common::whole_report);
    let hosts = wholes.map(|it| (it.host, it.address));
    bed.apply(Event::HostsListed(hosts.collect()));
}

/// Presses with more requests than any quota allows; gives the units that were taken.
fn press(bed: &mut TestHost) -> f64 {
    let sent = (0..250).filter(|_| {
        let (_, told) = bed.arrive("/label/1", (50, 50));
        matches!(told, Told::Sent(_))
    });
    sent.map(|_| UNITS).sum()
}

/// Thirteen hosts are killed together while an account presses, and it presses on. For a
/// tenth of a second none hears of the others' use. When each gave out the whole fleet's
/// first allowance, the account got two and a half seconds of its rate at once, beside what
/// it had used before the kill, and was beyond its quota.
#[test]
fn a_host_that_hears_nobody_gives_out_its_part_only() {
    let mut bed = started();
    find(&mut bed, OTHERS);
    let taken = press(&mut bed);
    assert!(taken <= RATE * FIRST_SECONDS / 13.0 + UNITS, "{taken}");
    assert!(taken >= UNITS, "{taken}");
}

/// The store lists the configuration sooner than the hosts.
#[test]
fn a_host_that_does_not_know_the_fleet_gives_out_a_small_part() {
    let taken = press(&mut started());
    assert!(taken <= RATE * FIRST_SECONDS / 32.0 + UNITS, "{taken}");
}

/// Hosts that were found and are gone for good must not keep a part of the quotas.
#[test]
fn hosts_that_are_never_heard_count_for_seconds_only() {
    let mut bed = started();
    find(&mut bed, OTHERS);
    for _ in 0..60 {
        bed.wait(Duration::from_millis(250));
        bed.prove();
        bed.tick();
    }
    let taken = press(&mut bed);
    assert!(taken >= RATE * 0.2, "{taken}");
}

/// Once all are heard, what they used is known, and nothing is held back.
#[test]
fn a_host_that_hears_all_gives_out_the_whole_rate() {
    let mut bed = started();
    find(&mut bed, OTHERS);
    for peer in OTHERS {
        bed.receive_report(common::report(1, common::whole_report(peer)));
    }
    bed.wait(Duration::from_millis(100));
    let taken = press(&mut bed);
    assert!(taken >= RATE * 0.1, "{taken}");
}
