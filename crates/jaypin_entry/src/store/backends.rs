//! Follows the backend servers' registrations.

use std::rc::Rc;
use std::time::Duration;

use jaypin_core::BackendId;
use jaypin_router::{BackendRecord, EntryChange, Event};
use tokio::time::{Instant, sleep};

use super::client::{StoreClient, StoreError};
use super::{WATCH_PAUSE, is_watching, pause_after, wait_for_reason};
use crate::host::Host;
use crate::ports::{Collection, Object, ObjectChange};

/// How long one watch waits. Answers come at once when something changes; a connection
/// that went silent is noticed after this time and a call's.
const WATCH: Duration = Duration::from_secs(4);

/// Follows the backend servers until the task is dropped: by watches if this host is to
/// watch, else by what its peers tell, and by reading all when that differs for long.
pub async fn follow_backends(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    let mut has_read = false;
    loop {
        if has_read {
            let now = || Instant::now().into_std();
            wait_for_reason(&host, |router| router.has_other_entries(now())).await;
        }
        match follow(&host, &mut client).await {
            Ok(()) => has_read = true,
            Err(error) => pause_after(&host, "backend servers", &error).await,
        }
    }
}

async fn follow(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    let (objects, mut revision) = client.list(Collection::Backends).await?;
    let entries: Vec<_> = objects
        .iter()
        .filter_map(|object| Some((read(host, object)?, object.revision)))
        .collect();
    log::info!(count = entries.len(), revision; "backend servers listed");
    host.apply(Event::BackendsListed { entries, revision });
    while is_watching(host) {
        let Some(news) = client.watch(Collection::Backends, revision, WATCH).await? else {
            return Ok(());
        };
        for change in &news.changes {
            let change = entry_change(host, change, news.revision);
            log::info!(change:?; "backend server");
            host.apply(Event::BackendChanged(change));
        }
        revision = news.revision;
        if !news.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
    }
    Ok(())
}

/// An entry that can't be read names no backend server to use.
fn entry_change(host: &Host, change: &ObjectChange, revision: u64) -> EntryChange {
    let object = &change.object;
    match read(host, object).filter(|_| !change.is_removed) {
        Some(record) => EntryChange::Stated {
            record,
            revision: object.revision,
        },
        None => EntryChange::Removed {
            id: BackendId::from(object.name.as_str()),
            revision: object.revision.max(revision),
        },
    }
}

fn read(host: &Host, object: &Object) -> Option<BackendRecord> {
    match host.platform.backend(object) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(name = object.name, error:%; "an entry that is no backend server");
            None
        }
    }
}
