//! Several hosts whose store is restored from an older copy. Some hosts read the store; the
//! others depend on reports, which are late and may be lost.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{ENGINES, TestHost, configuration, record};
use jaypin_router::{
    BackendRecord, BackendStatus, BootTime, Effect, EntryChange, Event, Report, StorePoint,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 6;
const STEP: Duration = Duration::from_millis(50);

/// A store whose revision grows with each write.
#[derive(Clone, Default)]
struct Store {
    entries: BTreeMap<String, (BackendRecord, u64)>,
    revision: u64,
}

impl Store {
    fn write(&mut self, record: BackendRecord) {
        self.revision += 1;
        let id = record.id.to_string();
        self.entries.insert(id, (record, self.revision));
    }

    fn remove(&mut self, id: &str) {
        self.revision += 1;
        self.entries.remove(id);
    }
}

struct Fleet {
    hosts: Vec<TestHost>,
    reports_in_transit: Vec<(Instant, usize, Box<Report>)>,
    /// What the store has.
    store: Store,
    /// What backend servers last stated of themselves, whether the store has it or not.
    actual: BTreeMap<String, BackendRecord>,
    era: u64,
    /// A host that gets no answers from the store.
    cut_off_host: Option<usize>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let hosts = (0..HOSTS).map(|n| {
            let mut host = TestHost::unconfigured_as(u16::try_from(n).expect("few") + 1);
            host.now = now;
            let all = (1..=HOSTS).map(|n| u16::try_from(n).expect("few"));
            let all = all.map(|n| {
                (
                    format!("host-{n}").as_str().into(),
                    common::address(7_000 + n),
                )
            });
            host.apply(Event::HostsListed(all.collect()));
            host.configure(configuration(1));
            host
        });
        let mut fleet = Self {
            hosts: hosts.collect(),
            reports_in_transit: Vec::new(),
            store: Store::default(),
            actual: BTreeMap::new(),
            era: 1,
            cut_off_host: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for n in 0..8 {
            fleet.write_entry(record(&format!("engine-{n}"), ENGINES, 9));
        }
        fleet
    }

    fn write_entry(&mut self, record: BackendRecord) {
        self.actual.insert(record.id.to_string(), record.clone());
        self.store.write(record);
    }

    /// Changes a random backend server: it begins to leave, exits, or starts as a new process.
    fn change_backend(&mut self) {
        let id = format!("engine-{}", self.rng.random_range(0..8));
        let known = self.actual.get(&id).cloned();
        match known {
            Some(mut known) if known.status == BackendStatus::Ready => {
                known.status = BackendStatus::Leaving;
                self.write_entry(known);
            }
            Some(_) => {
                self.actual.remove(&id);
                self.store.remove(&id);
            }
            None => {
                let mut next = record(&id, ENGINES, 9);
                next.started = self.rng.random_range(2..1_000_000);
                self.write_entry(next);
            }
        }
    }

    fn step(&mut self) {
        for n in 0..HOSTS {
            self.hosts[n].wait(STEP);
            self.hosts[n].prove();
            let fx = self.hosts[n].tick();
            self.carry_out(n, fx);
        }
        let now = self.hosts[0].now;
        let due: Vec<_> = self
            .reports_in_transit
            .extract_if(.., |it| it.0 <= now)
            .collect();
        for (_, n, report) in due {
            let boot_time: BootTime = self.hosts[n].boot_time;
            let fx = self.hosts[n].apply(Event::ReportReceived { report, boot_time });
            self.carry_out(n, fx);
        }
        for n in 0..HOSTS {
            let router = &self.hosts[n].router;
            let watches = router.is_watcher(now) && self.cut_off_host != Some(n);
            let holder = router.entry_holders(now).first().copied();
            let differs = router.has_diverging_entries(now);
            if watches && self.rng.random_range(0..6) == 0 {
                self.read(n);
            } else if let Some(holder) = holder.filter(|_| differs) {
                let holder = usize::from(holder.port() - 7_001);
                let entries = self.hosts[holder].router.entry_snapshot();
                self.hosts[n].apply(Event::EntriesTransferred(entries));
            }
        }
    }

    fn read(&mut self, n: usize) {
        let point = |revision| StorePoint::new(self.era, revision);
        let entries = self.store.entries.values();
        let entries = entries.map(|(record, revision)| (record.clone(), point(*revision)));
        let listed = Event::BackendsListed {
            entries: entries.collect(),
            point: point(self.store.revision),
        };
        self.hosts[n].apply(Event::StoreEra(self.era));
        let fx = self.hosts[n].apply(listed);
        self.carry_out(n, fx);
    }

    fn carry_out(&mut self, n: usize, fx: Vec<Effect>) {
        for effect in fx {
            let Effect::SendReport { to, report } = effect else {
                continue;
            };
            for address in to {
                let peer = usize::from(address.port() - 7_001);
                if peer == n || self.rng.random_range(0.0..1.0) < 0.1 {
                    continue;
                }
                let delay = Duration::from_millis(self.rng.random_range(10..400));
                let at = self.hosts[n].now + delay;
                self.reports_in_transit.push((at, peer, report.clone()));
            }
        }
    }

    /// Returns the id and the process of each backend server that host `n` considers ready.
    fn ready_backends(&self, n: usize) -> Vec<(String, u64)> {
        let stated = self.hosts[n].router.entry_snapshot();
        let ready = stated.into_iter().filter_map(|it| match it {
            EntryChange::Stated { record, .. } => Some(record),
            EntryChange::Removed { .. } => None,
        });
        let ready = ready.filter(|it| it.status == BackendStatus::Ready);
        let mut ready: Vec<_> = ready.map(|it| (it.id.to_string(), it.started)).collect();
        ready.sort();
        ready
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step();
        }
    }
}

/// Guards against hosts that disagree for good, or keep removed backend servers, after one or two
/// restores of the store within seconds, while one host may not reach the store and backend
/// servers write their entries again late.
#[test]
fn hosts_agree_with_the_store_after_restores() {
    for seed in 0..300 {
        let mut fleet = Fleet::new(seed);
        fleet.run(20);
        let restores = fleet.rng.random_range(1..3);
        for _ in 0..restores {
            let copy = fleet.store.clone();
            for _ in 0..fleet.rng.random_range(1..8) {
                fleet.change_backend();
                let steps = fleet.rng.random_range(0..10);
                fleet.run(steps);
            }
            let host = fleet.rng.random_range(0..HOSTS);
            fleet.cut_off_host = fleet.rng.random_bool(0.5).then_some(host);
            fleet.store = copy;
            fleet.era += 1;
            let steps = fleet.rng.random_range(0..30);
            fleet.run(steps);
        }
        // The backend servers write their entries again, in another order; the leases of removed
        // ones expire.
        let mut unwritten: Vec<_> = fleet.actual.values().cloned().collect();
        while !unwritten.is_empty() {
            let record = unwritten.swap_remove(fleet.rng.random_range(0..unwritten.len()));
            fleet.store.write(record);
            let steps = fleet.rng.random_range(0..4);
            fleet.run(steps);
        }
        let removed = fleet
            .store
            .entries
            .keys()
            .filter(|id| !fleet.actual.contains_key(*id));
        for id in removed.cloned().collect::<Vec<_>>() {
            fleet.store.remove(&id);
        }
        fleet.cut_off_host = None;
        fleet.run(140);
        let expected = fleet
            .actual
            .values()
            .filter(|it| it.status == BackendStatus::Ready);
        let expected: Vec<_> = expected.map(|it| (it.id.to_string(), it.started)).collect();
        for n in 0..HOSTS {
            assert_eq!(fleet.ready_backends(n), expected, "seed {seed}, host {n}");
        }
    }
}
