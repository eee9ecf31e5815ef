//! Who is there: the host list, corrected by what this host sees itself.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::rendezvous::score;
use crate::{
    BackendId, BackendRecord, Config, HostId, HostList, HostRecord, Presence, Shard, ShardMap,
};

/// This host's view of hosts and backend servers.
#[derive(Debug, Default)]
pub struct Membership {
    list: HostList,
    shards: ShardMap,
    lost: BTreeSet<HostId>,
    leaders: BTreeMap<Shard, HostId>,
    places: HashMap<BackendId, usize>,
    epoch: u64,
}

impl Membership {
    /// Takes a newer host list; says whether it was newer.
    pub fn update(&mut self, list: HostList, cfg: &Config) -> bool {
        if list.version <= self.list.version {
            return false;
        }
        self.shards = ShardMap::build(&list.backends, cfg.shard_size);
        self.places = list
            .backends
            .iter()
            .enumerate()
            .map(|(place, backend)| (backend.id.clone(), place))
            .collect();
        self.list = list;
        self.changed();
        true
    }

    /// Marks a peer as unreachable; says whether that is new.
    pub fn lose(&mut self, host: &HostId) -> bool {
        let new = self.lost.insert(host.clone());
        if new {
            self.changed();
        }
        new
    }

    /// Marks a peer as reachable; says whether that is new.
    pub fn regain(&mut self, host: &HostId) -> bool {
        let new = self.lost.remove(host);
        if new {
            self.changed();
        }
        new
    }

    /// Whether a host list was ever read.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.list.version > 0
    }

    /// The host list in use.
    #[must_use]
    pub fn list(&self) -> &HostList {
        &self.list
    }

    /// The shards in use.
    #[must_use]
    pub fn shards(&self) -> &ShardMap {
        &self.shards
    }

    /// Entry hosts that take work.
    pub fn live_hosts(&self) -> impl Iterator<Item = &HostRecord> {
        self.list
            .hosts
            .iter()
            .filter(|host| host.presence == Presence::Live && !self.lost.contains(&host.id))
    }

    /// Counts the changes of this view; equal numbers mean an equal view.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The host that leads a shard: the live one that scores highest for it.
    #[must_use]
    pub fn leader(&self, shard: &Shard) -> Option<&HostId> {
        self.leaders.get(shard)
    }

    /// Finds a backend server.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<&BackendRecord> {
        self.places.get(id).map(|place| &self.list.backends[*place])
    }

    /// Derives what is looked up for each request, once a change.
    fn changed(&mut self) {
        self.epoch += 1;
        let leaders = self.shards.iter().filter_map(|(shard, _)| {
            let key = shard.to_string();
            let leader = self
                .live_hosts()
                .map(|host| &host.id)
                .max_by_key(|id| score(&key, id))?;
            Some((shard.clone(), leader.clone()))
        });
        self.leaders = leaders.collect();
    }
}
