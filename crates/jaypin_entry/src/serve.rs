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
use crate::callers::{Leaving, listen, serve_callers, serve_questions};
use crate::host::Host;
use crate::metrics;
use crate::peers::{HeardPeers, PeerSocket, hear_peers, serve_snapshots};
use crate::ports::{HostSettings, Platform};
use crate::store::{
    follow_backends, follow_configuration, follow_rollouts, join_fleet, write_rollouts,
};

/// Pause between two looks at idle connections.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);
/// Time for which a leaving host stays though it is idle: callers that have not heard of
/// it get an answer instead of a refused connection.
const LEAST_LEAVING: Duration = Duration::from_secs(3);
/// Pause between two looks at whether everything has ended.
const LEAVING_PAUSE: Duration = Duration::from_millis(50);
/// Part of the grace after which the host leaves with requests unfinished.
const GRACE_PART: f64 = 0.96;
/// Descriptors that are left to files.
const FILE_DESCRIPTORS: u64 = 16;

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
    let read = platform.parse_settings(&text);
    let read = read.map_err(|error| format!("{name}: {error}"))?;
    let limit = read.max_open_files.max(FILE_DESCRIPTORS);
    if let Err(error) = rlimit::increase_nofile_limit(limit) {
        log::warn!(error:%; "can't raise the limit of open files");
    }
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, run(platform, read, options.metrics_port))
}

async fn run(
    platform: Rc<dyn Platform>,
    settings: HostSettings,
    metrics_port: Option<u16>,
) -> Result<(), String> {
    let callers = open(
        "callers",
        listen(settings.caller_address),
        settings.caller_address,
    )?;
    let readiness = open(
        "readiness",
        listen(settings.readiness_address),
        settings.readiness_address,
    )?;
    let directory = open(
        "directory",
        listen(settings.directory_address),
        settings.directory_address,
    )?;
    let scraped = metrics_port.map(|port| SocketAddr::new(settings.caller_address.ip(), port));
    let scraped = scraped.map(|address| open("metrics", listen(address), address));
    let scraped = scraped.transpose()?;
    let snapshots = open(
        "snapshots",
        listen(settings.peer_address),
        settings.peer_address,
    )?;
    let peers = PeerSocket::open(settings.peer_address).await;
    let peers = open("peers", peers, settings.peer_address)?;
    let mut term = on_signal(SignalKind::terminate())?;
    let hang_up = on_signal(SignalKind::hangup())?;
    let run = rand::rng().random();
    let router = Router::new(RouterConfig {
        host: settings.host.clone(),
        incarnation: run,
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
    let (show, leaving) = watch::channel(Leaving::No);
    spawn_local(follow_configuration(host.clone()));
    spawn_local(follow_backends(host.clone()));
    spawn_local(follow_rollouts(host.clone()));
    spawn_local(write_rollouts(host.clone(), rollout_orders));
    spawn_local(join_fleet(host.clone()));
    spawn_local(hear_peers(host.clone()));
    spawn_local(serve_snapshots(host.clone(), snapshots));
    spawn_local(keep_time(host.clone()));
    spawn_local(serve_questions(host.clone(), readiness));
    spawn_local(serve_questions(host.clone(), directory));
    if let Some(listener) = scraped {
        metrics::start()?;
        spawn_local(serve_questions(host.clone(), listener));
    }
    spawn_local(serve_callers(host.clone(), callers, leaving));
    spawn_local(note_hang_ups(hang_up));
    term.recv().await;
    leave(&host, &show).await;
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

async fn keep_time(host: Rc<Host>) {
    let mut swept_at = Instant::now();
    let mut heard = HeardPeers::default();
    loop {
        host.wait_for_tick().await;
        host.apply(Event::Tick(boot_time()));
        if swept_at.elapsed() >= SWEEP_PAUSE {
            swept_at = Instant::now();
            host.connections.close_expired();
            heard.note(&host);
        }
    }
}

/// The settings that can change while a host runs are those it does not use after its
/// start, so a signal is written down and changes nothing.
async fn note_hang_ups(mut hang_up: Signal) {
    while hang_up.recv().await.is_some() {
        log::info!("told that the settings changed");
    }
}

/// Finishes what the host has, within its grace.
async fn leave(host: &Host, show: &watch::Sender<Leaving>) {
    let since = Instant::now();
    log::info!("leaving");
    host.apply(Event::Drain);
    show.send_replace(Leaving::AnswersClose);
    sleep(LEAST_LEAVING).await;
    show.send_replace(Leaving::IdleCloses);
    let grace = host.settings.bounds.shutdown_grace.mul_f64(GRACE_PART);
    while !host.look(jaypin_router::Router::is_idle) && since.elapsed() < grace {
        sleep(LEAVING_PAUSE).await;
    }
    // Answers that were given are still on their way to their callers.
    sleep(LEAVING_PAUSE).await;
    let counts = host.look(|router| router.counts(Instant::now().into_std()));
    log::info!(unfinished = counts.running + counts.waiting; "left");
}
