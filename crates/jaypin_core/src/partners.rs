//! Gossip partners: the peers that a host keeps a link to, its neighbours in two rings.

use crate::rendezvous::score;
use crate::{HostId, HostRecord};

/// Rendezvous keys that define the order of the hosts in each ring.
const RING_KEYS: [&str; 2] = ["first ring", "second ring"];

/// Returns the partners of a host among `hosts`, which are the hosts that are not dead.
///
/// A host has four partners, or fewer in a small fleet. It has a fifth one from another
/// failure domain when all four are in its own.
///
/// Each ring alone connects all hosts. Being neighbours is mutual, so both ends keep the
/// same link. The order in a ring depends only on the hosts' ids, so adding or removing a
/// host changes only the links next to it. A second ring makes paths short and keeps the
/// remaining hosts connected when a failure domain is lost.
#[must_use]
pub fn partners(own: &HostId, hosts: &[&HostRecord]) -> Vec<HostId> {
    let Some(record) = hosts.iter().find(|host| host.id == *own) else {
        return Vec::new();
    };
    let mut chosen: Vec<&HostRecord> = Vec::new();
    for ring in RING_KEYS {
        let others = ring_order(ring, record, hosts);
        for neighbour in [others.first(), others.last()].into_iter().flatten() {
            if !chosen.iter().any(|other| other.id == neighbour.id) {
                chosen.push(neighbour);
            }
        }
    }
    let is_remote = |host: &&HostRecord| host.failure_domain != record.failure_domain;
    if !chosen.iter().any(is_remote) {
        let others = ring_order(RING_KEYS[0], record, hosts);
        chosen.extend(others.into_iter().find(is_remote));
    }
    chosen.into_iter().map(|host| host.id.clone()).collect()
}

/// Returns the other hosts in the order of a ring, from the successor of `own` to its
/// predecessor.
fn ring_order<'a>(ring: &str, own: &HostRecord, hosts: &[&'a HostRecord]) -> Vec<&'a HostRecord> {
    let position = |host: &HostRecord| (score(ring, &host.id), host.id.clone());
    let from = position(own);
    let mut others: Vec<&HostRecord> = hosts
        .iter()
        .filter(|host| host.id != own.id)
        .copied()
        .collect();
    others.sort_by_cached_key(|host| {
        let to = position(host);
        (to < from, to)
    });
    others
}
