//! A shard's leader dies, freezes, restarts or leaves: what the successor grants.

mod net;

use std::sync::Arc;
use std::time::Duration;

use jaypin_core::{
    CallOutcome, CallProgress, Event, HostId, LoadReport, RequestId, RequestInfo, Shard,
};
use jaypin_rules::{Repeat, ServiceKind, parse};
use net::{Net, list};

const RULES: &str = "\
- {tier: question, rank: 0, first-token-ms: 60000, gap-ms: 66, whole-ms: 600000, weight: 1}  # asked by: a
- {service: chat, kind: engine, models: [m], tier: question}  # asked by: a
- {account: farm, share: 1}  # asked by: a
";
const HOSTS: usize = 4;
/// More requests than all backend servers run at once.
const MANY: usize = 60;

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

/// A fleet with rules in force and nothing to do.
fn idle() -> Net {
    let mut net = Net::new(HOSTS);
    let rules = Arc::new(parse(RULES).expect("rules"));
    for index in 0..HOSTS {
        let rules = rules.clone();
        net.event(&Net::id(index), Event::Rules { version: 1, rules });
    }
    net
}

/// A fleet whose backend servers all run what they can, and many requests that wait.
fn saturated() -> Net {
    let mut net = idle();
    arrive(&mut net, 0..MANY);
    assert!(!net.dispatched.is_empty() && net.dispatched.len() < MANY);
    net
}

/// Requests come to each host in turn, and the fleet has time to act.
fn arrive(net: &mut Net, counts: std::ops::Range<usize>) {
    for count in counts {
        let owner = Net::id(count % HOSTS);
        let id = format!("{owner}-{count}");
        net.event(&owner, Event::Arrived(request(&id)));
        net.event(&owner, Event::Tick);
    }
    net.run(Duration::from_secs(1));
}

fn leader(net: &Net, seen_by: usize) -> HostId {
    let view = net.hosts[&Net::id(seen_by)].membership();
    view.leader(&shard()).expect("a leader").clone()
}

/// A host that is not the leader.
fn witness(net: &Net) -> HostId {
    let leader = leader(net, 0);
    let other = (0..HOSTS).map(Net::id).find(|id| *id != leader);
    other.expect("another host")
}

fn owner_of(id: &RequestId) -> HostId {
    id.rsplit_once('-').expect("an id").0.into()
}

fn running_elsewhere(net: &Net, not: &HostId) -> usize {
    let running = net.dispatched.iter();
    running.filter(|(id, _)| owner_of(id) != *not).count()
}

/// Ends one running request of a host other than `not`.
fn finish_one(net: &mut Net, not: &HostId) {
    let running = &net.dispatched;
    let of_others = running.iter().find(|(id, _)| owner_of(id) != *not);
    let id = of_others.expect("one that runs").0.clone();
    net.dispatched.retain(|(other, _)| *other != id);
    let progress = CallProgress::Finished {
        tokens: 10,
        outcome: CallOutcome::Complete,
    };
    net.event(&owner_of(&id), Event::Call { id, progress });
}

/// The leader dies while every slot is taken. Its successor knows nothing of the slots
/// but what the owners report, and must not grant them a second time.
#[test]
fn a_successor_grants_only_on_top_of_what_runs() {
    let mut net = saturated();
    let (dead, witness) = (leader(&net, 0), witness(&net));
    let before = net.dispatched.len();
    net.silent.insert(dead.clone());
    net.event(&witness, Event::PeerExited(dead.clone()));
    net.run(Duration::from_millis(1_500));
    // What the dead host ran ended with it; all else counts.
    assert_eq!(running_elsewhere(&net, &dead), before);
    finish_one(&mut net, &dead);
    net.run(Duration::from_millis(200));
    assert_eq!(
        running_elsewhere(&net, &dead),
        before,
        "one ended, one began"
    );
}

/// The leader is frozen while another leads its shard, and thaws with its old counts
/// and its old queue. It leads again, by name, and must not grant on what it remembers.
#[test]
fn a_thawed_leader_grants_nothing_twice() {
    let mut net = saturated();
    let (frozen, witness) = (leader(&net, 0), witness(&net));
    net.silent.insert(frozen.clone());
    net.event(&witness, Event::PeerUnresponsive(frozen.clone()));
    net.run(Duration::from_secs(1));
    let before = net.dispatched.len();
    net.silent.clear();
    net.event(&frozen, Event::Tick);
    net.run(Duration::from_secs(2));
    assert_eq!(leader(&net, 0), frozen);
    assert_eq!(net.dispatched.len(), before);
    let ids: std::collections::BTreeSet<_> = net.dispatched.iter().map(|(id, _)| id).collect();
    assert_eq!(ids.len(), before, "no request was dispatched twice");
}

/// The leader freezes while little runs. Its successor fills every slot, and many
/// requests wait. The leader thaws, remembers free slots, and is asked at once by every
/// owner: it must not grant before it heard what runs by now.
#[test]
fn a_thawed_leader_forgets_what_was_free() {
    let slots = saturated().dispatched.len();
    let mut net = idle();
    arrive(&mut net, 0..4);
    assert_eq!(net.dispatched.len(), 4);
    let (frozen, witness) = (leader(&net, 0), witness(&net));
    net.silent.insert(frozen.clone());
    net.event(&witness, Event::PeerUnresponsive(frozen.clone()));
    arrive(&mut net, 4..MANY);
    let before = net.dispatched.len();
    assert!(running_elsewhere(&net, &frozen) <= slots);
    net.silent.clear();
    net.event(&frozen, Event::Tick);
    net.run(Duration::from_secs(2));
    assert_eq!(leader(&net, 0), frozen);
    assert_eq!(net.dispatched.len(), before);
}

/// The leader was frozen for less than it takes the others to notice. It noticed itself
/// and forgot its counts, so owners have to report though nobody else ever led.
#[test]
fn owners_report_to_a_leader_in_a_new_term() {
    let mut net = saturated();
    let leader = leader(&net, 0);
    let before = net.dispatched.len();
    net.now += Duration::from_millis(700);
    net.event(&leader, Event::Tick);
    net.run(Duration::from_secs(2));
    assert_eq!(net.dispatched.len(), before);
    let summary = net.hosts[&leader].summary();
    assert_eq!(summary.granted_here, before);
    assert_eq!(summary.queued_here, MANY - before);
}

/// A leader that leaves hands its shard over, and its own requests stay its own.
#[test]
fn a_leaving_leader_hands_its_shard_over() {
    let mut net = saturated();
    let leaving = leader(&net, 0);
    let before = net.dispatched.len();
    net.event(&leaving, Event::Drain);
    net.run(Duration::from_secs(1));
    let successor = leader(&net, 0);
    assert_ne!(successor, leaving);
    assert_eq!(net.hosts[&successor].summary().granted_here, before);
    assert_eq!(net.hosts[&leaving].summary().shards_led, 0);
    assert!(net.refused.is_empty(), "what was accepted is served");
}

/// A backend server says in a load report that it leaves. The host list lags and names
/// it live in its next version: that must not bring it new work.
#[test]
fn a_backend_servers_own_word_outlasts_an_old_host_list() {
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
    net.event(&leader, Event::Hosts(list(2, HOSTS)));
    // A pause makes the leader start its scheduler anew, with nothing learned.
    net.now += Duration::from_secs(1);
    net.event(&leader, Event::Tick);
    for count in 0..MANY {
        let id = format!("host-0-{count}");
        net.event(&Net::id(0), Event::Arrived(request(&id)));
    }
    net.run(Duration::from_secs(1));
    assert!(!net.dispatched.is_empty());
    assert!(net.dispatched.iter().all(|(_, to)| &**to != "engine-1"));
}
