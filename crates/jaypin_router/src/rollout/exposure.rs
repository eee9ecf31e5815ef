//! Limit on the requests that a host sends to a canary version.
//!
//! Hundreds of hosts share one limit on the requests to a service that an unproven version may
//! get. Each host applies the same fraction to its own requests, so their sum stays within the
//! limit without any messages, also after hosts restart or are cut off.

/// Fraction of the limit that is used, because some requests arrive at a backend server although
/// they were counted as sent elsewhere.
const USED_FRACTION: f64 = 0.85;
/// Fraction of the usable requests that sample both versions throughout the rollout. The
/// remainder is reserved for responses that would outlast the old backend servers.
const SAMPLING_FRACTION: f64 = 0.55;

/// Number of requests that a host may still send to a canary version.
#[derive(Debug, Clone, PartialEq)]
pub struct ExposureBudget {
    share: f64,
    /// Requests that may be sent as samples.
    sample_credit: f64,
    /// Requests reserved for responses that would outlast the old backend servers.
    reserved_credit: f64,
}

impl ExposureBudget {
    /// Creates a limit with the allowed share of requests, a random `first_credit` between 0 and
    /// 1, and a number of `additional` requests. The credit is random so that the hosts don't all
    /// send a sample at their tenth request.
    #[must_use]
    pub fn new(share: f64, first_credit: f64, additional: f64) -> Self {
        Self {
            share: share * USED_FRACTION,
            sample_credit: first_credit,
            reserved_credit: additional,
        }
    }

    /// Counts a request that is sent to the service, whatever the version.
    pub fn count_request(&mut self) {
        self.sample_credit += self.share * SAMPLING_FRACTION;
        self.reserved_credit += self.share * (1.0 - SAMPLING_FRACTION);
    }

    /// Returns whether a request may be sent as a sample.
    #[must_use]
    pub fn has_sample(&self) -> bool {
        self.sample_credit >= 1.0
    }

    /// Returns whether a request may be sent whose response would outlast the old backend
    /// servers.
    #[must_use]
    pub fn has_credit(&self) -> bool {
        self.sample_credit + self.reserved_credit >= 1.0
    }

    /// Charges a request that is sent to the canary version.
    pub fn charge(&mut self) {
        let from_samples = if self.sample_credit >= 1.0 {
            1.0
        } else {
            (1.0 - self.reserved_credit).max(0.0)
        };
        self.sample_credit -= from_samples;
        self.reserved_credit -= 1.0 - from_samples;
    }
}
