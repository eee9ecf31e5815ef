//! A host that was paused doesn't use grants that were sent before the pause ended.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    Ask, BackendRecord, Config, Effect, Event, Grant, GrantNumber, HostId, HostList, HostRecord,
    Message, Presence, Reducer, RequestInfo, SlotProgress,
};
use jaypin_rules::{Repeat, ServiceKind, parse};

const RULES: &str = "\
- {tier: summary, rank: 0, first-token-ms: 60000, gap-ms: 66, whole-ms: 600000, weight: 8}  # asked by: a
- {service: chat, kind: engine, models: [m], tier: summary}  # asked by: b
- {account: farm, share: 1}  # asked by: c
";

fn host_id(index: usize) -> HostId {
    format!("host-{index}").into()
}

fn start_host(index: usize, now: Instant) -> Reducer {
    let mut reducer = Reducer::new(Config {
        host: host_id(index),
        pause_limit: Duration::from_secs(1),
        ..Config::default()
    });
    let host = |index| HostRecord {
        id: host_id(index),
        address: "10.0.0.1:1".to_owned(),
        link: "10.0.0.1:2".to_owned(),
        failure_domain: "domain-0".into(),
        presence: Presence::Live,
    };
    let list = HostList {
        version: 1,
        hosts: (0..2).map(host).collect(),
        backends: vec![BackendRecord {
            id: "engine-0".into(),
            address: "10.0.1.1:1".to_owned(),
            service: "chat".into(),
            failure_domain: "domain-0".into(),
            presence: Presence::Live,
            slots: 4,
        }],
    };
    let rules = Arc::new(parse(RULES).expect("rules"));
    reducer.apply(now, Event::Rules { version: 1, rules });
    reducer.apply(now, Event::Hosts(list));
    reducer
}

fn request() -> RequestInfo {
    RequestInfo {
        id: "request-1".into(),
        account: "farm".into(),
        service: "chat".into(),
        kind: ServiceKind::Engine,
        tier: 0,
        prompt_tokens: 10,
        max_tokens: 10,
        prefixes: Vec::new(),
        fingerprint: 1,
        repeat: Repeat::Idempotent,
        key: None,
        first_token_due_in: Duration::from_mins(1),
        response_due_in: Duration::from_mins(10),
        rule_lines: Vec::new(),
    }
}

/// Returns the ask that a host sent to the shard's leader and that leader, or `None` if the
/// host leads the shard itself.
fn sent_ask(effects: &[Effect]) -> Option<(HostId, Ask)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Send {
            to,
            message: Message::Ask(ask),
        } => Some((to.clone(), ask.clone())),
        _ => None,
    })
}

fn grant(ask: &Ask) -> Grant {
    Grant {
        shard: ask.shard.clone(),
        id: ask.id.clone(),
        attempt: ask.attempt,
        number: GrantNumber {
            incarnation: 1,
            sequence: 1,
        },
        backend: "engine-0".into(),
        candidates: Vec::new(),
        expected_wait: Duration::ZERO,
    }
}

fn dispatches(effects: &[Effect]) -> bool {
    let is_dispatch = |effect: &Effect| matches!(effect, Effect::Dispatch { .. });
    effects.iter().any(is_dispatch)
}

fn returns_slot(effects: &[Effect]) -> bool {
    let is_return = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send {
                message: Message::Progress {
                    progress: SlotProgress::Returned,
                    ..
                },
                ..
            }
        )
    };
    effects.iter().any(is_return)
}

/// A host is paused for 30 s while its request waits, and a grant arrives in its socket. The
/// shard scheduler meanwhile grants the slot to another request, so using the old grant would
/// overload the engine. The host must return the grant, ask again and still dispatch the
/// request.
#[test]
fn a_grant_buffered_during_a_pause_is_returned() {
    let now = Instant::now();
    let follower = (0..2).find_map(|index| {
        let mut host = start_host(index, now);
        let effects = host.apply(now, Event::Arrived(request()));
        sent_ask(&effects).map(|(leader, ask)| (host, leader, ask))
    });
    let (mut host, leader, ask) = follower.expect("one of two hosts does not lead");
    let resumed_at = now + Duration::from_secs(30);
    let message = Message::Grant(grant(&ask));
    let from = leader.clone();
    let effects = host.apply(resumed_at, Event::Link { from, message });
    assert!(
        !dispatches(&effects) && returns_slot(&effects),
        "{effects:#?}"
    );
    let (_, second_ask) = sent_ask(&effects).expect("a new ask");
    assert!(second_ask.attempt > ask.attempt);
    let message = Message::Grant(grant(&second_ask));
    let from = leader;
    assert!(dispatches(
        &host.apply(resumed_at, Event::Link { from, message })
    ));
}
