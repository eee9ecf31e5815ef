//! The one reducer over all events of a host.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_rules::RuleSet;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::baseline::Baseline;
use crate::owner::Owner;
use crate::request::{Dispatched, Granted, Request, Slot, Waiting};
use crate::scheduler::{Letter, Scheduler};
use crate::{
    Ask, CallOutcome, CallProgress, Candidate, Config, Effect, Event, Grant, HostId, HostList,
    LoadReport, Membership, Message, Policy, Ran, Reason, Record, Refusal, RequestId, RequestInfo,
    Shard, SlotProgress, Step,
};

/// Time after which a refused caller may come back, where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The decision state of one host.
#[derive(Debug)]
pub struct Reducer {
    cfg: Config,
    rng: ChaCha8Rng,
    rules_version: u64,
    rules: Arc<RuleSet>,
    membership: Membership,
    owner: Owner,
    schedulers: BTreeMap<Shard, Scheduler>,
    baseline: Baseline,
    next_poll: Option<Instant>,
    draining: bool,
    exited: bool,
    inbox: VecDeque<Message>,
}

/// Counts for status pages and metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Version of the rules in force; 0 before any were read.
    pub rules_version: u64,
    /// Version of the host list in use; 0 before one was read.
    pub hosts_version: u64,
    /// Shards that this host leads.
    pub shards_led: usize,
    /// Requests of this host that wait.
    pub waiting: usize,
    /// Requests of this host that run.
    pub running: usize,
    /// Requests that wait in the shards that this host leads.
    pub queued_here: usize,
    /// Requests that run on slots granted by the shards that this host leads.
    pub granted_here: usize,
    /// Whether the host is shutting down.
    pub draining: bool,
}

impl Reducer {
    /// Starts with nothing known.
    #[must_use]
    pub fn new(cfg: Config) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            cfg,
            rules_version: 0,
            rules: Arc::default(),
            membership: Membership::default(),
            owner: Owner::default(),
            schedulers: BTreeMap::new(),
            baseline: Baseline::default(),
            next_poll: None,
            draining: false,
            exited: false,
            inbox: VecDeque::new(),
        }
    }

    /// Takes one event and says what is to be done.
    ///
    /// Same events, same seed, same effects.
    pub fn apply(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut fx = Vec::new();
        self.take(now, event, &mut fx);
        while let Some(message) = self.inbox.pop_front() {
            let from = self.cfg.host.clone();
            self.take(now, Event::Link { from, message }, &mut fx);
        }
        fx
    }

    /// Counts for status pages and metrics.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            rules_version: self.rules_version,
            hosts_version: self.membership.list().version,
            shards_led: self.schedulers.len(),
            waiting: self.owner.waiting.len(),
            running: self.owner.dispatched.len(),
            queued_here: self.schedulers.values().map(Scheduler::waiting_count).sum(),
            granted_here: self.schedulers.values().map(Scheduler::running_count).sum(),
            draining: self.draining,
        }
    }

    /// This host's view of hosts and backend servers.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    fn take(&mut self, now: Instant, event: Event, fx: &mut Vec<Effect>) {
        match event {
            Event::Arrived(info) => self.arrived(now, info, fx),
            Event::CallerGone(id) => self.caller_gone(&id, fx),
            Event::Call { id, progress } => self.call(now, &id, progress, fx),
            Event::Load(report) => self.load(&report),
            Event::Link { from, message } => self.message(now, &from, message, fx),
            Event::PeerLost(host) => self.peer_lost(now, &host, fx),
            Event::PeerBack(host) => self.peer_back(now, &host, fx),
            Event::Hosts(list) => self.hosts(now, list, fx),
            Event::Rules { version, rules } => self.rules(version, rules),
            Event::Drain => self.draining = true,
            Event::Tick => self.tick(now, fx),
        }
    }

    // ------------------------------------------------------------------ knowledge

    fn rules(&mut self, version: u64, rules: Arc<RuleSet>) {
        // Stale platform copies and late peers offer old versions; the greater one stays,
        // so an accepted rule file never reverts.
        if version > self.rules_version {
            self.rules_version = version;
            self.rules = rules;
        }
    }

    fn hosts(&mut self, now: Instant, list: HostList, fx: &mut Vec<Effect>) {
        if self.membership.update(list, &self.cfg) {
            self.view_changed(now, fx);
        }
    }

    fn peer_lost(&mut self, now: Instant, host: &HostId, fx: &mut Vec<Effect>) {
        if self.membership.lose(host) {
            for scheduler in self.schedulers.values_mut() {
                scheduler.forget_owner(host);
            }
            self.view_changed(now, fx);
        }
    }

    fn peer_back(&mut self, now: Instant, host: &HostId, fx: &mut Vec<Effect>) {
        if self.membership.regain(host) {
            self.view_changed(now, fx);
        }
    }

    fn load(&mut self, report: &LoadReport) {
        self.baseline.report(report);
        for scheduler in self.schedulers.values_mut() {
            scheduler.report(report);
        }
    }

    /// Takes up and lays down shards, and tells new leaders what runs here.
    fn view_changed(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let led: Vec<Shard> = self
            .membership
            .shards()
            .iter()
            .map(|(shard, _)| shard)
            .filter(|shard| self.membership.leader(shard) == Some(&self.cfg.host))
            .cloned()
            .collect();
        self.schedulers.retain(|shard, _| led.contains(shard));
        for shard in led {
            let scheduler = self
                .schedulers
                .entry(shard.clone())
                .or_insert_with(|| Scheduler::new(shard.clone(), &self.cfg, now));
            let members = self.membership.shards().members(&shard);
            scheduler.set_backends(members.iter().filter_map(|id| self.membership.backend(id)));
        }
        self.report_in_flight(fx);
        self.ask_new_leaders(now, fx);
    }

    fn report_in_flight(&mut self, fx: &mut Vec<Effect>) {
        let moved: Vec<(Shard, HostId)> = self
            .membership
            .shards()
            .iter()
            .filter_map(|(shard, _)| Some((shard.clone(), self.membership.leader(shard)?.clone())))
            .collect();
        for (shard, leader) in moved {
            if self.move_grants(&shard, &leader) {
                let running = self.owner.in_flight(&shard);
                self.send(&leader, Message::InFlight { shard, running }, fx);
            }
        }
    }

    /// Points running requests of a shard to its leader; says whether any moved.
    fn move_grants(&mut self, shard: &Shard, leader: &HostId) -> bool {
        let mut moved = false;
        for request in self.owner.dispatched.values_mut() {
            if let Some((of, host, _)) = &mut request.state.slot.grant
                && of == shard
                && host != leader
            {
                *host = leader.clone();
                moved = true;
            }
        }
        moved
    }

    fn ask_new_leaders(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let moved: Vec<RequestId> = self
            .owner
            .waiting
            .iter()
            .filter(|(_, request)| {
                self.membership.leader(&request.state.shard) != Some(&request.state.leader)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in moved {
            self.ask_again(now, &id, fx);
        }
    }

    // ------------------------------------------------------------------ arrival

    fn arrived(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        self.record_arrival(&info, fx);
        if self.draining {
            let refusal = Refusal::not_run(Reason::Draining).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        }
        if self.rules_version == 0 || !self.membership.is_known() {
            let refusal = Refusal::not_run(Reason::NotReady).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        }
        match self.cfg.policy {
            Policy::Grants => self.ask_first(now, info, fx),
            Policy::Baseline => self.choose_alone(now, info, fx),
        }
    }

    fn choose_alone(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        let backends = self.membership.list().backends.iter();
        let of_service = backends.filter(|record| record.service == info.service);
        let Some(record) = self.baseline.pick(of_service, &mut self.rng) else {
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        };
        let slot = Slot {
            backend: record.id.clone(),
            grant: None,
        };
        let request = Request::<Granted>::chosen(info, now, slot);
        self.dispatch(now, request, Vec::new(), fx);
    }

    fn ask_first(&mut self, now: Instant, info: RequestInfo, fx: &mut Vec<Effect>) {
        let Some((shard, leader)) = self.choose_shard(&info) else {
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&info, Duration::ZERO, refusal, fx);
        };
        let state = Waiting {
            shard,
            leader,
            attempt: 1,
            asked_at: now,
            queued: false,
        };
        let request = Request {
            info,
            arrived_at: now,
            state,
        };
        self.send_ask(now, &request, fx);
        self.owner.waiting.insert(request.info.id.clone(), request);
    }

    fn choose_shard(&mut self, info: &RequestInfo) -> Option<(Shard, HostId)> {
        let shards: Vec<&Shard> = self.membership.shards().of_service(&info.service).collect();
        if shards.is_empty() {
            return None;
        }
        let shard = shards[self.rng.random_range(0..shards.len())].clone();
        let leader = self.membership.leader(&shard)?.clone();
        Some((shard, leader))
    }

    fn ask_again(&mut self, now: Instant, id: &RequestId, fx: &mut Vec<Effect>) {
        let Some(mut request) = self.owner.waiting.remove(id) else {
            return;
        };
        let Some((shard, leader)) = self.choose_shard(&request.info) else {
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            let after = now.duration_since(request.arrived_at);
            return self.refuse(&request.info, after, refusal, fx);
        };
        let old = request.state;
        let withdraw = Message::Withdraw {
            shard: old.shard,
            id: id.clone(),
        };
        self.send(&old.leader, withdraw, fx);
        request.state = Waiting {
            shard,
            leader,
            attempt: old.attempt + 1,
            asked_at: now,
            queued: false,
        };
        self.send_ask(now, &request, fx);
        self.owner.waiting.insert(id.clone(), request);
    }

    fn send_ask(&mut self, now: Instant, request: &Request<Waiting>, fx: &mut Vec<Effect>) {
        let (info, state) = (&request.info, &request.state);
        let spent = now.duration_since(request.arrived_at);
        let ask = Ask {
            shard: state.shard.clone(),
            id: info.id.clone(),
            attempt: state.attempt,
            tier: info.tier,
            account: info.account.clone(),
            prompt_tokens: info.prompt_tokens,
            max_tokens: info.max_tokens,
            first_token_in: info.first_token.saturating_sub(spent),
            whole_in: info.whole.saturating_sub(spent),
            prefixes: info.prefixes.clone(),
        };
        let step = Step::Asked {
            shard: state.shard.clone(),
            leader: state.leader.clone(),
            attempt: state.attempt,
        };
        record(info, spent, step, fx);
        let leader = state.leader.clone();
        self.send(&leader, Message::Ask(ask), fx);
    }

    // ------------------------------------------------------------------ messages

    fn message(&mut self, now: Instant, from: &HostId, message: Message, fx: &mut Vec<Effect>) {
        match message {
            Message::Ask(ask) => self.asked(now, from, ask, fx),
            Message::Queued { id, attempt } => self.queued(&id, attempt),
            Message::Grant(grant) => self.granted(now, from, grant, fx),
            Message::Refused {
                id,
                attempt,
                refusal,
            } => {
                self.refused(now, &id, attempt, refusal, fx);
            }
            Message::NotLeader { id, attempt } => self.not_leader(&id, attempt),
            Message::Withdraw { shard, id } => {
                if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                    scheduler.withdraw(&id);
                }
            }
            Message::Progress {
                shard,
                id,
                number,
                progress,
            } => {
                let mut out = Vec::new();
                if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                    scheduler.progress(&id, number, progress, now, &mut out);
                }
                self.send_all(out, fx);
            }
            Message::InFlight { shard, running } => {
                if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                    scheduler.in_flight(running);
                }
            }
        }
    }

    fn asked(&mut self, now: Instant, from: &HostId, ask: Ask, fx: &mut Vec<Effect>) {
        let mut out = Vec::new();
        if let Some(scheduler) = self.schedulers.get_mut(&ask.shard) {
            scheduler.ask(from, ask, now, &mut out);
        } else {
            let answer = Message::NotLeader {
                id: ask.id,
                attempt: ask.attempt,
            };
            out.push((from.clone(), answer));
        }
        self.send_all(out, fx);
    }

    fn queued(&mut self, id: &RequestId, attempt: u32) {
        if let Some(request) = self.owner.waiting.get_mut(id)
            && request.state.attempt == attempt
        {
            request.state.queued = true;
        }
    }

    /// The views differ for a moment; the ask timeout asks again by the newer view.
    fn not_leader(&mut self, id: &RequestId, attempt: u32) {
        if let Some(request) = self.owner.waiting.get_mut(id)
            && request.state.attempt == attempt
        {
            request.state.queued = false;
        }
    }

    fn granted(&mut self, now: Instant, from: &HostId, grant: Grant, fx: &mut Vec<Effect>) {
        let wanted = self
            .owner
            .waiting
            .get(&grant.id)
            .is_some_and(|request| request.state.attempt == grant.attempt);
        let Some(request) = wanted
            .then(|| self.owner.waiting.remove(&grant.id))
            .flatten()
        else {
            // The caller left or the request asked elsewhere meanwhile: the slot goes back.
            let back = Message::Progress {
                shard: grant.shard,
                id: grant.id,
                number: grant.number,
                progress: SlotProgress::Returned,
            };
            return self.send(from, back, fx);
        };
        let slot = Slot {
            backend: grant.backend,
            grant: Some((grant.shard, from.clone(), grant.number)),
        };
        self.dispatch(now, request.grant(slot), grant.candidates, fx);
    }

    fn refused(
        &mut self,
        now: Instant,
        id: &RequestId,
        attempt: u32,
        refusal: Refusal,
        fx: &mut Vec<Effect>,
    ) {
        let wanted = self
            .owner
            .waiting
            .get(id)
            .is_some_and(|request| request.state.attempt == attempt);
        if !wanted {
            return;
        }
        if let Some(request) = self.owner.waiting.remove(id) {
            self.refuse(
                &request.info,
                now.duration_since(request.arrived_at),
                refusal,
                fx,
            );
        }
    }

    // ------------------------------------------------------------------ calls

    fn dispatch(
        &mut self,
        now: Instant,
        request: Request<Granted>,
        candidates: Vec<Candidate>,
        fx: &mut Vec<Effect>,
    ) {
        let request = request.dispatch(now);
        let slot = &request.state.slot;
        let id = request.info.id.clone();
        let Some(record_of) = self.membership.backend(&slot.backend) else {
            // The list changed between grant and dispatch; nothing was sent.
            self.return_slot(&request, fx);
            let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
            return self.refuse(&request.info, elapsed(&request, now), refusal, fx);
        };
        let fence = slot.grant.as_ref().map(|(_, _, number)| *number);
        let step = Step::Dispatched {
            backend: slot.backend.clone(),
            grant: fence,
            candidates,
        };
        record(&request.info, elapsed(&request, now), step, fx);
        fx.push(Effect::Dispatch {
            id: id.clone(),
            backend: slot.backend.clone(),
            address: record_of.address.clone(),
            fence,
        });
        self.owner.dispatched.insert(id, request);
    }

    fn call(&mut self, now: Instant, id: &RequestId, progress: CallProgress, fx: &mut Vec<Effect>) {
        match progress {
            CallProgress::Sent => {
                if let Some(request) = self.owner.dispatched.get_mut(id) {
                    request.state.sent = true;
                }
            }
            CallProgress::FirstToken => self.first_token(now, id, fx),
            CallProgress::NotSent => self.not_sent(now, id, fx),
            CallProgress::Finished { tokens, outcome } => {
                self.finished(now, id, tokens, outcome, fx);
            }
        }
    }

    fn first_token(&mut self, now: Instant, id: &RequestId, fx: &mut Vec<Effect>) {
        let Some(request) = self.owner.dispatched.get_mut(id) else {
            return;
        };
        request.state.first_token_at = Some(now);
        let after = now.duration_since(request.state.at);
        record(
            &request.info,
            now.duration_since(request.arrived_at),
            Step::FirstToken,
            fx,
        );
        let progress = SlotProgress::FirstToken { after };
        if let Some((leader, message)) = slot_message(request, progress) {
            self.send(&leader, message, fx);
        }
    }

    /// The connection was refused: no byte left, so the request was not run.
    fn not_sent(&mut self, now: Instant, id: &RequestId, fx: &mut Vec<Effect>) {
        let Some(request) = self.owner.dispatched.remove(id) else {
            return;
        };
        self.return_slot(&request, fx);
        let refusal = Refusal::not_run(Reason::NoBackend).retry_after(DEFAULT_RETRY_AFTER);
        self.refuse(&request.info, elapsed(&request, now), refusal, fx);
    }

    fn finished(
        &mut self,
        now: Instant,
        id: &RequestId,
        tokens: u32,
        outcome: CallOutcome,
        fx: &mut Vec<Effect>,
    ) {
        let Some(request) = self.owner.dispatched.remove(id) else {
            return;
        };
        let step = Step::Finished { tokens, outcome };
        record(&request.info, elapsed(&request, now), step, fx);
        let progress = SlotProgress::Finished {
            tokens,
            after: now.duration_since(request.state.at),
            lost: outcome == CallOutcome::Lost,
        };
        if let Some((leader, message)) = slot_message(&request, progress) {
            self.send(&leader, message, fx);
        }
        let refusal = match outcome {
            CallOutcome::Complete | CallOutcome::Cancelled => return,
            CallOutcome::Lost => Refusal::after_dispatch(Reason::BackendLost, Ran::Unknown),
            CallOutcome::Failed => Refusal::after_dispatch(Reason::BackendFailed, Ran::Ran),
        };
        self.refuse(&request.info, elapsed(&request, now), refusal, fx);
    }

    fn return_slot(&mut self, request: &Request<Dispatched>, fx: &mut Vec<Effect>) {
        if let Some((leader, message)) = slot_message(request, SlotProgress::Returned) {
            self.send(&leader, message, fx);
        }
    }

    fn caller_gone(&mut self, id: &RequestId, fx: &mut Vec<Effect>) {
        if let Some(request) = self.owner.waiting.remove(id) {
            let Waiting { shard, leader, .. } = request.state;
            self.send(
                &leader,
                Message::Withdraw {
                    shard,
                    id: id.clone(),
                },
                fx,
            );
        }
        fx.push(Effect::Cancel(id.clone()));
    }

    // ------------------------------------------------------------------ time

    fn tick(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let mut out = Vec::new();
        for scheduler in self.schedulers.values_mut() {
            scheduler.tick(now, &mut out);
        }
        self.send_all(out, fx);
        self.ask_overdue(now, fx);
        self.poll_loads(now, fx);
        if self.draining && self.owner.is_idle() && !self.exited {
            self.exited = true;
            fx.push(Effect::Exit);
        }
    }

    /// Guards against a shard scheduler that died or never got the ask: nothing was
    /// dispatched, so asking again, at its successor, is safe.
    fn ask_overdue(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        let mut overdue = Vec::new();
        let mut late = Vec::new();
        for (id, request) in &self.owner.waiting {
            if now.duration_since(request.arrived_at) >= request.info.first_token {
                late.push(id.clone());
            } else if !request.state.queued
                && now.duration_since(request.state.asked_at) >= self.cfg.ask_timeout
            {
                overdue.push(id.clone());
            }
        }
        for id in overdue {
            self.ask_again(now, &id, fx);
        }
        for id in late {
            self.too_late(now, &id, fx);
        }
    }

    fn too_late(&mut self, now: Instant, id: &RequestId, fx: &mut Vec<Effect>) {
        let Some(request) = self.owner.waiting.remove(id) else {
            return;
        };
        let Waiting {
            shard,
            leader,
            queued,
            ..
        } = request.state;
        self.send(
            &leader,
            Message::Withdraw {
                shard,
                id: id.clone(),
            },
            fx,
        );
        let reason = if queued {
            Reason::TooLate
        } else {
            Reason::NoScheduler
        };
        let refusal = Refusal::not_run(reason).retry_after(DEFAULT_RETRY_AFTER);
        self.refuse(
            &request.info,
            now.duration_since(request.arrived_at),
            refusal,
            fx,
        );
    }

    fn poll_loads(&mut self, now: Instant, fx: &mut Vec<Effect>) {
        if self.next_poll.is_some_and(|at| now < at) {
            return;
        }
        self.next_poll = Some(now + self.cfg.report_interval);
        for record in &self.membership.list().backends {
            let shard = self.membership.shards().shard_of(&record.id);
            let led = shard.is_some_and(|shard| self.schedulers.contains_key(shard));
            if led || self.cfg.policy == Policy::Baseline {
                fx.push(Effect::PollLoad {
                    backend: record.id.clone(),
                    address: record.address.clone(),
                });
            }
        }
    }

    // ------------------------------------------------------------------ effects

    fn send(&mut self, to: &HostId, message: Message, fx: &mut Vec<Effect>) {
        if *to == self.cfg.host {
            self.inbox.push_back(message);
        } else {
            fx.push(Effect::Send {
                to: to.clone(),
                message,
            });
        }
    }

    fn send_all(&mut self, letters: Vec<Letter>, fx: &mut Vec<Effect>) {
        for (to, message) in letters {
            self.send(&to, message, fx);
        }
    }

    fn record_arrival(&self, info: &RequestInfo, fx: &mut Vec<Effect>) {
        let step = Step::Arrived {
            tier: info.tier,
            rule_lines: info.rule_lines.clone(),
            rules_version: self.rules_version,
        };
        record(info, Duration::ZERO, step, fx);
    }

    #[expect(clippy::unused_self, reason = "all refusals go through the reducer")]
    fn refuse(
        &mut self,
        info: &RequestInfo,
        after: Duration,
        refusal: Refusal,
        fx: &mut Vec<Effect>,
    ) {
        record(info, after, Step::Refused(refusal.clone()), fx);
        fx.push(Effect::Refuse {
            id: info.id.clone(),
            refusal,
        });
    }
}

fn elapsed(request: &Request<Dispatched>, now: Instant) -> Duration {
    now.duration_since(request.arrived_at)
}

fn record(info: &RequestInfo, after: Duration, step: Step, fx: &mut Vec<Effect>) {
    let (id, account) = (info.id.clone(), info.account.clone());
    fx.push(Effect::Record(Record {
        id,
        account,
        after,
        step,
    }));
}

/// The message that tells a request's shard scheduler what became of its slot.
fn slot_message(
    request: &Request<Dispatched>,
    progress: SlotProgress,
) -> Option<(HostId, Message)> {
    let (shard, leader, number) = request.state.slot.grant.clone()?;
    let id = request.info.id.clone();
    Some((
        leader,
        Message::Progress {
            shard,
            id,
            number,
            progress,
        },
    ))
}
