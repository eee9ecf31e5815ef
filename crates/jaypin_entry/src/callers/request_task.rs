//! The task that handles one request from its arrival to its response.

use std::rc::Rc;

use jaypin_core::{Ran, Reason, Refusal};
use jaypin_router::{Arrival, Event, RequestNumber, Requester, attempt_key};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::delivery::{Delivery, forward_response};
use super::event_timing::EventTimes;
use super::read_request::ReceivedRequest;
use super::response::{HttpResponse, refusal_response, rejection_response};
use super::response_proof::Attribution;
use crate::admission::HeldBody;
use crate::boot_clock::boot_time;
use crate::calls::{BufferedResponse, SendOrder};
use crate::host::{Directive, Host, Mailbox};
use crate::metrics;

/// Handles a request and returns the response, whose body may still be streaming.
///
/// The request runs in a task of its own, which notices when this future is dropped: before
/// a response, that is how a disconnected caller is detected.
pub async fn start(host: Rc<Host>, received: ReceivedRequest) -> HttpResponse {
    let (reply, head) = oneshot::channel();
    let (number, mailbox) = host.open_mailbox();
    let task = RequestTask {
        host,
        received,
        number,
        mailbox,
        delivery: Delivery::Pending(reply),
        failure: None,
        attribution: None,
        last_id: None,
        times: EventTimes::default(),
    };
    spawn_local(task.run());
    head.await.unwrap_or_else(|_| {
        // The task sends a response before it ends unless an invariant is broken.
        refusal_response(&Refusal::after_dispatch(Reason::BackendLost, Ran::Unknown))
    })
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct RequestTask {
    pub(super) host: Rc<Host>,
    pub(super) received: ReceivedRequest,
    pub(super) number: RequestNumber,
    mailbox: Rc<Mailbox>,
    pub(super) delivery: Delivery,
    /// The error response of a backend server, which is forwarded if no attempt succeeds.
    pub(super) failure: Option<BufferedResponse<HeldBody>>,
    /// How the response of the current attempt was matched to it; none before it arrives.
    pub(super) attribution: Option<Attribution>,
    /// Id of the last event that was forwarded.
    pub(super) last_id: Option<u64>,
    /// Timing of the forwarded events, for the log and metrics.
    pub(super) times: EventTimes,
}

impl RequestTask {
    /// Carries out the reducer's directives until the request has ended.
    async fn run(mut self) {
        let arrival = self.arrival();
        self.host.apply(Event::Arrived(arrival));
        loop {
            let directive = tokio::select! {
                directive = self.mailbox.next() => directive,
                () = self.delivery.caller_disconnected() => {
                    self.host.apply(Event::CallerDisconnected(self.number));
                    self.log_outcome("caller-gone", None, None, &"");
                    break;
                }
            };
            match directive {
                Directive::Send(order) => {
                    metrics::placement(&order.inputs, "sent");
                    let outcome = self.attempt(&order).await;
                    let number = self.number;
                    self.host.apply(Event::AttemptEnded { number, outcome });
                    metrics::call(outcome.as_str());
                    let requester = Some(&order.requester);
                    self.log_outcome(outcome.as_str(), Some(&order), requester, &order.inputs);
                    if outcome.is_final() {
                        self.count_outcome(outcome.as_str());
                        break;
                    }
                }
                other => {
                    self.send_failure(other);
                    break;
                }
            }
        }
        self.host.close_mailbox(self.number);
    }

    fn arrival(&self) -> Arrival {
        let header = &self.received.header;
        Arrival {
            number: self.number,
            attempt: attempt_key(&header.id),
            resumes: self.received.resumes(),
            host: header.host.clone(),
            path: self.received.uri.path().to_owned(),
            credential: header.credential.clone(),
            tokens: header.tokens,
            expected_answer: header.expected_answer_tokens,
            timeout: header.timeout,
            fingerprint: self.received.fingerprint,
            shared_parts: self.received.shared_parts(),
            segments: self.received.segments(),
            is_passed_on: self.received.is_passed_on,
            received_at: self.received.received_at.into_std(),
            boot_time: boot_time(),
        }
    }

    /// Sends the response of a request that ends without a successful attempt.
    fn send_failure(&mut self, directive: Directive) {
        let response = match directive {
            Directive::Reject(reason, inputs) => {
                self.count_outcome(reason.as_str());
                self.log_outcome(reason.as_str(), None, None, &inputs);
                rejection_response(reason)
            }
            Directive::Refuse(refused, requester, inputs) => {
                metrics::placement(&inputs, "refused");
                self.count_outcome(refused.reason.as_str());
                self.log_outcome(refused.reason.as_str(), None, requester.as_ref(), &inputs);
                refusal_response(&refused)
            }
            Directive::ForwardFailure | Directive::Send(_) => {
                self.count_outcome("failed");
                match self.failure.take() {
                    Some(failure) => forward_response(failure),
                    None => refusal_response(&Refusal::after_dispatch(
                        Reason::BackendLost,
                        Ran::Unknown,
                    )),
                }
            }
        };
        self.delivery.send_response(response);
    }

    fn count_outcome(&self, outcome: &'static str) {
        metrics::request(outcome, self.received.received_at.elapsed());
        if self.received.resumes().is_some() {
            metrics::resumption(outcome);
        }
        if let Some(first) = self.times.first {
            metrics::stream(first - self.received.received_at, self.times.longest_pause);
        }
    }

    fn log_outcome(
        &self,
        outcome: &str,
        order: Option<&SendOrder>,
        requester: Option<&Requester>,
        inputs: &dyn std::fmt::Display,
    ) {
        let backend = order.map_or("", |order| order.recipient.name());
        let version = order.and_then(|order| order.version.as_deref());
        let version = version.unwrap_or_default();
        let resumes = self.received.header.resumed_id.as_deref();
        let resumes = resumes.unwrap_or_default();
        let after = self.received.last_event_id().unwrap_or_default();
        let last_id = self.last_id.map(|it| it.to_string()).unwrap_or_default();
        let account = requester.and_then(|it| it.account.as_deref());
        let rank = requester.map(|it| it.rank.to_string()).unwrap_or_default();
        let account = account.unwrap_or_default();
        let known_by = self.attribution.map_or("", Attribution::as_str);
        let ms = self.received.received_at.elapsed().as_millis();
        let id = &self.received.header.id;
        let first = self.times.first.map(|at| at - self.received.received_at);
        let first_ms = first.unwrap_or_default().as_millis();
        let pause_ms = self.times.longest_pause.as_millis();
        let tokens = self.received.header.tokens.unwrap_or_default();
        let content = format!("{:016x}", self.received.fingerprint);
        let parts = self.received.prompt_part_names();
        let cached_tokens = order.map_or(0, |order| order.inputs.held_tokens());
        log::info!(id, content, parts, outcome, known_by, backend, version, resumes, after, last_id, account, rank, ms, first_ms, pause_ms, tokens:?, cached_tokens, why:% = inputs; "request");
    }
}
