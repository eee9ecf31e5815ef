//! Quotas of client accounts over the whole fleet, held without a message a request.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use jaypin_core::AccountId;

use crate::{Account, Quota};

/// Parts of the window: use is forgotten one part at a time.
const PARTS: u32 = 16;
/// Part of its rate that an account is taken to have used before this host's start.
///
/// A host that has just started can't know what the fleet used a moment ago. With this,
/// accounts that keep below their rate are not refused after a restart, and one that was
/// beyond it can't use its window a second time.
const ASSUMED_USE: f64 = 0.9;
/// Seconds of its rate that an account may use at once besides its burst.
///
/// The window alone would let an account use all of it in one moment, and once more after a
/// common restart in that window. With this much, both together stay within a tenth of
/// what a window allows.
const CATCH_UP_SECONDS: f64 = 0.7;
/// Part of the fleet's slack that an account may use at once besides, for the same reason:
/// small accounts send a prompt of several seconds' rate now and then.
const SLACK_PART: f64 = 0.6;
/// Seconds of its rate that an account may use at once right after this host's start, over
/// the whole fleet: each host gives out its part, as far as it knows it.
///
/// Hosts that start together hear nothing of each other's use for a tenth of a second. When
/// each of 13 gave out all of it, an account that pressed got two and a half seconds of its
/// rate in that time, beside what it had used before.
///
/// Before the start the account may have used its burst, [`CATCH_UP_SECONDS`] and
/// [`SLACK_PART`] at once, and its rate all the while. A tenth of what a window allows and
/// the rest of the slack are left, which this and [`FIRST_SLACK_PART`] stay below.
const FIRST_SECONDS: f64 = 0.2;
/// Part of the fleet's slack that an account may use besides in that moment: callers that
/// were cut off by a common restart all come back in the first half second of it.
const FIRST_SLACK_PART: f64 = 0.35;
/// Longest wait that is stated to an account over its quota.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Shortest such wait.
const SHORTEST_WAIT: Duration = Duration::from_millis(50);

/// What all limited accounts used in the last window, as this host sees it.
///
/// Every host counts for the whole fleet: its own use at once and that of its peers when
/// they report it, so an account can exceed its quota only by what is used between two
/// reports. A window and not a bucket: an account that was idle for seconds may catch up,
/// and one that comes in bursts is not refused while it keeps to its rate.
#[derive(Debug)]
pub struct FleetQuota {
    window: Duration,
    slack: f64,
    accounts: HashMap<AccountId, Usage>,
    heard_part: f64,
}

#[derive(Debug)]
struct Usage {
    quota: Quota,
    /// Use by part of the window, the oldest first.
    parts: VecDeque<f64>,
    /// Parts of the window that lie before this host's start.
    unknown_parts: u32,
    newest_since: Instant,
    /// Units that may be used at once; below 0 a debt.
    at_once: f64,
    /// Greatest part of the fleet's first allowance that is in it.
    opened_part: f64,
    filled_at: Instant,
    /// Use of this host in its run.
    own: f64,
}

impl FleetQuota {
    /// Starts with a window over which use is counted, and the units by which an account
    /// may exceed its quota in one.
    #[must_use]
    pub fn new(window: Duration, slack: f64) -> Self {
        Self {
            window,
            slack,
            accounts: HashMap::new(),
            heard_part: 1.0,
        }
    }

    /// Takes the quotas of a configuration; accounts that were there keep their use.
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

    /// Says which part of the fleet this host hears, itself included.
    ///
    /// Guards against a fleet in two parts that do not hear each other: each allows its
    /// part of the quotas, so both together keep to them.
    pub fn set_heard_part(&mut self, part: f64) {
        self.heard_part = part;
    }

    /// Takes units of an account's quota.
    ///
    /// # Errors
    /// Gives the time after which there is enough, when there is not.
    pub fn take(&mut self, account: &AccountId, units: f64, now: Instant) -> Result<(), Duration> {
        let (part, window, slack) = (self.part(), self.window, self.slack);
        let allowed_part = self.heard_part;
        let Some(usage) = self.accounts.get_mut(account) else {
            return Ok(());
        };
        usage.forget(part, now);
        let allowed = usage.quota.allowed(window) * allowed_part;
        // A request larger than all that is allowed passes when nothing was used.
        let assumed = usage.assumed(part) * allowed_part;
        let excess = usage.total() + assumed + units.min(allowed) - allowed;
        if excess > 0.0 {
            let wait = usage.time_until_free(excess, allowed_part, part);
            return Err(wait.min(LONGEST_WAIT));
        }
        usage.fill(allowed_part, slack, now);
        let missing = units.min(usage.quota.burst) - usage.at_once;
        if missing > 0.0 {
            // The whole fleet's rate: a host that gives out a part only is one of many that
            // the caller may come back to, and will soon hear the others.
            let rate = usage.quota.rate.max(1e-3);
            let wait = (missing / rate).min(LONGEST_WAIT.as_secs_f64());
            return Err(Duration::from_secs_f64(wait).max(SHORTEST_WAIT));
        }
        usage.add(units);
        usage.own += units;
        Ok(())
    }

    /// Gives units back that were taken for a request which did not run.
    pub fn give_back(&mut self, account: &AccountId, units: f64) {
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.add(-units);
            usage.own -= units;
        }
    }

    /// Counts what a peer used.
    pub fn peer_used(&mut self, account: &AccountId, units: f64, now: Instant) {
        let part = self.part();
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.forget(part, now);
            usage.add(units);
        }
    }

    /// What an account used in the window, and what it may use, in units.
    #[must_use]
    pub fn level(&self, account: &AccountId) -> Option<(f64, f64)> {
        let usage = self.accounts.get(account)?;
        let allowed = usage.quota.allowed(self.window) * self.heard_part;
        let assumed = usage.assumed(self.part()) * self.heard_part;
        Some((usage.total() + assumed, allowed))
    }

    /// What this host used of each account's quota in its run.
    pub fn usage(&self) -> impl Iterator<Item = (AccountId, f64)> {
        let accounts = self.accounts.iter();
        accounts.map(|(account, usage)| (account.clone(), usage.own))
    }

    fn part(&self) -> Duration {
        self.window / PARTS
    }
}

impl Quota {
    /// Units in a window.
    fn allowed(self, window: Duration) -> f64 {
        self.rate * window.as_secs_f64() + self.burst
    }
}

impl Usage {
    fn new(quota: Quota, now: Instant) -> Self {
        Self {
            quota,
            parts: (0..PARTS).map(|_| 0.0).collect(),
            unknown_parts: PARTS,
            newest_since: now,
            at_once: 0.0,
            opened_part: 0.0,
            filled_at: now,
            own: 0.0,
        }
    }

    fn forget(&mut self, part: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.newest_since);
        if elapsed >= part * PARTS {
            self.parts.iter_mut().for_each(|it| *it = 0.0);
            self.unknown_parts = 0;
            self.newest_since = now;
            return;
        }
        while now.saturating_duration_since(self.newest_since) >= part {
            self.parts.pop_front();
            self.parts.push_back(0.0);
            self.unknown_parts = self.unknown_parts.saturating_sub(1);
            self.newest_since += part;
        }
    }

    /// Fills up what may be used at once.
    fn fill(&mut self, allowed_part: f64, slack: f64, now: Instant) {
        let most = self.quota.burst
            + self.quota.rate * CATCH_UP_SECONDS
            + slack * SLACK_PART * allowed_part;
        // Peers' use is taken off it, so it becomes the whole fleet's as they are heard.
        let opened = (allowed_part - self.opened_part).max(0.0);
        let first = self.quota.rate * FIRST_SECONDS + slack * FIRST_SLACK_PART;
        self.at_once += first * opened;
        self.opened_part += opened;
        let since = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.at_once += self.quota.rate * allowed_part * since;
        self.at_once = self.at_once.min(most);
        self.filled_at = now;
    }

    fn add(&mut self, units: f64) {
        self.at_once -= units;
        if let Some(newest) = self.parts.back_mut() {
            *newest += units;
        }
    }

    fn total(&self) -> f64 {
        self.parts.iter().sum()
    }

    /// Use that is assumed of the time before this host's start, over the whole fleet.
    fn assumed(&self, part: Duration) -> f64 {
        let time = part * self.unknown_parts;
        self.quota.rate * time.as_secs_f64() * ASSUMED_USE
    }

    /// Time until so much of the use is forgotten.
    fn time_until_free(&self, excess: f64, allowed_part: f64, part: Duration) -> Duration {
        let assumed = self.quota.rate * part.as_secs_f64() * ASSUMED_USE * allowed_part;
        let mut freed = 0.0;
        let mut time = Duration::ZERO;
        for (place, used) in (0..).zip(&self.parts) {
            let is_unknown = place < self.unknown_parts;
            freed += used + if is_unknown { assumed } else { 0.0 };
            time += part;
            if freed >= excess {
                break;
            }
        }
        time
    }
}
