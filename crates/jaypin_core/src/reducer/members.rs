//! Entries of the membership table: those that peers send, suspicions, and this host's own.

use std::collections::BTreeMap;
use std::time::Instant;

use super::Reducer;
use crate::member::{BUCKET_COUNT, Member, MemberStatus};
use crate::{Effect, HostId, Incarnation, Message};

/// Bucket numbers are sent as bytes.
const _: () = assert!(BUCKET_COUNT <= u8::MAX as usize);

impl Reducer {
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
    pub(super) fn declare_suspects_dead(&mut self, now: Instant, fx: &mut Vec<Effect>) {
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
}
