//! Backend servers that state how many requests per second they accept from all hosts together.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{ENGINES, PLAIN, configuration, record};
use fleet::{Answer, BackendModel, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{BackendRecord, BackendSignals};
use rand_chacha::ChaCha8Rng;

/// Time since the start in which limits are stated.
const STATED: std::ops::Range<Duration> = Duration::from_secs(3)..Duration::from_secs(15);
const END: Duration = Duration::from_secs(20);
/// Time after the first statement from which on the limits must hold.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after a host has received a limit from which on its requests count against it.
const REACTION_TIME: Duration = Duration::from_millis(500);
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that operators tolerate in such a window: a factor on the stated rate, and a
/// constant.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Backend servers of which some state limits for a while.
struct LimitedBackends {
    limits: BTreeMap<BackendId, f64>,
    start: Instant,
    /// When a host first received a limit, by host and backend server.
    limit_received_at: BTreeMap<(usize, BackendId), Instant>,
    calls: Vec<Call>,
}

impl BackendModel for LimitedBackends {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        self.calls.push(call.clone());
        let is_stated = STATED.contains(&(call.at - self.start));
        let limit = self.limits.get(&call.backend);
        let rate_limit = limit.copied().filter(|_| is_stated);
        let signals = BackendSignals {
            rate_limit,
            ..BackendSignals::default()
        };
        Answer::good(signals, rng)
    }

    fn header_received(&mut self, host: usize, backend: &BackendId, answer: &Answer, at: Instant) {
        if answer.signals.rate_limit.is_some() {
            let key = (host, backend.clone());
            self.limit_received_at.entry(key).or_insert(at);
        }
    }
}

impl LimitedBackends {
    /// Forgets a host whose process has ended: its requests no longer count, and its next process
    /// has received no limit.
    fn forget_host(&mut self, host: usize) {
        self.limit_received_at.retain(|(it, _), _| *it != host);
        self.calls.retain(|it| it.host != host);
    }

    /// Returns the times of the requests that count against a limit, in the order in which they
    /// were sent.
    fn counted_requests(&self, backend: &BackendId) -> Vec<Instant> {
        let calls = self.calls.iter().filter(|it| it.backend == *backend);
        let counted_requests = calls.filter(|call| {
            let received_at = self.limit_received_at.get(&(call.host, backend.clone()));
            received_at.is_some_and(|at| call.at >= *at + REACTION_TIME)
        });
        counted_requests.map(|it| it.at).collect()
    }

    /// Returns the greatest number of requests in any window beyond what operators tolerate;
    /// negative if the limit held.
    fn excess(&self, backend: &BackendId) -> f64 {
        let limit = self.limits[backend];
        let allowed = TOLERANCE.0 * limit * WINDOW.as_secs_f64() + TOLERANCE.1;
        let from = self.start + STATED.start + SETTLE_TIME;
        let until = self.start + STATED.end;
        let counted_requests = self.counted_requests(backend);
        let ends = counted_requests
            .iter()
            .filter(|at| (from..until).contains(*at));
        let windows = ends.map(|end| {
            let within = counted_requests
                .iter()
                .filter(|at| **at <= *end && **at + WINDOW > *end);
            within.map(|_| 1.0).sum::<f64>()
        });
        windows.fold(0.0, f64::max) - allowed
    }

    /// Returns the number of requests that a backend server got in a span of time since the
    /// start.
    fn requests_in(&self, backend: &BackendId, span: std::ops::Range<Duration>) -> usize {
        let calls = self.calls.iter().filter(|it| it.backend == *backend);
        calls
            .filter(|it| span.contains(&(it.at - self.start)))
            .count()
    }
}

fn engines(count: usize) -> Vec<BackendRecord> {
    let ids = (0..count).map(|n| record(&format!("engine-{n}"), ENGINES, 10));
    ids.collect()
}

fn fleet(
    hosts: usize,
    seed: u64,
    records: Vec<BackendRecord>,
    limits: &[f64],
) -> Fleet<LimitedBackends> {
    let limits = records.iter().zip(limits);
    let backends = LimitedBackends {
        limits: limits.map(|(it, limit)| (it.id.clone(), *limit)).collect(),
        start: Instant::now(),
        limit_received_at: BTreeMap::new(),
        calls: Vec::new(),
    };
    let mut fleet = Fleet::new(hosts, seed, configuration(1), records, backends);
    fleet.backends.start = fleet.start;
    fleet.rate = 120.0;
    fleet
}

fn assert_limits_hold(fleet: &Fleet<LimitedBackends>, seed: u64) {
    for backend in fleet.backends.limits.keys() {
        let excess = fleet.backends.excess(backend);
        assert!(
            excess <= 0.0,
            "seed {seed}, {backend}: {excess} requests too many"
        );
    }
}

macro_rules! limits_hold {
    ($($name:ident: $hosts:expr, $rate:expr, $loss:expr, $limits:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 0..5 {
                    let mut fleet = fleet($hosts, seed, engines(12), &$limits);
                    (fleet.rate, fleet.report_loss) = ($rate, $loss);
                    fleet.run_until(END, |_| {});
                    assert_limits_hold(&fleet, seed);
                }
            }
        )*
    };
}

// Guards against hosts that each send as many requests as a backend server accepts from all hosts
// together.
limits_hold! {
    limits_hold_over_the_fleet: 13, 120.0, 0.01, [2.4, 1.0, 2.8];
    limits_hold_where_reports_are_lost: 13, 120.0, 0.4, [2.4, 1.0, 0.3];
    limits_hold_where_nearly_all_are_limited: 13, 120.0, 0.01, [2.4, 1.0, 2.8, 9.0, 0.5, 2.0, 3.0, 6.0, 2.0, 2.0, 2.0];
    limits_hold_at_one_host: 1, 60.0, 0.0, [2.4, 1.0];
    limits_hold_in_a_fleet_of_several_cells: 90, 150.0, 0.02, [2.4, 1.0, 5.0];
}

/// Guards against hosts that know no limit when they start: each would send without one until it
/// receives a statement.
#[test]
fn limits_hold_while_hosts_restart_in_turn() {
    for seed in 0..5 {
        let mut fleet = fleet(13, seed, engines(12), &[2.4, 1.0, 2.8]);
        fleet.run_until(END, |fleet| {
            let millis = fleet.since_start().as_millis();
            // From 4 s on, one host after another is down for 500 ms.
            let n = usize::try_from((millis.saturating_sub(4_000)) / 800).expect("few");
            let phase = millis.saturating_sub(4_000) % 800;
            if millis < 4_000 || n >= fleet.hosts.len() {
                return;
            }
            if phase == 0 {
                fleet.hosts[n].is_up = false;
                fleet.backends.forget_host(n);
            }
            if phase == 500 && !fleet.hosts[n].is_up {
                fleet.start_host(n);
            }
        });
        assert_limits_hold(&fleet, seed);
    }
}

/// Guards against limits that fail in a service of a few backend servers, all of which state one.
#[test]
fn limits_hold_where_all_of_a_service_are_limited() {
    for seed in 0..5 {
        let plain: Vec<_> = (0..3)
            .map(|n| record(&format!("plain-{n}"), PLAIN, 6))
            .collect();
        let mut fleet = fleet(13, seed, plain, &[4.0, 2.0, 1.0]);
        fleet.path = "/read/x";
        fleet.run_until(END, |_| {});
        assert_limits_hold(&fleet, seed);
    }
}

/// Guards against hosts that hold back more than was asked, so that a limited backend server
/// stands idle.
#[test]
fn a_limited_backend_server_gets_most_of_what_it_takes() {
    for seed in 0..5 {
        let mut fleet = fleet(13, seed, engines(12), &[2.4, 5.0]);
        // At this rate, each host has requests for the limited backend servers at all times.
        fleet.rate = 300.0;
        fleet.run_until(END, |_| {});
        let span = STATED.start + SETTLE_TIME..STATED.end;
        let time = span.end.saturating_sub(span.start).as_secs_f64();
        for (backend, limit) in &fleet.backends.limits {
            let got = fleet.backends.requests_in(backend, span.clone());
            let got = f64::from(u32::try_from(got).expect("few"));
            assert!(got >= 0.6 * limit * time, "seed {seed}, {backend}: {got}");
        }
    }
}

/// Guards against a limit that goes on, at hosts that no longer send there, after it is no longer
/// stated.
#[test]
fn a_limit_ends_for_all_hosts_when_it_is_no_longer_stated() {
    for seed in 0..5 {
        let mut fleet = fleet(13, seed, engines(12), &[2.4, 1.0]);
        fleet.run_until(END + Duration::from_secs(4), |_| {});
        let later = END..END + Duration::from_secs(4);
        let unlimited = fleet
            .backends
            .requests_in(&"engine-5".into(), later.clone());
        for backend in fleet.backends.limits.keys() {
            let got = fleet.backends.requests_in(backend, later.clone());
            assert!(
                got * 2 > unlimited,
                "seed {seed}, {backend}: {got} of {unlimited}"
            );
        }
    }
}
