//! Backend servers that state how many requests a second they take from all hosts together.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{ENGINES, PLAIN, configuration, record};
use fleet::{Answer, Backends, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{BackendRecord, BackendSignals};
use rand_chacha::ChaCha8Rng;

/// When limits are stated, and when they end.
const STATED: std::ops::Range<Duration> = Duration::from_secs(3)..Duration::from_secs(15);
const END: Duration = Duration::from_secs(20);
/// Time from the first statement after which the bound holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after which a host that heard a limit counts.
const REACTION: Duration = Duration::from_millis(500);
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// What operators allow in such a window: a factor on the stated rate, and requests besides.
const TOLERANCE: (f64, f64) = (1.5, 5.0);

/// Backend servers of which some state limits for a while.
struct Limited {
    limits: BTreeMap<BackendId, f64>,
    start: Instant,
    /// When a host was first told, by host and backend server.
    told: BTreeMap<(usize, BackendId), Instant>,
    calls: Vec<Call>,
}

impl Backends for Limited {
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

    fn told(&mut self, host: usize, backend: &BackendId, answer: &Answer, at: Instant) {
        if answer.signals.rate_limit.is_some() {
            let key = (host, backend.clone());
            self.told.entry(key).or_insert(at);
        }
    }
}

impl Limited {
    /// A host's process ended, which excuses what it sent; the next one was told nothing.
    fn restarted(&mut self, host: usize) {
        self.told.retain(|(it, _), _| *it != host);
        self.calls.retain(|it| it.host != host);
    }

    /// Requests that count against a limit, in the order in which they were sent.
    fn counted(&self, backend: &BackendId) -> Vec<Instant> {
        let calls = self.calls.iter().filter(|it| it.backend == *backend);
        let counted = calls.filter(|call| {
            let told = self.told.get(&(call.host, backend.clone()));
            told.is_some_and(|at| call.at >= *at + REACTION)
        });
        counted.map(|it| it.at).collect()
    }

    /// The greatest excess over what operators allow, in requests; below 0 there is none.
    fn excess(&self, backend: &BackendId) -> f64 {
        let limit = self.limits[backend];
        let allowed = TOLERANCE.0 * limit * WINDOW.as_secs_f64() + TOLERANCE.1;
        let from = self.start + STATED.start + CONTACT;
        let until = self.start + STATED.end;
        let counted = self.counted(backend);
        let ends = counted.iter().filter(|at| (from..until).contains(*at));
        let counts = ends.map(|end| {
            let within = counted
                .iter()
                .filter(|at| **at <= *end && **at + WINDOW > *end);
            within.map(|_| 1.0).sum::<f64>()
        });
        counts.fold(0.0, f64::max) - allowed
    }

    /// Requests that it got in a part of the day.
    fn requests(&self, backend: &BackendId, span: std::ops::Range<Duration>) -> usize {
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

fn fleet(hosts: usize, seed: u64, records: Vec<BackendRecord>, limits: &[f64]) -> Fleet<Limited> {
    let limits = records.iter().zip(limits);
    let backends = Limited {
        limits: limits.map(|(it, limit)| (it.id.clone(), *limit)).collect(),
        start: Instant::now(),
        told: BTreeMap::new(),
        calls: Vec::new(),
    };
    let mut fleet = Fleet::new(hosts, seed, configuration(1), records, backends);
    fleet.backends.start = fleet.start;
    fleet.rate = 120.0;
    fleet
}

fn assert_kept(fleet: &Fleet<Limited>, seed: u64) {
    for backend in fleet.backends.limits.keys() {
        let excess = fleet.backends.excess(backend);
        assert!(excess <= 0.0, "seed {seed}, {backend}: {excess} too many");
    }
}

macro_rules! kept {
    ($($name:ident: $hosts:expr, $rate:expr, $loss:expr, $limits:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 0..5 {
                    let mut fleet = fleet($hosts, seed, engines(12), &$limits);
                    (fleet.rate, fleet.loss) = ($rate, $loss);
                    fleet.run_until(END, |_| {});
                    assert_kept(&fleet, seed);
                }
            }
        )*
    };
}

// Guards against hosts that each send what a backend server takes from all of them together.
kept! {
    limits_hold_over_the_fleet: 13, 120.0, 0.01, [2.4, 1.0, 2.8];
    limits_hold_where_reports_are_lost: 13, 120.0, 0.4, [2.4, 1.0, 0.3];
    limits_hold_where_nearly_all_are_limited: 13, 120.0, 0.01, [2.4, 1.0, 2.8, 9.0, 0.5, 2.0, 3.0, 6.0, 2.0, 2.0, 2.0];
    limits_hold_at_one_host: 1, 60.0, 0.0, [2.4, 1.0];
    limits_hold_in_a_fleet_of_several_cells: 90, 150.0, 0.02, [2.4, 1.0, 5.0];
}

/// Guards against hosts that start and are told nothing: each would send until it hears.
#[test]
fn limits_hold_while_hosts_restart_in_turn() {
    for seed in 0..5 {
        let mut fleet = fleet(13, seed, engines(12), &[2.4, 1.0, 2.8]);
        fleet.run_until(END, |fleet| {
            let millis = fleet.since_start().as_millis();
            // One host after another from second 4 on, each away for half a second.
            let n = usize::try_from((millis.saturating_sub(4_000)) / 800).expect("few");
            let phase = millis.saturating_sub(4_000) % 800;
            if millis < 4_000 || n >= fleet.hosts.len() {
                return;
            }
            if phase == 0 {
                fleet.hosts[n].is_up = false;
                fleet.backends.restarted(n);
            }
            if phase == 500 && !fleet.hosts[n].is_up {
                fleet.begin(n);
            }
        });
        assert_kept(&fleet, seed);
    }
}

/// Guards against a plain service whose few backend servers are all limited.
#[test]
fn limits_hold_where_all_of_a_service_are_limited() {
    for seed in 0..5 {
        let plain: Vec<_> = (0..3)
            .map(|n| record(&format!("plain-{n}"), PLAIN, 6))
            .collect();
        let mut fleet = fleet(13, seed, plain, &[4.0, 2.0, 1.0]);
        fleet.path = "/read/x";
        fleet.run_until(END, |_| {});
        assert_kept(&fleet, seed);
    }
}

/// Guards against holding back more than was asked: a limited backend server stands idle.
#[test]
fn a_limited_backend_server_gets_most_of_what_it_takes() {
    for seed in 0..5 {
        let mut fleet = fleet(13, seed, engines(12), &[2.4, 5.0]);
        // Enough that each host has requests for it at all times.
        fleet.rate = 300.0;
        fleet.run_until(END, |_| {});
        let span = STATED.start + CONTACT..STATED.end;
        let time = span.end.saturating_sub(span.start).as_secs_f64();
        for (backend, limit) in &fleet.backends.limits {
            let got = fleet.backends.requests(backend, span.clone());
            let got = f64::from(u32::try_from(got).expect("few"));
            assert!(got >= 0.6 * limit * time, "seed {seed}, {backend}: {got}");
        }
    }
}

/// Guards against a limit that outlives its statement at hosts that no longer send there.
#[test]
fn a_limit_ends_for_all_hosts_when_it_is_no_longer_stated() {
    for seed in 0..5 {
        let mut fleet = fleet(13, seed, engines(12), &[2.4, 1.0]);
        fleet.run_until(END + Duration::from_secs(4), |_| {});
        let later = END..END + Duration::from_secs(4);
        let usual = fleet.backends.requests(&"engine-5".into(), later.clone());
        for backend in fleet.backends.limits.keys() {
            let got = fleet.backends.requests(backend, later.clone());
            assert!(got * 2 > usual, "seed {seed}, {backend}: {got} of {usual}");
        }
    }
}
