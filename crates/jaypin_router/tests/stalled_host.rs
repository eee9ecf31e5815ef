//! A host that was stalled, and has yet to learn which backend servers left meanwhile.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, record};
use jaypin_router::{Effect, Event};

/// Time by which the peer's clock is ahead.
const CLOCK_OFFSET: Duration = Duration::from_secs(500);

/// A host with an engine, and a watcher with the same entries that reports to it.
struct StalledHost {
    host: TestHost,
    digest: u64,
    sequence: u64,
}

impl StalledHost {
    /// Lets the host run for a second, and then be stalled for a time.
    fn new(time: Duration) -> Self {
        let mut host = TestHost::unconfigured();
        let peer = common::whole_report(2);
        host.apply(Event::HostsListed(vec![(peer.host, peer.address)]));
        host.configure(common::configuration(1));
        host.list_entries(vec![record("engine-1", ENGINES, 9)]);
        host.prove();
        let found = host.tick().into_iter().find_map(|effect| match effect {
            Effect::SendReport { report, .. } => report.whole,
            _ => None,
        });
        let digest = found.expect("a report").store.digest;
        let mut state = Self {
            host,
            digest,
            sequence: 0,
        };
        for _ in 0..10 {
            state.wait(Duration::from_millis(100));
            state.receive_report(Duration::ZERO, true);
        }
        state.wait(time);
        state
    }

    fn wait(&mut self, time: Duration) {
        self.host.wait(time);
        self.host.tick();
    }

    /// Receives a watcher's report that was sent a while ago.
    fn receive_report(&mut self, age: Duration, has_same_entries: bool) {
        self.sequence += 1;
        let mut whole = common::whole_report(2);
        whole.sent_at = (self.host.boot_time + CLOCK_OFFSET).saturating_sub(age);
        whole.store.version = 1;
        whole.store.may_watch = true;
        whole.store.is_watching = true;
        whole.store.digest = self.digest ^ u64::from(!has_same_entries);
        self.host
            .receive_report(common::report(self.sequence, whole));
    }

    fn prove_entries(&mut self, age: Duration) {
        let at = self.host.boot_time.saturating_sub(age);
        self.host.apply(Event::EntriesProved(at));
    }
}

macro_rules! catches_up {
    ($($name:ident: after $stall:expr, $act:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut state = StalledHost::new(Duration::from_millis($stall));
                let act: fn(&mut StalledHost) = $act;
                act(&mut state);
                assert_eq!(state.host.router.is_catching_up(), $expected);
            }
        )*
    };
}

const LATE: Duration = Duration::from_millis(200);

// Guards against a host that sends requests to backend servers that left while it was stalled: it must
// first hear from a watcher, after that, that its entries are current.
catches_up! {
    a_short_stall_is_none: after 800, |_| {} => false;
    a_stalled_host_catches_up: after 1_500, |_| {} => true;
    a_later_report_with_the_same_entries_suffices: after 1_500, |it| {
        it.wait(LATE);
        it.receive_report(Duration::ZERO, true);
    } => false;
    a_report_from_before_does_not_suffice: after 1_500, |it| {
        it.wait(LATE);
        it.receive_report(LATE * 2, true);
    } => true;
    a_report_of_other_entries_does_not_suffice: after 1_500, |it| {
        it.wait(LATE);
        it.receive_report(Duration::ZERO, false);
    } => true;
    a_later_response_of_the_store_suffices: after 1_500, |it| {
        it.prove_entries(Duration::ZERO);
    } => false;
    a_response_to_an_earlier_request_does_not_suffice: after 1_500, |it| {
        it.prove_entries(LATE);
    } => true;
    a_host_that_hears_nothing_goes_on: after 1_500, |it| {
        it.wait(Duration::from_millis(900));
        it.wait(Duration::from_millis(150));
    } => false;
}

/// Guards against a host that fetches the entries of a peer only after the time in which changes are in
/// transit, although it was stalled for longer than that.
#[test]
fn a_stalled_host_fetches_other_entries_at_once() {
    for (stall, expected) in [(1_500, true), (800, false)] {
        let mut it = StalledHost::new(Duration::from_millis(stall));
        it.wait(LATE);
        it.receive_report(Duration::ZERO, false);
        assert_eq!(it.host.router.has_diverging_entries(it.host.now), expected);
    }
}
