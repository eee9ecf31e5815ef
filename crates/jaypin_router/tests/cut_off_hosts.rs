//! Hosts that are cut off from all backend servers for a while, in a fleet whose reports are
//! delayed and lost.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use common::{ENGINES, configuration, record};
use fleet::{Answer, BackendModel, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendSignals, RequestNumber};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 13;
const BACKENDS: usize = 12;
/// Time since the start in which hosts are cut off.
const CUT: std::ops::Range<Duration> = Duration::from_secs(3)..Duration::from_secs(15);
/// Time after the begin of the cut from which on requests must be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after the end of the cut within which hosts use backend servers again.
const RETURN_TIME: Duration = Duration::from_secs(1);
const END: Duration = Duration::from_secs(20);
/// Requests that arrive in one step of 10 ms.
const PER_STEP: usize = 1;

/// Share of the requests that are more urgent than the others, for which slots are reserved.
const URGENT: f64 = 0.3;

struct Backends {
    start: Instant,
    /// Number of hosts that are cut off; they come first.
    cut_off: usize,
    /// Time until a connection attempt fails.
    fails_after: Duration,
}

impl Backends {
    fn is_cut_off(&self, host: usize, at: Instant) -> bool {
        host < self.cut_off && CUT.contains(&(at - self.start))
    }
}

impl BackendModel for Backends {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        if self.is_cut_off(call.host, call.at) {
            return Answer::unreached(self.fails_after);
        }
        Answer::good(BackendSignals::default(), rng)
    }

    fn is_reachable(&self, host: usize, _: &BackendId, at: Instant) -> bool {
        !self.is_cut_off(host, at)
    }

    fn header_received(&mut self, _: usize, _: &BackendId, _: &Answer, _: Instant) {}
}

/// A request, the host at which it arrived, and when.
type Arrived = (RequestNumber, usize, Duration);

fn run(cut_off: usize, fails_after: Duration, seed: u64) -> (Fleet<Backends>, Vec<Arrived>) {
    let records = (0..BACKENDS).map(|n| {
        let mut record = record(&format!("engine-{n}"), ENGINES, 10);
        record.address = format!("127.0.0.1:{}", 3_000 + n);
        record
    });
    let backends = Backends {
        start: Instant::now(),
        cut_off,
        fails_after,
    };
    let mut fleet = Fleet::new(HOSTS, seed, configuration(1), records.collect(), backends);
    fleet.backends.start = fleet.start;
    let mut arrived = Vec::new();
    let mut is_cut = false;
    fleet.run_until(END, |fleet| {
        if !is_cut && fleet.since_start() >= CUT.start {
            is_cut = true;
            let hosts: Vec<_> = (0..cut_off).collect();
            for n in 0..BACKENDS {
                let id = BackendId::from(format!("engine-{n}").as_str());
                fleet.lose_calls(&id, &hosts, fails_after, AttemptOutcome::Died);
            }
        }
        for _ in 0..PER_STEP {
            let host = fleet.rng.random_range(0..HOSTS);
            let content = fleet.rng.random();
            let is_urgent = fleet.rng.random_bool(URGENT);
            fleet.path = if is_urgent { "/urgent/x" } else { "/ask/x" };
            let at = fleet.since_start();
            arrived.push((fleet.arrive_content(host, content), host, at));
        }
    });
    // The last requests end.
    fleet.run_until(END + Duration::from_secs(2), |_| {});
    (fleet, arrived)
}

/// Returns the share of requests that were not refused, of those that arrived in a span of time
/// at these hosts.
fn served(
    fleet: &Fleet<Backends>,
    arrived: &[Arrived],
    span: std::ops::Range<Duration>,
    hosts: std::ops::Range<usize>,
) -> f64 {
    let counted = arrived
        .iter()
        .filter(|(_, host, at)| hosts.contains(host) && span.contains(at));
    let total = counted.clone().map(|_| 1.0).sum::<f64>();
    let refused = counted.filter(|it| fleet.refused.contains(&it.0));
    1.0 - refused.map(|_| 1.0).sum::<f64>() / total.max(1.0)
}

const SEEDS: std::ops::Range<u64> = 1..4;
/// Share of requests that a fleet with free slots serves.
const NEARLY_ALL: f64 = 0.95;

macro_rules! cuts {
    ($($name:ident: $cut_off:expr, $fails_after:expr, $span:expr, $hosts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in SEEDS {
                    let (fleet, arrived) = run($cut_off, Duration::from_millis($fails_after), seed);
                    let share = served(&fleet, &arrived, $span, $hosts);
                    assert!(share >= NEARLY_ALL, "seed {seed}: {share} served");
                }
            }
        )*
    };
}

const DURING: std::ops::Range<Duration> =
    Duration::from_secs(CUT.start.as_secs() + CONTACT_TIME.as_secs())..CUT.end;
const AFTER: std::ops::Range<Duration> =
    Duration::from_secs(CUT.end.as_secs() + RETURN_TIME.as_secs())..END;

// Guards against hosts that refuse requests although they reach all backend servers, because other
// hosts that reach none report failed calls.
cuts! {
    others_serve_while_most_hosts_fail_at_once: 8, 10, DURING, 8..HOSTS;
    others_serve_while_the_connections_of_most_hosts_hang: 8, 300, DURING, 8..HOSTS;
}

// Guards against callers who are refused because their host is cut off from the backend servers
// that other hosts reach.
cuts! {
    a_host_that_is_cut_off_serves: 1, 10, DURING, 0..1;
    most_hosts_are_cut_off_and_serve: 8, 10, DURING, 0..8;
    hosts_whose_connections_hang_serve: 8, 300, DURING, 0..8;
}

// Guards against hosts that refuse requests long after they reach backend servers again.
cuts! {
    hosts_that_were_cut_off_serve_again: 8, 10, AFTER, 0..8;
    hosts_whose_connections_hung_serve_again: 8, 300, AFTER, 0..8;
}
