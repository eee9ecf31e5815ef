//! No message of a peer, whatever its values, makes a host panic.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{RULES, ask, record, shard};
use jaypin_core::{
    Allowance, Ask, Config, Event, GrantNumber, HostList, HostRecord, InFlight, Member, Message,
    Presence, Reducer, SlotProgress,
};
use proptest::prelude::*;

fn durations() -> impl Strategy<Value = Duration> {
    prop_oneof![
        Just(Duration::ZERO),
        Just(Duration::MAX),
        any::<u32>().prop_map(|millis| Duration::from_millis(millis.into())),
    ]
}

fn floats() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(-1.0),
        Just(0.0),
        0.0..1e12
    ]
}

fn ids() -> impl Strategy<Value = Arc<str>> {
    (0..4_u8).prop_map(|index| format!("request-{index}").into())
}

fn grant_numbers() -> impl Strategy<Value = GrantNumber> {
    let small_or_any = || prop_oneof![0..6_u64, any::<u64>()];
    (small_or_any(), small_or_any()).prop_map(|(incarnation, sequence)| GrantNumber {
        incarnation,
        sequence,
    })
}

fn asks() -> impl Strategy<Value = Ask> {
    (
        ids(),
        any::<u8>(),
        any::<u32>(),
        any::<u32>(),
        durations(),
        durations(),
    )
        .prop_map(
            |(id, tier, prompt_tokens, max_tokens, first_token_due_in, response_due_in)| Ask {
                id,
                tier,
                prompt_tokens,
                max_tokens,
                first_token_due_in,
                response_due_in,
                prefixes: vec![u64::from(prompt_tokens % 3)],
                ..ask("", 0)
            },
        )
}

fn slot_progress() -> impl Strategy<Value = SlotProgress> {
    prop_oneof![
        Just(SlotProgress::Returned),
        Just(SlotProgress::NotReached),
        durations().prop_map(|after| SlotProgress::FirstToken { after }),
        (any::<u32>(), durations(), any::<bool>()).prop_map(|(tokens, after, lost)| {
            SlotProgress::Finished {
                tokens,
                after,
                lost,
            }
        }),
    ]
}

fn in_flight() -> impl Strategy<Value = InFlight> {
    (ids(), grant_numbers(), any::<u32>()).prop_map(|(id, number, tokens)| InFlight {
        id,
        number,
        backend: "engine-0".into(),
        account: "large".into(),
        tier: 9,
        prompt_tokens: tokens,
        max_tokens: tokens,
    })
}

fn messages() -> impl Strategy<Value = Message> {
    let account = "capped";
    prop_oneof![
        4 => asks().prop_map(Message::Ask),
        4 => (ids(), grant_numbers(), slot_progress()).prop_map(|(id, number, progress)| {
            Message::Progress { shard: shard(), id, number, progress }
        }),
        1 => (ids(), any::<u32>(), durations()).prop_map(|(id, attempt, expected_wait)| {
            Message::Queued { id, attempt, expected_wait }
        }),
        1 => (ids(), any::<u32>()).prop_map(|(id, attempt)| Message::NotLeader { id, attempt }),
        1 => ids().prop_map(|id| Message::Withdraw { shard: shard(), id }),
        1 => (ids(), grant_numbers())
            .prop_map(|(id, number)| Message::Confirm { shard: shard(), id, number }),
        2 => (floats(), any::<u32>()).prop_map(move |(tokens, at_once)| {
            Message::Usage { shard: shard(), account: account.into(), tokens, at_once }
        }),
        2 => (floats(), floats()).prop_map(move |(tokens_per_second, at_once)| {
            let allowance = Allowance { tokens_per_second, at_once };
            Message::Allow { shard: shard(), account: account.into(), allowance }
        }),
        2 => proptest::collection::vec(in_flight(), 0..4)
            .prop_map(|running| Message::InFlight { shard: shard(), running }),
        1 => proptest::collection::vec(any::<u64>(), 0..70).prop_map(Message::Buckets),
        1 => (any::<u64>(), proptest::collection::vec(any::<u8>(), 0..70)).prop_map(
            |(incarnation, complete_buckets)| Message::Members {
                entries: vec![("host-9".into(), Member::alive(incarnation))],
                complete_buckets,
            }
        ),
    ]
}

fn reducer(now: Instant) -> Reducer {
    let cfg = Config {
        host: "host-0".into(),
        ..Config::default()
    };
    let mut reducer = Reducer::new(cfg);
    let host = |index: usize| HostRecord {
        id: format!("host-{index}").into(),
        address: String::new(),
        link: String::new(),
        failure_domain: "domain-0".into(),
        presence: Presence::Live,
    };
    let list = HostList {
        version: 1,
        hosts: vec![host(0)],
        backends: vec![record(0, 4)],
    };
    reducer.apply(now, Event::Hosts(list));
    let rules = Arc::new(jaypin_rules::parse(RULES).expect("rules"));
    reducer.apply(now, Event::Rules { version: 1, rules });
    reducer
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// A peer of another build, or one with corrupted memory, sends invalid values: unbounded
    /// durations, NaN, grant numbers that were never issued. The host that receives them must go
    /// on serving, since a panic would end the process with all its streams.
    #[test]
    fn no_message_stops_a_host(
        steps in proptest::collection::vec((messages(), 0..2_000_u64), 1..40),
    ) {
        let mut now = Instant::now();
        let mut reducer = reducer(now);
        for (message, wait) in steps {
            now += Duration::from_millis(wait);
            reducer.apply(now, Event::Link { from: "host-1".into(), message });
            reducer.apply(now, Event::Tick);
        }
    }
}
