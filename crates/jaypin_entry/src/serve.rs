//! Puts an entry host together and runs it until it is told to leave.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use jaypin_router::{Event, Router, RouterConfig};
use rand::RngExt;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::boot_clock::boot_time;
use crate::callers::{DrainPhase, listen, serve_callers, serve_queries};
use crate::host::Host;
use crate::metrics;
use crate::peers::{LivePeers, PeerSocket, receive_reports, serve_snapshots};
use crate::ports::{HostSettings, Platform};
use crate::store::{
    follow_backends, follow_configuration, follow_rollouts, join_fleet, write_rollouts,
};

/// Pause between two looks at idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a leaving host stays though it is idle: callers that have not heard of
/// it get an answer instead of a refused connection.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(3);
/// Pause between two looks at whether everything has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the grace after which the host leaves with requests unfinished.
const GRACE_FRACTION: f64 = 0.96;
/// Descriptors that are left to files.
const MIN_OPEN_FILES: u64 = 16;

/// What the command line says of a host.
#[derive(Debug, Clone)]
pub struct ServeOptions {
    /// The platform's settings file.
    pub settings: PathBuf,
    /// Port on which metrics are scraped; without one nothing is counted.
    pub metrics_port: Option<u16>,
}

/// Runs a host to its end.
///
/// # Errors
/// Says what keeps it from starting.
pub fn serve(platform: Rc<dyn Platform>, options: &ServeOptions) -> Result<(), String> {
    let name = options.settings.display();
    let text =
        std::fs::read_to_string(&options.settings).map_err(|error| format!("{name}: {error}"))?;
    let settings = platform.parse_settings(&text);
    let settings = settings.map_err(|error| format!("{name}: {error}"))?;
    let limit = settings.max_open_files.max(MIN_OPEN_FILES);
    if let Err(error) = rlimit::increase_nofile_limit(limit) {
        log::warn!(error:%; "can't raise the limit of open files");
    }
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, run(platform, settings, options.metrics_port))
}

async fn run(
    platform: Rc<dyn Platform>,
    settings: HostSettings,
    metrics_port: Option<u16>,
) -> Result<(), String> {
    let callers = open("callers", listen(settings.caller_address), settings.caller_address,)?;
    let readiness = open("readiness", listen(settings.readiness_address), settings.readiness_address,)?;
    let directory = open("directory", listen(settings.directory_address), settings.directory_address,)?;
    let metrics_listener = metrics_port.map(|port| SocketAddr::new(settings.caller_address.ip(), port));
    let metrics_listener =
        metrics_listener.map(|address| open("metrics", listen(address), address));
    let metrics_listener = metrics_listener.transpose()?;
    let snapshots = open("snapshots", listen(settings.peer_address), settings.peer_address,)?;
    let peers = PeerSocket::open(settings.peer_address).await;
    let peers = open("peers", peers, settings.peer_address)?;
    let mut term = on_signal(SignalKind::terminate())?;
    let hang_up = on_signal(SignalKind::hangup())?;
    let run = rand::rng().random();
    let router = Router::new(RouterConfig {
        host: settings.host.clone(),
        incarnation:
        run,
        peer_address: settings.peer_address,
        caller_address: settings.caller_address,
        failure_domain: settings.failure_domain.clone(),
        seed: run,
        bounds: settings.bounds.clone(),
    });
    log::info!(host:% = settings.host, run, callers:% = settings.caller_address; "started");
    let (rollout_writes, rollout_orders) = mpsc::unbounded_channel();
    let host = Host::new(platform, settings, router, peers, rollout_writes);
    let host = Rc::new(host);
    let (phase, phase_receiver) = watch::channel(DrainPhase::Serving);
    spawn_local(follow_configuration(host.clone()));
    spawn_local(follow_backends(host.clone()));
    spawn_local(follow_rollouts(host.clone()));
    spawn_local(write_rollouts(host.clone(), rollout_orders));
    spawn_local(join_fleet(host.clone()));
    spawn_local(receive_reports(host.clone()));
    spawn_local(serve_snapshots(host.clone(), snapshots));
    spawn_local(run_timer(host.clone()));
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

fn open<T>(
    what: &str,
    opened: std::io::Result<T>,
    address: std::net::SocketAddr,
) -> Result<T, String> {
    opened.map_err(|error| format!("{what} {address}: {error}"))
}

fn on_signal(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|error| error.to_string())
}

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

/// The settings that can change while a host runs are those it does not use after its
/// start, so a signal is written down and changes nothing.
async fn log_hang_ups(mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        log::info!("told that the settings changed");
    }
}

/// Finishes what the host has, within its grace.
async fn drain(host: &Host, phase: &watch::Sender<DrainPhase>) {
    let since = Instant::now();
    log::info!("leaving");
    host.apply(Event::Drain);
    phase.send_replace(DrainPhase::CloseAfterResponse);
    sleep(MIN_DRAIN_TIME).await;
    phase.send_replace(DrainPhase::CloseIdle);
    let grace = host.settings.bounds.shutdown_grace.mul_f64(GRACE_FRACTION);
    while !host.read(jaypin_router::Router::is_idle) && since.elapsed() < grace {
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // Answers that were given are still on their way to their callers.
    sleep(DRAIN_CHECK_INTERVAL).await;
    let counts = host.read(|router| router.counts(Instant::now().into_std()));
    log::info!(unfinished = counts.running + counts.waiting; "left");
}
