//! "Not run" is said of a key only once its owner knows that it did not run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    BackendRecord, Config, Effect, Event, HostList, HostRecord, IdempotencyKey, Message, Presence,
    Ran, Reason, Reducer, Refusal, RequestInfo,
};
use jaypin_rules::{Repeat, ServiceKind};

const RULES: &str = "\
- {tier: command, rank: 0, first-token-ms: 1000, gap-ms: 66, whole-ms: 5000}  # asked by: a
- {service: robots, kind: plain, tier: command}  # asked by: a
- {account: farm}  # asked by: a
";
const INCARNATION: u64 = 7;

/// One host that owns its keys, with a backend server; no peer is needed.
struct Bed {
    now: Instant,
    reducer: Reducer,
    count: usize,
}

impl Bed {
    fn new() -> Self {
        let cfg = Config {
            host: "host-0".into(),
            incarnation: INCARNATION,
            ..Config::default()
        };
        let mut bed = Self {
            now: Instant::now(),
            reducer: Reducer::new(cfg),
            count: 0,
        };
        let rules = Arc::new(jaypin_rules::parse(RULES).expect("rules"));
        bed.event(Event::Rules { version: 1, rules });
        bed
    }

    /// The host list, and time enough to know that there are no peers.
    fn ready(mut self) -> Self {
        let host = HostRecord {
            id: "host-0".into(),
            address: String::new(),
            link: "127.0.0.1:1".to_owned(),
            failure_domain: "domain".into(),
            presence: Presence::Live,
        };
        let backend = BackendRecord {
            id: "app-0".into(),
            address: "127.0.0.1:2".to_owned(),
            service: "robots".into(),
            failure_domain: "domain".into(),
            presence: Presence::Live,
            slots: 4,
        };
        self.event(Event::Hosts(HostList {
            version: 1,
            hosts: vec![host],
            backends: vec![backend],
        }));
        for _ in 0..200 {
            self.pass(20);
        }
        self
    }

    fn event(&mut self, event: Event) -> Vec<Effect> {
        self.reducer.apply(self.now, event)
    }

    fn pass(&mut self, millis: u64) -> Vec<Effect> {
        self.now += Duration::from_millis(millis);
        self.event(Event::Tick)
    }

    fn arrive(&mut self, repeat: Repeat) -> Vec<Effect> {
        self.arrive_with(repeat, &IdempotencyKey::prefix("host-0", INCARNATION, 0))
    }

    fn arrive_with(&mut self, repeat: Repeat, prefix: &str) -> Vec<Effect> {
        self.count += 1;
        let info = RequestInfo {
            id: format!("host-0-{INCARNATION}-{}", self.count).into(),
            account: "farm".into(),
            service: "robots".into(),
            kind: ServiceKind::Plain,
            tier: 0,
            prompt_tokens: 1,
            max_tokens: 1,
            prefixes: Vec::new(),
            fingerprint: 5,
            repeat,
            key: Some(format!("{prefix}gate")),
            first_token_due_in: Duration::from_secs(1),
            response_due_in: Duration::from_secs(5),
            rule_lines: Vec::new(),
        };
        self.event(Event::Arrived(info))
    }
}

fn refusal(fx: &[Effect]) -> Option<(Reason, Ran)> {
    fx.iter().find_map(|effect| match effect {
        Effect::Refuse {
            refusal: Refusal { reason, ran, .. },
            ..
        } => Some((*reason, *ran)),
        _ => None,
    })
}

fn is_dispatched(fx: &[Effect]) -> bool {
    fx.iter()
        .any(|effect| matches!(effect, Effect::Dispatch { .. }))
}

/// A farmer opens a gate; the call runs. The program repeats it at a host that is
/// leaving. That host takes no new work, but "not run" would be a lie: the gate opens.
#[test]
fn a_second_try_at_a_leaving_host_is_not_called_not_run() {
    let mut bed = Bed::new().ready();
    assert!(is_dispatched(&bed.arrive(Repeat::Never)));
    bed.event(Event::Drain);
    let fx = bed.arrive(Repeat::Never);
    assert!(!is_dispatched(&fx));
    assert_eq!(refusal(&fx), Some((Reason::InFlight, Ran::Unknown)));
}

#[test]
fn a_first_try_at_a_leaving_host_was_not_run_and_its_key_stays_free() {
    let mut bed = Bed::new().ready();
    bed.event(Event::Drain);
    for _ in 0..2 {
        let fx = bed.arrive(Repeat::Never);
        assert!(!is_dispatched(&fx));
        assert_eq!(refusal(&fx), Some((Reason::Draining, Ran::NotRun)));
    }
}

/// A host has just started and knows no peer. The call that reaches it may be the second
/// try of one that ran; whom to ask is not known yet.
#[test]
fn a_host_that_is_not_ready_says_unknown_of_a_key() {
    let mut bed = Bed::new();
    let fx = bed.arrive(Repeat::Never);
    assert_eq!(refusal(&fx), Some((Reason::NotReady, Ran::Unknown)));
    let fx = bed.arrive(Repeat::Idempotent);
    assert_eq!(refusal(&fx), Some((Reason::NotReady, Ran::NotRun)));
}

#[test]
fn no_message_is_needed_from_others_for_an_own_key() {
    let mut bed = Bed::new().ready();
    let fx = bed.arrive(Repeat::Never);
    let claims = fx.iter().filter(|effect| {
        matches!(
            effect,
            Effect::Send {
                message: Message::Claim { .. },
                ..
            }
        )
    });
    assert_eq!(claims.count(), 0);
    assert!(is_dispatched(&fx));
}

/// A gate call runs and its service goes down under it, again and again, until the call
/// is quarantined. The program repeats the key. The call was run, so "not run" would be a
/// lie, and the quarantine must not answer before the key's owner did.
#[test]
fn a_quarantined_second_try_is_not_called_not_run() {
    let mut bed = Bed::new().ready();
    assert!(is_dispatched(&bed.arrive(Repeat::Never)));
    let strike = Message::CrashCount {
        fingerprint: 5,
        crash_count: 2,
    };
    bed.event(Event::Link {
        from: "host-1".into(),
        message: strike,
    });
    let fx = bed.arrive(Repeat::Never);
    assert_eq!(refusal(&fx), Some((Reason::InFlight, Ran::Unknown)));
    let fx = bed.arrive(Repeat::Idempotent);
    assert_eq!(refusal(&fx), Some((Reason::Quarantined, Ran::NotRun)));
}

/// An operator drains a host. The owner of a key that it ran is frozen and confirms
/// nothing, and callers go on sending keys of it. The host must leave all the same; it
/// stayed for as long as calls came.
#[test]
fn a_frozen_key_owner_does_not_keep_a_leaving_host() {
    let mut bed = Bed::new().ready();
    bed.event(Event::Drain);
    let mut left = false;
    for step in 0..600 {
        if step % 10 == 0 {
            bed.arrive_with(Repeat::Never, &IdempotencyKey::prefix("host-9", 3, 0));
        }
        let fx = bed.pass(20);
        left |= fx.iter().any(|effect| matches!(effect, Effect::Exit));
    }
    assert!(left, "12 s after the drain began");
}
