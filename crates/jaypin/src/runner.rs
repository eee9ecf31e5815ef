//! Executes the effects that the reducer returns, without blocking its thread.

use std::sync::Arc;

use crossbeam::channel::Sender;
use jaypin_core::{CallProgress, Effect, Event};
use tokio::sync::{Notify, watch};

use crate::backend_call::{self, LatencyEstimates};
use crate::calls::Calls;
use crate::decisions::Decisions;
use crate::links::Links;
use crate::platform::parse_rules;

/// Executes effects, with handles to every component that an effect acts on.
#[derive(Debug, Clone)]
pub struct EffectRunner {
    /// Unfinished calls of this host.
    pub calls: Arc<Calls>,
    /// Latency estimates of backend servers, from which timeouts follow.
    pub latencies: Arc<LatencyEstimates>,
    /// Links to peers.
    pub links: Links,
    /// Decision records of this host's requests.
    pub decisions: Arc<Decisions>,
    /// Channel that carries events to the reducer.
    pub events: Sender<Event>,
    /// Set to whether this host watches the platform.
    pub watching: watch::Sender<bool>,
    /// Notified when the drain is complete and the process can exit.
    pub exit: Arc<Notify>,
}

impl EffectRunner {
    /// Executes one effect.
    pub fn run(&self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                id, address, fence, ..
            } => {
                let Some((outbound, cancelled)) = self.calls.start(&id) else {
                    // The caller disconnected, which dropped the body; reporting the call as
                    // not sent returns the slot.
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
                    self.latencies.clone(),
                    self.events.clone(),
                ));
            }
            Effect::Refuse { id, refusal } => self.calls.refuse(&id, &refusal),
            Effect::Replay { id, answer } => self.calls.replay(&id, &answer),
            Effect::Cancel(id) => self.calls.cancel(&id),
            Effect::Send { to, message } => self.links.send(&to, message),
            Effect::KeepLinks(peers) => self.links.set_permanent_peers(peers),
            Effect::WatchPlatform(on) => {
                self.watching.send_replace(on);
            }
            Effect::ParseRules { version, text } => {
                let events = self.events.clone();
                // Parsing the rules of 17,000 accounts takes a sixth of a second, which
                // would stall the reducer's thread.
                tokio::task::spawn_blocking(move || {
                    for event in parse_rules(version, &text) {
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
