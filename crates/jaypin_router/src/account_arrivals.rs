//! Arrival rates of accounts in quota units, by service and rank of the route.
//!
//! Ranks order the requests of one service only: a booking that needs a few units of a plain
//! service does not wait behind an engine's long prompts.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use jaypin_core::AccountId;

use crate::{Account, DecayedRate, ServiceKey};

/// Time after which the weight of a request falls to 1/e.
///
/// One of fifteen hosts receives an account's request about once a second; four or five requests
/// show to within a half how much of the account's use is urgent.
const MEMORY: Duration = Duration::from_secs(4);
/// Time for which an account's urgent requests are covered, in units of its quota.
///
/// A quota that is nearly used up refills at its rate. If requests take units as soon as they are
/// refilled, too few are left for an urgent request, which needs the units of several small ones.
const COVERED: Duration = Duration::from_secs(1);

/// A service, and the rank of a route to it.
pub type RouteRank = (ServiceKey, u8);

/// Units that this host's callers request, by account, service and rank of the route.
#[derive(Debug, Default)]
pub struct AccountArrivals {
    rates: HashMap<AccountId, BTreeMap<RouteRank, DecayedRate>>,
}

impl AccountArrivals {
    /// Records a request, whether it is served or refused.
    pub fn record(&mut self, account: &AccountId, route: RouteRank, units: f64, now: Instant) {
        let of_account = self.rates.entry(account.clone()).or_default();
        let rate = of_account
            .entry(route)
            .or_insert_with(|| DecayedRate::new(MEMORY, now));
        rate.count(units, now);
    }

    /// Removes accounts that no longer exist.
    pub fn configure(&mut self, accounts: &[Account]) {
        self.rates
            .retain(|name, _| accounts.iter().any(|it| it.name == *name));
    }

    /// Returns the units to reserve for the account's more urgent routes to the service, where
    /// each of `hosts` hosts receives as many requests as this one.
    #[must_use]
    pub fn units_to_reserve(
        &self,
        account: &AccountId,
        (service, rank): RouteRank,
        hosts: f64,
        now: Instant,
    ) -> f64 {
        let of_account = self.rates.get(account);
        let above = of_account
            .into_iter()
            .flat_map(|it| it.range((service, 0)..(service, rank)));
        let above: f64 = above.map(|(_, rate)| rate.at(now)).sum();
        above * hosts * COVERED.as_secs_f64()
    }
}
