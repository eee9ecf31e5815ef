//! Calls on which nothing arrives.
//!
//! A sound backend server may fall silent and go on. So a silence ends a call only if its request can
//! go on elsewhere at once; otherwise waiting is the best that is left.

use std::time::{Duration, Instant};

use super::Router;
use crate::limits::{DEFAULT_PAUSE, longest_sound_silence, silence_check_interval};
use crate::{AttemptOutcome, RequestNumber};

/// Number of resends that must be left for a request to leave a silent call: one to send it elsewhere,
/// and one to return if it is declined there.
const RESENDS: u32 = 2;

/// What becomes of a call on which nothing arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentCall {
    /// It ends, and its request is sent elsewhere.
    Ends,
    /// It goes on.
    GoesOn {
        /// Why it does.
        reason: StayReason,
        /// Time after which to ask again, if it is still silent then.
        ask_again_after: Duration,
    },
}

/// Why a silent call goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StayReason {
    /// A sound backend server may be silent for as long.
    Short,
    /// The request may not run again.
    NoRunLeft,
    /// The time for the whole answer is over.
    NoTimeLeft,
    /// The budget of the service for resends is used up.
    NoResendLeft,
    /// Backend servers may have crashed under its content or a part of its prompt.
    Quarantined,
    /// This host can't open connections to backend servers.
    CutOff,
    /// No other backend server takes the request now.
    NoBackend,
}

impl StayReason {
    /// Returns the name of the reason, for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Short => "short",
            Self::NoRunLeft => "no-run-left",
            Self::NoTimeLeft => "no-time-left",
            Self::NoResendLeft => "no-resend-left",
            Self::Quarantined => "quarantined",
            Self::CutOff => "cut-off",
            Self::NoBackend => "no-backend",
        }
    }
}

impl Router {
    /// Returns what becomes of a call on which nothing has arrived for `silence`, at a backend server
    /// that accepts connections or does not.
    ///
    /// The answer holds until the next event. If the call ends, its end has to be that event.
    #[must_use]
    pub fn silent_call(
        &mut self,
        now: Instant,
        number: RequestNumber,
        silence: Duration,
        accepts_connections: bool,
    ) -> SilentCall {
        self.refresh_subsets();
        let Some(request) = self.sent.get(&number) else {
            // A peer has the request, and decides about its call.
            return SilentCall::GoesOn {
                reason: StayReason::NoRunLeft,
                ask_again_after: DEFAULT_PAUSE,
            };
        };
        let route = &request.admitted.route;
        let sound_silence = longest_sound_silence(route);
        let has_begun = request.state.first_event_at.is_some();
        if has_begun && accepts_connections && silence < sound_silence {
            return SilentCall::GoesOn {
                reason: StayReason::Short,
                ask_again_after: sound_silence.saturating_sub(silence),
            };
        }
        match self.reason_to_stay(now, number) {
            None => SilentCall::Ends,
            Some(reason) => SilentCall::GoesOn {
                reason,
                ask_again_after: silence_check_interval(route),
            },
        }
    }

    /// Returns why a request would not be sent elsewhere at once if its call ended now, if that is
    /// so.
    fn reason_to_stay(&self, now: Instant, number: RequestNumber) -> Option<StayReason> {
        let request = self.sent.get(&number)?;
        let mut admitted = request.admitted.clone();
        admitted.record_possible_run(&request.state.backend, AttemptOutcome::Silent);
        if !admitted.may_run_after(0) {
            return Some(StayReason::NoRunLeft);
        }
        if now >= admitted.deadline {
            return Some(StayReason::NoTimeLeft);
        }
        if self.is_quarantined(&admitted, now) || self.may_crash_others(request) {
            return Some(StayReason::Quarantined);
        }
        if self.is_cut_off() {
            return Some(StayReason::CutOff);
        }
        if !self.has_resends_left(RESENDS, &admitted.service, now) {
            return Some(StayReason::NoResendLeft);
        }
        if !self.has_place(&admitted, now) {
            return Some(StayReason::NoBackend);
        }
        None
    }
}
