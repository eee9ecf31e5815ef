//! Measures the cost of one host's decisions as the fleet grows: memory by role, processor
//! time by event. The figures in `docs/CAPACITY.md` are derived from its output.
//!
//!     cargo run --release -p jaypin_core --example capacity

use std::alloc::System;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    BackendRecord, CallOutcome, CallProgress, Config, Effect, Event, HostList, HostRecord, Message,
    Presence, Reducer, RequestInfo,
};
use jaypin_rules::{Repeat, ServiceKind};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of requests in one repeat, including those that only fill the host.
const TIMED_REQUESTS: u32 = 20_000;
/// Requests that a host has running at the same time at the designed fleet size.
const RUNNING_REQUESTS: u32 = 120;
/// Repeats of each measurement; the spread between them is printed.
const REPEATS: usize = 5;

fn main() {
    println!("| what | size | figure | spread |\n|---|---|---|---|");
    for accounts in [5, 500, 17_000] {
        rule_cost(accounts);
    }
    for (hosts, backends) in [(13, 20), (39, 60), (120, 200), (370, 600)] {
        membership_cost(hosts, backends);
    }
    for (hosts, backends) in [(13, 20), (39, 60), (120, 200), (370, 600)] {
        request_cost(hosts, backends);
    }
}

/// Prints the median, the minimum and the maximum of the figures as a row of a Markdown
/// table.
fn print_row(what: &str, size: &str, mut figures: Vec<f64>, unit: &str) {
    figures.sort_by(f64::total_cmp);
    let median = figures[figures.len() / 2];
    let (min, max) = (figures[0], figures[figures.len() - 1]);
    println!("| {what} | {size} | {median:.1} {unit} | {min:.1} to {max:.1} |");
}

fn rule_text(accounts: usize) -> String {
    let mut text = String::from(
        "- {tier: urgent, rank: 0, first-token-ms: 1500, gap-ms: 66, whole-ms: 60000}  # asked by: a\n\
         - {service: chat, kind: engine, models: [small], tier: urgent}  # asked by: a\n",
    );
    for index in 0..accounts {
        let digest = jaypin_rules::digest_credential(&index.to_string());
        let _ = writeln!(
            text,
            "- {{account: account-{index}, share: 1}}  # asked by: sales"
        );
        let _ = writeln!(
            text,
            "- {{caller: {digest}, account: account-{index}}}  # asked by: sales"
        );
    }
    text
}

/// Measures the time to parse a rule file and the memory of the parsed rules.
fn rule_cost(accounts: usize) {
    let text = rule_text(accounts);
    let size = format!("{accounts} accounts, {} KB of text", text.len() / 1024);
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for _ in 0..REPEATS {
        let region = Region::new(ALLOCATOR);
        let start = Instant::now();
        let rules = jaypin_rules::parse(&text).expect("the generated rules are valid");
        times.push(millis(start.elapsed()));
        bytes.push(retained_kib(&region));
        drop(rules);
    }
    print_row("reading a rule file", &size, times, "ms");
    print_row("memory of its rules", &size, bytes, "KB");
}

/// Measures the time to apply a host list and the memory of the membership tables.
fn membership_cost(hosts: usize, backends: usize) {
    let size = format!("{hosts} hosts, {backends} backend servers");
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for repeat in 0..REPEATS {
        let region = Region::new(ALLOCATOR);
        let mut reducer = Reducer::new(config(repeat));
        reducer.apply(Instant::now(), Event::Hosts(host_list(1, hosts, backends)));
        bytes.push(retained_kib(&region));
        let list = host_list(2, hosts, backends);
        let start = Instant::now();
        reducer.apply(start, Event::Hosts(list));
        times.push(millis(start.elapsed()));
    }
    print_row("applying a new host list", &size, times, "ms");
    print_row("memory of membership and shards", &size, bytes, "KB");
}

/// Measures one request on its owner, from arrival to end, where the shard scheduler is the
/// host itself or a peer that grants immediately.
fn request_cost(hosts: usize, backends: usize) {
    let size = format!("{hosts} hosts, {backends} backend servers");
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for repeat in 0..REPEATS {
        let mut reducer = Reducer::new(config(repeat));
        let start = Instant::now();
        reducer.apply(start, Event::Hosts(host_list(1, hosts, backends)));
        let rules =
            Arc::new(jaypin_rules::parse(&rule_text(5)).expect("the generated rules are valid"));
        reducer.apply(start, Event::Rules { version: 1, rules });
        let region = Region::new(ALLOCATOR);
        for index in 0..RUNNING_REQUESTS {
            start_request(&mut reducer, start, index);
        }
        bytes.push(retained_kib(&region) / f64::from(RUNNING_REQUESTS));
        let timed_from = Instant::now();
        for index in RUNNING_REQUESTS..TIMED_REQUESTS {
            let now = start + Duration::from_millis(u64::from(index) * 250);
            start_request(&mut reducer, now, index);
            finish_request(&mut reducer, now, index - RUNNING_REQUESTS);
            if index % 10 == 0 {
                reducer.apply(now, Event::Tick);
            }
        }
        times.push(
            timed_from.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_REQUESTS - RUNNING_REQUESTS),
        );
    }
    print_row("one request on its owner, start to end", &size, times, "us");
    print_row("memory of a running request", &size, bytes, "KB");
}

/// Applies the arrival of a request and, if a peer leads its shard, the peer's grant.
fn start_request(reducer: &mut Reducer, now: Instant, index: u32) {
    let fx = reducer.apply(now, Event::Arrived(request(index)));
    for effect in fx {
        let Effect::Send {
            to,
            message: Message::Ask(ask),
        } = effect
        else {
            continue;
        };
        let grant = Message::Grant(jaypin_core::Grant {
            shard: ask.shard,
            id: ask.id,
            attempt: ask.attempt,
            number: jaypin_core::GrantNumber {
                incarnation: 1,
                sequence: u64::from(index),
            },
            backend: "backend-0".into(),
            expected_wait: Duration::ZERO,
            candidates: Vec::new(),
        });
        reducer.apply(
            now,
            Event::Link {
                from: to,
                message: grant,
            },
        );
    }
}

/// Applies the progress of a call up to its complete response.
fn finish_request(reducer: &mut Reducer, now: Instant, index: u32) {
    let outcome = CallOutcome::Complete;
    for progress in [
        CallProgress::Sent,
        CallProgress::FirstToken,
        CallProgress::Finished {
            tokens: 400,
            outcome,
        },
    ] {
        reducer.apply(
            now,
            Event::Call {
                id: id(index),
                progress,
            },
        );
    }
}

fn id(index: u32) -> Arc<str> {
    format!("host-0-1796255491548-{index}").into()
}

fn request(index: u32) -> RequestInfo {
    RequestInfo {
        id: id(index),
        account: format!("account-{}", index % 5).into(),
        service: "chat".into(),
        kind: ServiceKind::Engine,
        tier: 0,
        prompt_tokens: 400,
        max_tokens: 400,
        prefixes: vec![u64::from(index % 5), u64::from(index)],
        fingerprint: u64::from(index),
        repeat: Repeat::Idempotent,
        key: None,
        first_token_due_in: Duration::from_millis(1_500),
        response_due_in: Duration::from_mins(1),
        rule_lines: vec![1, 2, 3],
    }
}

fn config(seed: usize) -> Config {
    Config {
        host: "host-0".into(),
        seed: seed as u64,
        ..Config::default()
    }
}

fn host_list(version: u64, hosts: usize, backends: usize) -> HostList {
    let hosts = (0..hosts).map(|index| HostRecord {
        id: format!("host-{index}").into(),
        address: format!("10.0.{}.{}:7101", index / 250, index % 250),
        link: format!("10.0.{}.{}:7102", index / 250, index % 250),
        failure_domain: format!("domain-{}", index % 5).into(),
        presence: Presence::Live,
    });
    let backends = (0..backends).map(|index| BackendRecord {
        id: format!("backend-{index}").into(),
        address: format!("10.1.{}.{}:8000", index / 250, index % 250),
        service: "chat".into(),
        failure_domain: format!("domain-{}", index % 5).into(),
        presence: Presence::Live,
        slots: 64,
    });
    HostList {
        version,
        hosts: hosts.collect(),
        backends: backends.collect(),
    }
}

/// Returns the memory in KiB that was allocated in the region and is not freed yet.
#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
fn retained_kib(region: &Region<'_, System>) -> f64 {
    let stats = region.change();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated) as f64
        / 1024.0
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
