//! Which backend servers the hosts of a large fleet use, and which hosts receive reports of their
//! load.

mod common;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use jaypin_core::{BackendId, HostId, ServiceId};
use jaypin_router::{BackendSubsets, SubsetKind};

const SERVICE: &str = "engines";

/// A fleet in which every host derives its own subsets of the backend servers.
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

    fn subsets_of(&self, number: usize) -> BackendSubsets {
        self.subsets_with_engines(number, &self.engines)
    }

    /// Returns the subsets that a host derives if it knows only these engines.
    fn subsets_with_engines(&self, number: usize, engines: &[BackendId]) -> BackendSubsets {
        let own = &self.hosts[number].0;
        let others: Vec<_> = self
            .hosts
            .iter()
            .filter(|it| it.0 != *own)
            .cloned()
            .collect();
        let backends = BTreeMap::from([(ServiceId::from(SERVICE), engines.to_vec())]);
        let mut subsets = BackendSubsets::default();
        subsets.update(own, &others, backends);
        subsets
    }

    fn all(&self) -> Vec<BackendSubsets> {
        (0..self.hosts.len())
            .map(|it| self.subsets_of(it))
            .collect()
    }
}

macro_rules! subset_kinds {
    ($($name:ident: $hosts:literal hosts, $backends:literal backends => $kind:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(SubsetKind::of($hosts, $backends), $kind);
        }
    )*};
}

subset_kinds! {
    a_small_fleet_uses_everything: 15 hosts, 12 backends => SubsetKind::All;
    a_host_of_a_large_fleet_uses_a_dozen_engines: 195 hosts, 117 backends => SubsetKind::Subset(12);
    fewer_hosts_use_more_engines_each: 123 hosts, 90 backends => SubsetKind::Subset(15);
    the_planned_size: 370 hosts, 600 backends => SubsetKind::Subset(33);
    three_application_servers_are_used_by_all: 123 hosts, 3 backends => SubsetKind::AllWithinCell;
    five_application_servers_are_used_by_all: 195 hosts, 5 backends => SubsetKind::AllWithinCell;
    few_engines_of_a_large_fleet: 100 hosts, 12 backends => SubsetKind::Subset(4);
}

/// Guards against hosts that share an engine without reports of each other's requests: both count
/// its slots as free, and requests queue inside the engine for the length of whole answers. This
/// happened to one request in five when hosts distributed the engines by their own estimates of
/// the size of their neighbours' groups.
#[test]
fn hosts_report_to_all_other_users_of_an_engine() {
    let fleet = Fleet::new(195, 117);
    let all = fleet.all();
    for (number, subsets) in all.iter().enumerate() {
        for engine in subsets.own_subset(SERVICE) {
            let report_targets = subsets
                .peers_using(SERVICE, engine)
                .expect("a list of the users");
            for (other, theirs) in all.iter().enumerate() {
                let uses = other != number && theirs.contains(SERVICE, engine);
                let address = fleet.hosts[other].1;
                assert!(
                    !uses || report_targets.contains(&address),
                    "{engine} {address}"
                );
            }
        }
    }
}

/// Guards against missing reports while an engine is being added: the hosts to which a host
/// reports must not depend on which hosts already know the engine.
#[test]
fn hosts_that_know_different_engines_report_to_each_other() {
    let fleet = Fleet::new(195, 117);
    let (sender, few) = (fleet.subsets_of(0), &fleet.engines[1..]);
    let mut missing = 0;
    for number in 1..195 {
        let theirs = fleet.subsets_with_engines(number, few);
        let shared = theirs.own_subset(SERVICE).iter();
        let shared = shared.filter(|it| sender.contains(SERVICE, it));
        for engine in shared {
            let report_targets = sender
                .peers_using(SERVICE, engine)
                .expect("a list of the users");
            missing += u32::from(!report_targets.contains(&fleet.hosts[number].1));
        }
    }
    assert_eq!(missing, 0);
}

/// Guards against a number of reports per request that grows with the fleet, and against engines
/// that no host uses.
#[test]
fn each_engine_is_used_by_a_few_dozen_hosts() {
    for (hosts, engines) in [(195, 117), (123, 90), (370, 600)] {
        let mut users: HashMap<BackendId, usize> = HashMap::new();
        for subsets in Fleet::new(hosts, engines).all() {
            for engine in subsets.own_subset(SERVICE) {
                *users.entry(engine.clone()).or_default() += 1;
            }
        }
        assert_eq!(users.len(), engines);
        assert!(users.values().all(|it| (6..=42).contains(it)), "{users:?}");
        let mean = users.values().sum::<usize>() / engines;
        assert!((18..=24).contains(&mean), "{mean}");
    }
}

/// Guards against hosts that change their subsets when one engine is replaced: they would not
/// know what runs on the engines that are new to them.
#[test]
fn a_subset_changes_by_one_when_an_engine_is_removed() {
    let fleet = Fleet::new(195, 117);
    for number in 0..20 {
        let before = fleet.subsets_of(number);
        let after = fleet.subsets_with_engines(number, &fleet.engines[1..]);
        let kept = before.own_subset(SERVICE).iter();
        let kept = kept.filter(|it| after.contains(SERVICE, it)).count();
        assert!(kept + 1 >= before.own_subset(SERVICE).len());
    }
}

/// Returns the number of scores that a host computes when one engine is replaced, on average.
fn scores_per_replaced_engine(hosts: u16, engines: usize) -> usize {
    const REPLACED: usize = 20;
    let fleet = Fleet::new(hosts, engines + REPLACED);
    let (own, others) = fleet.hosts.split_first().expect("hosts");
    let mut subsets = BackendSubsets::default();
    let mut known = fleet.engines[..engines].to_vec();
    let mut update = |known: &[BackendId]| {
        let backends = BTreeMap::from([(ServiceId::from(SERVICE), known.to_vec())]);
        subsets.update(&own.0, others, backends);
        subsets.scored()
    };
    let before = update(&known);
    for n in 0..REPLACED {
        known[n] = fleet.engines[engines + n].clone();
        update(&known);
    }
    (update(&known) - before) / REPLACED
}

/// Guards against a fleet that is busy with itself while engines are replaced: each host drew the
/// subsets of all others again, which grows with the product of hosts and engines.
#[test]
fn the_work_for_one_engine_grows_no_faster_than_the_fleet() {
    let (half, whole) = (
        scores_per_replaced_engine(493, 1_440),
        scores_per_replaced_engine(986, 2_880),
    );
    assert!(whole < half * 5 / 2, "{half} and {whole} scores");
    assert!(whole < 986 * 2_880 / 10, "{whole} scores");
}

/// Guards against updates that drift from what a host derives anew.
#[test]
fn updated_subsets_equal_those_derived_at_once() {
    let fleet = Fleet::new(195, 117);
    let (own, others) = fleet.hosts.split_first().expect("hosts");
    let mut updated = BackendSubsets::default();
    for n in (0..=40).rev() {
        let backends = BTreeMap::from([(ServiceId::from(SERVICE), fleet.engines[n..].to_vec())]);
        updated.update(&own.0, &others[n..], backends);
    }
    let derived = fleet.subsets_of(0);
    assert_eq!(updated.own_subset(SERVICE), derived.own_subset(SERVICE));
    for engine in derived.own_subset(SERVICE) {
        let users = updated.peers_using(SERVICE, engine).expect("users");
        let least = derived.peers_using(SERVICE, engine).expect("users");
        assert!(least.iter().all(|it| users.contains(it)), "{engine}");
    }
}

/// Guards against a fleet in which one part refuses urgent requests while another serves
/// deferrable ones: when some hosts get much of the load, it must spread to all engines.
#[test]
fn subsets_overlap_until_all_engines_are_reached() {
    let fleet = Fleet::new(195, 117);
    let all = fleet.all();
    let mut reached: Vec<_> = all[0].own_subset(SERVICE).to_vec();
    for _ in 0..2 {
        let connected = all.iter().filter(|subsets| {
            let mut ours = subsets.own_subset(SERVICE).iter();
            ours.any(|it| reached.contains(it))
        });
        let connected: Vec<_> = connected
            .flat_map(|it| it.own_subset(SERVICE).to_vec())
            .collect();
        reached.extend(connected);
        reached.sort();
        reached.dedup();
    }
    assert_eq!(reached.len(), 117);
}

#[test]
fn an_unknown_service_has_no_subset() {
    let subsets = BackendSubsets::default();
    assert!(subsets.own_subset("none").is_empty());
    assert_eq!(subsets.peers_using("none", "engine-1"), None);
}
