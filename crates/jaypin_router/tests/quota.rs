//! Quotas of accounts over the whole fleet.

mod common;

use std::time::{Duration, Instant};

use common::token_quota;
use jaypin_core::AccountId;
use jaypin_router::{Account, FleetQuota, Quota};

const WINDOW: Duration = Duration::from_secs(8);
const RATE: f64 = 1_000.0;

fn account(quota: Quota) -> Account {
    Account {
        name: "farm".into(),
        credentials: Vec::new(),
        priority: None,
        quota: Some(quota),
    }
}

/// Returns a start time so long ago that the use from then no longer counts.
fn long_before(now: Instant) -> Instant {
    now.checked_sub(WINDOW * 2)
        .expect("the machine runs for longer")
}

fn farm() -> AccountId {
    AccountId::from("farm")
}

/// Returns the quota of a host that has run for a while.
fn long_running_quota(now: Instant) -> FleetQuota {
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    let started = long_before(now);
    quota.configure(&[account(token_quota(RATE, RATE))], started);
    quota
}

/// Tries to take 100 units every 10 ms for `time`; returns the units that it got.
fn saturate(quota: &mut FleetQuota, now: &mut Instant, time: Duration) -> f64 {
    let end = *now + time;
    let mut taken = 0.0;
    while *now < end {
        if quota.take(&farm(), 100.0, *now).is_ok() {
            taken += 100.0;
        }
        *now += Duration::from_millis(10);
    }
    taken
}

/// Guards against an account that sends many times its normal load and exceeds its quota: in any
/// window, wherever it begins, it gets its rate and burst, and not more than a tenth beyond them.
#[test]
fn an_account_at_its_limit_gets_its_rate_and_burst() {
    let mut now = Instant::now();
    let mut quota = long_running_quota(now);
    let step = Duration::from_millis(250);
    let steps: Vec<f64> = (0..96)
        .map(|_| saturate(&mut quota, &mut now, step))
        .collect();
    for window in steps.windows(32) {
        let taken: f64 = window.iter().sum();
        assert!(taken <= RATE * 9.0 * 1.1, "{taken}");
        assert!(taken >= RATE * 7.9, "{taken}");
    }
}

/// Guards against a second quota after a common restart. All hosts are killed while an account
/// sends at its limit and goes on; they forget its use before the kill. Both together must stay
/// within a tenth of what a window allows.
#[test]
fn a_common_restart_gives_no_second_quota() {
    for before in 1..8 {
        let mut now = Instant::now();
        let mut quota = long_running_quota(now);
        let before = Duration::from_secs(before);
        let mut taken = saturate(&mut quota, &mut now, before);
        let mut quota = FleetQuota::new(WINDOW, 0.0);
        quota.configure(&[account(token_quota(RATE, RATE))], now);
        taken += saturate(&mut quota, &mut now, WINDOW.saturating_sub(before));
        assert!(taken <= RATE * 9.0 * 1.1, "{taken} after {before:?}");
    }
}

/// Guards against refusals after a common restart of all hosts while each account uses half of
/// its quota.
#[test]
fn a_restart_refuses_nobody_who_keeps_to_the_quota() {
    let mut now = Instant::now();
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    quota.configure(&[account(token_quota(RATE, RATE))], now);
    for _ in 0..400 {
        assert_eq!(quota.take(&farm(), 10.0, now), Ok(()));
        now += Duration::from_millis(20);
    }
}

#[test]
fn use_at_peers_counts() {
    let now = Instant::now();
    let mut quota = long_running_quota(now);
    quota.record_peer_usage(&farm(), RATE * 9.0, now);
    let wait = quota.take(&farm(), 100.0, now);
    assert!(wait.is_err_and(|wait| wait > Duration::from_millis(100)));
}

#[test]
fn each_part_of_a_split_fleet_grants_its_share() {
    let mut now = Instant::now();
    let mut quota = long_running_quota(now);
    quota.set_live_fraction(0.25);
    let taken = saturate(&mut quota, &mut now, WINDOW);
    assert!(taken <= RATE * 9.0 * 0.25 + RATE * 2.2, "{taken}");
}

#[test]
fn units_of_requests_that_did_not_run_are_returned() {
    let mut now = Instant::now();
    let mut quota = long_running_quota(now);
    for _ in 0..1_000 {
        assert_eq!(quota.take(&farm(), 1_000.0, now), Ok(()));
        quota.give_back(&farm(), 1_000.0);
        now += Duration::from_millis(1);
    }
}

#[test]
fn a_request_larger_than_the_quota_passes_when_nothing_was_used() {
    let now = Instant::now();
    let mut quota = long_running_quota(now);
    assert_eq!(quota.take(&farm(), RATE * 50.0, now), Ok(()));
    assert!(quota.take(&farm(), 1.0, now).is_err());
}

#[test]
fn an_account_without_a_quota_is_not_limited() {
    let now = Instant::now();
    let mut quota = long_running_quota(now);
    let other = AccountId::from("other");
    assert_eq!(quota.take(&other, f64::MAX, now), Ok(()));
}

/// Guards against a small account that is refused although it keeps to its rate in any window: it
/// sends a prompt of three seconds' rate now and then.
#[test]
fn the_fleet_s_slack_lets_small_accounts_send_long_prompts() {
    let mut now = Instant::now();
    let mut quota = FleetQuota::new(WINDOW, RATE * 5.0);
    quota.configure(&[account(token_quota(RATE, RATE))], long_before(now));
    for _ in 0..8 {
        assert_eq!(quota.take(&farm(), RATE * 3.0, now), Ok(()));
        now += Duration::from_secs(4);
    }
}

/// Guards against slack that is used twice, once before and once after all hosts restart, by an
/// account that sends at its limit.
#[test]
fn slack_is_not_used_twice_after_a_common_restart() {
    let slack = RATE * 5.0;
    for before in 1..8 {
        let mut now = Instant::now();
        let mut quota = FleetQuota::new(WINDOW, slack);
        quota.configure(&[account(token_quota(RATE, RATE))], long_before(now));
        let before = Duration::from_secs(before);
        let mut taken = saturate(&mut quota, &mut now, before);
        let mut quota = FleetQuota::new(WINDOW, slack);
        quota.configure(&[account(token_quota(RATE, RATE))], now);
        taken += saturate(&mut quota, &mut now, WINDOW.saturating_sub(before));
        assert!(
            taken <= RATE * 9.0 * 1.1 + slack,
            "{taken} after {before:?}"
        );
    }
}

/// Guards against a cell that counts the whole fleet's unknown use as its own. A fleet of four
/// cells restarts, and each cell may grant a quarter of a quota; every account would be refused
/// for six seconds.
#[test]
fn a_cell_assumes_only_its_share_of_unknown_use() {
    let mut now = Instant::now();
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    quota.configure(&[account(token_quota(RATE, RATE))], now);
    quota.set_live_fraction(0.25);
    now += Duration::from_secs(1);
    for _ in 0..100 {
        assert_eq!(quota.take(&farm(), 2.0, now), Ok(()));
        now += Duration::from_millis(20);
    }
}

/// Guards against cells that each grant the whole fleet's burst. Four cells do not receive each
/// other's use, so an account that sends at its limit got the burst four times.
#[test]
fn cells_grant_one_burst_together() {
    let mut now = Instant::now();
    let mut cells: Vec<_> = (0..4).map(|_| long_running_quota(now)).collect();
    let mut taken = 0.0;
    let end = now + WINDOW;
    while now < end {
        for quota in &mut cells {
            quota.set_live_fraction(0.25);
            let mut then = now;
            taken += saturate(quota, &mut then, Duration::from_millis(10));
        }
        now += Duration::from_millis(10);
    }
    assert!(taken <= RATE * 9.0 * 1.1, "{taken}");
    assert!(taken >= RATE * 8.0, "{taken}");
}

/// Guards against a level that is reset by restarts. Hosts restart in turn while an account sends
/// at its limit; each has forgotten the use so far and must not begin with a first level that the
/// fleet has already used up.
#[test]
fn hosts_that_restart_in_turn_take_over_the_level() {
    let mut now = Instant::now();
    let mut old = long_running_quota(now);
    saturate(&mut old, &mut now, WINDOW);
    let mut taken = 0.0;
    for _ in 0..8 {
        let mut new = FleetQuota::new(WINDOW, RATE * 5.0);
        new.configure(&[account(token_quota(RATE, RATE))], now);
        for (account, level) in old.low_levels(now) {
            new.apply_peer_level(&account, level, now);
        }
        let used = saturate(&mut new, &mut now, Duration::from_millis(10));
        old.record_peer_usage(&farm(), used, now);
        taken += used;
    }
    assert!(taken <= 300.0, "{taken}");
}

/// Guards against two hosts that start together and hold each other back: the level of a host that
/// has just started is low because the first level is not yet in it, not because of use.
#[test]
fn a_host_that_has_just_started_reports_no_levels() {
    let now = Instant::now();
    let mut quota = FleetQuota::new(WINDOW, 0.0);
    quota.configure(&[account(token_quota(RATE, RATE))], now);
    quota.set_live_fraction(0.01);
    assert_eq!(quota.low_levels(now), []);
}
