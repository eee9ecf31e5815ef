//! Hosts, requests, delayed reports, and one store with one order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::common::{ENGINES, address, bounds, configuration, record};
use jaypin_core::HostId;
use jaypin_router::{
    Arrival, AttemptOutcome, BootTime, Effect, EntryChange, Event, ExposureBound, Report,
    RequestNumber, RolloutOrder, RolloutState, RouteTable, Router, RouterConfig, StorePoint,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Duration = Duration::from_millis(20);
/// Time that a report or an answer of the store takes.
pub const DELAY: Duration = Duration::from_millis(20);
/// When the version is ordered, and the time of the order.
pub const ORDERED_AT: Duration = Duration::from_secs(3);
pub const ORDER_TIME: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(17);
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// How a version answers at a time since the order.
pub type Answers = fn(since: Duration, rng: &mut ChaCha8Rng) -> Answer;

/// How one request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Whole and quick.
    Good,
    /// Whole and late.
    Slow,
    /// By a failure.
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

/// A host.
pub struct Host {
    /// Whether its process runs.
    pub is_up: bool,
    /// Whether it is cut off from the store and its peers.
    pub is_cut: bool,
    router: Router,
    boot: BootTime,
    coming: Vec<(Instant, Coming)>,
}

/// What backend servers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests of the service, from the order to its time.
    pub all: u32,
    /// Those that the new version got.
    pub new: u32,
    /// Those of them that failed or were slow.
    pub bad: u32,
    /// Those that it got after it was given up.
    pub new_after_end: u32,
    /// How the order ended, and when.
    pub ended: Option<(RolloutState, Duration)>,
    /// Writes to the store.
    pub writes: u32,
}

/// A fleet before old and new engines.
pub struct Fleet {
    /// Its hosts.
    pub hosts: Vec<Host>,
    /// Now.
    pub now: Instant,
    /// When it started.
    pub start: Instant,
    /// The order, as the store has it.
    pub store: RolloutOrder,
    /// Whether the store answers nobody.
    pub store_is_out: bool,
    /// How the old version answers.
    pub old_answers: Answers,
    /// What backend servers saw.
    pub seen: Seen,
    rng: ChaCha8Rng,
    is_ordered: bool,
    answers: Answers,
    next: RequestNumber,
}

/// Fails a part of requests.
pub fn fails(part: f64, rng: &mut ChaCha8Rng) -> Answer {
    if rng.random_range(0.0..1.0) < part {
        Answer::Fails
    } else {
        Answer::Good
    }
}

impl Fleet {
    /// Starts it.
    pub fn new(seed: u64, answers: Answers) -> Self {
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
            old_answers: |_, _| Answer::Good,
            next: 1,
            seen: Seen::default(),
        };
        for n in 0..fleet.hosts.len() {
            fleet.begin(n);
        }
        fleet
    }

    /// A host's process starts and learns what the store has.
    pub fn begin(&mut self, n: usize) {
        let seed = self.rng.random();
        let all: Vec<_> = (0..self.hosts.len())
            .map(|other| (name(other), address(7_000 + port(other))))
            .collect();
        self.hosts[n] = host(n, seed);
        let table = Arc::new(RouteTable::new(configuration(1)));
        self.apply(n, Event::HostsListed(all));
        self.apply(n, Event::ConfigurationLoaded(table));
        self.apply(n, Event::ConfigurationProved(self.boot(n)));
        for (id, version) in self.backends() {
            let change = stated(&id, version);
            self.apply(n, Event::BackendChanged(change));
        }
        if self.is_ordered {
            self.apply(n, Event::RolloutOrderRead(self.store.clone()));
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
            Effect::SendReport { to, report } if !self.hosts[n].is_cut => {
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
                if write.order.point == self.store.point {
                    self.store = RolloutOrder {
                        point: StorePoint::new(1, self.store.point.revision + 1),
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
            let is_given_up = self.store.state == RolloutState::RolledBack;
            self.seen.new_after_end += u32::from(is_over && is_given_up);
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

    /// Lets a moment pass.
    pub fn step(&mut self) {
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
                    self.apply(n, Event::ReportReceived { report, boot_time });
                }
                Coming::Order(order) if !is_cut => self.apply(n, Event::RolloutOrderRead(order)),
                Coming::First(number) => self.apply(n, Event::ResponseStarted(number)),
                Coming::End(number, outcome) => {
                    self.apply(n, Event::AttemptEnded { number, outcome });
                }
                Coming::Report(_) | Coming::Order(_) => {}
            }
        }
        let is_proof_due = boot_time.as_millis().is_multiple_of(500);
        if is_proof_due && !self.hosts[n].is_cut {
            self.apply(n, Event::ConfigurationProved(boot_time));
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
            timeout: None,
            fingerprint: number,
            received_at: self.now,
            boot_time: self.boot(n),
        };
        self.apply(n, Event::Arrived(arrival));
    }

    /// Runs to the end.
    pub fn run(&mut self) -> &Seen {
        self.run_with(|_, _| {})
    }

    /// Runs to the end, with something done at each step.
    pub fn run_with(&mut self, act: impl Fn(&mut Self, Duration)) -> &Seen {
        while self.now < self.start + END {
            let since = self.now - self.start;
            act(self, since);
            self.step();
        }
        &self.seen
    }
}

impl Seen {
    /// Whether the new version got no more than its share.
    pub fn keeps_its_share(&self) -> bool {
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
            incarnation: seed ^ (u64::from(port(n)) << 32),
            peer_address: address(7_000 + port(n)),
            caller_address: address(8_000 + port(n)),
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
        time_limit: ORDER_TIME,
        point: StorePoint::new(1, 50),
        state: RolloutState::Ordered,
    }
}

fn stated(id: &str, version: &str) -> EntryChange {
    let mut record = record(id, ENGINES, 9);
    record.version = version.into();
    record.started = if version == "v1" { 1 } else { 2 };
    EntryChange::Stated {
        record,
        point: StorePoint::new(1, 10),
    }
}
