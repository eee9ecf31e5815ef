//! Assembles an entry host from its components and runs it until it has shut down.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel::unbounded;
use jaypin_core::{Config, Event, HostId, Reducer};
use jaypin_wire::HostIdentity;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};

use crate::calls::Calls;
use crate::decisions::Decisions;
use crate::frontend::Frontend;
use crate::links::{Identity, Links};
use crate::operator::Operator;
use crate::runner::EffectRunner;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use crate::{frontend, platform, reducer_task};

/// Worker threads of the async runtime; an entry host is small and needs only a few.
const WORKER_THREADS: usize = 2;

/// Time between two events after which the reducer assumes that its process was paused.
/// Ticks arrive every 20 ms, and peers suspect a silent host shortly after this time.
const PAUSE_LIMIT: Duration = Duration::from_millis(500);

/// Limit of open files that a host requests from the operating system. Each stream needs a
/// connection to its caller and one to a backend server; idle callers need one each.
const MAX_OPEN_FILES: u64 = 16_384;

/// Runs a host until it has shut down.
pub fn run(settings: Settings) -> Result<(), String> {
    if let Err(error) = rlimit::increase_nofile_limit(MAX_OPEN_FILES) {
        log::warn!(error:%;
            "failed to raise the limit of open files; continuing with the current limit");
    }
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let result = runtime.block_on(serve(settings));
    runtime.shutdown_timeout(Duration::from_millis(100));
    result
}

async fn serve(settings: Settings) -> Result<(), String> {
    let incarnation = incarnation();
    let host = HostId::from(settings.host.as_str());
    let caller_listener = frontend::listen(settings.listen)
        .map_err(|error| format!("listen {}: {error}", settings.listen))?;
    let link_listener = TcpListener::bind(settings.link_listen)
        .await
        .map_err(|error| format!("link-listen {}: {error}", settings.link_listen))?;
    let (events, event_rx) = unbounded();
    let (snapshot_tx, snapshots) = watch::channel(Arc::new(Snapshot::default()));
    let identity = Identity {
        host: host.clone(),
        incarnation,
        fleet_key: settings.fleet_key.clone(),
    };
    let links = Links::new(identity, snapshots.clone(), events.clone());
    let exit = Arc::new(Notify::new());
    let calls = Arc::new(Calls::default());
    let decisions = Arc::new(Decisions::new(snapshots.clone()));
    let watching = watch::Sender::new(true);
    let runner = EffectRunner {
        decisions: decisions.clone(),
        calls: calls.clone(),
        latencies: Arc::default(),
        links: links.clone(),
        events: events.clone(),
        watching: watching.clone(),
        exit: exit.clone(),
    };
    let reducer = Reducer::new(config(&settings, &host, incarnation));
    reducer_task::spawn(
        reducer,
        event_rx,
        snapshot_tx,
        Handle::current(),
        move |fx| {
            runner.run(fx);
        },
    )
    .map_err(|error| error.to_string())?;
    Operator {
        identity: HostIdentity {
            host: settings.host.clone(),
            incarnation,
            failure_domain: settings.failure_domain.clone(),
            platform: settings.platform.to_string(),
        },
        snapshots: snapshots.clone(),
        events: events.clone(),
        decisions: decisions.clone(),
        port: settings.operator_listen.port(),
        token_digest: settings.operator_token_digest.clone(),
        links: links.counters(),
    }
    .spawn(settings.operator_listen)?;
    let control = platform::WatchControl {
        snapshots: snapshots.clone(),
        watching: watching.subscribe(),
    };
    platform::spawn_watches(&settings.platform.to_string(), &events, &control)
        .map_err(|error| error.to_string())?;
    tokio::spawn(links.clone().accept(link_listener));
    tokio::spawn(links.clone().maintain_permanent_links());
    tokio::spawn(links.join_fleet(settings.peers.clone()));
    let frontend = Frontend::new(
        host,
        incarnation,
        snapshots,
        calls,
        decisions,
        events.clone(),
    );
    tokio::spawn(frontend.accept(caller_listener));
    log::info!(host = settings.host, incarnation, listen:% = settings.listen; "serving");
    run_until_exit(&events, &exit).await?;
    log::info!(host = settings.host; "left");
    Ok(())
}

/// Waits for SIGTERM or SIGINT, starts the drain, and waits until it is complete. Returns
/// without a signal when an operator's drain is complete.
async fn run_until_exit(
    events: &crossbeam::channel::Sender<Event>,
    exit: &Notify,
) -> Result<(), String> {
    let mut term = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        () = exit.notified() => return Ok(()),
    }
    let _ = events.send(Event::Drain);
    exit.notified().await;
    Ok(())
}

fn config(settings: &Settings, host: &HostId, incarnation: u64) -> Config {
    let mut cfg = Config {
        host: host.clone(),
        incarnation,
        failure_domain: settings.failure_domain.as_str().into(),
        policy: settings.policy,
        seed: settings.seed.unwrap_or(incarnation),
        pause_limit: PAUSE_LIMIT,
        await_peers: true,
        ..Config::default()
    };
    if let Some(size) = settings.shard_size {
        cfg.shard_size = size;
    }
    if let Some(interval) = settings.report_interval_ms {
        cfg.report_interval = Duration::from_millis(interval);
    }
    cfg
}

/// Returns a number that increases with each start of a host: milliseconds since the Unix
/// epoch.
fn incarnation() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
