//! Reducers that talk to each other, without processes, links or a clock.
#![allow(dead_code, reason = "each test file uses a part of it")]

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

pub fn list(version: u64, hosts: usize) -> HostList {
    HostList {
        version,
        hosts: (0..hosts).map(host).collect(),
        backends: (0..3).map(backend).collect(),
    }
}

/// Reducers whose messages reach each other at once; no time passes by itself. Calls
/// bring their first token at once and go on until a test ends them.
#[derive(Debug)]
pub struct Net {
    pub now: Instant,
    pub hosts: BTreeMap<HostId, Reducer>,
    /// Hosts that neither hear nor say anything.
    pub silent: BTreeSet<HostId>,
    pub watching: BTreeSet<HostId>,
    /// Requests that were handed to a backend server.
    pub dispatched: Vec<(RequestId, BackendId)>,
    /// Requests that were refused.
    pub refused: Vec<RequestId>,
}

impl Net {
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
            silent: BTreeSet::new(),
            watching: BTreeSet::new(),
            dispatched: Vec::new(),
            refused: Vec::new(),
        };
        for index in 0..count {
            net.event(&host(index).id, Event::Hosts(list(1, count)));
        }
        net.run(Duration::from_secs(3));
        net
    }

    pub fn event(&mut self, host: &HostId, event: Event) {
        let mut inbox = VecDeque::from([(host.clone(), event)]);
        while let Some((to, event)) = inbox.pop_front() {
            if self.silent.contains(&to) {
                continue;
            }
            let reducer = self.hosts.get_mut(&to).expect("a known host");
            for effect in reducer.apply(self.now, event) {
                match effect {
                    Effect::Send { to: peer, message } if !self.silent.contains(&peer) => {
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

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(100);
            for host in self.hosts.keys().cloned().collect::<Vec<_>>() {
                self.event(&host, Event::Tick);
            }
        }
    }

    pub fn status(&self, at: &str, of: &str) -> MemberStatus {
        self.hosts[at].membership().status(of)
    }

    pub fn all_see(&self, of: &str, status: MemberStatus) -> bool {
        self.hosts
            .keys()
            .filter(|at| !self.silent.contains(*at))
            .all(|at| self.status(at, of) == status)
    }

    pub fn id(index: usize) -> HostId {
        host(index).id
    }
}
