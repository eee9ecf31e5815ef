//! Follows rollout orders, and writes their states to the store.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use jaypin_router::{Event, RolloutOrder, RolloutState, RolloutWrite, Router, StorePoint};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;

use super::client::{StoreClient, StoreError};
use super::{Retries, WATCH_PAUSE, check_reported_texts, excerpt, follows_store, wait_until};
use crate::host::Host;
use crate::ports::{Collection, Freshness, Object, ObjectChange};

/// Time for which one watch waits. It returns at once when something changes; while this host
/// waits on a dead connection, the other watchers report changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout of the read after a write that failed with a conflict.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Follows rollout orders while this host is a watcher; other hosts receive them in reports. A
/// deployment that sets no bound on the exposure of new versions has no rollouts.
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
    let read = |object: Object| parse_order(host, &object);
    let listing = client.list(Collection::Rollouts, Freshness::Newest, read);
    let listing = listing.await?;
    let mut point = listing.point;
    if listing.is_complete {
        for order in withdrawn_orders(host, &listing.items, point) {
            apply_order(host, order);
        }
    }
    for order in listing.items {
        apply_order(host, order);
    }
    while host.read(follows_store) {
        let Some(updates) = client
            .watch(Collection::Rollouts, point, WATCH_TIMEOUT)
            .await?
        else {
            return Ok(());
        };
        for change in &updates.changes {
            if let Some(order) = changed_order(host, change, updates.point) {
                apply_order(host, order);
            }
        }
        point = updates.point;
        if !updates.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
    }
    Ok(())
}

/// Returns the known orders that are missing from a listing at the given point, as withdrawn. An
/// order that has ended keeps its state if the store lost it by a restore from an older copy:
/// its author writes it again.
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

/// Returns the order after a change of the store. A removed order counts as withdrawn.
fn changed_order(host: &Host, change: &ObjectChange, point: StorePoint) -> Option<RolloutOrder> {
    let order = parse_order(host, &change.object)?;
    if !change.is_removed {
        return Some(order);
    }
    Some(RolloutOrder {
        state: RolloutState::Withdrawn,
        point: order.point.max(point),
        ..order
    })
}

/// Parses an order, and logs one that is invalid.
fn parse_order(host: &Host, object: &Object) -> Option<RolloutOrder> {
    let order = host.platform.parse_rollout(object);
    let checked = order.and_then(|order| {
        check_reported_texts(&[&order.service, &order.to])?;
        Ok(order)
    });
    match checked {
        Ok(order) => Some(order),
        Err(error) => {
            let (name, error) = (excerpt(&object.name), excerpt(&error.to_string()));
            log::warn!(name, error; "invalid rollout order in the store; ignored");
            None
        }
    }
}

/// Passes an order to the reducer.
fn apply_order(host: &Host, order: RolloutOrder) {
    host.apply(Event::RolloutOrderRead(order));
}

/// Writes the states of rollout orders until the host exits.
///
/// Each state is written once, on the condition that the order is unchanged. The reducer requests
/// a write again while the store does not show the state.
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
            "writing a rollout state"
        );
        match write_state(&host, &mut client, &order).await {
            Ok(object) => {
                if let Some(order) = parse_order(&host, &object) {
                    apply_order(&host, order);
                }
            }
            Err(error) => log::warn!(error:%; "writing a rollout state failed"),
        }
    }
}

/// Returns whether the order has changed since the write was requested, or the store's history
/// was replaced: the revision may now belong to another order.
fn is_stale(router: &Router, order: &RolloutOrder) -> bool {
    if router.store_era().is_some_and(|era| era != order.point.era) {
        return true;
    }
    let mut known = router.rollout_orders();
    !known.any(|it| it.service == order.service && it.point == order.point)
}

/// Writes the state of an order. Returns the object as stored afterwards.
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
            let path =
                platform.object_path(Collection::Rollouts, &order.service, Freshness::Newest);
            client.get(&path, READ_TIMEOUT).await?
        }
        response => response?,
    };
    Ok(platform.parse_object(&response.body, response.era)?)
}
