//! Which peers a host keeps a link to: its neighbours in two rings.

use std::collections::BTreeMap;

use crate::rendezvous::score;
use crate::{FailureDomain, HostId, HostRecord};

/// Fixed point of a place in the first ring.
const RING_SCALE: usize = 1 << 20;

/// The partners of a host among the hosts that are not gone: at most four.
///
/// The first ring goes round the failure domains, so both neighbours there stand in
/// other domains than the host wherever sizes allow, and a domain can fail without
/// cutting the graph. The second is in random order, which makes ways short. Each ring
/// alone connects all hosts, and neighbourhood is mutual: both ends keep the same link.
#[must_use]
pub fn partners(own: &HostId, hosts: &[&HostRecord]) -> Vec<HostId> {
    let mut chosen = Vec::new();
    for ring in [domain_ring(hosts), random_ring(hosts)] {
        for neighbour in neighbours(own, &ring) {
            if neighbour != *own && !chosen.contains(&neighbour) {
                chosen.push(neighbour);
            }
        }
    }
    chosen
}

fn domain_ring(hosts: &[&HostRecord]) -> Vec<HostId> {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<&HostId>> = BTreeMap::new();
    for host in hosts {
        by_domain
            .entry(&host.failure_domain)
            .or_default()
            .push(&host.id);
    }
    let mut places = Vec::new();
    for (domain, mut ids) in by_domain {
        ids.sort_by_key(|id| score("domain ring", id));
        let count = ids.len();
        for (index, id) in ids.into_iter().enumerate() {
            let place = (2 * index + 1) * RING_SCALE / (2 * count);
            places.push((place, domain, id));
        }
    }
    places.sort();
    places.into_iter().map(|(_, _, id)| id.clone()).collect()
}

fn random_ring(hosts: &[&HostRecord]) -> Vec<HostId> {
    let mut ids: Vec<&HostId> = hosts.iter().map(|host| &host.id).collect();
    ids.sort_by_key(|id| score("random ring", id));
    ids.into_iter().cloned().collect()
}

fn neighbours(own: &HostId, ring: &[HostId]) -> Vec<HostId> {
    let Some(at) = ring.iter().position(|id| id == own) else {
        return Vec::new();
    };
    let count = ring.len();
    vec![
        ring[(at + 1) % count].clone(),
        ring[(at + count - 1) % count].clone(),
    ]
}
