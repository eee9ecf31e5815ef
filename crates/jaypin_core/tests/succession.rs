//! Change of a shard's leader, after an exit, a pause or a drain: what the new leader grants.

mod net;

use std::sync::Arc;
use std::time::Duration;

use jaypin_core::{
    CallOutcome, CallProgress, Event, HostId, LoadReport, RequestId, RequestInfo, Shard,
};
use jaypin_rules::{Repeat, ServiceKind, parse};
use net::{TestNetwork, host_list};

const RULES: &str = "\
- {tier: question, rank: 0, first-token-ms: 60000, gap-ms: 66, whole-ms: 600000, weight: 1}  # asked by: a
- {service: chat, kind: engine, models: [m], tier: question}  # asked by: a
- {account: farm, share: 1}  # asked by: a
";
const HOSTS: usize = 4;
/// Number of requests that exceeds the slots of all backend servers.
const EXCESS_REQUESTS: usize = 60;

fn shard() -> Shard {
    Shard {
        service: "chat".into(),
        index: 0,
    }
}

fn request(id: &str) -> RequestInfo {
    RequestInfo {
        id: id.into(),
        account: "farm".into(),
        service: "chat".into(),
        kind: ServiceKind::Engine,
        tier: 0,
        prompt_tokens: 10,
        max_tokens: 10,
        prefixes: Vec::new(),
        fingerprint: 0,
        repeat: Repeat::Idempotent,
        key: None,
        first_token_due_in: Duration::from_mins(1),
        response_due_in: Duration::from_mins(10),
        rule_lines: Vec::new(),
    }
}

/// Creates a fleet with rules in force and no requests.
fn idle() -> TestNetwork {
    let mut net = TestNetwork::new(HOSTS);
    let rules = Arc::new(parse(RULES).expect("rules"));
    for index in 0..HOSTS {
        let rules = rules.clone();
        net.event(&TestNetwork::id(index), Event::Rules { version: 1, rules });
    }
    net
}

/// Creates a fleet in which all slots are taken and many requests wait.
fn saturated() -> TestNetwork {
    let mut net = idle();
    arrive(&mut net, 0..EXCESS_REQUESTS);
    assert!(!net.dispatched.is_empty() && net.dispatched.len() < EXCESS_REQUESTS);
    net
}

/// Sends the requests with these numbers to the hosts in turn, then advances the clock by 1 s.
fn arrive(net: &mut TestNetwork, counts: std::ops::Range<usize>) {
    for count in counts {
        let owner = TestNetwork::id(count % HOSTS);
        let id = format!("{owner}-{count}");
        net.event(&owner, Event::Arrived(request(&id)));
        net.event(&owner, Event::Tick);
    }
    net.advance(Duration::from_secs(1));
}

fn leader(net: &TestNetwork, observer: usize) -> HostId {
    let membership = net.hosts[&TestNetwork::id(observer)].membership();
    membership.leader(&shard()).expect("a leader").clone()
}

/// Returns a host that isn't the leader.
fn other_host(net: &TestNetwork) -> HostId {
    let leader = leader(net, 0);
    let other = (0..HOSTS).map(TestNetwork::id).find(|id| *id != leader);
    other.expect("another host")
}

fn owner_of(id: &RequestId) -> HostId {
    id.rsplit_once('-').expect("an id").0.into()
}

/// Returns the number of dispatched requests of hosts other than `excluded`.
fn running_elsewhere(net: &TestNetwork, excluded: &HostId) -> usize {
    let running = net.dispatched.iter();
    running.filter(|(id, _)| owner_of(id) != *excluded).count()
}

/// Ends one running request of a host other than `excluded`.
fn finish_one(net: &mut TestNetwork, excluded: &HostId) {
    let running = &net.dispatched;
    let of_others = running.iter().find(|(id, _)| owner_of(id) != *excluded);
    let id = of_others.expect("a running request").0.clone();
    net.dispatched.retain(|(other, _)| *other != id);
    let progress = CallProgress::Finished {
        tokens: 10,
        outcome: CallOutcome::Complete,
    };
    net.event(&owner_of(&id), Event::Call { id, progress });
}

/// The leader exits while all slots are taken. Its successor knows only the running requests
/// that owners report, and must not grant their slots a second time.
#[test]
fn a_successor_counts_running_requests_before_it_grants() {
    let mut net = saturated();
    let (exited, observer) = (leader(&net, 0), other_host(&net));
    let before = net.dispatched.len();
    net.isolated.insert(exited.clone());
    net.event(&observer, Event::PeerExited(exited.clone()));
    net.advance(Duration::from_millis(1_500));
    // The requests of the exited host ended with it; only those of others are counted.
    assert_eq!(running_elsewhere(&net, &exited), before);
    finish_one(&mut net, &exited);
    net.advance(Duration::from_millis(200));
    assert_eq!(
        running_elsewhere(&net, &exited),
        before,
        "one request ended and one was dispatched"
    );
}

/// The leader is frozen while another host leads its shard, and resumes with its old counts
/// and its old queue. Leaders are chosen by their ids, so it leads again, and it must not grant
/// slots by that old state.
#[test]
fn a_resumed_leader_grants_no_slot_twice() {
    let mut net = saturated();
    let (frozen, observer) = (leader(&net, 0), other_host(&net));
    net.isolated.insert(frozen.clone());
    net.event(&observer, Event::PeerUnresponsive(frozen.clone()));
    net.advance(Duration::from_secs(1));
    let before = net.dispatched.len();
    net.isolated.clear();
    net.event(&frozen, Event::Tick);
    net.advance(Duration::from_secs(2));
    assert_eq!(leader(&net, 0), frozen);
    assert_eq!(net.dispatched.len(), before);
    let ids: std::collections::BTreeSet<_> = net.dispatched.iter().map(|(id, _)| id).collect();
    assert_eq!(ids.len(), before, "no request was dispatched twice");
}

/// The leader freezes while 4 requests run. Its successor fills all slots, and many requests
/// wait. The leader resumes with its old count of free slots and gets asks from all owners at
/// once. It must not grant before the owners have reported what runs.
#[test]
fn a_resumed_leader_discards_its_old_free_slots() {
    let slots = saturated().dispatched.len();
    let mut net = idle();
    arrive(&mut net, 0..4);
    assert_eq!(net.dispatched.len(), 4);
    let (frozen, observer) = (leader(&net, 0), other_host(&net));
    net.isolated.insert(frozen.clone());
    net.event(&observer, Event::PeerUnresponsive(frozen.clone()));
    arrive(&mut net, 4..EXCESS_REQUESTS);
    let before = net.dispatched.len();
    assert!(running_elsewhere(&net, &frozen) <= slots);
    net.isolated.clear();
    net.event(&frozen, Event::Tick);
    net.advance(Duration::from_secs(2));
    assert_eq!(leader(&net, 0), frozen);
    assert_eq!(net.dispatched.len(), before);
}

/// The leader is frozen for 700 ms, too short for the others to detect. It detects the pause
/// itself and discards its counts, so the owners must report although no other host has led.
#[test]
fn owners_report_to_a_leader_in_a_new_term() {
    let mut net = saturated();
    let leader = leader(&net, 0);
    let before = net.dispatched.len();
    net.now += Duration::from_millis(700);
    net.event(&leader, Event::Tick);
    net.advance(Duration::from_secs(2));
    assert_eq!(net.dispatched.len(), before);
    let summary = net.hosts[&leader].summary();
    assert_eq!(summary.granted_here, before);
    assert_eq!(summary.queued_here, EXCESS_REQUESTS - before);
}

/// A leader that drains transfers its shard to another host, but it still owns and serves its
/// own requests.
#[test]
fn a_leaving_leader_transfers_its_shard() {
    let mut net = saturated();
    let leaving = leader(&net, 0);
    let before = net.dispatched.len();
    net.event(&leaving, Event::Drain);
    net.advance(Duration::from_secs(1));
    let successor = leader(&net, 0);
    assert_ne!(successor, leaving);
    assert_eq!(net.hosts[&successor].summary().granted_here, before);
    assert_eq!(net.hosts[&leaving].summary().shards_led, 0);
    assert!(net.refused.is_empty(), "no accepted request is refused");
}

/// A backend server's load report says that it is leaving, and the next version of the host
/// list, which lags, still has it as live. It must not get new requests.
#[test]
fn a_leaving_report_overrides_an_old_host_list() {
    let mut net = idle();
    let leader = leader(&net, 0);
    let report = LoadReport {
        backend: "engine-1".into(),
        running: 0,
        waiting: 0,
        leaving: true,
        age: Duration::ZERO,
    };
    net.event(&leader, Event::Load(report));
    net.event(&leader, Event::Hosts(host_list(2, HOSTS)));
    // A pause makes the leader create a new scheduler, which has learned nothing.
    net.now += Duration::from_secs(1);
    net.event(&leader, Event::Tick);
    for count in 0..EXCESS_REQUESTS {
        let id = format!("host-0-{count}");
        net.event(&TestNetwork::id(0), Event::Arrived(request(&id)));
    }
    net.advance(Duration::from_secs(1));
    assert!(!net.dispatched.is_empty());
    assert!(net.dispatched.iter().all(|(_, to)| &**to != "engine-1"));
}
