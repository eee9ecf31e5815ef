//! Prints how many decisions per second one core makes, by the number of backend servers.
//!
//! One host leads every shard of a service and holds 5,000 waiting requests. A decision
//! covers the complete path of one request through the reducer: slot request, grant once a
//! slot is free, first token, end.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    Ask, BackendRecord, Config, Effect, Event, GrantNumber, HostId, HostList, HostRecord, Message,
    Presence, Reducer, Shard, ShardMap, SlotProgress,
};
use jaypin_rules::parse;

const WAITING_REQUESTS: usize = 5_000;
const TIMED_DECISIONS: usize = 200_000;
const SLOTS_PER_BACKEND: u32 = 16;
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
        bench.fill_queue();
        let waiting = bench.reducer.summary().queued_here;
        let start = Instant::now();
        let finished = bench.run(TIMED_DECISIONS);
        let seconds = start.elapsed().as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "an approximate count is enough")]
        let rate = finished as f64 / seconds;
        println!(
            "{backends:>15}  {:>6}  {waiting:>7}  {rate:>11.0}  {:>11.2}",
            bench.shards.len(),
            1e6 / rate,
        );
    }
}

/// A grant in use.
#[derive(Debug, Clone)]
struct UsedGrant {
    shard: Shard,
    id: Arc<str>,
    number: GrantNumber,
}

/// A reducer that leads all shards of the service, and the grants that it made.
struct Bench {
    reducer: Reducer,
    shards: Vec<Shard>,
    now: Instant,
    awaiting_first_token: VecDeque<UsedGrant>,
    running: VecDeque<UsedGrant>,
    requested: usize,
}

impl Bench {
    fn new(backends: usize) -> Self {
        let list = host_list(backends);
        let cfg = Config {
            host: "host-0".into(),
            max_waiting: 2 * WAITING_REQUESTS,
            ..Config::default()
        };
        let shards = ShardMap::build(&list.backends, cfg.shard_size);
        let shards = shards.iter().map(|(shard, _)| shard.clone()).collect();
        let mut now = Instant::now();
        let mut reducer = Reducer::new(cfg);
        let rules = Arc::new(parse(RULES).expect("the rules are valid"));
        reducer.apply(now, Event::Rules { version: 1, rules });
        reducer.apply(now, Event::Hosts(list));
        now += Duration::from_secs(1);
        reducer.apply(now, Event::Tick);
        Self {
            reducer,
            shards,
            now,
            awaiting_first_token: VecDeque::new(),
            running: VecDeque::new(),
            requested: 0,
        }
    }

    /// Requests slots until the target number of requests waits.
    fn fill_queue(&mut self) {
        while self.reducer.summary().queued_here < WAITING_REQUESTS {
            self.request_slot();
            self.send_first_tokens();
        }
    }

    /// Applies an event and collects the grants that it leads to.
    fn apply(&mut self, event: Event) {
        self.now += Duration::from_micros(10);
        for effect in self.reducer.apply(self.now, event) {
            if let Effect::Send {
                message: Message::Grant(grant),
                ..
            } = effect
            {
                self.awaiting_first_token.push_back(UsedGrant {
                    shard: grant.shard,
                    id: grant.id,
                    number: grant.number,
                });
            }
        }
    }

    /// Applies a message from the peer `host-1`, which owns all requests.
    fn receive(&mut self, message: Message) {
        let from: HostId = "host-1".into();
        self.apply(Event::Link { from, message });
    }

    /// Requests a slot for a new request; tier, shard and account vary with its number.
    fn request_slot(&mut self) {
        self.requested += 1;
        let number = self.requested;
        let tier = [0, 1, 1, 2][number % 4];
        self.receive(Message::Ask(Ask {
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

    /// Reports the progress of a granted request.
    fn progress(&mut self, grant: &UsedGrant, progress: SlotProgress) {
        self.receive(Message::Progress {
            shard: grant.shard.clone(),
            id: grant.id.clone(),
            number: grant.number,
            progress,
        });
    }

    /// Reports the first token of every granted request.
    fn send_first_tokens(&mut self) {
        while let Some(grant) = self.awaiting_first_token.pop_front() {
            let after = Duration::from_millis(5);
            self.progress(&grant, SlotProgress::FirstToken { after });
            self.running.push_back(grant);
        }
    }

    /// Finishes the oldest running request and requests a slot for a new one, `decisions`
    /// times. Returns how many requests were finished.
    fn run(&mut self, decisions: usize) -> usize {
        for finished in 0..decisions {
            self.send_first_tokens();
            let Some(grant) = self.running.pop_front() else {
                return finished;
            };
            let end = SlotProgress::Finished {
                tokens: 20,
                after: Duration::from_millis(400),
                lost: false,
            };
            self.progress(&grant, end);
            self.request_slot();
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
        slots: SLOTS_PER_BACKEND,
    });
    HostList {
        version: 1,
        hosts: vec![host],
        backends: backends.collect(),
    }
}
