//! Carries out the reducer's effects; nothing here waits.

use std::sync::Arc;

use crossbeam::channel::Sender;
use jaypin_core::{Effect, Event};
use tokio::sync::{Notify, watch};

use crate::backend_call;
use crate::calls::Calls;
use crate::decisions::Decisions;
use crate::links::Links;
use crate::platform::read_rules;

/// Everything that effects touch.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Calls of this host.
    pub calls: Arc<Calls>,
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
                    self.events.clone(),
                ));
            }
            Effect::Refuse { id, refusal } => self.calls.refuse(&id, &refusal),
            Effect::Cancel(id) => self.calls.cancel(&id),
            Effect::Send { to, message } => self.links.send(&to, message),
            Effect::KeepLinks(peers) => self.links.keep(peers),
            Effect::Watch(on) => {
                self.watching.send_replace(on);
            }
            Effect::ReadRules { version, text } => {
                for event in read_rules(version, &text) {
                    let _ = self.events.send(event);
                }
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
