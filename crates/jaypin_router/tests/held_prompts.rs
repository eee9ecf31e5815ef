//! Placement by what engines are assumed to cache of a prompt.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use common::{Decision, ENGINES, TestHost, decision_for, record, report, whole_report};
use jaypin_router::{
    Account, AttemptOutcome, Backend, BackendLoad, Configuration, Demand, Effect, Event,
    HeldReport, HeldReports, PromptSegment, RequestNumber, backend_key, choose_backend,
};

/// Number of engines.
const ENGINE_COUNT: usize = 10;
/// Slots of an engine.
const SLOTS: u32 = 9;
/// Prefill rate that hosts assume of engines of which they know nothing, in tokens per millisecond.
const RATE: u32 = 40;
/// Time to the first event besides the prefill.
const OVERHEAD: Duration = Duration::from_millis(14);
/// A shared segment whose prefill takes 150 ms.
const SHARED: (u64, u32) = (1, 6_000);

/// A request that was sent.
#[derive(Debug)]
struct SentRequest {
    number: RequestNumber,
    engine: String,
    held: u32,
}

fn engine(n: usize) -> String {
    format!("engine-{n}")
}

fn host_of(configuration: Configuration) -> TestHost {
    let mut host = TestHost::new(configuration);
    add_engines(&mut host);
    host
}

fn add_engines(host: &mut TestHost) {
    for n in 0..ENGINE_COUNT {
        host.set_entry(record(&engine(n), ENGINES, SLOTS));
    }
}

fn host() -> TestHost {
    host_of(common::configuration(1))
}

fn prefill_time(tokens: u32) -> Duration {
    OVERHEAD + Duration::from_millis((tokens / RATE).into())
}

/// Sends a request with these segments, which are its whole prompt.
fn send_as(host: &mut TestHost, credential: &str, segments: &[(u64, u32)]) -> SentRequest {
    let mut number = 0;
    let fx = host.arrive_all(|it| {
        it.tokens = Some((segments.iter().map(|it| it.1).sum(), 60));
        it.credential = Some(credential.to_owned());
        it.segments = segments
            .iter()
            .map(|&(id, tokens)| PromptSegment { id, tokens })
            .collect();
        number = it.number;
    });
    let engine = decision_for(&fx, number).backend().to_owned();
    let held = fx.iter().find_map(|it| match it {
        Effect::Send { inputs, .. } => Some(inputs.held_tokens()),
        _ => None,
    });
    SentRequest {
        number,
        engine,
        held: held.expect("a sent request"),
    }
}

fn send(host: &mut TestHost, segments: &[(u64, u32)]) -> SentRequest {
    send_as(host, "key", segments)
}

/// Sends a request, whose answer begins when the prompt is read and ends at once.
fn serve(host: &mut TestHost, segments: &[(u64, u32)]) -> SentRequest {
    host.prove();
    let sent = send(host, segments);
    let tokens: u32 = segments.iter().map(|it| it.1).sum();
    host.wait(prefill_time(tokens - sent.held));
    host.answered(sent.number);
    host.ended(sent.number, AttemptOutcome::Complete);
    sent
}

/// Applies a peer's report of its load on an engine.
fn peer_load(host: &mut TestHost, sequence: u64, engine: &str, running: u32, unread_tokens: u32) {
    let mut report = report(sequence, whole_report(2));
    report.loads.push(BackendLoad {
        key: backend_key(engine),
        running,
        unread_tokens,
    });
    host.receive_report(report);
}

/// Guards against a long prefix that is read again on each engine at low load, where all of them are
/// equal without it.
#[test]
fn a_long_shared_prefix_is_read_once_at_low_load() {
    let mut host = host();
    let first = serve(&mut host, &[SHARED, (10, 300)]);
    assert_eq!(first.held, 0);
    for id in 11..31 {
        let sent = serve(&mut host, &[SHARED, (id, 300)]);
        assert_eq!((&sent.engine, sent.held), (&first.engine, 6_000));
        host.wait(Duration::from_millis(100));
        host.tick();
    }
    let counts = host.router.counts(host.now);
    assert_eq!((counts.held_tokens, counts.sent_elsewhere), (20 * 6_000, 0));
    assert!(counts.held_bytes > 0);
}

/// Guards against placement that follows the cache to an engine without a free slot.
#[test]
fn a_full_engine_is_not_followed() {
    let mut host = host();
    let first = serve(&mut host, &[SHARED, (10, 300)]);
    peer_load(&mut host, 1, &first.engine, SLOTS + 3, 0);
    let sent = serve(&mut host, &[SHARED, (11, 300)]);
    assert_ne!(sent.engine, first.engine);
    assert_eq!(sent.held, 0);
    assert_eq!(host.router.counts(host.now).sent_elsewhere, 1);
}

/// Guards against a saving that is expected of segments which the prompts of peers have pushed out of
/// a KV cache that is nearly full.
#[test]
fn a_prefix_that_peers_pushed_out_is_not_expected() {
    let mut host = host();
    let first = serve(&mut host, &[SHARED, (10, 300)]);
    // The KV cache has 600,000 tokens.
    for sequence in 0..40 {
        let (running, unread) = if sequence % 2 == 0 {
            (1, 20_000)
        } else {
            (0, 0)
        };
        peer_load(&mut host, 1 + sequence, &first.engine, running, unread);
        if sequence == 21 {
            let sent = serve(&mut host, &[SHARED, (11, 300)]);
            assert_eq!(sent.held, 6_000);
        }
    }
    let held = serve(&mut host, &[SHARED, (12, 300)]);
    assert_eq!(
        held.held, 6_000,
        "it was used after 220,000 of 400,000 tokens"
    );
    for sequence in 40..100 {
        let (running, unread) = if sequence % 2 == 0 {
            (1, 20_000)
        } else {
            (0, 0)
        };
        peer_load(&mut host, 1 + sequence, &first.engine, running, unread);
    }
    let sent = serve(&mut host, &[SHARED, (13, 300)]);
    assert_eq!(sent.held, 0);
}

/// Sends 1,000 requests with a hot segment, of which 35 run at once, and returns the engines used
/// and the number of requests that read the segment.
fn run_hot_segment(interval: Duration) -> (BTreeSet<String>, usize) {
    let mut host = host();
    serve(&mut host, &[SHARED, (10, 300)]);
    let mut answers: BTreeMap<Instant, Vec<RequestNumber>> = BTreeMap::new();
    let mut ends: BTreeMap<Instant, Vec<RequestNumber>> = BTreeMap::new();
    let (mut engines, mut uncached) = (BTreeSet::new(), 0);
    for step in 0..1_000 {
        host.wait(interval);
        host.prove();
        host.tick();
        let later = answers.split_off(&host.now);
        for number in std::mem::replace(&mut answers, later)
            .into_values()
            .flatten()
        {
            host.answered(number);
        }
        let later = ends.split_off(&host.now);
        for number in std::mem::replace(&mut ends, later).into_values().flatten() {
            host.ended(number, AttemptOutcome::Complete);
        }
        let sent = send(&mut host, &[SHARED, (100 + step, 100)]);
        uncached += usize::from(sent.held == 0);
        let answer = host.now + prefill_time(6_100 - sent.held);
        answers.entry(answer).or_default().push(sent.number);
        ends.entry(host.now + interval * 35)
            .or_default()
            .push(sent.number);
        engines.insert(sent.engine);
    }
    println!(
        "every {interval:?}: {uncached} prefills on {} engines",
        engines.len()
    );
    (engines, uncached)
}

/// Guards against one engine that gets all requests with a hot segment, against a segment that every
/// engine reads, and against requests that move to and fro and read it again.
#[test]
fn a_hot_segment_spreads_over_the_engines_that_its_load_needs() {
    // 35 requests of 7 s in 9 slots each need 4 engines.
    let (engines, uncached) = run_hot_segment(Duration::from_millis(200));
    assert!((4..=5).contains(&engines.len()), "{engines:?}");
    assert!(uncached <= engines.len(), "{uncached} requests read it");
}

/// Guards against engines that read a segment again and again where requests follow each other faster
/// than an engine reads it. Requests that arrive meanwhile are as soon served by another engine.
#[test]
fn each_engine_reads_a_hot_segment_once() {
    let (engines, uncached) = run_hot_segment(Duration::from_millis(20));
    assert!(uncached <= engines.len(), "{uncached} requests read it");
}

/// Guards against sessions that lose their earlier turns, which only their engine caches.
#[test]
fn a_growing_session_stays_at_its_engine() {
    let mut host = host();
    let first = serve(&mut host, &[SHARED, (7, 500)]);
    let mut before = 6_500;
    for turn in 1..10 {
        host.wait(Duration::from_secs(2));
        host.tick();
        host.prove();
        // Other work in between, which the preference leaves to other engines or this one.
        serve(&mut host, &[(1_000 + u64::from(turn), 2_000)]);
        let tokens = 500 + turn * 700;
        let sent = serve(&mut host, &[SHARED, (7, tokens)]);
        assert_eq!((&sent.engine, sent.held), (&first.engine, before));
        before = 6_000 + tokens;
    }
}

/// Guards against a saving that is expected of a restarted engine or of another software version.
#[test]
fn a_restart_or_a_new_version_ends_the_assumptions() {
    for change in ["restart", "version"] {
        let mut host = host();
        let first = serve(&mut host, &[SHARED, (10, 300)]);
        let mut changed = record(&first.engine, ENGINES, SLOTS);
        match change {
            "restart" => changed.started += 1,
            _ => changed.version = "v2".into(),
        }
        host.set_entry(changed);
        let sent = serve(&mut host, &[SHARED, (11, 300)]);
        assert_eq!(sent.held, 0, "{change}");
    }
}

/// Guards against assumptions that outlive what a host can know: while peers are silent, their prompts
/// push out segments unseen. A partition of 3 s leaves them valid.
#[test]
fn assumptions_end_sooner_while_peers_are_silent() {
    let mut configuration = common::configuration(1);
    for engine in configuration
        .services
        .iter_mut()
        .filter_map(|it| it.engine.as_mut())
    {
        engine.memory_tokens = 150_000;
    }
    let held_after = |is_silent: bool, seconds: u64| {
        let mut host = host_of(configuration.clone());
        peer_load(&mut host, 1, &engine(0), 0, 0);
        serve(&mut host, &[SHARED, (10, 300)]);
        for step in 0..seconds * 10 {
            host.wait(Duration::from_millis(100));
            host.prove();
            host.tick();
            if !is_silent {
                peer_load(&mut host, 2 + step, &engine(0), 0, 0);
            }
        }
        send(&mut host, &[SHARED, (11, 300)]).held
    };
    assert_eq!(held_after(true, 3), 6_000);
    // The peer is half of the fleet and may have sent 20 tokens per millisecond for 7 s.
    assert_eq!(held_after(true, 8), 0);
    assert_eq!(held_after(false, 8), 6_000);
}

/// Guards against segments in another order, or of another account, that attract requests.
#[test]
fn other_prompts_save_nothing() {
    let mut configuration = common::configuration(1);
    configuration.accounts.push(Account {
        name: "barn".into(),
        credentials: vec!["other".to_owned()],
        priority: None,
        quota: None,
    });
    let mut host = host_of(configuration);
    serve(&mut host, &[SHARED, (2, 3_000), (3, 300)]);
    let reordered = send(&mut host, &[(2, 3_000), SHARED, (3, 300)]);
    assert_eq!(reordered.held, 0);
    let other_account = send_as(&mut host, "other", &[SHARED, (2, 3_000), (3, 300)]);
    assert_eq!(other_account.held, 0);
    let same = send(&mut host, &[SHARED, (2, 3_000), (4, 300)]);
    assert_eq!(same.held, 9_000);
}

/// Guards against use on routes that state no segments, of engines without a stated KV cache, and on
/// hosts where it is switched off.
#[test]
fn deployments_without_segments_or_cache_size_are_served_as_before() {
    let mut without_segments = common::configuration(1);
    for route in &mut without_segments.routes {
        route.has_segments = false;
    }
    let mut without_cache = common::configuration(1);
    for service in &mut without_cache.services {
        if let Some(engine) = &mut service.engine {
            engine.memory_tokens = 0;
        }
    }
    let host_without_them = {
        let mut host = TestHost::without_held_parts(common::configuration(1));
        add_engines(&mut host);
        host
    };
    let hosts = [without_segments, without_cache].map(host_of);
    for mut host in hosts.into_iter().chain([host_without_them]) {
        let sent: Vec<_> = (0..30)
            .map(|id| serve(&mut host, &[SHARED, (id, 300)]))
            .collect();
        assert!(sent.iter().all(|it| it.held == 0));
        let engines: BTreeSet<_> = sent.iter().map(|it| &it.engine).collect();
        assert!(engines.len() > 5, "{engines:?}");
    }
}

/// Guards against an assumption that the time to the first event refutes and that is kept, and against
/// a prefill rate that is learned from it: the engine would count as slow.
#[test]
fn a_late_first_event_refutes_an_assumption() {
    let mut host = host();
    let first = serve(&mut host, &[SHARED, (10, 300)]);
    let second = send(&mut host, &[SHARED, (11, 300)]);
    assert_eq!(second.held, 6_000);
    host.wait(prefill_time(6_300));
    host.answered(second.number);
    assert_eq!(host.router.counts(host.now).refuted_held, 1);
    // It has read the whole prompt now, at its usual rate.
    let third = serve(&mut host, &[SHARED, (12, 300)]);
    assert_eq!((third.engine, third.held), (first.engine, 6_000));
}

/// Guards against hosts that can't hear each other and send one prefix to different engines.
#[test]
fn hosts_that_do_not_hear_each_other_choose_the_same_engines() {
    let (mut one, mut other) = (host(), host());
    // Other random numbers than those of the first host.
    for id in ["plain-1", "plain-22"] {
        other.set_entry(record(id, common::PLAIN, 6));
    }
    for _ in 0..3 {
        let (number, decision) = other.arrive("/read/x", (0, 0));
        assert!(matches!(decision, Decision::Sent(_)));
        other.ended(number, AttemptOutcome::Complete);
    }
    for id in 0..30 {
        let prompt = [(1_000 + id, 6_000), (2_000 + id, 300)];
        let engines = [&mut one, &mut other].map(|host| {
            host.wait(Duration::from_millis(200));
            host.tick();
            host.prove();
            let sent = send(host, &prompt);
            // It is refused before it has run, so nothing is learned from it.
            host.apply(Event::AttemptEnded {
                number: sent.number,
                outcome: AttemptOutcome::Abandoned,
            });
            sent.engine
        });
        assert_eq!(engines[0], engines[1], "prefix {id}");
    }
}

/// Returns the reports about cached prefixes among effects.
fn held_reports(fx: &[Effect]) -> Vec<HeldReport> {
    let reports = fx.iter().filter_map(|it| match it {
        Effect::SendReport { report, .. } => Some(report.held.iter().copied()),
        _ => None,
    });
    reports.flatten().collect()
}

/// Serves a request with these segments and returns what is reported to the peer meanwhile and shortly
/// after.
fn serve_and_report(
    host: &mut TestHost,
    sequence: u64,
    segments: &[(u64, u32)],
) -> Vec<HeldReport> {
    peer_load(host, sequence, &engine(0), 0, 0);
    host.prove();
    let sent = send(host, segments);
    let mut reports = Vec::new();
    host.wait(prefill_time(10_000));
    reports.extend(host.apply(Event::ResponseStarted(sent.number)));
    host.wait(Duration::from_millis(50));
    let outcome = AttemptOutcome::Complete;
    reports.extend(host.apply(Event::AttemptEnded {
        number: sent.number,
        outcome,
    }));
    for _ in 0..10 {
        host.wait(Duration::from_millis(10));
        reports.extend(host.tick());
    }
    held_reports(&reports)
}

/// Guards against a host of many that knows only its own few requests, and reads again what another
/// host's engine caches.
#[test]
fn a_peer_follows_reports_of_cached_prefixes() {
    let (mut one, mut other) = (host(), host());
    let reports = serve_and_report(&mut one, 1, &[SHARED, (10, 300)]);
    assert_eq!(reports.len(), 2, "{reports:?}");
    let mut received = report(1, whole_report(2));
    received.held.clone_from(&reports);
    other.receive_report(received.clone());
    let sent = serve(&mut other, &[SHARED, (11, 300)]);
    assert_eq!(sent.held, 6_000);
    assert_eq!(backend_key(&sent.engine), reports[0].key);

    // A report about a run of the engine that has ended meanwhile.
    let mut late = host();
    let mut restarted = record(&sent.engine, ENGINES, SLOTS);
    restarted.started += 1;
    late.set_entry(restarted);
    late.receive_report(received.clone());
    assert_eq!(serve(&mut late, &[SHARED, (11, 300)]).held, 0);

    let mut off = TestHost::without_held_parts(common::configuration(1));
    add_engines(&mut off);
    off.receive_report(received);
    assert_eq!(off.router.counts(off.now).held_bytes, 0);
}

/// Guards against reports that repeat what peers know, or that grow with the number of requests with
/// one segment; and against peers that forget a segment which stays in use.
#[test]
fn a_prefix_is_reported_again_only_after_a_pause() {
    let mut host = host();
    assert_eq!(serve_and_report(&mut host, 1, &[SHARED]).len(), 1);
    for sequence in 2..6 {
        assert_eq!(serve_and_report(&mut host, sequence, &[SHARED]), []);
    }
    // A session that has grown is new.
    let grown = (SHARED.0, SHARED.1 + 1_000);
    assert_eq!(serve_and_report(&mut host, 6, &[grown]).len(), 1);
    host.wait(Duration::from_secs(11));
    assert_eq!(serve_and_report(&mut host, 7, &[grown, (2, 100)]), []);
    host.wait(Duration::from_secs(11));
    assert_eq!(serve_and_report(&mut host, 8, &[grown]).len(), 1);
}

/// Guards against reports whose size grows with the number of segments, and against a queue of
/// prefixes that fills the memory of a host.
#[test]
fn the_reported_prefixes_are_bounded() {
    let (mut reports, now) = (HeldReports::default(), Instant::now());
    for prefix in 0..100_000 {
        let report = HeldReport {
            key: 1,
            run: 2,
            prefix,
            tokens: 4_000,
        };
        reports.queue(report, now);
    }
    assert_eq!(reports.take(&[1]).len(), 8);
    assert_eq!(reports.take(&[1]).len(), 8);
    assert_eq!(reports.take(&[1]), []);
}

/// Returns whether the cache decides between an engine that caches part of the prompt and one that is
/// idle.
fn follows_cache(prompt_tokens: u32, held: u32, tokens_ahead: u32, running: u32) -> bool {
    let now = Instant::now();
    let mut caching = Backend::new(record("caching", ENGINES, SLOTS));
    let load = BackendLoad {
        key: caching.key,
        running,
        unread_tokens: tokens_ahead,
    };
    caching.set_peer_load(load, tokens_ahead, now);
    let idle = Backend::new(record("idle", ENGINES, SLOTS));
    let demand = Demand {
        prompt_tokens,
        latency_target: Duration::from_millis(600),
        longest_pause: Some(Duration::from_millis(300)),
        hold_time: Duration::from_millis(180),
        answer: None,
        time_left: Duration::from_secs(12),
        has_waited: false,
    };
    let choice = choose_backend(
        [&idle, &caching].into_iter(),
        &demand,
        &[],
        |_, _| true,
        |it| if it.key == load.key { held } else { 0 },
        || 0.0,
        now,
    );
    &*choice.expect("two usable engines").backend == "caching"
}

/// Guards against a constant bonus: a short saving would outweigh a longer wait, or a long one would
/// not outweigh a shorter wait.
#[test]
fn a_saving_counts_as_much_as_a_wait_of_the_same_time() {
    // Without a wait, each saving decides.
    assert!(follows_cache(6_000, 5 * RATE, 0, 0));
    // 5 ms saved against 20 ms of pending prefill, or against 20 ms until a slot is free.
    assert!(!follows_cache(6_000, 5 * RATE, 20 * RATE, 1));
    assert!(!follows_cache(6_000, 5 * RATE, 0, SLOTS));
    // 500 ms saved against 100 ms of pending prefill, or against 100 ms until a slot is free.
    assert!(follows_cache(24_000, 500 * RATE, 100 * RATE, 1));
    assert!(follows_cache(24_000, 500 * RATE, 0, SLOTS + 4));
}

/// Requests whose time is measured.
const MEASURED: u64 = 2_000;
/// Largest CPU time that the assumptions may add to a request with 90 engines, in a build without
/// optimization: 5% of what a host on a tenth of a core has for one of ten requests per second.
const MAX_ADDED_TIME: Duration = Duration::from_micros(500);

/// Guards against lookups and comparisons of engines that take a large part of a small host's core.
#[test]
fn the_assumptions_add_little_time_to_a_request() {
    let mean_time = |mut host: TestHost| {
        for n in 0..90 {
            host.set_entry(record(&engine(n), ENGINES, SLOTS));
        }
        let began = common::cpu_time();
        for id in 0..MEASURED {
            serve(&mut host, &[SHARED, (id % 50, 2_000), (1_000 + id, 300)]);
        }
        common::cpu_time().saturating_sub(began) / u32::try_from(MEASURED).expect("a small number")
    };
    let without = mean_time(TestHost::without_held_parts(common::configuration(1)));
    let with = mean_time(TestHost::new(common::configuration(1)));
    println!("{with:?} per request, {without:?} without them");
    assert!(
        with.saturating_sub(without) <= MAX_ADDED_TIME,
        "{with:?}, {without:?}"
    );
}
