//! A fleet of hosts that brings in a new version: requests, delayed reports, one store.

mod common;

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{ENGINES, address, bounds, configuration, record};
use jaypin_core::HostId;
use jaypin_router::{
    Arrival, AttemptOutcome, BootTime, Effect, EntryChange, Event, ExposureBound, Report,
    RequestNumber, RolloutOrder, RolloutState, RouteTable, Router, RouterConfig,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(20);
/// Time that a report or an answer of the store takes.
const DELAY: Duration = Duration::from_millis(20);
const ORDERED_AT: Duration = Duration::from_secs(3);
const ORDER_TIME: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(17);
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// How a version answers at a time since the order.
type Answers = fn(since: Duration, rng: &mut ChaCha8Rng) -> Answer;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Good,
    Slow,
    Fails,
}

/// Something on its way.
#[derive(Debug)]
enum Coming {
    Report(Box<Report>),
    Order(RolloutOrder),
    First(RequestNumber),
    End(RequestNumber, AttemptOutcome),
}

struct Host {
    router: Router,
    boot: BootTime,
    is_up: bool,
    /// Whether it reaches the store and its peers.
    is_cut: bool,
    coming: Vec<(Instant, Coming)>,
}

/// What backend servers saw.
#[derive(Debug, Default)]
struct Seen {
    all: u32,
    new: u32,
    bad: u32,
    new_after_end: u32,
    ended: Option<(RolloutState, Duration)>,
    writes: u32,
}

struct Fleet {
    hosts: Vec<Host>,
    now: Instant,
    start: Instant,
    rng: ChaCha8Rng,
    store: RolloutOrder,
    is_ordered: bool,
    store_is_out: bool,
    answers: Answers,
    old_answers: Answers,
    next: RequestNumber,
    seen: Seen,
}

fn good(_: Duration, _: &mut ChaCha8Rng) -> Answer {
    Answer::Good
}

fn fails_at_once(_: Duration, rng: &mut ChaCha8Rng) -> Answer {
    fails(0.4, rng)
}

fn fails_later(since: Duration, rng: &mut ChaCha8Rng) -> Answer {
    if since > Duration::from_secs(5) {
        fails(0.4, rng)
    } else {
        Answer::Good
    }
}

fn fails_a_little(_: Duration, rng: &mut ChaCha8Rng) -> Answer {
    fails(0.1, rng)
}

fn is_slow(_: Duration, _: &mut ChaCha8Rng) -> Answer {
    Answer::Slow
}

fn fails(part: f64, rng: &mut ChaCha8Rng) -> Answer {
    if rng.random_range(0.0..1.0) < part {
        Answer::Fails
    } else {
        Answer::Good
    }
}

impl Fleet {
    fn new(seed: u64, answers: Answers) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            hosts: (0..12).map(|n| host(n, seed)).collect(),
            now,
            start: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: order(),
            is_ordered: false,
            store_is_out: false,
            answers,
            old_answers: good,
            next: 1,
            seen: Seen::default(),
        };
        for n in 0..fleet.hosts.len() {
            fleet.begin(n);
        }
        fleet
    }

    /// A host's process starts and learns what the store has.
    fn begin(&mut self, n: usize) {
        let seed = self.rng.random();
        let all: Vec<_> = (0..self.hosts.len())
            .map(|other| (name(other), address(7_000 + port(other))))
            .collect();
        self.hosts[n] = host(n, seed);
        let table = Arc::new(RouteTable::new(configuration(1)));
        self.apply(n, Event::HostsFound(all));
        self.apply(n, Event::Configured(table));
        self.apply(n, Event::Proved(self.boot(n)));
        for (id, version) in self.backends() {
            let change = stated(&id, version);
            self.apply(n, Event::BackendChanged(change));
        }
        if self.is_ordered {
            self.apply(n, Event::RolloutTold(self.store.clone()));
        }
    }

    fn backends(&self) -> Vec<(String, &'static str)> {
        let old = (0..12).map(|n| (format!("old-{n}"), "v1"));
        let new = (0..12).map(|n| (format!("new-{n}"), "v2"));
        let new: Vec<_> = new.filter(|_| self.is_ordered).collect();
        old.chain(new).collect()
    }

    fn boot(&self, n: usize) -> BootTime {
        self.hosts[n].boot
    }

    fn since_order(&self) -> Duration {
        (self.now - self.start).saturating_sub(ORDERED_AT)
    }

    fn apply(&mut self, n: usize, event: Event) {
        let fx = self.hosts[n].router.apply(self.now, event);
        for effect in fx {
            self.carry_out(n, effect);
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        let at = self.now + DELAY;
        match effect {
            Effect::Tell { to, report } if !self.hosts[n].is_cut => {
                for address in to {
                    let peer = usize::from(address.port() - 7_001);
                    let report = Coming::Report(report.clone());
                    self.hosts[peer].coming.push((at, report));
                }
            }
            Effect::Send {
                number, backend, ..
            } => self.serve(n, number, &backend),
            Effect::WriteRollout(write) if !self.hosts[n].is_cut && !self.store_is_out => {
                self.seen.writes += 1;
                if write.order.revision == self.store.revision {
                    self.store = RolloutOrder {
                        revision: self.store.revision + 1,
                        ..write.order
                    };
                    if self.store.state.is_final() {
                        self.seen.ended = Some((self.store.state, self.since_order()));
                    }
                }
                self.tell_watchers();
            }
            _ => {}
        }
    }

    /// The hosts that watch hear of the order; the others hear from them.
    fn tell_watchers(&mut self) {
        let at = self.now + DELAY;
        for host in self.hosts.iter_mut().take(2) {
            if !host.is_cut {
                host.coming.push((at, Coming::Order(self.store.clone())));
            }
        }
    }

    fn serve(&mut self, n: usize, number: RequestNumber, backend: &str) {
        let is_new = backend.starts_with("new");
        let since = self.since_order();
        let is_over = self
            .seen
            .ended
            .is_some_and(|(_, at)| since > at + DELAY * 10);
        self.seen.all += u32::from(self.is_ordered && since < ORDER_TIME);
        let answers = if is_new {
            self.answers
        } else {
            self.old_answers
        };
        let answer = answers(since, &mut self.rng);
        if is_new {
            self.seen.new += 1;
            self.seen.bad += u32::from(answer != Answer::Good);
            let is_rolled_back = self.store.state == RolloutState::RolledBack;
            self.seen.new_after_end += u32::from(is_over && is_rolled_back);
        }
        let first = Duration::from_millis(match answer {
            Answer::Good => self.rng.random_range(25..60),
            Answer::Slow => self.rng.random_range(120..300),
            Answer::Fails => 4,
        });
        let coming = &mut self.hosts[n].coming;
        if answer == Answer::Fails {
            let end = Coming::End(number, AttemptOutcome::Failed);
            return coming.push((self.now + first, end));
        }
        coming.push((self.now + first, Coming::First(number)));
        let end = Coming::End(number, AttemptOutcome::Complete);
        coming.push((self.now + first * 3, end));
    }

    fn step(&mut self) {
        self.now += STEP;
        if !self.is_ordered && self.now >= self.start + ORDERED_AT {
            self.is_ordered = true;
            for n in 0..12 {
                let change = stated(&format!("new-{n}"), "v2");
                for host in 0..self.hosts.len() {
                    self.apply(host, Event::BackendChanged(change.clone()));
                }
            }
            self.tell_watchers();
        }
        for n in 0..self.hosts.len() {
            self.step_host(n);
        }
    }

    fn step_host(&mut self, n: usize) {
        let now = self.now;
        self.hosts[n].boot += STEP;
        if !self.hosts[n].is_up {
            self.hosts[n].coming.clear();
            return;
        }
        let is_due = |it: &mut (Instant, Coming)| it.0 <= now;
        let due: Vec<_> = self.hosts[n].coming.extract_if(.., is_due).collect();
        let boot_time = self.boot(n);
        for (_, coming) in due {
            let is_cut = self.hosts[n].is_cut;
            match coming {
                Coming::Report(report) if !is_cut => {
                    self.apply(n, Event::Reported { report, boot_time });
                }
                Coming::Order(order) if !is_cut => self.apply(n, Event::RolloutTold(order)),
                Coming::First(number) => self.apply(n, Event::Answered(number)),
                Coming::End(number, outcome) => self.apply(n, Event::Ended { number, outcome }),
                Coming::Report(_) | Coming::Order(_) => {}
            }
        }
        let is_proof_due = boot_time.as_millis().is_multiple_of(500);
        if is_proof_due && !self.hosts[n].is_cut {
            self.apply(n, Event::Proved(boot_time));
        }
        self.apply(n, Event::Tick(boot_time));
        // Three hundred requests a second, from two routes.
        if self.rng.random_range(0.0..1.0) < 0.5 {
            self.arrive(n);
        }
    }

    fn arrive(&mut self, n: usize) {
        let number = self.next;
        self.next += 1;
        let path = if self.rng.random() {
            "/ask/x"
        } else {
            "/label/x"
        };
        let arrival = Arrival {
            number,
            host: "api.example".to_owned(),
            path: path.to_owned(),
            credential: Some("key".to_owned()),
            tokens: Some((600, 30)),
            expected_answer: None,
            patience: None,
            fingerprint: number,
            received_at: self.now,
            boot_time: self.boot(n),
        };
        self.apply(n, Event::Arrived(arrival));
    }

    fn run(&mut self) -> &Seen {
        self.run_with(|_, _| {})
    }

    /// Runs to the end, with something done at each step.
    fn run_with(&mut self, act: impl Fn(&mut Self, Duration)) -> &Seen {
        while self.now < self.start + END {
            let since = self.now - self.start;
            act(self, since);
            self.step();
        }
        &self.seen
    }
}

impl Seen {
    fn keeps_its_share(&self) -> bool {
        f64::from(self.new) <= SHARE * f64::from(self.all) + SLACK
    }
}

fn name(n: usize) -> HostId {
    format!("host-{n}").as_str().into()
}

fn port(n: usize) -> u16 {
    u16::try_from(n).expect("few hosts") + 1
}

fn host(n: usize, seed: u64) -> Host {
    let mut bounds = bounds();
    bounds.exposure = Some(ExposureBound {
        share: SHARE,
        slack: SLACK,
    });
    Host {
        router: Router::new(RouterConfig {
            host: name(n),
            run: seed ^ (u64::from(port(n)) << 32),
            address: address(7_000 + port(n)),
            callers: address(8_000 + port(n)),
            failure_domain: "a".into(),
            seed,
            bounds,
        }),
        boot: Duration::from_secs(1_000),
        is_up: true,
        is_cut: false,
        coming: Vec::new(),
    }
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: ENGINES.into(),
        to: "v2".into(),
        time: ORDER_TIME,
        revision: 50,
        state: RolloutState::Ordered,
    }
}

fn stated(id: &str, version: &str) -> EntryChange {
    let mut record = record(id, ENGINES, 9);
    record.version = version.into();
    record.started = if version == "v1" { 1 } else { 2 };
    EntryChange::Stated {
        record,
        revision: 10,
    }
}

fn seeds() -> std::ops::Range<u64> {
    0..5
}

/// A good version is never brought in, or its trial takes more than its share.
#[test]
fn a_good_version_is_done_in_time() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, good);
        let seen = fleet.run_with(|fleet, _| {
            let is_trial = !fleet.store.state.is_final();
            assert!(
                !is_trial || fleet.seen.keeps_its_share(),
                "{:?}",
                fleet.seen
            );
        });
        let (state, at) = seen.ended.expect("an end");
        assert_eq!(state, RolloutState::Done, "seed {seed}");
        assert!(at < ORDER_TIME, "seed {seed}: {at:?}");
        assert!(seen.writes <= 4, "{seen:?}");
    }
}

macro_rules! bad_versions {
    ($($name:ident: $answers:expr, most $most:literal;)*) => {$(
        /// Callers are served by a bad version for longer than it takes to see that it is.
        #[test]
        fn $name() {
            let mut bad = Vec::new();
            for seed in seeds() {
                let mut fleet = Fleet::new(seed, $answers);
                let seen = fleet.run();
                let (state, _) = seen.ended.expect("an end");
                assert_eq!(state, RolloutState::RolledBack, "seed {seed}");
                assert!(seen.keeps_its_share(), "seed {seed}: {seen:?}");
                assert_eq!(seen.new_after_end, 0, "seed {seed}");
                assert!(seen.bad < 50, "seed {seed}: {seen:?}");
                bad.push(seen.bad);
            }
            bad.sort_unstable();
            let median = bad[bad.len() / 2];
            assert!(median <= $most, "{median} bad answers on the median: {bad:?}");
        }
    )*};
}

bad_versions! {
    a_version_that_fails_at_once_is_given_up: fails_at_once, most 20;
    a_version_that_fails_later_is_given_up: fails_later, most 20;
    a_version_that_fails_a_little_is_given_up: fails_a_little, most 20;
    a_slow_version_is_given_up: is_slow, most 40;
}

/// Hosts that start in the middle of a trial give out the share anew.
#[test]
fn restarts_do_not_add_to_the_share() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, good);
        let seen = fleet.run_with(|fleet, since| {
            let step = since.as_millis() / 20;
            if (200..600).contains(&step) && step % 10 == 0 {
                let n = usize::try_from(step / 10).expect("small") % 12;
                fleet.begin(n);
            }
            let is_trial = !fleet.store.state.is_final();
            assert!(
                !is_trial || fleet.seen.keeps_its_share(),
                "{:?}",
                fleet.seen
            );
        });
        assert!(seen.new > 0);
    }
}

/// A host that can't hear of the end goes on sending to the new version.
#[test]
fn a_host_that_is_cut_off_sends_nothing_to_a_version_under_trial() {
    let mut fleet = Fleet::new(1, good);
    let cut_at = ORDERED_AT + Duration::from_secs(2);
    let grace = Duration::from_secs(3);
    let mut before = 0;
    while fleet.now < fleet.start + cut_at + grace {
        if fleet.now >= fleet.start + cut_at {
            for host in &mut fleet.hosts {
                host.is_cut = true;
            }
        }
        fleet.step();
        before = fleet.seen.new;
    }
    for _ in 0..100 {
        fleet.step();
    }
    assert_eq!(fleet.seen.new, before);
}

/// The host whose turn it is to write is gone, and nobody else does.
#[test]
fn another_host_ends_an_order_when_the_first_is_gone() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, fails_at_once);
        let writers: HashSet<usize> = (2..11).collect();
        let seen = fleet.run_with(|fleet, since| {
            if since < ORDERED_AT + DELAY {
                return;
            }
            for n in &writers {
                fleet.hosts[*n].is_up = false;
            }
        });
        let state = seen.ended.map(|it| it.0);
        assert_eq!(state, Some(RolloutState::RolledBack), "seed {seed}");
    }
}

/// A store that is away when a bad version is found keeps it in use.
#[test]
fn a_bad_version_is_left_though_the_store_is_out() {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, fails_at_once);
        let out = Duration::from_secs(3)..Duration::from_secs(9);
        let seen = fleet.run_with(|fleet, since| {
            let since = since.saturating_sub(ORDERED_AT);
            fleet.store_is_out = since > Duration::from_millis(100) && since < out.end;
        });
        assert!(seen.bad < 50, "seed {seed}: {seen:?}");
        let state = seen.ended.map(|it| it.0);
        assert_eq!(state, Some(RolloutState::RolledBack), "seed {seed}");
    }
}

/// A sound version is given up because all backend servers fail for a while.
#[test]
fn trouble_of_both_versions_speaks_against_none() {
    fn troubled(since: Duration, rng: &mut ChaCha8Rng) -> Answer {
        let is_troubled = (4_000..7_000).contains(&since.as_millis());
        fails(if is_troubled { 0.4 } else { 0.0 }, rng)
    }
    let mut ends: BTreeMap<&str, u32> = BTreeMap::new();
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, troubled);
        fleet.old_answers = troubled;
        let state = fleet.run().ended.map_or("open", |it| it.0.as_str());
        *ends.entry(state).or_default() += 1;
    }
    assert_eq!(ends.get("rolled-back"), None, "{ends:?}");
    assert!(ends.get("done") >= Some(&4), "{ends:?}");
}
