//! Settings that operators may write and nobody means.

mod common;

use std::time::Duration;

use common::{ENGINES, TestHost, Told, record, token_quota};
use jaypin_router::Configuration;

/// Arrivals within five seconds, one of them served at least.
fn is_served(change: impl FnOnce(&mut Configuration), path: &str, slots: u32) -> bool {
    let mut configuration = common::configuration(1);
    change(&mut configuration);
    let mut bed = TestHost::new(configuration);
    bed.set_entry(record("engine-1", ENGINES, slots));
    for _ in 0..20 {
        if matches!(bed.arrive(path, (600, 20)).1, Told::Sent(_)) {
            return true;
        }
        bed.wait(Duration::from_millis(250));
        bed.prove();
        bed.tick();
    }
    false
}

macro_rules! odd_settings {
    ($($name:ident: $path:literal with $slots:literal slots, $change:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!(is_served($change, $path, $slots));
        }
    )*};
}

// One odd figure in a configuration, and every request of a route is refused for ever, or the
// host ends by a division. Each of these is served on a fleet that is idle.
odd_settings! {
    a_rank_of_255: "/label/1" with 9 slots, |it| {
        it.routes.iter_mut().for_each(|route| route.priority = 255);
        it.accounts[0].priority = Some(255);
    };
    ranks_that_are_all_equal: "/label/1" with 9 slots, |it| {
        it.routes.iter_mut().for_each(|route| route.priority = 3);
    };
    an_aim_of_nothing: "/ask/1" with 9 slots, |it| {
        it.routes.iter_mut().for_each(|route| route.latency_target = Duration::ZERO);
    };
    one_slot: "/label/1" with 1 slots, |_| {};
    no_slot_stated: "/label/1" with 0 slots, |_| {};
    a_quota_of_nothing: "/label/1" with 9 slots, |it| {
        it.accounts[0].quota = Some(token_quota(0.0, 0.0));
    };
    a_quota_below_one_request: "/label/1" with 9 slots, |it| {
        it.accounts[0].quota = Some(token_quota(1.0, 1.0));
    };
    an_account_with_one_route: "/label/1" with 9 slots, |it| {
        it.routes.retain(|route| route.name == "label");
    };
    no_accounts: "/label/1" with 9 slots, |it| it.accounts.clear();
}
