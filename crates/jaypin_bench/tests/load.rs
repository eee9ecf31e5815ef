//! The load tool draws arrivals and faults that depend only on the seed and match the mix.

use std::time::Duration;

use jaypin_bench::load::{Mix, Work, capacity, plan, unlike_engines};
use jaypin_bench::torture::schedule;

const MINUTE: Duration = Duration::from_mins(1);

#[test]
fn the_same_seed_draws_the_same_arrivals() {
    let mix = Mix::lanyang();
    let first = format!("{:?}", plan(&mix, 50.0, MINUTE, 7));
    assert_eq!(first, format!("{:?}", plan(&mix, 50.0, MINUTE, 7)));
    assert_ne!(first, format!("{:?}", plan(&mix, 50.0, MINUTE, 8)));
}

#[test]
fn the_same_seed_draws_the_same_faults() {
    assert_eq!(schedule(7, MINUTE), schedule(7, MINUTE));
    assert_ne!(schedule(7, MINUTE), schedule(8, MINUTE));
}

/// Defines a test for each mix: the drawn request rate and answer lengths match the mix.
macro_rules! mixes {
    ($($name:ident: $mix:expr;)*) => {
        $(
            #[test]
            fn $name() {
                arrivals_match_the_mix(&$mix);
            }
        )*
    };
}

mixes! {
    lanyang_arrivals_match_the_mix: Mix::lanyang();
    hanbit_arrivals_match_the_mix: Mix::hanbit();
}

fn arrivals_match_the_mix(mix: &Mix) {
    let rules = jaypin_rules::parse(&mix.rules).expect("rules");
    let arrivals = plan(mix, 200.0, MINUTE, 1);
    let mut texts = 0.0_f64;
    let mut answers = 0.0_f64;
    for arrival in &arrivals {
        if let Work::Text { class, answer, .. } = arrival.work {
            assert!(rules.tier(mix.texts[class].tier).is_some());
            texts += 1.0;
            answers += f64::from(u32::try_from(answer).expect("a short answer"));
        }
    }
    let (_, mean) = mix.mean_tokens();
    assert!((texts / 12_000.0 - 1.0).abs() < 0.05, "{texts} texts");
    assert!((answers / texts / mean - 1.0).abs() < 0.05, "mean {mean}");
}

#[test]
fn twice_the_engines_have_twice_the_capacity() {
    let mix = Mix::lanyang();
    let lag = Duration::from_secs(1);
    let few = capacity(&unlike_engines(3, lag), &mix);
    let many = capacity(&unlike_engines(6, lag), &mix);
    assert!((many / few - 2.0).abs() < 1e-9);
}
