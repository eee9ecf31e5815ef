//! Which backend servers a host uses, and which hosts receive reports of their load.
//!
//! With hundreds of hosts and a hundred engines, no host can receive the load of all others.
//! Groups of hosts that divide the engines among them differ in free capacity by a third, and
//! have to agree on who has which. So each host uses a subset of its own: a dozen or two engines,
//! drawn by hash from its name and theirs alone. Subsets overlap, so load that is too much for
//! one host's engines moves on to those of others, and two hosts need no agreement: which engines
//! another host uses follows from its name.

use std::collections::{BTreeMap, HashMap, HashSet};
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
    /// Ids of the backend servers that this host uses.
    own: Vec<BackendId>,
    /// The same ids, for lookups.
    own_set: HashSet<BackendId>,
    /// Fraction of the service's backend servers that this host uses.
    fraction: f64,
    others: Vec<OtherSubset>,
}

/// Another host's subset of a service.
#[derive(Debug)]
struct OtherSubset {
    address: SocketAddr,
    host: u64,
    /// Score of the last backend server that it may use.
    min_score: u64,
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

    /// Computes the subsets anew.
    pub fn recompute(
        &mut self,
        own: &HostId,
        others: &[(HostId, SocketAddr)],
        backends: BTreeMap<ServiceId, Vec<BackendId>>,
    ) {
        let subsets = backends.into_iter().map(|(service, ids)| {
            let subset = BackendSubset::derive(own, others, ids);
            (service, subset)
        });
        self.of_service = subsets.collect();
        self.is_current = true;
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
                let using = others.filter(|it| pair_score(it.host, backend) >= it.min_score);
                Some(using.map(|it| it.address).collect())
            }
        }
    }
}

impl BackendSubset {
    fn derive(own: &HostId, others: &[(HostId, SocketAddr)], mut ids: Vec<BackendId>) -> Self {
        let kind = SubsetKind::of(others.len() + 1, ids.len());
        let hashes: Vec<_> = ids.iter().map(|id| hash(id)).collect();
        let all = ids.len();
        if let SubsetKind::Subset(count) = kind {
            let own = hash(own);
            let min_score = min_score(own, &hashes, count);
            ids.retain(|id| pair_score(own, hash(id)) >= min_score);
        }
        let others = others.iter().map(|(host, address)| {
            let host = hash(host);
            let min_score = match kind {
                SubsetKind::Subset(count) => min_score(host, &hashes, count + SUBSET_MARGIN),
                SubsetKind::All | SubsetKind::AllWithinCell => 0,
            };
            OtherSubset {
                address: *address,
                host,
                min_score,
            }
        });
        Self {
            kind,
            fraction: ratio(ids.len(), all),
            others: others.collect(),
            own_set: ids.iter().cloned().collect(),
            own: ids,
        }
    }
}

/// Returns the smallest among the `count` greatest scores that a host has with some backend
/// servers.
fn min_score(host: u64, backends: &[u64], count: usize) -> u64 {
    if count >= backends.len() {
        return 0;
    }
    let mut scores: Vec<_> = backends.iter().map(|it| pair_score(host, *it)).collect();
    let (_, min_score, _) = scores.select_nth_unstable_by(count.max(1) - 1, |a, b| b.cmp(a));
    *min_score
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
