//! Shards: groups of backend servers of one service, each with a single scheduler.

use std::collections::BTreeMap;
use std::fmt;

use crate::rendezvous::{rank_by_score, score};
use crate::{BackendId, BackendRecord, ServiceId};

/// Identifies a shard.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard {
    /// The service that the shard belongs to.
    pub service: ServiceId,
    /// Number of the shard within its service, from 0.
    pub index: u16,
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

/// The assignment of backend servers to shards.
///
/// Every host computes the same map from the same host list.
#[derive(Debug, Clone, Default)]
pub struct ShardMap {
    members: BTreeMap<Shard, Vec<BackendId>>,
    shard_of_backend: BTreeMap<BackendId, Shard>,
}

impl ShardMap {
    /// Distributes backend servers over shards with at most `size` members each.
    ///
    /// Each backend server goes to the shard with the highest score for it among those that
    /// still have room, so adding or removing one moves few others.
    #[must_use]
    pub fn build(backends: &[BackendRecord], size: usize) -> Self {
        let mut by_service: BTreeMap<&ServiceId, Vec<&BackendId>> = BTreeMap::new();
        for backend in backends {
            by_service
                .entry(&backend.service)
                .or_default()
                .push(&backend.id);
        }
        let mut map = Self::default();
        for (service, mut ids) in by_service {
            ids.sort_by_key(|id| score(service, id));
            map.spread(service, &ids, size.max(1));
        }
        map
    }

    fn spread(&mut self, service: &ServiceId, ids: &[&BackendId], size: usize) {
        let count = ids.len().div_ceil(size);
        let capacity = ids.len().div_ceil(count.max(1));
        let names: Vec<String> = (0..count).map(|index| index.to_string()).collect();
        let mut filled = vec![0; count];
        for id in ids {
            let ranked = rank_by_score(id, names.iter().map(String::as_str));
            let chosen = ranked
                .into_iter()
                .filter_map(|name| name.parse::<usize>().ok())
                .find(|index| filled[*index] < capacity)
                .unwrap_or_default();
            filled[chosen] += 1;
            let index = u16::try_from(chosen).unwrap_or(u16::MAX);
            let shard = Shard {
                service: service.clone(),
                index,
            };
            self.shard_of_backend.insert((*id).clone(), shard.clone());
            self.members.entry(shard).or_default().push((*id).clone());
        }
    }

    /// Returns the shards of a service in ascending order.
    pub fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = &Shard> {
        let first = Shard {
            service: service.clone(),
            index: 0,
        };
        let last = Shard {
            service: service.clone(),
            index: u16::MAX,
        };
        self.members.range(first..=last).map(|(shard, _)| shard)
    }

    /// Returns all shards with their backend servers.
    pub fn iter(&self) -> impl Iterator<Item = (&Shard, &Vec<BackendId>)> {
        self.members.iter()
    }

    /// Returns the backend servers of a shard; empty when the shard is unknown.
    #[must_use]
    pub fn members(&self, shard: &Shard) -> &[BackendId] {
        self.members.get(shard).map_or(&[], Vec::as_slice)
    }

    /// Returns the shard of a backend server.
    #[must_use]
    pub fn shard_of(&self, backend: &str) -> Option<&Shard> {
        self.shard_of_backend.get(backend)
    }
}
