//! Shares of accounts' urgent requests in quota units, by service and rank of the route.
//!
//! Ranks order the requests of one service only: a booking that needs a few units of a plain
//! service does not wait behind an engine's long prompts.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use jaypin_core::AccountId;

use crate::{Account, DecayedRate, ServiceKey};

/// Time after which the weight of a request falls to 1/e.
///
/// One of seventy hosts receives an account's request every second to every few seconds. Five
/// requests or more are needed to tell the share of urgent units.
const MEMORY: Duration = Duration::from_secs(15);
/// Weight of the assumption that an account has no urgent requests, in requests of the mean size
/// seen. A single long prompt thus counts as a quarter of what the account asks for, not as all.
const PRIOR_REQUESTS: f64 = 3.0;

/// A service, and the rank of a route to it.
pub type RouteRank = (ServiceKey, u8);

/// Units that this host's callers request, by account, service and rank of the route.
#[derive(Debug, Default)]
pub struct AccountArrivals {
    accounts: HashMap<AccountId, Arrivals>,
}

/// Arrivals of one account.
#[derive(Debug)]
struct Arrivals {
    requests: DecayedRate,
    units: BTreeMap<RouteRank, DecayedRate>,
}

impl AccountArrivals {
    /// Records a request, whether it is served or refused.
    pub fn record(&mut self, account: &AccountId, route: RouteRank, units: f64, now: Instant) {
        let of_account = self.accounts.entry(account.clone());
        let of_account = of_account.or_insert_with(|| Arrivals::new(now));
        of_account.requests.count(1.0, now);
        let rate = of_account.units.entry(route);
        let rate = rate.or_insert_with(|| DecayedRate::new(MEMORY, now));
        rate.count(units, now);
    }

    /// Removes accounts that no longer exist.
    pub fn configure(&mut self, accounts: &[Account]) {
        self.accounts
            .retain(|name, _| accounts.iter().any(|it| it.name == *name));
    }

    /// Returns the estimated fraction of an account's units that its more urgent routes to the
    /// service need. It is 0 without observations.
    #[must_use]
    pub fn urgent_share(
        &self,
        account: &AccountId,
        (service, rank): RouteRank,
        now: Instant,
    ) -> f64 {
        let Some(of_account) = self.accounts.get(account) else {
            return 0.0;
        };
        let above = of_account.units.range((service, 0)..(service, rank));
        let above = sum(above.map(|(_, rate)| rate), now);
        let all = sum(of_account.units.values(), now);
        let requests = of_account.requests.at(now) * MEMORY.as_secs_f64();
        if above <= 0.0 || all <= 0.0 {
            return 0.0;
        }
        (above / all) * requests / (requests + PRIOR_REQUESTS)
    }
}

impl Arrivals {
    fn new(now: Instant) -> Self {
        Self {
            requests: DecayedRate::new(MEMORY, now),
            units: BTreeMap::new(),
        }
    }
}

fn sum<'a>(rates: impl Iterator<Item = &'a DecayedRate>, now: Instant) -> f64 {
    rates.map(|it| it.at(now)).sum()
}
