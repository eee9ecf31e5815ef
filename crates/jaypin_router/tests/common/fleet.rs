//! Hosts that tell each other by reports that are late and may be lost, before backend servers
//! that a test plays.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, HostId};
use jaypin_router::{
    Arrival, AttemptOutcome, BackendRecord, BackendSignals, BootTime, Configuration, Effect,
    EntryChange, Event, Report, RequestNumber, RouteTable, Router, RouterConfig, StorePoint,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::common::{address, bounds};

/// Time between two looks at all that is due.
const STEP: Duration = Duration::from_millis(10);
/// Time that a report takes.
const DELAY: Duration = Duration::from_millis(10);
/// Pause between two proofs that a host gets from the store.
const PROOF_PAUSE: Duration = Duration::from_millis(500);

/// A request that reaches a backend server.
#[derive(Debug, Clone)]
pub struct Call {
    /// Place of the host that sent it.
    pub host: usize,
    /// The backend server.
    pub backend: BackendId,
    /// When it was sent.
    pub at: Instant,
}

/// How a backend server answers.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// What the header of its answer says.
    pub signals: BackendSignals,
    /// Time for which it wants nothing from the host.
    pub backoff: Option<Duration>,
    /// Time to the header.
    pub first: Duration,
    /// Time to the end.
    pub end: Duration,
    /// How the call ends.
    pub outcome: AttemptOutcome,
}

impl Answer {
    /// A whole answer in a usual time.
    pub fn good(signals: BackendSignals, rng: &mut ChaCha8Rng) -> Self {
        let first = Duration::from_millis(rng.random_range(25..60));
        Self {
            signals,
            backoff: None,
            first,
            end: first * 6,
            outcome: AttemptOutcome::Complete,
        }
    }

    /// It turns the request away and requests backoff.
    pub fn declined(backoff: Duration) -> Self {
        Self {
            signals: BackendSignals::default(),
            backoff: Some(backoff),
            first: DELAY,
            end: DELAY,
            outcome: AttemptOutcome::NotRun,
        }
    }
}

/// What a test plays.
pub trait Backends {
    /// Answers a request.
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer;

    /// An answer's header reached a host.
    fn told(&mut self, host: usize, backend: &BackendId, answer: &Answer, at: Instant);
}

/// Something on its way to a host.
#[derive(Debug)]
enum Coming {
    Report(Box<Report>),
    Header(RequestNumber, BackendId, Answer),
    End(RequestNumber, AttemptOutcome),
}

/// A host.
pub struct Host {
    /// Its decisions.
    pub router: Router,
    /// Whether its process runs.
    pub is_up: bool,
    /// Its clock that counts suspended time.
    pub boot: BootTime,
    coming: Vec<(Instant, Coming)>,
}

/// Hosts before backend servers.
pub struct Fleet<B> {
    /// Its hosts.
    pub hosts: Vec<Host>,
    /// Now.
    pub now: Instant,
    /// When it started.
    pub start: Instant,
    /// What the test plays.
    pub backends: B,
    /// Part of the reports that are lost.
    pub loss: f64,
    /// Requests a second, over all hosts.
    pub rate: f64,
    /// Path that callers ask for.
    pub path: &'static str,
    /// Random choices of the test.
    pub rng: ChaCha8Rng,
    records: Vec<BackendRecord>,
    configuration: Configuration,
    next: RequestNumber,
}

impl<B: Backends> Fleet<B> {
    /// Starts so many hosts.
    pub fn new(
        hosts: usize,
        seed: u64,
        configuration: Configuration,
        records: Vec<BackendRecord>,
        backends: B,
    ) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            hosts: (0..hosts).map(|n| host(n, seed)).collect(),
            now,
            start: now,
            backends,
            loss: 0.01,
            rate: 0.0,
            path: "/ask/x",
            rng: ChaCha8Rng::seed_from_u64(seed),
            records,
            configuration,
            next: 1,
        };
        for n in 0..hosts {
            fleet.begin(n);
        }
        fleet
    }

    /// A host's process starts and reads what the store has.
    pub fn begin(&mut self, n: usize) {
        let seed = self.rng.random();
        let boot = self.hosts[n].boot;
        self.hosts[n] = host(n, seed);
        self.hosts[n].boot = boot;
        let all = (0..self.hosts.len()).map(|it| (name(it), address(7_000 + port(it))));
        let all = all.collect();
        self.apply(n, Event::HostsListed(all));
        let table = Arc::new(RouteTable::new(self.configuration.clone()));
        self.apply(n, Event::ConfigurationLoaded(table));
        self.apply(n, Event::ConfigurationProved(boot));
        for record in self.records.clone() {
            let change = EntryChange::Stated {
                record,
                point: StorePoint::new(1, 10),
            };
            self.apply(n, Event::BackendChanged(change));
        }
    }

    /// Time since the start.
    pub fn since_start(&self) -> Duration {
        self.now - self.start
    }

    /// Gives an event to a host and carries out what it says.
    pub fn apply(&mut self, n: usize, event: Event) {
        let fx = self.hosts[n].router.apply(self.now, event);
        for effect in fx {
            self.carry_out(n, effect);
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::SendReport { to, report } => {
                for address in to {
                    if self.rng.random_range(0.0..1.0) < self.loss {
                        continue;
                    }
                    let peer = usize::from(address.port() - 7_001);
                    let report = Coming::Report(report.clone());
                    let at = self.now + DELAY;
                    self.hosts[peer].coming.push((at, report));
                }
            }
            Effect::Send {
                number, backend, ..
            } => self.serve(n, number, backend),
            _ => {}
        }
    }

    fn serve(&mut self, n: usize, number: RequestNumber, backend: BackendId) {
        let call = Call {
            host: n,
            backend: backend.clone(),
            at: self.now,
        };
        let answer = self.backends.answer(&call, &mut self.rng);
        let coming = &mut self.hosts[n].coming;
        let header = Coming::Header(number, backend, answer);
        coming.push((self.now + answer.first, header));
        let end = Coming::End(number, answer.outcome);
        coming.push((self.now + answer.end, end));
    }

    /// Lets a moment pass.
    pub fn step(&mut self) {
        self.now += STEP;
        for n in 0..self.hosts.len() {
            self.step_host(n);
        }
        let per_step = self.rate * STEP.as_secs_f64();
        let mut left = per_step + self.rng.random_range(0.0..1.0);
        while left >= 1.0 {
            left -= 1.0;
            let n = self.rng.random_range(0..self.hosts.len());
            if self.hosts[n].is_up {
                self.arrive(n);
            }
        }
    }

    fn step_host(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        host.boot += STEP;
        if !host.is_up {
            host.coming.clear();
            return;
        }
        let boot_time = host.boot;
        let due: Vec<_> = host.coming.extract_if(.., |it| it.0 <= now).collect();
        for (_, coming) in due {
            match coming {
                Coming::Report(report) => {
                    self.apply(n, Event::ReportReceived { report, boot_time });
                }
                Coming::Header(number, backend, answer) => {
                    self.backends.told(n, &backend, &answer, now);
                    self.apply(
                        n,
                        Event::HeaderReceived {
                            number,
                            signals: answer.signals,
                            backoff: answer.backoff,
                        },
                    );
                    if answer.outcome == AttemptOutcome::Complete {
                        self.apply(n, Event::ResponseStarted(number));
                    }
                }
                Coming::End(number, outcome) => {
                    self.apply(n, Event::AttemptEnded { number, outcome });
                }
            }
        }
        let since = now - self.start;
        if since.as_millis().is_multiple_of(PROOF_PAUSE.as_millis()) {
            self.apply(n, Event::ConfigurationProved(boot_time));
        }
        self.apply(n, Event::Tick(boot_time));
    }

    fn arrive(&mut self, n: usize) {
        let number = self.next;
        self.next += 1;
        let arrival = Arrival {
            number,
            host: "api.example".to_owned(),
            path: self.path.to_owned(),
            credential: Some("key".to_owned()),
            tokens: Some((600, 30)),
            expected_answer: None,
            timeout: None,
            fingerprint: number,
            received_at: self.now,
            boot_time: self.hosts[n].boot,
        };
        self.apply(n, Event::Arrived(arrival));
    }

    /// Runs until a time since the start, with something done before each step.
    pub fn run_until(&mut self, end: Duration, mut act: impl FnMut(&mut Self)) {
        while self.since_start() < end {
            act(self);
            self.step();
        }
    }
}

fn name(n: usize) -> HostId {
    format!("host-{n}").as_str().into()
}

fn port(n: usize) -> u16 {
    u16::try_from(n).expect("few hosts") + 1
}

fn host(n: usize, seed: u64) -> Host {
    Host {
        router: Router::new(RouterConfig {
            host: name(n),
            incarnation: seed ^ (u64::from(port(n)) << 32),
            peer_address: address(7_000 + port(n)),
            caller_address: address(8_000 + port(n)),
            failure_domain: "a".into(),
            seed,
            bounds: bounds(),
        }),
        boot: Duration::from_secs(1_000),
        is_up: true,
        coming: Vec::new(),
    }
}
