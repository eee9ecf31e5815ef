//! Probes of connections to backend servers, which show whether this host is cut off from them.

use std::rc::Rc;
use std::time::Duration;

use jaypin_core::BackendId;
use jaypin_router::{Event, Router};
use rand::seq::IndexedRandom;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::host::Host;

/// Pause between two rounds of probes.
const PAUSE: Duration = Duration::from_millis(100);
/// Number of backend servers that are probed in one round.
const MAX_PROBED: usize = 3;

/// Probes connections whenever the reducer needs to know, until the task is dropped.
pub async fn probe_backends(host: Rc<Host>) {
    let mut was_cut_off = false;
    loop {
        sleep(PAUSE).await;
        let now = Instant::now().into_std();
        let targets = host.read(|router| router.probe_targets(now));
        let mut probes = JoinSet::new();
        for (id, address) in targets.sample(&mut rand::rng(), MAX_PROBED) {
            probes.spawn_local(probe(host.clone(), id.clone(), address.clone()));
        }
        probes.join_all().await;
        let is_cut_off = host.read(Router::is_cut_off);
        if is_cut_off != was_cut_off {
            was_cut_off = is_cut_off;
            log_change(is_cut_off);
        }
    }
}

async fn probe(host: Rc<Host>, id: BackendId, address: String) {
    let event = if host.connections.probe(&address).await {
        Event::BackendReached(id)
    } else {
        Event::BackendUnreached(id)
    };
    host.apply(event);
}

fn log_change(is_cut_off: bool) {
    if is_cut_off {
        log::warn!(
            "connections to backend servers fail; passing requests on to peers that reach some"
        );
    } else {
        log::info!("connections to backend servers succeed again");
    }
}
