//! A store that comes back from an older copy, as several hosts see it: some read it, the others
//! hear from them, late, and some reports are lost.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{Bed, ENGINES, Told, configuration, record};
use jaypin_router::{
    BackendRecord, BackendStatus, BootTime, Effect, EntryChange, Event, ExposureBound, Report,
    RolloutOrder, RolloutReport, RolloutState, StorePoint, VersionOutcomes,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn leaving(id: &str) -> BackendRecord {
    let mut record = record(id, ENGINES, 9);
    record.status = BackendStatus::Leaving;
    record
}

fn stated(record: BackendRecord, era: u64, revision: u64) -> EntryChange {
    let point = StorePoint::new(era, revision);
    EntryChange::Stated { record, point }
}

fn uses(bed: &mut Bed, id: &str) -> bool {
    let told: Vec<_> = (0..6).map(|_| bed.arrive("/ask/x", (600, 30)).1).collect();
    told.contains(&Told::Sent(id.into()))
}

/// Guards against a peer of the former era that overrules a host that knows better.
#[test]
fn a_report_of_the_former_era_changes_nothing() {
    let mut bed = Bed::usual();
    bed.apply(Event::BackendChanged(stated(leaving("engine-1"), 2, 3)));
    let mut report = common::report(1, common::whole(2));
    let old = record("engine-1", ENGINES, 9);
    report.changes.push(stated(old.clone(), 1, 900));
    bed.hear_report(report);
    bed.apply(Event::EntriesHanded(vec![stated(old, 1, 901)]));
    assert!(!uses(&mut bed, "engine-1"));
}

/// Guards against an entry of the new era that is dropped because its revision is lower.
#[test]
fn a_lower_revision_of_a_later_era_is_newer() {
    let mut bed = Bed::usual();
    bed.apply(Event::BackendChanged(stated(
        record("new-1", ENGINES, 9),
        1,
        900,
    )));
    bed.apply(Event::BackendChanged(stated(leaving("new-1"), 2, 3)));
    assert!(!uses(&mut bed, "new-1"));
}

/// Guards against an entry that the copy has and that is gone by the new history.
#[test]
fn a_listing_of_a_later_era_replaces_what_is_known() {
    let mut bed = Bed::usual();
    bed.era = 2;
    bed.list(vec![record("engine-22", ENGINES, 9)]);
    bed.wait(Duration::from_secs(3));
    bed.prove();
    bed.tick();
    assert!(!uses(&mut bed, "engine-1"));
}

/// Guards against backend servers that are dropped although they only have to write again.
#[test]
fn an_entry_that_the_copy_lacks_is_used_for_a_while() {
    let mut bed = Bed::usual();
    bed.apply(Event::StoreEra(1));
    bed.apply(Event::StoreEra(2));
    bed.era = 2;
    bed.list(vec![record("engine-22", ENGINES, 9)]);
    assert!(uses(&mut bed, "engine-1"));
}

/// Guards against a process that left and that the copy calls ready.
#[test]
fn a_process_that_left_is_not_ready_again() {
    let mut bed = Bed::usual();
    bed.state(leaving("engine-1"));
    bed.era = 2;
    bed.state(record("engine-1", ENGINES, 9));
    assert!(!uses(&mut bed, "engine-1"));
    let mut next = record("engine-1", ENGINES, 9);
    next.started = 2;
    bed.state(next);
    assert!(uses(&mut bed, "engine-1"));
}

// ------------------------------------------------------------------ orders

fn order(to: &str, era: u64, revision: u64, state: RolloutState) -> RolloutOrder {
    RolloutOrder {
        service: ENGINES.into(),
        to: to.into(),
        time: Duration::from_secs(10),
        point: StorePoint::new(era, revision),
        state,
    }
}

/// A bed that brings in versions, with an order that has ended.
fn ended_bed(state: RolloutState) -> Bed {
    let mut bed = Bed::bounded(|bounds| {
        bounds.exposure = Some(ExposureBound {
            share: 0.1,
            slack: 50.0,
        });
    });
    bed.configure(configuration(1));
    bed.prove();
    bed.tick();
    bed.state(record("engine-1", ENGINES, 9));
    bed.apply(Event::RolloutTold(order(
        "v2",
        1,
        500,
        RolloutState::Running,
    )));
    bed.apply(Event::RolloutTold(order("v2", 1, 501, state)));
    bed
}

/// Writes of the next seconds.
fn writes(bed: &mut Bed) -> Vec<RolloutOrder> {
    let mut writes = Vec::new();
    for _ in 0..20 {
        bed.wait(Duration::from_millis(100));
        bed.prove();
        writes.extend(bed.tick().into_iter().filter_map(|effect| match effect {
            Effect::WriteRollout(write) => Some(write.order),
            _ => None,
        }));
    }
    writes
}

macro_rules! ends {
    ($($name:ident: $state:ident, $told:expr => $written:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut bed = ended_bed(RolloutState::$state);
                bed.apply(Event::RolloutTold($told));
                let written: Option<RolloutState> = $written;
                assert_eq!(writes(&mut bed).first().map(|it| it.state), written);
            }
        )*
    };
}

// Guards against an end that is lost with the store's last seconds, and one that is written over
// an order that was given anew.
ends! {
    a_lost_take_over_is_written_again: Done, order("v2", 2, 400, RolloutState::Running) => Some(RolloutState::Done);
    a_lost_roll_back_is_written_again: RolledBack, order("v2", 2, 400, RolloutState::Ordered) => Some(RolloutState::RolledBack);
    an_end_that_the_copy_has_is_not_written: Done, order("v2", 2, 400, RolloutState::Done) => None;
    an_order_of_the_same_era_is_a_new_one: RolledBack, order("v2", 1, 600, RolloutState::Ordered) => Some(RolloutState::Running);
    an_order_to_another_version_is_a_new_one: Done, order("v3", 2, 400, RolloutState::Ordered) => Some(RolloutState::Running);
}

/// Guards against an end that is written under the revision of the former history.
#[test]
fn a_lost_end_is_written_over_the_new_point_until_the_store_has_it() {
    let mut bed = ended_bed(RolloutState::Done);
    bed.apply(Event::RolloutTold(order(
        "v2",
        2,
        400,
        RolloutState::Running,
    )));
    let written = writes(&mut bed);
    assert_eq!(written[0].point, StorePoint::new(2, 400));
    bed.apply(Event::RolloutTold(order("v2", 2, 402, RolloutState::Done)));
    assert_eq!(writes(&mut bed), Vec::new());
}

/// Guards against a host that starts, reads the order as the copy has it, and tries it again.
#[test]
fn a_host_that_reads_the_copy_first_takes_the_end_from_its_peers() {
    let mut bed = ended_bed(RolloutState::Withdrawn);
    bed.apply(Event::RolloutTold(order(
        "v3",
        2,
        400,
        RolloutState::Running,
    )));
    let mut whole = common::whole(2);
    whole.rollouts.push(RolloutReport {
        order: order("v3", 2, 400, RolloutState::RolledBack),
        age: Duration::from_secs(1),
        is_bad: true,
        is_end_lost: true,
        outcomes: VersionOutcomes::default(),
    });
    bed.hear_report(common::report(1, whole));
    let written = writes(&mut bed);
    assert_eq!(
        written.first().map(|it| it.state),
        Some(RolloutState::RolledBack)
    );
}

// ------------------------------------------------------------------ several hosts

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
    beds: Vec<Bed>,
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
            let mut bed = Bed::unconfigured_as(u16::try_from(n).expect("few") + 1);
            bed.now = now;
            let all = (1..=HOSTS).map(|n| u16::try_from(n).expect("few"));
            let all = all.map(|n| {
                (
                    format!("host-{n}").as_str().into(),
                    common::address(7_000 + n),
                )
            });
            bed.apply(Event::HostsFound(all.collect()));
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
            let fx = self.beds[n].apply(Event::Reported { report, boot_time });
            self.carry_out(n, fx);
        }
        for n in 0..HOSTS {
            let router = &self.beds[n].router;
            let watches = router.is_watcher(now) && self.cut != Some(n);
            let holder = router.entry_holders(now).first().copied();
            let is_other = router.has_other_entries(now);
            if watches && self.rng.random_range(0..6) == 0 {
                self.read(n);
            } else if let Some(holder) = holder.filter(|_| is_other) {
                let holder = usize::from(holder.port() - 7_001);
                let entries = self.beds[holder].router.entry_snapshot();
                self.beds[n].apply(Event::EntriesHanded(entries));
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
            let Effect::Tell { to, report } = effect else {
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
