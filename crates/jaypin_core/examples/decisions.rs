//! Prints how many decisions a second one core makes, by number of backend servers.
//!
//! One host leads every shard of a service and holds 5,000 waiting requests. A decision
//! is one request's way through the reducer: asked, granted once a slot is free, first
//! token, end.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    Ask, BackendRecord, Config, Effect, Event, GrantNumber, HostId, HostList, HostRecord, Message,
    Presence, Reducer, Shard, ShardMap, SlotProgress,
};
use jaypin_rules::parse;

const WAITING: usize = 5_000;
const DECISIONS: usize = 200_000;
const SLOTS: u32 = 16;
const RULES: &str = "\
- {tier: high, rank: 0, first-token-ms: 600000, gap-ms: 66, whole-ms: 900000, weight: 8, reserve: 1}  # asked by: example
- {tier: middle, rank: 1, first-token-ms: 600000, gap-ms: 66, whole-ms: 900000, weight: 2}  # asked by: example
- {tier: low, rank: 2, first-token-ms: 600000, gap-ms: 66, whole-ms: 900000, weight: 1, minimum-percent: 5}  # asked by: example
- {service: chat, kind: engine, models: [m], tier: middle}  # asked by: example
";

fn main() {
    println!("backend servers  shards  waiting  decisions/s  µs/decision");
    for backends in [20, 100, 300, 600] {
        let mut bench = Bench::new(backends);
        bench.fill();
        let waiting = bench.reducer.summary().queued_here;
        let start = Instant::now();
        let made = bench.run(DECISIONS);
        let seconds = start.elapsed().as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "a count for people")]
        let rate = made as f64 / seconds;
        println!(
            "{backends:>15}  {:>6}  {waiting:>7}  {rate:>11.0}  {:>11.2}",
            bench.shards.len(),
            1e6 / rate,
        );
    }
}

/// A grant in use.
#[derive(Debug, Clone)]
struct Slot {
    shard: Shard,
    id: Arc<str>,
    number: GrantNumber,
}

struct Bench {
    reducer: Reducer,
    shards: Vec<Shard>,
    now: Instant,
    starting: VecDeque<Slot>,
    running: VecDeque<Slot>,
    asked: usize,
}

impl Bench {
    fn new(backends: usize) -> Self {
        let list = host_list(backends);
        let cfg = Config {
            host: "host-0".into(),
            max_waiting: 2 * WAITING,
            ..Config::default()
        };
        let shards = ShardMap::build(&list.backends, cfg.shard_size);
        let shards = shards.iter().map(|(shard, _)| shard.clone()).collect();
        let mut now = Instant::now();
        let mut reducer = Reducer::new(cfg);
        let rules = Arc::new(parse(RULES).expect("rules"));
        reducer.apply(now, Event::Rules { version: 1, rules });
        reducer.apply(now, Event::Hosts(list));
        now += Duration::from_secs(1);
        reducer.apply(now, Event::Tick);
        Self {
            reducer,
            shards,
            now,
            starting: VecDeque::new(),
            running: VecDeque::new(),
            asked: 0,
        }
    }

    fn fill(&mut self) {
        while self.reducer.summary().queued_here < WAITING {
            self.ask();
            self.start();
        }
    }

    fn apply(&mut self, event: Event) {
        self.now += Duration::from_micros(10);
        for effect in self.reducer.apply(self.now, event) {
            if let Effect::Send {
                message: Message::Grant(grant),
                ..
            } = effect
            {
                self.starting.push_back(Slot {
                    shard: grant.shard,
                    id: grant.id,
                    number: grant.number,
                });
            }
        }
    }

    fn link(&mut self, message: Message) {
        let from: HostId = "host-1".into();
        self.apply(Event::Link { from, message });
    }

    fn ask(&mut self) {
        self.asked += 1;
        let number = self.asked;
        let tier = [0, 1, 1, 2][number % 4];
        self.link(Message::Ask(Ask {
            shard: self.shards[number % self.shards.len()].clone(),
            id: format!("r{number}").into(),
            attempt: 1,
            tier,
            account: format!("account-{}", number % 97).into(),
            prompt_tokens: 20,
            max_tokens: 20,
            first_token_due_in: Duration::from_mins(10),
            response_due_in: Duration::from_mins(15),
            prefixes: vec![number as u64 % 500, number as u64],
        }));
    }

    fn progress(&mut self, slot: &Slot, progress: SlotProgress) {
        self.link(Message::Progress {
            shard: slot.shard.clone(),
            id: slot.id.clone(),
            number: slot.number,
            progress,
        });
    }

    /// Gives every granted request its first token.
    fn start(&mut self) {
        while let Some(slot) = self.starting.pop_front() {
            let after = Duration::from_millis(5);
            self.progress(&slot, SlotProgress::FirstToken { after });
            self.running.push_back(slot);
        }
    }

    /// Ends the oldest running request and asks for another, again and again.
    fn run(&mut self, decisions: usize) -> usize {
        for made in 0..decisions {
            self.start();
            let Some(slot) = self.running.pop_front() else {
                return made;
            };
            let end = SlotProgress::Finished {
                tokens: 20,
                after: Duration::from_millis(400),
                lost: false,
            };
            self.progress(&slot, end);
            self.ask();
        }
        decisions
    }
}

fn host_list(backends: usize) -> HostList {
    let host = HostRecord {
        id: "host-0".into(),
        address: "127.0.0.1:1".to_owned(),
        link: "127.0.0.1:2".to_owned(),
        failure_domain: "domain-0".into(),
        presence: Presence::Live,
    };
    let backends = (0..backends).map(|index| BackendRecord {
        id: format!("engine-{index}").into(),
        address: "127.0.0.1:3".to_owned(),
        service: "chat".into(),
        failure_domain: "domain-0".into(),
        presence: Presence::Live,
        slots: SLOTS,
    });
    HostList {
        version: 1,
        hosts: vec![host],
        backends: backends.collect(),
    }
}
