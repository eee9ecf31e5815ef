//! Injects faults into a running fleet and undoes them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jaypin_standin::{Fault as PlatformFault, ProxyMode, unix_ms};
use tokio::time::Instant;

use super::schedule::{Fault, Planned};
use crate::history::{LeavingRecord, ShutdownRecord};
use crate::{Fleet, RULES};

/// Time after which every host must know that a backend server is leaving, in milliseconds.
const LEAVING_NOTICE_MS: u64 = 2_000;
/// Time limit for a host to exit after it is asked to leave.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(40);
/// Delay of the platform's answers under [`Fault::PlatformSlow`].
const SLOW_PLATFORM_DELAY: Duration = Duration::from_secs(1);

/// The faults that are active on a fleet, and the records of those that were undone.
#[derive(Debug)]
pub struct Faults {
    fleet: Fleet,
    /// Active faults, each with the time at which it is undone.
    due: Vec<(Instant, Fault)>,
    /// Indices of the hosts that are killed, paused or leaving.
    faulty_hosts: BTreeSet<usize>,
    /// Indices of the leaving backend servers, with the start in milliseconds since 1970.
    leaving_since: BTreeMap<usize, u64>,
    /// Indices of the hosts that were asked to leave, with the time in milliseconds since 1970.
    leave_requested_at: BTreeMap<usize, u64>,
    /// Number of active platform faults, apart from silenced connections.
    platform_fault_count: usize,
    /// Number of rule changes so far.
    rule_changes: usize,
    /// Number of injected faults, by kind.
    pub counts: BTreeMap<String, usize>,
    /// Periods during which backend servers were leaving.
    pub leaving: Vec<LeavingRecord>,
    /// Hosts that exited by themselves after they were asked to leave.
    pub shutdowns: Vec<ShutdownRecord>,
    /// Messages about hosts that did not exit by themselves, could not be started or did not
    /// become ready.
    pub troubles: Vec<String>,
}

impl Faults {
    /// Takes ownership of a fleet on which no fault is active.
    #[must_use]
    pub fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            due: Vec::new(),
            faulty_hosts: BTreeSet::new(),
            leaving_since: BTreeMap::new(),
            leave_requested_at: BTreeMap::new(),
            platform_fault_count: 0,
            rule_changes: 0,
            counts: BTreeMap::new(),
            leaving: Vec::new(),
            shutdowns: Vec::new(),
            troubles: Vec::new(),
        }
    }

    /// Returns the fleet.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the time at which the next fault must be undone; `None` if none is active.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.due.iter().map(|(at, _)| *at).min()
    }

    /// Injects a fault, unless the faults that are already active rule it out.
    pub async fn inject(&mut self, planned: Planned) {
        let Some(fault) = self.resolve(planned.fault).await else {
            return;
        };
        if !self.begin(fault) {
            return;
        }
        self.due.push((Instant::now() + planned.lasts, fault));
        let name = format!("{fault:?}");
        let name = name.split('(').next().unwrap_or_default().to_owned();
        *self.counts.entry(name).or_default() += 1;
    }

    /// Undoes every fault whose duration has elapsed.
    pub async fn undo_due(&mut self) {
        let now = Instant::now();
        let (elapsed, due) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = due;
        for (_, fault) in elapsed {
            self.end(fault).await;
        }
    }

    /// Undoes every fault and waits until every host is ready.
    pub async fn undo_all(&mut self) {
        for (_, fault) in std::mem::take(&mut self.due) {
            self.end(fault).await;
        }
        if let Err(error) = self.fleet.wait_ready().await {
            self.troubles.push(error.to_string());
        }
    }

    /// Resolves the target of a fault to a host or backend server of the fleet.
    ///
    /// Returns `None` if no host can be found that leads a shard.
    async fn resolve(&self, fault: Fault) -> Option<Fault> {
        let hosts = self.fleet.hosts.len();
        let backends = self.fleet.backends.len();
        Some(match fault {
            Fault::KillScheduler => Fault::KillHost(self.find_scheduler().await?),
            Fault::KillHost(target) => Fault::KillHost(target % hosts),
            Fault::FreezeHost(target) => Fault::FreezeHost(target % hosts),
            Fault::LeaveHost(target) => Fault::LeaveHost(target % hosts),
            Fault::CutLink(target) => Fault::CutLink(target % hosts),
            Fault::SilenceLink(target) => Fault::SilenceLink(target % hosts),
            Fault::CutBackend(target) => Fault::CutBackend(target % backends),
            Fault::SilenceBackend(target) => Fault::SilenceBackend(target % backends),
            Fault::DeafenBackend(target) => Fault::DeafenBackend(target % backends),
            Fault::LeaveBackend(target) => Fault::LeaveBackend(target % backends),
            Fault::CrashEngine(target) => Fault::CrashEngine(target % self.fleet.engines.len()),
            other => other,
        })
    }

    /// Returns a host that reports that it leads a shard and is not killed, paused or
    /// leaving.
    async fn find_scheduler(&self) -> Option<usize> {
        for (index, host) in self.fleet.hosts.iter().enumerate() {
            if self.faulty_hosts.contains(&index) {
                continue;
            }
            let Some((_, status)) = host.page("/status").await else {
                continue;
            };
            if status["shards_led"].as_u64().unwrap_or_default() > 0 {
                return Some(index);
            }
        }
        None
    }

    /// Begins a fault and returns whether that was possible.
    fn begin(&mut self, fault: Fault) -> bool {
        match fault {
            Fault::KillHost(target) => self.claim_host(target) && self.kill(target),
            Fault::FreezeHost(target) => self.claim_host(target) && self.signal(target, "STOP"),
            Fault::LeaveHost(target) => self.claim_host(target) && self.request_leave(target),
            Fault::CutLink(target) => self.set_link(target, ProxyMode::Cut),
            Fault::SilenceLink(target) => self.set_link(target, ProxyMode::BlackholeOpen),
            Fault::CutBackend(target) => self.set_backend(target, ProxyMode::Cut),
            Fault::SilenceBackend(target) => self.set_backend(target, ProxyMode::BlackholeOpen),
            Fault::DeafenBackend(target) => self.set_backend(target, ProxyMode::BlackholeDown),
            Fault::LeaveBackend(target) => self.leave_backend(target),
            Fault::CrashEngine(target) => {
                self.fleet.engines[target].crash();
                true
            }
            Fault::PlatformOut => self.set_platform_fault(PlatformFault::Unavailable),
            Fault::PlatformSlow => {
                self.set_platform_fault(PlatformFault::Slow(SLOW_PLATFORM_DELAY))
            }
            Fault::PlatformStale => self.set_platform_fault(PlatformFault::StaleReads),
            Fault::SilencePlatform => self.set_platform_proxy(ProxyMode::BlackholeOpen),
            Fault::ChangeRules => self.change_rules(),
            Fault::KillScheduler => false,
        }
    }

    /// Undoes a fault; returns after a leaving host has exited and was restarted.
    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::KillHost(target) => self.start(target),
            Fault::FreezeHost(target) => {
                self.signal(target, "CONT");
                self.faulty_hosts.remove(&target);
            }
            Fault::LeaveHost(target) => self.await_leave(target).await,
            Fault::CutLink(target) | Fault::SilenceLink(target) => {
                self.set_link(target, ProxyMode::Pass);
            }
            Fault::CutBackend(target)
            | Fault::SilenceBackend(target)
            | Fault::DeafenBackend(target) => {
                self.set_backend(target, ProxyMode::Pass);
            }
            Fault::LeaveBackend(target) => self.return_backend(target),
            Fault::PlatformOut | Fault::PlatformSlow | Fault::PlatformStale => {
                self.platform_fault_count -= 1;
                if self.platform_fault_count == 0 {
                    self.fleet.platform.set_fault(PlatformFault::None);
                }
            }
            Fault::SilencePlatform => {
                self.set_platform_proxy(ProxyMode::Pass);
            }
            Fault::CrashEngine(_) | Fault::ChangeRules | Fault::KillScheduler => {}
        }
    }

    /// Claims a host for a fault and returns whether that was possible.
    ///
    /// A host has at most one such fault, and at most a third of the hosts, but at least one,
    /// may have one at a time.
    fn claim_host(&mut self, target: usize) -> bool {
        let max_faulty = (self.fleet.hosts.len() / 3).max(1);
        self.faulty_hosts.len() < max_faulty && self.faulty_hosts.insert(target)
    }

    fn kill(&mut self, target: usize) -> bool {
        self.fleet.hosts[target].kill();
        true
    }

    fn signal(&self, target: usize, name: &str) -> bool {
        self.fleet.hosts[target].signal(name);
        true
    }

    fn request_leave(&mut self, target: usize) -> bool {
        self.leave_requested_at.insert(target, unix_ms());
        self.signal(target, "TERM")
    }

    fn start(&mut self, target: usize) {
        if let Err(error) = self.fleet.hosts[target].start() {
            self.troubles.push(error.to_string());
        }
        self.faulty_hosts.remove(&target);
    }

    async fn await_leave(&mut self, target: usize) {
        let host = &mut self.fleet.hosts[target];
        let succeeded = host.wait_exit(LEAVE_TIMEOUT).await;
        let id = host.id.clone();
        if succeeded == Some(true) {
            self.shutdowns.push(ShutdownRecord {
                host: id,
                from_ms: self.leave_requested_at.remove(&target).unwrap_or_default(),
                until_ms: unix_ms(),
            });
        } else {
            host.kill();
            self.troubles
                .push(format!("{id} did not leave well: {succeeded:?}"));
        }
        self.start(target);
    }

    fn set_link(&self, target: usize, mode: ProxyMode) -> bool {
        self.fleet.proxies.links[target].set(mode);
        true
    }

    fn set_backend(&self, target: usize, mode: ProxyMode) -> bool {
        self.fleet.proxies.backends[target].set(mode);
        true
    }

    fn set_platform_proxy(&self, mode: ProxyMode) -> bool {
        if let Some(proxy) = &self.fleet.proxies.platform {
            proxy.set(mode);
        }
        true
    }

    fn set_platform_fault(&mut self, fault: PlatformFault) -> bool {
        self.platform_fault_count += 1;
        self.fleet.platform.set_fault(fault);
        true
    }

    fn change_rules(&mut self) -> bool {
        self.rule_changes += 1;
        let text = format!("{RULES}# change {}\n", self.rule_changes);
        self.fleet.publish_rules(&text);
        true
    }

    /// Marks a backend server as leaving and returns whether that was possible.
    ///
    /// Hosts learn of it only from a working platform, so this is refused during a platform
    /// fault, and also for the last remaining backend server of a service.
    fn leave_backend(&mut self, target: usize) -> bool {
        let others = self
            .fleet
            .backends
            .iter()
            .enumerate()
            .filter(|(other, one)| {
                *other != target
                    && !one.leaving
                    && one.service == self.fleet.backends[target].service
            });
        if self.platform_fault_count > 0
            || others.count() == 0
            || self.fleet.backends[target].leaving
        {
            return false;
        }
        self.fleet.backends[target].leaving = true;
        self.fleet.publish_hosts();
        self.leaving_since.insert(target, unix_ms());
        true
    }

    fn return_backend(&mut self, target: usize) {
        let Some(since) = self.leaving_since.remove(&target) else {
            return;
        };
        self.leaving.push(LeavingRecord {
            backend: self.fleet.backends[target].id.clone(),
            from_ms: since + LEAVING_NOTICE_MS,
            until_ms: unix_ms().max(since + LEAVING_NOTICE_MS),
        });
        self.fleet.backends[target].leaving = false;
        self.fleet.publish_hosts();
    }
}
