//! Invariants of the shard scheduler that hold in any order of events.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{TestScheduler, ask};
use jaypin_core::{Config, Grant, Message, Reason, SlotProgress};
use proptest::prelude::*;

const BACKENDS: usize = 2;
const SLOTS: u32 = 3;
const ACCOUNTS: [&str; 3] = ["large", "small", "other"];

/// An event at an owner. An index selects a waiting ask or a granted slot and wraps around.
#[derive(Debug, Clone)]
enum Step {
    /// Sends a new ask.
    Ask {
        tier: u8,
        account: usize,
        prompt_tokens: u32,
        max_tokens: u32,
    },
    /// Sends a waiting ask with the next attempt number.
    NextAttempt(usize),
    /// Sends a waiting ask a second time, unchanged.
    Duplicate(usize),
    FirstToken(usize),
    Finish(usize),
    /// Reports that a call was lost.
    Lose(usize),
    /// Returns a granted slot unused.
    Return(usize),
    Withdraw(usize),
    /// Advances the clock by a number of milliseconds.
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        9 => (0..3_u8, 0..3_usize, 1..2_000_u32, 1..40_u32).prop_map(
            |(tier, account, prompt_tokens, max_tokens)| {
                Step::Ask { tier, account, prompt_tokens, max_tokens }
            }
        ),
        1 => any::<usize>().prop_map(Step::NextAttempt),
        1 => any::<usize>().prop_map(Step::Duplicate),
        3 => any::<usize>().prop_map(Step::FirstToken),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => any::<usize>().prop_map(Step::Return),
        1 => any::<usize>().prop_map(Step::Withdraw),
        3 => (1..200_u64).prop_map(Step::Advance),
    ]
}

/// The owners of the requests, and the scheduler that they send asks to.
#[derive(Debug)]
struct Owners {
    harness: TestScheduler,
    /// Asks that wait, by request id.
    waiting: BTreeMap<String, jaypin_core::Ask>,
    /// Granted slots in use, by request id.
    held: BTreeMap<String, Grant>,
    /// Number of responses by request id and attempt.
    responses: BTreeMap<(String, u32), u32>,
    /// Request id and attempt of each ask that is still to be answered.
    pending: BTreeSet<(String, u32)>,
    /// Number of new asks sent so far.
    count: usize,
}

impl Owners {
    fn new() -> Self {
        let cfg = Config {
            max_waiting: 4,
            ..Config::default()
        };
        Self {
            harness: TestScheduler::with_config(BACKENDS, SLOTS, &cfg),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            responses: BTreeMap::new(),
            pending: BTreeSet::new(),
            count: 0,
        }
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Ask {
                tier,
                account,
                prompt_tokens,
                max_tokens,
            } => self.send_new(*tier, *account, *prompt_tokens, *max_tokens),
            Step::NextAttempt(which) => {
                if let Some(mut next) = pick(&self.waiting, *which) {
                    self.pending.remove(&(next.id.to_string(), next.attempt));
                    next.attempt += 1;
                    self.send(next);
                }
            }
            Step::Duplicate(which) => {
                if let Some(duplicate) = pick(&self.waiting, *which) {
                    self.harness.submit(duplicate);
                }
            }
            Step::FirstToken(which) => {
                if let Some(grant) = pick(&self.held, *which) {
                    self.harness.report_first_token(&grant);
                }
            }
            Step::Finish(which) => self.end(*which, |harness, grant| {
                harness.report_finished(grant, 5, 100);
            }),
            Step::Lose(which) => self.end(*which, TestScheduler::report_lost),
            Step::Return(which) => self.end(*which, |harness, grant| {
                harness.report_progress(grant, SlotProgress::Returned);
            }),
            Step::Withdraw(which) => {
                if let Some(withdrawn) = pick(&self.waiting, *which) {
                    self.harness.scheduler.withdraw(&withdrawn.id);
                    self.waiting.remove(&*withdrawn.id);
                    self.pending
                        .remove(&(withdrawn.id.to_string(), withdrawn.attempt));
                }
            }
            Step::Advance(millis) => self.harness.advance(*millis),
        }
        self.check_messages();
    }

    fn send_new(&mut self, tier: u8, account: usize, prompt_tokens: u32, max_tokens: u32) {
        self.count += 1;
        let mut new = ask(&format!("r{}", self.count), tier);
        new.account = ACCOUNTS[account].into();
        new.prompt_tokens = prompt_tokens;
        new.max_tokens = max_tokens;
        self.send(new);
    }

    fn send(&mut self, ask: jaypin_core::Ask) {
        self.pending.insert((ask.id.to_string(), ask.attempt));
        self.waiting.insert(ask.id.to_string(), ask.clone());
        self.harness.submit(ask);
    }

    /// Ends a granted request; `report` reports its end to the scheduler.
    fn end(&mut self, which: usize, report: impl Fn(&mut TestScheduler, &Grant)) {
        if let Some(grant) = pick(&self.held, which) {
            self.held.remove(&*grant.id);
            report(&mut self.harness, &grant);
        }
    }

    /// Removes the scheduler's messages in their order, checks each, and checks the number of
    /// granted slots.
    fn check_messages(&mut self) {
        for (_, message) in std::mem::take(&mut self.harness.out) {
            match message {
                Message::Grant(grant) => {
                    let id = grant.id.to_string();
                    self.record_response(&id, grant.attempt);
                    assert!(
                        self.held.insert(id, grant).is_none(),
                        "a running request was granted another slot"
                    );
                }
                Message::Refused {
                    id,
                    attempt,
                    refusal,
                    ..
                } => {
                    let tier = self.waiting[&*id].tier;
                    self.record_response(&id, attempt);
                    let lower_tier_waits = self.waiting.values().any(|other| other.tier > tier);
                    assert!(
                        refusal.reason != Reason::Shed || !lower_tier_waits,
                        "a request was shed while a lower tier waited"
                    );
                    assert!(refusal.retry_after.is_some());
                }
                _ => {}
            }
        }
        let mut by_backend: BTreeMap<&str, u32> = BTreeMap::new();
        for grant in self.held.values() {
            *by_backend.entry(&grant.backend).or_default() += 1;
        }
        assert!(by_backend.values().all(|running| *running <= SLOTS));
        assert_eq!(self.held.len(), self.harness.scheduler.running_count());
    }

    fn record_response(&mut self, id: &str, attempt: u32) {
        let key = (id.to_owned(), attempt);
        self.waiting.remove(id);
        assert!(
            self.pending.remove(&key),
            "a response to an ask that is not pending"
        );
        *self.responses.entry(key).or_default() += 1;
    }
}

/// Returns the entry at an index that wraps around, or `None` if the map is empty.
fn pick<T: Clone>(from: &BTreeMap<String, T>, which: usize) -> Option<T> {
    let len = from.len();
    from.values().nth(which.checked_rem(len)?).cloned()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against what callers would notice: an engine that gets more streams than slots,
    /// so that their tokens arrive too slowly; a request that runs twice; a command that is shed
    /// while a summary waits; a caller that never gets a response.
    #[test]
    fn any_order_of_events_keeps_the_invariants(steps in prop::collection::vec(step(), 1..120)) {
        let mut owners = Owners::new();
        for step in &steps {
            owners.run_step(step);
        }
        // All deadlines pass and running requests end, so no ask may stay pending.
        for _ in 0..1_400 {
            owners.run_step(&Step::Advance(500));
            owners.run_step(&Step::FirstToken(0));
            owners.run_step(&Step::Finish(0));
        }
        prop_assert!(owners.pending.is_empty(), "unanswered: {:?}", owners.pending);
        prop_assert!(owners.responses.values().all(|count| *count == 1));
        prop_assert_eq!(owners.harness.scheduler.waiting_count(), 0);
    }
}
