//! Backend servers that crash when they have to reject too many requests for lack of room, and
//! state so, in a fleet of hosts whose reports are delayed and lost.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::{ENGINES, configuration, record};
use fleet::{Answer, BackendModel, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendSignals};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const HOSTS: usize = 13;
const BACKENDS: usize = 12;
const SLOTS: u32 = 9;
/// Time since the start from which on the backend servers are brittle.
const BRITTLE_FROM: Duration = Duration::from_secs(4);
/// Time after that in which hosts learn of it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const END: Duration = Duration::from_secs(25);
/// Time over which rejections count.
const WINDOW: Duration = Duration::from_secs(1);
/// Time until a crashed backend server runs again.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Number of crashes that operators tolerate.
const TOLERATED: usize = 2 + BACKENDS / 10;

/// What one backend server has running, and when it rejected requests.
#[derive(Default)]
struct State {
    ends: Vec<Instant>,
    rejections: Vec<Instant>,
    down_until: Option<Instant>,
}

struct Backends {
    start: Instant,
    limit: u32,
    states: HashMap<BackendId, State>,
    crashes: Vec<(Instant, BackendId)>,
    served: usize,
}

impl BackendModel for Backends {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        let at = call.at;
        let is_brittle = at >= self.start + BRITTLE_FROM;
        let signals = BackendSignals {
            rejection_limit: is_brittle.then_some(self.limit),
            ..BackendSignals::default()
        };
        let state = self.states.entry(call.backend.clone()).or_default();
        if state.down_until.is_some_and(|until| at < until) {
            return Answer::unreached(Duration::from_millis(10));
        }
        state.ends.retain(|end| *end > at);
        // Some requests wait in a queue before the backend servers become brittle.
        let is_strict = at >= self.start + BRITTLE_FROM + CONTACT_TIME;
        let room = SLOTS as usize + if is_strict { 0 } else { 4 };
        if state.ends.len() < room {
            let good = Answer::good(signals, rng);
            let end_after = Duration::from_millis(rng.random_range(600..1_400));
            state.ends.push(at + end_after);
            self.served += 1;
            return Answer { end_after, ..good };
        }
        state.rejections.retain(|it| *it + WINDOW > at);
        state.rejections.push(at);
        let is_too_much = state.rejections.len() > self.limit as usize;
        if is_strict && is_too_much {
            *state = State {
                down_until: Some(at + DOWN_TIME),
                ..State::default()
            };
            self.crashes.push((at, call.backend.clone()));
            return Answer::unreached(Duration::from_millis(10));
        }
        let declined = Answer::declined(Duration::ZERO);
        Answer {
            signals,
            backoff: None,
            ..declined
        }
    }

    fn is_reachable(&self, _: usize, backend: &BackendId, at: Instant) -> bool {
        let state = self.states.get(backend);
        let until = state.and_then(|it| it.down_until);
        until.is_none_or(|until| at >= until)
    }

    fn header_received(&mut self, _: usize, _: &BackendId, _: &Answer, _: Instant) {}
}

/// Runs a fleet that is asked for `load` times what its backend servers can run.
fn run(limit: u32, load: f64, seed: u64) -> Fleet<Backends> {
    let records = (0..BACKENDS).map(|n| {
        let mut record = record(&format!("engine-{n}"), ENGINES, SLOTS);
        record.address = format!("127.0.0.1:{}", 3_000 + n);
        record
    });
    let backends = Backends {
        start: Instant::now(),
        limit,
        states: HashMap::new(),
        crashes: Vec::new(),
        served: 0,
    };
    let mut fleet = Fleet::new(HOSTS, seed, configuration(1), records.collect(), backends);
    fleet.backends.start = fleet.start;
    fleet.rate = load * f64::from(SLOTS) * 12.0;
    let all: Vec<_> = (0..HOSTS).collect();
    let mut handled = 0;
    let mut down: Vec<(Instant, BackendId)> = Vec::new();
    fleet.run_until(END, |fleet| {
        while let Some((at, id)) = fleet.backends.crashes.get(handled).cloned() {
            handled += 1;
            let after = Duration::from_millis(15);
            fleet.lose_calls(&id, &all, after, AttemptOutcome::Died);
            down.push((at + DOWN_TIME, id));
        }
        let now = fleet.now;
        for (_, id) in down.extract_if(.., |it| it.0 <= now) {
            fleet.restart_backend(&id);
        }
    });
    fleet
}

macro_rules! brittle {
    ($($name:ident: $limit:expr, $load:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 1..5 {
                    let fleet = run($limit, $load, seed);
                    let crashes = fleet.backends.crashes.len();
                    assert!(crashes <= TOLERATED, "seed {seed}: {crashes} crashes");
                    assert!(fleet.backends.served > 1_200, "seed {seed}: {}", fleet.backends.served);
                }
            }
        )*
    };
}

// Guards against hosts that together send more requests to a brittle backend server than it has
// room for, until it crashes.
brittle! {
    brittle_backends_survive_an_overload: 6, 1.6;
    brittle_backends_survive_full_load: 6, 1.0;
    backends_that_bear_few_rejections_survive_an_overload: 3, 1.6;
    backends_that_bear_many_rejections_survive_an_overload: 12, 1.6;
}
