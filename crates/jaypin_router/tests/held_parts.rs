//! What a host assumes of the KV caches of engines, and how long.

mod common;

use std::time::{Duration, Instant};

use jaypin_router::{
    CacheClock, EngineOrder, HeldParts, HeldPrefix, MAX_HELD_BYTES, PromptChain, PromptSegment,
};

/// Keys of two accounts.
const FARM: u64 = 11;
const BARN: u64 = 12;
/// Run of an engine, and a later run.
const ENGINE: u32 = 5;
const NEXT_RUN: u32 = 6;
/// Shortest step at which prefixes are recorded, in tokens.
const MIN_TOKENS: u32 = 200;
/// KV cache size of an engine, in tokens.
const CAPACITY: u64 = 100_000;
/// Distinct segments that must not exceed the memory of a host.
const DISTINCT: u64 = 1_000_000;
/// Mean CPU time to look up and record one prompt in a build without optimization: 1% of what a host
/// on a tenth of a core has for one of ten requests per second.
const MAX_TIME: Duration = Duration::from_micros(100);

fn chain(account: u64, segments: &[(u64, u32)]) -> PromptChain {
    let segments: Vec<_> = segments
        .iter()
        .map(|&(id, tokens)| PromptSegment { id, tokens })
        .collect();
    PromptChain::new(account, &segments)
}

fn held(parts: &HeldParts, prompt: &PromptChain, engine: u32, now: Instant) -> u32 {
    parts.find(prompt, now).longest(engine, 0).tokens
}

/// Returns assumptions after one prompt of the first account.
fn after(segments: &[(u64, u32)], now: Instant) -> HeldParts {
    let mut parts = HeldParts::default();
    parts.record(&chain(FARM, segments), ENGINE, 0, MIN_TOKENS, now);
    parts
}

/// Guards against a saving that is expected of segments in another order, which the engine reads
/// again.
#[test]
fn segments_count_only_after_the_same_ones() {
    let now = Instant::now();
    let parts = after(&[(1, 4_000), (2, 3_000), (3, 500)], now);
    let same = chain(FARM, &[(1, 4_000), (2, 3_000), (9, 700)]);
    assert_eq!(held(&parts, &same, ENGINE, now), 7_000);
    let swapped = chain(FARM, &[(2, 3_000), (1, 4_000), (3, 500)]);
    assert_eq!(held(&parts, &swapped, ENGINE, now), 0);
    let without_first = chain(FARM, &[(2, 3_000), (3, 500)]);
    assert_eq!(held(&parts, &without_first, ENGINE, now), 0);
    let longer_first = chain(FARM, &[(1, 5_000), (2, 3_000)]);
    assert_eq!(held(&parts, &longer_first, ENGINE, now), 4_000);
}

/// Guards against an account that learns from placement which prompts another account sent.
#[test]
fn the_same_segment_id_of_two_accounts_is_not_shared() {
    let now = Instant::now();
    let segments = [(1, 4_000), (2, 300)];
    let parts = after(&segments, now);
    assert_eq!(held(&parts, &chain(FARM, &segments), ENGINE, now), 4_300);
    assert_eq!(held(&parts, &chain(BARN, &segments), ENGINE, now), 0);
}

/// Guards against a saving that is expected of the empty cache of a restarted engine.
#[test]
fn another_run_of_an_engine_caches_nothing() {
    let now = Instant::now();
    let segments = [(1, 4_000)];
    let parts = after(&segments, now);
    assert_eq!(held(&parts, &chain(FARM, &segments), NEXT_RUN, now), 0);
}

/// Guards against sessions whose next turn is taken for a new prompt because their last segment has
/// grown.
#[test]
fn a_grown_session_saves_its_earlier_turns() {
    let now = Instant::now();
    let parts = after(&[(1, 4_000), (7, 900)], now);
    let next = chain(FARM, &[(1, 4_000), (7, 1_500)]);
    assert_eq!(held(&parts, &next, ENGINE, now), 4_900);
}

/// Guards against memory and comparisons that are spent on segments whose prefill takes less than the
/// variation of the time to the first event.
#[test]
fn segments_that_save_little_are_not_recorded() {
    let now = Instant::now();
    let parts = after(&[(1, MIN_TOKENS - 1)], now);
    assert_eq!(parts.segments(), 0);
    let parts = after(&[(1, MIN_TOKENS), (2, MIN_TOKENS - 1)], now);
    assert_eq!(parts.segments(), 1);
}

/// Guards against assumptions that never end where nothing contradicts them.
#[test]
fn an_assumption_ends_after_a_minute_without_use() {
    let now = Instant::now();
    let segments = [(1, 4_000)];
    let prompt = chain(FARM, &segments);
    let parts = after(&segments, now);
    let later = now + Duration::from_secs(3);
    assert_eq!(held(&parts, &prompt, ENGINE, later), 4_000);
    let later = now + Duration::from_mins(1);
    assert_eq!(held(&parts, &prompt, ENGINE, later), 0);
}

/// Guards against a KV cache that counts as larger than it is, or than running requests leave.
#[test]
fn a_prefix_is_evicted_when_other_tokens_need_its_place() {
    let mut clock = CacheClock::default();
    clock.advance(4_000.0);
    let used_at = clock.read();
    clock.advance(60_000.0);
    assert!(used_at >= clock.oldest_cached(CAPACITY, 0.0));
    // Running requests leave 50,000 tokens.
    assert!(used_at < clock.oldest_cached(CAPACITY, 30_000.0));
    clock.advance(40_000.0);
    assert!(used_at < clock.oldest_cached(CAPACITY, 0.0));
    // Without a KV cache size nothing is cached.
    assert!(clock.read() < clock.oldest_cached(0, 0.0));
}

/// Guards against a prefix that proved to be evicted and is expected again, or one that was used less
/// recently.
#[test]
fn a_refuted_prefix_ends_those_that_were_used_before() {
    let mut clock = CacheClock::default();
    clock.advance(1_000.0);
    let older = clock.read();
    clock.advance(1_000.0);
    let refuted = clock.read();
    clock.advance(1_000.0);
    clock.record_evicted(refuted);
    let oldest = clock.oldest_cached(CAPACITY, 0.0);
    assert!(older < oldest && refuted < oldest);
    assert!(clock.read() >= oldest);
}

/// Guards against assumptions that fill the memory of a host, that cost much time, or that forget a
/// segment in use for segments that come once.
#[test]
fn a_million_distinct_segments_take_bounded_memory_and_time() {
    let (mut parts, mut now) = (HeldParts::default(), Instant::now());
    let began = common::cpu_time();
    for id in 0..DISTINCT {
        now += Duration::from_millis(1);
        let prompt = chain(FARM, &[(u64::MAX, 4_000), (id, 500)]);
        let found = parts.find(&prompt, now);
        assert!(id == 0 || found.longest(ENGINE, 0).tokens == 4_000);
        parts.record(&prompt, ENGINE, id, MIN_TOKENS, now);
        assert!(parts.bytes() <= MAX_HELD_BYTES + 1_024, "{}", parts.bytes());
    }
    let time =
        common::cpu_time().saturating_sub(began) / u32::try_from(DISTINCT).expect("a small number");
    println!(
        "{time:?} per request, {} bytes in {} segments",
        parts.bytes(),
        parts.segments()
    );
    assert!(time <= MAX_TIME, "{time:?} per request");
}

/// Guards against a hot segment that takes memory for every engine it was ever sent to.
#[test]
fn one_segment_on_many_engines_takes_bounded_memory() {
    let (mut parts, now) = (HeldParts::default(), Instant::now());
    let prompt = chain(FARM, &[(1, 4_000)]);
    for engine in 0..100_000 {
        parts.record(&prompt, engine, 0, MIN_TOKENS, now);
    }
    assert!(parts.bytes() <= 4_096, "{} bytes", parts.bytes());
    assert_eq!(held(&parts, &prompt, 99_999, now), 4_000);
}

/// Guards against a prefix that is cut short by what the caller states, which would count more tokens
/// than the prompt has.
#[test]
fn no_more_tokens_count_than_the_segments_have() {
    let now = Instant::now();
    let mut parts = HeldParts::default();
    let prompt = chain(FARM, &[(1, 3_000)]);
    let key = prompt.links().next().expect("one segment").key;
    let prefix = HeldPrefix {
        tokens: 4_000,
        used_at: 0,
    };
    parts.record_prefix(key, ENGINE, prefix, now);
    assert_eq!(held(&parts, &prompt, ENGINE, now), 3_000);
}

/// Guards against hosts that prefer different engines for one prefix, and against one engine that all
/// prompts prefer.
#[test]
fn the_preferred_engines_depend_on_the_prefix_alone() {
    let order_of = |segments: &[(u64, u32)], first: u32| {
        let mut engines: Vec<_> = (first..90).chain(0..first).collect();
        let order = EngineOrder::of(&chain(FARM, segments)).expect("segments");
        order.sort(&mut engines, |it| *it);
        engines
    };
    let one = order_of(&[(1, 4_000), (2, 300)], 0);
    assert_eq!(one[..4], order_of(&[(1, 4_000), (2, 300)], 17)[..4]);
    let sorted = |engines: &[u32]| {
        let mut engines = engines.to_vec();
        engines.sort_unstable();
        engines
    };
    let other = order_of(&[(1, 4_000), (3, 300)], 0);
    assert_eq!(sorted(&one[..4]), sorted(&other[..4]));
    assert_ne!(sorted(&one[..4]), sorted(&order_of(&[(9, 4_000)], 0)[..4]));
    let firsts = (0..1_000).map(|id| order_of(&[(id, 4_000)], 0)[0]);
    let mut counts = [0; 90];
    firsts.for_each(|it| counts[usize::try_from(it).expect("few engines")] += 1);
    assert!(counts.iter().all(|it| *it <= 30), "{counts:?}");
}
