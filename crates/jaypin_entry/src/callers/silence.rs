//! Silence of the recipient of a call.

use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use jaypin_router::{RequestNumber, SilentCall, StayReason};
use tokio::time::{Instant, sleep, sleep_until};

use super::request_task::RequestTask;
use crate::calls::SendOrder;
use crate::host::Host;

/// Time for which this host must have run before it takes a call for silent.
const SETTLE_TIME: Duration = Duration::from_millis(20);
/// Lateness of a timer from which on this host has stood still.
const STALL_LATENESS: Duration = Duration::from_millis(30);
/// Maximum number of times that it waits for such a moment.
const MAX_SETTLE_ROUNDS: u32 = 3;

/// A silence that ended a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Silence {
    /// Time for which nothing arrived.
    pub(super) time: Duration,
    /// Longest time by which this host checked the silence late.
    pub(super) lateness: Duration,
    /// Whether the backend server accepted new connections.
    pub(super) accepts_connections: bool,
}

/// Watches a call for silences, and has the reducer decide what becomes of a silent call.
#[derive(Debug)]
pub(super) struct SilenceWatch<'a> {
    host: Rc<Host>,
    number: RequestNumber,
    id: String,
    order: &'a SendOrder,
    since: Instant,
    limit: Option<Duration>,
}

impl<'a> SilenceWatch<'a> {
    pub(super) fn new(task: &RequestTask, order: &'a SendOrder) -> Self {
        Self {
            host: task.host.clone(),
            number: task.number,
            id: task.received.header.id.clone(),
            order,
            since: Instant::now(),
            limit: None,
        }
    }

    /// Begins a new wait, which is a silence from `limit` on, if there is one.
    pub(super) fn restart(&mut self, limit: Option<Duration>) {
        self.since = Instant::now();
        self.limit = limit;
    }

    /// Awaits the next step of the call. Only a silence after which the request can go on elsewhere
    /// ends the wait, and the caller has to end the call without another await.
    pub(super) async fn next<T>(&self, step: impl Future<Output = T>) -> Result<T, Silence> {
        tokio::select! {
            biased;
            done = step => Ok(done),
            silence = self.ending_silence() => Err(silence),
        }
    }

    async fn ending_silence(&self) -> Silence {
        let Some(limit) = self.limit else {
            return pending().await;
        };
        let mut due = self.since + limit;
        let mut known_reason = StayReason::Short;
        let mut lateness = Duration::ZERO;
        loop {
            sleep_until(due).await;
            lateness = lateness.max(due.elapsed());
            let connections = &self.host.connections;
            let accepts_connections = connections.accepts_connections(&self.order.address).await;
            settle().await;
            let time = self.since.elapsed();
            let decision = self
                .host
                .silent_call(self.number, time, accepts_connections);
            match decision {
                SilentCall::Ends => {
                    return Silence {
                        time,
                        lateness,
                        accepts_connections,
                    };
                }
                SilentCall::GoesOn {
                    reason,
                    ask_again_after,
                } => {
                    if reason != known_reason {
                        known_reason = reason;
                        self.log_stay(reason, time);
                    }
                    due = Instant::now() + ask_again_after;
                }
            }
        }
    }

    fn log_stay(&self, reason: StayReason, time: Duration) {
        let backend = self.order.recipient.name();
        let (id, why) = (&self.id, reason.as_str());
        let silent_ms = time.as_millis();
        log::info!(id, backend, silent_ms, why; "nothing arrives from a backend server; waiting on");
    }
}

/// Waits until this host has run for a moment without a stall, so that it has read what arrived
/// during one.
///
/// A host that was suspended notices expired timers before it has read what arrived meanwhile. One
/// that is starved stalls all the time, but reads in between.
async fn settle() {
    for _ in 0..MAX_SETTLE_ROUNDS {
        let start = Instant::now();
        sleep(SETTLE_TIME).await;
        if start.elapsed() < SETTLE_TIME + STALL_LATENESS {
            return;
        }
    }
}
