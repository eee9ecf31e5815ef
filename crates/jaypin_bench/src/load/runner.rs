//! One run: starts a fleet, sends the planned load and builds the report.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use jaypin_rules::RuleSet;
use jaypin_standin::Execution;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::call::{Callers, Entry, perform_request};
use super::report::{by_tier, prefill, refusal_times, refusals, weighted};
use super::usage::{cpu_time, resident_kib};
use super::{
    Arrival, Faults, HostCost, Mix, Percentiles, Report, Sample, capacity, plan, unlike_engines,
};
use crate::{Client, Fleet, FleetConfig, Host};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Interval at which the entry addresses are refreshed, and timeout of each refresh call.
const ENTRY_REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of progress messages while the last answers are outstanding.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Configuration of a run.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// Mix of requests.
    pub mix: Mix,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of engines, which cycle through three speeds.
    pub engines: usize,
    /// Number of application workers.
    pub apps: usize,
    /// Scheduling policy of the hosts: `grants`, `local` or `baseline`.
    pub policy: String,
    /// Offered load as a multiple of the engines' capacity.
    pub load: f64,
    /// Time from the start of the load to the measured period.
    pub warmup: Duration,
    /// Length of the measured period; requests that arrive within it are measured.
    pub duration: Duration,
    /// Time for which the load continues after the measured period, so that measured requests
    /// also finish under load.
    pub cooldown: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Delay of the engines' load reports.
    pub report_lag: Duration,
    /// Greatest number of retries of a refused request.
    pub retries: u32,
    /// Faults at the middle of the measured period.
    pub faults: Faults,
    /// Additional lines for the settings of every host.
    pub settings: String,
    /// Log filter of the hosts.
    pub log: String,
}

impl Default for LoadConfig {
    fn default() -> Self {
        Self {
            mix: Mix::lanyang(),
            hosts: 13,
            engines: 20,
            apps: 3,
            policy: "grants".to_owned(),
            load: 1.0,
            warmup: Duration::from_secs(5),
            duration: Duration::from_secs(20),
            cooldown: Duration::from_secs(5),
            seed: 1,
            report_lag: Duration::from_secs(1),
            retries: 0,
            faults: Faults::default(),
            settings: String::new(),
            log: "error".to_owned(),
        }
    }
}

/// Makes a run and returns its report.
///
/// # Errors
/// When the rules of the mix are invalid or the fleet does not start.
pub async fn run(cfg: &LoadConfig) -> Result<Report, AnyError> {
    let rules = jaypin_rules::parse(&cfg.mix.rules).map_err(|mistakes| format!("{mistakes:?}"))?;
    let engines = unlike_engines(cfg.engines, cfg.report_lag);
    let capacity = capacity(&engines, &cfg.mix);
    let mut fleet = Fleet::start(FleetConfig {
        hosts: cfg.hosts,
        engines,
        apps: cfg.apps,
        plain_service: cfg.mix.plain_service.to_owned(),
        rules: cfg.mix.rules.clone(),
        settings: format!("policy: {}\n{}", cfg.policy, cfg.settings),
        log: cfg.log.clone(),
        ..FleetConfig::default()
    })
    .await?;
    let length = cfg.warmup + cfg.duration + cfg.cooldown;
    let arrivals = plan(&cfg.mix, capacity * cfg.load, length, cfg.seed);
    let measured = run_load(cfg, &mut fleet, &rules, arrivals).await?;
    Ok(build_report(cfg, &fleet, &rules, capacity, &measured))
}

/// Raw measurements of a run.
struct RunResults {
    samples: Vec<Sample>,
    start_delays: Vec<Duration>,
    struck: Vec<String>,
    costs: Vec<HostCost>,
}

async fn run_load(
    cfg: &LoadConfig,
    fleet: &mut Fleet,
    rules: &RuleSet,
    arrivals: Vec<Arrival>,
) -> Result<RunResults, AnyError> {
    let (entry_tx, entry) = watch::channel(Arc::new(Entry::default()));
    refresh_entry(fleet, &cfg.mix, &entry_tx).await;
    let callers = Arc::new(Callers {
        mix: cfg.mix.clone(),
        rules: rules.clone(),
        entry,
        retries: cfg.retries,
        seed: cfg.seed,
    });
    let start = Instant::now();
    let mut calls = tokio::spawn(start_arrivals(
        callers,
        arrivals,
        start,
        cfg.warmup..cfg.warmup + cfg.duration,
    ));
    sleep_until(start + cfg.warmup).await;
    let before = cpu_times(fleet);
    sleep_until(start + cfg.warmup + cfg.duration / 2).await;
    let struck = cfg.faults.inject(fleet).await;
    refresh_entry(fleet, &cfg.mix, &entry_tx).await;
    while start.elapsed() < cfg.warmup + cfg.duration {
        let end = start + cfg.warmup + cfg.duration;
        sleep_until(end.min(Instant::now() + ENTRY_REFRESH_INTERVAL)).await;
        refresh_entry(fleet, &cfg.mix, &entry_tx).await;
    }
    let costs = costs(fleet, &before, start.elapsed().saturating_sub(cfg.warmup));
    let (samples, start_delays) = loop {
        tokio::select! {
            ended = &mut calls => break ended?,
            () = sleep(PROGRESS_INTERVAL) => eprintln!("  waiting for the last answers, {:.0?}", start.elapsed()),
        }
    };
    Ok(RunResults {
        samples,
        start_delays,
        struck,
        costs,
    })
}

/// Starts every request at its planned time, independently of earlier ones; returns the
/// samples and the delay of each start.
async fn start_arrivals(
    callers: Arc<Callers>,
    arrivals: Vec<Arrival>,
    start: Instant,
    window: std::ops::Range<Duration>,
) -> (Vec<Sample>, Vec<Duration>) {
    let mut running = JoinSet::new();
    let mut delays = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        sleep_until(start + arrival.at).await;
        delays.push(start.elapsed().saturating_sub(arrival.at));
        let callers = callers.clone();
        let measured = window.contains(&arrival.at);
        running.spawn(async move { perform_request(&callers, arrival, measured).await });
    }
    (running.join_all().await, delays)
}

/// Fetches the entry addresses from the first host that answers.
async fn refresh_entry(fleet: &Fleet, mix: &Mix, entry: &watch::Sender<Arc<Entry>>) {
    for host in fleet.hosts.iter().filter(|host| host.pid().is_some()) {
        let credential = format!("{}-secret", mix.accounts[0].name);
        let client = Client::new(host.address, &credential);
        let call = client.call(Method::GET, "/v1/entry", &[], bytes::Bytes::new());
        let Ok(Ok(answer)) = tokio::time::timeout(ENTRY_REFRESH_INTERVAL, call).await else {
            continue;
        };
        let body = answer.json();
        let mut addresses: Vec<_> = body["addresses"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|one| one["address"].as_str()?.parse().ok())
            .collect();
        addresses.sort_unstable();
        let key_prefix = body["key_prefix"].as_str().unwrap_or_default().to_owned();
        entry.send_replace(Arc::new(Entry {
            addresses,
            key_prefix,
        }));
        return;
    }
}

fn cpu_times(fleet: &Fleet) -> Vec<Option<Duration>> {
    let pids = fleet.hosts.iter().map(Host::pid);
    pids.map(|pid| cpu_time(pid?)).collect()
}

fn costs(fleet: &Fleet, before: &[Option<Duration>], period: Duration) -> Vec<HostCost> {
    let pairs = fleet.hosts.iter().zip(before);
    pairs
        .filter_map(|(host, before)| {
            let pid = host.pid()?;
            let used = cpu_time(pid)?.saturating_sub((*before)?);
            let (now, peak) = resident_kib(pid)?;
            Some(HostCost {
                host: host.id.clone(),
                cores: used.as_secs_f64() / period.as_secs_f64(),
                resident_mib: mib(now),
                peak_resident_mib: mib(peak),
            })
        })
        .collect()
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a process has less than 2^52 KiB"
)]
fn mib(kib: u64) -> f64 {
    kib as f64 / 1_024.0
}

fn build_report(
    cfg: &LoadConfig,
    fleet: &Fleet,
    rules: &RuleSet,
    capacity: f64,
    measured: &RunResults,
) -> Report {
    let samples = &measured.samples;
    let executions: Vec<Execution> = fleet
        .engines
        .iter()
        .flat_map(jaypin_standin::Engine::executions)
        .collect();
    let tiers = by_tier(samples, rules);
    let lowest = tiers.last().map(|tier| tier.tier.clone());
    let interactive = samples
        .iter()
        .filter(|sample| sample.measured && Some(&sample.tier) != lowest.as_ref());
    let (failed, recomputed, cached) = prefill(samples, &executions);
    Report {
        mix: cfg.mix.name.to_owned(),
        policy: cfg.policy.clone(),
        load: cfg.load,
        seed: cfg.seed,
        hosts: cfg.hosts,
        engines: cfg.engines,
        report_lag: cfg.report_lag,
        retries: cfg.retries,
        faults: cfg.faults,
        struck: measured.struck.clone(),
        measured: cfg.duration,
        capacity,
        weighted_goodput: weighted(&tiers),
        tiers,
        wasted_prefill: failed + recomputed,
        wasted_on_failed: failed,
        wasted_on_recomputed: recomputed,
        cached,
        first_token_ms: Percentiles::of(interactive.clone().filter_map(|one| one.first_token)),
        gap_ms: Percentiles::of(interactive.filter_map(|one| one.gap)),
        refusals: refusals(samples),
        refusal_ms: refusal_times(samples),
        platform: fleet.platform.calls(),
        costs: measured.costs.clone(),
        start_delay_ms: Percentiles::of(measured.start_delays.iter().copied()),
    }
}
