//! Which hosts of a fleet watch the store.

mod common;

use std::time::Duration;

use common::Bed;
use jaypin_router::Event;

/// A host that has just read its configuration, beside registered hosts that it has not heard.
fn started(others: u16) -> Bed {
    let mut bed = Bed::unconfigured();
    let wholes = (2..2 + others).map(common::whole);
    let hosts = wholes.map(|it| (it.host, it.address));
    bed.apply(Event::HostsFound(hosts.collect()));
    bed.configure(common::configuration(1));
    bed.prove();
    bed
}

fn watches(bed: &Bed) -> bool {
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
    let mut bed = Bed::unconfigured();
    bed.configure(common::configuration(1));
    bed.prove();
    assert!(!watches(&bed));
    bed.wait(Duration::from_millis(1_600));
    assert!(watches(&bed));
}

/// Nothing is known yet, so there is nothing that could be left to others.
#[test]
fn a_host_without_a_configuration_reads_at_once() {
    let bed = Bed::unconfigured();
    assert!(watches(&bed));
}
