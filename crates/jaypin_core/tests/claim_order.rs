//! Claims over links that lose, repeat and reorder, between hosts that die and pause.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    BackendRecord, CallOutcome, CallProgress, Config, Effect, Event, HostId, HostList, HostRecord,
    IdempotencyKey, Message, Policy, Presence, Reducer, RequestId, RequestInfo, StoredAnswer,
};
use jaypin_rules::{Repeat, ServiceKind, parse};
use proptest::prelude::*;

const HOSTS: usize = 3;
const RULES: &str = "\
- {tier: command, rank: 0, first-token-ms: 1000, gap-ms: 66, whole-ms: 5000, weight: 8}  # asked by: a
- {service: robots, kind: plain, tier: command}  # asked by: b
- {route: POST /gate, service: robots, repeat: never}  # asked by: c
- {account: farm, share: 1}  # asked by: d
";

/// Something that happens to the hosts.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A caller sends the one key to a host.
    Call(usize),
    /// A message that is on its way arrives; a message can be any age.
    Deliver(usize),
    /// It arrives and is still on its way.
    Repeat(usize),
    /// It is lost.
    Lose(usize),
    /// A call that runs ends.
    End(usize, CallOutcome),
    /// A caller leaves.
    Leave(usize),
    /// A host's process is replaced by a new one.
    Restart(usize),
    /// A host takes another for lost.
    Accuse(usize, usize),
    /// Time goes on at one host; the others are paused.
    Wait(usize, u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = 0..HOSTS;
    let any = 0..64_usize;
    let outcome = prop_oneof![
        Just(CallOutcome::Complete),
        Just(CallOutcome::ConnectionLost),
        Just(CallOutcome::BackendCrashed),
        Just(CallOutcome::Failed),
    ];
    let step = prop_oneof![
        3 => host.clone().prop_map(Step::Call),
        12 => any.clone().prop_map(Step::Deliver),
        3 => any.clone().prop_map(Step::Repeat),
        2 => any.clone().prop_map(Step::Lose),
        2 => (any.clone(), outcome).prop_map(|(at, outcome)| Step::End(at, outcome)),
        1 => any.prop_map(Step::Leave),
        1 => host.clone().prop_map(Step::Restart),
        1 => (host.clone(), host.clone()).prop_map(|(at, of)| Step::Accuse(at, of)),
        3 => (host, 1..3_000_u64).prop_map(|(at, ms)| Step::Wait(at, ms)),
    ];
    prop::collection::vec(step, 1..120)
}

struct Net {
    now: Instant,
    hosts: Vec<Reducer>,
    incarnation: u64,
    on_their_way: Vec<(usize, usize, Message)>,
    called: Vec<(usize, RequestId)>,
    running: Vec<(usize, RequestId)>,
    dispatched: usize,
}

fn name(index: usize) -> HostId {
    format!("host-{index}").into()
}

fn start(index: usize, incarnation: u64, now: Instant) -> Reducer {
    let mut reducer = Reducer::new(Config {
        host: name(index),
        incarnation,
        policy: Policy::Baseline,
        ..Config::default()
    });
    let host = |index| HostRecord {
        id: name(index),
        address: "10.0.0.1:1".to_owned(),
        link: "10.0.0.1:2".to_owned(),
        failure_domain: "domain-0".into(),
        presence: Presence::Live,
    };
    let list = HostList {
        version: 1,
        hosts: (0..HOSTS).map(host).collect(),
        backends: vec![BackendRecord {
            id: "app-0".into(),
            address: "10.0.1.1:1".to_owned(),
            service: "robots".into(),
            failure_domain: "domain-0".into(),
            presence: Presence::Live,
            slots: 16,
        }],
    };
    let rules = Arc::new(parse(RULES).expect("rules"));
    reducer.apply(now, Event::Rules { version: 1, rules });
    reducer.apply(now, Event::Hosts(list));
    reducer
}

impl Net {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            hosts: (0..HOSTS).map(|index| start(index, 100, now)).collect(),
            incarnation: 100,
            on_their_way: Vec::new(),
            called: Vec::new(),
            running: Vec::new(),
            dispatched: 0,
        }
    }

    fn apply(&mut self, at: usize, event: Event) {
        for effect in self.hosts[at].apply(self.now, event) {
            match effect {
                Effect::Send { to, message } => {
                    let to = (0..HOSTS).find(|index| name(*index) == to);
                    self.on_their_way.push((at, to.expect("a host"), message));
                }
                Effect::Dispatch { id, .. } => {
                    self.dispatched += 1;
                    self.running.push((at, id));
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, at: usize, keep: bool) {
        let (from, to, message) = self.on_their_way[at].clone();
        if !keep {
            self.on_their_way.remove(at);
        }
        let from = name(from);
        self.apply(to, Event::Link { from, message });
    }

    fn call(&mut self, at: usize) {
        let count = self.called.len();
        let id = RequestId::from(format!("host-{at}-{}-{count}", self.incarnation));
        let key = format!("{}gate", IdempotencyKey::prefix("host-0", 100, 0));
        let info = RequestInfo {
            id: id.clone(),
            account: "farm".into(),
            service: "robots".into(),
            kind: ServiceKind::Plain,
            tier: 0,
            prompt_tokens: 1,
            max_tokens: 1,
            prefixes: Vec::new(),
            fingerprint: 7,
            repeat: Repeat::Never,
            key: Some(key),
            first_token_due_in: Duration::from_secs(1),
            response_due_in: Duration::from_secs(5),
            rule_lines: Vec::new(),
        };
        self.called.push((at, id));
        self.apply(at, Event::Arrived(info));
    }

    fn end(&mut self, at: usize, outcome: CallOutcome) {
        let (at, id) = self.running.remove(at);
        if outcome == CallOutcome::Complete {
            let answer = Some(StoredAnswer {
                status: 200,
                content_type: "text/plain".into(),
                body: Arc::from(*b"ok"),
            });
            self.apply(
                at,
                Event::KeyedCallAnswered {
                    id: id.clone(),
                    answer,
                },
            );
        }
        let progress = CallProgress::Finished { tokens: 1, outcome };
        self.apply(at, Event::Call { id, progress });
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Call(at) => self.call(at),
            Step::Deliver(n) | Step::Repeat(n) | Step::Lose(n) if self.on_their_way.is_empty() => {
                let _ = n;
            }
            Step::Deliver(n) => self.deliver(n % self.on_their_way.len(), false),
            Step::Repeat(n) => self.deliver(n % self.on_their_way.len(), true),
            Step::Lose(n) => {
                self.on_their_way.remove(n % self.on_their_way.len());
            }
            Step::End(n, outcome) if !self.running.is_empty() => {
                self.end(n % self.running.len(), outcome);
            }
            Step::Leave(n) if !self.called.is_empty() => {
                let (at, id) = self.called[n % self.called.len()].clone();
                self.apply(at, Event::CallerDisconnected(id));
            }
            Step::End(..) | Step::Leave(_) => {}
            Step::Restart(at) => {
                self.incarnation += 1;
                self.hosts[at] = start(at, self.incarnation, self.now);
                self.running.retain(|(host, _)| *host != at);
                self.called.retain(|(host, _)| *host != at);
            }
            Step::Accuse(at, of) => self.apply(at, Event::PeerExited(name(of))),
            Step::Wait(at, ms) => {
                self.now += Duration::from_millis(ms);
                self.apply(at, Event::Tick);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A farmer's program sends one gate command to any host at any time, while links
    /// lose, repeat and reorder messages and hosts die, pause and accuse each other.
    /// Whatever the order, the gate service gets the command at most once.
    #[test]
    fn one_key_is_dispatched_at_most_once(steps in steps()) {
        let mut net = Net::new();
        for step in steps {
            net.take(step);
            prop_assert!(net.dispatched <= 1, "dispatched {} times", net.dispatched);
        }
    }
}

/// Without faults the key runs, or the invariant above would hold for the wrong reason.
#[test]
fn one_key_runs_when_nothing_fails() {
    for at in 0..HOSTS {
        let mut net = Net::new();
        net.call(at);
        while !net.on_their_way.is_empty() {
            net.deliver(0, false);
        }
        assert_eq!(net.dispatched, 1);
    }
}
