//! Decisions of a request's owner: the shard to ask first, the second shard to ask, and the
//! slots that it may use by itself under `policy: local`.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    Config, Effect, Event, HostId, HostList, HostRecord, Message, Policy, Presence, Reason,
    Reducer, Refusal, RequestInfo, Shard, Step,
};
use jaypin_rules::{Repeat, ServiceKind};

fn host(index: usize) -> HostRecord {
    HostRecord {
        id: format!("host-{index}").into(),
        address: "127.0.0.1:1".to_owned(),
        link: "127.0.0.1:2".to_owned(),
        failure_domain: "domain-0".into(),
        presence: Presence::Live,
    }
}

fn request(id: &str, prefix: u64) -> RequestInfo {
    RequestInfo {
        id: id.into(),
        account: "large".into(),
        service: "chat".into(),
        kind: ServiceKind::Engine,
        tier: 1,
        prompt_tokens: 100,
        max_tokens: 20,
        prefixes: vec![prefix],
        fingerprint: 0,
        repeat: Repeat::Idempotent,
        key: None,
        first_token_due_in: Duration::from_secs(2),
        response_due_in: Duration::from_secs(30),
        rule_lines: Vec::new(),
    }
}

/// The host under test, which owns requests.
struct Owner {
    reducer: Reducer,
    now: Instant,
    effects: Vec<Effect>,
}

impl Owner {
    fn new(index: usize, policy: Policy, engines: usize, slots: u32) -> Self {
        let cfg = Config {
            host: format!("host-{index}").into(),
            policy,
            seed: index as u64,
            shard_size: 4,
            ..Config::default()
        };
        let list = HostList {
            version: 1,
            hosts: (0..3).map(host).collect(),
            backends: (0..engines)
                .map(|engine| common::record(engine, slots))
                .collect(),
        };
        let rules = Arc::new(jaypin_rules::parse(common::RULES).expect("rules"));
        let mut owner = Self {
            reducer: Reducer::new(cfg),
            now: Instant::now(),
            effects: Vec::new(),
        };
        owner.apply(Event::Rules { version: 1, rules });
        owner.apply(Event::Hosts(list));
        owner.now += Duration::from_secs(1);
        owner.apply(Event::Tick);
        owner
    }

    fn apply(&mut self, event: Event) {
        self.effects.extend(self.reducer.apply(self.now, event));
    }

    /// Removes all effects and returns the shard and the leader of each ask among them.
    fn take_asks(&mut self) -> Vec<(Shard, HostId)> {
        let effects = std::mem::take(&mut self.effects);
        let steps = effects.into_iter().filter_map(|effect| match effect {
            Effect::Record(record) => Some(record.step),
            _ => None,
        });
        steps
            .filter_map(|step| match step {
                Step::Asked { shard, leader, .. } => Some((shard, leader)),
                _ => None,
            })
            .collect()
    }

    /// Applies the arrival of a request, and returns the shard and the leader of its ask.
    fn ask(&mut self, id: &str, prefix: u64) -> (Shard, HostId) {
        self.take_asks();
        self.apply(Event::Arrived(request(id, prefix)));
        self.take_asks().pop().expect("an ask")
    }

    /// Applies a refusal that the leader `from` sends.
    fn refuse(&mut self, from: &HostId, id: &str, attempt: u32, wait: Duration) {
        let message = Message::Refused {
            id: id.into(),
            attempt,
            refusal: Refusal::not_run(Reason::TooLate).retry_after(wait),
            expected_wait: wait,
        };
        let from = from.clone();
        self.apply(Event::Link { from, message });
    }
}

#[test]
fn hosts_agree_on_the_shard_of_a_prefix() {
    let mut a = Owner::new(0, Policy::Grants, 16, 8);
    let mut b = Owner::new(1, Policy::Grants, 16, 8);
    let shards = (0..40).map(|prefix| {
        let id = format!("r{prefix}");
        let shard = a.ask(&id, prefix).0;
        assert_eq!(shard, b.ask(&id, prefix).0);
        shard
    });
    let used: std::collections::BTreeSet<Shard> = shards.collect();
    assert_eq!(used.len(), 4, "40 prefixes spread over all shards");
}

/// One shard of a service is full. The owner must ask another one before it refuses the
/// request, since that may have free slots, but only one: when both are full, the request must
/// not go back and forth between them.
#[test]
fn a_refused_request_asks_one_other_shard() {
    let mut owner = Owner::new(0, Policy::Grants, 16, 8);
    // The test needs a shard that another host leads, since this host's own shards respond
    // within the same event.
    let own: HostId = "host-0".into();
    let (number, (first, leader)) = (0..100)
        .map(|number| (number, owner.ask(&format!("r{number}"), number)))
        .find(|(_, (_, leader))| *leader != own)
        .expect("a shard led elsewhere");
    let id = format!("r{number}");
    owner.refuse(&leader, &id, 1, Duration::from_secs(5));
    let (second, next_leader) = owner.take_asks().pop().expect("a second ask");
    assert_ne!(first, second);
    if next_leader != own {
        owner.refuse(&next_leader, &id, 2, Duration::from_secs(5));
        let effects = owner.effects.iter();
        let refused = effects.filter(|effect| matches!(effect, Effect::Refuse { .. }));
        assert_eq!(refused.count(), 1);
    }
    let (third, _) = owner.ask("another", number);
    assert_ne!(
        third, first,
        "the expected wait of the full shard is still taken into account"
    );
}

/// Three hosts split an engine's seven slots without coordination. With shares rounded up, they
/// would overload the engine together; with shares rounded down, a slot would never be used.
#[test]
fn local_shares_add_up_to_the_slots() {
    let dispatched: Vec<usize> = (0..3)
        .map(|index| {
            let mut owner = Owner::new(index, Policy::Local, 1, 7);
            for number in 0..8 {
                owner.apply(Event::Arrived(RequestInfo {
                    tier: 0,
                    ..request(&format!("r{number}"), number)
                }));
            }
            let sent = owner.effects.iter();
            sent.filter(|effect| matches!(effect, Effect::Dispatch { .. }))
                .count()
        })
        .collect();
    assert_eq!(dispatched.iter().sum::<usize>(), 7, "{dispatched:?}");
    assert!(dispatched.iter().all(|count| (2..=3).contains(count)));
}
