//! Invariants of the shard scheduler over any order of events.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{Bed, ask};
use jaypin_core::{Config, Grant, Message, Reason, SlotProgress};
use proptest::prelude::*;

const BACKENDS: usize = 2;
const SLOTS: u32 = 3;
const ACCOUNTS: [&str; 3] = ["large", "small", "other"];

#[derive(Debug, Clone)]
enum Step {
    Ask {
        tier: u8,
        account: usize,
        prompt: u32,
        answer: u32,
    },
    AskAgain(usize),
    Repeat(usize),
    FirstToken(usize),
    Finish(usize),
    Lose(usize),
    Return(usize),
    Withdraw(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        9 => (0..3_u8, 0..3_usize, 1..2_000_u32, 1..40_u32).prop_map(
            |(tier, account, prompt, answer)| Step::Ask { tier, account, prompt, answer }
        ),
        1 => any::<usize>().prop_map(Step::AskAgain),
        1 => any::<usize>().prop_map(Step::Repeat),
        3 => any::<usize>().prop_map(Step::FirstToken),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => any::<usize>().prop_map(Step::Return),
        1 => any::<usize>().prop_map(Step::Withdraw),
        3 => (1..200_u64).prop_map(Step::Pass),
    ]
}

/// What owners know: asks that wait, grants that they hold, answers by ask.
#[derive(Debug)]
struct Owners {
    bed: Bed,
    waiting: BTreeMap<String, jaypin_core::Ask>,
    held: BTreeMap<String, Grant>,
    answers: BTreeMap<(String, u32), u32>,
    open: BTreeSet<(String, u32)>,
    count: usize,
}

impl Owners {
    fn new() -> Self {
        let cfg = Config {
            max_waiting: 4,
            ..Config::default()
        };
        Self {
            bed: Bed::with(BACKENDS, SLOTS, &cfg),
            waiting: BTreeMap::new(),
            held: BTreeMap::new(),
            answers: BTreeMap::new(),
            open: BTreeSet::new(),
            count: 0,
        }
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Ask {
                tier,
                account,
                prompt,
                answer,
            } => self.ask_new(*tier, *account, *prompt, *answer),
            Step::AskAgain(which) => {
                if let Some(mut again) = pick(&self.waiting, *which) {
                    self.open.remove(&(again.id.to_string(), again.attempt));
                    again.attempt += 1;
                    self.send(again);
                }
            }
            Step::Repeat(which) => {
                if let Some(same) = pick(&self.waiting, *which) {
                    self.bed.ask(same);
                }
            }
            Step::FirstToken(which) => {
                if let Some(grant) = pick(&self.held, *which) {
                    self.bed.first_token(&grant);
                }
            }
            Step::Finish(which) => self.end(*which, |bed, grant| bed.finish(grant, 5, 100)),
            Step::Lose(which) => self.end(*which, Bed::lose),
            Step::Return(which) => self.end(*which, |bed, grant| {
                bed.progress(grant, SlotProgress::Returned);
            }),
            Step::Withdraw(which) => {
                if let Some(gone) = pick(&self.waiting, *which) {
                    self.bed.scheduler.withdraw(&gone.id);
                    self.waiting.remove(&*gone.id);
                    self.open.remove(&(gone.id.to_string(), gone.attempt));
                }
            }
            Step::Pass(millis) => self.bed.pass(*millis),
        }
        self.look();
    }

    fn ask_new(&mut self, tier: u8, account: usize, prompt: u32, answer: u32) {
        self.count += 1;
        let mut new = ask(&format!("r{}", self.count), tier);
        new.account = ACCOUNTS[account].into();
        new.prompt_tokens = prompt;
        new.max_tokens = answer;
        self.send(new);
    }

    fn send(&mut self, ask: jaypin_core::Ask) {
        self.open.insert((ask.id.to_string(), ask.attempt));
        self.waiting.insert(ask.id.to_string(), ask.clone());
        self.bed.ask(ask);
    }

    fn end(&mut self, which: usize, how: impl Fn(&mut Bed, &Grant)) {
        if let Some(grant) = pick(&self.held, which) {
            self.held.remove(&*grant.id);
            how(&mut self.bed, &grant);
        }
    }

    /// Takes the scheduler's letters in their order and checks each.
    fn look(&mut self) {
        for (_, message) in std::mem::take(&mut self.bed.out) {
            match message {
                Message::Grant(grant) => {
                    let id = grant.id.to_string();
                    self.answered(&id, grant.attempt);
                    assert!(
                        self.held.insert(id, grant).is_none(),
                        "granted twice at once"
                    );
                }
                Message::Refused {
                    id,
                    attempt,
                    refusal,
                    ..
                } => {
                    let tier = self.waiting[&*id].tier;
                    self.answered(&id, attempt);
                    let lower = self.waiting.values().any(|other| other.tier > tier);
                    assert!(
                        refusal.reason != Reason::Shed || !lower,
                        "a higher tier was shed first"
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
        assert_eq!(self.held.len(), self.bed.scheduler.running_count());
    }

    fn answered(&mut self, id: &str, attempt: u32) {
        let key = (id.to_owned(), attempt);
        self.waiting.remove(id);
        assert!(
            self.open.remove(&key),
            "an answer to an ask that is not open"
        );
        *self.answers.entry(key).or_default() += 1;
    }
}

fn pick<T: Clone>(from: &BTreeMap<String, T>, which: usize) -> Option<T> {
    let len = from.len();
    from.values().nth(which.checked_rem(len)?).cloned()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// What a user would see of a breach: an engine with more streams than it can pace,
    /// a request that runs twice, a command refused while a summary waits, or a caller
    /// that is never answered.
    #[test]
    fn any_order_of_events_keeps_the_promises(steps in prop::collection::vec(step(), 1..120)) {
        let mut owners = Owners::new();
        for step in &steps {
            owners.take(step);
        }
        // Every deadline passes while running work ends: nothing may stay open.
        for _ in 0..1_400 {
            owners.take(&Step::Pass(500));
            owners.take(&Step::FirstToken(0));
            owners.take(&Step::Finish(0));
        }
        prop_assert!(owners.open.is_empty(), "unanswered: {:?}", owners.open);
        prop_assert!(owners.answers.values().all(|count| *count == 1));
        prop_assert_eq!(owners.bed.scheduler.waiting_count(), 0);
    }
}
