//! Which peers a host keeps a link to: its neighbours in two rings.

use crate::rendezvous::score;
use crate::{HostId, HostRecord};

/// Keys of the two orders that hosts stand in.
const RING_KEYS: [&str; 2] = ["first ring", "second ring"];

/// The partners of a host among the hosts that are not gone: four, or fewer in a small
/// fleet; a fifth when all four stand in the host's own failure domain.
///
/// Each ring alone connects all hosts, and neighbourhood is mutual, so both ends keep the
/// same link. The orders are fixed by the hosts' names: one host more or less moves only
/// the links next to it. Two orders make ways short, and leave the rest connected when a
/// failure domain is lost.
#[must_use]
pub fn partners(own: &HostId, hosts: &[&HostRecord]) -> Vec<HostId> {
    let Some(record) = hosts.iter().find(|host| host.id == *own) else {
        return Vec::new();
    };
    let mut chosen: Vec<&HostRecord> = Vec::new();
    for ring in RING_KEYS {
        let after = ring_order(ring, record, hosts);
        for neighbour in [after.first(), after.last()].into_iter().flatten() {
            if !chosen.iter().any(|other| other.id == neighbour.id) {
                chosen.push(neighbour);
            }
        }
    }
    let is_far = |host: &&HostRecord| host.failure_domain != record.failure_domain;
    if !chosen.iter().any(is_far) {
        let after = ring_order(RING_KEYS[0], record, hosts);
        chosen.extend(after.into_iter().find(is_far));
    }
    chosen.into_iter().map(|host| host.id.clone()).collect()
}

/// The other hosts in the order of a ring, from the one behind `own` round to the one
/// before it.
fn ring_order<'a>(ring: &str, own: &HostRecord, hosts: &[&'a HostRecord]) -> Vec<&'a HostRecord> {
    let place = |host: &HostRecord| (score(ring, &host.id), host.id.clone());
    let from = place(own);
    let mut others: Vec<&HostRecord> = hosts
        .iter()
        .filter(|host| host.id != own.id)
        .copied()
        .collect();
    others.sort_by_cached_key(|host| {
        let to = place(host);
        (to < from, to)
    });
    others
}
