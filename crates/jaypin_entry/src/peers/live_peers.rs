//! Which peers are heard, for the log.

use std::collections::BTreeSet;

use jaypin_core::HostId;
use tokio::time::Instant;

use crate::host::Host;

/// The peers that were heard when it was looked last.
///
/// Quotas, loads and proofs rest on what peers tell, so the log says when each was lost and
/// when it was back. Looked at once a second: a peer counts as lost after 1.1 s anyway.
#[derive(Debug, Default)]
pub struct LivePeers {
    live: BTreeSet<HostId>,
}

impl LivePeers {
    /// Writes down what changed since the last look.
    pub fn log_changes(&mut self, host: &Host) {
        let now = Instant::now().into_std();
        let live: BTreeSet<HostId> =
            host.read(|router| router.live_peers(now).cloned().collect());
        for peer in live.difference(&self.live) {
            log::info!(peer:%; "peer heard");
        }
        for peer in self.live.difference(&live) {
            log::warn!(peer:%; "peer lost");
        }
        self.live = live;
    }
}
