//! Backend servers that decline requests of a host and ask it to back off.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{Decision, ENGINES, PLAIN, TestHost, configuration, record};
use fleet::{Answer, BackendModel, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendSignals, Event};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const BACKOFF: Duration = Duration::from_secs(3);

/// Sends requests until one reaches the backend server `id`, which declines it and requests
/// backoff. Returns the decision about that request.
fn decline(host: &mut TestHost, path: &str, id: &str, backoff: Duration) -> Decision {
    for _ in 0..100 {
        let (number, decision) = host.arrive(path, (600, 30));
        if decision.backend() != id {
            host.ended(number, AttemptOutcome::Complete);
            continue;
        }
        host.apply(Event::HeaderReceived {
            number,
            signals: BackendSignals::default(),
            backoff: Some(backoff),
        });
        return host.ended(number, AttemptOutcome::NotRun);
    }
    panic!("`{id}` never gets a request");
}

/// Checks whether one of the next requests is sent to a backend server.
fn is_used(host: &mut TestHost, path: &str, id: &str) -> bool {
    let decisions = (0..6).map(|_| host.arrive(path, (600, 30)).1);
    let decisions: Vec<_> = decisions.collect();
    decisions.contains(&Decision::Sent(id.into()))
}

fn wait(host: &mut TestHost, time: Duration) {
    let end = host.now + time;
    while host.now < end {
        host.wait(Duration::from_millis(100));
        host.prove();
        host.tick();
    }
}

macro_rules! keeps_backoff {
    ($($name:ident: $act:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut host = TestHost::with_backends();
                decline(&mut host, "/ask/x", "engine-1", BACKOFF);
                ($act)(&mut host);
                assert!(!is_used(&mut host, "/ask/x", "engine-1"));
            }
        )*
    };
}

// Guards against requests to a backend server within the backoff that it requested of this host.
keeps_backoff! {
    a_backoff_begins_at_once: |_: &mut TestHost| {};
    a_backoff_lasts_for_its_time: |host: &mut TestHost| wait(host, Duration::from_millis(2_900));
    a_backoff_outlasts_a_restated_entry: |host: &mut TestHost| {
        wait(host, Duration::from_secs(2));
        host.set_entry(record("engine-1", ENGINES, 10));
    };
    a_backoff_outlasts_an_entry_that_is_removed_and_written_again: |host: &mut TestHost| {
        wait(host, Duration::from_secs(2));
        host.remove_entry("engine-1");
        host.tick();
        host.set_entry(record("engine-1", ENGINES, 9));
    };
}

/// Guards against a backoff that is cut short when two requests were in flight: the answer that
/// comes last requests a shorter backoff than the first.
#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let mut host = TestHost::with_backends();
    let requests: Vec<_> = (0..10).map(|_| host.arrive("/ask/x", (600, 30))).collect();
    let is_sent_there = |decision: &Decision| *decision == Decision::Sent("engine-1".into());
    let calls: Vec<_> = requests
        .iter()
        .filter(|it| is_sent_there(&it.1))
        .take(2)
        .collect();
    assert_eq!(calls.len(), 2);
    for (call, backoff) in calls.iter().zip([BACKOFF, Duration::from_millis(100)]) {
        host.apply(Event::HeaderReceived {
            number: call.0,
            signals: BackendSignals::default(),
            backoff: Some(backoff),
        });
    }
    for (number, _) in requests {
        host.ended(number, AttemptOutcome::Complete);
    }
    wait(&mut host, Duration::from_secs(1));
    assert!(!is_used(&mut host, "/ask/x", "engine-1"));
}

/// Guards against a backend server that is never used again after a backoff.
#[test]
fn a_backend_server_is_used_again_after_its_backoff() {
    let mut host = TestHost::with_backends();
    decline(&mut host, "/ask/x", "engine-1", BACKOFF);
    wait(&mut host, BACKOFF + Duration::from_secs(2));
    assert!(is_used(&mut host, "/ask/x", "engine-1"));
}

/// Guards against a backoff that outlives the process that requested it.
#[test]
fn the_next_process_with_its_id_did_not_request_backoff() {
    let mut host = TestHost::with_backends();
    decline(&mut host, "/ask/x", "engine-1", BACKOFF);
    let mut next = record("engine-1", ENGINES, 9);
    next.started = 2;
    host.set_entry(next);
    assert!(is_used(&mut host, "/ask/x", "engine-1"));
}

/// Guards against a `retry-after` that ends while all backend servers still want their backoff.
#[test]
fn retry_after_lasts_until_the_first_backoff_ends() {
    let mut host = TestHost::with_backends();
    decline(&mut host, "/read/x", "plain-1", BACKOFF);
    decline(&mut host, "/read/x", "plain-22", Duration::from_secs(2));
    let (number, decision) = host.arrive("/read/x", (0, 0));
    assert_eq!(decision, Decision::Queued);
    host.wait(Duration::from_millis(100));
    let fx = host.tick();
    let decision = common::decision_for(&fx, number);
    let retry_after = decision.refusal().retry_after.expect("a retry-after time");
    assert!(
        retry_after >= Duration::from_millis(1_900),
        "{retry_after:?}"
    );
    assert!(retry_after <= Duration::from_secs(3), "{retry_after:?}");
    assert!(common::refusal_inputs(&fx).contains("2 requested backoff"));
}

/// Guards against a request that is sent to a chosen backend server although, while it was still
/// connecting, another answer has requested backoff.
#[test]
fn a_request_that_is_not_sent_yet_goes_elsewhere() {
    let mut host = TestHost::with_backends();
    let requests: Vec<_> = (0..10).map(|_| host.arrive("/command/x", (0, 0))).collect();
    let is_sent_there = |it: &&(u64, Decision)| it.1 == Decision::Sent("plain-1".into());
    let calls: Vec<_> = requests.iter().filter(is_sent_there).collect();
    assert!(host.router.still_accepts("plain-1", host.now));
    host.apply(Event::HeaderReceived {
        number: calls[0].0,
        signals: BackendSignals::default(),
        backoff: Some(BACKOFF),
    });
    assert!(!host.router.still_accepts("plain-1", host.now));
    for (number, _) in &calls[1..] {
        // No byte was sent, so a request that must not be repeated may go elsewhere, too.
        let decision = host.ended(*number, AttemptOutcome::Withheld);
        assert_eq!(decision, Decision::Sent("plain-22".into()));
    }
}

/// Backend servers that decline all requests for a while.
struct SheddingBackends {
    start: Instant,
    /// The backend servers that shed load, and the time since the start in which each does.
    shed_spans: BTreeMap<BackendId, std::ops::Range<Duration>>,
    /// Backoffs requested of each host by each backend server: when it was received, and for how
    /// long.
    backoffs: BTreeMap<(usize, BackendId), Vec<(Instant, Duration)>>,
    /// Requests sent within each of these backoffs, counted from 500 ms after its receipt.
    requests_in_backoff: BTreeMap<(usize, BackendId, Instant), u32>,
}

impl BackendModel for SheddingBackends {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        const REACTION_TIME: Duration = Duration::from_millis(500);
        let key = (call.host, call.backend.clone());
        for (at, backoff) in self.backoffs.get(&key).into_iter().flatten() {
            if call.at >= *at + REACTION_TIME && call.at < *at + *backoff {
                let key = (call.host, call.backend.clone(), *at);
                *self.requests_in_backoff.entry(key).or_default() += 1;
            }
        }
        let since = call.at - self.start;
        let span = self.shed_spans.get(&call.backend);
        if span.is_some_and(|span| span.contains(&since)) {
            Answer::declined(Duration::from_millis(rng.random_range(1_000..4_000)))
        } else {
            Answer::good(BackendSignals::default(), rng)
        }
    }

    fn header_received(&mut self, host: usize, backend: &BackendId, answer: &Answer, at: Instant) {
        if let Some(backoff) = answer.backoff {
            let key = (host, backend.clone());
            self.backoffs.entry(key).or_default().push((at, backoff));
        }
    }
}

fn shedding_fleet(
    service: &str,
    count: usize,
    shed_count: usize,
    seed: u64,
) -> Fleet<SheddingBackends> {
    let records: Vec<_> = (0..count)
        .map(|n| record(&format!("backend-{n}"), service, 10))
        .collect();
    let span = Duration::from_secs(2)..Duration::from_secs(9);
    let shedding = records.iter().take(shed_count);
    let backends = SheddingBackends {
        start: Instant::now(),
        shed_spans: shedding.map(|it| (it.id.clone(), span.clone())).collect(),
        backoffs: BTreeMap::new(),
        requests_in_backoff: BTreeMap::new(),
    };
    let mut fleet = Fleet::new(13, seed, configuration(1), records, backends);
    fleet.backends.start = fleet.start;
    fleet.rate = 120.0;
    fleet
}

macro_rules! fleets_keep_backoff {
    ($($name:ident: $service:expr, $path:expr, $count:expr, $shed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 0..5 {
                    let mut fleet = shedding_fleet($service, $count, $shed, seed);
                    fleet.path = $path;
                    fleet.run_until(Duration::from_secs(14), |_| {});
                    let violations = fleet.backends.requests_in_backoff.values().max();
                    assert_eq!(violations, None, "seed {seed}");
                    assert!(!fleet.backends.backoffs.is_empty());
                }
            }
        )*
    };
}

// Guards against hosts that use a backend server again sooner than it asked for, because they go
// by their own measure of its failures.
fleets_keep_backoff! {
    four_of_twelve_engines_get_their_backoff: ENGINES, "/ask/x", 12, 4;
    all_engines_get_their_backoff: ENGINES, "/ask/x", 12, 12;
    all_plain_backend_servers_get_their_backoff: PLAIN, "/read/x", 3, 3;
}
