//! The scheduler of one shard: a single queue of requests and a single count of used slots.

mod estimate;
mod grants;
mod limits;
mod placement;
mod queue;
mod report;
mod running;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::prefix_index::PrefixIndex;
use crate::rule_index::RuleIndex;
use crate::{
    Ask, BackendId, BackendModel, BackendRecord, Config, GrantNumber, HostId, InFlight, LoadReport,
    Message, Presence, Reason, RequestId, Shard, SlotProgress, score,
};
use estimate::Demand;
use limits::AccountLimits;
use queue::{WaitingQueue, WaitingRequest};
use running::RunningTable;

pub use report::{BackendReport, BackendState, ShardReport};

/// A message with the host that it is to be sent to.
pub type OutgoingMessage = (HostId, Message);

/// The scheduler of one shard, on the host that leads the shard.
///
/// Its state is soft: a new leader rebuilds it from the owners' reports.
#[derive(Debug)]
pub struct Scheduler {
    /// The shard that it schedules.
    shard: Shard,
    /// Number of the last grant.
    number: GrantNumber,
    /// End of the rebuild window; nothing is granted before.
    ready_at: Instant,
    /// Number of waiting requests above which one is shed.
    max_waiting: usize,
    rng: ChaCha8Rng,
    rules: Arc<RuleIndex>,
    /// Whether the service has no streams and no prefill.
    is_plain: bool,
    backends: BTreeMap<BackendId, Backend>,
    queue: WaitingQueue,
    running: RunningTable,
    demand: Demand,
    limits: AccountLimits,
    /// Tokens that each tier, by rank, may still claim of its minimum share; negative for a
    /// debt.
    minimum_credit: BTreeMap<u8, f64>,
}

/// What the scheduler keeps about one backend server of the shard.
#[derive(Debug)]
struct Backend {
    model: BackendModel,
    prefixes: PrefixIndex,
}

impl Scheduler {
    /// Creates a scheduler that grants nothing until the rebuild window has passed, so that
    /// owners can report the requests that they have in flight.
    #[must_use]
    pub fn new(shard: Shard, cfg: &Config, rules: Arc<RuleIndex>, now: Instant) -> Self {
        let seed = cfg.seed ^ score(&cfg.host, &shard.to_string());
        Self {
            is_plain: rules.is_plain(&shard.service),
            shard,
            number: GrantNumber {
                incarnation: cfg.incarnation,
                sequence: 0,
            },
            ready_at: now + cfg.rebuild_window,
            max_waiting: cfg.max_waiting,
            rng: ChaCha8Rng::seed_from_u64(seed),
            rules,
            backends: BTreeMap::new(),
            queue: WaitingQueue::default(),
            running: RunningTable::default(),
            demand: Demand::default(),
            limits: AccountLimits::default(),
            minimum_credit: BTreeMap::new(),
        }
    }

    /// Applies a newer version of the rules.
    pub fn set_rules(&mut self, rules: Arc<RuleIndex>) {
        self.is_plain = rules.is_plain(&self.shard.service);
        self.rules = rules;
    }

    /// Applies the shard's backend servers from a newer host list; learned models are kept.
    pub fn set_backends<'a>(
        &mut self,
        records: impl Iterator<Item = &'a BackendRecord>,
        now: Instant,
    ) {
        let mut updated = BTreeMap::new();
        for record in records {
            let mut backend = self
                .backends
                .remove(&record.id)
                .unwrap_or_else(|| self.new_backend(record, now));
            backend.model.presence = record.presence;
            backend.model.slots = record.slots.max(1);
            updated.insert(record.id.clone(), backend);
        }
        self.backends = updated;
    }

    /// Creates the state of a backend server without history, counting requests that
    /// already run there on earlier grants.
    fn new_backend(&self, record: &BackendRecord, now: Instant) -> Backend {
        let mut model = BackendModel::new(record.slots, record.presence);
        for _ in 0..self.running.on_backend(&record.id) {
            model.adopt(now);
        }
        Backend {
            model,
            prefixes: PrefixIndex::default(),
        }
    }

    /// Applies a load report, which lags behind the actual load.
    pub fn apply_load_report(&mut self, report: &LoadReport, now: Instant) {
        if let Some(backend) = self.backends.get_mut(&report.backend) {
            backend.model.apply_load_report(report, now);
        }
    }

    /// Adopts the requests that an owner has running on grants of an earlier scheduler.
    pub fn adopt_in_flight(&mut self, owner: &HostId, entries: Vec<InFlight>, now: Instant) {
        for entry in entries {
            if self.running.contains(&entry.id) {
                continue;
            }
            if let Some(backend) = self.backends.get_mut(&entry.backend) {
                backend.model.adopt(now);
            }
            self.limits.record_start(&entry.account);
            self.running.adopt(owner, entry, now);
        }
    }

    /// Ends the rebuild window early because all owners have reported.
    pub fn end_rebuild(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        self.ready_at = self.ready_at.min(now);
        self.grant_waiting(now, out);
    }

    /// Removes the waiting requests of a lost owner. Its running requests stay counted
    /// until its backend servers had time to end them.
    pub fn mark_owner_lost(&mut self, owner: &HostId, now: Instant) {
        for id in self.queue.of_owner(owner) {
            self.queue.remove(&id);
        }
        self.running.mark_owner_lost(owner, now);
    }

    /// Accepts an owner again that was only unreachable, and has its grants confirmed.
    pub fn mark_owner_recovered(&mut self, owner: &HostId, now: Instant) {
        self.running.mark_owner_recovered(owner, now);
    }

    /// Queues, grants or refuses a request.
    ///
    /// A repeated slot request with a greater attempt number replaces the earlier one,
    /// whose grant the owner will not use. One with the same or a smaller number was
    /// duplicated or reordered in transit and is ignored.
    pub fn submit(
        &mut self,
        owner: &HostId,
        ask: Ask,
        now: Instant,
        out: &mut Vec<OutgoingMessage>,
    ) {
        if self.is_stale(&ask) {
            return;
        }
        let id = ask.id.clone();
        self.queue.remove(&id);
        self.release(&id, now);
        let waiting = self.new_waiting(owner, ask, now);
        if let Some(wait) = self.charge_limits(&waiting.ask, now) {
            let line = self.rules.limit(&waiting.ask.account);
            let line = line.map(|limit| limit.origin.line);
            return self.refuse_after(&waiting, Reason::OverLimit, wait, line, out);
        }
        self.record_arrival(&waiting, now);
        let share = self.rules.share(&waiting.ask.account);
        self.queue.push(waiting, share);
        self.grant_waiting(now, out);
        if self.queue.get(&id).is_some() {
            self.queue_or_refuse(&id, now, out);
        }
    }

    /// Returns whether a slot request is not newer than the one already known.
    fn is_stale(&self, ask: &Ask) -> bool {
        let waiting = self.queue.get(&ask.id).map(|waiting| waiting.ask.attempt);
        let granted = self.running.attempt(&ask.id);
        waiting
            .or(granted)
            .is_some_and(|attempt| ask.attempt <= attempt)
    }

    /// Keeps a request that can't start now in the queue, unless it would miss its
    /// deadline. If the queue is full, the request with the lowest priority is refused.
    fn queue_or_refuse(&mut self, id: &RequestId, now: Instant, out: &mut Vec<OutgoingMessage>) {
        let Some(waiting) = self.queue.get(id) else {
            return;
        };
        if now >= self.ready_at && self.would_miss_deadline(waiting, now) {
            if let Some(waiting) = self.queue.remove(id) {
                self.refuse(&waiting, Reason::TooLate, now, out);
            }
            return;
        }
        if self.queue.len() > self.max_waiting
            && let Some(shed) = self.queue.pop_lowest_priority()
        {
            self.refuse(&shed, Reason::Shed, now, out);
        }
        if let Some(waiting) = self.queue.get(id) {
            let expected_wait = self.expected_wait(waiting.ask.tier, now);
            let queued = Message::Queued {
                id: id.clone(),
                attempt: waiting.ask.attempt,
                expected_wait,
            };
            out.push((waiting.owner.clone(), queued));
        }
    }

    /// Removes a waiting request.
    pub fn withdraw(&mut self, id: &RequestId) {
        self.queue.remove(id);
    }

    /// Records the progress of a granted request, and grants its slot again once it is
    /// free.
    pub fn apply_progress(
        &mut self,
        id: &RequestId,
        number: GrantNumber,
        progress: SlotProgress,
        now: Instant,
        out: &mut Vec<OutgoingMessage>,
    ) {
        if !self.running.has_grant(id, number) {
            return;
        }
        match progress {
            SlotProgress::FirstToken { .. } => self.record_first_token(id, now),
            SlotProgress::Returned => self.release(id, now),
            SlotProgress::NotReached => {
                self.record_loss(id, now);
                self.release(id, now);
            }
            SlotProgress::Finished {
                tokens,
                after,
                lost,
            } => {
                if lost {
                    self.record_loss(id, now);
                } else {
                    self.record_end(id, tokens, after, now);
                }
                self.release(id, now);
            }
        }
        self.grant_waiting(now, out);
    }

    /// Has overdue grants confirmed, refuses waiting requests that can't meet their
    /// deadlines any more, and grants free slots.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        self.check_running(now, out);
        if now >= self.ready_at {
            while let Some(late) = self.queue.pop_late(now) {
                self.refuse(&late, Reason::TooLate, now, out);
            }
        }
        self.grant_waiting(now, out);
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns the learned model of a backend server.
    #[must_use]
    pub fn model(&self, backend: &str) -> Option<&BackendModel> {
        self.backends.get(backend).map(|backend| &backend.model)
    }

    fn new_waiting(&self, owner: &HostId, ask: Ask, now: Instant) -> WaitingRequest {
        let answer_tokens = if self.is_plain { 0 } else { ask.max_tokens };
        let mut waiting = WaitingRequest {
            owner: owner.clone(),
            ask,
            queued_at: now,
            answer_tokens,
            latest_start: now,
        };
        waiting.latest_start = now + self.time_to_latest_start(&waiting);
        waiting
    }

    fn record_first_token(&mut self, id: &RequestId, now: Instant) {
        let Some(grant) = self.running.get_mut(id) else {
            return;
        };
        if grant.first_token_at.replace(now).is_some() {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&grant.backend) {
            backend.model.record_first_token(grant.number.sequence, now);
            grant.stream_seconds_at_first_token = backend.model.token_gaps.stream_seconds_at(now);
        }
    }

    fn record_end(&mut self, id: &RequestId, tokens: u32, after: Duration, now: Instant) {
        let Some(grant) = self.running.get(id) else {
            return;
        };
        self.demand
            .record_hold_time(now.saturating_duration_since(grant.granted_at));
        let (Some(backend), Some(first)) =
            (self.backends.get_mut(&grant.backend), grant.first_token_at)
        else {
            return;
        };
        let since_grant = now.saturating_duration_since(grant.granted_at);
        let streaming = now
            .saturating_duration_since(first)
            .saturating_sub(since_grant.saturating_sub(after));
        let streams = (backend.model.token_gaps.stream_seconds_at(now)
            - grant.stream_seconds_at_first_token)
            / now.saturating_duration_since(first).as_secs_f64().max(1e-3);
        let gaps = tokens.saturating_sub(1);
        backend
            .model
            .token_gaps
            .record_stream(gaps, streaming.as_secs_f64(), streams);
    }

    fn record_loss(&mut self, id: &RequestId, now: Instant) {
        let Some(grant) = self.running.get(id) else {
            return;
        };
        if let Some(backend) = self.backends.get_mut(&grant.backend) {
            backend.model.record_loss(now);
            backend.prefixes.clear();
        }
    }

    /// Removes a request's grant and frees its slot.
    fn release(&mut self, id: &RequestId, now: Instant) {
        let Some(grant) = self.running.remove(id) else {
            return;
        };
        self.limits.record_end(&grant.account);
        if let Some(backend) = self.backends.get_mut(&grant.backend) {
            backend.model.record_end(grant.number.sequence, now);
        }
    }

    /// Asks the owners of overdue grants whether they still use them, and frees the grants
    /// of lost owners.
    ///
    /// Slots would otherwise stay counted forever when a grant or a final report is lost
    /// with a link, or when an owner crashes. Owners reply from their own tables, so no
    /// running request loses its slot.
    fn check_running(&mut self, now: Instant, out: &mut Vec<OutgoingMessage>) {
        while let Some(due) = self.running.pop_due(now) {
            match due {
                running::DueCheck::Free(id) => self.release(&id, now),
                running::DueCheck::Confirm { owner, id, number } => {
                    let shard = self.shard.clone();
                    let confirm = Message::Confirm { shard, id, number };
                    out.push((owner, confirm));
                }
            }
        }
    }

    /// Returns the backend servers that the host list marks as live.
    fn live_backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends
            .values()
            .filter(|backend| backend.model.presence == Presence::Live)
    }
}
