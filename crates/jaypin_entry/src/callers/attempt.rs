//! One call of a request to a backend server.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::{Request, Response, Uri};
use jaypin_http::EventReader;
use jaypin_router::{AttemptOutcome, BackendSignals, BackendStatus, Event};
use tokio::time::{Instant, sleep_until, timeout};

use super::delivery::{Delivery, pass_on};
use super::drive::Drive;
use super::event_times::CallPace;
use crate::calls::{
    CallError, Connection, DEFAULT_LIMITS, SendOrder, connect, event_id, read_whole,
};
use crate::ports::{BackendResponse, ForwardContext};

/// Header with which a stream is gone on with, by the standard of server-sent events.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

impl Drive {
    /// Sends the request as ordered and passes on what comes; says how the call ended.
    pub(super) async fn attempt(&mut self, order: &SendOrder) -> AttemptOutcome {
        let mut delivery = std::mem::replace(&mut self.delivery, Delivery::Done);
        let outcome = tokio::select! {
            outcome = self.call_backend(order, &mut delivery) => outcome,
            () = sleep_until(order.deadline) => AttemptOutcome::TimedOut,
        };
        self.delivery = delivery;
        match outcome {
            // A process that is gone refuses connections; one that only lost an answer
            // takes them.
            AttemptOutcome::Lost if !self.is_reachable(order).await => AttemptOutcome::Died,
            other => other,
        }
    }

    async fn is_reachable(&self, order: &SendOrder) -> bool {
        match connect(&order.address, DEFAULT_LIMITS).await {
            Ok(connection) => {
                self.host.connections.give_back(connection);
                true
            }
            Err(_) => false,
        }
    }

    async fn call_backend(&mut self, order: &SendOrder, delivery: &mut Delivery) -> AttemptOutcome {
        let (mut connection, response) = loop {
            let taken = tokio::select! {
                taken = self.host.connections.take(&order.address) => taken,
                () = delivery.caller_gone() => return AttemptOutcome::Abandoned,
            };
            let Ok(mut connection) = taken else {
                return AttemptOutcome::Unreached;
            };
            if !self.host.still_takes(&order.backend) {
                self.host.connections.give_back(connection);
                return AttemptOutcome::Withheld;
            }
            let req = self.request(order);
            let silence = order.silence.filter(|_| !delivery.is_streaming());
            let answered = tokio::select! {
                answered = within(silence, connection.call(req)) => answered,
                () = delivery.caller_gone() => return AttemptOutcome::Abandoned,
            };
            match answered {
                None => return AttemptOutcome::Silent,
                Some(Ok(response)) => break (connection, response),
                // It had been closed while idle; a new one tells more.
                Some(Err(CallError::NotSent)) if connection.is_reused => {}
                Some(Err(CallError::NotSent)) => return AttemptOutcome::Unreached,
                Some(Err(CallError::Broken)) => return AttemptOutcome::Lost,
            }
        };
        connection.note_answer(response.headers());
        let status = response.status();
        let says = self
            .host
            .platform
            .parse_backend_response(status, response.headers());
        if let Some(outcome) = self.misplaced(&says, &response) {
            return outcome;
        }
        self.note_signals(order, &says);
        if says.is_not_run {
            return self.declined(connection, response, &says).await;
        }
        if status.is_success() && order.repeat.is_stream() {
            return self.stream(order, connection, response, delivery).await;
        }
        self.whole(connection, response, delivery).await
    }

    /// Tells the reducer what the backend server says of itself, and logs a change.
    fn note_signals(&self, order: &SendOrder, says: &BackendResponse) {
        let backend = &order.backend;
        // The server that answered is not the one that is known by this id.
        if says.is_misdirected {
            return;
        }
        let number = self.number;
        let before = self.host.look(|router| router.signals_of(backend));
        let rate_limit = match &says.rate_limit {
            Ok(rate_limit) => *rate_limit,
            Err(error) => {
                log::warn!(backend, error:%; "signals of a backend server make no sense");
                before.rate_limit
            }
        };
        let backoff = match &says.backoff {
            Ok(backoff) => *backoff,
            Err(error) => {
                log::warn!(backend, error:%; "the backoff that a backend server requests makes no sense");
                None
            }
        };
        if let Some(backoff) = backoff {
            let ms = backoff.as_millis();
            log::info!(backend, ms; "a backend server requested backoff");
        }
        let signals = BackendSignals {
            rate_limit,
            is_leaving: says.status == BackendStatus::Leaving,
        };
        self.host.apply(Event::HeaderReceived {
            number,
            signals,
            backoff,
        });
        let after = self.host.look(|router| router.signals_of(backend));
        if before != after {
            log::info!(backend, before:?, after:?; "signals of a backend server changed");
        }
    }

    /// An answer to another request, or bytes that no backend server of ours marked.
    ///
    /// Guards against answers that come late or twice: on a kept connection they would be
    /// taken for the next request's, and one caller would get another's data.
    fn misplaced(
        &self,
        says: &BackendResponse,
        response: &Response<Incoming>,
    ) -> Option<AttemptOutcome> {
        let is_other = says.id.as_ref().is_some_and(|id| *id != self.call.says.id);
        let is_success = response.status().is_success();
        let is_unmarked = is_success && (!says.is_from_backend || says.id.is_none());
        let is_encoded = response.headers().contains_key(CONTENT_ENCODING);
        (is_other || is_unmarked || is_encoded).then_some(AttemptOutcome::Lost)
    }

    async fn declined(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        says: &BackendResponse,
    ) -> AttemptOutcome {
        if read_whole(response).await.is_some() {
            self.host.connections.give_back(connection);
        }
        if says.is_misdirected {
            AttemptOutcome::Replaced
        } else {
            AttemptOutcome::NotRun
        }
    }

    async fn whole(
        &mut self,
        connection: Connection,
        response: Response<Incoming>,
        delivery: &mut Delivery,
    ) -> AttemptOutcome {
        let answer = tokio::select! {
            answer = read_whole(response) => answer,
            () = delivery.caller_gone() => return AttemptOutcome::Abandoned,
        };
        let Some(answer) = answer else {
            return AttemptOutcome::Lost;
        };
        self.host.connections.give_back(connection);
        if answer.status.is_server_error() {
            self.failure = Some(answer);
            return AttemptOutcome::Failed;
        }
        self.host.apply(Event::ResponseStarted(self.number));
        delivery.finish(pass_on(answer));
        AttemptOutcome::Complete
    }

    async fn stream(
        &mut self,
        order: &SendOrder,
        connection: Connection,
        response: Response<Incoming>,
        delivery: &mut Delivery,
    ) -> AttemptOutcome {
        let (head, mut body) = response.into_parts();
        let mut reader = EventReader::default();
        let mut pace = CallPace::default();
        let sent_at = Instant::now();
        let mut is_answered = false;
        loop {
            let silence = if is_answered {
                order.longest_pause
            } else {
                order.silence.map(|it| it.saturating_sub(sent_at.elapsed()))
            };
            let frame = tokio::select! {
                frame = within(silence, body.frame()) => frame,
                () = delivery.caller_gone() => return AttemptOutcome::Abandoned,
            };
            let bytes = match frame {
                None => return AttemptOutcome::Silent,
                Some(None) => break,
                Some(Some(Err(_))) => return AttemptOutcome::Lost,
                Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            if !reader.push(&bytes) {
                return AttemptOutcome::Lost;
            }
            while let Some(event) = reader.next_event() {
                let id = event_id(&event);
                // After a change of backend servers, what was passed on does not come again.
                if id.is_some() && id <= self.last_id {
                    continue;
                }
                if !is_answered {
                    is_answered = true;
                    self.host.apply(Event::ResponseStarted(self.number));
                    delivery.begin(head.status, &head.headers);
                }
                self.last_id = id.or(self.last_id);
                self.times.saw_event();
                if let Some((events, time)) = pace.saw_event() {
                    let number = self.number;
                    self.host.apply(Event::Streamed {
                        number,
                        events,
                        time,
                    });
                }
                if !delivery.event(event).await {
                    return AttemptOutcome::Abandoned;
                }
            }
        }
        if reader.has_rest() || !is_answered {
            return AttemptOutcome::Lost;
        }
        delivery.end().await;
        self.host.connections.give_back(connection);
        AttemptOutcome::Complete
    }

    fn request(&self, order: &SendOrder) -> Request<Full<Bytes>> {
        let time_left = order.deadline.saturating_duration_since(Instant::now());
        let forward = ForwardContext {
            backend: &order.backend,
            account: order.asked_by.account.as_ref(),
            time_left,
        };
        let mut req = Request::new(Full::new(self.call.body.clone()));
        *req.method_mut() = self.call.method.clone();
        *req.uri_mut() = origin_form(&self.call.uri);
        *req.headers_mut() = self
            .host
            .platform
            .forwarded_headers(&self.call.headers, &forward);
        if let Some(id) = self.last_id {
            let value = HeaderValue::from(id);
            req.headers_mut().insert(LAST_EVENT_ID, value);
        }
        req
    }
}

/// The path and query without a host: what a caller sent in the absolute form is asked of
/// the backend server in the usual one.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}

async fn within<T>(limit: Option<Duration>, future: impl Future<Output = T>) -> Option<T> {
    match limit {
        Some(limit) => timeout(limit, future).await.ok(),
        None => Some(future.await),
    }
}
