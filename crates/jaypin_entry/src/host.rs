//! What all tasks of a host share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use jaypin_core::Refusal;
use jaypin_router::{
    DecisionInputs, Effect, Event, RequestNumber, Requester, RolloutWrite, Router, Unrouted,
};
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{Instant, sleep_until};

use crate::calls::{ConnectionPool, SendOrder};
use crate::peers::PeerSocket;
use crate::ports::{HostSettings, Object, Platform};

/// What the task of a request is told to do next.
#[derive(Debug)]
pub enum Directive {
    /// Send it to a backend server.
    Send(SendOrder),
    /// Answer that the configuration does not allow it.
    Reject(Unrouted, DecisionInputs),
    /// Answer with a refusal.
    Refuse(Refusal, Option<Requester>, DecisionInputs),
    /// Answer with the failure that a backend server gave.
    ForwardFailure,
}

/// Where the reducer's word for one request waits for its task.
#[derive(Debug, Default)]
pub struct Mailbox {
    directive: RefCell<Option<Directive>>,
    arrived: Notify,
}

impl Mailbox {
    /// Waits for the next word.
    pub async fn next(&self) -> Directive {
        loop {
            if let Some(directive) = self.directive.borrow_mut().take() {
                return directive;
            }
            self.arrived.notified().await;
        }
    }

    fn put(&self, directive: Directive) {
        *self.directive.borrow_mut() = Some(directive);
        self.arrived.notify_one();
    }
}

/// One host: its reducer and everything that effects touch.
#[derive(Debug)]
pub struct Host {
    /// The adapter.
    pub platform: Rc<dyn Platform>,
    /// Settings at the start.
    pub settings: HostSettings,
    /// Connections to backend servers.
    pub connections: ConnectionPool,
    /// Reports to and from peers.
    pub peers: PeerSocket,
    router: RefCell<Router>,
    /// The configuration in use as the store has it, for peers that ask.
    configuration: RefCell<Option<Rc<Object>>>,
    mailboxes: RefCell<HashMap<RequestNumber, Rc<Mailbox>>>,
    next_number: Cell<RequestNumber>,
    planned_tick: Cell<Option<Instant>>,
    tick_rescheduled: Notify,
    rollout_writes: UnboundedSender<RolloutWrite>,
}

impl Host {
    /// Puts a host together.
    pub fn new(
        platform: Rc<dyn Platform>,
        settings: HostSettings,
        router: Router,
        peers: PeerSocket,
        rollout_writes: UnboundedSender<RolloutWrite>,
    ) -> Self {
        Self {
            platform,
            settings,
            connections: ConnectionPool::default(),
            peers,
            router: RefCell::new(router),
            configuration: RefCell::default(),
            mailboxes: RefCell::default(),
            next_number: Cell::new(1),
            planned_tick: Cell::new(None),
            tick_rescheduled: Notify::new(),
            rollout_writes,
        }
    }

    /// Gives an event to the reducer and carries out what it says.
    pub fn apply(&self, event: Event) {
        let now = Instant::now().into_std();
        let effects = self.router.borrow_mut().apply(now, event);
        for effect in effects {
            self.run_effect(effect);
        }
        let next_tick = self.next_tick();
        if self
            .planned_tick
            .get()
            .is_none_or(|planned| next_tick < planned)
        {
            self.planned_tick.set(Some(next_tick));
            self.tick_rescheduled.notify_one();
        }
    }

    /// Waits until the reducer wants to hear of time.
    pub async fn wait_for_tick(&self) {
        loop {
            let at = self.next_tick();
            self.planned_tick.set(Some(at));
            tokio::select! {
                () = sleep_until(at) => break,
                () = self.tick_rescheduled.notified() => {}
            }
        }
        self.planned_tick.set(None);
    }

    fn next_tick(&self) -> Instant {
        let now = Instant::now().into_std();
        self.router.borrow().next_tick(now).into()
    }

    /// Keeps the configuration in use as the store has it.
    pub fn set_configuration(&self, object: Object) {
        *self.configuration.borrow_mut() = Some(Rc::new(object));
    }

    /// The configuration in use as the store has it.
    pub fn configuration(&self) -> Option<Rc<Object>> {
        self.configuration.borrow().clone()
    }

    /// Looks at the decision state.
    pub fn read<T>(&self, read: impl FnOnce(&Router) -> T) -> T {
        read(&self.router.borrow())
    }

    /// Whether a request that was chosen for a backend server may still be sent there.
    pub fn may_send_to(&self, backend: &str) -> bool {
        let now = Instant::now().into_std();
        self.router.borrow().still_accepts(backend, now)
    }

    /// Opens the mailbox of a new request.
    pub fn open_mailbox(&self) -> (RequestNumber, Rc<Mailbox>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let mailbox = Rc::new(Mailbox::default());
        self.mailboxes.borrow_mut().insert(number, mailbox.clone());
        (number, mailbox)
    }

    /// Closes the mailbox of a request that is over.
    pub fn close_mailbox(&self, number: RequestNumber) {
        self.mailboxes.borrow_mut().remove(&number);
    }

    fn run_effect(&self, effect: Effect) {
        match effect {
            Effect::Send {
                number,
                backend,
                address,
                asked_by,
                repeat,
                first_event_timeout:
                silence,
                stall_timeout:
                longest_pause,
                deadline,
                inputs:
                grounds,
            } => {
                let order = SendOrder {
                    backend,
                    address,
                    asked_by,
                    repeat,
                    first_event_timeout:
                    silence,
                    event_gap_timeout:
                    longest_pause,
                    deadline: deadline.into(),
                    inputs:
                    grounds,
                };
                self.send_directive(number, Directive::Send(order));
            }
            Effect::Reject {
                number,
                reason,
                inputs:
                grounds,
            } => self.send_directive(number, Directive::Reject(reason, grounds)),
            Effect::Refuse {
                number,
                asked_by,
                refusal,
                inputs:
                grounds,
            } => self.send_directive(number, Directive::Refuse(refusal, asked_by, grounds)),
            Effect::ForwardFailure(number) => self.send_directive(number, Directive::ForwardFailure),
            Effect::WriteRollout(write) => self.queue_rollout_write(write),
            Effect::SendReport { to, report } => self.send_report(&to, &report),
        }
    }

    fn send_directive(&self, number: RequestNumber, directive: Directive) {
        if let Some(mailbox) = self.mailboxes.borrow().get(&number) {
            mailbox.put(directive);
        }
    }

    fn queue_rollout_write(&self, write: RolloutWrite) {
        if self.rollout_writes.send(write).is_err() {
            log::error!("the task that writes rollouts has ended");
        }
    }

    fn send_report(&self, to: &[SocketAddr], report: &jaypin_router::Report) {
        self.peers.send(to, report);
    }
}
