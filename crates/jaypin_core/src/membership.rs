//! Membership of the fleet: the platform's host list, corrected by the statuses that hosts
//! exchange.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::member::{Member, MemberStatus, MemberTable};
use crate::partners::partners;
use crate::rendezvous::{rank_by_score, score};
use crate::{
    BackendId, BackendRecord, Config, HostId, HostList, HostRecord, Incarnation, Presence, Shard,
    ShardMap,
};

/// Number of hosts per failure domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Leadership term of a shard: the leading host, its incarnation and its revision. A
/// restart of the host's process or a refuted suspicion begins a new term, in which the
/// leader has lost its state of the shard.
pub type Term = (HostId, Incarnation, u32);

/// This host's view of hosts and backend servers.
#[derive(Debug, Default)]
pub struct Membership {
    list: HostList,
    shards: ShardMap,
    table: MemberTable,
    leaders: BTreeMap<Shard, HostId>,
    /// Positions of the backend servers in `list`.
    backend_indices: HashMap<BackendId, usize>,
    epoch: u64,
    /// Backend servers that report that they are shutting down.
    reported_leaving: BTreeSet<BackendId>,
}

impl Membership {
    /// Applies a host list if its version is newer. Returns whether it was.
    pub fn update(&mut self, list: HostList, cfg: &Config) -> bool {
        if list.version <= self.list.version {
            return false;
        }
        self.shards = ShardMap::build(&list.backends, cfg.shard_size);
        self.backend_indices = list
            .backends
            .iter()
            .enumerate()
            .map(|(index, backend)| (backend.id.clone(), index))
            .collect();
        self.list = list;
        let listed: BTreeSet<&HostId> = self.list.hosts.iter().map(|host| &host.id).collect();
        self.table
            .retain(|host, member| member.status < MemberStatus::Dead || listed.contains(host));
        self.recompute();
        true
    }

    /// Applies a host's entry if it is newer than the known one. Returns whether it was.
    pub fn apply(&mut self, host: &HostId, member: Member) -> bool {
        let changed = self.table.apply(host, member);
        if changed {
            self.recompute();
        }
        changed
    }

    /// Records whether a backend server reports that it is shutting down. Returns whether
    /// that changed.
    ///
    /// A lagging host list may still name a leaving server as live, which would send new
    /// work to it. The server's own report therefore overrides the list until the server
    /// revokes it.
    pub fn set_reported_leaving(&mut self, backend: &BackendId, leaving: bool) -> bool {
        if leaving {
            self.reported_leaving.insert(backend.clone())
        } else {
            self.reported_leaving.remove(backend)
        }
    }

    /// Recomputes the leaders after a change, since they are looked up for each request.
    fn recompute(&mut self) {
        self.epoch += 1;
        let live: Vec<HostId> = self.live_hosts().map(|host| host.id.clone()).collect();
        self.leaders = self
            .shards
            .iter()
            .filter_map(|(shard, _)| {
                let key = shard.to_string();
                let leader = live.iter().max_by_key(|id| score(&key, id))?;
                Some((shard.clone(), leader.clone()))
            })
            .collect();
    }

    /// Returns a counter that grows with each change of the host list or the membership
    /// table; as long as it is equal, both are unchanged.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether a host list was applied.
    #[must_use]
    pub fn has_host_list(&self) -> bool {
        self.list.version > 0
    }

    /// Returns the newest host list; empty, with version 0, before the first one.
    #[must_use]
    pub fn list(&self) -> &HostList {
        &self.list
    }

    /// Returns the membership table.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Iterates over the entry hosts that accept new work.
    pub fn live_hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.list.hosts.iter().filter(|host| {
            let status = self.status(&host.id);
            host.presence == Presence::Live && status == MemberStatus::Alive
        })
    }

    /// Returns the status of a listed host. A host without an entry counts as alive until
    /// a link to it fails.
    #[must_use]
    pub fn status(&self, host: &str) -> MemberStatus {
        self.table
            .get(host)
            .map_or(MemberStatus::Alive, |member| member.status)
    }

    /// Returns the address at which a host accepts peer links; none when it is not listed.
    #[must_use]
    pub fn link_address(&self, host: &str) -> Option<&str> {
        let record = self.list.hosts.iter().find(|record| &*record.id == host)?;
        Some(&record.link)
    }

    /// Returns the peers that `own` keeps links to.
    #[must_use]
    pub fn partners_of(&self, own: &HostId) -> Vec<HostId> {
        let present: Vec<&HostRecord> = self
            .list
            .hosts
            .iter()
            .filter(|host| host.id == *own || self.status(&host.id) < MemberStatus::Dead)
            .collect();
        partners(own, &present)
    }

    /// Returns whether `own` is one of the few hosts of its failure domain that watch the
    /// platform for the others.
    #[must_use]
    pub fn is_watcher(&self, own: &HostId, domain: &str) -> bool {
        let candidates = self
            .live_hosts()
            .filter(|host| &*host.failure_domain == domain)
            .map(|host| &*host.id);
        rank_by_score("platform watch", candidates)
            .into_iter()
            .take(WATCHERS_PER_DOMAIN)
            .any(|id| id == &**own)
    }

    /// Returns the shards and their backend servers.
    #[must_use]
    pub fn shards(&self) -> &ShardMap {
        &self.shards
    }

    /// Returns the host that leads a shard: the live host that scores highest for it.
    #[must_use]
    pub fn leader(&self, shard: &Shard) -> Option<&HostId> {
        self.leaders.get(shard)
    }

    /// Returns the current leadership term of each shard that has a leader.
    #[must_use]
    pub fn terms(&self) -> BTreeMap<Shard, Term> {
        self.leaders
            .iter()
            .map(|(shard, leader)| {
                let member = self.table.get(leader);
                let (incarnation, revision) =
                    member.map_or((0, 0), |member| (member.incarnation, member.revision));
                (shard.clone(), (leader.clone(), incarnation, revision))
            })
            .collect()
    }

    /// Returns the record of a backend server; none when it is not listed.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<&BackendRecord> {
        self.backend_indices
            .get(id)
            .map(|index| &self.list.backends[*index])
    }

    /// Returns the records of a shard's backend servers. A server counts as leaving when
    /// the host list or the server itself reports it.
    #[must_use]
    pub fn backends_of(&self, shard: &Shard) -> Vec<BackendRecord> {
        let members = self.shards.members(shard);
        let records = members.iter().filter_map(|id| self.backend(id));
        records
            .map(|record| {
                let mut record = record.clone();
                if self.reported_leaving.contains(&record.id) {
                    record.presence = Presence::Leaving;
                }
                record
            })
            .collect()
    }
}
