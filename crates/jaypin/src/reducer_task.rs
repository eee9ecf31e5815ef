//! The thread that owns the reducer: events in, effects out, one at a time.

use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError};
use jaypin_core::{Effect, Event, HostList, Reducer};
use jaypin_rules::RuleSet;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::snapshot::Snapshot;

/// How often the reducer hears of time.
const TICK: Duration = Duration::from_millis(20);

/// Starts the thread; it ends when every sender of events is gone.
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
    // The runtime's clock and timers, which tests pause and advance.
    let _guard = handle.enter();
    let mut next_tick = Instant::now();
    let mut snapshot = Snapshot::default();
    loop {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let event = match events.recv_timeout(wait) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => {
                next_tick = Instant::now() + TICK;
                Event::Tick
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let rules = match &event {
            Event::Rules { rules, .. } => Some(rules.clone()),
            _ => None,
        };
        let effects = reducer.apply(Instant::now().into_std(), event);
        // Effects look addresses up in what is published.
        publish(&reducer, rules, &mut snapshot, snapshots);
        for effect in effects {
            run(effect);
        }
    }
}

fn publish(
    reducer: &Reducer,
    rules: Option<Arc<RuleSet>>,
    last: &mut Snapshot,
    snapshots: &watch::Sender<Arc<Snapshot>>,
) {
    let summary = reducer.summary();
    let members = reducer.membership();
    let live: Vec<_> = members.live_hosts().cloned().collect();
    if summary == last.summary && live == *last.live_hosts {
        return;
    }
    if let Some(rules) = rules.filter(|_| summary.rules_version > last.rules_version) {
        last.rules = rules;
        last.rules_version = summary.rules_version;
    }
    if members.list().version != last.hosts.version {
        last.hosts = Arc::new(HostList::clone(members.list()));
    }
    if live != *last.live_hosts {
        last.live_hosts = Arc::new(live);
    }
    last.members = members
        .table()
        .iter()
        .map(|(host, member)| (host.clone(), *member))
        .collect();
    last.summary = summary;
    snapshots.send_replace(Arc::new(last.clone()));
}
