//! The reducer: applies each event of a host to its decision state and returns effects.

mod arrival;
mod calls;
mod gossip;
mod keys;
mod knowledge;
mod limits;
mod members;
mod messages;
mod poison;
mod succession;
mod time;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_rules::RuleSet;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::baseline::Baseline;
use crate::claims::Claims;
use crate::limit_keeper::LimitKeeper;
use crate::membership::Term;
use crate::owner::OwnedRequests;
use crate::request::{Dispatched, Request};
use crate::rule_index::RuleIndex;
use crate::scheduler::{OutgoingMessage, Scheduler};
use crate::shard_hints::ShardHints;
use gossip::Gossip;
use succession::Rebuilds;

use crate::{
    Config, Effect, Event, HostId, KeyOutcome, KeyTable, MemberStatus, Membership, Message, Policy,
    Quarantine, Ran, Record, Refusal, RequestInfo, Shard, ShardReport, SlotProgress, Step,
    SuspectCounts,
};

/// Time after which a refused caller may retry, where no better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a draining host waits for a key's owner to confirm an outcome.
///
/// Without this limit, a host could never exit while the owner of a key is frozen. A key
/// whose outcome was not confirmed becomes `unknown` once this host has exited, so its
/// call is never run a second time.
const DRAIN_SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a draining host still claims keys, for callers who do not know yet that it is
/// shutting down. Later calls are refused at once with `unknown`, since further claims
/// would keep the host from exiting.
const DRAIN_CLAIM_WINDOW: Duration = Duration::from_secs(5);

/// The decision state of one host.
#[derive(Debug)]
pub struct Reducer {
    cfg: Config,
    rng: ChaCha8Rng,
    /// Version of `rules`; 0 before the first rules were applied.
    rules_version: u64,
    rules: Arc<RuleSet>,
    rule_index: Arc<RuleIndex>,
    shard_hints: ShardHints,
    limit_keeper: LimitKeeper,
    /// Time of the next usage report; none before the first.
    next_usage: Option<Instant>,
    membership: Membership,
    owner: OwnedRequests,
    /// Schedulers of the shards that this host leads.
    schedulers: BTreeMap<Shard, Scheduler>,
    baseline: Baseline,
    keys: KeyTable,
    /// Time of the first event.
    started: Option<Instant>,
    claims: Claims,
    quarantine: Quarantine,
    /// Time of the next load polls; none when they are due at once.
    next_poll: Option<Instant>,
    draining: bool,
    /// Whether [`Effect::Exit`] was returned.
    exited: bool,
    /// Messages of this host to itself, handled within the same call of [`Self::apply`].
    inbox: VecDeque<Message>,
    gossip: Gossip,
    /// Leadership terms at the last check; their leaders were sent the running requests of
    /// this host.
    terms: BTreeMap<Shard, Term>,
    rebuilds: Rebuilds,
    last_event: Option<Instant>,
}

/// Counts for status pages and metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Version of the rules that are confirmed to be current; 0 before that.
    pub rules_version: u64,
    /// Version of the host list; 0 before the first one was read.
    pub hosts_version: u64,
    /// Number of shards that this host leads.
    pub shards_led: usize,
    /// Number of this host's requests that wait for a slot.
    pub waiting: usize,
    /// Number of this host's requests that run.
    pub running: usize,
    /// Number of requests of all hosts that wait in the shards that this host leads.
    pub queued_here: usize,
    /// Number of requests of all hosts that run on slots of the shards that this host leads.
    pub granted_here: usize,
    /// Current key period of this process, for the prefix of idempotency keys.
    pub key_period: u64,
    /// Whether the host is shutting down.
    pub draining: bool,
    /// Whether the host's versions of rules and host list were confirmed to be current.
    pub caught_up: bool,
    /// Hash of the membership table; equal tables have equal hashes.
    pub members: u64,
}

impl Reducer {
    /// Creates a reducer without rules and host list.
    #[must_use]
    pub fn new(mut cfg: Config) -> Self {
        if cfg.policy == Policy::Local {
            cfg.shard_size = usize::MAX;
        }
        let mut reducer = Self {
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            rules_version: 0,
            rules: Arc::default(),
            rule_index: Arc::default(),
            shard_hints: ShardHints::default(),
            limit_keeper: LimitKeeper::default(),
            next_usage: None,
            membership: Membership::default(),
            owner: OwnedRequests::default(),
            schedulers: BTreeMap::new(),
            baseline: Baseline::default(),
            keys: KeyTable::default(),
            started: None,
            claims: Claims::default(),
            quarantine: Quarantine::default(),
            next_poll: None,
            draining: false,
            exited: false,
            inbox: VecDeque::new(),
            gossip: Gossip::new(&cfg),
            terms: BTreeMap::new(),
            rebuilds: Rebuilds::default(),
            last_event: None,
            cfg,
        };
        reducer.set_own_status(MemberStatus::Alive);
        reducer
    }

    /// Applies one event and returns the effects to perform.
    ///
    /// The same events with the same seed give the same effects.
    pub fn apply(&mut self, now: Instant, event: Event) -> Vec<Effect> {
        let mut fx = Vec::new();
        self.started.get_or_insert(now);
        self.detect_pause(now, &mut fx);
        self.handle_event(now, event, &mut fx);
        while let Some(message) = self.inbox.pop_front() {
            let from = self.cfg.host.clone();
            self.handle_event(now, Event::Link { from, message }, &mut fx);
        }
        self.publish_changes(&mut fx);
        fx
    }

    /// Returns counts for status pages and metrics.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            rules_version: self.confirmed_rules_version(),
            hosts_version: self.membership.list().version,
            shards_led: self.schedulers.len(),
            waiting: self.owner.waiting.len(),
            running: self.owner.dispatched.len(),
            queued_here: self.schedulers.values().map(Scheduler::waiting_count).sum(),
            granted_here: self.schedulers.values().map(Scheduler::running_count).sum(),
            key_period: self.keys.newest_period(),
            draining: self.draining,
            caught_up: self.gossip.caught_up,
            members: self.membership.table().hash(),
        }
    }

    /// Returns reports on the shards that this host leads, for operators. This is more
    /// expensive than [`Self::summary`].
    #[must_use]
    pub fn shard_reports(&self, now: Instant) -> Vec<ShardReport> {
        let schedulers = self.schedulers.values();
        schedulers
            .map(|scheduler| scheduler.shard_report(now))
            .collect()
    }

    /// Returns how many request contents are suspected or quarantined, for operators.
    #[must_use]
    pub fn suspect_counts(&self) -> SuspectCounts {
        self.quarantine.counts(self.rules.quarantine.crash_limit)
    }

    /// Returns the newest rules, also before they are confirmed to be current. Their version
    /// is [`Summary::rules_version`] unless that is 0.
    #[must_use]
    pub fn loaded_rules(&self) -> &Arc<RuleSet> {
        &self.rules
    }

    /// Returns the version of the rules, or 0 until it is confirmed that peers have no
    /// newer one.
    ///
    /// A host that starts while the platform returns an outdated copy would otherwise
    /// publish, and check callers by, a version that the rest of the fleet has replaced.
    fn confirmed_rules_version(&self) -> u64 {
        if self.gossip.caught_up {
            self.rules_version
        } else {
            0
        }
    }

    /// Returns this host's view of hosts and backend servers.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    fn handle_event(&mut self, now: Instant, event: Event, fx: &mut Vec<Effect>) {
        match event {
            Event::Arrived(info) => self.handle_arrival(now, info, fx),
            Event::CallerDisconnected(id) => self.handle_disconnect(&id, fx),
            Event::Call { id, progress } => self.handle_call_progress(now, &id, progress, fx),
            Event::KeyedCallAnswered { id, answer } => {
                self.settle(&id, KeyOutcome::Answered(answer), fx);
            }
            Event::Load(report) => self.apply_load_report(now, &report, fx),
            Event::Link { from, message } => {
                if let Some(message) = message.with_bounds() {
                    self.handle_message(now, &from, message, fx);
                }
            }
            Event::PeerExited(host) => self.handle_peer_exit(now, &host, fx),
            Event::PeerUnresponsive(host) => self.handle_peer_silence(now, &host, fx),
            Event::PeerConnected { host, incarnation } => {
                self.handle_peer_link(now, &host, incarnation, fx);
            }
            Event::Hosts(list) => self.apply_host_list(now, list, fx),
            Event::Rules { version, rules } => self.apply_rules(version, rules),
            Event::RuleText { version, text } => self.store_rule_text(version, text),
            Event::Drain => self.start_drain(now, fx),
            Event::Tick => self.tick(now, fx),
        }
    }

    /// Returns the host that grants the slots of a shard, according to the policy.
    fn leader(&self, shard: &Shard) -> Option<&HostId> {
        match self.cfg.policy {
            Policy::Local => Some(&self.cfg.host),
            Policy::Grants | Policy::Baseline => self.membership.leader(shard),
        }
    }

    /// Sends a message to a peer, or queues it if it is for this host itself.
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

    /// Returns whether there is no request in progress and no outcome left to report.
    fn is_idle(&self, now: Instant) -> bool {
        self.owner.is_idle() && self.claims.is_idle(now, DRAIN_SETTLE_TIMEOUT)
    }

    fn send_all(&mut self, messages: Vec<OutgoingMessage>, fx: &mut Vec<Effect>) {
        for (to, message) in messages {
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

    /// Refuses a request, ends its claim and records the refusal. `after` is the time since
    /// the request arrived.
    fn refuse(
        &mut self,
        info: &RequestInfo,
        after: Duration,
        refusal: Refusal,
        fx: &mut Vec<Effect>,
    ) {
        let outcome = match refusal.ran {
            Ran::NotRun => KeyOutcome::NotRun,
            Ran::Ran => KeyOutcome::Answered(None),
            Ran::Unknown => KeyOutcome::Unknown,
        };
        self.settle(&info.id, outcome, fx);
        record(info, after, Step::Refused(refusal.clone()), fx);
        fx.push(Effect::Refuse {
            id: info.id.clone(),
            refusal,
        });
    }
}

/// Returns the time since a request arrived.
fn elapsed(request: &Request<Dispatched>, now: Instant) -> Duration {
    now.duration_since(request.arrived_at)
}

/// Records a step of a request's decision. `after` is the time since the request arrived.
fn record(info: &RequestInfo, after: Duration, step: Step, fx: &mut Vec<Effect>) {
    let (id, account) = (info.id.clone(), info.account.clone());
    fx.push(Effect::Record(Record {
        id,
        account,
        after,
        step,
    }));
}

/// Returns the message that reports to a request's shard scheduler what happened to its
/// slot, and the receiver; none for a request without a grant.
fn slot_progress_message(
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
