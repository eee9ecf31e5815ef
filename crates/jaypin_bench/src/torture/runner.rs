//! Runs callers against a fleet under scheduled faults and checks the recorded history.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jaypin_standin::EngineConfig;
use serde::Serialize;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::callers::Caller;
use super::faults::Faults;
use super::schedule::schedule;
use super::watch_rules::{RulesLog, watch_rules};
use crate::history::{Answered, CallRecord, CheckOutcome, ExecutionRecord, History, check};
use crate::{Fleet, FleetConfig};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Time limit for the callers to stop after the last fault is undone.
const STOP_TIMEOUT: Duration = Duration::from_secs(90);
/// Maximum number of violations that the table shows.
const MAX_SHOWN_VIOLATIONS: usize = 20;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct TortureConfig {
    /// Seed of the faults and of the callers' requests.
    pub seed: u64,
    /// Period during which faults are injected.
    pub length: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of application workers.
    pub apps: usize,
    /// Number of callers; each makes one call at a time.
    pub callers: usize,
    /// Log filter of the hosts, in the syntax of `RUST_LOG`.
    pub log: String,
}

impl Default for TortureConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            length: Duration::from_mins(1),
            hosts: 13,
            engines: 6,
            apps: 3,
            callers: 60,
            log: "off".to_owned(),
        }
    }
}

/// Results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct TortureReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Period during which faults were injected.
    pub length: Duration,
    /// Number of injected faults, by kind.
    pub faults: BTreeMap<String, usize>,
    /// Number of calls, by the answer that the caller received.
    pub answers: BTreeMap<String, usize>,
    /// Result of the history check.
    pub check: CheckOutcome,
    /// Messages about hosts that did not exit by themselves when asked to leave, could not be
    /// started or did not become ready.
    pub troubles: Vec<String>,
    /// History that was checked.
    #[serde(skip)]
    pub history: History,
}

/// Starts a fleet, runs callers under the faults of the seed and checks the history.
///
/// # Errors
/// Returns an error if the fleet does not start or the callers do not stop in time.
pub async fn torture(cfg: &TortureConfig) -> Result<TortureReport, AnyError> {
    let fleet = start_fleet(cfg).await?;
    let addresses = fleet
        .hosts
        .iter()
        .map(|host| (host.id.clone(), host.address));
    let hosts = Arc::new(addresses.collect::<Vec<_>>());
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..cfg.callers {
        let caller = Caller::new(hosts.clone(), number, cfg.seed, stopped.clone());
        callers.spawn(caller.run());
    }
    let rules_log = RulesLog::default();
    let mut watchers = JoinSet::new();
    for host in &fleet.hosts {
        watchers.spawn(watch_rules(
            host.id.clone(),
            host.operator,
            rules_log.clone(),
        ));
    }
    let mut faults = Faults::new(fleet);
    inject_faults(&mut faults, cfg).await;
    faults.undo_all().await;
    stop.send_replace(true);
    let calls = timeout(STOP_TIMEOUT, callers.join_all()).await?.concat();
    watchers.abort_all();
    let rules = std::mem::take(&mut *lock(&rules_log));
    let history = History {
        calls,
        executions: collect_executions(faults.fleet()),
        rules,
        leaving: std::mem::take(&mut faults.leaving),
        shutdowns: std::mem::take(&mut faults.shutdowns),
    };
    Ok(TortureReport {
        seed: cfg.seed,
        hosts: cfg.hosts,
        length: cfg.length,
        faults: faults.counts.clone(),
        answers: count_answers(&history.calls),
        check: check(&history),
        troubles: faults.troubles.clone(),
        history,
    })
}

fn lock(log: &Mutex<Vec<crate::history::RulesRecord>>) -> LockedRules<'_> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

type LockedRules<'a> = std::sync::MutexGuard<'a, Vec<crate::history::RulesRecord>>;

async fn start_fleet(cfg: &TortureConfig) -> Result<Fleet, AnyError> {
    let engine = EngineConfig {
        gap: Duration::from_millis(10),
        crash_downtime: Some(Duration::from_millis(500)),
        ..EngineConfig::default()
    };
    Fleet::start(FleetConfig {
        hosts: cfg.hosts,
        engines: vec![engine; cfg.engines],
        apps: cfg.apps,
        proxied: true,
        log: cfg.log.clone(),
        ..FleetConfig::default()
    })
    .await
}

/// Injects each scheduled fault at its time and undoes it after its duration.
async fn inject_faults(faults: &mut Faults, cfg: &TortureConfig) {
    let start = Instant::now();
    let mut last_progress = start;
    for planned in schedule(cfg.seed, cfg.length) {
        let at = start + planned.at;
        while let Some(due) = faults.next_due().filter(|due| *due < at) {
            sleep_until(due).await;
            faults.undo_due().await;
        }
        sleep_until(at).await;
        faults.inject(planned).await;
        if last_progress.elapsed() > Duration::from_secs(10) {
            last_progress = Instant::now();
            let injected: usize = faults.counts.values().sum();
            eprintln!("  {:.0?}: {injected} faults made", start.elapsed());
        }
    }
}

fn collect_executions(fleet: &Fleet) -> Vec<ExecutionRecord> {
    let mut records = Vec::new();
    for (engine, spec) in fleet.engines.iter().zip(&fleet.backends) {
        let done = engine.executions();
        records.extend(done.into_iter().map(|execution| ExecutionRecord {
            backend: spec.id.clone(),
            request_id: execution.id,
            key: String::new(),
            account: String::new(),
            began_ms: execution.began_ms,
        }));
    }
    let apps = fleet.backends.iter().skip(fleet.engines.len());
    for (app, spec) in fleet.apps.iter().zip(apps) {
        let done = app.calls();
        records.extend(done.into_iter().map(|call| ExecutionRecord {
            backend: spec.id.clone(),
            request_id: call.id,
            key: call.key,
            account: call.account,
            began_ms: call.began_ms,
        }));
    }
    records
}

fn count_answers(calls: &[CallRecord]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for call in calls {
        let kind = match &call.answered {
            Answered::Whole { .. } => "whole".to_owned(),
            Answered::Refused {
                reason, outcome, ..
            } => format!("{outcome}: {reason}"),
            Answered::Broken { .. } => "broken connection".to_owned(),
            Answered::QuietEnd { .. } => "quiet end".to_owned(),
            Answered::Nothing => "nothing".to_owned(),
        };
        *counts.entry(kind).or_default() += 1;
    }
    counts
}

impl TortureReport {
    /// Formats the counts, the troubles, the first violations and the verdict.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::new();
        let _ = writeln!(
            out,
            "seed {}: {} hosts, {:?} of faults",
            self.seed, self.hosts, self.length
        );
        let _ = writeln!(out, "faults  {:?}", self.faults);
        let _ = writeln!(out, "answers {:?}", self.answers);
        let check = &self.check;
        let _ = writeln!(
            out,
            "checked {} calls, {} executions, {} not-run, {} shed, {} rule versions",
            check.calls, check.executions, check.not_run, check.shed, check.rules
        );
        for trouble in &self.troubles {
            let _ = writeln!(out, "trouble: {trouble}");
        }
        let mut by_promise = BTreeMap::<_, usize>::new();
        for violation in &check.violations {
            *by_promise.entry(violation.promise).or_default() += 1;
        }
        for violation in check.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
            let _ = writeln!(out, "{:?}: {}", violation.promise, violation.detail);
        }
        let _ = match check.violations.len() {
            0 => writeln!(out, "verdict: every promise kept"),
            count => writeln!(out, "verdict: {count} violations {by_promise:?}"),
        };
        out
    }
}
