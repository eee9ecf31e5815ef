//! Who is there: the host list, corrected by what hosts tell each other.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::member::{Member, MemberStatus, MemberTable};
use crate::partners::partners;
use crate::rendezvous::{rank_by_score, score};
use crate::{
    BackendId, BackendRecord, Config, HostId, HostList, HostRecord, Incarnation, Presence, Shard,
    ShardMap,
};

/// Hosts of a failure domain that hold the platform's watches.
const WATCHERS_PER_DOMAIN: usize = 2;

/// A leader in one stretch of its leadership. A new run of its process, or a refuted
/// suspicion, begins a new term: what it knew of its shards is gone.
pub type Term = (HostId, Incarnation, u32);

/// This host's view of hosts and backend servers.
#[derive(Debug, Default)]
pub struct Membership {
    list: HostList,
    shards: ShardMap,
    table: MemberTable,
    leaders: BTreeMap<Shard, HostId>,
    backend_indices: HashMap<BackendId, usize>,
    epoch: u64,
    reported_leaving: BTreeSet<BackendId>,
}

impl Membership {
    // ------------------------------------------------------------------ changes

    /// Takes a newer host list; says whether it was newer.
    pub fn update(&mut self, list: HostList, cfg: &Config) -> bool {
        if list.version <= self.list.version {
            return false;
        }
        self.shards = ShardMap::build(&list.backends, cfg.shard_size);
        self.backend_indices = list
            .backends
            .iter()
            .enumerate()
            .map(|(place, backend)| (backend.id.clone(), place))
            .collect();
        self.list = list;
        let listed: BTreeSet<&HostId> = self.list.hosts.iter().map(|host| &host.id).collect();
        self.table
            .retain(|host, member| member.status < MemberStatus::Dead || listed.contains(host));
        self.recompute();
        true
    }

    /// Takes what is believed of a host; says whether it is news.
    pub fn apply(&mut self, host: &HostId, member: Member) -> bool {
        let changed = self.table.apply(host, member);
        if changed {
            self.recompute();
        }
        changed
    }

    /// Takes what a backend server says of itself; says whether it is news.
    ///
    /// Guards against a lagging host list, which goes on naming a leaving server as
    /// live and would bring new work to it: the server's own word stays until the
    /// server takes it back.
    pub fn set_reported_leaving(&mut self, backend: &BackendId, leaving: bool) -> bool {
        if leaving {
            self.reported_leaving.insert(backend.clone())
        } else {
            self.reported_leaving.remove(backend)
        }
    }

    /// Derives what is looked up for each request, once a change.
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

    // ------------------------------------------------------------------ hosts

    /// Counts the changes of this view; equal numbers mean an equal view.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether a host list was ever read.
    #[must_use]
    pub fn has_host_list(&self) -> bool {
        self.list.version > 0
    }

    /// The host list in use.
    #[must_use]
    pub fn list(&self) -> &HostList {
        &self.list
    }

    /// What is believed of every host that was heard of.
    #[must_use]
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Entry hosts that take work.
    pub fn live_hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.list.hosts.iter().filter(|host| {
            let status = self.status(&host.id);
            host.presence == Presence::Live && status == MemberStatus::Alive
        })
    }

    /// What is believed of a listed host; one that nothing was heard of counts as alive
    /// until a link to it is refused.
    #[must_use]
    pub fn status(&self, host: &str) -> MemberStatus {
        self.table
            .get(host)
            .map_or(MemberStatus::Alive, |member| member.status)
    }

    /// Where a host takes links.
    #[must_use]
    pub fn link_address(&self, host: &str) -> Option<&str> {
        let record = self.list.hosts.iter().find(|record| &*record.id == host)?;
        Some(&record.link)
    }

    /// The peers that `own` keeps links to.
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

    /// Whether `own` is one of the few hosts that watch the platform for the others.
    #[must_use]
    pub fn is_watcher(&self, own: &HostId, domain: &str) -> bool {
        let near = self
            .live_hosts()
            .filter(|host| &*host.failure_domain == domain)
            .map(|host| &*host.id);
        rank_by_score("platform watch", near)
            .into_iter()
            .take(WATCHERS_PER_DOMAIN)
            .any(|id| id == &**own)
    }

    // ------------------------------------------------------------------ shards

    /// The shards in use.
    #[must_use]
    pub fn shards(&self) -> &ShardMap {
        &self.shards
    }

    /// The host that leads a shard: the live one that scores highest for it.
    #[must_use]
    pub fn leader(&self, shard: &Shard) -> Option<&HostId> {
        self.leaders.get(shard)
    }

    /// The leaders of all shards with their terms.
    #[must_use]
    pub fn terms(&self) -> BTreeMap<Shard, Term> {
        self.leaders
            .iter()
            .map(|(shard, leader)| {
                let run = self.table.get(leader);
                let (incarnation, revision) =
                    run.map_or((0, 0), |run| (run.incarnation, run.revision));
                (shard.clone(), (leader.clone(), incarnation, revision))
            })
            .collect()
    }

    /// Finds a backend server.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<&BackendRecord> {
        self.backend_indices
            .get(id)
            .map(|place| &self.list.backends[*place])
    }

    /// A shard's backend servers, leaving ones marked whoever said so.
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
