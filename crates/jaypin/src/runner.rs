//! Carries out the reducer's effects; nothing here waits.

use std::sync::Arc;

use crossbeam::channel::Sender;
use jaypin_core::{CallProgress, Effect, Event, Record};
use tokio::sync::Notify;

use crate::backend_call::{self, Paces};
use crate::calls::Calls;
use crate::links::Links;

/// Everything that effects touch.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Calls of this host.
    pub calls: Arc<Calls>,
    /// How long backend servers are usually silent.
    pub paces: Arc<Paces>,
    /// Links to peers.
    pub links: Links,
    /// Where news goes.
    pub events: Sender<Event>,
    /// Told when nothing is left to do.
    pub exit: Arc<Notify>,
}

impl Runner {
    /// Carries out one effect.
    pub fn run(&self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                id, address, fence, ..
            } => {
                let Some((outbound, cancelled)) = self.calls.start(&id) else {
                    // The caller left and took the body along; the slot goes back.
                    let progress = CallProgress::NotSent;
                    let _ = self.events.send(Event::Call { id, progress });
                    return;
                };
                let call = backend_call::Call {
                    id,
                    address,
                    fence,
                    outbound,
                    cancelled,
                };
                tokio::spawn(backend_call::run(
                    call,
                    self.calls.clone(),
                    self.paces.clone(),
                    self.events.clone(),
                ));
            }
            Effect::Refuse { id, refusal } => self.calls.refuse(&id, &refusal),
            Effect::Replay { id, answer } => self.calls.replay(&id, &answer),
            Effect::Cancel(id) => self.calls.cancel(&id),
            Effect::Send { to, message } => self.links.send(&to, message),
            Effect::PollLoad { backend, address } => {
                tokio::spawn(backend_call::poll_load(
                    backend,
                    address,
                    self.events.clone(),
                ));
            }
            Effect::Record(record) => write_down(&record),
            Effect::Exit => self.exit.notify_one(),
        }
    }
}

fn write_down(record: &Record) {
    log::debug!(
        target: "jaypin::decision",
        request:% = record.id,
        account:% = record.account,
        after_us = u64::try_from(record.after.as_micros()).unwrap_or(u64::MAX),
        step:? = record.step;
        "decision"
    );
}
