//! Streams that callers resume with a new attempt, mostly at another host than before.
//!
//! The host at which a stream begins tells a few other hosts at which version, chosen by the stream's
//! key among the hosts of the whole fleet. The host at which it is resumed asks these. If none of
//! them knows, the stream goes on only if its service has had one version for longer than a stream
//! lasts.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jaypin_core::{Reason, ServiceId};

use super::attempt::retry_until;
use super::{Effect, Router};
use crate::backend_subset::{hash, pair_score};
use crate::limits::resumption_window;
use crate::request::{Admitted, Request, Resuming, Waiting};
use crate::retry_after::OTHER_HOST_RETRY_AFTER;
use crate::{
    KnownOrigin, RequestNumber, Route, ServiceKey, StreamAnswer, StreamKey, StreamMessage,
    StreamOrigin, StreamQuery, VersionKey, VersionsSeen, cell_of, service_key,
};

/// Number of other hosts that are told at which version a stream began, in a fleet of several cells.
const HOLDERS: usize = 3;
/// The same in a fleet of one cell, of which any number of hosts may be lost at once.
const HOLDERS_OF_ONE_CELL: usize = 12;
/// Number of hosts that are asked for each that is told, since two hosts may know different hosts to
/// be live.
const ASKED_PER_HOLDER: usize = 2;
/// Time after which hosts that have not answered are asked again.
const ASK_PAUSE: Duration = Duration::from_millis(40);
/// Time for the hosts to answer.
const ANSWER_TIME: Duration = Duration::from_millis(250);

impl Router {
    /// Remembers at which version a stream began, and tells other hosts.
    pub(super) fn record_stream_origin(
        &mut self,
        origin: StreamOrigin,
        now: Instant,
        fx: &mut Vec<Effect>,
    ) {
        self.stream_origins.insert(origin, now);
        let to = self.stream_holders(&origin.stream, self.holder_count(), now);
        if !to.is_empty() {
            let message = StreamMessage::Began(origin);
            fx.push(Effect::SendStreamMessage { to, message });
        }
    }

    fn holder_count(&self) -> usize {
        if self.cells == 1 {
            HOLDERS_OF_ONE_CELL
        } else {
            HOLDERS
        }
    }

    /// Returns the hosts that are to know of a stream, the best first. Hosts of other cells may have
    /// exited.
    fn stream_holders(&self, stream: &StreamKey, count: usize, now: Instant) -> Vec<SocketAddr> {
        let live = self.fleet.live_peers(now);
        let live = live.map(|(host, peer)| (host, peer.address));
        let (cell, cells) = (self.cell, self.cells);
        let registered = self.report_state.registered_hosts();
        let of_other_cells = registered.filter(|(host, _)| cell_of(host, cells) != cell);
        let key = stream.attempt ^ stream.account.rotate_left(1);
        let scored = live.chain(of_other_cells);
        let scored = scored.map(|(host, address)| (pair_score(hash(host), key), address));
        let mut scored: Vec<_> = scored.collect();
        scored.sort_unstable_by_key(|it| Reverse(*it));
        scored.into_iter().take(count).map(|it| it.1).collect()
    }

    /// Returns hosts that are registered, for a host that hears from none.
    ///
    /// Guards against a host that stood still: it finds requests in its sockets before it has read the
    /// reports that its peers sent meanwhile, and takes all of them for gone.
    fn silent_hosts(&self, count: usize) -> Vec<SocketAddr> {
        let registered = self.report_state.registered_hosts();
        registered.map(|(_, address)| address).take(count).collect()
    }

    /// Lets a resumed stream go on if its version is known, or else asks other hosts for it.
    pub(super) fn resume(&mut self, now: Instant, request: Request<Waiting>, fx: &mut Vec<Effect>) {
        let admitted = &request.admitted;
        match self.stream_origins.get(&admitted.stream, now) {
            Some(KnownOrigin::At(version)) => return self.go_on(now, request, version, fx),
            Some(KnownOrigin::Contradictory) => {
                return self.refuse_version(&request, Reason::VersionUnknown, None, fx);
            }
            None => {}
        }
        let query = StreamQuery {
            number: admitted.number,
            stream: admitted.stream,
            service: service_key(&admitted.service),
            window: resumption_window(&admitted.route),
        };
        let asked = self.holder_count() * ASKED_PER_HOLDER;
        let holders = self.stream_holders(&query.stream, asked, now);
        let has_live_holders = !holders.is_empty();
        let state = Resuming {
            query,
            silent: if has_live_holders {
                holders
            } else {
                self.silent_hosts(asked)
            },
            has_live_holders,
            has_answer: false,
            seen: VersionsSeen::None,
            ask_at: now,
            until: now + ANSWER_TIME,
        };
        let request = request.ask(state);
        if request.state.silent.is_empty() {
            return self.resume_by_versions_seen(now, request, fx);
        }
        self.resuming.insert(query.number, request);
        self.ask_for_origins(now, fx);
    }

    /// Asks hosts that have not answered, and handles the requests whose time for answers is over.
    pub(super) fn ask_for_origins(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let over = self.resuming.extract_if(.., |_, it| it.state.until <= now);
        let over: Vec<_> = over.map(|(_, request)| request).collect();
        for request in over {
            self.resume_by_versions_seen(now, request, fx);
        }
        for request in self.resuming.values_mut() {
            let state = &mut request.state;
            if state.ask_at <= now {
                state.ask_at = now + ASK_PAUSE;
                let message = StreamMessage::Query(state.query);
                let to = state.silent.clone();
                fx.push(Effect::SendStreamMessage { to, message });
            }
        }
    }

    /// Returns when hosts must be asked again or the time for their answers ends; none if no request
    /// waits for answers.
    pub(super) fn next_ask_at(&self) -> Option<Instant> {
        let asked = self.resuming.values();
        asked.map(|it| it.state.ask_at.min(it.state.until)).min()
    }

    /// Handles a message about the version of a stream.
    pub(super) fn handle_stream_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: StreamMessage,
        fx: &mut Vec<Effect>,
    ) {
        match message {
            StreamMessage::Began(origin) => self.stream_origins.insert(origin, now),
            StreamMessage::Query(query) => {
                let message = StreamMessage::Answer(self.answer(&query, now));
                let to = vec![from];
                fx.push(Effect::SendStreamMessage { to, message });
            }
            StreamMessage::Answer(answer) => self.handle_answer(now, from, &answer, fx),
        }
    }

    fn answer(&self, query: &StreamQuery, now: Instant) -> StreamAnswer {
        let seen = self.versions_seen(query.service, query.window, now);
        let (version, seen) = match self.stream_origins.get(&query.stream, now) {
            Some(KnownOrigin::At(version)) => (Some(version), seen),
            Some(KnownOrigin::Contradictory) => (None, VersionsSeen::Several),
            None => (None, seen),
        };
        StreamAnswer {
            number: query.number,
            stream: query.stream,
            version,
            seen,
        }
    }

    fn handle_answer(
        &mut self,
        now: Instant,
        from: SocketAddr,
        answer: &StreamAnswer,
        fx: &mut Vec<Effect>,
    ) {
        let request = self.resuming.get_mut(&answer.number);
        // The answer may belong to this host's previous run, which used the same numbers.
        let Some(request) = request.filter(|it| it.state.query.stream == answer.stream) else {
            return;
        };
        let state = &mut request.state;
        state.silent.retain(|it| *it != from);
        state.has_answer = true;
        state.seen = state.seen.and(answer.seen);
        if answer.version.is_none() && !state.silent.is_empty() {
            return;
        }
        let Some(request) = self.resuming.remove(&answer.number) else {
            return;
        };
        match answer.version {
            Some(version) => self.go_on(now, request.place(now), version, fx),
            None => self.resume_by_versions_seen(now, request, fx),
        }
    }

    /// Lets a stream go on whose version no asked host knows, if its service has had only one
    /// version while it lasted.
    fn resume_by_versions_seen(
        &mut self,
        now: Instant,
        request: Request<Resuming>,
        fx: &mut Vec<Effect>,
    ) {
        let state = &request.state;
        let seen = self.versions_seen(state.query.service, state.query.window, now);
        let seen = seen.and(state.seen);
        // Another host may reach those that did not answer this one. Without peers, it counts what this
        // host reads from the store itself.
        let watches_entries = self.freshness.watches_entries(self.boot_time_at(now));
        let is_out_of_touch = !state.has_answer && (state.has_live_holders || !watches_entries);
        let has_one_service = request.admitted.route.targets.len() == 1;
        let request = request.place(now);
        match seen {
            VersionsSeen::One {
                version,
                is_complete: true,
            } if has_one_service && !is_out_of_touch => self.go_on(now, request, version, fx),
            _ => {
                let retry_after = is_out_of_touch.then_some(OTHER_HOST_RETRY_AFTER);
                self.refuse_version(&request, Reason::VersionUnknown, retry_after, fx);
            }
        }
    }

    fn go_on(
        &mut self,
        now: Instant,
        mut request: Request<Waiting>,
        version: VersionKey,
        fx: &mut Vec<Effect>,
    ) {
        let admitted = &mut request.admitted;
        admitted.stream_version = Some(version);
        if let Some(service) = self.service_with(version, &admitted.route) {
            admitted.service = service;
        }
        let until = retry_until(admitted, now, now);
        request.state.until = request.state.until.max(until);
        self.place(now, request, fx);
    }

    /// Returns the service of a route that has backend servers with a version.
    fn service_with(&self, version: VersionKey, route: &Route) -> Option<ServiceId> {
        let targets = route.targets.iter().map(|it| &it.service);
        let mut of_version = self.backends.values().filter(|it| it.version == version);
        of_version.find_map(|it| {
            targets
                .clone()
                .find(|to| **to == it.record.service)
                .cloned()
        })
    }

    /// Returns the versions of a service that this host has seen within `window` up to now.
    fn versions_seen(&self, service: ServiceKey, window: Duration, now: Instant) -> VersionsSeen {
        let of_service = self.backends.values();
        let of_service = of_service.filter(|it| service_key(&it.record.service) == service);
        let present = of_service.map(|it| it.version);
        let seen = self.version_history.seen(service, present, window, now);
        let lacks_entries = self.freshness.entries.are_stale(self.boot_time_at(now));
        match seen {
            // This host may not have received entries with other versions.
            VersionsSeen::One { version, .. } if lacks_entries => VersionsSeen::One {
                version,
                is_complete: false,
            },
            seen => seen,
        }
    }

    /// Removes a request that waits for answers.
    pub(super) fn remove_resuming(&mut self, number: RequestNumber) -> Option<Admitted> {
        let request = self.resuming.remove(&number)?;
        Some(request.admitted)
    }
}
