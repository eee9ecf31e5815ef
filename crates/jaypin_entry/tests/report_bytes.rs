//! Wire format of reports and snapshots: decoding returns what was encoded, and no input makes a
//! host panic.

use std::time::Duration;

use jaypin_entry::{
    ConfigurationSnapshot, Datagram, EntriesProof, EntryChanges, Object, WireError,
    decode_configuration, decode_datagram, decode_entries, decode_entry_changes, decode_report,
    encode_account_use, encode_configuration, encode_entries, encode_entry_changes, encode_report,
    encode_stream_message,
};
use jaypin_router::{
    AccountUse, ArrivalCount, BackendLoad, BackendRecord, BackendRun, BackendSamples,
    BackendSignals, BackendStatus, ClearedSuspect, Contact, Crash, EntryChange, HeldReport,
    OutcomeCounts, Rank, Report, RolloutOrder, RolloutReport, RolloutState, RouteOutcomes, RunEnd,
    SignalReport, StorePoint, StoreView, StreamAnswer, StreamKey, StreamMessage, StreamOrigin,
    StreamQuery, VersionOutcomes, VersionsSeen, WholeReport,
};
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Returns a report in which no field is empty.
fn full() -> Report {
    let record = BackendRecord {
        id: "engine-1".into(),
        started: 1_700_000_000_000,
        service: "engines".into(),
        address: "127.0.0.1:9000".to_owned(),
        failure_domain: "a".into(),
        slots: 9,
        status: BackendStatus::Leaving,
        version: "v1".into(),
    };
    Report {
        host: u32::MAX,
        run: u64::MAX,
        sequence: 7,
        is_ready: true,
        contact: Contact::CutOff,
        loads: vec![BackendLoad {
            key: u32::MAX,
            running: 3,
            unread_tokens: 6_610,
        }],
        samples: vec![BackendSamples {
            key: 5,
            tokens: 6_610.0,
            seconds: 0.108,
            hold_seconds: 1.25,
            events: 40.0,
            event_seconds: 0.95,
            good: 2,
            bad: 1,
        }],
        signals: vec![SignalReport {
            key: 7,
            started: 1_790_000_000_000,
            rejection_age: Some(Duration::from_millis(30)),
            signals: BackendSignals {
                rejection_limit: Some(6),
                rate_limit: Some(2.4),
                is_leaving: true,
            },
            age: Duration::from_millis(30),
        }],
        usage: vec![("farm".into(), 123_456.5)],
        changes: vec![
            EntryChange::Stated {
                record,
                point: StorePoint::new(3, 41),
            },
            EntryChange::Removed {
                id: "engine-2".into(),
                point: StorePoint::new(3, 42),
            },
        ],
        whole: Some(whole()),
        held: vec![HeldReport {
            key: u32::MAX,
            run: u32::MAX,
            prefix: u64::MAX,
            tokens: 6_610,
        }],
    }
}

fn whole() -> WholeReport {
    WholeReport {
        host: "host-1".into(),
        address: ([127, 0, 0, 1], 7_001).into(),
        callers: ([127, 0, 0, 1], 8_001).into(),
        failure_domain: "a".into(),
        cell: 3,
        sent_at: Duration::from_millis(90_001),
        store: StoreView {
            version: 12,
            proved_at: Some(Duration::from_secs(89)),
            entries_proved_at: Some(Duration::from_secs(88)),
            may_watch: true,
            is_watching: true,
            digest: u64::MAX - 1,
            era: Some(3),
        },
        low_levels: vec![("farm".into(), -55_000.25)],
        arrivals: vec![ArrivalCount {
            service: u32::MAX,
            rank: Rank {
                account: 1,
                route: u8::MAX,
            },
            requests: 88,
        }],
        crashes: vec![Crash {
            run: BackendRun {
                key: 7,
                started: 1_700_000_000_123,
            },
            end: RunEnd::Confirmed,
            age: Duration::from_millis(1_500),
            suspects: vec![99, u64::MAX],
        }],
        completed: vec![ClearedSuspect {
            suspect: 98,
            age: Duration::from_millis(20),
        }],
        rollouts: vec![rollout()],
        cell_callers: Some(vec![([127, 0, 0, 1], 8_002).into()]),
    }
}

fn rollout() -> RolloutReport {
    let counts = |good| OutcomeCounts {
        good,
        slow: 2,
        bad: 1,
    };
    let outcomes = RouteOutcomes {
        old: counts(300),
        new: counts(30),
    };
    RolloutReport {
        order: RolloutOrder {
            service: "engines".into(),
            to: "v2".into(),
            time_limit: Duration::from_secs(14),
            point: StorePoint::new(3, 77),
            state: RolloutState::Running,
        },
        age: Duration::from_millis(1_234),
        is_bad: true,
        is_end_lost: true,
        outcomes: VersionOutcomes::from_routes([(9, outcomes)]),
    }
}

macro_rules! cases {
    ($($name:ident: $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let change: fn(&mut Report) = $change;
            let mut report = full();
            change(&mut report);
            let bytes = encode_report(&report).expect("bytes");
            let decoded = decode_report(&bytes).expect("a report");
            assert_eq!(decoded, report);
        }
    )*};
}

cases! {
    whole_report_round_trips: |_| {};
    short_report_round_trips: |it| it.whole = None;
    report_without_a_configuration_round_trips: |it| {
        it.whole = Some(WholeReport { store: StoreView::default(), ..whole() });
    };
    report_within_a_cell_round_trips: |it| {
        it.whole = Some(WholeReport { cell_callers: None, ..whole() });
    };
}

/// Guards against hosts of two versions that can't read each other's reports while they are replaced:
/// the part that was added last is absent in those of the earlier version.
#[test]
fn a_report_without_the_proof_of_entries_can_be_read() {
    use ciborium::Value;
    let bytes = encode_report(&full()).expect("bytes");
    let mut value: Value = ciborium::from_reader(&bytes[..]).expect("a value");
    let parts = value.as_array_mut().expect("parts of the report");
    let whole = parts.get_mut(10).and_then(Value::as_array_mut);
    let removed = whole.expect("the whole part").pop();
    assert_eq!(removed, Some(Value::from(88_000)));
    let mut earlier = Vec::new();
    ciborium::into_writer(&value, &mut earlier).expect("bytes");
    println!("{} bytes of {}", bytes.len() - earlier.len(), bytes.len());
    let mut expected = full();
    expected
        .whole
        .as_mut()
        .expect("whole")
        .store
        .entries_proved_at = None;
    assert_eq!(decode_report(&earlier).expect("a report"), expected);
}

/// Guards against hosts of two versions that can't read each other's reports, and against bytes that
/// deployments without cached prefixes send for them. Reports of the earlier version have 11 parts.
#[test]
fn a_report_without_cached_prefixes_is_one_of_the_earlier_version() {
    use ciborium::Value;
    /// The parts that a host of the earlier version reads.
    type Parts = (
        u32,
        u64,
        u64,
        bool,
        bool,
        Value,
        Value,
        Value,
        Value,
        Value,
        Value,
    );
    let mut report = full();
    let with = encode_report(&report).expect("bytes");
    report.held.clear();
    let without = encode_report(&report).expect("bytes");
    println!("{} bytes for one prefix", with.len() - without.len());
    assert!(with.len() - without.len() <= 26);
    let mut value: Value = ciborium::from_reader(&with[..]).expect("a value");
    let parts = value.as_array_mut().expect("parts of the report");
    assert_eq!(parts.len(), 12);
    parts.pop();
    let mut earlier = Vec::new();
    ciborium::into_writer(&value, &mut earlier).expect("bytes");
    assert_eq!(earlier, without);
    assert_eq!(decode_report(&earlier).expect("a report"), report);
    let parts: Parts = ciborium::from_reader(&with[..]).expect("the earlier parts");
    assert_eq!(
        (parts.0, parts.1, parts.2),
        (report.host, report.run, report.sequence)
    );
}

/// Guards against a number that is not finite, or negative where it must not be. It would corrupt
/// every sum that it is added to: an account could use an unlimited quota, or none, on every host
/// that received it.
#[test]
fn invalid_numbers_are_rejected() {
    let corruptions: [fn(&mut Report); 6] = [
        |it| it.usage[0].1 = f64::NAN,
        |it| it.usage[0].1 = -1.0,
        |it| it.whole.as_mut().expect("whole").low_levels[0].1 = f64::NEG_INFINITY,
        |it| it.samples[0].seconds = f64::INFINITY,
        |it| it.samples[0].hold_seconds = -0.5,
        |it| it.samples[0].event_seconds = f64::NAN,
    ];
    for corrupt in corruptions {
        let mut report = full();
        corrupt(&mut report);
        let bytes = encode_report(&report).expect("bytes");
        let decoded = decode_report(&bytes);
        assert!(matches!(decoded, Err(WireError::Number)), "{decoded:?}");
    }
}

fn account_use() -> AccountUse {
    AccountUse {
        granted: vec![("farm".into(), 6_640.0), ("vet".into(), -658.0)],
        low_levels: vec![("farm".into(), -12.5)],
        is_forwarded: true,
    }
}

/// Guards against datagrams of one kind that are taken for the other.
#[test]
fn datagrams_round_trip() {
    let report = full();
    let bytes = encode_report(&report).expect("bytes");
    let decoded = decode_datagram(&bytes).expect("a datagram");
    assert_eq!(decoded, Datagram::Report(Box::new(report)));
    let bytes = encode_account_use(&account_use()).expect("bytes");
    let decoded = decode_datagram(&bytes).expect("a datagram");
    assert_eq!(decoded, Datagram::AccountUse(Box::new(account_use())));
    for message in stream_messages() {
        let bytes = encode_stream_message(&message).expect("bytes");
        println!("{} bytes: {message:?}", bytes.len());
        let decoded = decode_datagram(&bytes).expect("a datagram");
        assert_eq!(decoded, Datagram::Stream(message));
    }
    assert!(decode_datagram(b"nothing").is_err());
}

/// Returns a message of each kind, in which all numbers are large.
fn stream_messages() -> Vec<StreamMessage> {
    let stream = StreamKey {
        account: u64::MAX,
        attempt: u64::MAX - 1,
    };
    let origin = StreamOrigin {
        stream,
        version: u64::MAX - 2,
        lifetime: Duration::from_secs(30),
    };
    let query = StreamQuery {
        number: u64::MAX,
        stream,
        service: u32::MAX,
        window: Duration::from_secs(30),
    };
    let one = VersionsSeen::One {
        version: u64::MAX,
        is_complete: true,
    };
    let answers = [VersionsSeen::None, one, VersionsSeen::Several].map(|seen| {
        StreamMessage::Answer(StreamAnswer {
            number: u64::MAX,
            stream,
            version: Some(u64::MAX),
            seen,
        })
    });
    let mut messages = vec![StreamMessage::Began(origin), StreamMessage::Query(query)];
    messages.extend(answers);
    messages
}

/// Any process that reaches the port can send bytes. No input may end the process.
#[test]
fn corrupt_stream_messages_do_not_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(46);
    for message in stream_messages() {
        let bytes = encode_stream_message(&message).expect("bytes");
        for length in 0..bytes.len() {
            assert!(decode_datagram(&bytes[..length]).is_err(), "{length} bytes");
        }
        for _ in 0..2_000 {
            let mut corrupted = bytes.clone();
            let index = rng.random_range(0..corrupted.len());
            corrupted[index] = rng.random();
            // The result may be a message or an error; the call must not panic.
            let _ = decode_datagram(&corrupted);
        }
    }
}

/// Guards against a number that corrupts every sum that it is added to.
#[test]
fn use_that_is_not_finite_is_rejected() {
    for units in [f64::NAN, f64::INFINITY] {
        let mut account_use = account_use();
        account_use.granted[0].1 = units;
        let bytes = encode_account_use(&account_use).expect("bytes");
        let decoded = decode_datagram(&bytes);
        assert!(matches!(decoded, Err(WireError::Number)), "{decoded:?}");
    }
}

#[test]
fn changes_of_entries_round_trip() {
    let changes = EntryChanges {
        point: StorePoint::new(2, 900),
        is_whole: false,
        changes: full().changes,
    };
    let bytes = encode_entry_changes(&changes).expect("bytes");
    assert_eq!(decode_entry_changes(&bytes).expect("changes"), changes);
}

/// Datagrams may be truncated, and any process that reaches the port can send bytes. No input may
/// end the process.
#[test]
fn corrupt_reports_do_not_panic() {
    let bytes = encode_report(&full()).expect("bytes");
    for length in 0..bytes.len() {
        assert!(decode_report(&bytes[..length]).is_err(), "{length} bytes");
    }
    let mut rng = ChaCha8Rng::seed_from_u64(41);
    for _ in 0..20_000 {
        let mut corrupted = bytes.clone();
        for _ in 0..rng.random_range(1..6) {
            let index = rng.random_range(0..corrupted.len());
            corrupted[index] = rng.random();
        }
        // The result may be a report or an error; the call must not panic.
        let _ = decode_report(&corrupted);
    }
}

/// A configuration from a peer is used in place of the store's, so nothing may get lost.
#[test]
fn configuration_snapshot_round_trips() {
    let content = serde_json::json!({
        "version": u64::MAX, "rate": 12.5, "none": null, "routes": [{ "name": "ask" }, -3],
    });
    let object = Object {
        status: serde_json::Value::Null,
        name: "main".to_owned(),
        point: StorePoint::new(3, 77),
        content,
    };
    let snapshot = ConfigurationSnapshot {
        version: u64::MAX,
        proof_age: None,
        object: Some(object),
        entries: Some(EntriesProof {
            digest: u64::MAX,
            age: Duration::from_millis(1_200),
        }),
    };
    let bytes = encode_configuration(&snapshot).expect("bytes");
    let decoded = decode_configuration(&bytes).expect("a configuration");
    let rounded_up = Some(EntriesProof {
        digest: u64::MAX,
        age: Duration::from_millis(1_201),
    });
    let expected = ConfigurationSnapshot {
        entries: rounded_up,
        ..snapshot
    };
    assert_eq!(decoded, expected);
}

/// Guards against hosts of two versions that can't read each other's configurations.
#[test]
fn a_configuration_without_a_proof_of_entries_can_be_read() {
    let earlier = (3_u64, Some(10_u64), None::<u64>);
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier, &mut bytes).expect("bytes");
    let decoded = decode_configuration(&bytes).expect("a configuration");
    assert_eq!((decoded.version, decoded.entries), (3, None));
}

/// Guards against a proof that becomes younger in transit: a withdrawn credential would be
/// accepted for longer.
#[test]
fn proof_age_does_not_shrink_in_transit() {
    for micros in [0, 1, 999, 1_000, 1_001, 3_999_999] {
        let age = Duration::from_micros(micros);
        let snapshot = ConfigurationSnapshot {
            version: 3,
            proof_age: Some(age),
            object: None,
            entries: None,
        };
        let bytes = encode_configuration(&snapshot).expect("bytes");
        let decoded = decode_configuration(&bytes).expect("a configuration");
        let decoded = decoded.proof_age.expect("an age");
        assert!(decoded >= age && decoded <= age + Duration::from_millis(1));
    }
}

#[test]
fn entries_round_trip() {
    let entries = full().changes;
    let bytes = encode_entries(&entries).expect("bytes");
    assert_eq!(decode_entries(&bytes).expect("entries"), entries);
}

/// A response may be truncated, or come from another service that listens at the address.
#[test]
fn corrupt_snapshots_do_not_panic() {
    let bytes = encode_entries(&full().changes).expect("bytes");
    for length in 0..bytes.len() {
        assert!(decode_entries(&bytes[..length]).is_err(), "{length} bytes");
        // Decoded as another type, the result does not matter; the call must not panic.
        let _ = decode_configuration(&bytes[..length]);
    }
}
