//! Which backend servers a host uses, and which hosts receive reports of their load.
//!
//! With hundreds of hosts and a hundred engines, no host can receive the load of all others.
//! Groups of hosts that divide the engines among them differ in free capacity by a third, and
//! have to agree on who has which. So each host uses a subset of its own: a dozen or two engines,
//! drawn by hash from its name and theirs alone. Subsets overlap, so load that is too much for
//! one host's engines moves on to those of others, and two hosts need no agreement: which engines
//! another host uses follows from its name.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use jaypin_core::{BackendId, HostId, ServiceId};
use xxhash_rust::xxh3::xxh3_64;

/// Greatest number of hosts in a fleet of which each uses all backend servers.
pub const SMALL_FLEET: usize = 40;
/// Number of hosts that use one backend server in a larger fleet, on average: each of them
/// receives a report of each request that begins or ends there.
const HOSTS_PER_BACKEND: usize = 20;
/// Smallest number of backend servers in a subset, where there are as many.
const MIN_BACKENDS: usize = 4;
/// Greatest number of hosts that receive a report of each request at a backend server. For a
/// service with so few backend servers that more would have to, reports stay within a cell.
const MAX_REPORT_TARGETS: usize = 48;
/// Number of backend servers by which a sender assumes another host's subset to be larger than it
/// is: hosts count hosts and backend servers differently for a moment.
const SUBSET_MARGIN: usize = 1;
/// Part of another host's subset, as a divisor, by which a sender may assume it to be larger still:
/// the subset is drawn again only when it has changed by more.
const EXCESS_DIVISOR: usize = 16;

/// Which backend servers of a service a host uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubsetKind {
    /// All of them, and all hosts receive reports of each other's requests there.
    All,
    /// A subset of this size.
    Subset(usize),
    /// All of them, and only hosts of one cell receive reports of each other's requests: there
    /// are too few backend servers for all these hosts.
    AllWithinCell,
}

impl SubsetKind {
    /// Returns the kind that fits a number of hosts and backend servers.
    #[must_use]
    pub fn of(hosts: usize, backends: usize) -> Self {
        if hosts <= SMALL_FLEET {
            return Self::All;
        }
        let fraction = (HOSTS_PER_BACKEND * backends).div_ceil(hosts);
        let fraction = fraction.max(MIN_BACKENDS).min(backends);
        if fraction * hosts > MAX_REPORT_TARGETS * backends {
            Self::AllWithinCell
        } else {
            Self::Subset(fraction)
        }
    }
}

/// The backend subsets of one host, by service.
#[derive(Debug, Default)]
pub struct BackendSubsets {
    of_service: HashMap<ServiceId, BackendSubset>,
    is_current: bool,
}

/// The backend subset of one service.
#[derive(Debug)]
struct BackendSubset {
    kind: SubsetKind,
    /// All backend servers of the service, with the hashes of their ids.
    backends: BTreeMap<BackendId, u64>,
    /// Ids of the backend servers that this host uses.
    own: Vec<BackendId>,
    /// The same ids, for lookups.
    own_set: HashSet<BackendId>,
    /// Fraction of the service's backend servers that this host uses.
    fraction: f64,
    others: BTreeMap<SocketAddr, OtherSubset>,
    /// Number of scores that were computed.
    scored: usize,
}

/// Another host's subset of a service.
#[derive(Debug)]
struct OtherSubset {
    host: u64,
    /// Score of the last backend server that it may use.
    min_score: u64,
    /// Number of backend servers with at least this score.
    size: usize,
}

impl BackendSubsets {
    /// Marks the subsets as outdated, after hosts or backend servers have changed.
    pub fn invalidate(&mut self) {
        self.is_current = false;
    }

    /// Returns whether hosts and backend servers have not changed since the subsets were
    /// computed.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.is_current
    }

    /// Updates the subsets after hosts or backend servers have changed.
    pub fn update(
        &mut self,
        own: &HostId,
        others: &[(HostId, SocketAddr)],
        backends: BTreeMap<ServiceId, Vec<BackendId>>,
    ) {
        let mut before = std::mem::take(&mut self.of_service);
        let subsets = backends.into_iter().map(|(service, ids)| {
            let mut subset = before.remove(&service).unwrap_or_default();
            subset.update(own, others, &ids);
            (service, subset)
        });
        self.of_service = subsets.collect();
        self.is_current = true;
    }

    /// Returns the number of scores of a host with a backend server that were computed so far, of
    /// which the work of an update consists.
    #[must_use]
    pub fn scored(&self) -> usize {
        self.of_service.values().map(|subset| subset.scored).sum()
    }

    /// Returns the backend servers of a service that this host uses.
    #[must_use]
    pub fn own_subset(&self, service: &str) -> &[BackendId] {
        let subset = self.of_service.get(service);
        subset.map_or(&[], |subset| &subset.own)
    }

    /// Returns whether this host uses a backend server.
    #[must_use]
    pub fn contains(&self, service: &str, backend: &str) -> bool {
        let subset = self.of_service.get(service);
        subset.is_some_and(|subset| subset.own_set.contains(backend))
    }

    /// Returns the fraction of a service's backend servers that this host uses.
    #[must_use]
    pub fn fraction(&self, service: &str) -> f64 {
        let subset = self.of_service.get(service);
        subset.map_or(1.0, |subset| subset.fraction)
    }

    /// Returns the kind of subset that this host has of a service.
    #[must_use]
    pub fn kind(&self, service: &str) -> SubsetKind {
        let subset = self.of_service.get(service);
        subset.map_or(SubsetKind::All, |subset| subset.kind)
    }

    /// Returns the addresses at which the hosts that also use a backend server receive reports;
    /// nothing for a service whose reports stay within a cell.
    #[must_use]
    pub fn peers_using(&self, service: &str, backend: &str) -> Option<Vec<SocketAddr>> {
        let subset = self.of_service.get(service)?;
        let backend = hash(backend);
        match subset.kind {
            SubsetKind::AllWithinCell => None,
            SubsetKind::All | SubsetKind::Subset(_) => {
                let others = subset.others.iter();
                let using = others.filter(|(_, other)| other.uses(backend));
                Some(using.map(|(address, _)| *address).collect())
            }
        }
    }
}

impl Default for BackendSubset {
    fn default() -> Self {
        Self {
            kind: SubsetKind::All,
            backends: BTreeMap::new(),
            own: Vec::new(),
            own_set: HashSet::new(),
            fraction: 1.0,
            others: BTreeMap::new(),
            scored: 0,
        }
    }
}

impl BackendSubset {
    /// Updates the subset to these hosts and backend servers.
    ///
    /// A change of a backend server changes the subsets of the hosts that use it. Only these are
    /// drawn again from all backend servers, so the work grows with the backend servers, and not
    /// with their product with the hosts.
    fn update(&mut self, own: &HostId, others: &[(HostId, SocketAddr)], ids: &[BackendId]) {
        let (added, removed) = self.replace_backends(ids);
        self.kind = SubsetKind::of(others.len() + 1, ids.len());
        self.update_others(others, &added, &removed);
        self.own = self.draw_own(hash(own));
        self.own_set = self.own.iter().cloned().collect();
        self.fraction = ratio(self.own.len(), ids.len());
    }

    /// Replaces the backend servers. Returns the hashes of those that are new and those that are
    /// gone.
    fn replace_backends(&mut self, ids: &[BackendId]) -> (Vec<u64>, Vec<u64>) {
        let current: BTreeSet<&BackendId> = ids.iter().collect();
        let gone = self.backends.extract_if(.., |id, _| !current.contains(id));
        let removed: Vec<_> = gone.map(|(_, hash)| hash).collect();
        let mut added = Vec::new();
        for id in ids {
            if !self.backends.contains_key(id) {
                let hash = hash(id);
                added.push(hash);
                self.backends.insert(id.clone(), hash);
            }
        }
        (added, removed)
    }

    fn draw_own(&mut self, own: u64) -> Vec<BackendId> {
        let SubsetKind::Subset(count) = self.kind else {
            return self.backends.keys().cloned().collect();
        };
        let min_score = self.min_score(own, count);
        let used = self.backends.iter();
        let used = used.filter(|(_, hash)| pair_score(own, **hash) >= min_score);
        used.map(|(id, _)| id.clone()).collect()
    }

    fn update_others(&mut self, others: &[(HostId, SocketAddr)], added: &[u64], removed: &[u64]) {
        let count = match self.kind {
            SubsetKind::Subset(count) => count + SUBSET_MARGIN,
            SubsetKind::All | SubsetKind::AllWithinCell => self.backends.len(),
        };
        let sizes = count..=count + count / EXCESS_DIVISOR;
        let mut before = std::mem::take(&mut self.others);
        for (host, address) in others {
            let host = hash(host);
            let known = before.remove(address).filter(|it| it.host == host);
            let mut other = known.unwrap_or_else(|| OtherSubset::unknown(host));
            other.size += other.count_used(added);
            other.size -= other.count_used(removed).min(other.size);
            self.scored += added.len() + removed.len();
            if !sizes.contains(&other.size) {
                other.min_score = self.min_score(host, count);
                other.size = count.min(self.backends.len());
            }
            self.others.insert(*address, other);
        }
    }

    /// Returns the smallest among the `count` greatest scores that a host has with the backend
    /// servers.
    fn min_score(&mut self, host: u64, count: usize) -> u64 {
        if count >= self.backends.len() {
            return 0;
        }
        self.scored += self.backends.len();
        let backends = self.backends.values();
        let mut scores: Vec<_> = backends.map(|it| pair_score(host, *it)).collect();
        let (_, min_score, _) = scores.select_nth_unstable_by(count.max(1) - 1, |a, b| b.cmp(a));
        *min_score
    }
}

impl OtherSubset {
    /// Creates the subset of a host before it is drawn.
    fn unknown(host: u64) -> Self {
        Self {
            host,
            min_score: 0,
            size: 0,
        }
    }

    fn uses(&self, backend: u64) -> bool {
        pair_score(self.host, backend) >= self.min_score
    }

    fn count_used(&self, backends: &[u64]) -> usize {
        backends.iter().filter(|it| self.uses(**it)).count()
    }
}

/// Returns the hash of a host's name or a backend server's id, for [`pair_score`].
pub fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Returns the score of a backend server for a host, which uses those with the greatest scores:
/// the finalizer of `SplitMix64` over both hashes.
pub fn pair_score(host: u64, backend: u64) -> u64 {
    let mut mixed = host ^ backend.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn ratio(fraction: usize, whole: usize) -> f64 {
    let count = |it: usize| f64::from(u32::try_from(it).unwrap_or(u32::MAX));
    if whole == 0 {
        1.0
    } else {
        count(fraction) / count(whole)
    }
}
