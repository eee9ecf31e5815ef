//! The copy of the reducer's state that the rest of the process reads. The reducer's thread
//! replaces it as a whole.

use std::sync::Arc;

use jaypin_core::{HostId, HostList, HostRecord, Member, ShardReport, Summary, SuspectCounts};
use jaypin_rules::RuleSet;

/// The reducer's state after an event.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Current rules.
    pub rules: Arc<RuleSet>,
    /// Version of the rules; 0 before the first ones were read.
    pub rules_version: u64,
    /// Current host list.
    pub hosts: Arc<HostList>,
    /// Entry hosts that accept work.
    pub live_hosts: Arc<Vec<HostRecord>>,
    /// Membership state of every host, as this host knows it.
    pub members: Arc<[(HostId, Member)]>,
    /// Number of the membership view from which `live_hosts` was derived.
    pub epoch: u64,
    /// State of the shards that this host leads, at most half a second old.
    pub shards: Arc<Vec<ShardReport>>,
    /// Numbers of suspected and quarantined request contents, at most half a second old.
    pub suspects: SuspectCounts,
    /// Versions, counts and flags that are updated after every event.
    pub summary: Summary,
}
