//! Metrics in the Prometheus text format, with names and units of OpenTelemetry.
//!
//! No label holds a client account, a request or a credential: the number of time series must
//! not grow with them.

use std::sync::OnceLock;
use std::time::Duration;

use jaypin_router::{DecisionInputs, RouterCounts};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::admission::{Admission, BodyError, Eviction};

/// Histogram bounds in seconds, for the time to a first event, the time to a whole response and
/// the longest pause of a stream: around the latency targets of 0.1, 0.5 and 1 second, and up
/// to the longest deadline.
const TIME_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 0.75, 1.0, 2.0, 5.0, 15.0,
];

/// Histogram bounds for the probability that an answer is late or cut off: from the risk of packet
/// loss alone, some hundredths, to that of an answer that is refused, 0.9.
const RISK_BUCKETS: [f64; 7] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.9];

static INSTRUMENTS: OnceLock<Instruments> = OnceLock::new();

/// All instruments of the process.
#[derive(Debug)]
struct Instruments {
    registry: Registry,
    requests: Counter<u64>,
    resumptions: Counter<u64>,
    calls: Counter<u64>,
    responses: Counter<u64>,
    connections: Counter<u64>,
    body_failures: Counter<u64>,
    held_body_bytes: Gauge<u64>,
    evictions: Counter<u64>,
    caller_connections: Gauge<u64>,
    store_calls: Counter<u64>,
    first_event: Histogram<f64>,
    duration: Histogram<f64>,
    pause: Histogram<f64>,
    late_risk: Histogram<f64>,
    waiting: Gauge<u64>,
    running: Gauge<u64>,
    hosts: Gauge<u64>,
    backends: Gauge<u64>,
    limited_backends: Gauge<u64>,
    version: Gauge<u64>,
    streams: Gauge<u64>,
    dropped_streams: Gauge<u64>,
    reserve_sent: Gauge<u64>,
    reserve_refused: Gauge<u64>,
    quota_reserve_refusals: Gauge<u64>,
    held_tokens: Gauge<u64>,
    sent_elsewhere: Gauge<u64>,
    refuted_held: Gauge<u64>,
    held_bytes: Gauge<u64>,
    entries_age: Gauge<f64>,
    ready: Gauge<u64>,
    // Dropping the provider would stop the instruments.
    _provider: SdkMeterProvider,
}

/// Starts recording metrics. Without this call nothing is recorded, which saves the memory of
/// the instruments on hosts that are not scraped.
///
/// # Errors
/// Fails if the exporter can't be set up.
pub fn start() -> Result<(), String> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .build()
        .map_err(|error| error.to_string())?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    let meter = provider.meter("jaypin");
    let histogram = |name: &'static str| {
        let built = meter.f64_histogram(name).with_unit("s");
        built.with_boundaries(TIME_BUCKETS_S.to_vec()).build()
    };
    let instruments = Instruments {
        requests: meter.u64_counter("jaypin.requests").build(),
        resumptions: meter.u64_counter("jaypin.streams.resumed").build(),
        calls: meter.u64_counter("jaypin.backend.calls").build(),
        responses: meter.u64_counter("jaypin.backend.responses").build(),
        connections: meter.u64_counter("jaypin.backend.connections").build(),
        body_failures: meter.u64_counter("jaypin.bodies.failed").build(),
        held_body_bytes: meter
            .u64_gauge("jaypin.bodies.memory")
            .with_unit("By")
            .build(),
        evictions: meter.u64_counter("jaypin.callers.evicted").build(),
        caller_connections: meter.u64_gauge("jaypin.callers.connections").build(),
        store_calls: meter.u64_counter("jaypin.store.calls").build(),
        first_event: histogram("jaypin.request.first_event"),
        duration: histogram("jaypin.request.duration"),
        pause: histogram("jaypin.stream.longest_pause"),
        late_risk: meter
            .f64_histogram("jaypin.placement.late_risk")
            .with_boundaries(RISK_BUCKETS.to_vec())
            .build(),
        waiting: meter.u64_gauge("jaypin.requests.waiting").build(),
        running: meter.u64_gauge("jaypin.requests.running").build(),
        hosts: meter.u64_gauge("jaypin.hosts.heard").build(),
        backends: meter.u64_gauge("jaypin.backends.ready").build(),
        limited_backends: meter.u64_gauge("jaypin.backends.limited").build(),
        version: meter.u64_gauge("jaypin.configuration.version").build(),
        streams: meter.u64_gauge("jaypin.streams.remembered").build(),
        dropped_streams: meter.u64_gauge("jaypin.streams.forgotten_early").build(),
        reserve_sent: meter.u64_gauge("jaypin.reserved_slots.sent").build(),
        reserve_refused: meter.u64_gauge("jaypin.reserved_slots.refused").build(),
        quota_reserve_refusals: meter.u64_gauge("jaypin.quota.reserve_refusals").build(),
        held_tokens: meter.u64_gauge("jaypin.cache.expected_tokens").build(),
        sent_elsewhere: meter.u64_gauge("jaypin.cache.sent_elsewhere").build(),
        refuted_held: meter.u64_gauge("jaypin.cache.refuted").build(),
        held_bytes: meter
            .u64_gauge("jaypin.cache.memory")
            .with_unit("By")
            .build(),
        entries_age: meter.f64_gauge("jaypin.entries.age").with_unit("s").build(),
        ready: meter.u64_gauge("jaypin.ready").build(),
        registry,
        _provider: provider,
    };
    // A second call has no effect: the first instruments stay in use.
    let _ = INSTRUMENTS.set(instruments);
    Ok(())
}

/// Records the end of a request: its outcome and duration.
pub fn request(outcome: &'static str, after: Duration) {
    if let Some(all) = INSTRUMENTS.get() {
        let labels = [KeyValue::new("outcome", outcome)];
        all.requests.add(1, &labels);
        all.duration.record(after.as_secs_f64(), &labels);
    }
}

/// Counts a request with which a caller resumes a stream, by its outcome.
pub fn resumption(outcome: &'static str) {
    if let Some(all) = INSTRUMENTS.get() {
        all.resumptions.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}

/// Counts a call to a backend server by its outcome.
pub fn call(outcome: &'static str) {
    if let Some(all) = INSTRUMENTS.get() {
        all.calls.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}

/// Counts a response of a backend server by how it was matched to its request.
pub fn response(known_by: &'static str) {
    if let Some(all) = INSTRUMENTS.get() {
        all.responses.add(1, &[KeyValue::new("known_by", known_by)]);
    }
}

/// Counts a connection that a call opens because none is idle.
pub fn connection() {
    if let Some(all) = INSTRUMENTS.get() {
        all.connections.add(1, &[]);
    }
}

/// Counts a body of a `request` or a `response` that was not read whole, by the cause.
pub fn body_failure(of: &'static str, error: &BodyError) {
    if let Some(all) = INSTRUMENTS.get() {
        let labels = [
            KeyValue::new("of", of),
            KeyValue::new("cause", error.as_str()),
        ];
        all.body_failures.add(1, &labels);
    }
}

/// Counts a connection or a request that gave way, by the cause.
pub fn eviction(eviction: Eviction) {
    if let Some(all) = INSTRUMENTS.get() {
        let labels = [KeyValue::new("cause", eviction.as_str())];
        all.evictions.add(1, &labels);
    }
}

/// Records the times of a stream: to its first event, and the longest between two events.
pub fn stream(first: Duration, pause: Duration) {
    if let Some(all) = INSTRUMENTS.get() {
        all.first_event.record(first.as_secs_f64(), &[]);
        all.pause.record(pause.as_secs_f64(), &[]);
    }
}

/// Records the probability that the answer of a request is late or cut off on the backend server that
/// was chosen, where it is known, and what was decided: `sent` or `refused`.
pub fn placement(inputs: &DecisionInputs, decision: &'static str) {
    let DecisionInputs::Place {
        late_risk: Some(risk),
        ..
    } = inputs
    else {
        return;
    };
    if let Some(all) = INSTRUMENTS.get() {
        let labels = [KeyValue::new("decision", decision)];
        all.late_risk.record(*risk, &labels);
    }
}

/// Counts a call to the platform's store by its kind, `read` or `write`, and its outcome.
pub fn store_call(kind: &'static str, outcome: &'static str) {
    if let Some(all) = INSTRUMENTS.get() {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        all.store_calls.add(1, &labels);
    }
}

/// Returns all metrics in the text format of Prometheus, or `None` if [`start`] was not called.
pub fn render(
    counts: RouterCounts,
    entries_age: Option<Duration>,
    admission: &Admission,
    is_ready: bool,
) -> Option<String> {
    let all = INSTRUMENTS.get()?;
    let wide = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    all.waiting.record(wide(counts.waiting), &[]);
    all.running.record(wide(counts.running), &[]);
    all.hosts.record(wide(counts.hosts), &[]);
    all.backends.record(wide(counts.backends), &[]);
    all.limited_backends
        .record(wide(counts.limited_backends), &[]);
    all.version.record(counts.version, &[]);
    all.streams.record(wide(counts.streams), &[]);
    all.dropped_streams.record(counts.dropped_streams, &[]);
    all.reserve_sent.record(counts.slot_reserve.sent, &[]);
    all.reserve_refused.record(counts.slot_reserve.refused, &[]);
    all.quota_reserve_refusals
        .record(counts.quota_reserve_refusals, &[]);
    all.held_tokens.record(counts.held_tokens, &[]);
    all.sent_elsewhere.record(counts.sent_elsewhere, &[]);
    all.refuted_held.record(counts.refuted_held, &[]);
    all.held_bytes.record(wide(counts.held_bytes), &[]);
    let held_body_bytes = admission.bodies.held_bytes();
    all.held_body_bytes.record(wide(held_body_bytes), &[]);
    all.caller_connections
        .record(wide(admission.callers.len()), &[]);
    if let Some(age) = entries_age {
        all.entries_age.record(age.as_secs_f64(), &[]);
    }
    all.ready.record(u64::from(is_ready), &[]);
    let mut buf = Vec::new();
    if let Err(error) = TextEncoder::new().encode(&all.registry.gather(), &mut buf) {
        log::error!(error:%; "encoding the metrics failed; the response is incomplete");
    }
    Some(String::from_utf8_lossy(&buf).into_owned())
}
