//! One request from its arrival to its answer.

use std::rc::Rc;

use jaypin_core::{Ran, Reason, Refusal};
use jaypin_router::{Arrival, Event, RequestNumber, Requester};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::answer::{AnswerResponse, refusal, rejection};
use super::delivery::{Delivery, pass_on};
use super::event_times::EventTimes;
use super::read_request::CallerCall;
use crate::boot_clock::boot_time;
use crate::calls::{SendOrder, WholeAnswer};
use crate::host::{Directive, Host, Mailbox};
use crate::metrics;

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
pub(super) struct Drive {
    pub(super) host: Rc<Host>,
    pub(super) call: CallerCall,
    pub(super) number: RequestNumber,
    mailbox: Rc<Mailbox>,
    pub(super) delivery: Delivery,
    /// The failure that a backend server gave, passed on when nothing better comes.
    pub(super) failure: Option<WholeAnswer>,
    /// Id of the last event that was passed on.
    pub(super) last_id: Option<u64>,
    /// When its events came, for the log.
    pub(super) times: EventTimes,
}

impl Drive {
    async fn run(mut self) {
        let arrival = self.arrival();
        self.host.apply(Event::Arrived(arrival));
        loop {
            let directive = tokio::select! {
                directive = self.mailbox.next() => directive,
                () = self.delivery.caller_gone() => {
                    self.host.apply(Event::CallerDisconnected(self.number));
                    self.log("caller-gone", None, None, &"");
                    break;
                }
            };
            match directive {
                Directive::Send(order) => {
                    let outcome = self.attempt(&order).await;
                    let number = self.number;
                    self.host.apply(Event::AttemptEnded { number, outcome });
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
            expected_answer: says.expected_answer_tokens,
            timeout: says.timeout,
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
        asked_by: Option<&Requester>,
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
}
