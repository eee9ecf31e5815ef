//! Limits of a client account that several shards enforce together, without a message per
//! request.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{Allowance, Config, Effect, Event, HostId, Message, Reducer, Shard};

/// A host that splits the limits of the account `capped` among shards.
struct KeeperHost {
    reducer: Reducer,
    now: Instant,
}

impl KeeperHost {
    fn new() -> Self {
        let now = Instant::now();
        let mut reducer = Reducer::new(Config::default());
        let rules = Arc::new(jaypin_rules::parse(common::RULES).expect("rules"));
        reducer.apply(now, Event::Rules { version: 1, rules });
        Self { reducer, now }
    }

    /// Reports the account's demand in a shard since the last report, and returns the shard's
    /// allowance.
    fn report_usage(&mut self, index: u16, tokens: f64, at_once: u32) -> Option<Allowance> {
        let usage = Message::Usage {
            shard: Shard {
                service: "chat".into(),
                index,
            },
            account: "capped".into(),
            tokens,
            at_once,
        };
        let from: HostId = "host-b".into();
        let event = Event::Link {
            from,
            message: usage,
        };
        let effects = self.reducer.apply(self.now, event);
        effects.into_iter().find_map(|effect| match effect {
            Effect::Send {
                message: Message::Allow { allowance, .. },
                ..
            } => Some(allowance),
            _ => None,
        })
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }
}

/// An account uses three shards, one of which gets most of its requests. With an even split
/// of the limit, the busy shard would refuse requests although the account is below its
/// limit; with the whole limit in each shard, the account would get three times what the
/// rule allows.
#[test]
fn allowances_follow_demand_and_add_up_to_the_limit() {
    let mut keeper = KeeperHost::new();
    let mut last = [None; 3];
    for _ in 0..20 {
        for (index, tokens) in [(0, 4_000.0), (1, 400.0), (2, 400.0)] {
            last[usize::from(index)] = keeper.report_usage(index, tokens, 2);
        }
        keeper.advance(Duration::from_secs(1));
    }
    let rates = last.map(|allowance| allowance.expect("an allowance").tokens_per_second);
    let sum: f64 = rates.iter().sum();
    assert!((900.0..=1_100.0).contains(&sum), "{rates:?}");
    assert!(rates[0] > 7.0 * rates[1], "{rates:?}");
}

#[test]
fn an_account_below_its_limit_has_room_everywhere() {
    let mut keeper = KeeperHost::new();
    let mut allowance = None;
    for _ in 0..10 {
        allowance = keeper.report_usage(0, 100.0, 0);
        keeper.report_usage(1, 100.0, 1);
        keeper.advance(Duration::from_secs(1));
    }
    let allowance = allowance.expect("an allowance");
    assert!(allowance.tokens_per_second > 400.0, "{allowance:?}");
    assert!(allowance.at_once >= 0.5, "{allowance:?}");
}

#[test]
fn an_expired_shards_allowance_goes_to_the_others() {
    let mut keeper = KeeperHost::new();
    keeper.report_usage(0, 3_000.0, 2);
    keeper.report_usage(1, 3_000.0, 2);
    keeper.advance(Duration::from_secs(11));
    let allowance = keeper.report_usage(1, 100.0, 1).expect("an allowance");
    assert!(allowance.tokens_per_second > 999.0, "{allowance:?}");
}
