//! Simulated fleet: hosts, requests, delayed reports, and a store with one rollout order.

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

/// Simulated time of one step.
const STEP: Duration = Duration::from_millis(20);
/// Delivery time of a report or of a change in the store.
pub const DELAY: Duration = Duration::from_millis(20);
/// Time from the start of the fleet to the rollout order.
pub const ORDERED_AT: Duration = Duration::from_secs(3);
/// Time limit of the rollout order.
pub const ORDER_TIME_LIMIT: Duration = Duration::from_secs(12);
/// Time from the start of the fleet to the end of a run.
const END: Duration = Duration::from_secs(17);
/// Share of requests that the new version may get before the rollout ends.
const SHARE: f64 = 0.1;
/// Number of requests that the new version may get in addition to its share.
const SLACK: f64 = 50.0;

/// Returns how a version answers one request at a time since the order.
pub type Answers = fn(since: Duration, rng: &mut ChaCha8Rng) -> Answer;

/// How one request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// A complete and fast answer.
    Good,
    /// A complete and late answer.
    Slow,
    /// A failure.
    Fails,
}

/// An event that reaches a host later.
#[derive(Debug)]
enum Delivery {
    Report(Box<Report>),
    Order(RolloutOrder),
    FirstEvent(RequestNumber),
    End(RequestNumber, AttemptOutcome),
}

/// A simulated host.
pub struct Host {
    /// Whether its process runs.
    pub is_up: bool,
    /// Whether it is partitioned from the store and its peers.
    pub is_partitioned: bool,
    router: Router,
    boot_time: BootTime,
    /// Pending deliveries with their time.
    deliveries: Vec<(Instant, Delivery)>,
}

/// Counts over the whole fleet.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests of the service from the order to its time limit.
    pub requests: u32,
    /// Requests that the new version got.
    pub new_requests: u32,
    /// Requests that failed or were slow at the new version.
    pub bad_new: u32,
    /// Requests that the new version got more than ten delivery times after its rollback.
    pub new_after_rollback: u32,
    /// Final state of the order, and the time from the order to its end.
    pub ended: Option<(RolloutState, Duration)>,
    /// Writes to the store.
    pub store_writes: u32,
}

/// A fleet that sends requests to engines of the old and the new version.
pub struct Fleet {
    /// Hosts of the fleet.
    pub hosts: Vec<Host>,
    /// Current simulated time.
    pub now: Instant,
    /// Time at which the fleet started.
    pub start: Instant,
    /// The rollout order in the store.
    pub stored_order: RolloutOrder,
    /// Whether the store is unavailable.
    pub is_store_unavailable: bool,
    /// How the old version answers.
    pub old_answers: Answers,
    /// Counts so far.
    pub counts: Counts,
    rng: ChaCha8Rng,
    is_ordered: bool,
    /// How the new version answers.
    new_answers: Answers,
    next_request: RequestNumber,
}

/// Fails the given fraction of requests.
pub fn fails(part: f64, rng: &mut ChaCha8Rng) -> Answer {
    if rng.random_range(0.0..1.0) < part {
        Answer::Fails
    } else {
        Answer::Good
    }
}

impl Fleet {
    /// Starts a fleet of twelve hosts whose new version answers in the given way.
    pub fn new(seed: u64, answers: Answers) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            hosts: (0..12).map(|n| new_host(n, seed)).collect(),
            now,
            start: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            stored_order: new_order(),
            is_ordered: false,
            is_store_unavailable: false,
            new_answers: answers,
            old_answers: |_, _| Answer::Good,
            next_request: 1,
            counts: Counts::default(),
        };
        for n in 0..fleet.hosts.len() {
            fleet.start_host(n);
        }
        fleet
    }

    /// Starts or restarts the process of a host, which reads the content of the store.
    pub fn start_host(&mut self, n: usize) {
        let seed = self.rng.random();
        let all: Vec<_> = (0..self.hosts.len())
            .map(|other| (host_id(other), address(7_000 + port(other))))
            .collect();
        self.hosts[n] = new_host(n, seed);
        let table = Arc::new(RouteTable::new(configuration(1)));
        self.apply(n, Event::HostsListed(all));
        self.apply(n, Event::ConfigurationLoaded(table));
        self.apply(n, Event::ConfigurationProved(self.boot_time(n)));
        for (id, version) in self.backends() {
            let change = entry_change(&id, version);
            self.apply(n, Event::BackendChanged(change));
        }
        if self.is_ordered {
            self.apply(n, Event::RolloutOrderRead(self.stored_order.clone()));
        }
    }

    /// Returns the ids and versions of the engines in the store.
    fn backends(&self) -> Vec<(String, &'static str)> {
        let old = (0..12).map(|n| (format!("old-{n}"), "v1"));
        let new = (0..12).map(|n| (format!("new-{n}"), "v2"));
        let new: Vec<_> = new.filter(|_| self.is_ordered).collect();
        old.chain(new).collect()
    }

    fn boot_time(&self, n: usize) -> BootTime {
        self.hosts[n].boot_time
    }

    fn since_order(&self) -> Duration {
        (self.now - self.start).saturating_sub(ORDERED_AT)
    }

    fn apply(&mut self, n: usize, event: Event) {
        let fx = self.hosts[n].router.apply(self.now, event);
        for effect in fx {
            self.execute(n, effect);
        }
    }

    /// Executes an effect of a host's router.
    fn execute(&mut self, n: usize, effect: Effect) {
        let at = self.now + DELAY;
        match effect {
            Effect::SendReport { to, report } if !self.hosts[n].is_partitioned => {
                for address in to {
                    let peer = usize::from(address.port() - 7_001);
                    let report = Delivery::Report(report.clone());
                    self.hosts[peer].deliveries.push((at, report));
                }
            }
            Effect::Send {
                number, backend, ..
            } => self.serve(n, number, &backend),
            Effect::WriteRollout(write)
                if !self.hosts[n].is_partitioned && !self.is_store_unavailable =>
            {
                self.counts.store_writes += 1;
                if write.order.point == self.stored_order.point {
                    self.stored_order = RolloutOrder {
                        point: StorePoint::new(1, self.stored_order.point.revision + 1),
                        ..write.order
                    };
                    if self.stored_order.state.is_final() {
                        self.counts.ended = Some((self.stored_order.state, self.since_order()));
                    }
                }
                self.notify_watchers();
            }
            _ => {}
        }
    }

    /// Sends the order to the two hosts that watch the store. The others receive it from them.
    fn notify_watchers(&mut self) {
        let at = self.now + DELAY;
        for host in self.hosts.iter_mut().take(2) {
            if !host.is_partitioned {
                host.deliveries
                    .push((at, Delivery::Order(self.stored_order.clone())));
            }
        }
    }

    /// Lets a backend server answer a request.
    fn serve(&mut self, n: usize, number: RequestNumber, backend: &str) {
        let is_new = backend.starts_with("new");
        let since = self.since_order();
        let has_ended = self
            .counts
            .ended
            .is_some_and(|(_, at)| since > at + DELAY * 10);
        self.counts.requests += u32::from(self.is_ordered && since < ORDER_TIME_LIMIT);
        let answers = if is_new {
            self.new_answers
        } else {
            self.old_answers
        };
        let answer = answers(since, &mut self.rng);
        if is_new {
            self.counts.new_requests += 1;
            self.counts.bad_new += u32::from(answer != Answer::Good);
            let is_reverted = self.stored_order.state == RolloutState::RolledBack;
            self.counts.new_after_rollback += u32::from(has_ended && is_reverted);
        }
        let first = Duration::from_millis(match answer {
            Answer::Good => self.rng.random_range(25..60),
            Answer::Slow => self.rng.random_range(120..300),
            Answer::Fails => 4,
        });
        let deliveries = &mut self.hosts[n].deliveries;
        if answer == Answer::Fails {
            let end = Delivery::End(number, AttemptOutcome::Failed);
            return deliveries.push((self.now + first, end));
        }
        deliveries.push((self.now + first, Delivery::FirstEvent(number)));
        let end = Delivery::End(number, AttemptOutcome::Complete);
        deliveries.push((self.now + first * 3, end));
    }

    /// Advances the simulated time by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        if !self.is_ordered && self.now >= self.start + ORDERED_AT {
            self.is_ordered = true;
            for n in 0..12 {
                let change = entry_change(&format!("new-{n}"), "v2");
                for host in 0..self.hosts.len() {
                    self.apply(host, Event::BackendChanged(change.clone()));
                }
            }
            self.notify_watchers();
        }
        for n in 0..self.hosts.len() {
            self.step_host(n);
        }
    }

    fn step_host(&mut self, n: usize) {
        let now = self.now;
        self.hosts[n].boot_time += STEP;
        if !self.hosts[n].is_up {
            self.hosts[n].deliveries.clear();
            return;
        }
        let is_due = |it: &mut (Instant, Delivery)| it.0 <= now;
        let due: Vec<_> = self.hosts[n].deliveries.extract_if(.., is_due).collect();
        let boot_time = self.boot_time(n);
        for (_, delivery) in due {
            let is_partitioned = self.hosts[n].is_partitioned;
            match delivery {
                Delivery::Report(report) if !is_partitioned => {
                    self.apply(n, Event::ReportReceived { report, boot_time });
                }
                Delivery::Order(order) if !is_partitioned => {
                    self.apply(n, Event::RolloutOrderRead(order));
                }
                Delivery::FirstEvent(number) => self.apply(n, Event::ResponseStarted(number)),
                Delivery::End(number, outcome) => {
                    self.apply(n, Event::AttemptEnded { number, outcome });
                }
                Delivery::Report(_) | Delivery::Order(_) => {}
            }
        }
        let is_proof_due = boot_time.as_millis().is_multiple_of(500);
        if is_proof_due && !self.hosts[n].is_partitioned {
            self.apply(n, Event::ConfigurationProved(boot_time));
        }
        self.apply(n, Event::Tick(boot_time));
        // The hosts together get three hundred requests a second, on two routes.
        if self.rng.random_range(0.0..1.0) < 0.5 {
            self.arrive(n);
        }
    }

    fn arrive(&mut self, n: usize) {
        let number = self.next_request;
        self.next_request += 1;
        let path = if self.rng.random() {
            "/ask/x"
        } else {
            "/label/x"
        };
        let arrival = Arrival {
            number,
            attempt: number,
            resumes: None,
            host: "api.example".to_owned(),
            path: path.to_owned(),
            credential: Some("key".to_owned()),
            tokens: Some((600, 30)),
            expected_answer: None,
            timeout: None,
            fingerprint: number,
            shared_parts: Vec::new(),
            segments: Vec::new(),
            is_passed_on: false,
            received_at: self.now,
            boot_time: self.boot_time(n),
        };
        self.apply(n, Event::Arrived(arrival));
    }

    /// Runs the fleet to the end.
    pub fn run(&mut self) -> &Counts {
        self.run_with(|_, _| {})
    }

    /// Runs the fleet to the end and calls `act` before each step, with the time since the start.
    pub fn run_with(&mut self, act: impl Fn(&mut Self, Duration)) -> &Counts {
        while self.now < self.start + END {
            let since = self.now - self.start;
            act(self, since);
            self.step();
        }
        &self.counts
    }
}

impl Counts {
    /// Returns whether the new version got no more requests than its share and slack allow.
    pub fn keeps_its_share(&self) -> bool {
        f64::from(self.new_requests) <= SHARE * f64::from(self.requests) + SLACK
    }
}

fn host_id(n: usize) -> HostId {
    format!("host-{n}").as_str().into()
}

fn port(n: usize) -> u16 {
    u16::try_from(n).expect("few hosts") + 1
}

fn new_host(n: usize, seed: u64) -> Host {
    let mut bounds = bounds();
    bounds.exposure = Some(ExposureBound {
        share: SHARE,
        slack: SLACK,
    });
    Host {
        router: Router::new(RouterConfig {
            host: host_id(n),
            incarnation: seed ^ (u64::from(port(n)) << 32),
            peer_address: address(7_000 + port(n)),
            caller_address: address(8_000 + port(n)),
            failure_domain: "a".into(),
            seed,
            bounds,
            uses_held_parts: true,
        }),
        boot_time: Duration::from_secs(1_000),
        is_up: true,
        is_partitioned: false,
        deliveries: Vec::new(),
    }
}

fn new_order() -> RolloutOrder {
    RolloutOrder {
        service: ENGINES.into(),
        to: "v2".into(),
        time_limit: ORDER_TIME_LIMIT,
        point: StorePoint::new(1, 50),
        state: RolloutState::Ordered,
    }
}

fn entry_change(id: &str, version: &str) -> EntryChange {
    let mut record = record(id, ENGINES, 9);
    record.version = version.into();
    record.started = if version == "v1" { 1 } else { 2 };
    EntryChange::Stated {
        record,
        point: StorePoint::new(1, 10),
    }
}
