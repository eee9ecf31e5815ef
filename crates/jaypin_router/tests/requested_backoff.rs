//! Backend servers that turn a host away and ask it to back off.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{ENGINES, PLAIN, TestHost, Told, configuration, record};
use fleet::{Answer, Backends, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendSignals, Event};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const BACKOFF: Duration = Duration::from_secs(3);

/// Sends requests until one reaches a backend server, which turns it away and requests backoff.
/// Gives what the request was told then.
fn turn_away(bed: &mut TestHost, path: &str, id: &str, backoff: Duration) -> Told {
    for _ in 0..100 {
        let (number, told) = bed.arrive(path, (600, 30));
        if told.backend() != id {
            bed.ended(number, AttemptOutcome::Complete);
            continue;
        }
        bed.apply(Event::HeaderReceived {
            number,
            signals: BackendSignals::default(),
            backoff: Some(backoff),
        });
        return bed.ended(number, AttemptOutcome::NotRun);
    }
    panic!("`{id}` is never asked");
}

/// Whether one of the next requests is sent to a backend server.
fn is_used(bed: &mut TestHost, path: &str, id: &str) -> bool {
    let told = (0..6).map(|_| bed.arrive(path, (600, 30)).1);
    let told: Vec<_> = told.collect();
    told.contains(&Told::Sent(id.into()))
}

fn wait(bed: &mut TestHost, time: Duration) {
    let end = bed.now + time;
    while bed.now < end {
        bed.wait(Duration::from_millis(100));
        bed.prove();
        bed.tick();
    }
}

macro_rules! kept {
    ($($name:ident: $act:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut bed = TestHost::usual();
                turn_away(&mut bed, "/ask/x", "engine-1", BACKOFF);
                ($act)(&mut bed);
                assert!(!is_used(&mut bed, "/ask/x", "engine-1"));
            }
        )*
    };
}

// Guards against requests to a backend server within the backoff that it requested of this host.
kept! {
    a_backoff_begins_at_once: |_: &mut TestHost| {};
    a_backoff_lasts_for_its_time: |bed: &mut TestHost| wait(bed, Duration::from_millis(2_900));
    a_backoff_outlasts_a_restated_entry: |bed: &mut TestHost| {
        wait(bed, Duration::from_secs(2));
        bed.set_entry(record("engine-1", ENGINES, 10));
    };
    a_backoff_outlasts_an_entry_that_vanished_and_is_back: |bed: &mut TestHost| {
        wait(bed, Duration::from_secs(2));
        bed.remove_entry("engine-1");
        bed.tick();
        bed.set_entry(record("engine-1", ENGINES, 9));
    };
}

/// Guards against two calls that were under way: the answer that comes last asks for less.
#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let mut bed = TestHost::usual();
    let all: Vec<_> = (0..10).map(|_| bed.arrive("/ask/x", (600, 30))).collect();
    let there = |told: &Told| *told == Told::Sent("engine-1".into());
    let calls: Vec<_> = all.iter().filter(|it| there(&it.1)).take(2).collect();
    assert_eq!(calls.len(), 2);
    for (call, backoff) in calls.iter().zip([BACKOFF, Duration::from_millis(100)]) {
        bed.apply(Event::HeaderReceived {
            number: call.0,
            signals: BackendSignals::default(),
            backoff: Some(backoff),
        });
    }
    for (number, _) in all {
        bed.ended(number, AttemptOutcome::Complete);
    }
    wait(&mut bed, Duration::from_secs(1));
    assert!(!is_used(&mut bed, "/ask/x", "engine-1"));
}

/// Guards against a backend server that is never used again.
#[test]
fn a_backend_server_is_used_again_after_its_rest() {
    let mut bed = TestHost::usual();
    turn_away(&mut bed, "/ask/x", "engine-1", BACKOFF);
    wait(&mut bed, BACKOFF + Duration::from_secs(2));
    assert!(is_used(&mut bed, "/ask/x", "engine-1"));
}

/// Guards against a backoff that outlives the process that asked for it.
#[test]
fn the_next_process_with_its_id_did_not_request_backoff() {
    let mut bed = TestHost::usual();
    turn_away(&mut bed, "/ask/x", "engine-1", BACKOFF);
    let mut next = record("engine-1", ENGINES, 9);
    next.started = 2;
    bed.set_entry(next);
    assert!(is_used(&mut bed, "/ask/x", "engine-1"));
}

/// Guards against callers that are told to come back while all backend servers want a pause.
#[test]
fn a_caller_is_told_to_come_back_after_the_first_backoff_ends() {
    let mut bed = TestHost::usual();
    turn_away(&mut bed, "/read/x", "plain-1", BACKOFF);
    turn_away(&mut bed, "/read/x", "plain-22", Duration::from_secs(2));
    let (number, told) = bed.arrive("/read/x", (0, 0));
    assert_eq!(told, Told::Waits);
    bed.wait(Duration::from_millis(100));
    let fx = bed.tick();
    let told = common::told(&fx, number);
    let back = told.refusal().retry_after.expect("a time");
    assert!(back >= Duration::from_millis(1_900), "{back:?}");
    assert!(back <= Duration::from_secs(3), "{back:?}");
    assert!(common::refusal_grounds(&fx).contains("2 requested backoff"));
}

/// Guards against a request that was chosen for a backend server, and is still connecting when
/// another answer requests backoff.
#[test]
fn a_request_that_is_not_sent_yet_goes_elsewhere() {
    let mut bed = TestHost::usual();
    let all: Vec<_> = (0..10).map(|_| bed.arrive("/command/x", (0, 0))).collect();
    let there = |it: &&(u64, Told)| it.1 == Told::Sent("plain-1".into());
    let calls: Vec<_> = all.iter().filter(there).collect();
    assert!(bed.router.still_accepts("plain-1", bed.now));
    bed.apply(Event::HeaderReceived {
        number: calls[0].0,
        signals: BackendSignals::default(),
        backoff: Some(BACKOFF),
    });
    assert!(!bed.router.still_accepts("plain-1", bed.now));
    for (number, _) in &calls[1..] {
        // No byte was sent, so also a command may go elsewhere.
        let told = bed.ended(*number, AttemptOutcome::Withheld);
        assert_eq!(told, Told::Sent("plain-22".into()));
    }
}

/// Backend servers that turn everything away for a while.
struct Shedding {
    start: Instant,
    /// Which of them shed, and when.
    shed: BTreeMap<BackendId, std::ops::Range<Duration>>,
    /// Rests that hosts were asked for: when and for how long.
    backoffs: BTreeMap<(usize, BackendId), Vec<(Instant, Duration)>>,
    /// Requests in each of them, from half a second after the answer on.
    counts: BTreeMap<(usize, BackendId, Instant), u32>,
}

impl Backends for Shedding {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        const REACTION: Duration = Duration::from_millis(500);
        let key = (call.host, call.backend.clone());
        for (at, backoff) in self.backoffs.get(&key).into_iter().flatten() {
            if call.at >= *at + REACTION && call.at < *at + *backoff {
                let key = (call.host, call.backend.clone(), *at);
                *self.counts.entry(key).or_default() += 1;
            }
        }
        let since = call.at - self.start;
        let shed = self.shed.get(&call.backend);
        if shed.is_some_and(|span| span.contains(&since)) {
            Answer::declined(Duration::from_millis(rng.random_range(1_000..4_000)))
        } else {
            Answer::good(BackendSignals::default(), rng)
        }
    }

    fn told(&mut self, host: usize, backend: &BackendId, answer: &Answer, at: Instant) {
        if let Some(backoff) = answer.backoff {
            let key = (host, backend.clone());
            self.backoffs.entry(key).or_default().push((at, backoff));
        }
    }
}

fn shedding(service: &str, count: usize, part: usize, seed: u64) -> Fleet<Shedding> {
    let records: Vec<_> = (0..count)
        .map(|n| record(&format!("backend-{n}"), service, 10))
        .collect();
    let span = Duration::from_secs(2)..Duration::from_secs(9);
    let shedding = records.iter().take(part);
    let backends = Shedding {
        start: Instant::now(),
        shed: shedding.map(|it| (it.id.clone(), span.clone())).collect(),
        backoffs: BTreeMap::new(),
        counts: BTreeMap::new(),
    };
    let mut fleet = Fleet::new(13, seed, configuration(1), records, backends);
    fleet.backends.start = fleet.start;
    fleet.rate = 120.0;
    fleet
}

macro_rules! fleets {
    ($($name:ident: $service:expr, $path:expr, $count:expr, $shed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 0..5 {
                    let mut fleet = shedding($service, $count, $shed, seed);
                    fleet.path = $path;
                    fleet.run_until(Duration::from_secs(14), |_| {});
                    let most = fleet.backends.counts.values().max();
                    assert_eq!(most, None, "seed {seed}");
                    assert!(!fleet.backends.backoffs.is_empty());
                }
            }
        )*
    };
}

// Guards against hosts that come back by their own measure of failures, sooner than asked.
fleets! {
    four_of_twelve_engines_get_their_backoff: ENGINES, "/ask/x", 12, 4;
    all_engines_get_their_backoff: ENGINES, "/ask/x", 12, 12;
    all_plain_backend_servers_get_their_backoff: PLAIN, "/read/x", 3, 3;
}
