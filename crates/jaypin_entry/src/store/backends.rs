//! Follows the backend servers' registrations.

use std::rc::Rc;
use std::time::Duration;

use jaypin_core::BackendId;
use jaypin_router::{BackendRecord, Event};
use tokio::time::sleep;

use super::client::{StoreClient, StoreError};
use super::{WATCH_PAUSE, pause_after};
use crate::host::Host;
use crate::ports::{Collection, Object};

/// How long one watch waits. Answers come at once when something changes; a connection
/// that went silent is noticed after this time and a call's.
const WATCH: Duration = Duration::from_millis(4_000);

/// Reads and watches the backend servers until the task is dropped.
pub async fn follow_backends(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    loop {
        if let Err(error) = follow(&host, &mut client).await {
            pause_after(&host, "backend servers", &error).await;
        }
    }
}

async fn follow(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    let (objects, mut revision) = client.list(Collection::Backends).await?;
    let records: Vec<_> = objects.iter().filter_map(|it| read(host, it)).collect();
    log::info!(count = records.len(); "backend servers listed");
    host.apply(Event::BackendsListed(records));
    loop {
        let Some(news) = client.watch(Collection::Backends, revision, WATCH).await? else {
            return Ok(());
        };
        for change in &news.changes {
            let object = &change.object;
            let event = match read(host, object) {
                Some(record) if !change.is_removed => {
                    log::info!(id:% = record.id, status:? = record.status; "backend server");
                    Event::BackendChanged(record)
                }
                // An entry that can't be read names no backend server to use.
                _ => {
                    log::info!(id = object.name; "backend server removed");
                    Event::BackendRemoved(BackendId::from(object.name.as_str()))
                }
            };
            host.apply(event);
        }
        revision = news.revision;
        if !news.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
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
