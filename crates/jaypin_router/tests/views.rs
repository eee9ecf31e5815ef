//! Which backend servers hosts of a large fleet use, and who hears of their load.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use jaypin_core::{BackendId, HostId, ServiceId};
use jaypin_router::{BackendSubsets, SubsetKind};

const SERVICE: &str = "engines";

/// A fleet in which every host derives its own views.
struct Fleet {
    hosts: Vec<(HostId, SocketAddr)>,
    engines: Vec<BackendId>,
}

impl Fleet {
    fn new(hosts: u16, engines: usize) -> Self {
        let hosts = (0..hosts).map(|n| (format!("entry-{n}").into(), common::address(7_000 + n)));
        let engines = (0..engines).map(|n| format!("engine-{n}").into());
        Self {
            hosts: hosts.collect(),
            engines: engines.collect(),
        }
    }

    fn views_of(&self, number: usize) -> BackendSubsets {
        self.views_among(number, &self.engines)
    }

    /// What a host derives that knows of these engines only.
    fn views_among(&self, number: usize, engines: &[BackendId]) -> BackendSubsets {
        let own = &self.hosts[number].0;
        let others: Vec<_> = self
            .hosts
            .iter()
            .filter(|it| it.0 != *own)
            .cloned()
            .collect();
        let backends = BTreeMap::from([(ServiceId::from(SERVICE), engines.to_vec())]);
        let mut views = BackendSubsets::default();
        views.recompute(own, &others, backends);
        views
    }

    fn all(&self) -> Vec<BackendSubsets> {
        (0..self.hosts.len()).map(|it| self.views_of(it)).collect()
    }
}

macro_rules! kinds {
    ($($name:ident: $hosts:literal hosts, $backends:literal backends => $kind:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(SubsetKind::of($hosts, $backends), $kind);
        }
    )*};
}

kinds! {
    a_small_fleet_uses_everything: 15 hosts, 12 backends => SubsetKind::All;
    a_host_of_a_large_fleet_uses_a_dozen_engines: 195 hosts, 117 backends => SubsetKind::Subset(12);
    fewer_hosts_use_more_engines_each: 123 hosts, 90 backends => SubsetKind::Subset(15);
    the_planned_size: 370 hosts, 600 backends => SubsetKind::Subset(33);
    three_application_servers_are_used_by_all: 123 hosts, 3 backends => SubsetKind::AllWithinCell;
    five_application_servers_are_used_by_all: 195 hosts, 5 backends => SubsetKind::AllWithinCell;
    few_engines_of_a_large_fleet: 100 hosts, 12 backends => SubsetKind::Subset(4);
}

/// Two hosts send to one engine and neither hears of the other's request: both take its slots
/// for free, and requests wait inside it for whole runs. It was so for one request in five
/// when hosts dealt engines out by what each took for the size of its neighbours' groups.
#[test]
fn whoever_uses_an_engine_hears_of_all_others_that_use_it() {
    let fleet = Fleet::new(195, 117);
    let all = fleet.all();
    for (number, views) in all.iter().enumerate() {
        for engine in views.own_subset(SERVICE) {
            let told = views.peers_using(SERVICE, engine).expect("told one by one");
            for (other, theirs) in all.iter().enumerate() {
                let uses = other != number && theirs.contains(SERVICE, engine);
                let address = fleet.hosts[other].1;
                assert!(!uses || told.contains(&address), "{engine} {address}");
            }
        }
    }
}

/// An engine is added, and for a moment some hosts know of it and others don't. What they tell
/// each other must not depend on who knows.
#[test]
fn hosts_that_know_other_engines_still_tell_each_other() {
    let fleet = Fleet::new(195, 117);
    let (sender, few) = (fleet.views_of(0), &fleet.engines[1..]);
    let mut missing = 0;
    for number in 1..195 {
        let theirs = fleet.views_among(number, few);
        let shared = theirs.own_subset(SERVICE).iter();
        let shared = shared.filter(|it| sender.contains(SERVICE, it));
        for engine in shared {
            let told = sender
                .peers_using(SERVICE, engine)
                .expect("told one by one");
            missing += u32::from(!told.contains(&fleet.hosts[number].1));
        }
    }
    assert_eq!(missing, 0);
}

/// What a request costs in reports must not grow with the fleet, and no engine may stand
/// unused.
#[test]
fn each_engine_is_used_by_a_few_dozen_hosts() {
    for (hosts, engines) in [(195, 117), (123, 90), (370, 600)] {
        let mut users: HashMap<BackendId, usize> = HashMap::new();
        for views in Fleet::new(hosts, engines).all() {
            for engine in views.own_subset(SERVICE) {
                *users.entry(engine.clone()).or_default() += 1;
            }
        }
        assert_eq!(users.len(), engines);
        assert!(users.values().all(|it| (6..=42).contains(it)), "{users:?}");
        let mean = users.values().sum::<usize>() / engines;
        assert!((18..=24).contains(&mean), "{mean}");
    }
}

/// An engine is replaced. If hosts changed what they use, they would begin anew without
/// knowing what runs there.
#[test]
fn a_view_changes_by_one_when_an_engine_leaves() {
    let fleet = Fleet::new(195, 117);
    for number in 0..20 {
        let before = fleet.views_of(number);
        let after = fleet.views_among(number, &fleet.engines[1..]);
        let kept = before.own_subset(SERVICE).iter();
        let kept = kept.filter(|it| after.contains(SERVICE, it)).count();
        assert!(kept + 1 >= before.own_subset(SERVICE).len());
    }
}

/// Some callers' hosts get much of the load. It has to spill over to all engines, or one part
/// of the fleet refuses urgent work while another serves what can wait.
#[test]
fn views_overlap_until_all_engines_are_reached() {
    let fleet = Fleet::new(195, 117);
    let all = fleet.all();
    let mut reached: Vec<_> = all[0].own_subset(SERVICE).to_vec();
    for _ in 0..2 {
        let near = all.iter().filter(|views| {
            let mut ours = views.own_subset(SERVICE).iter();
            ours.any(|it| reached.contains(it))
        });
        let near: Vec<_> = near
            .flat_map(|it| it.own_subset(SERVICE).to_vec())
            .collect();
        reached.extend(near);
        reached.sort();
        reached.dedup();
    }
    assert_eq!(reached.len(), 117);
}

#[test]
fn an_unknown_service_has_no_view() {
    let views = BackendSubsets::default();
    assert!(views.own_subset("none").is_empty());
    assert_eq!(views.peers_using("none", "engine-1"), None);
}
