//! Units of an account's quota that are withheld from its less urgent requests.

use std::fmt;
use std::time::Duration;

/// Time for which an account's urgent requests are covered, in units of its quota.
///
/// A quota that is nearly used up refills at its rate. If requests take units as soon as they are
/// refilled, too few are left for an urgent request, which needs the units of several small ones.
const COVERED: Duration = Duration::from_secs(1);
/// Fractions of its rate that an account uses at which the reserve begins and is complete.
///
/// An account below its rate gets back more than it uses, so its urgent requests need no reserve.
/// One at its limit is granted its rate on average, but the use that is measured over two seconds
/// varies, so the reserve is complete before that.
const RATE_USES: (f64, f64) = (0.7, 0.9);

/// Units that are reserved for the more urgent requests of an account, and the reasons.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QuotaReserve {
    /// Reserved units, for the whole fleet.
    pub units: f64,
    /// Estimated fraction of the account's units that more urgent requests to the service need.
    pub urgent_share: f64,
    /// Recent use of the account, as a fraction of its rate.
    pub rate_use: f64,
}

impl QuotaReserve {
    /// Returns the reserve of an account with `rate` units per second, of which it used the fraction
    /// `rate_use` lately.
    #[must_use]
    pub fn new(urgent_share: f64, rate_use: f64, rate: f64) -> Self {
        let (first, full) = RATE_USES;
        let pressure = ((rate_use - first) / (full - first)).clamp(0.0, 1.0);
        let covered = rate * COVERED.as_secs_f64();
        Self {
            units: covered * urgent_share.clamp(0.0, 1.0) * pressure,
            urgent_share,
            rate_use,
        }
    }
}

impl fmt::Display for QuotaReserve {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            units,
            urgent_share,
            rate_use,
        } = self;
        write!(
            f,
            "{units:.0} kept for more urgent requests ({:.0}% of its units urgent, {:.0}% of its rate used)",
            urgent_share * 100.0,
            rate_use * 100.0
        )
    }
}
