//! Test harness around one shard scheduler, with a clock that only the test advances.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    Ask, BackendRecord, Config, Grant, GrantNumber, HostId, Message, OutgoingMessage, Presence,
    Refusal, RuleIndex, Scheduler, Shard, SlotProgress,
};
use jaypin_rules::parse;

/// Three tiers, of which `command` has a reserved slot and `summary` a minimum share, and
/// three accounts: `large` has three times the share of the others, `capped` has limits.
pub const RULES: &str = "\
- {tier: command, rank: 0, first-token-ms: 1000, gap-ms: 66, whole-ms: 5000, weight: 8, reserve: 1}  # asked by: a
- {tier: question, rank: 1, first-token-ms: 1500, gap-ms: 66, whole-ms: 30000, weight: 2}  # asked by: b
- {tier: summary, rank: 2, first-token-ms: 60000, gap-ms: 1000, whole-ms: 600000, weight: 10, minimum-percent: 10}  # asked by: c
- {service: chat, kind: engine, models: [m], tier: question}  # asked by: d
- {account: large, share: 3}  # asked by: e
- {account: small, share: 1}  # asked by: f
- {account: capped, share: 1}  # asked by: g
- {limit: capped, concurrent: 2, tokens-per-second: 1000}  # asked by: g
";

/// A shard scheduler under test, with its clock and its messages.
#[derive(Debug)]
pub struct TestScheduler {
    pub scheduler: Scheduler,
    /// Time of the test; `advance` moves it.
    pub now: Instant,
    /// Messages of the scheduler that the test has not removed yet.
    pub out: Vec<OutgoingMessage>,
}

pub fn shard() -> Shard {
    Shard {
        service: "chat".into(),
        index: 0,
    }
}

pub fn record(index: usize, slots: u32) -> BackendRecord {
    BackendRecord {
        id: format!("engine-{index}").into(),
        address: "127.0.0.1:1".to_owned(),
        service: "chat".into(),
        failure_domain: "domain-0".into(),
        presence: Presence::Live,
        slots,
    }
}

/// Returns an ask of the account `large` with the deadlines of its tier.
pub fn ask(id: &str, tier: u8) -> Ask {
    let (first_token_secs, response_secs) = [(1, 5), (2, 30), (60, 600)][usize::from(tier.min(2))];
    Ask {
        shard: shard(),
        id: id.into(),
        attempt: 1,
        tier,
        account: "large".into(),
        prompt_tokens: 100,
        max_tokens: 20,
        first_token_due_in: Duration::from_secs(first_token_secs),
        response_due_in: Duration::from_secs(response_secs),
        prefixes: Vec::new(),
    }
}

impl TestScheduler {
    /// Creates a scheduler whose rebuild window has ended, so that it may grant slots.
    pub fn new(backends: usize, slots: u32) -> Self {
        Self::with_config(backends, slots, &Config::default())
    }

    pub fn with_config(backends: usize, slots: u32, cfg: &Config) -> Self {
        let rules = parse(RULES).expect("rules");
        let rules = Arc::new(RuleIndex::new(Arc::new(rules)));
        let now = Instant::now();
        let mut scheduler = Scheduler::new(shard(), cfg, rules, now);
        let records: Vec<_> = (0..backends).map(|index| record(index, slots)).collect();
        scheduler.set_backends(records.iter(), now);
        Self {
            scheduler,
            now: now + cfg.rebuild_window,
            out: Vec::new(),
        }
    }

    /// Advances the clock and ticks the scheduler.
    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.scheduler.tick(self.now, &mut self.out);
    }

    /// Submits an ask of the owner `host-a`.
    pub fn submit(&mut self, ask: Ask) {
        let owner: HostId = "host-a".into();
        self.scheduler.submit(&owner, ask, self.now, &mut self.out);
    }

    pub fn report_progress(&mut self, grant: &Grant, progress: SlotProgress) {
        let (now, out) = (self.now, &mut self.out);
        self.scheduler
            .apply_progress(&grant.id, grant.number, progress, now, out);
    }

    pub fn report_first_token(&mut self, grant: &Grant) {
        let after = Duration::ZERO;
        self.report_progress(grant, SlotProgress::FirstToken { after });
    }

    /// Reports that the response ended, `millis` after it was dispatched.
    pub fn report_finished(&mut self, grant: &Grant, tokens: u32, millis: u64) {
        let end = SlotProgress::Finished {
            tokens,
            after: Duration::from_millis(millis),
            lost: false,
        };
        self.report_progress(grant, end);
    }

    /// Reports that the call ended because its connection or backend server was lost.
    pub fn report_lost(&mut self, grant: &Grant) {
        let end = SlotProgress::Finished {
            tokens: 0,
            after: Duration::ZERO,
            lost: true,
        };
        self.report_progress(grant, end);
    }

    /// Runs one request to its end: `prefill_ms` until the first token, then `gap_ms` between
    /// tokens.
    pub fn run_one(&mut self, ask: Ask, prefill_ms: u64, gap_ms: u64) -> Grant {
        let tokens = ask.max_tokens;
        self.submit(ask);
        let grant = self.grants().pop().expect("a grant");
        self.advance(prefill_ms);
        self.report_first_token(&grant);
        let streaming = gap_ms * u64::from(tokens - 1);
        self.advance(streaming);
        self.report_finished(&grant, tokens, prefill_ms + streaming);
        grant
    }

    /// Removes and returns the grants in `out`; other messages stay.
    pub fn grants(&mut self) -> Vec<Grant> {
        let messages = std::mem::take(&mut self.out);
        let (grants, others): (Vec<_>, Vec<_>) = messages
            .into_iter()
            .partition(|(_, message)| matches!(message, Message::Grant(_)));
        self.out = others;
        let messages = grants.into_iter().map(|(_, message)| message);
        messages
            .filter_map(|message| match message {
                Message::Grant(grant) => Some(grant),
                _ => None,
            })
            .collect()
    }

    /// Removes all messages from `out` and returns the refusals among them.
    pub fn refusals(&mut self) -> Vec<(String, Refusal)> {
        let messages = std::mem::take(&mut self.out);
        messages
            .into_iter()
            .filter_map(|(_, message)| match message {
                Message::Refused { id, refusal, .. } => Some((id.to_string(), refusal)),
                _ => None,
            })
            .collect()
    }

    /// Removes all messages from `out` and returns the numbers of the grants whose use the
    /// scheduler asks owners to confirm.
    pub fn confirms(&mut self) -> Vec<GrantNumber> {
        let messages = std::mem::take(&mut self.out);
        messages
            .into_iter()
            .filter_map(|(_, message)| match message {
                Message::Confirm { number, .. } => Some(number),
                _ => None,
            })
            .collect()
    }
}
