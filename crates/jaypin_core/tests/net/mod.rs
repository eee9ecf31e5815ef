//! Test network of reducers that exchange messages in memory, without processes or links, on
//! a clock that only the test advances.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use jaypin_core::{
    BackendId, BackendRecord, CallProgress, Config, Effect, Event, HostId, HostList, HostRecord,
    MemberStatus, Presence, Reducer, RequestId,
};

pub const DOMAINS: usize = 3;

pub fn host(index: usize) -> HostRecord {
    HostRecord {
        id: format!("host-{index}").into(),
        address: format!("10.0.0.{index}:1"),
        link: format!("10.0.0.{index}:2"),
        failure_domain: format!("domain-{}", index % DOMAINS).into(),
        presence: Presence::Live,
    }
}

pub fn backend(index: usize) -> BackendRecord {
    BackendRecord {
        id: format!("engine-{index}").into(),
        address: format!("10.0.1.{index}:1"),
        service: "chat".into(),
        failure_domain: "domain-0".into(),
        presence: Presence::Live,
        slots: 4,
    }
}

pub fn host_list(version: u64, hosts: usize) -> HostList {
    HostList {
        version,
        hosts: (0..hosts).map(host).collect(),
        backends: (0..3).map(backend).collect(),
    }
}

/// Reducers whose messages are delivered at once. A dispatched call reports its first token at
/// once and runs until a test ends it.
#[derive(Debug)]
pub struct TestNetwork {
    /// Time of the test; `advance` moves it.
    pub now: Instant,
    pub hosts: BTreeMap<HostId, Reducer>,
    /// Hosts that neither receive nor send messages, such as exited or frozen ones.
    pub isolated: BTreeSet<HostId>,
    /// Hosts that watch the platform.
    pub watching: BTreeSet<HostId>,
    /// Requests that were dispatched, with their backend servers.
    pub dispatched: Vec<(RequestId, BackendId)>,
    /// Requests that were refused.
    pub refused: Vec<RequestId>,
}

impl TestNetwork {
    pub fn new(count: usize) -> Self {
        let now = Instant::now();
        let reducer = |index: usize| {
            let record = host(index);
            let cfg = Config {
                host: record.id.clone(),
                incarnation: 100,
                failure_domain: record.failure_domain,
                pause_limit: Duration::from_millis(500),
                ..Config::default()
            };
            (record.id, Reducer::new(cfg))
        };
        let mut net = Self {
            now,
            hosts: (0..count).map(reducer).collect(),
            isolated: BTreeSet::new(),
            watching: BTreeSet::new(),
            dispatched: Vec::new(),
            refused: Vec::new(),
        };
        for index in 0..count {
            net.event(&host(index).id, Event::Hosts(host_list(1, count)));
        }
        net.advance(Duration::from_secs(3));
        net
    }

    /// Applies an event at a host, then all messages that follow from it.
    pub fn event(&mut self, host: &HostId, event: Event) {
        let mut inbox = VecDeque::from([(host.clone(), event)]);
        while let Some((to, event)) = inbox.pop_front() {
            if self.isolated.contains(&to) {
                continue;
            }
            let reducer = self.hosts.get_mut(&to).expect("a known host");
            for effect in reducer.apply(self.now, event) {
                match effect {
                    Effect::Send { to: peer, message } if !self.isolated.contains(&peer) => {
                        let from = to.clone();
                        inbox.push_back((peer, Event::Link { from, message }));
                    }
                    Effect::WatchPlatform(true) => {
                        self.watching.insert(to.clone());
                    }
                    Effect::WatchPlatform(false) => {
                        self.watching.remove(&to);
                    }
                    Effect::Dispatch { id, backend, .. } => {
                        for progress in [CallProgress::Sent, CallProgress::FirstToken] {
                            let id = id.clone();
                            inbox.push_back((to.clone(), Event::Call { id, progress }));
                        }
                        self.dispatched.push((id, backend));
                    }
                    Effect::Refuse { id, .. } => self.refused.push(id),
                    _ => {}
                }
            }
        }
    }

    /// Advances the clock in steps of 100 ms and ticks all hosts after each.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for host in self.hosts.keys().cloned().collect::<Vec<_>>() {
                self.event(&host, Event::Tick);
            }
        }
    }

    /// Returns the status of the host `subject` in the table of the host `observer`.
    pub fn status(&self, observer: &str, subject: &str) -> MemberStatus {
        self.hosts[observer].membership().status(subject)
    }

    /// Returns whether all hosts that aren't isolated have this status for the host `subject`.
    pub fn all_see(&self, subject: &str, status: MemberStatus) -> bool {
        self.hosts
            .keys()
            .filter(|observer| !self.isolated.contains(*observer))
            .all(|observer| self.status(observer, subject) == status)
    }

    pub fn id(index: usize) -> HostId {
        host(index).id
    }
}
