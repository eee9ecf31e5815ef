//! Who is there: the host list, corrected by what this host sees itself.

use std::collections::BTreeSet;

use crate::rendezvous::score;
use crate::{BackendRecord, Config, HostId, HostList, HostRecord, Presence, Shard, ShardMap};

/// This host's view of hosts and backend servers.
#[derive(Debug, Default)]
pub struct Membership {
    list: HostList,
    shards: ShardMap,
    lost: BTreeSet<HostId>,
}

impl Membership {
    /// Takes a newer host list; says whether it was newer.
    pub fn update(&mut self, list: HostList, cfg: &Config) -> bool {
        if list.version <= self.list.version {
            return false;
        }
        self.shards = ShardMap::build(&list.backends, cfg.shard_size);
        self.list = list;
        true
    }

    /// Marks a peer as unreachable; says whether that is new.
    pub fn lose(&mut self, host: &HostId) -> bool {
        self.lost.insert(host.clone())
    }

    /// Marks a peer as reachable; says whether that is new.
    pub fn regain(&mut self, host: &HostId) -> bool {
        self.lost.remove(host)
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

    /// The host that leads a shard: the live one that scores highest for it.
    #[must_use]
    pub fn leader(&self, shard: &Shard) -> Option<&HostId> {
        let key = shard.to_string();
        self.live_hosts()
            .map(|host| &host.id)
            .max_by_key(|id| score(&key, id))
    }

    /// Finds a backend server.
    #[must_use]
    pub fn backend(&self, id: &str) -> Option<&BackendRecord> {
        self.list.backends.iter().find(|backend| &*backend.id == id)
    }
}
