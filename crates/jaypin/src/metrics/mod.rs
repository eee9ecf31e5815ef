//! Counts and times for scraping, in the names and units of OpenTelemetry.
//!
//! One registry a process, as exporters expect it; nothing here decides anything. No
//! label names a client account, a request or a key: the number of series must not grow
//! with those.

mod instruments;

use std::sync::LazyLock;
use std::time::Duration;

use jaypin_core::{CallOutcome, Step};
use opentelemetry::KeyValue;
use prometheus::{Encoder, TextEncoder};

use crate::snapshot::Snapshot;
use instruments::Instruments;

static INSTRUMENTS: LazyLock<Instruments> = LazyLock::new(Instruments::new);

/// What a call to the platform is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformCall {
    /// A read.
    Read,
    /// A conditional write.
    Write,
    /// A wait for a newer version.
    Watch,
}

/// Counts a step of a request's decisions.
pub fn step(tier: &str, after: Duration, step: &Step) {
    let tier = || KeyValue::new("tier", tier.to_owned());
    let all = &*INSTRUMENTS;
    let word = match step {
        Step::Arrived { .. } => "arrived",
        Step::SlotRequested { .. } => "asked",
        Step::Dispatched { .. } => "dispatched",
        Step::Claimed { .. } => "claimed",
        Step::NotReached => "not-reached",
        Step::FirstToken => {
            all.first_token.record(after.as_secs_f64(), &[tier()]);
            "first-token"
        }
        Step::Finished { outcome, .. } => {
            let outcome = ending(*outcome);
            // A lost or failed call is counted by the refusal that follows.
            if matches!(outcome, "complete" | "cancelled") {
                ended(tier(), after, outcome);
            }
            "finished"
        }
        Step::Refused(refusal) => {
            ended(tier(), after, "refused");
            let labels = [
                tier(),
                KeyValue::new("reason", refusal.reason.as_str()),
                KeyValue::new("outcome", refusal.ran.as_str()),
            ];
            all.refusals.add(1, &labels);
            "refused"
        }
    };
    all.decisions.add(1, &[KeyValue::new("step", word)]);
}

fn ending(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Complete => "complete",
        CallOutcome::ConnectionLost => "lost",
        CallOutcome::BackendCrashed => "died",
        CallOutcome::Failed => "failed",
        CallOutcome::Cancelled => "cancelled",
    }
}

fn ended(tier: KeyValue, after: Duration, outcome: &'static str) {
    let labels = [tier, KeyValue::new("outcome", outcome)];
    INSTRUMENTS.requests.add(1, &labels);
    INSTRUMENTS.duration.record(after.as_secs_f64(), &labels);
}

/// Takes the time between two chunks of a stream on their way to a caller.
pub fn record_chunk_gap(time: Duration) {
    INSTRUMENTS.gap.record(time.as_secs_f64(), &[]);
}

/// Counts a call to the platform.
pub fn platform_call(call: PlatformCall, is_answered: bool) {
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

/// Counts a frame of a link, with its payload in bytes.
pub fn link_frame(direction: &'static str, payload: usize, is_message: bool) {
    let labels = [KeyValue::new("direction", direction)];
    if is_message {
        INSTRUMENTS.link_messages.add(1, &labels);
    }
    INSTRUMENTS.link_bytes.add(payload as u64, &labels);
}

/// Gives everything in the text format of Prometheus.
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
        log::error!(error:%; "can't write the metrics");
    }
    String::from_utf8_lossy(&buf).into_owned()
}
