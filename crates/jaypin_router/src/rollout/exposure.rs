//! Limit on the requests that a host sends to a canary version.
//!
//! Hundreds of hosts share one limit on the requests to a service that an unproven version may
//! get. Each host applies the same fraction to its own requests, so their sum stays within the
//! limit without any messages, also after hosts restart or are cut off.

/// Fraction of the limit that is used, because some requests arrive at a backend server although
/// they were counted as sent elsewhere.
const USED_PART: f64 = 0.85;
/// Fraction of the usable requests that sample both versions throughout the rollout. The
/// remainder is reserved for responses that would outlast the old backend servers.
const SAMPLING_PART: f64 = 0.55;

/// Number of requests that a host may still send to a canary version.
#[derive(Debug, Clone, PartialEq)]
pub struct ExposureBudget {
    share: f64,
    /// Requests that may be sent as samples.
    sampling: f64,
    /// Requests reserved for responses that would outlast the old backend servers.
    kept: f64,
}

impl ExposureBudget {
    /// Creates a limit with the allowed share of requests, a random credit `first` between 0 and
    /// 1, and a number of requests that are allowed `besides`. The credit is random so that the
    /// hosts don't all send a sample at their tenth request.
    #[must_use]
    pub fn new(share: f64, first: f64, besides: f64) -> Self {
        Self {
            share: share * USED_PART,
            sampling: first,
            kept: besides,
        }
    }

    /// Counts a request that is sent to the service, whatever the version.
    pub fn sent(&mut self) {
        self.sampling += self.share * SAMPLING_PART;
        self.kept += self.share * (1.0 - SAMPLING_PART);
    }

    /// Returns whether a request may be sent as a sample.
    #[must_use]
    pub fn has_sample(&self) -> bool {
        self.sampling >= 1.0
    }

    /// Returns whether a request may be sent whose response would outlast the old backend
    /// servers.
    #[must_use]
    pub fn has_any(&self) -> bool {
        self.sampling + self.kept >= 1.0
    }

    /// Charges a request that is sent to the canary version.
    pub fn spend(&mut self) {
        let sample = if self.sampling >= 1.0 {
            1.0
        } else {
            (1.0 - self.kept).max(0.0)
        };
        self.sampling -= sample;
        self.kept -= 1.0 - sample;
    }
}
