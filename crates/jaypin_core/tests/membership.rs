//! Membership of the fleet: statuses of hosts, gossip partners, platform watches and host
//! lists.

mod net;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    Config, Digest, Effect, Event, HostId, HostRecord, Member, MemberStatus, MemberTable, Message,
    Reducer, partners,
};
use net::{DOMAINS, TestNetwork, host, host_list};
use proptest::prelude::*;

macro_rules! partner_graph {
    ($($name:ident: $hosts:expr;)*) => {$(
        #[test]
        fn $name() {
            let records: Vec<HostRecord> = (0..$hosts).map(host).collect();
            let present: Vec<&HostRecord> = records.iter().collect();
            let graph: BTreeMap<HostId, Vec<HostId>> = records
                .iter()
                .map(|record| (record.id.clone(), partners(&record.id, &present)))
                .collect();
            let domain = |id: &HostId| {
                let record = records.iter().find(|record| record.id == *id);
                record.map(|record| record.failure_domain.clone())
            };
            for (id, chosen) in &graph {
                assert!(!chosen.contains(id));
                assert!(chosen.iter().any(|peer| domain(peer) != domain(id)));
                let (mutual, one_sided): (Vec<_>, Vec<_>) =
                    chosen.iter().partition(|peer| graph[*peer].contains(id));
                assert!(mutual.len() <= 5 && chosen.len() <= 5);
                assert!(one_sided.len() <= 1, "at most one partner is not mutual");
                if !one_sided.is_empty() {
                    assert!(mutual.iter().all(|peer| domain(peer) == domain(id)));
                }
            }
            let mut reached = BTreeSet::from([records[0].id.clone()]);
            let mut queue = vec![records[0].id.clone()];
            while let Some(id) = queue.pop() {
                for peer in &graph[&id] {
                    if reached.insert(peer.clone()) {
                        queue.push(peer.clone());
                    }
                }
            }
            assert_eq!(reached.len(), records.len(), "the graph is connected");
        }
    )*};
}

partner_graph! {
    two_hosts_are_partners: 2;
    three_hosts_are_partners: 3;
    thirteen_hosts_have_a_connected_graph: 13;
    three_hundred_and_seventy_hosts_have_a_connected_graph: 370;
}

fn any_member() -> impl Strategy<Value = (HostId, Member)> {
    let status = prop_oneof![
        Just(MemberStatus::Alive),
        Just(MemberStatus::Leaving),
        Just(MemberStatus::Suspect),
        Just(MemberStatus::Dead),
    ];
    (0..4_usize, 0..3_u64, 0..3_u32, status).prop_map(|(index, incarnation, revision, status)| {
        let member = Member {
            incarnation,
            revision,
            status,
        };
        (host(index).id, member)
    })
}

proptest! {
    /// Hosts receive the same entries in different orders and more than once. If their tables
    /// didn't converge, they would choose different leaders permanently.
    #[test]
    fn tables_converge_in_any_order(
        entries in prop::collection::vec(any_member(), 0..20),
        order in any::<prop::sample::Index>(),
    ) {
        let mut forward = MemberTable::default();
        let mut rotated_table = MemberTable::default();
        for (host, member) in &entries {
            forward.apply(host, *member);
        }
        let start = if entries.is_empty() { 0 } else { order.index(entries.len()) };
        let rotated = entries[start..].iter().chain(&entries).rev();
        for (host, member) in rotated {
            rotated_table.apply(host, *member);
        }
        prop_assert_eq!(forward.hash(), rotated_table.hash());
        prop_assert!(forward.iter().eq(rotated_table.iter()));
    }
}

#[test]
fn an_exit_reaches_every_host_without_a_gossip_round() {
    let mut net = TestNetwork::new(13);
    net.isolated.insert(TestNetwork::id(5));
    net.event(&TestNetwork::id(0), Event::PeerExited(TestNetwork::id(5)));
    assert!(net.all_see("host-5", MemberStatus::Dead));
}

/// The path between two hosts is broken, and one of them suspects the other, which all other
/// hosts can reach. The suspected host receives its status from them and must refute it.
#[test]
fn a_host_refutes_a_false_suspicion() {
    let mut net = TestNetwork::new(13);
    net.event(
        &TestNetwork::id(0),
        Event::PeerUnresponsive(TestNetwork::id(5)),
    );
    assert!(net.all_see("host-5", MemberStatus::Alive));
}

#[test]
fn an_unresponsive_suspect_is_declared_dead() {
    let mut net = TestNetwork::new(6);
    net.isolated.insert(TestNetwork::id(5));
    net.event(
        &TestNetwork::id(0),
        Event::PeerUnresponsive(TestNetwork::id(5)),
    );
    assert!(net.all_see("host-5", MemberStatus::Suspect));
    net.advance(Duration::from_secs(6));
    assert!(net.all_see("host-5", MemberStatus::Dead));
}

/// A host is frozen for one minute. When it resumes, it has received nothing and no partner
/// has a link to it any more, so it must detect the pause by itself and rejoin.
#[test]
fn a_frozen_host_rejoins_by_itself() {
    let mut net = TestNetwork::new(6);
    net.isolated.insert(TestNetwork::id(5));
    net.event(
        &TestNetwork::id(0),
        Event::PeerUnresponsive(TestNetwork::id(5)),
    );
    net.advance(Duration::from_mins(1));
    net.isolated.clear();
    net.event(&TestNetwork::id(5), Event::Tick);
    net.advance(Duration::from_secs(1));
    assert!(net.all_see("host-5", MemberStatus::Alive));
}

#[test]
fn a_leaving_host_is_removed_from_all_live_hosts_at_once() {
    let mut net = TestNetwork::new(13);
    net.event(&TestNetwork::id(3), Event::Drain);
    assert!(net.all_see("host-3", MemberStatus::Leaving));
    for reducer in net.hosts.values() {
        let mut live = reducer.membership().live_hosts();
        assert!(live.all(|record| &*record.id != "host-3"));
    }
}

#[test]
fn a_new_incarnation_overrides_the_status_of_the_former() {
    let mut net = TestNetwork::new(6);
    net.event(&TestNetwork::id(0), Event::PeerExited(TestNetwork::id(5)));
    let connected = Event::PeerConnected {
        host: TestNetwork::id(5),
        incarnation: 200,
    };
    net.isolated.insert(TestNetwork::id(5));
    net.event(&TestNetwork::id(1), connected);
    assert!(net.all_see("host-5", MemberStatus::Alive));
}

#[test]
fn two_hosts_of_a_domain_watch_the_platform() {
    for count in [3, 6, 13, 40] {
        let net = TestNetwork::new(count);
        let mut per_domain = BTreeMap::<usize, usize>::new();
        for index in 0..count {
            if net.watching.contains(&TestNetwork::id(index)) {
                *per_domain.entry(index % DOMAINS).or_default() += 1;
            }
        }
        let expected = 2.min(count / DOMAINS);
        assert!(per_domain.values().all(|watchers| *watchers == expected));
        assert_eq!(per_domain.len(), DOMAINS);
    }
}

#[test]
fn watches_move_when_a_watcher_exits() {
    let mut net = TestNetwork::new(13);
    let watcher = net.watching.first().cloned().expect("a watcher");
    net.isolated.insert(watcher.clone());
    net.watching.remove(&watcher);
    let observer = usize::from(watcher == TestNetwork::id(0));
    net.event(&TestNetwork::id(observer), Event::PeerExited(watcher));
    assert_eq!(net.watching.len(), 2 * DOMAINS);
}

#[test]
fn a_newer_host_list_reaches_every_host_from_one() {
    let mut net = TestNetwork::new(13);
    net.event(&TestNetwork::id(7), Event::Hosts(host_list(2, 13)));
    for reducer in net.hosts.values() {
        assert_eq!(reducer.membership().list().version, 2);
    }
}

/// The platform serves an old copy of the host list. No host may revert to it.
#[test]
fn an_old_host_list_changes_nothing() {
    let mut net = TestNetwork::new(6);
    net.event(&TestNetwork::id(0), Event::Hosts(host_list(5, 6)));
    net.event(&TestNetwork::id(1), Event::Hosts(host_list(4, 3)));
    for reducer in net.hosts.values() {
        assert_eq!(reducer.membership().list().version, 5);
        assert_eq!(reducer.membership().list().hosts.len(), 6);
    }
}

/// A host that leads shards is paused for 2 s, and its counts of granted slots may be
/// outdated. Before it grants anything, it must detect the gap in its own clock, begin a new
/// term without those counts, and publish the term so that owners report what runs.
#[test]
fn a_pause_begins_a_new_term() {
    let mut net = TestNetwork::new(3);
    let id = TestNetwork::id(0);
    let before = net.hosts[&id].membership().table().get(&id);
    net.now += Duration::from_secs(2);
    let reducer = net.hosts.get_mut(&id).expect("a host");
    let fx = reducer.apply(net.now, Event::Tick);
    let after = reducer.membership().table().get(&id);
    assert!(after.map(|member| member.revision) > before.map(|member| member.revision));
    let published = fx.iter().any(|effect| {
        matches!(effect, Effect::Send { message: Message::Members { entries, .. }, .. }
            if entries.iter().any(|(host, _)| *host == id))
    });
    assert!(published, "the new term is published to owners");
}

/// A host restarts while the platform serves old rules. It must not serve callers by them:
/// it is ready only once a peer has no newer version than it has.
#[test]
fn a_host_with_outdated_rules_is_not_ready() {
    let now = Instant::now();
    let own = host(0);
    let cfg = Config {
        host: own.id,
        failure_domain: own.failure_domain,
        await_peers: true,
        ..Config::default()
    };
    let mut reducer = Reducer::new(cfg);
    let rules = |version| Event::Rules {
        version,
        rules: Arc::default(),
    };
    let digest = Event::Link {
        from: TestNetwork::id(1),
        message: Message::Digest(Digest {
            rules_version: 2,
            hosts_version: 1,
            members: 0,
        }),
    };
    reducer.apply(now, Event::Hosts(host_list(1, 3)));
    reducer.apply(now, rules(1));
    assert!(
        !reducer.summary().caught_up,
        "the platform alone is not enough"
    );
    assert_eq!(reducer.summary().rules_version, 0, "read but not in force");
    let fx = reducer.apply(now, digest.clone());
    assert!(!reducer.summary().caught_up, "a peer has a newer version");
    let fetches = |effect: &Effect| {
        let fetch = Message::Fetch {
            rules: true,
            hosts: false,
        };
        matches!(effect, Effect::Send { message, .. } if *message == fetch)
    };
    assert!(fx.iter().any(fetches));
    reducer.apply(now, rules(2));
    reducer.apply(now, digest);
    assert!(reducer.summary().caught_up);
    reducer.apply(now, rules(1));
    assert_eq!(
        reducer.summary().rules_version,
        2,
        "versions never decrease"
    );
}

/// One of 370 hosts is lost. If the others chose all their partners anew, each loss would
/// cost the whole fleet a round of handshakes, and several losses in a row would break up the
/// network of links.
#[test]
fn losing_a_host_changes_few_links() {
    let records: Vec<HostRecord> = (0..370).map(host).collect();
    let all: Vec<&HostRecord> = records.iter().collect();
    let mut worst = 0;
    for lost in [0, 100, 200, 300] {
        let left: Vec<&HostRecord> = all
            .iter()
            .filter(|record| record.id != TestNetwork::id(lost))
            .copied()
            .collect();
        let moved = left
            .iter()
            .flat_map(|record| {
                let before = partners(&record.id, &all);
                let after = partners(&record.id, &left);
                after.into_iter().filter(move |peer| !before.contains(peer))
            })
            .count();
        worst = worst.max(moved);
    }
    assert!(worst <= 12, "{worst} link ends moved");
}
