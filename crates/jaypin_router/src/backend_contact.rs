//! Whether this host can open connections to backend servers at all.

use std::collections::BTreeSet;

use jaypin_core::BackendId;

/// Number of backend servers to which connections must fail in a row before the host counts as cut
/// off from all of them.
const CUT_OFF_FAILURES: usize = 5;
/// Number of them from which on connections to further ones are probed.
const SUSPICIOUS_FAILURES: usize = 2;

/// Whether a host can open connections to backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It reaches some, as far as it knows.
    Reaching,
    /// It reaches none.
    CutOff,
}

/// The backend servers to which connections have failed since one was last opened.
///
/// Answers on connections that were opened before don't count: they may live on while new ones
/// fail.
#[derive(Debug, Default)]
pub struct BackendContact {
    failed: BTreeSet<BackendId>,
}

impl BackendContact {
    /// Records that a connection could not be opened.
    pub fn record_failure(&mut self, backend: &BackendId) {
        self.failed.insert(backend.clone());
    }

    /// Records that a connection was opened.
    pub fn record_success(&mut self) {
        self.failed.clear();
    }

    /// Forgets backend servers that no longer exist.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.failed.retain(is_known);
    }

    /// Returns the number of backend servers to which connections have failed.
    #[must_use]
    pub fn failure_count(&self) -> usize {
        self.failed.len()
    }

    /// Returns whether connections to this backend server have failed.
    #[must_use]
    pub fn has_failed(&self, backend: &str) -> bool {
        self.failed.contains(backend)
    }

    /// Returns whether the host may be cut off, so that connections should be probed.
    #[must_use]
    pub fn is_suspicious(&self) -> bool {
        self.failed.len() >= SUSPICIOUS_FAILURES
    }

    /// Returns whether the host is cut off, of so many `known` backend servers.
    #[must_use]
    pub fn is_cut_off(&self, known: usize) -> bool {
        self.is_suspicious() && self.failed.len() >= known.min(CUT_OFF_FAILURES)
    }
}
