//! Urgency of a request.

use std::fmt;

use crate::{Account, Route};

/// Rank of a request; a smaller one is more urgent.
///
/// The account's rank is compared first, as operators ask. The route's own rank orders requests
/// whose first rank is equal: where all accounts share a rank, a route that operators call urgent
/// still precedes one that can wait.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Rank of the account, or the route's where the account has none.
    pub account: u8,
    /// Rank of the route.
    pub route: u8,
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.account, self.route)
    }
}

impl Rank {
    /// Returns the rank of an account's requests on a route.
    #[must_use]
    pub fn of(account: Option<&Account>, route: &Route) -> Self {
        let of_account = account.and_then(|it| it.priority);
        Self {
            account: of_account.unwrap_or(route.priority),
            route: route.priority,
        }
    }

    /// Returns whether the account or the route has the most urgent rank.
    #[must_use]
    pub fn is_most_urgent(self) -> bool {
        self.account == 0 || self.route == 0
    }
}
