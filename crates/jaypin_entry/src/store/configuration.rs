//! Follows what operators configure, and proves that it is the newest.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jaypin_router::{BootTime, Event, RouteTable, Router};
use tokio::time::{Instant, sleep};

use super::client::{StoreClient, StoreError};
use super::{WATCH_PAUSE, is_watching, pause_after, wait_for_reason};
use crate::boot_clock::boot_time;
use crate::host::Host;
use crate::ports::{Collection, Object};

/// How long one watch waits. The proof that a configuration is the newest is as old as the
/// last answer, so this bounds its age; each watch has its price.
const WATCH: Duration = Duration::from_secs(1);
/// Time by which a watch may lag behind what was written: a store that drops its history
/// tells watches nothing for up to a second before.
const WATCH_LAG: Duration = Duration::from_millis(1_200);

/// Follows the configuration until the task is dropped: by watches if this host is to
/// watch, else by reading it when a peer knows a newer one.
pub async fn follow_configuration(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    loop {
        if let Err(error) = follow(&host, &mut client).await {
            pause_after(&host, "configuration", &error).await;
        }
    }
}

async fn follow(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    wait_for_reason(host, Router::is_behind).await;
    let asked_at = boot_time();
    let (objects, mut revision) = client.list(Collection::Configuration).await?;
    for object in &objects {
        take(host, object);
    }
    host.apply(Event::Proved(asked_at));
    while is_watching(host) {
        let asked = (boot_time(), Instant::now());
        let Some(news) = client
            .watch(Collection::Configuration, revision, WATCH)
            .await?
        else {
            return Ok(());
        };
        for change in &news.changes {
            if !change.is_removed {
                take(host, &change.object);
            }
        }
        revision = news.revision;
        host.apply(Event::Proved(proved_at(asked)));
        if !news.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
    }
    Ok(())
}

/// The time at which a watch's answer was surely the newest.
///
/// It was asked before and may tell of that moment only; an answer that came later tells
/// of what was at most a lag before it came. A suspended host's steady clock stands still,
/// so only the time of asking holds for it.
fn proved_at((asked_boot, asked): (BootTime, Instant)) -> BootTime {
    let waited = asked.elapsed();
    let now = boot_time();
    let was_suspended = now.saturating_sub(asked_boot) > waited + WATCH_LAG;
    if was_suspended {
        return asked_boot;
    }
    asked_boot.max(now.saturating_sub(WATCH_LAG))
}

fn take(host: &Host, object: &Object) {
    match host.platform.configuration(object) {
        Ok(configuration) => {
            let version = configuration.version;
            let known = host.look(|router| {
                let table = router.table();
                table.map_or(0, |table| table.configuration().version)
            });
            if version > known {
                log::info!(version, known; "configuration");
                let table = Arc::new(RouteTable::new(configuration));
                host.apply(Event::Configured(table));
            }
        }
        Err(error) => {
            log::warn!(name = object.name, error:%; "an object that is no configuration");
        }
    }
}
