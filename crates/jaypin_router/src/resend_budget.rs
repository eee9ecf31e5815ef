//! Limit on the requests of a service that may be sent a second time.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// This host's part of the fleet's budget for sends beyond the first of each request.
///
/// The budget keeps retries from amplifying themselves: backend servers that fail or shed load
/// would get every request twice, which makes them fail more. Each host keeps to the fleet's
/// ratio over its own requests and to its part of the fixed allowance, so the sum over all hosts
/// keeps to the fleet's budget without a message.
#[derive(Debug)]
pub struct ResendBudget {
    window: Duration,
    ratio: f64,
    allowance: f64,
    firsts: VecDeque<Instant>,
    resends: VecDeque<Instant>,
}

impl ResendBudget {
    /// Creates a budget with `ratio` resends per request within `window`, and `allowance` resends
    /// besides.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, allowance: f64) -> Self {
        Self {
            window,
            ratio,
            allowance,
            firsts: VecDeque::new(),
            resends: VecDeque::new(),
        }
    }

    /// Sets this host's part of the fixed allowance.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.allowance = allowance;
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Instant) {
        self.remove_old(now);
        self.firsts.push_back(now);
    }

    /// Takes a resend from the budget; returns whether one was left.
    pub fn take(&mut self, now: Instant) -> bool {
        self.remove_old(now);
        let is_left = self.has_left(1, now);
        if is_left {
            self.resends.push_back(now);
        }
        is_left
    }

    /// Returns whether so many resends are left.
    #[must_use]
    pub fn has_left(&self, resends: u32, now: Instant) -> bool {
        let within_window = |times: &VecDeque<Instant>| {
            let old = times.partition_point(|at| self.is_old(*at, now));
            f64::from(u32::try_from(times.len() - old).unwrap_or(u32::MAX))
        };
        let (requests, used) = (within_window(&self.firsts), within_window(&self.resends));
        used + f64::from(resends) <= requests * self.ratio + self.allowance
    }

    fn is_old(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) >= self.window
    }

    fn remove_old(&mut self, now: Instant) {
        let old_firsts = self.firsts.partition_point(|at| self.is_old(*at, now));
        self.firsts.drain(..old_firsts);
        let old_resends = self.resends.partition_point(|at| self.is_old(*at, now));
        self.resends.drain(..old_resends);
    }
}
