//! A shard scheduler with a clock and short ways to talk to it.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    Ask, BackendRecord, Config, Grant, GrantNumber, HostId, Message, OutgoingMessage, Presence,
    Refusal, RuleIndex, Scheduler, Shard, SlotProgress,
};
use jaypin_rules::parse;

/// Tiers of three kinds, and two accounts of which one has three times the share.
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

/// A scheduler under test.
#[derive(Debug)]
pub struct Bed {
    pub scheduler: Scheduler,
    pub now: Instant,
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

pub fn ask(id: &str, tier: u8) -> Ask {
    let (first_token, whole) = [(1, 5), (2, 30), (60, 600)][usize::from(tier.min(2))];
    Ask {
        shard: shard(),
        id: id.into(),
        attempt: 1,
        tier,
        account: "large".into(),
        prompt_tokens: 100,
        max_tokens: 20,
        first_token_due_in: Duration::from_secs(first_token),
        response_due_in: Duration::from_secs(whole),
        prefixes: Vec::new(),
    }
}

impl Bed {
    /// A scheduler that is past its rebuild window.
    pub fn new(backends: usize, slots: u32) -> Self {
        Self::with(backends, slots, &Config::default())
    }

    pub fn with(backends: usize, slots: u32, cfg: &Config) -> Self {
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

    pub fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.scheduler.tick(self.now, &mut self.out);
    }

    pub fn ask(&mut self, ask: Ask) {
        let owner: HostId = "host-a".into();
        self.scheduler.submit(&owner, ask, self.now, &mut self.out);
    }

    pub fn progress(&mut self, grant: &Grant, progress: SlotProgress) {
        let (now, out) = (self.now, &mut self.out);
        self.scheduler
            .apply_progress(&grant.id, grant.number, progress, now, out);
    }

    pub fn first_token(&mut self, grant: &Grant) {
        let after = Duration::ZERO;
        self.progress(grant, SlotProgress::FirstToken { after });
    }

    pub fn finish(&mut self, grant: &Grant, tokens: u32, millis: u64) {
        let end = SlotProgress::Finished {
            tokens,
            after: Duration::from_millis(millis),
            lost: false,
        };
        self.progress(grant, end);
    }

    pub fn lose(&mut self, grant: &Grant) {
        let end = SlotProgress::Finished {
            tokens: 0,
            after: Duration::ZERO,
            lost: true,
        };
        self.progress(grant, end);
    }

    /// Runs one request alone: prefill, then tokens at a gap.
    pub fn run_one(&mut self, ask: Ask, prefill_ms: u64, gap_ms: u64) -> Grant {
        let tokens = ask.max_tokens;
        self.ask(ask);
        let grant = self.grants().pop().expect("a grant");
        self.pass(prefill_ms);
        self.first_token(&grant);
        let streaming = gap_ms * u64::from(tokens - 1);
        self.pass(streaming);
        self.finish(&grant, tokens, prefill_ms + streaming);
        grant
    }

    /// Takes the grants that were handed out since the last call.
    pub fn grants(&mut self) -> Vec<Grant> {
        let letters = std::mem::take(&mut self.out);
        let (grants, rest): (Vec<_>, Vec<_>) = letters
            .into_iter()
            .partition(|(_, message)| matches!(message, Message::Grant(_)));
        self.out = rest;
        let messages = grants.into_iter().map(|(_, message)| message);
        messages
            .filter_map(|message| match message {
                Message::Grant(grant) => Some(grant),
                _ => None,
            })
            .collect()
    }

    /// Takes the refusals that were handed out since the last call.
    pub fn refusals(&mut self) -> Vec<(String, Refusal)> {
        let letters = std::mem::take(&mut self.out);
        letters
            .into_iter()
            .filter_map(|(_, message)| match message {
                Message::Refused { id, refusal, .. } => Some((id.to_string(), refusal)),
                _ => None,
            })
            .collect()
    }

    /// Takes the questions after grants that were asked since the last call.
    pub fn confirms(&mut self) -> Vec<GrantNumber> {
        let letters = std::mem::take(&mut self.out);
        letters
            .into_iter()
            .filter_map(|(_, message)| match message {
                Message::Confirm { number, .. } => Some(number),
                _ => None,
            })
            .collect()
    }
}
