//! A refusal reports a keyed call as "not run" only if the key's owner knows that the call
//! didn't run.

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

/// A fleet of one host, which owns the keys that it issues, and one backend server.
struct TestHost {
    now: Instant,
    reducer: Reducer,
    count: usize,
}

impl TestHost {
    fn new() -> Self {
        let cfg = Config {
            host: "host-0".into(),
            incarnation: INCARNATION,
            ..Config::default()
        };
        let mut host = Self {
            now: Instant::now(),
            reducer: Reducer::new(cfg),
            count: 0,
        };
        let rules = Arc::new(jaypin_rules::parse(RULES).expect("rules"));
        host.event(Event::Rules { version: 1, rules });
        host
    }

    /// Applies the host list, then advances the clock by 4 s, after which the host knows that it
    /// has no peers.
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
            self.advance(20);
        }
        self
    }

    fn event(&mut self, event: Event) -> Vec<Effect> {
        self.reducer.apply(self.now, event)
    }

    fn advance(&mut self, millis: u64) -> Vec<Effect> {
        self.now += Duration::from_millis(millis);
        self.event(Event::Tick)
    }

    /// Sends a request with a key that this host issued.
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

/// A call that opens a gate runs, and the caller repeats its key while the host is leaving.
/// The host accepts no new work, but reporting "not run" would be wrong: the first call opens
/// the gate.
#[test]
fn a_repeated_key_at_a_leaving_host_is_not_reported_as_not_run() {
    let mut host = TestHost::new().ready();
    assert!(is_dispatched(&host.arrive(Repeat::Never)));
    host.event(Event::Drain);
    let fx = host.arrive(Repeat::Never);
    assert!(!is_dispatched(&fx));
    assert_eq!(refusal(&fx), Some((Reason::InFlight, Ran::Unknown)));
}

#[test]
fn a_new_key_at_a_leaving_host_is_not_run_and_stays_unclaimed() {
    let mut host = TestHost::new().ready();
    host.event(Event::Drain);
    for _ in 0..2 {
        let fx = host.arrive(Repeat::Never);
        assert!(!is_dispatched(&fx));
        assert_eq!(refusal(&fx), Some((Reason::Draining, Ran::NotRun)));
    }
}

/// A host that has just started doesn't know its peers. A call that reaches it may repeat one
/// that ran, and the host doesn't know yet which host to ask.
#[test]
fn a_host_that_is_not_ready_reports_unknown_for_a_key() {
    let mut host = TestHost::new();
    let fx = host.arrive(Repeat::Never);
    assert_eq!(refusal(&fx), Some((Reason::NotReady, Ran::Unknown)));
    let fx = host.arrive(Repeat::Idempotent);
    assert_eq!(refusal(&fx), Some((Reason::NotReady, Ran::NotRun)));
}

#[test]
fn a_key_of_the_host_itself_is_claimed_without_a_message() {
    let mut host = TestHost::new().ready();
    let fx = host.arrive(Repeat::Never);
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

/// A call that opens a gate runs, and backend servers crash under it until its content is
/// quarantined. Then the caller repeats the key. The call ran, so reporting "not run" would be
/// wrong: the key's owner must decide before the quarantine does.
#[test]
fn a_repeated_key_of_quarantined_content_is_not_reported_as_not_run() {
    let mut host = TestHost::new().ready();
    assert!(is_dispatched(&host.arrive(Repeat::Never)));
    let crash_count = Message::CrashCount {
        fingerprint: 5,
        crash_count: 2,
    };
    host.event(Event::Link {
        from: "host-1".into(),
        message: crash_count,
    });
    let fx = host.arrive(Repeat::Never);
    assert_eq!(refusal(&fx), Some((Reason::InFlight, Ran::Unknown)));
    let fx = host.arrive(Repeat::Idempotent);
    assert_eq!(refusal(&fx), Some((Reason::Quarantined, Ran::NotRun)));
}

/// A host drains while callers keep sending keys whose owner is frozen and doesn't respond.
/// The host must still exit within 12 s. If it went on claiming such keys, it would keep
/// running for as long as calls arrive.
#[test]
fn a_frozen_key_owner_does_not_block_a_drain() {
    let mut host = TestHost::new().ready();
    host.event(Event::Drain);
    let mut exited = false;
    for step in 0..600 {
        if step % 10 == 0 {
            host.arrive_with(Repeat::Never, &IdempotencyKey::prefix("host-9", 3, 0));
        }
        let fx = host.advance(20);
        exited |= fx.iter().any(|effect| matches!(effect, Effect::Exit));
    }
    assert!(
        exited,
        "the host is still running 12 s after the drain began"
    );
}
