//! The single queue of a shard: by tier, then fairly by client account.
//!
//! Within a tier, start-time fair queuing: a request's tag is the virtual time at which
//! its account's share of the tier begins to serve it. State is kept for accounts with
//! waiting work only, and the virtual time starts anew when a tier has none waiting.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::{AccountId, Ask, HostId, RequestId};

/// Virtual time of one token of an account with share 1.
const VIRTUAL_TIME_PER_TOKEN: f64 = 1_024.0;

/// Accounts without waiting work that a tier keeps before it looks through them.
const MIN_IDLE_ACCOUNTS: usize = 64;

/// Order within a tier: start tag, then arrival.
pub type Tag = (u64, u64);

/// A request that waits.
#[derive(Debug)]
pub struct WaitingRequest {
    /// Its owner.
    pub owner: HostId,
    /// What was asked.
    pub ask: Ask,
    /// When it was asked.
    pub queued_at: Instant,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Last moment at which a start can still meet the deadline.
    pub latest_start: Instant,
}

/// Work in tokens, as prompts and answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens.
    pub prompt: f64,
    /// Answer tokens.
    pub answer: f64,
}

impl Work {
    /// Adds other work.
    pub fn add(&mut self, other: Self) {
        self.prompt += other.prompt;
        self.answer += other.answer;
    }

    /// A part of this work.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            prompt: self.prompt * factor,
            answer: self.answer * factor,
        }
    }

    /// All tokens.
    #[must_use]
    pub fn tokens(self) -> f64 {
        self.prompt + self.answer
    }
}

impl WaitingRequest {
    /// Its estimated work.
    #[must_use]
    pub fn work(&self) -> Work {
        Work {
            prompt: f64::from(self.ask.prompt_tokens),
            answer: f64::from(self.answer_tokens),
        }
    }
}

/// All waiting requests of a shard.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    tiers: BTreeMap<u8, TierQueue>,
    positions: HashMap<RequestId, Position>,
    by_latest_start: BTreeMap<(Instant, u64), RequestId>,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    tier: u8,
    tag: Tag,
    latest_start: Instant,
}

#[derive(Debug, Default)]
struct TierQueue {
    requests: BTreeMap<Tag, WaitingRequest>,
    accounts: HashMap<AccountId, AccountQueue>,
    virtual_time: u64,
    work: Work,
    active_shares: f64,
}

#[derive(Debug)]
struct AccountQueue {
    share: f64,
    virtual_finish: u64,
    waiting: u32,
    work: Work,
}

impl WaitingQueue {
    // ------------------------------------------------------------------ changes

    /// Adds a request of an account with a share.
    pub fn push(&mut self, waiting: WaitingRequest, share: f64) {
        self.sequence += 1;
        let tier = self.tiers.entry(waiting.ask.tier).or_default();
        let position = Position {
            tier: waiting.ask.tier,
            tag: (tier.record_arrival(&waiting, share), self.sequence),
            latest_start: waiting.latest_start,
        };
        let id = waiting.ask.id.clone();
        self.by_latest_start
            .insert((position.latest_start, position.tag.1), id.clone());
        self.positions.insert(id, position);
        tier.requests.insert(position.tag, waiting);
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: &RequestId) -> Option<WaitingRequest> {
        let position = self.positions.remove(id)?;
        self.by_latest_start
            .remove(&(position.latest_start, position.tag.1));
        let tier = self.tiers.get_mut(&position.tier)?;
        let waiting = tier.requests.remove(&position.tag)?;
        tier.record_removal(&waiting);
        Some(waiting)
    }

    /// Takes a request out to be served: its tier's virtual time moves on to it.
    pub fn take_for_service(&mut self, id: &RequestId) -> Option<WaitingRequest> {
        let position = *self.positions.get(id)?;
        if let Some(tier) = self.tiers.get_mut(&position.tier) {
            tier.virtual_time = tier.virtual_time.max(position.tag.0);
        }
        self.remove(id)
    }

    /// Takes the request out that is shed first: the last of the lowest tier.
    pub fn pop_lowest_priority(&mut self) -> Option<WaitingRequest> {
        let id = self
            .tiers
            .values()
            .rev()
            .find_map(|tier| tier.requests.last_key_value())
            .map(|(_, waiting)| waiting.ask.id.clone())?;
        self.remove(&id)
    }

    /// Takes a request out whose latest start has passed.
    pub fn pop_late(&mut self, now: Instant) -> Option<WaitingRequest> {
        let ((latest, _), id) = self.by_latest_start.first_key_value()?;
        if *latest > now {
            return None;
        }
        let id = id.clone();
        self.remove(&id)
    }

    // ------------------------------------------------------------------ views

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Finds a request.
    #[must_use]
    pub fn get(&self, id: &RequestId) -> Option<&WaitingRequest> {
        let position = self.positions.get(id)?;
        self.tiers.get(&position.tier)?.requests.get(&position.tag)
    }

    /// Ranks of tiers with waiting requests, highest tier first.
    pub fn ranks(&self) -> impl Iterator<Item = u8> {
        self.tiers
            .iter()
            .filter(|(_, tier)| !tier.requests.is_empty())
            .map(|(rank, _)| *rank)
    }

    /// The requests of a tier in order of service.
    pub fn in_order(&self, rank: u8) -> impl Iterator<Item = &WaitingRequest> {
        self.tiers
            .get(&rank)
            .into_iter()
            .flat_map(|tier| tier.requests.values())
    }

    /// Work that is served before a request: all of higher tiers, and of its own tier
    /// what the other accounts' shares bring in before it.
    #[must_use]
    pub fn ahead_of(&self, waiting: &WaitingRequest) -> Work {
        let mut ahead = self.work_above(waiting.ask.tier);
        let Some(tier) = self.tiers.get(&waiting.ask.tier) else {
            return ahead;
        };
        ahead.add(tier.ahead_of(waiting));
        ahead
    }

    /// Waiting work of the tiers above a rank.
    #[must_use]
    pub fn work_above(&self, rank: u8) -> Work {
        let mut above = Work::default();
        for tier in self.tiers.range(..rank).map(|(_, tier)| tier) {
            above.add(tier.work);
        }
        above
    }

    /// Waiting work of a tier.
    #[must_use]
    pub fn work_of(&self, rank: u8) -> Work {
        self.tiers
            .get(&rank)
            .map_or_else(Work::default, |tier| tier.work)
    }

    /// Requests of an owner.
    #[must_use]
    pub fn of_owner(&self, owner: &HostId) -> Vec<RequestId> {
        self.tiers
            .values()
            .flat_map(|tier| tier.requests.values())
            .filter(|waiting| waiting.owner == *owner)
            .map(|waiting| waiting.ask.id.clone())
            .collect()
    }
}

impl TierQueue {
    /// Start tag of a new request; counts it.
    fn record_arrival(&mut self, waiting: &WaitingRequest, share: f64) -> u64 {
        let work = waiting.work();
        self.work.add(work);
        let account = self
            .accounts
            .entry(waiting.ask.account.clone())
            .or_insert_with(|| AccountQueue {
                share: share.max(0.01),
                virtual_finish: 0,
                waiting: 0,
                work: Work::default(),
            });
        if account.waiting == 0 {
            self.active_shares += account.share;
        }
        account.waiting += 1;
        account.work.add(work);
        let start = account.virtual_finish.max(self.virtual_time);
        account.virtual_finish = start + virtual_duration(work, account.share);
        start
    }

    fn record_removal(&mut self, waiting: &WaitingRequest) {
        let work = waiting.work().scaled(-1.0);
        self.work.add(work);
        if let Some(account) = self.accounts.get_mut(&waiting.ask.account) {
            account.waiting -= 1;
            account.work.add(work);
            if account.waiting == 0 {
                self.active_shares -= account.share;
            }
            if account.waiting == 0 && account.virtual_finish <= self.virtual_time {
                self.accounts.remove(&waiting.ask.account);
            }
        }
        if self.requests.is_empty() {
            *self = Self::default();
        }
        self.remove_idle_accounts();
    }

    /// Drops accounts that owe nothing once they outnumber those with work.
    fn remove_idle_accounts(&mut self) {
        if self.accounts.len() > 2 * self.requests.len() + MIN_IDLE_ACCOUNTS {
            let now = self.virtual_time;
            self.accounts
                .retain(|_, account| account.waiting > 0 || account.virtual_finish > now);
        }
    }

    fn ahead_of(&self, waiting: &WaitingRequest) -> Work {
        let own = waiting.work();
        let mut others = self.work;
        others.add(own.scaled(-1.0));
        let Some(account) = self.accounts.get(&waiting.ask.account) else {
            return others;
        };
        // While the account's own backlog is served, each other account gets its share.
        let served_meanwhile = account.work.tokens() * self.active_shares / account.share;
        let fraction = (served_meanwhile / self.work.tokens().max(1.0)).min(1.0);
        others.scaled(fraction)
    }
}

fn virtual_duration(work: Work, share: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive, and far below the range of the type"
    )]
    let length = (work.tokens() * VIRTUAL_TIME_PER_TOKEN / share) as u64;
    length.max(1)
}
