//! A request content that crashes each backend server that runs it, in a fleet of hosts whose
//! reports are delayed and lost.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::{ENGINES, TestHost, configuration, record, report, whole_report};
use fleet::{Answer, BackendModel, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendRun, BackendSignals, Crash, Effect, Event, RunEnd};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The content that crashes backend servers.
const BAD: u64 = u64::MAX;
/// A harmless content that callers request again and again.
const POPULAR: u64 = u64::MAX - 1;
/// Time from the arrival of the bad content at a backend server to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Time until a backend server runs again.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Number of crashes from which on all hosts must refuse the content, and the time until then.
const TOLERATED: (usize, Duration) = (3, Duration::from_secs(3));
/// Number of calls with the content that may reach backend servers after that.
const LATE_CALLS: usize = 3;
const BACKENDS: usize = 18;

/// Backend servers that crash when they run the bad content.
struct Backends {
    /// Time from a harmless request to its first event.
    first_event: Duration,
    /// Whether the bad content's first event arrives before the crash.
    crashes_late: bool,
    due: Vec<(Instant, BackendId)>,
    down_until: HashMap<BackendId, Instant>,
    /// Backend servers that these hosts can't reach, until this time.
    cut_off: Option<(Vec<usize>, Instant)>,
    crashed_at: Vec<Instant>,
    /// When calls with the bad content reached a backend server.
    bad_calls: Vec<Instant>,
}

impl Backends {
    fn new() -> Self {
        Self {
            first_event: Duration::from_millis(40),
            crashes_late: false,
            due: Vec::new(),
            down_until: HashMap::new(),
            cut_off: None,
            crashed_at: Vec::new(),
            bad_calls: Vec::new(),
        }
    }

    fn is_cut_off(&self, host: usize, at: Instant) -> bool {
        let cut = self.cut_off.as_ref();
        cut.is_some_and(|(hosts, until)| at < *until && hosts.contains(&host))
    }

    /// Returns the number of calls that reached a backend server after hosts must refuse them.
    fn late_calls(&self) -> usize {
        let Some(last) = self.crashed_at.get(TOLERATED.0 - 1) else {
            return 0;
        };
        let calls = self.bad_calls.iter();
        calls.filter(|at| **at > *last + TOLERATED.1).count()
    }
}

impl BackendModel for Backends {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        let is_down = self.down_until.contains_key(&call.backend);
        if is_down || self.is_cut_off(call.host, call.at) {
            return Answer::unreached(Duration::from_millis(10));
        }
        if call.content == BAD {
            self.bad_calls.push(call.at);
            self.due.push((call.at + CRASH_DELAY, call.backend.clone()));
            if !self.crashes_late {
                return Answer::none();
            }
            return Answer {
                header_after: Duration::from_millis(10),
                outcome: AttemptOutcome::Complete,
                ..Answer::none()
            };
        }
        let first = self.first_event.mul_f64(rng.random_range(0.7..1.3));
        Answer {
            header_after: first,
            end_after: first + first,
            ..Answer::good(BackendSignals::default(), rng)
        }
    }

    fn is_reachable(&self, host: usize, backend: &BackendId, at: Instant) -> bool {
        !self.down_until.contains_key(backend) && !self.is_cut_off(host, at)
    }

    fn header_received(&mut self, _: usize, _: &BackendId, _: &Answer, _: Instant) {}
}

/// How a crash shows to hosts.
#[derive(Clone, Copy)]
struct CrashKind {
    /// How the lost calls end.
    outcome: AttemptOutcome,
    /// Time until the hosts notice.
    noticed_after: Duration,
    /// Time until the backend server runs again.
    down_time: Duration,
    /// Whether it then has another id.
    changes_id: bool,
}

/// A process that refuses connections after its end.
const REFUSING: CrashKind = CrashKind {
    outcome: AttemptOutcome::Died,
    noticed_after: Duration::from_millis(15),
    down_time: DOWN_TIME,
    changes_id: false,
};
/// The same, and the next process registers under an id of its own.
const REPLACED: CrashKind = CrashKind {
    changes_id: true,
    ..REFUSING
};
/// A process that is never replaced.
const GONE: CrashKind = CrashKind {
    down_time: Duration::from_hours(1),
    ..REFUSING
};
/// A process whose successor accepts connections before any host tries one.
const BACK_AT_ONCE: CrashKind = CrashKind {
    outcome: AttemptOutcome::Lost,
    noticed_after: Duration::from_millis(10),
    down_time: Duration::from_millis(50),
    changes_id: false,
};

fn new_fleet(hosts: usize, seed: u64) -> Fleet<Backends> {
    let ids = (0..BACKENDS).map(|n| {
        let mut record = record(&format!("engine-{n}"), ENGINES, 9);
        record.address = format!("127.0.0.1:{}", 3_000 + n);
        record
    });
    let mut fleet = Fleet::new(
        hosts,
        seed,
        configuration(1),
        ids.collect(),
        Backends::new(),
    );
    fleet.rate = 100.0;
    fleet
}

/// Crashes the backend servers that are due, and restarts those that were down for long enough.
fn crash_and_restart(fleet: &mut Fleet<Backends>, kind: CrashKind) {
    let now = fleet.now;
    let due: Vec<_> = fleet
        .backends
        .due
        .extract_if(.., |it| it.0 <= now)
        .collect();
    let all: Vec<_> = (0..fleet.hosts.len()).collect();
    for (_, id) in due {
        if fleet.backends.down_until.contains_key(&id) {
            continue;
        }
        fleet.backends.crashed_at.push(now);
        let until = now + kind.down_time;
        fleet.backends.down_until.insert(id.clone(), until);
        fleet.lose_calls(&id, &all, kind.noticed_after, kind.outcome);
    }
    let is_back = |_: &BackendId, until: &mut Instant| *until <= now;
    let back: Vec<_> = fleet.backends.down_until.extract_if(is_back).collect();
    for (id, _) in back {
        if kind.changes_id {
            let next = BackendId::from(format!("{id}'").as_str());
            fleet.replace_backend(&id, &next);
        } else {
            fleet.restart_backend(&id);
        }
    }
}

/// Sends the bad content to `at_once` random hosts each time `pause` has passed, and runs until
/// `end`.
fn repeat_bad_content(
    fleet: &mut Fleet<Backends>,
    kind: CrashKind,
    at_once: usize,
    pause: Duration,
    end: Duration,
) {
    let mut next = fleet.since_start() + Duration::from_secs(1);
    fleet.run_until(end, |fleet| {
        crash_and_restart(fleet, kind);
        if fleet.since_start() >= next {
            next += pause;
            for _ in 0..at_once {
                let n = fleet.rng.random_range(0..fleet.hosts.len());
                if fleet.hosts[n].is_up {
                    fleet.arrive_content(n, BAD);
                }
            }
        }
    });
}

const SEEDS: std::ops::Range<u64> = 1..5;
/// A seed for large fleets, which take long to simulate.
const ONE_SEED: std::ops::Range<u64> = 1..2;
/// Pause between two requests with the bad content, where callers repeat it.
const SHORT: Duration = Duration::from_millis(700);
/// The same where they come back later than hosts must refuse it.
const LONG: Duration = Duration::from_secs(4);
/// Time after which the simulation ends.
const END: Duration = Duration::from_secs(14);

macro_rules! contained {
    ($($name:ident: $seeds:expr, $hosts:expr, $kind:expr, $at_once:expr, $pause:expr, $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in $seeds {
                    let mut fleet = new_fleet($hosts, seed);
                    let change: fn(&mut Fleet<Backends>) = $change;
                    change(&mut fleet);
                    repeat_bad_content(&mut fleet, $kind, $at_once, $pause, END);
                    let backends = &fleet.backends;
                    assert!(backends.crashed_at.len() >= TOLERATED.0, "seed {seed}: few crashes");
                    assert!(
                        backends.late_calls() <= LATE_CALLS,
                        "seed {seed}: {} late calls, {} crashes",
                        backends.late_calls(),
                        backends.crashed_at.len(),
                    );
                }
            }
        )*
    };
}

// Guards against a content that goes on crashing backend servers after the third, because hosts
// that each saw some of the crashes don't add them up.
contained! {
    crashes_seen_by_one_host_at_a_time_are_added_up: SEEDS, 13, REFUSING, 1, SHORT, |_| {};
    crashes_seen_by_several_hosts_at_once_are_added_up: SEEDS, 13, REFUSING, 4, LONG, |_| {};
    crashes_are_added_up_while_reports_are_lost: SEEDS, 13, REFUSING, 4, LONG, |fleet| {
        fleet.report_loss = 0.3;
    };
    crashes_are_added_up_over_cells: ONE_SEED, 42, REFUSING, 4, LONG, |_| {};
    crashes_are_added_up_where_other_requests_are_lost_too: SEEDS, 2, REFUSING, 1, SHORT, |fleet| {
        fleet.rate = 220.0;
        fleet.backends.first_event = Duration::from_millis(400);
    };
    crashes_after_the_first_event_are_added_up: SEEDS, 13, REFUSING, 1, SHORT, |fleet| {
        fleet.backends.crashes_late = true;
    };
    crashes_of_backend_servers_that_come_back_under_other_ids_are_added_up: SEEDS, 13, REPLACED, 1, SHORT, |_| {};
    crashes_are_added_up_in_a_fleet_without_other_traffic: SEEDS, 13, GONE, 1, SHORT, |fleet| {
        fleet.rate = 0.0;
    };
    crashes_are_added_up_in_a_fleet_with_little_traffic: SEEDS, 13, REFUSING, 1, SHORT, |fleet| {
        fleet.rate = 5.0;
    };
    crashes_of_backend_servers_that_are_back_at_once_are_added_up: SEEDS, 13, BACK_AT_ONCE, 1, SHORT, |_| {};
}

/// Guards against a host that starts after the crashes and sends the content on once more.
#[test]
fn hosts_that_start_later_learn_of_earlier_crashes() {
    for seed in SEEDS {
        let mut fleet = new_fleet(13, seed);
        let pause = Duration::from_millis(700);
        repeat_bad_content(&mut fleet, REFUSING, 2, pause, Duration::from_secs(12));
        for n in 1..13 {
            fleet.start_host(n);
            let until = fleet.since_start() + Duration::from_millis(200);
            fleet.run_until(until, |fleet| crash_and_restart(fleet, REFUSING));
        }
        let until = fleet.since_start() + Duration::from_secs(10);
        repeat_bad_content(&mut fleet, REFUSING, 2, pause, until);
        assert!(fleet.backends.late_calls() <= LATE_CALLS, "seed {seed}");
    }
}

/// Guards against a harmless content that all hosts refuse for minutes, because one host was cut
/// off from the backend servers and took each lost call for a crash.
#[test]
fn a_cut_between_a_host_and_its_backend_servers_quarantines_nothing() {
    for seed in SEEDS {
        let mut fleet = new_fleet(13, seed);
        fleet.backends.first_event = Duration::from_millis(200);
        fleet.run_until(Duration::from_secs(1), |_| {});
        let mut lost = 0;
        let mut popular = Vec::new();
        fleet.run_until(Duration::from_secs(6), |fleet| {
            let is_third_step = fleet.since_start().as_millis().is_multiple_of(30);
            if is_third_step {
                popular.push(fleet.arrive_content(0, POPULAR));
            }
            let at = fleet.since_start();
            if at >= Duration::from_secs(2) && lost == 0 {
                lost = 1;
                let until = fleet.now + Duration::from_secs(2);
                fleet.backends.cut_off = Some((vec![0], until));
                for n in 0..BACKENDS {
                    let id = BackendId::from(format!("engine-{n}").as_str());
                    let after = Duration::from_millis(15);
                    fleet.lose_calls(&id, &[0], after, AttemptOutcome::Died);
                }
            }
        });
        let refused = |fleet: &mut Fleet<Backends>, n| {
            let number = fleet.arrive_content(n, POPULAR);
            let until = fleet.since_start() + Duration::from_millis(200);
            fleet.run_until(until, |_| {});
            fleet.refused.contains(&number)
        };
        for n in 1..13 {
            assert!(!refused(&mut fleet, n), "seed {seed}: host {n} refuses");
        }
    }
}

/// Guards against a crash that all hosts take for refuted, because a host that was suspended reads
/// an answer from before the crash after it has heard of the crash.
#[test]
fn an_answer_to_a_request_from_before_a_crash_does_not_refute_it() {
    let mut host = TestHost::with_backends();
    let (before, decision) = host.arrive("/ask/x", (100, 100));
    let id = decision.backend().to_owned();
    let crash = |age| Crash {
        run: BackendRun::of(&record(&id, ENGINES, 9)),
        end: RunEnd::Suspected,
        age,
        suspects: vec![BAD],
    };
    host.wait(Duration::from_secs(1));
    let mut whole = whole_report(2);
    whole.crashes = vec![crash(Duration::from_millis(400))];
    let mut fx = host.receive_report(report(1, whole));
    fx.extend(host.apply(Event::HeaderReceived {
        number: before,
        signals: BackendSignals::default(),
        backoff: None,
    }));
    host.wait(Duration::from_secs(1));
    fx.extend(host.tick());
    let reports = fx.iter().filter_map(|effect| match effect {
        Effect::SendReport { report, .. } => report.whole.as_ref(),
        _ => None,
    });
    let ends: Vec<_> = reports
        .flat_map(|it| &it.crashes)
        .map(|it| it.end)
        .collect();
    assert!(
        !ends.is_empty() && ends.iter().all(|it| *it == RunEnd::Suspected),
        "{ends:?}"
    );
}
