//! Decisions on who is there, driven by events alone.

mod net;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    Config, Digest, Effect, Event, HostId, HostRecord, Member, MemberStatus, MemberTable, Message,
    Reducer, partners,
};
use net::{DOMAINS, Net, host, list};
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
                let (mutual, further): (Vec<_>, Vec<_>) =
                    chosen.iter().partition(|peer| graph[*peer].contains(id));
                assert!(mutual.len() <= 5 && chosen.len() <= 5);
                assert!(further.len() <= 1, "mutual but for one");
                if !further.is_empty() {
                    assert!(mutual.iter().all(|peer| domain(peer) == domain(id)));
                }
            }
            let mut reached = BTreeSet::from([records[0].id.clone()]);
            let mut open = vec![records[0].id.clone()];
            while let Some(id) = open.pop() {
                for peer in &graph[&id] {
                    if reached.insert(peer.clone()) {
                        open.push(peer.clone());
                    }
                }
            }
            assert_eq!(reached.len(), records.len(), "connected");
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
    /// Hosts hear the same entries in different orders and more than once. Their tables
    /// must end up alike, or they would choose different leaders for good.
    #[test]
    fn tables_converge_in_any_order(
        entries in prop::collection::vec(any_member(), 0..20),
        order in any::<prop::sample::Index>(),
    ) {
        let mut forward = MemberTable::default();
        let mut turned = MemberTable::default();
        for (host, member) in &entries {
            forward.apply(host, *member);
        }
        let start = if entries.is_empty() { 0 } else { order.index(entries.len()) };
        let rotated = entries[start..].iter().chain(&entries).rev();
        for (host, member) in rotated {
            turned.apply(host, *member);
        }
        prop_assert_eq!(forward.hash(), turned.hash());
        prop_assert!(forward.iter().eq(turned.iter()));
    }
}

#[test]
fn a_loss_is_known_everywhere_without_waiting_for_a_round() {
    let mut net = Net::new(13);
    net.silent.insert(Net::id(5));
    net.event(&Net::id(0), Event::PeerExited(Net::id(5)));
    assert!(net.all_see("host-5", MemberStatus::Dead));
}

/// One host can't reach another, though all others can: a broken path between the two.
/// The accused host hears of it from the others and says that it runs.
#[test]
fn an_accused_host_refutes() {
    let mut net = Net::new(13);
    net.event(&Net::id(0), Event::PeerUnresponsive(Net::id(5)));
    assert!(net.all_see("host-5", MemberStatus::Alive));
}

#[test]
fn a_suspect_that_says_nothing_is_dead_after_a_while() {
    let mut net = Net::new(6);
    net.silent.insert(Net::id(5));
    net.event(&Net::id(0), Event::PeerUnresponsive(Net::id(5)));
    assert!(net.all_see("host-5", MemberStatus::Suspect));
    net.run(Duration::from_secs(6));
    assert!(net.all_see("host-5", MemberStatus::Dead));
}

/// A host is frozen for a minute and thaws. It has heard nothing, and no partner has a
/// link to it any more: it must find out by itself and come back.
#[test]
fn a_frozen_host_comes_back_by_itself() {
    let mut net = Net::new(6);
    net.silent.insert(Net::id(5));
    net.event(&Net::id(0), Event::PeerUnresponsive(Net::id(5)));
    net.run(Duration::from_mins(1));
    net.silent.clear();
    net.event(&Net::id(5), Event::Tick);
    net.run(Duration::from_secs(1));
    assert!(net.all_see("host-5", MemberStatus::Alive));
}

#[test]
fn a_leaving_host_is_out_of_every_view_at_once() {
    let mut net = Net::new(13);
    net.event(&Net::id(3), Event::Drain);
    assert!(net.all_see("host-3", MemberStatus::Leaving));
    for reducer in net.hosts.values() {
        let mut live = reducer.membership().live_hosts();
        assert!(live.all(|record| &*record.id != "host-3"));
    }
}

#[test]
fn a_new_run_outweighs_what_was_said_of_the_former() {
    let mut net = Net::new(6);
    net.event(&Net::id(0), Event::PeerExited(Net::id(5)));
    let met = Event::PeerConnected {
        host: Net::id(5),
        incarnation: 200,
    };
    net.silent.insert(Net::id(5));
    net.event(&Net::id(1), met);
    assert!(net.all_see("host-5", MemberStatus::Alive));
}

#[test]
fn two_hosts_of_a_domain_watch_the_platform() {
    for count in [3, 6, 13, 40] {
        let net = Net::new(count);
        let mut per_domain = BTreeMap::<usize, usize>::new();
        for index in 0..count {
            if net.watching.contains(&Net::id(index)) {
                *per_domain.entry(index % DOMAINS).or_default() += 1;
            }
        }
        let wanted = 2.min(count / DOMAINS);
        assert!(per_domain.values().all(|watchers| *watchers == wanted));
        assert_eq!(per_domain.len(), DOMAINS);
    }
}

#[test]
fn watches_move_when_a_watcher_is_gone() {
    let mut net = Net::new(13);
    let watcher = net.watching.first().cloned().expect("a watcher");
    net.silent.insert(watcher.clone());
    net.watching.remove(&watcher);
    let witness = usize::from(watcher == Net::id(0));
    net.event(&Net::id(witness), Event::PeerExited(watcher));
    assert_eq!(net.watching.len(), 2 * DOMAINS);
}

#[test]
fn a_newer_host_list_reaches_every_host_from_one() {
    let mut net = Net::new(13);
    net.event(&Net::id(7), Event::Hosts(list(2, 13)));
    for reducer in net.hosts.values() {
        assert_eq!(reducer.membership().list().version, 2);
    }
}

/// The platform answers from an old copy. No host may go back to it.
#[test]
fn an_old_host_list_changes_nothing() {
    let mut net = Net::new(6);
    net.event(&Net::id(0), Event::Hosts(list(5, 6)));
    net.event(&Net::id(1), Event::Hosts(list(4, 3)));
    for reducer in net.hosts.values() {
        assert_eq!(reducer.membership().list().version, 5);
        assert_eq!(reducer.membership().list().hosts.len(), 6);
    }
}

/// A host that was paused led shards and believes that it still does. Before it says a
/// word to anyone, the gap in its own time must make it forget what it granted on.
#[test]
fn a_pause_begins_a_new_term() {
    let mut net = Net::new(3);
    let id = Net::id(0);
    let before = net.hosts[&id].membership().table().get(&id);
    net.now += Duration::from_secs(2);
    let reducer = net.hosts.get_mut(&id).expect("a host");
    let fx = reducer.apply(net.now, Event::Tick);
    let after = reducer.membership().table().get(&id);
    assert!(after.map(|member| member.revision) > before.map(|member| member.revision));
    let told = fx.iter().any(|effect| {
        matches!(effect, Effect::Send { message: Message::Members { entries, .. }, .. }
            if entries.iter().any(|(host, _)| *host == id))
    });
    assert!(told, "owners hear of the new term");
}

/// A host starts again while the platform answers from an old copy. It must not take
/// callers by that copy: it is ready only once a peer has no more than it has.
#[test]
fn a_host_with_an_old_copy_is_not_ready() {
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
        from: Net::id(1),
        message: Message::Digest(Digest {
            rules_version: 2,
            hosts_version: 1,
            members: 0,
        }),
    };
    reducer.apply(now, Event::Hosts(list(1, 3)));
    reducer.apply(now, rules(1));
    assert!(!reducer.summary().caught_up, "by the platform alone");
    assert_eq!(reducer.summary().rules_version, 0, "read, not in force");
    let fx = reducer.apply(now, digest.clone());
    assert!(!reducer.summary().caught_up, "a peer has more");
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
    assert_eq!(reducer.summary().rules_version, 2, "versions only grow");
}

/// One host of many dies. If the others chose all their partners anew, each loss would
/// cost the whole fleet a round of handshakes, and a bad day would cost it its network.
#[test]
fn a_loss_moves_few_links() {
    let records: Vec<HostRecord> = (0..370).map(host).collect();
    let all: Vec<&HostRecord> = records.iter().collect();
    let mut worst = 0;
    for lost in [0, 100, 200, 300] {
        let left: Vec<&HostRecord> = all
            .iter()
            .filter(|record| record.id != Net::id(lost))
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
