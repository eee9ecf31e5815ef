//! Definitions of the instruments, with their names, units and buckets.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

/// Bucket bounds of the times to a first token and to a complete answer, in seconds.
const ANSWER_BOUNDS: [f64; 14] = [
    0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 15.0, 60.0, 180.0, 600.0,
];
/// Bucket bounds of the time between tokens, in seconds; the usual target is 0.066 s.
const GAP_BOUNDS: [f64; 10] = [0.01, 0.02, 0.033, 0.05, 0.066, 0.1, 0.2, 0.5, 1.0, 5.0];

/// All instruments of a process.
#[derive(Debug)]
pub struct Instruments {
    /// Registry that scrapes are rendered from.
    pub registry: Registry,
    /// Requests that ended, by tier and outcome.
    pub requests: Counter<u64>,
    /// Refusals, by tier, reason and whether the request ran.
    pub refusals: Counter<u64>,
    /// Steps of decision records, by kind.
    pub decisions: Counter<u64>,
    /// Time from arrival to the first token, by tier.
    pub first_token: Histogram<f64>,
    /// Time from arrival to the end, by tier and outcome.
    pub duration: Histogram<f64>,
    /// Time between two chunks of a stream.
    pub gap: Histogram<f64>,
    /// Messages on links, by direction.
    pub link_messages: Counter<u64>,
    /// Bytes on links, by direction.
    pub link_bytes: Counter<u64>,
    /// Calls to the platform, by kind and outcome.
    pub platform_calls: Counter<u64>,
    /// Gauges of the current state.
    pub gauges: Gauges,
    // Held because the instruments stop working when it is dropped.
    _provider: SdkMeterProvider,
}

/// Gauges, which are set at each scrape.
#[derive(Debug)]
pub struct Gauges {
    /// Own requests that wait for a slot.
    pub waiting: Gauge<u64>,
    /// Own requests that run.
    pub running: Gauge<u64>,
    /// Shards that this host leads.
    pub shards_led: Gauge<u64>,
    /// Requests that wait in the shards that this host leads.
    pub shard_waiting: Gauge<u64>,
    /// Requests that run on slots of the shards that this host leads.
    pub shard_running: Gauge<u64>,
    /// Version of the rules that this host applies.
    pub rules_version: Gauge<u64>,
    /// Version of the host list that this host uses.
    pub hosts_version: Gauge<u64>,
    /// Entry hosts that accept work, in the view of this host.
    pub live_hosts: Gauge<u64>,
    /// Request contents that were running when a backend server crashed.
    pub suspected: Gauge<u64>,
    /// Suspected contents that are refused.
    pub quarantined: Gauge<u64>,
    /// 1 while this host is draining, otherwise 0.
    pub draining: Gauge<u64>,
}

impl Instruments {
    /// Creates every instrument with a registry of its own.
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .expect("a new registry holds no other exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("jaypin");
        let counter = |name: &'static str, unit: &'static str, text: &'static str| {
            let builder = meter.u64_counter(name).with_description(text);
            builder.with_unit(unit).build()
        };
        let seconds_histogram = |name: &'static str, bounds: &[f64], text: &'static str| {
            let builder = meter.f64_histogram(name).with_description(text);
            let builder = builder.with_unit("s").with_boundaries(bounds.to_vec());
            builder.build()
        };
        Self {
            registry,
            requests: counter(
                "jaypin.requests",
                "{request}",
                "Requests that ended, by tier and outcome",
            ),
            refusals: counter(
                "jaypin.refusals",
                "{refusal}",
                "Refusals by tier, reason and whether the request ran",
            ),
            decisions: counter("jaypin.decisions", "{step}", "Steps of decisions"),
            first_token: seconds_histogram(
                "jaypin.request.first_token.duration",
                &ANSWER_BOUNDS,
                "Time from arrival to the first token, by tier",
            ),
            duration: seconds_histogram(
                "jaypin.request.duration",
                &ANSWER_BOUNDS,
                "Time from arrival to the end, by tier and outcome",
            ),
            gap: seconds_histogram(
                "jaypin.stream.gap.duration",
                &GAP_BOUNDS,
                "Time between two chunks of a stream",
            ),
            link_messages: counter(
                "jaypin.link.messages",
                "{message}",
                "Messages on links by direction",
            ),
            link_bytes: counter("jaypin.link.io", "By", "Bytes on links by direction"),
            platform_calls: counter(
                "jaypin.platform.calls",
                "{call}",
                "Calls to the platform by kind and outcome",
            ),
            gauges: Gauges::new(&meter),
            _provider: provider,
        }
    }
}

impl Gauges {
    fn new(meter: &Meter) -> Self {
        let gauge = |name: &'static str, unit: &'static str, text: &'static str| {
            let builder = meter.u64_gauge(name).with_description(text);
            builder.with_unit(unit).build()
        };
        Self {
            waiting: gauge("jaypin.requests.waiting", "", "Own requests that wait"),
            running: gauge("jaypin.requests.running", "", "Own requests that run"),
            shards_led: gauge("jaypin.shards.led", "", "Shards that this host leads"),
            shard_waiting: gauge(
                "jaypin.shards.waiting",
                "",
                "Requests that wait in the shards that this host leads",
            ),
            shard_running: gauge(
                "jaypin.shards.running",
                "",
                "Requests that run in the shards that this host leads",
            ),
            rules_version: gauge("jaypin.rules.version", "", "Version of the rules in force"),
            hosts_version: gauge(
                "jaypin.hosts.version",
                "",
                "Version of the host list in use",
            ),
            live_hosts: gauge("jaypin.hosts.live", "", "Entry hosts that take work"),
            suspected: gauge(
                "jaypin.contents.suspected",
                "",
                "Contents under which a backend server died",
            ),
            quarantined: gauge(
                "jaypin.contents.quarantined",
                "",
                "Suspected contents that are refused",
            ),
            draining: gauge("jaypin.draining", "", "1 while this host is leaving"),
        }
    }
}
