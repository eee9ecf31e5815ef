//! Gossip between partners: digests of versions are sent periodically, contents on request,
//! and changes of the membership table at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;

use super::{DRAIN_CLAIM_WINDOW, Reducer};
use crate::member::{BUCKET_COUNT, Member, MemberStatus};
use crate::{Config, Digest, Effect, HostId, Incarnation, Message};

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
    changed_members: BTreeSet<HostId>,
    /// The newest rule file, with its version.
    rule_text: Option<(u64, Arc<str>)>,
    fetching: Fetching,
    /// Suspect hosts, with the time since when they are suspect.
    suspects: BTreeMap<HostId, Instant>,
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

    fn own_digest(&self) -> Digest {
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

    /// Sends all entries of the buckets in which a peer's table differs.
    pub(super) fn handle_buckets(&mut self, from: &HostId, hashes: &[u64], fx: &mut Vec<Effect>) {
        let own = self.membership.table().bucket_hashes();
        let differing: Vec<u8> = (0..BUCKET_COUNT)
            .filter(|index| hashes.get(*index) != Some(&own[*index]))
            .filter_map(|index| u8::try_from(index).ok())
            .collect();
        if differing.is_empty() {
            return;
        }
        let entries = self.membership.table().in_buckets(&differing);
        self.send(
            from,
            Message::Members {
                entries,
                complete_buckets: differing,
            },
            fx,
        );
    }

    /// Applies a peer's entries, and sends back those that the peer lacks.
    pub(super) fn handle_members(
        &mut self,
        now: Instant,
        from: &HostId,
        entries: Vec<(HostId, Member)>,
        complete_buckets: &[u8],
        fx: &mut Vec<Effect>,
    ) {
        let lacking = self.entries_lacking(&entries, complete_buckets);
        if !lacking.is_empty() {
            let response = Message::Members {
                entries: lacking,
                complete_buckets: Vec::new(),
            };
            self.send(from, response, fx);
        }
        self.apply_members(now, entries, fx);
    }

    /// Returns the entries of the given buckets that a peer lacks or has an older version
    /// of.
    fn entries_lacking(
        &self,
        theirs: &[(HostId, Member)],
        complete_buckets: &[u8],
    ) -> Vec<(HostId, Member)> {
        let theirs: BTreeMap<&HostId, &Member> =
            theirs.iter().map(|(host, member)| (host, member)).collect();
        let mut own = self.membership.table().in_buckets(complete_buckets);
        own.retain(|(host, member)| theirs.get(host).is_none_or(|theirs| **theirs < *member));
        own
    }

    fn apply_members(
        &mut self,
        now: Instant,
        entries: Vec<(HostId, Member)>,
        fx: &mut Vec<Effect>,
    ) {
        let mut changed = false;
        for (host, member) in entries {
            if host == self.cfg.host {
                self.refute_accusation(now, member, fx);
            } else {
                changed |= self.apply_member(now, &host, member);
            }
        }
        if changed {
            self.handle_membership_change(now, fx);
        }
    }

    /// Applies an entry of another host if it is newer. Returns whether it was.
    fn apply_member(&mut self, now: Instant, host: &HostId, member: Member) -> bool {
        let before = self.membership.table().get(host);
        if !self.membership.apply(host, member) {
            return false;
        }
        self.gossip.changed_members.insert(host.clone());
        let restarted = before.is_some_and(|before| before.incarnation < member.incarnation);
        let was_suspected = before.is_some_and(|before| before.is_suspected());
        for scheduler in self.schedulers.values_mut() {
            if member.is_suspected() || restarted {
                scheduler.mark_owner_lost(host, now);
            }
            if !member.is_suspected() && (was_suspected || restarted) {
                scheduler.mark_owner_recovered(host, now);
            }
        }
        if member.status == MemberStatus::Suspect {
            self.gossip.suspects.insert(host.clone(), now);
        } else {
            self.gossip.suspects.remove(host);
        }
        true
    }

    /// Marks hosts dead that stayed suspect until the timeout.
    fn declare_suspects_dead(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let timeout = self.cfg.suspect_timeout;
        let overdue: Vec<HostId> = self
            .gossip
            .suspects
            .iter()
            .filter(|(_, since)| now.duration_since(**since) >= timeout)
            .map(|(host, _)| host.clone())
            .collect();
        for host in overdue {
            self.mark_peer(now, &host, MemberStatus::Dead, fx);
        }
    }

    /// Marks a peer suspect or dead, unless its entry has that or a later status already.
    fn mark_peer(
        &mut self,
        now: Instant,
        host: &HostId,
        status: MemberStatus,
        fx: &mut Vec<Effect>,
    ) {
        let known = self.membership.table().get(host);
        let member = known.unwrap_or(Member::alive(0)).with_status(status);
        if known.is_some_and(|known| known.status >= status) {
            return;
        }
        if self.apply_member(now, host, member) {
            self.handle_membership_change(now, fx);
        }
    }

    /// Marks a peer dead whose process has exited, and the claims that it holds as orphaned.
    pub(super) fn handle_peer_exit(&mut self, now: Instant, host: &HostId, fx: &mut Vec<Effect>) {
        self.keys.orphan(host);
        self.mark_peer(now, host, MemberStatus::Dead, fx);
    }

    /// Marks a peer suspect from which nothing is received, and the claims that it holds as
    /// orphaned.
    pub(super) fn handle_peer_silence(
        &mut self,
        now: Instant,
        host: &HostId,
        fx: &mut Vec<Effect>,
    ) {
        self.keys.orphan(host);
        self.mark_peer(now, host, MemberStatus::Suspect, fx);
    }

    /// Handles a new link. The peer authenticated, so its process runs; a new incarnation
    /// of it becomes a new entry. A peer that is marked suspect or dead learns this from
    /// the digest exchange and refutes it.
    pub(super) fn handle_peer_link(
        &mut self,
        now: Instant,
        host: &HostId,
        incarnation: Incarnation,
        fx: &mut Vec<Effect>,
    ) {
        if self.apply_member(now, host, Member::alive(incarnation)) {
            self.handle_membership_change(now, fx);
        }
        let digest = self.own_digest();
        self.send(host, Message::Digest(digest), fx);
    }

    /// Sets this host's status in its own entry, which is published to the partners once
    /// there are any.
    pub(super) fn set_own_status(&mut self, status: MemberStatus) {
        let host = self.cfg.host.clone();
        let known = self.membership.table().get(&host);
        let own = known.filter(|known| known.incarnation == self.cfg.incarnation);
        let member = own.unwrap_or(Member::alive(self.cfg.incarnation));
        if self.membership.apply(&host, member.with_status(status)) {
            self.gossip.changed_members.insert(host);
        }
    }

    /// Refutes an entry that marks this host suspect or dead.
    ///
    /// Peers may mark a running host that was frozen or whose links were cut, in an entry
    /// with its current incarnation. An entry with a greater revision overrides it on all
    /// hosts. Other hosts took over this host's shards meanwhile, so its schedulers are
    /// restarted. They also dropped the requests that this host had queued there, so those
    /// are requested again.
    fn refute_accusation(&mut self, now: Instant, received: Member, fx: &mut Vec<Effect>) {
        let accused = received.incarnation == self.cfg.incarnation && received.is_suspected();
        let host = self.cfg.host.clone();
        let own = self.membership.table().get(&host);
        if !accused || own.is_some_and(|own| own.revision > received.revision) {
            return;
        }
        self.begin_term(now, received.revision.saturating_add(1), fx);
    }

    /// Begins a new leadership term, with a revision that overrides all entries of this
    /// incarnation. All owners then report their running requests again.
    fn begin_term(&mut self, now: Instant, revision: u32, fx: &mut Vec<Effect>) {
        let host = self.cfg.host.clone();
        let status = if self.draining {
            MemberStatus::Leaving
        } else {
            MemberStatus::Alive
        };
        let member = Member {
            revision,
            ..Member::alive(self.cfg.incarnation).with_status(status)
        };
        self.membership.apply(&host, member);
        self.gossip.changed_members.insert(host);
        self.restart_schedulers(now, fx);
        self.request_all_slots_again(now, fx);
    }

    /// Begins a new leadership term after this process was paused.
    ///
    /// A pause shows as a gap between two events, since ticks arrive all the time. Other
    /// hosts may have taken over this host's shards meanwhile, so it must not grant a
    /// single slot based on outdated counts.
    pub(super) fn detect_pause(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let last = self.last_event.replace(now);
        let limit = self.cfg.pause_limit;
        if last.is_none_or(|last| now.duration_since(last) < limit) {
            return;
        }
        self.gossip.versions_changed = true;
        for since in self.gossip.suspects.values_mut() {
            *since = now;
        }
        let own = self.membership.table().get(&self.cfg.host);
        let revision = own.map_or(0, |own| own.revision).saturating_add(1);
        self.begin_term(now, revision, fx);
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

/// Bucket numbers are sent as bytes.
const _: () = assert!(BUCKET_COUNT <= u8::MAX as usize);
