//! One request from its arrival to its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, HeaderName, HeaderValue};
use hyper::{Request, Response, Uri};
use jaypin_core::{Ran, Reason, Refusal};
use jaypin_http::EventReader;
use jaypin_router::{
    Arrival, AskedBy, AttemptOutcome, BackendSignals, BackendStatus, Event, RequestNumber,
};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

use super::answer::{AnswerResponse, refusal, rejection};
use super::delivery::{Delivery, pass_on};
use super::event_times::{CallPace, EventTimes};
use super::read_request::CallerCall;
use crate::boot_clock::boot_time;
use crate::calls::{
    CallError, Connection, DEFAULT_LIMITS, SendOrder, WholeAnswer, connect, event_id, read_whole,
};
use crate::host::{Directive, Host, Mailbox};
use crate::metrics;
use crate::ports::{BackendAnswer, Forward};

/// Header with which a stream is gone on with, by the standard of server-sent events.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Takes a request in and gives the head of its answer.
///
/// The request runs in a task of its own, which notices when this future is dropped: that
/// is how the caller's leaving shows before an answer.
pub async fn start(host: Rc<Host>, call: CallerCall) -> AnswerResponse {
    let (reply, head) = oneshot::channel();
    let (number, mailbox) = host.open_mailbox();
    let task = Drive {
        host,
        call,
        number,
        mailbox,
        delivery: Delivery::Open(reply),
        failure: None,
        last_id: None,
        times: EventTimes::default(),
    };
    spawn_local(task.run());
    head.await.unwrap_or_else(|_| {
        // Only a broken invariant ends the task without an answer.
        refusal(&Refusal::after_dispatch(Reason::BackendLost, Ran::Unknown))
    })
}

/// A request under way.
#[derive(Debug)]
struct Drive {
    host: Rc<Host>,
    call: CallerCall,
    number: RequestNumber,
    mailbox: Rc<Mailbox>,
    delivery: Delivery,
    /// The failure that a backend server gave, passed on when nothing better comes.
    failure: Option<WholeAnswer>,
    /// Id of the last event that was passed on.
    last_id: Option<u64>,
    /// When its events came, for the log.
    times: EventTimes,
}

impl Drive {
    async fn run(mut self) {
        let arrival = self.arrival();
        self.host.apply(Event::Arrived(arrival));
        loop {
            let directive = tokio::select! {
                directive = self.mailbox.next() => directive,
                () = self.delivery.caller_gone() => {
                    self.host.apply(Event::CallerGone(self.number));
                    self.log("caller-gone", None, None, &"");
                    break;
                }
            };
            match directive {
                Directive::Send(order) => {
                    let outcome = self.attempt(&order).await;
                    let number = self.number;
                    self.host.apply(Event::Ended { number, outcome });
                    metrics::call(outcome.as_str());
                    let asked_by = Some(&order.asked_by);
                    self.log(outcome.as_str(), Some(&order), asked_by, &order.grounds);
                    if outcome.is_final() {
                        self.count(outcome.as_str());
                        break;
                    }
                }
                other => {
                    self.finish(other);
                    break;
                }
            }
        }
        self.host.close_mailbox(self.number);
    }

    fn arrival(&self) -> Arrival {
        let says = &self.call.says;
        Arrival {
            number: self.number,
            host: says.host.clone(),
            path: self.call.uri.path().to_owned(),
            credential: says.credential.clone(),
            tokens: says.tokens,
            expected_answer: says.expected_answer,
            patience: says.patience,
            fingerprint: self.call.fingerprint,
            received_at: self.call.received_at.into_std(),
            boot_time: boot_time(),
        }
    }

    fn finish(&mut self, directive: Directive) {
        let response = match directive {
            Directive::Reject(reason, grounds) => {
                self.count(reason.as_str());
                self.log(reason.as_str(), None, None, &grounds);
                rejection(reason)
            }
            Directive::Refuse(refused, asked_by, grounds) => {
                self.count(refused.reason.as_str());
                self.log(refused.reason.as_str(), None, asked_by.as_ref(), &grounds);
                refusal(&refused)
            }
            Directive::PassOn | Directive::Send(_) => {
                self.count("failed");
                match self.failure.take() {
                    Some(failure) => pass_on(failure),
                    None => refusal(&Refusal::after_dispatch(Reason::BackendLost, Ran::Unknown)),
                }
            }
        };
        self.delivery.finish(response);
    }

    fn count(&self, outcome: &'static str) {
        metrics::request(outcome, self.call.received_at.elapsed());
        if let Some(first) = self.times.first {
            metrics::stream(first - self.call.received_at, self.times.longest_pause);
        }
    }

    fn log(
        &self,
        outcome: &str,
        order: Option<&SendOrder>,
        asked_by: Option<&AskedBy>,
        grounds: &dyn std::fmt::Display,
    ) {
        let backend = order.map_or("", |order| &order.backend);
        let account = asked_by.and_then(|it| it.account.as_deref());
        let rank = asked_by.map(|it| it.rank.to_string()).unwrap_or_default();
        let account = account.unwrap_or_default();
        let ms = self.call.received_at.elapsed().as_millis();
        let id = &self.call.says.id;
        let first = self.times.first.map(|at| at - self.call.received_at);
        let first_ms = first.unwrap_or_default().as_millis();
        let pause_ms = self.times.longest_pause.as_millis();
        let tokens = self.call.says.tokens.unwrap_or_default();
        log::info!(id, outcome, backend, account, rank, ms, first_ms, pause_ms, tokens:?, why:% = grounds; "request");
    }

    // ------------------------------------------------------------------ one call

    async fn attempt(&mut self, order: &SendOrder) -> AttemptOutcome {
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
            .backend_answer(status, response.headers());
        if let Some(outcome) = self.misplaced(&says, &response) {
            return outcome;
        }
        self.note_signals(order, &says);
        if says.is_declined {
            return self.declined(connection, response, &says).await;
        }
        if status.is_success() && order.repeat.is_stream() {
            return self.stream(order, connection, response, delivery).await;
        }
        self.whole(connection, response, delivery).await
    }

    /// Tells the reducer what the backend server says of itself, and logs a change.
    fn note_signals(&self, order: &SendOrder, says: &BackendAnswer) {
        let backend = &order.backend;
        // The server that answered is not the one that is known by this id.
        if says.is_other_backend {
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
        let rest = match &says.rest {
            Ok(rest) => *rest,
            Err(error) => {
                log::warn!(backend, error:%; "the rest that a backend server asks for makes no sense");
                None
            }
        };
        if let Some(rest) = rest {
            let ms = rest.as_millis();
            log::info!(backend, ms; "a backend server asks for rest");
        }
        let signals = BackendSignals {
            rate_limit,
            is_leaving: says.status == BackendStatus::Leaving,
        };
        self.host.apply(Event::Signalled {
            number,
            signals,
            rest,
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
        says: &BackendAnswer,
        response: &Response<Incoming>,
    ) -> Option<AttemptOutcome> {
        let is_other = says.id.as_ref().is_some_and(|id| *id != self.call.says.id);
        let is_success = response.status().is_success();
        let is_unmarked = is_success && (!says.is_signed || says.id.is_none());
        let is_encoded = response.headers().contains_key(CONTENT_ENCODING);
        (is_other || is_unmarked || is_encoded).then_some(AttemptOutcome::Lost)
    }

    async fn declined(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        says: &BackendAnswer,
    ) -> AttemptOutcome {
        if read_whole(response).await.is_some() {
            self.host.connections.give_back(connection);
        }
        if says.is_other_backend {
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
        self.host.apply(Event::Answered(self.number));
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
                    self.host.apply(Event::Answered(self.number));
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
        let forward = Forward {
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
