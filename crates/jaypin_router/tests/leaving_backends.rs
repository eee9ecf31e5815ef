//! Backend servers whose answers state that they are leaving, before the store has recorded it.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{ENGINES, TestHost, configuration, record};
use fleet::{Answer, BackendModel, Call, Fleet};
use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendRecord, BackendSignals, Event, SignalReport};
use rand_chacha::ChaCha8Rng;

const LEAVING: BackendSignals = BackendSignals {
    rejection_limit: None,
    rate_limit: None,
    is_leaving: true,
};

/// Returns a host to which `engine-1` has stated, in an answer, that it is leaving.
fn host_with_leaving_engine() -> TestHost {
    let mut host = TestHost::with_backends();
    receive_leaving_signal(&mut host, "engine-1");
    host
}

fn receive_leaving_signal(host: &mut TestHost, id: &str) {
    for _ in 0..100 {
        let (number, decision) = host.arrive("/ask/x", (600, 30));
        if decision.backend() != id {
            host.ended(number, AttemptOutcome::Complete);
            continue;
        }
        host.apply(Event::HeaderReceived {
            number,
            signals: LEAVING,
            backoff: None,
        });
        host.answered(number);
        host.ended(number, AttemptOutcome::Complete);
        return;
    }
    panic!("`{id}` never gets a request");
}

/// Returns the backend servers to which the next requests are sent.
fn chosen_backends(host: &mut TestHost) -> Vec<String> {
    let mut chosen = Vec::new();
    for _ in 0..6 {
        let (_, decision) = host.arrive("/ask/x", (600, 30));
        chosen.push(decision.backend().to_owned());
    }
    chosen
}

fn restarted_record(id: &str) -> BackendRecord {
    let mut record = record(id, ENGINES, 9);
    record.started = 2;
    record
}

macro_rules! stays_excluded {
    ($($name:ident: $act:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut host = host_with_leaving_engine();
                ($act)(&mut host);
                assert!(!chosen_backends(&mut host).contains(&"engine-1".to_owned()));
            }
        )*
    };
}

// Guards against new requests to a backend server that has stated that it is leaving, whatever
// the store says about it.
stays_excluded! {
    nothing_new_is_sent_after_the_leaving_signal: |_: &mut TestHost| {};
    a_listing_that_shows_it_ready_changes_nothing: |host: &mut TestHost| {
        host.list_entries(vec![record("engine-1", ENGINES, 9), record("engine-22", ENGINES, 9)]);
    };
    its_entry_stated_again_changes_nothing: |host: &mut TestHost| host.set_entry(record("engine-1", ENGINES, 9));
    an_entry_that_is_removed_and_written_again_changes_nothing: |host: &mut TestHost| {
        host.remove_entry("engine-1");
        host.tick();
        host.set_entry(record("engine-1", ENGINES, 9));
    };
    time_changes_nothing: |host: &mut TestHost| {
        for _ in 0..200 {
            host.wait(Duration::from_secs(1));
            host.prove();
            host.tick();
        }
    };
    an_answer_without_the_leaving_signal_changes_nothing: |host: &mut TestHost| {
        let signals = BackendSignals::default();
        host.apply(Event::HeaderReceived { number: 1, signals, backoff: None });
    };
}

/// Guards against a leaving signal that outlives its process: a new process may start under the
/// same id.
#[test]
fn the_next_process_with_its_id_is_used() {
    let mut host = host_with_leaving_engine();
    host.set_entry(restarted_record("engine-1"));
    assert!(chosen_backends(&mut host).contains(&"engine-1".to_owned()));
}

/// Guards against a signal that stays local: each host would have to send a request to the
/// leaving backend server before it learns that it is leaving.
#[test]
fn a_peer_s_report_of_the_signal_is_enough() {
    let mut host = TestHost::with_backends();
    let mut report = common::report(1, common::whole_report(2));
    report.signals.push(SignalReport {
        key: jaypin_router::backend_key("engine-1"),
        started: 1,
        signals: LEAVING,
        age: Duration::from_millis(5),
        rejection_age: None,
    });
    host.receive_report(report);
    assert!(!chosen_backends(&mut host).contains(&"engine-1".to_owned()));
}

/// Guards against a retry that ignores the leaving signal: a request that one backend server
/// declined must not go to the one that is leaving.
#[test]
fn a_request_that_was_declined_is_not_sent_there() {
    let mut host = host_with_leaving_engine();
    let (number, decision) = host.arrive("/ask/x", (600, 30));
    assert_eq!(decision.backend(), "engine-22");
    let retry = host.ended(number, AttemptOutcome::NotRun);
    assert!(!matches!(retry, common::Decision::Sent(_)), "{retry:?}");
}

/// Backend servers of which one is leaving, and says so in its answers, from some time on.
struct LeavingBackend {
    id: BackendId,
    /// Time since the start at which it begins to leave.
    leaves_after: Duration,
    start: Instant,
    /// When each host received the signal.
    signal_received_at: BTreeMap<usize, Instant>,
    /// Longest time between the signal's arrival at a host and a later request from that host.
    latest_after_signal: Duration,
    /// Number of requests to the leaving backend server after any host has received its signal.
    requests_after_signal: u32,
}

impl BackendModel for LeavingBackend {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        if call.backend != self.id {
            return Answer::good(BackendSignals::default(), rng);
        }
        if let Some(received_at) = self.signal_received_at.get(&call.host) {
            self.latest_after_signal = self.latest_after_signal.max(call.at - *received_at);
        }
        self.requests_after_signal += u32::from(!self.signal_received_at.is_empty());
        let is_leaving = call.at >= self.start + self.leaves_after;
        let signals = BackendSignals {
            is_leaving,
            ..BackendSignals::default()
        };
        Answer::good(signals, rng)
    }

    fn header_received(&mut self, host: usize, _: &BackendId, answer: &Answer, at: Instant) {
        if answer.signals.is_leaving {
            self.signal_received_at.entry(host).or_insert(at);
        }
    }
}

/// Guards against a fleet in which each host goes on sending until it has received the leaving
/// signal itself.
#[test]
fn a_fleet_stops_soon_after_the_first_leaving_signal() {
    for seed in 0..5 {
        let records = (0..12).map(|n| record(&format!("engine-{n}"), ENGINES, 10));
        let backends = LeavingBackend {
            id: "engine-3".into(),
            leaves_after: Duration::from_secs(2),
            start: Instant::now(),
            signal_received_at: BTreeMap::new(),
            latest_after_signal: Duration::ZERO,
            requests_after_signal: 0,
        };
        let mut fleet = Fleet::new(13, seed, configuration(1), records.collect(), backends);
        fleet.backends.start = fleet.start;
        fleet.rate = 120.0;
        fleet.run_until(Duration::from_secs(8), |_| {});
        let backends = &fleet.backends;
        assert!(!backends.signal_received_at.is_empty(), "seed {seed}");
        assert_eq!(backends.latest_after_signal, Duration::ZERO, "seed {seed}");
        assert!(
            backends.requests_after_signal <= 3,
            "seed {seed}: {} requests after the signal",
            backends.requests_after_signal
        );
    }
}
