//! Claims on keys over links that drop, duplicate and reorder messages, between hosts that
//! restart and pause.

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

/// An event of the simulated fleet. Indices into lists wrap around.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A caller sends a request with the test's only key to a host.
    Call(usize),
    /// Any message in transit, however old, is delivered.
    Deliver(usize),
    /// A message is delivered and stays in transit, so that it is delivered again.
    Duplicate(usize),
    /// A message is dropped.
    Drop(usize),
    /// A running call ends.
    End(usize, CallOutcome),
    /// A caller disconnects.
    Disconnect(usize),
    /// A host's process is replaced by a new one.
    Restart(usize),
    /// The first host is notified that the second one exited, whether or not that is so.
    ReportExit(usize, usize),
    /// The clock advances by a number of milliseconds, and only one host ticks; the others
    /// are paused.
    Advance(usize, u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let host = 0..HOSTS;
    let any_index = 0..64_usize;
    let outcome = prop_oneof![
        Just(CallOutcome::Complete),
        Just(CallOutcome::Lost),
        Just(CallOutcome::Died),
        Just(CallOutcome::Failed),
    ];
    let step = prop_oneof![
        3 => host.clone().prop_map(Step::Call),
        12 => any_index.clone().prop_map(Step::Deliver),
        3 => any_index.clone().prop_map(Step::Duplicate),
        2 => any_index.clone().prop_map(Step::Drop),
        2 => (any_index.clone(), outcome).prop_map(|(index, outcome)| Step::End(index, outcome)),
        1 => any_index.prop_map(Step::Disconnect),
        1 => host.clone().prop_map(Step::Restart),
        1 => (host.clone(), host.clone()).prop_map(|(at, exited)| Step::ReportExit(at, exited)),
        3 => (host, 1..3_000_u64).prop_map(|(at, ms)| Step::Advance(at, ms)),
    ];
    prop::collection::vec(step, 1..120)
}

/// A simulated fleet with one clock.
struct TestNetwork {
    now: Instant,
    hosts: Vec<Reducer>,
    /// Incarnation of the host that started last.
    incarnation: u64,
    /// Sender, receiver and message.
    in_transit: Vec<(usize, usize, Message)>,
    /// Host and id of each request that arrived.
    arrived: Vec<(usize, RequestId)>,
    /// Host and id of each call that runs.
    running: Vec<(usize, RequestId)>,
    /// Number of dispatched calls.
    dispatched: usize,
}

fn host_id(index: usize) -> HostId {
    format!("host-{index}").into()
}

fn start_host(index: usize, incarnation: u64, now: Instant) -> Reducer {
    let mut reducer = Reducer::new(Config {
        host: host_id(index),
        incarnation,
        policy: Policy::Baseline,
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

impl TestNetwork {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            hosts: (0..HOSTS)
                .map(|index| start_host(index, 100, now))
                .collect(),
            incarnation: 100,
            in_transit: Vec::new(),
            arrived: Vec::new(),
            running: Vec::new(),
            dispatched: 0,
        }
    }

    fn apply(&mut self, at: usize, event: Event) {
        for effect in self.hosts[at].apply(self.now, event) {
            match effect {
                Effect::Send { to, message } => {
                    let to = (0..HOSTS).find(|index| host_id(*index) == to);
                    self.in_transit.push((at, to.expect("a host"), message));
                }
                Effect::Dispatch { id, .. } => {
                    self.dispatched += 1;
                    self.running.push((at, id));
                }
                _ => {}
            }
        }
    }

    /// Delivers the message at `index`, and removes it unless `keep` is set.
    fn deliver(&mut self, index: usize, keep: bool) {
        let (from, to, message) = self.in_transit[index].clone();
        if !keep {
            self.in_transit.remove(index);
        }
        let from = host_id(from);
        self.apply(to, Event::Link { from, message });
    }

    fn call(&mut self, at: usize) {
        let count = self.arrived.len();
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
        self.arrived.push((at, id));
        self.apply(at, Event::Arrived(info));
    }

    fn end(&mut self, index: usize, outcome: CallOutcome) {
        let (at, id) = self.running.remove(index);
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

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Call(at) => self.call(at),
            Step::Deliver(n) | Step::Duplicate(n) | Step::Drop(n) if self.in_transit.is_empty() => {
                let _ = n;
            }
            Step::Deliver(n) => self.deliver(n % self.in_transit.len(), false),
            Step::Duplicate(n) => self.deliver(n % self.in_transit.len(), true),
            Step::Drop(n) => {
                self.in_transit.remove(n % self.in_transit.len());
            }
            Step::End(n, outcome) if !self.running.is_empty() => {
                self.end(n % self.running.len(), outcome);
            }
            Step::Disconnect(n) if !self.arrived.is_empty() => {
                let (at, id) = self.arrived[n % self.arrived.len()].clone();
                self.apply(at, Event::CallerDisconnected(id));
            }
            Step::End(..) | Step::Disconnect(_) => {}
            Step::Restart(at) => {
                self.incarnation += 1;
                self.hosts[at] = start_host(at, self.incarnation, self.now);
                self.running.retain(|(host, _)| *host != at);
                self.arrived.retain(|(host, _)| *host != at);
            }
            Step::ReportExit(at, exited) => self.apply(at, Event::PeerExited(host_id(exited))),
            Step::Advance(at, ms) => {
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

    /// A caller sends one non-repeatable command with the same key to any host at any time,
    /// while links drop, duplicate and reorder messages and hosts restart, pause and report
    /// each other as exited. In any order, the command is dispatched at most once.
    #[test]
    fn one_key_is_dispatched_at_most_once(steps in steps()) {
        let mut net = TestNetwork::new();
        for step in steps {
            net.run_step(step);
            prop_assert!(net.dispatched <= 1, "dispatched {} times", net.dispatched);
        }
    }
}

/// Without faults the command is dispatched. Otherwise the invariant above would hold because
/// nothing is ever dispatched.
#[test]
fn one_key_runs_when_nothing_fails() {
    for at in 0..HOSTS {
        let mut net = TestNetwork::new();
        net.call(at);
        while !net.in_transit.is_empty() {
            net.deliver(0, false);
        }
        assert_eq!(net.dispatched, 1);
    }
}
