//! The local policy for comparison: each host has a fixed share of each backend server's
//! slots.
//!
//! Every host leads all shards for itself and grants from its own share. The queue, the
//! refusals and the learned speeds are those of the shard scheduler; only the information
//! is limited to one host.

use crate::{BackendRecord, HostId, score};

/// Returns a backend server's record with this host's share of its slots; `None` when the
/// share is empty.
///
/// Slots that don't divide evenly go to the hosts that rank first for the backend server,
/// so the shares of all hosts add up to its slots.
#[must_use]
pub fn share_of(record: &BackendRecord, host: &HostId, hosts: &[HostId]) -> Option<BackendRecord> {
    let count = u32::try_from(hosts.len()).unwrap_or(u32::MAX).max(1);
    let own_score = score(&record.id, host);
    let better_ranked = hosts
        .iter()
        .filter(|other| *other != host && score(&record.id, other) > own_score)
        .count();
    let remainder = (record.slots % count) as usize;
    let slots = record.slots / count + u32::from(better_ranked < remainder);
    (slots > 0).then(|| BackendRecord {
        slots,
        ..record.clone()
    })
}
