//! The order of the hosts in the address list that a caller receives.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jaypin_core::{HostId, HostRecord, rank_by_score};
use tokio::time::Instant;

/// Time for which a caller may use an address list.
pub const VALID_FOR: Duration = Duration::from_secs(30);
/// Largest number of lists with the same host first, in percent of the mean over the hosts.
const MAX_PERCENT_OF_MEAN: usize = 125;

/// Orders hosts by rendezvous hashing with bounded load.
///
/// A caller usually gets the same first host, which has its cache and its idempotency keys.
/// A host that is already first in more than its share of the valid lists is moved back,
/// since a few callers that request lists often would otherwise overload it.
#[derive(Debug, Default)]
pub struct AddressListOrder {
    first_places: Mutex<FirstPlaces>,
}

/// Number of lists in which each host was first, in the current and the previous period of
/// [`VALID_FOR`].
#[derive(Debug, Default)]
struct FirstPlaces {
    period_start: Option<Instant>,
    current: HashMap<HostId, usize>,
    previous: HashMap<HostId, usize>,
}

impl AddressListOrder {
    /// Returns the live hosts in the order for a caller, those of its failure domain first.
    pub fn order<'a>(
        &self,
        live: &'a [HostRecord],
        caller: &str,
        failure_domain: Option<&str>,
    ) -> Vec<&'a HostRecord> {
        let is_near = |host: &&HostRecord| failure_domain == Some(&*host.failure_domain);
        let (near, far): (Vec<_>, Vec<_>) = live.iter().partition(is_near);
        let mut first_places = self
            .first_places
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        first_places.start_period_if_due();
        let mut ordered = first_places.overloaded_last(ranked(&near, caller));
        ordered.extend(first_places.overloaded_last(ranked(&far, caller)));
        if let Some(first) = ordered.first() {
            *first_places.current.entry(first.id.clone()).or_default() += 1;
        }
        ordered
    }
}

impl FirstPlaces {
    /// Starts a new period when the current one has ended.
    fn start_period_if_due(&mut self) {
        let period_start = *self.period_start.get_or_insert_with(Instant::now);
        if period_start.elapsed() >= VALID_FOR {
            self.previous = std::mem::take(&mut self.current);
            self.period_start = Some(Instant::now());
        }
    }

    /// Returns how many lists of both periods have the host first.
    fn first_place_count(&self, host: &HostId) -> usize {
        let count = |places: &HashMap<HostId, usize>| places.get(host).copied().unwrap_or_default();
        count(&self.current) + count(&self.previous)
    }

    /// Moves hosts that are already first in their share of the lists behind the others.
    fn overloaded_last<'a>(&self, ranked: Vec<&'a HostRecord>) -> Vec<&'a HostRecord> {
        let total: usize = ranked
            .iter()
            .map(|host| self.first_place_count(&host.id))
            .sum();
        let bound = ((total + 1) * MAX_PERCENT_OF_MEAN).div_ceil(100 * ranked.len().max(1));
        let has_room = |host: &&HostRecord| self.first_place_count(&host.id) < bound;
        let (mut first, rest): (Vec<_>, Vec<_>) = ranked.into_iter().partition(has_room);
        first.extend(rest);
        first
    }
}

/// Returns the hosts in the order of their rendezvous score for the caller.
fn ranked<'a>(hosts: &[&'a HostRecord], caller: &str) -> Vec<&'a HostRecord> {
    let names = hosts.iter().map(|host| &*host.id);
    rank_by_score(caller, names)
        .into_iter()
        .filter_map(|name| hosts.iter().find(|host| &*host.id == name).copied())
        .collect()
}
