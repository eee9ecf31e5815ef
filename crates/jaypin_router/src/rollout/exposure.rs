//! How many requests a host may send to a version under trial.
//!
//! The pattern: hundreds of hosts share one bound on what an unproven version may get of a
//! service's requests. Each keeps a fixed part of its own requests, so their sum keeps it
//! too, without a message, and also after hosts restart or are cut off.

/// Part of the bound that is used: some requests arrive at a backend server that were
/// counted as sent elsewhere.
const USED_PART: f64 = 0.85;
/// Part of what may be used that samples both versions throughout; the rest is kept for
/// answers that would outlast the old backend servers.
const SAMPLING_PART: f64 = 0.55;

/// What a host may still send to a version under trial.
#[derive(Debug, Clone, PartialEq)]
pub struct ExposureBudget {
    share: f64,
    sampling: f64,
    kept: f64,
}

impl ExposureBudget {
    /// Starts with a share of requests that is allowed, a `first` credit between 0 and 1,
    /// drawn at random so that hosts don't all begin at their tenth request, and requests that
    /// may be sent besides.
    #[must_use]
    pub fn new(share: f64, first: f64, besides: f64) -> Self {
        Self {
            share: share * USED_PART,
            sampling: first,
            kept: besides,
        }
    }

    /// A request of the service was sent, to whichever version.
    pub fn sent(&mut self) {
        self.sampling += self.share * SAMPLING_PART;
        self.kept += self.share * (1.0 - SAMPLING_PART);
    }

    /// Whether a request may be sent as a sample.
    #[must_use]
    pub fn has_sample(&self) -> bool {
        self.sampling >= 1.0
    }

    /// Whether a request may be sent whose answer would outlast the old backend servers.
    #[must_use]
    pub fn has_any(&self) -> bool {
        self.sampling + self.kept >= 1.0
    }

    /// A request was sent to the version under trial.
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
