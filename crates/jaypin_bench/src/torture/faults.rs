//! Faults as they are made and undone on a running fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jaypin_standin::{Fault as PlatformFault, ProxyMode, unix_ms};
use tokio::time::Instant;

use super::schedule::{Fault, Planned};
use crate::history::{LeavingRecord, ShutdownRecord};
use crate::{Fleet, RULES};

/// Time that hosts have to learn that a backend server is leaving.
const LEAVING_NOTICE_MS: u64 = 2_000;
/// Longest time for a host to leave by itself.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(40);
/// Delay of a slow platform's answers.
const SLOW: Duration = Duration::from_secs(1);

/// Makes faults, and undoes them when their time is over.
#[derive(Debug)]
pub struct Faults {
    fleet: Fleet,
    due: Vec<(Instant, Fault)>,
    /// Hosts that something is wrong with, by their place.
    struck: BTreeSet<usize>,
    leaving_since: BTreeMap<usize, u64>,
    told_to_leave: BTreeMap<usize, u64>,
    platform_wrong: usize,
    rules: usize,
    /// Faults made, by name.
    pub counts: BTreeMap<String, usize>,
    /// When backend servers were leaving.
    pub leaving: Vec<LeavingRecord>,
    /// Hosts that left by themselves.
    pub shutdowns: Vec<ShutdownRecord>,
    /// Hosts that did not leave by themselves, or whose start failed.
    pub troubles: Vec<String>,
}

impl Faults {
    /// Takes a fleet over.
    #[must_use]
    pub fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            due: Vec::new(),
            struck: BTreeSet::new(),
            leaving_since: BTreeMap::new(),
            told_to_leave: BTreeMap::new(),
            platform_wrong: 0,
            rules: 0,
            counts: BTreeMap::new(),
            leaving: Vec::new(),
            shutdowns: Vec::new(),
            troubles: Vec::new(),
        }
    }

    /// The fleet.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// When the next fault is to be undone.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.due.iter().map(|(at, _)| *at).min()
    }

    /// Makes a fault, unless too much is wrong already.
    pub async fn make(&mut self, planned: Planned) {
        let Some(fault) = self.aim(planned.fault).await else {
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

    /// Undoes every fault whose time is over.
    pub async fn undo_due(&mut self) {
        let now = Instant::now();
        let (over, due) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = due;
        for (_, fault) in over {
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

    /// Fills in the place of a fault that names none, and brings places into range.
    async fn aim(&self, fault: Fault) -> Option<Fault> {
        let hosts = self.fleet.hosts.len();
        let backends = self.fleet.backends.len();
        Some(match fault {
            Fault::KillScheduler => Fault::KillHost(self.scheduler().await?),
            Fault::KillHost(place) => Fault::KillHost(place % hosts),
            Fault::FreezeHost(place) => Fault::FreezeHost(place % hosts),
            Fault::LeaveHost(place) => Fault::LeaveHost(place % hosts),
            Fault::CutLink(place) => Fault::CutLink(place % hosts),
            Fault::SilenceLink(place) => Fault::SilenceLink(place % hosts),
            Fault::CutBackend(place) => Fault::CutBackend(place % backends),
            Fault::SilenceBackend(place) => Fault::SilenceBackend(place % backends),
            Fault::DeafenBackend(place) => Fault::DeafenBackend(place % backends),
            Fault::LeaveBackend(place) => Fault::LeaveBackend(place % backends),
            Fault::CrashEngine(place) => Fault::CrashEngine(place % self.fleet.engines.len()),
            other => other,
        })
    }

    /// A host that says it leads a shard.
    async fn scheduler(&self) -> Option<usize> {
        for (place, host) in self.fleet.hosts.iter().enumerate() {
            if self.struck.contains(&place) {
                continue;
            }
            let Some((_, status)) = host.page("/status").await else {
                continue;
            };
            if status["shards_led"].as_u64().unwrap_or_default() > 0 {
                return Some(place);
            }
        }
        None
    }

    /// Makes a fault; says whether it could be.
    fn begin(&mut self, fault: Fault) -> bool {
        match fault {
            Fault::KillHost(place) => self.strike(place) && self.kill(place),
            Fault::FreezeHost(place) => self.strike(place) && self.signal(place, "STOP"),
            Fault::LeaveHost(place) => self.strike(place) && self.leave(place),
            Fault::CutLink(place) => self.link(place, ProxyMode::Cut),
            Fault::SilenceLink(place) => self.link(place, ProxyMode::BlackholeOpen),
            Fault::CutBackend(place) => self.backend(place, ProxyMode::Cut),
            Fault::SilenceBackend(place) => self.backend(place, ProxyMode::BlackholeOpen),
            Fault::DeafenBackend(place) => self.backend(place, ProxyMode::BlackholeDown),
            Fault::LeaveBackend(place) => self.leave_backend(place),
            Fault::CrashEngine(place) => {
                self.fleet.engines[place].crash();
                true
            }
            Fault::PlatformOut => self.platform(PlatformFault::Unavailable),
            Fault::PlatformSlow => self.platform(PlatformFault::Slow(SLOW)),
            Fault::PlatformStale => self.platform(PlatformFault::StaleReads),
            Fault::SilencePlatform => self.silence_platform(ProxyMode::BlackholeOpen),
            Fault::ChangeRules => self.change_rules(),
            Fault::KillScheduler => false,
        }
    }

    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::KillHost(place) => self.start(place),
            Fault::FreezeHost(place) => {
                self.signal(place, "CONT");
                self.struck.remove(&place);
            }
            Fault::LeaveHost(place) => self.await_leave(place).await,
            Fault::CutLink(place) | Fault::SilenceLink(place) => {
                self.link(place, ProxyMode::Pass);
            }
            Fault::CutBackend(place)
            | Fault::SilenceBackend(place)
            | Fault::DeafenBackend(place) => {
                self.backend(place, ProxyMode::Pass);
            }
            Fault::LeaveBackend(place) => self.return_backend(place),
            Fault::PlatformOut | Fault::PlatformSlow | Fault::PlatformStale => {
                self.platform_wrong -= 1;
                if self.platform_wrong == 0 {
                    self.fleet.platform.set_fault(PlatformFault::None);
                }
            }
            Fault::SilencePlatform => {
                self.silence_platform(ProxyMode::Pass);
            }
            Fault::CrashEngine(_) | Fault::ChangeRules | Fault::KillScheduler => {}
        }
    }

    // ------------------------------------------------------------------ hosts

    /// Claims a host for a fault; a third of the hosts may be struck at once.
    fn strike(&mut self, place: usize) -> bool {
        let most = (self.fleet.hosts.len() / 3).max(1);
        self.struck.len() < most && self.struck.insert(place)
    }

    fn kill(&mut self, place: usize) -> bool {
        self.fleet.hosts[place].kill();
        true
    }

    fn signal(&self, place: usize, name: &str) -> bool {
        self.fleet.hosts[place].signal(name);
        true
    }

    fn leave(&mut self, place: usize) -> bool {
        self.told_to_leave.insert(place, unix_ms());
        self.signal(place, "TERM")
    }

    fn start(&mut self, place: usize) {
        if let Err(error) = self.fleet.hosts[place].start() {
            self.troubles.push(error.to_string());
        }
        self.struck.remove(&place);
    }

    async fn await_leave(&mut self, place: usize) {
        let host = &mut self.fleet.hosts[place];
        let ended = host.wait_exit(LEAVE_TIMEOUT).await;
        let id = host.id.clone();
        if ended == Some(true) {
            self.shutdowns.push(ShutdownRecord {
                host: id,
                from_ms: self.told_to_leave.remove(&place).unwrap_or_default(),
                until_ms: unix_ms(),
            });
        } else {
            host.kill();
            self.troubles
                .push(format!("{id} did not leave well: {ended:?}"));
        }
        self.start(place);
    }

    // ------------------------------------------------------------------ connections

    fn link(&self, place: usize, mode: ProxyMode) -> bool {
        self.fleet.proxies.links[place].set(mode);
        true
    }

    fn backend(&self, place: usize, mode: ProxyMode) -> bool {
        self.fleet.proxies.backends[place].set(mode);
        true
    }

    fn silence_platform(&self, mode: ProxyMode) -> bool {
        if let Some(proxy) = &self.fleet.proxies.platform {
            proxy.set(mode);
        }
        true
    }

    // ------------------------------------------------------------------ platform

    fn platform(&mut self, fault: PlatformFault) -> bool {
        self.platform_wrong += 1;
        self.fleet.platform.set_fault(fault);
        true
    }

    fn change_rules(&mut self) -> bool {
        self.rules += 1;
        let text = format!("{RULES}# change {}\n", self.rules);
        self.fleet.publish_rules(&text);
        true
    }

    /// Hosts can learn of it only from a platform that answers, so it waits for one.
    fn leave_backend(&mut self, place: usize) -> bool {
        let others = self
            .fleet
            .backends
            .iter()
            .enumerate()
            .filter(|(other, one)| {
                *other != place && !one.leaving && one.service == self.fleet.backends[place].service
            });
        if self.platform_wrong > 0 || others.count() == 0 || self.fleet.backends[place].leaving {
            return false;
        }
        self.fleet.backends[place].leaving = true;
        self.fleet.publish_hosts();
        self.leaving_since.insert(place, unix_ms());
        true
    }

    fn return_backend(&mut self, place: usize) {
        let Some(since) = self.leaving_since.remove(&place) else {
            return;
        };
        self.leaving.push(LeavingRecord {
            backend: self.fleet.backends[place].id.clone(),
            from_ms: since + LEAVING_NOTICE_MS,
            until_ms: unix_ms().max(since + LEAVING_NOTICE_MS),
        });
        self.fleet.backends[place].leaving = false;
        self.fleet.publish_hosts();
    }
}
