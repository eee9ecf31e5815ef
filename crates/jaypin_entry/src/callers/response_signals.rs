//! What the headers of a response say of its backend server.

use jaypin_core::BackendId;
use jaypin_router::{BackendSignals, BackendStatus, Event};

use super::request_task::RequestTask;
use crate::ports::BackendResponse;

impl RequestTask {
    /// Passes the rate limit, the leaving state and the backoff in a backend server's response
    /// headers to the reducer, and logs a change of the first two.
    pub(super) fn apply_signals(&self, backend: &BackendId, head: &BackendResponse) {
        // The responding server is not the one that is registered under this id.
        if head.is_misdirected {
            return;
        }
        let number = self.number;
        let before = self.host.read(|router| router.signals_of(backend));
        let rate_limit = match &head.rate_limit {
            Ok(rate_limit) => *rate_limit,
            Err(error) => {
                log::warn!(backend, error:%; "invalid rate limit from a backend server; keeping the previous one");
                before.rate_limit
            }
        };
        let backoff = match &head.backoff {
            Ok(backoff) => *backoff,
            Err(error) => {
                log::warn!(backend, error:%; "invalid backoff from a backend server; ignored");
                None
            }
        };
        if let Some(backoff) = backoff {
            let ms = backoff.as_millis();
            log::info!(backend, ms; "a backend server requested backoff");
        }
        let rejection_limit = match &head.rejection_limit {
            Ok(limit) => *limit,
            Err(error) => {
                log::warn!(backend, error:%; "invalid rejection limit from a backend server; keeping the previous one");
                before.rejection_limit
            }
        };
        let signals = BackendSignals {
            rate_limit,
            rejection_limit,
            is_leaving: head.status == BackendStatus::Leaving,
        };
        self.host.apply(Event::HeaderReceived {
            number,
            signals,
            backoff,
        });
        let after = self.host.read(|router| router.signals_of(backend));
        if before != after {
            log::info!(backend, before:?, after:?; "signals of a backend server changed");
        }
    }
}
