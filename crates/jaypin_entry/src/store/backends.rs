//! Follows the registrations of backend servers.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use jaypin_core::BackendId;
use jaypin_router::{BackendRecord, BootTime, EntryChange, Event, Router, StorePoint};
use tokio::time::{Instant, sleep};

use super::client::{StoreClient, StoreError};
use super::listing::Listing;
use super::{
    RELAY_FALLBACK_TIME, Retries, WATCH_PAUSE, check_interval, check_reported_texts, excerpt,
    follows_store, now, wait_until,
};
use crate::boot_clock::boot_time;
use crate::host::Host;
use crate::peers::{EntryChanges, fetch_entries, watch_entries};
use crate::ports::{Collection, Freshness, Object, ObjectChange};

/// Entries with the points of their last changes.
type EntryListing = Listing<(BackendRecord, StorePoint)>;

/// Time for which one watch waits. It returns at once when something changes. The responses to the
/// more frequent watches of the configuration show whether the store has changed meanwhile.
const WATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after entries were fetched from a peer within which this host should have the same
/// entries as the watchers; after it the store is read.
const SNAPSHOT_GRACE: Duration = Duration::from_secs(3);
/// Time after an incomplete listing of the entries after which they are listed again.
const INCOMPLETE_LISTING_TIME: Duration = Duration::from_secs(30);
/// Number of such transfers in a row after which a host of a large fleet reads the store.
const MAX_FETCHES: u32 = 4;

/// Transfers of entries from peers that followed each other closely.
#[derive(Debug, Default)]
struct Fetches {
    count: u32,
    last: Option<Instant>,
}

impl Fetches {
    fn record(&mut self) {
        self.count += 1;
        self.last = Some(Instant::now());
    }

    /// Returns whether the entries are fetched from a peer once more before the store is read. While
    /// many change, a host of a large fleet differs from the watchers again and again.
    fn may_fetch(&mut self, is_large_fleet: bool) -> bool {
        if self.last.is_none_or(|at| at.elapsed() >= SNAPSHOT_GRACE) {
            self.count = 0;
        }
        let max = if is_large_fleet { MAX_FETCHES } else { 1 };
        self.count < max
    }
}

/// Follows the backend servers until the task is dropped: by watches if this host is a watcher,
/// else by its peers' reports. If its entries differ from a watcher's for too long, it reads all
/// entries from a peer or the store.
pub async fn follow_backends(host: Rc<Host>) {
    let mut client = StoreClient::new(&host);
    let mut retries = Retries::default();
    let mut freshness = Freshness::AllowStale;
    let mut fetches = Fetches::default();
    if fetch_at_start(&host).await {
        retries.record_success();
        freshness = Freshness::Newest;
        fetches.record();
    }
    loop {
        // A store that refuses this host, or is away, must not keep it from serving.
        if retries.has_only_failed() && has_entry_holder(&host) && fetch_from_peer(&host).await {
            retries.record_success();
            freshness = Freshness::Newest;
            fetches.record();
        }
        if retries.has_succeeded() {
            wait_until(&host, |router| {
                follows_store(router) || router.has_diverging_entries(now())
            })
            .await;
            if !host.read(follows_store)
                && fetches.may_fetch(host.read(Router::is_of_many_cells))
                && fetch_from_peer(&host).await
            {
                fetches.record();
                continue;
            }
        }
        if host.read(relays_store) && follow_watchers(&host).await {
            continue;
        }
        let followed = follow(&host, &mut client, freshness).await;
        host.watches.set_entries_point(None);
        match followed {
            Ok(()) => {
                retries.record_success();
                freshness = Freshness::Newest;
            }
            Err(error) => retries.back_off(&host, "backend servers", &error).await,
        }
    }
}

/// Waits after the start of this host until it watches the store or a peer has the entries, which it
/// then fetches. Returns whether it did; if not, it reads the store. A host of a fleet of a few cells
/// reads it at once.
async fn fetch_at_start(host: &Host) -> bool {
    while host.read(|router| router.awaits_peers(now())) {
        if host.read(|router| router.lists_entries_at_start(now())) {
            return false;
        }
        sleep(host.read(check_interval)).await;
        if has_entry_holder(host) && fetch_from_peer(host).await {
            return true;
        }
    }
    // A watcher lists the entries once it knows the configuration, and not a second time then.
    wait_until(host, |router| {
        follows_store(router) || !router.is_watcher(now())
    })
    .await;
    false
}

/// Returns whether a peer is known to have the entries.
fn has_entry_holder(host: &Host) -> bool {
    host.read(|router| !router.entry_holders(now()).is_empty())
}

/// Returns whether this host watches the store through the watchers of another cell.
fn relays_store(router: &Router) -> bool {
    follows_store(router) && router.is_relay()
}

/// Follows the entries as watchers of other cells read them, for as long as this host is a watcher
/// of its cell. Returns `false` if none of them responds.
async fn follow_watchers(host: &Host) -> bool {
    let mut point = None;
    while host.read(relays_store) {
        let watched = tokio::select! {
            watched = watch_entries(host, point, WATCH_TIMEOUT) => watched,
            () = host.watches.entries_overdue() => {
                log::warn!(point:?; "other entries than a watcher's; reading the changes over another connection");
                watch_entries(host, point, Duration::ZERO).await
            }
        };
        host.watches.set_entries_lag(false);
        let Some(updates) = watched else {
            log::warn!("no watcher of another cell has the entries; reading the store");
            return false;
        };
        point = point.max(Some(updates.point));
        if updates.is_whole {
            log::info!(count = updates.changes.len(), point:? = updates.point; "backend server entries read from a watcher");
            apply_whole(host, updates);
            continue;
        }
        for change in updates.changes {
            log::info!(change:?; "backend server entry changed");
            host.apply(Event::BackendChanged(change));
        }
    }
    true
}

/// Applies all entries of a watcher, like a listing of the store.
fn apply_whole(host: &Host, updates: EntryChanges) {
    let stated = updates.changes.into_iter().filter_map(|it| match it {
        EntryChange::Stated { record, point } => Some((record, point)),
        EntryChange::Removed { .. } => None,
    });
    host.apply(Event::BackendsListed {
        entries: stated.collect(),
        point: updates.point,
    });
}

/// Fetches all entries from a peer. Returns whether one responded.
async fn fetch_from_peer(host: &Host) -> bool {
    let Some(entries) = fetch_entries(host).await else {
        return false;
    };
    log::info!(count = entries.len(); "backend server entries fetched from a peer");
    host.apply(Event::EntriesTransferred(entries));
    true
}

/// Reads all entries, then watches for as long as this host is a watcher. A host that has just
/// started and does not watch accepts stale entries, and receives later changes from its peers; it reads
/// the newest once it has to watch, or if its start takes long.
async fn follow(
    host: &Host,
    client: &mut StoreClient<'_>,
    freshness: Freshness,
) -> Result<(), StoreError> {
    let (listing, freshness, requested_at) = list_entries(host, client, freshness).await?;
    let (mut point, is_complete) = (listing.point, listing.is_complete);
    log::info!(count = listing.items.len(), point:?; "backend server entries listed");
    apply_listing(host, listing, freshness);
    // A store may state its newest point with a stale page. A watch from there misses what the copy lacked.
    if freshness == Freshness::AllowStale {
        return Ok(());
    }
    if is_complete {
        host.apply(Event::EntriesProved(requested_at));
    }
    let listed_at = Instant::now();
    let is_fallback_over =
        |router: &Router| router.is_relay() && listed_at.elapsed() >= RELAY_FALLBACK_TIME;
    let is_listing_due = || !is_complete && listed_at.elapsed() >= INCOMPLETE_LISTING_TIME;
    host.watches.set_entries_point(Some(point));
    while host.read(|router| follows_store(router) && !is_fallback_over(router))
        && !is_listing_due()
    {
        let requested_at = boot_time();
        let watched = tokio::select! {
            watched = client.watch(Collection::Backends, point, WATCH_TIMEOUT) => watched?,
            () = host.watches.entries_overdue() => {
                log::warn!(point:?; "the store has changed, and the watch of backend servers is silent; reading the changes over another connection");
                client.watch(Collection::Backends, point, Duration::ZERO).await?
            }
        };
        let Some(updates) = watched else {
            return Ok(());
        };
        for change in last_changes(&updates.changes) {
            let Some(change) = entry_change(host, change, updates.point) else {
                continue;
            };
            log::info!(change:?; "backend server entry changed");
            host.apply(Event::BackendChanged(change));
        }
        point = updates.point;
        host.watches.set_entries_point(Some(point));
        host.apply(Event::EntriesProved(requested_at));
        if !updates.changes.is_empty() {
            sleep(WATCH_PAUSE).await;
        }
    }
    Ok(())
}

/// Lists the entries. Returns the listing, how fresh it is, and when it was requested.
async fn list_entries(
    host: &Host,
    client: &mut StoreClient<'_>,
    mut freshness: Freshness,
) -> Result<(EntryListing, Freshness, BootTime), StoreError> {
    let accepts_stale = || host.read(|router| router.accepts_stale_entries(now()));
    if host.read(follows_store) || !accepts_stale() {
        freshness = Freshness::Newest;
    }
    loop {
        let requested_at = boot_time();
        let read = |object: Object| Some((parse_entry(host, &object)?, object.point));
        let listing = client.list(Collection::Backends, freshness, read).await?;
        if freshness == Freshness::Newest || accepts_stale() {
            return Ok((listing, freshness, requested_at));
        }
        log::info!("listing of entries that may be stale took too long; listing the newest");
        freshness = Freshness::Newest;
    }
}

/// Applies the entries of a listing. Other known entries count as removed if it is complete and was not
/// stale, else they are kept.
///
/// Guards against a new backend server that the whole cell takes for removed: the pages of a listing may
/// come from different copies of the store, so one can lack an entry that is older than another's point.
fn apply_listing(host: &Host, listing: EntryListing, freshness: Freshness) {
    let Listing {
        items: entries,
        point,
        is_complete,
    } = listing;
    if is_complete && freshness == Freshness::Newest {
        return host.apply(Event::BackendsListed { entries, point });
    }
    let stated = entries.into_iter();
    let stated = stated.map(|(record, point)| EntryChange::Stated { record, point });
    if is_complete {
        return host.apply(Event::EntriesCopied(stated.collect()));
    }
    for change in stated {
        host.apply(Event::BackendChanged(change));
    }
}

/// Returns the last change of each object.
///
/// Guards against an entry that is removed and written again in one response: its removal counts at the
/// point of the whole response, and the later entry would be taken for an older one.
fn last_changes(changes: &[ObjectChange]) -> Vec<&ObjectChange> {
    let mut seen = HashSet::new();
    let newest_first = changes.iter().rev();
    let last = newest_first.filter(|it| seen.insert(it.object.name.as_str()));
    let mut last: Vec<_> = last.collect();
    last.reverse();
    last
}

/// Converts a change of the store. An invalid entry counts as removed, so that its backend
/// server is not used; nothing is recorded of a name that no backend server in use has.
fn entry_change(host: &Host, change: &ObjectChange, point: StorePoint) -> Option<EntryChange> {
    let object = &change.object;
    if let Some(record) = parse_entry(host, object).filter(|_| !change.is_removed) {
        let point = object.point;
        return Some(EntryChange::Stated { record, point });
    }
    check_reported_texts(&[&object.name]).ok()?;
    Some(EntryChange::Removed {
        id: BackendId::from(object.name.as_str()),
        point: object.point.max(point),
    })
}

/// Parses an entry, and logs one that is invalid.
fn parse_entry(host: &Host, object: &Object) -> Option<BackendRecord> {
    let record = host.platform.parse_backend(object);
    let checked = record.and_then(|record| {
        let (domain, version) = (&record.failure_domain, &record.version);
        check_reported_texts(&[&record.id, &record.service, domain, version])?;
        Ok(record)
    });
    match checked {
        Ok(record) => Some(record),
        Err(error) => {
            let (name, error) = (excerpt(&object.name), excerpt(&error.to_string()));
            log::warn!(name, error; "invalid backend server entry in the store; treated as absent");
            None
        }
    }
}
