//! The thread that owns the reducer: it applies events one at a time and executes the
//! resulting effects.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use jaypin_core::{Effect, Event, HostList, Reducer};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::snapshot::Snapshot;

/// Interval between tick events, which drive all of the reducer's timeouts.
const TICK: Duration = Duration::from_millis(20);

/// Interval at which shard reports and suspect counts are published.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the thread, which ends when every sender of events is dropped.
pub fn spawn(
    reducer: Reducer,
    events: Receiver<Event>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    handle: Handle,
    run: impl FnMut(Effect) + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("reducer".to_owned())
        .spawn(move || reduce(reducer, &events, &snapshots, &handle, run))
}

fn reduce(
    mut reducer: Reducer,
    events: &Receiver<Event>,
    snapshots: &watch::Sender<Arc<Snapshot>>,
    handle: &Handle,
    mut run: impl FnMut(Effect),
) {
    // Makes `Instant::now` use the runtime's clock, which tests can pause and advance.
    let _guard = handle.enter();
    let mut next_tick = Instant::now();
    let mut next_report = Instant::now();
    let mut snapshot = Snapshot::default();
    loop {
        // A channel that is never empty must not delay the tick, since no timeout fires
        // without ticks.
        let wait = next_tick.saturating_duration_since(Instant::now());
        if wait.is_zero() {
            next_tick = Instant::now() + TICK;
            for effect in reducer.apply(Instant::now().into_std(), Event::Tick) {
                run(effect);
            }
            publish(&reducer, &mut snapshot, snapshots);
            if Instant::now() >= next_report {
                next_report = Instant::now() + REPORT_INTERVAL;
                publish_reports(&reducer, &mut snapshot, snapshots);
            }
            continue;
        }
        let event = match events.recv_timeout(wait) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let effects = reducer.apply(Instant::now().into_std(), event);
        // Effects look up addresses in the snapshot, so it is published before they run.
        publish(&reducer, &mut snapshot, snapshots);
        for effect in effects {
            run(effect);
        }
    }
}

/// Publishes shard reports and suspect counts, which are too costly to compute after
/// every event.
fn publish_reports(
    reducer: &Reducer,
    last: &mut Snapshot,
    snapshots: &watch::Sender<Arc<Snapshot>>,
) {
    let shards = reducer.shard_reports(Instant::now().into_std());
    let suspects = reducer.suspect_counts();
    if shards != *last.shards || suspects != last.suspects {
        last.shards = Arc::new(shards);
        last.suspects = suspects;
        snapshots.send_replace(Arc::new(last.clone()));
    }
}

/// Publishes a new snapshot if the reducer's summary or its membership changed.
fn publish(reducer: &Reducer, last: &mut Snapshot, snapshots: &watch::Sender<Arc<Snapshot>>) {
    let summary = reducer.summary();
    let members = reducer.membership();
    if summary == last.summary && members.epoch() == last.epoch {
        return;
    }
    if summary.rules_version > last.rules_version {
        last.rules = reducer.loaded_rules().clone();
        last.rules_version = summary.rules_version;
    }
    if members.list().version != last.hosts.version {
        last.hosts = Arc::new(HostList::clone(members.list()));
    }
    if members.epoch() != last.epoch {
        last.live_hosts = Arc::new(members.live_hosts().cloned().collect());
        let entries = members.table().iter();
        last.members = entries
            .map(|(host, member)| (host.clone(), *member))
            .collect();
        last.epoch = members.epoch();
    }
    last.summary = summary;
    snapshots.send_replace(Arc::new(last.clone()));
}
