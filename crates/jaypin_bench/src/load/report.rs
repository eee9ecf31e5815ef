//! Report of a run, as JSON and as a table.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use jaypin_rules::RuleSet;
use jaypin_standin::{Execution, PlatformCalls};
use serde::Serialize;

use super::{Faults, Sample, Verdict};

/// Percentiles of durations, in milliseconds; all zero when there are none.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl Percentiles {
    /// Computes the percentiles of the durations.
    #[must_use]
    pub fn of(times: impl Iterator<Item = Duration>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return Self::default();
        };
        for time in times {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            let _ = histogram.record(micros);
        }
        let millis = |quantile| {
            #[expect(clippy::cast_precision_loss, reason = "times of a run are short")]
            let micros = histogram.value_at_quantile(quantile) as f64;
            micros / 1_000.0
        };
        Self {
            count: histogram.len(),
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
        }
    }
}

/// Results of one tier.
#[derive(Debug, Clone, Serialize)]
pub struct TierReport {
    /// Name of the tier.
    pub tier: String,
    /// Weight of the tier in the weighted goodput.
    pub weight: f64,
    /// Requests that arrived within the measured period.
    pub offered: usize,
    /// Requests with a complete answer within every deadline.
    pub good: usize,
    /// Ratio of `good` to `offered`.
    pub goodput: f64,
    /// Number of requests by verdict.
    pub verdicts: BTreeMap<String, usize>,
    /// Times from the request to the first token.
    pub first_token_ms: Percentiles,
    /// Distribution over the streams of each stream's 95th percentile gap.
    pub gap_ms: Percentiles,
}

/// Resource usage of one host process over the measured period.
#[derive(Debug, Clone, Serialize)]
pub struct HostCost {
    /// Name of the host.
    pub host: String,
    /// Processor time divided by elapsed time: the mean number of cores in use.
    pub cores: f64,
    /// Resident memory at the end of the measured period, in MiB.
    pub resident_mib: f64,
    /// Peak resident memory, in MiB.
    pub peak_resident_mib: f64,
}

/// Results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the mix.
    pub mix: String,
    /// Scheduling policy of the hosts.
    pub policy: String,
    /// Offered load as a multiple of the engines' capacity.
    pub load: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Delay of the engines' load reports.
    pub report_lag: Duration,
    /// Greatest number of retries of a refused request.
    pub retries: u32,
    /// Faults that the configuration requested.
    pub faults: Faults,
    /// Descriptions of the faults that were injected.
    pub struck: Vec<String>,
    /// Length of the measured period.
    pub measured: Duration,
    /// Text requests per second that the engines can answer.
    pub capacity: f64,
    /// Goodput over all tiers, weighted by tier.
    pub weighted_goodput: f64,
    /// Tiers, highest first.
    pub tiers: Vec<TierReport>,
    /// Ratio of wasted to all prefill tokens.
    pub wasted_prefill: f64,
    /// Portion of `wasted_prefill` spent on requests without a complete answer in time.
    pub wasted_on_failed: f64,
    /// Portion of `wasted_prefill` that successful requests spent on tokens that some engine
    /// already had in its cache.
    pub wasted_on_recomputed: f64,
    /// Ratio of prompt tokens found in caches to all prompt tokens.
    pub cached: f64,
    /// Times to the first token in the measured period, over all tiers but the lowest.
    pub first_token_ms: Percentiles,
    /// Distribution of the 95th percentile gap of these streams.
    pub gap_ms: Percentiles,
    /// Number of refusals by reason and outcome.
    pub refusals: BTreeMap<String, usize>,
    /// Times to refusals whose outcome is `not-run`.
    pub refusal_ms: Percentiles,
    /// Calls to the platform over the whole run.
    pub platform: PlatformCalls,
    /// Resource usage of the hosts that ran to the end.
    pub costs: Vec<HostCost>,
    /// Delays of request starts behind their planned time; high values show that the load
    /// generator itself was too slow.
    pub start_delay_ms: Percentiles,
}

/// Returns the results of each tier, highest tier first.
#[must_use]
pub fn by_tier(samples: &[Sample], rules: &RuleSet) -> Vec<TierReport> {
    let tiers = rules.tiers.iter().map(|tier| {
        let tier_samples: Vec<&Sample> = samples
            .iter()
            .filter(|sample| sample.measured && sample.tier == tier.name)
            .collect();
        let mut verdicts = BTreeMap::new();
        for sample in &tier_samples {
            *verdicts
                .entry(sample.verdict.label().to_owned())
                .or_default() += 1;
        }
        let good = verdicts.get("good").copied().unwrap_or_default();
        TierReport {
            tier: tier.name.clone(),
            weight: tier.weight,
            offered: tier_samples.len(),
            good,
            goodput: ratio(good as u64, tier_samples.len() as u64),
            verdicts,
            first_token_ms: Percentiles::of(tier_samples.iter().filter_map(|one| one.first_token)),
            gap_ms: Percentiles::of(tier_samples.iter().filter_map(|one| one.gap)),
        }
    });
    tiers.collect()
}

/// Returns the weight of the good requests divided by the weight of those offered.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
pub fn weighted(tiers: &[TierReport]) -> f64 {
    let sum = |count: fn(&TierReport) -> usize| -> f64 {
        let each = tiers.iter().map(|tier| tier.weight * count(tier) as f64);
        each.sum()
    };
    sum(|tier| tier.good) / sum(|tier| tier.offered).max(f64::MIN_POSITIVE)
}

/// Returns three ratios: prefill tokens spent on failed requests and prefill tokens
/// recomputed for successful ones, each over all prefill tokens, and prompt tokens found in caches over all
/// prompt tokens.
#[must_use]
pub fn prefill(samples: &[Sample], executions: &[Execution]) -> (f64, f64, f64) {
    let good: HashSet<&str> = samples
        .iter()
        .filter(|sample| sample.verdict == Verdict::Good)
        .filter_map(|sample| sample.request_ids.last().map(String::as_str))
        .collect();
    let mut failed = 0;
    let mut recomputed = 0;
    let mut prefilled = 0;
    let mut cached = 0;
    for execution in executions {
        prefilled += execution.prefilled;
        cached += execution.cached;
        if good.contains(execution.id.as_str()) {
            recomputed += execution.recomputed;
        } else {
            failed += execution.prefilled;
        }
    }
    (
        ratio(failed, prefilled),
        ratio(recomputed, prefilled),
        ratio(cached, cached + prefilled),
    )
}

/// Counts refusals within the measured period by `reason outcome`.
#[must_use]
pub fn refusals(samples: &[Sample]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.measured) {
        if let Verdict::Refused { reason, outcome } = &sample.verdict {
            *counts.entry(format!("{reason} {outcome}")).or_default() += 1;
        }
    }
    counts
}

/// Returns the times to refusals whose outcome is `not-run`.
#[must_use]
pub fn refusal_times(samples: &[Sample]) -> Percentiles {
    let refused = samples.iter().filter(|sample| {
        sample.measured
            && matches!(&sample.verdict, Verdict::Refused { outcome, .. } if outcome == "not-run")
    });
    Percentiles::of(refused.map(|sample| sample.whole))
}

#[expect(clippy::cast_precision_loss, reason = "counts of a run are small")]
fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

impl Report {
    /// Formats the report as a table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "{} {} load {} seed {}: {} hosts, {} engines, capacity {:.0} texts/s, {} s measured",
            self.mix,
            self.policy,
            self.load,
            self.seed,
            self.hosts,
            self.engines,
            self.capacity,
            self.measured.as_secs()
        );
        for struck in &self.struck {
            let _ = writeln!(out, "halfway: {struck}");
        }
        let _ = writeln!(
            out,
            "{:<18}{:>7}{:>7}{:>9}{:>10}{:>10}{:>9}{:>9}  not good",
            "tier", "weight", "offered", "goodput", "first p50", "first p95", "gap p50", "gap p95"
        );
        for tier in &self.tiers {
            write_tier_line(&mut out, tier);
        }
        let _ = writeln!(
            out,
            "weighted goodput {:.3}; wasted prefill {:.1}% (failed {:.1}%, computed again {:.1}%); \
             prompts cached {:.1}%",
            self.weighted_goodput,
            100.0 * self.wasted_prefill,
            100.0 * self.wasted_on_failed,
            100.0 * self.wasted_on_recomputed,
            100.0 * self.cached
        );
        let _ = writeln!(
            out,
            "refusals {:?}; refused after p50 {:.1} ms, p95 {:.1} ms",
            self.refusals, self.refusal_ms.p50, self.refusal_ms.p95
        );
        let most = |of: fn(&HostCost) -> f64| self.costs.iter().map(of).fold(0.0, f64::max);
        let _ = writeln!(
            out,
            "platform calls: {} reads, {} writes, {} watches; busiest host {:.3} cores, \
             peak memory {:.0} MiB; requests started late p99 {:.1} ms",
            self.platform.reads,
            self.platform.writes,
            self.platform.watches,
            most(|cost| cost.cores),
            most(|cost| cost.peak_resident_mib),
            self.start_delay_ms.p99
        );
        out
    }
}

fn write_tier_line(out: &mut String, tier: &TierReport) {
    let failed: Vec<String> = tier
        .verdicts
        .iter()
        .filter(|(word, _)| *word != "good")
        .map(|(word, count)| format!("{word} {count}"))
        .collect();
    let _ = writeln!(
        out,
        "{:<18}{:>7}{:>7}{:>9.3}{:>10.0}{:>10.0}{:>9.1}{:>9.1}  {}",
        tier.tier,
        tier.weight,
        tier.offered,
        tier.goodput,
        tier.first_token_ms.p50,
        tier.first_token_ms.p95,
        tier.gap_ms.p50,
        tier.gap_ms.p95,
        failed.join(", ")
    );
}
