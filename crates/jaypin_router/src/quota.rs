//! Quotas of client accounts over the whole fleet, enforced without a message per request.
//!
//! Each host keeps a level for each account: the units that the whole fleet may still grant at
//! once. The account's rate refills it, and what any host grants is subtracted from it, by
//! reports. The use in a window is limited as well, which keeps a fleet to its quotas when it is
//! split into parts that receive no reports from each other.
//!
//! Over a window an account may use its rate, its burst, a tenth more, and the fleet's slack.
//! What is granted stays below that also around a restart of all hosts, at which all use is
//! forgotten: full level and rate before it, first level and rate after it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use jaypin_core::AccountId;

use crate::{Account, DecayedRate, Quota};

/// Number of parts of the window; use is forgotten one part at a time.
const PARTS: u32 = 16;
/// Seconds of its rate that an account may use at once besides its burst: accounts send in bursts
/// and keep to their rate over the window that counts.
const CATCH_UP_SECONDS: f64 = 0.7;
/// Fraction of the fleet's slack that an account may use at once besides: small accounts now and
/// then send a prompt worth several seconds of their rate.
const SLACK_FRACTION: f64 = 0.7;
/// Seconds of its rate that an account may use at once right after a start, over the whole fleet:
/// each host grants its share, as far as it knows it.
///
/// Hosts that start together receive no reports of each other's use for a tenth of a second.
const FIRST_SECONDS: f64 = 0.2;
/// Fraction of the fleet's slack that an account may use besides at that moment: callers that
/// were cut off by a restart of all hosts all retry in the first half second after it.
const FIRST_SLACK_FRACTION: f64 = 0.25;
/// Time after its start within which a host adopts lower levels of its peers and does not report
/// its own: five whole reports.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Greatest fraction of what may be used at once that is reserved for urgent requests: an account
/// whose urgent work alone exceeds its rate still gets the other part for its remaining requests
/// after a calm second or two.
const MAX_RESERVED_FRACTION: f64 = 0.4;
/// Time after which the weight of granted units in the recent use of an account falls to 1/e.
///
/// Spikes of three seconds must show. Over one second, the use of an account at its limit varies so
/// much that its urgent requests lose their reserve.
const USE_MEMORY: Duration = Duration::from_secs(2);
/// Greatest recent use that is remembered, as a fraction of the rate. The units that a peer granted
/// during a partition arrive in one report, and a spike must not count for long after its end.
const MAX_RATE_USE: f64 = 1.25;
/// Longest wait that is stated to an account over its quota.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Shortest such wait.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// What all limited accounts used in the last window, as far as this host knows.
#[derive(Debug)]
pub struct FleetQuota {
    window: Duration,
    slack: f64,
    accounts: HashMap<AccountId, Usage>,
    live_fraction: f64,
}

#[derive(Debug)]
struct Usage {
    quota: Quota,
    /// Use by part of the window, the oldest first.
    parts: VecDeque<f64>,
    newest_since: Instant,
    /// Units granted lately by the hosts that this one hears, as a fraction of their part of the rate.
    rate_use: DecayedRate,
    /// Units that may be used at once; a negative number is a debt.
    level: f64,
    /// Greatest fraction of the fleet's first level that was added to `level`.
    opened_fraction: f64,
    filled_at: Instant,
    started_at: Instant,
    /// Units that this host granted in its run.
    own: f64,
}

/// What is known of the quota that an account has left in the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FleetLevel {
    /// Nothing: each cell grants its share.
    Unknown,
    /// Enough for all requests until the next report.
    Ample,
    /// These units; a negative number is a debt.
    Low(f64),
}

/// Inputs of a decision about an account, in units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLevel {
    /// Units that it may use at once; a negative number is a debt.
    pub left: f64,
    /// Units that it used in the window.
    pub used: f64,
    /// Units that it may use in the window.
    pub allowed: f64,
}

impl FleetQuota {
    /// Creates quotas whose use is counted over `window`; `slack` is the number of units by which
    /// an account may exceed its quota in one window.
    #[must_use]
    pub fn new(window: Duration, slack: f64) -> Self {
        Self {
            window,
            slack,
            accounts: HashMap::new(),
            live_fraction: 1.0,
        }
    }

    /// Applies the quotas of a configuration; accounts that existed before keep their use.
    pub fn configure(&mut self, accounts: &[Account], now: Instant) {
        let mut before = std::mem::take(&mut self.accounts);
        let limited = accounts.iter().filter_map(|it| Some((it, it.quota?)));
        for (account, quota) in limited {
            let known = before.remove(&account.name);
            let mut usage = known.unwrap_or_else(|| Usage::new(quota, now));
            usage.quota = quota;
            self.accounts.insert(account.name.clone(), usage);
        }
    }

    /// Sets the fraction of the fleet that is live for this host, itself included.
    ///
    /// If the fleet is split into two parts that receive no reports from each other, each part
    /// grants its fraction of the quotas, so both together keep to them.
    pub fn set_live_fraction(&mut self, fraction: f64) {
        self.live_fraction = fraction;
    }

    /// Takes units from an account's quota.
    ///
    /// # Errors
    /// Returns the time after which there are enough units, if there are too few now.
    pub fn take(&mut self, account: &AccountId, units: f64, now: Instant) -> Result<(), Duration> {
        self.take_with_reserve(account, units, 0.0, FleetLevel::Unknown, now)
    }

    /// Takes units from an account's quota if `reserved` units remain after that: that many in the
    /// whole fleet, and the share of this host's cell in its part.
    ///
    /// An account at its limit thus gives the last units of its quota to its urgent requests. If
    /// enough of the quota is known to be left in the whole fleet, the share of this host's cell
    /// limits nothing.
    ///
    /// # Errors
    /// Returns the time after which there are enough units, if there are too few now.
    pub fn take_with_reserve(
        &mut self,
        account: &AccountId,
        units: f64,
        reserved: f64,
        fleet: FleetLevel,
        now: Instant,
    ) -> Result<(), Duration> {
        let (window, slack, live_fraction) = (self.window, self.slack, self.live_fraction);
        let Some(usage) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        usage.drop_old_parts(window / PARTS, now);
        usage.fill(live_fraction, slack, now);
        if fleet == FleetLevel::Ample && usage.is_settled(now) {
            usage.add(units);
            usage.count_use(units, live_fraction, now);
            // Other cells may use the share of this one, so it owes nothing.
            usage.level = usage.level.max(0.0);
            usage.own += units;
            return Ok(());
        }
        usage.check(units, reserved, fleet, (window, slack, live_fraction))?;
        usage.add(units);
        usage.count_use(units, live_fraction, now);
        usage.own += units;
        Ok(())
    }

    /// Returns whether an account's quota has so many units, as of the last attempt to take some.
    #[must_use]
    pub fn allows(&self, account: &AccountId, units: f64, fleet: FleetLevel) -> bool {
        let bounds = (self.window, self.slack, self.live_fraction);
        let usage = self.accounts.get(account);
        usage.is_none_or(|it| it.check(units, 0.0, fleet, bounds).is_ok())
    }

    /// Returns units that were taken for a request which did not run.
    pub fn give_back(&mut self, account: &AccountId, units: f64) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.add(-units);
            let part = usage.rate_fraction(units, self.live_fraction);
            usage.rate_use.take_back(part);
            usage.own -= units;
        }
    }

    /// Records units that a peer granted.
    pub fn record_peer_usage(&mut self, account: &AccountId, units: f64, now: Instant) {
        let (part, slack, live_fraction) = (self.window / PARTS, self.slack, self.live_fraction);
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.drop_old_parts(part, now);
            usage.fill(live_fraction, slack, now);
            usage.add(units);
            usage.count_use(units, live_fraction, now);
        }
    }

    /// Adopts the level of a peer that has run for longer, where it is lower.
    ///
    /// If hosts that restart one after another began with a first level each while the fleet has
    /// nothing left to grant, an account at its limit would get one more first level with each
    /// restart.
    pub fn apply_peer_level(&mut self, account: &AccountId, level: f64, now: Instant) {
        let (slack, live_fraction) = (self.slack, self.live_fraction);
        if let Some(usage) = self.accounts.get_mut(account)
            && !usage.is_settled(now)
        {
            usage.fill(live_fraction, slack, now);
            usage.level = usage.level.min(level);
        }
    }

    /// Returns the recent use of an account by the hosts that this one hears, as a fraction of their
    /// part of its rate. It is 0 without observations.
    #[must_use]
    pub fn rate_use(&self, account: &AccountId, now: Instant) -> f64 {
        let usage = self.accounts.get(account);
        usage.map_or(0.0, |it| it.rate_use.at(now))
    }

    /// Returns the quota of an account; nothing if it is not limited.
    #[must_use]
    pub fn quota_of(&self, account: &AccountId) -> Option<Quota> {
        self.accounts.get(account).map(|usage| usage.quota)
    }

    /// Returns the inputs of a decision about an account; nothing if it is not limited.
    #[must_use]
    pub fn level(&self, account: &AccountId) -> Option<QuotaLevel> {
        let usage = self.accounts.get(account)?;
        Some(QuotaLevel {
            left: usage.level,
            used: usage.total(),
            allowed: usage.quota.allowed(self.window, self.slack) * self.live_fraction,
        })
    }

    /// Iterates over the units that this host granted in its run, of each account that used some.
    pub fn usage(&self) -> impl Iterator<Item = (AccountId, f64)> {
        let used = self.accounts.iter().filter(|(_, usage)| usage.own > 0.0);
        used.map(|(account, usage)| (account.clone(), usage.own))
    }

    /// Returns the levels above which a host that has just started must not begin.
    pub fn low_levels(&mut self, now: Instant) -> Vec<(AccountId, f64)> {
        let (slack, live_fraction) = (self.slack, self.live_fraction);
        let mut low = Vec::new();
        for (account, usage) in &mut self.accounts {
            usage.fill(live_fraction, slack, now);
            let first = usage.quota.first_level(slack) * live_fraction;
            if usage.is_settled(now) && usage.level < first {
                low.push((account.clone(), usage.level));
            }
        }
        low
    }
}

/// Returns the units that must be left for a request, where `most` may ever be used at once.
fn needed(units: f64, reserved: f64, most: f64) -> f64 {
    // A request for more passes when nothing was used, and reserving more would refuse it forever.
    let units = units.min(most);
    units + reserved.min(most * MAX_RESERVED_FRACTION).min(most - units)
}

impl Quota {
    /// Returns the units allowed in a window: a full level, and the rate.
    fn allowed(self, window: Duration, slack: f64) -> f64 {
        self.most_at_once(slack) + self.rate * window.as_secs_f64()
    }

    /// Returns the units that may be used at once.
    pub(crate) fn most_at_once(self, slack: f64) -> f64 {
        self.burst + self.rate * CATCH_UP_SECONDS + slack * SLACK_FRACTION
    }

    /// Returns the units that may be used at once right after a start.
    pub(crate) fn first_level(self, slack: f64) -> f64 {
        self.rate * FIRST_SECONDS + slack * FIRST_SLACK_FRACTION
    }

    /// Returns the time in which missing units are refilled as an error, if any are missing.
    fn wait_for(self, missing: f64) -> Result<(), Duration> {
        if missing <= 0.0 {
            return Ok(());
        }
        let wait = (missing / self.rate.max(1e-3)).min(MAX_WAIT.as_secs_f64());
        Err(Duration::from_secs_f64(wait).max(MIN_WAIT))
    }
}

impl Usage {
    fn new(quota: Quota, now: Instant) -> Self {
        Self {
            quota,
            parts: (0..PARTS).map(|_| 0.0).collect(),
            newest_since: now,
            rate_use: DecayedRate::new(USE_MEMORY, now),
            level: 0.0,
            opened_fraction: 0.0,
            filled_at: now,
            started_at: now,
            own: 0.0,
        }
    }

    /// Returns the time after which `units` may be taken as an error, if too few are left now.
    fn check(
        &self,
        units: f64,
        reserved: f64,
        fleet: FleetLevel,
        (window, slack, live_fraction): (Duration, f64, f64),
    ) -> Result<(), Duration> {
        let most = self.quota.most_at_once(slack);
        if let FleetLevel::Low(level) = fleet {
            self.quota.wait_for(needed(units, reserved, most) - level)?;
        }
        let needed = needed(units, reserved * live_fraction, most * live_fraction);
        let excess = self.total() + needed - self.quota.allowed(window, slack) * live_fraction;
        if excess > 0.0 {
            let wait = self.time_until_free(excess, window / PARTS);
            return Err(wait.min(MAX_WAIT));
        }
        // This uses the rate of the whole fleet: a host that grants only a part is one of many that
        // the caller may retry at, and will soon receive the others' reports.
        self.quota.wait_for(needed - self.level)
    }

    fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= SETTLING_TIME
    }

    fn drop_old_parts(&mut self, part: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.newest_since);
        if elapsed >= part * PARTS {
            self.parts.iter_mut().for_each(|it| *it = 0.0);
            self.newest_since = now;
            return;
        }
        while now.saturating_duration_since(self.newest_since) >= part {
            self.parts.pop_front();
            self.parts.push_back(0.0);
            self.newest_since += part;
        }
    }

    /// Refills the units that may be used at once.
    fn fill(&mut self, live_fraction: f64, slack: f64, now: Instant) {
        // Peers' use is subtracted from the level, so it becomes that of the whole fleet as their
        // reports arrive.
        let opened = (live_fraction - self.opened_fraction).max(0.0);
        self.level += self.quota.first_level(slack) * opened;
        self.opened_fraction += opened;
        let since = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.level += self.quota.rate * live_fraction * since;
        self.level = self
            .level
            .min(self.quota.most_at_once(slack) * live_fraction);
        self.filled_at = now;
    }

    fn add(&mut self, units: f64) {
        self.level -= units;
        if let Some(newest) = self.parts.back_mut() {
            *newest += units;
        }
    }

    fn count_use(&mut self, units: f64, live_fraction: f64, now: Instant) {
        let part = self.rate_fraction(units, live_fraction);
        self.rate_use.count(part, now);
        self.rate_use.limit(MAX_RATE_USE, now);
    }

    /// Returns units as a fraction of the units that a part of the fleet may use in a second.
    fn rate_fraction(&self, units: f64, live_fraction: f64) -> f64 {
        let rate = self.quota.rate * live_fraction;
        units / rate.max(f64::MIN_POSITIVE)
    }

    fn total(&self) -> f64 {
        self.parts.iter().sum()
    }

    /// Returns the time until `excess` units of use are forgotten.
    fn time_until_free(&self, excess: f64, part: Duration) -> Duration {
        let mut freed = 0.0;
        let mut time = Duration::ZERO;
        for used in &self.parts {
            freed += used;
            time += part;
            if freed >= excess {
                break;
            }
        }
        time
    }
}
