//! The single counter and single queue of one shard.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::{
    Ask, BackendId, BackendModel, BackendRecord, Candidate, Config, Grant, GrantNumber, HostId,
    InFlight, LoadReport, Message, Reason, Refusal, RequestId, Shard, SlotProgress,
};

/// Backend servers named in a grant's explanation.
const EXPLAINED_CANDIDATES: usize = 3;

/// A message to a host, as schedulers produce them.
pub type Letter = (HostId, Message);

/// The scheduler of one shard; soft state on the host that leads it.
#[derive(Debug)]
pub struct Scheduler {
    shard: Shard,
    number: GrantNumber,
    ready_at: Instant,
    backends: BTreeMap<BackendId, BackendModel>,
    waiting: BTreeMap<u8, VecDeque<WaitingAsk>>,
    running: BTreeMap<RequestId, Running>,
}

#[derive(Debug)]
struct WaitingAsk {
    owner: HostId,
    ask: Ask,
    since: Instant,
}

#[derive(Debug)]
struct Running {
    number: GrantNumber,
    backend: BackendId,
    prompt_tokens: u32,
    first_token_after: Option<Duration>,
}

impl Scheduler {
    /// Starts a scheduler that grants nothing until owners had time to report.
    #[must_use]
    pub fn new(shard: Shard, cfg: &Config, now: Instant) -> Self {
        Self {
            shard,
            number: GrantNumber {
                incarnation: cfg.incarnation,
                sequence: 0,
            },
            ready_at: now + cfg.rebuild_window,
            backends: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    // ------------------------------------------------------------------ membership

    /// Takes the shard's backend servers from a newer host list.
    pub fn set_backends<'a>(&mut self, records: impl Iterator<Item = &'a BackendRecord>) {
        let mut next = BTreeMap::new();
        for record in records {
            let mut model = self
                .backends
                .remove(&record.id)
                .unwrap_or_else(|| BackendModel::new(record.slots, record.presence));
            model.presence = record.presence;
            next.insert(record.id.clone(), model);
        }
        self.backends = next;
    }

    /// Takes a lagging load report.
    pub fn report(&mut self, report: &LoadReport) {
        if let Some(model) = self.backends.get_mut(&report.backend) {
            model.saw_report(report);
        }
    }

    /// Takes what an owner has running from before this scheduler's time.
    pub fn in_flight(&mut self, running: Vec<InFlight>) {
        for entry in running {
            if self.running.contains_key(&entry.id) {
                continue;
            }
            if let Some(model) = self.backends.get_mut(&entry.backend) {
                model.running += 1;
            }
            let run = Running {
                number: entry.number,
                backend: entry.backend,
                prompt_tokens: entry.prompt_tokens,
                first_token_after: Some(Duration::ZERO),
            };
            self.running.insert(entry.id, run);
        }
    }

    /// Ends the time for owners' reports early, since all have reported.
    pub fn end_rebuild(&mut self, now: Instant, out: &mut Vec<Letter>) {
        self.ready_at = self.ready_at.min(now);
        self.pump(now, out);
    }

    /// Drops what a lost owner waited for. What it has running stays counted until
    /// its backend servers had time to end it.
    pub fn forget_owner(&mut self, owner: &HostId) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| waiting.owner != *owner);
        }
    }

    // ------------------------------------------------------------------ requests

    /// Queues a request, or answers a repeated ask as before.
    pub fn ask(&mut self, owner: &HostId, ask: Ask, now: Instant, out: &mut Vec<Letter>) {
        let (id, attempt) = (ask.id.clone(), ask.attempt);
        if self.running.contains_key(&id) {
            self.release(&id);
        }
        self.withdraw(&id);
        let queue = self.waiting.entry(ask.tier).or_default();
        queue.push_back(WaitingAsk {
            owner: owner.clone(),
            ask,
            since: now,
        });
        self.pump(now, out);
        if !self.running.contains_key(&id) {
            out.push((owner.clone(), Message::Queued { id, attempt }));
        }
    }

    /// Drops a request that waits.
    pub fn withdraw(&mut self, id: &RequestId) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| waiting.ask.id != *id);
        }
    }

    /// Learns what became of a slot, and grants it anew once it is free.
    pub fn progress(
        &mut self,
        id: &RequestId,
        number: GrantNumber,
        progress: SlotProgress,
        now: Instant,
        out: &mut Vec<Letter>,
    ) {
        if self.running.get(id).is_none_or(|run| run.number != number) {
            return;
        }
        match progress {
            SlotProgress::FirstToken { after } => self.saw_first_token(id, after),
            SlotProgress::Returned => self.release(id),
            SlotProgress::Finished { tokens, after, .. } => {
                self.saw_end(id, tokens, after);
                self.release(id);
            }
        }
        self.pump(now, out);
    }

    /// Takes unused grants back, gives up on what is too late, and grants what is free.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Letter>) {
        self.give_up(now, out);
        self.pump(now, out);
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Requests that run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    // ------------------------------------------------------------------ inside

    fn pump(&mut self, now: Instant, out: &mut Vec<Letter>) {
        if now < self.ready_at {
            return;
        }
        while let Some(backend) = self.pick_backend() {
            let Some(next) = self.pop_next() else { return };
            self.grant(next, backend, out);
        }
    }

    fn pop_next(&mut self) -> Option<WaitingAsk> {
        self.waiting.values_mut().find_map(VecDeque::pop_front)
    }

    fn pick_backend(&self) -> Option<BackendId> {
        self.backends
            .iter()
            .filter(|(_, model)| model.has_room())
            .min_by_key(|(_, model)| model.first_token(0))
            .map(|(id, _)| id.clone())
    }

    fn grant(&mut self, next: WaitingAsk, backend: BackendId, out: &mut Vec<Letter>) {
        let WaitingAsk { owner, ask, .. } = next;
        let candidates = self.candidates(&backend, ask.prompt_tokens);
        self.number.sequence += 1;
        let number = self.number;
        if let Some(model) = self.backends.get_mut(&backend) {
            model.running += 1;
            model.prefill_queued += ask.prompt_tokens;
        }
        let run = Running {
            number,
            backend: backend.clone(),
            prompt_tokens: ask.prompt_tokens,
            first_token_after: None,
        };
        self.running.insert(ask.id.clone(), run);
        let grant = Grant {
            shard: self.shard.clone(),
            id: ask.id,
            attempt: ask.attempt,
            number,
            backend,
            candidates,
        };
        out.push((owner, Message::Grant(grant)));
    }

    fn candidates(&self, chosen: &BackendId, prompt_tokens: u32) -> Vec<Candidate> {
        let mut all: Vec<_> = self
            .backends
            .iter()
            .map(|(id, model)| Candidate {
                backend: id.clone(),
                first_token: model.first_token(prompt_tokens),
                running: model.running,
                limit: model.limit,
            })
            .collect();
        all.sort_by_key(|candidate| (candidate.backend != *chosen, candidate.first_token));
        all.truncate(EXPLAINED_CANDIDATES);
        all
    }

    fn saw_first_token(&mut self, id: &RequestId, after: Duration) {
        let Some(run) = self.running.get_mut(id) else {
            return;
        };
        if run.first_token_after.replace(after).is_some() {
            return;
        }
        if let Some(model) = self.backends.get_mut(&run.backend) {
            model.prefill_queued = model.prefill_queued.saturating_sub(run.prompt_tokens);
            model.saw_first_token(run.prompt_tokens, after);
        }
    }

    fn saw_end(&mut self, id: &RequestId, tokens: u32, after: Duration) {
        let Some(run) = self.running.get(id) else {
            return;
        };
        let first = run.first_token_after.unwrap_or(after);
        if let Some(model) = self.backends.get_mut(&run.backend) {
            model.saw_stream(tokens, after.saturating_sub(first));
        }
    }

    fn release(&mut self, id: &RequestId) {
        let Some(run) = self.running.remove(id) else {
            return;
        };
        let Some(model) = self.backends.get_mut(&run.backend) else {
            return;
        };
        model.running = model.running.saturating_sub(1);
        if run.first_token_after.is_none() {
            model.prefill_queued = model.prefill_queued.saturating_sub(run.prompt_tokens);
        }
    }

    fn give_up(&mut self, now: Instant, out: &mut Vec<Letter>) {
        for queue in self.waiting.values_mut() {
            queue.retain(|waiting| {
                let late = now.duration_since(waiting.since) >= waiting.ask.first_token_in;
                if late {
                    let refusal =
                        Refusal::not_run(Reason::TooLate).retry_after(waiting.ask.first_token_in);
                    let (id, attempt) = (waiting.ask.id.clone(), waiting.ask.attempt);
                    out.push((
                        waiting.owner.clone(),
                        Message::Refused {
                            id,
                            attempt,
                            refusal,
                        },
                    ));
                }
                !late
            });
        }
    }
}
