//! Backend servers that say in their answers that they leave, before the store knows it.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{ENGINES, TestHost, configuration, record};
use fleet::{Answer, Backends, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendRecord, BackendSignals, Event, SignalReport};
use rand_chacha::ChaCha8Rng;

const LEAVING: BackendSignals = BackendSignals {
    rate_limit: None,
    is_leaving: true,
};

/// A bed in which `engine-1` has answered one request and said that it leaves.
fn told_bed() -> TestHost {
    let mut bed = TestHost::usual();
    say_leaving(&mut bed, "engine-1");
    bed
}

fn say_leaving(bed: &mut TestHost, id: &str) {
    for _ in 0..100 {
        let (number, told) = bed.arrive("/ask/x", (600, 30));
        if told.backend() != id {
            bed.ended(number, AttemptOutcome::Complete);
            continue;
        }
        bed.apply(Event::HeaderReceived {
            number,
            signals: LEAVING,
            backoff: None,
        });
        bed.answered(number);
        bed.ended(number, AttemptOutcome::Complete);
        return;
    }
    panic!("`{id}` is never asked");
}

/// Where the next requests are sent.
fn places(bed: &mut TestHost) -> Vec<String> {
    let mut places = Vec::new();
    for _ in 0..6 {
        let (_, told) = bed.arrive("/ask/x", (600, 30));
        places.push(told.backend().to_owned());
    }
    places
}

fn other_run(id: &str) -> BackendRecord {
    let mut record = record(id, ENGINES, 9);
    record.started = 2;
    record
}

macro_rules! barred {
    ($($name:ident: $act:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut bed = told_bed();
                ($act)(&mut bed);
                assert!(!places(&mut bed).contains(&"engine-1".to_owned()));
            }
        )*
    };
}

// Guards against new work for a backend server that said it leaves, whatever the store says.
barred! {
    nothing_new_is_sent_after_the_word: |_: &mut TestHost| {};
    a_listing_that_calls_it_ready_changes_nothing: |bed: &mut TestHost| {
        bed.list(vec![record("engine-1", ENGINES, 9), record("engine-22", ENGINES, 9)]);
    };
    its_entry_stated_again_changes_nothing: |bed: &mut TestHost| bed.set_entry(record("engine-1", ENGINES, 9));
    an_entry_that_vanished_and_is_back_changes_nothing: |bed: &mut TestHost| {
        bed.remove_entry("engine-1");
        bed.tick();
        bed.set_entry(record("engine-1", ENGINES, 9));
    };
    time_changes_nothing: |bed: &mut TestHost| {
        for _ in 0..200 {
            bed.wait(Duration::from_secs(1));
            bed.prove();
            bed.tick();
        }
    };
    an_answer_without_the_word_changes_nothing: |bed: &mut TestHost| {
        let signals = BackendSignals::default();
        bed.apply(Event::HeaderReceived { number: 1, signals, backoff: None });
    };
}

/// Guards against a word that outlives its process: the same id may start again.
#[test]
fn the_next_process_with_its_id_is_used() {
    let mut bed = told_bed();
    bed.set_entry(other_run("engine-1"));
    assert!(places(&mut bed).contains(&"engine-1".to_owned()));
}

/// Guards against hosts that each have to send a request to hear of it.
#[test]
fn a_peer_that_was_told_is_enough() {
    let mut bed = TestHost::usual();
    let mut report = common::report(1, common::whole_report(2));
    report.signals.push(SignalReport {
        key: jaypin_router::backend_key("engine-1"),
        started: 1,
        signals: LEAVING,
        age: Duration::from_millis(5),
    });
    bed.receive_report(report);
    assert!(!places(&mut bed).contains(&"engine-1".to_owned()));
}

/// Guards against second looks that don't pass the place where the word is read.
#[test]
fn a_request_that_was_declined_is_not_sent_there() {
    let mut bed = told_bed();
    let (number, told) = bed.arrive("/ask/x", (600, 30));
    assert_eq!(told.backend(), "engine-22");
    let again = bed.ended(number, AttemptOutcome::NotRun);
    assert!(!matches!(again, common::Told::Sent(_)), "{again:?}");
}

/// Backend servers of which one leaves and says so from a time on.
struct Leaver {
    id: BackendId,
    from: Duration,
    start: Instant,
    told: BTreeMap<usize, Instant>,
    /// Longest time after which a request still came from a host that had been told.
    latest: Duration,
    /// Requests to it after the first word.
    after: u32,
}

impl Backends for Leaver {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        if call.backend != self.id {
            return Answer::good(BackendSignals::default(), rng);
        }
        if let Some(told) = self.told.get(&call.host) {
            self.latest = self.latest.max(call.at - *told);
        }
        self.after += u32::from(!self.told.is_empty());
        let is_leaving = call.at >= self.start + self.from;
        let signals = BackendSignals {
            is_leaving,
            ..BackendSignals::default()
        };
        Answer::good(signals, rng)
    }

    fn told(&mut self, host: usize, _: &BackendId, answer: &Answer, at: Instant) {
        if answer.signals.is_leaving {
            self.told.entry(host).or_insert(at);
        }
    }
}

/// Guards against a fleet in which each host goes on until it has heard the word itself.
#[test]
fn a_fleet_stops_within_a_moment_of_the_first_word() {
    for seed in 0..5 {
        let records = (0..12).map(|n| record(&format!("engine-{n}"), ENGINES, 10));
        let leaver = Leaver {
            id: "engine-3".into(),
            from: Duration::from_secs(2),
            start: Instant::now(),
            told: BTreeMap::new(),
            latest: Duration::ZERO,
            after: 0,
        };
        let mut fleet = Fleet::new(13, seed, configuration(1), records.collect(), leaver);
        fleet.backends.start = fleet.start;
        fleet.rate = 120.0;
        fleet.run_until(Duration::from_secs(8), |_| {});
        let seen = &fleet.backends;
        assert!(!seen.told.is_empty(), "seed {seed}");
        assert_eq!(seen.latest, Duration::ZERO, "seed {seed}");
        assert!(
            seen.after <= 3,
            "seed {seed}: {} after the word",
            seen.after
        );
    }
}
