//! Runs several policies, loads and seeds in sequence and shows them in one table.

use std::fmt::Write as _;

use super::{LoadConfig, Report, run};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Policy whose weighted goodput is the denominator of the ratio.
const REFERENCE_POLICY: &str = "baseline";

/// Makes a run for each combination of load, seed and policy.
///
/// # Errors
/// When a fleet does not start.
pub async fn compare(
    base: &LoadConfig,
    policies: &[String],
    loads: &[f64],
    seeds: &[u64],
) -> Result<Vec<Report>, AnyError> {
    let mut reports = Vec::new();
    for load in loads {
        for seed in seeds {
            for policy in policies {
                let mut cfg = base.clone();
                cfg.load = *load;
                cfg.seed = *seed;
                cfg.policy.clone_from(policy);
                let report = run(&cfg).await?;
                eprint!("{}", report.table());
                reports.push(report);
            }
        }
    }
    Ok(reports)
}

/// Returns a table with one line per run, which states the ratio of its weighted goodput
/// to that of the `baseline` run with the same load and seed.
#[must_use]
pub fn comparison_table(reports: &[Report]) -> String {
    let mut out = String::new();
    let tiers = reports.first().map_or(&[][..], |report| &report.tiers);
    let _ = write!(out, "{:>5}{:>6} {:<9}", "load", "seed", "policy");
    for tier in tiers {
        let _ = write!(out, "{:>18}", tier.tier);
    }
    let _ = writeln!(
        out,
        "{:>10}{:>8}{:>9}{:>9}{:>9}{:>10}{:>9}{:>12}",
        "weighted", "ratio", "wasted%", "failed%", "again%", "first95", "gap95", "refused50"
    );
    for report in reports {
        write_line(&mut out, report, reference_run(reports, report));
    }
    out
}

fn reference_run<'a>(reports: &'a [Report], report: &Report) -> Option<&'a Report> {
    reports.iter().find(|other| {
        let same_load = (other.load - report.load).abs() < f64::EPSILON;
        other.policy == REFERENCE_POLICY && other.seed == report.seed && same_load
    })
}

fn write_line(out: &mut String, report: &Report, reference: Option<&Report>) {
    let _ = write!(
        out,
        "{:>5}{:>6} {:<9}",
        report.load, report.seed, report.policy
    );
    for tier in &report.tiers {
        let _ = write!(out, "{:>18.3}", tier.goodput);
    }
    let ratio = reference.map_or(f64::NAN, |other| {
        report.weighted_goodput / other.weighted_goodput
    });
    let _ = writeln!(
        out,
        "{:>10.3}{:>8.2}{:>9.1}{:>9.1}{:>9.1}{:>10.0}{:>9.1}{:>12.1}",
        report.weighted_goodput,
        ratio,
        100.0 * report.wasted_prefill,
        100.0 * report.wasted_on_failed,
        100.0 * report.wasted_on_recomputed,
        report.first_token_ms.p95,
        report.gap_ms.p95,
        report.refusal_ms.p50
    );
}
