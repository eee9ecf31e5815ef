//! Units of an account's quota that are reserved for its urgent routes.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::time::{Duration, Instant};

use common::{PLAIN, RouteExt, configuration, record, route, token_quota};
use fleet::{Answer, BackendModel, Call, Fleet};
use jaypin_core::{AccountId, BackendId};
use jaypin_router::{
    Account, AccountArrivals, BackendSignals, FleetLevel, FleetQuota, QuotaReserve, Repeat,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Tokens per second of the account's quota.
const RATE: f64 = 100_000.0;
/// Tokens that it may use at once besides.
const BURST: f64 = 3.0 * RATE;
/// Number of hosts of the simulated fleet, in two cells.
const HOSTS: usize = 70;
/// Prompt tokens of requests to the urgent route; odd, so that they differ from the others.
const URGENT_PROMPTS: [u32; 4] = [2_001, 4_001, 8_001, 20_001];
/// Prompt tokens of requests to the other route.
const OTHER_PROMPTS: [u32; 4] = [400, 800, 1_200, 2_400];
/// Fraction of the requests that are urgent; three quarters of the units.
const URGENT_FRACTION: f64 = 0.3;
/// Tokens of a request, on average.
const MEAN_TOKENS: f64 = 3_420.0;
/// Tokens of a small request, on average.
const SMALL_MEAN_TOKENS: f64 = 880.0;
/// Tokens of the longest prompt.
const LONGEST_PROMPT: u32 = 50_001;
/// Time after the start from which requests are counted.
const SETTLED: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(8);
const URGENT: (u32, u8) = (1, 0);
const OTHER: (u32, u8) = (1, 2);

fn farm() -> AccountId {
    AccountId::from("farm")
}

/// Backend servers that answer every request.
struct Answering;

impl BackendModel for Answering {
    fn answer(&mut self, _: &Call, rng: &mut ChaCha8Rng) -> Answer {
        Answer::good(BackendSignals::default(), rng)
    }

    fn header_received(&mut self, _: usize, _: &BackendId, _: &Answer, _: Instant) {}
}

fn fleet_of(hosts: usize, seed: u64) -> Fleet<Answering> {
    let mut configuration = configuration(1);
    let urgent = route("find", Repeat::Idempotent, PLAIN).with_priority(0);
    configuration.routes.push(urgent);
    configuration.accounts[0].quota = Some(token_quota(RATE, BURST));
    let records = (0..3).map(|n| record(&format!("plain-{n}"), PLAIN, 1_000));
    Fleet::new(hosts, seed, configuration, records.collect(), Answering)
}

/// Lets the account send `demand` times its rate for `time`.
fn run(fleet: &mut Fleet<Answering>, demand: f64, time: Duration) {
    fleet.rate = demand * RATE / MEAN_TOKENS;
    let end = fleet.since_start() + time;
    fleet.run_until(end, choose_request);
}

/// The same with small requests, so that both cells get nearly equal parts.
fn run_small(fleet: &mut Fleet<Answering>, demand: f64, time: Duration) {
    fleet.rate = demand * RATE / SMALL_MEAN_TOKENS;
    let end = fleet.since_start() + time;
    fleet.run_until(end, |fleet| {
        choose_request(fleet);
        let is_urgent = fleet.path == "/find/x";
        fleet.prompt_tokens = if is_urgent { 1_971 } else { 370 };
    });
}

fn choose_request(fleet: &mut Fleet<Answering>) {
    let is_urgent = fleet.rng.random_bool(URGENT_FRACTION);
    let (path, prompts) = if is_urgent {
        ("/find/x", URGENT_PROMPTS)
    } else {
        ("/read/x", OTHER_PROMPTS)
    };
    fleet.path = path;
    fleet.prompt_tokens = prompts[fleet.rng.random_range(0..prompts.len())];
}

/// Sends one long prompt to the urgent route.
fn send_longest(fleet: &mut Fleet<Answering>) {
    fleet.rate = 100.0;
    let end = fleet.since_start() + Duration::from_millis(10);
    fleet.run_until(end, |fleet| {
        fleet.path = "/find/x";
        fleet.prompt_tokens = LONGEST_PROMPT;
    });
}

/// Returns the fraction of the urgent requests, or of the others, that were served.
fn served_fraction(fleet: &Fleet<Answering>, is_urgent: bool) -> f64 {
    let of_kind = |number: &u64| (fleet.arrived[number] % 2 == 1) == is_urgent;
    let arrived = fleet.arrived.keys().filter(|it| of_kind(it)).count();
    let refused = fleet.refused.iter().filter(|it| of_kind(it)).count();
    let fraction = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    1.0 - fraction(refused) / fraction(arrived.max(1))
}

fn forget_requests(fleet: &mut Fleet<Answering>) {
    fleet.arrived.clear();
    fleet.refused.clear();
}

/// Guards against a reserve of many times the account's rate: each of 70 hosts multiplied the few
/// requests that it had received by the number of hosts. One of them had 50,000 units. After a spike
/// that its burst allows, the account uses 0.6 of its rate.
#[test]
fn an_account_within_its_quota_is_not_refused_by_70_hosts() {
    let mut fleet = fleet_of(HOSTS, 8);
    run_small(&mut fleet, 0.25, SETTLED + Duration::from_secs(4));
    send_longest(&mut fleet);
    run_small(&mut fleet, 0.25, Duration::from_millis(1_500));
    run_small(&mut fleet, 4.0, Duration::from_millis(840));
    run_small(&mut fleet, 0.6, Duration::from_millis(500));
    forget_requests(&mut fleet);
    run_small(&mut fleet, 0.6, Duration::from_secs(2));
    let (refused, arrived) = (fleet.refused.len(), fleet.arrived.len());
    assert!(arrived > 100, "{arrived}");
    assert_eq!(refused, 0, "{refused} of {arrived}");
}

/// Guards against an account at its limit whose urgent requests are refused as often as the others
/// because each of 70 hosts sees one of its requests in seconds.
#[test]
fn an_account_above_its_quota_is_served_its_urgent_requests_first_by_70_hosts() {
    let mut fleet = fleet_of(HOSTS, 11);
    run(&mut fleet, 1.5, Duration::from_secs(9));
    forget_requests(&mut fleet);
    run(&mut fleet, 1.5, Duration::from_secs(10));
    let (urgent, other) = (
        served_fraction(&fleet, true),
        served_fraction(&fleet, false),
    );
    assert!(
        urgent >= other + 0.1,
        "{urgent} of urgent, {other} of others"
    );
}

/// Guards against one long prompt that a host takes for all that the account sends: it saw a
/// request every few seconds, and one of them had 50,000 units.
#[test]
fn one_long_prompt_does_not_reserve_more_than_the_rate() {
    let now = Instant::now();
    let mut arrivals = AccountArrivals::default();
    arrivals.record(&farm(), URGENT, f64::from(LONGEST_PROMPT), now);
    let share = arrivals.urgent_share(&farm(), OTHER, now);
    assert!(share <= 0.26, "{share}");
    let reserve = QuotaReserve::new(share, 1.0, RATE);
    assert!(reserve.units <= 0.26 * RATE, "{reserve:?}");
    assert!(QuotaReserve::new(9.0, 9.0, RATE).units <= RATE);
}

/// Guards against a share that is wrong on average: of 70 hosts that each see a request in three
/// seconds, most must reserve about what urgent requests need, and none more than the rate.
#[test]
fn hosts_that_see_few_requests_estimate_the_urgent_share() {
    let start = Instant::now();
    let mut shares = Vec::new();
    for host in 0..70_u32 {
        let mut arrivals = AccountArrivals::default();
        let mut now = start;
        for turn in 0..20 {
            // A third of the requests and two thirds of the units are urgent.
            let (route, units) = if (turn + host) % 3 == 0 {
                (URGENT, 4_000.0)
            } else {
                (OTHER, 1_000.0)
            };
            now += Duration::from_secs(3);
            arrivals.record(&farm(), route, units, now);
        }
        shares.push(arrivals.urgent_share(&farm(), OTHER, now));
    }
    shares.sort_by(f64::total_cmp);
    assert!((0.35..0.67).contains(&shares[35]), "{}", shares[35]);
    assert!(shares[69] <= 0.75, "{}", shares[69]);
}

/// Guards against a host that can't tell the share although it sees all requests.
#[test]
fn a_single_host_knows_the_urgent_share() {
    let mut now = Instant::now();
    let mut arrivals = AccountArrivals::default();
    for _ in 0..400 {
        arrivals.record(&farm(), URGENT, 3_000.0, now);
        arrivals.record(&farm(), OTHER, 1_000.0, now);
        now += Duration::from_millis(50);
    }
    let share = arrivals.urgent_share(&farm(), OTHER, now);
    assert!((0.72..=0.75).contains(&share), "{share}");
}

/// Guards against a host that has just started and withholds units that nothing justifies.
#[test]
fn without_observations_nothing_is_reserved() {
    let now = Instant::now();
    let arrivals = AccountArrivals::default();
    let share = arrivals.urgent_share(&farm(), OTHER, now);
    assert!(QuotaReserve::new(share, 1.0, RATE).units < f64::EPSILON);
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    quota.configure(&[account()], now);
    assert!(quota.rate_use(&farm(), now) < f64::EPSILON);
    let reserve = QuotaReserve::new(1.0, quota.rate_use(&farm(), now), RATE);
    assert!(reserve.units < f64::EPSILON, "{reserve:?}");
}

/// Guards against a reserve for an account that uses less than its rate, and against none for one
/// at its limit, whatever part of the fleet this host hears.
#[test]
fn the_reserve_follows_from_the_use_of_the_rate() {
    for live_fraction in [1.0, 0.5, 0.1] {
        for (demand, reserved) in [(0.6, 0.0), (1.5, 0.5 * RATE)] {
            let mut now = Instant::now();
            let mut quota = FleetQuota::new(WINDOW, 0.0);
            quota.configure(&[account()], now);
            quota.set_live_fraction(live_fraction);
            for _ in 0..800 {
                now += Duration::from_millis(20);
                let units = demand * RATE * 0.02 * live_fraction;
                // Refusals are counted by the caller; use is what was granted.
                let _ = quota.take(&farm(), units, now);
            }
            let reserve = QuotaReserve::new(0.5, quota.rate_use(&farm(), now), RATE);
            assert!((reserve.units - reserved).abs() < 1.0, "{reserve:?}");
        }
    }
}

/// Guards against a cell that withholds the whole fleet's reserve from its part of the quota.
#[test]
fn a_cell_withholds_its_part_of_the_reserve() {
    let now = Instant::now();
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    quota.configure(&[account()], now);
    quota.set_live_fraction(0.25);
    let later = now + WINDOW * 2;
    // What may be used at once is 3.7 s of the rate; the cell's part of it is 0.925 s.
    quota.record_peer_usage(&farm(), 0.625 * RATE, later);
    let level = FleetLevel::Low(1.2 * RATE);
    let too_many = 0.06 * RATE;
    let refused = quota.take_with_reserve(&farm(), too_many, RATE, level, later);
    assert!(refused.is_err(), "{refused:?}");
    let taken = quota.take_with_reserve(&farm(), 0.04 * RATE, RATE, level, later);
    assert_eq!(taken, Ok(()));
    let level = FleetLevel::Low(0.9 * RATE);
    let refused = quota.take_with_reserve(&farm(), 1.0, RATE, level, later);
    assert!(refused.is_err(), "{refused:?}");
}

/// Guards against a partition after which an account within its quota counts as one at its limit
/// for long: the units that a peer granted in 3 s arrive in one report.
#[test]
fn units_reported_late_count_for_seconds_only() {
    let mut now = Instant::now();
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    quota.configure(&[account()], now);
    now += WINDOW * 2;
    quota.record_peer_usage(&farm(), 20.0 * RATE, now);
    now += Duration::from_secs(2);
    let reserve = QuotaReserve::new(1.0, quota.rate_use(&farm(), now), RATE);
    assert!(reserve.units < f64::EPSILON, "{reserve:?}");
}

/// Guards against a partition at whose begin the use of the whole fleet is compared with the rate of
/// the small part that this host still hears.
#[test]
fn a_partition_does_not_raise_the_use_of_the_rate() {
    let mut now = Instant::now();
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    quota.configure(&[account()], now);
    quota.set_live_fraction(1.0);
    for _ in 0..200 {
        now += Duration::from_millis(50);
        quota.record_peer_usage(&farm(), 0.6 * RATE * 0.05, now);
    }
    for step in 0..120 {
        // The partition lasts for 3 s.
        let live_fraction = if step < 60 { 0.1 } else { 1.0 };
        quota.set_live_fraction(live_fraction);
        now += Duration::from_millis(50);
        quota.record_peer_usage(&farm(), 0.6 * RATE * live_fraction * 0.05, now);
        let reserve = QuotaReserve::new(1.0, quota.rate_use(&farm(), now), RATE);
        assert!(reserve.units < f64::EPSILON, "{reserve:?}");
    }
}

/// Guards against units of requests that did not run and count as use of the rate.
#[test]
fn returned_units_are_no_use_of_the_rate() {
    let mut now = Instant::now();
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    quota.configure(&[account()], now);
    for _ in 0..100 {
        now += Duration::from_millis(20);
        assert_eq!(quota.take(&farm(), 0.1 * RATE, now), Ok(()));
        quota.give_back(&farm(), 0.1 * RATE);
    }
    let rate_use = quota.rate_use(&farm(), now);
    assert!(rate_use < 0.01, "{rate_use}");
}

fn account() -> Account {
    Account {
        name: farm(),
        credentials: Vec::new(),
        priority: None,
        quota: Some(token_quota(RATE, BURST)),
    }
}
