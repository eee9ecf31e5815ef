//! Which software versions of a service there were in the recent past.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{ServiceKey, VersionKey};

/// Time for which a version is remembered after its last backend server was removed.
const MEMORY: Duration = Duration::from_mins(10);

/// Versions of a service that hosts have seen within some time up to now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionsSeen {
    /// None.
    None,
    /// Only this one.
    One {
        /// The version.
        version: VersionKey,
        /// Whether a host has known all entries for all of that time.
        is_complete: bool,
    },
    /// Several.
    Several,
}

impl VersionsSeen {
    /// Returns what two hosts have seen together.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::None, it) | (it, Self::None) => it,
            (
                Self::One {
                    version,
                    is_complete,
                },
                Self::One {
                    version: other,
                    is_complete: is_other_complete,
                },
            ) if version == other => Self::One {
                version,
                is_complete: is_complete || is_other_complete,
            },
            _ => Self::Several,
        }
    }
}

/// The versions of backend servers that were removed, or that changed their version.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// When each of them was last seen.
    departed: HashMap<(ServiceKey, VersionKey), Instant>,
    /// Since when all entries are known.
    complete_since: Option<Instant>,
}

impl VersionHistory {
    /// Records that all entries are known from now on.
    pub fn record_complete(&mut self, now: Instant) {
        self.complete_since.get_or_insert(now);
    }

    /// Records that a backend server ran a version until now.
    pub fn record_departed(&mut self, service: ServiceKey, version: VersionKey, now: Instant) {
        let is_recent = |_: &_, at: &mut Instant| now.saturating_duration_since(*at) < MEMORY;
        self.departed.retain(is_recent);
        self.departed.insert((service, version), now);
    }

    /// Returns the versions of a service within `window` up to now, whose backend servers run the
    /// `present` versions now.
    #[must_use]
    pub fn seen(
        &self,
        service: ServiceKey,
        present: impl Iterator<Item = VersionKey>,
        window: Duration,
        now: Instant,
    ) -> VersionsSeen {
        let age = |at: Instant| now.saturating_duration_since(at);
        let departed = self.departed.iter();
        let departed = departed.filter(|((of, _), at)| *of == service && age(**at) < window);
        let is_complete =
            window < MEMORY && self.complete_since.is_some_and(|at| age(at) >= window);
        let versions = departed.map(|(key, _)| key.1).chain(present);
        versions.fold(VersionsSeen::None, |seen, version| {
            seen.and(VersionsSeen::One {
                version,
                is_complete,
            })
        })
    }
}
