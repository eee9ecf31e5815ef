//! Follows orders for new versions of services, and writes what became of them.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use jaypin_router::{Event, RolloutOrder, RolloutState, RolloutWrite, Router, StorePoint};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;

use super::client::{StoreClient, StoreError};
use super::{Retries, WATCH_PAUSE, follows_store, wait_until};
use crate::host::Host;
use crate::ports::{Collection, Freshness, Object, ObjectChange};

/// How long one watch waits. Answers come at once when something changes, and the other
/// watchers make up for a connection that went silent.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for an answer to a read after a write that was refused.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows orders while it falls to this host to watch the store; the others hear of them in
/// reports. A deployment without a bound for new versions has none.
pub async fn follow_rollouts(host: Rc<Host>) {
    if host.settings.bounds.exposure.is_none() {
        return;
    }
    let mut client = StoreClient::new(&host);
    let mut retries = Retries::default();
    loop {
        wait_until(&host, follows_store).await;
        match follow(&host, &mut client).await {
            Ok(()) => retries.record_success(),
            Err(error) => retries.back_off(&host, "rollouts", &error).await,
        }
    }
}

async fn follow(host: &Host, client: &mut StoreClient<'_>) -> Result<(), StoreError> {
    let (objects, mut point) = client.list(Collection::Rollouts, Freshness::Newest).await?;
    let listed: Vec<_> = objects.iter().filter_map(|it| read(host, it)).collect();
    for order in withdrawn_orders(host, &listed, point) {
        apply(host, order);
    }
    for order in listed {
        apply(host, order);
    }
    while host.read(follows_store) {
        let Some(updates) = client.watch(Collection::Rollouts, point, WATCH_TIMEOUT).await? else {
            return Ok(());
        };
        for change in &updates.changes {
            if let Some(order) = changed(host, change, updates.point) {
                apply(host, order);
            }
        }
        point = updates.point;
        if !updates.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
    }
    Ok(())
}

/// Orders that this host knows and that a listing of a point has no more. An order that has
/// ended and that the store lost by coming back from an older copy is written again by its
/// author; its end stands.
fn withdrawn_orders(host: &Host, listed: &[RolloutOrder], point: StorePoint) -> Vec<RolloutOrder> {
    let known = host.read(|router| router.rollout_orders().cloned().collect::<Vec<_>>());
    let is_listed = |order: &RolloutOrder| listed.iter().any(|it| it.service == order.service);
    let missing = known
        .into_iter()
        .filter(|it| !is_listed(it) && it.point < point)
        .filter(|it| it.point.era == point.era || !it.state.is_final());
    let orders = missing.map(|order| RolloutOrder {
        state: RolloutState::Withdrawn,
        point,
        ..order
    });
    orders.collect()
}

fn changed(host: &Host, change: &ObjectChange, point: StorePoint) -> Option<RolloutOrder> {
    let order = read(host, &change.object)?;
    if !change.is_removed {
        return Some(order);
    }
    Some(RolloutOrder {
        state: RolloutState::Withdrawn,
        point: order.point.max(point),
        ..order
    })
}

fn read(host: &Host, object: &Object) -> Option<RolloutOrder> {
    match host.platform.parse_rollout(object) {
        Ok(order) => Some(order),
        Err(error) => {
            log::warn!(name = object.name, error:%; "an entry that is no rollout");
            None
        }
    }
}

fn apply(host: &Host, order: RolloutOrder) {
    host.apply(Event::RolloutOrderRead(order));
}

/// Writes states of orders until the host ends.
///
/// Each is written once under the condition that nobody changed the order; the decisions ask
/// again for what the store does not show.
pub async fn write_rollouts(host: Rc<Host>, mut writes: UnboundedReceiver<RolloutWrite>) {
    let mut client = StoreClient::new(&host);
    while let Some(write) = writes.recv().await {
        let RolloutWrite {
            order,
            evidence,
            outcomes,
        } = write;
        if host.read(|router| is_stale(router, &order)) {
            continue;
        }
        let state = order.state.as_str();
        log::info!(
            service:% = order.service, version:% = order.to, state, evidence:?, why:% = outcomes;
            "rollout is written"
        );
        match write_state(&host, &mut client, &order).await {
            Ok(object) => {
                if let Some(order) = read(&host, &object) {
                    apply(&host, order);
                }
            }
            Err(error) => log::warn!(error:%; "a rollout's state was not written"),
        }
    }
}

/// Whether the order has changed since its state was to be written, or the store has come
/// back since: its revision may be another order's now.
fn is_stale(router: &Router, order: &RolloutOrder) -> bool {
    if router.store_era().is_some_and(|era| era != order.point.era) {
        return true;
    }
    let mut known = router.rollout_orders();
    !known.any(|it| it.service == order.service && it.point == order.point)
}

/// Gives the object as the store has it afterwards.
async fn write_state(
    host: &Host,
    client: &mut StoreClient<'_>,
    order: &RolloutOrder,
) -> Result<Object, StoreError> {
    let platform = &host.platform;
    let path = platform.status_path(Collection::Rollouts, &order.service);
    let body = platform.rollout_status_body(order);
    let response = match client.write(Method::PUT, &path, body).await {
        Err(StoreError::Status { status }) if status == StatusCode::CONFLICT => {
            let path = platform.object_path(Collection::Rollouts, &order.service);
            client.get(&path, READ_TIMEOUT).await?
        }
        response => response?,
    };
    Ok(platform.parse_object(&response.body, response.era)?)
}
