//! What the reducer shows to the rest of the process, replaced as a whole.

use std::sync::Arc;

use jaypin_core::{HostId, HostList, HostRecord, Member, ShardReport, Summary, SuspectCounts};
use jaypin_rules::RuleSet;

/// A view of the decision state after some event.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Rules in force.
    pub rules: Arc<RuleSet>,
    /// Their version.
    pub rules_version: u64,
    /// The host list in use.
    pub hosts: Arc<HostList>,
    /// Entry hosts that take work.
    pub live_hosts: Arc<Vec<HostRecord>>,
    /// What is believed of every host.
    pub members: Arc<[(HostId, Member)]>,
    /// Number of the membership view that `live_hosts` is of.
    pub epoch: u64,
    /// Shards that this host leads, at most half a second old.
    pub shards: Arc<Vec<ShardReport>>,
    /// Contents under suspicion, at most half a second old.
    pub suspects: SuspectCounts,
    /// Counts.
    pub summary: Summary,
}
