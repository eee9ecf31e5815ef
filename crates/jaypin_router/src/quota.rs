//! Quotas of client accounts over the whole fleet, held without a message a request.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use jaypin_core::AccountId;

use crate::{Account, Quota};

/// Part of the burst that a host which has just started takes as unused.
///
/// It can't know what the fleet used a moment ago. Half of a burst that all hosts take
/// anew after a common restart stays within a tenth of what eight seconds allow; a whole
/// one would not.
const FIRST_LEVEL: f64 = 0.5;
/// Longest wait that is stated to an account over its quota.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
/// Shortest such wait.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

/// Token buckets of all limited accounts, as this host sees them.
///
/// Every host keeps the whole fleet's bucket: it takes its own use out at once and that of
/// its peers when they report it, so an account can exceed its quota only by what is used
/// between two reports. The debt is made up for at once, since a bucket may be negative.
#[derive(Debug, Default)]
pub struct FleetQuota {
    buckets: HashMap<AccountId, Bucket>,
    refill_part: Option<f64>,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    level: f64,
    filled_at: Instant,
    used: f64,
}

impl Bucket {
    fn fill(&mut self, part: f64, now: Instant) {
        let since = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.level = (self.level + self.quota.rate * part * since).min(self.quota.burst);
        self.filled_at = now;
    }
}

impl FleetQuota {
    /// Takes the quotas of a configuration; buckets that were there keep their level.
    pub fn configure(&mut self, accounts: &[Account], now: Instant) {
        let mut before = std::mem::take(&mut self.buckets);
        let part = self.part();
        let limited = accounts.iter().filter_map(|it| Some((it, it.quota?)));
        for (account, quota) in limited {
            let mut bucket = before.remove(&account.name).unwrap_or(Bucket {
                quota,
                level: quota.burst * FIRST_LEVEL,
                filled_at: now,
                used: 0.0,
            });
            bucket.fill(part, now);
            bucket.quota = quota;
            bucket.level = bucket.level.min(quota.burst);
            self.buckets.insert(account.name.clone(), bucket);
        }
    }

    /// Says which part of the fleet this host hears, itself included.
    ///
    /// Guards against a fleet in two parts that do not hear each other: each part fills
    /// its buckets with its part of the rate, so both together keep to the quota.
    pub fn set_refill_part(&mut self, part: f64, now: Instant) {
        let before = self.part();
        for bucket in self.buckets.values_mut() {
            bucket.fill(before, now);
        }
        self.refill_part = Some(part);
    }

    fn part(&self) -> f64 {
        self.refill_part.unwrap_or(1.0)
    }

    /// Takes units of an account's quota.
    ///
    /// # Errors
    /// Gives the time after which there is enough, when there is not.
    pub fn take(&mut self, account: &AccountId, units: f64, now: Instant) -> Result<(), Duration> {
        let part = self.part();
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Ok(());
        };
        bucket.fill(part, now);
        // A request larger than the whole burst passes a full bucket and leaves a debt.
        let needed = units.min(bucket.quota.burst);
        if bucket.level < needed {
            let wait = (needed - bucket.level) / (bucket.quota.rate * part).max(1e-3);
            let wait = Duration::from_secs_f64(wait.min(LONGEST_WAIT.as_secs_f64()));
            return Err(wait.max(SHORTEST_WAIT));
        }
        bucket.level -= units;
        bucket.used += units;
        Ok(())
    }

    /// Gives units back that were taken for a request which did not run.
    pub fn give_back(&mut self, account: &AccountId, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += units;
            bucket.used -= units;
        }
    }

    /// Takes out what a peer used.
    pub fn peer_used(&mut self, account: &AccountId, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level -= units;
        }
    }

    /// What this host used of each account's quota in its run.
    pub fn usage(&self) -> impl Iterator<Item = (AccountId, f64)> {
        let buckets = self.buckets.iter();
        buckets.map(|(account, bucket)| (account.clone(), bucket.used))
    }
}
