//! A simulated fleet: hosts that exchange delayed and lossy reports, and backend servers whose
//! answers a test defines.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, HostId, Reason};
use jaypin_router::{
    AccountUse, Arrival, AttemptOutcome, BackendRecord, BootTime, Bounds, Configuration, Effect,
    EntryChange, Event, Report, RequestNumber, ResumedStream, RouteTable, Router, RouterConfig,
    StorePoint, StreamMessage,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[path = "backend_model.rs"]
mod backend_model;

use super::common::bounds;

pub use backend_model::{Answer, BackendModel, Call};

/// Time that one simulation step advances.
const STEP: Duration = Duration::from_millis(10);
/// Delay of a report between hosts, and of an answer that declines a request.
const NETWORK_DELAY: Duration = Duration::from_millis(10);
/// Interval between a host's probes of connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of connections that a host probes at once.
const PROBED: usize = 3;
/// Interval between two reports of a stream's events.
const EVENTS_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between the proofs that a host gets from the store.
const PROOF_INTERVAL: Duration = Duration::from_millis(500);

/// A message or an answer that has yet to reach a host.
#[derive(Debug)]
enum Delivery {
    Report(Box<Report>),
    AccountUse(Box<AccountUse>),
    Stream(SocketAddr, StreamMessage),
    Header(RequestNumber, BackendId, Answer),
    Streamed(RequestNumber, Duration),
    End(RequestNumber, AttemptOutcome),
    PassedOn(RequestNumber),
}

impl Delivery {
    fn is_answer_to(&self, request: RequestNumber) -> bool {
        match self {
            Self::Header(number, ..) | Self::Streamed(number, _) | Self::End(number, _) => {
                *number == request
            }
            Self::Report(_) | Self::AccountUse(_) | Self::Stream(..) | Self::PassedOn(_) => false,
        }
    }
}

/// A simulated host.
pub struct Host {
    /// Router of the host.
    pub router: Router,
    /// Whether the host's process runs.
    pub is_up: bool,
    /// Current time on the host's clock that also counts suspended time.
    pub boot_time: BootTime,
    deliveries: Vec<(Instant, Delivery)>,
}

/// Hosts and the backend servers that they share.
pub struct Fleet<B> {
    /// All hosts, by index.
    pub hosts: Vec<Host>,
    /// Current time.
    pub now: Instant,
    /// Time at which the simulation started.
    pub start: Instant,
    /// The simulated backend servers.
    pub backends: B,
    /// Share of the reports that are lost.
    pub report_loss: f64,
    /// Requests per second, over all hosts.
    pub rate: f64,
    /// Path that callers request.
    pub path: &'static str,
    /// Prompt tokens of the next request.
    pub prompt_tokens: u32,
    /// Prompt tokens of each request so far.
    pub arrived: HashMap<RequestNumber, u32>,
    /// Requests that were sent to a backend server, with the time since the start.
    pub sent: Vec<(Duration, RequestNumber)>,
    /// Requests that were refused.
    pub refused: Vec<RequestNumber>,
    /// Those that were refused because of crashes of backend servers.
    pub quarantined: Vec<RequestNumber>,
    /// Messages about the versions of streams, one for each receiver.
    pub stream_messages: usize,
    /// The backend server from which the answer of each request first arrived.
    pub begun: HashMap<RequestNumber, BackendId>,
    /// Random numbers of the simulation and the test.
    pub rng: ChaCha8Rng,
    records: Vec<BackendRecord>,
    configuration: Configuration,
    bounds: Bounds,
    next: RequestNumber,
    next_revision: u64,
    contents: HashMap<RequestNumber, u64>,
    parts: HashMap<RequestNumber, Vec<u64>>,
    paths: HashMap<RequestNumber, &'static str>,
    /// The attempts that began the streams which requests resume.
    resumed: HashMap<RequestNumber, RequestNumber>,
    /// Requests that were passed on, with the host that did so.
    passed_on: HashMap<RequestNumber, usize>,
    /// Calls that have not ended.
    calls: HashMap<RequestNumber, (usize, BackendId)>,
}

impl<B: BackendModel> Fleet<B> {
    /// Creates a fleet of `hosts` hosts and starts them.
    pub fn new(
        hosts: usize,
        seed: u64,
        configuration: Configuration,
        records: Vec<BackendRecord>,
        backends: B,
    ) -> Self {
        Self::with_bounds(bounds(), hosts, seed, configuration, records, backends)
    }

    /// Creates a fleet of `hosts` hosts with these bounds and starts them.
    pub fn with_bounds(
        bounds: Bounds,
        hosts: usize,
        seed: u64,
        configuration: Configuration,
        records: Vec<BackendRecord>,
        backends: B,
    ) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            hosts: (0..hosts).map(|n| host(n, seed, &bounds)).collect(),
            now,
            start: now,
            backends,
            report_loss: 0.01,
            rate: 0.0,
            path: "/ask/x",
            prompt_tokens: 600,
            arrived: HashMap::new(),
            sent: Vec::new(),
            refused: Vec::new(),
            quarantined: Vec::new(),
            stream_messages: 0,
            begun: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            records,
            configuration,
            bounds,
            next: 1,
            next_revision: 10,
            contents: HashMap::new(),
            parts: HashMap::new(),
            paths: HashMap::new(),
            resumed: HashMap::new(),
            passed_on: HashMap::new(),
            calls: HashMap::new(),
        };
        for n in 0..hosts {
            fleet.start_host(n);
        }
        fleet
    }

    /// Starts a host's process, which reads everything that the store has.
    pub fn start_host(&mut self, n: usize) {
        let seed = self.rng.random();
        let boot_time = self.hosts[n].boot_time;
        self.hosts[n] = host(n, seed, &self.bounds);
        self.hosts[n].boot_time = boot_time;
        let all = (0..self.hosts.len()).map(|it| (name(it), peer_address(it)));
        let all = all.collect();
        self.apply(n, Event::HostsListed(all));
        let table = Arc::new(RouteTable::new(self.configuration.clone()));
        self.apply(n, Event::ConfigurationLoaded(table));
        self.apply(n, Event::ConfigurationProved(boot_time));
        for record in self.records.clone() {
            let change = EntryChange::Stated {
                record,
                point: StorePoint::new(1, self.next_revision),
            };
            self.apply(n, Event::BackendChanged(change));
        }
    }

    /// Replaces the entry of a backend server by that of its next process, on all hosts.
    pub fn restart_backend(&mut self, id: &BackendId) {
        self.next_revision += 1;
        let point = StorePoint::new(1, self.next_revision);
        let known = self.records.iter_mut().find(|it| it.id == *id);
        let record = known.expect("a known backend server");
        record.started += 1;
        let record = record.clone();
        for n in 0..self.hosts.len() {
            let record = record.clone();
            let change = EntryChange::Stated { record, point };
            self.apply(n, Event::BackendChanged(change));
        }
    }

    /// Replaces a backend server by one with another id at the same address, on all hosts.
    pub fn replace_backend(&mut self, id: &BackendId, by: &BackendId) {
        self.next_revision += 1;
        let point = StorePoint::new(1, self.next_revision);
        let known = self.records.iter_mut().find(|it| it.id == *id);
        let record = known.expect("a known backend server");
        record.id = by.clone();
        record.started += 1;
        let record = record.clone();
        for n in 0..self.hosts.len() {
            let record = record.clone();
            let change = EntryChange::Stated { record, point };
            self.apply(n, Event::BackendChanged(change));
            let id = id.clone();
            let change = EntryChange::Removed { id, point };
            self.apply(n, Event::BackendChanged(change));
        }
    }

    /// Ends the calls that these hosts have on a backend server.
    pub fn lose_calls(
        &mut self,
        backend: &BackendId,
        hosts: &[usize],
        after: Duration,
        outcome: AttemptOutcome,
    ) {
        let at = self.now + after;
        let lost = |_: &RequestNumber, call: &mut (usize, BackendId)| {
            call.1 == *backend && hosts.contains(&call.0)
        };
        let lost: Vec<_> = self.calls.extract_if(lost).collect();
        for (number, (n, _)) in lost {
            let deliveries = &mut self.hosts[n].deliveries;
            deliveries.retain(|(_, it)| !it.is_answer_to(number));
            deliveries.push((at, Delivery::End(number, outcome)));
        }
    }

    /// Ends a host's process, and returns its calls that have not ended.
    pub fn kill_host(&mut self, n: usize) -> Vec<RequestNumber> {
        self.hosts[n].is_up = false;
        self.hosts[n].deliveries.clear();
        let lost = self.calls.extract_if(|_, call| call.0 == n);
        let mut lost: Vec<_> = lost.map(|(number, _)| number).collect();
        lost.sort_unstable();
        lost
    }

    /// Lets a backend server register, or change its entry, on all hosts.
    pub fn set_record(&mut self, record: &BackendRecord) {
        self.next_revision += 1;
        let point = StorePoint::new(1, self.next_revision);
        self.records.retain(|it| it.id != record.id);
        self.records.push(record.clone());
        for n in 0..self.hosts.len() {
            let record = record.clone();
            self.apply(
                n,
                Event::BackendChanged(EntryChange::Stated { record, point }),
            );
        }
    }

    /// Removes the entry of a backend server, on all hosts.
    pub fn remove_record(&mut self, id: &BackendId) {
        self.next_revision += 1;
        let point = StorePoint::new(1, self.next_revision);
        self.records.retain(|it| it.id != *id);
        for n in 0..self.hosts.len() {
            let id = id.clone();
            self.apply(n, Event::BackendChanged(EntryChange::Removed { id, point }));
        }
    }

    /// Returns the time since the start.
    pub fn since_start(&self) -> Duration {
        self.now - self.start
    }

    /// Applies an event to a host and carries out the effects.
    pub fn apply(&mut self, n: usize, event: Event) {
        let fx = self.hosts[n].router.apply(self.now, event);
        for effect in fx {
            self.carry_out(n, effect);
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::SendReport { to, report } => {
                self.send(&to, || Delivery::Report(report.clone()));
            }
            Effect::SendStreamMessage { to, message } => {
                self.stream_messages += to.len();
                let from = peer_address(n);
                self.send(&to, || Delivery::Stream(from, message));
            }
            Effect::SendAccountUse { to, account_use } => {
                self.send(&to, || Delivery::AccountUse(account_use.clone()));
            }
            Effect::Send {
                number, backend, ..
            } => {
                self.sent.push((self.since_start(), number));
                self.serve(n, number, backend);
            }
            Effect::Refuse {
                number, refusal, ..
            } => {
                self.refused.push(number);
                if refusal.reason == Reason::Quarantined {
                    self.quarantined.push(number);
                }
                self.end_at_origin(number);
            }
            Effect::PassOn {
                number, address, ..
            } => {
                let peer = usize::from(address.port() - 8_001);
                self.passed_on.insert(number, n);
                let at = self.now + NETWORK_DELAY;
                let deliveries = &mut self.hosts[peer].deliveries;
                deliveries.push((at, Delivery::PassedOn(number)));
            }
            _ => {}
        }
    }

    /// Delivers the response of a peer to the host that passed the request on.
    fn end_at_origin(&mut self, number: RequestNumber) {
        if let Some(origin) = self.passed_on.remove(&number) {
            let at = self.now + NETWORK_DELAY;
            let end = Delivery::End(number, AttemptOutcome::Complete);
            self.hosts[origin].deliveries.push((at, end));
        }
    }

    fn send(&mut self, to: &[SocketAddr], delivery: impl Fn() -> Delivery) {
        for address in to {
            if self.rng.random_range(0.0..1.0) < self.report_loss {
                continue;
            }
            let peer = usize::from(address.port() - 7_001);
            let at = self.now + NETWORK_DELAY;
            self.hosts[peer].deliveries.push((at, delivery()));
        }
    }

    fn serve(&mut self, n: usize, number: RequestNumber, backend: BackendId) {
        self.calls.insert(number, (n, backend.clone()));
        let call = Call {
            host: n,
            content: self.contents[&number],
            parts: self.parts.get(&number).cloned().unwrap_or_default(),
            backend: backend.clone(),
            at: self.now,
        };
        let answer = self.backends.answer(&call, &mut self.rng);
        let deliveries = &mut self.hosts[n].deliveries;
        let header = Delivery::Header(number, backend, answer);
        deliveries.push((self.now + answer.header_after, header));
        if answer.is_streamed {
            let mut after = answer.header_after + EVENTS_INTERVAL;
            while after <= answer.end_after {
                let streamed = Delivery::Streamed(number, EVENTS_INTERVAL);
                deliveries.push((self.now + after, streamed));
                after += EVENTS_INTERVAL;
            }
        }
        let end = Delivery::End(number, answer.outcome);
        deliveries.push((self.now + answer.end_after, end));
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        for n in 0..self.hosts.len() {
            self.step_host(n);
        }
        let per_step = self.rate * STEP.as_secs_f64();
        let mut due = per_step + self.rng.random_range(0.0..1.0);
        while due >= 1.0 {
            due -= 1.0;
            let n = self.rng.random_range(0..self.hosts.len());
            if self.hosts[n].is_up {
                self.arrive(n);
            }
        }
    }

    fn step_host(&mut self, n: usize) {
        let now = self.now;
        let host = &mut self.hosts[n];
        host.boot_time += STEP;
        if !host.is_up {
            host.deliveries.clear();
            return;
        }
        let boot_time = host.boot_time;
        let due: Vec<_> = host.deliveries.extract_if(.., |it| it.0 <= now).collect();
        for (_, delivery) in due {
            match delivery {
                Delivery::PassedOn(number) => self.arrive_as(n, number, true),
                Delivery::Report(report) => {
                    self.apply(n, Event::ReportReceived { report, boot_time });
                }
                Delivery::Stream(from, message) => {
                    self.apply(n, Event::StreamMessageReceived { from, message });
                }
                Delivery::AccountUse(account_use) => {
                    self.apply(n, Event::AccountUseReceived(account_use));
                }
                Delivery::Header(number, backend, answer) => {
                    self.backends.header_received(n, &backend, &answer, now);
                    self.apply(n, Event::BackendReached(backend.clone()));
                    self.apply(
                        n,
                        Event::HeaderReceived {
                            number,
                            signals: answer.signals,
                            backoff: answer.backoff,
                        },
                    );
                    let is_answer = matches!(
                        answer.outcome,
                        AttemptOutcome::Complete | AttemptOutcome::Unverified
                    );
                    if is_answer {
                        self.begun.entry(number).or_insert(backend);
                        self.apply(n, Event::ResponseStarted(number));
                    }
                }
                Delivery::Streamed(number, time) => {
                    let events = 4;
                    self.apply(
                        n,
                        Event::Streamed {
                            number,
                            events,
                            time,
                            longest_pause: time / events,
                        },
                    );
                }
                Delivery::End(number, outcome) => {
                    self.calls.remove(&number);
                    if outcome.is_final() {
                        self.end_at_origin(number);
                    }
                    self.apply(n, Event::AttemptEnded { number, outcome });
                }
            }
        }
        let since = now - self.start;
        if since.as_millis().is_multiple_of(PROBE_INTERVAL.as_millis()) {
            self.probe(n);
        }
        if since.as_millis().is_multiple_of(PROOF_INTERVAL.as_millis()) {
            self.apply(n, Event::EntriesProved(boot_time));
            self.apply(n, Event::ConfigurationProved(boot_time));
        }
        self.apply(n, Event::Tick(boot_time));
    }

    fn arrive(&mut self, n: usize) {
        self.arrive_content(n, self.next);
    }

    fn probe(&mut self, n: usize) {
        let targets = self.hosts[n].router.probe_targets(self.now);
        let chosen: Vec<_> = targets.sample(&mut self.rng, PROBED).cloned().collect();
        for (id, _) in chosen {
            let event = if self.backends.is_reachable(n, &id, self.now) {
                Event::BackendReached(id)
            } else {
                Event::BackendUnreached(id)
            };
            self.apply(n, event);
        }
    }

    /// Lets a request with this content arrive at a host, and returns its number.
    pub fn arrive_content(&mut self, n: usize, content: u64) -> RequestNumber {
        let number = self.next;
        self.next += 1;
        self.contents.insert(number, content);
        self.paths.insert(number, self.path);
        self.arrived.insert(number, self.prompt_tokens);
        self.arrive_as(n, number, false);
        number
    }

    /// Lets a request whose prompt has these parts, and one of its own, arrive at a host, and returns
    /// its number.
    pub fn arrive_with_parts(&mut self, n: usize, parts: Vec<u64>) -> RequestNumber {
        self.parts.insert(self.next, parts);
        self.arrive_content(n, self.next)
    }

    /// Lets a caller resume the stream that an earlier attempt began at a host, and returns the
    /// number of the new attempt.
    pub fn resume(&mut self, n: usize, first: RequestNumber) -> RequestNumber {
        self.resumed.insert(self.next, first);
        self.arrive_content(n, self.contents[&first])
    }

    fn arrive_as(&mut self, n: usize, number: RequestNumber, is_passed_on: bool) {
        let arrival = Arrival {
            number,
            attempt: number,
            resumes: self.resumed.get(&number).map(|first| ResumedStream {
                attempt: Some(*first),
            }),
            host: "api.example".to_owned(),
            path: self.paths[&number].to_owned(),
            credential: Some("key".to_owned()),
            tokens: Some((self.arrived[&number], 30)),
            expected_answer: None,
            timeout: None,
            fingerprint: self.contents[&number],
            shared_parts: self.parts.get(&number).cloned().unwrap_or_default(),
            segments: Vec::new(),
            is_passed_on,
            received_at: self.now,
            boot_time: self.hosts[n].boot_time,
        };
        self.apply(n, Event::Arrived(arrival));
    }

    /// Runs until a time since the start and calls `act` before each step.
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

/// Returns the IP address of a host, which no other host has.
fn ip(n: usize) -> IpAddr {
    let [high, low] = port(n).to_be_bytes();
    Ipv4Addr::new(127, 1, high, low).into()
}

/// Returns the address at which a host receives reports; its port identifies the host.
pub fn peer_address(n: usize) -> SocketAddr {
    SocketAddr::new(ip(n), 7_000 + port(n))
}

fn port(n: usize) -> u16 {
    u16::try_from(n).expect("few hosts") + 1
}

fn host(n: usize, seed: u64, bounds: &Bounds) -> Host {
    Host {
        router: Router::new(RouterConfig {
            host: name(n),
            incarnation: seed ^ (u64::from(port(n)) << 32),
            peer_address: peer_address(n),
            caller_address: SocketAddr::new(ip(n), 8_000 + port(n)),
            failure_domain: "a".into(),
            seed,
            bounds: bounds.clone(),
            uses_held_parts: true,
        }),
        boot_time: Duration::from_secs(1_000),
        is_up: true,
        deliveries: Vec::new(),
    }
}
