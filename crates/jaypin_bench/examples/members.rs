//! Measures the failover times and the control traffic of a fleet of real host processes.
//!
//! - `recovery HOSTS TIMES kill|freeze`: time from the failure of a shard's leader to the
//!   first token of any request that was sent after the failure.
//! - `rules HOSTS TIMES`: time from an accepted write of the rules until they are in force on
//!   every host.
//! - `calls HOSTS SECONDS`: calls to the platform per second while the fleet is idle.
//! - `control HOSTS SECONDS REQUESTS`: bytes, messages and frames on links per host and
//!   second, idle and under `REQUESTS` requests per second.

use std::sync::Arc;
use std::time::Duration;

use jaypin_bench::{ACCOUNTS, Client, Fleet, FleetConfig, Host, RULES, completion_body};
use jaypin_standin::{EngineConfig, Fault};
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, timeout};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

const USAGE: &str = "usage: members recovery HOSTS TIMES kill|freeze
       members rules HOSTS TIMES
       members calls HOSTS SECONDS
       members control HOSTS SECONDS REQUESTS";
/// Pause between two requests while a shard has no leader.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);
/// Time limit for each condition that a measurement waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["recovery", hosts, times, how] => {
            recovery(hosts.parse()?, times.parse()?, *how == "freeze").await
        }
        ["rules", hosts, times] => rules(hosts.parse()?, times.parse()?).await,
        ["calls", hosts, seconds] => calls(hosts.parse()?, seconds.parse()?).await,
        ["control", hosts, seconds, requests] => {
            control(hosts.parse()?, seconds.parse()?, requests.parse()?).await
        }
        _ => Err(USAGE.into()),
    }
}

async fn start_fleet(hosts: usize, engines: usize) -> Result<Fleet, AnyError> {
    let engine = EngineConfig {
        slots: 64,
        gap: Duration::from_millis(5),
        ..EngineConfig::default()
    };
    let cfg = FleetConfig {
        hosts,
        engines: vec![engine; engines],
        apps: 0,
        log: "error".to_owned(),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(cfg).await?;
    wait_all_alive(&fleet).await?;
    Ok(fleet)
}

/// Waits until every host regards every host as alive.
async fn wait_all_alive(fleet: &Fleet) -> Result<(), AnyError> {
    let start = Instant::now();
    for host in &fleet.hosts {
        while count_alive(host).await != fleet.hosts.len() {
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(format!("{} does not regard all hosts as alive", host.id).into());
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

async fn count_alive(host: &Host) -> usize {
    let page = host.page("/members").await;
    let members = page.and_then(|(_, body)| body.as_array().cloned());
    let alive = |member: &&Value| member["status"] == "alive";
    members.unwrap_or_default().iter().filter(alive).count()
}

/// Returns a number from an operator page of a host, or 0 if it can't be read.
async fn page_number(host: &Host, page: &str, name: &str) -> u64 {
    let page = host.page(page).await;
    page.and_then(|(_, body)| body[name].as_u64())
        .unwrap_or_default()
}

async fn recovery(hosts: usize, times: usize, freeze: bool) -> Result<(), AnyError> {
    let mut fleet = start_fleet(hosts, 2).await?;
    let mut took = Vec::new();
    for _ in 0..times {
        let leader = leader(&fleet).await?;
        let callers: Vec<Client> = fleet
            .hosts
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != leader)
            .map(|(index, host)| caller(host, index))
            .collect();
        let failed_at = Instant::now();
        if freeze {
            fleet.hosts[leader].signal("STOP");
        } else {
            fleet.hosts[leader].kill();
        }
        took.push(first_token(&callers, failed_at).await?);
        if freeze {
            fleet.hosts[leader].signal("CONT");
        } else {
            fleet.hosts[leader].start()?;
            fleet.hosts[leader].wait_ready().await?;
        }
        wait_all_alive(&fleet).await?;
    }
    let how = if freeze { "freeze" } else { "kill" };
    println!(
        "{}",
        summary(&format!("recovery after {how}, {hosts} hosts"), took)
    );
    Ok(())
}

/// Waits until exactly one host reports that it leads the shard, and returns its index.
async fn leader(fleet: &Fleet) -> Result<usize, AnyError> {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        let mut leaders = Vec::new();
        for (index, host) in fleet.hosts.iter().enumerate() {
            if page_number(host, "/status", "shards_led").await > 0 {
                leaders.push(index);
            }
        }
        if let [leader] = leaders[..] {
            return Ok(leader);
        }
        sleep(Duration::from_millis(20)).await;
    }
    Err(format!("no single host led the shard within {WAIT_TIMEOUT:?}").into())
}

fn caller(host: &Host, index: usize) -> Client {
    let account = ACCOUNTS[index % ACCOUNTS.len()];
    Client::new(host.address, &format!("{account}-secret"))
}

/// Sends requests and returns the time from `failed_at` to the first token of any of them.
async fn first_token(callers: &[Client], failed_at: Instant) -> Result<Duration, AnyError> {
    let (tx, mut rx) = mpsc::channel(1);
    let mut requests = JoinSet::new();
    let mut pause = interval(REQUEST_PAUSE);
    let mut next = callers.iter().cycle();
    loop {
        tokio::select! {
            Some(at) = rx.recv() => return Ok(at),
            _ = pause.tick() => {
                let Some(client) = next.next().cloned() else { continue };
                let tx = tx.clone();
                requests.spawn(async move {
                    let sent = failed_at.elapsed();
                    let body = completion_body("cow-small", "how is she", 2, true);
                    let Ok(answer) = client.complete(&body, &[]).await else { return };
                    if let Some(event) = answer.events.first() {
                        let _ = tx.send(sent + event.at).await;
                    }
                });
            }
        }
        if failed_at.elapsed() > WAIT_TIMEOUT {
            return Err(format!("no request was served within {WAIT_TIMEOUT:?}").into());
        }
    }
}

fn summary(what: &str, mut took: Vec<Duration>) -> String {
    took.sort();
    let median = took[took.len() / 2];
    let (first, last) = (took[0], took[took.len() - 1]);
    format!(
        "{what}: n {}, least {} ms, median {} ms, most {} ms",
        took.len(),
        first.as_millis(),
        median.as_millis(),
        last.as_millis()
    )
}

async fn rules(hosts: usize, times: usize) -> Result<(), AnyError> {
    let mut fleet = start_fleet(hosts, 1).await?;
    let mut activation_times = Vec::new();
    for _ in 0..times {
        activation_times.push(measure_activation(&mut fleet).await?);
    }
    println!(
        "{}",
        summary(&format!("rules in force, {hosts} hosts"), activation_times)
    );

    fleet.platform.set_fault(Fault::StaleReads);
    let stale = timeout(Duration::from_secs(2), measure_activation(&mut fleet)).await;
    println!(
        "  platform answers the version before: in force in 2 s: {}",
        stale.is_ok()
    );
    fleet.platform.set_fault(Fault::None);
    println!(
        "  after stale reads: {:.0?}",
        measure_activation(&mut fleet).await?
    );

    let last = hosts - 1;
    fleet.hosts[last].kill();
    fleet.hosts[last].start()?;
    let with_restart = measure_activation(&mut fleet).await?;
    println!("  written while a host starts again: {with_restart:.0?}");

    fleet.platform.set_fault(Fault::Unavailable);
    let version = fleet.publish_rules(RULES);
    sleep(Duration::from_secs(3)).await;
    let recovered_at = Instant::now();
    fleet.platform.set_fault(Fault::None);
    wait_in_force(&fleet, version).await?;
    println!(
        "  after an outage of 3 s, from its end: {:.0?}",
        recovered_at.elapsed()
    );
    Ok(())
}

/// Writes the rules and returns the time until every host has them in force.
async fn measure_activation(fleet: &mut Fleet) -> Result<Duration, AnyError> {
    let start = Instant::now();
    let version = fleet.publish_rules(RULES);
    wait_in_force(fleet, version).await?;
    Ok(start.elapsed())
}

async fn wait_in_force(fleet: &Fleet, version: u64) -> Result<(), AnyError> {
    let start = Instant::now();
    for host in &fleet.hosts {
        while page_number(host, "/status", "rules_version").await < version {
            if start.elapsed() > WAIT_TIMEOUT {
                return Err(format!("{} did not load rule version {version}", host.id).into());
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(())
}

async fn calls(hosts: usize, seconds: u64) -> Result<(), AnyError> {
    let fleet = start_fleet(hosts, 1).await?;
    sleep(Duration::from_secs(6)).await;
    let before = fleet.platform.calls();
    sleep(Duration::from_secs(seconds)).await;
    let after = fleet.platform.calls();
    let per_second = |count: u64| {
        f64::from(u32::try_from(count).unwrap_or(u32::MAX))
            / f64::from(u32::try_from(seconds).unwrap_or(u32::MAX))
    };
    println!(
        "platform calls, {hosts} hosts, {seconds} s idle: watches {:.2}/s, reads {:.2}/s, writes {:.2}/s",
        per_second(after.watches - before.watches),
        per_second(after.reads - before.reads),
        per_second(after.writes - before.writes),
    );
    Ok(())
}

const COUNTS: [&str; 4] = [
    "bytes_sent",
    "bytes_received",
    "messages_sent",
    "frames_sent",
];

async fn control(hosts: usize, seconds: u64, requests: u32) -> Result<(), AnyError> {
    let fleet = Arc::new(start_fleet(hosts, 4).await?);
    sleep(Duration::from_secs(12)).await;
    let idle = rates(&fleet, seconds, async {}).await;
    let load = load(fleet.clone(), requests);
    let loaded = rates(&fleet, seconds, load).await;
    for (name, rates) in [("idle", idle), ("loaded", loaded)] {
        println!(
            "control, {hosts} hosts, {name}, mean and most a host and second: {}",
            rates.join(", ")
        );
    }
    Ok(())
}

async fn rates(
    fleet: &Arc<Fleet>,
    seconds: u64,
    background: impl Future<Output = ()> + Send + 'static,
) -> Vec<String> {
    let before = all_counts(fleet).await;
    let start = Instant::now();
    let running = tokio::spawn(background);
    sleep(Duration::from_secs(seconds)).await;
    let took = start.elapsed().as_secs_f64();
    let after = all_counts(fleet).await;
    running.abort();
    let rate = |index: usize| {
        let each = before.iter().zip(&after);
        let rates: Vec<f64> = each
            .map(|(before, after)| {
                let more = u32::try_from(after[index] - before[index]).unwrap_or(u32::MAX);
                f64::from(more) / took
            })
            .collect();
        let count = u32::try_from(rates.len()).unwrap_or(1);
        let mean = rates.iter().sum::<f64>() / f64::from(count);
        let most = rates.iter().copied().fold(0.0, f64::max);
        format!("{} {mean:.0} ({most:.0})", COUNTS[index])
    };
    (0..COUNTS.len()).map(rate).collect()
}

async fn all_counts(fleet: &Fleet) -> Vec<[u64; 4]> {
    let mut all = Vec::new();
    for host in &fleet.hosts {
        let body = host.page("/links").await.map(|(_, body)| body);
        let body = body.unwrap_or_default();
        all.push(COUNTS.map(|name| body[name].as_u64().unwrap_or_default()));
    }
    all
}

async fn load(fleet: Arc<Fleet>, requests: u32) {
    let mut pause = interval(Duration::from_secs(1) / requests);
    let mut running = JoinSet::new();
    for index in 0.. {
        pause.tick().await;
        let client = caller(&fleet.hosts[index % fleet.hosts.len()], index);
        running.spawn(async move {
            let body = completion_body("cow-small", "how is she", 20, true);
            let _ = client.complete(&body, &[]).await;
        });
    }
}
