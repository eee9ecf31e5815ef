//! Gossip between partners: digests of versions are sent periodically, contents on request,
//! and changes of the membership table at once. `members.rs` applies what they say of members.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;

use super::{DRAIN_CLAIM_WINDOW, Reducer};
use crate::member::{Member, MemberStatus};
use crate::{Config, Digest, Effect, HostId, Message};

/// Time between two digests to a suspect or dead host, which detect that a network
/// partition has healed.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Time after which rules or a host list that were requested from a peer may be requested
/// again, from any peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between the start of a drain and the exit of an idle host, so that its
/// status reaches the other hosts.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(300);
/// How long a starting host waits for a partner's digest before it assumes that it is the
/// first host of the fleet.
const FIRST_DIGEST_TIMEOUT: Duration = Duration::from_secs(3);

/// State of the gossip with partners.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// Whether the versions of this host are confirmed to be current: by a peer, or because
    /// no peer responded.
    pub caught_up: bool,
    /// Whether rules or host list changed since the last digest to the partners.
    pub versions_changed: bool,
    partners: Vec<HostId>,
    /// Whether this host watches the platform; none before the first decision.
    watching: Option<bool>,
    /// Hosts whose entries changed since the last message to the partners.
    pub changed_members: BTreeSet<HostId>,
    /// The newest rule file, with its version.
    rule_text: Option<(u64, Arc<str>)>,
    fetching: Fetching,
    /// Suspect hosts, with the time since when they are suspect.
    pub suspects: BTreeMap<HostId, Instant>,
    next_round: Option<Instant>,
    next_probe: Option<Instant>,
    peer_wait_until: Option<Instant>,
    drain_started_at: Option<Instant>,
}

/// Newest versions that were requested, with the time of the request.
#[derive(Debug, Default)]
struct Fetching {
    rules: Option<(u64, Instant)>,
    hosts: Option<(u64, Instant)>,
}

impl Gossip {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            caught_up: !cfg.await_peers,
            ..Self::default()
        }
    }
}

impl Reducer {
    /// Handles timeouts of suspects and of starting up, and sends the digest in each gossip
    /// round.
    pub(super) fn gossip_tick(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        self.declare_suspects_dead(now, fx);
        self.stop_waiting_for_peers(now);
        let round = self.gossip.next_round.get_or_insert(now);
        if now < *round {
            return;
        }
        *round = now + self.cfg.gossip_interval;
        let digest = self.own_digest();
        for partner in self.gossip.partners.clone() {
            self.send(&partner, Message::Digest(digest), fx);
        }
        self.probe(now, digest, fx);
    }

    /// Sends a digest to a random suspect or dead host from time to time.
    ///
    /// Hosts that mark each other dead are not partners, so without these probes a split
    /// fleet would stay split after the network has recovered.
    fn probe(&mut self, now: Instant, digest: Digest, fx: &mut Vec<Effect>) {
        let due = self.gossip.next_probe.get_or_insert(now + PROBE_INTERVAL);
        if now < *due {
            return;
        }
        *due = now + PROBE_INTERVAL;
        let listed = &self.membership.list().hosts;
        let unreachable: Vec<&HostId> = listed
            .iter()
            .map(|host| &host.id)
            .filter(|id| self.membership.status(id) >= MemberStatus::Suspect)
            .collect();
        if unreachable.is_empty() {
            return;
        }
        let chosen = unreachable[self.rng.random_range(0..unreachable.len())].clone();
        self.send(&chosen, Message::Digest(digest), fx);
    }

    /// Sends changes to the partners at once, so that a change does not wait for a gossip
    /// round on each hop.
    pub(super) fn publish_changes(&mut self, fx: &mut Vec<Effect>) {
        let changed = std::mem::take(&mut self.gossip.changed_members);
        let versions_changed = std::mem::take(&mut self.gossip.versions_changed);
        if changed.is_empty() && !versions_changed {
            return;
        }
        let table = self.membership.table();
        let entries: Vec<(HostId, Member)> = changed
            .into_iter()
            .filter_map(|host| table.get(&host).map(|member| (host, member)))
            .collect();
        let digest = self.own_digest();
        for partner in self.gossip.partners.clone() {
            if !entries.is_empty() {
                let (entries, complete_buckets) = (entries.clone(), Vec::new());
                self.send(
                    &partner,
                    Message::Members {
                        entries,
                        complete_buckets,
                    },
                    fx,
                );
            }
            if versions_changed {
                self.send(&partner, Message::Digest(digest), fx);
            }
        }
    }

    /// Returns the peers that this host sends crash counts to.
    pub(super) fn partners_to_notify(&self) -> Vec<HostId> {
        self.gossip.partners.clone()
    }

    pub(super) fn own_digest(&self) -> Digest {
        Digest {
            rules_version: self.rules_version,
            hosts_version: self.membership.list().version,
            members: self.membership.table().hash(),
        }
    }

    /// Chooses the partners, and whether this host watches the platform.
    pub(super) fn choose_links(&mut self, fx: &mut Vec<Effect>) {
        let partners = self.membership.partners_of(&self.cfg.host);
        if partners != self.gossip.partners {
            self.gossip.partners.clone_from(&partners);
            fx.push(Effect::KeepLinks(partners));
        }
        let listed = self.membership.link_address(&self.cfg.host).is_some();
        let watching = !listed
            || self
                .membership
                .is_watcher(&self.cfg.host, &self.cfg.failure_domain);
        if self.gossip.watching != Some(watching) {
            self.gossip.watching = Some(watching);
            fx.push(Effect::WatchPlatform(watching));
        }
    }

    /// Compares a peer's digest with the own one. Requests newer contents, sends the own
    /// digest if the peer is outdated, and the bucket hashes if the tables differ.
    pub(super) fn handle_digest(
        &mut self,
        now: Instant,
        from: &HostId,
        digest: Digest,
        fx: &mut Vec<Effect>,
    ) {
        let own = self.own_digest();
        let rules = digest.rules_version > own.rules_version;
        let hosts = digest.hosts_version > own.hosts_version;
        if !rules && !hosts && own.rules_version > 0 && own.hosts_version > 0 {
            self.gossip.caught_up = true;
        }
        let rules =
            rules && start_fetch(&mut self.gossip.fetching.rules, digest.rules_version, now);
        let hosts =
            hosts && start_fetch(&mut self.gossip.fetching.hosts, digest.hosts_version, now);
        if rules || hosts {
            self.send(from, Message::Fetch { rules, hosts }, fx);
        }
        let peer_is_outdated =
            digest.rules_version < own.rules_version || digest.hosts_version < own.hosts_version;
        if peer_is_outdated {
            self.send(from, Message::Digest(own), fx);
        }
        if digest.members != own.members {
            let hashes = self.membership.table().bucket_hashes().to_vec();
            self.send(from, Message::Buckets(hashes), fx);
        }
    }

    /// Sends the requested contents to a peer.
    pub(super) fn handle_fetch(
        &mut self,
        from: &HostId,
        rules: bool,
        hosts: bool,
        fx: &mut Vec<Effect>,
    ) {
        if let Some((version, text)) = self.gossip.rule_text.clone().filter(|_| rules) {
            self.send(from, Message::RuleText { version, text }, fx);
        }
        if hosts && self.membership.has_host_list() {
            let list = self.membership.list().clone();
            self.send(from, Message::Hosts(list), fx);
        }
    }

    /// Requests that a peer's rule file be parsed if its version is newer.
    pub(super) fn parse_newer_rules(&mut self, version: u64, text: Arc<str>, fx: &mut Vec<Effect>) {
        if version > self.rules_version {
            fx.push(Effect::ParseRules { version, text });
        }
    }

    /// Keeps the newest rule text for peers that fetch it.
    pub(super) fn store_rule_text(&mut self, version: u64, text: Arc<str>) {
        let held = self.gossip.rule_text.as_ref();
        if held.is_none_or(|(held, _)| *held < version) {
            self.gossip.rule_text = Some((version, text));
        }
    }

    /// Accepts the platform's versions as current if this host has no partners or none of
    /// them responded in time; it then is the first host of the fleet.
    fn stop_waiting_for_peers(&mut self, now: Instant) {
        if self.gossip.caught_up || !self.membership.has_host_list() || self.rules_version == 0 {
            return;
        }
        let peer_wait_until = *self
            .gossip
            .peer_wait_until
            .get_or_insert(now + FIRST_DIGEST_TIMEOUT);
        self.gossip.caught_up = self.gossip.partners.is_empty() || now >= peer_wait_until;
    }

    /// Starts the shutdown: the host publishes that it is leaving and accepts no new work.
    pub(super) fn start_drain(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.gossip.drain_started_at = Some(now);
        self.set_own_status(MemberStatus::Leaving);
        self.handle_membership_change(now, fx);
    }

    /// Returns whether this host, if it is draining, still claims keys.
    pub(super) fn may_claim(&self, now: Instant) -> bool {
        let started = self.gossip.drain_started_at;
        started.is_none_or(|started| now.duration_since(started) < DRAIN_CLAIM_WINDOW)
    }

    /// Returns whether the drain is complete: all work is done, and the status had time to
    /// reach the other hosts.
    pub(super) fn may_exit(&self, now: Instant) -> bool {
        let started = self.gossip.drain_started_at;
        let is_published =
            started.is_some_and(|started| now.duration_since(started) >= MIN_DRAIN_TIME);
        is_published && self.is_idle(now)
    }
}

/// Returns whether a version should be requested now, and if so, records the request.
fn start_fetch(fetching: &mut Option<(u64, Instant)>, version: u64, now: Instant) -> bool {
    let pending = fetching.is_some_and(|(requested, at)| {
        requested >= version && now.duration_since(at) < FETCH_TIMEOUT
    });
    if !pending {
        *fetching = Some((version, now));
    }
    !pending
}
