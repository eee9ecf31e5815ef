//! The grants in use, and when each of them is checked.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::{AccountId, BackendId, GrantNumber, HostId, InFlight, RequestId};

/// Time after a grant without a first token until its owner is asked to confirm it.
const UNUSED_GRANT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two confirmation requests for the same grant.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(15);
/// Minimum time that backend servers have to end the requests of a lost owner.
const LOST_OWNER_GRACE: Duration = Duration::from_secs(2);

/// A grant in use.
#[derive(Debug)]
pub struct RunningGrant {
    /// Number of the grant.
    pub number: GrantNumber,
    /// Number of the slot request that it answers; 0 for an adopted grant.
    pub attempt: u32,
    /// The host that uses it.
    pub owner: HostId,
    /// The backend server.
    pub backend: BackendId,
    /// Client account of the request.
    pub account: AccountId,
    /// Rank of the request's tier.
    pub tier: u8,
    /// When it was granted or adopted.
    pub granted_at: Instant,
    /// When the request is expected to have ended.
    pub expected_end: Instant,
    /// When the first token arrived; `None` before.
    pub first_token_at: Option<Instant>,
    /// Stream-seconds of its backend server at the first token.
    pub stream_seconds_at_first_token: f64,
    /// When the grant is checked next.
    pub check_at: Instant,
}

/// The action that is due for a grant without recent progress.
#[derive(Debug)]
pub enum DueCheck {
    /// The owner is lost and the backend server had time to end the request: free the
    /// grant.
    Free(RequestId),
    /// Ask the owner whether it still uses the grant.
    Confirm {
        /// The owner.
        owner: HostId,
        /// The request.
        id: RequestId,
        /// Number of the grant.
        number: GrantNumber,
    },
}

/// All grants in use, with the times at which they are checked.
#[derive(Debug, Default)]
pub struct RunningTable {
    by_id: HashMap<RequestId, RunningGrant>,
    checks: BTreeSet<(Instant, RequestId)>,
    by_tier: BTreeMap<u8, u32>,
    lost_owners: BTreeSet<HostId>,
}

impl RunningTable {
    /// Adds a grant and schedules its first check.
    pub fn insert(&mut self, id: RequestId, mut grant: RunningGrant) {
        grant.check_at = grant.granted_at + UNUSED_GRANT_TIMEOUT;
        self.checks.insert((grant.check_at, id.clone()));
        *self.by_tier.entry(grant.tier).or_default() += 1;
        self.by_id.insert(id, grant);
    }

    /// Adds a grant of an earlier scheduler that an owner reported.
    pub fn adopt(&mut self, owner: &HostId, entry: InFlight, now: Instant) {
        let grant = RunningGrant {
            number: entry.number,
            attempt: 0,
            owner: owner.clone(),
            backend: entry.backend,
            account: entry.account,
            tier: entry.tier,
            granted_at: now,
            expected_end: now,
            first_token_at: None,
            stream_seconds_at_first_token: 0.0,
            check_at: now,
        };
        self.insert(entry.id, grant);
    }

    /// Removes a grant.
    pub fn remove(&mut self, id: &RequestId) -> Option<RunningGrant> {
        let grant = self.by_id.remove(id)?;
        self.checks.remove(&(grant.check_at, id.clone()));
        if let Some(count) = self.by_tier.get_mut(&grant.tier) {
            *count -= 1;
        }
        Some(grant)
    }

    /// Marks an owner as lost: its grants are freed once their requests must have ended.
    pub fn mark_owner_lost(&mut self, owner: &HostId, now: Instant) {
        self.lost_owners.insert(owner.clone());
        let earliest = now + LOST_OWNER_GRACE;
        self.reschedule(owner, |grant| grant.expected_end.max(earliest));
    }

    /// Marks an owner as reachable again, and schedules checks of its grants.
    pub fn mark_owner_recovered(&mut self, owner: &HostId, now: Instant) {
        if self.lost_owners.remove(owner) {
            self.reschedule(owner, |_| now);
        }
    }

    fn reschedule(&mut self, owner: &HostId, at: impl Fn(&RunningGrant) -> Instant) {
        let of_owner = self
            .by_id
            .iter_mut()
            .filter(|(_, grant)| grant.owner == *owner);
        for (id, grant) in of_owner {
            self.checks.remove(&(grant.check_at, id.clone()));
            grant.check_at = at(grant);
            self.checks.insert((grant.check_at, id.clone()));
        }
    }

    /// Returns the next action that is due, and reschedules the check of its grant.
    pub fn pop_due(&mut self, now: Instant) -> Option<DueCheck> {
        while self.checks.first()?.0 <= now {
            let (_, id) = self.checks.pop_first()?;
            let Some(grant) = self.by_id.get_mut(&id) else {
                continue;
            };
            if self.lost_owners.contains(&grant.owner) {
                return Some(DueCheck::Free(id));
            }
            let has_first_token = grant.first_token_at.is_some();
            let is_overdue = !has_first_token || now >= grant.expected_end;
            grant.check_at = now + CONFIRM_INTERVAL;
            if has_first_token && !is_overdue {
                grant.check_at = grant.expected_end + UNUSED_GRANT_TIMEOUT;
            }
            self.checks.insert((grant.check_at, id.clone()));
            if is_overdue {
                let (owner, number) = (grant.owner.clone(), grant.number);
                return Some(DueCheck::Confirm { owner, id, number });
            }
        }
        None
    }

    /// Returns the number of grants in use.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether a request has a grant.
    #[must_use]
    pub fn contains(&self, id: &RequestId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns whether a request uses the grant of that number.
    #[must_use]
    pub fn has_grant(&self, id: &RequestId, number: GrantNumber) -> bool {
        self.by_id
            .get(id)
            .is_some_and(|grant| grant.number == number)
    }

    /// Returns the number of the slot request that a request's grant answers.
    #[must_use]
    pub fn attempt(&self, id: &RequestId) -> Option<u32> {
        self.by_id.get(id).map(|grant| grant.attempt)
    }

    /// Returns the grant of a request.
    #[must_use]
    pub fn get(&self, id: &RequestId) -> Option<&RunningGrant> {
        self.by_id.get(id)
    }

    /// Returns the grant of a request for changes; its tier and check time must stay.
    pub fn get_mut(&mut self, id: &RequestId) -> Option<&mut RunningGrant> {
        self.by_id.get_mut(id)
    }

    /// Returns the number of grants in use by a tier.
    #[must_use]
    pub fn of_tier(&self, rank: u8) -> u32 {
        self.by_tier.get(&rank).copied().unwrap_or_default()
    }

    /// Returns the number of grants in use on a backend server.
    #[must_use]
    pub fn on_backend(&self, backend: &BackendId) -> usize {
        self.by_id
            .values()
            .filter(|grant| grant.backend == *backend)
            .count()
    }
}
