//! Several hosts before a store that comes back from an older copy: some read it, the others hear
//! from them, late, and some reports are lost.

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

/// A store with a history.
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
    beds: Vec<TestHost>,
    coming: Vec<(Instant, usize, Box<Report>)>,
    /// What the store has; what backend servers say of themselves, whether it is there or not.
    store: Store,
    truth: BTreeMap<String, BackendRecord>,
    era: u64,
    /// A host that the store does not answer.
    cut: Option<usize>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let beds = (0..HOSTS).map(|n| {
            let mut bed = TestHost::unconfigured_as(u16::try_from(n).expect("few") + 1);
            bed.now = now;
            let all = (1..=HOSTS).map(|n| u16::try_from(n).expect("few"));
            let all = all.map(|n| {
                (
                    format!("host-{n}").as_str().into(),
                    common::address(7_000 + n),
                )
            });
            bed.apply(Event::HostsListed(all.collect()));
            bed.configure(configuration(1));
            bed
        });
        let mut fleet = Self {
            beds: beds.collect(),
            coming: Vec::new(),
            store: Store::default(),
            truth: BTreeMap::new(),
            era: 1,
            cut: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for n in 0..8 {
            fleet.state(record(&format!("engine-{n}"), ENGINES, 9));
        }
        fleet
    }

    fn state(&mut self, record: BackendRecord) {
        self.truth.insert(record.id.to_string(), record.clone());
        self.store.write(record);
    }

    /// A backend server begins to leave, ends, or starts as a new process.
    fn change_one(&mut self) {
        let id = format!("engine-{}", self.rng.random_range(0..8));
        let known = self.truth.get(&id).cloned();
        match known {
            Some(mut known) if known.status == BackendStatus::Ready => {
                known.status = BackendStatus::Leaving;
                self.state(known);
            }
            Some(_) => {
                self.truth.remove(&id);
                self.store.remove(&id);
            }
            None => {
                let mut next = record(&id, ENGINES, 9);
                next.started = self.rng.random_range(2..1_000_000);
                self.state(next);
            }
        }
    }

    fn step(&mut self) {
        for n in 0..HOSTS {
            self.beds[n].wait(STEP);
            self.beds[n].prove();
            let fx = self.beds[n].tick();
            self.carry_out(n, fx);
        }
        let now = self.beds[0].now;
        let due: Vec<_> = self.coming.extract_if(.., |it| it.0 <= now).collect();
        for (_, n, report) in due {
            let boot_time: BootTime = self.beds[n].boot;
            let fx = self.beds[n].apply(Event::ReportReceived { report, boot_time });
            self.carry_out(n, fx);
        }
        for n in 0..HOSTS {
            let router = &self.beds[n].router;
            let watches = router.is_watcher(now) && self.cut != Some(n);
            let holder = router.entry_holders(now).first().copied();
            let is_other = router.has_diverging_entries(now);
            if watches && self.rng.random_range(0..6) == 0 {
                self.read(n);
            } else if let Some(holder) = holder.filter(|_| is_other) {
                let holder = usize::from(holder.port() - 7_001);
                let entries = self.beds[holder].router.entry_snapshot();
                self.beds[n].apply(Event::EntriesTransferred(entries));
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
        self.beds[n].apply(Event::StoreEra(self.era));
        let fx = self.beds[n].apply(listed);
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
                let at = self.beds[n].now + delay;
                self.coming.push((at, peer, report.clone()));
            }
        }
    }

    /// What a host takes for ready, by id and process.
    fn ready_at(&self, n: usize) -> Vec<(String, u64)> {
        let stated = self.beds[n].router.entry_snapshot();
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

/// Guards against hosts that disagree for good, or keep what is gone, after one return or two
/// within seconds, with a reader that misses them and backend servers that write again late.
#[test]
fn hosts_agree_with_the_store_after_its_returns() {
    for seed in 0..300 {
        let mut fleet = Fleet::new(seed);
        fleet.run(20);
        let returns = fleet.rng.random_range(1..3);
        for _ in 0..returns {
            let copy = fleet.store.clone();
            for _ in 0..fleet.rng.random_range(1..8) {
                fleet.change_one();
                let steps = fleet.rng.random_range(0..10);
                fleet.run(steps);
            }
            let host = fleet.rng.random_range(0..HOSTS);
            fleet.cut = fleet.rng.random_bool(0.5).then_some(host);
            fleet.store = copy;
            fleet.era += 1;
            let steps = fleet.rng.random_range(0..30);
            fleet.run(steps);
        }
        // Backend servers write again, in another order; leases of those that are gone lapse.
        let mut again: Vec<_> = fleet.truth.values().cloned().collect();
        while !again.is_empty() {
            let record = again.swap_remove(fleet.rng.random_range(0..again.len()));
            fleet.store.write(record);
            let steps = fleet.rng.random_range(0..4);
            fleet.run(steps);
        }
        let gone = fleet
            .store
            .entries
            .keys()
            .filter(|id| !fleet.truth.contains_key(*id));
        for id in gone.cloned().collect::<Vec<_>>() {
            fleet.store.remove(&id);
        }
        fleet.cut = None;
        fleet.run(140);
        let truth = fleet
            .truth
            .values()
            .filter(|it| it.status == BackendStatus::Ready);
        let truth: Vec<_> = truth.map(|it| (it.id.to_string(), it.started)).collect();
        for n in 0..HOSTS {
            assert_eq!(fleet.ready_at(n), truth, "seed {seed}, host {n}");
        }
    }
}
