//! The bodies and callers of requests that the reducer decides on.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Response};
use jaypin_core::{Refusal, RequestId, StoredAnswer};
use jaypin_rules::ServiceKind;
use tokio::sync::{oneshot, watch};

use crate::answer::{self, AnswerBody, CallerGuard, ChunkSender};

/// What goes to the backend server.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// Method of the call.
    pub method: Method,
    /// Path and query at the backend server.
    pub path: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What the backend server speaks.
    pub kind: ServiceKind,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Time from dispatch within which an answer that is no stream is due.
    pub whole: Duration,
    /// Whether the answer is kept under the call's key.
    pub store_answer: bool,
}

/// A caller that waits for the head of its answer.
#[derive(Debug)]
pub struct Caller {
    /// Where the answer goes.
    pub reply: oneshot::Sender<Response<AnswerBody>>,
    /// Notices when the caller leaves.
    pub guard: CallerGuard,
}

/// A call that has not been dispatched.
#[derive(Debug)]
pub struct PendingCall {
    /// What goes to the backend server.
    pub outbound: Outbound,
    /// Who waits for it.
    pub caller: Caller,
}

/// All calls of this host that are not ended.
#[derive(Debug, Default)]
pub struct Calls {
    inner: Mutex<HashMap<RequestId, Entry>>,
}

#[derive(Debug)]
enum Entry {
    Pending(Box<PendingCall>),
    Running {
        cancel: watch::Sender<bool>,
        caller: Option<Caller>,
        chunks: Option<ChunkSender>,
    },
}

impl Calls {
    /// Puts a call in before the reducer hears of it.
    pub fn insert(&self, id: RequestId, call: PendingCall) {
        self.lock().insert(id, Entry::Pending(Box::new(call)));
    }

    /// Takes the outbound part for its one dispatch; a second time there is none.
    pub fn start(&self, id: &RequestId) -> Option<(Outbound, watch::Receiver<bool>)> {
        let mut inner = self.lock();
        let Some(Entry::Pending(call)) = inner.remove(id) else {
            return None;
        };
        let (cancel, cancelled) = watch::channel(false);
        let PendingCall { outbound, caller } = *call;
        let entry = Entry::Running {
            cancel,
            caller: Some(caller),
            chunks: None,
        };
        inner.insert(id.clone(), entry);
        Some((outbound, cancelled))
    }

    /// Takes back the outbound part of a call of which no byte was sent.
    pub fn put_back(&self, id: &RequestId, outbound: Outbound) {
        let mut inner = self.lock();
        if let Some(Entry::Running {
            caller: Some(caller),
            ..
        }) = inner.remove(id)
        {
            let call = PendingCall { outbound, caller };
            inner.insert(id.clone(), Entry::Pending(Box::new(call)));
        }
    }

    /// Takes the caller to send it the head; chunks go through `tx` from then on.
    pub fn take_caller(&self, id: &RequestId, tx: Option<ChunkSender>) -> Option<Caller> {
        match self.lock().get_mut(id)? {
            Entry::Running { caller, chunks, .. } => {
                *chunks = tx;
                caller.take()
            }
            Entry::Pending(_) => None,
        }
    }

    /// Tells a running call to stop, and drops one that was not dispatched.
    pub fn cancel(&self, id: &RequestId) {
        let mut inner = self.lock();
        match inner.get(id) {
            Some(Entry::Running { cancel, .. }) => {
                cancel.send_replace(true);
            }
            Some(Entry::Pending(_)) => {
                let dropped = inner.remove(id);
                // The guard inside sends an event; no lock is held then.
                drop(inner);
                drop(dropped);
            }
            None => {}
        }
    }

    /// Drops a call that is over.
    pub fn remove(&self, id: &RequestId) {
        self.lock().remove(id);
    }

    /// Answers with what the key's call was answered before.
    pub fn replay(&self, id: &RequestId, stored: &StoredAnswer) {
        if let Some(Entry::Pending(call)) = self.lock().remove(id) {
            let mut caller = call.caller;
            caller.guard.disarm();
            let _ = caller.reply.send(answer::replayed(stored));
        }
    }

    /// Ends a call with a refusal: as the answer, or as the marked end of a stream.
    pub fn refuse(&self, id: &RequestId, refusal: &Refusal) {
        let caller = match self.lock().remove(id) {
            Some(Entry::Pending(call)) => Some(call.caller),
            Some(Entry::Running {
                caller: Some(caller),
                ..
            }) => Some(caller),
            Some(Entry::Running {
                chunks: Some(tx), ..
            }) => {
                end_stream(tx, refusal);
                None
            }
            _ => None,
        };
        if let Some(mut caller) = caller {
            caller.guard.disarm();
            let _ = caller.reply.send(answer::refusal(Some(id), refusal));
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Entry>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that can't be completed ends in a marked error and a broken connection,
/// so that no caller takes half an answer for a whole one.
fn end_stream(tx: ChunkSender, refusal: &Refusal) {
    let event = answer::error_event(refusal);
    tokio::spawn(async move {
        let _ = tx.send(Ok(event)).await;
        let _ = tx
            .send(Err(std::io::Error::other("the stream can't be completed")))
            .await;
    });
}
