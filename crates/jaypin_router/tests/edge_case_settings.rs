//! Unusual settings that the configuration permits.

mod common;

use std::time::Duration;

use common::{Decision, ENGINES, TestHost, record, token_quota};
use jaypin_router::Configuration;

/// Checks whether at least one of 20 requests within five seconds is sent to a backend server.
fn is_served(change: impl FnOnce(&mut Configuration), path: &str, slots: u32) -> bool {
    let mut configuration = common::configuration(1);
    change(&mut configuration);
    let mut host = TestHost::new(configuration);
    host.set_entry(record("engine-1", ENGINES, slots));
    for _ in 0..20 {
        if matches!(host.arrive(path, (600, 20)).1, Decision::Sent(_)) {
            return true;
        }
        host.wait(Duration::from_millis(250));
        host.prove();
        host.tick();
    }
    false
}

macro_rules! served_with {
    ($($name:ident: $path:literal with $slots:literal slots, $change:expr;)*) => {$(
        #[test]
        fn $name() {
            assert!(is_served($change, $path, $slots));
        }
    )*};
}

// Guards against one unusual number in a configuration that makes a host refuse all requests of a
// route for ever, or panic in a division. With each of these settings, an idle fleet must serve
// the route.
served_with! {
    a_rank_of_255: "/label/1" with 9 slots, |it| {
        it.routes.iter_mut().for_each(|route| route.priority = 255);
        it.accounts[0].priority = Some(255);
    };
    ranks_that_are_all_equal: "/label/1" with 9 slots, |it| {
        it.routes.iter_mut().for_each(|route| route.priority = 3);
    };
    a_latency_target_of_zero: "/ask/1" with 9 slots, |it| {
        it.routes.iter_mut().for_each(|route| route.latency_target = Duration::ZERO);
    };
    one_slot: "/label/1" with 1 slots, |_| {};
    no_slot_stated: "/label/1" with 0 slots, |_| {};
    a_quota_of_zero: "/label/1" with 9 slots, |it| {
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
