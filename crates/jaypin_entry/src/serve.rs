//! Starts an entry host and runs it until it receives SIGTERM and has drained.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use jaypin_router::{DrainTimes, Event, MAX_NOTICE_TIME, Router, RouterConfig};
use rand::RngExt;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout_at};

use crate::admission::{Admission, AdmissionLimits};
use crate::backend_probe::probe_backends;
use crate::boot_clock::boot_time;
use crate::callers::{DrainPhase, listen, serve_callers, serve_queries};
use crate::host::Host;
use crate::metrics;
use crate::peers::{LivePeers, PeerSocket, receive_reports, serve_snapshots};
use crate::ports::{HostSettings, Platform};
use crate::store::{
    fetch_reported_configurations, follow_backends, follow_configuration, follow_rollouts,
    join_fleet, write_rollouts,
};

/// Time between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Least number of file descriptors that is requested from the system: those that files need.
const MIN_OPEN_FILES: u64 = 16;

/// Command line options of a host.
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// Path of the platform's settings file.
    pub settings: PathBuf,
    /// Port on which metrics are served; without one no metrics are recorded.
    pub metrics_port: Option<u16>,
    /// Whether placement uses what engines are assumed to cache of a prompt.
    pub uses_held_parts: bool,
}

/// Runs a host until it has drained.
///
/// # Errors
/// Fails if the settings are invalid or an address can't be opened.
pub fn serve(platform: Rc<dyn Platform>, options: &ServeOptions) -> Result<(), String> {
    let name = options.settings.display();
    let text =
        std::fs::read_to_string(&options.settings).map_err(|error| format!("{name}: {error}"))?;
    let settings = platform.parse_settings(&text);
    let settings = settings.map_err(|error| format!("{name}: {error}"))?;
    let limit = settings.max_open_files.max(MIN_OPEN_FILES);
    if let Err(error) = rlimit::increase_nofile_limit(limit) {
        log::warn!(error:%; "raising the limit of open files failed; continuing with the current one");
    }
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, run(platform, settings, options))
}

async fn run(
    platform: Rc<dyn Platform>,
    settings: HostSettings,
    options: &ServeOptions,
) -> Result<(), String> {
    let limits = AdmissionLimits::new(settings.max_memory_bytes, settings.max_open_files);
    let listen_for_queries = |address| listen(address, limits.query_backlog);
    let callers = open(
        "callers",
        listen(settings.caller_address, limits.caller_backlog),
        settings.caller_address,
    )?;
    let readiness = open(
        "readiness",
        listen_for_queries(settings.readiness_address),
        settings.readiness_address,
    )?;
    let directory = open(
        "directory",
        listen_for_queries(settings.directory_address),
        settings.directory_address,
    )?;
    let metrics_listener = options
        .metrics_port
        .map(|port| SocketAddr::new(settings.caller_address.ip(), port));
    let metrics_listener =
        metrics_listener.map(|address| open("metrics", listen_for_queries(address), address));
    let metrics_listener = metrics_listener.transpose()?;
    let snapshots = open(
        "snapshots",
        listen_for_queries(settings.peer_address),
        settings.peer_address,
    )?;
    let peers = PeerSocket::open(settings.peer_address).await;
    let peers = open("peers", peers, settings.peer_address)?;
    let mut term = on_signal(SignalKind::terminate())?;
    let hang_up = on_signal(SignalKind::hangup())?;
    let incarnation = rand::rng().random();
    let router = Router::new(RouterConfig {
        host: settings.host.clone(),
        incarnation,
        peer_address: settings.peer_address,
        caller_address: settings.caller_address,
        failure_domain: settings.failure_domain.clone(),
        seed: incarnation,
        bounds: settings.bounds.clone(),
        uses_held_parts: options.uses_held_parts,
    });
    log::info!(host:% = settings.host, run = incarnation, callers:% = settings.caller_address; "started");
    if settings.bounds.leave_limit < MAX_NOTICE_TIME {
        let limit_ms = settings.bounds.leave_limit.as_millis();
        let notice_ms = MAX_NOTICE_TIME.as_millis();
        log::warn!(limit_ms, notice_ms; "the time that is allowed after a leave is shorter than hosts may take to learn of it");
    }
    let (rollout_writes, rollout_orders) = mpsc::unbounded_channel();
    let admission = Admission::new(&limits);
    let host = Host::new(platform, settings, admission, router, peers, rollout_writes);
    let host = Rc::new(host);
    let (phase, phase_receiver) = watch::channel(DrainPhase::Serving);
    spawn_local(follow_configuration(host.clone()));
    spawn_local(fetch_reported_configurations(host.clone()));
    spawn_local(follow_backends(host.clone()));
    spawn_local(follow_rollouts(host.clone()));
    spawn_local(write_rollouts(host.clone(), rollout_orders));
    spawn_local(join_fleet(host.clone()));
    spawn_local(receive_reports(host.clone()));
    spawn_local(serve_snapshots(host.clone(), snapshots));
    spawn_local(run_timer(host.clone()));
    spawn_local(run_admission(host.clone()));
    spawn_local(probe_backends(host.clone()));
    spawn_local(serve_queries(host.clone(), readiness));
    spawn_local(serve_queries(host.clone(), directory));
    if let Some(listener) = metrics_listener {
        metrics::start()?;
        spawn_local(serve_queries(host.clone(), listener));
    }
    spawn_local(serve_callers(host.clone(), callers, phase_receiver));
    spawn_local(log_hang_ups(hang_up));
    term.recv().await;
    drain(&host, &phase).await;
    Ok(())
}

/// Adds the address and its purpose to the error of opening it.
fn open<T>(
    purpose: &str,
    opened: std::io::Result<T>,
    address: std::net::SocketAddr,
) -> Result<T, String> {
    opened.map_err(|error| format!("opening {address} for {purpose} failed: {error}"))
}

fn on_signal(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|error| format!("registering a signal handler failed: {error}"))
}

/// Applies the reducer's ticks, closes expired connections and logs changes of live peers.
async fn run_timer(host: Rc<Host>) {
    let mut swept_at = Instant::now();
    let mut live_peers = LivePeers::default();
    loop {
        host.wait_for_tick().await;
        host.apply(Event::Tick(boot_time()));
        if swept_at.elapsed() >= SWEEP_INTERVAL {
            swept_at = Instant::now();
            host.connections.close_expired();
            live_peers.log_changes(&host);
        }
    }
}

/// Ends requests that arrive too slowly.
async fn run_admission(host: Rc<Host>) {
    host.admission.run().await;
}

/// Logs each SIGHUP. The settings that may change while a host runs are not used after its
/// start, so there is nothing to reload.
async fn log_hang_ups(mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        log::info!("SIGHUP received; no setting can be reloaded");
    }
}

/// Finishes the requests of the host, within its grace period.
async fn drain(host: &Host, phase: &watch::Sender<DrainPhase>) {
    let since = Instant::now();
    log::info!("draining");
    host.apply(Event::Drain);
    phase.send_replace(DrainPhase::CloseAfterResponse);
    let times = DrainTimes::new(host.settings.bounds.shutdown_grace);
    host.end_requests_at(since + times.end_requests);
    sleep(times.close_idle).await;
    phase.send_replace(DrainPhase::CloseIdle);
    // A request has ended for the reducer before its response is written to a slow caller.
    let are_closed = timeout_at(since + times.exit, phase.closed()).await.is_ok();
    let counts = host.read(|router| router.counts(Instant::now().into_std()));
    log::info!(are_closed, unfinished = counts.running + counts.waiting; "drain ended; exiting");
}
