//! How long the state of a leaving backend server takes to reach each host of a fleet that grows
//! into more cells. Watchers read the store; the others depend on reports, which are delayed and
//! may be lost.

mod common;

use std::time::{Duration, Instant};

use common::{ENGINES, TestHost, configuration, record};
use jaypin_router::{BackendStatus, Effect, EntryChange, Event, Report, StorePoint};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(25);
/// Time between two checks of a host whether it has to read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two responses of the store to a watch without changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause of a watcher after changes.
const WATCH_PAUSE: Duration = Duration::from_millis(300);
/// Time after entries were fetched from a peer in which they are not fetched again.
const SNAPSHOT_GRACE: Duration = Duration::from_secs(3);
const CONFIGURATION: u64 = 1;
const LEAVING: &str = "engine-0";

/// A host and what its tasks do next.
struct Member {
    host: TestHost,
    starts_at: Instant,
    is_started: bool,
    lists_at: Instant,
    checks_at: Instant,
    proves_at: Instant,
    /// Whether it watches the entries, and how many changes it has read.
    watched: Option<usize>,
    watches_at: Instant,
    fetched_at: Option<Instant>,
    learned_at: Option<Instant>,
}

struct Fleet {
    members: Vec<Member>,
    in_transit: Vec<(Instant, usize, Box<Report>)>,
    left_at: Option<Instant>,
    now: Instant,
    rng: ChaCha8Rng,
}

fn millis(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

impl Fleet {
    /// Creates a fleet of `before` hosts that have run for a while, and `added` ones that start at
    /// about the same time later.
    fn new(seed: u64, before: usize, added: usize, added_after: Duration) -> Self {
        let now = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members = (0..before + added).map(|n| {
            let number = u16::try_from(n).expect("few") + 1;
            let offset = if n < before {
                Duration::ZERO
            } else {
                added_after
            };
            let starts_at = now + offset + millis(&mut rng, 0..300);
            let mut host = TestHost::unconfigured_as(number);
            host.now = now;
            Member {
                host,
                starts_at,
                is_started: false,
                lists_at: starts_at,
                checks_at: starts_at,
                proves_at: starts_at,
                watched: None,
                watches_at: starts_at,
                fetched_at: None,
                learned_at: None,
            }
        });
        Self {
            members: members.collect(),
            in_transit: Vec::new(),
            left_at: None,
            now,
            rng,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for n in 0..self.members.len() {
            self.members[n].host.wait(STEP);
            if self.members[n].starts_at <= self.now {
                self.run_tasks(n);
            }
        }
        let now = self.now;
        let due: Vec<_> = self.in_transit.extract_if(.., |it| it.0 <= now).collect();
        for (_, n, report) in due {
            if !self.members[n].is_started {
                continue;
            }
            let boot_time = self.members[n].host.boot_time;
            let fx = self.members[n]
                .host
                .apply(Event::ReportReceived { report, boot_time });
            self.carry_out(n, fx);
        }
        if self.left_at.is_some() {
            for member in self.members.iter_mut().filter(|it| it.is_started) {
                if member.learned_at.is_none() && !member.host.router.still_accepts(LEAVING, now) {
                    member.learned_at = Some(now);
                }
            }
        }
    }

    fn run_tasks(&mut self, n: usize) {
        let now = self.now;
        if !self.members[n].is_started {
            self.start(n);
        }
        let fx = self.members[n].host.tick();
        self.carry_out(n, fx);
        if self.members[n].lists_at <= now {
            let has_unlisted = self.members[n].host.router.has_unlisted_peer(now);
            let pause = if has_unlisted {
                self.list_hosts(n);
                millis(&mut self.rng, 900..5_100)
            } else {
                Duration::from_secs(1)
            };
            self.members[n].lists_at = now + pause;
        }
        if self.members[n].checks_at <= now {
            self.members[n].checks_at = now + CHECK_INTERVAL;
            self.follow_store(n);
        }
        if self.members[n].watched.is_some() && self.members[n].watches_at <= now {
            self.read_changes(n);
        }
    }

    /// Starts a host: it registers, lists the hosts, and reads the configuration and all entries.
    fn start(&mut self, n: usize) {
        self.members[n].is_started = true;
        self.list_hosts(n);
        self.list_entries(n);
        let member = &mut self.members[n];
        member.host.configure(configuration(CONFIGURATION));
        member.host.prove();
        member.lists_at = self.now + millis(&mut self.rng, 900..5_100);
    }

    fn list_hosts(&mut self, n: usize) {
        let registered = self.members.iter().filter(|it| it.is_started);
        let listed = registered.map(|it| {
            let whole = common::whole_report(it.host.number);
            (whole.host, whole.address)
        });
        let listed = Event::HostsListed(listed.collect());
        self.members[n].host.apply(listed);
    }

    fn point(&self) -> StorePoint {
        StorePoint::new(1, 100 + u64::from(self.left_at.is_some()))
    }

    fn list_entries(&mut self, n: usize) {
        let point = self.point();
        let mut entries: Vec<_> = (0..8)
            .map(|n| {
                (
                    record(&format!("engine-{n}"), ENGINES, 9),
                    StorePoint::new(1, n + 1),
                )
            })
            .collect();
        if self.left_at.is_some() {
            entries[0].0.status = BackendStatus::Leaving;
            entries[0].1 = point;
        }
        let fx = self.members[n]
            .host
            .apply(Event::BackendsListed { entries, point });
        self.carry_out(n, fx);
    }

    /// Does what the tasks of a host do when they check whether they have to read the store.
    fn follow_store(&mut self, n: usize) {
        let now = self.now;
        let member = &mut self.members[n];
        let (router, boot_time) = (&member.host.router, member.host.boot_time);
        if router.should_watch(now, boot_time) && member.proves_at <= now {
            member.proves_at = now + WATCH_TIMEOUT;
            member.host.prove();
        }
        let router = &member.host.router;
        let follows = router.has_fresh_proof(boot_time) && router.is_watcher(now);
        if follows && member.watched.is_none() {
            member.watched = Some(usize::from(self.left_at.is_some()));
            return self.list_entries(n);
        }
        if !follows {
            member.watched = None;
        }
        if follows || !router.has_diverging_entries(now) {
            return;
        }
        let is_recent = |at: Instant| now.duration_since(at) < SNAPSHOT_GRACE;
        let holders = router.entry_holders(now);
        let holder = holders.choose(&mut self.rng).copied();
        if let Some(holder) = holder.filter(|_| !member.fetched_at.is_some_and(is_recent)) {
            member.fetched_at = Some(now);
            let holder = usize::from(holder.port() - 7_001);
            let entries = self.members[holder].host.router.entry_snapshot();
            self.members[n]
                .host
                .apply(Event::EntriesTransferred(entries));
        } else {
            self.list_entries(n);
        }
    }

    fn read_changes(&mut self, n: usize) {
        let available = usize::from(self.left_at.is_some());
        if self.members[n].watched == Some(available) {
            return;
        }
        self.members[n].watched = Some(available);
        self.members[n].watches_at = self.now + WATCH_PAUSE;
        let mut record = record(LEAVING, ENGINES, 9);
        record.status = BackendStatus::Leaving;
        let point = self.point();
        let change = EntryChange::Stated { record, point };
        let fx = self.members[n].host.apply(Event::BackendChanged(change));
        self.carry_out(n, fx);
    }

    fn carry_out(&mut self, n: usize, fx: Vec<Effect>) {
        for effect in fx {
            let Effect::SendReport { to, report } = effect else {
                continue;
            };
            for address in to {
                let peer = usize::from(address.port() - 7_001);
                if peer == n || self.rng.random_bool(0.01) {
                    continue;
                }
                let at = self.now + millis(&mut self.rng, 1..60);
                self.in_transit.push((at, peer, report.clone()));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Lets a backend server leave, and returns the time after which each host knew of it.
    fn leave(&mut self, observed: Duration) -> Vec<Duration> {
        let left_at = self.now;
        self.left_at = Some(left_at);
        self.run(observed);
        let started = self.members.iter().filter(|it| it.is_started);
        let mut delays: Vec<_> = started
            .map(|it| it.learned_at.map_or(observed, |at| at - left_at))
            .collect();
        delays.sort();
        delays
    }
}

/// Time after which no request may reach a leaving backend server in large fleets.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time for which hosts are observed after a backend server began to leave.
const OBSERVED: Duration = Duration::from_secs(5);
/// Time for which a fleet runs before hosts are added.
const RUN_BEFORE: Duration = Duration::from_secs(8);

/// Returns a fleet to which hosts were added that let it divide into more cells, at a random time
/// within a second and a half after that.
fn grown_fleet(seed: u64, before: usize, added: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, before, added, RUN_BEFORE);
    let added_for = millis(&mut fleet.rng, 0..1_500);
    fleet.run(RUN_BEFORE + added_for);
    fleet
}

/// Guards against requests to a backend server that left seconds ago, from a host that has just
/// started: it relied on peers that still counted fewer cells, and whose watchers reported to
/// neither its cell nor it.
#[test]
fn each_host_of_a_growing_fleet_knows_in_time_that_a_backend_server_leaves() {
    for seed in 2_016..2_020 {
        let mut fleet = grown_fleet(seed, 79, 3);
        let delays = fleet.leave(OBSERVED);
        let last = delays.last().expect("hosts");
        assert!(*last < DRAIN_LIMIT, "seed {seed}: {last:?}");
    }
}

/// Guards against a fleet with more watches than it needs, each of which costs calls to the store.
#[test]
fn a_fleet_that_has_grown_has_two_watchers_in_each_cell() {
    let mut fleet = grown_fleet(1, 79, 3);
    fleet.run(Duration::from_secs(15));
    let now = fleet.now;
    let watching = fleet
        .members
        .iter()
        .filter(|it| it.host.router.is_watcher(now));
    assert_eq!(watching.count(), 2 * 4);
}
