//! How urgent a request is.

use std::fmt;

use crate::{Account, Route};

/// Rank of a request; less is more urgent.
///
/// The account's rank goes first, as operators ask. The route's own orders what is equal by
/// it: where all accounts share a rank, a route that operators call urgent still goes before
/// one that can wait.
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
    /// The rank of an account's requests on a route.
    #[must_use]
    pub fn of(account: Option<&Account>, route: &Route) -> Self {
        let of_account = account.and_then(|it| it.priority);
        Self {
            account: of_account.unwrap_or(route.priority),
            route: route.priority,
        }
    }

    /// Whether operators call it most urgent, by the account or within what is equal by it.
    #[must_use]
    pub fn is_most_urgent(self) -> bool {
        self.account == 0 || self.route == 0
    }
}
