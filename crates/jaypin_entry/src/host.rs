//! State that is shared by all tasks of a host: the reducer, connections and per-request mailboxes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use jaypin_core::Refusal;
use jaypin_router::{
    BootTime, DecisionInputs, Effect, Event, RequestNumber, Requester, RolloutWrite, Router,
    SilentCall, Unrouted,
};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::admission::Admission;
use crate::boot_clock::boot_time;
use crate::calls::{ConnectionPool, Recipient, SendOrder};
use crate::peers::PeerSocket;
use crate::ports::{HostSettings, Object, Platform};
use crate::watch_progress::WatchProgress;

/// Time between two checks whether a host that was stalled knows the current entries.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(20);

/// The next step of a request, sent by the reducer to the task of the request.
#[derive(Debug)]
pub enum Directive {
    /// Send the request to a backend server or a peer.
    Send(SendOrder),
    /// Respond that the configuration has no route or no such credential.
    Reject(Unrouted, DecisionInputs),
    /// Respond with a refusal.
    Refuse(Refusal, Option<Requester>, DecisionInputs),
    /// Respond with the error response that a backend server returned.
    ForwardFailure,
}

/// Holds at most one directive of the reducer until the task of the request takes it.
#[derive(Debug, Default)]
pub struct Mailbox {
    directive: RefCell<Option<Directive>>,
    arrived: Notify,
}

impl Mailbox {
    /// Waits for the next directive.
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

/// One host: its reducer and the resources on which effects are carried out.
#[derive(Debug)]
pub struct Host {
    /// The adapter to the platform.
    pub platform: Rc<dyn Platform>,
    /// Settings as read at start.
    pub settings: HostSettings,
    /// Pooled connections to backend servers.
    pub connections: ConnectionPool,
    /// What callers make this host hold.
    pub admission: Admission,
    /// Socket for reports to and from peers.
    pub peers: PeerSocket,
    /// How far the watches of the store have come.
    pub watches: WatchProgress,
    router: RefCell<Router>,
    /// The store's object of the configuration in use, which is served to peers.
    configuration: RefCell<Option<Rc<Object>>>,
    mailboxes: RefCell<HashMap<RequestNumber, Rc<Mailbox>>>,
    next_number: Cell<RequestNumber>,
    /// When the requests that still run are ended, once this host drains.
    requests_end: watch::Sender<Option<Instant>>,
    planned_tick: Cell<Option<Instant>>,
    tick_rescheduled: Notify,
    rollout_writes: UnboundedSender<RolloutWrite>,
}

impl Host {
    /// Creates a host without a configuration and without requests.
    pub fn new(
        platform: Rc<dyn Platform>,
        settings: HostSettings,
        admission: Admission,
        router: Router,
        peers: PeerSocket,
        rollout_writes: UnboundedSender<RolloutWrite>,
    ) -> Self {
        Self {
            platform,
            admission,
            settings,
            connections: ConnectionPool::default(),
            peers,
            watches: WatchProgress::default(),
            router: RefCell::new(router),
            configuration: RefCell::default(),
            mailboxes: RefCell::default(),
            next_number: Cell::new(1),
            requests_end: watch::Sender::new(None),
            planned_tick: Cell::new(None),
            tick_rescheduled: Notify::new(),
            rollout_writes,
        }
    }

    /// Applies an event to the reducer and carries out the effects.
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

    /// Ends the requests that still run at a time.
    pub fn end_requests_at(&self, at: Instant) {
        self.requests_end.send_replace(Some(at));
    }

    /// Waits until the requests that still run are ended, because this host exits soon.
    pub async fn requests_end(&self) {
        let mut end = self.requests_end.subscribe();
        // The sender is not dropped before the host.
        let at = end.wait_for(Option::is_some).await.map(|at| *at);
        match at {
            Ok(Some(at)) => sleep_until(at).await,
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }

    /// Waits until the reducer's next tick is due.
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

    /// Sets the store's object of the configuration in use.
    pub fn set_configuration(&self, object: Object) {
        *self.configuration.borrow_mut() = Some(Rc::new(object));
    }

    /// Returns the store's object of the configuration in use, or `None` before the first one.
    pub fn configuration(&self) -> Option<Rc<Object>> {
        self.configuration.borrow().clone()
    }

    /// Reads the reducer's state.
    pub fn read<T>(&self, read: impl FnOnce(&Router) -> T) -> T {
        read(&self.router.borrow())
    }

    /// Waits while this host may lack leaves of backend servers because it was stalled. Returns the
    /// time at which it lacked none.
    ///
    /// Guards against a host that runs late: it finds requests and reports in its sockets, and would
    /// send requests to backend servers before it reads the reports of their leaves.
    pub async fn catch_up(&self) -> BootTime {
        loop {
            // Read before the check, so that a stall within it counts as one after it.
            let time = boot_time();
            if self.read(|router| router.is_tick_overdue(time)) {
                self.apply(Event::Tick(time));
            }
            if !self.read(Router::is_catching_up) {
                return time;
            }
            sleep(CATCH_UP_INTERVAL).await;
        }
    }

    /// Returns when a check of this time whether a backend server takes a request is outdated.
    pub fn outdated_at(&self, checked_at: BootTime) -> BootTime {
        checked_at.saturating_add(self.read(Router::long_stall))
    }

    /// Checks whether a request that was assigned to a backend server may still be sent there.
    pub fn may_send_to(&self, backend: &str) -> bool {
        let now = Instant::now().into_std();
        self.router.borrow().still_accepts(backend, now)
    }

    /// Decides what becomes of a call on which nothing arrives. If it ends, its end has to be
    /// applied before any other event.
    pub fn silent_call(
        &self,
        number: RequestNumber,
        silence: Duration,
        accepts_connections: bool,
    ) -> SilentCall {
        let now = Instant::now().into_std();
        let mut router = self.router.borrow_mut();
        router.silent_call(now, number, silence, accepts_connections)
    }

    /// Assigns a number to a new request and opens its mailbox.
    pub fn open_mailbox(&self) -> (RequestNumber, Rc<Mailbox>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let mailbox = Rc::new(Mailbox::default());
        self.mailboxes.borrow_mut().insert(number, mailbox.clone());
        (number, mailbox)
    }

    /// Closes the mailbox of a request that has ended.
    pub fn close_mailbox(&self, number: RequestNumber) {
        self.mailboxes.borrow_mut().remove(&number);
    }

    fn run_effect(&self, effect: Effect) {
        match effect {
            Effect::Send {
                number,
                backend,
                address,
                version,
                requester: asked_by,
                repeat,
                first_event_timeout,
                stall_timeout,
                deadline,
                inputs,
            } => {
                let order = SendOrder {
                    recipient: Recipient::Backend(backend),
                    address,
                    version: Some(version),
                    requester: asked_by,
                    repeat,
                    first_event_timeout,
                    stall_timeout,
                    deadline: deadline.into(),
                    inputs,
                };
                self.send_directive(number, Directive::Send(order));
            }
            Effect::PassOn {
                number,
                peer,
                address,
                requester,
                repeat,
                deadline,
                inputs,
            } => {
                let order = SendOrder {
                    recipient: Recipient::Peer(peer),
                    address: address.to_string(),
                    version: None,
                    requester,
                    repeat,
                    first_event_timeout: None,
                    stall_timeout: None,
                    deadline: deadline.into(),
                    inputs,
                };
                self.send_directive(number, Directive::Send(order));
            }
            Effect::Reject {
                number,
                reason,
                inputs,
            } => self.send_directive(number, Directive::Reject(reason, inputs)),
            Effect::Refuse {
                number,
                requester: asked_by,
                refusal,
                inputs,
            } => self.send_directive(number, Directive::Refuse(refusal, asked_by, inputs)),
            Effect::ForwardFailure(number) => {
                self.send_directive(number, Directive::ForwardFailure);
            }
            Effect::WriteRollout(write) => self.queue_rollout_write(write),
            Effect::BackendLeft {
                backend,
                state,
                source,
                known_age,
            } => {
                let known_ms = known_age.map(|it| it.as_millis());
                log::info!(backend, state:?, source:?, known_ms:?; "backend server leaves; sending it no further requests");
            }
            Effect::SendReport { to, report } => self.peers.send(&to, &report),
            Effect::SendStreamMessage { to, message } => {
                self.peers.send_stream_message(&to, &message);
            }
            Effect::SendAccountUse { to, account_use } => {
                self.peers.send_account_use(&to, &account_use);
            }
        }
    }

    fn send_directive(&self, number: RequestNumber, directive: Directive) {
        if let Some(mailbox) = self.mailboxes.borrow().get(&number) {
            mailbox.put(directive);
        }
    }

    fn queue_rollout_write(&self, write: RolloutWrite) {
        if self.rollout_writes.send(write).is_err() {
            log::error!("the rollout writer task has ended; a rollout state is not written");
        }
    }
}
