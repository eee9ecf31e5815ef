//! A router with a small configuration and clocks that tests advance.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, Refusal};
use jaypin_router::{
    Account, Arrival, AttemptOutcome, BackendRecord, BackendStatus, Bounds, CallerLimits,
    Configuration, Contact, Effect, Engine, EntryChange, Event, Quota, QuotaUnit, Repeat, Report,
    RequestNumber, Route, RouteTable, Router, RouterConfig, Service, StoreEra, StorePoint,
    StoreView, Target, Unrouted, WholeReport, host_key,
};

/// Name of the service whose backend servers are inference engines.
pub const ENGINES: &str = "engines";
/// Name of the service without engines.
pub const PLAIN: &str = "plain";

/// What the router has decided about a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The request was sent to this backend server.
    Sent(BackendId),
    /// The host refused the request.
    Refused(Refusal),
    /// The request has no known credential or no route.
    Rejected(Unrouted),
    /// The caller receives the backend server's own failure answer.
    FailureForwarded,
    /// The request is queued.
    Queued,
}

/// A router under test with its clocks.
pub struct TestHost {
    /// The router.
    pub router: Router,
    /// Number of the host, which its name and addresses contain.
    pub number: u16,
    /// Current time on the steady clock.
    pub now: Instant,
    /// Current time on the clock that also counts suspended time.
    pub boot_time: Duration,
    counter: RequestNumber,
    /// Store era of the points that this host generates.
    pub era: StoreEra,
}

/// Returns a route on `/{name}/` with two attempts and a latency target of 500 ms.
pub fn route(name: &str, repeat: Repeat, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "api.example".to_owned(),
        prefix: format!("/{name}/"),
        targets: vec![Target {
            service: service.into(),
            weight: 1,
        }],
        repeat,
        timeout: Duration::from_secs(10),
        latency_target: Duration::from_millis(500),
        longest_pause: Some(Duration::from_millis(500)),
        attempts: 2,
        priority: 1,
        is_public: false,
        has_segments: true,
    }
}

/// Returns a configuration with a route for each kind of request and one account, `farm`, whose
/// credential is `key`.
pub fn configuration(version: u64) -> Configuration {
    let services = [(ENGINES, Some(9)), (PLAIN, None)];
    Configuration {
        version,
        routes: vec![
            route("urgent", Repeat::Stream, ENGINES).with_priority(0),
            route("ask", Repeat::ResumableStream, ENGINES),
            route("label", Repeat::Stream, ENGINES).with_priority(2),
            route("read", Repeat::Idempotent, PLAIN),
            route("command", Repeat::Never, PLAIN),
        ],
        services: services
            .into_iter()
            .map(|(name, slots)| Service {
                name: name.into(),
                max_connections: 100,
                engine: slots.map(|slots| Engine {
                    slots,
                    memory_tokens: 600_000,
                    tokens_per_event: 6,
                }),
            })
            .collect(),
        limits: CallerLimits {
            header_bytes: 16_384,
            body_bytes: 1_048_576,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
        accounts: vec![Account {
            name: "farm".into(),
            credentials: vec!["key".to_owned()],
            priority: None,
            quota: None,
        }],
    }
}

/// Builder methods for routes in tests.
pub trait RouteExt {
    /// Returns the route with another priority.
    fn with_priority(self, priority: u8) -> Self;
}

impl RouteExt for Route {
    fn with_priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }
}

/// Returns a quota in tokens, with the rate in tokens per second and the burst in tokens.
pub fn token_quota(rate: f64, burst: f64) -> Quota {
    Quota {
        rate,
        burst,
        unit: QuotaUnit::Tokens { undeclared: 200.0 },
    }
}

/// Returns the record of a ready backend server.
pub fn record(id: &str, service: &str, slots: u32) -> BackendRecord {
    BackendRecord {
        id: id.into(),
        started: 1,
        service: service.into(),
        address: format!("127.0.0.1:{}", 2_000 + id.len()),
        failure_domain: "a".into(),
        slots,
        status: BackendStatus::Ready,
        version: "v1".into(),
    }
}

/// Returns a loopback address on which nothing listens.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the whole report of the numbered peer, with nothing to report.
pub fn whole_report(peer: u16) -> WholeReport {
    WholeReport {
        host: format!("host-{peer}").as_str().into(),
        address: address(7_000 + peer),
        callers: address(8_000 + peer),
        failure_domain: "b".into(),
        cell: 0,
        sent_at: Duration::from_secs(1),
        store: StoreView::default(),
        low_levels: Vec::new(),
        arrivals: Vec::new(),
        crashes: Vec::new(),
        completed: Vec::new(),
        rollouts: Vec::new(),
        cell_callers: None,
    }
}

/// Returns a report of a peer that runs no requests. The port of its address serves as the number
/// of its run.
pub fn report(sequence: u64, whole: WholeReport) -> Report {
    Report {
        host: host_key(&whole.host),
        run: whole.address.port().into(),
        sequence,
        is_ready: true,
        contact: Contact::Reaching,
        loads: Vec::new(),
        samples: Vec::new(),
        usage: Vec::new(),
        signals: Vec::new(),
        changes: Vec::new(),
        whole: Some(whole),
        held: Vec::new(),
    }
}

/// Returns bounds with values as operators set them.
pub fn bounds() -> Bounds {
    Bounds {
        revocation_limit: Duration::from_secs(5),
        quota_window: Duration::from_secs(8),
        quota_slack: 0.0,
        resend_window: Duration::from_secs(10),
        resend_ratio: 0.2,
        resend_allowance: 113.0,
        convergence_limit: Duration::from_secs(2),
        leave_limit: Duration::from_secs(2),
        shutdown_grace: Duration::from_secs(8),
        exposure: None,
    }
}

impl TestHost {
    /// Creates the only host of a fleet, with a proved configuration and no backend servers.
    pub fn new(configuration: Configuration) -> Self {
        let mut host = Self::unconfigured();
        host.apply(Event::HostsListed(Vec::new()));
        host.configure(configuration);
        host.prove();
        host.tick();
        host
    }

    /// Creates a host that knows nothing yet.
    pub fn unconfigured() -> Self {
        Self::unconfigured_as(1)
    }

    /// Creates the numbered host, which knows nothing yet.
    pub fn unconfigured_as(number: u16) -> Self {
        Self::with(number, bounds())
    }

    /// Creates the numbered host as a process that was started again, with a run that no other one
    /// has.
    pub fn restarted_as(number: u16, run: u64) -> Self {
        Self::with_run(number, (run << 16) | u64::from(number), bounds())
    }

    /// Creates the only host of a fleet, with changed bounds and nothing else known.
    pub fn with_bounds(change: impl FnOnce(&mut Bounds)) -> Self {
        let mut bounds = bounds();
        change(&mut bounds);
        let mut host = Self::with(1, bounds);
        host.apply(Event::HostsListed(Vec::new()));
        host
    }

    fn with(number: u16, bounds: Bounds) -> Self {
        Self::with_run(number, number.into(), bounds)
    }

    /// Creates the only host of a fleet, whose placement ignores what engines cache of a prompt.
    pub fn without_held_parts(configuration: Configuration) -> Self {
        let mut host = Self::with_settings(1, 1, bounds(), false);
        host.apply(Event::HostsListed(Vec::new()));
        host.configure(configuration);
        host.prove();
        host.tick();
        host
    }

    fn with_run(number: u16, run: u64, bounds: Bounds) -> Self {
        Self::with_settings(number, run, bounds, true)
    }

    fn with_settings(number: u16, run: u64, bounds: Bounds, uses_held_parts: bool) -> Self {
        let router = Router::new(RouterConfig {
            host: format!("host-{number}").as_str().into(),
            incarnation: run,
            peer_address: address(7_000 + number),
            caller_address: address(8_000 + number),
            failure_domain: "a".into(),
            seed: 7,
            bounds,
            uses_held_parts,
        });
        Self {
            router,
            number,
            now: Instant::now(),
            boot_time: Duration::from_secs(1_000),
            counter: 1,
            era: 1,
        }
    }

    /// Creates a host with two engines and two backend servers of the plain service.
    pub fn with_backends() -> Self {
        let mut host = Self::new(configuration(1));
        for id in ["engine-1", "engine-22"] {
            host.set_entry(record(id, ENGINES, 9));
        }
        for id in ["plain-1", "plain-22"] {
            host.set_entry(record(id, PLAIN, 6));
        }
        host
    }

    /// Applies a peer's report.
    pub fn receive_report(&mut self, report: Report) -> Vec<Effect> {
        self.apply(Event::ReportReceived {
            report: Box::new(report),
            boot_time: self.boot_time,
        })
    }

    /// Applies an event at the current time.
    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        self.router.apply(self.now, event)
    }

    /// Applies a configuration.
    pub fn configure(&mut self, configuration: Configuration) {
        let table = Arc::new(RouteTable::new(configuration));
        self.apply(Event::ConfigurationLoaded(table));
    }

    /// Records a proof, as of now, that the configuration is the newest and all entries are known.
    pub fn prove(&mut self) {
        self.apply(Event::EntriesProved(self.boot_time));
        self.apply(Event::ConfigurationProved(self.boot_time));
    }

    /// Applies a backend server's entry at the next store point.
    pub fn set_entry(&mut self, record: BackendRecord) {
        let point = self.next_point();
        self.apply(Event::BackendChanged(EntryChange::Stated { record, point }));
    }

    /// Removes a backend server's entry at the next store point.
    pub fn remove_entry(&mut self, id: &str) {
        let point = self.next_point();
        let id = id.into();
        self.apply(Event::BackendChanged(EntryChange::Removed { id, point }));
    }

    /// Applies a listing of all entries at the next store point.
    pub fn list_entries(&mut self, records: Vec<BackendRecord>) {
        let point = self.next_point();
        let entries = records.into_iter().map(|it| (it, point)).collect();
        self.apply(Event::BackendsListed { entries, point });
    }

    /// Returns a store point of the current era whose revision grows with each call.
    pub fn next_point(&mut self) -> StorePoint {
        StorePoint::new(self.era, self.next_revision())
    }

    /// Returns a number that grows with each call.
    pub fn next_revision(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    /// Advances both clocks.
    pub fn wait(&mut self, time: Duration) {
        self.now += time;
        self.boot_time += time;
    }

    /// Applies a tick at the current time.
    pub fn tick(&mut self) -> Vec<Effect> {
        self.apply(Event::Tick(self.boot_time))
    }

    /// Applies the arrival of a request of the account and returns the decision about it.
    pub fn arrive(&mut self, path: &str, tokens: (u32, u32)) -> (RequestNumber, Decision) {
        self.arrive_with(|arrival| {
            path.clone_into(&mut arrival.path);
            arrival.tokens = Some(tokens);
        })
    }

    /// Applies an arrival that `change` has modified and returns the decision about it.
    pub fn arrive_with(&mut self, change: impl FnOnce(&mut Arrival)) -> (RequestNumber, Decision) {
        let number = self.counter + 1;
        let fx = self.apply_arrival(change);
        (number, decision_for(&fx, number))
    }

    /// Applies an arrival that `change` has modified and returns all effects.
    pub fn arrive_all(&mut self, change: impl FnOnce(&mut Arrival)) -> Vec<Effect> {
        self.apply_arrival(change)
    }

    /// Applies the arrival of a request of the account and returns all effects.
    pub fn arrive_effects(&mut self, path: &str, tokens: (u32, u32)) -> Vec<Effect> {
        self.apply_arrival(|arrival| {
            path.clone_into(&mut arrival.path);
            arrival.tokens = Some(tokens);
        })
    }

    fn apply_arrival(&mut self, change: impl FnOnce(&mut Arrival)) -> Vec<Effect> {
        self.counter += 1;
        let number = self.counter;
        let mut arrival = Arrival {
            number,
            attempt: number,
            resumes: None,
            host: "api.example".to_owned(),
            path: "/ask/x".to_owned(),
            credential: Some("key".to_owned()),
            tokens: Some((600, 300)),
            expected_answer: None,
            timeout: None,
            fingerprint: number,
            shared_parts: Vec::new(),
            segments: Vec::new(),
            is_passed_on: false,
            received_at: self.now,
            boot_time: self.boot_time,
        };
        change(&mut arrival);
        self.apply(Event::Arrived(arrival))
    }

    /// Records the first event of an attempt's answer.
    pub fn answered(&mut self, number: RequestNumber) {
        self.apply(Event::ResponseStarted(number));
    }

    /// Ends an attempt and returns the decision about its request.
    pub fn ended(&mut self, number: RequestNumber, outcome: AttemptOutcome) -> Decision {
        let fx = self.apply(Event::AttemptEnded { number, outcome });
        decision_for(&fx, number)
    }
}

/// Returns the decision about one request among `fx`.
pub fn decision_for(fx: &[Effect], number: RequestNumber) -> Decision {
    let mut decisions = fx.iter().filter_map(|effect| match effect {
        Effect::Send {
            number: of,
            backend,
            ..
        } if *of == number => Some(Decision::Sent(backend.clone())),
        Effect::Refuse {
            number: of,
            refusal,
            ..
        } if *of == number => Some(Decision::Refused(refusal.clone())),
        Effect::Reject {
            number: of, reason, ..
        } if *of == number => Some(Decision::Rejected(*reason)),
        Effect::ForwardFailure(of) if *of == number => Some(Decision::FailureForwarded),
        _ => None,
    });
    let first = decisions.next();
    assert_eq!(
        decisions.next(),
        None,
        "more than one decision about a request"
    );
    first.unwrap_or(Decision::Queued)
}

impl Decision {
    /// Returns the refusal; panics on any other decision.
    pub fn refusal(&self) -> &Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            other => panic!("expected a refusal, found {other:?}"),
        }
    }

    /// Returns the backend server to which the request was sent; panics on any other decision.
    pub fn backend(&self) -> &str {
        match self {
            Self::Sent(backend) => backend,
            other => panic!("expected a sent request, found {other:?}"),
        }
    }
}

/// Returns the inputs of the first refusal among `fx`, as a log line prints them.
pub fn refusal_inputs(fx: &[Effect]) -> String {
    let mut inputs = fx.iter().filter_map(|effect| match effect {
        Effect::Refuse { inputs, .. } => Some(inputs.to_string()),
        _ => None,
    });
    inputs.next().expect("a refusal among the effects")
}

/// Returns the CPU time that this thread has used. Unlike elapsed time, it does not depend on other
/// work on the machine.
pub fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("statistics");
    let nanos = text.split_whitespace().next().expect("a time");
    Duration::from_nanos(nanos.parse().expect("nanoseconds"))
}
