//! A router with a small configuration, and a clock that tests move.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{BackendId, Refusal};
use jaypin_router::{
    Account, Arrival, AttemptOutcome, BackendRecord, BackendStatus, Bounds, CallerLimits,
    Configuration, Effect, Engine, EntryChange, Event, Quota, QuotaUnit, Repeat, Report,
    RequestNumber, Route, RouteTable, Router, RouterConfig, Service, StoreEra, StorePoint,
    StoreView, Target, Unrouted, WholeReport, host_key,
};

/// The service of engines.
pub const ENGINES: &str = "engines";
/// The plain service.
pub const PLAIN: &str = "plain";

/// What a request was told.
#[derive(Debug, Clone, PartialEq)]
pub enum Told {
    /// It was sent there.
    Sent(BackendId),
    /// It was refused.
    Refused(Refusal),
    /// It was rejected.
    Rejected(Unrouted),
    /// It gets what its backend server answered.
    PassedOn,
    /// It waits.
    Waits,
}

/// A router under test.
pub struct TestHost {
    /// The router.
    pub router: Router,
    /// Now.
    pub now: Instant,
    /// Now, on the clock that counts suspended time.
    pub boot: Duration,
    next: RequestNumber,
    /// The store's era.
    pub era: StoreEra,
}

/// A route for each kind of request.
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
    }
}

/// One account, `farm`, with the credential `key`.
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

/// Changes of a route for tests.
pub trait RouteExt {
    /// The same with another rank.
    fn with_priority(self, priority: u8) -> Self;
}

impl RouteExt for Route {
    fn with_priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }
}

/// A quota in tokens.
pub fn token_quota(rate: f64, burst: f64) -> Quota {
    Quota {
        rate,
        burst,
        unit: QuotaUnit::Tokens { undeclared: 200.0 },
    }
}

/// A backend server that is ready.
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

/// Addresses that nothing listens on.
pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// What the peer of a number tells in a whole report when it has nothing to tell.
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
        crash_counts: Vec::new(),
        rollouts: Vec::new(),
        cell_callers: None,
    }
}

/// A whole report of a peer that has nothing running; its address is its run's number.
pub fn report(sequence: u64, whole: WholeReport) -> Report {
    Report {
        host: host_key(&whole.host),
        run: whole.address.port().into(),
        sequence,
        is_ready: true,
        loads: Vec::new(),
        samples: Vec::new(),
        usage: Vec::new(),
        signals: Vec::new(),
        changes: Vec::new(),
        whole: Some(whole),
    }
}

/// Bounds as operators of today state them.
pub fn bounds() -> Bounds {
    Bounds {
        revocation_limit: Duration::from_secs(5),
        quota_window: Duration::from_secs(8),
        quota_slack: 0.0,
        resend_window: Duration::from_secs(10),
        resend_ratio: 0.2,
        resend_allowance: 113.0,
        convergence_limit: Duration::from_secs(2),
        shutdown_grace: Duration::from_secs(8),
        exposure: None,
    }
}

impl TestHost {
    /// Starts with a configuration that is proved, alone in its fleet, and no backend server.
    pub fn new(configuration: Configuration) -> Self {
        let mut bed = Self::unconfigured();
        bed.apply(Event::HostsListed(Vec::new()));
        bed.configure(configuration);
        bed.prove();
        bed.tick();
        bed
    }

    /// Starts with nothing known.
    pub fn unconfigured() -> Self {
        Self::unconfigured_as(1)
    }

    /// The same for the host of a number.
    pub fn unconfigured_as(number: u16) -> Self {
        Self::with(number, bounds())
    }

    /// Starts alone in its fleet, with other bounds and nothing else known.
    pub fn with_bounds(change: impl FnOnce(&mut Bounds)) -> Self {
        let mut bounds = bounds();
        change(&mut bounds);
        let mut bed = Self::with(1, bounds);
        bed.apply(Event::HostsListed(Vec::new()));
        bed
    }

    fn with(number: u16, bounds: Bounds) -> Self {
        let router = Router::new(RouterConfig {
            host: format!("host-{number}").as_str().into(),
            incarnation: number.into(),
            peer_address: address(7_000 + number),
            caller_address: address(8_000 + number),
            failure_domain: "a".into(),
            seed: 7,
            bounds,
        });
        Self {
            router,
            now: Instant::now(),
            boot: Duration::from_secs(1_000),
            next: 1,
            era: 1,
        }
    }

    /// With two engines and two plain backend servers.
    pub fn usual() -> Self {
        let mut bed = Self::new(configuration(1));
        for id in ["engine-1", "engine-22"] {
            bed.set_entry(record(id, ENGINES, 9));
        }
        for id in ["plain-1", "plain-22"] {
            bed.set_entry(record(id, PLAIN, 6));
        }
        bed
    }

    /// Hears a report.
    pub fn receive_report(&mut self, report: Report) -> Vec<Effect> {
        self.apply(Event::ReportReceived {
            report: Box::new(report),
            boot_time: self.boot,
        })
    }

    /// Gives an event.
    pub fn apply(&mut self, event: Event) -> Vec<Effect> {
        self.router.apply(self.now, event)
    }

    /// Reads a configuration.
    pub fn configure(&mut self, configuration: Configuration) {
        let table = Arc::new(RouteTable::new(configuration));
        self.apply(Event::ConfigurationLoaded(table));
    }

    /// Proves that it is the newest.
    pub fn prove(&mut self) {
        self.apply(Event::ConfigurationProved(self.boot));
    }

    /// A backend server states something.
    pub fn set_entry(&mut self, record: BackendRecord) {
        let point = self.point();
        self.apply(Event::BackendChanged(EntryChange::Stated { record, point }));
    }

    /// Its entry is removed.
    pub fn remove_entry(&mut self, id: &str) {
        let point = self.point();
        let id = id.into();
        self.apply(Event::BackendChanged(EntryChange::Removed { id, point }));
    }

    /// All entries are read.
    pub fn list(&mut self, records: Vec<BackendRecord>) {
        let point = self.point();
        let entries = records.into_iter().map(|it| (it, point)).collect();
        self.apply(Event::BackendsListed { entries, point });
    }

    /// A point of the store's history that grows with each call.
    pub fn point(&mut self) -> StorePoint {
        StorePoint::new(self.era, self.revision())
    }

    /// A number that grows with each call.
    pub fn revision(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Lets time go on for both clocks.
    pub fn wait(&mut self, time: Duration) {
        self.now += time;
        self.boot += time;
    }

    /// Tells the time.
    pub fn tick(&mut self) -> Vec<Effect> {
        self.apply(Event::Tick(self.boot))
    }

    /// A request of the account arrives.
    pub fn arrive(&mut self, path: &str, tokens: (u32, u32)) -> (RequestNumber, Told) {
        self.arrive_as(|arrival| {
            path.clone_into(&mut arrival.path);
            arrival.tokens = Some(tokens);
        })
    }

    /// A request arrives that differs from the usual one.
    pub fn arrive_as(&mut self, change: impl FnOnce(&mut Arrival)) -> (RequestNumber, Told) {
        let number = self.next + 1;
        let fx = self.arrive_with(change);
        (number, told(&fx, number))
    }

    /// A request of the account arrives; gives all that is to be done.
    pub fn arrive_fx(&mut self, path: &str, tokens: (u32, u32)) -> Vec<Effect> {
        self.arrive_with(|arrival| {
            path.clone_into(&mut arrival.path);
            arrival.tokens = Some(tokens);
        })
    }

    fn arrive_with(&mut self, change: impl FnOnce(&mut Arrival)) -> Vec<Effect> {
        self.next += 1;
        let number = self.next;
        let mut arrival = Arrival {
            number,
            host: "api.example".to_owned(),
            path: "/ask/x".to_owned(),
            credential: Some("key".to_owned()),
            tokens: Some((600, 300)),
            expected_answer: None,
            timeout: None,
            fingerprint: number,
            received_at: self.now,
            boot_time: self.boot,
        };
        change(&mut arrival);
        self.apply(Event::Arrived(arrival))
    }

    /// A call's first event comes.
    pub fn answered(&mut self, number: RequestNumber) {
        self.apply(Event::ResponseStarted(number));
    }

    /// A call ends.
    pub fn ended(&mut self, number: RequestNumber, outcome: AttemptOutcome) -> Told {
        let fx = self.apply(Event::AttemptEnded { number, outcome });
        told(&fx, number)
    }
}

/// What one request was told by some effects.
pub fn told(fx: &[Effect], number: RequestNumber) -> Told {
    let mut words = fx.iter().filter_map(|effect| match effect {
        Effect::Send {
            number: of,
            backend,
            ..
        } if *of == number => Some(Told::Sent(backend.clone())),
        Effect::Refuse {
            number: of,
            refusal,
            ..
        } if *of == number => Some(Told::Refused(refusal.clone())),
        Effect::Reject {
            number: of, reason, ..
        } if *of == number => Some(Told::Rejected(*reason)),
        Effect::ForwardFailure(of) if *of == number => Some(Told::PassedOn),
        _ => None,
    });
    let first = words.next();
    assert_eq!(words.next(), None, "one word at a time");
    first.unwrap_or(Told::Waits)
}

impl Told {
    /// The refusal, where it is one.
    pub fn refusal(&self) -> &Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            other => panic!("no refusal: {other:?}"),
        }
    }

    /// The backend server, where it was sent to one.
    pub fn backend(&self) -> &str {
        match self {
            Self::Sent(backend) => backend,
            other => panic!("not sent: {other:?}"),
        }
    }
}

/// What the first refusal among some effects rests on, as a log says it.
pub fn refusal_grounds(fx: &[Effect]) -> String {
    let mut grounds = fx.iter().filter_map(|effect| match effect {
        Effect::Refuse {
            inputs: grounds, ..
        } => Some(grounds.to_string()),
        _ => None,
    });
    grounds.next().expect("a refusal")
}
