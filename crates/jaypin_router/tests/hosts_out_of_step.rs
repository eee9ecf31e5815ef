//! Streams that are resumed at a host which doesn't know that a version has joined.

mod common;

use std::time::Duration;

use common::{
    Decision, ENGINES, TestHost, configuration, decision_for, record, report, whole_report,
};
use jaypin_core::{Ran, Reason};
use jaypin_router::{
    BackendRecord, BootTime, Effect, Event, ResumedStream, StoreView, StreamAnswer, StreamMessage,
    VersionsSeen,
};

/// Longer than callers may resume a stream after it began.
const HISTORY: u32 = 40;
const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(50);
const TICKS_A_SECOND: u32 = 20;

fn engine() -> BackendRecord {
    BackendRecord {
        version: "v1".into(),
        ..record("a1", ENGINES, 9)
    }
}

/// Returns a host that has known all entries for long, of one version.
fn host_with_history() -> TestHost {
    let mut host = TestHost::new(configuration(1));
    host.list_entries(vec![engine()]);
    host
}

/// Lets time pass in which `step` happens each second.
fn pass(host: &mut TestHost, seconds: u32, mut step: impl FnMut(&mut TestHost, u32)) {
    for n in 0..seconds {
        step(host, n);
        for _ in 0..TICKS_A_SECOND {
            host.wait(TICK);
            host.tick();
        }
    }
}

/// Receives the report of a peer that watches the store and knows the same entries, in its own time.
fn hear_from_watcher(host: &mut TestHost, n: u32) {
    let sent_at: BootTime = SECOND * (n + 1);
    let mut whole = whole_report(2);
    whole.sent_at = sent_at;
    whole.store = StoreView {
        version: 1,
        proved_at: Some(sent_at),
        entries_proved_at: Some(sent_at),
        may_watch: true,
        is_watching: true,
        digest: host.router.entries_digest(),
        era: None,
    };
    host.receive_report(report(u64::from(n) + 1, whole));
}

/// Resumes a stream whose beginning the host doesn't know.
fn resume(host: &mut TestHost) -> Decision {
    let number = host.next_revision() + 1;
    let mut fx = host.arrive_all(|it| {
        it.resumes = Some(ResumedStream { attempt: Some(99) });
    });
    // Those that are asked don't answer.
    for _ in 0..6 {
        host.wait(TICK);
        fx.extend(host.tick());
    }
    decision_for(&fx, number)
}

fn check_refused(decision: &Decision) {
    let refusal = decision.refusal();
    assert_eq!(refusal.reason, Reason::VersionUnknown);
    assert_eq!(refusal.ran, Ran::NotRun);
    assert!(refusal.retry_after.is_some(), "another host may know");
}

/// Guards against streams that go on at another version at a host which is cut off from the others: they
/// no longer tell it of entries, and can't be asked, while the configuration is still proved.
#[test]
fn a_host_that_is_cut_off_from_the_others_lets_no_stream_go_on() {
    // Peers count as gone after 1.1 s; the host reads the store itself once proofs are old.
    for silence_ms in (1_000..2_500).step_by(100) {
        let mut host = host_with_history();
        pass(&mut host, HISTORY, hear_from_watcher);
        for _ in 0..(silence_ms / 50 - 20) {
            host.wait(TICK);
            host.tick();
        }
        check_refused(&resume(&mut host));
    }
}

/// Guards against the same while the host has read the configuration itself, but not yet the entries.
#[test]
fn a_proof_of_the_configuration_says_nothing_of_entries() {
    let mut host = host_with_history();
    pass(&mut host, HISTORY, hear_from_watcher);
    pass(&mut host, 5, |host, _| {
        host.apply(Event::ConfigurationProved(host.boot_time));
    });
    check_refused(&resume(&mut host));
}

/// Guards against streams that go on at another version at a host which stood still: it reads requests
/// from its sockets before it has heard of anything.
#[test]
fn a_host_that_stood_still_lets_no_stream_go_on() {
    let mut host = host_with_history();
    pass(&mut host, HISTORY, |host, _| host.prove());
    host.wait(Duration::from_millis(2_500));
    check_refused(&resume(&mut host));
}

/// Guards against the same after a shorter time: it takes its peers for gone, and must ask them all the same.
#[test]
fn a_host_that_stood_still_asks_the_others() {
    let mut host = host_with_history();
    let peer = whole_report(2);
    host.apply(Event::HostsListed(vec![(peer.host, peer.address)]));
    pass(&mut host, HISTORY, |host, n| {
        host.prove();
        hear_from_watcher(host, n);
    });
    host.wait(Duration::from_millis(1_300));
    let number = host.next_revision() + 1;
    let fx = host.arrive_all(|it| {
        it.resumes = Some(ResumedStream { attempt: Some(99) });
    });
    let asked = fx.iter().find_map(|effect| match effect {
        Effect::SendStreamMessage {
            to,
            message: StreamMessage::Query(query),
        } => Some((to.clone(), *query)),
        _ => None,
    });
    let (to, query) = asked.expect("a query");
    assert_eq!(to, [peer.address]);
    let answer = StreamAnswer {
        number,
        stream: query.stream,
        version: None,
        seen: VersionsSeen::Several,
    };
    let fx = host.apply(Event::StreamMessageReceived {
        from: peer.address,
        message: StreamMessage::Answer(answer),
    });
    let decision = decision_for(&fx, number);
    assert_eq!(decision.refusal().reason, Reason::VersionUnknown);
}

/// Guards against refusals of streams that can go on: a host without peers that watches the store.
#[test]
fn a_host_that_watches_the_store_lets_streams_go_on() {
    let mut host = host_with_history();
    pass(&mut host, HISTORY, |host, _| host.prove());
    assert_eq!(resume(&mut host).backend(), "a1");
}

/// Guards against refusals of streams that can go on: a host whose peers have all ended, and that reads the
/// entries itself since.
#[test]
fn a_host_that_watches_in_place_of_others_lets_streams_go_on() {
    let mut host = host_with_history();
    pass(&mut host, HISTORY, hear_from_watcher);
    let peer = whole_report(2);
    host.apply(Event::HostsListed(vec![(peer.host, peer.address)]));
    pass(&mut host, 4, |host, _| host.prove());
    assert_eq!(resume(&mut host).backend(), "a1");
}
