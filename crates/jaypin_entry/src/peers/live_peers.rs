//! Logs which peers are live.

use std::collections::BTreeSet;

use jaypin_core::HostId;
use tokio::time::Instant;

use crate::host::Host;

/// The peers that were live at the last check.
///
/// Quotas, loads and proofs depend on the reports of peers, so the log shows when the reports of
/// each peer stopped and when they resumed. One check per second is enough: a peer counts as
/// lost after 1.1 s without a report.
#[derive(Debug, Default)]
pub struct LivePeers {
    live: BTreeSet<HostId>,
}

impl LivePeers {
    /// Logs the changes since the last check.
    pub fn log_changes(&mut self, host: &Host) {
        let now = Instant::now().into_std();
        let live: BTreeSet<HostId> = host.read(|router| router.live_peers(now).cloned().collect());
        for peer in live.difference(&self.live) {
            log::info!(peer:%; "peer is live");
        }
        for peer in self.live.difference(&live) {
            log::warn!(peer:%; "peer lost; no recent report");
        }
        self.live = live;
    }
}
