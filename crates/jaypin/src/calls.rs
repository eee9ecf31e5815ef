//! Bodies and callers of unfinished requests, which the reducer knows by id only.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response};
use jaypin_core::{Refusal, RequestId, StoredAnswer};
use jaypin_rules::ServiceKind;
use tokio::sync::{oneshot, watch};

use crate::answer::{self, AnswerBody, CallerGuard, ChunkSender};

/// The HTTP request to send to the backend server, and how to read its response.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// Method of the call.
    pub method: Method,
    /// Path and query at the backend server.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body to forward.
    pub body: Bytes,
    /// Kind of the service, which determines the protocol of the backend server.
    pub kind: ServiceKind,
    /// Whether the caller asked for a stream of server-sent events.
    pub stream: bool,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Time from dispatch within which a response that is not streamed has to be complete.
    pub response_due_in: Duration,
    /// Whether the response is stored under the call's idempotency key.
    pub store_answer: bool,
}

/// A caller that waits for its response to start.
#[derive(Debug)]
pub struct Caller {
    /// Channel to the HTTP server task that responds to the caller.
    pub reply: oneshot::Sender<Response<AnswerBody>>,
    /// Reports to the reducer when the caller disconnects.
    pub guard: CallerGuard,
}

/// A call that is not dispatched yet.
#[derive(Debug)]
pub struct PendingCall {
    /// Request to send to the backend server.
    pub outbound: Outbound,
    /// Caller that waits for the response.
    pub caller: Caller,
}

/// All unfinished calls of this host.
#[derive(Debug, Default)]
pub struct Calls {
    inner: Mutex<HashMap<RequestId, CallState>>,
}

#[derive(Debug)]
enum CallState {
    Pending(Box<PendingCall>),
    Running {
        cancel: watch::Sender<bool>,
        caller: Option<Caller>,
        chunks: Option<ChunkSender>,
    },
}

impl Calls {
    /// Adds a call; to be done before the reducer receives the request.
    pub fn insert(&self, id: RequestId, call: PendingCall) {
        self.lock().insert(id, CallState::Pending(Box::new(call)));
    }

    /// Marks a call as running and returns its request with a receiver that becomes true on
    /// cancellation; returns `None` if the call is removed or already dispatched.
    pub fn start(&self, id: &RequestId) -> Option<(Outbound, watch::Receiver<bool>)> {
        let mut inner = self.lock();
        let Some(CallState::Pending(call)) = inner.remove(id) else {
            return None;
        };
        let (cancel, cancelled) = watch::channel(false);
        let PendingCall { outbound, caller } = *call;
        let state = CallState::Running {
            cancel,
            caller: Some(caller),
            chunks: None,
        };
        inner.insert(id.clone(), state);
        Some((outbound, cancelled))
    }

    /// Marks a call as pending again, after a dispatch that sent no byte of it.
    pub fn put_back(&self, id: &RequestId, outbound: Outbound) {
        let mut inner = self.lock();
        if let Some(CallState::Running {
            caller: Some(caller),
            ..
        }) = inner.remove(id)
        {
            let call = PendingCall { outbound, caller };
            inner.insert(id.clone(), CallState::Pending(Box::new(call)));
        }
    }

    /// Takes the caller, to whom the response can then be sent, and stores the sender of its
    /// chunks if the response is a stream.
    pub fn take_caller(&self, id: &RequestId, tx: Option<ChunkSender>) -> Option<Caller> {
        match self.lock().get_mut(id)? {
            CallState::Running { caller, chunks, .. } => {
                *chunks = tx;
                caller.take()
            }
            CallState::Pending(_) => None,
        }
    }

    /// Signals a running call to stop, and drops a call that is not dispatched.
    pub fn cancel(&self, id: &RequestId) {
        let mut inner = self.lock();
        match inner.get(id) {
            Some(CallState::Running { cancel, .. }) => {
                cancel.send_replace(true);
            }
            Some(CallState::Pending(_)) => {
                let call = inner.remove(id);
                // The call is dropped after the lock, because its guard sends an event.
                drop(inner);
                drop(call);
            }
            None => {}
        }
    }

    /// Drops a finished call.
    pub fn remove(&self, id: &RequestId) {
        self.lock().remove(id);
    }

    /// Answers a call with the stored answer of the earlier call that had the same key.
    pub fn replay(&self, id: &RequestId, stored: &StoredAnswer) {
        if let Some(CallState::Pending(call)) = self.lock().remove(id) {
            let mut caller = call.caller;
            caller.guard.disarm();
            let _ = caller.reply.send(answer::replayed(stored));
        }
    }

    /// Ends a call with a refusal, which is sent as the response or, if a stream has begun,
    /// as an error event at its end.
    pub fn refuse(&self, id: &RequestId, refusal: &Refusal) {
        let caller = match self.lock().remove(id) {
            Some(CallState::Pending(call)) => Some(call.caller),
            Some(CallState::Running {
                caller: Some(caller),
                ..
            }) => Some(caller),
            Some(CallState::Running {
                chunks: Some(tx), ..
            }) => {
                abort_stream(tx, refusal);
                None
            }
            _ => None,
        };
        if let Some(mut caller) = caller {
            caller.guard.disarm();
            let _ = caller.reply.send(answer::refusal(Some(id), refusal));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, CallState>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ends a stream that can't be completed with an error event and then closes the
/// connection abnormally, so that no caller mistakes a partial answer for a complete one.
fn abort_stream(tx: ChunkSender, refusal: &Refusal) {
    let event = answer::error_event(refusal);
    tokio::spawn(async move {
        let _ = tx.send(Ok(event)).await;
        let _ = tx
            .send(Err(std::io::Error::other("the stream can't be completed")))
            .await;
    });
}
