//! One attempt of a request: a call to a backend server whose response is forwarded.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};
use jaypin_core::BackendId;
use jaypin_http::is_final_status;
use jaypin_router::{AttemptOutcome, Event};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

use super::delivery::{Delivery, forward_response};
use super::event_timing::{EventGroup, EventRate};
use super::request_task::RequestTask;
use super::response_proof::ResponseProof;
use super::silence::{Silence, SilenceWatch};
use super::stream_events::{StreamError, StreamEvents};
use crate::admission::{HeldBody, MemoryWait};
use crate::calls::{
    BufferedResponse, CallError, Connection, MAX_RESPONSE_BYTES, Recipient, Reuse, SendOrder,
    event_id, skip_body,
};
use crate::metrics;

/// Largest body, in bytes, that is read only so that its connection can be reused.
const MAX_SKIPPED_BYTES: usize = 16 * 1024;
/// Longest time for which such a body is read.
const SKIP_TIME: Duration = Duration::from_millis(500);

impl RequestTask {
    /// Sends the request as ordered, forwards the response, and returns how the call ended.
    pub(super) async fn attempt(&mut self, order: &SendOrder) -> AttemptOutcome {
        self.attribution = None;
        let mut delivery = std::mem::replace(&mut self.delivery, Delivery::Done);
        let host = self.host.clone();
        let outcome = tokio::select! {
            outcome = self.call_backend(order, &mut delivery) => outcome,
            () = sleep_until(order.deadline) => AttemptOutcome::TimedOut,
            () = host.requests_end() => AttemptOutcome::TimedOut,
        };
        self.delivery = delivery;
        match outcome {
            // An exited process refuses connections; one that only failed to respond accepts
            // them.
            AttemptOutcome::Lost if self.is_unreachable(order).await => AttemptOutcome::Died,
            other => other,
        }
    }

    /// Checks whether a backend server no longer accepts connections.
    async fn is_unreachable(&self, order: &SendOrder) -> bool {
        let is_backend = matches!(order.recipient, Recipient::Backend(_));
        is_backend && !self.host.connections.probe(&order.address).await
    }

    /// Calls the recipient and forwards its response.
    async fn call_backend(&mut self, order: &SendOrder, delivery: &mut Delivery) -> AttemptOutcome {
        let mut watch = SilenceWatch::new(self, order);
        let (connection, response) = match self.send(order, &mut watch, delivery).await {
            Ok(received) => received,
            Err(outcome) => return outcome,
        };
        match &order.recipient {
            Recipient::Peer(_) => {
                self.relay_response(order, connection, response, watch, delivery)
                    .await
            }
            Recipient::Backend(backend) => {
                let received = (connection, response);
                self.handle_response(order, backend, received, watch, delivery)
                    .await
            }
        }
    }

    /// Sends the request and waits for the head of its response. Returns how the call ended if there is
    /// none.
    async fn send(
        &self,
        order: &SendOrder,
        watch: &mut SilenceWatch<'_>,
        delivery: &mut Delivery,
    ) -> Result<(Connection, Response<Incoming>), AttemptOutcome> {
        let connections = &self.host.connections;
        let reuse = reuse_for(order);
        loop {
            let acquired = tokio::select! {
                acquired = connections.acquire(&order.address, reuse) => acquired,
                () = delivery.caller_disconnected() => return Err(AttemptOutcome::Abandoned),
            };
            let mut connection = acquired.map_err(|_| AttemptOutcome::Unreached)?;
            if let Recipient::Backend(backend) = &order.recipient {
                let checked_at = tokio::select! {
                    checked_at = self.host.catch_up() => checked_at,
                    () = delivery.caller_disconnected() => return Err(AttemptOutcome::Abandoned),
                };
                if !self.host.may_send_to(backend) {
                    connections.release(connection);
                    return Err(AttemptOutcome::Withheld);
                }
                connection.limit_write(self.host.outdated_at(checked_at));
            }
            let req = self.outgoing_request(order);
            watch.restart(order.first_event_timeout);
            let sent = tokio::select! {
                sent = watch.next(connection.call(req)) => sent,
                () = delivery.caller_disconnected() => return Err(AttemptOutcome::Abandoned),
            };
            match sent {
                Err(silence) => return Err(self.end_silent_call(order, silence)),
                Ok(Ok(response)) if !is_final_status(response.status()) => {
                    return Err(self.end_invalid_response(order, response.status()));
                }
                Ok(Ok(response)) => {
                    connection.update_expiry(response.headers());
                    return Ok((connection, response));
                }
                // The backend server closed the connection while it was idle. Only a new one
                // shows whether the server can be reached.
                Ok(Err(CallError::NotSent)) if connection.is_reused => {}
                // This host was stalled before the request was written. Whether the backend server
                // still takes it is checked again.
                Ok(Err(CallError::Withheld)) => self.log_late_write(order),
                Ok(Err(CallError::NotSent)) => return Err(AttemptOutcome::Unreached),
                Ok(Err(CallError::Interrupted)) => return Err(AttemptOutcome::Lost),
            }
        }
    }

    /// Forwards the response of a backend server if it is the request's own and may be forwarded.
    async fn handle_response(
        &mut self,
        order: &SendOrder,
        backend: &BackendId,
        (mut connection, response): (Connection, Response<Incoming>),
        watch: SilenceWatch<'_>,
        delivery: &mut Delivery,
    ) -> AttemptOutcome {
        if !connection.is_reused {
            self.host.apply(Event::BackendReached(backend.clone()));
        }
        let (status, headers) = (response.status(), response.headers());
        let head = self.host.platform.parse_backend_response(status, headers);
        let id = &self.received.header.id;
        let (proof, attribution) = ResponseProof::of(&head, status, headers, id, &connection);
        connection.record_response(head.id.is_some());
        self.attribution = Some(attribution);
        metrics::response(attribution.as_str());
        if proof != ResponseProof::Nothing {
            self.apply_signals(backend, &head);
        }
        if let Some(outcome) = outcome_without_answer(proof) {
            if attribution.is_own() {
                self.discard(connection, response);
            }
            return outcome;
        }
        if !order.repeat.may_run_again() {
            // It is not sent again, so its body need not be kept.
            self.received.body = HeldBody::default();
        }
        if status.is_success() && order.repeat.is_stream() {
            return self
                .forward_stream(order, connection, response, watch, delivery)
                .await;
        }
        self.forward_whole(order, connection, response, delivery)
            .await
    }

    /// Discards a response that is not forwarded. Its connection is reused if the body ends soon.
    ///
    /// Guards against a body without end: the request is sent elsewhere without waiting for it.
    fn discard(&self, connection: Connection, response: Response<Incoming>) {
        let body = response.into_body();
        if body.is_end_stream() {
            return self.host.connections.release(connection);
        }
        let host = self.host.clone();
        spawn_local(async move {
            if skip_body(body, MAX_SKIPPED_BYTES, SKIP_TIME).await {
                host.connections.release(connection);
            }
        });
    }

    /// Relays the response of a peer, whatever its status.
    async fn relay_response(
        &mut self,
        order: &SendOrder,
        connection: Connection,
        response: Response<Incoming>,
        watch: SilenceWatch<'_>,
        delivery: &mut Delivery,
    ) -> AttemptOutcome {
        if response.status().is_success() && order.repeat.is_stream() {
            return self
                .forward_stream(order, connection, response, watch, delivery)
                .await;
        }
        let read = self.read_whole(order, connection, response, delivery);
        match read.await {
            Ok(response) => {
                delivery.send_response(forward_response(response));
                AttemptOutcome::Complete
            }
            Err(outcome) => outcome,
        }
    }

    /// Reads the whole response, so that its connection can be reused.
    async fn read_whole(
        &self,
        order: &SendOrder,
        connection: Connection,
        response: Response<Incoming>,
        delivery: &mut Delivery,
    ) -> Result<BufferedResponse<HeldBody>, AttemptOutcome> {
        let (head, mut body) = response.into_parts();
        let wait = MemoryWait {
            limit: order.deadline.saturating_duration_since(Instant::now()),
            due: order.deadline,
        };
        let memory = &self.host.admission.bodies;
        let read = tokio::select! {
            read = memory.read_response(&mut body, MAX_RESPONSE_BYTES, wait) => read,
            () = delivery.caller_disconnected() => return Err(AttemptOutcome::Abandoned),
        };
        let body = read.map_err(|error| {
            let (id, backend) = (&self.received.header.id, order.recipient.name());
            log::info!(id, backend, error:%; "reading a response failed; ending the call");
            metrics::body_failure("response", &error);
            AttemptOutcome::Lost
        })?;
        self.host.connections.release(connection);
        Ok(BufferedResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Reads the whole response and sends it to the caller. A server error is kept instead,
    /// since another attempt may succeed.
    async fn forward_whole(
        &mut self,
        order: &SendOrder,
        connection: Connection,
        response: Response<Incoming>,
        delivery: &mut Delivery,
    ) -> AttemptOutcome {
        let states_its_end = states_its_end(response.headers());
        let read = self.read_whole(order, connection, response, delivery);
        let response = match read.await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        if response.status.is_server_error() {
            self.failure = Some(response);
            return AttemptOutcome::Failed;
        }
        let is_verified = states_its_end && response.status.is_success();
        self.host.apply(Event::ResponseStarted(self.number));
        delivery.send_response(forward_response(response));
        complete(is_verified)
    }

    /// Forwards the events of a stream to the caller until the stream ends.
    async fn forward_stream(
        &mut self,
        order: &SendOrder,
        connection: Connection,
        response: Response<Incoming>,
        mut watch: SilenceWatch<'_>,
        delivery: &mut Delivery,
    ) -> AttemptOutcome {
        let (parts, mut body) = response.into_parts();
        let mut events = StreamEvents::default();
        let mut rate = EventRate::default();
        let mut has_first_event = false;
        watch.restart(order.first_event_timeout);
        loop {
            if has_first_event {
                watch.restart(order.stall_timeout);
            }
            let frame = tokio::select! {
                frame = watch.next(body.frame()) => frame,
                () = delivery.caller_disconnected() => return AttemptOutcome::Abandoned,
            };
            let bytes = match frame {
                Err(silence) => return self.end_silent_call(order, silence),
                Ok(None) => break,
                Ok(Some(Err(_))) => return AttemptOutcome::Lost,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if let Err(error) = events.push(&bytes) {
                return self.end_broken_stream(order, &error);
            }
            loop {
                let event = match events.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(error) => return self.end_broken_stream(order, &error),
                };
                let id = event_id(&event);
                // A stream that is resumed at another backend server may repeat events that
                // were already forwarded.
                if id.is_some() && id <= self.last_id {
                    continue;
                }
                if !has_first_event {
                    has_first_event = true;
                    self.host.apply(Event::ResponseStarted(self.number));
                    delivery.begin_stream(parts.status, &parts.headers);
                }
                self.last_id = id.or(self.last_id);
                self.times.record_event();
                if let Some(group) = rate.record_event() {
                    self.report_events(group);
                }
                if !delivery.send_event(event).await {
                    return AttemptOutcome::Abandoned;
                }
            }
            if let Err(error) = events.reserve(&self.host.admission.bodies) {
                return self.end_broken_stream(order, &error);
            }
        }
        if events.has_partial_event() {
            return AttemptOutcome::Lost;
        }
        if !has_first_event {
            if !self.has_earlier_events() || !states_its_end(&parts.headers) {
                return AttemptOutcome::Lost;
            }
            self.host.apply(Event::ResponseStarted(self.number));
            delivery.begin_stream(parts.status, &parts.headers);
        }
        if let Some(group) = rate.take_rest() {
            self.report_events(group);
        }
        let comments = events.take_comments();
        if !comments.is_empty() && !delivery.send_event(comments).await {
            return AttemptOutcome::Abandoned;
        }
        delivery.end_stream().await;
        self.host.connections.release(connection);
        complete(states_its_end(&parts.headers))
    }

    fn report_events(&self, group: EventGroup) {
        self.host.apply(Event::Streamed {
            number: self.number,
            events: group.events,
            time: group.time,
            longest_pause: group.longest_pause,
        });
    }

    fn end_broken_stream(&self, order: &SendOrder, error: &StreamError) -> AttemptOutcome {
        let (id, backend) = (&self.received.header.id, order.recipient.name());
        log::info!(id, backend, error:%; "a stream is broken; ending the call");
        AttemptOutcome::Lost
    }

    /// Ends a call on which nothing arrived for too long.
    fn end_silent_call(&self, order: &SendOrder, silence: Silence) -> AttemptOutcome {
        let (id, backend) = (&self.received.header.id, order.recipient.name());
        let silent_ms = silence.time.as_millis();
        let late_ms = silence.lateness.as_millis();
        let accepts = silence.accepts_connections;
        log::info!(id, backend, silent_ms, late_ms, accepts; "nothing arrives from a backend server; ending the call");
        AttemptOutcome::Silent
    }

    /// Ends a call whose response is none. Its connection is closed: what follows is unknown.
    fn end_invalid_response(&self, order: &SendOrder, status: StatusCode) -> AttemptOutcome {
        let (id, backend) = (&self.received.header.id, order.recipient.name());
        let status = status.as_u16();
        log::info!(id, backend, status; "the status of a response is not valid; ending the call");
        AttemptOutcome::Lost
    }

    fn log_late_write(&self, order: &SendOrder) {
        let (id, backend) = (&self.received.header.id, order.recipient.name());
        log::info!(id, backend; "this host was stalled before it wrote a request; checking again whether to send it");
    }

    /// Returns whether the caller has events of the stream from an earlier call or attempt, so that
    /// nothing but its end may be left.
    fn has_earlier_events(&self) -> bool {
        self.last_id.is_some() || self.received.resumes().is_some()
    }
}

/// Returns which connections a call may use. A request that may run once is sent elsewhere only after a
/// rejection that is proved to be its own.
fn reuse_for(order: &SendOrder) -> Reuse {
    match order.recipient {
        Recipient::Backend(_) if !order.repeat.may_run_again() => Reuse::Unanswered,
        Recipient::Backend(_) | Recipient::Peer(_) => Reuse::Any,
    }
}

/// Returns how a call ends whose response is not forwarded; none if it is.
fn outcome_without_answer(proof: ResponseProof) -> Option<AttemptOutcome> {
    match proof {
        ResponseProof::Nothing => Some(AttemptOutcome::Lost),
        ResponseProof::NotRun => Some(AttemptOutcome::NotRun),
        ResponseProof::Unproven => Some(AttemptOutcome::UnprovenRejection),
        ResponseProof::Misdirected => Some(AttemptOutcome::Replaced),
        ResponseProof::FalsePromise => Some(AttemptOutcome::Failed),
        ResponseProof::Answered => None,
    }
}

/// Returns whether a body that is cut off can be told from one that has ended: it has a length or
/// comes in chunks. Others end with their connection.
fn states_its_end(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns the outcome of an answer that was passed on whole, as far as can be told.
fn complete(is_verified: bool) -> AttemptOutcome {
    if is_verified {
        AttemptOutcome::Complete
    } else {
        AttemptOutcome::Unverified
    }
}
