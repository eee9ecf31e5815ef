//! Carries out the reducer's effects; nothing here waits.

use std::sync::Arc;

use crossbeam::channel::Sender;
use jaypin_core::{CallProgress, Effect, Event};
use tokio::sync::{Notify, watch};

use crate::backend_call::{self, Paces};
use crate::calls::Calls;
use crate::decisions::Decisions;
use crate::links::Links;
use crate::platform::read_rules;

/// Everything that effects touch.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Calls of this host.
    pub calls: Arc<Calls>,
    /// How long backend servers are usually silent.
    pub paces: Arc<Paces>,
    /// Links to peers.
    pub links: Links,
    /// Records of this host's requests.
    pub decisions: Arc<Decisions>,
    /// Where news goes.
    pub events: Sender<Event>,
    /// Whether this host holds the platform's watches.
    pub watching: watch::Sender<bool>,
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
            Effect::KeepLinks(peers) => self.links.keep(peers),
            Effect::WatchPlatform(on) => {
                self.watching.send_replace(on);
            }
            Effect::ParseRules { version, text } => {
                let events = self.events.clone();
                // Parsing the rules of 17,000 accounts takes a sixth of a second; the
                // reducer's thread must not stand still for it.
                tokio::task::spawn_blocking(move || {
                    for event in read_rules(version, &text) {
                        let _ = events.send(event);
                    }
                });
            }
            Effect::PollLoad { backend, address } => {
                tokio::spawn(backend_call::poll_load(
                    backend,
                    address,
                    self.events.clone(),
                ));
            }
            Effect::Record(record) => self.decisions.add(&record),
            Effect::Exit => self.exit.notify_one(),
        }
    }
}
