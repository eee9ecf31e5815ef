//! Use of accounts over the whole fleet, added up for each account by a few of the hosts.
//!
//! The hosts of a cell receive each other's use, and enforce the cell's share of a quota. In a fleet
//! of many cells a share is smaller than one long prompt, so an account far below its quota would be
//! refused. Two hosts for each account, by rendezvous hashing, add up its use in all cells. While
//! enough of its quota is left, shares don't apply; when little is left, these hosts tell all others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jaypin_core::AccountId;

use crate::Quota;

/// Fraction of what may be used at once below which little is left of a quota. What all hosts grant
/// until they know it must fit into this fraction, and the tolerance of the quota.
const LOW_FRACTION: f64 = 1.0 / 3.0;
/// Pause between two reports of an account of which little is left.
const LEVEL_PAUSE: Duration = Duration::from_millis(400);
/// Time without a report after which enough is left of an account's quota: two of three reports may
/// be lost.
const LEVEL_EXPIRY: Duration = Duration::from_millis(1_300);

/// Use of accounts, between hosts that grant it and hosts that add it up.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountUse {
    /// Units that the sender granted since its previous report; negative if it took units back.
    pub granted: Vec<(AccountId, f64)>,
    /// Units that are left of quotas in the whole fleet, where little is left.
    pub low_levels: Vec<(AccountId, f64)>,
    /// Whether a host passes on to its cell what it received from another one.
    pub is_forwarded: bool,
}

/// Totals of the accounts that this host adds up.
#[derive(Debug, Default)]
pub struct AccountTotals {
    accounts: HashMap<AccountId, Total>,
    /// When this host began to add up.
    since: Option<Instant>,
}

#[derive(Debug)]
struct Total {
    quota: Quota,
    /// Units that may be used at once; a negative number is a debt.
    level: f64,
    filled_at: Instant,
    reported_at: Option<Instant>,
}

/// What is left of quotas, as the hosts that add up their use last reported.
#[derive(Debug, Default)]
pub struct FleetLevels {
    low: HashMap<AccountId, (f64, Instant)>,
}

impl AccountTotals {
    /// Adds units that a host granted. `live_fraction` is the fraction of the fleet that is live: the
    /// other part grants its own fraction of the quota.
    pub fn record(
        &mut self,
        account: &AccountId,
        quota: Quota,
        units: f64,
        (slack, live_fraction): (f64, f64),
        now: Instant,
    ) {
        let since = *self.since.get_or_insert(now);
        let known = self.accounts.entry(account.clone());
        let total = known.or_insert_with(|| Total::new(quota, slack, since));
        total.quota = quota;
        total.fill(slack, live_fraction, now);
        total.level -= units;
    }

    /// Returns the levels that are to be reported now, and forgets accounts that use nothing.
    pub fn levels_to_report(
        &mut self,
        (slack, live_fraction): (f64, f64),
        now: Instant,
    ) -> Vec<(AccountId, f64)> {
        let mut levels = Vec::new();
        self.accounts.retain(|account, total| {
            total.fill(slack, live_fraction, now);
            let most = total.quota.most_at_once(slack) * live_fraction;
            let is_due = |at: Instant| now.saturating_duration_since(at) >= LEVEL_PAUSE;
            if total.level < most * LOW_FRACTION && total.reported_at.is_none_or(is_due) {
                total.reported_at = Some(now);
                levels.push((account.clone(), total.level));
            }
            total.level < most
        });
        levels
    }
}

impl Total {
    /// A host that began to add up `since` assumes that as little was left then as after a start of
    /// the fleet, and that an account which it does not know has used nothing.
    fn new(quota: Quota, slack: f64, since: Instant) -> Self {
        Self {
            quota,
            level: quota.first_level(slack),
            filled_at: since,
            reported_at: None,
        }
    }

    fn fill(&mut self, slack: f64, live_fraction: f64, now: Instant) {
        let since = now.saturating_duration_since(self.filled_at).as_secs_f64();
        let most = self.quota.most_at_once(slack) * live_fraction;
        self.level = (self.level + self.quota.rate * live_fraction * since).min(most);
        self.filled_at = now;
    }
}

impl FleetLevels {
    /// Records a reported level.
    pub fn record(&mut self, account: &AccountId, level: f64, now: Instant) {
        self.low.insert(account.clone(), (level, now));
    }

    /// Records units that this host granted since the report.
    pub fn subtract(&mut self, account: &AccountId, units: f64) {
        if let Some((level, _)) = self.low.get_mut(account) {
            *level -= units;
        }
    }

    /// Returns the level of an account and the time of its report; nothing if enough is left.
    #[must_use]
    pub fn low_level(&self, account: &AccountId, now: Instant) -> Option<(f64, Instant)> {
        let low = self.low.get(account).copied();
        low.filter(|(_, at)| now.saturating_duration_since(*at) < LEVEL_EXPIRY)
    }

    /// Forgets levels that were not reported again.
    pub fn expire(&mut self, now: Instant) {
        self.low
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < LEVEL_EXPIRY);
    }
}
