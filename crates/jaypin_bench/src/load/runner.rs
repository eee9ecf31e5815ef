//! One run: a fleet, a planned load, figures.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use jaypin_rules::RuleSet;
use jaypin_standin::Execution;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::call::{Callers, Entry, make};
use super::report::{by_tier, prefill, refusal_times, refusals, weighted};
use super::usage::{cpu_time, resident_kib};
use super::{
    Arrival, Faults, HostCost, Mix, Percentiles, Report, Sample, capacity, plan, unlike_engines,
};
use crate::{Client, Fleet, FleetConfig, Host};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// How often callers ask anew which hosts to use.
const ENTRY_PAUSE: Duration = Duration::from_secs(2);
/// How often progress is told.
const PROGRESS_PAUSE: Duration = Duration::from_secs(5);

/// What a run is like.
#[derive(Debug, Clone)]
pub struct LoadConfig {
    /// What callers ask for.
    pub mix: Mix,
    /// Entry hosts.
    pub hosts: usize,
    /// Engines of three speeds.
    pub engines: usize,
    /// Application workers.
    pub apps: usize,
    /// Policy of the hosts.
    pub policy: String,
    /// Load over the engines' capacity.
    pub load: f64,
    /// Time before requests are measured.
    pub warmup: Duration,
    /// Time in which arriving requests are measured.
    pub duration: Duration,
    /// Time for which load goes on, so that the measured requests end under load.
    pub cooldown: Duration,
    /// Seed.
    pub seed: u64,
    /// How old load reports are.
    pub report_lag: Duration,
    /// How often refused callers come back.
    pub retries: u32,
    /// What goes wrong halfway.
    pub faults: Faults,
    /// Further lines of every host's settings.
    pub settings: String,
    /// Filter of the hosts' logs.
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

/// Makes a run and gives its figures.
///
/// # Errors
/// When the fleet does not start.
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
    let measured = drive(cfg, &mut fleet, &rules, arrivals).await?;
    Ok(figures(cfg, &fleet, &rules, capacity, &measured))
}

/// What a run gave.
struct Measured {
    samples: Vec<Sample>,
    start_delays: Vec<Duration>,
    struck: Vec<String>,
    costs: Vec<HostCost>,
}

async fn drive(
    cfg: &LoadConfig,
    fleet: &mut Fleet,
    rules: &RuleSet,
    arrivals: Vec<Arrival>,
) -> Result<Measured, AnyError> {
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
    let mut calls = tokio::spawn(arrive(
        callers,
        arrivals,
        start,
        cfg.warmup..cfg.warmup + cfg.duration,
    ));
    sleep_until(start + cfg.warmup).await;
    let before = cpu_times(fleet);
    sleep_until(start + cfg.warmup + cfg.duration / 2).await;
    let struck = cfg.faults.strike(fleet).await;
    refresh_entry(fleet, &cfg.mix, &entry_tx).await;
    while start.elapsed() < cfg.warmup + cfg.duration {
        let end = start + cfg.warmup + cfg.duration;
        sleep_until(end.min(Instant::now() + ENTRY_PAUSE)).await;
        refresh_entry(fleet, &cfg.mix, &entry_tx).await;
    }
    let costs = costs(fleet, &before, start.elapsed().saturating_sub(cfg.warmup));
    let (samples, start_delays) = loop {
        tokio::select! {
            ended = &mut calls => break ended?,
            () = sleep(PROGRESS_PAUSE) => eprintln!("  waiting for the last answers, {:.0?}", start.elapsed()),
        }
    };
    Ok(Measured {
        samples,
        start_delays,
        struck,
        costs,
    })
}

/// Starts every request at its time, whatever became of earlier ones.
async fn arrive(
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
        running.spawn(async move { make(&callers, arrival, measured).await });
    }
    (running.join_all().await, delays)
}

/// Asks the first host that answers which hosts to use.
async fn refresh_entry(fleet: &Fleet, mix: &Mix, entry: &watch::Sender<Arc<Entry>>) {
    for host in fleet.hosts.iter().filter(|host| host.pid().is_some()) {
        let credential = format!("{}-secret", mix.accounts[0].name);
        let client = Client::new(host.address, &credential);
        let call = client.call(Method::GET, "/v1/entry", &[], bytes::Bytes::new());
        let Ok(Ok(answer)) = tokio::time::timeout(ENTRY_PAUSE, call).await else {
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

fn costs(fleet: &Fleet, before: &[Option<Duration>], over: Duration) -> Vec<HostCost> {
    let pairs = fleet.hosts.iter().zip(before);
    pairs
        .filter_map(|(host, before)| {
            let pid = host.pid()?;
            let used = cpu_time(pid)?.saturating_sub((*before)?);
            let (now, peak) = resident_kib(pid)?;
            Some(HostCost {
                host: host.id.clone(),
                cores: used.as_secs_f64() / over.as_secs_f64(),
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

fn figures(
    cfg: &LoadConfig,
    fleet: &Fleet,
    rules: &RuleSet,
    capacity: f64,
    measured: &Measured,
) -> Report {
    let samples = &measured.samples;
    let executions: Vec<Execution> = fleet
        .engines
        .iter()
        .flat_map(jaypin_standin::Engine::executions)
        .collect();
    let tiers = by_tier(samples, rules);
    let lowest = tiers.last().map(|tier| tier.tier.clone());
    let prompt = samples
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
        first_token_ms: Percentiles::of(prompt.clone().filter_map(|one| one.first_token)),
        gap_ms: Percentiles::of(prompt.filter_map(|one| one.gap)),
        refusals: refusals(samples),
        refusal_ms: refusal_times(samples),
        platform: fleet.platform.calls(),
        costs: measured.costs.clone(),
        start_delay_ms: Percentiles::of(measured.start_delays.iter().copied()),
    }
}
