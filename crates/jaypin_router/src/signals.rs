//! What backend servers say of themselves in the headers of their answers.

use std::collections::BTreeMap;
use std::time::Instant;

use jaypin_core::BackendId;

use crate::BackendRecord;

/// What the header of one answer says of the backend server that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BackendSignals {
    /// Requests a second that it takes from all hosts together; without it as many as it can.
    pub rate_limit: Option<f64>,
}

/// The newest signals of each backend server.
#[derive(Debug, Default)]
pub struct SignalTable {
    heard: BTreeMap<BackendId, HeardSignals>,
}

/// Signals, and which process gave them when.
#[derive(Debug, Clone, Copy)]
struct HeardSignals {
    signals: BackendSignals,
    /// Start of the backend server's process, as it states it.
    started: u64,
    /// When they were heard.
    at: Instant,
}

impl SignalTable {
    /// Takes the signals of an answer to a request that was sent at some time.
    ///
    /// An answer without a signal withdraws it only if its request was sent after the signal
    /// was heard: answers on different connections overtake each other.
    pub fn heard(
        &mut self,
        record: &BackendRecord,
        signals: BackendSignals,
        sent_at: Instant,
        now: Instant,
    ) {
        let known = self.heard.get(&record.id);
        let known = known.filter(|it| it.started == record.started);
        if signals == BackendSignals::default() && known.is_none_or(|it| sent_at < it.at) {
            return;
        }
        let heard = HeardSignals {
            signals,
            started: record.started,
            at: now,
        };
        self.heard.insert(record.id.clone(), heard);
    }

    /// The signals of a backend server's present process.
    #[must_use]
    pub fn of(&self, record: &BackendRecord) -> BackendSignals {
        let known = self.heard.get(&record.id);
        let known = known.filter(|it| it.started == record.started);
        known.map(|it| it.signals).unwrap_or_default()
    }
}
