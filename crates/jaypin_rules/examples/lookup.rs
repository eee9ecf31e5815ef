//! Measures the times of parsing a rule file and of looking up a caller by its credential, with
//! and without the index, for several numbers of accounts.
//!
//! `cargo run --release -p jaypin_rules --example lookup`

use std::hint::black_box;
use std::time::{Duration, Instant};

use jaypin_rules::{RuleIndex, RuleSet, digest_credential, parse};

/// Number of look-ups per measurement.
const LOOKUPS: u32 = 2_000;

fn main() {
    println!("accounts  parse ms  indexed ns  linear ns");
    for accounts in [5, 100, 1_000, 17_000] {
        let text = rule_file(accounts);
        let start = Instant::now();
        let indexed = parse(&text).expect("a valid rule file");
        let parse_time = start.elapsed();
        let unindexed = RuleSet {
            index: RuleIndex::default(),
            ..indexed.clone()
        };
        let (indexed_time, linear_time) = (look_up(&indexed), look_up(&unindexed));
        println!(
            "{accounts:8}  {:8.1}  {:10}  {:9}",
            parse_time.as_secs_f64() * 1e3,
            indexed_time.as_nanos(),
            linear_time.as_nanos()
        );
    }
}

fn rule_file(accounts: u32) -> String {
    let tier = "- {tier: one, rank: 0, first-token-ms: 1, gap-ms: 1, whole-ms: 1}  # asked by: me";
    let mut lines = vec![tier.to_owned()];
    for number in 0..accounts {
        let digest = digest_credential(&number.to_string());
        lines.push(format!("- {{account: a{number}}}  # asked by: me"));
        lines.push(format!(
            "- {{caller: {digest}, account: a{number}}}  # asked by: me"
        ));
    }
    lines.join("\n")
}

fn look_up(rules: &RuleSet) -> Duration {
    let count = u32::try_from(rules.callers.len()).unwrap_or(1);
    let digests: Vec<String> = (0..LOOKUPS)
        .map(|number| digest_credential(&(number * 7_919 % count).to_string()))
        .collect();
    let start = Instant::now();
    for digest in &digests {
        black_box(rules.caller(black_box(digest)));
    }
    start.elapsed() / LOOKUPS
}
