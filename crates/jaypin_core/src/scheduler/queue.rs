//! The single queue of a shard: ordered by tier, then fairly by client account.
//!
//! Each tier uses start-time fair queuing: a request's tag is the virtual time at which its
//! account's share of the tier begins to serve it. State is kept only for accounts with
//! waiting work or a recent backlog, and the virtual time restarts when no request of the
//! tier waits.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use crate::{AccountId, Ask, HostId, RequestId};

/// Virtual time that one token of an account with share 1 takes.
const VIRTUAL_TIME_PER_TOKEN: f64 = 1_024.0;

/// Number of accounts without waiting work that a tier keeps before it removes idle ones.
const MIN_IDLE_ACCOUNTS: usize = 64;

/// Order within a tier: virtual start time, then sequence of arrival.
pub type Tag = (u64, u64);

/// A request that waits for a slot.
#[derive(Debug)]
pub struct WaitingRequest {
    /// The host that accepted the request.
    pub owner: HostId,
    /// The slot request.
    pub ask: Ask,
    /// When the slot request arrived.
    pub queued_at: Instant,
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Latest start that can still meet the deadline.
    pub latest_start: Instant,
}

/// An amount of work, in prompt and answer tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens.
    pub prompt: f64,
    /// Answer tokens.
    pub answer: f64,
}

impl Work {
    /// Adds another amount.
    pub fn add(&mut self, other: Self) {
        self.prompt += other.prompt;
        self.answer += other.answer;
    }

    /// Returns the amount multiplied by a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self {
            prompt: self.prompt * factor,
            answer: self.answer * factor,
        }
    }

    /// Returns the total number of tokens.
    #[must_use]
    pub fn tokens(self) -> f64 {
        self.prompt + self.answer
    }
}

impl WaitingRequest {
    /// Returns the estimated work of the request.
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

/// Where a request stands in the queue.
#[derive(Debug, Clone, Copy)]
struct Position {
    tier: u8,
    tag: Tag,
    latest_start: Instant,
}

/// Waiting requests of one tier, ordered by start-time fair queuing.
#[derive(Debug, Default)]
struct TierQueue {
    requests: BTreeMap<Tag, WaitingRequest>,
    accounts: HashMap<AccountId, AccountQueue>,
    /// Largest start tag that was served.
    virtual_time: u64,
    /// Total waiting work.
    work: Work,
    /// Sum of the shares of accounts with waiting work.
    active_shares: f64,
}

/// State of one account in a tier.
#[derive(Debug)]
struct AccountQueue {
    share: f64,
    /// Virtual time at which the work that the account queued so far is served.
    virtual_finish: u64,
    /// Number of waiting requests.
    waiting: u32,
    work: Work,
}

impl WaitingQueue {
    /// Adds a request of an account with the given share.
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

    /// Removes a request.
    pub fn remove(&mut self, id: &RequestId) -> Option<WaitingRequest> {
        let position = self.positions.remove(id)?;
        self.by_latest_start
            .remove(&(position.latest_start, position.tag.1));
        let tier = self.tiers.get_mut(&position.tier)?;
        let waiting = tier.requests.remove(&position.tag)?;
        tier.record_removal(&waiting);
        Some(waiting)
    }

    /// Removes a request that is granted, and advances its tier's virtual time to the
    /// request's start tag.
    pub fn take_for_service(&mut self, id: &RequestId) -> Option<WaitingRequest> {
        let position = *self.positions.get(id)?;
        if let Some(tier) = self.tiers.get_mut(&position.tier) {
            tier.virtual_time = tier.virtual_time.max(position.tag.0);
        }
        self.remove(id)
    }

    /// Removes the request that is shed first: the last one of the lowest tier.
    pub fn pop_lowest_priority(&mut self) -> Option<WaitingRequest> {
        let id = self
            .tiers
            .values()
            .rev()
            .find_map(|tier| tier.requests.last_key_value())
            .map(|(_, waiting)| waiting.ask.id.clone())?;
        self.remove(&id)
    }

    /// Removes a request whose latest start has passed, if there is one.
    pub fn pop_late(&mut self, now: Instant) -> Option<WaitingRequest> {
        let ((latest, _), id) = self.by_latest_start.first_key_value()?;
        if *latest > now {
            return None;
        }
        let id = id.clone();
        self.remove(&id)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns a waiting request.
    #[must_use]
    pub fn get(&self, id: &RequestId) -> Option<&WaitingRequest> {
        let position = self.positions.get(id)?;
        self.tiers.get(&position.tier)?.requests.get(&position.tag)
    }

    /// Returns the ranks of tiers with waiting requests, highest tier first.
    pub fn ranks(&self) -> impl Iterator<Item = u8> {
        self.tiers
            .iter()
            .filter(|(_, tier)| !tier.requests.is_empty())
            .map(|(rank, _)| *rank)
    }

    /// Returns the requests of a tier in order of service.
    pub fn in_order(&self, rank: u8) -> impl Iterator<Item = &WaitingRequest> {
        self.tiers
            .get(&rank)
            .into_iter()
            .flat_map(|tier| tier.requests.values())
    }

    /// Returns the work that is served before a request: all work of higher tiers, and the
    /// work of its own tier that other accounts' shares place before it.
    #[must_use]
    pub fn ahead_of(&self, waiting: &WaitingRequest) -> Work {
        let mut ahead = self.work_above(waiting.ask.tier);
        let Some(tier) = self.tiers.get(&waiting.ask.tier) else {
            return ahead;
        };
        ahead.add(tier.ahead_of(waiting));
        ahead
    }

    /// Returns the waiting work of the tiers above a rank.
    #[must_use]
    pub fn work_above(&self, rank: u8) -> Work {
        let mut above = Work::default();
        for tier in self.tiers.range(..rank).map(|(_, tier)| tier) {
            above.add(tier.work);
        }
        above
    }

    /// Returns the waiting work of a tier.
    #[must_use]
    pub fn work_of(&self, rank: u8) -> Work {
        self.tiers
            .get(&rank)
            .map_or_else(Work::default, |tier| tier.work)
    }

    /// Returns the ids of an owner's waiting requests.
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
    /// Counts a new request and returns its start tag.
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

    /// Subtracts a removed request from the counts of its tier and account.
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

    /// Removes accounts that have no waiting work and whose served work lies behind the
    /// virtual time, once there are many more accounts than waiting requests.
    fn remove_idle_accounts(&mut self) {
        if self.accounts.len() > 2 * self.requests.len() + MIN_IDLE_ACCOUNTS {
            let now = self.virtual_time;
            self.accounts
                .retain(|_, account| account.waiting > 0 || account.virtual_finish > now);
        }
    }

    /// Returns the work of other accounts in this tier that is served before a request.
    fn ahead_of(&self, waiting: &WaitingRequest) -> Work {
        let own = waiting.work();
        let mut others = self.work;
        others.add(own.scaled(-1.0));
        let Some(account) = self.accounts.get(&waiting.ask.account) else {
            return others;
        };
        // While the account's own backlog is served, each other account is served by its
        // share.
        let served_meanwhile = account.work.tokens() * self.active_shares / account.share;
        let fraction = (served_meanwhile / self.work.tokens().max(1.0)).min(1.0);
        others.scaled(fraction)
    }
}

/// Returns the virtual time that work takes for an account with a share, at least 1.
fn virtual_duration(work: Work, share: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "positive, and far below the range of the type"
    )]
    let length = (work.tokens() * VIRTUAL_TIME_PER_TOKEN / share) as u64;
    length.max(1)
}
