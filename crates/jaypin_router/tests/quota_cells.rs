//! Quotas in fleets of several cells: accounts below their quota are not refused, and one that sends
//! a multiple of it gets no more than it.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use std::time::Duration;

use common::{PLAIN, configuration, record, token_quota};
use fleet::{Answer, BackendModel, Call, Fleet};
use jaypin_core::{BackendId, score};
use jaypin_router::{BackendSignals, Bounds};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Tokens per second of the account's quota, and its burst.
const RATE: f64 = 36_000.0;
/// Tokens by which an account may exceed its quota in a window.
const SLACK: f64 = 140_000.0;
/// Prompt tokens of requests, each as likely as the others; the longest prompt is worth half a second
/// of the account's rate.
const PROMPTS: [u32; 8] = [100, 200, 400, 800, 1_200, 2_300, 5_000, 16_160];
/// Tokens of a request, on average.
const MEAN_TOKENS: f64 = 3_300.0;
/// Time after the start from which requests are counted.
const SETTLED: Duration = Duration::from_secs(3);

/// Backend servers that answer every request.
struct Answering;

impl BackendModel for Answering {
    fn answer(&mut self, _: &Call, rng: &mut ChaCha8Rng) -> Answer {
        Answer::good(BackendSignals::default(), rng)
    }

    fn header_received(&mut self, _: usize, _: &BackendId, _: &Answer, _: std::time::Instant) {}
}

fn fleet_of(hosts: usize, seed: u64) -> Fleet<Answering> {
    let mut configuration = configuration(1);
    configuration.accounts[0].quota = Some(token_quota(RATE, RATE));
    let records = (0..3).map(|n| record(&format!("plain-{n}"), PLAIN, 1_000));
    let bounds = Bounds {
        quota_slack: SLACK,
        ..common::bounds()
    };
    let records = records.collect();
    let mut fleet = Fleet::with_bounds(bounds, hosts, seed, configuration, records, Answering);
    fleet.path = "/read/x";
    fleet
}

/// Lets the account send `demand` times its rate until `end`, in requests of very different sizes.
fn run(fleet: &mut Fleet<Answering>, demand: f64, end: Duration) {
    fleet.rate = demand * RATE / MEAN_TOKENS;
    fleet.run_until(end, |fleet| {
        fleet.prompt_tokens = PROMPTS[fleet.rng.random_range(0..PROMPTS.len())];
    });
}

/// Returns the most tokens that were sent to backend servers in any window of the quota.
fn most_in_window(fleet: &Fleet<Answering>) -> f64 {
    let window = common::bounds().quota_window;
    let tokens = |number| f64::from(fleet.arrived[number]) + 30.0;
    let sent: Vec<_> = fleet.sent.iter().map(|(at, n)| (*at, tokens(n))).collect();
    let totals = sent.iter().enumerate().map(|(first, (start, _))| {
        let of_window = sent[first..]
            .iter()
            .take_while(|(at, _)| *at < *start + window);
        of_window.map(|(_, tokens)| tokens).sum::<f64>()
    });
    totals.fold(0.0, f64::max)
}

macro_rules! an_account_below_its_quota_is_not_refused {
    ($($name:ident: $hosts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = fleet_of($hosts, 7);
                run(&mut fleet, 0.55, SETTLED);
                fleet.arrived.clear();
                fleet.refused.clear();
                run(&mut fleet, 0.55, SETTLED + Duration::from_secs(40));
                let (refused, arrived) = (fleet.refused.len(), fleet.arrived.len());
                assert!(arrived > 200, "{arrived}");
                assert!(refused * 1_000 < arrived, "{refused} of {arrived}");
            }
        )*
    };
}

// Guards against refusals of an account that uses half of its quota: the share of a cell is smaller
// than a long prompt, and one such prompt left a cell in debt for most of a minute.
an_account_below_its_quota_is_not_refused! {
    below_its_quota_in_one_cell: 12;
    below_its_quota_in_four_cells: 84;
    below_its_quota_in_eight_cells: 168;
}

/// Guards against an account that gets a multiple of its quota because each cell grants what is left
/// before it hears of the others.
#[test]
fn an_account_far_above_its_quota_gets_no_more_than_it_in_four_cells() {
    for seed in 1..4 {
        let mut fleet = fleet_of(84, seed);
        run(&mut fleet, 0.2, Duration::from_secs(6));
        run(&mut fleet, 6.0, Duration::from_secs(18));
        let allowed = (RATE * 8.0 + RATE) * 1.1 + SLACK;
        let most = most_in_window(&fleet);
        assert!(most < allowed, "seed {seed}: {most} of {allowed}");
        assert!(most > RATE * 8.0, "seed {seed}: {most}");
    }
}

/// Guards against a second quota after a restart of all hosts at once.
#[test]
fn a_common_restart_gives_no_second_quota_in_four_cells() {
    let mut fleet = fleet_of(84, 5);
    run(&mut fleet, 6.0, Duration::from_secs(8));
    for n in 0..84 {
        fleet.start_host(n);
    }
    run(&mut fleet, 6.0, Duration::from_secs(16));
    let allowed = (RATE * 8.0 + RATE) * 1.1 + SLACK;
    let most = most_in_window(&fleet);
    assert!(most < allowed, "{most} of {allowed}");
}

/// Guards against an account without a limit because the hosts that add up its use are gone for good:
/// others must take their place.
#[test]
fn an_account_whose_use_nobody_adds_up_any_more_keeps_to_its_quota() {
    let mut fleet = fleet_of(84, 9);
    run(&mut fleet, 0.2, Duration::from_secs(4));
    let mut adding: Vec<_> = (0..84)
        .map(|n| (score("farm", &format!("host-{n}")), n))
        .collect();
    adding.sort_unstable();
    for (_, n) in &adding[82..] {
        fleet.hosts[*n].is_up = false;
    }
    run(&mut fleet, 0.2, Duration::from_secs(24));
    fleet.sent.clear();
    run(&mut fleet, 6.0, Duration::from_secs(36));
    let allowed = (RATE * 8.0 + RATE) * 1.1 + SLACK;
    let most = most_in_window(&fleet);
    assert!(most < allowed, "{most} of {allowed}");
}
