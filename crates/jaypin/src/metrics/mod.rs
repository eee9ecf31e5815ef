//! Metrics in the names and units of OpenTelemetry, rendered for scrapes by Prometheus.
//!
//! There is one registry per process, as exporters expect; no decision depends on it. No
//! label holds a client account, a request or a key, so that the number of series does not
//! grow with those.

mod instruments;

use std::sync::LazyLock;
use std::time::Duration;

use jaypin_core::{CallOutcome, Step};
use opentelemetry::KeyValue;
use prometheus::{Encoder, TextEncoder};

use crate::snapshot::Snapshot;
use instruments::Instruments;

static INSTRUMENTS: LazyLock<Instruments> = LazyLock::new(Instruments::new);

/// Kind of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformCall {
    /// A read.
    Read,
    /// A conditional write.
    Write,
    /// A wait for a newer version.
    Watch,
}

/// Counts a step of a request's decision record; `after` is the time since its arrival.
pub fn record_step(tier: &str, after: Duration, step: &Step) {
    let tier = || KeyValue::new("tier", tier.to_owned());
    let instruments = &*INSTRUMENTS;
    let label = match step {
        Step::Arrived { .. } => "arrived",
        Step::Asked { .. } => "asked",
        Step::Dispatched { .. } => "dispatched",
        Step::Claimed { .. } => "claimed",
        Step::NotReached => "not-reached",
        Step::FirstToken => {
            instruments
                .first_token
                .record(after.as_secs_f64(), &[tier()]);
            "first-token"
        }
        Step::Finished { outcome, .. } => {
            let outcome = outcome_label(*outcome);
            // A lost or failed call is counted with the refusal that follows it.
            if matches!(outcome, "complete" | "cancelled") {
                record_end(tier(), after, outcome);
            }
            "finished"
        }
        Step::Refused(refusal) => {
            record_end(tier(), after, "refused");
            let labels = [
                tier(),
                KeyValue::new("reason", refusal.reason.as_str()),
                KeyValue::new("outcome", refusal.ran.as_str()),
            ];
            instruments.refusals.add(1, &labels);
            "refused"
        }
    };
    instruments
        .decisions
        .add(1, &[KeyValue::new("step", label)]);
}

/// Returns the outcome label of a call.
fn outcome_label(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Complete => "complete",
        CallOutcome::Lost => "lost",
        CallOutcome::Died => "died",
        CallOutcome::Failed => "failed",
        CallOutcome::Cancelled => "cancelled",
    }
}

/// Counts an ended request and its duration.
fn record_end(tier: KeyValue, after: Duration, outcome: &'static str) {
    let labels = [tier, KeyValue::new("outcome", outcome)];
    INSTRUMENTS.requests.add(1, &labels);
    INSTRUMENTS.duration.record(after.as_secs_f64(), &labels);
}

/// Records the time between two chunks of a stream to a caller.
pub fn record_chunk_gap(duration: Duration) {
    INSTRUMENTS.gap.record(duration.as_secs_f64(), &[]);
}

/// Counts a call to the platform.
pub fn record_platform_call(call: PlatformCall, is_answered: bool) {
    let kind = match call {
        PlatformCall::Read => "read",
        PlatformCall::Write => "write",
        PlatformCall::Watch => "watch",
    };
    let outcome = if is_answered { "answered" } else { "failed" };
    let labels = [
        KeyValue::new("kind", kind),
        KeyValue::new("outcome", outcome),
    ];
    INSTRUMENTS.platform_calls.add(1, &labels);
}

/// Counts a frame of a link; `payload` is its size in bytes, without headers.
pub fn record_link_frame(direction: &'static str, payload: usize, is_message: bool) {
    let labels = [KeyValue::new("direction", direction)];
    if is_message {
        INSTRUMENTS.link_messages.add(1, &labels);
    }
    INSTRUMENTS.link_bytes.add(payload as u64, &labels);
}

/// Returns all metrics in the text format of Prometheus, with the gauges set from the
/// snapshot.
pub fn render(snapshot: &Snapshot) -> String {
    let summary = &snapshot.summary;
    let gauges = &INSTRUMENTS.gauges;
    gauges.waiting.record(summary.waiting as u64, &[]);
    gauges.running.record(summary.running as u64, &[]);
    gauges.shards_led.record(summary.shards_led as u64, &[]);
    gauges.shard_waiting.record(summary.queued_here as u64, &[]);
    gauges
        .shard_running
        .record(summary.granted_here as u64, &[]);
    gauges.rules_version.record(summary.rules_version, &[]);
    gauges.hosts_version.record(summary.hosts_version, &[]);
    gauges
        .live_hosts
        .record(snapshot.live_hosts.len() as u64, &[]);
    gauges
        .suspected
        .record(snapshot.suspects.suspected as u64, &[]);
    gauges
        .quarantined
        .record(snapshot.suspects.quarantined as u64, &[]);
    gauges.draining.record(u64::from(summary.draining), &[]);
    let mut buf = Vec::new();
    if let Err(error) = TextEncoder::new().encode(&INSTRUMENTS.registry.gather(), &mut buf) {
        log::error!(error:%; "could not encode the metrics");
    }
    String::from_utf8_lossy(&buf).into_owned()
}
