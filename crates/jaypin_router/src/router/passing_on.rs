//! Requests that this host passes on to a peer, because it is cut off from the backend servers and
//! the peer is not.
//!
//! The peer handles such a request like one of a caller: it charges the quota, sends the request to
//! a backend server and never passes it on again. This host only relays the response.

use std::net::SocketAddr;
use std::time::Instant;

use jaypin_core::{BackendId, HostId, Ran, Reason, Refusal};
use rand::seq::IndexedRandom;

use super::arrival::refuse;
use super::{Effect, Router};
use crate::request::{Admitted, PassedOn, Request, Waiting};
use crate::retry_after::capacity_retry_after;
use crate::{AttemptOutcome, Contact, DecisionInputs};

/// Number of peers to which a request may be passed on until one can be connected.
const MAX_PEERS_TRIED: usize = 3;

impl Router {
    /// Returns whether this host can't open connections to backend servers.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        if !self.contact.is_suspicious() {
            return false;
        }
        let ready = self.backends.values().filter(|it| it.is_ready());
        self.contact.is_cut_off(ready.count())
    }

    pub(super) fn contact(&self) -> Contact {
        if self.is_cut_off() {
            Contact::CutOff
        } else {
            Contact::Reaching
        }
    }

    /// Returns backend servers, with their addresses, to some of which connections should be opened
    /// to find out whether this host is cut off, still is, or was when it lost calls.
    #[must_use]
    pub fn probe_targets(&self, now: Instant) -> Vec<(BackendId, String)> {
        if !self.contact.is_suspicious() && !self.crash_evidence.needs_contact(now) {
            return Vec::new();
        }
        let is_cut_off = self.is_cut_off();
        let ready = self.backends.values().filter(|it| it.is_ready());
        let ready = ready.map(|it| &it.record);
        let probed = ready.filter(|it| is_cut_off || !self.contact.has_failed(&it.id));
        probed
            .map(|it| (it.id.clone(), it.address.clone()))
            .collect()
    }

    /// Records that a connection to a backend server could not be opened.
    pub(super) fn record_unreached(&mut self, backend: &BackendId) {
        let was_cut_off = self.is_cut_off();
        self.contact.record_failure(backend);
        self.report_contact(was_cut_off);
    }

    /// Records that a connection to a backend server was opened.
    ///
    /// The cooldowns of a host that was cut off end with the cut: they say nothing of the backend
    /// servers.
    pub(super) fn record_reached(&mut self, backend: &BackendId, now: Instant) {
        self.record_contact(backend, now);
        let was_cut_off = self.is_cut_off();
        self.contact.record_success();
        if was_cut_off {
            for backend in self.backends.values_mut() {
                backend.end_cooldown();
            }
        }
        self.report_contact(was_cut_off);
    }

    fn report_contact(&mut self, was_cut_off: bool) {
        if self.is_cut_off() != was_cut_off {
            self.report_state.report_whole_at_once();
        }
    }

    /// Returns the peer to which a request should be passed on, and the address at which it accepts
    /// requests; none if this host is not cut off, or no peer can do better.
    pub(super) fn peer_for(
        &mut self,
        admitted: &Admitted,
        now: Instant,
    ) -> Option<(HostId, SocketAddr)> {
        let may_pass_on = !admitted.is_passed_on
            && !admitted.may_have_run()
            && !admitted.is_started
            && admitted.tried_peers.len() < MAX_PEERS_TRIED;
        if !may_pass_on || !self.is_cut_off() {
            return None;
        }
        let live = self.fleet.live_peers(now);
        let reaching = live.filter(|(host, peer)| {
            let is_usable = peer.is_ready && peer.contact == Contact::Reaching;
            is_usable && !admitted.tried_peers.contains(host)
        });
        let reaching: Vec<_> = reaching.collect();
        let own = &self.cfg.failure_domain;
        let near = reaching
            .iter()
            .filter(|(_, peer)| peer.failure_domain == *own);
        let near: Vec<_> = near.copied().collect();
        let peers = if near.is_empty() { &reaching } else { &near };
        let chosen = peers.choose(&mut self.rng);
        chosen.map(|(host, peer)| ((*host).clone(), peer.callers))
    }

    /// Passes a request on to a peer.
    pub(super) fn pass_on(
        &mut self,
        mut request: Request<Waiting>,
        (peer, address): (HostId, SocketAddr),
        fx: &mut Vec<Effect>,
    ) {
        request.admitted.tried_peers.push(peer.clone());
        let admitted = &request.admitted;
        let number = admitted.number;
        fx.push(Effect::PassOn {
            number,
            peer,
            address,
            requester: admitted.requester(),
            repeat: admitted.route.repeat,
            deadline: admitted.deadline,
            inputs: DecisionInputs::CutOff {
                unreached: self.contact.failure_count(),
            },
        });
        let passed_on = Request {
            admitted: request.admitted,
            state: PassedOn,
        };
        self.passed_on.insert(number, passed_on);
    }

    /// Passes a request on to another peer, after one could not be reached. Its quota is charged by
    /// the peer, so this host refuses it if there is no other.
    fn pass_on_again(&mut self, now: Instant, request: Request<PassedOn>, fx: &mut Vec<Effect>) {
        if let Some(peer) = self.peer_for(&request.admitted, now) {
            return self.pass_on(request.requeue(now), peer, fx);
        }
        let admitted = &request.admitted;
        let delay = capacity_retry_after(&admitted.route, &mut self.rng);
        let refusal = Refusal::not_run(Reason::NoBackend).retry_after(delay);
        let inputs = DecisionInputs::CutOff {
            unreached: self.contact.failure_count(),
        };
        let requester = Some(admitted.requester());
        fx.push(refuse(admitted.number, requester, refusal, inputs));
    }

    /// Handles the end of a request at a peer. A request that did not reach the peer goes
    /// elsewhere; whatever became of any other is known only to the peer.
    pub(super) fn handle_passed_on_end(
        &mut self,
        now: Instant,
        request: Request<PassedOn>,
        outcome: AttemptOutcome,
        fx: &mut Vec<Effect>,
    ) {
        let reason = match outcome {
            AttemptOutcome::Complete | AttemptOutcome::Unverified | AttemptOutcome::Abandoned => {
                return;
            }
            AttemptOutcome::Unreached => return self.pass_on_again(now, request, fx),
            AttemptOutcome::TimedOut => Reason::TooLate,
            _ => Reason::BackendLost,
        };
        let admitted = &request.admitted;
        let refusal = Refusal::after_dispatch(reason, Ran::Unknown);
        let inputs = DecisionInputs::Call {
            possible_runs: admitted.possible_runs + 1,
            attempted: admitted.attempted.len(),
        };
        let requester = Some(admitted.requester());
        fx.push(refuse(admitted.number, requester, refusal, inputs));
    }
}
