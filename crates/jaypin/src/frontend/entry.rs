//! Which hosts a caller is told of, and in which order.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jaypin_core::{HostId, HostRecord, rank_by_score};
use tokio::time::Instant;

/// How long an entry list holds.
pub const VALID_FOR: Duration = Duration::from_secs(30);
/// How far a host's first places may exceed the mean, in percent of it.
const MOST_OF_MEAN: usize = 125;

/// Orders hosts by rendezvous with bounded load.
///
/// A caller gets the same first host again and again, which is where its cache and its
/// keys are, unless that host already stands first in more than its part of the lists
/// that still hold: a few callers that ask often would otherwise crowd one host.
#[derive(Debug, Default)]
pub struct EntryOrder {
    given: Mutex<Given>,
}

/// First places of the current period and the one before.
#[derive(Debug, Default)]
struct Given {
    since: Option<Instant>,
    now: HashMap<HostId, usize>,
    before: HashMap<HostId, usize>,
}

impl EntryOrder {
    /// The live hosts for a caller: those of its failure domain first.
    pub fn order<'a>(
        &self,
        live: &'a [HostRecord],
        caller: &str,
        failure_domain: Option<&str>,
    ) -> Vec<&'a HostRecord> {
        let is_near = |host: &&HostRecord| failure_domain == Some(&*host.failure_domain);
        let (near, far): (Vec<_>, Vec<_>) = live.iter().partition(is_near);
        let mut given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        given.renew();
        let mut ordered = given.bounded(ranked(&near, caller));
        ordered.extend(given.bounded(ranked(&far, caller)));
        if let Some(first) = ordered.first() {
            *given.now.entry(first.id.clone()).or_default() += 1;
        }
        ordered
    }
}

impl Given {
    fn renew(&mut self) {
        let since = *self.since.get_or_insert_with(Instant::now);
        if since.elapsed() >= VALID_FOR {
            self.before = std::mem::take(&mut self.now);
            self.since = Some(Instant::now());
        }
    }

    fn of(&self, host: &HostId) -> usize {
        let count = |given: &HashMap<HostId, usize>| given.get(host).copied().unwrap_or_default();
        count(&self.now) + count(&self.before)
    }

    /// Moves hosts that have their part already behind the others.
    fn bounded<'a>(&self, ranked: Vec<&'a HostRecord>) -> Vec<&'a HostRecord> {
        let total: usize = ranked.iter().map(|host| self.of(&host.id)).sum();
        let bound = ((total + 1) * MOST_OF_MEAN).div_ceil(100 * ranked.len().max(1));
        let has_room = |host: &&HostRecord| self.of(&host.id) < bound;
        let (mut first, rest): (Vec<_>, Vec<_>) = ranked.into_iter().partition(has_room);
        first.extend(rest);
        first
    }
}

fn ranked<'a>(hosts: &[&'a HostRecord], caller: &str) -> Vec<&'a HostRecord> {
    let names = hosts.iter().map(|host| &*host.id);
    rank_by_score(caller, names)
        .into_iter()
        .filter_map(|name| hosts.iter().find(|host| &*host.id == name).copied())
        .collect()
}
